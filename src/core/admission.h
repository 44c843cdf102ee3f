/**
 * @file admission.h
 * Decides at once whether a call of a tenant may start: token buckets and
 * limits of concurrent calls. Pure. A refusal tells when to come back; it is
 * never held back.
 */
#ifndef BANKBANK_CORE_ADMISSION_H
#define BANKBANK_CORE_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

/** A token bucket; the level may go below zero when a call cost more than was estimated. */
struct token_bucket {
    double level;        /**< Tokens available. */
    uint64_t updated_ms; /**< Time of `level`; 0: never used. */
};

/** Limits of a tenant; 0 means none. */
struct admission_limits {
    uint64_t tokens_per_second;    /**< Refill rate. */
    uint64_t burst_tokens;         /**< Bucket size; 0: one second of refill. */
    uint32_t max_concurrent_calls; /**< Calls in flight. */
};

/** What a tenant uses. */
struct admission_usage {
    struct token_bucket bucket; /**< Rate. */
    uint32_t calls;             /**< Calls in flight. */
};

/** Why a call is refused. */
enum admission_verdict { ADMISSION_ACCEPTED, ADMISSION_RATE_LIMITED, ADMISSION_TOO_MANY_CALLS };

/**
 * Accepts and counts a call of `tokens` estimated tokens, or refuses it and
 * sets `retry_after_ms`.
 */
enum admission_verdict admission_start(struct admission_usage *usage, const struct admission_limits *limits,
                                       uint64_t now_ms, uint64_t tokens, uint64_t *retry_after_ms);

/** Ends an accepted call and corrects the estimate by what it used. */
void admission_end(struct admission_usage *usage, uint64_t estimated_tokens, uint64_t used_tokens);

#endif
