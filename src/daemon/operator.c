/* Operator RPC: method dispatch. */
#include "daemon/operator.h"

#include <string.h>

#include "daemon/operator_internal.h"

enum { OPERATOR_HANDLED = 200 };

static const char OPERATOR_PATH[] = "/bankbank.v1.OperatorService/";

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
    {"WaitRevision", operator_wait_revision, 0},
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
        info->content_length == 0 ? HTTP_BODY_OK
                                  : http_read_body(connection, OPERATOR_MAX_BODY_BYTES, &call.gateway->bodies, &body);
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
    http_release_body(&call.gateway->bodies, &body);
    return OPERATOR_HANDLED;
}
