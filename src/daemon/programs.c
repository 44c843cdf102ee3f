#include "daemon/programs.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/message.h"
#include "net/json_input.h"

enum {
    PROGRAMS_HANDLED = 200,
    PROGRAMS_ID_SUFFIX_DIGITS = 24,
    PROGRAMS_ID_PREFIX_DIGITS = 8,
    PROGRAMS_MAX_TEXT_LENGTH = 128
};

static const char PROGRAMS_PATH[] = "/v1/programs";
static const char PROGRAMS_HEADERS[] = "X-Run-State: run\r\n";

struct programs_request {
    struct gateway *gateway;
    struct mg_connection *connection;
    struct config_view *view;
    const char *tenant;
    const char *default_policy;
};

static void programs_send_json(struct programs_request *request, int status, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    http_send(request->connection, status, "application/json", PROGRAMS_HEADERS, view_of_string(text));
    free(text);
    json_decref(body);
}

static void programs_send_result_code(struct programs_request *request, ResultCode code)
{
    EntryResult result = {.code = code};
    if (code == RESULT_NOT_FOUND) {
        result.message = (char *)(uintptr_t) "no such program";
    }
    gateway_send_result_error(request->connection, &result);
}

/* ---- Create ---------------------------------------------------------------------- */

static const char *programs_read_text(const json_t *body, const char *key, struct findings *findings)
{
    const json_t *value = json_object_get(body, key);
    const char *text = json_string_value(value);
    if (value != NULL && !json_is_null(value) && (text == NULL || strlen(text) > PROGRAMS_MAX_TEXT_LENGTH)) {
        findings_add(findings, key, "must be a text of at most %d characters", PROGRAMS_MAX_TEXT_LENGTH);
    }
    return text;
}

static uint64_t programs_read_number(const json_t *body, const char *key, struct findings *findings)
{
    const json_t *value = json_object_get(body, key);
    if (value == NULL || json_is_null(value)) {
        return 0;
    }
    if (!json_is_integer(value) || json_integer_value(value) < 0) {
        findings_add(findings, key, "must be a whole number from 0");
        return 0;
    }
    return (uint64_t)json_integer_value(value);
}

static void programs_check_keys(const json_t *body, struct findings *findings)
{
    static const char *const known_keys[] = {"tenant", "policy", "budget_tokens", "deadline_ms", "parent"};
    const char *key = NULL;
    json_t *value = NULL;
    json_object_foreach((json_t *)(uintptr_t)body, key, value)
    {
        bool found = false;
        for (size_t i = 0; i < sizeof(known_keys) / sizeof(known_keys[0]); i++) {
            found = found || strcmp(known_keys[i], key) == 0;
        }
        if (!found) {
            findings_add(findings, key, "unknown field");
        }
    }
}

/* A child's id starts with its parent's prefix, which maps it to the same group.
 * With an Idempotency-Key the id is derived from the key, so that a resent request gets the same id. */
static void programs_make_id(const struct programs_request *request, const char *parent, char *id, size_t size)
{
    char prefix[GATEWAY_ID_LENGTH + 1];
    char suffix[PROGRAMS_ID_SUFFIX_DIGITS + 1];
    const char *key = mg_get_header(request->connection, "Idempotency-Key");
    gateway_random_hex(prefix, PROGRAMS_ID_PREFIX_DIGITS);
    gateway_random_hex(suffix, PROGRAMS_ID_SUFFIX_DIGITS);
    if (key != NULL) {
        uint64_t seed = XXH64(request->tenant, strlen(request->tenant), 1);
        XXH128_hash_t hash = XXH3_128bits_withSeed(key, strlen(key), seed);
        snprintf(prefix, sizeof(prefix), "%08" PRIx32, (uint32_t)hash.high64);
        snprintf(suffix, sizeof(suffix), "%016" PRIx64 "%08" PRIx32, hash.low64, (uint32_t)(hash.high64 >> 32));
    }
    if (parent != NULL) {
        const char *dash = strchr(parent, '-');
        size_t length = dash == NULL ? strlen(parent) : (size_t)(dash - parent);
        snprintf(id, size, "%.*s-%s", (int)length, parent, suffix);
    } else {
        snprintf(id, size, "p%s-%s", prefix, suffix);
    }
}

/* Without a name, returns the tenant's default policy, or else the first policy by name. */
static const Policy *programs_find_policy(const struct programs_request *request, const char *name,
                                          struct findings *findings)
{
    const char *policy_name = name != NULL ? name : request->default_policy;
    const Policy *policy = NULL;
    if (text_or_empty(policy_name)[0] != '\0') {
        policy = config_view_policy(request->view, policy_name);
    } else if (request->view->policy_count > 0) {
        policy = &request->view->policies[0];
    }
    if (policy == NULL) {
        findings_add(findings, "policy", "there is no policy '%s'", text_or_empty(policy_name));
    }
    return policy;
}

