/**
 * @file http.h
 * Reads request bodies and writes responses in handlers of a CivetWeb server. The
 * body of an error response is JSON in OpenAI's format; its header X-Run-State says
 * whether the request was executed.
 */
#ifndef BANKBANK_NET_HTTP_H
#define BANKBANK_NET_HTTP_H

#include <stdbool.h>
#include <stdint.h>

#include <civetweb.h>

#include "base/buffer.h"

/** What is known about the execution of a request (X-Run-State). */
enum run_state {
    RUN_STATE_NOT_RUN, /**< It was not executed and will not be. */
    RUN_STATE_UNKNOWN, /**< It may have been executed. */
    RUN_STATE_RUN      /**< It was executed. */
};

enum http_body_result {
    HTTP_BODY_OK,
    HTTP_BODY_TRUNCATED, /**< The connection ended before Content-Length bytes were read. */
    HTTP_BODY_TOO_LARGE,
    HTTP_BODY_NO_LENGTH, /**< Neither Content-Length nor chunked. */
    HTTP_BODY_TOO_SLOW,  /**< Not received within HTTP_BODY_TIMEOUT_MS, or slowly while all threads are taken. */
    HTTP_BODY_NO_MEMORY  /**< The share of all bodies is full. */
};

enum {
    HTTP_BODY_TIMEOUT_MS = 20000,
    HTTP_BODY_UNCOUNTED_BYTES = 1 << 16, /**< Of each body: small ones are received also while the share is full. */
    HTTP_BODY_COPIES = 4                 /**< A body counts so many times: it is parsed, stored and forwarded. */
};

/** The memory of all bodies of a server; `used` and the counters are atomic. */
typedef struct http_body_share_t {
    size_t max_bytes; /**< 0: no limit. */
    size_t used;
    uint64_t refused;   /**< Bodies that found no room. */
    uint64_t logged_ms; /**< Of the last log line; atomic. */
} http_body_share_t;

struct http_error {
    int status;
    const char *code; /**< Machine-readable. */
    enum run_state run_state;
    int retry_after_s; /**< 0: no Retry-After header. */
};

/** Value of X-Run-State. */
const char *http_run_state_name(enum run_state state);

/** Reads the body; returns HTTP_BODY_TOO_LARGE if it exceeds `limit` bytes. Whatever the result, the caller passes the
 * body to http_release_body(). `share` may be NULL. */
enum http_body_result http_read_body(struct mg_connection *connection, size_t limit, http_body_share_t *share,
                                     struct buffer *body);

/** Frees a body, and what it counts in its share. */
void http_release_body(http_body_share_t *share, struct buffer *body);

/** Sends the error response for a body that could not be read. */
void http_send_body_error(struct mg_connection *connection, enum http_body_result result, size_t limit);

/** Sends a complete response; `headers` are additional header lines, each ending in CRLF, or NULL. */
void http_send(struct mg_connection *connection, int status, const char *content_type, const char *headers,
               struct view body);

void http_send_error(struct mg_connection *connection, const struct http_error *error, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/** Appends the JSON body of an error to `out`. */
void http_error_body(const struct http_error *error, const char *message, struct buffer *out);

/** Starts a chunked response; returns false if the client has disconnected. */
bool http_start_stream(struct mg_connection *connection, const char *content_type, const char *headers);

/** Sends a chunk of the response; returns false if the client has disconnected. */
bool http_send_chunk(struct mg_connection *connection, struct view data);

void http_end_stream(struct mg_connection *connection);

/** CivetWeb callback for errors that it detects itself. */
int http_on_server_error(struct mg_connection *connection, int status, const char *message);

/** CivetWeb callback for its log messages. */
int http_on_server_log(const struct mg_connection *connection, const char *message);

#endif
