/* State replica: requests of other daemons (watches, load reports, quotas). */
#include <stdlib.h>
#include <string.h>

#include "base/event_log.h"
#include "base/message.h"
#include "core/quorum_contact.h"
#include "core/slow_start.h"
#include "proxy/node_metrics.h"
#include "proxy/state_host_internal.h"

enum {
    HOST_RELAY_MAX_AGE_MS = 1000, /* age up to which a relay forwards a member's state as fresh */
};

/* ---- Watches ---------------------------------------------------------------------------------------- */

/* A relay is fresh if the member that it watches recently replied that it is. */
static bool host_is_fresh(const struct state_host *host, uint64_t now_ms)
{
    return host->running ? replica_is_fresh(&host->replica, STATE_CONFIG_GROUP, now_ms)
                         : watch_client_is_fresh(&host->node->watch, now_ms, HOST_RELAY_MAX_AGE_MS);
}

/* Refers a watcher to a relay if there are too many watchers. Group members are not referred: they must watch their
 * leader. */
static void host_refer_watcher(struct state_host *host, struct watch_entry *entry, WatchUpdate *update)
{
    const struct raft_members *members = state_host_logged_members(host);
    if (members == NULL || raft_member_position(members, entry->node) >= 0) {
        return;
    }
    uint32_t relay = watch_server_choose_relay(&host->watchers, entry, node_now(host->node));
    struct raft_member_location location;
    if (relay != RAFT_NO_NODE && links_replica_location(&host->node->links, relay, &location)) {
        update->has_relay = true;
        update->relay = (Member){.node = relay, .ip = location.ip, .port = location.port};
    }
}

static void host_record_queues(struct state_host *host, uint64_t now_ms)
{
    const struct links *links = &host->node->links;
    for (uint32_t i = 0; i < host->watchers.count; i++) {
        struct watch_entry *entry = &host->watchers.entries[i];
        if (entry->unsent_bytes > 0) {
            watch_server_record_queue(&host->watchers, entry, now_ms, links_unsent_bytes(links, entry->node));
        }
    }
    host->watchers.queued_bytes = links->queued_bytes;
}

static void host_send_update(struct state_host *host, struct watch_entry *entry, uint64_t sequence)
{
    struct node *node = host->node;
    uint64_t now_ms = node_now(node);
    watch_outgoing_t outgoing = {0};
    struct watch_entry before = *entry;
    WatchUpdate *update = &outgoing.update;
    update->sequence = sequence;
    update->fresh = host_is_fresh(host, now_ms);
    update->leader = host->running ? state_host_leader(host) : node->watch.leader;
    update->age_ms = host->running ? 0 : (uint32_t)(now_ms - node->watch.fresh_ms);
    outgoing.is_reply = sequence != 0;
    host_refer_watcher(host, entry, update);
    update->watchers = watch_server_count(&host->watchers, now_ms);
    watch_server_fill_update(&host->watchers, entry, now_ms, &node->state, &outgoing);
    Frame frame = {.which_payload = Frame_watch_update_tag, .payload.watch_update = outgoing.update};
    if (!node_send_frame(node, entry->node, &frame)) {
        watch_server_refused(&host->watchers, entry, now_ms, &before);
    }
    watch_outgoing_close(&outgoing);
}

void state_host_send_updates(struct state_host *host)
{
    struct node *node = host->node;
    uint64_t now_ms = node_now(node);
    bool fresh = host_is_fresh(host, now_ms);
    uint32_t first = host->watchers.first;
    host_record_queues(host, now_ms);
    for (uint32_t i = 0; i < host->watchers.count; i++) {
        struct watch_entry *entry = &host->watchers.entries[(first + i) % host->watchers.count];
        watch_server_count_deferred(&host->watchers, entry, now_ms, &node->state, fresh);
        if (watch_server_has_update(&host->watchers, entry, now_ms, &node->state, fresh)) {
            host_send_update(host, entry, 0);
        }
    }
}

void state_host_write_watches(const struct state_host *host, struct buffer *out)
{
    const struct watch_server *watchers = &host->watchers;
    metrics_write_counter(out, "watch_wholes_total", "Whole lists of servers told to watchers.",
                          watchers->full_lists_sent);
    metrics_write_counter(out, "watch_documents_total", "Configurations sent to watchers, whole or as patches.",
                          watchers->documents_sent);
    metrics_write_counter(out, "watch_patches_total", "Configurations sent to watchers as patches.",
                          watchers->patches_sent);
    metrics_write_counter(out, "watch_document_bytes_total", "Bytes of these configurations and patches.",
                          watchers->document_bytes_sent);
    metrics_write_gauge(out, "watch_history_bytes", "Texts of configurations kept to make patches.",
                        watchers->history.text_bytes);
    metrics_write_counter(out, "watch_documents_skipped_total",
                          "Versions that a watcher was not sent since a newer one was there at its turn.",
                          watchers->documents_skipped);
    metrics_write_counter(out, "watch_documents_deferred_total",
                          "Configurations that had to wait for room in the send queues or for an acknowledgement.",
                          watchers->documents_deferred);
    metrics_write_gauge(out, "watch_documents_queued_bytes", "Unsent bytes of connections that carry a configuration.",
                        watchers->document_unsent_bytes);
}

