/**
 * @file chat_engine.h
 * One attempt of a call at one engine: sends the request, forwards streamed
 * tokens to the caller, collects the answer and checks that it belongs to this
 * attempt.
 *
 * The attempt id is sent in X-Request-Id. The engine answers with a completion
 * id of "chatcmpl-" followed by the attempt id, as vLLM does. An answer with any
 * other id belongs to another attempt and is dropped.
 */
#ifndef BANKBANK_DAEMON_CHAT_ENGINE_H
#define BANKBANK_DAEMON_CHAT_ENGINE_H

#include <jansson.h>

#include "daemon/chat_request.h"
#include "daemon/endpoints.h"
#include "net/http.h"
#include "net/http_client.h"
#include "net/sse.h"

/** Start of a completion id; the attempt id follows. */
#define CHAT_ID_PREFIX "chatcmpl-"

enum chat_outcome {
    CHAT_DONE,    /**< The complete answer was received. */
    CHAT_NOT_RUN, /**< The engine certainly did not run it. */
    CHAT_UNKNOWN, /**< It may have run; the answer is lost. */
    CHAT_REJECTED /**< The engine refused the request itself; it did not run. */
};

struct chat_attempt {
    const struct chat_request *request;
    struct mg_connection *connection; /**< The caller's. */
    const char *engine_url;           /**< Base URL. */
    const char *attempt_id;           /**< The answer's completion id must be CHAT_ID_PREFIX followed by it. */
    size_t public_id_length;          /**< Bytes of attempt_id, from its start, that the caller sees. */
    const char *program_id;           /**< Sent to the engine; NULL: the engine keeps no cache for the program. */
    const char *model;                /**< Name sent to the engine. */
    const char *history;              /**< Stored messages: the elements of a JSON array, without the brackets. */
    const char *stream_headers;       /**< Header lines of a streamed response. */
    uint64_t max_tokens;              /**< Granted by the ledger. */
    uint32_t priority;                /**< Lower values are served first. */
    uint32_t timeout_ms;
    bool at_most_once;         /**< Never send the request twice; the call is not repeatable. */
    bool cancel_on_disconnect; /**< Cancel if the caller disconnects: the answer cannot be requested again. */
};

struct chat_answer {
    enum chat_outcome outcome;
    bool id_mismatch; /**< The completion id is not that of this attempt. */
    bool caller_disconnected;
    bool stream_started;   /**< The response header, and possibly tokens, were sent. */
    int status;            /**< HTTP status; 0: no response. */
    json_t *message;       /**< Assistant message; a stream's text is added from `content` at the end. */
    struct buffer content; /**< Streamed text so far. */
    char *finish_reason;   /**< NULL: none received. */
    uint64_t prompt_tokens;
    uint64_t completion_tokens;
    uint64_t cached_tokens;        /**< Part of prompt_tokens. */
    bool has_usage;                /**< The engine reported the token counts. */
    uint64_t chunks;               /**< Streamed events with content. */
    json_t *response_body;         /**< Parsed; NULL if streamed or not complete. */
    struct buffer deferred_events; /**< End of the stream, sent after the finish entry is committed. */
    struct endpoint_report report; /**< From the response headers. */
    bool draining;                 /**< From the response headers. */
    char *error;                   /**< Body of the engine's error response, or NULL. */
};

/** Runs the attempt and fills `answer`; free it with chat_answer_close(). */
void chat_engine_run(const struct chat_attempt *attempt, struct chat_answer *answer);

void chat_answer_close(struct chat_answer *answer);

/** Priority sent to engines, 0 to 15; the more tokens a program has already been served, the higher the value. */
uint32_t chat_priority(uint64_t attained_tokens);

#endif
