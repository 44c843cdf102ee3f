#include "daemon/chat_engine.h"
#include "net/json_input.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum {
    CHAT_CONNECT_TIMEOUT_MS = 1000,
    CHAT_PRIORITY_LEVELS = 16,
    CHAT_PRIORITY_BASE_TOKENS = 256 /* limit of level 0; doubles per level */
};
enum { CHAT_MAX_RESPONSE_BYTES = 64 << 20, CHAT_STATUS_OK = 200, CHAT_STATUS_UNAVAILABLE = 503 };

struct chat_exchange {
    const struct chat_attempt *attempt;
    struct chat_answer *answer;
    struct sse_parser parser;
    struct buffer body; /* of an error or of a response that is not streamed */
    bool done_seen;     /* "data: [DONE]" was received */
};

uint32_t chat_priority(uint64_t attained_tokens)
{
    uint32_t level = 0;
    uint64_t limit = CHAT_PRIORITY_BASE_TOKENS;
    while (attained_tokens >= limit && level + 1 < CHAT_PRIORITY_LEVELS) {
        level++;
        limit *= 2;
    }
    return level;
}

/* ---- Request --------------------------------------------------------------------- */

/* The caller's body with the stored history, the granted tokens and the priority. */
static void chat_build_body(const struct chat_attempt *attempt, struct buffer *out)
{
    const struct chat_request *request = attempt->request;
    json_t *options = json_copy(request->root);
    json_object_del(options, "messages");
    json_object_del(options, "max_completion_tokens");
    json_object_set_new(options, "model", json_string(attempt->model));
    json_object_set_new(options, "max_tokens", json_integer((json_int_t)attempt->max_tokens));
    json_object_set_new(options, "priority", json_integer((json_int_t)attempt->priority));
    if (request->stream) {
        json_object_set_new(options, "stream_options", json_pack("{s:b}", "include_usage", 1));
    }
    char *text = json_dumps(options, JSON_COMPACT);
    json_decref(options);
    bool has_history = text_or_empty(attempt->history)[0] != '\0';
    buffer_append_text(out, "{\"messages\":[");
    buffer_append_text(out, attempt->history);
    buffer_append_text(out, has_history ? "," : "");
    buffer_append_text(out, request->messages_text);
    buffer_append_text(out, "],");
    buffer_append_text(out, text + 1);
    free(text);
}

/* ---- Streamed answers ------------------------------------------------------------- */

static bool chat_id_matches(struct chat_exchange *exchange, const json_t *event)
{
    const char *id = json_string_value(json_object_get(event, "id"));
    size_t prefix = sizeof(CHAT_ID_PREFIX) - 1;
    bool matches = id != NULL && strncmp(id, CHAT_ID_PREFIX, prefix) == 0 &&
                   strcmp(id + prefix, exchange->attempt->attempt_id) == 0;
    exchange->answer->id_mismatch = exchange->answer->id_mismatch || !matches;
    return matches;
}

static void chat_read_usage(struct chat_answer *answer, const json_t *usage)
{
    if (!json_is_object(usage)) {
        return;
    }
    const json_t *details = json_object_get(usage, "prompt_tokens_details");
    answer->has_usage = true;
    answer->prompt_tokens = (uint64_t)json_integer_value(json_object_get(usage, "prompt_tokens"));
    answer->completion_tokens = (uint64_t)json_integer_value(json_object_get(usage, "completion_tokens"));
    answer->cached_tokens = (uint64_t)json_integer_value(json_object_get(details, "cached_tokens"));
}

static void chat_append_text(json_t *object, const char *key, const char *text)
{
    if (text == NULL) {
        return;
    }
    const char *before = text_or_empty(json_string_value(json_object_get(object, key)));
    struct buffer joined = {0};
    buffer_append_text(&joined, before);
    buffer_append_text(&joined, text);
    json_object_set_new(object, key, json_string(buffer_text(&joined)));
    buffer_close(&joined);
}

/* Fragments with an index of 128 or more are ignored, which limits the size of the array. */
static void chat_merge_tool_call(json_t *tool_calls, const json_t *fragment)
{
    size_t index = (size_t)json_integer_value(json_object_get(fragment, "index"));
    while (json_array_size(tool_calls) <= index && index < 128) {
        json_array_append_new(
            tool_calls, json_pack("{s:s,s:{s:s,s:s}}", "type", "function", "function", "name", "", "arguments", ""));
    }
    json_t *tool_call = json_array_get(tool_calls, index);
    const json_t *function = json_object_get(fragment, "function");
    const char *id = json_string_value(json_object_get(fragment, "id"));
    if (tool_call == NULL) {
        return;
    }
    if (id != NULL) {
        json_object_set_new(tool_call, "id", json_string(id));
    }
    json_t *target = json_object_get(tool_call, "function");
    chat_append_text(target, "name", json_string_value(json_object_get(function, "name")));
    chat_append_text(target, "arguments", json_string_value(json_object_get(function, "arguments")));
}

