#include "net/upstream_internal.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "net/peer_watch.h"

enum { UPSTREAM_SWEEP_MS = PEER_WATCH_AGAIN_MS };

/* ---- Closing --------------------------------------------------------------------- */

static void upstream_on_closed(uv_handle_t *handle)
{
    struct upstream_connection *connection = handle->data;
    http_reader_close(&connection->reader);
    free(connection);
}

static void upstream_unlink_idle(struct upstream_connection *connection)
{
    struct upstream_connection **place = &connection->server->idle;
    while (*place != NULL && *place != connection) {
        place = &(*place)->next_idle;
    }
    if (*place != NULL) {
        *place = connection->next_idle;
    }
    connection->next_idle = NULL;
}

void upstream_connection_close(struct upstream_connection *connection)
{
    if (connection->state == UPSTREAM_CLOSED) {
        return;
    }
    if (connection->state == UPSTREAM_IDLE) {
        upstream_unlink_idle(connection);
    }
    connection->state = UPSTREAM_CLOSED;
    connection->server->open--;
    if (connection->previous != NULL) {
        connection->previous->next = connection->next;
    } else {
        connection->pool->all = connection->next;
    }
    if (connection->next != NULL) {
        connection->next->previous = connection->previous;
    }
    uv_close((uv_handle_t *)&connection->socket, upstream_on_closed);
}

void upstream_finish(struct upstream_pool *pool, struct upstream_exchange *exchange, enum upstream_end end)
{
    const struct upstream_events *events = exchange->events;
    void *owner = exchange->owner;
    pool->counters.broken += end == UPSTREAM_BROKEN || end == UPSTREAM_SILENT ? 1 : 0;
    if (exchange->connection != NULL) {
        exchange->connection->exchange = NULL;
    }
    free(exchange);
    events->end(owner, end);
}

static void upstream_tell_probed(struct upstream_connection *connection, bool answered)
{
    struct upstream_pool *pool = connection->pool;
    if (connection->probe) {
        connection->probe = false;
        pool->probed(pool->probed_context, connection->server->key, answered);
    }
}

void upstream_connection_end(struct upstream_connection *connection, enum upstream_end sent_end)
{
    struct upstream_pool *pool = connection->pool;
    struct upstream_server *server = connection->server;
    struct upstream_exchange *exchange = connection->exchange;
    upstream_connection_close(connection);
    upstream_tell_probed(connection, false);
    if (exchange != NULL) {
        enum upstream_end not_sent = exchange->vacant ? UPSTREAM_VACANT : UPSTREAM_NOT_SENT;
        upstream_finish(pool, exchange, exchange->sent ? sent_end : not_sent);
    }
    upstream_serve_waiting(pool, server);
}

void upstream_connection_fail(struct upstream_connection *connection)
{
    upstream_connection_end(connection, UPSTREAM_BROKEN);
}

void upstream_rest(struct upstream_connection *connection)
{
    connection->state = UPSTREAM_IDLE;
    connection->since_ms = uv_now(connection->pool->loop);
    connection->next_idle = connection->server->idle;
    connection->server->idle = connection;
}

/* ---- Whether the peer's machine runs ------------------------------------------------- */

/* What came meanwhile and was not read is an answer as well: the kernel asks nothing then. */
static void upstream_watch_peer(struct upstream_connection *connection, uint64_t now_ms)
{
    uv_os_fd_t file;
    bool due = connection->state == UPSTREAM_ACTIVE && connection->exchange != NULL && connection->exchange->watched &&
               now_ms >= connection->heard_ms + PEER_WATCH_QUIET_MS;
    if (!due || uv_fileno((const uv_handle_t *)&connection->socket, &file) != 0) {
        return;
    }
    if (connection->watched) {
        peer_watch_ask(file);
    } else if (connection->written && peer_watch_may_begin(file)) {
        connection->watched = peer_watch_begin(file);
    }
}

void upstream_heard(struct upstream_connection *connection)
{
    uv_os_fd_t file;
    connection->heard_ms = uv_now(connection->pool->loop);
    if (connection->watched && uv_fileno((const uv_handle_t *)&connection->socket, &file) == 0) {
        connection->watched = false;
        peer_watch_end(file);
    }
}

/* ---- Requests ------------------------------------------------------------------------- */

struct upstream_write {
    uv_write_t request;
    struct buffer data; /* the whole request: its begin has left */
};

