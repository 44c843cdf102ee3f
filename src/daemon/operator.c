#include "daemon/operator.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <pb_encode.h>

#include "base/clock.h"
#include "base/findings.h"
#include "base/message.h"
#include "daemon/operator_check.h"
#include "net/json_input.h"

enum {
    OPERATOR_HANDLED = 200,
    OPERATOR_MAX_BODY = 8 << 20,
    OPERATOR_WAIT_STEP_US = 20000,
    OPERATOR_WAIT_MAX_MS = 60000,
    OPERATOR_WAIT_DEFAULT_MS = 10000,
    OPERATOR_FIELD_RESOURCES = 1, /* field numbers of every List...Response */
    OPERATOR_FIELD_REVISION = 2
};

static const char OPERATOR_PATH[] = "/bankbank.v1.OperatorService/";

/* One call. */
struct operator_call {
    struct gateway *gateway;
    struct mg_connection *connection;
    struct view body;
    ResourceKind kind;
};

/* ---- Connect's answers ------------------------------------------------------------ */

/* Connect's error codes with their HTTP statuses. */
static int operator_http_status(const char *code)
{
    static const struct {
        const char *code;
        int status;
    } statuses[] = {
        {"invalid_argument", 400},   {"not_found", 404},   {"already_exists", 409},      {"aborted", 409},
        {"unimplemented", 404},      {"unavailable", 503}, {"failed_precondition", 400}, {"deadline_exceeded", 408},
        {"resource_exhausted", 429},
    };
    for (size_t i = 0; i < sizeof(statuses) / sizeof(statuses[0]); i++) {
        if (strcmp(statuses[i].code, code) == 0) {
            return statuses[i].status;
        }
    }
    return 500;
}

static void operator_send_error(struct operator_call *call, const char *code, enum run_state state, const char *text)
{
    json_t *body = json_pack("{s:s,s:s}", "code", code, "message", text_or_empty(text));
    char *encoded = json_dumps(body, JSON_COMPACT);
    struct buffer headers = {0};
    buffer_printf(&headers, "X-Run-State: %s\r\n", http_run_state_name(state));
    http_send(call->connection, operator_http_status(code), "application/json", buffer_text(&headers),
              view_of_string(encoded));
    buffer_close(&headers);
    free(encoded);
    json_decref(body);
}

static void operator_send_message(struct operator_call *call, const pb_msgdesc_t *fields, const void *message)
{
    struct buffer body = {0};
    if (message_encode(&body, fields, message)) {
        http_send(call->connection, 200, "application/proto", NULL, buffer_view(&body));
    } else {
        operator_send_error(call, "internal", RUN_STATE_RUN, "the answer cannot be encoded");
    }
    buffer_close(&body);
}

static void operator_send_result_error(struct operator_call *call, const EntryResult *result)
{
    char text[256];
    snprintf(text, sizeof(text), "%s", text_or_empty(result->message));
    switch (result->code) {
    case RESULT_NOT_FOUND: operator_send_error(call, "not_found", RUN_STATE_NOT_RUN, text); return;
    case RESULT_ALREADY_EXISTS: operator_send_error(call, "already_exists", RUN_STATE_NOT_RUN, text); return;
    case RESULT_ABORTED:
        if (result->revision != 0) {
            snprintf(text, sizeof(text), "%s; the current revision is %llu", text_or_empty(result->message),
                     (unsigned long long)result->revision);
        }
        operator_send_error(call, "aborted", RUN_STATE_NOT_RUN, text);
        return;
    case RESULT_INVALID: operator_send_error(call, "invalid_argument", RUN_STATE_NOT_RUN, text); return;
    case RESULT_CONFLICT: operator_send_error(call, "failed_precondition", RUN_STATE_NOT_RUN, text); return;
    case RESULT_UNAVAILABLE:
        operator_send_error(call, "unavailable", RUN_STATE_NOT_RUN, "no state replica can be reached");
        return;
    default:
        operator_send_error(call, "unavailable", RUN_STATE_UNKNOWN,
                            "no answer in time; send again with the same request_id to learn the outcome");
        return;
    }
}

