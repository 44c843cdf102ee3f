/**
 * @file http_listener.h
 * An event-driven HTTP/1.1 server on libuv. A complete request is passed to the
 * handler as a `http_call`; the response is written as a whole or in parts. A
 * connection handles one request at a time. The handler is notified as soon as
 * the client disconnects.
 *
 * The receive time of a request is when its bytes arrived, not when they were
 * read, which is later if the process was stalled. If the difference can be
 * large, the kernel is asked how long the bytes were queued.
 */
#ifndef BANKBANK_NET_HTTP_LISTENER_H
#define BANKBANK_NET_HTTP_LISTENER_H

#include <stdbool.h>
#include <stdint.h>

#include <uv.h>

#include "base/buffer.h"
#include "net/address.h"
#include "net/http_end.h"
#include "net/http_reader.h"
#include "net/http_shares.h"

struct http_connection;
struct http_listener;

/** Limits on clients; they may change while the listener runs. A lower one applies to idle periods and requests that
 * begin after the change, a higher one at once. */
struct http_limits {
    size_t max_head_bytes;
    size_t max_body_bytes;
    uint64_t header_timeout_ms; /**< For a whole request with its body, from its first byte. If it passes: 408. */
    uint64_t idle_timeout_ms;   /**< Between requests. Responses tell 80 in 100 of it in Keep-Alive. */
    size_t max_receiving_bytes; /**< All bodies being received; a single one is always allowed. 0: no limit. */
};

/** A request and its response. */
struct http_call {
    struct http_connection *connection;
    struct http_reader *request; /**< Head: method, target, headers. */
    struct buffer body;
    uint64_t received_ms; /**< Loop time at which its first bytes arrived. If it was pipelined: at which the last
                               bytes read before the end of the previous response arrived. Never later than now. */
    void *owner;          /**< For use by the handler. */
    bool head_sent;
    bool chunked;
};

struct http_handler {
    const char *name;       /**< Of the listener, for logs; a string constant, or NULL. */
    bool accounts_requests; /**< The handler itself counts bodies of requests being answered, and unsent responses. */
    void *context;          /**< First argument of every callback. */
    /** A complete request was received; it may be answered now or later. */
    void (*request)(void *context, struct http_call *call);
    /** The client disconnected before the response was complete; the call must not be used afterwards. */
    void (*disconnected)(void *context, struct http_call *call);
    /** All queued bytes of the response were written (http_call_unsent_bytes() is 0 again); may be NULL. */
    void (*drained)(void *context, struct http_call *call);
};

/** Counters since the start. */
struct http_listener_counters {
    uint64_t accepted;             /**< Connections. */
    uint64_t requests;             /**< Complete requests. */
    uint64_t malformed;            /**< Requests rejected as malformed or too large. */
    uint64_t disconnects;          /**< Clients that disconnected before their response was complete. */
    uint64_t over_memory_limit;    /**< Requests rejected because of max_receiving_bytes. */
    uint64_t timeouts;             /**< Connections closed by a timeout. */
    uint64_t ends[HTTP_END_COUNT]; /**< Ends that left a request without its complete response, by reason. */
};

/** A listening socket and its connections. */
struct http_listener {
    uv_tcp_t socket;
    uv_timer_t sweep;               /**< Checks the timeouts of all connections. */
    uv_prepare_t prepare;           /**< Updates the iteration times below. */
    uv_check_t check;               /**< Notes when the last poll for events returned. */
    uint64_t polled_ms;             /**< Loop time at which it did; 0: not yet. */
    uint64_t stalled_ms;            /**< Sum of the times between two polls that were too long to read in time. */
    uint64_t send_timeout_ms;       /**< Longest time for which a client may accept no byte of its response; 0: 15 s. */
    uint64_t iteration_ms;          /**< Loop time before the last poll for events. */
    uint64_t previous_iteration_ms; /**< The same one iteration earlier: bytes read now arrived after it. */
    uv_loop_t *loop;
    struct http_handler handler;
    struct http_limits limits;
    http_shares_t shares; /**< Limits are set after the start; none by default. */
    bool draining;        /**< Connections are closed after their response; never reset. */
    bool close_after;     /**< The same, and may be reset (http_listener_set_close_after()). */
    bool listening;       /**< The socket is open. */
    struct http_connection *connections;
    size_t reserved_bytes; /**< Memory reserved for bodies. */
    struct http_listener_counters counters;
};

/** Starts listening; returns 0 or a libuv error code. */
int http_listener_start(struct http_listener *listener, uv_loop_t *loop, const struct address *address,
                        const struct http_handler *handler, const struct http_limits *limits);

/** Accepts the connections of the backlog, and no further ones; closes those that have been idle for a second. The
 * others may have a request on the way and are served: call it again until http_listener_active_count() is 0. */
void http_listener_stop_accepting(struct http_listener *listener);

/** Refuses the requests that are being received: 503, as not run. */
void http_listener_refuse_receiving(struct http_listener *listener);

/** Closes the listener and all connections; in-flight requests end as if their clients had disconnected. */
void http_listener_close(struct http_listener *listener);

/** From now on, connections are closed after their response, unless a further request has already arrived. */
void http_listener_drain(struct http_listener *listener);

/** Sets whether connections are closed after their response. Has no effect on responses that have already begun, or
 * while the listener drains. */
void http_listener_set_close_after(struct http_listener *listener, bool close_after);

/** Number of connections with an incomplete or unanswered request, unread bytes or unsent bytes of a response; once the
 * listener does not accept any more, idle ones that are not closed yet count too. */
uint32_t http_listener_active_count(const struct http_listener *listener);

/** Sends a complete response; `headers` are lines each ending in CRLF, or NULL. The call is invalid afterwards. If
 * shares.max_connection_bytes has no room for a long body, the response is a 503 instead. */
void http_call_send_response(struct http_call *call, int status, const char *headers, const char *content_type,
                             struct view body);

/** Starts a response of unknown length; `headers` are lines each ending in CRLF, or empty. */
void http_call_start_response(struct http_call *call, int status, struct view headers);

void http_call_send_data(struct http_call *call, struct view data);

/** The call is invalid afterwards. */
void http_call_end_response(struct http_call *call);

/** Closes the connection so that the client sees an incomplete response. The call is invalid afterwards. */
void http_call_abort_response(struct http_call *call);

/** Makes the connection close after the response. */
void http_call_close_after(struct http_call *call);

/** Bytes written to the connection and not yet accepted by the kernel. */
size_t http_call_unsent_bytes(const struct http_call *call);

/** The sum of http_call_unsent_bytes() over all connections, completed responses included. */
size_t http_listener_unsent_bytes(const struct http_listener *listener);

#endif
