#include "daemon/http_servers.h"

#include <inttypes.h>
#include <stdio.h>
#include <pthread.h>
#include <string.h>
#include <sys/resource.h>

#include "base/log.h"
#include "daemon/chat.h"
#include "daemon/metrics.h"
#include "daemon/operator.h"
#include "daemon/programs.h"
#include "daemon/services.h"
#include "net/address.h"
#include "net/http_framing.h"

enum {
    HTTP_SERVERS_NUMBER_SIZE = 24,
    HTTP_SERVERS_TOO_LARGE = 413,
    HTTP_SERVERS_MAX_QUEUE = 512,
    HTTP_SERVERS_QUEUE_DIVISOR = 8 /* of the descriptors that the process may open; there are two servers */
};

static const char HTTP_SERVERS_LOG[] = "server";

static int http_servers_handle_not_found(struct mg_connection *connection, void *context)
{
    struct http_error error = {404, "not_found", RUN_STATE_NOT_RUN, 0};
    (void)context;
    http_send_error(connection, &error, "there is nothing at this path");
    return error.status;
}

/* Accepted connections that wait for a thread; further ones stay in the backlog of the socket. */
static uint64_t http_servers_queue_length(void)
{
    struct rlimit limit;
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return HTTP_SERVERS_MAX_QUEUE;
    }
    rlim_t part = limit.rlim_cur / HTTP_SERVERS_QUEUE_DIVISOR;
    return part < HTTP_SERVERS_MAX_QUEUE ? part : HTTP_SERVERS_MAX_QUEUE;
}

/* ---- Callbacks of CivetWeb ----------------------------------------------------------------------- */

static struct http_server *http_server_of(const struct mg_connection *connection)
{
    return mg_get_user_data(mg_get_context(connection));
}

static int http_on_connection(const struct mg_connection *connection, void **data)
{
    *data = http_clients_add(&http_server_of(connection)->clients);
    return 0;
}

static void http_on_connection_close(const struct mg_connection *connection)
{
    http_client_t *client = mg_get_user_connection_data(connection);
    if (client != NULL) {
        http_clients_remove(client);
        mg_set_user_connection_data(connection, NULL);
    }
}

/* The head tells that no handler reads such a body. */
static bool http_refuse_long_body(struct mg_connection *connection, const struct http_server *server)
{
    long long length = mg_get_request_info(connection)->content_length;
    uint64_t limit = server->gateway->settings->max_body_bytes;
    limit = limit > OPERATOR_MAX_BODY_BYTES ? limit : OPERATOR_MAX_BODY_BYTES;
    if (length <= 0 || (uint64_t)length <= limit) {
        return false;
    }
    http_send_body_error(connection, HTTP_BODY_TOO_LARGE, (size_t)limit);
    return true;
}

/* Returns 0 to go on; otherwise the request is answered. */
static int http_on_request_begins(struct mg_connection *connection)
{
    struct http_server *server = http_server_of(connection);
    http_client_t *client = mg_get_user_connection_data(connection);
    int status = http_framing_check_request(connection);
    if (status == 0 && http_refuse_long_body(connection, server)) {
        status = HTTP_SERVERS_TOO_LARGE;
    }
    if (status == 0 && client != NULL) {
        http_client_begin(client, mg_get_request_info(connection));
    }
    if (http_clients_are_busy(&server->clients)) {
        mg_disable_connection_keep_alive(connection); /* others wait for its thread */
    }
    return status;
}

static void http_on_request_ended(const struct mg_connection *connection, int status)
{
    http_client_t *client = mg_get_user_connection_data(connection);
    (void)status;
    if (client != NULL) {
        http_client_end(client);
    }
}

static void http_server_relieve(void *context)
{
    struct http_server *server = context;
    http_clients_relieve(&server->clients);
}

/* ---- Start and stop ------------------------------------------------------------------------------ */