/* ---- Resources ------------------------------------------------------------------------ */

static void operator_propose_change(struct operator_call *call, ConfigOperation operation, const ResourceChange *change,
                                    const char *name, struct view body)
{
    Entry entry = {0};
    entry.which_command = Entry_config_change_tag;
    ConfigChange *config = &entry.command.config_change;
    config->request_id = change->request_id;
    config->expected_revision = change->expected_revision;
    config->operation = operation;
    config->kind = call->kind;
    config->name = (char *)(uintptr_t)name;
    config->body = body;
    EntryResult result;
    if (gateway_propose_config(call->gateway, &entry, &result) == RESULT_OK) {
        ChangeResponse response = {.revision = result.revision};
        operator_send_message(call, ChangeResponse_fields, &response);
    } else {
        operator_send_result_error(call, &result);
    }
    message_free(EntryResult_fields, &result);
}

static void operator_change(struct operator_call *call, ConfigOperation operation)
{
    ResourceChange change = {0};
    if (!message_decode(call->body, ResourceChange_fields, &change)) {
        operator_send_error(call, "invalid_argument", RUN_STATE_NOT_RUN, "the request does not decode");
        return;
    }
    if (operation == CONFIG_DELETE) {
        char *name = memory_copy(change.resource.data, change.resource.length);
        operator_propose_change(call, operation, &change, name, view_of(NULL, 0));
        free(name);
    } else {
        struct findings findings = {0};
        char *name = operator_check_resource(call->kind, change.resource, &findings);
        if (findings.count > 0) {
            struct buffer report = {0};
            findings_report(&findings, &report);
            operator_send_error(call, "invalid_argument", RUN_STATE_NOT_RUN, buffer_text(&report));
            buffer_close(&report);
        } else {
            operator_propose_change(call, operation, &change, name, change.resource);
        }
        free(name);
        findings_close(&findings);
    }
    message_free(ResourceChange_fields, &change);
}

/* Reads the whole configuration, linearizably. Close with message_free and buffer_close. */
static bool operator_read_config(struct operator_call *call, struct buffer *reply, ConfigState *state)
{
    ConfigQuery query = {0};
    struct buffer body = {0};
    memset(state, 0, sizeof(*state));
    message_encode(&body, ConfigQuery_fields, &query);
    ResultCode code = control_call(call->gateway->control, STATE_CONFIG_GROUP, REQUEST_CONFIG, buffer_view(&body),
                                   GATEWAY_CONTROL_MS, reply);
    buffer_close(&body);
    if (code == RESULT_OK && message_decode(buffer_view(reply), ConfigState_fields, state)) {
        return true;
    }
    operator_send_error(call, "unavailable", RUN_STATE_NOT_RUN, "no state replica answers");
    return false;
}

static void operator_get(struct operator_call *call)
{
    ResourceName request = {0};
    struct buffer reply = {0};
    ConfigState state;
    if (!message_decode(call->body, ResourceName_fields, &request)) {
        operator_send_error(call, "invalid_argument", RUN_STATE_NOT_RUN, "the request does not decode");
        return;
    }
    if (operator_read_config(call, &reply, &state)) {
        const ConfigItem *found = NULL;
        for (pb_size_t i = 0; i < state.items_count; i++) {
            bool match = state.items[i].kind == call->kind && text_equal(state.items[i].name, request.name);
            found = match ? &state.items[i] : found;
        }
        if (found != NULL) {
            ResourceReply response = {.resource = found->body, .revision = state.revision};
            operator_send_message(call, ResourceReply_fields, &response);
        } else {
            operator_send_error(call, "not_found", RUN_STATE_NOT_RUN, "no such resource");
        }
        message_free(ConfigState_fields, &state);
    }
    message_free(ResourceName_fields, &request);
    buffer_close(&reply);
}

