/**
 * @file operator_internal.h
 * What the parts of the operators' RPC share: the call, its answers, and the
 * handlers that operator.c dispatches to.
 */
#ifndef BANKBANK_DAEMON_OPERATOR_INTERNAL_H
#define BANKBANK_DAEMON_OPERATOR_INTERNAL_H

#include "base/findings.h"
#include "daemon/operator.h"

/** One call. */
struct operator_call {
    struct gateway *gateway;          /**< The daemon's gateway. */
    struct mg_connection *connection; /**< The caller's connection. */
    struct view body;                 /**< Encoded request. */
    ResourceKind kind;                /**< Kind of resource that the method is about. */
};

/* ---- Answers: operator_reply.c -------------------------------------------------------- */

/** Sends an error in Connect's form; the code tells the HTTP status. */
void operator_send_error(struct operator_call *call, const char *code, enum run_state state, const char *text);

/** Sends a message. */
void operator_send_message(struct operator_call *call, const pb_msgdesc_t *fields, const void *message);

/** Sends the error that an entry's result tells of. */
void operator_send_result_error(struct operator_call *call, const EntryResult *result);

/** Sends all findings in one error. */
void operator_send_findings(struct operator_call *call, const struct findings *findings);

/* ---- Resources: operator_resources.c ------------------------------------------------- */

void operator_change(struct operator_call *call, ConfigOperation operation);
void operator_get(struct operator_call *call);
void operator_list(struct operator_call *call);

/* ---- Programs of another site: operator_handover.c ------------------------------------ */

void operator_handover(struct operator_call *call, HandoverStep step);

/* ---- The fleet itself: operator_fleet.c ------------------------------------------------ */

void operator_status(struct operator_call *call);
void operator_wait(struct operator_call *call);
void operator_change_replica(struct operator_call *call);

#endif
