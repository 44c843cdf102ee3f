/**
 * @file slow_start.h
 * Rate limit over all gateways for requests to servers that have just started and
 * would fail under their full load. No I/O; callers pass the time.
 *
 * An equal share for each of many gateways would be less than one request per
 * second. The leader therefore grants tokens, one per request, as for the limits
 * of tenants (quota_table.h); a gateway without a connection to the leader sends
 * such servers nothing. A request must be sent within QUOTA_LEASE_MS of the
 * token request.
 *
 * At most limit = overshoot x rate + slack requests arrive in any second. The
 * bucket of a server holds SLOW_START_CAPACITY_PERCENT of the limit and is half
 * full at a new leader (QUOTA_START_PERCENT / QUOTA_BURST_PERCENT). The refill rate
 * leaves room for two changes of leader in one second, with
 * SLOW_START_INITIAL_PERCENT of the limit each, and for tokens that are used late:
 *
 *   refill = (limit - bucket - 2 x initial) / (1 s + QUOTA_LEASE_MS + SLOW_START_TRANSIT_MS)
 *
 * Gateways prefer other servers (server_table.h) and request tokens only while
 * those are busy or there are none: at intervals of at least
 * SLOW_START_REQUEST_INTERVAL_MS, and no more often than they may report loads
 * (load_table.h). The leader's work per second therefore does not grow with the
 * number of gateways.
 */
#ifndef BANKBANK_CORE_SLOW_START_H
#define BANKBANK_CORE_SLOW_START_H

#include <stdint.h>

#include "core/quota_table.h"

enum {
    SLOW_START_REQUEST_INTERVAL_MS = 50, /**< Minimum interval between a gateway's token requests. */
    SLOW_START_TRANSIT_MS = 50,          /**< Maximum time from sending a request to its arrival at the server. */
    SLOW_START_CAPACITY_PERCENT = 15,    /**< Bucket size, in percent of the limit. */
    SLOW_START_INITIAL_PERCENT = 7,      /**< Reserve for each change of leader, in percent of the limit. */
    /** Idle time after which a bucket is removed; it is full after 0.3 s if its limit is 7 per second or more. */
    SLOW_START_IDLE_MS = 2000
};

/** By how much the rate may be exceeded; all zero: not at all. */
typedef struct slow_start_tolerance_t {
    double overshoot; /**< Factor on the rate; 0 means 1. */
    double slack;     /**< Additional requests in a second. */
} slow_start_tolerance_t;

/** The buckets of the leader; all zero: a new leader. */
typedef struct slow_start_table_t {
    quota_table_t tokens;    /**< By the hash of a server's incarnation. */
    uint64_t removal_due_ms; /**< Time of the next removal of idle buckets. */
} slow_start_table_t;

/** Maximum number of requests that may arrive at a server in any second. */
double slow_start_limit(const slow_start_tolerance_t *tolerance, double rate_per_s);

/**
 * Answers a token request by the rates in `routes`. In the messages, `tenant` is the hash of a server's
 * incarnation, `service` that of its service's name. All tokens are granted for a service without a rate.
 * The caller frees `grant->shares`.
 */
void slow_start_answer(slow_start_table_t *table, uint64_t now_ms, const struct route_table *routes,
                       const slow_start_tolerance_t *tolerance, const QuotaAsk *ask, QuotaGrant *grant);

#endif
