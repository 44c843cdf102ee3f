/* What other daemons ask of a replica's host: watches, loads, quotas. */
#include <stdlib.h>
#include <string.h>

#include "base/event_log.h"
#include "base/message.h"
#include "core/slow_start.h"
#include "proxy/node_metrics.h"
#include "proxy/state_host_internal.h"

enum {
    HOST_RELAY_FRESH_MS = 1000, /* age of a member's word that a relay passes on as current */
};

/* ---- Watches ---------------------------------------------------------------------------------------- */

/* A relay's word is that of the member which it watches, as old as the answer. */
static bool host_is_fresh(const struct state_host *host, uint64_t now_ms)
{
    return host->running ? replica_is_fresh(&host->replica, STATE_CONFIG_GROUP, now_ms)
                         : watch_client_is_fresh(&host->node->watch, now_ms, HOST_RELAY_FRESH_MS);
}

/* Members follow their leader: they are referred to nobody. */
static void host_refer(struct state_host *host, struct watch_entry *entry, WatchUpdate *update)
{
    const struct raft_members *members = state_host_logged_members(host);
    if (members == NULL || raft_member_position(members, entry->node) >= 0) {
        return;
    }
    uint32_t relay = watch_server_refer(&host->watchers, entry, node_now(host->node));
    struct raft_member_place place;
    if (relay != RAFT_NO_NODE && links_place(&host->node->links, relay, &place)) {
        update->has_relay = true;
        update->relay = (Member){.node = relay, .ip = place.ip, .port = place.port};
    }
}

static void host_tell_watcher(struct state_host *host, struct watch_entry *entry, uint64_t sequence)
{
    struct node *node = host->node;
    uint64_t now_ms = node_now(node);
    watch_told_t told = {0};
    WatchUpdate *update = &told.update;
    update->sequence = sequence;
    update->fresh = host_is_fresh(host, now_ms);
    update->leader = host->running ? state_host_leader(host) : node->watch.leader;
    update->age_ms = host->running ? 0 : (uint32_t)(now_ms - node->watch.fresh_ms);
    told.answers = sequence != 0;
    host_refer(host, entry, update);
    update->watchers = watch_server_count(&host->watchers, now_ms);
    watch_server_tell(&host->watchers, entry, now_ms, &node->state, &told);
    Frame frame = {.which_payload = Frame_watch_update_tag, .payload.watch_update = told.update};
    node_send_frame(node, entry->node, &frame);
    watch_told_close(&told);
}

void state_host_tell_owed(struct state_host *host)
{
    struct node *node = host->node;
    uint64_t now_ms = node_now(node);
    bool fresh = host_is_fresh(host, now_ms);
    for (uint32_t i = 0; i < host->watchers.count; i++) {
        struct watch_entry *entry = &host->watchers.entries[i];
        if (watch_server_owes(&host->watchers, entry, now_ms, &node->state, fresh)) {
            host_tell_watcher(host, entry, 0);
        }
    }
}

/* A replica that belongs to no group passes on what it has learnt, so that who knows only the seeds finds the members
 * also where those are other machines. */
static void host_handle_watch(struct state_host *host, uint32_t from, const Watch *watch)
{
    struct watch_entry *entry = watch_server_note(&host->watchers, node_now(host->node), from, watch);
    if (entry != NULL) {
        host_tell_watcher(host, entry, watch->sequence);
    }
}

/* Who belongs to no group can say at once that another one must be asked. */
static void host_answer_outside(struct state_host *host, uint32_t from, const Request *request)
{
    Frame frame = {0};
    Reply *reply = &frame.payload.reply;
    frame.which_payload = Frame_reply_tag;
    reply->id = request->id;
    reply->code = request->kind == REQUEST_TURNS_HELD ? RESULT_NOT_FOUND : RESULT_NOT_LEADER;
    reply->leader = host->node->watch.leader;
    node_send_frame(host->node, from, &frame);
}

/* ---- Loads ------------------------------------------------------------------------------------------ */

