#include "core/slow_start.h"

#include <string.h>

#include "base/buffer.h"
#include "core/quota_lease.h"

static const double SLOW_START_MS_PER_S = 1000;

double slow_start_limit(const slow_start_tolerance_t *tolerance, double rate_per_s)
{
    double overshoot = tolerance->overshoot > 0 ? tolerance->overshoot : 1;
    return overshoot * rate_per_s + tolerance->slack;
}

/* quota_table.h derives the size and the initial level of a bucket from the slack. */
static void slow_start_configure_bucket(quota_table_t *table, struct route_tenant *bucket, double limit)
{
    double capacity = limit * SLOW_START_CAPACITY_PERCENT / 100;
    double initial = limit * SLOW_START_INITIAL_PERCENT / 100;
    double token_life_s = (QUOTA_LEASE_MS + SLOW_START_TRANSIT_MS) / SLOW_START_MS_PER_S;
    table->tolerance = (quota_tolerance_t){.window_s = 1, .slack = capacity * 100 / QUOTA_BURST_PERCENT};
    bucket->rate_per_s = (limit - capacity - 2 * initial) / (1 + token_life_s);
}

/* At intervals, because it visits all buckets. */
static void slow_start_remove_idle(slow_start_table_t *table, uint64_t now_ms)
{
    if (now_ms >= table->removal_due_ms) {
        table->removal_due_ms = now_ms + SLOW_START_IDLE_MS;
        quota_table_remove_idle(&table->tokens, now_ms, SLOW_START_IDLE_MS);
    }
}

void slow_start_answer(slow_start_table_t *table, uint64_t now_ms, const struct route_table *routes,
                       const slow_start_tolerance_t *tolerance, const QuotaAsk *ask, QuotaGrant *grant)
{
    memset(grant, 0, sizeof(*grant));
    grant->shares = memory_new((ask->demands_count + 1U) * sizeof(*grant->shares));
    slow_start_remove_idle(table, now_ms);
    for (pb_size_t i = 0; i < ask->demands_count; i++) {
        const QuotaDemand *demand = &ask->demands[i];
        const struct route_service *service = route_table_service_of_hash(routes, demand->service);
        QuotaShare *share = &grant->shares[grant->shares_count++];
        if (service == NULL || service->start_rate_per_s <= 0) {
            *share = (QuotaShare){.tenant = demand->tenant, .granted = demand->wanted};
            continue;
        }
        struct route_tenant bucket = {.hash = demand->tenant};
        slow_start_configure_bucket(&table->tokens, &bucket, slow_start_limit(tolerance, service->start_rate_per_s));
        quota_table_take(&table->tokens, now_ms, &bucket, demand, share);
    }
}
