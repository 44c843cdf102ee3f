/**
 * @file memory_budget.h
 * Divides the memory of a process among the components that buffer data, so that
 * the sum of their limits stays below it. Figures: docs/CAPACITY.md.
 *
 * Shares of a state replica:
 *
 *   log        log entries in memory; a snapshot is due above this
 *   log_max    log entries in memory; no entries are accepted above this
 *   state      index of turns and budgets; no turns are started above this
 *   queues     unsent frames, all peers together
 *   connections, probes   as below; `connections` for those of operators
 *   (rest)     program, libraries, snapshot chunks, texts of one request, allocator
 *
 * While the disk accepts no writes, new entries are also queued in memory twice,
 * for the log and for the texts, each up to log_max - log / 2.
 *
 * Shares of a gateway:
 *
 *   cache      cached turns
 *   requests   texts of in-flight requests; requests are refused immediately above this
 *   incoming   request bodies being received, counted by their declared length
 *   queues     as above
 *   connections  callers' connections, with heads and unparsed input
 *   probes     the same of the listeners for readiness and for metrics, each
 *   (rest)     program, libraries, connections to servers, allocator
 */
#ifndef BANKBANK_CORE_MEMORY_BUDGET_H
#define BANKBANK_CORE_MEMORY_BUDGET_H

#include <stddef.h>

enum {
    MEMORY_BUDGET_LOG_PERCENT = 15,
    MEMORY_BUDGET_LOG_MAX_PERCENT = 22, /**< Includes the share `log`. */
    MEMORY_BUDGET_STATE_PERCENT = 35,
    MEMORY_BUDGET_QUEUES_PERCENT = 10,
    MEMORY_BUDGET_CACHE_PERCENT = 15,
    MEMORY_BUDGET_REQUESTS_PERCENT = 25,
    MEMORY_BUDGET_INCOMING_PERCENT = 15,
    MEMORY_BUDGET_CONNECTIONS_PERCENT = 8,
    MEMORY_BUDGET_PROBES_PERCENT = 2
};

/** In bytes; the shares are described above. */
typedef struct memory_budget_t {
    size_t total; /**< Memory that the process may use. */
    size_t log;
    size_t log_max;
    size_t state;
    size_t queues;
    size_t cache;
    size_t requests;
    size_t incoming;
    size_t connections;
    size_t probes;
} memory_budget_t;

/** If `total` is 0, all shares are 0 and the components use their own defaults. */
memory_budget_t memory_budget_of(size_t total);

#endif
