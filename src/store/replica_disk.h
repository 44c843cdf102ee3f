/**
 * @file replica_disk.h
 * The effects of a replica on its log that need nothing else of its host.
 */
#ifndef BANKBANK_STORE_REPLICA_DISK_H
#define BANKBANK_STORE_REPLICA_DISK_H

#include "core/replica.h"
#include "store/log_store.h"

/** Sets the operations of `io` that write to and read from the disk alone. */
void replica_disk_fill(struct replica_io *io, struct log_store *log);

#endif
