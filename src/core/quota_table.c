#include "core/quota_table.h"

#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"

static const double QUOTA_MS_PER_S = 1000;

void quota_table_clear(quota_table_t *table)
{
    quota_bucket_t *bucket;
    quota_bucket_t *next;
    HASH_ITER(hh, table->buckets, bucket, next)
    {
        HASH_DEL(table->buckets, bucket);
        free(bucket);
    }
}

/* A bucket holds at least one token, so that a rate alone, without a burst, lets requests pass. */
static double quota_room(const struct route_tenant *tenant)
{
    return tenant->burst < 1 ? 1 : tenant->burst;
}

static double quota_start_level(const struct route_tenant *tenant)
{
    double level =
        tenant->rate_per_s * QUOTA_START_MS / QUOTA_MS_PER_S + QUOTA_START_TOKENS + tenant->burst / QUOTA_START_PART;
    double room = quota_room(tenant);
    return level < room ? level : room;
}

static quota_bucket_t *quota_bucket_of(quota_table_t *table, uint64_t now_ms, const struct route_tenant *tenant)
{
    quota_bucket_t *bucket = NULL;
    HASH_FIND(hh, table->buckets, &tenant->hash, sizeof(tenant->hash), bucket);
    if (bucket == NULL) {
        bucket = memory_new(sizeof(*bucket));
        bucket->tenant = tenant->hash;
        bucket->level = quota_start_level(tenant);
        bucket->filled_ms = now_ms;
        HASH_ADD(hh, table->buckets, tenant, sizeof(bucket->tenant), bucket);
    }
    return bucket;
}

static void quota_fill(quota_bucket_t *bucket, uint64_t now_ms, const struct route_tenant *tenant)
{
    double room = quota_room(tenant);
    if (now_ms > bucket->filled_ms) {
        bucket->level += tenant->rate_per_s * (double)(now_ms - bucket->filled_ms) / QUOTA_MS_PER_S;
        bucket->filled_ms = now_ms;
    }
    if (bucket->level >= room) {
        bucket->level = room;
        bucket->owed = 0;
    }
}

/* When the bucket will have tokens for those that were refused before, and for one more. */
static uint32_t quota_retry_ms(const quota_bucket_t *bucket, const struct route_tenant *tenant)
{
    double lacks = (double)bucket->owed - bucket->level;
    double wait_ms = lacks * QUOTA_MS_PER_S / tenant->rate_per_s;
    if (wait_ms < QUOTA_RETRY_LEAST_MS) {
        return QUOTA_RETRY_LEAST_MS;
    }
    return wait_ms > QUOTA_RETRY_MOST_MS ? QUOTA_RETRY_MOST_MS : (uint32_t)wait_ms;
}

void quota_table_take(quota_table_t *table, uint64_t now_ms, const struct route_tenant *tenant, uint32_t wanted,
                      QuotaShare *share)
{
    quota_bucket_t *bucket = quota_bucket_of(table, now_ms, tenant);
    quota_fill(bucket, now_ms, tenant);
    uint32_t there = (uint32_t)bucket->level;
    uint32_t granted = there < wanted ? there : wanted;
    bucket->level -= granted;
    bucket->owed += wanted - granted;
    table->granted += granted;
    table->refused += wanted - granted;
    *share = (QuotaShare){.tenant = tenant->hash, .granted = granted};
    share->retry_ms = granted < wanted ? quota_retry_ms(bucket, tenant) : 0;
}

static const struct route_tenant *quota_tenant(const struct route_table *routes, uint64_t hash)
{
    for (uint32_t i = 0; i < routes->tenant_count; i++) {
        if (routes->tenants[i].hash == hash) {
            return &routes->tenants[i];
        }
    }
    return NULL;
}

void quota_table_answer(quota_table_t *table, uint64_t now_ms, const struct route_table *routes, const QuotaAsk *ask,
                        QuotaGrant *grant)
{
    memset(grant, 0, sizeof(*grant));
    grant->shares = memory_new((ask->demands_count + 1U) * sizeof(*grant->shares));
    for (pb_size_t i = 0; i < ask->demands_count; i++) {
        const QuotaDemand *demand = &ask->demands[i];
        const struct route_tenant *tenant = quota_tenant(routes, demand->tenant);
        QuotaShare *share = &grant->shares[grant->shares_count++];
        if (tenant == NULL) {
            *share = (QuotaShare){.tenant = demand->tenant, .retry_ms = QUOTA_RETRY_LEAST_MS};
        } else if (tenant->rate_per_s <= 0) {
            *share = (QuotaShare){.tenant = demand->tenant, .granted = demand->wanted};
        } else {
            quota_table_take(table, now_ms, tenant, demand->wanted, share);
        }
    }
}
