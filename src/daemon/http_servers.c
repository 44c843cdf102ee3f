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
#include "net/http_framing.h"

enum {
    HTTP_SERVERS_NUMBER_SIZE = 24,
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

static struct mg_context *http_servers_listen(const char *address, uint64_t threads, struct gateway *gateway)
{
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
    callbacks.begin_request = http_framing_check_request;
    callbacks.http_error = http_on_server_error;
    callbacks.log_message = http_on_server_log;
    struct mg_init_data init = {.callbacks = &callbacks, .user_data = gateway, .configuration_options = options};
    char text[256] = "";
    struct mg_error_data error = {.code = NULL, .text = text, .text_buffer_size = sizeof(text)};
    unsigned code = 0;
    error.code = &code;
    struct mg_context *context = mg_start2(&init, &error);
    if (context == NULL) {
        log_error(HTTP_SERVERS_LOG, "cannot listen on %s: %s", address, text);
        return NULL;
    }
    mg_set_request_handler(context, "/", http_servers_handle_not_found, gateway);
    mg_set_request_handler(context, "/healthz", healthz_handle, gateway);
    mg_set_request_handler(context, "/readyz", readyz_handle, gateway);
    mg_set_request_handler(context, "/metrics", metrics_handle, gateway);
    return context;
}

bool http_servers_start(struct http_servers *servers, struct gateway *gateway)
{
    const struct settings *settings = gateway->settings;
    memset(servers, 0, sizeof(*servers));
    servers->operators = http_servers_listen(settings->operator_address, settings->operator_threads, gateway);
    if (servers->operators == NULL) {
        return false;
    }
    mg_set_request_handler(servers->operators, "/bankbank.v1.OperatorService", operator_handle, gateway);
    if (!settings->gateway_role) {
        return true;
    }
    servers->callers = http_servers_listen(settings->caller_address, settings->threads, gateway);
    if (servers->callers == NULL) {
        http_servers_stop(servers);
        return false;
    }
    mg_set_request_handler(servers->callers, "/v1/chat/completions", chat_handle, gateway);
    mg_set_request_handler(servers->callers, "/v1/programs", programs_handle, gateway);
    mg_set_request_handler(servers->callers, "/v1/models", models_handle, gateway);
    mg_set_request_handler(servers->callers, "/services", services_handle, gateway);
    return true;
}

static void *http_servers_stop_operators(void *context)
{
    mg_stop(context);
    return NULL;
}

/* mg_stop() may wait up to two seconds for CivetWeb to poll its stop flag, so both servers are stopped in parallel. */
void http_servers_stop(struct http_servers *servers)
{
    pthread_t thread;
    bool in_background = servers->operators != NULL &&
                         pthread_create(&thread, NULL, http_servers_stop_operators, servers->operators) == 0;
    if (servers->callers != NULL) {
        mg_stop(servers->callers);
    }
    if (in_background) {
        pthread_join(thread, NULL);
    } else if (servers->operators != NULL) {
        mg_stop(servers->operators);
    }
    memset(servers, 0, sizeof(*servers));
}
