/**
 * @file server.h
 * The HTTP servers for callers and operators.
 */
#ifndef BANKBANK_DAEMON_SERVER_H
#define BANKBANK_DAEMON_SERVER_H

#include "daemon/gateway.h"

/** Both servers. */
struct server {
    struct mg_context *callers;   /**< NULL without the gateway role. */
    struct mg_context *operators; /**< Operators' server. */
};

/** Starts the servers; false and a log line on failure. */
bool server_start(struct server *server, struct gateway *gateway);

/** Stops them; requests in flight are cut, so drain first. */
void server_stop(struct server *server);

#endif
