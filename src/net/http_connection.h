/**
 * @file http_connection.h
 * Connections of an HTTP listener; internal to these files:
 *
 *   http_listener.c  accepting, reading requests, timeouts, closing
 *   http_response.c  writing responses
 *   http_end.c       recording ends that leave a request without its response
 *   http_shares.c    what connections hold, and which are turned away when a share is full
 */
#ifndef BANKBANK_NET_HTTP_CONNECTION_H
#define BANKBANK_NET_HTTP_CONNECTION_H

#include "net/http_listener.h"

enum http_connection_state {
    HTTP_READING,    /**< Waiting for a request, or receiving one. */
    HTTP_RESPONDING, /**< The handler has the request; its response is not complete. */
    HTTP_LINGERING,  /**< The last response is written, or the connection is closed as idle; input is discarded. */
    HTTP_CLOSED      /**< Closing; freed by the close callback of the event loop. */
};

struct http_connection {
    uv_tcp_t socket;
    struct http_listener *listener;
    enum http_connection_state state;
    struct http_reader reader;
    struct http_call call;
    struct buffer input;        /**< Received bytes not parsed yet; may hold pipelined requests. */
    struct http_limits limits;  /**< Of the idle period or request: those at its start, or higher ones since. */
    uint64_t state_since_ms;    /**< Start of the idle period, request or linger, or last change of `unsent`. */
    uint64_t stalled_before_ms; /**< listener->stalled_ms at `state_since_ms`: later stalls extend the timeout. */
    uint64_t lingering_ms;      /**< Loop time at which it began to linger. */
    uint64_t received_ms;       /**< Loop time at which the first bytes of this or the next request arrived. */
    uint64_t last_received_ms;  /**< Loop time at which the latest bytes arrived. */
    uint64_t unread_since_ms; /**< Loop time since which the socket was not read; 0: listener->previous_iteration_ms. */
    bool receiving;           /**< Part of a request has arrived. */
    bool used;                /**< A complete request has arrived. */
    uint64_t idle_since_ms;   /**< Loop time of its start, or of the end of its last response. */
    size_t accounted_bytes;   /**< Part of shares.connection_bytes. */
    size_t discarded_bytes;   /**< Discarded while lingering. */
    bool discard_paused;      /**< Lingers, and is read once in each sweep only. */
    size_t reserved_bytes;    /**< Memory reserved for the body: its length, or the largest allowed if unknown. */
    bool over_memory_limit;   /**< Rejected: its body would bring the sum of all bodies above max_receiving_bytes. */
    size_t unsent;            /**< Unsent bytes of responses at the last check of timeouts. */
    bool timeout_deferred;    /**< Its timeout expired while unread bytes were queued; one more check is allowed. */
    bool close_after;         /**< Close the connection after the response. */
    bool last_request;        /**< The client announced its last request, or it was rejected: no request follows. */
    bool closed_idle;         /**< Lingers since it was idle; its socket is not read any more. */
    size_t late_bytes;        /**< Bytes discarded while lingering that may belong to a request. */
    bool processing;          /**< Guards against recursion in http_connection_advance(). */
    struct http_connection *previous;
    struct http_connection *next; /**< In the list listener->connections. */
};

/** Closes the connection; its memory is freed once the event loop has closed the socket. */
void http_connection_close(struct http_connection *connection);

/** Handles a disconnect of the client: notifies the handler of a request in progress, and closes the connection. */
void http_connection_on_disconnect(struct http_connection *connection);

/** Counts and logs an end that is not the client's own. */
void http_connection_record_end(const struct http_connection *connection, http_end_t reason);

/** The same for a connection that could not be accepted; `error` is of libuv. */
void http_listener_record_not_accepted(struct http_listener *listener, int error);

/** Recomputes what the connection holds (shares.connection_bytes). */
void http_connection_account(struct http_connection *connection);

/** The connection is closed: it holds nothing. */
void http_connection_release_accounted(struct http_connection *connection);

/** Turns other connections away until the shares are kept to; false: `newest` must be refused. */
bool http_connection_make_room(struct http_connection *newest);

/** The same for max_receiving_bytes, which includes what is reserved for the body of `newest`. */
bool http_connection_make_room_for_body(struct http_connection *newest);

/** The same for a response of `bytes`; false: it must not be sent. */
bool http_connection_make_room_for_response(struct http_connection *newest, size_t bytes);

/** Sets the state to HTTP_LINGERING; may close another connection that lingers. */
void http_connection_enter_lingering(struct http_connection *connection);

/** Counts the connection as closed; its state is still the earlier one. */
void http_connection_leave_pool(struct http_connection *connection);

/** Refuses the request that is being received, or the connection, as not run: 503. */
void http_connection_refuse_full(struct http_connection *connection);

/** Releases the memory reserved for the body: it is complete, or will not be read. */
void http_connection_release_memory(struct http_connection *connection);

/** Reads on, and parses buffered input, once the client has taken all responses. */
void http_connection_resume(struct http_connection *connection);

/** Starts the timeout of the connection's state anew. */
void http_connection_restart_timeout(struct http_connection *connection);

/** Applies the listener's limits to the idle period or request that begins. */
void http_connection_adopt_limits(struct http_connection *connection);

/** Parses and dispatches buffered requests one after the other, until one awaits its response. */
void http_connection_advance(struct http_connection *connection);

/** Writes as much as the socket accepts and queues a copy of the rest. */
void http_connection_write(struct http_connection *connection, struct view data);

/** Shuts down the sending side and waits for the client to close, so that a TCP reset does not discard the response. */
void http_connection_linger(struct http_connection *connection);

/** Completes the response: prepares for the next request, or lingers if the connection is to be closed. */
void http_connection_finish(struct http_connection *connection);

#endif
