/**
 * @file quota_table.h
 * The leader's count of what tenants may still ask for, over all gateways: a
 * token bucket for each tenant with a limit (Turner, "New directions in
 * communications", 1986), filled at its rate up to its burst, from which
 * gateways take a token for each request. In any span of time no more is given
 * than rate x span + burst, whoever asks. Pure.
 *
 * The count is not replicated. A new leader knows nothing of what the one
 * before has given: its buckets begin nearly empty, with QUOTA_START_MS' worth
 * of the rate, QUOTA_START_TOKENS and one part in QUOTA_START_PART of the burst,
 * so that two changes of leader within one window stay inside an allowance of a
 * tenth of the limit and 20 requests, and a tenant at its usual pace is not
 * refused meanwhile. Only a leader that hears a quorum gives anything, so that
 * one that was cut off stops within an election timeout.
 */
#ifndef BANKBANK_CORE_QUOTA_TABLE_H
#define BANKBANK_CORE_QUOTA_TABLE_H

#include <stdint.h>

#include <uthash.h>

#include "control.pb.h"
#include "core/route_table.h"

enum {
    QUOTA_START_MS = 200,      /**< Time's worth of a rate that a new leader's buckets begin with. */
    QUOTA_START_TOKENS = 6,    /**< Requests on top of that. */
    QUOTA_START_PART = 25,     /**< And one part in so many of the burst. */
    QUOTA_RETRY_LEAST_MS = 50, /**< Least time after which a refused caller is asked back. */
    QUOTA_RETRY_MOST_MS = 2000 /**< Most. */
};

/** A tenant's bucket. */
typedef struct quota_bucket_t {
    uint64_t tenant;    /**< Hash of its name. */
    double level;       /**< Requests that it may make now. */
    uint64_t filled_ms; /**< Time up to which it was filled. */
    uint64_t owed;      /**< Requests refused since it was last full enough: they come back. */
    UT_hash_handle hh;  /**< By tenant. */
} quota_bucket_t;

/** All buckets; all zero: of a new leader. */
typedef struct quota_table_t {
    quota_bucket_t *buckets; /**< By tenant. */
    uint64_t granted;        /**< Tokens given. */
    uint64_t refused;        /**< Tokens asked for and not given. */
} quota_table_t;

/** Frees everything and forgets what was given: the table of a new leader. */
void quota_table_clear(quota_table_t *table);

/** Takes up to `wanted` tokens of a tenant with a limit; fills what was granted and when there is more. */
void quota_table_take(quota_table_t *table, uint64_t now_ms, const struct route_tenant *tenant, uint32_t wanted,
                      QuotaShare *share);

/** Answers an ask by the limits in `routes`; an unknown tenant gets nothing. Free `grant->shares`. */
void quota_table_answer(quota_table_t *table, uint64_t now_ms, const struct route_table *routes, const QuotaAsk *ask,
                        QuotaGrant *grant);

#endif
