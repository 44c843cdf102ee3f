#include "daemon/gateway.h"

#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include "base/clock.h"
#include "base/message.h"
#include "daemon/config_view.h"

static const char GATEWAY_ANONYMOUS_TENANT[] = "anonymous";

void gateway_init(struct gateway *gateway, const struct settings *settings, struct control *control)
{
    memset(gateway, 0, sizeof(*gateway));
    gateway->settings = settings;
    gateway->control = control;
    gateway->bodies.max_bytes = settings_body_memory_bytes(settings);
    endpoints_init(&gateway->endpoints);
    pthread_mutex_init(&gateway->tenants_lock, NULL);
}

void gateway_close(struct gateway *gateway)
{
    struct gateway_tenant *tenant;
    struct gateway_tenant *next;
    HASH_ITER(hh, gateway->tenants, tenant, next)
    {
        HASH_DEL(gateway->tenants, tenant);
        free(tenant->name);
        free(tenant);
    }
    endpoints_close(&gateway->endpoints);
    pthread_mutex_destroy(&gateway->tenants_lock);
}

bool gateway_is_draining(const struct gateway *gateway)
{
    return __atomic_load_n(&gateway->draining, __ATOMIC_ACQUIRE);
}

bool gateway_begin_request(struct gateway *gateway, struct mg_connection *connection)
{
    __atomic_add_fetch(&gateway->in_flight, 1, __ATOMIC_ACQ_REL);
    if (!gateway_is_draining(gateway)) {
        return true;
    }
    struct http_error error = {503, "draining", RUN_STATE_NOT_RUN, 1};
    http_send_error(connection, &error, "this daemon is stopping, ask another one");
    mg_disable_connection_keep_alive(connection);
    gateway_end_request(gateway);
    return false;
}

void gateway_end_request(struct gateway *gateway)
{
    __atomic_sub_fetch(&gateway->in_flight, 1, __ATOMIC_ACQ_REL);
}

/* ---- Tenants ---------------------------------------------------------------------- */

/* Call with the lock held. */
static struct gateway_tenant *gateway_tenant(struct gateway *gateway, const char *name)
{
    struct gateway_tenant *tenant = NULL;
    HASH_FIND_STR(gateway->tenants, name, tenant);
    if (tenant == NULL) {
        tenant = memory_new(sizeof(*tenant));
        tenant->name = text_copy(name);
        HASH_ADD_KEYPTR(hh, gateway->tenants, tenant->name, strlen(tenant->name), tenant);
    }
    return tenant;
}

enum admission_result gateway_admit(struct gateway *gateway, const char *tenant, const struct admission_limits *limits,
                                    uint64_t tokens, uint64_t *retry_after_ms)
{
    pthread_mutex_lock(&gateway->tenants_lock);
    enum admission_result result =
        admission_start(&gateway_tenant(gateway, tenant)->usage, limits, clock_monotonic_ms(), tokens, retry_after_ms);
    pthread_mutex_unlock(&gateway->tenants_lock);
    return result;
}

void gateway_release_admission(struct gateway *gateway, const char *tenant, uint64_t estimated, uint64_t used)
{
    pthread_mutex_lock(&gateway->tenants_lock);
    admission_end(&gateway_tenant(gateway, tenant)->usage, estimated, used);
    pthread_mutex_unlock(&gateway->tenants_lock);
}

static const char *gateway_bearer_token(struct mg_connection *connection)
{
    static const char prefix[] = "Bearer ";
    const char *header = mg_get_header(connection, "Authorization");
    bool is_bearer = header != NULL && strncmp(header, prefix, sizeof(prefix) - 1) == 0;
    return is_bearer ? header + sizeof(prefix) - 1 : NULL;
}

const char *gateway_authenticate(struct gateway *gateway, struct mg_connection *connection,
                                 const struct config_view *view, struct admission_limits *limits,
                                 const char **default_policy)
{
    memset(limits, 0, sizeof(*limits));
    *default_policy = NULL;
    const char *key = gateway_bearer_token(connection);
    const Tenant *tenant = key == NULL ? NULL : config_view_tenant_of_key(view, key);
    if (tenant != NULL) {
        limits->tokens_per_second = tenant->tokens_per_second;
        limits->burst_tokens = tenant->burst_tokens;
        limits->max_concurrent_calls = tenant->max_concurrent_calls;
        *default_policy = tenant->default_policy;
        return tenant->name;
    }
    /* Without configured tenants any key is accepted, since many clients always send one. */
    bool anonymous = gateway->settings->allow_anonymous && (key == NULL || view->tenant_count == 0);
    if (anonymous) {
        return GATEWAY_ANONYMOUS_TENANT;
    }
    struct http_error error = {401, "invalid_api_key", RUN_STATE_NOT_RUN, 0};
    http_send_error(connection, &error, "the key names no tenant");
    return NULL;
}

/* ---- Ledger ------------------------------------------------------------------------- */

static ResultCode gateway_propose_to(struct gateway *gateway, uint32_t group, const Entry *entry, EntryResult *result)
{
    memset(result, 0, sizeof(*result));
    struct buffer body = {0};
    struct buffer reply = {0};
    message_encode(&body, Entry_fields, entry);
    ResultCode code =
        control_call(gateway->control, group, REQUEST_PROPOSE, buffer_view(&body), GATEWAY_CONTROL_TIMEOUT_MS, &reply);
    if (code == RESULT_OK && !message_decode(buffer_view(&reply), EntryResult_fields, result)) {
        code = RESULT_TIMEOUT;
    }
    result->code = code == RESULT_OK ? result->code : code;
    buffer_close(&body);
    buffer_close(&reply);
    return result->code;
}

