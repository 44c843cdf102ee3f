/**
 * @file upstream_internal.h
 * Upstream client; internal to these files:
 *
 *   upstream.c           connections: connecting, idle pool, assignment to exchanges
 *   upstream_response.c  receiving responses
 */
#ifndef BANKBANK_NET_UPSTREAM_INTERNAL_H
#define BANKBANK_NET_UPSTREAM_INTERNAL_H

#include "net/upstream.h"

/* CONNECTING -> ACTIVE (serves an exchange) <-> IDLE; CONNECTING -> IDLE without an exchange; any state -> CLOSED. */
enum upstream_state { UPSTREAM_CONNECTING, UPSTREAM_ACTIVE, UPSTREAM_IDLE, UPSTREAM_CLOSED };

struct upstream_connection {
    uv_tcp_t socket;
    uv_connect_t connect;
    struct upstream_pool *pool;
    struct upstream_server *server;
    struct upstream_exchange *exchange; /* may be NULL */
    enum upstream_state state;
    struct http_reader reader;
    uint64_t state_since_ms;  /* start of connecting or of the idle period */
    uint64_t idle_timeout_ms; /* from the server's Keep-Alive header, else UPSTREAM_IDLE_MS; 0: not reused */
    uint64_t recent_keys[UPSTREAM_RECENT_KEYS]; /* of the last exchanges; a ring */
    uint64_t exchange_count;                    /* requests sent so far */
    bool request_written;                       /* completely */
    int write_error;                            /* of the current request, as a positive errno; 0: none */
    bool end_pending;          /* the peer has closed, and connection_end.h does not yet tell what that means */
    bool close_after;          /* close after the current response */
    bool probe;                /* opened by upstream_probe(), which has no result yet */
    bool keepalive;            /* the keepalive is started */
    size_t useless_bytes;      /* received since the final head or the last part of its body */
    uint64_t last_activity_ms; /* last time that bytes arrived or a request was sent */
    struct upstream_connection *next_idle;
    struct upstream_connection *previous;
    struct upstream_connection *next;
};

/** Closes a connection without notifying its exchange. */
void upstream_connection_close(struct upstream_connection *connection);

/** Closes a failed connection and ends its exchange: as `sent_result` if bytes of the request may have been sent. */
void upstream_connection_end(struct upstream_connection *connection, enum upstream_result sent_result);

/** Call before an idle connection that its peer has closed is closed here. */
void upstream_report_closed(const struct upstream_connection *connection);

/** Like upstream_connection_end() with UPSTREAM_BROKEN. */
void upstream_connection_fail(struct upstream_connection *connection);

/** Frees an exchange and calls its `end`. */
void upstream_finish(struct upstream_pool *pool, struct upstream_exchange *exchange, enum upstream_result result);

/** Assigns connections to the waiting exchanges of a server. */
void upstream_assign_waiting(struct upstream_pool *pool, struct upstream_server *server);

void upstream_make_idle(struct upstream_connection *connection);

/** Records that bytes arrived, and stops the keepalive. */
void upstream_record_activity(struct upstream_connection *connection);

void upstream_response_init(struct upstream_connection *connection);

/** Ends the exchange of a connection with `end_pending` if it is known how. Returns whether it has called back. */
bool upstream_check_end(struct upstream_connection *connection);

/** Callbacks of uv_read_start(). */
void upstream_on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *out);
void upstream_on_read(uv_stream_t *stream, ssize_t nread, const uv_buf_t *buffer);

#endif