/* Replicas outside the group accept watches as well: daemons that know only the seeds find the members even if no seed
 * is a member any more. */
static void host_handle_watch(struct state_host *host, uint32_t from, const Watch *watch)
{
    struct watch_entry *entry = watch_server_record_watch(&host->watchers, node_now(host->node), from, watch);
    if (entry != NULL) {
        host_send_update(host, entry, watch->sequence);
    }
}

/* For a replica outside the group: the reply makes the client try another one at once. */
static void host_reply_as_non_member(struct state_host *host, uint32_t from, const Request *request)
{
    Frame frame = {0};
    Reply *reply = &frame.payload.reply;
    frame.which_payload = Frame_reply_tag;
    reply->id = request->id;
    reply->code = request->kind == REQUEST_TURNS_HELD ? RESULT_NOT_FOUND : RESULT_NOT_LEADER;
    reply->leader = host->node->watch.leader;
    node_send_frame(host->node, from, &frame);
}

/* ---- Load reports ----------------------------------------------------------------------------------- */

/* If zones may be lost, gateways take the reply as proof that the quorum is reachable. A leader that has lost its
 * quorum steps down only after an election timeout; its replies until then would delay the detection of the cut. */
static bool host_has_contact(const struct state_host *host, uint64_t now_ms)
{
    const struct raft *raft = &host->replica.groups[STATE_CONFIG_GROUP].raft;
    uint64_t since_ms = now_ms > QUORUM_CONTACT_LEADER_QUORUM_MS ? now_ms - QUORUM_CONTACT_LEADER_QUORUM_MS : 0;
    return host->node->settings.tolerated_zones == 0 || raft_quorum_active_since(raft, since_ms);
}

/* A gateway takes the first reply as proof that it knows all quarantined operations (frontend.counts_known). */
static bool host_may_reply_to_reports(const struct state_host *host, uint64_t now_ms)
{
    return replica_leads_applied(&host->replica, STATE_CONFIG_GROUP) && host_has_contact(host, now_ms);
}

/* Replies with the load of the other gateways and the number of silent ones. */
static void host_handle_load_report(struct state_host *host, uint32_t from, const LoadReport *report)
{
    uint64_t now_ms = node_now(host->node);
    if (!state_host_is_leader(host)) {
        return;
    }
    Frame frame = {0};
    frame.which_payload = Frame_load_totals_tag;
    load_table_report(&host->loads, now_ms, from, report);
    load_table_expire(&host->loads, now_ms);
    presence_record_report(&host->presence, now_ms, report);
    presence_expire(&host->presence, now_ms);
    quarantine_adopt(&host->quarantine, now_ms, report->quarantined, report->quarantined_count);
    quarantine_expire(&host->quarantine, now_ms);
    if (!host_may_reply_to_reports(host, now_ms)) {
        return;
    }
    state_host_apply_quarantines(host);
    load_table_answer(&host->loads, now_ms, from, &frame.payload.load_totals);
    LoadTotals *totals = &frame.payload.load_totals;
    presence_count(&host->presence, now_ms, report->zone, totals);
    totals->quarantined = quarantine_list(&host->quarantine, now_ms, &totals->quarantined_count);
    totals->suspected = state_host_list_suspected(host, &totals->suspected_count);
    node_send_frame(host->node, from, &frame);
    free(totals->loads);
    free(totals->quarantined);
    free(totals->suspected);
}

/* ---- Quotas ----------------------------------------------------------------------------------------- */

/* Fixed-point factor of settings: durations are in ms, overshoots in thousandths. */
static const double HOST_SETTINGS_SCALE = 1000;

/* The current configuration, parsed after each change; NULL: none. */
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
    host->quotas.tolerance = (quota_tolerance_t){
        .window_s = (double)settings->quota_window_ms / HOST_SETTINGS_SCALE,
        .overshoot = (double)settings->quota_overshoot / HOST_SETTINGS_SCALE,
        .slack = (double)settings->quota_slack,
    };
    quota_table_answer(&host->quotas, node_now(host->node), routes, ask, grant);
}

static void host_grant_slow_start(struct state_host *host, const struct route_table *routes, const QuotaAsk *ask,
                                  QuotaGrant *grant)
{
    const struct node_settings *settings = &host->node->settings;
    slow_start_tolerance_t tolerance = {
        .overshoot = (double)settings->start_overshoot / HOST_SETTINGS_SCALE,
        .slack = (double)settings->start_slack,
    };
    slow_start_answer(&host->slow_starts, node_now(host->node), routes, &tolerance, ask, grant);
}

