/**
 * @file quota_table.h
 * The leader's count of what tenants may still ask for, over all gateways: a
 * token bucket for each tenant with a limit (Turner, "New directions in
 * communications", 1986), filled at its rate up to its burst, from which
 * gateways take a token for each request. Pure.
 *
 * Operators judge a limit over a window, and tell by how much a fleet may miss
 * it (quota_bounds_t): the allowance of a tenant is overshoot x (rate x window +
 * burst) + slack. It is shared out between what a count in one place cannot know
 * and callers, whose requests come in clumps that a small burst does not hold:
 * QUOTA_CLUMP_PERCENT of it is added to the bucket; a new leader's buckets begin
 * with QUOTA_START_PERCENT of it, so that two changes of leader in a window fit;
 * the rest is for tokens that are used later than they are given. In any window
 * no more runs than rate x window + burst + allowance, whoever asks.
 *
 * A program whose tenant is over its limit is turned away at its first turn:
 * refused midway it has cost what it ran and is worth nothing. So the begins of
 * programs are counted besides, in a second bucket of nearly the same rate, by
 * what a program asks for on average, learnt from what is asked. What a
 * tenant's programs ask for later then fits its limit, and a tenant that begins
 * twice as much as it may gets half of its programs whole instead of none. A
 * begin is taken while the second bucket is above zero, so that a limit that is
 * smaller than a program lets one pass now and then.
 *
 * The count is not replicated: a new leader knows nothing of what the one before
 * has given, and begins as told above. Only a leader that hears a quorum gives
 * anything, so that one that was cut off stops within an election timeout.
 */
#ifndef BANKBANK_CORE_QUOTA_TABLE_H
#define BANKBANK_CORE_QUOTA_TABLE_H

#include <stdint.h>

#include <uthash.h>

#include "control.pb.h"
#include "core/route_table.h"

enum {
    QUOTA_CLUMP_PERCENT = 40, /**< Part of the allowance that is added to the burst. */
    QUOTA_START_PERCENT = 20, /**< Part of it that a new leader's buckets begin with. */
    QUOTA_BEGIN_PERCENT = 90, /**< Part of the rate that programs may begin at: the rest is for what was misjudged. */
    QUOTA_PROGRAM_REQUESTS = 12, /**< Requests of a program, as long as nothing is known. */
    QUOTA_PROGRAM_WEIGHT = 30,   /**< Programs that this counts as. */
    QUOTA_PROGRAMS_MOST = 2000,  /**< Programs after which what was learnt counts half. */
    QUOTA_RETRY_LEAST_MS = 50,   /**< Least time after which a refused caller is asked back. */
    QUOTA_RETRY_MOST_MS = 2000   /**< Most. */
};

/** By how much a limit may be missed; all zero: by nothing. */
typedef struct quota_bounds_t {
    double window_s;  /**< Window over which limits are judged. */
    double overshoot; /**< Part of the limit. */
    double slack;     /**< Requests on top of it. */
} quota_bounds_t;

/** A tenant's bucket. */
typedef struct quota_bucket_t {
    uint64_t tenant;    /**< Hash of its name. */
    double level;       /**< Requests that it may make now. */
    double begin_level; /**< The same for requests of programs that begin. */
    uint64_t filled_ms; /**< Time up to which both were filled. */
    double owed;        /**< Requests that were refused and come back, before those that are refused now. */
    double begin_owed;  /**< The same for programs, in requests. */
    uint64_t granted;   /**< Tokens given. */
    uint64_t refused;   /**< Tokens and begins of programs refused. */
    UT_hash_handle hh;  /**< By tenant. */
} quota_bucket_t;

/** All buckets; all zero: of a new leader. */
typedef struct quota_table_t {
    quota_bounds_t bounds;   /**< Set before use. */
    quota_bucket_t *buckets; /**< By tenant. */
    uint64_t begun_ms;       /**< Time at which this leader began: buckets fill from then on. */
    uint64_t granted;        /**< Tokens given. */
    uint64_t refused;        /**< Tokens asked for and not given. */
    uint64_t begins_refused; /**< Begins of programs refused. */
    double programs;         /**< Programs begun, as learnt from. */
    double requests;         /**< Tokens asked for meanwhile. */
} quota_table_t;

/** Frees everything and forgets what was given: the table of a leader that begins now. */
void quota_table_clear(quota_table_t *table, uint64_t now_ms);

/** Forgets the buckets that nobody has asked for in `idle_ms`: for buckets that are full again by then, which a new one
 * fills up to at once. */
void quota_table_forget_idle(quota_table_t *table, uint64_t now_ms, uint64_t idle_ms);

/** Answers a demand of a tenant with a limit: what is granted, and when there is more. */
void quota_table_take(quota_table_t *table, uint64_t now_ms, const struct route_tenant *tenant,
                      const QuotaDemand *demand, QuotaShare *share);

/** Answers an ask by the limits in `routes`; an unknown tenant gets nothing. Free `grant->shares`. */
void quota_table_answer(quota_table_t *table, uint64_t now_ms, const struct route_table *routes, const QuotaAsk *ask,
                        QuotaGrant *grant);

#endif
