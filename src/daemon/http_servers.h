/**
 * @file http_servers.h
 * The HTTP servers for callers and operators.
 */
#ifndef BANKBANK_DAEMON_HTTP_SERVERS_H
#define BANKBANK_DAEMON_HTTP_SERVERS_H

#include "daemon/gateway.h"

struct http_servers {
    struct mg_context *callers; /**< NULL without the gateway role. */
    struct mg_context *operators;
};

/** Returns false and logs the error on failure. */
bool http_servers_start(struct http_servers *servers, struct gateway *gateway);

/** Aborts requests in flight; drain first. */
void http_servers_stop(struct http_servers *servers);

#endif
