#include "net/http_client.h"

#include <errno.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "base/clock.h"
#include "net/connection_end.h"
#include "net/http_bytes.h"
#include "net/http_client_pool.h"
#include "net/http_reader.h"

enum {
    HTTP_CLIENT_MAX_HEAD_BYTES = 64 << 10,
    HTTP_CLIENT_MAX_USELESS_BYTES = 128 << 10, /* of interim responses, chunk extensions and trailers in a row */
    HTTP_CLIENT_READ_BYTES = 16 << 10,
    HTTP_CLIENT_FIRST_FINAL_STATUS = 200,
    HTTP_HEADER_LINE_BYTES = 1024 /* with its terminator */
};

bool http_client_init(void)
{
    return curl_global_init(CURL_GLOBAL_DEFAULT) == CURLE_OK;
}

void http_client_close(void)
{
    http_client_pool_close();
    curl_global_cleanup();
}

/* ---- Requests ---------------------------------------------------------------------------------- */

void http_request_add_header(struct http_request *request, const char *format, ...)
{
    if (request->header_count == HTTP_CLIENT_MAX_HEADERS) {
        return;
    }
    char line[HTTP_HEADER_LINE_BYTES];
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(line, sizeof(line), format, arguments);
    va_end(arguments);
    request->headers[request->header_count++] = text_copy(line);
}

void http_request_close(struct http_request *request)
{
    for (uint32_t i = 0; i < request->header_count; i++) {
        free(request->headers[i]);
    }
    request->header_count = 0;
}

/* The parts of a URL; they point into it. */
typedef struct http_url_t {
    struct view origin;
    struct view authority;
    struct view target; /* without a fragment; empty: "/" */
} http_url_t;

static bool http_url_parse(const char *url, http_url_t *parts)
{
    static const char scheme[] = "http://";
    enum { SCHEME = sizeof(scheme) - 1 };
    if (strncasecmp(url, scheme, SCHEME) != 0) {
        return false;
    }
    for (const char *at = url; *at != '\0'; at++) {
        if (!http_is_text_byte((uint8_t)*at) || *at == ' ' || *at == '\t') {
            return false;
        }
    }
    size_t authority = strcspn(url + SCHEME, "/?#");
    const char *target = url + SCHEME + authority;
    parts->origin = view_of(url, SCHEME + authority);
    parts->authority = view_of(url + SCHEME, authority);
    parts->target = view_of(target, strcspn(target, "#"));
    return authority > 0;
}

static void http_append_view(struct buffer *out, struct view text)
{
    buffer_append(out, text.data, text.length);
}

static void http_write_request(const struct http_request *request, const http_url_t *url, struct buffer *out)
{
    bool absolute = url->target.length > 0 && url->target.data[0] == '/';
    buffer_printf(out, "%s %s", request->method, absolute ? "" : "/");
    http_append_view(out, url->target);
    buffer_append_text(out, " HTTP/1.1\r\nHost: ");
    http_append_view(out, url->authority);
    buffer_append_text(out, "\r\nAccept: */*\r\n");
    for (uint32_t i = 0; i < request->header_count; i++) {
        buffer_printf(out, "%s\r\n", request->headers[i]);
    }
    if (request->body.length > 0 || strcmp(request->method, "POST") == 0) {
        buffer_printf(out, "Content-Length: %zu\r\n", request->body.length);
    }
    buffer_append_text(out, "\r\n");
    http_append_view(out, request->body);
}

/* ---- Responses ---------------------------------------------------------------------------------- */

typedef struct http_transfer_t {
    const struct http_request *request;
    int fd;
    uint64_t deadline_ms;
    struct buffer out; /* the request */
    size_t written;
    int write_error; /* errno; 0: none */
    struct http_reader reader;
    size_t useless_bytes; /* since the final head or the last part of its body */
    bool received;        /* any byte */
    bool final;           /* the head of the final response was received whole */
    bool close_seen;      /* the server has closed, and connection_end.h does not yet tell what that means */
    bool stopped;         /* by `on_data` */
} http_transfer_t;

/* The texts end with NUL: a valid head has no such byte. */
static void http_pass_header(const struct http_request *request, const struct http_header *header)
{
    char *name = (char *)memory_copy(header->name.data, header->name.length);
    char *value = (char *)memory_copy(header->value.data, header->value.length);
    request->on_header(request->context, name, value);
    free(name);
    free(value);
}

