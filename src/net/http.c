#include "net/http.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/clock.h"
#include "base/log.h"
#include "net/http_clients.h"

enum {
    HTTP_READ_STEP_BYTES = 1 << 14,
    HTTP_DISCARD_BYTES = 1 << 20, /* of a refused request, so that no reset overtakes the response */
    HTTP_DISCARD_MS = 1000,
    HTTP_SHARE_LOG_INTERVAL_MS = 1000,
    HTTP_REQUEST_TIMEOUT = 408,
    HTTP_UNAVAILABLE = 503,
    HTTP_MESSAGE_MAX = 512,
    HTTP_BAD_REQUEST = 400,
    HTTP_LENGTH_REQUIRED = 411,
    HTTP_TOO_LARGE = 413
};

const char *http_run_state_name(enum run_state state)
{
    static const char *const names[] = {"not-run", "unknown", "run"};
    return names[state];
}

/* ---- Bodies ------------------------------------------------------------------------------------ */

static size_t http_counted_bytes(size_t capacity)
{
    return capacity <= HTTP_BODY_UNCOUNTED_BYTES ? 0 : HTTP_BODY_COPIES * (capacity - HTTP_BODY_UNCOUNTED_BYTES);
}

static void http_share_log(http_body_share_t *share)
{
    uint64_t now_ms = clock_monotonic_ms();
    uint64_t logged_ms = __atomic_load_n(&share->logged_ms, __ATOMIC_RELAXED);
    bool due = logged_ms == 0 || now_ms >= logged_ms + HTTP_SHARE_LOG_INTERVAL_MS;
    if (due &&
        __atomic_compare_exchange_n(&share->logged_ms, &logged_ms, now_ms, false, __ATOMIC_RELAXED, __ATOMIC_RELAXED)) {
        log_warn("http", "the memory for bodies is full: %zu of %zu bytes, %llu bodies refused so far",
                 __atomic_load_n(&share->used, __ATOMIC_RELAXED), share->max_bytes,
                 (unsigned long long)__atomic_load_n(&share->refused, __ATOMIC_RELAXED));
    }
}

/* Grows the buffer to `capacity` bytes; false: the share has no room. */
static bool http_grow_body(http_body_share_t *share, struct buffer *body, size_t capacity)
{
    size_t added = http_counted_bytes(capacity) - http_counted_bytes(body->capacity);
    if (share != NULL && added > 0) {
        size_t used = __atomic_add_fetch(&share->used, added, __ATOMIC_ACQ_REL);
        if (share->max_bytes > 0 && used > share->max_bytes) {
            __atomic_sub_fetch(&share->used, added, __ATOMIC_ACQ_REL);
            __atomic_add_fetch(&share->refused, 1, __ATOMIC_RELAXED);
            http_share_log(share);
            return false;
        }
    }
    buffer_set_capacity(body, capacity);
    return true;
}

void http_release_body(http_body_share_t *share, struct buffer *body)
{
    if (share != NULL) {
        __atomic_sub_fetch(&share->used, http_counted_bytes(body->capacity), __ATOMIC_ACQ_REL);
    }
    buffer_close(body);
}

/* Capacity for at least one step more, of a body of at most `expected` bytes. */
static size_t http_next_capacity(const struct buffer *body, size_t step, size_t expected)
{
    size_t doubled = 2 * body->capacity;
    size_t needed = body->length + step;
    size_t capacity = doubled > needed ? doubled : needed;
    return capacity < expected ? capacity : expected;
}

