/* Accepting, reading requests, time limits, closing. */
#include "net/http_connection.h"

#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base/clock.h"

enum {
    HTTP_LISTENER_BACKLOG = 512,
    HTTP_LISTENER_SWEEP_MS = 250,
    HTTP_LISTENER_READ_BYTES = 1 << 16,
    HTTP_LISTENER_NO_ROOM = 503,
    HTTP_LISTENER_LINGER_MS = 1000,     /* time for the client to close, once the last answer has left */
    HTTP_LISTENER_LATE_MS = 100,        /* what may have lain for less counts as come now */
    HTTP_LISTENER_TAKE_MS = 15000,      /* time in which a client takes nothing of an answer that is due to it */
    HTTP_LISTENER_AHEAD_BYTES = 1 << 16 /* bytes read behind a request that is being answered */
};

static char http_read_space[HTTP_LISTENER_READ_BYTES];

/* ---- Closing ------------------------------------------------------------------------ */

static void http_on_closed(uv_handle_t *handle)
{
    struct http_connection *connection = handle->data;
    http_reader_close(&connection->reader);
    buffer_close(&connection->call.body);
    buffer_close(&connection->ahead);
    free(connection);
}

/* Its body is read, or will not be. */
static void http_connection_arrived(struct http_connection *connection)
{
    connection->listener->arriving_bytes -= connection->arriving_bytes;
    connection->arriving_bytes = 0;
}

