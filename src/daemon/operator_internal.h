/**
 * @file operator_internal.h
 * Shared by the modules of the operator RPC.
 */
#ifndef BANKBANK_DAEMON_OPERATOR_INTERNAL_H
#define BANKBANK_DAEMON_OPERATOR_INTERNAL_H

#include "base/findings.h"
#include "daemon/operator.h"

struct operator_call {
    struct gateway *gateway;
    struct mg_connection *connection;
    struct view body;  /**< Encoded request. */
    ResourceKind kind; /**< Set for methods on resources only. */
};

/* ---- Responses: operator_response.c ------------------------------------------------------ */

/** Sends a Connect error; the HTTP status follows from the code. */
void operator_send_error(struct operator_call *call, const char *code, enum run_state state, const char *text);

void operator_send_message(struct operator_call *call, const pb_msgdesc_t *fields, const void *message);

/** Sends the Connect error for the result code. */
void operator_send_result_error(struct operator_call *call, const EntryResult *result);

/** Sends all findings in one error. */
void operator_send_findings(struct operator_call *call, const struct findings *findings);

/* ---- Resources: operator_resources.c ------------------------------------------------- */

void operator_change(struct operator_call *call, ConfigOperation operation);
void operator_get(struct operator_call *call);
void operator_list(struct operator_call *call);

/* ---- Hand-over of programs from another site: operator_handover.c --------------------- */

void operator_handover(struct operator_call *call, HandoverStep step);

/* ---- Status and membership: operator_status.c ------------------------------------------- */

void operator_status(struct operator_call *call);
void operator_wait_revision(struct operator_call *call);
void operator_change_replica(struct operator_call *call);

#endif
