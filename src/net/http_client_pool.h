/**
 * @file http_client_pool.h
 * Connections of the HTTP client (http_client.h), and the pool of idle ones that
 * all threads share. libcurl resolves and connects, and no more: requests and
 * responses pass over its socket, since it takes many a response that is none, and
 * 7.88 uses freed memory after a folded header line.
 */
#ifndef BANKBANK_NET_HTTP_CLIENT_POOL_H
#define BANKBANK_NET_HTTP_CLIENT_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include <curl/curl.h>

enum {
    HTTP_CLIENT_POOL_MAX = 512,      /**< Idle connections; the oldest goes. */
    HTTP_CLIENT_POOL_MS = 60 * 1000, /**< For which an idle connection is kept. */
};

typedef struct http_client_connection_t {
    CURL *handle; /**< NULL: none. */
    int fd;
    char *origin; /**< "http://HOST:PORT". */
    uint64_t idle_since_ms;
} http_client_connection_t;

/** Opens a connection; false: it was not established. */
bool http_client_connect(http_client_connection_t *connection, const char *origin, uint32_t connect_timeout_ms,
                         uint32_t timeout_ms);

/** Closes a connection. */
void http_client_disconnect(http_client_connection_t *connection);

/** Takes the most recently used idle connection to the origin; its `handle` is NULL if there is none. */
http_client_connection_t http_client_pool_take(const char *origin);

/** Keeps an idle connection, which the pool owns from then on. */
void http_client_pool_add(http_client_connection_t *connection);

/** Closes all idle connections. */
void http_client_pool_close(void);

#endif
