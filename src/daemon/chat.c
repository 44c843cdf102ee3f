#include "daemon/chat.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/message.h"
#include "daemon/chat_engine.h"

enum {
    CHAT_HANDLED = 200,
    CHAT_ID_DIGITS = 24,
    CHAT_ROOT_DIGITS = 8,
    CHAT_DEFAULT_ATTEMPTS = 3,
    CHAT_MAX_ENGINE_TRIES = 8,
    CHAT_MAX_ENGINES = 1024,
    CHAT_ATTEMPT_ROOM = 48,
    CHAT_ATTEMPT_MARGIN_MS = 10000 /* time to store the outcome after the call's own limit */
};

static const char CHAT_LOG[] = "chat";

/* One call under way. */
struct chat_call {
    struct gateway *gateway;
    struct mg_connection *connection;
    struct config_view *view;
    struct chat_request request;
    const char *tenant;
    const char *default_policy;
    char program[GATEWAY_ID_LENGTH + 1]; /* id of a program of one */
    const char *program_id;
    bool single;
    char attempt[LEDGER_ATTEMPT_LENGTH + 1];
    EntryResult begun;
    uint32_t number;
    uint32_t finished_s;  /* wall clock at which the ledger stored the answer */
    uint64_t deadline_ms; /* monotonic */
    ProgramView stored;   /* history before this call */
    const Policy *policy;
    const Pool *pool;
    struct chat_answer answer;
    char tried[CHAT_MAX_ENGINES]; /* engines of the pool that were tried */
    char headers[256];
};

static uint32_t chat_time_left(const struct chat_call *call)
{
    uint64_t now_ms = clock_monotonic_ms();
    return now_ms >= call->deadline_ms ? 0 : (uint32_t)(call->deadline_ms - now_ms);
}

/* ---- Begin -------------------------------------------------------------------------- */

/* Ids of programs of one: random, or derived from tenant and key so that a
 * resend with the same key finds the same program at any daemon. */
static void chat_name_single(struct chat_call *call)
{
    const char *key = call->request.idempotency_key;
    call->single = true;
    call->program_id = call->program;
    if (key == NULL) {
        char root[CHAT_ROOT_DIGITS + 1];
        char rest[CHAT_ID_DIGITS + 1];
        gateway_random_hex(root, CHAT_ROOT_DIGITS);
        gateway_random_hex(rest, CHAT_ID_DIGITS);
        snprintf(call->program, sizeof(call->program), "s%s-%s", root, rest);
        return;
    }
    uint64_t hash = XXH64(call->tenant, strlen(call->tenant), 0);
    XXH128_hash_t full = XXH3_128bits_withSeed(key, strlen(key), hash);
    snprintf(call->program, sizeof(call->program), "k%016" PRIx64 "-%016" PRIx64, full.high64, full.low64);
}

static void chat_fill_begin(struct chat_call *call, const char *replaces, Entry *entry)
{
    const struct chat_request *request = &call->request;
    memset(entry, 0, sizeof(*entry));
    entry->which_command = Entry_call_begin_tag;
    CallBegin *begin = &entry->command.call_begin;
    begin->program = (char *)(uintptr_t)call->program_id;
    begin->tenant = (char *)(uintptr_t)call->tenant;
    begin->call = call->single ? 1 : request->call;
    begin->attempt = call->attempt;
    begin->replaces = (char *)(uintptr_t)replaces;
    begin->gateway = (uint32_t)call->gateway->settings->node;
    begin->gateway_epoch = control_epoch(call->gateway->control);
    begin->repeatable = request->repeatable;
    begin->new_tokens_bound = request->new_tokens_bound;
    begin->max_tokens = request->max_tokens;
    begin->body_hash = request->body_hash;
    begin->timeout_ms = chat_time_left(call) + CHAT_ATTEMPT_MARGIN_MS;
    begin->idempotency_key = (char *)(uintptr_t)request->idempotency_key;
    begin->messages = request->messages_text;
    if (call->single) {
        begin->has_create = true;
        begin->create.id = begin->program;
        begin->create.tenant = begin->tenant;
        begin->create.policy = (char *)(uintptr_t)call->default_policy;
    }
}

