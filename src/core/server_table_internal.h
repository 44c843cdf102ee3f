/**
 * @file server_table_internal.h
 * Functions shared by the parts of the table of servers; not for others.
 *
 *   server_table.c   lives, lists, what is noted of servers, loads of other gateways
 *   server_choice.c  which server a request goes to
 */
#ifndef BANKBANK_CORE_SERVER_TABLE_INTERNAL_H
#define BANKBANK_CORE_SERVER_TABLE_INTERNAL_H

#include "core/server_table.h"

/** Whether a server leaves, is not on the list, or another one has its address. */
bool server_leaves(const struct server *server);

/** Requests there of all gateways, as far as they are known now. */
uint32_t server_calls(const struct server_table *table, const struct server *server, uint64_t now_ms);

/** Requests that it works on at once, at least one. */
uint64_t server_slots(const struct server *server);

#endif
