/**
 * @file upstream.h
 * Event-driven HTTP/1.1 client on libuv with kept connections, one request at
 * a time on each. It tells apart what a proxy must know: a request that was
 * never sent, one that may have run, and a whole answer.
 *
 * A kept connection is used again only while nothing came on it since its
 * last answer, and is retired well before the server would close it. Nothing
 * is ever sent twice.
 *
 * An exchange may wait for its connection: it dials for up to UPSTREAM_CONNECT_MS,
 * or all connections to its server are taken. So its bytes are made only when a
 * connection takes them, once, and what they tell of time holds then. A request
 * whose time is over by then is not sent.
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
    UPSTREAM_CONNECT_MS = 400,     /**< Time a connection may take to come up. */
    UPSTREAM_PROBE_MS = 50,        /**< The same for one that only asks whether the server can be reached. */
    UPSTREAM_REST_MS = 4000,       /**< Longest rest where the server names no time. */
    UPSTREAM_REST_MARGIN_MS = 700, /**< Retired this much before the time the server names. */
    UPSTREAM_MAX_HEAD = 64 << 10,  /**< Largest head of an answer. */
    UPSTREAM_MAX_BODY = 64 << 20   /**< Largest body of an answer. */
};

/** How an exchange ended. */
enum upstream_end {
    UPSTREAM_DONE,     /**< The whole answer came. */
    UPSTREAM_NOT_SENT, /**< No byte of the request left: it has not run. */
    UPSTREAM_VACANT,   /**< The same, and nothing listens at the address: the server that had it has ended. */
    UPSTREAM_BROKEN,   /**< It was sent, and no whole answer came: it may have run. */
    UPSTREAM_SILENT    /**< The same: the server's machine answered nothing on the open connection (peer_watch.h). */
};

/** Receives an answer. Functions may cancel the exchange; `end` comes once, unless it was cancelled. */
struct upstream_events {
    /**
     * Appends the request, right before it goes out; false: it is not to be sent any more, and ends as
     * UPSTREAM_NOT_SENT. Comes once at most, also from within upstream_start(); it may not cancel the exchange.
     */
    bool (*write)(void *owner, struct buffer *request);
    void (*head)(void *owner, const struct http_reader *answer); /**< The head of a final answer. */
    void (*body)(void *owner, struct view part);                 /**< Decoded part of the body. */
    void (*end)(void *owner, enum upstream_end end);             /**< The exchange is over. */
};

struct upstream_connection;
struct upstream_server;

/** A request under way. */
struct upstream_exchange {
    const struct upstream_events *events;   /**< Receiver. */
    void *owner;                            /**< First argument of its functions. */
    struct upstream_connection *connection; /**< Connection, or NULL while it waits for one. */
    struct upstream_server *server;         /**< Server asked. */
    bool head_request;                      /**< Method HEAD: the answer has no body. */
    bool reused;                            /**< The connection served a request before. */
    bool sent;                              /**< Bytes may have left. */
    bool vacant;                            /**< The address refused the connection. */
    bool final;                             /**< The head of the final answer came. */
    bool watched;                           /**< The server's machine is asked while the answer is silent. */
    uint64_t waiting_since_ms;              /**< Time the wait for a connection began. */
    struct upstream_exchange *next;         /**< Queue of those that wait, or that end without having been sent. */
};

/** Events so far, one counter each. */
struct upstream_counters {
    uint64_t connections; /**< New connections. */
    uint64_t reuses;      /**< Requests on a kept connection. */
    uint64_t stray_bytes; /**< Kept connections closed for bytes that belong to no request. */
    uint64_t refused;     /**< Connections that did not come up. */
    uint64_t broken;      /**< Exchanges that ended without a whole answer, silent ones included. */
};

/** Connections to one address. */
struct upstream_server {
    char key[32];                      /**< IP:PORT. */
    struct address address;            /**< Where. */
    uint32_t open;                     /**< Connections open or coming up. */
    struct upstream_connection *idle;  /**< Most recently used first. */
    struct upstream_exchange *waiting; /**< Exchanges that wait for a connection, oldest first. */
    UT_hash_handle hh;                 /**< By key. */
};

/** Receives whether a server took a connection that asked for no more than that. */
typedef void (*upstream_probed)(void *context, const char *address, bool answered);

/** All servers. */
struct upstream_pool {
    uv_loop_t *loop;                   /**< Event loop. */
    uv_timer_t sweep;                  /**< Retires connections. */
    uv_timer_t unsent_due;             /**< Ends those below, so that no end comes from within. */
    struct upstream_exchange *unsent;  /**< Exchanges that were not to be sent any more. */
    struct upstream_server *servers;   /**< By address. */
    struct upstream_connection *all;   /**< Every connection. */
    uint32_t max_connections;          /**< To one server; 0: no limit. */
    upstream_probed probed;            /**< Receiver of what upstream_probe() asked. */
    void *probed_context;              /**< Its first argument. */
    struct upstream_counters counters; /**< Events. */
};

/** Starts an empty pool. */
void upstream_init(struct upstream_pool *pool, uv_loop_t *loop);

/** Closes all connections; exchanges must have ended. */
void upstream_close(struct upstream_pool *pool);

/** Sends what `events` writes, as soon as there is a connection. Ends come later, never from within. */
struct upstream_exchange *upstream_start(struct upstream_pool *pool, const struct address *address, bool head_request,
                                         const struct upstream_events *events, void *owner);

/** Opens a connection to see whether the server takes it; it is kept for a later exchange. `probed` is told, later. */
void upstream_probe(struct upstream_pool *pool, const struct address *address);

/** Gives an exchange up: its connection is closed, no event follows. */
void upstream_cancel(struct upstream_pool *pool, struct upstream_exchange *exchange);

/** Ends the exchange, or no more, as UPSTREAM_SILENT where its connection tells that the server's machine is silent. */
void upstream_watch(struct upstream_exchange *exchange, bool watched);

/** Stops and resumes reading the answer. */
void upstream_pause(struct upstream_exchange *exchange, bool paused);

/** Connections that rest, to a server. */
uint32_t upstream_idle_count(const struct upstream_pool *pool, const char *address);

/** Closes the connections that rest, to a server that has started again. */
void upstream_forget(struct upstream_pool *pool, const char *address);

/** Whether bytes of the request may have left. */
bool upstream_was_sent(const struct upstream_exchange *exchange);

#endif