static void chat_post_abort(struct chat_call *call, AbortOutcome outcome)
{
    Entry entry = {0};
    entry.which_command = Entry_call_abort_tag;
    CallAbort *abort_entry = &entry.command.call_abort;
    abort_entry->program = (char *)(uintptr_t)call->program_id;
    abort_entry->call = call->number;
    abort_entry->attempt = call->attempt;
    abort_entry->outcome = outcome;
    gateway_post(call->gateway, call->program_id, &entry);
}

/* Begins the call in the ledger; false: an answer was sent. */
static ResultCode chat_begin(struct chat_call *call, const char *replaces)
{
    gateway_random_hex(call->attempt, LEDGER_ATTEMPT_LENGTH);
    Entry entry;
    chat_fill_begin(call, replaces, &entry);
    message_free(EntryResult_fields, &call->begun);
    ResultCode code = gateway_propose(call->gateway, call->program_id, &entry, &call->begun);
    if (code == RESULT_OK) {
        call->number = call->begun.call;
    } else if (code == RESULT_TIMEOUT) {
        /* It may still commit; this keeps it from holding the program. */
        call->number = call->single ? 1 : call->request.call;
        chat_post_abort(call, ABORT_NOT_RUN);
    }
    return code;
}

/* ---- Answers ----------------------------------------------------------------------------- */

static void chat_set_headers(struct chat_call *call)
{
    if (call->single) {
        snprintf(call->headers, sizeof(call->headers), "X-Run-State: run\r\n");
        return;
    }
    snprintf(call->headers, sizeof(call->headers), "X-Run-State: run\r\nX-Program-Id: %s\r\nX-Program-Call: %u\r\n",
             call->program_id, call->number);
}

static json_t *chat_usage(uint64_t prompt, uint64_t completion, uint64_t cached)
{
    return json_pack("{s:I,s:I,s:I,s:{s:I}}", "prompt_tokens", (json_int_t)prompt, "completion_tokens",
                     (json_int_t)completion, "total_tokens", (json_int_t)(prompt + completion), "prompt_tokens_details",
                     "cached_tokens", (json_int_t)cached);
}

/* Head of a stored answer: id and time are those of the first answer. */
static json_t *chat_envelope(const struct chat_call *call, const char *object)
{
    struct buffer id = {0};
    buffer_printf(&id, CHAT_ID_PREFIX "%s", text_or_empty(call->begun.attempt));
    json_t *envelope = json_pack("{s:s,s:s,s:I,s:s}", "id", buffer_text(&id), "object", object, "created",
                                 (json_int_t)call->begun.finished_s, "model", text_or_empty(call->request.model));
    buffer_close(&id);
    return envelope;
}

static void chat_add_event(struct buffer *out, json_t *event)
{
    char *text = json_dumps(event, JSON_COMPACT);
    buffer_printf(out, "data: ");
    buffer_append_text(out, text);
    buffer_append_text(out, "\n\n");
    free(text);
    json_decref(event);
}

