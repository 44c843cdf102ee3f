/**
 * @file chat.h
 * POST /v1/chat/completions: the life of one call.
 *
 *   read -> admit -> begin (ledger) -> place -> attempt at an engine -> finish
 *   (ledger) -> end of the answer
 *
 * Nothing goes to an engine before the begin is committed, and the caller gets
 * the end of its answer only after the finish is. An attempt that certainly
 * did not run is tried elsewhere; one that may have run is repeated only if
 * the call is repeatable and no token has reached the caller; what is left is
 * told as unknown.
 */
#ifndef BANKBANK_DAEMON_CHAT_H
#define BANKBANK_DAEMON_CHAT_H

#include "daemon/gateway.h"

/** CivetWeb handler; `context` is the gateway. Returns the HTTP status class handled. */
int chat_handle(struct mg_connection *connection, void *context);

#endif
