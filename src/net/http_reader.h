/**
 * @file http_reader.h
 * A strict streaming parser of HTTP/1.1 messages (RFC 9112): a message with
 * ambiguous framing is malformed. The head is collected and checked line by line;
 * http-parser determines the framing and decodes bodies.
 *
 * All responses that this project reads are read here, so that every program takes
 * the same ones for whole. A response is malformed, too, if its status is not 100 to
 * 599, or 101; if a line of its head or of its trailers is none; if it has a body
 * where its status allows none; or if its chunks are not exactly framed. The lines of
 * its head may end in a line feed alone if all of them do.
 */
#ifndef BANKBANK_NET_HTTP_READER_H
#define BANKBANK_NET_HTTP_READER_H

#include <stdbool.h>
#include <stdint.h>

#include <http_parser.h>

#include "base/buffer.h"
#include "net/http_chunks.h"

enum { HTTP_READER_MAX_HEADERS = 128 };

/** Why parsing stopped. */
enum http_parse_error {
    HTTP_PARSE_ERROR_NONE,
    HTTP_PARSE_ERROR_MALFORMED, /**< Invalid or ambiguous, or rejected by a callback. */
    HTTP_PARSE_ERROR_HEAD_TOO_LARGE,
    HTTP_PARSE_ERROR_BODY_TOO_LARGE,
    HTTP_PARSE_ERROR_TRUNCATED /**< The stream ended inside a message. */
};

/** One header line; the views point into the reader's head. */
struct http_header {
    struct view name;  /**< In its original case. */
    struct view value; /**< Without surrounding whitespace. */
};

struct http_reader;

/** Callbacks of a message; returning false stops parsing with HTTP_PARSE_ERROR_MALFORMED. */
struct http_reader_events {
    void *context; /**< First argument of every callback. */
    bool (*head)(void *context, struct http_reader *reader);
    bool (*body)(void *context, struct http_reader *reader, struct view part); /**< A decoded part of the body. */
    bool (*complete)(void *context, struct http_reader *reader);
};

/** Parser state; the caller sets the members up to `skip_body`, then calls http_reader_reset(). */
struct http_reader {
    enum http_parser_type type; /**< HTTP_REQUEST or HTTP_RESPONSE. */
    struct http_reader_events events;
    size_t max_head_bytes;
    size_t max_body_bytes; /**< Limit of the decoded body. */
    bool skip_body;        /**< Response to HEAD: there is no body. */
    http_parser parser;
    http_chunks_t chunks; /**< Check of a chunked response. */
    struct buffer head;   /**< Bytes of the head. */
    bool head_done;       /**< The head is complete and its framing is valid. */
    bool complete;
    struct http_header headers[HTTP_READER_MAX_HEADERS];
    int header_count;
    struct view method; /**< Requests only. */
    struct view target; /**< Requests only. */
    int status;         /**< Responses only. */
    bool keep_alive;    /**< The connection may carry another message. */
    bool until_close;   /**< The body of a response ends with the connection. */
    size_t body_bytes;  /**< Decoded bytes of the body so far. */
    enum http_parse_error error;
};

/** Prepares for the next message; keeps type, callbacks and limits. */
void http_reader_reset(struct http_reader *reader);

void http_reader_close(struct http_reader *reader);

/** Parses bytes up to the end of the message; returns the number consumed. Sets `error` and `complete`. */
size_t http_reader_feed(struct http_reader *reader, const uint8_t *data, size_t length);

/** Handles an orderly end of the stream: completes a response whose body ends with it, else sets
 * HTTP_PARSE_ERROR_TRUNCATED unless there was an error. */
void http_reader_end(struct http_reader *reader);

/** Value of the first header with this name, or an empty view. */
struct view http_reader_header(const struct http_reader *reader, const char *name);

bool http_reader_has_header(const struct http_reader *reader, const char *name);

/** Value of the first cookie with this name (RFC 6265); if it is empty, later Cookie headers are searched. */
struct view http_reader_cookie(const struct http_reader *reader, const char *name);

/** Case-insensitive. */
bool http_name_equal(struct view name, const char *text);

/** Whether a header is hop-by-hop: a standard one, or listed in Connection. Content-Length and Expect count as such. */
bool http_reader_is_hop_by_hop(const struct http_reader *reader, struct view name);

#endif
