/**
 * @file load_table.h
 * The leader's sums of what gateways have under way at each server, and how
 * often it failed them, so that they place requests as if one of them saw all. Soft state: reports replace
 * each other and fade. Pure.
 *
 * Telling every gateway the loads of all servers is work of gateways times
 * servers. The leader bounds how often a second it takes a report and how
 * often it tells the loads, and spreads that over the gateways: up to
 * 25 of them are told ten times a second, 250 once a second.
 */
#ifndef BANKBANK_CORE_LOAD_TABLE_H
#define BANKBANK_CORE_LOAD_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "control.pb.h"

enum {
    LOAD_REPORT_MS = 100,   /**< Least pause between a gateway's reports. */
    LOAD_REPORTS_A_S = 500, /**< Reports that the leader takes a second, of all gateways. */
    LOAD_TOTALS_A_S = 250,  /**< Times a second that it tells the loads, to all gateways. */
    LOAD_VALID_MS = 600,    /**< Time a report counts at least. */
    LOAD_VALID_PERIODS = 3  /**< Periods for which a report, or the loads told, count where that is longer. */
};

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
    uint64_t owed_ms;  /**< Time at which it is to be told the loads again. */
    ServerLoad *loads; /**< Owned copy. */
    pb_size_t count;   /**< Servers in it. */
    UT_hash_handle hh; /**< By node. */
};

/** The table. */
struct load_table {
    struct load_gateway *gateways; /**< By node. */
    struct load_server *servers;   /**< Sums, by hash. */
    uint64_t pace_ms;              /**< Time from which loads may be told once more. */
};

/** Frees everything. */
void load_table_close(struct load_table *table);

/** Takes a gateway's report in place of its last one. */
void load_table_report(struct load_table *table, uint64_t now_ms, uint32_t node, const LoadReport *report);

/** Drops reports that are too old. */
void load_table_fade(struct load_table *table, uint64_t now_ms);

/** Fills the sums without the gateway's own report; free `totals->loads`. */
void load_table_others(const struct load_table *table, uint32_t node, LoadTotals *totals);

/**
 * What a gateway is told in answer to its report: when to report next, and
 * the loads where they are due to it; free `totals->loads`.
 */
void load_table_answer(struct load_table *table, uint64_t now_ms, uint32_t node, LoadTotals *totals);

#endif
