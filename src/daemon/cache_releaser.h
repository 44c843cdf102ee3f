/**
 * @file cache_releaser.h
 * Makes engines release their caches of ended programs. The ledger keeps a durable
 * outbox of pending releases; the leader of each group repeats those of its group
 * until the engine confirms them.
 */
#ifndef BANKBANK_DAEMON_CACHE_RELEASER_H
#define BANKBANK_DAEMON_CACHE_RELEASER_H

#include "daemon/gateway.h"

enum { CACHE_RELEASER_PERIOD_MS = 200 };

/** Worker job: sends the pending releases of the groups led by this daemon. `context` is the struct gateway. */
void cache_releaser_run(void *context);

#endif
