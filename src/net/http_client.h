/**
 * @file http_client.h
 * Client side of HTTP on libcurl, one blocking transfer a call, with handles
 * (and so their connections) reused across calls.
 */
#ifndef BANKBANK_NET_HTTP_CLIENT_H
#define BANKBANK_NET_HTTP_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buffer.h"

enum { HTTP_CLIENT_MAX_HEADERS = 24 };

/** How a transfer ended. */
enum http_transfer_result {
    HTTP_TRANSFER_DONE,     /**< A whole answer came. */
    HTTP_TRANSFER_NOT_SENT, /**< No connection: the request certainly did not run. */
    HTTP_TRANSFER_BROKEN,   /**< It ended early: the request may have run. */
    HTTP_TRANSFER_TIMEOUT,  /**< The time ran out: the request may have run. */
    HTTP_TRANSFER_STOPPED   /**< The receiver asked to stop. */
};

/** One request. */
struct http_request {
    const char *method;                     /**< GET, POST, ... */
    const char *url;                        /**< Whole URL. */
    struct view body;                       /**< Body; empty for none. */
    char *headers[HTTP_CLIENT_MAX_HEADERS]; /**< Header lines, owned. */
    uint32_t header_count;                  /**< Header lines. */
    uint32_t timeout_ms;                    /**< Limit of the whole transfer. */
    uint32_t connect_timeout_ms;            /**< Limit of connecting. */
    bool at_most_once;                      /**< Use a fresh connection, so that nothing is sent twice. */
    void *context;                          /**< First argument of the receivers. */
    /** Receives the body as it comes; false stops the transfer. NULL: not wanted. */
    bool (*on_data)(void *context, int status, struct view data);
    /** Receives each header line of the answer. NULL: not wanted. */
    void (*on_header)(void *context, const char *name, const char *value);
};

/** Starts and ends the library; call once in a process. */
bool http_client_init(void);
void http_client_close(void);

/** Adds a header line. */
void http_request_header(struct http_request *request, const char *format, ...) __attribute__((format(printf, 2, 3)));

/** Frees the header lines. */
void http_request_close(struct http_request *request);

/** Runs the transfer; `status` is 0 if no status line came. */
enum http_transfer_result http_client_run(const struct http_request *request, int *status);

#endif
