/**
 * @file admission.h
 * Admission control for one tenant: a token bucket and a limit on concurrent
 * calls. A call is accepted or refused at once, never queued. No I/O; callers
 * pass the time.
 */
#ifndef BANKBANK_CORE_ADMISSION_H
#define BANKBANK_CORE_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

struct token_bucket {
    double level;        /**< Available tokens; negative after a call larger than the bucket or than estimated. */
    uint64_t updated_ms; /**< Time of `level`; 0: never used. */
};

struct admission_limits {
    uint64_t tokens_per_second;    /**< 0: no limit. */
    uint64_t burst_tokens;         /**< Bucket size; 0: one second of refill. */
    uint32_t max_concurrent_calls; /**< 0: no limit. */
};

struct admission_usage {
    struct token_bucket bucket;
    uint32_t calls; /**< In flight. */
};

enum admission_result { ADMISSION_ACCEPTED, ADMISSION_RATE_LIMITED, ADMISSION_TOO_MANY_CALLS };

/** Counts the call if it is accepted; otherwise `retry_after_ms` says when to retry. */
enum admission_result admission_start(struct admission_usage *usage, const struct admission_limits *limits,
                                      uint64_t now_ms, uint64_t estimated_tokens, uint64_t *retry_after_ms);

/** Ends an accepted call and replaces the estimate by the tokens actually used. */
void admission_end(struct admission_usage *usage, uint64_t estimated_tokens, uint64_t used_tokens);

#endif
