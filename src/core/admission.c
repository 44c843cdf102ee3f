#include "core/admission.h"

enum { ADMISSION_BUSY_RETRY_MS = 1000, ADMISSION_MS_PER_S = 1000 };

static double admission_capacity(const struct admission_limits *limits)
{
    return limits->burst_tokens != 0 ? (double)limits->burst_tokens : (double)limits->tokens_per_second;
}

static void admission_refill(struct token_bucket *bucket, const struct admission_limits *limits, uint64_t now_ms)
{
    double capacity = admission_capacity(limits);
    if (bucket->updated_ms == 0) {
        bucket->level = capacity;
    } else if (now_ms > bucket->updated_ms) {
        double passed_ms = (double)(now_ms - bucket->updated_ms);
        bucket->level += passed_ms * (double)limits->tokens_per_second / ADMISSION_MS_PER_S;
    }
    bucket->level = bucket->level > capacity ? capacity : bucket->level;
    bucket->updated_ms = now_ms == 0 ? 1 : now_ms;
}

enum admission_result admission_start(struct admission_usage *usage, const struct admission_limits *limits,
                                      uint64_t now_ms, uint64_t estimated_tokens, uint64_t *retry_after_ms)
{
    *retry_after_ms = 0;
    if (limits->max_concurrent_calls != 0 && usage->calls >= limits->max_concurrent_calls) {
        *retry_after_ms = ADMISSION_BUSY_RETRY_MS;
        return ADMISSION_TOO_MANY_CALLS;
    }
    if (limits->tokens_per_second != 0) {
        admission_refill(&usage->bucket, limits, now_ms);
        /* A call larger than the bucket starts when the bucket is full. */
        double capacity = admission_capacity(limits);
        double needed = (double)estimated_tokens < capacity ? (double)estimated_tokens : capacity;
        if (usage->bucket.level < needed) {
            double missing = needed - usage->bucket.level;
            *retry_after_ms = 1 + (uint64_t)(missing * ADMISSION_MS_PER_S / (double)limits->tokens_per_second);
            return ADMISSION_RATE_LIMITED;
        }
        usage->bucket.level -= (double)estimated_tokens;
    }
    usage->calls++;
    return ADMISSION_ACCEPTED;
}

void admission_end(struct admission_usage *usage, uint64_t estimated_tokens, uint64_t used_tokens)
{
    usage->calls -= usage->calls > 0 ? 1 : 0;
    if (usage->bucket.updated_ms != 0) {
        usage->bucket.level += (double)estimated_tokens - (double)used_tokens;
    }
}