static void operator_list(struct operator_call *call)
{
    struct buffer reply = {0};
    ConfigState state;
    if (!operator_read_config(call, &reply, &state)) {
        buffer_close(&reply);
        return;
    }
    struct buffer body = {0};
    uint8_t *place = buffer_reserve(&body, reply.length + 32);
    pb_ostream_t stream = pb_ostream_from_buffer(place, reply.length + 32);
    bool encoded = true;
    for (pb_size_t i = state.items_count; i > 0; i--) {
        const ConfigItem *item = &state.items[i - 1];
        if (item->kind == call->kind) {
            encoded = encoded && pb_encode_tag(&stream, PB_WT_STRING, OPERATOR_FIELD_RESOURCES) &&
                      pb_encode_string(&stream, item->body.data, item->body.length);
        }
    }
    encoded = encoded && pb_encode_tag(&stream, PB_WT_VARINT, OPERATOR_FIELD_REVISION) &&
              pb_encode_varint(&stream, state.revision);
    body.length = stream.bytes_written;
    if (encoded) {
        http_send(call->connection, 200, "application/proto", NULL, buffer_view(&body));
    } else {
        operator_send_error(call, "internal", RUN_STATE_RUN, "the answer cannot be encoded");
    }
    buffer_close(&body);
    buffer_close(&reply);
    message_free(ConfigState_fields, &state);
}

/* ---- Hand-over ----------------------------------------------------------------------------- */

/* Stored form of the history: JSON messages without the outer brackets. */
static char *operator_strip_history(const char *history_json, struct findings *findings)
{
    json_t *messages =
        json_input_parse(view_of_string(text_or_empty(history_json)[0] == '\0' ? "[]" : history_json), NULL);
    char *stripped = NULL;
    if (!json_is_array(messages)) {
        findings_add(findings, "history_json", "must be a JSON list of messages");
    } else {
        char *text = json_dumps(messages, JSON_COMPACT);
        stripped = memory_copy(text + 1, strlen(text) - 2);
        free(text);
    }
    json_decref(messages);
    return stripped;
}

static void operator_check_handover(const HandoverRequest *request, HandoverStep step, struct findings *findings)
{
    const Handover *handover = &request->handover;
    if (!request->has_handover || text_or_empty(handover->program_id)[0] == '\0') {
        findings_add(findings, "handover.program_id", "is required");
    }
    if (text_or_empty(handover->old_site)[0] == '\0') {
        findings_add(findings, "handover.old_site", "is required");
    }
    if (step == HANDOVER_STEP_IMPORT && text_or_empty(handover->tenant)[0] == '\0') {
        findings_add(findings, "handover.tenant", "is required");
    }
}

static void operator_send_handover(struct operator_call *call, const Handover *asked)
{
    ProgramView view;
    ResultCode code = gateway_read_program(call->gateway, asked->program_id, 0, &view);
    if (code != RESULT_OK) {
        EntryResult result = {.code = code};
        operator_send_result_error(call, &result);
        return;
    }
    HandoverResponse response = {.has_handover = true};
    Handover *handover = &response.handover;
    handover->program_id = view.id;
    handover->old_site = view.owner;
    handover->old_epoch = view.owner_epoch;
    handover->tenant = view.tenant;
    handover->policy = view.policy;
    handover->budget_tokens = view.budget_tokens;
    handover->spent_tokens = view.spent_tokens;
    handover->next_call = view.next_call;
    handover->context_tokens = view.context_tokens;
    switch (view.state) {
    case LEDGER_PROGRAM_PREPARED: handover->state = HANDOVER_PREPARED; break;
    case LEDGER_PROGRAM_IMPORTED: handover->state = HANDOVER_IMPORTED; break;
    case LEDGER_PROGRAM_ABORTED: handover->state = HANDOVER_ABORTED; break;
    default: handover->state = HANDOVER_COMMITTED; break;
    }
    operator_send_message(call, HandoverResponse_fields, &response);
    message_free(ProgramView_fields, &view);
}

