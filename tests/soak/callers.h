/**
 * @file callers.h
 * Callers and operators of the soak, in threads: requests that may not be
 * repeated, streams, routes that configurations add, programs of turns within a
 * budget, configurations. They tell the oracle what they were promised. Every
 * second caller keeps its connections open.
 */
#ifndef BANKBANK_TESTS_CALLERS_H
#define BANKBANK_TESTS_CALLERS_H

#include <stdint.h>

/** What callers have seen so far. */
typedef struct callers_sum_t {
    uint64_t calls;          /**< Requests sent. */
    uint64_t kept;           /**< Of these on a connection that carried one before. */
    uint64_t served;         /**< Whole successes. */
    uint64_t refused;        /**< Refused as not run. */
    uint64_t turns;          /**< Turns acknowledged. */
    uint64_t configurations; /**< Configurations acknowledged. */
} callers_sum_t;

/** Starts them. */
void callers_start(uint64_t seed);

/** Ends them, and goes on once from the last turn of programs that were whole. */
void callers_stop(void);

/** What they have seen. */
callers_sum_t callers_sum(void);

#endif
