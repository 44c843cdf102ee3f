/* Operators' calls: configuration, emptying of machines, draining of zones. Any replica takes
 * them and passes them to the leader; every call may be sent again. */
#include <stdlib.h>
#include <string.h>

#include "base/event_log.h"
#include "base/message.h"
#include "proxy/state_host.h"

enum {
    CONTROL_CALL_MS = 900,
    CONTROL_OK = 200,
    CONTROL_INVALID = 400,
    CONTROL_UNKNOWN = 404,
    CONTROL_TOO_FEW = 409,
    CONTROL_UNSURE = 503,         /* a read that may be old, or an order that was not and will not be carried out */
    CONTROL_UNKNOWN_OUTCOME = 504 /* an order that may come into force yet: 503 would promise that it does not */
};

/* A call under way; `call` becomes NULL when the operator has left. */
struct control_call {
    struct http_call *call; /* first: the listener's owner pointer clears it */
    struct state_host *host;
    enum dialect_order order;
    uint64_t version;
    char name[DIALECT_NAME_MAX];
};

static void control_answer(struct http_call *call, int status, struct view body)
{
    static const char empty[] = "{}";
    struct view text = body.length > 0 ? body : view_of_string(empty);
    http_call_reply(call, status, NULL, "application/json", text);
}

static void control_log(const struct control_call *item, int status, const char *reason)
{
    static const char *const names[] = {"none",       "put_configuration", "get_configuration", "start_retire",
                                        "get_retire", "drain_zone",        "open_zone"};
    event_log("order", "{s:s,s:i,s:s,s:I,s:s,s:I}", "order", names[item->order], "status", status, "reason", reason,
              "version", (json_int_t)item->version, "name", item->name, "leader",
              (json_int_t)state_host_leader(item->host));
}

static void control_finish(struct control_call *item, int status, struct view body, const char *reason)
{
    control_log(item, status, reason);
    if (item->call != NULL) {
        item->call->owner = NULL;
        control_answer(item->call, status, body);
    }
    free(item);
}

static void control_on_changed(void *context, ResultCode code, struct view body)
{
    struct control_call *item = context;
    (void)body;
    switch (code) {
    case RESULT_OK: control_finish(item, CONTROL_OK, view_of(NULL, 0), "committed"); break;
    case RESULT_NOT_FOUND: control_finish(item, CONTROL_UNKNOWN, view_of(NULL, 0), "unknown machine"); break;
    case RESULT_LIMIT: control_finish(item, CONTROL_TOO_FEW, view_of(NULL, 0), "too few or too many"); break;
    case RESULT_TIMEOUT: control_finish(item, CONTROL_UNKNOWN_OUTCOME, view_of(NULL, 0), "outcome not learnt"); break;
    default:
        control_finish(item, CONTROL_UNSURE, view_of(NULL, 0),
                       "not taken: no leader, or replicas of an earlier version");
        break;
    }
}

static void control_on_document(void *context, ResultCode code, struct view body)
{
    struct control_call *item = context;
    DocumentState state = {0};
    bool sure = code == RESULT_OK && message_decode(body, DocumentState_fields, &state);
    if (sure && state.version > 0) {
        item->version = state.version;
        control_finish(item, CONTROL_OK, state.content, "linearizable read");
    } else {
        control_finish(item, CONTROL_UNSURE, view_of(NULL, 0), sure ? "no configuration yet" : "no quorum");
    }
}

static void control_on_retire_state(void *context, ResultCode code, struct view body)
{
    struct control_call *item = context;
    RetireState state = {0};
    if (code != RESULT_OK || !message_decode(body, RetireState_fields, &state)) {
        control_finish(item, CONTROL_UNSURE, view_of(NULL, 0), "no quorum");
        return;
    }
    if (!state.started) {
        control_finish(item, CONTROL_UNKNOWN, view_of(NULL, 0), "not being emptied");
        return;
    }
    struct buffer text = {0};
    item->host->node->dialect->write_retire_state(state.completed, &text);
    control_finish(item, CONTROL_OK, buffer_view(&text), state.completed ? "completed" : "active");
    buffer_close(&text);
}

