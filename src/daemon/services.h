/**
 * @file services.h
 * /services/{name}/...: plain requests passed to the back ends of a service.
 * They need no lease and no ledger, so they go on while the state is away.
 */
#ifndef BANKBANK_DAEMON_SERVICES_H
#define BANKBANK_DAEMON_SERVICES_H

#include "daemon/gateway.h"

/** CivetWeb handler of /services/. */
int services_handle(struct mg_connection *connection, void *context);

#endif
