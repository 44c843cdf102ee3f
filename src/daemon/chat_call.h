/**
 * @file chat_call.h
 * State of one chat call and the functions that the chat_*.c modules share.
 *
 *   chat.c           order of the steps
 *   chat_ledger.c    ledger entries of the call
 *   chat_attempts.c  placement, attempts, retries
 *   chat_engine.c    one attempt at one engine
 *   chat_request.c   parsing and validation of the request
 *   chat_response.c  responses to the caller
 */
#ifndef BANKBANK_DAEMON_CHAT_CALL_H
#define BANKBANK_DAEMON_CHAT_CALL_H

#include "core/ledger.h"
#include "daemon/chat_engine.h"
#include "daemon/gateway.h"

enum { CHAT_MAX_ENGINES = 1024 /**< Placement ignores further engines of a pool. */ };

struct chat_call {
    struct gateway *gateway;
    struct mg_connection *connection;
    struct config_view *view; /**< Pinned until the call ends. */
    struct chat_request request;
    const char *tenant;                         /**< Valid until `view` is unpinned. */
    const char *default_policy;                 /**< Tenant's policy for single-call programs, or NULL. */
    char single_call_id[GATEWAY_ID_LENGTH + 1]; /**< Generated program id, if single_call. */
    const char *program_id;
    bool single_call;                           /**< The request names no program: one is created for it. */
    char attempt_id[LEDGER_ATTEMPT_LENGTH + 1]; /**< Of the ledger's current attempt; engines get it with a suffix. */
    EntryResult begin_result;   /**< Of the last begin entry; `engine` is updated to the last engine tried. */
    uint32_t call_number;       /**< Position in the program, from 1. */
    uint32_t finished_s;        /**< Wall-clock time, in seconds, when the ledger stored the answer. */
    uint64_t deadline_ms;       /**< Monotonic clock. */
    ProgramView stored_program; /**< With the history before this call. */
    const Policy *policy;       /**< NULL: the program has none. */
    const Pool *pool;
    struct chat_answer answer;    /**< Of the last attempt. */
    bool may_have_run;            /**< An attempt may have run, and its answer is lost. */
    char tried[CHAT_MAX_ENGINES]; /**< By position in the pool: 1 if the engine was tried. */
    char headers[256];            /**< Of the response; each line ends with CRLF. */
};

/* chat_ledger.c */

/** 0 after the deadline. */
uint32_t chat_remaining_ms(const struct chat_call *call);

/** For a request that names no program: sets `single_call` and a generated program id. */
void chat_assign_program_id(struct chat_call *call);

/**
 * Proposes the begin entry of the call (`replaces` NULL), or of a new attempt that
 * replaces the lost attempt `replaces`; call->begin_result receives the result.
 */
ResultCode chat_begin(struct chat_call *call, const char *replaces);

/** Records in the ledger how an attempt without an answer ended; retried in the background. */
void chat_record_abort(struct chat_call *call, AbortOutcome outcome);

/** Stores the answer in the ledger; the caller may receive its end only after RESULT_OK. */
ResultCode chat_finish(struct chat_call *call);

/* chat_attempts.c */

/** Sets policy and pool; false if no pool with engines serves the call. */
bool chat_find_pool(struct chat_call *call);

/** Whether some pool serves the requested model, or the pool is set by a policy. */
bool chat_model_is_known(const struct chat_call *call);

/**
 * Runs attempts until the call is answered or no retry is allowed. False if the
 * ledger refused another attempt; call->begin_result has the reason.
 */
bool chat_run(struct chat_call *call);

/* chat_response.c */

void chat_set_headers(struct chat_call *call);

/** Sends the stored answer of a call that has already finished. */
void chat_send_replay(struct chat_call *call);

/** Sends the answer, or the end of a streamed answer. */
void chat_send_answer(struct chat_call *call);

/** Sends the error that the answer could not be stored, or that another attempt superseded this one. */
void chat_send_unconfirmed(struct chat_call *call, ResultCode code);

/** Sends the error of a call that was lost, rejected or not run, and records the abort in the ledger. */
void chat_send_failure(struct chat_call *call);

/** Sends `error` and counts the call as refused; for calls that did not run. */
void chat_refuse(struct chat_call *call, const struct http_error *error, const char *message);

/** Sends one error that lists all findings. */
void chat_send_findings(struct mg_connection *connection, const struct findings *findings);

#endif