static enum http_body_result http_receive_body(struct mg_connection *connection, size_t limit, http_body_share_t *share,
                                               struct buffer *body)
{
    const struct mg_request_info *info = mg_get_request_info(connection);
    const char *encoding = mg_get_header(connection, "Transfer-Encoding");
    uint64_t deadline_ms = clock_monotonic_ms() + HTTP_BODY_TIMEOUT_MS;
    bool has_length = info->content_length >= 0;
    if (!has_length && encoding == NULL) {
        return HTTP_BODY_NO_LENGTH;
    }
    if (has_length && (unsigned long long)info->content_length > limit) {
        return HTTP_BODY_TOO_LARGE;
    }
    size_t expected = has_length ? (size_t)info->content_length : limit + 1;
    int received = 0;
    while (body->length < expected) {
        size_t step = expected - body->length < HTTP_READ_STEP_BYTES ? expected - body->length : HTTP_READ_STEP_BYTES;
        bool grows = body->length + step > body->capacity;
        if (grows && !http_grow_body(share, body, http_next_capacity(body, step, expected))) {
            return HTTP_BODY_NO_MEMORY;
        }
        received = mg_read(connection, body->data + body->length, step);
        if (received <= 0) {
            break;
        }
        body->length += (size_t)received;
        if (body->length < expected && clock_monotonic_ms() > deadline_ms) {
            return HTTP_BODY_TOO_SLOW;
        }
    }
    if (!has_length && body->length > limit) {
        return HTTP_BODY_TOO_LARGE;
    }
    /* The end of a chunked body is 0; an error, or the end of the connection before the last chunk, is less. */
    bool truncated = has_length ? body->length < expected : received < 0;
    return truncated ? HTTP_BODY_TRUNCATED : HTTP_BODY_OK;
}

enum http_body_result http_read_body(struct mg_connection *connection, size_t limit, http_body_share_t *share,
                                     struct buffer *body)
{
    http_client_t *client = mg_get_user_connection_data(connection);
    http_client_begin_body(client);
    enum http_body_result result = http_receive_body(connection, limit, share, body);
    bool given_up = http_client_end_body(client);
    return given_up && result != HTTP_BODY_OK ? HTTP_BODY_TOO_SLOW : result;
}

/* Reads a part of a refused body: closing a connection with unread bytes resets it, and its client may lose the
 * response (RFC 9112, 9.6). */
static void http_discard_body(struct mg_connection *connection)
{
    static __thread char ignored[HTTP_READ_STEP_BYTES];
    uint64_t deadline_ms = clock_monotonic_ms() + HTTP_DISCARD_MS;
    size_t discarded = 0;
    int received = 1;
    while (received > 0 && discarded < HTTP_DISCARD_BYTES && clock_monotonic_ms() < deadline_ms) {
        received = mg_read(connection, ignored, sizeof(ignored));
        discarded += received > 0 ? (size_t)received : 0;
    }
}

void http_send_body_error(struct mg_connection *connection, enum http_body_result result, size_t limit)
{
    struct http_error error = {HTTP_BAD_REQUEST, "body_incomplete", RUN_STATE_NOT_RUN, 0};
    switch (result) {
    case HTTP_BODY_TOO_LARGE:
        error.status = HTTP_TOO_LARGE;
        error.code = "body_too_large";
        http_send_error(connection, &error, "the body is larger than %zu bytes", limit);
        break;
    case HTTP_BODY_NO_LENGTH:
        error.status = HTTP_LENGTH_REQUIRED;
        error.code = "length_required";
        http_send_error(connection, &error, "Content-Length or chunked encoding is required");
        break;
    case HTTP_BODY_TOO_SLOW:
        error.status = HTTP_REQUEST_TIMEOUT;
        error.code = "body_too_slow";
        http_send_error(connection, &error, "the body was not received in time");
        break;
    case HTTP_BODY_NO_MEMORY:
        error.status = HTTP_UNAVAILABLE;
        error.code = "memory_full";
        error.retry_after_s = 1;
        http_send_error(connection, &error, "there is no memory for the body now");
        break;
    case HTTP_BODY_OK:
    case HTTP_BODY_TRUNCATED: http_send_error(connection, &error, "the body ended before its announced length"); break;
    }
    /* The rest of the body must not be parsed as the next request. */
    mg_disable_connection_keep_alive(connection);
    if (result == HTTP_BODY_TOO_LARGE || result == HTTP_BODY_NO_MEMORY) {
        http_discard_body(connection);
    }
}