ResultCode gateway_propose(struct gateway *gateway, const char *program, const Entry *entry, EntryResult *result)
{
    uint32_t group = state_machine_group_of(program, (uint32_t)gateway->settings->groups);
    return gateway_propose_to(gateway, group, entry, result);
}

ResultCode gateway_propose_config(struct gateway *gateway, const Entry *entry, EntryResult *result)
{
    return gateway_propose_to(gateway, STATE_CONFIG_GROUP, entry, result);
}

void gateway_propose_async(struct gateway *gateway, const char *program, const Entry *entry)
{
    struct buffer body = {0};
    message_encode(&body, Entry_fields, entry);
    uint32_t group = state_machine_group_of(program, (uint32_t)gateway->settings->groups);
    control_call_async(gateway->control, group, REQUEST_PROPOSE, buffer_view(&body), GATEWAY_ASYNC_TIMEOUT_MS);
    buffer_close(&body);
}

ResultCode gateway_read_program(struct gateway *gateway, const char *program, uint32_t through_call, ProgramView *view)
{
    memset(view, 0, sizeof(*view));
    ProgramQuery query = {.id = (char *)(uintptr_t)program, .through_call = through_call};
    struct buffer body = {0};
    struct buffer reply = {0};
    message_encode(&body, ProgramQuery_fields, &query);
    uint32_t group = state_machine_group_of(program, (uint32_t)gateway->settings->groups);
    ResultCode code =
        control_call(gateway->control, group, REQUEST_PROGRAM, buffer_view(&body), GATEWAY_CONTROL_TIMEOUT_MS, &reply);
    if (code == RESULT_OK && !message_decode(buffer_view(&reply), ProgramView_fields, view)) {
        code = RESULT_UNAVAILABLE;
    }
    buffer_close(&body);
    buffer_close(&reply);
    return code == RESULT_OK && !view->found ? RESULT_NOT_FOUND : code;
}

void gateway_random_hex(char *text, size_t digits)
{
    static const char alphabet[] = "0123456789abcdef";
    unsigned char bytes[GATEWAY_ID_LENGTH];
    size_t count = digits < sizeof(bytes) ? digits : sizeof(bytes);
    ssize_t ignored = getrandom(bytes, count, 0);
    (void)ignored;
    for (size_t i = 0; i < count; i++) {
        text[i] = alphabet[bytes[i] & 15];
    }
    text[count] = '\0';
}

/* ---- Errors --------------------------------------------------------------------------- */

void gateway_send_result_error(struct mg_connection *connection, const EntryResult *result)
{
    static const struct http_error errors[] = {
        [RESULT_NOT_FOUND] = {404, "program_not_found", RUN_STATE_NOT_RUN, 0},
        [RESULT_ALREADY_EXISTS] = {409, "already_exists", RUN_STATE_NOT_RUN, 0},
        [RESULT_ABORTED] = {409, "aborted", RUN_STATE_NOT_RUN, 0},
        [RESULT_OUT_OF_ORDER] = {409, "call_out_of_order", RUN_STATE_NOT_RUN, 0},
        [RESULT_BUDGET] = {403, "budget_exceeded", RUN_STATE_NOT_RUN, 0},
        [RESULT_CONFLICT] = {409, "request_conflict", RUN_STATE_NOT_RUN, 0},
        [RESULT_IN_PROGRESS] = {409, "call_in_progress", RUN_STATE_NOT_RUN, 1},
        [RESULT_UNKNOWN] = {409, "outcome_unknown", RUN_STATE_UNKNOWN, 0},
        [RESULT_ENDED] = {410, "program_ended", RUN_STATE_NOT_RUN, 0},
        [RESULT_LIMIT] = {403, "limit_reached", RUN_STATE_NOT_RUN, 0},
        [RESULT_NOT_OWNER] = {421, "not_owner", RUN_STATE_NOT_RUN, 0},
        [RESULT_STALE_ATTEMPT] = {503, "attempt_superseded", RUN_STATE_UNKNOWN, 1},
        [RESULT_INVALID] = {400, "invalid_request", RUN_STATE_NOT_RUN, 0},
        [RESULT_NOT_LEADER] = {503, "state_unavailable", RUN_STATE_NOT_RUN, 1},
        [RESULT_UNAVAILABLE] = {503, "state_unavailable", RUN_STATE_NOT_RUN, 1},
        [RESULT_TIMEOUT] = {503, "state_unavailable", RUN_STATE_NOT_RUN, 1},
    };
    size_t count = sizeof(errors) / sizeof(errors[0]);
    struct http_error error = {500, "internal_error", RUN_STATE_UNKNOWN, 0};
    if ((size_t)result->code < count && errors[result->code].status != 0) {
        error = errors[result->code];
    }
    /* Another attempt of the requested call itself may be running. */
    if (result->code == RESULT_IN_PROGRESS && result->call != 0) {
        error.run_state = RUN_STATE_UNKNOWN;
    }
    const char *message =
        text_or_empty(result->message)[0] == '\0' ? "the state service gave no answer in time" : result->message;
    if (result->code == RESULT_OUT_OF_ORDER) {
        http_send_error(connection, &error, "%s; the next call is number %u", message, result->call);
    } else if (result->code == RESULT_NOT_OWNER) {
        http_send_error(connection, &error, "%s: %s", message, text_or_empty(result->owner));
    } else {
        http_send_error(connection, &error, "%s", message);
    }
}
