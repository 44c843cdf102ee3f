/* Responses to the caller: the answer, a stored answer, or an error. */
#include "daemon/chat_call.h"
#include "net/json_input.h"

#include <stdio.h>
#include <stdlib.h>

void chat_set_headers(struct chat_call *call)
{
    if (call->single_call) {
        snprintf(call->headers, sizeof(call->headers), "X-Run-State: run\r\n");
        return;
    }
    snprintf(call->headers, sizeof(call->headers), "X-Run-State: run\r\nX-Program-Id: %s\r\nX-Program-Call: %u\r\n",
             call->program_id, call->call_number);
}

static json_t *chat_usage(uint64_t prompt, uint64_t completion, uint64_t cached)
{
    return json_pack("{s:I,s:I,s:I,s:{s:I}}", "prompt_tokens", (json_int_t)prompt, "completion_tokens",
                     (json_int_t)completion, "total_tokens", (json_int_t)(prompt + completion), "prompt_tokens_details",
                     "cached_tokens", (json_int_t)cached);
}

/* Members that a replayed answer has in both forms, JSON and stream; id and time equal the original ones. */
static json_t *chat_new_completion(const struct chat_call *call, const char *object)
{
    struct buffer id = {0};
    buffer_printf(&id, CHAT_ID_PREFIX "%s", text_or_empty(call->begin_result.attempt));
    json_t *completion_object =
        json_pack("{s:s,s:s,s:I,s:s}", "id", buffer_text(&id), "object", object, "created",
                  (json_int_t)call->begin_result.finished_s, "model", text_or_empty(call->request.model));
    buffer_close(&id);
    return completion_object;
}

static void chat_append_event(struct buffer *out, json_t *event)
{
    char *text = json_dumps(event, JSON_COMPACT);
    buffer_printf(out, "data: ");
    buffer_append_text(out, text);
    buffer_append_text(out, "\n\n");
    free(text);
    json_decref(event);
}

/* Events: the message, the finish reason, and the usage if requested. */
static void chat_send_replay_stream(struct chat_call *call, json_t *message, const EntryResult *result)
{
    struct buffer events = {0};
    json_t *tool_calls = json_object_get(message, "tool_calls");
    for (size_t i = 0; i < json_array_size(tool_calls); i++) {
        json_object_set_new(json_array_get(tool_calls, i), "index", json_integer((json_int_t)i));
    }
    json_t *event = chat_new_completion(call, "chat.completion.chunk");
    json_object_set_new(event, "choices", json_pack("[{s:i,s:O,s:n}]", "index", 0, "delta", message, "finish_reason"));
    chat_append_event(&events, event);
    event = chat_new_completion(call, "chat.completion.chunk");
    json_object_set_new(
        event, "choices",
        json_pack("[{s:i,s:{},s:s}]", "index", 0, "delta", "finish_reason", text_or_empty(result->finish_reason)));
    chat_append_event(&events, event);
    if (call->request.include_usage) {
        event = chat_new_completion(call, "chat.completion.chunk");
        json_object_set_new(event, "choices", json_array());
        json_object_set_new(event, "usage",
                            chat_usage(result->prompt_tokens, result->completion_tokens, result->cached_tokens));
        chat_append_event(&events, event);
    }
    buffer_append_text(&events, "data: [DONE]\n\n");
    if (http_start_stream(call->connection, "text/event-stream", call->headers)) {
        http_send_chunk(call->connection, buffer_view(&events));
        http_end_stream(call->connection);
    }
    buffer_close(&events);
}

static void chat_send_json(struct chat_call *call, const json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    http_send(call->connection, 200, "application/json", call->headers, view_of_string(text));
    free(text);
}

void chat_send_replay(struct chat_call *call)
{
    const EntryResult *result = &call->begin_result;
    gateway_count(call->gateway, calls_replayed);
    call->call_number = result->call;
    chat_set_headers(call);
    json_t *message = json_input_parse(view_of_string(text_or_empty(result->answer)), NULL);
    if (message == NULL) {
        struct http_error error = {500, "stored_answer_damaged", RUN_STATE_RUN, 0};
        http_send_error(call->connection, &error, "the stored answer cannot be read");
        return;
    }
    if (call->request.stream) {
        chat_send_replay_stream(call, message, result);
    } else {
        json_t *body = chat_new_completion(call, "chat.completion");
        json_object_set_new(body, "choices",
                            json_pack("[{s:i,s:O,s:s}]", "index", 0, "message", message, "finish_reason",
                                      text_or_empty(result->finish_reason)));
        json_object_set_new(body, "usage",
                            chat_usage(result->prompt_tokens, result->completion_tokens, result->cached_tokens));
        chat_send_json(call, body);
        json_decref(body);
    }
    json_decref(message);
}