static void operator_propose_handover(struct operator_call *call, const Handover *handover, HandoverStep step,
                                      char *history)
{
    Entry entry = {0};
    entry.which_command = Entry_handover_change_tag;
    HandoverChange *change = &entry.command.handover_change;
    change->step = step;
    change->program = handover->program_id;
    change->old_site = handover->old_site;
    change->old_epoch = handover->old_epoch;
    change->tenant = handover->tenant;
    change->policy = handover->policy;
    change->budget_tokens = handover->budget_tokens;
    change->spent_tokens = handover->spent_tokens;
    change->next_call = handover->next_call;
    change->context_tokens = handover->context_tokens;
    change->history = history;
    EntryResult result;
    if (gateway_propose(call->gateway, handover->program_id, &entry, &result) == RESULT_OK) {
        operator_send_handover(call, handover);
    } else {
        operator_send_result_error(call, &result);
    }
    message_free(EntryResult_fields, &result);
}

static void operator_handover(struct operator_call *call, HandoverStep step)
{
    HandoverRequest request = {0};
    struct findings findings = {0};
    if (!message_decode(call->body, HandoverRequest_fields, &request)) {
        operator_send_error(call, "invalid_argument", RUN_STATE_NOT_RUN, "the request does not decode");
        return;
    }
    operator_check_handover(&request, step, &findings);
    char *history = operator_strip_history(request.handover.history_json, &findings);
    if (findings.count > 0) {
        struct buffer report = {0};
        findings_report(&findings, &report);
        operator_send_error(call, "invalid_argument", RUN_STATE_NOT_RUN, buffer_text(&report));
        buffer_close(&report);
    } else {
        operator_propose_handover(call, &request.handover, step, history);
    }
    free(history);
    findings_close(&findings);
    message_free(HandoverRequest_fields, &request);
}

/* ---- Status -------------------------------------------------------------------------------- */

static void operator_status(struct operator_call *call)
{
    struct control_status status;
    control_read_status(call->gateway->control, &status);
    GetStatusResponse response = {0};
    response.node = (uint32_t)call->gateway->settings->node;
    response.zone = call->gateway->settings->zone;
    response.revision = status.revision;
    response.ready = status.ready;
    response.groups_count = (pb_size_t)status.group_count;
    response.groups = status.groups;
    operator_send_message(call, GetStatusResponse_fields, &response);
}

/* Asks the leader of group 0 who lags; true: nobody does. */
static bool operator_is_in_force(struct operator_call *call, uint64_t revision, struct buffer *reply, LagList *list)
{
    LagQuery query = {.revision = revision};
    struct buffer body = {0};
    memset(list, 0, sizeof(*list));
    buffer_clear(reply);
    message_encode(&body, LagQuery_fields, &query);
    ResultCode code = control_call(call->gateway->control, STATE_CONFIG_GROUP, REQUEST_LAG, buffer_view(&body),
                                   GATEWAY_CONTROL_MS, reply);
    buffer_close(&body);
    bool read = code == RESULT_OK && message_decode(buffer_view(reply), LagList_fields, list);
    return read && list->revision >= revision && list->nodes_count == 0;
}

static void operator_wait(struct operator_call *call)
{
    WaitRevisionRequest request = {0};
    if (!message_decode(call->body, WaitRevisionRequest_fields, &request)) {
        operator_send_error(call, "invalid_argument", RUN_STATE_NOT_RUN, "the request does not decode");
        return;
    }
    uint32_t timeout_ms = request.timeout_ms == 0 ? OPERATOR_WAIT_DEFAULT_MS : request.timeout_ms;
    timeout_ms = timeout_ms > OPERATOR_WAIT_MAX_MS ? OPERATOR_WAIT_MAX_MS : timeout_ms;
    uint64_t deadline_ms = clock_monotonic_ms() + timeout_ms;
    struct buffer reply = {0};
    LagList list;
    bool in_force = operator_is_in_force(call, request.revision, &reply, &list);
    while (!in_force && clock_monotonic_ms() < deadline_ms) {
        message_free(LagList_fields, &list);
        clock_sleep_us(OPERATOR_WAIT_STEP_US);
        in_force = operator_is_in_force(call, request.revision, &reply, &list);
    }
    WaitRevisionResponse response = {.in_force = in_force, .revision = list.revision};
    response.lagging_nodes_count = list.nodes_count;
    response.lagging_nodes = list.nodes;
    operator_send_message(call, WaitRevisionResponse_fields, &response);
    message_free(LagList_fields, &list);
    buffer_close(&reply);
}