static void upstream_write_free(struct upstream_write *write)
{
    buffer_close(&write->data);
    free(write);
}

/* ---- What is not to be sent any more ---- */

static void upstream_on_unsent(uv_timer_t *timer)
{
    struct upstream_pool *pool = timer->data;
    while (pool->unsent != NULL) {
        struct upstream_exchange *exchange = pool->unsent;
        pool->unsent = exchange->next;
        upstream_finish(pool, exchange, UPSTREAM_NOT_SENT);
    }
}

static void upstream_leave_unsent(struct upstream_pool *pool, struct upstream_exchange *exchange)
{
    exchange->connection = NULL;
    exchange->next = pool->unsent;
    pool->unsent = exchange;
    uv_timer_start(&pool->unsent_due, upstream_on_unsent, 0, 0);
}

static void upstream_on_written(uv_write_t *request, int status)
{
    struct upstream_write *write = (struct upstream_write *)request;
    struct upstream_connection *connection = request->handle->data;
    upstream_write_free(write);
    if (status == 0) {
        connection->written = true;
    }
}

/* False: it is not to be sent any more; the connection is as it was. */
static bool upstream_send(struct upstream_connection *connection, struct upstream_exchange *exchange)
{
    struct buffer request = {0};
    if (!exchange->events->write(exchange->owner, &request)) {
        buffer_close(&request);
        upstream_leave_unsent(connection->pool, exchange);
        return false;
    }
    connection->exchange = exchange;
    connection->state = UPSTREAM_ACTIVE;
    connection->written = false;
    connection->once = false;
    connection->reader.skip_body = exchange->head_request;
    http_reader_reset(&connection->reader);
    exchange->connection = connection;
    exchange->sent = true;
    connection->heard_ms = uv_now(connection->pool->loop);
    uv_buf_t part = uv_buf_init((char *)request.data, (unsigned)request.length);
    int written = uv_try_write((uv_stream_t *)&connection->socket, &part, 1);
    size_t done = written < 0 ? 0 : (size_t)written;
    connection->written = done == request.length;
    if (connection->written) {
        buffer_close(&request);
        return true;
    }
    /* The rest is kept apart, so that it can be written on after an early answer. */
    struct upstream_write *write = memory_new(sizeof(*write));
    write->data = request;
    part = uv_buf_init((char *)request.data + done, (unsigned)(request.length - done));
    if (uv_write(&write->request, (uv_stream_t *)&connection->socket, &part, 1, upstream_on_written) != 0) {
        upstream_write_free(write);
    }
    return true;
}

/* A connection that has just come up and is not needed by the one that asked for it. */
static void upstream_rest_new(struct upstream_connection *connection)
{
    connection->exchange = NULL;
    connection->rest_ms = UPSTREAM_REST_MS;
    upstream_rest(connection);
}

static void upstream_on_connect(uv_connect_t *request, int status)
{
    struct upstream_connection *connection = request->data;
    if (connection->state == UPSTREAM_CLOSED) {
        return;
    }
    if (status != 0) {
        connection->pool->counters.refused++;
        upstream_tell_probed(connection, true); /* a refusal is an answer too */
        if (connection->exchange != NULL) {
            connection->exchange->vacant = status == UV_ECONNREFUSED;
        }
        upstream_connection_fail(connection);
        return;
    }
    uv_tcp_nodelay(&connection->socket, 1);
    uv_read_start((uv_stream_t *)&connection->socket, upstream_on_alloc, upstream_on_read);
    if (connection->exchange != NULL && upstream_send(connection, connection->exchange)) {
        return;
    }
    upstream_rest_new(connection);
    upstream_tell_probed(connection, true);
    upstream_serve_waiting(connection->pool, connection->server);
}

static struct upstream_connection *upstream_connect(struct upstream_pool *pool, struct upstream_server *server,
                                                    struct upstream_exchange *exchange)
{
    struct upstream_connection *connection = memory_new(sizeof(*connection));
    connection->pool = pool;
    connection->server = server;
    connection->exchange = exchange;
    connection->state = UPSTREAM_CONNECTING;
    connection->since_ms = uv_now(pool->loop);
    upstream_answer_open(connection);
    connection->next = pool->all;
    if (connection->next != NULL) {
        connection->next->previous = connection;
    }
    pool->all = connection;
    server->open++;
    pool->counters.connections++;
    if (exchange != NULL) {
        exchange->connection = connection;
    }
    uv_tcp_init(pool->loop, &connection->socket);
    connection->socket.data = connection;
    connection->connect.data = connection;
    if (uv_tcp_connect(&connection->connect, &connection->socket, (const struct sockaddr *)&server->address.socket,
                       upstream_on_connect) != 0) {
        connection->since_ms = 0; /* the sweep ends it */
    }
    return connection;
}