/* Sends the error as a stream event if the response has already started. */
static void chat_send_late_error(struct chat_call *call, const struct http_error *error, const char *message)
{
    if (!call->answer.stream_started) {
        http_send_error(call->connection, error, "%s", message);
        return;
    }
    struct buffer event = {0};
    buffer_append_text(&event, "data: ");
    http_error_body(error, message, &event);
    buffer_append_text(&event, "\n\n");
    if (!call->answer.caller_disconnected && http_send_chunk(call->connection, buffer_view(&event))) {
        http_end_stream(call->connection);
    }
    buffer_close(&event);
    mg_disable_connection_keep_alive(call->connection);
}

/* Id and time equal those of a replay. */
static void chat_send_response_body(struct chat_call *call)
{
    struct buffer id = {0};
    buffer_printf(&id, CHAT_ID_PREFIX "%s", call->attempt_id);
    json_object_set_new(call->answer.response_body, "id", json_string(buffer_text(&id)));
    json_object_set_new(call->answer.response_body, "created", json_integer((json_int_t)call->finished_s));
    json_object_set_new(call->answer.response_body, "model", json_string(text_or_empty(call->request.model)));
    chat_send_json(call, call->answer.response_body);
    buffer_close(&id);
}

void chat_send_answer(struct chat_call *call)
{
    struct chat_answer *answer = &call->answer;
    gateway_count(call->gateway, calls_finished);
    gateway_add(call->gateway, prompt_tokens, answer->prompt_tokens);
    gateway_add(call->gateway, cached_tokens, answer->cached_tokens);
    gateway_add(call->gateway, completion_tokens, answer->completion_tokens);
    if (!call->request.stream) {
        chat_send_response_body(call);
        return;
    }
    if (!answer->stream_started) {
        answer->caller_disconnected = !http_start_stream(call->connection, "text/event-stream", call->headers);
    }
    buffer_append_text(&answer->deferred_events, "data: [DONE]\n\n");
    if (!answer->caller_disconnected && http_send_chunk(call->connection, buffer_view(&answer->deferred_events))) {
        http_end_stream(call->connection);
    }
}

void chat_send_unconfirmed(struct chat_call *call, ResultCode code)
{
    struct http_error error = {503, "finish_unconfirmed", RUN_STATE_UNKNOWN, 1};
    gateway_count(call->gateway, calls_unknown);
    if (code == RESULT_STALE_ATTEMPT || code == RESULT_NOT_FOUND) {
        error.code = "attempt_superseded";
        chat_send_late_error(call, &error, "another attempt took the call over; ask again for its answer");
        return;
    }
    chat_send_late_error(call, &error, "the answer could not be stored in time; ask again with the same call number");
}

void chat_send_failure(struct chat_call *call)
{
    struct chat_answer *answer = &call->answer;
    if (call->may_have_run) {
        struct http_error error = {502, "engine_failed", RUN_STATE_UNKNOWN, 0};
        chat_record_abort(call, ABORT_UNKNOWN);
        gateway_count(call->gateway, calls_unknown);
        chat_send_late_error(call, &error, "the engine was lost while it may have run the call");
        return;
    }
    chat_record_abort(call, ABORT_NOT_RUN);
    gateway_count(call->gateway, calls_refused);
    if (answer->outcome == CHAT_REJECTED) {
        struct http_error error = {answer->status, "engine_rejected", RUN_STATE_NOT_RUN, 0};
        http_send_error(call->connection, &error, "the engine refused the request: %s", text_or_empty(answer->error));
        return;
    }
    struct http_error error = {503, "no_engine", RUN_STATE_NOT_RUN, 1};
    http_send_error(call->connection, &error, "no engine of the pool can take the call now");
}

void chat_refuse(struct chat_call *call, const struct http_error *error, const char *message)
{
    gateway_count(call->gateway, calls_refused);
    http_send_error(call->connection, error, "%s", message);
}

void chat_send_findings(struct mg_connection *connection, const struct findings *findings)
{
    struct http_error error = {400, "invalid_request", RUN_STATE_NOT_RUN, 0};
    struct buffer report = {0};
    for (size_t i = 0; i < findings->count; i++) {
        buffer_printf(&report, "%s%s: %s", i == 0 ? "" : "; ", findings->items[i].location, findings->items[i].text);
    }
    http_send_error(connection, &error, "%s", buffer_text(&report));
    buffer_close(&report);
}
