/**
 * @file services.h
 * /services/{name}/...: forwards requests to the back ends of a service. This
 * needs neither a lease nor the ledger, so it works while the state replicas are
 * unavailable.
 */
#ifndef BANKBANK_DAEMON_SERVICES_H
#define BANKBANK_DAEMON_SERVICES_H

#include "daemon/gateway.h"

/** CivetWeb request handler of /services/; `context` is the struct gateway. */
int services_handle(struct mg_connection *connection, void *context);

#endif
