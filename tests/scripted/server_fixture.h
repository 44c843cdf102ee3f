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

/** Resets a table to `count` servers s1, s2, ... in the service "service" and the zone "zone". */
static inline void server_fixture_start(struct server_table *servers, uint64_t count, uint64_t slots)
{
    char names[SERVER_FIXTURE_MAX][SERVER_FIXTURE_NAME_MAX];
    ServerRecord records[SERVER_FIXTURE_MAX];
    uint64_t used = count < SERVER_FIXTURE_MAX ? count : SERVER_FIXTURE_MAX;
    server_table_close(servers);
    memset(servers, 0, sizeof(*servers));
    memset(records, 0, sizeof(records));
    for (uint64_t i = 0; i < used; i++) {
        snprintf(names[i], sizeof(names[i]), "s%llu", (unsigned long long)i + 1);
        records[i].id = names[i];
        records[i].service = (char *)(uintptr_t) "service";
        records[i].zone = (char *)(uintptr_t) "zone";
        records[i].address = (char *)(uintptr_t) "127.0.0.1:1";
        records[i].slots = (uint32_t)slots;
    }
    ServerList list = {.servers_count = (pb_size_t)used, .servers = records};
    server_table_update(servers, &list);
}

#endif
