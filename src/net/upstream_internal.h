/**
 * @file upstream_internal.h
 * Shared by the parts of the upstream client; not for others.
 *
 *   upstream.c          connections: dialling, resting, which exchange takes which
 *   upstream_answer.c   what comes on them
 */
#ifndef BANKBANK_NET_UPSTREAM_INTERNAL_H
#define BANKBANK_NET_UPSTREAM_INTERNAL_H

#include "net/upstream.h"

/* CONNECTING -> ACTIVE (an exchange is under way) <-> IDLE -> CLOSED. */
enum upstream_state { UPSTREAM_CONNECTING, UPSTREAM_ACTIVE, UPSTREAM_IDLE, UPSTREAM_CLOSED };

struct upstream_connection {
    uv_tcp_t socket;
    uv_connect_t connect;
    struct upstream_pool *pool;
    struct upstream_server *server;
    struct upstream_exchange *exchange; /* the one it serves */
    enum upstream_state state;
    struct http_reader reader;
    uint64_t since_ms; /* start of connecting or of the rest */
    uint64_t rest_ms;  /* longest rest */
    bool written;      /* the request has left whole */
    bool once;         /* closes after the current answer */
    bool probe;        /* asks whether the server can be reached */
    bool watched;      /* its peer's machine is watched */
    uint64_t heard_ms; /* something came, or the request went out */
    struct upstream_connection *next_idle;
    struct upstream_connection *previous;
    struct upstream_connection *next;
};

/** Closes a connection without a word to its exchange. */
void upstream_connection_close(struct upstream_connection *connection);

/** The connection failed: so does its exchange, as `sent_end` if its request may have left. */
void upstream_connection_end(struct upstream_connection *connection, enum upstream_end sent_end);

/** The same as UPSTREAM_BROKEN. */
void upstream_connection_fail(struct upstream_connection *connection);

/** Ends an exchange and tells its receiver. */
void upstream_finish(struct upstream_pool *pool, struct upstream_exchange *exchange, enum upstream_end end);

/** Gives connections to the exchanges that wait for one to a server. */
void upstream_serve_waiting(struct upstream_pool *pool, struct upstream_server *server);

/** Lets a connection rest for a later exchange. */
void upstream_rest(struct upstream_connection *connection);

/** Something came from the peer. */
void upstream_heard(struct upstream_connection *connection);

/** Prepares a connection's reader of answers. */
void upstream_answer_open(struct upstream_connection *connection);

/** Receive bytes, for uv_read_start(). */
void upstream_on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *out);
void upstream_on_read(uv_stream_t *stream, ssize_t got, const uv_buf_t *space);

#endif