static void programs_propose_create(struct programs_request *request, const json_t *body, const Policy *policy)
{
    struct findings ignored = {0};
    const char *parent = json_string_value(json_object_get(body, "parent"));
    uint64_t budget = programs_read_number(body, "budget_tokens", &ignored);
    uint64_t deadline_ms = programs_read_number(body, "deadline_ms", &ignored);
    char id[2 * GATEWAY_ID_LENGTH + PROGRAMS_MAX_TEXT_LENGTH];
    programs_make_id(request, parent, id, sizeof(id));
    Entry entry = {0};
    entry.which_command = Entry_program_create_tag;
    ProgramCreate *create = &entry.command.program_create;
    create->id = id;
    create->tenant = (char *)(uintptr_t)request->tenant;
    create->policy = policy->name;
    create->parent = (char *)(uintptr_t)parent;
    create->budget_tokens = budget != 0 ? budget : policy->default_budget_tokens;
    create->deadline_ms = deadline_ms == 0 ? 0 : clock_wall_ms() + deadline_ms;
    create->max_turns = policy->max_turns;
    create->max_identical_calls = policy->max_identical_calls;
    EntryResult result;
    ResultCode code = gateway_propose(request->gateway, id, &entry, &result);
    if (code == RESULT_OK) {
        programs_send_json(request, 201,
                           json_pack("{s:s,s:s,s:s,s:I,s:i}", "id", id, "tenant", request->tenant, "policy",
                                     policy->name, "budget_tokens", (json_int_t)create->budget_tokens, "next_call", 1));
    } else {
        gateway_send_result_error(request->connection, &result);
    }
    message_free(EntryResult_fields, &result);
}

static void programs_create(struct programs_request *request, struct view data)
{
    struct findings findings = {0};
    json_t *body = data.length == 0 ? json_object() : json_input_parse_client(data, NULL);
    const Policy *policy = NULL;
    if (!json_is_object(body)) {
        findings_add(&findings, "body", "must be a JSON object");
    } else {
        programs_check_keys(body, &findings);
        const char *tenant = programs_read_text(body, "tenant", &findings);
        if (tenant != NULL && strcmp(tenant, request->tenant) != 0) {
            findings_add(&findings, "tenant", "is not the tenant of the key");
        }
        programs_read_text(body, "parent", &findings);
        programs_read_number(body, "budget_tokens", &findings);
        programs_read_number(body, "deadline_ms", &findings);
        policy = programs_find_policy(request, programs_read_text(body, "policy", &findings), &findings);
    }
    if (findings.count > 0 || policy == NULL) {
        struct http_error invalid = {400, "invalid_request", RUN_STATE_NOT_RUN, 0};
        struct buffer report = {0};
        findings_report(&findings, &report);
        http_send_error(request->connection, &invalid, "%s", buffer_text(&report));
        buffer_close(&report);
    } else {
        programs_propose_create(request, body, policy);
    }
    findings_close(&findings);
    json_decref(body);
}

/* ---- Get, history and end --------------------------------------------------------------------- */

static const char *programs_state_name(uint32_t state)
{
    static const char *const names[] = {"open", "ended", "handover-prepared", "handover-imported", "handover-aborted"};
    return state < sizeof(names) / sizeof(names[0]) ? names[state] : "unknown";
}

/* Reads a program of the caller's tenant; false: an error was sent. */
static bool programs_read(struct programs_request *request, const char *id, uint32_t through_call, ProgramView *view)
{
    ResultCode code = gateway_read_program(request->gateway, id, through_call, view);
    if (code == RESULT_OK && !text_equal(view->tenant, request->tenant)) {
        message_free(ProgramView_fields, view);
        code = RESULT_NOT_FOUND;
    }
    if (code != RESULT_OK) {
        programs_send_result_code(request, code);
    }
    return code == RESULT_OK;
}

static void programs_get(struct programs_request *request, const char *id)
{
    ProgramView view;
    if (!programs_read(request, id, 0, &view)) {
        return;
    }
    json_t *body =
        json_pack("{s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:I}", "id", view.id, "tenant", text_or_empty(view.tenant), "policy",
                  text_or_empty(view.policy), "state", programs_state_name(view.state), "budget_tokens",
                  (json_int_t)view.budget_tokens, "spent_tokens", (json_int_t)view.spent_tokens, "reserved_tokens",
                  (json_int_t)view.reserved_tokens, "next_call", (json_int_t)view.next_call);
    if (text_or_empty(view.parent)[0] != '\0') {
        json_object_set_new(body, "parent", json_string(view.parent));
    }
    message_free(ProgramView_fields, &view);
    programs_send_json(request, 200, body);
}

