/**
 * @file chat.h
 * POST /v1/chat/completions: steps of one call.
 *
 *   read -> admit -> begin (ledger) -> place -> attempt at an engine -> finish
 *   (ledger) -> end of the answer
 *
 * Every call belongs to a program (daemon/programs.h); one is created for a call
 * that names none. The ledger (core/ledger.h) is the replicated record of programs
 * and calls. No request is sent to an engine before the begin entry is committed,
 * and the caller receives the end of its answer only after the finish entry is
 * committed. An attempt that certainly did not run is retried on another engine.
 * One that may have run is retried only if the call is repeatable and no token has
 * reached the caller; otherwise the run state of the response (enum run_state) is
 * "unknown".
 */
#ifndef BANKBANK_DAEMON_CHAT_H
#define BANKBANK_DAEMON_CHAT_H

#include "daemon/gateway.h"

/** CivetWeb request handler; `context` is the struct gateway. Returns nonzero: the request was handled. */
int chat_handle(struct mg_connection *connection, void *context);

#endif