static bool http_on_head(void *context, struct http_reader *reader)
{
    http_transfer_t *transfer = context;
    if (reader->status < HTTP_CLIENT_FIRST_FINAL_STATUS) {
        return true;
    }
    transfer->final = true;
    transfer->useless_bytes = 0;
    for (int i = 0; i < reader->header_count && transfer->request->on_header != NULL; i++) {
        http_pass_header(transfer->request, &reader->headers[i]);
    }
    return true;
}

static bool http_on_body(void *context, struct http_reader *reader, struct view part)
{
    http_transfer_t *transfer = context;
    const struct http_request *request = transfer->request;
    transfer->useless_bytes = 0;
    transfer->stopped = request->on_data != NULL && !request->on_data(request->context, reader->status, part);
    return !transfer->stopped;
}

static bool http_on_complete(void *context, struct http_reader *reader)
{
    (void)context;
    (void)reader;
    return true;
}

static bool http_is_complete(const http_transfer_t *transfer)
{
    return transfer->final && transfer->reader.complete;
}

/* Returns the number of bytes that belong to the response. */
static size_t http_feed(http_transfer_t *transfer, const uint8_t *data, size_t length)
{
    struct http_reader *reader = &transfer->reader;
    size_t used = 0;
    transfer->received = true;
    transfer->useless_bytes += length;
    while (used < length && !http_is_complete(transfer) && reader->error == HTTP_PARSE_ERROR_NONE) {
        used += http_reader_feed(reader, data + used, length - used);
        if (reader->complete && !transfer->final) {
            http_reader_reset(reader); /* the final response follows */
        }
    }
    return used;
}

/* ---- Transfers ------------------------------------------------------------------------------------ */

/* Whether the transfer goes on, and else its result. */
typedef struct http_step_t {
    bool done;
    enum http_transfer_result result;
} http_step_t;

static const http_step_t HTTP_STEP_GO_ON = {.done = false};

static http_step_t http_end_with(enum http_transfer_result result)
{
    return (http_step_t){.done = true, .result = result};
}

static http_step_t http_judge_close(http_transfer_t *transfer)
{
    connection_end_state_t end = {
        .fd = transfer->fd,
        .status = transfer->reader.status,
        .request_written = transfer->written == transfer->out.length,
        .write_error = transfer->write_error,
    };
    switch (connection_end_judge(&end)) {
    case CONNECTION_END_PENDING: return HTTP_STEP_GO_ON;
    case CONNECTION_END_BROKEN: return http_end_with(HTTP_TRANSFER_BROKEN);
    case CONNECTION_END_COMPLETE: break;
    }
    http_reader_end(&transfer->reader);
    return http_end_with(http_is_complete(transfer) ? HTTP_TRANSFER_DONE : HTTP_TRANSFER_BROKEN);
}

static http_step_t http_read(http_transfer_t *transfer)
{
    uint8_t part[HTTP_CLIENT_READ_BYTES];
    const struct http_reader *reader = &transfer->reader;
    ssize_t got = recv(transfer->fd, part, sizeof(part), MSG_DONTWAIT);
    if (got < 0) {
        bool again = errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
        return again ? HTTP_STEP_GO_ON : http_end_with(HTTP_TRANSFER_BROKEN);
    }
    if (got == 0) {
        transfer->close_seen = transfer->final && reader->until_close;
        return transfer->close_seen ? http_judge_close(transfer) : http_end_with(HTTP_TRANSFER_BROKEN);
    }
    size_t used = http_feed(transfer, part, (size_t)got);
    if (transfer->stopped) {
        return http_end_with(HTTP_TRANSFER_STOPPED);
    }
    if (http_is_complete(transfer)) {
        transfer->reader.keep_alive = transfer->reader.keep_alive && used == (size_t)got;
        return http_end_with(HTTP_TRANSFER_DONE);
    }
    bool endless = transfer->useless_bytes > HTTP_CLIENT_MAX_USELESS_BYTES;
    bool broken = reader->error != HTTP_PARSE_ERROR_NONE || endless;
    return broken ? http_end_with(HTTP_TRANSFER_BROKEN) : HTTP_STEP_GO_ON;
}

/* After an error, a response that has arrived can still be read. */
static void http_write(http_transfer_t *transfer)
{
    ssize_t sent = send(transfer->fd, transfer->out.data + transfer->written, transfer->out.length - transfer->written,
                        MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent >= 0) {
        transfer->written += (size_t)sent;
    } else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
        transfer->write_error = errno;
    }
}

static bool http_is_writing(const http_transfer_t *transfer)
{
    return transfer->written < transfer->out.length && transfer->write_error == 0;
}

