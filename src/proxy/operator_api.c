/* The operators' API: configuration, retirement of machines, draining of zones. Every replica accepts requests and
 * forwards them to the leader. All requests are idempotent. */
#include <stdlib.h>
#include <string.h>

#include "base/event_log.h"
#include "base/message.h"
#include "proxy/state_host.h"

enum {
    OPERATOR_API_REQUEST_TIMEOUT_MS = 900,
    OPERATOR_API_OK = 200,
    OPERATOR_API_INVALID = 400,
    OPERATOR_API_NOT_FOUND = 404,
    OPERATOR_API_CONFLICT = 409,
    /* The read would not be linearizable, or the command was not and will not be executed. */
    OPERATOR_API_UNAVAILABLE = 503,
    /* The command may have been or may still be executed: 503 would promise that it is not. */
    OPERATOR_API_UNKNOWN_OUTCOME = 504
};

struct operator_request {
    struct http_call *call; /* NULL after a disconnect. Must be first: host_on_disconnect() clears it through `owner` */
    struct state_host *host;
    enum dialect_operation operation;
    uint64_t version;
    char name[DIALECT_NAME_MAX];
};

static void operator_api_respond(struct http_call *call, int status, struct view body)
{
    static const char empty[] = "{}";
    struct view text = body.length > 0 ? body : view_of_string(empty);
    http_call_send_response(call, status, NULL, "application/json", text);
}

static void operator_api_log(const struct operator_request *request, int status, const char *reason)
{
    static const char *const names[] = {"none",       "put_configuration", "get_configuration", "start_retire",
                                        "get_retire", "drain_zone",        "open_zone"};
    event_log("order", "{s:s,s:i,s:s,s:I,s:s,s:I}", "order", names[request->operation], "status", status, "reason",
              reason, "version", (json_int_t)request->version, "name", request->name, "leader",
              (json_int_t)state_host_leader(request->host));
}

static void operator_api_finish(struct operator_request *request, int status, struct view body, const char *reason)
{
    operator_api_log(request, status, reason);
    if (request->call != NULL) {
        request->call->owner = NULL;
        operator_api_respond(request->call, status, body);
    }
    free(request);
}

static void operator_api_on_committed(void *context, ResultCode code, struct view body)
{
    struct operator_request *request = context;
    (void)body;
    switch (code) {
    case RESULT_OK: operator_api_finish(request, OPERATOR_API_OK, view_of(NULL, 0), "committed"); break;
    case RESULT_NOT_FOUND:
        operator_api_finish(request, OPERATOR_API_NOT_FOUND, view_of(NULL, 0), "unknown machine");
        break;
    case RESULT_LIMIT:
        operator_api_finish(request, OPERATOR_API_CONFLICT, view_of(NULL, 0),
                            "too few replicas would remain, or too many zones are drained");
        break;
    case RESULT_TIMEOUT:
        operator_api_finish(request, OPERATOR_API_UNKNOWN_OUTCOME, view_of(NULL, 0), "outcome not learnt");
        break;
    default:
        operator_api_finish(request, OPERATOR_API_UNAVAILABLE, view_of(NULL, 0),
                            "not executed: no leader, or a replica runs an earlier version");
        break;
    }
}

static void operator_api_on_configuration(void *context, ResultCode code, struct view body)
{
    struct operator_request *request = context;
    DocumentState state = {0};
    bool valid = code == RESULT_OK && message_decode(body, DocumentState_fields, &state);
    if (valid && state.version > 0) {
        request->version = state.version;
        operator_api_finish(request, OPERATOR_API_OK, state.content, "linearizable read");
    } else {
        operator_api_finish(request, OPERATOR_API_UNAVAILABLE, view_of(NULL, 0),
                            valid ? "no configuration is committed yet" : "no quorum");
    }
}

static void operator_api_on_retire_state(void *context, ResultCode code, struct view body)
{
    struct operator_request *request = context;
    RetireState state = {0};
    if (code != RESULT_OK || !message_decode(body, RetireState_fields, &state)) {
        operator_api_finish(request, OPERATOR_API_UNAVAILABLE, view_of(NULL, 0), "no quorum");
        return;
    }
    if (!state.started) {
        operator_api_finish(request, OPERATOR_API_NOT_FOUND, view_of(NULL, 0), "machine is not being retired");
        return;
    }
    struct buffer text = {0};
    request->host->node->dialect->write_retire_state(state.completed, &text);
    operator_api_finish(request, OPERATOR_API_OK, buffer_view(&text), state.completed ? "completed" : "active");
    buffer_close(&text);
}

