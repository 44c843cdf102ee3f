/* Accepts connections, reads requests, enforces timeouts, closes connections. */
#include "net/http_connection.h"

#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"

enum {
    HTTP_LISTENER_BACKLOG = 512,
    HTTP_LISTENER_SWEEP_MS = 250,
    HTTP_LISTENER_READ_BYTES = 1 << 16,      /* of a body whose length is known */
    HTTP_LISTENER_HEAD_READ_BYTES = 1 << 14, /* otherwise, since bytes of later requests stay buffered */
    HTTP_LISTENER_REQUEST_TIMEOUT = 408,
    HTTP_LISTENER_UNAVAILABLE = 503,
    HTTP_LISTENER_LINGER_MS = 1000,       /* time for the client to close after the last response */
    HTTP_LISTENER_STOP_IDLE_MS = 1000,    /* a stopping listener closes connections that are idle for so long */
    HTTP_LISTENER_RECEIVE_SLACK_MS = 100, /* bytes that cannot have been queued longer count as received now */
    HTTP_LISTENER_SEND_TIMEOUT_MS = 15000,
    HTTP_LISTENER_PAUSE_READ_BYTES = 1 << 14, /* reading pauses at this while a request is being answered */
    HTTP_LISTENER_DISCARD_BYTES = 1 << 20     /* of a rejected request; the rest is read once in each sweep */
};

static const char HTTP_LISTENER_NOT_RUN[] = "X-Run-State: not-run\r\n";

static char http_read_buffer[HTTP_LISTENER_READ_BYTES];

/* ---- Closing ------------------------------------------------------------------------ */

static void http_on_closed(uv_handle_t *handle)
{
    struct http_connection *connection = handle->data;
    http_reader_close(&connection->reader);
    buffer_close(&connection->call.body);
    buffer_close(&connection->input);
    free(connection);
}

void http_connection_release_memory(struct http_connection *connection)
{
    connection->listener->reserved_bytes -= connection->reserved_bytes;
    connection->reserved_bytes = 0;
}

