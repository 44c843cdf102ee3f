#include "emulator/emulator.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/http.h"
#include "net/json_input.h"

enum { EMULATOR_MAX_BODY_BYTES = 64 << 20, EMULATOR_NUMBER_SIZE = 16 };

json_t *emulator_read_json(struct mg_connection *connection)
{
    struct buffer body = {0};
    json_t *root = NULL;
    if (http_read_body(connection, EMULATOR_MAX_BODY_BYTES, NULL, &body) == HTTP_BODY_OK) {
        root = json_input_parse(buffer_view(&body), NULL);
    }
    buffer_close(&body);
    if (!json_is_object(root)) {
        json_decref(root);
        emulator_send_error(connection, 400, "the body must be a JSON object");
        return NULL;
    }
    return root;
}

void emulator_send_json(struct mg_connection *connection, int status, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    http_send(connection, status, "application/json", NULL, view_of_string(text));
    free(text);
    json_decref(body);
}

void emulator_send_error(struct mg_connection *connection, int status, const char *message)
{
    emulator_send_json(connection, status, json_pack("{s:{s:s}}", "error", "message", message));
}

bool emulator_parse_path(const char *path, const char *prefix, uint32_t count, uint32_t *number, const char **rest)
{
    size_t length = strlen(prefix);
    if (strncmp(path, prefix, length) != 0 || path[length] < '0' || path[length] > '9') {
        return false;
    }
    char *end = NULL;
    unsigned long value = strtoul(path + length, &end, 10);
    *number = (uint32_t)value;
    *rest = end;
    return value < count;
}

static void emulator_free_lists(struct emulator *emulator)
{
    struct old_program *program;
    struct old_program *next_program;
    HASH_ITER(hh, emulator->old_programs, program, next_program)
    {
        HASH_DEL(emulator->old_programs, program);
        json_decref(program->export);
        free(program->id);
        free(program);
    }
    struct machine *machine;
    struct machine *next_machine;
    HASH_ITER(hh, emulator->machines, machine, next_machine)
    {
        HASH_DEL(emulator->machines, machine);
        free(machine->address);
        free(machine->state);
        free(machine);
    }
    for (uint32_t i = 0; i < emulator->config.backend_count; i++) {
        struct backend_run *run;
        struct backend_run *next_run;
        HASH_ITER(hh, emulator->backends[i].runs, run, next_run)
        {
            HASH_DEL(emulator->backends[i].runs, run);
            free(run->key);
            free(run);
        }
    }
}

static bool emulator_start_server(struct emulator *emulator)
{
    char threads[EMULATOR_NUMBER_SIZE];
    snprintf(threads, sizeof(threads), "%u", emulator->config.threads);
    const char *options[] = {"listening_ports",
                             emulator->config.listen,
                             "num_threads",
                             threads,
                             "enable_keep_alive",
                             "yes",
                             "keep_alive_timeout_ms",
                             "30000",
                             "tcp_nodelay",
                             "1",
                             "listen_backlog",
                             "1024",
                             "connection_queue",
                             "1024",
                             NULL};
    struct mg_callbacks callbacks;
    memset(&callbacks, 0, sizeof(callbacks));
    callbacks.log_message = http_on_server_log;
    emulator->server = mg_start(&callbacks, emulator, options);
    if (emulator->server == NULL) {
        return false;
    }
    struct mg_server_port port;
    memset(&port, 0, sizeof(port));
    if (mg_get_server_ports(emulator->server, 1, &port) == 1) {
        emulator->port = port.port;
    }
    mg_set_request_handler(emulator->server, "/engines", engine_api_handle, emulator);
    mg_set_request_handler(emulator->server, "/backends", backend_api_handle, emulator);
    mg_set_request_handler(emulator->server, "/machines", machines_api_handle, emulator);
    mg_set_request_handler(emulator->server, "/old-site", old_site_api_handle, emulator);
    mg_set_request_handler(emulator->server, "/control", control_api_handle, emulator);
    return true;
}

bool emulator_start(struct emulator *emulator, const struct emulator_config *config)
{
    memset(emulator, 0, sizeof(*emulator));
    emulator->config = *config;
    pthread_mutex_init(&emulator->lock, NULL);
    emulator->engines = memory_new(config->engine_count * sizeof(*emulator->engines));
    emulator->backends = memory_new(config->backend_count * sizeof(*emulator->backends));
    for (uint32_t i = 0; i < config->backend_count; i++) {
        emulator->backends[i].delay_us = config->backend_delay_us;
    }
    for (uint32_t i = 0; i < config->engine_count; i++) {
        if (!engine_start(&emulator->engines[i], &config->engine)) {
            return false;
        }
    }
    return emulator_start_server(emulator);
}

void emulator_stop(struct emulator *emulator)
{
    for (uint32_t i = 0; i < emulator->config.engine_count; i++) {
        pthread_mutex_lock(&emulator->engines[i].lock);
        emulator->engines[i].stopping = true;
        for (struct engine_sequence *s = emulator->engines[i].sequences; s != NULL; s = s->next) {
            pthread_cond_signal(&s->progressed);
        }
        pthread_mutex_unlock(&emulator->engines[i].lock);
    }
    if (emulator->server != NULL) {
        mg_stop(emulator->server);
    }
    for (uint32_t i = 0; i < emulator->config.engine_count; i++) {
        engine_stop(&emulator->engines[i]);
    }
    emulator_free_lists(emulator);
    free(emulator->engines);
    free(emulator->backends);
    pthread_mutex_destroy(&emulator->lock);
}
