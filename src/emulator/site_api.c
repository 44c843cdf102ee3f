/* HTTP interfaces of the plain back ends, the machine list and the old site, and the emulator's control interface. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/clock.h"
#include "emulator/emulator.h"
#include "net/http.h"

enum {
    API_HANDLED = 200, /* return value of handlers, which have sent the response: CivetWeb only logs it */
    API_MAX_BODY_BYTES = 16 << 20
};

/* ---- Plain back ends --------------------------------------------------------------- */

static uint64_t backend_record_run(struct emulator *emulator, struct backend *backend, const char *key)
{
    uint64_t count = 1;
    pthread_mutex_lock(&emulator->lock);
    backend->requests++;
    if (key != NULL) {
        struct backend_run *run = NULL;
        HASH_FIND_STR(backend->runs, key, run);
        if (run == NULL) {
            run = memory_new(sizeof(*run));
            run->key = text_copy(key);
            HASH_ADD_KEYPTR(hh, backend->runs, run->key, strlen(run->key), run);
        }
        count = ++run->count;
    }
    pthread_mutex_unlock(&emulator->lock);
    return count;
}

int backend_api_handle(struct mg_connection *connection, void *context)
{
    struct emulator *emulator = context;
    const struct mg_request_info *info = mg_get_request_info(connection);
    uint32_t number = 0;
    const char *rest = NULL;
    if (!emulator_parse_path(info->local_uri, "/backends/", emulator->config.backend_count, &number, &rest)) {
        emulator_send_error(connection, 404, "no such back end");
        return API_HANDLED;
    }
    struct backend *backend = &emulator->backends[number];
    if (backend->dead) {
        mg_disable_connection_keep_alive(connection);
        return API_HANDLED;
    }
    if (backend->draining) {
        http_send(connection, 503, "application/json", "X-Draining: true\r\n",
                  view_of_string("{\"error\":{\"message\":\"draining\"}}"));
        return API_HANDLED;
    }
    struct buffer body = {0};
    if (info->content_length > 0) {
        http_read_body(connection, API_MAX_BODY_BYTES, NULL, &body);
    }
    uint64_t run = backend_record_run(emulator, backend, mg_get_header(connection, "X-Request-Key"));
    clock_sleep_us(backend->delay_us);
    char hash[32];
    snprintf(hash, sizeof(hash), "%016llx", (unsigned long long)XXH64(body.data, body.length, 0));
    emulator_send_json(connection, 200,
                       json_pack("{s:i,s:s,s:s,s:s,s:I}", "backend", (int)number, "method", info->request_method,
                                 "path", rest, "body_hash", hash, "run", (json_int_t)run));
    buffer_close(&body);
    return API_HANDLED;
}

/* ---- Machine list -------------------------------------------------------------------- */

static void machines_set(struct emulator *emulator, const char *address, const char *state)
{
    struct machine *machine = NULL;
    pthread_mutex_lock(&emulator->lock);
    HASH_FIND_STR(emulator->machines, address, machine);
    if (machine == NULL) {
        machine = memory_new(sizeof(*machine));
        machine->address = text_copy(address);
        HASH_ADD_KEYPTR(hh, emulator->machines, machine->address, strlen(machine->address), machine);
    }
    free(machine->state);
    machine->state = text_copy(state);
    pthread_mutex_unlock(&emulator->lock);
}

int machines_api_handle(struct mg_connection *connection, void *context)
{
    struct emulator *emulator = context;
    json_t *list = json_array();
    pthread_mutex_lock(&emulator->lock);
    for (struct machine *machine = emulator->machines; machine != NULL; machine = machine->hh.next) {
        json_array_append_new(list, json_pack("{s:s,s:s}", "address", machine->address, "state", machine->state));
    }
    pthread_mutex_unlock(&emulator->lock);
    emulator_send_json(connection, 200, json_pack("{s:o}", "machines", list));
    return API_HANDLED;
}

/* ---- Old site -------------------------------------------------------------------------- */

