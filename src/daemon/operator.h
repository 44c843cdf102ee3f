/**
 * @file operator.h
 * The operator RPC: unary calls of the Connect protocol; schema:
 * proto/bankbank/v1/operator.proto.
 */
#ifndef BANKBANK_DAEMON_OPERATOR_H
#define BANKBANK_DAEMON_OPERATOR_H

#include "daemon/gateway.h"

enum { OPERATOR_MAX_BODY_BYTES = 8 << 20 };

/** CivetWeb request handler of /bankbank.v1.OperatorService/; `context` is the struct gateway. */
int operator_handle(struct mg_connection *connection, void *context);

#endif