static void programs_history(struct programs_request *request, const char *id)
{
    ProgramView view;
    if (!programs_read(request, id, UINT32_MAX, &view)) {
        return;
    }
    struct buffer body = {0};
    buffer_append_text(&body, "{\"messages\":[");
    buffer_append_text(&body, view.history);
    buffer_append_text(&body, "]}");
    http_send(request->connection, 200, "application/json", PROGRAMS_HEADERS, buffer_view(&body));
    buffer_close(&body);
    message_free(ProgramView_fields, &view);
}

static void programs_end(struct programs_request *request, const char *id)
{
    Entry entry = {0};
    entry.which_command = Entry_program_end_tag;
    entry.command.program_end.id = (char *)(uintptr_t)id;
    entry.command.program_end.tenant = (char *)(uintptr_t)request->tenant;
    EntryResult result;
    if (gateway_propose(request->gateway, id, &entry, &result) == RESULT_OK) {
        programs_send_json(request, 200, json_pack("{s:s,s:s}", "id", id, "state", "ended"));
    } else {
        gateway_send_result_error(request->connection, &result);
    }
    message_free(EntryResult_fields, &result);
}

/* ---- Dispatch -------------------------------------------------------------------------- */

static void programs_dispatch_program(struct programs_request *request, const char *method, char *path)
{
    static const struct http_error wrong_method = {405, "method_not_allowed", RUN_STATE_NOT_RUN, 0};
    static const struct http_error not_found = {404, "not_found", RUN_STATE_NOT_RUN, 0};
    char *subresource = strchr(path, '/');
    bool history = subresource != NULL && strcmp(subresource, "/history") == 0;
    if (subresource != NULL && !history) {
        http_send_error(request->connection, &not_found, "no such resource");
        return;
    }
    if (subresource != NULL) {
        *subresource = '\0';
    }
    if (strcmp(method, "GET") == 0) {
        if (history) {
            programs_history(request, path);
        } else {
            programs_get(request, path);
        }
    } else if (strcmp(method, "DELETE") == 0 && !history) {
        programs_end(request, path);
    } else {
        http_send_error(request->connection, &wrong_method, "use GET%s", history ? "" : " or DELETE");
    }
}

static void programs_dispatch(struct programs_request *request)
{
    static const struct http_error wrong_method = {405, "method_not_allowed", RUN_STATE_NOT_RUN, 0};
    const struct mg_request_info *info = mg_get_request_info(request->connection);
    const char *subpath = info->local_uri + sizeof(PROGRAMS_PATH) - 1;
    if (subpath[0] == '/' && subpath[1] != '\0') {
        char *path = text_copy(subpath + 1);
        programs_dispatch_program(request, info->request_method, path);
        free(path);
        return;
    }
    if (strcmp(info->request_method, "POST") != 0) {
        http_send_error(request->connection, &wrong_method, "use POST to create a program");
        return;
    }
    struct buffer body = {0};
    size_t limit = (size_t)request->gateway->settings->max_body_bytes;
    enum http_body_result result = info->content_length == 0
                                       ? HTTP_BODY_OK
                                       : http_read_body(request->connection, limit, &request->gateway->bodies, &body);
    if (result == HTTP_BODY_OK) {
        programs_create(request, buffer_view(&body));
    } else {
        http_send_body_error(request->connection, result, limit);
    }
    http_release_body(&request->gateway->bodies, &body);
}

int programs_handle(struct mg_connection *connection, void *context)
{
    struct programs_request request = {.gateway = context, .connection = connection};
    struct http_error not_ready = {503, "not_ready", RUN_STATE_NOT_RUN, 1};
    struct admission_limits limits;
    if (!gateway_begin_request(request.gateway, connection)) {
        return PROGRAMS_HANDLED;
    }
    request.view = config_view_pin();
    if (request.view == NULL || !control_is_ready(request.gateway->control)) {
        mg_disable_connection_keep_alive(connection);
        http_send_error(connection, &not_ready, "this daemon has no lease from the state replicas");
    } else {
        request.tenant =
            gateway_authenticate(request.gateway, connection, request.view, &limits, &request.default_policy);
        if (request.tenant != NULL) {
            programs_dispatch(&request);
        }
    }
    config_view_unpin(request.view);
    gateway_end_request(request.gateway);
    return PROGRAMS_HANDLED;
}

int models_handle(struct mg_connection *connection, void *context)
{
    (void)context;
    struct config_view *view = config_view_pin();
    json_t *list = json_array();
    for (size_t i = 0; view != NULL && i < view->pool_count; i++) {
        json_array_append_new(list, json_pack("{s:s,s:s,s:i,s:s}", "id", text_or_empty(view->pools[i].model), "object",
                                              "model", "created", 0, "owned_by", "bankbank"));
    }
    config_view_unpin(view);
    json_t *body = json_pack("{s:s,s:o}", "object", "list", "data", list);
    char *text = json_dumps(body, JSON_COMPACT);
    http_send(connection, 200, "application/json", PROGRAMS_HEADERS, view_of_string(text));
    free(text);
    json_decref(body);
    return PROGRAMS_HANDLED;
}
