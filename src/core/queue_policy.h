/**
 * @file queue_policy.h
 * Whether a request that no server accepts is queued or refused, and the order
 * of the queue. Pure functions.
 *
 * Requests are queued because slots become free within moments, while callers
 * retry only a few times.
 *
 * The queue is ordered by priority of the tenant, priority of the route and
 * earliest deadline (Liu and Layland, "Scheduling algorithms for
 * multiprogramming", 1973). A request waits for at most a part of the time that
 * its caller has left, so that it can still be served, and for at most
 * QUEUE_POLICY_MAX_WAIT_MS, which bounds how long a higher priority can starve a
 * lower one.
 */
#ifndef BANKBANK_CORE_QUEUE_POLICY_H
#define BANKBANK_CORE_QUEUE_POLICY_H

#include <stdbool.h>
#include <stdint.h>

enum {
    QUEUE_POLICY_WAIT_DIVISOR = 3, /**< Maximum wait: 1 / this of the time left when it was queued. */
    QUEUE_POLICY_MAX_WAIT_MS = 400
};

typedef struct queue_policy_key_t {
    uint32_t tenant_priority; /**< 0: highest, or no tenant. */
    uint32_t route_priority;  /**< 0: highest. */
    uint64_t deadline_ms;     /**< Of the program. */
    uint64_t queued_ms;
} queue_policy_key_t;

/** Less than 0: `a` is served before `b`; greater than 0: after it. */
int queue_policy_compare(const queue_policy_key_t *a, const queue_policy_key_t *b);

/** Whether a request stays queued that has waited for `waited_ms` and whose caller has `left_ms` left. */
bool queue_policy_may_wait(uint64_t waited_ms, uint64_t left_ms);

#endif
