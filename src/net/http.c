#include "net/http.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/log.h"

enum {
    HTTP_READ_STEP_BYTES = 1 << 14,
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

enum http_body_result http_read_body(struct mg_connection *connection, size_t limit, struct buffer *body)
{
    const struct mg_request_info *info = mg_get_request_info(connection);
    const char *encoding = mg_get_header(connection, "Transfer-Encoding");
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
        received = mg_read(connection, buffer_reserve(body, step), step);
        if (received <= 0) {
            break;
        }
        body->length += (size_t)received;
    }
    if (!has_length && body->length > limit) {
        return HTTP_BODY_TOO_LARGE;
    }
    /* The end of a chunked body is 0; an error, or the end of the connection before the last chunk, is less. */
    bool truncated = has_length ? body->length < expected : received < 0;
    return truncated ? HTTP_BODY_TRUNCATED : HTTP_BODY_OK;
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
    default: http_send_error(connection, &error, "the body ended before its announced length"); break;
    }
    /* The rest of the body must not be parsed as the next request. */
    mg_disable_connection_keep_alive(connection);
}

void http_send(struct mg_connection *connection, int status, const char *content_type, const char *headers,
               struct view body)
{
    struct buffer response = {0};
    buffer_printf(&response, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n%s\r\n", status,
                  mg_get_response_code_text(connection, status), content_type, body.length, text_or_empty(headers));
    buffer_append(&response, body.data, body.length);
    mg_write(connection, response.data, response.length);
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
