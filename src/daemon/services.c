#include "daemon/services.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/clock.h"
#include "net/http_client.h"

enum {
    SERVICES_HANDLED = 200,
    SERVICES_MAX_BACKENDS = 256, /* further back ends of a service are ignored */
    SERVICES_CONNECT_TIMEOUT_MS = 1000,
    SERVICES_DEFAULT_TIMEOUT_MS = 30000,
    SERVICES_MAX_ATTEMPTS = 3,
    SERVICES_MAX_RESPONSE_BYTES = 64 << 20
};

static const char SERVICES_PATH[] = "/services/";

struct service_call {
    struct gateway *gateway;
    struct mg_connection *connection;
    const Service *service;
    const char *path; /* after the service's name; starts with a slash */
    struct view body;
    bool repeatable;
    char tried[SERVICES_MAX_BACKENDS];
    int status;
    struct buffer response_body;
    struct buffer response_headers;
    char *content_type;
    bool draining;
};

/* Headers that are not forwarded: hop-by-hop headers (RFC 9110, section 7.6.1) and those that the HTTP layer or the
 * gateway sets itself. */
static bool services_is_excluded_header(const char *name)
{
    static const char *const names[] = {
        "Connection",          "Keep-Alive",         "Transfer-Encoding", "TE",   "Trailer", "Upgrade",
        "Proxy-Authorization", "Proxy-Authenticate", "Content-Length",    "Host", "Expect",  "X-Run-State"};
    for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
        if (strcasecmp(name, names[i]) == 0) {
            return true;
        }
    }
    return false;
}

static bool services_on_data(void *context, int status, struct view data)
{
    struct service_call *call = context;
    (void)status;
    if (call->response_body.length + data.length > SERVICES_MAX_RESPONSE_BYTES) {
        return false;
    }
    buffer_append(&call->response_body, data.data, data.length);
    return true;
}

static void services_on_header(void *context, const char *name, const char *value)
{
    struct service_call *call = context;
    if (strcasecmp(name, "Content-Type") == 0) {
        free(call->content_type);
        call->content_type = text_copy(value);
    } else if (strcasecmp(name, "X-Draining") == 0) {
        call->draining = strcmp(value, "true") == 0;
    } else if (!services_is_excluded_header(name)) {
        buffer_printf(&call->response_headers, "%s: %s\r\n", name, value);
    }
}

static const Backend *services_choose_backend(struct service_call *call)
{
    struct placement_candidate candidates[SERVICES_MAX_BACKENDS];
    size_t count = call->service->backends_count;
    count = count < SERVICES_MAX_BACKENDS ? count : SERVICES_MAX_BACKENDS;
    memset(candidates, 0, sizeof(candidates));
    uint64_t now_ms = clock_monotonic_ms();
    for (size_t i = 0; i < count; i++) {
        const Backend *backend = &call->service->backends[i];
        candidates[i].usable = !backend->draining && call->tried[i] == 0;
        endpoints_fill_candidate(&call->gateway->endpoints, text_or_empty(backend->base_url), now_ms, &candidates[i]);
    }
    struct placement_call placement = {
        .mode = PLACEMENT_MODE_ROUND_ROBIN,
        .rotation = endpoints_next_rotation(&call->gateway->endpoints),
    };
    int chosen = placement_choose(&placement, candidates, count);
    if (chosen == PLACEMENT_NONE) {
        return NULL;
    }
    call->tried[chosen] = 1;
    return &call->service->backends[chosen];
}

static void services_copy_headers(const struct service_call *call, struct http_request *request)
{
    const struct mg_request_info *info = mg_get_request_info(call->connection);
    for (int i = 0; i < info->num_headers; i++) {
        if (!services_is_excluded_header(info->http_headers[i].name)) {
            http_request_add_header(request, "%s: %s", info->http_headers[i].name, info->http_headers[i].value);
        }
    }
    http_request_add_header(request, "X-Forwarded-For: %s", info->remote_addr);
}

static enum http_transfer_result services_run_attempt(struct service_call *call, const Backend *backend)
{
    const struct mg_request_info *info = mg_get_request_info(call->connection);
    struct buffer url = {0};
    buffer_printf(&url, "%s%s", backend->base_url, call->path);
    if (info->query_string != NULL) {
        buffer_printf(&url, "?%s", info->query_string);
    }
    uint32_t timeout_ms = call->service->timeout_ms;
    struct http_request request = {
        .method = info->request_method,
        .url = buffer_text(&url),
        .body = call->body,
        .timeout_ms = timeout_ms != 0 ? timeout_ms : SERVICES_DEFAULT_TIMEOUT_MS,
        .connect_timeout_ms = SERVICES_CONNECT_TIMEOUT_MS,
        .at_most_once = !call->repeatable,
        .context = call,
        .on_data = services_on_data,
        .on_header = services_on_header,
    };
    services_copy_headers(call, &request);
    buffer_clear(&call->response_body);
    buffer_clear(&call->response_headers);
    free(call->content_type);
    call->content_type = NULL;
    call->draining = false;
    uint64_t started_ms = clock_monotonic_ms();
    endpoints_begin_call(&call->gateway->endpoints, backend->base_url);
    enum http_transfer_result result = http_client_run(&request, &call->status);
    uint64_t now_ms = clock_monotonic_ms();
    enum endpoint_outcome outcome = call->draining                 ? ENDPOINT_DRAINING
                                    : result == HTTP_TRANSFER_DONE ? ENDPOINT_SUCCESS
                                                                   : ENDPOINT_FAILURE;
    endpoints_end_call(&call->gateway->endpoints, backend->base_url, outcome, now_ms, now_ms - started_ms, NULL);
    http_request_close(&request);
    buffer_close(&url);
    return result;
}

