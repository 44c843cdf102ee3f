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

enum { PROGRAM_CREATE_MAX_ATTEMPTS = 20, PROGRAM_RETRY_MS = 100, PROGRAM_CONNECT_TIMEOUT_MS = 1000 };

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

static bool program_append_body(void *context, int status, struct view data)
{
    (void)status;
    buffer_append(context, data.data, data.length);
    return true;
}

/* Returns the HTTP status, 0 if there was no complete response. */
static int program_request(const struct bench_config *config, uint32_t target, const char *method, const char *path,
                           struct view body, struct buffer *response)
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
        .context = response,
        .on_data = program_append_body,
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
    for (uint32_t attempt = 0; attempt < PROGRAM_CREATE_MAX_ATTEMPTS && !created; attempt++) {
        struct buffer response = {0};
        int status =
            program_request(config, program->number + attempt, "POST", "/v1/programs", view_of_string(body), &response);
        json_t *reply = json_input_parse(buffer_view(&response), NULL);
        const char *id = json_string_value(json_object_get(reply, "id"));
        created = status / 100 == 2 && id != NULL;
        if (created) {
            snprintf(program->id, sizeof(program->id), "%s", id);
        } else {
            clock_sleep_us((uint64_t)PROGRAM_RETRY_MS * 1000U);
        }
        json_decref(reply);
        buffer_close(&response);
    }
    if (created) {
        samples_add(&program->results->create, (double)(clock_monotonic_us() - started_us) / 1000.0);
    }
    free(body);
    json_decref(fields);
    return created;
}

static void program_delete(const struct bench_program *program)
{
    struct buffer path = {0};
    struct buffer response = {0};
    buffer_printf(&path, "/v1/programs/%s", program->id);
    program_request(&program->bench->config, program->number, "DELETE", buffer_text(&path), (struct view){0},
                    &response);
    buffer_close(&response);
    buffer_close(&path);
}

static bool program_run_sub_program(struct bench_program *program)
{
    struct bench_program sub_program = {.bench = program->bench,
                                        .results = program->results,
                                        .seed = bench_random(&program->seed),
                                        .number = program->number};
    bool finished = bench_program_run(&sub_program, program->id);
    program->turn_time_ms += sub_program.turn_time_ms;
    return finished;
}

static bool program_run_turns(struct bench_program *program, bool is_sub_program)
{
    const struct bench_mix *mix = &program->bench->config.mix;
    uint32_t turns = 1;
    double mean = is_sub_program ? mix->mean_turns / 2 : mix->mean_turns;
    while (turns < program->bench->config.max_turns && bench_uniform(&program->seed) > 1.0 / fmax(mean, 1.0)) {
        turns++;
    }
    for (uint32_t turn = 0; turn < turns; turn++) {
        if (turn > 0) {
            clock_sleep_us((uint64_t)(bench_exponential(&program->seed, mix->mean_pause_ms) * 1000.0));
        }
        if (!bench_turn(program)) {
            return false;
        }
        bool spawns = !is_sub_program && bench_uniform(&program->seed) < mix->sub_program_probability;
        if (spawns && !program_run_sub_program(program)) {
            return false;
        }
    }
    return true;
}

bool bench_program_run(struct bench_program *program, const char *parent)
{
    bool direct = program->results == &program->bench->results[BENCH_DIRECT];
    program->next_call = 1;
    bool finished = (direct || program_create(program, parent)) && program_run_turns(program, parent != NULL);
    if (!direct && !program->bench->config.keep_programs && program->id[0] != '\0') {
        program_delete(program);
    }
    buffer_close(&program->history);
    return finished;
}

void bench_send_plain_request(struct bench *bench, uint64_t seed)
{
    struct buffer path = {0};
    struct buffer body = {0};
    struct buffer response = {0};
    buffer_printf(&path, "/services/%s/ping", bench->config.service);
    buffer_printf(&body, "%016" PRIx64, seed);
    uint64_t started_us = clock_monotonic_us();
    int status =
        program_request(&bench->config, (uint32_t)seed, "POST", buffer_text(&path), buffer_view(&body), &response);
    samples_add(&bench->plain, (double)(clock_monotonic_us() - started_us) / 1000.0);
    if (status != 200) {
        __atomic_fetch_add(&bench->plain_failed, 1, __ATOMIC_RELAXED);
    }
    buffer_close(&response);
    buffer_close(&body);
    buffer_close(&path);
}
