#include "core/quota_table.h"

#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"

static const double QUOTA_MS_PER_S = 1000;

void quota_table_clear(quota_table_t *table, uint64_t now_ms)
{
    table->started_ms = now_ms;
    quota_bucket_t *bucket;
    quota_bucket_t *next;
    HASH_ITER(hh, table->buckets, bucket, next)
    {
        HASH_DEL(table->buckets, bucket);
        free(bucket);
    }
}

void quota_table_remove_idle(quota_table_t *table, uint64_t now_ms, uint64_t idle_ms)
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
    const quota_tolerance_t *tolerance = &table->tolerance;
    return tolerance->overshoot * (tenant->rate_per_s * tolerance->window_s + tenant->burst) + tolerance->slack;
}

/* At least one token, so that a limit with a rate but no burst admits requests. */
static double quota_capacity(const quota_table_t *table, const struct route_tenant *tenant)
{
    double capacity = tenant->burst + quota_allowance(table, tenant) * QUOTA_BURST_PERCENT / 100;
    return capacity < 1 ? 1 : capacity;
}

/* Begins of programs get no allowance. */
static double quota_begin_capacity(const struct route_tenant *tenant)
{
    return tenant->burst < 1 ? 1 : tenant->burst;
}

static double quota_initial_level(const quota_table_t *table, const struct route_tenant *tenant)
{
    return quota_allowance(table, tenant) * QUOTA_START_PERCENT / 100;
}

static quota_bucket_t *quota_find_or_add_bucket(quota_table_t *table, const struct route_tenant *tenant)
{
    quota_bucket_t *bucket = NULL;
    HASH_FIND(hh, table->buckets, &tenant->hash, sizeof(tenant->hash), bucket);
    if (bucket == NULL) {
        bucket = memory_new(sizeof(*bucket));
        bucket->key = tenant->hash;
        bucket->level = quota_initial_level(table, tenant);
        bucket->begin_level = quota_begin_capacity(tenant);
        bucket->filled_ms = table->started_ms;
        HASH_ADD(hh, table->buckets, key, sizeof(bucket->key), bucket);
    }
    return bucket;
}

static double quota_reduce_backlog(double backlog, double filled)
{
    return backlog > filled ? backlog - filled : 0;
}

static void quota_refill(const quota_table_t *table, quota_bucket_t *bucket, uint64_t now_ms,
                         const struct route_tenant *tenant)
{
    double capacity = quota_capacity(table, tenant);
    double begin_capacity = quota_begin_capacity(tenant);
    double filled = 0;
    if (now_ms > bucket->filled_ms) {
        filled = tenant->rate_per_s * (double)(now_ms - bucket->filled_ms) / QUOTA_MS_PER_S;
        bucket->filled_ms = now_ms;
    }
    bucket->level += filled;
    bucket->begin_level += filled * QUOTA_BEGIN_PERCENT / 100;
    bucket->level = bucket->level > capacity ? capacity : bucket->level;
    bucket->begin_level = bucket->begin_level > begin_capacity ? begin_capacity : bucket->begin_level;
    bucket->backlog = quota_reduce_backlog(bucket->backlog, filled);
    bucket->begin_backlog = quota_reduce_backlog(bucket->begin_backlog, filled);
}

/* Time to refill `missing` tokens, clamped to the range of retry delays. */
static uint32_t quota_retry_ms(double missing, const struct route_tenant *tenant)
{
    double wait_ms = missing * QUOTA_MS_PER_S / tenant->rate_per_s;
    if (wait_ms < QUOTA_RETRY_MIN_MS) {
        return QUOTA_RETRY_MIN_MS;
    }
    return wait_ms > QUOTA_RETRY_MAX_MS ? QUOTA_RETRY_MAX_MS : (uint32_t)wait_ms;
}

static double quota_estimate_mean_requests(const quota_table_t *table)
{
    double requests = table->observed_requests + (double)QUOTA_PRIOR_REQUESTS * QUOTA_PRIOR_PROGRAMS;
    return requests / (table->observed_programs + QUOTA_PRIOR_PROGRAMS);
}

/* Counts refused requests too: otherwise refusals would lower the estimated number of requests per program. */
static void quota_update_mean(quota_table_t *table, const QuotaDemand *demand, uint32_t begun)
{
    double demanded = (double)demand->wanted + begun - demand->returned;
    table->observed_requests = table->observed_requests + demanded > 0 ? table->observed_requests + demanded : 0;
    table->observed_programs += begun;
    if (table->observed_programs > QUOTA_MAX_PROGRAMS) {
        table->observed_programs /= 2;
        table->observed_requests /= 2;
    }
}

static uint32_t quota_take_tokens(quota_bucket_t *bucket, uint32_t wanted)
{
    uint32_t available = bucket->level > 0 ? (uint32_t)bucket->level : 0;
    uint32_t granted = available < wanted ? available : wanted;
    bucket->level -= granted;
    bucket->backlog += wanted - granted;
    return granted;
}

/* An admitted program costs `mean_requests` in the bucket of begins and one token for its first request. */
static uint32_t quota_take_begins(quota_bucket_t *bucket, uint32_t begins, double mean_requests)
{
    uint32_t begun = 0;
    while (begun < begins && bucket->begin_level > 0 && bucket->level >= 1) {
        bucket->begin_level -= mean_requests;
        bucket->level -= 1;
        begun++;
    }
    bucket->begin_backlog += (begins - begun) * mean_requests;
    return begun;
}

void quota_table_take(quota_table_t *table, uint64_t now_ms, const struct route_tenant *tenant,
                      const QuotaDemand *demand, QuotaShare *share)
{
    quota_bucket_t *bucket = quota_find_or_add_bucket(table, tenant);
    bucket->level += demand->returned;
    quota_refill(table, bucket, now_ms, tenant);
    uint32_t granted = quota_take_tokens(bucket, demand->wanted);
    uint32_t begun = quota_take_begins(bucket, demand->begins, quota_estimate_mean_requests(table));
    quota_update_mean(table, demand, begun);
    bucket->granted += granted + begun;
    bucket->refused += demand->wanted - granted + demand->begins - begun;
    table->granted += granted + begun;
    table->refused += demand->wanted - granted;
    table->begins_refused += demand->begins - begun;
    *share = (QuotaShare){.tenant = tenant->hash, .granted = granted, .begun = begun};
    if (granted < demand->wanted) {
        share->retry_ms = quota_retry_ms(bucket->backlog - bucket->level, tenant);
    } else if (begun < demand->begins) {
        share->retry_ms = quota_retry_ms(bucket->begin_backlog - bucket->begin_level, tenant);
    }
}

void quota_table_answer(quota_table_t *table, uint64_t now_ms, const struct route_table *routes, const QuotaAsk *ask,
                        QuotaGrant *grant)
{
    memset(grant, 0, sizeof(*grant));
    grant->shares = memory_new((ask->demands_count + 1U) * sizeof(*grant->shares));
    for (pb_size_t i = 0; i < ask->demands_count; i++) {
        const QuotaDemand *demand = &ask->demands[i];
        const struct route_tenant *tenant = route_table_tenant_of_hash(routes, demand->tenant);
        QuotaShare *share = &grant->shares[grant->shares_count++];
        if (tenant == NULL) {
            *share = (QuotaShare){.tenant = demand->tenant, .retry_ms = QUOTA_RETRY_MIN_MS};
        } else if (tenant->rate_per_s <= 0) {
            *share = (QuotaShare){.tenant = demand->tenant, .granted = demand->wanted, .begun = demand->begins};
        } else {
            quota_table_take(table, now_ms, tenant, demand, share);
        }
    }
}