static bool http_server_start(struct http_server *server, const char *address, uint64_t threads,
                              struct gateway *gateway)
{
    struct address parsed = {0};
    char thread_count[HTTP_SERVERS_NUMBER_SIZE];
    char queue_length[HTTP_SERVERS_NUMBER_SIZE];
    snprintf(queue_length, sizeof(queue_length), "%" PRIu64, http_servers_queue_length());
    snprintf(thread_count, sizeof(thread_count), "%" PRIu64, threads);
    const char *options[] = {
        "listening_ports",
        address,
        "num_threads",
        thread_count,
        "enable_keep_alive",
        "yes",
        "keep_alive_timeout_ms",
        "2000",
        "request_timeout_ms",
        "20000",
        "tcp_nodelay",
        "1",
        "listen_backlog",
        "1024",
        "connection_queue",
        queue_length,
        "max_request_size",
        "32768",
        "enable_directory_listing",
        "no",
        NULL,
    };
    struct mg_callbacks callbacks;
    memset(&callbacks, 0, sizeof(callbacks));
    callbacks.init_connection = http_on_connection;
    callbacks.connection_close = http_on_connection_close;
    callbacks.begin_request = http_on_request_begins;
    callbacks.end_request = http_on_request_ended;
    callbacks.http_error = http_on_server_error;
    callbacks.log_message = http_on_server_log;
    struct mg_init_data init = {.callbacks = &callbacks, .user_data = server, .configuration_options = options};
    char text[256] = "";
    struct mg_error_data error = {.code = NULL, .text = text, .text_buffer_size = sizeof(text)};
    unsigned code = 0;
    error.code = &code;
    address_parse(address, &parsed); /* checked with the settings */
    server->gateway = gateway;
    http_clients_init(&server->clients, (uint32_t)threads, parsed.port);
    struct mg_context *context = mg_start2(&init, &error);
    server->context = context;
    if (context == NULL) {
        log_error(HTTP_SERVERS_LOG, "cannot listen on %s: %s", address, text);
        return false;
    }
    mg_set_request_handler(context, "/", http_servers_handle_not_found, gateway);
    mg_set_request_handler(context, "/healthz", healthz_handle, gateway);
    mg_set_request_handler(context, "/readyz", readyz_handle, gateway);
    mg_set_request_handler(context, "/metrics", metrics_handle, gateway);
    return worker_start(&server->reliever, HTTP_CLIENTS_PERIOD_MS, http_server_relieve, server);
}

bool http_servers_start(struct http_servers *servers, struct gateway *gateway)
{
    const struct settings *settings = gateway->settings;
    memset(servers, 0, sizeof(*servers));
    if (!http_server_start(&servers->operators, settings->operator_address, settings->operator_threads, gateway)) {
        http_servers_stop(servers);
        return false;
    }
    mg_set_request_handler(servers->operators.context, "/bankbank.v1.OperatorService", operator_handle, gateway);
    if (!settings->gateway_role) {
        return true;
    }
    if (!http_server_start(&servers->callers, settings->caller_address, settings->threads, gateway)) {
        http_servers_stop(servers);
        return false;
    }
    struct mg_context *callers = servers->callers.context;
    mg_set_request_handler(callers, "/v1/chat/completions", chat_handle, gateway);
    mg_set_request_handler(callers, "/v1/programs", programs_handle, gateway);
    mg_set_request_handler(callers, "/v1/models", models_handle, gateway);
    mg_set_request_handler(callers, "/services", services_handle, gateway);
    return true;
}

static void *http_server_stop(void *argument)
{
    struct http_server *server = argument;
    worker_stop(&server->reliever);
    if (server->context != NULL) {
        mg_stop(server->context);
        http_clients_close(&server->clients);
    }
    return NULL;
}

/* mg_stop() may wait up to two seconds for CivetWeb to poll its stop flag, so both servers are stopped in parallel. */
void http_servers_stop(struct http_servers *servers)
{
    pthread_t thread;
    bool in_background =
        servers->operators.context != NULL && pthread_create(&thread, NULL, http_server_stop, &servers->operators) == 0;
    http_server_stop(&servers->callers);
    if (in_background) {
        pthread_join(thread, NULL);
    } else {
        http_server_stop(&servers->operators);
    }
    memset(servers, 0, sizeof(*servers));
}
