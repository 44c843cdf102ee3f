/**
 * @file replica_restore.h
 * Restores a replica from its log store: snapshots first, then terms, votes and
 * entries in write order.
 */
#ifndef BANKBANK_STORE_REPLICA_RESTORE_H
#define BANKBANK_STORE_REPLICA_RESTORE_H

#include "core/replica.h"
#include "store/log_store.h"

/** Opens `log` and restores `replica`, which must be initialized and not yet started. False: see log->error. */
bool replica_restore_log(struct replica *replica, struct log_store *log, const char *directory);

#endif