void http_send(struct mg_connection *connection, int status, const char *content_type, const char *headers,
               struct view body)
{
    struct buffer response = {0};
    buffer_printf(&response, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n%s\r\n", status,
                  mg_get_response_code_text(connection, status), content_type, body.length, text_or_empty(headers));
    buffer_append(&response, body.data, body.length);
    if (mg_write(connection, response.data, response.length) != (int)response.length) {
        mg_disable_connection_keep_alive(connection); /* the client does not read: no further request is served */
    }
    buffer_close(&response);
}

void http_error_body(const struct http_error *error, const char *message, struct buffer *out)
{
    json_t *body = json_pack("{s:{s:s,s:s,s:s,s:s}}", "error", "message", message, "type",
                             error->status >= 500 ? "server_error" : "invalid_request_error", "code", error->code,
                             "run_state", http_run_state_name(error->run_state));
    char *text = body == NULL ? NULL : json_dumps(body, JSON_COMPACT);
    buffer_append_text(out, text == NULL ? "{\"error\":{\"message\":\"the message is not valid text\"}}" : text);
    free(text);
    json_decref(body);
}

void http_send_error(struct mg_connection *connection, const struct http_error *error, const char *format, ...)
{
    char message[HTTP_MESSAGE_MAX];
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(message, sizeof(message), format, arguments);
    va_end(arguments);
    struct buffer headers = {0};
    buffer_printf(&headers, "X-Run-State: %s\r\n", http_run_state_name(error->run_state));
    if (error->retry_after_s > 0) {
        buffer_printf(&headers, "Retry-After: %d\r\n", error->retry_after_s);
    }
    struct buffer body = {0};
    http_error_body(error, message, &body);
    http_send(connection, error->status, "application/json", buffer_text(&headers), buffer_view(&body));
    buffer_close(&headers);
    buffer_close(&body);
}

bool http_start_stream(struct mg_connection *connection, const char *content_type, const char *headers)
{
    struct buffer head = {0};
    buffer_printf(&head,
                  "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nCache-Control: no-cache\r\n"
                  "Transfer-Encoding: chunked\r\n%s\r\n",
                  content_type, text_or_empty(headers));
    int written = mg_write(connection, head.data, head.length);
    bool sent = written == (int)head.length;
    buffer_close(&head);
    return sent;
}

bool http_send_chunk(struct mg_connection *connection, struct view data)
{
    if (data.length == 0) {
        return true;
    }
    struct buffer chunk = {0};
    buffer_printf(&chunk, "%zx\r\n", data.length);
    buffer_append(&chunk, data.data, data.length);
    buffer_append_text(&chunk, "\r\n");
    int written = mg_write(connection, chunk.data, chunk.length);
    bool sent = written == (int)chunk.length;
    buffer_close(&chunk);
    return sent;
}

void http_end_stream(struct mg_connection *connection)
{
    mg_write(connection, "0\r\n\r\n", 5);
}

int http_on_server_error(struct mg_connection *connection, int status, const char *message)
{
    /* CivetWeb reports a malformed Content-Length as 411 (Length Required). */
    int reported_status = status == HTTP_LENGTH_REQUIRED ? HTTP_BAD_REQUEST : status;
    struct http_error error = {reported_status, reported_status == 404 ? "not_found" : "bad_request", RUN_STATE_NOT_RUN,
                               0};
    http_send_error(connection, &error, "%s", text_or_empty(message)[0] == '\0' ? "request refused" : message);
    mg_disable_connection_keep_alive(connection);
    return 0;
}

int http_on_server_log(const struct mg_connection *connection, const char *message)
{
    (void)connection;
    log_debug("http", "%s", message);
    return 1;
}
