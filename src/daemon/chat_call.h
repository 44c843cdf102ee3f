/**
 * @file chat_call.h
 * One chat call under way, and the parts that work on it; not for others.
 *
 *   chat.c           the order of the steps
 *   chat_ledger.c    its entries in the ledger
 *   chat_attempts.c  engines: placement, attempts, retries
 *   chat_engine.c    one attempt at one engine
 *   chat_reply.c     what the caller is sent
 */
#ifndef BANKBANK_DAEMON_CHAT_CALL_H
#define BANKBANK_DAEMON_CHAT_CALL_H

#include "core/ledger.h"
#include "daemon/chat_engine.h"
#include "daemon/gateway.h"

enum { CHAT_MAX_ENGINES = 1024 /**< Engines of a pool that are looked at. */ };

/** One call under way. */
struct chat_call {
    struct gateway *gateway;                 /**< The daemon's gateway. */
    struct mg_connection *connection;        /**< The caller. */
    struct config_view *view;                /**< Configuration pinned for the whole call. */
    struct chat_request request;             /**< What was asked. */
    const char *tenant;                      /**< Tenant of the key. */
    const char *default_policy;              /**< Tenant's policy for programs of one, or NULL. */
    char program[GATEWAY_ID_LENGTH + 1];     /**< Id of a program of one. */
    const char *program_id;                  /**< Program of the call. */
    bool single;                             /**< The call is a program of one. */
    char attempt[LEDGER_ATTEMPT_LENGTH + 1]; /**< Attempt under way. */
    EntryResult begun;                       /**< The ledger's answer to the begin. */
    uint32_t number;                         /**< Number of the call in its program. */
    uint32_t finished_s;                     /**< Wall clock at which the ledger stored the answer. */
    uint64_t deadline_ms;                    /**< Monotonic time of giving up. */
    ProgramView stored;                      /**< History before this call. */
    const Policy *policy;                    /**< Policy of the program, or NULL. */
    const Pool *pool;                        /**< Pool that serves it. */
    struct chat_answer answer;               /**< Outcome of the last attempt. */
    bool lost;                               /**< An attempt was lost and may have run. */
    char tried[CHAT_MAX_ENGINES];            /**< Engines of the pool that were tried. */
    char headers[256];                       /**< Header lines of the answer. */
};

/* chat_ledger.c */

/** Milliseconds left until the call's limit. */
uint32_t chat_time_left(const struct chat_call *call);

/** Names the program of a call that belongs to none. */
void chat_name_single(struct chat_call *call);

/** Begins the call, or a new attempt after the lost one `replaces`; call->begun has the result. */
ResultCode chat_begin(struct chat_call *call, const char *replaces);

/** Tells the ledger how an attempt without an answer ended; retried in the background. */
void chat_post_abort(struct chat_call *call, AbortOutcome outcome);

/** Stores the answer; only on RESULT_OK may the caller get its end. */
ResultCode chat_finish(struct chat_call *call);

/* chat_attempts.c */

/** Finds policy and pool; false: no pool with engines serves the call. */
bool chat_find_pool(struct chat_call *call);

/** Whether some pool serves the model asked for, or the policy names the pool. */
bool chat_model_is_known(const struct chat_call *call);

/**
 * Runs the call until it is answered or nothing more may be tried. False: the
 * ledger refused another attempt and call->begun tells why.
 */
bool chat_run(struct chat_call *call);

/* chat_reply.c */

/** Sets the header lines of the answer. */
void chat_set_headers(struct chat_call *call);

/** Sends the stored answer of a call that finished before. */
void chat_send_replay(struct chat_call *call);

/** Sends the answer, or the end of one that was streamed. */
void chat_send_answer(struct chat_call *call);

/** Tells that the answer is not stored, or that another attempt took the call over. */
void chat_send_unconfirmed(struct chat_call *call, ResultCode code);

/** Tells that no engine answered. */
void chat_send_failure(struct chat_call *call);

/** Refuses the call before it ran. */
void chat_refuse(struct chat_call *call, const struct http_error *error, const char *message);

/** Refuses a request with all its faults. */
void chat_send_findings(struct mg_connection *connection, const struct findings *findings);

#endif
