/* Writes responses; then prepares the connection for the next request, or closes it. */
#include "net/http_connection.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

enum {
    HTTP_RESPONSE_IDLE_PERCENT = 80, /* of the idle limit is told to clients: their requests take time to arrive */
    HTTP_RESPONSE_PERCENT = 100,
    HTTP_RESPONSE_UNAVAILABLE = 503,
    HTTP_RESPONSE_MS_PER_S = 1000
};

struct http_write {
    uv_write_t request;
    uint8_t *data; /* owned copy */
};

/* ---- Writing --------------------------------------------------------------------------- */

static void http_on_written(uv_write_t *request, int status)
{
    struct http_write *write = (struct http_write *)request;
    struct http_connection *connection = request->handle->data;
    free(write->data);
    free(write);
    if (status < 0 && status != UV_ECANCELED) {
        http_connection_on_disconnect(connection);
        return;
    }
    if (connection->state == HTTP_CLOSED) {
        return;
    }
    const struct http_handler *handler = &connection->listener->handler;
    bool all_sent = status == 0 && http_call_unsent_bytes(&connection->call) == 0;
    if (all_sent && connection->state == HTTP_READING) {
        http_connection_resume(connection);
        return;
    }
    bool drained = all_sent && connection->state == HTTP_RESPONDING;
    if (drained && handler->drained != NULL) {
        handler->drained(handler->context, &connection->call);
    }
}

void http_connection_write(struct http_connection *connection, struct view data)
{
    uv_buf_t part = uv_buf_init((char *)(uintptr_t)data.data, (unsigned)data.length);
    int written = uv_stream_get_write_queue_size((uv_stream_t *)&connection->socket) > 0
                      ? 0
                      : uv_try_write((uv_stream_t *)&connection->socket, &part, 1);
    if (written < 0) {
        written = 0;
    }
    size_t remaining = data.length - (size_t)written;
    if (remaining == 0) {
        return;
    }
    struct http_write *write = memory_new(sizeof(*write));
    write->data = (uint8_t *)memory_copy(data.data + written, remaining);
    part = uv_buf_init((char *)write->data, (unsigned)remaining);
    if (uv_write(&write->request, (uv_stream_t *)&connection->socket, &part, 1, http_on_written) != 0) {
        free(write->data);
        free(write);
    }
}

static void http_on_shutdown(uv_shutdown_t *request, int status)
{
    (void)status;
    free(request);
}

/* No request follows, and the last one has its response. */
static void http_connection_release_buffers(struct http_connection *connection)
{
    http_connection_release_memory(connection);
    buffer_close(&connection->call.body);
    buffer_close(&connection->input);
    http_reader_close(&connection->reader);
    http_connection_account(connection);
}

void http_connection_linger(struct http_connection *connection)
{
    http_connection_enter_lingering(connection);
    connection->late_bytes = connection->last_request ? 0 : connection->input.length;
    http_connection_restart_timeout(connection);
    connection->lingering_ms = connection->state_since_ms;
    http_connection_release_buffers(connection);
    uv_shutdown_t *request = memory_new(sizeof(*request));
    if (uv_shutdown(request, (uv_stream_t *)&connection->socket, http_on_shutdown) != 0) {
        free(request);
        http_connection_close(connection);
    }
}

void http_connection_finish(struct http_connection *connection)
{
    if (connection->close_after) {
        http_connection_linger(connection);
        return;
    }
    connection->state = HTTP_READING;
    http_connection_restart_timeout(connection);
    connection->receiving = connection->input.length > 0;
    connection->received_ms = connection->last_received_ms; /* pipelined bytes arrived no later than the latest bytes */
    buffer_close(&connection->call.body);
    memset(&connection->call, 0, sizeof(connection->call));
    connection->call.connection = connection;
    connection->call.request = &connection->reader;
    http_reader_reset(&connection->reader);
    http_connection_release_memory(connection);
    connection->idle_since_ms = connection->state_since_ms;
    /* The next request waits until its client has taken this response, so that unread ones do not accumulate. */
    if (http_call_unsent_bytes(&connection->call) > 0) {
        uv_read_stop((uv_stream_t *)&connection->socket);
        http_connection_account(connection);
        return;
    }
    uv_read_start((uv_stream_t *)&connection->socket, connection->socket.alloc_cb, connection->socket.read_cb);
    if (!connection->processing) {
        http_connection_advance(connection);
    }
}

/* ---- Responses ---------------------------------------------------------------------------- */

