/**
 * @file operator.h
 * The operators' RPC: unary calls of the Connect protocol over the schema in
 * proto/bankbank/v1/operator.proto.
 */
#ifndef BANKBANK_DAEMON_OPERATOR_H
#define BANKBANK_DAEMON_OPERATOR_H

#include "daemon/gateway.h"

/** CivetWeb handler of /bankbank.v1.OperatorService/. */
int operator_handle(struct mg_connection *connection, void *context);

#endif
