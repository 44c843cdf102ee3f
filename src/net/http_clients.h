/**
 * @file http_clients.h
 * Clients of a CivetWeb server, which serves each connection with a thread of its own.
 * If all threads are taken, connections whose client keeps its thread waiting are
 * closed, those that have been silent longest first:
 *
 *   no request under way, or a part of its head   408, not run, unless it was answered before
 *   a part of a body, or a slow one               its end, so that the handler refuses it: 408
 *   a response that the client does not read      a reset
 *
 * A connection is silent if nothing arrives for HTTP_CLIENTS_SILENT_MS. After that time,
 * a body is slow below HTTP_CLIENTS_BODY_BYTES_PER_MS. Requests that
 * a handler works on are never touched. CivetWeb does not tell the socket of a
 * connection: sockets are found among the descriptors of the process, and told apart
 * by the address of their peer (IPv4).
 */
#ifndef BANKBANK_NET_HTTP_CLIENTS_H
#define BANKBANK_NET_HTTP_CLIENTS_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include <civetweb.h>

enum {
    HTTP_CLIENTS_SILENT_MS = 1000,
    HTTP_CLIENTS_BODY_BYTES_PER_MS = 32,
    HTTP_CLIENTS_PERIOD_MS = 250 /**< Of http_clients_relieve(). */
};

/** A connection that has a thread; the data of a CivetWeb connection (mg_get_user_connection_data()). */
typedef struct http_client_t {
    struct http_clients_t *clients;
    uint32_t ip; /**< Of the peer, in network order; of the request under way. */
    uint16_t port;
    bool in_handler;        /**< A request is under way. */
    uint64_t body_since_ms; /**< Its handler waits for the body; 0: it does not. */
    bool given_up;          /**< Its body was given up for other connections. */
    struct http_client_t *previous;
    struct http_client_t *next;
} http_client_t;

/** Clients of one server. */
typedef struct http_clients_t {
    pthread_mutex_t lock;
    http_client_t *first;
    uint32_t count;     /**< Connections that have a thread; atomic. */
    uint32_t threads;   /**< Of the server. */
    uint16_t port;      /**< That it listens on. */
    uint64_t displaced; /**< Connections that were closed for others; atomic. */
    uint64_t logged_ms;
} http_clients_t;

void http_clients_init(http_clients_t *clients, uint32_t threads, uint16_t port);

/** The server must be stopped. */
void http_clients_close(http_clients_t *clients);

/** A connection gets a thread; the result is freed by http_clients_remove(). */
http_client_t *http_clients_add(http_clients_t *clients);
void http_clients_remove(http_client_t *client);

/** A request begins, and ends. */
void http_client_begin(http_client_t *client, const struct mg_request_info *info);
void http_client_end(http_client_t *client);

/** The handler begins, or ends, to wait for the body; `client` may be NULL. Returns whether the body was given up. */
void http_client_begin_body(http_client_t *client);
bool http_client_end_body(http_client_t *client);

/** Whether all threads are taken: connections should not be kept after their response. */
bool http_clients_are_busy(const http_clients_t *clients);

/** To be called every HTTP_CLIENTS_PERIOD_MS: closes connections as described above if all threads are taken. */
void http_clients_relieve(http_clients_t *clients);

#endif