static const char *http_status_text(int status)
{
    switch (status) {
#define HTTP_STATUS_CASE(number, name, text)                                                                           \
    case number: return #text;
        HTTP_STATUS_MAP(HTTP_STATUS_CASE)
#undef HTTP_STATUS_CASE
    default: return "Unknown";
    }
}

static bool http_call_is_head(const struct http_call *call)
{
    return http_name_equal(call->request->method, "HEAD");
}

static void http_write_status(const struct http_call *call, int status, struct view headers, struct buffer *out)
{
    struct http_connection *connection = call->connection;
    const struct http_listener *listener = connection->listener;
    bool closing = listener->draining || listener->close_after;
    bool requested = connection->input.length > 0; /* pipelined: the client could not know of the close */
    connection->close_after = connection->close_after || (closing && !requested);
    buffer_printf(out, "HTTP/1.1 %d %s\r\n", status, http_status_text(status));
    buffer_append(out, headers.data, headers.length);
    if (connection->close_after) {
        buffer_append_text(out, "Connection: close\r\n");
        return;
    }
    http_connection_adopt_limits(connection); /* the idle period after this response has the limit that is told here */
    uint64_t idle_s = connection->limits.idle_timeout_ms * HTTP_RESPONSE_IDLE_PERCENT / HTTP_RESPONSE_PERCENT /
                      HTTP_RESPONSE_MS_PER_S;
    if (idle_s > 0) {
        buffer_printf(out, "Connection: keep-alive\r\nKeep-Alive: timeout=%llu\r\n", (unsigned long long)idle_s);
    }
}

void http_call_send_response(struct http_call *call, int status, const char *headers, const char *content_type,
                             struct view body)
{
    struct http_connection *connection = call->connection;
    struct buffer out = {0};
    if (!http_connection_make_room_for_response(connection, body.length)) {
        status = HTTP_RESPONSE_UNAVAILABLE;
        headers = "Retry-After: 1\r\n";
        content_type = "application/json";
        body = view_of_string("{\"error\":{\"code\":\"too many clients\"}}");
    }
    http_write_status(call, status, view_of_string(headers), &out);
    if (content_type != NULL) {
        buffer_printf(&out, "Content-Type: %s\r\n", content_type);
    }
    bool bodyless = status == 204 || status == 304;
    if (!bodyless) {
        buffer_printf(&out, "Content-Length: %zu\r\n", body.length);
    }
    buffer_append_text(&out, "\r\n");
    if (!bodyless && !http_call_is_head(call)) {
        buffer_append(&out, body.data, body.length);
    }
    call->head_sent = true;
    http_connection_write(connection, buffer_view(&out));
    buffer_close(&out);
    http_connection_finish(connection);
}

void http_call_start_response(struct http_call *call, int status, struct view headers)
{
    struct buffer out = {0};
    /* HTTP/1.0 has no chunked encoding: the response ends with the connection. */
    call->chunked = call->request->parser.http_minor >= 1;
    call->connection->close_after = call->connection->close_after || !call->chunked;
    http_write_status(call, status, headers, &out);
    buffer_append_text(&out, call->chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n");
    call->head_sent = true;
    http_connection_write(call->connection, buffer_view(&out));
    buffer_close(&out);
}

void http_call_send_data(struct http_call *call, struct view data)
{
    if (data.length == 0) {
        return;
    }
    struct buffer out = {0};
    if (call->chunked) {
        buffer_printf(&out, "%zx\r\n", data.length);
    }
    buffer_append(&out, data.data, data.length);
    if (call->chunked) {
        buffer_append_text(&out, "\r\n");
    }
    http_connection_write(call->connection, buffer_view(&out));
    buffer_close(&out);
}

void http_call_end_response(struct http_call *call)
{
    if (call->chunked) {
        http_connection_write(call->connection, view_of_string("0\r\n\r\n"));
    }
    http_connection_finish(call->connection);
}

void http_call_abort_response(struct http_call *call)
{
    struct http_connection *connection = call->connection;
    http_connection_record_end(connection, HTTP_END_ABORTED);
    /* If the response ends with its connection, only a reset shows that it is incomplete. */
    if (call->head_sent && !call->chunked) {
        uv_os_fd_t fd;
        struct linger reset = {.l_onoff = 1, .l_linger = 0};
        if (uv_fileno((uv_handle_t *)&connection->socket, &fd) == 0) {
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        }
        http_connection_close(connection);
        return;
    }
    http_connection_linger(connection);
}

void http_call_close_after(struct http_call *call)
{
    call->connection->close_after = true;
}

size_t http_call_unsent_bytes(const struct http_call *call)
{
    return uv_stream_get_write_queue_size((const uv_stream_t *)&call->connection->socket);
}