/* Adds a gateway's load, and tells it those of the others and which gateways are silent. */
static void host_handle_load(struct state_host *host, uint32_t from, const LoadReport *report)
{
    uint64_t now_ms = node_now(host->node);
    if (!state_host_leads(host)) {
        return;
    }
    Frame frame = {0};
    frame.which_payload = Frame_load_totals_tag;
    load_table_report(&host->loads, now_ms, from, report);
    load_table_fade(&host->loads, now_ms);
    load_table_answer(&host->loads, now_ms, from, &frame.payload.load_totals);
    presence_hear(&host->presence, now_ms, report);
    presence_fade(&host->presence, now_ms);
    presence_count(&host->presence, now_ms, report->zone, &frame.payload.load_totals);
    node_send_frame(host->node, from, &frame);
    free(frame.payload.load_totals.loads);
}

/* ---- Quotas ----------------------------------------------------------------------------------------- */

/* Settings come in thousandths. */
static const double HOST_PER_ONE = 1000;

/* The configuration that is in force, read anew when it has changed; NULL: there is none. */
static const struct route_table *host_routes(struct state_host *host)
{
    const struct watch_state *state = &host->node->state;
    if (host->routes == NULL || host->routes->version != state->document_version) {
        struct findings findings = {0};
        route_table_release(host->routes);
        host->routes = host->node->dialect->read_configuration(buffer_view(&state->document), &findings);
        findings_close(&findings);
    }
    return host->routes;
}

static void host_grant_quota(struct state_host *host, const struct route_table *routes, const QuotaAsk *ask,
                             QuotaGrant *grant)
{
    const struct node_settings *settings = &host->node->settings;
    host->quotas.bounds = (quota_bounds_t){
        .window_s = (double)settings->quota_window_ms / HOST_PER_ONE,
        .overshoot = (double)settings->quota_overshoot / HOST_PER_ONE,
        .slack = (double)settings->quota_slack,
    };
    quota_table_answer(&host->quotas, node_now(host->node), routes, ask, grant);
}

static void host_grant_starts(struct state_host *host, const struct route_table *routes, const QuotaAsk *ask,
                              QuotaGrant *grant)
{
    const struct node_settings *settings = &host->node->settings;
    slow_start_bounds_t bounds = {
        .overshoot = (double)settings->start_overshoot / HOST_PER_ONE,
        .slack = (double)settings->start_slack,
    };
    slow_start_answer(&host->slow_starts, node_now(host->node), routes, &bounds, ask, grant);
}

/* Only a leader that hears a quorum gives tokens: another one may give them otherwise. */
static void host_handle_ask(struct state_host *host, uint32_t from, const Request *request)
{
    uint64_t now_ms = node_now(host->node);
    bool leads = state_host_leads(host) && host_is_fresh(host, now_ms);
    const struct route_table *routes = leads ? host_routes(host) : NULL;
    Frame frame = {.which_payload = Frame_reply_tag};
    Reply *reply = &frame.payload.reply;
    struct buffer body = {0};
    QuotaAsk ask = {0};
    reply->id = request->id;
    reply->leader = state_host_leader(host);
    reply->code = RESULT_NOT_LEADER;
    if (routes != NULL && message_decode(request->body, QuotaAsk_fields, &ask)) {
        QuotaGrant grant;
        if (request->kind == REQUEST_QUOTA) {
            host_grant_quota(host, routes, &ask, &grant);
        } else {
            host_grant_starts(host, routes, &ask, &grant);
        }
        message_encode(&body, QuotaGrant_fields, &grant);
        free(grant.shares);
        message_free(QuotaAsk_fields, &ask);
        reply->code = RESULT_OK;
        reply->body = buffer_view(&body);
    }
    node_send_frame(host->node, from, &frame);
    buffer_close(&body);
}

static const char *host_tenant_name(const struct state_host *host, uint64_t hash)
{
    for (uint32_t i = 0; host->routes != NULL && i < host->routes->tenant_count; i++) {
        if (host->routes->tenants[i].hash == hash) {
            return host->routes->tenants[i].name;
        }
    }
    return NULL;
}