/* ---- Replicas ------------------------------------------------------------------------------ */

/* One step in one group, repeated while the group cannot take it yet. */
static ResultCode operator_change_member(struct operator_call *call, uint32_t group, uint32_t node, MemberAction action,
                                         uint64_t deadline_ms)
{
    MemberChange change = {.node = node, .action = action};
    struct buffer body = {0};
    struct buffer reply = {0};
    message_encode(&body, MemberChange_fields, &change);
    ResultCode code = RESULT_ABORTED;
    while (code != RESULT_OK && code != RESULT_INVALID && clock_monotonic_ms() < deadline_ms) {
        buffer_clear(&reply);
        code = control_call(call->gateway->control, group, REQUEST_MEMBERS, buffer_view(&body), GATEWAY_CONTROL_MS,
                            &reply);
        if (code != RESULT_OK) {
            clock_sleep_us(OPERATOR_WAIT_STEP_US);
        }
    }
    buffer_close(&body);
    buffer_close(&reply);
    return code;
}

static void operator_change_replica(struct operator_call *call)
{
    ChangeReplicaRequest request = {0};
    if (!message_decode(call->body, ChangeReplicaRequest_fields, &request) || request.node == 0) {
        operator_send_error(call, "invalid_argument", RUN_STATE_NOT_RUN, "node: a replica's id is needed");
        return;
    }
    uint32_t timeout_ms = request.timeout_ms == 0 ? OPERATOR_WAIT_MAX_MS : request.timeout_ms;
    uint64_t deadline_ms = clock_monotonic_ms() + timeout_ms;
    bool add = request.action == REPLICA_ADD;
    uint32_t groups = (uint32_t)call->gateway->settings->groups;
    for (uint32_t group = 0; group < groups; group++) {
        ResultCode code =
            operator_change_member(call, group, request.node, add ? MEMBER_ADD_LEARNER : MEMBER_REMOVE, deadline_ms);
        if (code == RESULT_OK && add) {
            code = operator_change_member(call, group, request.node, MEMBER_PROMOTE, deadline_ms);
        }
        if (code != RESULT_OK) {
            struct buffer text = {0};
            buffer_printf(&text, "group %u of %u could not be changed in time; repeat the command", group, groups);
            operator_send_error(call, "deadline_exceeded", RUN_STATE_UNKNOWN, buffer_text(&text));
            buffer_close(&text);
            return;
        }
    }
    ChangeReplicaResponse response = {.groups = groups};
    operator_send_message(call, ChangeReplicaResponse_fields, &response);
}

/* ---- Dispatch --------------------------------------------------------------------------------- */

static void operator_run_create(struct operator_call *call)
{
    operator_change(call, CONFIG_CREATE);
}
static void operator_run_update(struct operator_call *call)
{
    operator_change(call, CONFIG_UPDATE);
}
static void operator_run_delete(struct operator_call *call)
{
    operator_change(call, CONFIG_DELETE);
}
static void operator_run_prepare(struct operator_call *call)
{
    operator_handover(call, HANDOVER_STEP_PREPARE);
}
static void operator_run_import(struct operator_call *call)
{
    operator_handover(call, HANDOVER_STEP_IMPORT);
}
static void operator_run_commit(struct operator_call *call)
{
    operator_handover(call, HANDOVER_STEP_COMMIT);
}
static void operator_run_abort(struct operator_call *call)
{
    operator_handover(call, HANDOVER_STEP_ABORT);
}