static void chat_merge_delta(struct chat_answer *answer, const json_t *delta)
{
    const char *content = json_string_value(json_object_get(delta, "content"));
    if (content != NULL && content[0] != '\0') {
        answer->chunks++;
    }
    buffer_append_text(&answer->content, content);
    const json_t *fragments = json_object_get(delta, "tool_calls");
    if (json_array_size(fragments) == 0) {
        return;
    }
    json_t *tool_calls = json_object_get(answer->message, "tool_calls");
    if (tool_calls == NULL) {
        tool_calls = json_array();
        json_object_set_new(answer->message, "tool_calls", tool_calls);
    }
    for (size_t i = 0; i < json_array_size(fragments); i++) {
        chat_merge_tool_call(tool_calls, json_array_get(fragments, i));
    }
}

/* Shortens the attempt id in the payload to the part that the caller sees. */
static void chat_append_payload(const struct chat_attempt *attempt, struct view payload, struct buffer *out)
{
    size_t length = strlen(attempt->attempt_id);
    const uint8_t *id = memmem(payload.data, payload.length, attempt->attempt_id, length);
    if (id == NULL) {
        buffer_append(out, payload.data, payload.length);
        return;
    }
    size_t before = (size_t)(id - payload.data) + attempt->public_id_length;
    size_t after = (size_t)(id - payload.data) + length;
    buffer_append(out, payload.data, before);
    buffer_append(out, payload.data + after, payload.length - after);
}

/* Sends an event to the caller. The event with the finish reason and all later ones are deferred until the finish
 * entry is committed. */
static void chat_forward(struct chat_exchange *exchange, struct view payload)
{
    struct chat_answer *answer = exchange->answer;
    struct buffer event = {0};
    buffer_append_text(&event, "data: ");
    chat_append_payload(exchange->attempt, payload, &event);
    buffer_append_text(&event, "\n\n");
    if (answer->finish_reason != NULL) {
        buffer_append(&answer->deferred_events, event.data, event.length);
    } else if (!answer->caller_disconnected) {
        if (!answer->stream_started) {
            answer->stream_started = true;
            answer->caller_disconnected = !http_start_stream(exchange->attempt->connection, "text/event-stream",
                                                             exchange->attempt->stream_headers);
        }
        answer->caller_disconnected =
            answer->caller_disconnected || !http_send_chunk(exchange->attempt->connection, buffer_view(&event));
    }
    buffer_close(&event);
}

static bool chat_on_event(void *context, struct view payload)
{
    struct chat_exchange *exchange = context;
    struct chat_answer *answer = exchange->answer;
    if (payload.length == 6 && memcmp(payload.data, "[DONE]", 6) == 0) {
        exchange->done_seen = true;
        return true;
    }
    json_t *event = json_input_parse(payload, NULL);
    bool usable = event != NULL && chat_id_matches(exchange, event);
    if (usable) {
        const json_t *choice = json_array_get(json_object_get(event, "choices"), 0);
        const char *reason = json_string_value(json_object_get(choice, "finish_reason"));
        chat_merge_delta(answer, json_object_get(choice, "delta"));
        chat_read_usage(answer, json_object_get(event, "usage"));
        if (reason != NULL && answer->finish_reason == NULL) {
            answer->finish_reason = text_copy(reason);
        }
        if (choice != NULL || exchange->attempt->request->include_usage) {
            chat_forward(exchange, payload);
        }
    }
    json_decref(event);
    return usable && !(answer->caller_disconnected && exchange->attempt->cancel_on_disconnect);
}

/* ---- Transfer ------------------------------------------------------------------------ */

static bool chat_on_data(void *context, int status, struct view data)
{
    struct chat_exchange *exchange = context;
    if (status == CHAT_STATUS_OK && exchange->attempt->request->stream) {
        return sse_feed(&exchange->parser, data, chat_on_event, exchange);
    }
    if (exchange->body.length + data.length > CHAT_MAX_RESPONSE_BYTES) {
        return false;
    }
    buffer_append(&exchange->body, data.data, data.length);
    return true;
}

