#include "core/closed_dials.h"

static uint64_t closed_dials_interval_ms(uint32_t count)
{
    uint64_t interval_ms = CLOSED_DIALS_FIRST_MS;
    for (uint32_t i = 1; i < count && interval_ms < CLOSED_DIALS_INTERVAL_MS; i++) {
        interval_ms *= 2;
    }
    return interval_ms < CLOSED_DIALS_INTERVAL_MS ? interval_ms : CLOSED_DIALS_INTERVAL_MS;
}

bool closed_dials_record(closed_dials_t *dials, uint64_t now_ms)
{
    if (now_ms >= dials->held_until_ms) {
        dials->count = 0; /* the last dial stayed open, or nobody dialled for a while */
    }
    if (dials->count >= CLOSED_DIALS_MAX) {
        return false;
    }
    dials->count++;
    dials->redial_ms = now_ms + closed_dials_interval_ms(dials->count);
    dials->held_until_ms = dials->redial_ms + CLOSED_DIALS_LATE_MS + CLOSED_DIALS_SETTLE_MS;
    return true;
}

bool closed_dials_take_redial(closed_dials_t *dials, uint64_t now_ms)
{
    bool due = dials->redial_ms != 0 && now_ms >= dials->redial_ms;
    if (due) {
        dials->redial_ms = 0;
    }
    return due;
}
