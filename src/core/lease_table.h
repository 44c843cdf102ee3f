/**
 * @file lease_table.h
 * Leases of the gateways: each start of a daemon gets a new epoch, larger
 * than all before. A lease that is expired never comes back; its daemon must
 * obtain a new epoch. Renewal is volatile on the leader and not logged.
 */
#ifndef BANKBANK_CORE_LEASE_TABLE_H
#define BANKBANK_CORE_LEASE_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "control.pb.h"

/** The lease of one daemon. */
struct lease {
    uint32_t gateway;       /**< Daemon's node id. */
    uint64_t boot_id;       /**< Random id of the daemon's start. */
    uint64_t epoch;         /**< Fencing epoch. */
    bool expired;           /**< The lease has ended. */
    uint64_t last_heard_ms; /**< Leader only, volatile: monotonic time of the last heartbeat. */
    uint64_t revision;      /**< Leader only, volatile: configuration in force there. */
    UT_hash_handle hh;      /**< By gateway. */
};

/** All leases. */
struct lease_table {
    struct lease *leases; /**< By gateway. */
    uint64_t last_epoch;  /**< Highest epoch given. */
};

/** Frees the table. */
void lease_table_close(struct lease_table *table);

/** Grants or expires a lease; the result carries the epoch. */
void lease_table_apply(struct lease_table *table, const GatewayLease *change, EntryResult *result);

/** The lease of a daemon, or NULL. */
struct lease *lease_table_find(const struct lease_table *table, uint32_t gateway);

/** Whether the start of `gateway` with `epoch` is known to be over. */
bool lease_table_is_over(const struct lease_table *table, uint32_t gateway, uint64_t epoch);

/** Fills the lease part of a snapshot, and loads it. */
void lease_table_export(const struct lease_table *table, StateSnapshot *snapshot);
void lease_table_import(struct lease_table *table, const StateSnapshot *snapshot);

#endif