/* Once the server has closed, the socket is always readable: only the request and time remain to wait for. */
static short http_wait(const http_transfer_t *transfer, uint64_t left_ms)
{
    bool writing = http_is_writing(transfer);
    short events = (short)((transfer->close_seen ? 0 : POLLIN) | (writing ? POLLOUT : 0));
    uint64_t wait_ms = transfer->close_seen && left_ms > CONNECTION_END_POLL_MS ? CONNECTION_END_POLL_MS : left_ms;
    struct pollfd ready = {.fd = transfer->close_seen && !writing ? -1 : transfer->fd, .events = events};
    return poll(&ready, 1, wait_ms > INT32_MAX ? INT32_MAX : (int)wait_ms) > 0 ? ready.revents : 0;
}

static http_step_t http_step(http_transfer_t *transfer)
{
    uint64_t now_ms = clock_monotonic_ms();
    if (now_ms >= transfer->deadline_ms) {
        return http_end_with(HTTP_TRANSFER_TIMEOUT);
    }
    short ready = http_wait(transfer, transfer->deadline_ms - now_ms);
    if (!transfer->close_seen && (ready & (POLLIN | POLLERR | POLLHUP)) != 0) {
        http_step_t step = http_read(transfer);
        if (step.done) {
            return step;
        }
    }
    if (http_is_writing(transfer) && (ready & (POLLOUT | POLLERR | POLLHUP)) != 0) {
        http_write(transfer);
    }
    return transfer->close_seen ? http_judge_close(transfer) : HTTP_STEP_GO_ON;
}

static enum http_transfer_result http_exchange(http_transfer_t *transfer)
{
    transfer->reader.type = HTTP_RESPONSE;
    transfer->reader.max_head_bytes = HTTP_CLIENT_MAX_HEAD_BYTES;
    transfer->reader.max_body_bytes = SIZE_MAX;
    transfer->reader.skip_body = strcmp(transfer->request->method, "HEAD") == 0;
    transfer->reader.events = (struct http_reader_events){
        .context = transfer, .head = http_on_head, .body = http_on_body, .complete = http_on_complete};
    http_reader_reset(&transfer->reader);
    http_step_t step = HTTP_STEP_GO_ON;
    http_write(transfer);
    while (!step.done) {
        step = http_step(transfer);
    }
    return step.result;
}

/* Whether the connection can carry another request. */
static bool http_is_reusable(const http_transfer_t *transfer, enum http_transfer_result result)
{
    return result == HTTP_TRANSFER_DONE && transfer->reader.keep_alive && !transfer->reader.until_close &&
           transfer->written == transfer->out.length;
}

/* Runs the request on one connection. `unused`: the connection ended before a byte of the response. */
static enum http_transfer_result http_run_on(http_client_connection_t *connection, const struct http_request *request,
                                             const http_url_t *url, uint64_t deadline_ms, int *status, bool *unused)
{
    http_transfer_t transfer = {.request = request, .fd = connection->fd, .deadline_ms = deadline_ms};
    http_write_request(request, url, &transfer.out);
    enum http_transfer_result result = http_exchange(&transfer);
    *status = transfer.final ? transfer.reader.status : 0;
    *unused = result == HTTP_TRANSFER_BROKEN && !transfer.received;
    if (http_is_reusable(&transfer, result)) {
        http_client_pool_add(connection);
    } else {
        http_client_disconnect(connection);
    }
    http_reader_close(&transfer.reader);
    buffer_close(&transfer.out);
    return result;
}

enum http_transfer_result http_client_run(const struct http_request *request, int *status)
{
    uint64_t deadline_ms = clock_monotonic_ms() + request->timeout_ms;
    enum http_transfer_result result = HTTP_TRANSFER_NOT_SENT;
    http_client_connection_t connection = {0};
    http_url_t url;
    bool unused = false;
    *status = 0;
    if (!http_url_parse(request->url, &url)) {
        return HTTP_TRANSFER_NOT_SENT;
    }
    char *origin = (char *)memory_copy(url.origin.data, url.origin.length);
    if (!request->at_most_once) {
        connection = http_client_pool_take(origin);
    }
    if (connection.handle != NULL) {
        result = http_run_on(&connection, request, &url, deadline_ms, status, &unused);
    }
    /* A server may close an idle connection at any moment. */
    if ((result == HTTP_TRANSFER_NOT_SENT || unused) &&
        http_client_connect(&connection, origin, request->connect_timeout_ms, request->timeout_ms)) {
        result = http_run_on(&connection, request, &url, deadline_ms, status, &unused);
    }
    free(origin);
    return result;
}
