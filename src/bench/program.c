/* Programs of several turns, and plain requests. */
#include <inttypes.h>
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "bench/bench.h"
#include "net/http_client.h"
#include "net/json_input.h"

enum { PROGRAM_CREATE_TRIES = 20, PROGRAM_RETRY_MS = 100, PROGRAM_CONNECT_TIMEOUT_MS = 1000 };

uint64_t bench_random(uint64_t *state)
{
    *state += 0x9e3779b97f4a7c15U;
    uint64_t value = *state;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31);
}

double bench_uniform(uint64_t *state)
{
    return ((double)(bench_random(state) >> 11) + 0.5) / 9007199254740992.0;
}

double bench_exponential(uint64_t *state, double mean)
{
    return -mean * log(bench_uniform(state));
}

static bool program_append(void *context, int status, struct view data)
{
    (void)status;
    buffer_append(context, data.data, data.length);
    return true;
}

/* One request to a daemon; returns the HTTP status, 0 if there was no answer. */
static int program_request(const struct bench_config *config, uint32_t target, const char *method, const char *path,
                           struct view body, struct buffer *answer)
{
    struct buffer url = {0};
    int status = 0;
    buffer_printf(&url, "%s%s", config->gateways[target % config->gateway_count], path);
    struct http_request request = {
        .method = method,
        .url = buffer_text(&url),
        .body = body,
        .timeout_ms = config->timeout_ms,
        .connect_timeout_ms = PROGRAM_CONNECT_TIMEOUT_MS,
        .context = answer,
        .on_data = program_append,
    };
    if (http_client_run(&request, &status) != HTTP_TRANSFER_DONE) {
        status = 0;
    }
    buffer_close(&url);
    return status;
}

static bool program_create(struct bench_program *program, const char *parent)
{
    const struct bench_config *config = &program->bench->config;
    json_t *fields = json_pack("{s:s}", "policy", config->policy);
    if (parent != NULL) {
        json_object_set_new(fields, "parent", json_string(parent));
    }
    char *body = json_dumps(fields, JSON_COMPACT);
    bool created = false;
    uint64_t started_us = clock_monotonic_us();
    for (uint32_t attempt = 0; attempt < PROGRAM_CREATE_TRIES && !created; attempt++) {
        struct buffer answer = {0};
        int status =
            program_request(config, program->number + attempt, "POST", "/v1/programs", view_of_string(body), &answer);
        json_t *reply = json_input_parse(buffer_view(&answer), NULL);
        const char *id = json_string_value(json_object_get(reply, "id"));
        created = status / 100 == 2 && id != NULL;
        if (created) {
            snprintf(program->id, sizeof(program->id), "%s", id);
        } else {
            clock_sleep_us((uint64_t)PROGRAM_RETRY_MS * 1000U);
        }
        json_decref(reply);
        buffer_close(&answer);
    }
    if (created) {
        samples_add(&program->side->create, (double)(clock_monotonic_us() - started_us) / 1000.0);
    }
    free(body);
    json_decref(fields);
    return created;
}

static void program_end(const struct bench_program *program)
{
    struct buffer path = {0};
    struct buffer answer = {0};
    buffer_printf(&path, "/v1/programs/%s", program->id);
    program_request(&program->bench->config, program->number, "DELETE", buffer_text(&path), (struct view){0}, &answer);
    buffer_close(&answer);
    buffer_close(&path);
}

static bool program_run_child(struct bench_program *program)
{
    struct bench_program child = {.bench = program->bench,
                                  .side = program->side,
                                  .seed = bench_random(&program->seed),
                                  .number = program->number};
    bool finished = bench_program_run(&child, program->id);
    program->served_ms += child.served_ms;
    return finished;
}

static bool program_run_turns(struct bench_program *program, bool is_child)
{
    const struct bench_mix *mix = &program->bench->config.mix;
    uint32_t turns = 1;
    double mean = is_child ? mix->turns / 2 : mix->turns;
    while (turns < program->bench->config.max_turns && bench_uniform(&program->seed) > 1.0 / fmax(mean, 1.0)) {
        turns++;
    }
    for (uint32_t turn = 0; turn < turns; turn++) {
        if (turn > 0) {
            clock_sleep_us((uint64_t)(bench_exponential(&program->seed, mix->pause_ms) * 1000.0));
        }
        if (!bench_turn(program)) {
            return false;
        }
        bool spawns = !is_child && bench_uniform(&program->seed) < mix->sub_programs;
        if (spawns && !program_run_child(program)) {
            return false;
        }
    }
    return true;
}

bool bench_program_run(struct bench_program *program, const char *parent)
{
    bool direct = program->side == &program->bench->sides[BENCH_DIRECT];
    program->call = 1;
    bool finished = (direct || program_create(program, parent)) && program_run_turns(program, parent != NULL);
    if (!direct && !program->bench->config.keep && program->id[0] != '\0') {
        program_end(program);
    }
    buffer_close(&program->history);
    return finished;
}

void bench_plain_run(struct bench *bench, uint64_t seed)
{
    struct buffer path = {0};
    struct buffer body = {0};
    struct buffer answer = {0};
    buffer_printf(&path, "/services/%s/ping", bench->config.service);
    buffer_printf(&body, "%016" PRIx64, seed);
    uint64_t started_us = clock_monotonic_us();
    int status =
        program_request(&bench->config, (uint32_t)seed, "POST", buffer_text(&path), buffer_view(&body), &answer);
    samples_add(&bench->plain, (double)(clock_monotonic_us() - started_us) / 1000.0);
    if (status != 200) {
        __atomic_fetch_add(&bench->plain_failed, 1, __ATOMIC_RELAXED);
    }
    buffer_close(&answer);
    buffer_close(&body);
    buffer_close(&path);
}
