/* OpenAI-compatible HTTP interface of the emulated engines. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "emulator/answer.h"
#include "emulator/emulator.h"
#include "net/http.h"

enum {
    API_HANDLED = 200, /* return value of handlers, which have sent the response: CivetWeb only logs it */
    API_DEFAULT_MAX_TOKENS = 256,
    API_HANG_POLL_US = 20000,
    API_HANG_MAX_US = 60000000
};

static const char API_CACHE_PATH[] = "/v1/cache";
static const char API_CUT_HEAD[] = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Le";

struct engine_request {
    struct engine *engine;
    struct mg_connection *connection;
    json_t *body;
    const json_t *messages;
    char id[96];
    const char *program;
    uint64_t hash;
    uint64_t prompt_tokens;
    uint64_t cached_tokens;
    bool stream;
    enum engine_fault fault;
    uint64_t fault_amount;
    struct engine_sequence sequence;
    char headers[160];
};

static json_t *request_envelope(const struct engine_request *request, const char *object)
{
    return json_pack("{s:s,s:s,s:i,s:s}", "id", request->id, "object", object, "created", 0, "model",
                     text_or_empty(json_string_value(json_object_get(request->body, "model"))));
}

static json_t *request_usage(const struct engine_request *request)
{
    uint64_t completion = request->sequence.length;
    return json_pack("{s:I,s:I,s:I,s:{s:I}}", "prompt_tokens", (json_int_t)request->prompt_tokens, "completion_tokens",
                     (json_int_t)completion, "total_tokens", (json_int_t)(request->prompt_tokens + completion),
                     "prompt_tokens_details", "cached_tokens", (json_int_t)request->cached_tokens);
}

static const char *request_finish_reason(const struct engine_request *request, uint64_t max_tokens)
{
    return request->sequence.length < max_tokens ? "stop" : "length";
}

static bool request_send_event(struct engine_request *request, json_t *event)
{
    char *text = json_dumps(event, JSON_COMPACT);
    struct buffer line = {0};
    buffer_printf(&line, "data: ");
    buffer_append_text(&line, text);
    buffer_append_text(&line, "\n\n");
    bool sent = http_send_chunk(request->connection, buffer_view(&line));
    buffer_close(&line);
    free(text);
    json_decref(event);
    return sent;
}

static bool request_send_delta(struct engine_request *request, const char *text, const char *finish_reason)
{
    json_t *event = request_envelope(request, "chat.completion.chunk");
    json_t *delta = text == NULL ? json_object() : json_pack("{s:s,s:s}", "role", "assistant", "content", text);
    json_t *reason = finish_reason == NULL ? json_null() : json_string(finish_reason);
    json_object_set_new(event, "choices",
                        json_pack("[{s:i,s:o,s:o}]", "index", 0, "delta", delta, "finish_reason", reason));
    return request_send_event(request, event);
}

static void request_append_tokens(const struct engine_request *request, uint64_t from, uint64_t to, struct buffer *out)
{
    for (uint64_t i = from; i < to; i++) {
        answer_token(request->hash, i, out);
    }
}

static bool request_is_truncated(const struct engine_request *request, uint64_t produced)
{
    return request->fault == ENGINE_FAULT_TRUNCATE && produced >= request->fault_amount;
}

/* False if the answer was truncated, the client disconnected or the engine is stopping. */
static bool request_stream_tokens(struct engine_request *request)
{
    uint64_t sent = 0;
    if (!http_start_stream(request->connection, "text/event-stream", request->headers)) {
        return false;
    }
    while (sent < request->sequence.length) {
        uint64_t produced = engine_wait(request->engine, &request->sequence, sent);
        if (produced == sent || request_is_truncated(request, sent)) {
            return false;
        }
        struct buffer text = {0};
        request_append_tokens(request, sent, produced, &text);
        bool delivered = request_send_delta(request, buffer_text(&text), NULL);
        buffer_close(&text);
        if (!delivered) {
            return false;
        }
        sent = produced;
    }
    return true;
}

static bool request_answer_stream(struct engine_request *request, uint64_t max_tokens)
{
    if (!request_stream_tokens(request)) {
        return false;
    }
    request_send_delta(request, NULL, request_finish_reason(request, max_tokens));
    const json_t *options = json_object_get(request->body, "stream_options");
    if (json_is_true(json_object_get(options, "include_usage"))) {
        json_t *event = request_envelope(request, "chat.completion.chunk");
        json_object_set_new(event, "choices", json_array());
        json_object_set_new(event, "usage", request_usage(request));
        request_send_event(request, event);
    }
    http_send_chunk(request->connection, view_of_string("data: [DONE]\n\n"));
    http_end_stream(request->connection);
    return true;
}