/* Call with the lock held. */
static struct old_program *old_site_find(struct emulator *emulator, const char *id)
{
    struct old_program *program = NULL;
    HASH_FIND_STR(emulator->old_programs, id, program);
    return program;
}

/* Adds a program or replaces its state. Call with the lock held. */
static void old_site_add(struct emulator *emulator, json_t *export)
{
    const char *id = text_or_empty(json_string_value(json_object_get(export, "program_id")));
    struct old_program *program = old_site_find(emulator, id);
    if (program == NULL) {
        program = memory_new(sizeof(*program));
        program->id = text_copy(id);
        HASH_ADD_KEYPTR(hh, emulator->old_programs, program->id, strlen(program->id), program);
    }
    json_decref(program->export);
    program->export = json_incref(export);
    program->epoch = 0;
    program->committed = false;
}

/* Runs prepare, commit or abort; returns the HTTP status, and sets `answer` if it is 200. Call with the lock held. */
static int old_site_run_step(struct emulator *emulator, const char *id, const char *step, uint64_t epoch,
                             json_t **answer)
{
    struct old_program *program = old_site_find(emulator, id);
    if (program == NULL) {
        return 404;
    }
    if (strcmp(step, "prepare") == 0) {
        bool repeated = program->committed && epoch == program->epoch;
        if (!repeated && (program->committed || epoch < program->epoch)) {
            return 409;
        }
        program->epoch = epoch;
        *answer = json_deep_copy(program->export);
        return 200;
    }
    if (epoch != program->epoch) {
        return 409;
    }
    if (strcmp(step, "commit") == 0) {
        program->committed = true;
    } else if (strcmp(step, "abort") != 0 || program->committed) {
        return 409;
    } else {
        program->epoch = 0;
    }
    *answer = json_pack("{s:s,s:b}", "program_id", id, "committed", program->committed);
    return 200;
}

int old_site_api_handle(struct mg_connection *connection, void *context)
{
    static const char prefix[] = "/old-site/programs";
    struct emulator *emulator = context;
    const struct mg_request_info *info = mg_get_request_info(connection);
    if (strncmp(info->local_uri, prefix, sizeof(prefix) - 1) != 0) {
        emulator_send_error(connection, 404, "no such path");
        return API_HANDLED;
    }
    json_t *body = emulator_read_json(connection);
    if (body == NULL) {
        return API_HANDLED;
    }
    const char *rest = info->local_uri + sizeof(prefix) - 1;
    json_t *answer = NULL;
    int status = 404;
    pthread_mutex_lock(&emulator->lock);
    if (rest[0] == '\0') {
        old_site_add(emulator, body);
        answer = json_pack("{s:b}", "added", 1);
        status = 200;
    } else {
        char *id = text_copy(rest + 1);
        char *slash = strchr(id, '/');
        uint64_t epoch = (uint64_t)json_integer_value(json_object_get(body, "epoch"));
        if (slash != NULL) {
            *slash = '\0';
            status = old_site_run_step(emulator, id, slash + 1, epoch, &answer);
        }
        free(id);
    }
    pthread_mutex_unlock(&emulator->lock);
    json_decref(body);
    if (answer != NULL) {
        emulator_send_json(connection, status, answer);
    } else {
        emulator_send_error(connection, status, "the step is not possible");
    }
    return API_HANDLED;
}

/* ---- Control ------------------------------------------------------------------------------ */

static bool control_parse_fault(const char *name, enum engine_fault *fault)
{
    static const char *const names[] = {"none", "die", "hang", "slow", "cut", "late", "crossed", "refuse", "cut-head"};
    for (size_t i = 0; name != NULL && i < sizeof(names) / sizeof(names[0]); i++) {
        if (strcmp(names[i], name) == 0) {
            *fault = (enum engine_fault)i;
            return true;
        }
    }
    return false;
}