void http_connection_close(struct http_connection *connection)
{
    if (connection->state == HTTP_CLOSED) {
        return;
    }
    struct http_listener *listener = connection->listener;
    connection->state = HTTP_CLOSED;
    http_connection_arrived(connection);
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

void http_connection_lost(struct http_connection *connection)
{
    struct http_listener *listener = connection->listener;
    if (connection->state == HTTP_ANSWERING) {
        listener->counters.gone++;
        connection->state = HTTP_LINGERING;
        listener->handler.gone(listener->handler.context, &connection->call);
    }
    http_connection_close(connection);
}

/* ---- Reading --------------------------------------------------------------------------------- */

static void http_connection_refuse(struct http_connection *connection)
{
    static const int statuses[] = {
        [HTTP_FAULT_NONE] = 400,           [HTTP_FAULT_MALFORMED] = 400, [HTTP_FAULT_HEAD_TOO_LARGE] = 431,
        [HTTP_FAULT_BODY_TOO_LARGE] = 413, [HTTP_FAULT_CUT] = 400,
    };
    static const char no_room[] = "{\"error\":{\"code\":\"memory full\",\"run_state\":\"not-run\"}}";
    static const char body[] = "{\"error\":{\"code\":\"bad_request\",\"run_state\":\"not-run\"}}";
    connection->close_after = true;
    connection->state = HTTP_ANSWERING;
    http_connection_arrived(connection);
    if (connection->no_room) {
        connection->listener->counters.no_room++;
        http_call_reply(&connection->call, HTTP_LISTENER_NO_ROOM, "X-Run-State: not-run\r\nRetry-After: 1\r\n",
                        "application/json", view_of_string(no_room));
        return;
    }
    connection->listener->counters.malformed++;
    http_call_reply(&connection->call, statuses[connection->reader.fault], "X-Run-State: not-run\r\n",
                    "application/json", view_of_string(body));
}

/* Sets the memory of a body aside before it is read; false: there is none. */
static bool http_connection_expect(struct http_connection *connection, const struct http_reader *reader)
{
    struct http_listener *listener = connection->listener;
    bool told = (reader->parser.flags & F_CHUNKED) == 0;
    uint64_t length = told ? reader->parser.content_length : listener->limits.max_body_bytes;
    bool none = told && (length == 0 || length == UINT64_MAX);
    if (none || length > listener->limits.max_body_bytes) {
        return true; /* nothing comes, or it is refused for its length */
    }
    connection->arriving_bytes = (size_t)length;
    listener->arriving_bytes += connection->arriving_bytes;
    size_t most = listener->limits.max_arriving_bytes;
    bool alone = listener->arriving_bytes == connection->arriving_bytes; /* a body alone is taken at any length */
    connection->no_room = most > 0 && listener->arriving_bytes > most && !alone;
    if (told && !connection->no_room) {
        buffer_reserve(&connection->call.body, connection->arriving_bytes);
    }
    return !connection->no_room;
}

static bool http_on_request_head(void *context, struct http_reader *reader)
{
    struct http_connection *connection = context;
    if (!http_connection_expect(connection, reader)) {
        return false;
    }
    bool waits = http_name_equal(http_reader_header(reader, "Expect"), "100-continue");
    if (waits && reader->parser.http_minor >= 1) {
        http_connection_write(connection, view_of_string("HTTP/1.1 100 Continue\r\n\r\n"));
    }
    return !http_name_equal(reader->method, "CONNECT");
}

static bool http_on_request_body(void *context, struct http_reader *reader, struct view part)
{
    struct http_connection *connection = context;
    (void)reader;
    buffer_append(&connection->call.body, part.data, part.length);
    return true;
}

static bool http_on_request_complete(void *context, struct http_reader *reader)
{
    struct http_connection *connection = context;
    connection->close_after = !reader->keep_alive;
    return true;
}

static void http_connection_dispatch(struct http_connection *connection)
{
    struct http_listener *listener = connection->listener;
    connection->state = HTTP_ANSWERING;
    connection->arriving = false;
    connection->looked_again = false;
    http_connection_arrived(connection);
    connection->call.received_ms = connection->came_ms;
    listener->counters.requests++;
    listener->handler.request(listener->handler.context, &connection->call);
}

/* Handles the bytes at hand, request after request. */
void http_connection_advance(struct http_connection *connection)
{
    connection->handling = true;
    while (connection->state == HTTP_READING && connection->ahead.length > 0) {
        connection->reader.max_head_bytes = connection->listener->limits.max_head_bytes;
        connection->reader.max_body_bytes = connection->listener->limits.max_body_bytes;
        size_t used = http_reader_feed(&connection->reader, connection->ahead.data, connection->ahead.length);
        buffer_consume(&connection->ahead, used);
        if (connection->reader.fault != HTTP_FAULT_NONE) {
            http_connection_refuse(connection);
        } else if (connection->reader.complete) {
            http_connection_dispatch(connection);
        }
    }
    if (connection->ahead.length == 0) {
        buffer_close(&connection->ahead);
    }
    connection->handling = false;
}

/* ---- When a request came ----------------------------------------------------------------------- */

/* Time for which the newest of the bytes that were just read had lain in the kernel; 0 where it does not tell. */
static uint64_t http_connection_lain_ms(const struct http_connection *connection)
{
    uv_os_fd_t file;
    struct tcp_info info = {0};
    socklen_t size = sizeof(info);
    bool told = uv_fileno((const uv_handle_t *)&connection->socket, &file) == 0 &&
                getsockopt(file, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 && info.tcpi_state != TCP_CLOSE;
    return told ? info.tcpi_last_data_recv : 0;
}

/* Asking costs ten times as much as reading the clock (0.4 us): it is done only where the answer can be long. The real
 * time counts, since the loop's is that of the begin of its turn. */
static uint64_t http_connection_came_ms(const struct http_connection *connection)
{
    const struct http_listener *listener = connection->listener;
    uint64_t now_ms = uv_now(listener->loop);
    uint64_t real_ms = clock_monotonic_ms();
    uint64_t after_ms = connection->unread_since_ms != 0 ? connection->unread_since_ms : listener->before_ms;
    if (real_ms <= after_ms + HTTP_LISTENER_LATE_MS) {
        return now_ms;
    }
    uint64_t lain_ms = http_connection_lain_ms(connection);
    uint64_t most_ms = real_ms - after_ms;
    uint64_t came_ms = real_ms - (lain_ms < most_ms ? lain_ms : most_ms);
    return came_ms < now_ms ? came_ms : now_ms;
}

static void http_on_turn(uv_prepare_t *turn)
{
    struct http_listener *listener = turn->data;
    listener->before_ms = listener->turn_ms;
    listener->turn_ms = uv_now(listener->loop);
}

/* ---- Arriving ----------------------------------------------------------------------------------- */

static void http_on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *out)
{
    (void)handle;
    (void)suggested;
    *out = uv_buf_init(http_read_space, sizeof(http_read_space));
}

static void http_on_read(uv_stream_t *stream, ssize_t got, const uv_buf_t *space)
{
    struct http_connection *connection = stream->data;
    if (got < 0) {
        http_connection_lost(connection);
        return;
    }
    if (got == 0 || connection->state == HTTP_LINGERING) {
        return;
    }
    connection->newest_ms = http_connection_came_ms(connection);
    if (!connection->arriving && connection->ahead.length == 0) {
        connection->came_ms = connection->newest_ms;
    }
    connection->unread_since_ms = 0;
    if (connection->state == HTTP_READING && !connection->arriving) {
        connection->arriving = true;
        connection->since_ms = uv_now(connection->listener->loop);
    }
    buffer_append(&connection->ahead, space->base, (size_t)got);
    if (connection->state == HTTP_READING) {
        http_connection_advance(connection);
    } else if (connection->ahead.length > HTTP_LISTENER_AHEAD_BYTES) {
        uv_read_stop(stream);
        connection->unread_since_ms = uv_now(connection->listener->loop);
    }
}

static void http_on_accept(uv_stream_t *stream, int status)
{
    struct http_listener *listener = stream->data;
    if (status < 0) {
        return;
    }
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
    connection->since_ms = uv_now(listener->loop);
    connection->unread_since_ms = listener->before_ms;
    uv_tcp_init(listener->loop, &connection->socket);
    connection->socket.data = connection;
    connection->next = listener->connections;
    if (connection->next != NULL) {
        connection->next->previous = connection;
    }
    listener->connections = connection;
    listener->counters.accepted++;
    if (uv_accept(stream, (uv_stream_t *)&connection->socket) != 0) {
        http_connection_close(connection);
        return;
    }
    uv_tcp_nodelay(&connection->socket, 1);
    uv_read_start((uv_stream_t *)&connection->socket, http_on_alloc, http_on_read);
}

/* ---- Time --------------------------------------------------------------------------------------- */

/* What a process that was late has not read yet is no silence of the client's. */
static bool http_connection_has_bytes(const struct http_connection *connection)
{
    uv_os_fd_t file;
    char byte;
    return uv_fileno((const uv_handle_t *)&connection->socket, &file) == 0 &&
           recv(file, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

static uint64_t http_connection_limit(const struct http_connection *connection)
{
    const struct http_limits *limits = &connection->listener->limits;
    if (connection->unsent > 0) {
        return HTTP_LISTENER_TAKE_MS;
    }
    switch (connection->state) {
    case HTTP_READING: return connection->arriving ? limits->header_timeout_ms : limits->idle_timeout_ms;
    case HTTP_LINGERING: return HTTP_LISTENER_LINGER_MS;
    default: return 0;
    }
}

/* An answer that the client takes, however slowly, is neither a rest nor a linger. */
static void http_connection_note_unsent(struct http_connection *connection, uint64_t now_ms)
{
    size_t unsent = http_call_pending(&connection->call);
    if (unsent != connection->unsent) {
        connection->unsent = unsent;
        connection->since_ms = now_ms;
    }
}

/* Whether its time is over. Bytes that wait are read in this turn; a request gets one look more for its rest. */
static bool http_connection_is_over(struct http_connection *connection, uint64_t now_ms)
{
    uint64_t limit = http_connection_limit(connection);
    if (limit == 0 || now_ms < connection->since_ms + limit) {
        return false;
    }
    bool reads = connection->state == HTTP_READING && connection->unsent == 0;
    bool again = reads && !connection->looked_again && http_connection_has_bytes(connection);
    connection->looked_again = again;
    return !again;
}

static void http_on_sweep(uv_timer_t *timer)
{
    struct http_listener *listener = timer->data;
    uint64_t now_ms = uv_now(listener->loop);
    struct http_connection *next = NULL;
    for (struct http_connection *connection = listener->connections; connection != NULL; connection = next) {
        next = connection->next;
        http_connection_note_unsent(connection, now_ms);
        if (http_connection_is_over(connection, now_ms)) {
            listener->counters.timeouts++;
            http_connection_close(connection);
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
    uv_prepare_init(loop, &listener->turn);
    listener->socket.data = listener;
    listener->sweep.data = listener;
    listener->turn.data = listener;
    listener->turn_ms = uv_now(loop);
    listener->before_ms = listener->turn_ms;
    int result = uv_tcp_bind(&listener->socket, (const struct sockaddr *)&address->socket, 0);
    if (result == 0) {
        result = uv_listen((uv_stream_t *)&listener->socket, HTTP_LISTENER_BACKLOG, http_on_accept);
    }
    listener->listening = result == 0;
    uv_timer_start(&listener->sweep, http_on_sweep, HTTP_LISTENER_SWEEP_MS, HTTP_LISTENER_SWEEP_MS);
    uv_prepare_start(&listener->turn, http_on_turn);
    return result;
}

void http_listener_drain(struct http_listener *listener)
{
    listener->draining = true;
}

void http_listener_stop_accepting(struct http_listener *listener)
{
    if (listener->listening) {
        listener->listening = false;
        uv_close((uv_handle_t *)&listener->socket, NULL);
    }
    struct http_connection *next = NULL;
    for (struct http_connection *connection = listener->connections; connection != NULL; connection = next) {
        next = connection->next;
        if (connection->state == HTTP_READING && !connection->arriving && !http_connection_has_bytes(connection)) {
            http_connection_linger(connection);
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
        http_connection_lost(listener->connections);
    }
    uv_close((uv_handle_t *)&listener->sweep, NULL);
    uv_close((uv_handle_t *)&listener->turn, NULL);
}

uint32_t http_listener_active(const struct http_listener *listener)
{
    uint32_t active = 0;
    for (const struct http_connection *connection = listener->connections; connection != NULL;
         connection = connection->next) {
        bool reads =
            connection->state == HTTP_READING && (connection->arriving || http_connection_has_bytes(connection));
        bool busy = connection->state == HTTP_ANSWERING || reads;
        active += busy || http_call_pending(&connection->call) > 0 ? 1 : 0;
    }
    return active;
}

size_t http_listener_unsent(const struct http_listener *listener)
{
    size_t unsent = 0;
    for (const struct http_connection *connection = listener->connections; connection != NULL;
         connection = connection->next) {
        unsent += http_call_pending(&connection->call);
    }
    return unsent;
}
