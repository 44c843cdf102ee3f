#include "net/upstream_internal.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "net/peer_keepalive.h"

enum { UPSTREAM_SWEEP_MS = PEER_KEEPALIVE_INTERVAL_MS };

/* ---- Closing --------------------------------------------------------------------- */

static void upstream_on_closed(uv_handle_t *handle)
{
    struct upstream_connection *connection = handle->data;
    http_reader_close(&connection->reader);
    free(connection);
}

static void upstream_unlink_idle(struct upstream_connection *connection)
{
    struct upstream_connection **slot = &connection->server->idle;
    while (*slot != NULL && *slot != connection) {
        slot = &(*slot)->next_idle;
    }
    if (*slot != NULL) {
        *slot = connection->next_idle;
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

void upstream_finish(struct upstream_pool *pool, struct upstream_exchange *exchange, enum upstream_result result)
{
    const struct upstream_events *events = exchange->events;
    void *owner = exchange->owner;
    bool broken = result == UPSTREAM_BROKEN || result == UPSTREAM_PEER_TIMEOUT || result == UPSTREAM_ENDLESS;
    pool->counters.broken += broken ? 1 : 0;
    if (exchange->connection != NULL) {
        exchange->connection->exchange = NULL;
    }
    free(exchange);
    events->end(owner, result);
}

static void upstream_report_probe(struct upstream_connection *connection, bool answered)
{
    struct upstream_pool *pool = connection->pool;
    if (connection->probe) {
        connection->probe = false;
        pool->probed(pool->probed_context, connection->server->key, answered);
    }
}

void upstream_report_closed(const struct upstream_connection *connection)
{
    const struct upstream_pool *pool = connection->pool;
    bool at_once = connection->state == UPSTREAM_IDLE && connection->exchange_count == 0 &&
                   uv_now(pool->loop) < connection->state_since_ms + UPSTREAM_AT_ONCE_MS;
    if (at_once && pool->closed_unused != NULL) {
        pool->closed_unused(pool->probed_context, connection->server->key);
    }
}

static enum upstream_result upstream_unsent_result(const struct upstream_exchange *exchange)
{
    if (exchange->refused) {
        return UPSTREAM_REFUSED;
    }
    return exchange->connect_timed_out ? UPSTREAM_CONNECT_TIMEOUT : UPSTREAM_NOT_SENT;
}

void upstream_connection_end(struct upstream_connection *connection, enum upstream_result sent_result)
{
    struct upstream_pool *pool = connection->pool;
    struct upstream_server *server = connection->server;
    struct upstream_exchange *exchange = connection->exchange;
    upstream_connection_close(connection);
    upstream_report_probe(connection, false);
    if (exchange != NULL) {
        upstream_finish(pool, exchange, exchange->sent ? sent_result : upstream_unsent_result(exchange));
    }
    upstream_assign_waiting(pool, server);
}

void upstream_connection_fail(struct upstream_connection *connection)
{
    upstream_connection_end(connection, UPSTREAM_BROKEN);
}

void upstream_make_idle(struct upstream_connection *connection)
{
    connection->state = UPSTREAM_IDLE;
    connection->state_since_ms = uv_now(connection->pool->loop);
    connection->next_idle = connection->server->idle;
    connection->server->idle = connection;
}

/* ---- Keepalive ----------------------------------------------------------------------- */

/* Bytes that arrived and are still unread count as an answer: the kernel sends no probe then. */
static void upstream_update_keepalive(struct upstream_connection *connection, uint64_t now_ms)
{
    uv_os_fd_t fd;
    bool due = connection->state == UPSTREAM_ACTIVE && connection->exchange != NULL &&
               connection->exchange->keepalive && now_ms >= connection->last_activity_ms + PEER_KEEPALIVE_IDLE_MS;
    if (!due || uv_fileno((const uv_handle_t *)&connection->socket, &fd) != 0) {
        return;
    }
    if (connection->keepalive) {
        peer_keepalive_probe(fd);
    } else if (connection->request_written && peer_keepalive_can_start(fd)) {
        connection->keepalive = peer_keepalive_start(fd);
    }
}

void upstream_record_activity(struct upstream_connection *connection)
{
    uv_os_fd_t fd;
    connection->last_activity_ms = uv_now(connection->pool->loop);
    if (connection->keepalive && uv_fileno((const uv_handle_t *)&connection->socket, &fd) == 0) {
        connection->keepalive = false;
        peer_keepalive_stop(fd);
    }
}

/* ---- Requests ------------------------------------------------------------------------- */

struct upstream_write {
    uv_write_t request;
    struct buffer data; /* the complete request; a part may already be sent */
};

static void upstream_write_free(struct upstream_write *write)
{
    buffer_close(&write->data);
    free(write);
}

static void upstream_on_unsent(uv_timer_t *timer)
{
    struct upstream_pool *pool = timer->data;
    while (pool->unsent != NULL) {
        struct upstream_exchange *exchange = pool->unsent;
        pool->unsent = exchange->next;
        upstream_finish(pool, exchange, UPSTREAM_NOT_SENT);
    }
}

static void upstream_queue_unsent(struct upstream_pool *pool, struct upstream_exchange *exchange)
{
    exchange->connection = NULL;
    exchange->next = pool->unsent;
    pool->unsent = exchange;
    uv_timer_start(&pool->unsent_timer, upstream_on_unsent, 0, 0);
}

static void upstream_on_written(uv_write_t *request, int status)
{
    struct upstream_write *write = (struct upstream_write *)request;
    struct upstream_connection *connection = request->handle->data;
    upstream_write_free(write);
    if (status == 0) {
        connection->request_written = true;
    } else if (connection->write_error == 0) {
        connection->write_error = -status;
    }
    upstream_check_end(connection);
}

/* Returns false if the request must not be sent any more; the connection is unchanged then. */
static bool upstream_send(struct upstream_connection *connection, struct upstream_exchange *exchange)
{
    struct buffer request = {0};
    if (!exchange->events->write(exchange->owner, &request)) {
        buffer_close(&request);
        upstream_queue_unsent(connection->pool, exchange);
        return false;
    }
    connection->exchange = exchange;
    connection->state = UPSTREAM_ACTIVE;
    connection->request_written = false;
    connection->write_error = 0;
    connection->end_pending = false;
    connection->close_after = false;
    connection->reader.skip_body = exchange->head_request;
    http_reader_reset(&connection->reader);
    exchange->connection = connection;
    exchange->sent = true;
    connection->recent_keys[connection->exchange_count++ % UPSTREAM_RECENT_KEYS] = exchange->key;
    connection->last_activity_ms = uv_now(connection->pool->loop);
    uv_buf_t part = uv_buf_init((char *)request.data, (unsigned)request.length);
    int written = uv_try_write((uv_stream_t *)&connection->socket, &part, 1);
    size_t done = written < 0 ? 0 : (size_t)written;
    connection->write_error = written < 0 && written != UV_EAGAIN ? -written : 0;
    connection->request_written = done == request.length;
    if (connection->request_written) {
        buffer_close(&request);
        return true;
    }
    /* The write owns the request, since an early response may end the exchange before it is written. */
    struct upstream_write *write = memory_new(sizeof(*write));
    write->data = request;
    part = uv_buf_init((char *)request.data + done, (unsigned)(request.length - done));
    int queued = uv_write(&write->request, (uv_stream_t *)&connection->socket, &part, 1, upstream_on_written);
    if (queued != 0) {
        connection->write_error = connection->write_error == 0 ? -queued : connection->write_error;
        upstream_write_free(write);
    }
    return true;
}

/* Makes a new connection idle: a probe opened it, or its exchange must not be sent any more. */
static void upstream_make_new_idle(struct upstream_connection *connection)
{
    connection->exchange = NULL;
    connection->idle_timeout_ms = UPSTREAM_IDLE_MS;
    upstream_make_idle(connection);
}

static void upstream_on_connect(uv_connect_t *request, int status)
{
    struct upstream_connection *connection = request->data;
    if (connection->state == UPSTREAM_CLOSED) {
        return;
    }
    if (status != 0) {
        connection->pool->counters.connect_failures++;
        if (connection->probe && status == UV_ECONNREFUSED && connection->pool->probe_refused != NULL) {
            connection->pool->probe_refused(connection->pool->probed_context, connection->server->key);
        }
        upstream_report_probe(connection, true); /* any error before the timeout counts as an answer */
        if (connection->exchange != NULL) {
            connection->exchange->refused = status == UV_ECONNREFUSED;
        }
        upstream_connection_fail(connection);
        return;
    }
    uv_tcp_nodelay(&connection->socket, 1);
    uv_read_start((uv_stream_t *)&connection->socket, upstream_on_alloc, upstream_on_read);
    if (connection->exchange != NULL && upstream_send(connection, connection->exchange)) {
        return;
    }
    upstream_make_new_idle(connection);
    upstream_report_probe(connection, true);
    upstream_assign_waiting(connection->pool, connection->server);
}

static struct upstream_connection *upstream_connect(struct upstream_pool *pool, struct upstream_server *server,
                                                    struct upstream_exchange *exchange)
{
    struct upstream_connection *connection = memory_new(sizeof(*connection));
    connection->pool = pool;
    connection->server = server;
    connection->exchange = exchange;
    connection->state = UPSTREAM_CONNECTING;
    connection->state_since_ms = uv_now(pool->loop);
    upstream_response_init(connection);
    connection->next = pool->all;
    if (connection->next != NULL) {
        connection->next->previous = connection;
    }
    pool->all = connection;
    server->open++;
    pool->counters.connect_attempts++;
    if (exchange != NULL) {
        exchange->connection = connection;
    }
    uv_tcp_init(pool->loop, &connection->socket);
    connection->socket.data = connection;
    connection->connect.data = connection;
    if (uv_tcp_connect(&connection->connect, &connection->socket, (const struct sockaddr *)&server->address.socket,
                       upstream_on_connect) != 0) {
        connection->state_since_ms = 0; /* the next sweep closes it as timed out */
    }
    return connection;
}

/* False if the server has closed the connection or sent unexpected bytes. */
static bool upstream_is_reusable(const struct upstream_connection *connection)
{
    uv_os_fd_t fd;
    char byte;
    if (uv_fileno((const uv_handle_t *)&connection->socket, &fd) != 0) {
        return false;
    }
    return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

static bool upstream_has_carried(const struct upstream_connection *connection, uint64_t key)
{
    bool carried = false;
    for (int i = 0; i < UPSTREAM_RECENT_KEYS && key != 0; i++) {
        carried = carried || connection->recent_keys[i] == key;
    }
    return carried;
}

/* Leaves out connections that have recently carried an exchange with the same key; NULL: no other one is idle. */
static struct upstream_connection *upstream_take_idle(struct upstream_pool *pool, struct upstream_server *server,
                                                      uint64_t key)
{
    uint64_t now_ms = uv_now(pool->loop);
    struct upstream_connection *next = NULL;
    for (struct upstream_connection *connection = server->idle; connection != NULL; connection = next) {
        next = connection->next_idle;
        bool usable =
            now_ms < connection->state_since_ms + connection->idle_timeout_ms && upstream_is_reusable(connection);
        if (!usable) {
            upstream_report_closed(connection);
            upstream_connection_close(connection);
        } else if (!upstream_has_carried(connection, key)) {
            upstream_unlink_idle(connection);
            return connection;
        }
    }
    return NULL;
}

static void upstream_assign(struct upstream_pool *pool, struct upstream_server *server,
                            struct upstream_exchange *exchange)
{
    struct upstream_connection *connection = upstream_take_idle(pool, server, exchange->key);
    if (connection != NULL && upstream_send(connection, exchange)) {
        pool->counters.reuses++;
        exchange->reused = true;
        return;
    }
    if (connection != NULL) {
        connection->next_idle = server->idle; /* it stays idle */
        server->idle = connection;
        return;
    }
    bool full = pool->max_connections != 0 && server->open >= pool->max_connections;
    if (full && server->idle != NULL) {
        upstream_connection_close(server->idle); /* it has carried the same request */
        full = false;
    }
    if (!full) {
        upstream_connect(pool, server, exchange);
        return;
    }
    struct upstream_exchange **slot = &server->waiting;
    while (*slot != NULL) {
        slot = &(*slot)->next;
    }
    *slot = exchange;
}

static bool upstream_has_capacity(const struct upstream_pool *pool, const struct upstream_server *server)
{
    return server->idle != NULL || pool->max_connections == 0 || server->open < pool->max_connections;
}

/* If an exchange must not be sent any more, its connection is assigned to the next one. */
void upstream_assign_waiting(struct upstream_pool *pool, struct upstream_server *server)
{
    const struct upstream_exchange *unsent = NULL;
    do {
        struct upstream_exchange *exchange = server->waiting;
        if (exchange == NULL || !upstream_has_capacity(pool, server)) {
            return;
        }
        unsent = pool->unsent;
        server->waiting = exchange->next;
        exchange->next = NULL;
        upstream_assign(pool, server, exchange);
    } while (pool->unsent != unsent);
}

static struct upstream_server *upstream_get_server(struct upstream_pool *pool, const struct address *address)
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

struct upstream_exchange *upstream_start(struct upstream_pool *pool, const struct address *address, uint64_t key,
                                         bool head_request, const struct upstream_events *events, void *owner)
{
    struct upstream_exchange *exchange = memory_new(sizeof(*exchange));
    exchange->events = events;
    exchange->owner = owner;
    exchange->key = key;
    exchange->head_request = head_request;
    exchange->server = upstream_get_server(pool, address);
    exchange->waiting_since_ms = uv_now(pool->loop);
    upstream_assign(pool, exchange->server, exchange);
    return exchange;
}

bool upstream_is_first_exchange(const struct upstream_exchange *exchange)
{
    return exchange->connection != NULL && exchange->connection->exchange_count == 1;
}

void upstream_close_after_response(struct upstream_exchange *exchange)
{
    exchange->connection->close_after = true;
}

void upstream_probe(struct upstream_pool *pool, const struct address *address)
{
    struct upstream_connection *connection = upstream_connect(pool, upstream_get_server(pool, address), NULL);
    connection->probe = true;
}

static void upstream_remove_exchange(struct upstream_exchange **slot, const struct upstream_exchange *exchange)
{
    while (*slot != NULL && *slot != exchange) {
        slot = &(*slot)->next;
    }
    if (*slot != NULL) {
        *slot = exchange->next;
    }
}

void upstream_cancel(struct upstream_pool *pool, struct upstream_exchange *exchange)
{
    struct upstream_server *server = exchange->server;
    struct upstream_connection *connection = exchange->connection;
    upstream_remove_exchange(&server->waiting, exchange);
    upstream_remove_exchange(&pool->unsent, exchange);
    free(exchange);
    if (connection != NULL) {
        connection->exchange = NULL;
        upstream_connection_close(connection);
    }
    upstream_assign_waiting(pool, server);
}

void upstream_set_keepalive(struct upstream_exchange *exchange, bool enabled)
{
    exchange->keepalive = enabled;
}

void upstream_pause(struct upstream_exchange *exchange, bool paused)
{
    struct upstream_connection *connection = exchange->connection;
    if (connection == NULL || connection->state != UPSTREAM_ACTIVE || connection->end_pending) {
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

void upstream_close_idle(struct upstream_pool *pool, const char *address)
{
    struct upstream_server *server = NULL;
    HASH_FIND_STR(pool->servers, address, server);
    while (server != NULL && server->idle != NULL) {
        upstream_connection_close(server->idle);
    }
}

/* ---- Timeouts ------------------------------------------------------------------------------ */

/* Whether the kernel has finished connecting, but libuv has not reported it yet because this process is late. */
static bool upstream_connect_finished(const struct upstream_connection *connection)
{
    uv_os_fd_t fd;
    bool connecting = connection->state_since_ms != 0 && uv_fileno((const uv_handle_t *)&connection->socket, &fd) == 0;
    struct pollfd ready = {.fd = connecting ? fd : -1, .events = POLLOUT};
    return connecting && poll(&ready, 1, 0) > 0;
}

static void upstream_on_sweep(uv_timer_t *timer)
{
    struct upstream_pool *pool = timer->data;
    uint64_t now_ms = uv_now(pool->loop);
    struct upstream_connection *connection = pool->all;
    while (connection != NULL) {
        struct upstream_connection *next = connection->next;
        uint64_t connect_timeout_ms = connection->probe ? UPSTREAM_PROBE_MS : UPSTREAM_CONNECT_MS;
        bool connect_timed_out = connection->state == UPSTREAM_CONNECTING &&
                                 now_ms >= connection->state_since_ms + connect_timeout_ms &&
                                 !upstream_connect_finished(connection);
        upstream_update_keepalive(connection, now_ms);
        if (upstream_check_end(connection)) {
            connection = pool->all; /* the callback may have closed other connections */
            continue;
        }
        bool idle_expired =
            connection->state == UPSTREAM_IDLE && now_ms >= connection->state_since_ms + connection->idle_timeout_ms;
        if (connect_timed_out || idle_expired) {
            pool->counters.connect_failures += connect_timed_out ? 1 : 0;
            /* An attempt that failed locally, with state_since_ms 0, was never sent and says nothing of the server. */
            if (connection->exchange != NULL && connection->state_since_ms != 0) {
                connection->exchange->connect_timed_out = connect_timed_out;
            }
            upstream_connection_fail(connection);
            next = pool->all == NULL ? NULL : next;
            /* The callback may have closed other connections: restart from the first. */
            connection = connect_timed_out ? pool->all : next;
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
    uv_timer_init(loop, &pool->unsent_timer);
    pool->sweep.data = pool;
    pool->unsent_timer.data = pool;
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
    uv_close((uv_handle_t *)&pool->unsent_timer, NULL);
}
