/* One turn of a program: the call, its measurement and the check of its answer. */
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/clock.h"
#include "bench/bench.h"
#include "emulator/answer.h"
#include "net/http_client.h"
#include "net/sse.h"
#include "net/json_input.h"

enum { TURN_MAX_TRIES = 40, TURN_CONNECT_TIMEOUT_MS = 1000, TURN_RETRY_MS = 100, TURN_MIN_QUESTION = 16 };

/* A call under way. */
struct turn {
    struct bench_program *program;
    json_t *question;
    uint64_t started_us;
    uint64_t last_token_us;
    double first_token_ms;
    struct sse_parser parser;
    struct buffer answer;
    struct buffer error;
    uint64_t prompt_tokens;
    uint64_t completion_tokens;
    uint64_t cached_tokens;
    uint32_t retry_after_ms;
    bool not_run;
    bool done;
};

static void turn_note_token(struct turn *turn)
{
    uint64_t now_us = clock_monotonic_us();
    if (turn->last_token_us == 0) {
        turn->first_token_ms = (double)(now_us - turn->started_us) / 1000.0;
    } else {
        samples_add(&turn->program->side->between, (double)(now_us - turn->last_token_us) / 1000.0);
    }
    turn->last_token_us = now_us;
}

static void turn_read_usage(struct turn *turn, const json_t *usage)
{
    const json_t *details = json_object_get(usage, "prompt_tokens_details");
    if (json_is_object(usage)) {
        turn->prompt_tokens = (uint64_t)json_integer_value(json_object_get(usage, "prompt_tokens"));
        turn->completion_tokens = (uint64_t)json_integer_value(json_object_get(usage, "completion_tokens"));
        turn->cached_tokens = (uint64_t)json_integer_value(json_object_get(details, "cached_tokens"));
    }
}

static bool turn_on_event(void *context, struct view payload)
{
    struct turn *turn = context;
    if (payload.length == 6 && memcmp(payload.data, "[DONE]", 6) == 0) {
        turn->done = true;
        return true;
    }
    json_t *event = json_input_parse(payload, NULL);
    const json_t *choice = json_array_get(json_object_get(event, "choices"), 0);
    const char *content = json_string_value(json_object_get(json_object_get(choice, "delta"), "content"));
    if (content != NULL && content[0] != '\0') {
        turn_note_token(turn);
        buffer_append_text(&turn->answer, content);
    }
    turn_read_usage(turn, json_object_get(event, "usage"));
    json_decref(event);
    return true;
}

static bool turn_on_data(void *context, int status, struct view data)
{
    struct turn *turn = context;
    if (status == 200) {
        return sse_feed(&turn->parser, data, turn_on_event, turn);
    }
    buffer_append(&turn->error, data.data, data.length);
    return true;
}

static void turn_on_header(void *context, const char *name, const char *value)
{
    struct turn *turn = context;
    if (strcasecmp(name, "X-Run-State") == 0) {
        turn->not_run = strcmp(value, "not-run") == 0;
    } else if (strcasecmp(name, "Retry-After") == 0) {
        turn->retry_after_ms = (uint32_t)strtoul(value, NULL, 10) * 1000U;
    }
}

static bool turn_is_direct(const struct turn *turn)
{
    return turn->program->side == &turn->program->bench->sides[BENCH_DIRECT];
}

static void turn_build_body(const struct turn *turn, struct buffer *out)
{
    const struct bench_config *config = &turn->program->bench->config;
    char *question = json_dumps(turn->question, JSON_COMPACT);
    buffer_printf(out,
                  "{\"model\":\"%s\",\"stream\":true,\"stream_options\":{\"include_usage\":true},"
                  "\"max_tokens\":%" PRIu64 ",%s\"messages\":[",
                  config->model, config->mix.max_tokens, config->exact ? "\"ignore_eos\":true," : "");
    if (turn_is_direct(turn) && turn->program->history.length > 0) {
        buffer_append(out, turn->program->history.data, turn->program->history.length);
        buffer_append_text(out, ",");
    }
    buffer_append_text(out, question);
    buffer_append_text(out, "]}");
    free(question);
}

static void turn_send(struct turn *turn, uint32_t attempt, int *status, enum http_transfer_result *result)
{
    const struct bench_program *program = turn->program;
    const struct bench_config *config = &program->bench->config;
    struct buffer url = {0};
    struct buffer body = {0};
    const char *base = turn_is_direct(turn) ? config->engines[program->number % config->engine_count]
                                            : config->gateways[(program->number + attempt) % config->gateway_count];
    buffer_printf(&url, "%s/v1/chat/completions", base);
    turn_build_body(turn, &body);
    struct http_request request = {
        .method = "POST",
        .url = buffer_text(&url),
        .body = buffer_view(&body),
        .timeout_ms = config->timeout_ms,
        .connect_timeout_ms = TURN_CONNECT_TIMEOUT_MS,
        .context = turn,
        .on_data = turn_on_data,
        .on_header = turn_on_header,
    };
    http_request_header(&request, "Content-Type: application/json");
    if (turn_is_direct(turn)) {
        http_request_header(&request, "X-Request-Id: direct-%u-%u", program->number, program->call);
    } else {
        http_request_header(&request, "X-Program-Id: %s", program->id);
        http_request_header(&request, "X-Program-Call: %u", program->call);
    }
    *result = http_client_run(&request, status);
    http_request_close(&request);
    buffer_close(&url);
    buffer_close(&body);
}

