/**
 * @file upstream.h
 * Event-driven HTTP/1.1 client on libuv for a proxy, with a pool of persistent
 * connections and one request at a time on each. It distinguishes a request that
 * was never sent, one that may have been executed, and a complete response. No
 * request is ever sent twice.
 *
 * An idle connection is reused only if nothing arrived on it since its last
 * response, and is closed well before the server would close it.
 *
 * A response that arrives twice can be told from the next one only by the request that it names. Exchanges with the
 * same key, the attempts at one request, are therefore not sent on a connection that has recently carried another one
 * of them, and a response that names no request is certain to answer the first request of its connection only.
 *
 * An exchange may wait until its connection is established, or, if its server has
 * `max_connections` already, until one becomes idle or closes. Its request is
 * serialized only when a connection is available, so that time values in it are
 * correct and a request whose deadline has passed is not sent.
 */
#ifndef BANKBANK_NET_UPSTREAM_H
#define BANKBANK_NET_UPSTREAM_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>
#include <uv.h>

#include "base/buffer.h"
#include "net/address.h"
#include "net/http_reader.h"

enum {
    UPSTREAM_CONNECT_MS = 400,     /**< Connect timeout. */
    UPSTREAM_PROBE_MS = 50,        /**< Connect timeout of a probe. */
    UPSTREAM_AT_ONCE_MS = 50,      /**< A new connection that ends within this time unused was closed at once. */
    UPSTREAM_IDLE_MS = 4000,       /**< Idle timeout if the server sends no Keep-Alive header. */
    UPSTREAM_IDLE_MARGIN_MS = 700, /**< Idle connections are closed this long before the server's timeout. */
    UPSTREAM_RECENT_KEYS = 8,      /**< Exchanges of a connection whose keys are remembered. */
    UPSTREAM_MAX_HEAD_BYTES = 64 << 10,
    UPSTREAM_MAX_USELESS_BYTES = 128 << 10, /**< Of interim responses, chunk extensions and trailers in a row. */
    UPSTREAM_MAX_BODY_BYTES = 64 << 20
};

enum upstream_result {
    UPSTREAM_DONE,            /**< The complete response was received. */
    UPSTREAM_NOT_SENT,        /**< No byte of the request was sent: it was not executed. */
    UPSTREAM_REFUSED,         /**< Not sent, and the connection was refused: no server listens at the address. */
    UPSTREAM_CONNECT_TIMEOUT, /**< Not sent, and nothing answered the connection attempt for UPSTREAM_CONNECT_MS. */
    UPSTREAM_ENDLESS,         /**< Like UPSTREAM_BROKEN, but the server was still sending bytes that are no answer. */
    UPSTREAM_BROKEN,          /**< It was sent, without a complete response: it may have been executed. */
    UPSTREAM_PEER_TIMEOUT     /**< Like UPSTREAM_BROKEN, and the server's machine is unreachable (peer_keepalive.h). */
};

/** Callbacks of an exchange. They may cancel it, except `write`; `end` is called once, unless it was cancelled. */
struct upstream_events {
    /**
     * Appends the serialized request right before it is sent. Returns false if it must not be sent any more; it then
     * ends as UPSTREAM_NOT_SENT. Called at most once, possibly from upstream_start(); must not cancel the exchange.
     */
    bool (*write)(void *owner, struct buffer *request);
    void (*head)(void *owner, const struct http_reader *response); /**< The head of the final response was received. */
    void (*body)(void *owner, struct view part);                   /**< A decoded part of the body was received. */
    void (*end)(void *owner, enum upstream_result result);         /**< The exchange is freed already. */
};

struct upstream_connection;
struct upstream_server;

/** An in-flight request. */
struct upstream_exchange {
    const struct upstream_events *events;
    void *owner;                            /**< First argument of the callbacks. */
    struct upstream_connection *connection; /**< NULL while it waits for one. */
    struct upstream_server *server;
    uint64_t key;                   /**< Of its request; 0: none. */
    bool head_request;              /**< Method HEAD: the response has no body. */
    bool reused;                    /**< Sent on a connection that was idle. */
    bool sent;                      /**< Bytes of the request may have been sent. */
    bool refused;                   /**< The address refused the connection. */
    bool connect_timed_out;         /**< Nothing answered the connection attempt. */
    bool final;                     /**< The head of the final response was received. */
    bool keepalive;                 /**< The server's machine is probed while nothing arrives. */
    uint64_t waiting_since_ms;      /**< Start of the wait for a connection. */
    struct upstream_exchange *next; /**< Next in the queue `waiting` or `unsent`. */
};

