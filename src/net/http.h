/**
 * @file http.h
 * Server side of HTTP on CivetWeb: reading requests and writing answers and
 * typed errors. Every error is OpenAI's JSON error body and tells in the
 * header X-Run-State what is known of the request.
 */
#ifndef BANKBANK_NET_HTTP_H
#define BANKBANK_NET_HTTP_H

#include <stdbool.h>

#include <civetweb.h>

#include "base/buffer.h"

/** What is known about the execution of a request. */
enum run_state {
    RUN_STATE_NOT_RUN, /**< It did not run and will not. */
    RUN_STATE_UNKNOWN, /**< It may have run. */
    RUN_STATE_RUN      /**< It ran. */
};

/** Outcome of reading a request body. */
enum http_body_result {
    HTTP_BODY_OK,        /**< Whole. */
    HTTP_BODY_CUT,       /**< The connection ended before the announced length. */
    HTTP_BODY_TOO_LARGE, /**< Larger than the limit. */
    HTTP_BODY_NO_LENGTH  /**< Neither Content-Length nor chunked. */
};

/** A typed error. */
struct http_error {
    int status;               /**< HTTP status. */
    const char *code;         /**< Machine-readable code. */
    enum run_state run_state; /**< What is known of the request. */
    int retry_after_s;        /**< 0: no Retry-After header. */
};

/** Header text of a run state. */
const char *http_run_state_name(enum run_state state);

/** Reads the body, at most `limit` bytes. */
enum http_body_result http_read_body(struct mg_connection *connection, size_t limit, struct buffer *body);

/** Answers a body that could not be read. */
void http_send_body_error(struct mg_connection *connection, enum http_body_result result, size_t limit);

/** Sends a whole answer; `headers` are further header lines, each ended by CRLF, or NULL. */
void http_send(struct mg_connection *connection, int status, const char *content_type, const char *headers,
               struct view body);

/** Sends an error with a message. */
void http_send_error(struct mg_connection *connection, const struct http_error *error, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/** Appends the JSON error body. */
void http_error_body(const struct http_error *error, const char *message, struct buffer *out);

/** Starts a streamed answer; false: the caller is gone. */
bool http_start_stream(struct mg_connection *connection, const char *content_type, const char *headers);

/** Sends a part of a streamed answer; false: the caller is gone. */
bool http_send_chunk(struct mg_connection *connection, struct view data);

/** Ends a streamed answer. */
void http_end_stream(struct mg_connection *connection);

/** CivetWeb's hook for errors that it answers itself. */
int http_on_server_error(struct mg_connection *connection, int status, const char *message);

/** CivetWeb's hook for its log lines. */
int http_on_server_log(const struct mg_connection *connection, const char *message);

#endif