/* A connection that the server has closed, or that holds stray bytes, is not used. */
static bool upstream_is_quiet(const struct upstream_connection *connection)
{
    uv_os_fd_t file;
    char byte;
    if (uv_fileno((const uv_handle_t *)&connection->socket, &file) != 0) {
        return false;
    }
    return recv(file, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

static struct upstream_connection *upstream_take_idle(struct upstream_pool *pool, struct upstream_server *server)
{
    uint64_t now_ms = uv_now(pool->loop);
    while (server->idle != NULL) {
        struct upstream_connection *connection = server->idle;
        bool fits = now_ms < connection->since_ms + connection->rest_ms && upstream_is_quiet(connection);
        if (!fits) {
            upstream_connection_close(connection);
            continue;
        }
        upstream_unlink_idle(connection);
        return connection;
    }
    return NULL;
}

static void upstream_assign(struct upstream_pool *pool, struct upstream_server *server,
                            struct upstream_exchange *exchange)
{
    struct upstream_connection *connection = upstream_take_idle(pool, server);
    if (connection != NULL && upstream_send(connection, exchange)) {
        pool->counters.reuses++;
        exchange->reused = true;
        return;
    }
    if (connection != NULL) {
        connection->next_idle = server->idle; /* it rests on */
        server->idle = connection;
        return;
    }
    bool full = pool->max_connections != 0 && server->open >= pool->max_connections;
    if (!full) {
        upstream_connect(pool, server, exchange);
        return;
    }
    struct upstream_exchange **place = &server->waiting;
    while (*place != NULL) {
        place = &(*place)->next;
    }
    *place = exchange;
}

static bool upstream_has_room(const struct upstream_pool *pool, const struct upstream_server *server)
{
    return server->idle != NULL || pool->max_connections == 0 || server->open < pool->max_connections;
}

/* What is not to be sent any more leaves the connection to the next one. */
void upstream_serve_waiting(struct upstream_pool *pool, struct upstream_server *server)
{
    const struct upstream_exchange *unsent = NULL;
    do {
        struct upstream_exchange *exchange = server->waiting;
        if (exchange == NULL || !upstream_has_room(pool, server)) {
            return;
        }
        unsent = pool->unsent;
        server->waiting = exchange->next;
        exchange->next = NULL;
        upstream_assign(pool, server, exchange);
    } while (pool->unsent != unsent);
}

static struct upstream_server *upstream_server_of(struct upstream_pool *pool, const struct address *address)
{
    char key[sizeof(((struct upstream_server *)0)->key)];
    snprintf(key, sizeof(key), "%s:%u", address->ip, address->port);
    struct upstream_server *server = NULL;
    HASH_FIND_STR(pool->servers, key, server);
    if (server == NULL) {
        server = memory_new(sizeof(*server));
        memcpy(server->key, key, sizeof(key));
        server->address = *address;
        HASH_ADD_STR(pool->servers, key, server);
    }
    return server;
}

struct upstream_exchange *upstream_start(struct upstream_pool *pool, const struct address *address, bool head_request,
                                         const struct upstream_events *events, void *owner)
{
    struct upstream_exchange *exchange = memory_new(sizeof(*exchange));
    exchange->events = events;
    exchange->owner = owner;
    exchange->head_request = head_request;
    exchange->server = upstream_server_of(pool, address);
    exchange->waiting_since_ms = uv_now(pool->loop);
    upstream_assign(pool, exchange->server, exchange);
    return exchange;
}

void upstream_probe(struct upstream_pool *pool, const struct address *address)
{
    struct upstream_connection *connection = upstream_connect(pool, upstream_server_of(pool, address), NULL);
    connection->probe = true;
}

static void upstream_unlink(struct upstream_exchange **place, const struct upstream_exchange *exchange)
{
    while (*place != NULL && *place != exchange) {
        place = &(*place)->next;
    }
    if (*place != NULL) {
        *place = exchange->next;
    }
}

void upstream_cancel(struct upstream_pool *pool, struct upstream_exchange *exchange)
{
    struct upstream_server *server = exchange->server;
    struct upstream_connection *connection = exchange->connection;
    upstream_unlink(&server->waiting, exchange);
    upstream_unlink(&pool->unsent, exchange);
    free(exchange);
    if (connection != NULL) {
        connection->exchange = NULL;
        upstream_connection_close(connection);
    }
    upstream_serve_waiting(pool, server);
}

void upstream_watch(struct upstream_exchange *exchange, bool watched)
{
    exchange->watched = watched;
}

void upstream_pause(struct upstream_exchange *exchange, bool paused)
{
    struct upstream_connection *connection = exchange->connection;
    if (connection == NULL || connection->state != UPSTREAM_ACTIVE) {
        return;
    }
    if (paused) {
        uv_read_stop((uv_stream_t *)&connection->socket);
    } else {
        uv_read_start((uv_stream_t *)&connection->socket, upstream_on_alloc, upstream_on_read);
    }
}

bool upstream_was_sent(const struct upstream_exchange *exchange)
{
    return exchange->sent;
}

uint32_t upstream_idle_count(const struct upstream_pool *pool, const char *address)
{
    struct upstream_server *server = NULL;
    uint32_t count = 0;
    HASH_FIND_STR(pool->servers, address, server);
    const struct upstream_connection *connection = server == NULL ? NULL : server->idle;
    for (; connection != NULL; connection = connection->next_idle) {
        count++;
    }
    return count;
}

void upstream_forget(struct upstream_pool *pool, const char *address)
{
    struct upstream_server *server = NULL;
    HASH_FIND_STR(pool->servers, address, server);
    while (server != NULL && server->idle != NULL) {
        upstream_connection_close(server->idle);
    }
}

/* ---- Time --------------------------------------------------------------------------------- */

/* The kernel has the answer to a dial while this process waits for the processor: it is told in this turn's poll. */
static bool upstream_was_answered(const struct upstream_connection *connection)
{
    uv_os_fd_t file;
    bool dials = connection->since_ms != 0 && uv_fileno((const uv_handle_t *)&connection->socket, &file) == 0;
    struct pollfd ready = {.fd = dials ? file : -1, .events = POLLOUT};
    return dials && poll(&ready, 1, 0) > 0;
}

static void upstream_on_sweep(uv_timer_t *timer)
{
    struct upstream_pool *pool = timer->data;
    uint64_t now_ms = uv_now(pool->loop);
    struct upstream_connection *connection = pool->all;
    while (connection != NULL) {
        struct upstream_connection *next = connection->next;
        uint64_t limit_ms = connection->probe ? UPSTREAM_PROBE_MS : UPSTREAM_CONNECT_MS;
        bool late = connection->state == UPSTREAM_CONNECTING && now_ms >= connection->since_ms + limit_ms &&
                    !upstream_was_answered(connection);
        upstream_watch_peer(connection, now_ms);
        bool rested = connection->state == UPSTREAM_IDLE && now_ms >= connection->since_ms + connection->rest_ms;
        if (late || rested) {
            pool->counters.refused += late ? 1 : 0;
            upstream_connection_fail(connection);
            next = pool->all == NULL ? NULL : next;
            /* The receiver may have closed others: begin again. */
            connection = late ? pool->all : next;
            continue;
        }
        connection = next;
    }
}

void upstream_init(struct upstream_pool *pool, uv_loop_t *loop)
{
    memset(pool, 0, sizeof(*pool));
    pool->loop = loop;
    uv_timer_init(loop, &pool->sweep);
    uv_timer_init(loop, &pool->unsent_due);
    pool->sweep.data = pool;
    pool->unsent_due.data = pool;
    uv_timer_start(&pool->sweep, upstream_on_sweep, UPSTREAM_SWEEP_MS, UPSTREAM_SWEEP_MS);
}

void upstream_close(struct upstream_pool *pool)
{
    while (pool->all != NULL) {
        upstream_connection_close(pool->all);
    }
    struct upstream_server *server;
    struct upstream_server *next;
    HASH_ITER(hh, pool->servers, server, next)
    {
        HASH_DEL(pool->servers, server);
        free(server);
    }
    uv_close((uv_handle_t *)&pool->sweep, NULL);
    uv_close((uv_handle_t *)&pool->unsent_due, NULL);
}
