/**
 * @file disk_watch.h
 * Measures whether the disk under the daemons' data stalls, for example through
 * other load on the machine: a thread syncs a small file of its own again and
 * again. While all replicas wait for their disks at once, no entry commits, and a
 * gateway that hears of no leader aborts the turns that wait for one.
 */
#ifndef BANKBANK_TESTS_DISK_WATCH_H
#define BANKBANK_TESTS_DISK_WATCH_H

#include <stdbool.h>
#include <stdint.h>

enum {
    DISK_WATCH_PERIOD_MS = 50,
    DISK_WATCH_STALL_MS = 300, /**< A sync that takes longer is a stall; gateways judge a leader's silence after 500. */
    DISK_WATCH_MAX_STALLS = 256 /**< The oldest are overwritten. */
};

/** Starts the thread. `directory`: on the watched disk. */
void disk_watch_start(const char *directory);

void disk_watch_stop(void);

/** Whether the disk stalled at some time from `from_ms` to `to_ms` (monotonic clock); a stall that lasts counts too. */
bool disk_watch_has_stalled(uint64_t from_ms, uint64_t to_ms);

/** Number of stalls so far. */
int disk_watch_stalls(void);

#endif
