#include "core/quota_table.h"

#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"

static const double QUOTA_MS_PER_S = 1000;

void quota_table_clear(quota_table_t *table, uint64_t now_ms)
{
    table->begun_ms = now_ms;
    quota_bucket_t *bucket;
    quota_bucket_t *next;
    HASH_ITER(hh, table->buckets, bucket, next)
    {
        HASH_DEL(table->buckets, bucket);
        free(bucket);
    }
}

void quota_table_forget_idle(quota_table_t *table, uint64_t now_ms, uint64_t idle_ms)
{
    quota_bucket_t *bucket;
    quota_bucket_t *next;
    HASH_ITER(hh, table->buckets, bucket, next)
    {
        if (now_ms >= bucket->filled_ms + idle_ms) {
            HASH_DEL(table->buckets, bucket);
            free(bucket);
        }
    }
}

static double quota_allowance(const quota_table_t *table, const struct route_tenant *tenant)
{
    const quota_bounds_t *bounds = &table->bounds;
    return bounds->overshoot * (tenant->rate_per_s * bounds->window_s + tenant->burst) + bounds->slack;
}

/* A bucket holds at least one token, so that a rate alone, without a burst, lets requests pass. */
static double quota_room(const quota_table_t *table, const struct route_tenant *tenant)
{
    double room = tenant->burst + quota_allowance(table, tenant) * QUOTA_CLUMP_PERCENT / 100;
    return room < 1 ? 1 : room;
}

/* Programs are begun within the limit itself. */
static double quota_begin_room(const struct route_tenant *tenant)
{
    return tenant->burst < 1 ? 1 : tenant->burst;
}

static double quota_start_level(const quota_table_t *table, const struct route_tenant *tenant)
{
    return quota_allowance(table, tenant) * QUOTA_START_PERCENT / 100;
}

static quota_bucket_t *quota_bucket_of(quota_table_t *table, const struct route_tenant *tenant)
{
    quota_bucket_t *bucket = NULL;
    HASH_FIND(hh, table->buckets, &tenant->hash, sizeof(tenant->hash), bucket);
    if (bucket == NULL) {
        bucket = memory_new(sizeof(*bucket));
        bucket->tenant = tenant->hash;
        bucket->level = quota_start_level(table, tenant);
        bucket->begin_level = quota_begin_room(tenant);
        bucket->filled_ms = table->begun_ms;
        HASH_ADD(hh, table->buckets, tenant, sizeof(bucket->tenant), bucket);
    }
    return bucket;
}

static double quota_lower(double owed, double filled)
{
    return owed > filled ? owed - filled : 0;
}

static void quota_fill(const quota_table_t *table, quota_bucket_t *bucket, uint64_t now_ms,
                       const struct route_tenant *tenant)
{
    double room = quota_room(table, tenant);
    double begin_room = quota_begin_room(tenant);
    double filled = 0;
    if (now_ms > bucket->filled_ms) {
        filled = tenant->rate_per_s * (double)(now_ms - bucket->filled_ms) / QUOTA_MS_PER_S;
        bucket->filled_ms = now_ms;
    }
    bucket->level += filled;
    bucket->begin_level += filled * QUOTA_BEGIN_PERCENT / 100;
    bucket->level = bucket->level > room ? room : bucket->level;
    bucket->begin_level = bucket->begin_level > begin_room ? begin_room : bucket->begin_level;
    bucket->owed = quota_lower(bucket->owed, filled);
    bucket->begin_owed = quota_lower(bucket->begin_owed, filled);
}

/* When there will be `lacks` requests more. */
static uint32_t quota_retry_ms(double lacks, const struct route_tenant *tenant)
{
    double wait_ms = lacks * QUOTA_MS_PER_S / tenant->rate_per_s;
    if (wait_ms < QUOTA_RETRY_LEAST_MS) {
        return QUOTA_RETRY_LEAST_MS;
    }
    return wait_ms > QUOTA_RETRY_MOST_MS ? QUOTA_RETRY_MOST_MS : (uint32_t)wait_ms;
}

/* Requests of a program on average. */
static double quota_program_requests(const quota_table_t *table)
{
    double requests = table->requests + (double)QUOTA_PROGRAM_REQUESTS * QUOTA_PROGRAM_WEIGHT;
    return requests / (table->programs + QUOTA_PROGRAM_WEIGHT);
}

/* What was refused is part of what a program asks for: learnt from grants alone, a tenant's programs would seem the
 * shorter the more of them fail. */
static void quota_learn(quota_table_t *table, const QuotaDemand *demand, uint32_t begun)
{
    double asked = (double)demand->wanted + begun - demand->returned;
    table->requests = table->requests + asked > 0 ? table->requests + asked : 0;
    table->programs += begun;
    if (table->programs > QUOTA_PROGRAMS_MOST) {
        table->programs /= 2;
        table->requests /= 2;
    }
}

static uint32_t quota_take_tokens(quota_bucket_t *bucket, uint32_t wanted)
{
    uint32_t there = bucket->level > 0 ? (uint32_t)bucket->level : 0;
    uint32_t granted = there < wanted ? there : wanted;
    bucket->level -= granted;
    bucket->owed += wanted - granted;
    return granted;
}

/* A program that begins takes a token too. */
static uint32_t quota_take_begins(quota_bucket_t *bucket, uint32_t begins, double requests)
{
    uint32_t begun = 0;
    while (begun < begins && bucket->begin_level > 0 && bucket->level >= 1) {
        bucket->begin_level -= requests;
        bucket->level -= 1;
        begun++;
    }
    bucket->begin_owed += (begins - begun) * requests;
    return begun;
}

void quota_table_take(quota_table_t *table, uint64_t now_ms, const struct route_tenant *tenant,
                      const QuotaDemand *demand, QuotaShare *share)
{
    quota_bucket_t *bucket = quota_bucket_of(table, tenant);
    bucket->level += demand->returned;
    quota_fill(table, bucket, now_ms, tenant);
    uint32_t granted = quota_take_tokens(bucket, demand->wanted);
    uint32_t begun = quota_take_begins(bucket, demand->begins, quota_program_requests(table));
    quota_learn(table, demand, begun);
    bucket->granted += granted + begun;
    bucket->refused += demand->wanted - granted + demand->begins - begun;
    table->granted += granted + begun;
    table->refused += demand->wanted - granted;
    table->begins_refused += demand->begins - begun;
    *share = (QuotaShare){.tenant = tenant->hash, .granted = granted, .begun = begun};
    if (granted < demand->wanted) {
        share->retry_ms = quota_retry_ms(bucket->owed - bucket->level, tenant);
    } else if (begun < demand->begins) {
        share->retry_ms = quota_retry_ms(bucket->begin_owed - bucket->begin_level, tenant);
    }
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
            *share = (QuotaShare){.tenant = demand->tenant, .granted = demand->wanted, .begun = demand->begins};
        } else {
            quota_table_take(table, now_ms, tenant, demand, share);
        }
    }
}
