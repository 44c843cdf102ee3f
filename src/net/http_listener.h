/**
 * @file http_listener.h
 * An event-driven HTTP/1.1 server on libuv. A request is read whole, then
 * given to the handler as a `http_call`; the answer is written by the
 * functions here, at once or part by part. One call a connection at a time.
 *
 * The handler learns at once, in every phase, when the client has left.
 *
 * A client's time runs from when its request came, not from when it was read: a
 * process that stood still, or waited for a processor, reads it later. Where that
 * can have been long, the kernel is asked how long the bytes have lain there.
 */
#ifndef BANKBANK_NET_HTTP_LISTENER_H
#define BANKBANK_NET_HTTP_LISTENER_H

#include <stdbool.h>
#include <stdint.h>

#include <uv.h>

#include "base/buffer.h"
#include "net/address.h"
#include "net/http_reader.h"

struct http_connection;
struct http_listener;

/** Limits of what clients may send; they may change while the listener runs. */
struct http_limits {
    size_t max_head_bytes;      /**< Largest head. */
    size_t max_body_bytes;      /**< Largest body. */
    uint64_t header_timeout_ms; /**< Time a request may take to arrive, once begun. */
    uint64_t idle_timeout_ms;   /**< Time a connection may rest between requests. */
    size_t max_arriving_bytes;  /**< Bodies that are being read, of all connections; 0: no limit. */
};

/** A request and its answer. */
struct http_call {
    struct http_connection *connection; /**< Its connection. */
    struct http_reader *request;        /**< Head: method, target, headers. */
    struct buffer body;                 /**< Whole body. */
    uint64_t received_ms;               /**< Loop time at which its first bytes came, or, where it was sent ahead of an
                                             answer, the newest bytes read by then; never later than now. */
    void *owner;                        /**< The handler's. */
    bool head_sent;                     /**< The answer has begun. */
    bool chunked;                       /**< The answer's body goes in chunks. */
};

/** Receives requests. */
struct http_handler {
    void *context; /**< First argument of every function. */
    /** A whole request; answered now or later. */
    void (*request)(void *context, struct http_call *call);
    /** The client left before the answer ended; the call must not be used any more. */
    void (*gone)(void *context, struct http_call *call);
    /** All of the answer so far has left (http_call_pending() is 0 again); may be NULL. */
    void (*drained)(void *context, struct http_call *call);
};

/** Events so far, one counter each. */
struct http_listener_counters {
    uint64_t accepted;  /**< Connections. */
    uint64_t requests;  /**< Whole requests. */
    uint64_t malformed; /**< Requests refused for their form. */
    uint64_t gone;      /**< Clients that left before their answer ended. */
    uint64_t no_room;   /**< Requests whose body would have been over max_arriving_bytes. */
    uint64_t timeouts;  /**< Connections closed for idleness or slowness. */
};

/** A listening address and its connections. */
struct http_listener {
    uv_tcp_t socket;                        /**< Listening socket. */
    uv_timer_t sweep;                       /**< Looks for idle and slow connections. */
    uv_prepare_t turn;                      /**< Notes the times below. */
    uint64_t turn_ms;                       /**< Loop time before the last wait for events. */
    uint64_t before_ms;                     /**< And before the one before: what is read now came after it. */
    uv_loop_t *loop;                        /**< Event loop. */
    struct http_handler handler;            /**< Receiver. */
    struct http_limits limits;              /**< In force for new requests. */
    bool draining;                          /**< Answers close their connections. */
    bool listening;                         /**< The socket is open. */
    struct http_connection *connections;    /**< All connections. */
    size_t arriving_bytes;                  /**< Lengths of the bodies that are being read. */
    struct http_listener_counters counters; /**< Events. */
};

/** Starts listening; returns 0 or a libuv error. */
int http_listener_start(struct http_listener *listener, uv_loop_t *loop, const struct address *address,
                        const struct http_handler *handler, const struct http_limits *limits);

/** Stops accepting and closes connections that rest. */
void http_listener_stop_accepting(struct http_listener *listener);

/** Closes everything; requests under way end as if their clients had left. */
void http_listener_close(struct http_listener *listener);

/** From now on each answer closes its connection. */
void http_listener_drain(struct http_listener *listener);

/** Number of connections with a request that waits to be read, arrives or is being answered, or an answer that is not
 * taken whole yet. */
uint32_t http_listener_active(const struct http_listener *listener);

/** Answers whole; `headers` are lines each ended by CRLF, or NULL. */
void http_call_reply(struct http_call *call, int status, const char *headers, const char *content_type,
                     struct view body);

/** Begins an answer of unknown length; `headers` as above. */
void http_call_begin(struct http_call *call, int status, struct view headers);

/** Sends a part of its body. */
void http_call_data(struct http_call *call, struct view data);

/** Ends the answer in order. The call is gone after this. */
void http_call_end(struct http_call *call);

/** Breaks the answer off, so that the client sees it is not whole. The call is gone after this. */
void http_call_cut(struct http_call *call);

/** The answer of this call will close its connection. */
void http_call_close_after(struct http_call *call);

/** Bytes written and not yet taken by the client. */
size_t http_call_pending(const struct http_call *call);

/** Bytes of answers that clients have not taken, over all connections: those that are whole too. */
size_t http_listener_unsent(const struct http_listener *listener);

#endif
