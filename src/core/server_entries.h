/**
 * @file server_entries.h
 * The entries of the platform's list that name no server, by kind, and which
 * of several entries for one server holds. Pure.
 *
 * An entry may come from another writer. It is left out and counted; the
 * others hold.
 *
 * Where an id stands twice, the server that was born later holds: of two lives
 * under one id only the later one can still run. Where that does not tell them
 * apart, the entry that was read first holds, so that what is written behind a
 * server's entry cannot take its place.
 *
 * Where an address stands twice under different ids, both hold: a server that
 * has ended stays on the list for a while beside the one that got its address.
 * Only the server there can tell which one it is, and it does: it refuses, as
 * not run, what is meant for another id.
 */
#ifndef BANKBANK_CORE_SERVER_ENTRIES_H
#define BANKBANK_CORE_SERVER_ENTRIES_H

#include <stdbool.h>
#include <stdint.h>

#include "control.pb.h"

/** Why an entry names no server. */
typedef enum server_entry_fault_t {
    SERVER_ENTRY_GOOD,       /**< It names one. */
    SERVER_ENTRY_UNREADABLE, /**< Its bytes cannot be read. */
    SERVER_ENTRY_MISSING,    /**< It is no object, or lacks a field. */
    SERVER_ENTRY_TYPE,       /**< A field has another type. */
    SERVER_ENTRY_VALUE,      /**< A field is empty, out of its range, or not an address. */
    SERVER_ENTRY_STATE,      /**< Its state is not known. */
    SERVER_ENTRY_TWICE,      /**< Another entry with its id holds. */
    SERVER_ENTRY_FAULTS
} server_entry_fault_t;

/** Entries that were left out, by fault. */
typedef struct server_entries_left_t {
    uint32_t counts[SERVER_ENTRY_FAULTS]; /**< How many; that of SERVER_ENTRY_GOOD is not used. */
} server_entries_left_t;

/** Orders the servers of a list by id and leaves out all but one of an id; `left` counts them. */
void server_entries_settle(ServerList *list, server_entries_left_t *left);

/** All that were left out. */
uint64_t server_entries_sum(const server_entries_left_t *left);

/** The name of a fault. */
const char *server_entry_fault_name(server_entry_fault_t fault);

#endif
