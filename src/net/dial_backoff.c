#include "net/dial_backoff.h"

static uint32_t dial_backoff_double(uint32_t initial, uint32_t doublings, uint32_t max)
{
    uint32_t value = initial;
    for (uint32_t i = 0; i < doublings && value < max; i++) {
        value *= 2;
    }
    return value < max ? value : max;
}

uint32_t dial_backoff_timeout_ms(const dial_backoff_t *backoff)
{
    return dial_backoff_double(DIAL_TIMEOUT_MIN_MS, backoff->timeouts / DIAL_TIMEOUT_STEP_ATTEMPTS,
                               DIAL_TIMEOUT_MAX_MS);
}

void dial_backoff_record(dial_backoff_t *backoff, uint64_t now_ms, dial_result_t result, uint32_t random)
{
    uint32_t delay_ms = 0;
    switch (result) {
    case DIAL_CONNECTED:
        backoff->failures = 0;
        backoff->timeouts = 0;
        return;
    case DIAL_FAILED:
        backoff->timeouts = 0;
        delay_ms = dial_backoff_double(DIAL_DELAY_MIN_MS, backoff->failures, DIAL_DELAY_MAX_MS);
        backoff->failures++;
        break;
    case DIAL_TIMED_OUT:
        backoff->failures = 0;
        backoff->timeouts++;
        delay_ms = DIAL_DELAY_MIN_MS / 2; /* the attempt itself already took the connect timeout */
        break;
    }
    backoff->next_attempt_ms = now_ms + delay_ms + random % delay_ms;
}