/* Every method with its handler. */
static const struct {
    const char *name;
    void (*run)(struct operator_call *call);
    ResourceKind kind;
} operator_methods[] = {
    {"CreateService", operator_run_create, RESOURCE_SERVICE},
    {"UpdateService", operator_run_update, RESOURCE_SERVICE},
    {"DeleteService", operator_run_delete, RESOURCE_SERVICE},
    {"GetService", operator_get, RESOURCE_SERVICE},
    {"ListServices", operator_list, RESOURCE_SERVICE},
    {"CreatePool", operator_run_create, RESOURCE_POOL},
    {"UpdatePool", operator_run_update, RESOURCE_POOL},
    {"DeletePool", operator_run_delete, RESOURCE_POOL},
    {"GetPool", operator_get, RESOURCE_POOL},
    {"ListPools", operator_list, RESOURCE_POOL},
    {"CreatePolicy", operator_run_create, RESOURCE_POLICY},
    {"UpdatePolicy", operator_run_update, RESOURCE_POLICY},
    {"DeletePolicy", operator_run_delete, RESOURCE_POLICY},
    {"GetPolicy", operator_get, RESOURCE_POLICY},
    {"ListPolicies", operator_list, RESOURCE_POLICY},
    {"CreateTenant", operator_run_create, RESOURCE_TENANT},
    {"UpdateTenant", operator_run_update, RESOURCE_TENANT},
    {"DeleteTenant", operator_run_delete, RESOURCE_TENANT},
    {"GetTenant", operator_get, RESOURCE_TENANT},
    {"ListTenants", operator_list, RESOURCE_TENANT},
    {"PrepareHandover", operator_run_prepare, 0},
    {"ImportHandover", operator_run_import, 0},
    {"CommitHandover", operator_run_commit, 0},
    {"AbortHandover", operator_run_abort, 0},
    {"GetStatus", operator_status, 0},
    {"ChangeReplica", operator_change_replica, 0},
    {"WaitRevision", operator_wait, 0},
};

static void operator_dispatch(struct operator_call *call, const char *method)
{
    for (size_t i = 0; i < sizeof(operator_methods) / sizeof(operator_methods[0]); i++) {
        if (strcmp(operator_methods[i].name, method) == 0) {
            call->kind = operator_methods[i].kind;
            operator_methods[i].run(call);
            return;
        }
    }
    operator_send_error(call, "unimplemented", RUN_STATE_NOT_RUN, "there is no such method");
}

int operator_handle(struct mg_connection *connection, void *context)
{
    struct operator_call call = {.gateway = context, .connection = connection};
    const struct mg_request_info *info = mg_get_request_info(connection);
    const char *type = mg_get_header(connection, "Content-Type");
    struct buffer body = {0};
    if (strcmp(info->request_method, "POST") != 0) {
        struct http_error error = {405, "method_not_allowed", RUN_STATE_NOT_RUN, 0};
        http_send_error(connection, &error, "use POST");
        return OPERATOR_HANDLED;
    }
    enum http_body_result result =
        info->content_length == 0 ? HTTP_BODY_OK : http_read_body(connection, OPERATOR_MAX_BODY, &body);
    if (type == NULL || strcmp(type, "application/proto") != 0) {
        struct http_error error = {415, "unsupported_media_type", RUN_STATE_NOT_RUN, 0};
        http_send_error(connection, &error, "Content-Type must be application/proto");
    } else if (result != HTTP_BODY_OK) {
        operator_send_error(&call, "invalid_argument", RUN_STATE_NOT_RUN, "the body is cut off or too large");
        mg_disable_connection_keep_alive(connection);
    } else {
        call.body = buffer_view(&body);
        operator_dispatch(&call, info->local_uri + sizeof(OPERATOR_PATH) - 1);
    }
    buffer_close(&body);
    return OPERATOR_HANDLED;
}
