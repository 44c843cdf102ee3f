#include "core/slow_start.h"

#include <string.h>

#include "base/buffer.h"
#include "core/quota_purse.h"

static const double SLOW_START_MS_PER_S = 1000;

double slow_start_limit(const slow_start_bounds_t *bounds, double rate_per_s)
{
    double overshoot = bounds->overshoot > 0 ? bounds->overshoot : 1;
    return overshoot * rate_per_s + bounds->slack;
}

/* The bucket of a server, as quota_table.h makes it: its room and its begin are parts of the allowance. */
static void slow_start_bucket(quota_table_t *table, struct route_tenant *bucket, double limit)
{
    double room = limit * SLOW_START_ROOM_PERCENT / 100;
    double begin = limit * SLOW_START_BEGIN_PERCENT / 100;
    double late_s = (QUOTA_HELD_MS + SLOW_START_WAY_MS) / SLOW_START_MS_PER_S;
    table->bounds = (quota_bounds_t){.window_s = 1, .slack = room * 100 / QUOTA_CLUMP_PERCENT};
    bucket->rate_per_s = (limit - room - 2 * begin) / (1 + late_s);
}

static const struct route_service *slow_start_service(const struct route_table *routes, uint64_t hash)
{
    for (uint32_t i = 0; i < routes->service_count; i++) {
        if (routes->services[i].hash == hash) {
            return &routes->services[i];
        }
    }
    return NULL;
}

/* Once in a while: looking at all buckets is work of all servers that start. */
static void slow_start_forget(slow_start_table_t *table, uint64_t now_ms)
{
    if (now_ms >= table->forget_due_ms) {
        table->forget_due_ms = now_ms + SLOW_START_IDLE_MS;
        quota_table_forget_idle(&table->tokens, now_ms, SLOW_START_IDLE_MS);
    }
}

void slow_start_answer(slow_start_table_t *table, uint64_t now_ms, const struct route_table *routes,
                       const slow_start_bounds_t *bounds, const QuotaAsk *ask, QuotaGrant *grant)
{
    memset(grant, 0, sizeof(*grant));
    grant->shares = memory_new((ask->demands_count + 1U) * sizeof(*grant->shares));
    slow_start_forget(table, now_ms);
    for (pb_size_t i = 0; i < ask->demands_count; i++) {
        const QuotaDemand *demand = &ask->demands[i];
        const struct route_service *service = slow_start_service(routes, demand->service);
        QuotaShare *share = &grant->shares[grant->shares_count++];
        if (service == NULL || service->start_rate_per_s <= 0) {
            *share = (QuotaShare){.tenant = demand->tenant, .granted = demand->wanted};
            continue;
        }
        struct route_tenant bucket = {.hash = demand->tenant};
        slow_start_bucket(&table->tokens, &bucket, slow_start_limit(bounds, service->start_rate_per_s));
        quota_table_take(&table->tokens, now_ms, &bucket, demand, share);
    }
}
