/*
 * The active configuration of a gateway.
 *
 * The first configuration after a start is activated only once the leader has
 * confirmed, by a quorum, which version is committed: a replica that lags behind
 * may hold an older one than was already active. Later versions are newer than
 * the active one and are activated immediately. The leader's response also
 * contains the drained zones.
 */
#include "base/event_log.h"
#include "base/message.h"
#include "proxy/client_limits.h"
#include "proxy/forward.h"
#include "proxy/frontend.h"

enum {
    FRONTEND_DEFAULT_HEAD_BYTES = 16 << 10,
    FRONTEND_DEFAULT_BODY_BYTES = 4 << 20,
    FRONTEND_DEFAULT_HEADER_TIMEOUT_MS = 5000,
    FRONTEND_DEFAULT_IDLE_TIMEOUT_MS = 15000,
    FRONTEND_IDLE_MARGIN_MS = 3000,    /* added, since callers reuse idle connections up to the configured limit */
    FRONTEND_CONFIRM_TIMEOUT_MS = 900, /* of a confirmation request */
    FRONTEND_CONFIRM_RETRY_MS = 100    /* delay before the next request */
};

void frontend_default_limits(const struct node *node, struct http_limits *limits)
{
    *limits = (struct http_limits){FRONTEND_DEFAULT_HEAD_BYTES, FRONTEND_DEFAULT_BODY_BYTES,
                                   FRONTEND_DEFAULT_HEADER_TIMEOUT_MS, FRONTEND_DEFAULT_IDLE_TIMEOUT_MS,
                                   client_limits_bodies_bytes(node)};
}

static uint64_t frontend_limit_or_default(uint64_t configured, uint64_t fallback)
{
    return configured == 0 ? fallback : configured;
}

static void frontend_apply_limits(struct frontend *frontend)
{
    const struct route_limits *limits = &frontend->table->limits;
    frontend->callers.limits.max_head_bytes =
        (size_t)frontend_limit_or_default(limits->max_header_bytes, FRONTEND_DEFAULT_HEAD_BYTES);
    size_t max_body_bytes = (size_t)frontend_limit_or_default(limits->max_body_bytes, FRONTEND_DEFAULT_BODY_BYTES);
    frontend->callers.limits.max_body_bytes = client_limits_caller_body_bytes(frontend->node, max_body_bytes);
    frontend->callers.limits.header_timeout_ms =
        frontend_limit_or_default(limits->header_timeout_ms, FRONTEND_DEFAULT_HEADER_TIMEOUT_MS);
    frontend->callers.limits.idle_timeout_ms =
        frontend_limit_or_default(limits->idle_timeout_ms, FRONTEND_DEFAULT_IDLE_TIMEOUT_MS) + FRONTEND_IDLE_MARGIN_MS;
}

static void frontend_activate_configuration(struct frontend *frontend)
{
    struct findings findings = {0};
    uint64_t begin_ms = node_real_now();
    struct route_table *table =
        frontend->node->dialect->read_configuration(buffer_view(&frontend->node->state.document), &findings);
    bool newer = table != NULL && (frontend->table == NULL || table->version > frontend->table->version);
    if (newer) {
        route_table_init_credits(table, frontend->table, frontend->node->boot_id);
        route_table_release(frontend->table);
        frontend->table = table;
        frontend_apply_limits(frontend);
        frontend_route_waiting(frontend);
    } else {
        route_table_release(table);
    }
    findings_close(&findings);
    event_log("configuration_in_force", "{s:I,s:b,s:I,s:I,s:I}", "version",
              (json_int_t)frontend->node->state.document_version, "taken", newer, "routes",
              (json_int_t)(newer ? table->route_count : 0), "bytes", (json_int_t)frontend->node->state.document.length,
              "activation_ms", (json_int_t)(node_real_now() - begin_ms));
}

static void frontend_on_confirmed(void *context, ResultCode code, struct view body)
{
    struct frontend *frontend = context;
    struct watch_state *known = &frontend->node->state;
    DocumentState committed = {0};
    uint64_t held = known->document_version;
    frontend->confirming = NULL;
    if (code != RESULT_OK || !message_decode(body, DocumentState_fields, &committed)) {
        frontend->confirm_due_ms = node_now(frontend->node) + FRONTEND_CONFIRM_RETRY_MS;
        return;
    }
    watch_state_put_document(known, committed.version, committed.content);
    if (committed.has_drained && zone_set_update(&known->drained, &committed.drained)) {
        frontend_apply_drained_zones(frontend);
    }
    frontend->confirmed = known->document_version >= committed.version;
    event_log("configuration_confirmed", "{s:I,s:I,s:I}", "held", (json_int_t)held, "committed",
              (json_int_t)committed.version, "asked_ms",
              (json_int_t)(node_now(frontend->node) - frontend->confirm_sent_ms));
    message_free(DocumentState_fields, &committed);
    if (frontend->confirmed) {
        frontend_activate_configuration(frontend);
    }
}

void frontend_confirm_configuration(struct frontend *frontend)
{
    struct node *node = frontend->node;
    uint64_t now_ms = node_now(node);
    bool wanted = !frontend->confirmed && node->state.document_version > 0;
    if (!wanted || frontend->confirming != NULL || now_ms < frontend->confirm_due_ms) {
        return;
    }
    DocumentState held = {
        .version = node->state.document_version,
        .has_drained = true,
        .drained = {.revision = node->state.drained.revision},
    };
    struct buffer body = {0};
    message_encode(&body, DocumentState_fields, &held);
    frontend->confirm_sent_ms = now_ms;
    frontend->confirming = node_submit(node, REQUEST_DOCUMENT, buffer_view(&body), now_ms + FRONTEND_CONFIRM_TIMEOUT_MS,
                                       frontend_on_confirmed, frontend);
    buffer_close(&body);
}

void frontend_apply_configuration(struct frontend *frontend)
{
    if (frontend->confirmed) {
        frontend_activate_configuration(frontend);
    } else {
        frontend_confirm_configuration(frontend);
    }
}

void frontend_configuration_close(struct frontend *frontend)
{
    node_ignore_reply(frontend->node, frontend->confirming);
    route_table_release(frontend->table);
}
