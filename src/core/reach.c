#include "core/reach.h"

bool reach_is_due(const reach_t *reach, uint64_t now_ms, bool busy, uint64_t heard_ms)
{
    if (reach->dialling) {
        return false;
    }
    if (reach->lost) {
        return now_ms >= reach->dialled_ms + REACH_AGAIN_MS;
    }
    if (reach->failures > 0) {
        return true;
    }
    return busy && now_ms >= heard_ms + ((uint64_t)REACH_SILENT_MS << reach->steps);
}

void reach_note_dial(reach_t *reach)
{
    reach->dialling = true;
}

static reach_change_t reach_regain(reach_t *reach)
{
    bool lost = reach->lost;
    reach->lost = false;
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
    bool now_lost = !reach->lost && reach->failures >= REACH_DIALS;
    reach->lost = reach->lost || now_lost;
    return now_lost ? REACH_LOST : REACH_AS_BEFORE;
}

reach_change_t reach_note_heard(reach_t *reach)
{
    reach->steps = 0;
    return reach_regain(reach);
}
