#include "core/health.h"

enum { HEALTH_SHIFT_MAX = 16 /* half-lives after which nothing is left of a share */ };

uint32_t health_share(const health_t *health, uint64_t now_ms)
{
    uint64_t age_ms = now_ms > health->noted_ms ? now_ms - health->noted_ms : 0;
    uint64_t halvings = age_ms / HEALTH_HALF_LIFE_MS;
    if (halvings >= HEALTH_SHIFT_MAX) {
        return 0;
    }
    uint32_t share = health->share >> halvings;
    uint64_t rest_ms = age_ms % HEALTH_HALF_LIFE_MS;
    return share - (uint32_t)(share * rest_ms / (2 * (uint64_t)HEALTH_HALF_LIFE_MS));
}

static uint32_t health_weight(health_outcome_t outcome)
{
    switch (outcome) {
    case HEALTH_SERVED: return 0;
    case HEALTH_FAILED: return HEALTH_ONE;
    case HEALTH_REFUSED: return HEALTH_ONE / 2;
    case HEALTH_UNANSWERED: return HEALTH_ONE;
    }
    return 0;
}

void health_note(health_t *health, uint64_t now_ms, health_outcome_t outcome)
{
    uint32_t share = health_share(health, now_ms);
    health->share = share - share / HEALTH_WINDOW + health_weight(outcome) / HEALTH_WINDOW;
    health->noted_ms = now_ms;
}

uint32_t health_calls(uint32_t share)
{
    uint32_t counted = share > HEALTH_EXCUSED ? share - HEALTH_EXCUSED : 0;
    return (uint32_t)((uint64_t)counted * HEALTH_CALLS / HEALTH_ONE);
}

bool health_is_bad(uint32_t share)
{
    return share > HEALTH_EXCUSED;
}

bool health_told_failing(bool told, uint32_t share)
{
    return told ? share >= HEALTH_SOUND : health_is_bad(share);
}
