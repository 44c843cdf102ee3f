#include "core/quota_lease.h"

#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"

void quota_leases_close(quota_leases_t *leases)
{
    quota_lease_t *lease;
    quota_lease_t *next;
    HASH_ITER(hh, leases->by_key, lease, next)
    {
        HASH_DEL(leases->by_key, lease);
        free(lease);
    }
}

static quota_lease_t *quota_find_or_add_lease(quota_leases_t *leases, uint64_t key)
{
    quota_lease_t *lease = NULL;
    HASH_FIND(hh, leases->by_key, &key, sizeof(key), lease);
    if (lease == NULL) {
        lease = memory_new(sizeof(*lease));
        lease->key = key;
        HASH_ADD(hh, leases->by_key, key, sizeof(lease->key), lease);
    }
    return lease;
}

static void quota_lease_advance_period(quota_lease_t *lease, uint64_t now_ms)
{
    uint64_t period = now_ms / QUOTA_PREFETCH_MS;
    if (period != lease->period) {
        lease->previous = period == lease->period + 1 ? lease->current : 0;
        lease->current = 0;
        lease->period = period;
    }
}

static void quota_lease_expire(quota_leases_t *leases, quota_lease_t *lease, uint64_t now_ms)
{
    if (lease->tokens > 0 && now_ms >= lease->expires_ms) {
        lease->to_return += lease->tokens;
        lease->tokens = 0;
        leases->due = true;
    }
}

void quota_leases_expire(quota_leases_t *leases, uint64_t now_ms)
{
    for (quota_lease_t *lease = leases->by_key; lease != NULL; lease = lease->hh.next) {
        quota_lease_expire(leases, lease, now_ms);
    }
}

bool quota_leases_has(const quota_leases_t *leases, uint64_t now_ms, uint64_t key)
{
    const quota_lease_t *lease = NULL;
    HASH_FIND(hh, leases->by_key, &key, sizeof(key), lease);
    return lease != NULL && lease->tokens > 0 && now_ms < lease->expires_ms;
}

uint64_t quota_leases_expiry(const quota_leases_t *leases, uint64_t key)
{
    const quota_lease_t *lease = NULL;
    HASH_FIND(hh, leases->by_key, &key, sizeof(key), lease);
    return lease == NULL ? 0 : lease->expires_ms;
}

void quota_leases_set_service(quota_leases_t *leases, uint64_t key, uint64_t service)
{
    quota_find_or_add_lease(leases, key)->service = service;
}

void quota_leases_remove_idle(quota_leases_t *leases, uint64_t now_ms)
{
    quota_lease_t *lease;
    quota_lease_t *next;
    HASH_ITER(hh, leases->by_key, lease, next)
    {
        bool idle = now_ms >= (lease->period + 1) * QUOTA_PREFETCH_MS + QUOTA_IDLE_MS;
        if (idle && lease->tokens + lease->waiting + lease->begins + lease->to_return == 0) {
            HASH_DEL(leases->by_key, lease);
            free(lease);
        }
    }
}

void quota_leases_return(quota_leases_t *leases, uint64_t key)
{
    quota_find_or_add_lease(leases, key)->to_return++;
    leases->due = true;
}

bool quota_leases_take(quota_leases_t *leases, uint64_t now_ms, uint64_t key, quota_use_t use)
{
    quota_lease_t *lease = quota_find_or_add_lease(leases, key);
    quota_lease_advance_period(lease, now_ms);
    quota_lease_expire(leases, lease, now_ms);
    lease->current++;
    if (use == QUOTA_USE_REQUEST && lease->tokens > 0) {
        lease->tokens--;
        return true;
    }
    lease->waiting += use == QUOTA_USE_REQUEST ? 1 : 0;
    lease->begins += use == QUOTA_USE_BEGIN ? 1 : 0;
    leases->due = true;
    return false;
}

void quota_leases_fill_request(quota_leases_t *leases, uint64_t now_ms, QuotaAsk *ask)
{
    memset(ask, 0, sizeof(*ask));
    ask->demands = memory_new((HASH_COUNT(leases->by_key) + 1) * sizeof(*ask->demands));
    for (quota_lease_t *lease = leases->by_key; lease != NULL; lease = lease->hh.next) {
        quota_lease_advance_period(lease, now_ms);
        quota_lease_expire(leases, lease, now_ms);
        if (lease->waiting + lease->begins + lease->to_return > 0) {
            uint32_t prefetch = lease->waiting > 0 ? lease->previous : 0;
            ask->demands[ask->demands_count++] = (QuotaDemand){.tenant = lease->key,
                                                               .wanted = lease->waiting + prefetch,
                                                               .begins = lease->begins,
                                                               .service = lease->service,
                                                               .returned = lease->to_return};
            lease->waiting = 0;
            lease->begins = 0;
            lease->to_return = 0;
        }
    }
    leases->due = false;
}

void quota_leases_add(quota_leases_t *leases, uint64_t sent_ms, uint64_t key, uint32_t tokens)
{
    quota_lease_t *lease = quota_find_or_add_lease(leases, key);
    if (tokens > 0) {
        lease->tokens += tokens;
        lease->expires_ms = sent_ms + QUOTA_LEASE_MS;
    }
}