void state_host_write_quotas(const struct state_host *host, struct buffer *out)
{
    uint32_t told = 0;
    metrics_write_counter(out, "quota_granted_total", "Requests granted to tenants with a limit.",
                          host->quotas.granted);
    metrics_write_counter(out, "quota_refused_total", "Requests refused for a tenant's limit.", host->quotas.refused);
    metrics_write_counter(out, "quota_begins_refused_total", "Programs turned away for a tenant's limit.",
                          host->quotas.begins_refused);
    metrics_write_counter(out, "slow_starts_granted_total", "Requests granted to servers that have just started.",
                          host->slow_starts.tokens.granted);
    metrics_write_counter(out, "slow_starts_refused_total", "Requests asked for and not granted to such servers.",
                          host->slow_starts.tokens.refused);
    for (const quota_bucket_t *bucket = host->quotas.buckets; bucket != NULL; bucket = bucket->hh.next) {
        const char *name = host_tenant_name(host, bucket->tenant);
        bool plain = name != NULL && strpbrk(name, "\"\\\n") == NULL;
        if (!plain || told++ >= STATE_HOST_TENANTS_TOLD) {
            continue;
        }
        buffer_printf(out, "bankbank_tenant_quota_level{tenant=\"%s\"} %.1f\n", name, bucket->level);
        buffer_printf(out, "bankbank_tenant_quota_granted_total{tenant=\"%s\"} %llu\n", name,
                      (unsigned long long)bucket->granted);
        buffer_printf(out, "bankbank_tenant_quota_refused_total{tenant=\"%s\"} %llu\n", name,
                      (unsigned long long)bucket->refused);
    }
}

/* ---- Levels ------------------------------------------------------------------------------------------ */

/* A member of an earlier version would pass such an entry over, and then lead without it. */
static bool host_knows_all_levels(const struct state_host *host)
{
    const struct raft_members *members = state_host_logged_members(host);
    return links_least_level(&host->node->links, members->nodes, members->count) >= LINKS_LEVEL;
}

static void host_answer_too_new(struct state_host *host, uint32_t from, const Request *request)
{
    Frame frame = {.which_payload = Frame_reply_tag};
    frame.payload.reply.id = request->id;
    frame.payload.reply.code = RESULT_UNAVAILABLE;
    frame.payload.reply.leader = state_host_leader(host);
    event_log("entry_refused", "{s:s,s:I}", "reason", "a member runs an earlier version", "from", (json_int_t)from);
    node_send_frame(host->node, from, &frame);
}

/* ---- Frames ------------------------------------------------------------------------------------------ */

static bool host_is_ask(const Frame *frame)
{
    RequestKind kind = frame->payload.request.kind;
    return frame->which_payload == Frame_request_tag && (kind == REQUEST_QUOTA || kind == REQUEST_SLOW_START);
}

static bool host_is_new_proposal(const Frame *frame)
{
    return frame->which_payload == Frame_request_tag && frame->payload.request.kind == REQUEST_PROPOSE_NEW;
}

/* A replica that does not lead answers so, whatever is proposed. */
static void host_handle_new_proposal(struct state_host *host, uint32_t from, const Frame *frame)
{
    Frame plain = *frame;
    plain.payload.request.kind = REQUEST_PROPOSE;
    if (state_host_leads(host) && !host_knows_all_levels(host)) {
        host_answer_too_new(host, from, &frame->payload.request);
    } else {
        replica_receive(&host->replica, node_now(host->node), from, &plain);
    }
}

void state_host_receive(struct state_host *host, uint32_t from, const Frame *frame)
{
    if (host->running && host_is_new_proposal(frame)) {
        host_handle_new_proposal(host, from, frame);
    } else if (host->running && host_is_ask(frame)) {
        host_handle_ask(host, from, &frame->payload.request);
    } else if (frame->which_payload == Frame_load_report_tag) {
        host_handle_load(host, from, &frame->payload.load_report);
    } else if (frame->which_payload == Frame_watch_tag) {
        host_handle_watch(host, from, &frame->payload.watch);
    } else if (host->running) {
        replica_receive(&host->replica, node_now(host->node), from, frame);
    } else if (frame->which_payload == Frame_request_tag) {
        host_answer_outside(host, from, &frame->payload.request);
    } else if (frame->which_payload == Frame_raft_tag) {
        host->join_due_ms = 0; /* a leader counts it among the members already */
    }
}
