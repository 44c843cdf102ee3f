#include "core/reach.h"

static uint64_t reach_borne_ms(const reach_t *reach)
{
    uint64_t usual_ms = reach->usual_ms + (uint64_t)REACH_SPREADS * reach->spread_ms;
    uint64_t least_ms = usual_ms > REACH_SILENT_MS ? usual_ms : REACH_SILENT_MS;
    return least_ms << reach->steps;
}

bool reach_is_due(const reach_t *reach, uint64_t now_ms, bool busy, uint64_t heard_ms)
{
    if (reach->dialling) {
        return false;
    }
    if (reach->cut_off) {
        return now_ms >= reach->dialled_ms + REACH_AGAIN_MS;
    }
    if (reach->failures > 0) {
        return true;
    }
    return busy && now_ms >= heard_ms + reach_borne_ms(reach);
}

void reach_note_dial(reach_t *reach)
{
    reach->dialling = true;
}

static reach_change_t reach_regain(reach_t *reach)
{
    bool lost = reach->lost;
    reach->lost = false;
    reach->cut_off = false;
    reach->silent_open = false;
    reach->failures = 0;
    return lost ? REACH_REGAINED : REACH_AS_BEFORE;
}

reach_change_t reach_note_outcome(reach_t *reach, uint64_t now_ms, bool answered)
{
    reach->dialling = false;
    reach->dialled_ms = now_ms;
    if (answered) {
        reach->steps += reach->steps < REACH_STEPS_MAX ? 1 : 0;
        return reach_regain(reach);
    }
    reach->failures++;
    if (!reach->lost && reach->failures >= REACH_DIALS) {
        reach->lost = true;
        return REACH_LOST;
    }
    if (!reach->cut_off && reach->failures >= REACH_DIALS_SURE) {
        reach->cut_off = true;
        return reach->silent_open ? REACH_GONE : REACH_CUT_OFF;
    }
    return REACH_AS_BEFORE;
}

reach_change_t reach_note_silent_open(reach_t *reach)
{
    bool known = reach->silent_open;
    reach->silent_open = true;
    return reach->cut_off && !known ? REACH_GONE : REACH_AS_BEFORE;
}

bool reach_is_gone(const reach_t *reach)
{
    return reach->cut_off && reach->silent_open;
}

void reach_note_answer(reach_t *reach, uint64_t after_ms)
{
    int64_t sample_ms = after_ms < UINT32_MAX / 2 ? (int64_t)after_ms : UINT32_MAX / 2;
    int64_t off_ms = sample_ms - reach->usual_ms;
    int64_t distance_ms = off_ms < 0 ? -off_ms : off_ms;
    if (reach->usual_ms == 0) {
        reach->usual_ms = (uint32_t)sample_ms;
        reach->spread_ms = (uint32_t)sample_ms / 2;
        return;
    }
    reach->usual_ms = (uint32_t)(reach->usual_ms + off_ms / REACH_MEAN_SHARE);
    reach->spread_ms = (uint32_t)(reach->spread_ms + (distance_ms - reach->spread_ms) / REACH_SPREAD_SHARE);
}

reach_change_t reach_note_heard(reach_t *reach)
{
    reach->steps = 0;
    return reach_regain(reach);
}