static void control_set_fault(struct emulator *emulator, struct mg_connection *connection, const json_t *body)
{
    json_int_t number = json_integer_value(json_object_get(body, "engine"));
    enum engine_fault fault;
    bool valid = number >= 0 && (uint32_t)number < emulator->config.engine_count &&
                 control_parse_fault(json_string_value(json_object_get(body, "fault")), &fault);
    if (!valid) {
        emulator_send_error(connection, 400, "engine or fault is not known");
        return;
    }
    engine_set_fault(&emulator->engines[number], fault, (uint64_t)json_integer_value(json_object_get(body, "amount")),
                     (uint64_t)json_integer_value(json_object_get(body, "count")));
    emulator_send_json(connection, 200, json_pack("{s:b}", "set", 1));
}

static void control_set_backend(struct emulator *emulator, struct mg_connection *connection, const json_t *body)
{
    json_int_t number = json_integer_value(json_object_get(body, "backend"));
    if (number < 0 || (uint32_t)number >= emulator->config.backend_count) {
        emulator_send_error(connection, 400, "no such back end");
        return;
    }
    emulator->backends[number].draining = json_is_true(json_object_get(body, "draining"));
    emulator->backends[number].dead = json_is_true(json_object_get(body, "dead"));
    emulator_send_json(connection, 200, json_pack("{s:b}", "set", 1));
}

static json_t *control_engine_stats(struct engine *engine)
{
    pthread_mutex_lock(&engine->lock);
    const struct engine_counters *counters = &engine->counters;
    json_t *stats = json_pack(
        "{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:i}", "requests", (json_int_t)counters->requests, "finished",
        (json_int_t)counters->finished, "cancelled", (json_int_t)counters->cancelled, "prompt_tokens",
        (json_int_t)counters->prompt_tokens, "cached_tokens", (json_int_t)counters->cached_tokens, "completion_tokens",
        (json_int_t)counters->completion_tokens, "held_tokens", (json_int_t)engine->cache.tokens, "evicted_tokens",
        (json_int_t)engine->cache.evicted_tokens, "running", (int)engine->running);
    pthread_mutex_unlock(&engine->lock);
    return stats;
}

static void control_send_stats(struct emulator *emulator, struct mg_connection *connection)
{
    json_t *engines = json_array();
    json_t *backends = json_array();
    for (uint32_t i = 0; i < emulator->config.engine_count; i++) {
        json_array_append_new(engines, control_engine_stats(&emulator->engines[i]));
    }
    pthread_mutex_lock(&emulator->lock);
    for (uint32_t i = 0; i < emulator->config.backend_count; i++) {
        uint64_t most = 0;
        for (struct backend_run *run = emulator->backends[i].runs; run != NULL; run = run->hh.next) {
            most = run->count > most ? run->count : most;
        }
        json_array_append_new(backends, json_pack("{s:I,s:I}", "requests", (json_int_t)emulator->backends[i].requests,
                                                  "most_runs_of_a_key", (json_int_t)most));
    }
    pthread_mutex_unlock(&emulator->lock);
    emulator_send_json(connection, 200, json_pack("{s:o,s:o}", "engines", engines, "backends", backends));
}

int control_api_handle(struct mg_connection *connection, void *context)
{
    struct emulator *emulator = context;
    const char *path = mg_get_request_info(connection)->local_uri;
    if (strcmp(path, "/control/stats") == 0) {
        control_send_stats(emulator, connection);
        return API_HANDLED;
    }
    json_t *body = emulator_read_json(connection);
    if (body == NULL) {
        return API_HANDLED;
    }
    const char *address = json_string_value(json_object_get(body, "address"));
    const char *state = json_string_value(json_object_get(body, "state"));
    if (strcmp(path, "/control/fault") == 0) {
        control_set_fault(emulator, connection, body);
    } else if (strcmp(path, "/control/backend") == 0) {
        control_set_backend(emulator, connection, body);
    } else if (strcmp(path, "/control/machine") == 0 && address != NULL && state != NULL) {
        machines_set(emulator, address, state);
        emulator_send_json(connection, 200, json_pack("{s:b}", "set", 1));
    } else {
        emulator_send_error(connection, 404, "no such control");
    }
    json_decref(body);
    return API_HANDLED;
}