/* A stored answer as a stream: one event with the message, one with the end. */
static void chat_send_replay_stream(struct chat_call *call, json_t *message, const EntryResult *result)
{
    struct buffer events = {0};
    json_t *calls = json_object_get(message, "tool_calls");
    for (size_t i = 0; i < json_array_size(calls); i++) {
        json_object_set_new(json_array_get(calls, i), "index", json_integer((json_int_t)i));
    }
    json_t *event = chat_envelope(call, "chat.completion.chunk");
    json_object_set_new(event, "choices", json_pack("[{s:i,s:O,s:n}]", "index", 0, "delta", message, "finish_reason"));
    chat_add_event(&events, event);
    event = chat_envelope(call, "chat.completion.chunk");
    json_object_set_new(
        event, "choices",
        json_pack("[{s:i,s:{},s:s}]", "index", 0, "delta", "finish_reason", text_or_empty(result->finish_reason)));
    chat_add_event(&events, event);
    if (call->request.include_usage) {
        event = chat_envelope(call, "chat.completion.chunk");
        json_object_set_new(event, "choices", json_array());
        json_object_set_new(event, "usage",
                            chat_usage(result->prompt_tokens, result->completion_tokens, result->cached_tokens));
        chat_add_event(&events, event);
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

static void chat_send_replay(struct chat_call *call)
{
    const EntryResult *result = &call->begun;
    gateway_count(call->gateway, calls_replayed);
    call->number = result->call;
    chat_set_headers(call);
    json_t *message = json_loads(text_or_empty(result->answer), 0, NULL);
    if (message == NULL) {
        struct http_error error = {500, "stored_answer_damaged", RUN_STATE_RUN, 0};
        http_send_error(call->connection, &error, "the stored answer cannot be read");
        return;
    }
    if (call->request.stream) {
        chat_send_replay_stream(call, message, result);
    } else {
        json_t *body = chat_envelope(call, "chat.completion");
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

/* An error after the answer may have begun to flow. */
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
    if (!call->answer.caller_gone && http_send_chunk(call->connection, buffer_view(&event))) {
        http_end_stream(call->connection);
    }
    buffer_close(&event);
    mg_disable_connection_keep_alive(call->connection);
}

/* ---- Placement ----------------------------------------------------------------------------- */

static bool chat_find_pool(struct chat_call *call)
{
    const char *policy_name = text_or_empty(call->begun.policy);
    call->policy = policy_name[0] == '\0' ? NULL : config_view_policy(call->view, policy_name);
    if (call->policy != NULL) {
        call->pool = config_view_pool(call->view, call->policy->pool);
    } else if (policy_name[0] == '\0') {
        call->pool = config_view_pool_of_model(call->view, call->request.model);
    }
    return call->pool != NULL && call->pool->engines_count > 0;
}

static uint64_t chat_hash_text(const char *text)
{
    return XXH64(text_or_empty(text), strlen(text_or_empty(text)), 0);
}

static void chat_describe_engine(struct chat_call *call, size_t position, uint64_t now_ms,
                                 struct placement_candidate *candidate)
{
    const Engine *engine = &call->pool->engines[position];
    memset(candidate, 0, sizeof(*candidate));
    candidate->name_hash = chat_hash_text(engine->name);
    candidate->weight = engine->weight;
    candidate->same_zone = text_equal(engine->zone, call->gateway->settings->zone);
    candidate->usable = !engine->draining && call->tried[position] == 0;
    candidate->cached_tokens = text_equal(engine->base_url, call->begun.engine) ? call->begun.context_tokens : 0;
    endpoints_describe(&call->gateway->endpoints, text_or_empty(engine->base_url), now_ms, candidate);
}

static const Engine *chat_place(struct chat_call *call)
{
    size_t count = call->pool->engines_count < CHAT_MAX_ENGINES ? call->pool->engines_count : CHAT_MAX_ENGINES;
    struct placement_candidate *candidates = memory_new(count * sizeof(*candidates));
    uint64_t now_ms = clock_monotonic_ms();
    for (size_t i = 0; i < count; i++) {
        chat_describe_engine(call, i, now_ms, &candidates[i]);
    }
    struct placement_call placement = {
        .mode = call->policy == NULL ? PLACEMENT_MODE_AFFINITY : (enum placement_mode)call->policy->placement,
        .program_hash = chat_hash_text(call->program_id),
        .prompt_tokens = call->begun.context_tokens + call->request.new_tokens_bound / 4,
        .rotation = endpoints_rotate(&call->gateway->endpoints),
    };
    int chosen = placement_choose(&placement, candidates, count);
    free(candidates);
    if (chosen == PLACEMENT_NONE) {
        return NULL;
    }
    call->tried[chosen] = 1;
    return &call->pool->engines[chosen];
}

/* ---- Attempts --------------------------------------------------------------------------------- */

static enum endpoint_outcome chat_endpoint_outcome(const struct chat_answer *answer)
{
    if (answer->draining) {
        return ENDPOINT_DRAINING;
    }
    switch (answer->outcome) {
    case CHAT_DONE: return ENDPOINT_SUCCESS;
    case CHAT_REJECTED: return ENDPOINT_NEUTRAL;
    default: return ENDPOINT_FAILURE;
    }
}

static void chat_run_at(struct chat_call *call, const Engine *engine, const char *attempt_id)
{
    struct gateway *gateway = call->gateway;
    struct chat_attempt attempt = {
        .request = &call->request,
        .connection = call->connection,
        .engine_url = engine->base_url,
        .attempt_id = attempt_id,
        .caller_id_length = LEDGER_ATTEMPT_LENGTH,
        .program = call->single ? NULL : call->program_id,
        .model = text_or_empty(call->pool->model),
        .history = call->stored.history,
        .stream_headers = call->headers,
        .max_tokens = call->begun.granted_tokens,
        .priority = chat_priority(call->begun.attained_tokens),
        .timeout_ms = chat_time_left(call),
        .at_most_once = !call->request.repeatable,
        .stop_when_gone = call->single && call->request.idempotency_key == NULL,
    };
    chat_answer_close(&call->answer);
    uint64_t started_ms = clock_monotonic_ms();
    endpoints_begin(&gateway->endpoints, engine->base_url);
    chat_engine_run(&attempt, &call->answer);
    uint64_t now_ms = clock_monotonic_ms();
    endpoints_end(&gateway->endpoints, engine->base_url, chat_endpoint_outcome(&call->answer), now_ms,
                  now_ms - started_ms, &call->answer.report);
    if (call->answer.crossed) {
        gateway_count(gateway, answers_crossed);
        log_warn(CHAT_LOG, "%s answered attempt %s with another answer", engine->base_url, attempt_id);
    }
}

/* Whether the call may go to another engine after the outcome of the last one. */
static bool chat_may_retry(const struct chat_call *call)
{
    const struct chat_answer *answer = &call->answer;
    if (answer->stream_started || chat_time_left(call) == 0) {
        return false;
    }
    return answer->outcome == CHAT_NOT_RUN || (answer->outcome == CHAT_LOST && call->request.repeatable);
}

/* After a lost attempt the ledger charges what it may have spent and grants anew. */
static bool chat_replace_attempt(struct chat_call *call)
{
    char lost[LEDGER_ATTEMPT_LENGTH + 1];
    memcpy(lost, call->attempt, sizeof(lost));
    call->request.call = call->number;
    return chat_begin(call, lost) == RESULT_OK;
}

/* Runs the call until it is answered or nothing more may be tried. False: the
 * ledger refused another attempt and call->begun tells why. */
static bool chat_run(struct chat_call *call)
{
    bool given = call->policy != NULL && call->policy->max_attempts != 0;
    uint32_t limit = given ? call->policy->max_attempts : CHAT_DEFAULT_ATTEMPTS;
    limit = limit > CHAT_MAX_ENGINE_TRIES ? CHAT_MAX_ENGINE_TRIES : limit;
    endpoints_note_request(&call->gateway->endpoints);
    call->answer.outcome = CHAT_NOT_RUN;
    for (uint32_t attempt = 1; attempt <= limit; attempt++) {
        if (attempt > 1 && (!chat_may_retry(call) || !endpoints_take_retry(&call->gateway->endpoints))) {
            return true;
        }
        const Engine *engine = chat_place(call);
        if (engine == NULL) {
            return true;
        }
        if (attempt > 1) {
            gateway_count(call->gateway, attempts_retried);
            if (call->answer.outcome == CHAT_LOST && !chat_replace_attempt(call)) {
                return false;
            }
            clock_sleep_us((uint64_t)retry_backoff_ms(attempt - 1, call->deadline_ms) * 1000U);
        }
        char attempt_id[CHAT_ATTEMPT_ROOM];
        snprintf(attempt_id, sizeof(attempt_id), "%s-%u", call->attempt, attempt);
        chat_run_at(call, engine, attempt_id);
        free(call->begun.engine);
        call->begun.engine = text_copy(engine->base_url);
        if (call->answer.outcome == CHAT_DONE) {
            return true;
        }
    }
    return true;
}

/* ---- Finish ---------------------------------------------------------------------------------------- */

static ResultCode chat_finish(struct chat_call *call)
{
    struct chat_answer *answer = &call->answer;
    if (!answer->has_usage) {
        /* Without a report the bound that was reserved is what may have been spent. */
        answer->prompt_tokens = call->begun.context_tokens + call->request.new_tokens_bound;
        answer->completion_tokens = call->begun.granted_tokens;
    }
    char *message = json_dumps(answer->message, JSON_COMPACT);
    Entry entry = {0};
    entry.which_command = Entry_call_finish_tag;
    CallFinish *finish = &entry.command.call_finish;
    finish->program = (char *)(uintptr_t)call->program_id;
    finish->call = call->number;
    finish->attempt = call->attempt;
    finish->answer = message;
    finish->prompt_tokens = answer->prompt_tokens;
    finish->completion_tokens = answer->completion_tokens;
    finish->cached_tokens = answer->cached_tokens;
    finish->engine = call->begun.engine;
    finish->finish_reason = answer->finish_reason;
    EntryResult result;
    ResultCode code = gateway_propose(call->gateway, call->program_id, &entry, &result);
    call->finished_s = result.finished_s;
    message_free(EntryResult_fields, &result);
    if (code == RESULT_TIMEOUT || code == RESULT_UNAVAILABLE) {
        gateway_post(call->gateway, call->program_id, &entry);
    }
    free(message);
    return code;
}

/* The engine's answer with the id and time that a replay will have too. */
static void chat_send_whole(struct chat_call *call)
{
    struct buffer id = {0};
    buffer_printf(&id, CHAT_ID_PREFIX "%s", call->attempt);
    json_object_set_new(call->answer.whole, "id", json_string(buffer_text(&id)));
    json_object_set_new(call->answer.whole, "created", json_integer((json_int_t)call->finished_s));
    json_object_set_new(call->answer.whole, "model", json_string(text_or_empty(call->request.model)));
    chat_send_json(call, call->answer.whole);
    buffer_close(&id);
}

static void chat_send_answer(struct chat_call *call)
{
    struct chat_answer *answer = &call->answer;
    gateway_count(call->gateway, calls_finished);
    gateway_add(call->gateway, prompt_tokens, answer->prompt_tokens);
    gateway_add(call->gateway, cached_tokens, answer->cached_tokens);
    gateway_add(call->gateway, completion_tokens, answer->completion_tokens);
    if (!call->request.stream) {
        chat_send_whole(call);
        return;
    }
    if (!answer->stream_started) {
        answer->caller_gone = !http_start_stream(call->connection, "text/event-stream", call->headers);
    }
    buffer_append_text(&answer->held, "data: [DONE]\n\n");
    if (!answer->caller_gone && http_send_chunk(call->connection, buffer_view(&answer->held))) {
        http_end_stream(call->connection);
    }
}

/* The ledger did not confirm the finish in time: the answer is not final. */
static void chat_send_unconfirmed(struct chat_call *call, ResultCode code)
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

static void chat_send_failure(struct chat_call *call)
{
    struct chat_answer *answer = &call->answer;
    if (answer->outcome == CHAT_LOST) {
        struct http_error error = {502, "engine_failed", RUN_STATE_UNKNOWN, 0};
        chat_post_abort(call, ABORT_UNKNOWN);
        gateway_count(call->gateway, calls_unknown);
        chat_send_late_error(call, &error, "the engine was lost while it may have run the call");
        return;
    }
    chat_post_abort(call, ABORT_NOT_RUN);
    gateway_count(call->gateway, calls_refused);
    if (answer->outcome == CHAT_REJECTED) {
        struct http_error error = {answer->status, "engine_rejected", RUN_STATE_NOT_RUN, 0};
        http_send_error(call->connection, &error, "the engine refused the request: %s", text_or_empty(answer->error));
        return;
    }
    struct http_error error = {503, "no_engine", RUN_STATE_NOT_RUN, 1};
    http_send_error(call->connection, &error, "no engine of the pool can take the call now");
}

/* ---- The whole call ---------------------------------------------------------------------------------- */

static void chat_refuse(struct chat_call *call, const struct http_error *error, const char *message)
{
    gateway_count(call->gateway, calls_refused);
    http_send_error(call->connection, error, "%s", message);
}

/* Fetches the history that goes before the new messages. */
static bool chat_load_history(struct chat_call *call)
{
    if (call->single || call->begun.context_tokens == 0) {
        return true;
    }
    uint32_t through = call->number > 1 ? call->number - 1 : 0;
    ResultCode code = gateway_read_program(call->gateway, call->program_id, through, &call->stored);
    return code == RESULT_OK;
}

/* The policy may allow a call less time than the daemon does. */
static void chat_apply_policy_timeout(struct chat_call *call)
{
    uint32_t limit_ms = call->policy == NULL ? 0 : call->policy->call_timeout_ms;
    uint64_t end_ms = clock_monotonic_ms() + limit_ms;
    if (limit_ms != 0 && end_ms < call->deadline_ms) {
        call->deadline_ms = end_ms;
    }
}

static void chat_serve_begun(struct chat_call *call)
{
    static const struct http_error no_pool = {503, "no_pool", RUN_STATE_NOT_RUN, 1};
    static const struct http_error no_state = {503, "state_unavailable", RUN_STATE_NOT_RUN, 1};
    chat_set_headers(call);
    if (!chat_find_pool(call)) {
        chat_post_abort(call, ABORT_NOT_RUN);
        chat_refuse(call, &no_pool, "no pool with engines serves the policy or model");
        return;
    }
    chat_apply_policy_timeout(call);
    if (!chat_load_history(call)) {
        chat_post_abort(call, ABORT_NOT_RUN);
        chat_refuse(call, &no_state, "the stored history cannot be read now");
        return;
    }
    if (!chat_run(call)) {
        struct http_error error = {502, "engine_failed", RUN_STATE_UNKNOWN, 0};
        gateway_count(call->gateway, calls_unknown);
        http_send_error(call->connection, &error, "an attempt was lost and another one is not possible: %s",
                        text_or_empty(call->begun.message));
        return;
    }
    if (call->answer.outcome != CHAT_DONE) {
        chat_send_failure(call);
        return;
    }
    ResultCode code = chat_finish(call);
    if (code == RESULT_OK) {
        chat_send_answer(call);
    } else {
        chat_send_unconfirmed(call, code);
    }
}

/* With the whole history in the request, only what is new goes on. */
static bool chat_reduce_full_history(struct chat_call *call)
{
    if (!call->request.full_history || call->single) {
        return true;
    }
    ProgramView view;
    uint32_t through = call->request.call == 0 ? UINT32_MAX : call->request.call - 1;
    ResultCode code = through == 0 ? RESULT_OK : gateway_read_program(call->gateway, call->program_id, through, &view);
    if (through == 0) {
        return true;
    }
    bool extends = code == RESULT_OK && chat_request_drop_stored(&call->request, view.history);
    message_free(ProgramView_fields, &view);
    if (code != RESULT_OK) {
        EntryResult result = {.code = code};
        gateway_send_result_error(call->connection, &result);
    } else if (!extends) {
        struct http_error error = {409, "history_differs", RUN_STATE_NOT_RUN, 0};
        chat_refuse(call, &error, "the messages do not extend the stored history");
    }
    return extends;
}

static void chat_serve_admitted(struct chat_call *call)
{
    if (!chat_reduce_full_history(call)) {
        return;
    }
    ResultCode code = chat_begin(call, NULL);
    if (code == RESULT_OK) {
        gateway_count(call->gateway, calls_started);
        chat_serve_begun(call);
    } else if (code == RESULT_REPLAY) {
        chat_send_replay(call);
    } else {
        gateway_count(call->gateway, calls_refused);
        gateway_send_result_error(call->connection, &call->begun);
    }
}

static void chat_admit(struct chat_call *call, const struct admission_limits *limits)
{
    uint64_t retry_after_ms = 0;
    uint64_t estimate = call->request.new_tokens_bound / 4 + call->request.max_tokens;
    enum admission_verdict verdict = gateway_admit(call->gateway, call->tenant, limits, estimate, &retry_after_ms);
    if (verdict != ADMISSION_ACCEPTED) {
        bool rate = verdict == ADMISSION_RATE_LIMITED;
        struct http_error error = {429, rate ? "rate_limited" : "too_many_calls", RUN_STATE_NOT_RUN,
                                   (int)((retry_after_ms + 999) / 1000)};
        chat_refuse(call, &error, rate ? "the tenant's token rate is used up" : "the tenant has too many calls open");
        return;
    }
    chat_serve_admitted(call);
    uint64_t used = call->answer.prompt_tokens - call->answer.cached_tokens + call->answer.completion_tokens;
    gateway_release(call->gateway, call->tenant, estimate, used);
}

static void chat_send_findings(struct mg_connection *connection, const struct findings *findings)
{
    struct http_error error = {400, "invalid_request", RUN_STATE_NOT_RUN, 0};
    struct buffer report = {0};
    for (size_t i = 0; i < findings->count; i++) {
        buffer_printf(&report, "%s%s: %s", i == 0 ? "" : "; ", findings->items[i].place, findings->items[i].text);
    }
    http_send_error(connection, &error, "%s", buffer_text(&report));
    buffer_close(&report);
}

static void chat_serve(struct chat_call *call, struct view body)
{
    static const struct http_error not_ready = {503, "not_ready", RUN_STATE_NOT_RUN, 1};
    struct admission_limits limits;
    struct findings findings = {0};
    call->tenant = gateway_authenticate(call->gateway, call->connection, call->view, &limits, &call->default_policy);
    if (call->tenant == NULL) {
        return;
    }
    chat_request_read(&call->request, call->connection, body, &findings);
    if (findings.count > 0) {
        gateway_count(call->gateway, calls_refused);
        chat_send_findings(call->connection, &findings);
    } else if (!control_is_ready(call->gateway->control)) {
        chat_refuse(call, &not_ready, "this daemon has no lease from the state replicas");
    } else {
        uint64_t timeout_ms =
            call->request.deadline_ms != 0 ? call->request.deadline_ms : call->gateway->settings->call_timeout_ms;
        call->deadline_ms = clock_monotonic_ms() + timeout_ms;
        call->program_id = call->request.program;
        if (call->program_id == NULL) {
            chat_name_single(call);
        }
        chat_admit(call, &limits);
    }
    findings_close(&findings);
}

int chat_handle(struct mg_connection *connection, void *context)
{
    struct gateway *gateway = context;
    if (!gateway_enter(gateway, connection)) {
        return CHAT_HANDLED;
    }
    struct chat_call *call = memory_new(sizeof(*call));
    struct buffer body = {0};
    call->gateway = gateway;
    call->connection = connection;
    call->view = config_view_pin();
    size_t limit = (size_t)gateway->settings->max_body_bytes;
    struct http_error wrong_method = {405, "method_not_allowed", RUN_STATE_NOT_RUN, 0};
    struct http_error not_ready = {503, "not_ready", RUN_STATE_NOT_RUN, 1};
    if (strcmp(mg_get_request_info(connection)->request_method, "POST") != 0) {
        http_send_error(connection, &wrong_method, "use POST");
    } else if (call->view == NULL) {
        mg_disable_connection_keep_alive(connection);
        http_send_error(connection, &not_ready, "this daemon has no configuration yet");
    } else {
        enum http_body_result result = http_read_body(connection, limit, &body);
        if (result == HTTP_BODY_OK) {
            chat_serve(call, buffer_view(&body));
        } else {
            http_send_body_error(connection, result, limit);
        }
    }
    chat_request_close(&call->request);
    chat_answer_close(&call->answer);
    message_free(EntryResult_fields, &call->begun);
    message_free(ProgramView_fields, &call->stored);
    config_view_unpin(call->view);
    buffer_close(&body);
    free(call);
    gateway_leave(gateway);
    return CHAT_HANDLED;
}