static bool request_answer_unstreamed(struct engine_request *request, uint64_t max_tokens)
{
    uint64_t produced = 0;
    while (produced < request->sequence.length) {
        uint64_t now = engine_wait(request->engine, &request->sequence, produced);
        if (now == produced || request_is_truncated(request, produced)) {
            return false;
        }
        produced = now;
    }
    struct buffer text = {0};
    request_append_tokens(request, 0, produced, &text);
    json_t *body = request_envelope(request, "chat.completion");
    json_object_set_new(body, "choices",
                        json_pack("[{s:i,s:{s:s,s:s},s:s}]", "index", 0, "message", "role", "assistant", "content",
                                  buffer_text(&text), "finish_reason", request_finish_reason(request, max_tokens)));
    json_object_set_new(body, "usage", request_usage(request));
    char *encoded = json_dumps(body, JSON_COMPACT);
    http_send(request->connection, 200, "application/json", request->headers, view_of_string(encoded));
    free(encoded);
    json_decref(body);
    buffer_close(&text);
    return true;
}

static void request_cache_prompt(struct engine_request *request)
{
    struct buffer text = {0};
    request_append_tokens(request, 0, request->sequence.length, &text);
    json_t *answer = json_pack("{s:s,s:s}", "role", "assistant", "content", buffer_text(&text));
    pthread_mutex_lock(&request->engine->lock);
    prefix_cache_store(&request->engine->cache, request->messages, answer, text_or_empty(request->program));
    pthread_mutex_unlock(&request->engine->lock);
    json_decref(answer);
    buffer_close(&text);
}

static void request_prepare(struct engine_request *request, uint64_t max_tokens)
{
    struct engine *engine = request->engine;
    for (size_t i = 0; i < json_array_size(request->messages); i++) {
        const json_t *message = json_array_get(request->messages, i);
        request->hash = answer_extend_hash(request->hash, message);
        request->prompt_tokens += answer_message_tokens(message);
    }
    bool exact = json_is_true(json_object_get(request->body, "ignore_eos"));
    pthread_mutex_lock(&engine->lock);
    request->cached_tokens = prefix_cache_lookup(&engine->cache, request->messages);
    engine->counters.prompt_tokens += request->prompt_tokens;
    engine->counters.cached_tokens += request->cached_tokens;
    snprintf(request->headers, sizeof(request->headers),
             "X-Engine-Running: %u\r\nX-Engine-Waiting: %u\r\nX-Engine-Slots: %u\r\n", engine->running, engine->waiting,
             engine->config.slots);
    pthread_mutex_unlock(&engine->lock);
    request->sequence.prefill_remaining = request->prompt_tokens - request->cached_tokens;
    request->sequence.length = answer_length(request->hash, max_tokens, exact);
    request->sequence.priority = json_integer_value(json_object_get(request->body, "priority"));
    if (request->fault == ENGINE_FAULT_WRONG_ANSWER) {
        snprintf(request->id, sizeof(request->id), "chatcmpl-of-another-request");
        request->hash = ~request->hash;
    }
}

static void request_hang(const struct engine_request *request)
{
    for (uint64_t waited = 0; waited < API_HANG_MAX_US && !request->engine->stopping; waited += API_HANG_POLL_US) {
        clock_sleep_us(API_HANG_POLL_US);
    }
}

/* Returns true if the fault prevents the request from running; it is then finished. */
static bool request_apply_fault_before_run(struct engine_request *request)
{
    if (request->fault == ENGINE_FAULT_REFUSE) {
        http_send(request->connection, 503, "application/json", "X-Draining: true\r\n",
                  view_of_string("{\"error\":{\"message\":\"draining\"}}"));
        return true;
    }
    if (request->fault == ENGINE_FAULT_HANG) {
        request_hang(request);
    }
    bool unanswered = request->fault == ENGINE_FAULT_DIE || request->fault == ENGINE_FAULT_HANG;
    if (unanswered) {
        mg_disable_connection_keep_alive(request->connection);
    }
    return unanswered;
}