static void chat_on_header(void *context, const char *name, const char *value)
{
    struct chat_answer *answer = ((struct chat_exchange *)context)->answer;
    uint32_t number = (uint32_t)strtoul(value, NULL, 10);
    if (strcasecmp(name, "X-Engine-Running") == 0) {
        answer->report.present = true;
        answer->report.running = number;
    } else if (strcasecmp(name, "X-Engine-Waiting") == 0) {
        answer->report.waiting = number;
    } else if (strcasecmp(name, "X-Engine-Slots") == 0) {
        answer->report.slots = number;
    } else if (strcasecmp(name, "X-Draining") == 0) {
        answer->draining = strcmp(value, "true") == 0;
    }
}

static void chat_read_response_body(struct chat_exchange *exchange)
{
    struct chat_answer *answer = exchange->answer;
    json_t *body = json_input_parse(buffer_view(&exchange->body), NULL);
    const json_t *choice = json_array_get(json_object_get(body, "choices"), 0);
    json_t *message = json_object_get(choice, "message");
    if (!json_is_object(message) || !chat_id_matches(exchange, body)) {
        json_decref(body);
        answer->outcome = CHAT_UNKNOWN;
        return;
    }
    json_decref(answer->message);
    answer->message = json_deep_copy(message);
    answer->finish_reason = text_copy(json_string_value(json_object_get(choice, "finish_reason")));
    chat_read_usage(answer, json_object_get(body, "usage"));
    answer->response_body = body;
    answer->outcome = CHAT_DONE;
}

/* Engines return 4xx and 503 before they run anything. */
static void chat_read_error(struct chat_exchange *exchange)
{
    struct chat_answer *answer = exchange->answer;
    answer->error = text_copy(buffer_text(&exchange->body));
    bool refused = answer->status >= 400 && answer->status < 500;
    bool unavailable = answer->status == CHAT_STATUS_UNAVAILABLE;
    answer->outcome = unavailable || answer->status == 429 ? CHAT_NOT_RUN : refused ? CHAT_REJECTED : CHAT_UNKNOWN;
}

static void chat_set_outcome(struct chat_exchange *exchange, enum http_transfer_result result)
{
    struct chat_answer *answer = exchange->answer;
    if (result == HTTP_TRANSFER_NOT_SENT) {
        answer->outcome = CHAT_NOT_RUN;
    } else if (result != HTTP_TRANSFER_DONE) {
        answer->outcome = CHAT_UNKNOWN;
    } else if (answer->status != CHAT_STATUS_OK) {
        chat_read_error(exchange);
    } else if (exchange->attempt->request->stream) {
        bool complete = exchange->done_seen && answer->finish_reason != NULL;
        json_object_set_new(answer->message, "content", json_string(buffer_text(&answer->content)));
        answer->outcome = complete ? CHAT_DONE : CHAT_UNKNOWN;
    } else {
        chat_read_response_body(exchange);
    }
}

void chat_engine_run(const struct chat_attempt *attempt, struct chat_answer *answer)
{
    memset(answer, 0, sizeof(*answer));
    answer->message = json_pack("{s:s,s:s}", "role", "assistant", "content", "");
    struct chat_exchange exchange = {.attempt = attempt, .answer = answer};
    struct buffer url = {0};
    struct buffer body = {0};
    buffer_printf(&url, "%s/v1/chat/completions", attempt->engine_url);
    chat_build_body(attempt, &body);
    struct http_request request = {
        .method = "POST",
        .url = buffer_text(&url),
        .body = buffer_view(&body),
        .timeout_ms = attempt->timeout_ms,
        .connect_timeout_ms = CHAT_CONNECT_TIMEOUT_MS,
        .at_most_once = attempt->at_most_once,
        .context = &exchange,
        .on_data = chat_on_data,
        .on_header = chat_on_header,
    };
    http_request_add_header(&request, "Content-Type: application/json");
    http_request_add_header(&request, "X-Request-Id: %s", attempt->attempt_id);
    if (attempt->program_id != NULL) {
        http_request_add_header(&request, "X-Program-Id: %s", attempt->program_id);
    }
    enum http_transfer_result result = http_client_run(&request, &answer->status);
    chat_set_outcome(&exchange, result);
    http_request_close(&request);
    sse_close(&exchange.parser);
    buffer_close(&exchange.body);
    buffer_close(&url);
    buffer_close(&body);
}

void chat_answer_close(struct chat_answer *answer)
{
    json_decref(answer->message);
    json_decref(answer->response_body);
    free(answer->finish_reason);
    free(answer->error);
    buffer_close(&answer->deferred_events);
    buffer_close(&answer->content);
    memset(answer, 0, sizeof(*answer));
}
