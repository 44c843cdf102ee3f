#include "core/health.h"

enum { HEALTH_MAX_HALVINGS = 16 /* fraction bits of HEALTH_ONE; any share counts as 0 after this many */ };

uint32_t health_share(const health_t *health, uint64_t now_ms)
{
    uint64_t age_ms = now_ms > health->updated_ms ? now_ms - health->updated_ms : 0;
    uint64_t halvings = age_ms / HEALTH_HALF_LIFE_MS;
    if (halvings >= HEALTH_MAX_HALVINGS) {
        return 0;
    }
    uint32_t share = health->share >> halvings;
    uint64_t rest_ms = age_ms % HEALTH_HALF_LIFE_MS;
    return share - (uint32_t)(share * rest_ms / (2 * (uint64_t)HEALTH_HALF_LIFE_MS));
}

static uint32_t health_failure_share(health_outcome_t outcome)
{
    switch (outcome) {
    case HEALTH_SERVED: return 0;
    case HEALTH_FAILED: return HEALTH_ONE;
    case HEALTH_REFUSED: return HEALTH_ONE / 2;
    case HEALTH_UNANSWERED: return HEALTH_ONE;
    }
    return 0;
}

void health_record(health_t *health, uint64_t now_ms, health_outcome_t outcome)
{
    uint32_t share = health_share(health, now_ms);
    health->share = share - share / HEALTH_AVERAGE_DIVISOR + health_failure_share(outcome) / HEALTH_AVERAGE_DIVISOR;
    health->updated_ms = now_ms;
}

uint32_t health_penalty_requests(uint32_t share)
{
    uint32_t counted = share > HEALTH_TOLERATED_SHARE ? share - HEALTH_TOLERATED_SHARE : 0;
    return (uint32_t)((uint64_t)counted * HEALTH_PENALTY_REQUESTS / HEALTH_ONE);
}

bool health_is_bad(uint32_t share)
{
    return share > HEALTH_TOLERATED_SHARE;
}

bool health_should_log_failing(bool was_failing, uint32_t share)
{
    return was_failing ? share >= HEALTH_RECOVERED_SHARE : health_is_bad(share);
}
