/**
 * @file chat_request.h
 * Parsing and validation of a caller's chat request.
 */
#ifndef BANKBANK_DAEMON_CHAT_REQUEST_H
#define BANKBANK_DAEMON_CHAT_REQUEST_H

#include <stdbool.h>
#include <stdint.h>

#include <civetweb.h>
#include <jansson.h>

#include "base/findings.h"

enum {
    CHAT_DEFAULT_MAX_TOKENS = 1024,    /**< Used if the request sets none. */
    CHAT_MAX_TOKENS = 131072,          /**< Upper limit of max_tokens. */
    CHAT_MESSAGE_OVERHEAD_TOKENS = 16, /**< Upper bound per message, besides the tokens of its text. */
    CHAT_MAX_DEADLINE_MS = 3600000     /**< Upper limit of X-Deadline-Ms. */
};

struct chat_request {
    json_t *root;                /**< Parsed body; owns what is borrowed from it. */
    json_t *messages;            /**< Borrowed from `root`. */
    char *messages_text;         /**< Elements of `messages` as JSON, without the brackets. */
    const char *model;           /**< Borrowed from `root`; NULL: not set. */
    const char *program_id;      /**< X-Program-Id, borrowed from the connection; NULL: not set. */
    const char *idempotency_key; /**< Idempotency-Key, borrowed from the connection; NULL: not set. */
    uint32_t call_number;        /**< X-Program-Call; 0: not set. */
    bool repeatable;             /**< X-Repeatable, default true: the call may run more than once. */
    bool full_history;           /**< X-Program-History: full: the caller also sends the stored history. */
    bool stream;
    bool include_usage;   /**< stream_options.include_usage. */
    uint64_t deadline_ms; /**< X-Deadline-Ms; 0: not set. */
    uint64_t max_tokens;
    /** Upper bound of the prompt tokens that the request adds, about one per byte. Estimates use a quarter
     * of it, since a token of ordinary text has about four bytes. */
    uint64_t new_tokens_bound;
    uint64_t body_hash; /**< Equal if a request is resent; ignores the stream options. */
};

/** Adds errors to `findings`. Free the request with chat_request_close(), also after errors. */
void chat_request_read(struct chat_request *request, struct mg_connection *connection, struct view body,
                       struct findings *findings);

/**
 * Removes the stored messages from the front of a request with full history.
 * False if the request does not start with them or adds no message.
 */
bool chat_request_drop_stored(struct chat_request *request, const char *stored_history);

void chat_request_close(struct chat_request *request);

#endif
