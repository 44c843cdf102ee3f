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

struct http_transfer {
    const struct http_request *request;
    CURL *handle;
    bool stopped;
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
    long status = 0;
    curl_easy_getinfo(transfer->handle, CURLINFO_RESPONSE_CODE, &status);
    const struct http_request *request = transfer->request;
    if (request->on_data == NULL) {
        return size * count;
    }
    if (!request->on_data(request->context, (int)status, view_of(data, size * count))) {
        transfer->stopped = true;
        return 0;
    }
    return size * count;
}

static size_t http_on_header(char *data, size_t size, size_t count, void *context)
{
    struct http_transfer *transfer = context;
    size_t length = size * count;
    char *line = memory_copy(data, length);
    char *colon = strchr(line, ':');
    if (colon != NULL) {
        *colon = '\0';
        char *value = colon + 1;
        value += strspn(value, " \t");
        value[strcspn(value, "\r\n")] = '\0';
        transfer->request->on_header(transfer->request->context, line, value);
    }
    free(line);
    return length;
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
    if (request->on_header != NULL) {
        curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, http_on_header);
        curl_easy_setopt(handle, CURLOPT_HEADERDATA, transfer);
    }
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
    case CURLE_OK: return HTTP_TRANSFER_DONE;
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
    long received = 0;
    curl_easy_getinfo(transfer.handle, CURLINFO_RESPONSE_CODE, &received);
    *status = (int)received;
    enum http_transfer_result result = http_transfer_outcome(code, &transfer);
    curl_slist_free_all(headers);
    http_pool_release(transfer.handle);
    return result;
}
