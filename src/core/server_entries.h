/**
 * @file server_entries.h
 * Counts of invalid entries in the platform's machine list
 * (proxy/machine_reader.h), and removal of duplicates. Invalid entries are
 * skipped. No I/O.
 *
 * Of entries with the same id, the one with the latest start time is used: only
 * this incarnation can still run. If the start times are equal, the first entry is
 * used, so that an entry appended later cannot replace that of a server.
 *
 * Entries with the same address and different ids are all used: a server that has
 * ended stays on the list for a while next to the one that reuses its address. A
 * server refuses requests that are meant for another id without running them.
 */
#ifndef BANKBANK_CORE_SERVER_ENTRIES_H
#define BANKBANK_CORE_SERVER_ENTRIES_H

#include <stdbool.h>
#include <stdint.h>

#include "control.pb.h"

typedef enum server_entry_fault_t {
    SERVER_ENTRY_VALID,
    SERVER_ENTRY_UNREADABLE, /**< It cannot be parsed. */
    SERVER_ENTRY_MISSING,    /**< It is not an object, or a field is missing. */
    SERVER_ENTRY_TYPE,       /**< A field has the wrong type. */
    SERVER_ENTRY_VALUE,      /**< A field is empty, out of range, or not a valid address. */
    SERVER_ENTRY_STATE,      /**< Its state is unknown. */
    SERVER_ENTRY_DUPLICATE,  /**< Another entry with the same id is used. */
    SERVER_ENTRY_FAULT_COUNT
} server_entry_fault_t;

typedef struct server_entries_skipped_t {
    uint32_t counts[SERVER_ENTRY_FAULT_COUNT]; /**< By fault; the one of SERVER_ENTRY_VALID is unused. */
} server_entries_skipped_t;

/** Sorts a list by id, removes all but one entry of each id and counts the removed ones in `skipped`. */
void server_entries_deduplicate(ServerList *list, server_entries_skipped_t *skipped);

uint64_t server_entries_skipped_total(const server_entries_skipped_t *skipped);

/** Name of a fault: its field in the log event `servers_left_out`. */
const char *server_entry_fault_name(server_entry_fault_t fault);

#endif
