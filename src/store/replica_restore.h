/**
 * @file replica_restore.h
 * Brings a replica back from its synced log: snapshots, votes and entries, in
 * the order in which they were written.
 */
#ifndef BANKBANK_STORE_REPLICA_RESTORE_H
#define BANKBANK_STORE_REPLICA_RESTORE_H

#include "core/replica.h"
#include "store/log_store.h"

/**
 * Opens the log in `folder` and restores `replica`, which was initialized and
 * not started, from it. False: see log->error.
 */
bool replica_restore_log(struct replica *replica, struct log_store *log, const char *folder);

#endif