/** Counters since the start. */
struct upstream_counters {
    uint64_t connect_attempts;  /**< Includes probes. */
    uint64_t reuses;            /**< Requests on a reused connection. */
    uint64_t stray_data_closes; /**< Connections closed because of unexpected bytes. */
    uint64_t connect_failures;  /**< Failed connection attempts. */
    uint64_t broken;            /**< Exchanges that ended as UPSTREAM_BROKEN or UPSTREAM_PEER_TIMEOUT. */
};

struct upstream_server {
    char key[32]; /**< IP:PORT. */
    struct address address;
    uint32_t open;                     /**< Number of connections, including connecting ones. */
    struct upstream_connection *idle;  /**< Idle connections, most recently used first. */
    struct upstream_exchange *waiting; /**< Exchanges that wait for a connection, oldest first. */
    UT_hash_handle hh;                 /**< By key. */
};

/** Receives the result of upstream_probe(): whether the server answered. A refusal, like any error before the connect
 * timeout, counts as an answer. */
typedef void (*upstream_probe_callback)(void *context, const char *address, bool answered);

/** Connection pool of all servers. */
struct upstream_pool {
    uv_loop_t *loop;
    uv_timer_t sweep;                                          /**< Checks timeouts and keepalives. */
    uv_timer_t unsent_timer;                                   /**< Ends the exchanges in `unsent` asynchronously. */
    struct upstream_exchange *unsent;                          /**< Exchanges that must not be sent any more. */
    struct upstream_server *servers;                           /**< Hash table by key. */
    struct upstream_connection *all;                           /**< Every connection. */
    uint32_t max_connections;                                  /**< To one server; 0: no limit. */
    upstream_probe_callback probed;                            /**< Callback of upstream_probe(). */
    void (*probe_refused)(void *context, const char *address); /**< Before `probed`, if the connection was refused. */
    void (*closed_unused)(void *context, const char *address); /**< A new connection was closed at once by its peer,
                                                                  before any request. */
    void *probed_context; /**< First argument of `probed`, `probe_refused` and `closed_unused`. */
    struct upstream_counters counters;
};

/** Initializes an empty pool. */
void upstream_init(struct upstream_pool *pool, uv_loop_t *loop);

/** Closes all connections; exchanges must have ended. */
void upstream_close(struct upstream_pool *pool);

/** Sends the request as soon as there is a connection. `key`: see above; 0: none. Never calls `end` itself. */
struct upstream_exchange *upstream_start(struct upstream_pool *pool, const struct address *address, uint64_t key,
                                         bool head_request, const struct upstream_events *events, void *owner);

/** Whether no other request was sent before on the connection of an exchange that was sent. */
bool upstream_is_first_exchange(const struct upstream_exchange *exchange);

/** Closes the connection after the response whose head was received. */
void upstream_close_after_response(struct upstream_exchange *exchange);

/** Tests whether the server is reachable: opens a connection, which becomes idle, and calls `probed` later. */
void upstream_probe(struct upstream_pool *pool, const struct address *address);

/** Frees an exchange and closes its connection, if any; no callback follows. */
void upstream_cancel(struct upstream_pool *pool, struct upstream_exchange *exchange);

/** Sets whether the exchange ends as UPSTREAM_PEER_TIMEOUT when the server's machine is unreachable. */
void upstream_set_keepalive(struct upstream_exchange *exchange, bool enabled);

/** Pauses or resumes reading the response. */
void upstream_pause(struct upstream_exchange *exchange, bool paused);

/** `address` is IP:PORT. */
uint32_t upstream_idle_count(const struct upstream_pool *pool, const char *address);

/** Closes the idle connections to `address` (IP:PORT), for example after the server was restarted. */
void upstream_close_idle(struct upstream_pool *pool, const char *address);

/** Whether bytes of the request may have been sent. */
bool upstream_was_sent(const struct upstream_exchange *exchange);

#endif
