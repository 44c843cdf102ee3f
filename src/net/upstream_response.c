/* Reads from servers: responses, unexpected bytes and the end of a connection. */
#include "net/upstream_internal.h"

#include <string.h>
#include <sys/socket.h>

#include "net/connection_end.h"

enum { UPSTREAM_READ_BYTES = 1 << 16, UPSTREAM_FIRST_FINAL_STATUS = 200, UPSTREAM_MS_PER_S = 1000 };

static char upstream_read_buffer[UPSTREAM_READ_BYTES];

static uint64_t upstream_parse_idle_timeout(const struct http_reader *response)
{
    struct view value = http_reader_header(response, "Keep-Alive");
    static const char key[] = "timeout=";
    const uint8_t *at = value.length == 0 ? NULL : memmem(value.data, value.length, key, sizeof(key) - 1);
    if (at == NULL) {
        return UPSTREAM_IDLE_MS;
    }
    uint64_t seconds = 0;
    const uint8_t *end = value.data + value.length;
    /* Ignores further digits once the value is an hour or more, to prevent an overflow. */
    for (at += sizeof(key) - 1; at < end && *at >= '0' && *at <= '9' && seconds < 3600; at++) {
        seconds = seconds * 10 + (uint64_t)(*at - '0');
    }
    uint64_t server_timeout_ms = seconds * UPSTREAM_MS_PER_S;
    return server_timeout_ms > UPSTREAM_IDLE_MARGIN_MS ? server_timeout_ms - UPSTREAM_IDLE_MARGIN_MS : 0;
}

static bool upstream_on_head(void *context, struct http_reader *reader)
{
    struct upstream_connection *connection = context;
    struct upstream_exchange *exchange = connection->exchange;
    if (reader->status < UPSTREAM_FIRST_FINAL_STATUS) {
        return true;
    }
    exchange->final = true;
    connection->useless_bytes = 0;
    connection->idle_timeout_ms = upstream_parse_idle_timeout(reader);
    connection->close_after = !reader->keep_alive || reader->until_close;
    exchange->events->head(exchange->owner, reader);
    return connection->exchange != NULL;
}

static bool upstream_on_body(void *context, struct http_reader *reader, struct view part)
{
    struct upstream_connection *connection = context;
    (void)reader;
    connection->useless_bytes = 0;
    connection->exchange->events->body(connection->exchange->owner, part);
    return connection->exchange != NULL;
}

static bool upstream_on_complete(void *context, struct http_reader *reader)
{
    (void)context;
    (void)reader;
    return true;
}

/* Ends the exchange as UPSTREAM_DONE. Its connection is made idle or closed first, so that `end` or a waiting exchange
 * can use it. */
static void upstream_complete(struct upstream_connection *connection, bool bytes_left)
{
    struct upstream_pool *pool = connection->pool;
    struct upstream_server *server = connection->server;
    struct upstream_exchange *exchange = connection->exchange;
    connection->exchange = NULL;
    connection->useless_bytes = 0;
    exchange->connection = NULL;
    pool->counters.stray_data_closes += bytes_left ? 1 : 0;
    bool reusable =
        !bytes_left && !connection->close_after && connection->request_written && connection->idle_timeout_ms > 0;
    if (reusable) {
        upstream_make_idle(connection);
        http_reader_reset(&connection->reader);
    } else {
        upstream_connection_close(connection);
    }
    upstream_finish(pool, exchange, UPSTREAM_DONE);
    upstream_assign_waiting(pool, server);
}

static bool upstream_is_endless(const struct upstream_connection *connection)
{
    return connection->reader.error == HTTP_PARSE_ERROR_HEAD_TOO_LARGE ||
           connection->useless_bytes > UPSTREAM_MAX_USELESS_BYTES;
}