static void operator_api_put_configuration(struct operator_request *request)
{
    struct state_host *host = request->host;
    struct findings findings = {0};
    struct view text = buffer_view(&request->call->body);
    struct route_table *table = host->node->dialect->read_configuration(text, &findings);
    if (table == NULL) {
        struct buffer report = {0};
        findings_report(&findings, &report);
        json_t *response = json_pack("{s:s}", "error", buffer_text(&report));
        char *body = response == NULL ? NULL : json_dumps(response, JSON_COMPACT);
        operator_api_finish(request, OPERATOR_API_INVALID, view_of_string(body), "invalid configuration");
        free(body);
        json_decref(response);
        buffer_close(&report);
        findings_close(&findings);
        return;
    }
    request->version = table->version;
    route_table_release(table);
    findings_close(&findings);
    /* The applied configuration is committed: proposing a version that is not higher would change nothing. */
    if (request->version <= host->node->state.document_version) {
        operator_api_finish(request, OPERATOR_API_OK, view_of(NULL, 0), "version is not newer than the committed one");
        return;
    }
    Entry entry = {0};
    entry.which_command = Entry_document_put_tag;
    entry.command.document_put.version = request->version;
    entry.command.document_put.content = text;
    node_propose(host->node, &entry, node_now(host->node) + OPERATOR_API_REQUEST_TIMEOUT_MS, operator_api_on_committed,
                 request);
}

static void operator_api_start_retire(struct operator_request *request)
{
    Entry entry = {0};
    entry.which_command = Entry_retire_start_tag;
    entry.command.retire_start.machine = request->name;
    struct node *node = request->host->node;
    node_propose(node, &entry, node_now(node) + OPERATOR_API_REQUEST_TIMEOUT_MS, operator_api_on_committed, request);
}

/* Every zone is known if the settings list none. */
static bool operator_api_knows_zone(const struct node *node, const char *zone)
{
    const struct yaml_list *zones = &node->settings.zones;
    const zone_info_t *items = zones->items;
    for (size_t i = 0; i < zones->count; i++) {
        if (text_equal(items[i].name, zone)) {
            return true;
        }
    }
    return zones->count == 0;
}

static void operator_api_drain_zone(struct operator_request *request, bool drained)
{
    struct node *node = request->host->node;
    if (!operator_api_knows_zone(node, request->name)) {
        static const char response[] = "{\"error\":\"unknown zone\"}";
        operator_api_finish(request, OPERATOR_API_NOT_FOUND, view_of_string(response), "unknown zone");
        return;
    }
    Entry entry = {0};
    entry.which_command = Entry_zone_drain_tag;
    entry.command.zone_drain.zone = request->name;
    entry.command.zone_drain.drained = drained;
    struct buffer body = {0};
    message_encode(&body, Entry_fields, &entry);
    node_submit(node, REQUEST_PROPOSE_NEW, buffer_view(&body), node_now(node) + OPERATOR_API_REQUEST_TIMEOUT_MS,
                operator_api_on_committed, request);
    buffer_close(&body);
}

static void operator_api_get_retire(struct operator_request *request)
{
    RetireQuery query = {.machine = request->name};
    struct node *node = request->host->node;
    struct buffer body = {0};
    message_encode(&body, RetireQuery_fields, &query);
    node_submit(node, REQUEST_RETIRE, buffer_view(&body), node_now(node) + OPERATOR_API_REQUEST_TIMEOUT_MS,
                operator_api_on_retire_state, request);
    buffer_close(&body);
}

void operator_api_handle(struct state_host *host, struct http_call *call)
{
    struct node *node = host->node;
    struct operator_request *request = memory_new(sizeof(*request));
    request->host = host;
    request->call = call;
    request->operation = node->dialect->read_operation(call->request->method, call->request->target, request->name);
    call->owner = request;
    switch (request->operation) {
    case DIALECT_OPERATION_PUT_CONFIG: operator_api_put_configuration(request); break;
    case DIALECT_OPERATION_GET_CONFIG:
        node_submit(node, REQUEST_DOCUMENT, view_of(NULL, 0), node_now(node) + OPERATOR_API_REQUEST_TIMEOUT_MS,
                    operator_api_on_configuration, request);
        break;
    case DIALECT_OPERATION_START_RETIRE: operator_api_start_retire(request); break;
    case DIALECT_OPERATION_GET_RETIRE: operator_api_get_retire(request); break;
    case DIALECT_OPERATION_DRAIN_ZONE: operator_api_drain_zone(request, true); break;
    case DIALECT_OPERATION_OPEN_ZONE: operator_api_drain_zone(request, false); break;
    case DIALECT_OPERATION_NONE:
        operator_api_finish(request, OPERATOR_API_NOT_FOUND, view_of(NULL, 0), "unknown endpoint");
        break;
    }
}