/* A timeout must not expire only because this process is late in reading the client's bytes. */
static bool http_connection_has_unread_bytes(const struct http_connection *connection)
{
    uv_os_fd_t fd;
    char byte;
    return uv_fileno((const uv_handle_t *)&connection->socket, &fd) == 0 &&
           recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void http_connection_close(struct http_connection *connection)
{
    if (connection->state == HTTP_CLOSED) {
        return;
    }
    struct http_listener *listener = connection->listener;
    bool late = connection->late_bytes > 0 || (connection->closed_idle && http_connection_has_unread_bytes(connection));
    if (late) {
        http_connection_record_end(connection, HTTP_END_LATE_REQUEST);
    }
    http_connection_leave_pool(connection);
    connection->state = HTTP_CLOSED;
    http_connection_release_memory(connection);
    http_connection_release_accounted(connection);
    if (connection->previous != NULL) {
        connection->previous->next = connection->next;
    } else {
        listener->connections = connection->next;
    }
    if (connection->next != NULL) {
        connection->next->previous = connection->previous;
    }
    uv_close((uv_handle_t *)&connection->socket, http_on_closed);
}

void http_connection_on_disconnect(struct http_connection *connection)
{
    struct http_listener *listener = connection->listener;
    if (connection->state == HTTP_RESPONDING) {
        listener->counters.disconnects++;
        http_connection_enter_lingering(connection);
        listener->handler.disconnected(listener->handler.context, &connection->call);
    }
    http_connection_close(connection);
}

/* ---- Limits --------------------------------------------------------------------------------- */

static size_t http_max_size(size_t a, size_t b)
{
    return a > b ? a : b;
}

static uint64_t http_max_ms(uint64_t a, uint64_t b)
{
    return a > b ? a : b;
}

void http_connection_restart_timeout(struct http_connection *connection)
{
    connection->state_since_ms = uv_now(connection->listener->loop);
    connection->stalled_before_ms = connection->listener->stalled_ms;
}

void http_connection_adopt_limits(struct http_connection *connection)
{
    connection->limits = connection->listener->limits;
}

/* Lower limits apply from the next idle period or request on: the client could not know them when this one began. */
static void http_connection_raise_limits(struct http_connection *connection)
{
    const struct http_limits *raised = &connection->listener->limits;
    struct http_limits *limits = &connection->limits;
    limits->max_head_bytes = http_max_size(limits->max_head_bytes, raised->max_head_bytes);
    limits->max_body_bytes = http_max_size(limits->max_body_bytes, raised->max_body_bytes);
    limits->header_timeout_ms = http_max_ms(limits->header_timeout_ms, raised->header_timeout_ms);
    limits->idle_timeout_ms = http_max_ms(limits->idle_timeout_ms, raised->idle_timeout_ms);
}

/* ---- Reading --------------------------------------------------------------------------------- */

/* Answers a request that was not received whole, or cannot be; no request follows on the connection. */
static void http_connection_refuse(struct http_connection *connection, int status, const char *headers,
                                   const char *body)
{
    connection->close_after = true;
    connection->last_request = true;
    connection->state = HTTP_RESPONDING;
    http_connection_release_memory(connection);
    http_call_send_response(&connection->call, status, headers, "application/json", view_of_string(body));
}

void http_connection_refuse_full(struct http_connection *connection)
{
    http_connection_refuse(connection, HTTP_LISTENER_UNAVAILABLE, "X-Run-State: not-run\r\nRetry-After: 1\r\n",
                           "{\"error\":{\"code\":\"too many clients\",\"run_state\":\"not-run\"}}");
}

static void http_connection_reject(struct http_connection *connection)
{
    static const int statuses[] = {
        [HTTP_PARSE_ERROR_NONE] = 400,           [HTTP_PARSE_ERROR_MALFORMED] = 400,
        [HTTP_PARSE_ERROR_HEAD_TOO_LARGE] = 431, [HTTP_PARSE_ERROR_BODY_TOO_LARGE] = 413,
        [HTTP_PARSE_ERROR_TRUNCATED] = 400,
    };
    if (connection->over_memory_limit) {
        connection->listener->counters.over_memory_limit++;
        http_connection_refuse(connection, HTTP_LISTENER_UNAVAILABLE, "X-Run-State: not-run\r\nRetry-After: 1\r\n",
                               "{\"error\":{\"code\":\"memory full\",\"run_state\":\"not-run\"}}");
        return;
    }
    connection->listener->counters.malformed++;
    http_connection_refuse(connection, statuses[connection->reader.error], HTTP_LISTENER_NOT_RUN,
                           "{\"error\":{\"code\":\"bad_request\",\"run_state\":\"not-run\"}}");
}

static void http_connection_reject_late(struct http_connection *connection)
{
    http_connection_refuse(connection, HTTP_LISTENER_REQUEST_TIMEOUT, HTTP_LISTENER_NOT_RUN,
                           "{\"error\":{\"code\":\"request not received in time\",\"run_state\":\"not-run\"}}");
}

static bool http_body_length_is_known(const struct http_reader *reader)
{
    return (reader->parser.flags & F_CHUNKED) == 0;
}

static bool http_is_announced_too_large(const struct http_connection *connection, const struct http_reader *reader)
{
    uint64_t length = reader->parser.content_length; /* UINT64_MAX: there is no body */
    return http_body_length_is_known(reader) && length != UINT64_MAX && length > connection->limits.max_body_bytes;
}

/* Reserves memory for a body before it is read; returns false if max_receiving_bytes does not allow it. */
static bool http_connection_reserve_memory(struct http_connection *connection, const struct http_reader *reader)
{
    struct http_listener *listener = connection->listener;
    bool length_known = http_body_length_is_known(reader);
    uint64_t length = length_known ? reader->parser.content_length : connection->limits.max_body_bytes;
    bool no_body = length_known && (length == 0 || length == UINT64_MAX);
    if (no_body) {
        return true;
    }
    connection->reserved_bytes = (size_t)length;
    listener->reserved_bytes += connection->reserved_bytes;
    connection->over_memory_limit = !http_connection_make_room_for_body(connection);
    if (length_known && !connection->over_memory_limit) {
        buffer_set_capacity(&connection->call.body, connection->reserved_bytes);
    }
    return !connection->over_memory_limit;
}

static bool http_on_request_head(void *context, struct http_reader *reader)
{
    struct http_connection *connection = context;
    if (http_is_announced_too_large(connection, reader)) {
        reader->error = HTTP_PARSE_ERROR_BODY_TOO_LARGE;
        return false;
    }
    if (!http_connection_reserve_memory(connection, reader)) {
        return false;
    }
    bool expects_continue = http_name_equal(http_reader_header(reader, "Expect"), "100-continue");
    if (expects_continue && reader->parser.http_minor >= 1) {
        http_connection_write(connection, view_of_string("HTTP/1.1 100 Continue\r\n\r\n"));
    }
    return !http_name_equal(reader->method, "CONNECT");
}

static bool http_on_request_body(void *context, struct http_reader *reader, struct view part)
{
    struct http_connection *connection = context;
    (void)reader;
    buffer_append_within(&connection->call.body, part.data, part.length, connection->reserved_bytes);
    return true;
}

static bool http_on_request_complete(void *context, struct http_reader *reader)
{
    struct http_connection *connection = context;
    connection->close_after = !reader->keep_alive;
    connection->last_request = !reader->keep_alive;
    return true;
}

static void http_connection_dispatch(struct http_connection *connection)
{
    struct http_listener *listener = connection->listener;
    connection->state = HTTP_RESPONDING;
    connection->receiving = false;
    connection->used = true;
    connection->timeout_deferred = false;
    if (listener->handler.accounts_requests) {
        http_connection_release_memory(connection);
    }
    connection->call.received_ms = connection->received_ms;
    listener->counters.requests++;
    listener->handler.request(listener->handler.context, &connection->call);
}

static void http_connection_pause_reading(struct http_connection *connection)
{
    uv_read_stop((uv_stream_t *)&connection->socket);
    connection->unread_since_ms = uv_now(connection->listener->loop);
}

/* After its buffers have changed. A request that is being answered is not refused; its connection is not read until it
 * has its response. */
static void http_connection_keep_to_shares(struct http_connection *connection)
{
    if (http_connection_make_room(connection)) {
        return;
    }
    if (connection->state == HTTP_READING && connection->receiving) {
        http_connection_refuse_full(connection);
    } else if (connection->state == HTTP_RESPONDING) {
        http_connection_pause_reading(connection);
    }
}

void http_connection_advance(struct http_connection *connection)
{
    connection->processing = true;
    while (connection->state == HTTP_READING && connection->input.length > 0 &&
           http_call_unsent_bytes(&connection->call) == 0) {
        http_connection_raise_limits(connection);
        connection->reader.max_head_bytes = connection->limits.max_head_bytes;
        connection->reader.max_body_bytes = connection->limits.max_body_bytes;
        size_t used = http_reader_feed(&connection->reader, connection->input.data, connection->input.length);
        buffer_consume(&connection->input, used);
        if (connection->reader.error != HTTP_PARSE_ERROR_NONE) {
            http_connection_reject(connection);
        } else if (connection->reader.complete) {
            http_connection_dispatch(connection);
        }
    }
    if (connection->input.length == 0) {
        buffer_close(&connection->input);
    }
    /* Empty lines may precede a request (RFC 9112, 2.2), and are no part of one. */
    if (connection->state == HTTP_READING && connection->reader.head.length == 0) {
        connection->receiving = false;
    }
    connection->processing = false;
    if (connection->state == HTTP_READING || connection->state == HTTP_RESPONDING) {
        http_connection_keep_to_shares(connection);
    }
}

void http_connection_resume(struct http_connection *connection)
{
    http_connection_restart_timeout(connection);
    uv_read_start((uv_stream_t *)&connection->socket, connection->socket.alloc_cb, connection->socket.read_cb);
    http_connection_advance(connection);
}

/* ---- Receive time ------------------------------------------------------------------------------ */

/* Time for which the latest bytes just read were queued in the kernel; 0 if unknown. */
static uint64_t http_connection_kernel_queued_ms(const struct http_connection *connection)
{
    uv_os_fd_t fd;
    struct tcp_info info = {0};
    socklen_t size = sizeof(info);
    bool valid = uv_fileno((const uv_handle_t *)&connection->socket, &fd) == 0 &&
                 getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 && info.tcpi_state != TCP_CLOSE;
    return valid ? info.tcpi_last_data_recv : 0;
}

/* Loop time at which the bytes just read arrived. getsockopt() takes ten times as long as reading the clock, so the
 * kernel is asked only if they can have been queued for long. uv_now() is the start of the iteration, so the clock is
 * read instead. */
static uint64_t http_connection_receive_time_ms(const struct http_connection *connection)
{
    const struct http_listener *listener = connection->listener;
    uint64_t now_ms = uv_now(listener->loop);
    uint64_t clock_ms = clock_monotonic_ms();
    uint64_t earliest_ms =
        connection->unread_since_ms != 0 ? connection->unread_since_ms : listener->previous_iteration_ms;
    if (clock_ms <= earliest_ms + HTTP_LISTENER_RECEIVE_SLACK_MS) {
        return now_ms;
    }
    uint64_t queued_ms = http_connection_kernel_queued_ms(connection);
    uint64_t max_queued_ms = clock_ms - earliest_ms;
    uint64_t received_ms = clock_ms - (queued_ms < max_queued_ms ? queued_ms : max_queued_ms);
    return received_ms < now_ms ? received_ms : now_ms;
}

static uint64_t http_listener_stall_ms(const struct http_listener *listener, uint64_t now_ms)
{
    uint64_t unread_ms = listener->polled_ms == 0 ? 0 : now_ms - listener->polled_ms;
    return unread_ms > HTTP_LISTENER_RECEIVE_SLACK_MS ? unread_ms : 0;
}

static void http_on_check(uv_check_t *check)
{
    struct http_listener *listener = check->data;
    listener->polled_ms = uv_now(listener->loop);
}

static void http_on_prepare(uv_prepare_t *prepare)
{
    struct http_listener *listener = prepare->data;
    listener->stalled_ms += http_listener_stall_ms(listener, clock_monotonic_ms());
    listener->polled_ms = 0;
    listener->previous_iteration_ms = listener->iteration_ms;
    listener->iteration_ms = uv_now(listener->loop);
}

/* ---- Events ------------------------------------------------------------------------------------- */

/* Bytes to read at most, so that few bytes of later requests are buffered. */
static size_t http_connection_read_bytes(const struct http_connection *connection)
{
    const struct http_reader *reader = &connection->reader;
    switch (connection->state) {
    case HTTP_RESPONDING:
        return connection->input.length < HTTP_LISTENER_PAUSE_READ_BYTES
                   ? HTTP_LISTENER_PAUSE_READ_BYTES - connection->input.length
                   : 1;
    case HTTP_READING:
        if (!reader->head_done || !http_body_length_is_known(reader)) {
            return HTTP_LISTENER_HEAD_READ_BYTES;
        }
        return reader->parser.content_length < HTTP_LISTENER_READ_BYTES ? (size_t)reader->parser.content_length + 1
                                                                        : HTTP_LISTENER_READ_BYTES;
    case HTTP_LINGERING:
    case HTTP_CLOSED: break;
    }
    return HTTP_LISTENER_READ_BYTES;
}

static void http_on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *out)
{
    (void)suggested;
    *out = uv_buf_init(http_read_buffer, (unsigned)http_connection_read_bytes(handle->data));
}

