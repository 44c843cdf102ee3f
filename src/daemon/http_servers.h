/**
 * @file http_servers.h
 * The HTTP servers for callers and operators.
 */
#ifndef BANKBANK_DAEMON_HTTP_SERVERS_H
#define BANKBANK_DAEMON_HTTP_SERVERS_H

#include "daemon/gateway.h"
#include "daemon/worker.h"
#include "net/http_clients.h"

/** One server; `context` is NULL if it does not run. */
struct http_server {
    struct mg_context *context;
    struct gateway *gateway;
    http_clients_t clients;
    struct worker reliever; /**< Runs http_clients_relieve(). */
};

struct http_servers {
    struct http_server callers; /**< Does not run without the gateway role. */
    struct http_server operators;
};

/** Returns false and logs the error on failure. */
bool http_servers_start(struct http_servers *servers, struct gateway *gateway);

/** Aborts requests in flight; drain first. */
void http_servers_stop(struct http_servers *servers);

#endif
