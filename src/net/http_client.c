#include "net/http_client.h"

#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

enum {
    HTTP_CLIENT_MAX_IDLE_HANDLES = 512,
    HTTP_CLIENT_MAX_CONNECTIONS = 8, /* kept open by a handle */
    HTTP_HEADER_LINE_BYTES = 1024,   /* with its terminator */
    HTTP_CLIENT_BUFFER_BYTES = 8 << 10
};

/* Idle handles, guarded by http_pool_lock; a stack, so that open connections are reused. */
static pthread_mutex_t http_pool_lock = PTHREAD_MUTEX_INITIALIZER;
static CURL *http_pool[HTTP_CLIENT_MAX_IDLE_HANDLES];
static size_t http_pool_count;

enum { HTTP_FIRST_FINAL_STATUS = 200 }; /* lower ones are of interim responses */

struct http_transfer {
    const struct http_request *request;
    CURL *handle;
    bool stopped;
    bool in_head;             /* a status line was received, the blank line after it was not */
    int status;               /* of the last status line */
    bool head_complete;       /* the head of the final response was received whole */
    struct buffer head_lines; /* header lines of the head being received, each NUL-terminated */
};

bool http_client_init(void)
{
    return curl_global_init(CURL_GLOBAL_DEFAULT) == CURLE_OK;
}

void http_client_close(void)
{
    pthread_mutex_lock(&http_pool_lock);
    while (http_pool_count > 0) {
        curl_easy_cleanup(http_pool[--http_pool_count]);
    }
    pthread_mutex_unlock(&http_pool_lock);
    curl_global_cleanup();
}

static CURL *http_pool_acquire(void)
{
    CURL *handle = NULL;
    pthread_mutex_lock(&http_pool_lock);
    if (http_pool_count > 0) {
        handle = http_pool[--http_pool_count];
    }
    pthread_mutex_unlock(&http_pool_lock);
    return handle != NULL ? handle : curl_easy_init();
}

static void http_pool_release(CURL *handle)
{
    curl_easy_reset(handle);
    pthread_mutex_lock(&http_pool_lock);
    bool pooled = http_pool_count < HTTP_CLIENT_MAX_IDLE_HANDLES;
    if (pooled) {
        http_pool[http_pool_count++] = handle;
    }
    pthread_mutex_unlock(&http_pool_lock);
    if (!pooled) {
        curl_easy_cleanup(handle);
    }
}

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

static size_t http_on_data(char *data, size_t size, size_t count, void *context)
{
    struct http_transfer *transfer = context;
    const struct http_request *request = transfer->request;
    if (request->on_data == NULL) {
        return size * count;
    }
    if (!request->on_data(request->context, transfer->status, view_of(data, size * count))) {
        transfer->stopped = true;
        return 0;
    }
    return size * count;
}

static void http_pass_header(const struct http_request *request, char *line)
{
    char *colon = strchr(line, ':');
    if (colon != NULL) {
        *colon = '\0';
        char *value = colon + 1;
        value += strspn(value, " \t");
        value[strcspn(value, "\r\n")] = '\0';
        request->on_header(request->context, line, value);
    }
}

static void http_pass_headers(struct http_transfer *transfer)
{
    struct buffer *lines = &transfer->head_lines;
    size_t length = 0;
    for (size_t at = 0; transfer->request->on_header != NULL && at < lines->length; at += length) {
        char *line = (char *)lines->data + at;
        length = strlen(line) + 1;
        http_pass_header(transfer->request, line);
    }
}

static bool http_is_status_line(struct view line)
{
    static const char prefix[] = "HTTP/";
    return line.length >= sizeof(prefix) - 1 && memcmp(line.data, prefix, sizeof(prefix) - 1) == 0;
}

static void http_begin_head(struct http_transfer *transfer)
{
    long status = 0;
    curl_easy_getinfo(transfer->handle, CURLINFO_RESPONSE_CODE, &status);
    transfer->in_head = true;
    transfer->status = (int)status;
    buffer_clear(&transfer->head_lines);
}

static void http_end_head(struct http_transfer *transfer)
{
    transfer->in_head = false;
    transfer->head_complete = transfer->status >= HTTP_FIRST_FINAL_STATUS;
    if (transfer->head_complete) {
        http_pass_headers(transfer);
    }
}