/* The rest of a rejected request is discarded for as long as receiving it might have taken: a reset would discard the
 * response that the client has not read yet. Of a long one, little is read at a time, so that it takes no processor
 * time from others (RFC 9112, 9.6). */
static void http_connection_discard(struct http_connection *connection, size_t bytes)
{
    uint64_t lingered_ms = uv_now(connection->listener->loop) - connection->lingering_ms;
    if (!connection->last_request) {
        connection->late_bytes += bytes;
    } else if (lingered_ms < connection->limits.header_timeout_ms) {
        http_connection_restart_timeout(connection);
    }
    connection->discarded_bytes += bytes;
    if (connection->discarded_bytes > HTTP_LISTENER_DISCARD_BYTES) {
        connection->discard_paused = true;
        uv_read_stop((uv_stream_t *)&connection->socket);
    }
}

static void http_on_read(uv_stream_t *stream, ssize_t nread, const uv_buf_t *buffer)
{
    struct http_connection *connection = stream->data;
    if (nread < 0) {
        http_connection_on_disconnect(connection);
        return;
    }
    if (connection->state == HTTP_LINGERING) {
        http_connection_discard(connection, (size_t)nread);
        return;
    }
    if (nread == 0) {
        return;
    }
    connection->last_received_ms = http_connection_receive_time_ms(connection);
    if (!connection->receiving && connection->input.length == 0) {
        connection->received_ms = connection->last_received_ms;
    }
    connection->unread_since_ms = 0;
    if (connection->state == HTTP_READING && !connection->receiving) {
        connection->receiving = true;
        http_connection_adopt_limits(connection);
        http_connection_restart_timeout(connection);
    }
    buffer_append(&connection->input, buffer->base, (size_t)nread);
    if (connection->state == HTTP_READING) {
        http_connection_advance(connection);
        if (connection->state == HTTP_READING && http_call_unsent_bytes(&connection->call) > 0) {
            http_connection_pause_reading(connection); /* until the client has taken a "100 Continue" */
        }
        return;
    }
    if (connection->input.length >= HTTP_LISTENER_PAUSE_READ_BYTES) {
        http_connection_pause_reading(connection);
    }
    http_connection_keep_to_shares(connection);
}

