/**
 * @file memory_budget.h
 * Shares of a process's memory. Whoever holds bytes takes its bound from
 * here, so that the sum of all bounds stays below what the process may use.
 *
 * docs/CAPACITY.md has the figures. A state replica's shares:
 *
 *   log        entries in memory; a snapshot is due above it
 *   log_most   entries in memory; above it no entry is taken
 *   state      index of turns and budgets; above it no turn begins
 *   queues     frames that peers have not taken yet, all together
 *   (rest)     program, libraries, chunks of snapshots, one request's texts, allocator
 *
 * While the disk takes nothing, what came since waits in two more copies, for
 * the log and for the texts: each is at most log_most less half of log.
 *
 * A gateway's:
 *
 *   cache      turns kept near
 *   requests   texts of requests under way; above it a request is refused at once
 *   arriving   bodies that are being read, by the length that they told
 *   queues     as above
 *   (rest)     program, libraries, connections, allocator
 */
#ifndef BANKBANK_CORE_MEMORY_BUDGET_H
#define BANKBANK_CORE_MEMORY_BUDGET_H

#include <stddef.h>

enum {
    MEMORY_BUDGET_LOG_PERCENT = 15,      /**< Share `log`. */
    MEMORY_BUDGET_LOG_MOST_PERCENT = 22, /**< Share `log_most`; the share `log` lies inside it. */
    MEMORY_BUDGET_STATE_PERCENT = 35,    /**< Share `state`. */
    MEMORY_BUDGET_QUEUES_PERCENT = 10,   /**< Share `queues`. */
    MEMORY_BUDGET_CACHE_PERCENT = 15,    /**< Share `cache`. */
    MEMORY_BUDGET_REQUESTS_PERCENT = 25, /**< Share `requests`. */
    MEMORY_BUDGET_ARRIVING_PERCENT = 15  /**< Share `arriving`. */
};

/** The shares, in bytes. */
typedef struct memory_budget_t {
    size_t total;    /**< What the process may use. */
    size_t log;      /**< See above. */
    size_t log_most; /**< See above. */
    size_t state;    /**< See above. */
    size_t queues;   /**< See above. */
    size_t cache;    /**< See above. */
    size_t requests; /**< See above. */
    size_t arriving; /**< See above. */
} memory_budget_t;

/** Shares of `total` bytes; 0: all are 0, which their holders read as their own defaults. */
memory_budget_t memory_budget_of(size_t total);

#endif
