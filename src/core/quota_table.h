/**
 * @file quota_table.h
 * Rate limits of tenants over all gateways, kept by the leader: one token bucket
 * per limited tenant (Turner, "New directions in communications", 1986), refilled
 * at the tenant's rate. A request costs one token. No I/O; callers pass the time.
 *
 * Invariant: in any window, at most rate x window + burst + allowance requests
 * run, where allowance = overshoot x (rate x window + burst) + slack
 * (quota_tolerance_t). The capacity of a bucket is the burst plus
 * QUOTA_BURST_PERCENT of the allowance, since callers' requests arrive in clumps
 * that a small burst does not hold. The buckets of a new leader start with
 * QUOTA_START_PERCENT of the allowance, so that two leader changes per window
 * stay within it. The rest covers tokens that are used later than they are
 * granted.
 *
 * Admission control of programs: a program refused midway wastes its earlier
 * turns, so a program over the limit is refused at its first turn. A second bucket,
 * refilled at nearly the same rate, is charged the estimated mean number of
 * requests for each begin (first request), so that the later requests of admitted
 * programs fit the limit: a tenant that begins twice as many programs as allowed
 * completes half of them instead of none. A begin is admitted while that bucket
 * is above zero, so that a limit smaller than the cost of one program still
 * admits some programs.
 *
 * The buckets are not replicated. Only a leader in contact with a quorum grants
 * tokens, so a partitioned leader stops within an election timeout.
 */
#ifndef BANKBANK_CORE_QUOTA_TABLE_H
#define BANKBANK_CORE_QUOTA_TABLE_H

#include <stdint.h>

#include <uthash.h>

#include "control.pb.h"
#include "core/route_table.h"

enum {
    QUOTA_BURST_PERCENT = 40,  /**< Share of the allowance added to the burst. */
    QUOTA_START_PERCENT = 20,  /**< Share of the allowance in a new leader's buckets. */
    QUOTA_BEGIN_PERCENT = 90,  /**< Share of the rate for the bucket of begins; the rest covers estimation errors. */
    QUOTA_PRIOR_REQUESTS = 12, /**< Prior of the mean number of requests per program. */
    QUOTA_PRIOR_PROGRAMS = 30, /**< Weight of the prior, in programs. */
    QUOTA_MAX_PROGRAMS = 2000, /**< Observed programs after which the observations are halved. */
    QUOTA_RETRY_MIN_MS = 50,
    QUOTA_RETRY_MAX_MS = 2000
};

/** How far a limit may be exceeded; all zero: not at all. */
typedef struct quota_tolerance_t {
    double window_s;  /**< Time window to which limits apply. */
    double overshoot; /**< Fraction of the limit. */
    double slack;     /**< Further requests per window. */
} quota_tolerance_t;

typedef struct quota_bucket_t {
    uint64_t key;         /**< Hash of the tenant's name; for slow start, of the server (slow_start.h). */
    double level;         /**< Tokens for requests. */
    double begin_level;   /**< Tokens for begins of programs, in requests; may be negative. */
    uint64_t filled_ms;   /**< Last refill of both buckets. */
    double backlog;       /**< Refused requests expected to retry before newly refused ones. */
    double begin_backlog; /**< Backlog of refused begins of programs, in requests. */
    uint64_t granted;     /**< Begins of programs included. */
    uint64_t refused;     /**< Begins of programs included. */
    UT_hash_handle hh;
} quota_bucket_t;

/** All zero: the table of a leader started at time 0. */
typedef struct quota_table_t {
    quota_tolerance_t tolerance; /**< Set before use. */
    quota_bucket_t *buckets;
    uint64_t started_ms; /**< Start of this leader; new buckets are refilled from then on. */
    uint64_t granted;    /**< Begins of programs included. */
    uint64_t refused;    /**< Begins of programs not included. */
    uint64_t begins_refused;
    double observed_programs; /**< Programs admitted; halved above QUOTA_MAX_PROGRAMS. */
    double observed_requests; /**< Requests demanded, refused ones included; halved with observed_programs. */
} quota_table_t;

/** Frees all buckets; also called by a leader that starts at `now_ms`. Counters and observations stay. */
void quota_table_clear(quota_table_t *table, uint64_t now_ms);

/**
 * Removes buckets not used for `idle_ms`, which must be long enough to refill a bucket: the bucket that replaces it is
 * refilled from `started_ms` and thus full.
 */
void quota_table_remove_idle(quota_table_t *table, uint64_t now_ms, uint64_t idle_ms);

/** Grants tokens to a limited tenant; `share` includes a retry delay if some were refused. */
void quota_table_take(quota_table_t *table, uint64_t now_ms, const struct route_tenant *tenant,
                      const QuotaDemand *demand, QuotaShare *share);

/**
 * Answers a token request by the limits in `routes`. An unknown tenant gets no tokens. The caller frees
 * `grant->shares`.
 */
void quota_table_answer(quota_table_t *table, uint64_t now_ms, const struct route_table *routes, const QuotaAsk *ask,
                        QuotaGrant *grant);

#endif
