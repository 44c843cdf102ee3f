/**
 * @file load_table.h
 * The leader's sums of what gateways have under way at each server, and how
 * often it failed them, so that they place requests as if one of them saw all. Soft state: reports replace
 * each other and fade. Pure.
 */
#ifndef BANKBANK_CORE_LOAD_TABLE_H
#define BANKBANK_CORE_LOAD_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "control.pb.h"

enum { LOAD_VALID_MS = 600 /**< Time a report counts. */ };

/** Requests under way at one server. */
struct load_server {
    uint64_t hash;     /**< Hash of the server's id. */
    uint32_t calls;    /**< Requests of all gateways. */
    uint32_t failures; /**< Sum of the shares of failures that they see (health.h). */
    UT_hash_handle hh; /**< By hash. */
};

/** One gateway's last report. */
struct load_gateway {
    uint32_t node;     /**< Gateway. */
    uint64_t told_ms;  /**< Time of the report. */
    ServerLoad *loads; /**< Owned copy. */
    pb_size_t count;   /**< Servers in it. */
    UT_hash_handle hh; /**< By node. */
};

/** The table. */
struct load_table {
    struct load_gateway *gateways; /**< By node. */
    struct load_server *servers;   /**< Sums, by hash. */
};

/** Frees everything. */
void load_table_close(struct load_table *table);

/** Takes a gateway's report in place of its last one. */
void load_table_report(struct load_table *table, uint64_t now_ms, uint32_t node, const LoadReport *report);

/** Drops reports that are too old. */
void load_table_fade(struct load_table *table, uint64_t now_ms);

/** Fills the sums without the gateway's own report; free `totals->loads`. */
void load_table_others(const struct load_table *table, uint32_t node, LoadTotals *totals);

#endif
