#include "daemon/server.h"

#include <inttypes.h>
#include <stdio.h>
#include <pthread.h>
#include <string.h>

#include "base/log.h"
#include "daemon/chat.h"
#include "daemon/metrics.h"
#include "daemon/operator.h"
#include "daemon/programs.h"
#include "daemon/services.h"
#include "net/http_framing.h"

enum { SERVER_NUMBER_MAX = 24 };

static const char SERVER_LOG[] = "server";

static int server_handle_unknown(struct mg_connection *connection, void *context)
{
    struct http_error error = {404, "not_found", RUN_STATE_NOT_RUN, 0};
    (void)context;
    http_send_error(connection, &error, "there is nothing at this path");
    return error.status;
}

static struct mg_context *server_start_one(const char *address, uint64_t threads, struct gateway *gateway)
{
    char thread_text[SERVER_NUMBER_MAX];
    snprintf(thread_text, sizeof(thread_text), "%" PRIu64, threads);
    const char *options[] = {
        "listening_ports",
        address,
        "num_threads",
        thread_text,
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
        "512",
        "max_request_size",
        "32768",
        "enable_directory_listing",
        "no",
        NULL,
    };
    struct mg_callbacks callbacks;
    memset(&callbacks, 0, sizeof(callbacks));
    callbacks.begin_request = http_framing_begin;
    callbacks.http_error = http_on_server_error;
    callbacks.log_message = http_on_server_log;
    struct mg_init_data init = {.callbacks = &callbacks, .user_data = gateway, .configuration_options = options};
    char text[256] = "";
    struct mg_error_data error = {.code = NULL, .text = text, .text_buffer_size = sizeof(text)};
    unsigned code = 0;
    error.code = &code;
    struct mg_context *context = mg_start2(&init, &error);
    if (context == NULL) {
        log_error(SERVER_LOG, "cannot listen on %s: %s", address, text);
        return NULL;
    }
    mg_set_request_handler(context, "/", server_handle_unknown, gateway);
    mg_set_request_handler(context, "/healthz", healthz_handle, gateway);
    mg_set_request_handler(context, "/readyz", readyz_handle, gateway);
    mg_set_request_handler(context, "/metrics", metrics_handle, gateway);
    return context;
}

bool server_start(struct server *server, struct gateway *gateway)
{
    const struct settings *settings = gateway->settings;
    memset(server, 0, sizeof(*server));
    server->operators = server_start_one(settings->operator_address, settings->operator_threads, gateway);
    if (server->operators == NULL) {
        return false;
    }
    mg_set_request_handler(server->operators, "/bankbank.v1.OperatorService", operator_handle, gateway);
    if (!settings->gateway_role) {
        return true;
    }
    server->callers = server_start_one(settings->caller_address, settings->threads, gateway);
    if (server->callers == NULL) {
        server_stop(server);
        return false;
    }
    mg_set_request_handler(server->callers, "/v1/chat/completions", chat_handle, gateway);
    mg_set_request_handler(server->callers, "/v1/programs", programs_handle, gateway);
    mg_set_request_handler(server->callers, "/v1/models", models_handle, gateway);
    mg_set_request_handler(server->callers, "/services", services_handle, gateway);
    return true;
}

static void *server_stop_operators(void *context)
{
    mg_stop(context);
    return NULL;
}

/* CivetWeb looks for the stop each two seconds; both servers are stopped at once. */
void server_stop(struct server *server)
{
    pthread_t thread;
    bool beside =
        server->operators != NULL && pthread_create(&thread, NULL, server_stop_operators, server->operators) == 0;
    if (server->callers != NULL) {
        mg_stop(server->callers);
    }
    if (beside) {
        pthread_join(thread, NULL);
    } else if (server->operators != NULL) {
        mg_stop(server->operators);
    }
    memset(server, 0, sizeof(*server));
}
