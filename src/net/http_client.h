/**
 * @file http_client.h
 * Blocking HTTP/1.1 client. libcurl connects; responses are read by http_reader.h,
 * as in bankbank-site, and a response without a length is judged by
 * connection_end.h. Idle connections are pooled and reused across calls.
 * Thread-safe.
 */
#ifndef BANKBANK_NET_HTTP_CLIENT_H
#define BANKBANK_NET_HTTP_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buffer.h"

enum { HTTP_CLIENT_MAX_HEADERS = 24 };

enum http_transfer_result {
    HTTP_TRANSFER_DONE,     /**< A complete response was received, perhaps before the whole request was sent. */
    HTTP_TRANSFER_NOT_SENT, /**< No connection was established: the request was not executed. */
    HTTP_TRANSFER_BROKEN,   /**< Failed otherwise, without a complete response: the request may have been executed. */
    HTTP_TRANSFER_TIMEOUT,  /**< The timeout expired: the request may have been executed. */
    HTTP_TRANSFER_STOPPED   /**< `on_data` returned false. */
};

struct http_request {
    const char *method;
    const char *url;                        /**< Absolute, "http://...". */
    struct view body;                       /**< May be empty. */
    char *headers[HTTP_CLIENT_MAX_HEADERS]; /**< Owned lines "Name: value". */
    uint32_t header_count;
    uint32_t timeout_ms; /**< Of the whole transfer. */
    uint32_t connect_timeout_ms;
    bool at_most_once; /**< Uses a new connection: the request is sent again if a reused one is closed. */
    void *context;     /**< First argument of the callbacks. */
    /** Called with each part of the body; returning false stops the transfer. May be NULL. */
    bool (*on_data)(void *context, int status, struct view data);
    /** Called with each header of the final response, once its head is complete. May be NULL. */
    void (*on_header)(void *context, const char *name, const char *value);
};

/** Initializes and cleans up libcurl; call each once per process. */
bool http_client_init(void);
void http_client_close(void);

/** Adds a header line, truncated to 1,023 bytes; ignored once there are HTTP_CLIENT_MAX_HEADERS. */
void http_request_add_header(struct http_request *request, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

void http_request_close(struct http_request *request);

/** Runs the transfer; `status` is 0 if the head of the final response was not received whole. */
enum http_transfer_result http_client_run(const struct http_request *request, int *status);

#endif
