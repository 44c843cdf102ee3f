/**
 * @file metrics.h
 * GET /metrics (Prometheus text), /healthz and /readyz.
 */
#ifndef BANKBANK_DAEMON_METRICS_H
#define BANKBANK_DAEMON_METRICS_H

#include "daemon/gateway.h"

/** CivetWeb request handlers; `context` is the struct gateway. */
int metrics_handle(struct mg_connection *connection, void *context);
int healthz_handle(struct mg_connection *connection, void *context);
int readyz_handle(struct mg_connection *connection, void *context);

#endif
