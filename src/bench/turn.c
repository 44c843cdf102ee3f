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

enum { TURN_MAX_ATTEMPTS = 40, TURN_CONNECT_TIMEOUT_MS = 1000, TURN_RETRY_MS = 100, TURN_MIN_QUESTION_BYTES = 16 };

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

static void turn_record_token(struct turn *turn)
{
    uint64_t now_us = clock_monotonic_us();
    if (turn->last_token_us == 0) {
        turn->first_token_ms = (double)(now_us - turn->started_us) / 1000.0;
    } else {
        samples_add(&turn->program->results->inter_token, (double)(now_us - turn->last_token_us) / 1000.0);
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
        turn_record_token(turn);
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
    return turn->program->results == &turn->program->bench->results[BENCH_DIRECT];
}

static void turn_build_body(const struct turn *turn, struct buffer *out)
{
    const struct bench_config *config = &turn->program->bench->config;
    char *question = json_dumps(turn->question, JSON_COMPACT);
    buffer_printf(out,
                  "{\"model\":\"%s\",\"stream\":true,\"stream_options\":{\"include_usage\":true},"
                  "\"max_tokens\":%" PRIu64 ",%s\"messages\":[",
                  config->model, config->mix.max_tokens, config->exact_length ? "\"ignore_eos\":true," : "");
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
    const char *base_url = turn_is_direct(turn) ? config->engines[program->number % config->engine_count]
                                                : config->gateways[(program->number + attempt) % config->gateway_count];
    buffer_printf(&url, "%s/v1/chat/completions", base_url);
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
    http_request_add_header(&request, "Content-Type: application/json");
    if (turn_is_direct(turn)) {
        http_request_add_header(&request, "X-Request-Id: direct-%u-%u", program->number, program->next_call);
    } else {
        http_request_add_header(&request, "X-Program-Id: %s", program->id);
        http_request_add_header(&request, "X-Program-Call: %u", program->next_call);
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

/* All attempts use the same call number, so that the daemons do not run a call again. */
static bool turn_send_with_retries(struct turn *turn)
{
    struct bench_results *results = turn->program->results;
    for (uint32_t attempt = 0; attempt < TURN_MAX_ATTEMPTS; attempt++) {
        int status = 0;
        enum http_transfer_result result;
        turn_reset(turn);
        turn_send(turn, attempt, &status, &result);
        if (result == HTTP_TRANSFER_DONE && status == 200 && turn->done) {
            return true;
        }
        /* 409, for example for a call still in progress, and 429 are retried. */
        bool permanent =
            result == HTTP_TRANSFER_DONE && status >= 400 && status < 500 && status != 429 && status != 409;
        if (permanent) {
            fprintf(stderr, "call %u of program %s was rejected with status %d: %s\n", turn->program->next_call,
                    turn->program->id, status, buffer_text(&turn->error));
            return false;
        }
        __atomic_fetch_add(turn->not_run ? &results->refused : &results->unknown, 1, __ATOMIC_RELAXED);
        uint32_t wait_ms = turn->retry_after_ms > 0 ? turn->retry_after_ms : TURN_RETRY_MS;
        clock_sleep_us((uint64_t)wait_ms * 1000U);
    }
    fprintf(stderr, "call %u of program %s got no complete answer in %d attempts; last error: %s\n",
            turn->program->next_call, turn->program->id, TURN_MAX_ATTEMPTS, buffer_text(&turn->error));
    return false;
}

static json_t *turn_make_question(struct bench_program *program)
{
    struct buffer text = {0};
    double min_length =
        bench_exponential(&program->seed, program->bench->config.mix.mean_question_bytes) + TURN_MIN_QUESTION_BYTES;
    while ((double)text.length < min_length) {
        buffer_printf(&text, "%016" PRIx64 " ", bench_random(&program->seed));
    }
    json_t *question = json_pack("{s:s,s:s}", "role", "user", "content", buffer_text(&text));
    buffer_close(&text);
    return question;
}

/* Checks the answer against the whole conversation, then adds question and answer to it. */
static bool turn_check_answer(struct turn *turn)
{
    struct bench_program *program = turn->program;
    const struct bench_config *config = &program->bench->config;
    struct buffer expected = {0};
    program->conversation_hash = answer_extend_hash(program->conversation_hash, turn->question);
    uint64_t length = answer_length(program->conversation_hash, config->mix.max_tokens, config->exact_length);
    for (uint64_t i = 0; i < length; i++) {
        answer_token(program->conversation_hash, i, &expected);
    }
    bool correct = strcmp(buffer_text(&expected), buffer_text(&turn->answer)) == 0;
    json_t *answer = json_pack("{s:s,s:s}", "role", "assistant", "content", buffer_text(&turn->answer));
    program->conversation_hash = answer_extend_hash(program->conversation_hash, answer);
    if (turn_is_direct(turn)) {
        char *question = json_dumps(turn->question, JSON_COMPACT);
        char *reply = json_dumps(answer, JSON_COMPACT);
        buffer_printf(&program->history, "%s%s,%s", program->history.length > 0 ? "," : "", question, reply);
        free(question);
        free(reply);
    }
    json_decref(answer);
    buffer_close(&expected);
    return correct;
}

static void turn_record(struct turn *turn)
{
    struct bench_program *program = turn->program;
    struct bench_results *results = program->results;
    double turn_ms = (double)(clock_monotonic_us() - turn->started_us) / 1000.0;
    uint64_t cached = turn->cached_tokens < program->context_tokens ? turn->cached_tokens : program->context_tokens;
    samples_add(&results->first_token, turn->first_token_ms);
    samples_add(&results->turn, turn_ms);
    program->turn_time_ms += turn_ms;
    __atomic_fetch_add(&results->turns, 1, __ATOMIC_RELAXED);
    __atomic_fetch_add(&results->prompt_tokens, turn->prompt_tokens, __ATOMIC_RELAXED);
    __atomic_fetch_add(&results->completion_tokens, turn->completion_tokens, __ATOMIC_RELAXED);
    __atomic_fetch_add(&results->reusable_tokens, program->context_tokens, __ATOMIC_RELAXED);
    __atomic_fetch_add(&results->wasted_tokens, program->context_tokens - cached, __ATOMIC_RELAXED);
    program->context_tokens = turn->prompt_tokens + turn->completion_tokens;
}

bool bench_turn(struct bench_program *program)
{
    struct turn turn = {.program = program, .question = turn_make_question(program)};
    turn.started_us = clock_monotonic_us();
    bool answered = turn_send_with_retries(&turn);
    if (answered) {
        turn_record(&turn);
        program->next_call++;
    }
    bool correct = answered && turn_check_answer(&turn);
    if (answered && !correct) {
        __atomic_fetch_add(&program->results->wrong_answers, 1, __ATOMIC_RELAXED);
    }
    json_decref(turn.question);
    sse_close(&turn.parser);
    buffer_close(&turn.answer);
    buffer_close(&turn.error);
    return correct;
}
