#include "core/quota_purse.h"

#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"

void quota_purses_close(quota_purses_t *purses)
{
    quota_purse_t *purse;
    quota_purse_t *next;
    HASH_ITER(hh, purses->purses, purse, next)
    {
        HASH_DEL(purses->purses, purse);
        free(purse);
    }
}

static quota_purse_t *quota_purse_of(quota_purses_t *purses, uint64_t tenant)
{
    quota_purse_t *purse = NULL;
    HASH_FIND(hh, purses->purses, &tenant, sizeof(tenant), purse);
    if (purse == NULL) {
        purse = memory_new(sizeof(*purse));
        purse->tenant = tenant;
        HASH_ADD(hh, purses->purses, tenant, sizeof(purse->tenant), purse);
    }
    return purse;
}

static void quota_purse_advance(quota_purse_t *purse, uint64_t now_ms)
{
    uint64_t period = now_ms / QUOTA_AHEAD_MS;
    if (period != purse->period) {
        purse->before = period == purse->period + 1 ? purse->recent : 0;
        purse->recent = 0;
        purse->period = period;
    }
}

static void quota_purse_expire(quota_purses_t *purses, quota_purse_t *purse, uint64_t now_ms)
{
    if (purse->tokens > 0 && now_ms >= purse->expires_ms) {
        purse->unused += purse->tokens;
        purse->tokens = 0;
        purses->due = true;
    }
}

void quota_purses_expire(quota_purses_t *purses, uint64_t now_ms)
{
    for (quota_purse_t *purse = purses->purses; purse != NULL; purse = purse->hh.next) {
        quota_purse_expire(purses, purse, now_ms);
    }
}

bool quota_purses_has(const quota_purses_t *purses, uint64_t now_ms, uint64_t tenant)
{
    const quota_purse_t *purse = NULL;
    HASH_FIND(hh, purses->purses, &tenant, sizeof(tenant), purse);
    return purse != NULL && purse->tokens > 0 && now_ms < purse->expires_ms;
}

uint64_t quota_purses_expiry(const quota_purses_t *purses, uint64_t tenant)
{
    const quota_purse_t *purse = NULL;
    HASH_FIND(hh, purses->purses, &tenant, sizeof(tenant), purse);
    return purse == NULL ? 0 : purse->expires_ms;
}

void quota_purses_name_service(quota_purses_t *purses, uint64_t tenant, uint64_t service)
{
    quota_purse_of(purses, tenant)->service = service;
}

void quota_purses_forget_idle(quota_purses_t *purses, uint64_t now_ms)
{
    quota_purse_t *purse;
    quota_purse_t *next;
    HASH_ITER(hh, purses->purses, purse, next)
    {
        bool idle = now_ms >= (purse->period + 1) * QUOTA_AHEAD_MS + QUOTA_IDLE_MS;
        if (idle && purse->tokens + purse->waiting + purse->begins + purse->unused == 0) {
            HASH_DEL(purses->purses, purse);
            free(purse);
        }
    }
}

void quota_purses_return(quota_purses_t *purses, uint64_t tenant)
{
    quota_purse_of(purses, tenant)->unused++;
    purses->due = true;
}

bool quota_purses_take(quota_purses_t *purses, uint64_t now_ms, uint64_t tenant, quota_use_t use)
{
    quota_purse_t *purse = quota_purse_of(purses, tenant);
    quota_purse_advance(purse, now_ms);
    quota_purse_expire(purses, purse, now_ms);
    purse->recent++;
    if (use == QUOTA_USE_REQUEST && purse->tokens > 0) {
        purse->tokens--;
        return true;
    }
    purse->waiting += use == QUOTA_USE_REQUEST ? 1 : 0;
    purse->begins += use == QUOTA_USE_BEGIN ? 1 : 0;
    purses->due = true;
    return false;
}

void quota_purses_ask(quota_purses_t *purses, uint64_t now_ms, QuotaAsk *ask)
{
    memset(ask, 0, sizeof(*ask));
    ask->demands = memory_new((HASH_COUNT(purses->purses) + 1) * sizeof(*ask->demands));
    for (quota_purse_t *purse = purses->purses; purse != NULL; purse = purse->hh.next) {
        quota_purse_advance(purse, now_ms);
        quota_purse_expire(purses, purse, now_ms);
        if (purse->waiting + purse->begins + purse->unused > 0) {
            uint32_t ahead = purse->waiting > 0 ? purse->before : 0;
            ask->demands[ask->demands_count++] = (QuotaDemand){.tenant = purse->tenant,
                                                               .wanted = purse->waiting + ahead,
                                                               .begins = purse->begins,
                                                               .service = purse->service,
                                                               .returned = purse->unused};
            purse->waiting = 0;
            purse->begins = 0;
            purse->unused = 0;
        }
    }
    purses->due = false;
}

void quota_purses_put(quota_purses_t *purses, uint64_t asked_ms, uint64_t tenant, uint32_t tokens)
{
    quota_purse_t *purse = quota_purse_of(purses, tenant);
    if (tokens > 0) {
        purse->tokens += tokens;
        purse->expires_ms = asked_ms + QUOTA_HELD_MS;
    }
}
