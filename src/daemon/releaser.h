/**
 * @file releaser.h
 * Tells engines to give up memory of programs that are gone. The ledger keeps
 * a durable outbox of such releases; the daemon that leads a group works its
 * outbox off and repeats each release until the engine confirms it.
 */
#ifndef BANKBANK_DAEMON_RELEASER_H
#define BANKBANK_DAEMON_RELEASER_H

#include "daemon/gateway.h"

enum { RELEASER_PERIOD_MS = 200 };

/** One pass over the groups led here; `context` is the gateway. */
void releaser_run(void *context);

#endif