static void request_run(struct engine_request *request)
{
    const json_t *limit = json_object_get(request->body, "max_tokens");
    uint64_t max_tokens = json_is_integer(limit) ? (uint64_t)json_integer_value(limit) : API_DEFAULT_MAX_TOKENS;
    if (json_array_size(request->messages) == 0) {
        emulator_send_error(request->connection, 400, "messages must be a list with at least one message");
        return;
    }
    request_prepare(request, max_tokens);
    if (request->fault == ENGINE_FAULT_DELAY) {
        clock_sleep_us(request->fault_amount * 1000U);
    }
    engine_add(request->engine, &request->sequence);
    bool answered =
        request->stream ? request_answer_stream(request, max_tokens) : request_answer_unstreamed(request, max_tokens);
    engine_remove(request->engine, &request->sequence, answered);
    if (answered) {
        request_cache_prompt(request);
    } else {
        mg_disable_connection_keep_alive(request->connection);
    }
}

static void engine_complete_chat(struct engine *engine, struct mg_connection *connection)
{
    struct engine_request *request = memory_new(sizeof(*request));
    const char *request_id = mg_get_header(connection, "X-Request-Id");
    request->engine = engine;
    request->connection = connection;
    request->body = emulator_read_json(connection);
    if (request->body != NULL) {
        request->messages = json_object_get(request->body, "messages");
        request->stream = json_is_true(json_object_get(request->body, "stream"));
        request->program = mg_get_header(connection, "X-Program-Id");
        request->fault = engine_consume_fault(engine, &request->fault_amount);
        snprintf(request->id, sizeof(request->id), "chatcmpl-%s", request_id == NULL ? "none" : request_id);
        if (!request_apply_fault_before_run(request)) {
            request_run(request);
        }
    }
    json_decref(request->body);
    free(request);
}

/* ---- Cache ---------------------------------------------------------------------------- */

static void engine_list_cache(struct engine *engine, struct mg_connection *connection)
{
    json_t *programs = json_object();
    pthread_mutex_lock(&engine->lock);
    for (struct prefix_entry *entry = engine->cache.entries; entry != NULL; entry = entry->hh.next) {
        if (entry->program[0] != '\0') {
            json_int_t before = json_integer_value(json_object_get(programs, entry->program));
            json_object_set_new(programs, entry->program, json_integer(before + (json_int_t)entry->tokens));
        }
    }
    json_t *body = json_pack("{s:I,s:I,s:o}", "tokens", (json_int_t)engine->cache.tokens, "capacity",
                             (json_int_t)engine->cache.capacity, "programs", programs);
    pthread_mutex_unlock(&engine->lock);
    emulator_send_json(connection, 200, body);
}

static void engine_release_cache(struct engine *engine, struct mg_connection *connection, const char *program)
{
    pthread_mutex_lock(&engine->lock);
    uint64_t tokens = prefix_cache_release(&engine->cache, program);
    pthread_mutex_unlock(&engine->lock);
    emulator_send_json(connection, 200, json_pack("{s:I}", "released_tokens", (json_int_t)tokens));
}

int engine_api_handle(struct mg_connection *connection, void *context)
{
    struct emulator *emulator = context;
    const struct mg_request_info *info = mg_get_request_info(connection);
    uint32_t number = 0;
    const char *rest = NULL;
    size_t cache_length = sizeof(API_CACHE_PATH) - 1;
    if (!emulator_parse_path(info->local_uri, "/engines/", emulator->config.engine_count, &number, &rest)) {
        emulator_send_error(connection, 404, "no such engine");
        return API_HANDLED;
    }
    struct engine *engine = &emulator->engines[number];
    if (engine->fault == ENGINE_FAULT_DIE || engine->fault == ENGINE_FAULT_CUT_HEAD) {
        if (engine->fault == ENGINE_FAULT_CUT_HEAD) {
            mg_write(connection, API_CUT_HEAD, sizeof(API_CUT_HEAD) - 1);
        }
        mg_disable_connection_keep_alive(connection);
        return API_HANDLED;
    }
    if (strcmp(rest, "/v1/chat/completions") == 0) {
        engine_complete_chat(engine, connection);
    } else if (strcmp(rest, API_CACHE_PATH) == 0) {
        engine_list_cache(engine, connection);
    } else if (strncmp(rest, API_CACHE_PATH, cache_length) == 0 && strcmp(info->request_method, "DELETE") == 0) {
        engine_release_cache(engine, connection, rest + cache_length + 1);
    } else {
        emulator_send_error(connection, 404, "no such path");
    }
    return API_HANDLED;
}
