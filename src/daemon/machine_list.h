/**
 * @file machine_list.h
 * Polls the platform's machine list, so that placement avoids machines in the
 * state "leaving". The list may be out of date. Format:
 * {"machines": [{"address": "IP:PORT", "state": "live" | "leaving"}]}
 */
#ifndef BANKBANK_DAEMON_MACHINE_LIST_H
#define BANKBANK_DAEMON_MACHINE_LIST_H

#include "daemon/gateway.h"

enum { MACHINE_LIST_PERIOD_MS = 500 };

/** Worker job; `context` is the struct gateway. If the list cannot be read, the last one stays in use. */
void machine_list_run(void *context);

#endif
