/**
 * @file server_list.h
 * A table of servers for scripted runs.
 */
#ifndef BANKBANK_TESTS_SERVER_LIST_H
#define BANKBANK_TESTS_SERVER_LIST_H

#include <stdio.h>
#include <string.h>

#include "core/server_table.h"

enum { SERVER_LIST_MAX = 16, SERVER_LIST_NAME_MAX = 32 };

/** Begins a table with `count` servers, named s1, s2, ..., of one service ("service") and zone ("zone"). */
static inline void server_list_start(struct server_table *servers, uint64_t count, uint64_t slots)
{
    char names[SERVER_LIST_MAX][SERVER_LIST_NAME_MAX];
    ServerRecord records[SERVER_LIST_MAX];
    uint64_t used = count < SERVER_LIST_MAX ? count : SERVER_LIST_MAX;
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