static void upstream_feed(struct upstream_connection *connection, const uint8_t *data, size_t length)
{
    size_t used = 0;
    while (used < length && connection->state == UPSTREAM_ACTIVE) {
        used += http_reader_feed(&connection->reader, data + used, length - used);
        if (connection->state != UPSTREAM_ACTIVE || connection->exchange == NULL) {
            return; /* cancelled by a callback */
        }
        if (upstream_is_endless(connection)) {
            upstream_connection_end(connection, UPSTREAM_ENDLESS);
            return;
        }
        if (connection->reader.error != HTTP_PARSE_ERROR_NONE) {
            upstream_connection_fail(connection);
            return;
        }
        if (connection->reader.complete && !connection->exchange->final) {
            http_reader_reset(&connection->reader); /* 1xx: the final response follows */
        } else if (connection->reader.complete) {
            upstream_complete(connection, used < length);
            return;
        }
    }
}

/* libuv reports UV_EOF for a hang-up, which can also be a reset: recv() distinguishes them, unless a write has consumed
 * the error before. */
static bool upstream_ended_cleanly(const struct upstream_connection *connection)
{
    uv_os_fd_t fd;
    char byte;
    return uv_fileno((const uv_handle_t *)&connection->socket, &fd) == 0 &&
           recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/* The response has no length, and the peer's orderly close has completed it. */
static void upstream_complete_by_close(struct upstream_connection *connection)
{
    http_reader_end(&connection->reader);
    if (connection->exchange == NULL) {
        return; /* cancelled by a callback */
    }
    if (connection->reader.complete) {
        connection->close_after = true;
        upstream_complete(connection, false);
    } else {
        upstream_connection_fail(connection);
    }
}

bool upstream_check_end(struct upstream_connection *connection)
{
    uv_os_fd_t fd;
    if (connection->state != UPSTREAM_ACTIVE || !connection->end_pending) {
        return false;
    }
    connection_end_state_t end = {
        .fd = uv_fileno((const uv_handle_t *)&connection->socket, &fd) == 0 ? fd : -1,
        .status = connection->reader.status,
        .request_written = connection->request_written,
        .write_error = connection->write_error,
    };
    switch (connection_end_judge(&end)) {
    case CONNECTION_END_COMPLETE: upstream_complete_by_close(connection); return true;
    case CONNECTION_END_BROKEN: upstream_connection_fail(connection); return true;
    case CONNECTION_END_PENDING: return false;
    }
    return false;
}

static bool upstream_may_end_by_close(const struct upstream_connection *connection)
{
    const struct upstream_exchange *exchange = connection->exchange;
    return connection->state == UPSTREAM_ACTIVE && exchange != NULL && exchange->final &&
           connection->reader.until_close && connection->reader.error == HTTP_PARSE_ERROR_NONE;
}

static void upstream_on_end(struct upstream_connection *connection, ssize_t reason)
{
    if (reason == UV_EOF && upstream_may_end_by_close(connection) && upstream_ended_cleanly(connection)) {
        connection->end_pending = true;
        uv_read_stop((uv_stream_t *)&connection->socket);
        upstream_check_end(connection);
        return;
    }
    upstream_report_closed(connection);
    upstream_connection_end(connection, reason == UV_ETIMEDOUT ? UPSTREAM_PEER_TIMEOUT : UPSTREAM_BROKEN);
}

void upstream_on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *out)
{
    (void)handle;
    (void)suggested;
    *out = uv_buf_init(upstream_read_buffer, sizeof(upstream_read_buffer));
}

void upstream_on_read(uv_stream_t *stream, ssize_t nread, const uv_buf_t *buffer)
{
    struct upstream_connection *connection = stream->data;
    if (nread == 0) {
        return;
    }
    if (nread < 0) {
        upstream_on_end(connection, nread);
        return;
    }
    upstream_record_activity(connection);
    if (connection->state == UPSTREAM_IDLE) {
        connection->pool->counters.stray_data_closes++;
        upstream_connection_fail(connection);
        return;
    }
    connection->useless_bytes += (size_t)nread;
    upstream_feed(connection, (const uint8_t *)buffer->base, (size_t)nread);
}

void upstream_response_init(struct upstream_connection *connection)
{
    connection->reader.type = HTTP_RESPONSE;
    connection->reader.max_head_bytes = UPSTREAM_MAX_HEAD_BYTES;
    connection->reader.max_body_bytes = UPSTREAM_MAX_BODY_BYTES;
    connection->reader.events = (struct http_reader_events){
        .context = connection,
        .head = upstream_on_head,
        .body = upstream_on_body,
        .complete = upstream_on_complete,
    };
}
