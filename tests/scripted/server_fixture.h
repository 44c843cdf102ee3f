/**
 * @file server_fixture.h
 * Fixture of the scripted tests: a server table.
 */
#ifndef BANKBANK_TESTS_SERVER_FIXTURE_H
#define BANKBANK_TESTS_SERVER_FIXTURE_H

#include <stdio.h>
#include <string.h>

#include "core/server_table.h"

enum { SERVER_FIXTURE_MAX = 16, SERVER_FIXTURE_NAME_MAX = 32 };

/** Resets a table to servers s1, s2, ... with the ports 1, 2, ..., in the service "service", `count` in each zone. */
static inline void server_fixture_start_zones(struct server_table *servers, const char *const *zones,
                                              uint64_t zone_count, uint64_t count, uint64_t slots)
{
    char names[SERVER_FIXTURE_MAX][SERVER_FIXTURE_NAME_MAX];
    char addresses[SERVER_FIXTURE_MAX][SERVER_FIXTURE_NAME_MAX];
    ServerRecord records[SERVER_FIXTURE_MAX];
    uint64_t total = zone_count * count;
    uint64_t used = total < SERVER_FIXTURE_MAX ? total : SERVER_FIXTURE_MAX;
    server_table_close(servers);
    memset(servers, 0, sizeof(*servers));
    memset(records, 0, sizeof(records));
    for (uint64_t i = 0; i < used; i++) {
        snprintf(names[i], sizeof(names[i]), "s%llu", (unsigned long long)i + 1);
        snprintf(addresses[i], sizeof(addresses[i]), "127.0.0.1:%llu", (unsigned long long)i + 1);
        records[i].id = names[i];
        records[i].service = (char *)(uintptr_t) "service";
        records[i].zone = (char *)(uintptr_t)zones[i / count];
        records[i].address = addresses[i];
        records[i].slots = (uint32_t)slots;
    }
    ServerList list = {.servers_count = (pb_size_t)used, .servers = records};
    server_table_update(servers, &list);
}

/** Resets a table to `count` servers s1, s2, ... in the service "service" and the zone "zone". */
static inline void server_fixture_start(struct server_table *servers, uint64_t count, uint64_t slots)
{
    static const char *const zones[] = {"zone"};
    server_fixture_start_zones(servers, zones, 1, count, slots);
}

#endif
