/**
 * @file server_table_internal.h
 * Functions shared by the source files of the server table; not for other modules.
 *
 *   server_table.c   incarnations, server lists, events, loads of other gateways
 *   server_choice.c  selection of the server for a request
 */
#ifndef BANKBANK_CORE_SERVER_TABLE_INTERNAL_H
#define BANKBANK_CORE_SERVER_TABLE_INTERNAL_H

#include "core/server_table.h"

/** Whether a server is draining, is not on the list, or its address is used by another one. */

/** In-flight requests of all gateways; without the others if their loads have expired. */
uint32_t server_total_in_flight(const struct server_table *table, const struct server *server, uint64_t now_ms);

/** At least 1. */
uint64_t server_slots(const struct server *server);

#endif
