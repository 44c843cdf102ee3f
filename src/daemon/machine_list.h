/**
 * @file machine_list.h
 * Reads the platform's list of machines, which lags, and keeps new work away
 * from machines that it calls leaving:
 * {"machines": [{"address": "IP:PORT", "state": "live" | "leaving"}]}
 */
#ifndef BANKBANK_DAEMON_MACHINE_LIST_H
#define BANKBANK_DAEMON_MACHINE_LIST_H

#include "daemon/gateway.h"

enum { MACHINE_LIST_PERIOD_MS = 500 };

/** Reads the list once; `context` is the gateway. */
void machine_list_run(void *context);

#endif