/* Only a leader in contact with a quorum grants requests: otherwise a newer leader might grant the same ones. */
static void host_handle_quota_request(struct state_host *host, uint32_t from, const Request *request)
{
    uint64_t now_ms = node_now(host->node);
    bool leads = state_host_is_leader(host) && host_is_fresh(host, now_ms);
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
            host_grant_slow_start(host, routes, &ask, &grant);
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
    const struct route_tenant *tenant = host->routes == NULL ? NULL : route_table_tenant_of_hash(host->routes, hash);
    return tenant == NULL ? NULL : tenant->name;
}

void state_host_write_quotas(const struct state_host *host, struct buffer *out)
{
    uint32_t written = 0;
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
        const char *name = host_tenant_name(host, bucket->key);
        bool label_safe = name != NULL && strpbrk(name, "\"\\\n") == NULL;
        if (!label_safe || written++ >= STATE_HOST_MAX_TENANT_METRICS) {
            continue;
        }
        buffer_printf(out, "bankbank_tenant_quota_level{tenant=\"%s\"} %.1f\n", name, bucket->level);
        buffer_printf(out, "bankbank_tenant_quota_granted_total{tenant=\"%s\"} %llu\n", name,
                      (unsigned long long)bucket->granted);
        buffer_printf(out, "bankbank_tenant_quota_refused_total{tenant=\"%s\"} %llu\n", name,
                      (unsigned long long)bucket->refused);
    }
}

/* ---- Feature levels ---------------------------------------------------------------------------------- */

bool state_host_members_have_level(const struct state_host *host, uint32_t level)
{
    const struct raft_members *members = state_host_logged_members(host);
    return links_min_feature_level(&host->node->links, members->nodes, members->count) >= level;
}

static void host_reject_unsupported(struct state_host *host, uint32_t from, const Request *request)
{
    Frame frame = {.which_payload = Frame_reply_tag};
    frame.payload.reply.id = request->id;
    frame.payload.reply.code = RESULT_UNAVAILABLE;
    frame.payload.reply.leader = state_host_leader(host);
    event_log("entry_refused", "{s:s,s:I}", "reason", "a member runs an earlier version", "from", (json_int_t)from);
    node_send_frame(host->node, from, &frame);
}

/* ---- Frames ------------------------------------------------------------------------------------------ */

static bool host_is_quota_request(const Frame *frame)
{
    RequestKind kind = frame->payload.request.kind;
    return frame->which_payload == Frame_request_tag && (kind == REQUEST_QUOTA || kind == REQUEST_SLOW_START);
}

static bool host_is_failure_report(const Frame *frame)
{
    return frame->which_payload == Frame_request_tag && frame->payload.request.kind == REQUEST_FAILURE;
}

static bool host_is_new_proposal(const Frame *frame)
{
    return frame->which_payload == Frame_request_tag && frame->payload.request.kind == REQUEST_PROPOSE_NEW;
}

/* The leader accepts an entry of a new kind only if the members support it; others handle it as any proposal. */
static void host_handle_new_proposal(struct state_host *host, uint32_t from, const Frame *frame)
{
    Frame proposal = *frame;
    proposal.payload.request.kind = REQUEST_PROPOSE;
    uint32_t level = state_machine_entry_level(frame->payload.request.body);
    if (state_host_is_leader(host) && !state_host_members_have_level(host, level)) {
        host_reject_unsupported(host, from, &frame->payload.request);
    } else {
        replica_receive(&host->replica, node_now(host->node), from, &proposal);
    }
}

void state_host_receive(struct state_host *host, uint32_t from, const Frame *frame)
{
    if (host->running && host_is_new_proposal(frame)) {
        host_handle_new_proposal(host, from, frame);
    } else if (host->running && host_is_quota_request(frame)) {
        host_handle_quota_request(host, from, &frame->payload.request);
    } else if (host->running && host_is_failure_report(frame)) {
        state_host_handle_failure(host, from, &frame->payload.request);
    } else if (frame->which_payload == Frame_load_report_tag) {
        host_handle_load_report(host, from, &frame->payload.load_report);
    } else if (frame->which_payload == Frame_watch_tag) {
        host_handle_watch(host, from, &frame->payload.watch);
    } else if (host->running) {
        replica_receive(&host->replica, node_now(host->node), from, frame);
    } else if (frame->which_payload == Frame_request_tag) {
        host_reply_as_non_member(host, from, &frame->payload.request);
    } else if (frame->which_payload == Frame_raft_tag) {
        host->join_due_ms = 0; /* the leader already has this replica as a member: join at once */
    }
}
