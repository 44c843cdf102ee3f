#include "core/lease_table.h"

#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"

void lease_table_close(struct lease_table *table)
{
    struct lease *lease;
    struct lease *next;
    HASH_ITER(hh, table->leases, lease, next)
    {
        HASH_DEL(table->leases, lease);
        free(lease);
    }
    memset(table, 0, sizeof(*table));
}

struct lease *lease_table_find(const struct lease_table *table, uint32_t gateway)
{
    struct lease *lease = NULL;
    HASH_FIND(hh, table->leases, &gateway, sizeof(gateway), lease);
    return lease;
}

static struct lease *lease_table_add(struct lease_table *table, uint32_t gateway)
{
    struct lease *lease = memory_new(sizeof(*lease));
    lease->gateway = gateway;
    HASH_ADD(hh, table->leases, gateway, sizeof(lease->gateway), lease);
    return lease;
}

static void lease_expire(struct lease *lease, const GatewayLease *change, EntryResult *result)
{
    if (lease == NULL || lease->epoch != change->epoch) {
        result->code = RESULT_NOT_FOUND;
        return;
    }
    lease->expired = true;
    result->epoch = lease->epoch;
}

void lease_table_apply(struct lease_table *table, const GatewayLease *change, EntryResult *result)
{
    struct lease *lease = lease_table_find(table, change->gateway);
    if (change->expire) {
        lease_expire(lease, change, result);
        return;
    }
    if (lease == NULL) {
        lease = lease_table_add(table, change->gateway);
    }
    bool renewed = lease->epoch != 0 && lease->boot_id == change->boot_id && !lease->expired;
    if (!renewed) {
        lease->boot_id = change->boot_id;
        lease->epoch = ++table->last_epoch;
        lease->expired = false;
    }
    result->epoch = lease->epoch;
}

bool lease_table_has_ended(const struct lease_table *table, uint32_t gateway, uint64_t epoch)
{
    const struct lease *lease = lease_table_find(table, gateway);
    if (lease == NULL) {
        return false;
    }
    return lease->epoch > epoch || (lease->epoch == epoch && lease->expired);
}

void lease_table_export(const struct lease_table *table, StateSnapshot *snapshot)
{
    snapshot->next_epoch = table->last_epoch;
    snapshot->leases = memory_new(HASH_COUNT(table->leases) * sizeof(*snapshot->leases));
    for (const struct lease *lease = table->leases; lease != NULL; lease = lease->hh.next) {
        LeaseRecord *record = &snapshot->leases[snapshot->leases_count++];
        record->gateway = lease->gateway;
        record->boot_id = lease->boot_id;
        record->epoch = lease->epoch;
        record->expired = lease->expired;
    }
}

void lease_table_import(struct lease_table *table, const StateSnapshot *snapshot)
{
    table->last_epoch = snapshot->next_epoch;
    for (pb_size_t i = 0; i < snapshot->leases_count; i++) {
        const LeaseRecord *record = &snapshot->leases[i];
        struct lease *lease = lease_table_add(table, record->gateway);
        lease->boot_id = record->boot_id;
        lease->epoch = record->epoch;
        lease->expired = record->expired;
    }
}