/* Not reading yet; its socket is not open. */
static struct http_connection *http_connection_new(struct http_listener *listener)
{
    struct http_connection *connection = memory_new(sizeof(*connection));
    connection->listener = listener;
    connection->call.connection = connection;
    connection->call.request = &connection->reader;
    connection->reader.type = HTTP_REQUEST;
    connection->reader.events = (struct http_reader_events){
        .context = connection,
        .head = http_on_request_head,
        .body = http_on_request_body,
        .complete = http_on_request_complete,
    };
    http_reader_reset(&connection->reader);
    http_connection_adopt_limits(connection);
    http_connection_restart_timeout(connection);
    connection->unread_since_ms = listener->previous_iteration_ms;
    uv_tcp_init(listener->loop, &connection->socket);
    connection->socket.data = connection;
    connection->next = listener->connections;
    if (connection->next != NULL) {
        connection->next->previous = connection;
    }
    listener->connections = connection;
    listener->counters.accepted++;
    listener->shares.connections++;
    connection->idle_since_ms = uv_now(listener->loop);
    return connection;
}

/* `result` is that of opening its socket. */
static void http_connection_start(struct http_connection *connection, int result)
{
    if (result != 0) {
        http_listener_record_not_accepted(connection->listener, result);
        http_connection_close(connection);
        return;
    }
    uv_tcp_nodelay(&connection->socket, 1);
    uv_read_start((uv_stream_t *)&connection->socket, http_on_alloc, http_on_read);
    if (!http_connection_make_room(connection)) {
        http_connection_refuse_full(connection);
    }
}

