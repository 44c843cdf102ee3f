/*
 * The configuration in force at a gateway.
 *
 * The first one of a life waits for the leader's word, confirmed by a quorum,
 * on which version is committed: the replica that told it may have heard its
 * leader late (both stood still, or have just started) and then holds an older
 * one than was acknowledged and obeyed before. From then on whatever is told is
 * newer than what is in force, and is taken at once. The same answer tells the
 * zones that are drained.
 */
#include "base/event_log.h"
#include "base/message.h"
#include "proxy/forward.h"
#include "proxy/front.h"

enum {
    FRONT_HEAD_BYTES = 16 << 10,
    FRONT_BODY_BYTES = 4 << 20,
    FRONT_HEADER_MS = 5000,
    FRONT_IDLE_MS = 15000,
    FRONT_IDLE_MARGIN_MS = 3000, /* clients use connections up to the limit told */
    FRONT_CONFIRM_MS = 900,      /* time for the leader's word */
    FRONT_CONFIRM_AGAIN_MS = 100 /* pause before it is asked again */
};

void front_default_limits(struct http_limits *limits)
{
    *limits = (struct http_limits){FRONT_HEAD_BYTES, FRONT_BODY_BYTES, FRONT_HEADER_MS, FRONT_IDLE_MS, 0};
}

static uint64_t front_limit(uint64_t told, uint64_t otherwise)
{
    return told == 0 ? otherwise : told;
}

static void front_apply_limits(struct front *front)
{
    const struct route_limits *limits = &front->table->limits;
    front->callers.limits.max_head_bytes = (size_t)front_limit(limits->max_header_bytes, FRONT_HEAD_BYTES);
    front->callers.limits.max_body_bytes = (size_t)front_limit(limits->max_body_bytes, FRONT_BODY_BYTES);
    front->callers.limits.header_timeout_ms = front_limit(limits->header_timeout_ms, FRONT_HEADER_MS);
    front->callers.limits.max_arriving_bytes = front->node->memory.arriving;
    front->callers.limits.idle_timeout_ms = front_limit(limits->idle_timeout_ms, FRONT_IDLE_MS) + FRONT_IDLE_MARGIN_MS;
}

static void front_put_in_force(struct front *front)
{
    struct findings findings = {0};
    struct route_table *table =
        front->node->dialect->read_configuration(buffer_view(&front->node->state.document), &findings);
    bool newer = table != NULL && (front->table == NULL || table->version > front->table->version);
    event_log("configuration_in_force", "{s:I,s:b,s:I}", "version", (json_int_t)front->node->state.document_version,
              "taken", newer, "routes", (json_int_t)(table == NULL ? 0 : table->route_count));
    if (newer) {
        route_table_begin_shares(table, front->table, front->node->boot_id);
        route_table_release(front->table);
        front->table = table;
        front_apply_limits(front);
        front_resume(front);
    } else {
        route_table_release(table);
    }
    findings_close(&findings);
}

static void front_on_confirmed(void *context, ResultCode code, struct view body)
{
    struct front *front = context;
    struct watch_state *known = &front->node->state;
    DocumentState committed = {0};
    uint64_t held = known->document_version;
    front->confirming = NULL;
    if (code != RESULT_OK || !message_decode(body, DocumentState_fields, &committed)) {
        front->confirm_due_ms = node_now(front->node) + FRONT_CONFIRM_AGAIN_MS;
        return;
    }
    watch_state_put_document(known, committed.version, committed.content);
    if (committed.has_drained && zone_set_take(&known->drained, &committed.drained)) {
        front_take_drained(front);
    }
    front->confirmed = known->document_version >= committed.version;
    event_log("configuration_confirmed", "{s:I,s:I,s:I}", "held", (json_int_t)held, "committed",
              (json_int_t)committed.version, "asked_ms", (json_int_t)(node_now(front->node) - front->confirm_asked_ms));
    message_free(DocumentState_fields, &committed);
    if (front->confirmed) {
        front_put_in_force(front);
    }
}

void front_confirm_configuration(struct front *front)
{
    struct node *node = front->node;
    uint64_t now_ms = node_now(node);
    bool wanted = !front->confirmed && node->state.document_version > 0;
    if (!wanted || front->confirming != NULL || now_ms < front->confirm_due_ms) {
        return;
    }
    DocumentState held = {
        .version = node->state.document_version,
        .has_drained = true,
        .drained = {.revision = node->state.drained.revision},
    };
    struct buffer body = {0};
    message_encode(&body, DocumentState_fields, &held);
    front->confirm_asked_ms = now_ms;
    front->confirming =
        node_submit(node, REQUEST_DOCUMENT, buffer_view(&body), now_ms + FRONT_CONFIRM_MS, front_on_confirmed, front);
    buffer_close(&body);
}

void front_take_configuration(struct front *front)
{
    if (front->confirmed) {
        front_put_in_force(front);
    } else {
        front_confirm_configuration(front);
    }
}

void front_configuration_close(struct front *front)
{
    node_forget(front->node, front->confirming);
    route_table_release(front->table);
}