static void services_send_response(struct service_call *call)
{
    buffer_append_text(&call->response_headers, "X-Run-State: run\r\n");
    http_send(call->connection, call->status,
              call->content_type == NULL ? "application/octet-stream" : call->content_type,
              buffer_text(&call->response_headers), buffer_view(&call->response_body));
}

static void services_send_failure(struct service_call *call, bool may_have_run)
{
    static const struct http_error unknown = {502, "backend_failed", RUN_STATE_UNKNOWN, 0};
    static const struct http_error not_run = {503, "no_backend", RUN_STATE_NOT_RUN, 1};
    gateway_count(call->gateway, service_failures);
    if (may_have_run) {
        http_send_error(call->connection, &unknown, "the back end was lost while it may have run the request");
    } else {
        http_send_error(call->connection, &not_run, "no back end of the service can take the request now");
    }
}

static void services_run(struct service_call *call)
{
    bool may_have_run = false;
    endpoints_record_request(&call->gateway->endpoints);
    gateway_count(call->gateway, service_requests);
    for (int attempt = 1; attempt <= SERVICES_MAX_ATTEMPTS; attempt++) {
        if (attempt > 1 && !endpoints_take_retry(&call->gateway->endpoints)) {
            break;
        }
        const Backend *backend = services_choose_backend(call);
        if (backend == NULL) {
            break;
        }
        enum http_transfer_result result = services_run_attempt(call, backend);
        /* A draining back end responds with 503 before it runs anything. */
        bool refused = result == HTTP_TRANSFER_DONE && call->draining && call->status == 503;
        if (result == HTTP_TRANSFER_DONE && !refused) {
            services_send_response(call);
            return;
        }
        may_have_run = may_have_run || !(refused || result == HTTP_TRANSFER_NOT_SENT);
        if (may_have_run && !call->repeatable) {
            break;
        }
    }
    services_send_failure(call, may_have_run);
}

/* X-Repeatable decides; without it, methods that are idempotent (RFC 9110, section 9.2.2) are repeatable. */
static bool services_is_repeatable(struct mg_connection *connection, const char *method)
{
    const char *header = mg_get_header(connection, "X-Repeatable");
    if (header != NULL) {
        return strcmp(header, "true") == 0;
    }
    return strcmp(method, "GET") == 0 || strcmp(method, "HEAD") == 0 || strcmp(method, "PUT") == 0 ||
           strcmp(method, "DELETE") == 0 || strcmp(method, "OPTIONS") == 0;
}

static void services_serve(struct gateway *gateway, struct mg_connection *connection, const struct config_view *view)
{
    static const struct http_error not_found = {404, "service_not_found", RUN_STATE_NOT_RUN, 0};
    const struct mg_request_info *info = mg_get_request_info(connection);
    char *name = text_copy(info->local_uri_raw + sizeof(SERVICES_PATH) - 1);
    char *slash = strchr(name, '/');
    char *path = text_copy(slash == NULL ? "/" : slash);
    if (slash != NULL) {
        *slash = '\0';
    }
    struct buffer body = {0};
    size_t limit = (size_t)gateway->settings->max_body_bytes;
    struct service_call *call = memory_new(sizeof(*call));
    call->gateway = gateway;
    call->connection = connection;
    call->path = path;
    call->service = config_view_service(view, name);
    call->repeatable = services_is_repeatable(connection, info->request_method);
    bool has_body = info->content_length > 0 || mg_get_header(connection, "Transfer-Encoding") != NULL;
    enum http_body_result result = has_body ? http_read_body(connection, limit, &gateway->bodies, &body) : HTTP_BODY_OK;
    call->body = buffer_view(&body);
    if (call->service == NULL) {
        http_send_error(connection, &not_found, "there is no service '%s'", name);
    } else if (result != HTTP_BODY_OK) {
        http_send_body_error(connection, result, limit);
    } else {
        services_run(call);
    }
    buffer_close(&call->response_body);
    buffer_close(&call->response_headers);
    free(call->content_type);
    free(call);
    http_release_body(&gateway->bodies, &body);
    free(path);
    free(name);
}

int services_handle(struct mg_connection *connection, void *context)
{
    struct gateway *gateway = context;
    struct http_error not_ready = {503, "not_ready", RUN_STATE_NOT_RUN, 1};
    if (!gateway_begin_request(gateway, connection)) {
        return SERVICES_HANDLED;
    }
    struct config_view *view = config_view_pin();
    if (view == NULL) {
        mg_disable_connection_keep_alive(connection);
        http_send_error(connection, &not_ready, "this daemon has no configuration yet");
    } else {
        services_serve(gateway, connection, view);
    }
    config_view_unpin(view);
    gateway_end_request(gateway);
    return SERVICES_HANDLED;
}
