/**
 * @file place_wait.h
 * Whether a request that no server takes now waits, or is refused. Pure.
 *
 * Each server of a service has just refused it, or is passed over. Callers try
 * only a few times, so the request waits while that can still help its caller:
 * servers have places again within moments. Those that wait are served by the
 * priority of their tenant, then that of their route, then by the time that is
 * left for the whole program, least first (Liu and Layland, "Scheduling
 * algorithms for multiprogramming", 1973, within each rank). Nobody waits longer
 * than PLACE_LONGEST_MS, so that no rank starves another one for longer.
 */
#ifndef BANKBANK_CORE_PLACE_WAIT_H
#define BANKBANK_CORE_PLACE_WAIT_H

#include <stdbool.h>
#include <stdint.h>

enum {
    PLACE_LEFT_SHARE = 3,  /**< A request waits one part in so many of the time that is left at its begin. */
    PLACE_LONGEST_MS = 400 /**< And no longer than this. */
};

/** What a request that waits is served by. */
typedef struct place_order_t {
    uint32_t tenant_priority; /**< Rank of its tenant, 0 is the highest; 0 also without one. */
    uint32_t route_priority;  /**< Rank of its route. */
    uint64_t due_ms;          /**< Time at which its program should be over. */
    uint64_t since_ms;        /**< Time at which it began to wait. */
} place_order_t;

/** Below 0: `a` is served before `b`; above 0: after it. */
int place_compare(const place_order_t *a, const place_order_t *b);

/** Whether a request that has waited for `waited_ms` goes on, with `left_ms` of its caller's time left. */
bool place_may_wait(uint64_t waited_ms, uint64_t left_ms);

#endif