static void turn_reset(struct turn *turn)
{
    sse_close(&turn->parser);
    buffer_clear(&turn->answer);
    buffer_clear(&turn->error);
    turn->last_token_us = 0;
    turn->not_run = false;
    turn->done = false;
    turn->retry_after_ms = 0;
}

/* Repeats the call, with the same number, until it is answered or refused for good. */
static bool turn_ask(struct turn *turn)
{
    struct bench_side *side = turn->program->side;
    for (uint32_t attempt = 0; attempt < TURN_MAX_TRIES; attempt++) {
        int status = 0;
        enum http_transfer_result result;
        turn_reset(turn);
        turn_send(turn, attempt, &status, &result);
        if (result == HTTP_TRANSFER_DONE && status == 200 && turn->done) {
            return true;
        }
        bool refused_for_good = status >= 400 && status < 500 && status != 429 && status != 409;
        if (refused_for_good) {
            fprintf(stderr, "a call was refused: %d %s\n", status, buffer_text(&turn->error));
            return false;
        }
        __atomic_fetch_add(turn->not_run ? &side->refused : &side->unknown, 1, __ATOMIC_RELAXED);
        uint32_t wait_ms = turn->retry_after_ms > 0 ? turn->retry_after_ms : TURN_RETRY_MS;
        clock_sleep_us((uint64_t)wait_ms * 1000U);
    }
    fprintf(stderr, "call %u of %s was given up: %s\n", turn->program->call, turn->program->id,
            buffer_text(&turn->error));
    return false;
}

static json_t *turn_make_question(struct bench_program *program)
{
    struct buffer text = {0};
    double wanted = bench_exponential(&program->seed, program->bench->config.mix.question_bytes) + TURN_MIN_QUESTION;
    while ((double)text.length < wanted) {
        buffer_printf(&text, "%016" PRIx64 " ", bench_random(&program->seed));
    }
    json_t *question = json_pack("{s:s,s:s}", "role", "user", "content", buffer_text(&text));
    buffer_close(&text);
    return question;
}

/* Whether the answer is the one to the whole conversation; extends the conversation. */
static bool turn_check(struct turn *turn)
{
    struct bench_program *program = turn->program;
    const struct bench_config *config = &program->bench->config;
    struct buffer expected = {0};
    program->hash = answer_chain(program->hash, turn->question);
    uint64_t length = answer_length(program->hash, config->mix.max_tokens, config->exact);
    for (uint64_t i = 0; i < length; i++) {
        answer_token(program->hash, i, &expected);
    }
    bool right = strcmp(buffer_text(&expected), buffer_text(&turn->answer)) == 0;
    json_t *answer = json_pack("{s:s,s:s}", "role", "assistant", "content", buffer_text(&turn->answer));
    program->hash = answer_chain(program->hash, answer);
    if (turn_is_direct(turn)) {
        char *question = json_dumps(turn->question, JSON_COMPACT);
        char *reply = json_dumps(answer, JSON_COMPACT);
        buffer_printf(&program->history, "%s%s,%s", program->history.length > 0 ? "," : "", question, reply);
        free(question);
        free(reply);
    }
    json_decref(answer);
    buffer_close(&expected);
    return right;
}

static void turn_record(struct turn *turn)
{
    struct bench_program *program = turn->program;
    struct bench_side *side = program->side;
    double turn_ms = (double)(clock_monotonic_us() - turn->started_us) / 1000.0;
    uint64_t cached = turn->cached_tokens < program->context_tokens ? turn->cached_tokens : program->context_tokens;
    samples_add(&side->first_token, turn->first_token_ms);
    samples_add(&side->turn, turn_ms);
    program->served_ms += turn_ms;
    __atomic_fetch_add(&side->turns, 1, __ATOMIC_RELAXED);
    __atomic_fetch_add(&side->prompt_tokens, turn->prompt_tokens, __ATOMIC_RELAXED);
    __atomic_fetch_add(&side->completion_tokens, turn->completion_tokens, __ATOMIC_RELAXED);
    __atomic_fetch_add(&side->reusable_tokens, program->context_tokens, __ATOMIC_RELAXED);
    __atomic_fetch_add(&side->wasted_tokens, program->context_tokens - cached, __ATOMIC_RELAXED);
    program->context_tokens = turn->prompt_tokens + turn->completion_tokens;
}

bool bench_turn(struct bench_program *program)
{
    struct turn turn = {.program = program, .question = turn_make_question(program)};
    turn.started_us = clock_monotonic_us();
    bool answered = turn_ask(&turn);
    if (answered) {
        turn_record(&turn);
        program->call++;
    }
    bool right = answered && turn_check(&turn);
    if (answered && !right) {
        __atomic_fetch_add(&program->side->wrong, 1, __ATOMIC_RELAXED);
    }
    json_decref(turn.question);
    sse_close(&turn.parser);
    buffer_close(&turn.answer);
    buffer_close(&turn.error);
    return right;
}
