/**
 * @file lease_table.h
 * Leases of the gateways, with fencing epochs. Each start of a daemon gets an
 * epoch larger than all earlier ones. An expired lease is never reactivated: its
 * daemon must obtain a new epoch. Renewals are not written to the log.
 */
#ifndef BANKBANK_CORE_LEASE_TABLE_H
#define BANKBANK_CORE_LEASE_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "control.pb.h"

struct lease {
    uint32_t gateway; /**< Node id of the daemon. */
    uint64_t boot_id; /**< Random, new at each start of the daemon. */
    uint64_t epoch;
    bool expired;
    uint64_t last_heartbeat_ms; /**< Leader only, volatile: monotonic time of the last heartbeat. */
    uint64_t revision;          /**< Leader only, volatile: revision of the configuration active at the daemon. */
    UT_hash_handle hh;          /**< By gateway. */
};

struct lease_table {
    struct lease *leases;
    uint64_t last_epoch;
};

void lease_table_close(struct lease_table *table);

/** Grants or expires a lease and sets `result->epoch`. Expiring an unknown epoch fails with RESULT_NOT_FOUND. */
void lease_table_apply(struct lease_table *table, const GatewayLease *change, EntryResult *result);

/** Returns NULL if there is none. */
struct lease *lease_table_find(const struct lease_table *table, uint32_t gateway);

/** Whether `epoch` has expired or was superseded by a later one; false if the gateway is unknown. */
bool lease_table_has_ended(const struct lease_table *table, uint32_t gateway, uint64_t epoch);

void lease_table_export(const struct lease_table *table, StateSnapshot *snapshot);
void lease_table_import(struct lease_table *table, const StateSnapshot *snapshot);

#endif
