/**
 * @file http_reader.h
 * Reads one HTTP/1.1 message after the other from a byte stream, strictly:
 * what two parsers could read in two ways is a fault (RFC 9112). The head is
 * gathered whole and checked line by line; http-parser decides on framing and
 * decodes bodies.
 */
#ifndef BANKBANK_NET_HTTP_READER_H
#define BANKBANK_NET_HTTP_READER_H

#include <stdbool.h>
#include <stdint.h>

#include <http_parser.h>

#include "base/buffer.h"

enum { HTTP_READER_MAX_HEADERS = 128 /**< Header lines of one message. */ };

/** What ended reading. */
enum http_fault {
    HTTP_FAULT_NONE,           /**< Nothing. */
    HTTP_FAULT_MALFORMED,      /**< The message breaks the protocol. */
    HTTP_FAULT_HEAD_TOO_LARGE, /**< The head is over the limit. */
    HTTP_FAULT_BODY_TOO_LARGE, /**< The body is over the limit. */
    HTTP_FAULT_CUT             /**< The stream ended inside a message. */
};

/** One header line; views into the reader's head. */
struct http_header {
    struct view name;  /**< As written. */
    struct view value; /**< Without blanks around it. */
};

struct http_reader;

/** Receives a message; a function that returns false stops the reading with HTTP_FAULT_MALFORMED. */
struct http_reader_events {
    void *context;                                                             /**< First argument of every function. */
    bool (*head)(void *context, struct http_reader *reader);                   /**< The head is whole. */
    bool (*body)(void *context, struct http_reader *reader, struct view part); /**< Decoded part of the body. */
    bool (*complete)(void *context, struct http_reader *reader);               /**< The message is whole. */
};

/** The reader. */
struct http_reader {
    enum http_parser_type type;                          /**< HTTP_REQUEST or HTTP_RESPONSE. */
    struct http_reader_events events;                    /**< Receiver. */
    size_t max_head_bytes;                               /**< Limit of the head. */
    size_t max_body_bytes;                               /**< Limit of the decoded body. */
    bool skip_body;                                      /**< Answer to HEAD: there is no body. */
    http_parser parser;                                  /**< State of http-parser. */
    struct buffer head;                                  /**< The whole head. */
    bool head_done;                                      /**< The head was told. */
    bool complete;                                       /**< The message was told complete. */
    struct http_header headers[HTTP_READER_MAX_HEADERS]; /**< Its lines. */
    int header_count;                                    /**< Number of lines. */
    struct view method;                                  /**< Request: method. */
    struct view target;                                  /**< Request: target. */
    int status;                                          /**< Answer: status. */
    bool keep_alive;                                     /**< The connection may carry another message. */
    bool until_close;                                    /**< Answer: its body ends with the connection. */
    size_t body_bytes;                                   /**< Decoded bytes so far. */
    enum http_fault fault;                               /**< What ended reading. */
};

/** Prepares for the next message; keeps type, events and limits. */
void http_reader_reset(struct http_reader *reader);

/** Frees the storage. */
void http_reader_close(struct http_reader *reader);

/** Feeds bytes up to the end of the message; returns how many were used. See `fault` and `complete`. */
size_t http_reader_feed(struct http_reader *reader, const uint8_t *data, size_t length);

/** The stream ended in order; completes an answer whose body ends with it, else HTTP_FAULT_CUT. */
void http_reader_end(struct http_reader *reader);

/** Value of a header, or an empty view; the first one if there are several. */
struct view http_reader_header(const struct http_reader *reader, const char *name);

/** Whether a header is there. */
bool http_reader_has(const struct http_reader *reader, const char *name);

/** Value of a cookie (RFC 6265), or an empty view; the first one if there are several. */
struct view http_reader_cookie(const struct http_reader *reader, const char *name);

/** Whether two texts are equal but for the case of letters. */
bool http_name_equal(struct view name, const char *text);

/** Whether a header concerns one connection only: known ones, and those that Connection names. */
bool http_reader_is_hop_header(const struct http_reader *reader, struct view name);

#endif
