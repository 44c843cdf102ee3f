/**
 * @file chat_request.h
 * A caller's chat request, read and checked.
 */
#ifndef BANKBANK_DAEMON_CHAT_REQUEST_H
#define BANKBANK_DAEMON_CHAT_REQUEST_H

#include <stdbool.h>
#include <stdint.h>

#include <civetweb.h>
#include <jansson.h>

#include "base/findings.h"

enum {
    CHAT_DEFAULT_MAX_TOKENS = 1024, /**< Completion limit when the caller gives none. */
    CHAT_MAX_TOKENS = 131072,       /**< Largest completion limit. */
    CHAT_MESSAGE_OVERHEAD = 16,     /**< Bound of the tokens a message costs beside its text. */
    CHAT_MAX_DEADLINE_MS = 3600000  /**< Longest X-Deadline-Ms. */
};

/** A chat request. */
struct chat_request {
    json_t *root;                /**< Whole body. */
    json_t *messages;            /**< Its messages (borrowed). */
    char *messages_text;         /**< Messages as JSON without the brackets. */
    const char *model;           /**< Model (borrowed), or NULL. */
    const char *program;         /**< X-Program-Id (borrowed), or NULL. */
    const char *idempotency_key; /**< Idempotency-Key (borrowed), or NULL. */
    uint32_t call;               /**< X-Program-Call, 0: not given. */
    bool repeatable;             /**< X-Repeatable. */
    bool full_history;           /**< X-Program-History: full. */
    bool stream;                 /**< Streamed answer. */
    bool include_usage;          /**< stream_options.include_usage. */
    uint64_t deadline_ms;        /**< X-Deadline-Ms, 0: not given. */
    uint64_t max_tokens;         /**< Completion limit asked for. */
    uint64_t new_tokens_bound;   /**< Upper bound of the tokens of the messages. */
    uint64_t body_hash;          /**< Hash of what makes two requests the same. */
};

/** Reads headers and body; faults go to `findings`. */
void chat_request_read(struct chat_request *request, struct mg_connection *connection, struct view body,
                       struct findings *findings);

/**
 * With full history: drops the `stored` messages from the front, which must
 * equal the stored ones. False: they differ.
 */
bool chat_request_drop_stored(struct chat_request *request, const char *stored_history);

/** Frees the request. */
void chat_request_close(struct chat_request *request);

#endif
