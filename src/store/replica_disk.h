/**
 * @file replica_disk.h
 * Replica callbacks backed by the log store.
 */
#ifndef BANKBANK_STORE_REPLICA_DISK_H
#define BANKBANK_STORE_REPLICA_DISK_H

#include "core/replica.h"
#include "store/log_store.h"

/** Sets `io->disk` and the callbacks that need nothing but the log store; the caller sets the others. */
void replica_disk_set_callbacks(struct replica_io *io, struct log_store *log);

#endif