/* libcurl reports success for a connection that was closed inside the head: only the blank line at its end shows that
 * it is whole. Header lines are passed on from there, those of interim responses and trailers not at all. */
static size_t http_on_header(char *data, size_t size, size_t count, void *context)
{
    struct http_transfer *transfer = context;
    struct view line = view_of(data, size * count);
    bool blank = line.length > 0 && (line.data[0] == '\r' || line.data[0] == '\n');
    if (transfer->head_complete) {
        return line.length;
    }
    if (http_is_status_line(line)) {
        http_begin_head(transfer);
    } else if (transfer->in_head && blank) {
        http_end_head(transfer);
    } else if (transfer->in_head) {
        buffer_append(&transfer->head_lines, line.data, line.length);
        buffer_append(&transfer->head_lines, "", 1);
    }
    return line.length;
}

static void http_set_options(const struct http_request *request, struct http_transfer *transfer,
                             struct curl_slist *headers)
{
    CURL *handle = transfer->handle;
    curl_easy_setopt(handle, CURLOPT_URL, request->url);
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request->method);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle, CURLOPT_BUFFERSIZE, (long)HTTP_CLIENT_BUFFER_BYTES);
    curl_easy_setopt(handle, CURLOPT_MAXCONNECTS, (long)HTTP_CLIENT_MAX_CONNECTIONS);
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(handle, CURLOPT_PROXY, ""); /* ignores proxy settings in the environment */
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, (long)request->timeout_ms);
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, (long)request->connect_timeout_ms);
    /* libcurl resends the request by itself if a reused connection turns out to be closed. */
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, request->at_most_once ? 1L : 0L);
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
    if (request->body.length > 0 || strcmp(request->method, "POST") == 0) {
        curl_easy_setopt(handle, CURLOPT_POST, 1L);
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request->method);
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)request->body.length);
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS,
                         request->body.data == NULL ? "" : (const char *)request->body.data);
    } else if (strcmp(request->method, "HEAD") == 0) {
        curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
    }
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, http_on_data);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, transfer);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, http_on_header);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, transfer);
}

static enum http_transfer_result http_transfer_outcome(CURLcode code, const struct http_transfer *transfer)
{
    if (transfer->stopped) {
        return HTTP_TRANSFER_STOPPED;
    }
    long connects = 0;
    curl_off_t connected_us = 0;
    curl_easy_getinfo(transfer->handle, CURLINFO_NUM_CONNECTS, &connects);
    curl_easy_getinfo(transfer->handle, CURLINFO_CONNECT_TIME_T, &connected_us);
    switch (code) {
    case CURLE_OK: return transfer->head_complete ? HTTP_TRANSFER_DONE : HTTP_TRANSFER_BROKEN;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_URL_MALFORMAT:
    case CURLE_UNSUPPORTED_PROTOCOL: return HTTP_TRANSFER_NOT_SENT;
    case CURLE_OPERATION_TIMEDOUT:
        return connects > 0 && connected_us == 0 ? HTTP_TRANSFER_NOT_SENT : HTTP_TRANSFER_TIMEOUT;
    default: return HTTP_TRANSFER_BROKEN;
    }
}

enum http_transfer_result http_client_run(const struct http_request *request, int *status)
{
    *status = 0;
    struct http_transfer transfer = {.request = request, .handle = http_pool_acquire()};
    if (transfer.handle == NULL) {
        return HTTP_TRANSFER_NOT_SENT;
    }
    struct curl_slist *headers = NULL;
    for (uint32_t i = 0; i < request->header_count; i++) {
        headers = curl_slist_append(headers, request->headers[i]);
    }
    headers = curl_slist_append(headers, "Expect:");
    http_set_options(request, &transfer, headers);
    CURLcode code = curl_easy_perform(transfer.handle);
    *status = transfer.head_complete ? transfer.status : 0;
    enum http_transfer_result result = http_transfer_outcome(code, &transfer);
    curl_slist_free_all(headers);
    buffer_close(&transfer.head_lines);
    http_pool_release(transfer.handle);
    return result;
}
