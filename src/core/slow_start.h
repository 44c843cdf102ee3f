/**
 * @file slow_start.h
 * How many requests servers get that have just started, over all gateways. Pure.
 *
 * A server that starts is slow for some seconds, and falls over well above the
 * requests a second that its service's configuration names. No gateway knows
 * what the others send it, and a share for each (the rate divided by the
 * gateways) is less than one request a second where there are a hundred of them.
 * So the leader gives out tokens, one for each request, as for limits of tenants
 * (quota_table.h): whoever is cut off from it sends such servers nothing. A
 * token is good for QUOTA_HELD_MS from the ask for it, until the request has
 * left.
 *
 * Bound: limit = overshoot x rate + slack requests arrive in any second. A
 * server's bucket holds SLOW_START_ROOM_PERCENT of the limit, and a new leader's
 * begins with SLOW_START_BEGIN_PERCENT of it, so that two changes of leader fit
 * into a second; the rest is given out at a rate that leaves room for tokens that
 * are used late: rate = (limit - room - 2 x begin) / (1 s + QUOTA_HELD_MS + way).
 *
 * Gateways use such servers last (server_table.h), and ask only while the others
 * are busy or there are none, SLOW_START_ASK_MS apart at least, and no more often
 * than the leader lets them report loads: what it takes a second does not grow
 * with the gateways (load_table.h).
 */
#ifndef BANKBANK_CORE_SLOW_START_H
#define BANKBANK_CORE_SLOW_START_H

#include <stdint.h>

#include "core/quota_table.h"

enum {
    SLOW_START_ASK_MS = 50,       /**< Least pause between two asks of a gateway. */
    SLOW_START_WAY_MS = 50,       /**< Way of a request to its server, at most. */
    SLOW_START_ROOM_PERCENT = 15, /**< Part of the limit that a bucket holds. */
    SLOW_START_BEGIN_PERCENT = 7, /**< Part of it that a new leader's buckets begin with, at most. */
    SLOW_START_IDLE_MS = 2000     /**< Time without an ask after which a bucket is forgotten; it is full after 0.3 s. */
};

/** By how much operators let the rate be exceeded; all zero: by nothing. */
typedef struct slow_start_bounds_t {
    double overshoot; /**< Multiple of the rate; 0: 1. */
    double slack;     /**< Requests in a second on top of it. */
} slow_start_bounds_t;

/** The leader's buckets; all zero: of a new leader. */
typedef struct slow_start_table_t {
    quota_table_t tokens;   /**< By the hash of a server's life. */
    uint64_t forget_due_ms; /**< Next look for those that nobody asks for any more. */
} slow_start_table_t;

/** Requests that may arrive at a server in any second, where its service names `rate_per_s`. */
double slow_start_limit(const slow_start_bounds_t *bounds, double rate_per_s);

/**
 * Answers an ask for tokens of servers (`tenant` is the hash of a server's life, `service` that of its service's
 * name) by the rates in `routes`; a server whose service has no rate gets all that is asked. Free `grant->shares`.
 */
void slow_start_answer(slow_start_table_t *table, uint64_t now_ms, const struct route_table *routes,
                       const slow_start_bounds_t *bounds, const QuotaAsk *ask, QuotaGrant *grant);

#endif