static void control_put(struct control_call *item)
{
    struct state_host *host = item->host;
    struct findings findings = {0};
    struct view text = buffer_view(&item->call->body);
    struct route_table *table = host->node->dialect->read_configuration(text, &findings);
    if (table == NULL) {
        struct buffer report = {0};
        findings_report(&findings, &report);
        json_t *told = json_pack("{s:s}", "error", buffer_text(&report));
        char *body = told == NULL ? NULL : json_dumps(told, JSON_COMPACT);
        control_finish(item, CONTROL_INVALID, view_of_string(body), "invalid configuration");
        free(body);
        json_decref(told);
        buffer_close(&report);
        findings_close(&findings);
        return;
    }
    item->version = table->version;
    route_table_release(table);
    findings_close(&findings);
    /* What is applied is committed: a version not above it changes nothing. */
    if (item->version <= host->node->state.document_version) {
        control_finish(item, CONTROL_OK, view_of(NULL, 0), "not above the version held");
        return;
    }
    Entry entry = {0};
    entry.which_command = Entry_document_put_tag;
    entry.command.document_put.version = item->version;
    entry.command.document_put.content = text;
    node_propose(host->node, &entry, node_now(host->node) + CONTROL_CALL_MS, control_on_changed, item);
}

static void control_start_retire(struct control_call *item)
{
    Entry entry = {0};
    entry.which_command = Entry_retire_start_tag;
    entry.command.retire_start.machine = item->name;
    struct node *node = item->host->node;
    node_propose(node, &entry, node_now(node) + CONTROL_CALL_MS, control_on_changed, item);
}

/* Zones that the settings name, where they name any. */
static bool control_knows_zone(const struct node *node, const char *zone)
{
    const struct yaml_list *zones = &node->settings.zones;
    const zone_place_t *items = zones->items;
    for (size_t i = 0; i < zones->count; i++) {
        if (text_equal(items[i].name, zone)) {
            return true;
        }
    }
    return zones->count == 0;
}

static void control_drain_zone(struct control_call *item, bool drained)
{
    struct node *node = item->host->node;
    if (!control_knows_zone(node, item->name)) {
        static const char told[] = "{\"error\":\"unknown zone\"}";
        control_finish(item, CONTROL_UNKNOWN, view_of_string(told), "unknown zone");
        return;
    }
    Entry entry = {0};
    entry.which_command = Entry_zone_drain_tag;
    entry.command.zone_drain.zone = item->name;
    entry.command.zone_drain.drained = drained;
    struct buffer body = {0};
    message_encode(&body, Entry_fields, &entry);
    node_submit(node, REQUEST_PROPOSE_NEW, buffer_view(&body), node_now(node) + CONTROL_CALL_MS, control_on_changed,
                item);
    buffer_close(&body);
}

static void control_get_retire(struct control_call *item)
{
    RetireQuery query = {.machine = item->name};
    struct node *node = item->host->node;
    struct buffer body = {0};
    message_encode(&body, RetireQuery_fields, &query);
    node_submit(node, REQUEST_RETIRE, buffer_view(&body), node_now(node) + CONTROL_CALL_MS, control_on_retire_state,
                item);
    buffer_close(&body);
}

void control_api_handle(struct state_host *host, struct http_call *call)
{
    struct node *node = host->node;
    struct control_call *item = memory_new(sizeof(*item));
    item->host = host;
    item->call = call;
    item->order = node->dialect->read_order(call->request->method, call->request->target, item->name);
    call->owner = item;
    switch (item->order) {
    case DIALECT_ORDER_PUT_CONFIG: control_put(item); break;
    case DIALECT_ORDER_GET_CONFIG:
        node_submit(node, REQUEST_DOCUMENT, view_of(NULL, 0), node_now(node) + CONTROL_CALL_MS, control_on_document,
                    item);
        break;
    case DIALECT_ORDER_START_RETIRE: control_start_retire(item); break;
    case DIALECT_ORDER_GET_RETIRE: control_get_retire(item); break;
    case DIALECT_ORDER_DRAIN_ZONE: control_drain_zone(item, true); break;
    case DIALECT_ORDER_OPEN_ZONE: control_drain_zone(item, false); break;
    case DIALECT_ORDER_NONE: control_finish(item, CONTROL_UNKNOWN, view_of(NULL, 0), "no such call"); break;
    }
}
