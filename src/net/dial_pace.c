#include "net/dial_pace.h"

/* `first` doubled `times` times, at most `most`. */
static uint32_t dial_doubled(uint32_t first, uint32_t times, uint32_t most)
{
    uint32_t value = first;
    for (uint32_t i = 0; i < times && value < most; i++) {
        value *= 2;
    }
    return value < most ? value : most;
}

uint32_t dial_pace_limit_ms(const dial_pace_t *pace)
{
    return dial_doubled(DIAL_LIMIT_MIN_MS, pace->silent_attempts / DIAL_LIMIT_ATTEMPTS, DIAL_LIMIT_MAX_MS);
}

void dial_pace_note(dial_pace_t *pace, uint64_t now_ms, dial_end_t end, uint32_t random)
{
    uint32_t pause_ms = 0;
    switch (end) {
    case DIAL_END_CONNECTED:
        pace->refused = 0;
        pace->silent_attempts = 0;
        return;
    case DIAL_END_REFUSED:
        pace->silent_attempts = 0;
        pause_ms = dial_doubled(DIAL_PAUSE_MIN_MS, pace->refused, DIAL_PAUSE_MAX_MS);
        pace->refused++;
        break;
    case DIAL_END_SILENT:
        pace->refused = 0;
        pace->silent_attempts++;
        pause_ms = DIAL_PAUSE_MIN_MS / 2; /* the attempt itself was a pause */
        break;
    }
    pace->due_ms = now_ms + pause_ms + random % pause_ms;
}
