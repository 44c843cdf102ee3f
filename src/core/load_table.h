/**
 * @file load_table.h
 * The leader's totals of in-flight requests and failures per server, summed over
 * the reports of all gateways, so that each gateway can balance load as if it saw
 * all traffic. Soft state: a report replaces the gateway's previous one and
 * expires. No I/O; callers pass the time.
 *
 * The work of sending all totals grows with gateways times servers. The leader
 * therefore limits the reports and the totals per second, evenly over the gateways:
 * up to 25 gateways receive totals ten times per second, 250 once per second.
 */
#ifndef BANKBANK_CORE_LOAD_TABLE_H
#define BANKBANK_CORE_LOAD_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "control.pb.h"

enum {
    LOAD_MIN_REPORT_MS = 100, /**< Minimum interval between the reports of one gateway. */
    LOAD_REPORTS_PER_S = 500, /**< Maximum, from all gateways together. */
    LOAD_TOTALS_PER_S = 250,  /**< Maximum number of messages, to all gateways together. */
    LOAD_MIN_VALID_MS = 600,  /**< Minimum lifetime of a report. */
    LOAD_VALID_PERIODS = 3    /**< Reports and totals are valid for this many of their intervals, if that is longer. */
};

/** Totals of one server over all gateways. */
struct load_server {
    uint64_t hash;     /**< Hash of the name of the server's incarnation (server_table.h). */
    uint32_t calls;    /**< In-flight requests. */
    uint32_t failures; /**< Sum of the failure shares (health.h). */
    UT_hash_handle hh; /**< By hash. */
};

/** Last report of one gateway. */
struct load_gateway {
    uint32_t node;
    uint64_t reported_ms;
    uint64_t totals_due_ms; /**< Earliest time of the next totals to this gateway. */
    ServerLoad *loads;      /**< Owned. */
    pb_size_t count;
    UT_hash_handle hh; /**< By node. */
};

struct load_table {
    struct load_gateway *gateways; /**< By node. */
    struct load_server *servers;   /**< By hash. */
    uint64_t next_totals_ms;       /**< Earliest time of the next totals to any gateway. */
};

void load_table_close(struct load_table *table);

/** Replaces the report of a gateway. */
void load_table_report(struct load_table *table, uint64_t now_ms, uint32_t node, const LoadReport *report);

void load_table_expire(struct load_table *table, uint64_t now_ms);

/** Fills the totals without the gateway's own report; the caller frees `totals->loads`. */
void load_table_other_loads(const struct load_table *table, uint32_t node, LoadTotals *totals);

/** Fills the interval until the gateway's next report and, if due, the totals; the caller frees `totals->loads`. */
void load_table_answer(struct load_table *table, uint64_t now_ms, uint32_t node, LoadTotals *totals);

#endif