static void http_on_accept(uv_stream_t *stream, int status)
{
    struct http_listener *listener = stream->data;
    if (status < 0) {
        http_listener_record_not_accepted(listener, status);
        return;
    }
    struct http_connection *connection = http_connection_new(listener);
    http_connection_start(connection, uv_accept(stream, (uv_stream_t *)&connection->socket));
}

/* Closing the socket resets the connections of its backlog, with the requests that they carry. */
static void http_listener_accept_backlog(struct http_listener *listener)
{
    uv_os_fd_t socket_fd;
    int fd = -1;
    if (uv_fileno((const uv_handle_t *)&listener->socket, &socket_fd) != 0) {
        return;
    }
    while ((fd = accept4(socket_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
        struct http_connection *connection = http_connection_new(listener);
        int result = uv_tcp_open(&connection->socket, fd);
        if (result != 0) {
            close(fd);
        }
        http_connection_start(connection, result);
    }
}

/* Whether it has a request without its complete response, a part of one, or a response that the kernel has not taken.
 */
static bool http_connection_has_request(const struct http_connection *connection)
{
    bool reading =
        connection->state == HTTP_READING && (connection->receiving || http_connection_has_unread_bytes(connection));
    return reading || connection->state == HTTP_RESPONDING || http_call_unsent_bytes(&connection->call) > 0;
}

/* ---- Timeouts ------------------------------------------------------------------------------------ */

static uint64_t http_connection_timeout_ms(const struct http_connection *connection)
{
    if (connection->unsent > 0) {
        uint64_t send_timeout_ms = connection->listener->send_timeout_ms;
        return send_timeout_ms == 0 ? HTTP_LISTENER_SEND_TIMEOUT_MS : send_timeout_ms;
    }
    switch (connection->state) {
    case HTTP_READING:
        return connection->receiving ? connection->limits.header_timeout_ms : connection->limits.idle_timeout_ms;
    case HTTP_LINGERING: return HTTP_LISTENER_LINGER_MS;
    default: return 0;
    }
}

/* Restarts the timeout whenever the client accepts bytes: sending a response counts neither as idle nor as linger. */
static void http_connection_update_unsent(struct http_connection *connection)
{
    size_t unsent = http_call_unsent_bytes(&connection->call);
    if (unsent != connection->unsent) {
        connection->unsent = unsent;
        http_connection_restart_timeout(connection);
    }
}

/* Whether the timeout has expired. If there are unread bytes, which this iteration reads, the decision is left to the
 * next check, once per request. */
static bool http_connection_timed_out(struct http_connection *connection, uint64_t now_ms)
{
    const struct http_listener *listener = connection->listener;
    uint64_t timeout_ms = http_connection_timeout_ms(connection);
    uint64_t stalled_ms =
        listener->stalled_ms + http_listener_stall_ms(listener, now_ms) - connection->stalled_before_ms;
    if (timeout_ms == 0 || now_ms < connection->state_since_ms + stalled_ms + timeout_ms) {
        return false;
    }
    bool reading = connection->state == HTTP_READING && connection->unsent == 0;
    bool deferred = reading && !connection->timeout_deferred && http_connection_has_unread_bytes(connection);
    connection->timeout_deferred = deferred;
    return !deferred;
}

/* A request that crosses the close stays unread, so that the reset tells its client that it was not read. */
static void http_connection_close_idle(struct http_connection *connection)
{
    connection->closed_idle = true;
    uv_read_stop((uv_stream_t *)&connection->socket);
    http_connection_linger(connection);
}

static void http_connection_end_by_timeout(struct http_connection *connection)
{
    connection->listener->counters.timeouts++;
    if (connection->unsent > 0) {
        http_connection_record_end(connection, HTTP_END_SEND_TIMEOUT);
        http_connection_on_disconnect(connection); /* the handler may still be writing */
    } else if (connection->state == HTTP_READING && connection->receiving) {
        http_connection_record_end(connection, HTTP_END_RECEIVE_TIMEOUT);
        http_connection_reject_late(connection);
    } else if (connection->state == HTTP_READING) {
        http_connection_close_idle(connection);
    } else {
        http_connection_close(connection);
    }
}

static void http_on_sweep(uv_timer_t *timer)
{
    struct http_listener *listener = timer->data;
    uint64_t now_ms = uv_now(listener->loop);
    struct http_connection *next = NULL;
    for (struct http_connection *connection = listener->connections; connection != NULL; connection = next) {
        next = connection->next;
        if (connection->state == HTTP_CLOSED) {
            continue; /* to make room for one that began to linger */
        }
        http_connection_raise_limits(connection);
        http_connection_update_unsent(connection);
        http_connection_account(connection);
        if (connection->discard_paused && connection->state == HTTP_LINGERING && !connection->closed_idle) {
            uv_read_start((uv_stream_t *)&connection->socket, http_on_alloc, http_on_read);
        }
        if (http_connection_timed_out(connection, now_ms)) {
            http_connection_end_by_timeout(connection);
        }
    }
}

int http_listener_start(struct http_listener *listener, uv_loop_t *loop, const struct address *address,
                        const struct http_handler *handler, const struct http_limits *limits)
{
    memset(listener, 0, sizeof(*listener));
    listener->loop = loop;
    listener->handler = *handler;
    listener->limits = *limits;
    listener->socket.data = listener;
    uv_tcp_init(loop, &listener->socket);
    uv_timer_init(loop, &listener->sweep);
    uv_prepare_init(loop, &listener->prepare);
    uv_check_init(loop, &listener->check);
    listener->check.data = listener;
    listener->socket.data = listener;
    listener->sweep.data = listener;
    listener->prepare.data = listener;
    listener->iteration_ms = uv_now(loop);
    listener->previous_iteration_ms = listener->iteration_ms;
    int result = uv_tcp_bind(&listener->socket, (const struct sockaddr *)&address->socket, 0);
    if (result == 0) {
        result = uv_listen((uv_stream_t *)&listener->socket, HTTP_LISTENER_BACKLOG, http_on_accept);
    }
    listener->listening = result == 0;
    uv_timer_start(&listener->sweep, http_on_sweep, HTTP_LISTENER_SWEEP_MS, HTTP_LISTENER_SWEEP_MS);
    uv_prepare_start(&listener->prepare, http_on_prepare);
    uv_check_start(&listener->check, http_on_check);
    return result;
}

void http_listener_drain(struct http_listener *listener)
{
    listener->draining = true;
}

void http_listener_set_close_after(struct http_listener *listener, bool close_after)
{
    listener->close_after = close_after;
}

void http_listener_stop_accepting(struct http_listener *listener)
{
    if (listener->listening) {
        http_listener_accept_backlog(listener);
        listener->listening = false;
        uv_close((uv_handle_t *)&listener->socket, NULL);
    }
    uint64_t now_ms = uv_now(listener->loop);
    struct http_connection *next = NULL;
    for (struct http_connection *connection = listener->connections; connection != NULL; connection = next) {
        next = connection->next;
        bool idle = connection->state == HTTP_READING && !connection->receiving;
        bool rested = now_ms >= connection->state_since_ms + HTTP_LISTENER_STOP_IDLE_MS;
        if (idle && rested && !http_connection_has_unread_bytes(connection)) {
            http_connection_close_idle(connection);
        }
    }
}

void http_listener_refuse_receiving(struct http_listener *listener)
{
    struct http_connection *next = NULL;
    for (struct http_connection *connection = listener->connections; connection != NULL; connection = next) {
        next = connection->next;
        if (connection->state == HTTP_READING && connection->receiving) {
            http_connection_refuse(connection, HTTP_LISTENER_UNAVAILABLE,
                                   "X-Run-State: not-run\r\nRetry-After: 0.1\r\n",
                                   "{\"error\":{\"code\":\"stopping\",\"run_state\":\"not-run\"}}");
        }
    }
}

void http_listener_close(struct http_listener *listener)
{
    if (listener->loop == NULL) {
        return;
    }
    if (listener->listening) {
        listener->listening = false;
        uv_close((uv_handle_t *)&listener->socket, NULL);
    }
    while (listener->connections != NULL) {
        struct http_connection *connection = listener->connections;
        if (http_connection_has_request(connection)) {
            http_connection_record_end(connection, HTTP_END_STOPPED);
        }
        http_connection_on_disconnect(connection);
    }
    uv_close((uv_handle_t *)&listener->sweep, NULL);
    uv_close((uv_handle_t *)&listener->prepare, NULL);
    uv_close((uv_handle_t *)&listener->check, NULL);
}

uint32_t http_listener_active_count(const struct http_listener *listener)
{
    uint32_t active = 0;
    for (const struct http_connection *connection = listener->connections; connection != NULL;
         connection = connection->next) {
        bool kept = !listener->listening && connection->state == HTTP_READING;
        active += kept || http_connection_has_request(connection) ? 1 : 0;
    }
    return active;
}

size_t http_listener_unsent_bytes(const struct http_listener *listener)
{
    size_t unsent = 0;
    for (const struct http_connection *connection = listener->connections; connection != NULL;
         connection = connection->next) {
        unsent += http_call_unsent_bytes(&connection->call);
    }
    return unsent;
}
