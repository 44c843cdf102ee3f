#include "daemon/chat.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/message.h"
#include "daemon/chat_call.h"

enum { CHAT_HANDLED = 200 };

/* Reads the stored messages up to the previous call. */
static bool chat_load_history(struct chat_call *call)
{
    if (call->single_call || call->begin_result.context_tokens == 0) {
        return true;
    }
    uint32_t through = call->call_number > 1 ? call->call_number - 1 : 0;
    ResultCode code = gateway_read_program(call->gateway, call->program_id, through, &call->stored_program);
    return code == RESULT_OK;
}

/* A policy may shorten the deadline, never extend it. */
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
    static const struct http_error no_model = {404, "model_not_found", RUN_STATE_NOT_RUN, 0};
    static const struct http_error no_state = {503, "state_unavailable", RUN_STATE_NOT_RUN, 1};
    chat_set_headers(call);
    if (!chat_find_pool(call)) {
        chat_record_abort(call, ABORT_NOT_RUN);
        if (!chat_model_is_known(call)) {
            chat_refuse(call, &no_model, "no pool serves the model");
            return;
        }
        chat_refuse(call, &no_pool, "no pool with engines serves the policy or model");
        return;
    }
    chat_apply_policy_timeout(call);
    if (!chat_load_history(call)) {
        chat_record_abort(call, ABORT_NOT_RUN);
        chat_refuse(call, &no_state, "the stored history cannot be read now");
        return;
    }
    if (!chat_run(call)) {
        struct http_error error = {502, "engine_failed", RUN_STATE_UNKNOWN, 0};
        gateway_count(call->gateway, calls_unknown);
        http_send_error(call->connection, &error, "an attempt was lost and another one is not possible: %s",
                        text_or_empty(call->begin_result.message));
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

/* With full history in the request, keeps only the new messages; false: an error was sent. */
static bool chat_strip_stored_history(struct chat_call *call)
{
    if (!call->request.full_history || call->single_call) {
        return true;
    }
    ProgramView view;
    uint32_t through = call->request.call_number == 0 ? UINT32_MAX : call->request.call_number - 1;
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
    if (!chat_strip_stored_history(call)) {
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
        gateway_send_result_error(call->connection, &call->begin_result);
    }
}

static void chat_admit(struct chat_call *call, const struct admission_limits *limits)
{
    uint64_t retry_after_ms = 0;
    uint64_t estimate = call->request.new_tokens_bound / 4 + call->request.max_tokens;
    enum admission_result result = gateway_admit(call->gateway, call->tenant, limits, estimate, &retry_after_ms);
    if (result != ADMISSION_ACCEPTED) {
        bool rate = result == ADMISSION_RATE_LIMITED;
        struct http_error error = {429, rate ? "rate_limited" : "too_many_calls", RUN_STATE_NOT_RUN,
                                   (int)((retry_after_ms + 999) / 1000)};
        chat_refuse(call, &error, rate ? "the tenant's token rate is used up" : "the tenant has too many calls open");
        return;
    }
    chat_serve_admitted(call);
    uint64_t used = call->answer.prompt_tokens - call->answer.cached_tokens + call->answer.completion_tokens;
    gateway_release_admission(call->gateway, call->tenant, estimate, used);
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
        call->program_id = call->request.program_id;
        if (call->program_id == NULL) {
            chat_assign_program_id(call);
        }
        chat_admit(call, &limits);
    }
    findings_close(&findings);
}

int chat_handle(struct mg_connection *connection, void *context)
{
    struct gateway *gateway = context;
    if (!gateway_begin_request(gateway, connection)) {
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
        enum http_body_result result = http_read_body(connection, limit, &gateway->bodies, &body);
        if (result == HTTP_BODY_OK) {
            chat_serve(call, buffer_view(&body));
        } else {
            http_send_body_error(connection, result, limit);
        }
    }
    chat_request_close(&call->request);
    chat_answer_close(&call->answer);
    message_free(EntryResult_fields, &call->begin_result);
    message_free(ProgramView_fields, &call->stored_program);
    config_view_unpin(call->view);
    http_release_body(&gateway->bodies, &body);
    free(call);
    gateway_end_request(gateway);
    return CHAT_HANDLED;
}
