#include "core/reach.h"

static uint64_t reach_silence_limit_ms(const reach_t *reach)
{
    uint64_t expected_ms = reach->mean_ms + (uint64_t)REACH_DEVIATION_FACTOR * reach->deviation_ms;
    uint64_t limit_ms = expected_ms > REACH_MIN_SILENCE_MS ? expected_ms : REACH_MIN_SILENCE_MS;
    return limit_ms << reach->backoff;
}

bool reach_probe_is_due(const reach_t *reach, uint64_t now_ms, bool busy, uint64_t last_activity_ms)
{
    if (reach->probing) {
        return false;
    }
    if (reach->confirmed_unreachable) {
        return now_ms >= reach->probed_ms + REACH_RETRY_MS;
    }
    if (reach->failures > 0 || reach->suspected) {
        return true;
    }
    uint64_t limit_ms = reach_silence_limit_ms(reach);
    uint64_t due_ms = last_activity_ms + limit_ms;
    if (reach->probed_ms >= due_ms) {
        due_ms = reach->probed_ms + limit_ms; /* the silence that it answered for has not begun anew */
    }
    return busy && now_ms >= due_ms;
}

void reach_record_probe_start(reach_t *reach)
{
    reach->probing = true;
}

static reach_change_t reach_recover(reach_t *reach)
{
    bool was_unreachable = reach->unreachable;
    reach->unreachable = false;
    reach->confirmed_unreachable = false;
    reach->peer_silent = false;
    reach->suspected = false;
    reach->failures = 0;
    return was_unreachable ? REACH_RECOVERED : REACH_UNCHANGED;
}

reach_change_t reach_record_outcome(reach_t *reach, uint64_t now_ms, bool answered)
{
    reach->probing = false;
    reach->probed_ms = now_ms;
    if (answered) {
        reach->backoff += reach->backoff < REACH_BACKOFF_MAX ? 1 : 0;
        return reach_recover(reach);
    }
    reach->failures++;
    if (!reach->unreachable && reach->failures >= REACH_UNREACHABLE_PROBES) {
        reach->unreachable = true;
        return REACH_UNREACHABLE;
    }
    if (!reach->confirmed_unreachable && reach->failures >= REACH_CONFIRMED_PROBES) {
        reach->confirmed_unreachable = true;
        return reach->peer_silent ? REACH_DEAD : REACH_CONFIRMED_UNREACHABLE;
    }
    return REACH_UNCHANGED;
}

reach_change_t reach_record_peer_silent(reach_t *reach)
{
    bool was_silent = reach->peer_silent;
    reach->peer_silent = true;
    return reach->confirmed_unreachable && !was_silent ? REACH_DEAD : REACH_UNCHANGED;
}

void reach_record_connect_timeout(reach_t *reach)
{
    reach->suspected = true;
}

bool reach_is_dead(const reach_t *reach)
{
    return reach->confirmed_unreachable && reach->peer_silent;
}

void reach_record_response(reach_t *reach, uint64_t response_ms)
{
    int64_t sample_ms = response_ms < UINT32_MAX / 2 ? (int64_t)response_ms : UINT32_MAX / 2;
    int64_t error_ms = sample_ms - reach->mean_ms;
    int64_t absolute_error_ms = error_ms < 0 ? -error_ms : error_ms;
    if (reach->mean_ms == 0) {
        reach->mean_ms = (uint32_t)sample_ms;
        reach->deviation_ms = (uint32_t)sample_ms / 2;
        return;
    }
    reach->mean_ms = (uint32_t)(reach->mean_ms + error_ms / REACH_MEAN_DIVISOR);
    reach->deviation_ms =
        (uint32_t)(reach->deviation_ms + (absolute_error_ms - reach->deviation_ms) / REACH_DEVIATION_DIVISOR);
}

reach_change_t reach_record_received(reach_t *reach)
{
    reach->backoff = 0;
    return reach_recover(reach);
}
