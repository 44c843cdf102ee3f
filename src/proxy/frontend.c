#include "proxy/frontend.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/event_log.h"
#include "base/message.h"
#include "core/presence.h"
#include "proxy/client_limits.h"
#include "proxy/forward.h"
#include "proxy/frontend_memory.h"
#include "proxy/node_metrics.h"
#include "proxy/state_host.h"

static void frontend_on_request(void *context, struct http_call *call)
{
    forward_start(context, call);
}

static void frontend_on_disconnected(void *context, struct http_call *call)
{
    (void)context;
    if (call->owner != NULL) {
        forward_caller_disconnected(call->owner);
    }
}

static void frontend_on_drained(void *context, struct http_call *call)
{
    (void)context;
    if (call->owner != NULL) {
        forward_caller_drained(call->owner);
    }
}

/* Idle connections to the address may lead to the old incarnation. */
static void frontend_on_server_restarted(void *context, const struct server *server)
{
    struct frontend *frontend = context;
    frontend->counters.server_restarts++;
    event_log("server_reborn", "{s:s,s:s,s:s,s:i}", "server", server->id, "old_life", server->incarnation, "address",
              server->address, "calls", (int)server->in_flight);
    upstream_close_idle(&frontend->node->upstreams, server->address);
}

struct frontend *frontend_open(struct node *node)
{
    struct http_limits limits;
    struct frontend *frontend = memory_new(sizeof(*frontend));
    struct address address;
    frontend_default_limits(node, &limits);
    frontend->node = node;
    frontend->jitter_state = node->boot_id;
    frontend->quarantine.max_failures = (uint32_t)node->settings.quarantine_servers;
    frontend->quarantine.keep_ms = node->settings.quarantine_ms;
    frontend->counts_known = frontend->quarantine.max_failures == 0;
    frontend->opened_ms = node_now(node);
    node->upstreams.max_connections = FRONTEND_MAX_SERVER_CONNECTIONS;
    frontend_init_probes(frontend);
    frontend->servers.on_replaced = frontend_on_server_restarted;
    frontend->servers.context = frontend;
    frontend->servers.drained = &node->state.drained;
    frontend->servers.zones = node->settings.zones.items;
    frontend->servers.zone_count = node->settings.zones.count;
    frontend->zone_reach.own_zone = node->settings.zone;
    frontend->servers.zone_reach = node->settings.tolerated_zones > 0 ? &frontend->zone_reach : NULL;
    struct http_handler handler = {
        .name = "callers",
        .accounts_requests = true,
        .context = frontend,
        .request = frontend_on_request,
        .disconnected = frontend_on_disconnected,
        .drained = frontend_on_drained,
    };
    int result = address_parse(node->settings.caller_address, &address)
                     ? http_listener_start(&frontend->callers, &node->loop, &address, &handler, &limits)
                     : -1;
    if (result != 0) {
        event_log("listen_failed", "{s:s,s:s}", "address", node->settings.caller_address, "error", uv_strerror(result));
        free(frontend);
        return NULL;
    }
    client_limits_set_callers(node, &frontend->callers.shares);
    return frontend;
}

void frontend_close(struct frontend *frontend)
{
    http_listener_close(&frontend->callers);
    frontend_configuration_close(frontend);
    server_table_close(&frontend->servers);
    version_mix_close(&frontend->version_mix);
    quarantine_clear(&frontend->quarantine);
    zone_reach_close(&frontend->zone_reach);
    turn_store_close(&frontend->cache);
    quota_leases_close(&frontend->tenant_leases);
    quota_leases_close(&frontend->start_leases);
}

void frontend_route_waiting(struct frontend *frontend)
{
    if (frontend->waiting > 0 && frontend_may_route(frontend)) {
        forward_route_waiting(frontend);
    }
}

/* ---- Servers ------------------------------------------------------------------------- */

static void frontend_servers_changed(struct frontend *frontend)
{
    server_table_record_drains(&frontend->servers, node_now(frontend->node));
    version_mix_update(&frontend->version_mix, &frontend->servers, node_now(frontend->node));
    for (struct forward *forward = frontend->forwards; forward != NULL; forward = forward->next) {
        forward_record_running(forward);
    }
}

void frontend_apply_server_list(struct frontend *frontend, struct view encoded)
{
    ServerList list = {0};
    if (!message_decode(encoded, ServerList_fields, &list)) {
        return;
    }
    server_table_update(&frontend->servers, &list);
    frontend_servers_changed(frontend);
    frontend->servers_known = true;
    frontend->servers_change = 0;
    message_free(ServerList_fields, &list);
    frontend_route_waiting(frontend);
}

/* False: the changes since the last applied one are not known, and the whole list is needed. */
static bool frontend_apply_server_changes(struct frontend *frontend)
{
    const server_list_t *servers = &frontend->node->state.servers;
    server_list_changes_t changes;
    ServerList changed = {0};
    bool applied = server_list_changes_since(servers, frontend->servers_change, &changes) &&
                   message_decode(buffer_view(&changes.records), ServerList_fields, &changed);
    if (applied) {
        server_table_apply_changes(&frontend->servers, changes.removed, changes.removed_count, &changed);
        frontend_servers_changed(frontend);
        message_free(ServerList_fields, &changed);
    }
    server_list_changes_close(&changes);
    return applied;
}

void frontend_apply_servers(struct frontend *frontend)
{
    server_list_t *servers = &frontend->node->state.servers;
    if (!frontend_apply_server_changes(frontend)) {
        frontend_apply_server_list(frontend, server_list_encoded(servers));
    }
    frontend->servers_change = servers->change;
    event_log("servers_in_force", "{s:I,s:I,s:I}", "term", (json_int_t)frontend->node->state.servers_term, "number",
              (json_int_t)frontend->node->state.servers_number, "servers",
              (json_int_t)HASH_COUNT(frontend->servers.servers));
}

void frontend_apply_drained_zones(struct frontend *frontend)
{
    server_table_zones_changed(&frontend->servers, node_now(frontend->node));
    node_log_drained(frontend->node, "zones_in_force");
}

/* ---- State ------------------------------------------------------------------------------ */

bool frontend_is_configured(const struct frontend *frontend)
{
    return frontend->table != NULL && frontend->servers_known;
}

bool frontend_may_route(const struct frontend *frontend)
{
    bool waited = node_now(frontend->node) >= frontend->opened_ms + FRONTEND_COUNTS_WAIT_MS;
    return frontend_is_configured(frontend) && (frontend->counts_known || waited);
}

/* Linear congruential generator with Knuth's MMIX constants. */
uint32_t frontend_random(struct frontend *frontend)
{
    frontend->jitter_state = frontend->jitter_state * 6364136223846793005ULL + 1442695040888963407ULL;
    return (uint32_t)(frontend->jitter_state >> 32);
}

static bool frontend_is_withdrawn(const struct frontend *frontend)
{
    return node_now(frontend->node) < frontend->withdrawn_until_ms;
}

bool frontend_is_ready(const struct frontend *frontend)
{
    return frontend_may_route(frontend) && !node_is_isolated(frontend->node) && !frontend_is_withdrawn(frontend) &&
           !frontend_is_cut_off(frontend);
}

bool frontend_is_busy(const struct frontend *frontend)
{
    return frontend->active > 0 || http_listener_active_count(&frontend->callers) > 0;
}

void frontend_drain(struct frontend *frontend)
{
    http_listener_drain(&frontend->callers);
}

void frontend_stop_accepting(struct frontend *frontend)
{
    http_listener_stop_accepting(&frontend->callers);
}

void frontend_end_requests(struct frontend *frontend)
{
    if (!frontend->ended) {
        event_log("requests_ended", "{s:i}", "active", (int)frontend->active);
    }
    frontend->ended = true;
    while (frontend->forwards != NULL) {
        forward_end_at_stop(frontend->forwards);
    }
    http_listener_refuse_receiving(&frontend->callers);
}

static uint64_t frontend_hash_name(const char *name)
{
    return XXH64(text_or_empty(name), strlen(text_or_empty(name)), 0);
}

/* The interval set by the leader, but at least LOAD_MIN_REPORT_MS, and at most PRESENCE_REPORT_MS: a gateway without
 * reports counts as silent. An idle gateway reports every PRESENCE_REPORT_MS. If zones may be lost, it uses the
 * leader's interval, but at least QUORUM_CONTACT_IDLE_REPORT_MS, so that it detects a cut sooner. */
uint32_t frontend_report_interval_ms(const struct frontend *frontend)
{
    bool idle = frontend->active == 0 && !frontend->last_report_had_loads && frontend->counts_known;
    uint32_t idle_ms =
        frontend->node->settings.tolerated_zones > 0 ? QUORUM_CONTACT_IDLE_REPORT_MS : PRESENCE_REPORT_MS;
    uint32_t min_ms = idle ? idle_ms : LOAD_MIN_REPORT_MS;
    uint32_t interval_ms = frontend->report_interval_ms > min_ms ? frontend->report_interval_ms : min_ms;
    return interval_ms > PRESENCE_REPORT_MS ? PRESENCE_REPORT_MS : interval_ms;
}

/* Reports the load to the leader; also serves as the heartbeat. */
static void frontend_report_loads(struct frontend *frontend)
{
    struct node *node = frontend->node;
    uint32_t leader = node->host != NULL ? state_host_leader(node->host) : node->watch.leader;
    if (node_now(node) < frontend->loads_reported_ms + frontend_report_interval_ms(frontend) ||
        leader == RAFT_NO_NODE) {
        return;
    }
    Frame frame = {0};
    LoadReport *report = &frame.payload.load_report;
    frame.which_payload = Frame_load_report_tag;
    server_table_report_loads(&frontend->servers, node_now(node), report);
    report->machine = frontend_hash_name(node->settings.name);
    report->zone = frontend_hash_name(node->settings.zone);
    report->leaving = node->draining;
    report->quarantined = quarantine_list(&frontend->quarantine, node_now(node), &report->quarantined_count);
    frontend->loads_reported_ms = node_now(node);
    frontend->last_report_had_loads = report->loads_count > 0;
    node_send_frame(node, leader, &frame);
    free(report->loads);
    free(report->quarantined);
}

static void frontend_log_withdrawal(struct frontend *frontend, const LoadTotals *totals)
{
    bool withdrawn = frontend_is_withdrawn(frontend);
    if (withdrawn == frontend->withdrawal_logged) {
        return;
    }
    frontend->withdrawal_logged = withdrawn;
    event_log(withdrawn ? "withdrawn" : "withdrawal_ends", "{s:I,s:I,s:I,s:I}", "zone_gateways",
              (json_int_t)totals->own_zone.gateways, "zone_silent", (json_int_t)totals->own_zone.silent,
              "other_gateways", (json_int_t)totals->other_zones.gateways, "other_silent",
              (json_int_t)totals->other_zones.silent);
}

void frontend_apply_load_totals(struct frontend *frontend, const LoadTotals *totals)
{
    uint64_t now_ms = node_now(frontend->node);
    frontend->report_interval_ms = totals->report_ms;
    frontend_record_leader_reply(frontend);
    frontend_adopt_quarantine(frontend, totals->quarantined, totals->quarantined_count);
    for (pb_size_t i = 0; i < totals->suspected_count; i++) {
        frontend_suspect(frontend, totals->suspected[i]);
    }
    if (!frontend->counts_known) {
        frontend->counts_known = true;
        frontend_route_waiting(frontend);
    }
    if (totals->loads_ms > 0) {
        server_table_set_other_loads(&frontend->servers, now_ms, totals);
    }
    bool withdraws = presence_should_withdraw(totals) && !frontend_was_recently_cut_off(frontend);
    frontend->withdrawn_until_ms = withdraws ? now_ms + FRONTEND_WITHDRAWAL_MS : 0;
    frontend_log_withdrawal(frontend, totals);
}

static void frontend_log_failing(struct frontend *frontend, struct server *server)
{
    uint64_t now_ms = node_now(frontend->node);
    uint32_t share = server_failure_share(&frontend->servers, server, now_ms);
    bool failing = health_should_log_failing(server->logged_failing, share);
    if (failing == server->logged_failing) {
        return;
    }
    server->logged_failing = failing;
    event_log(server->logged_failing ? "server_failing" : "server_sound", "{s:s,s:s,s:f,s:f}", "server", server->id,
              "service", server->service, "own_share", (double)health_share(&server->health, now_ms) / HEALTH_ONE,
              "share", (double)share / HEALTH_ONE);
}

static void frontend_log_version_mix(struct frontend *frontend)
{
    uint64_t now_ms = node_now(frontend->node);
    version_mix_service_t *service = frontend->version_mix.services;
    for (; service != NULL; service = service->hh.next) {
        bool mixed = version_mix_has(&frontend->version_mix, service->name, now_ms);
        if (mixed != service->logged) {
            service->logged = mixed;
            event_log(mixed ? "versions_mixed" : "versions_single", "{s:s,s:s}", "service", service->name, "version",
                      service->version);
        }
    }
}

/* Detects servers that do not respond, and logs state changes. */
static void frontend_review_servers(struct frontend *frontend)
{
    for (struct forward *forward = frontend->forwards; forward != NULL; forward = forward->next) {
        forward_record_unanswered(forward);
    }
    forward_end_idle_after_restart(frontend);
    forward_end_failure_waits(frontend);
    frontend_route_waiting(frontend);
    quarantine_expire(&frontend->quarantine, node_now(frontend->node));
    forward_release_held_streams(frontend);
    frontend_log_version_mix(frontend);
    quota_leases_remove_idle(&frontend->start_leases, node_now(frontend->node));
    server_table_apply_deferred(&frontend->servers, node_now(frontend->node));
    for (struct server *server = frontend->servers.servers; server != NULL; server = server->hh.next) {
        frontend_log_failing(frontend, server);
        forward_log_starting(frontend, server);
        frontend_probe_if_silent(frontend, server);
        frontend_redial(frontend, server);
    }
    frontend_probe_zones(frontend);
    frontend_log_zone_changes(frontend); /* a new list may have ended an unreachable state */
}

void frontend_before_wait(struct frontend *frontend)
{
    if (frontend->capacity_freed && frontend->queued > 0) {
        frontend->capacity_freed = false;
        forward_queue_serve(frontend);
    }
    if (frontend->tenant_leases.due) {
        forward_quota_request(frontend);
    }
    forward_request_start_tokens(frontend);
}

void frontend_tick(struct frontend *frontend)
{
    frontend_confirm_configuration(frontend);
    frontend_contact_tick(frontend);
    quota_leases_expire(&frontend->tenant_leases, node_now(frontend->node));
    quota_leases_expire(&frontend->start_leases, node_now(frontend->node));
    if (frontend->queued > 0) {
        forward_queue_serve(frontend);
    }
    if (node_now(frontend->node) >= frontend->review_due_ms) {
        frontend->review_due_ms = node_now(frontend->node) + FRONTEND_REVIEW_MS;
        frontend_review_servers(frontend);
        frontend_memory_review(frontend);
    }
    frontend_report_loads(frontend);
    frontend_log_withdrawal(frontend, &(const LoadTotals){0});
}

static void frontend_write_connection_ends(const struct http_listener_counters *callers, struct buffer *out)
{
    static const char help[] = "Connections that ended, not by their callers, without the answer to a request.";
    for (int reason = 0; reason < HTTP_END_COUNT; reason++) {
        struct buffer name = {0};
        buffer_printf(&name, "connections_ended_%s_total", http_end_name((http_end_t)reason));
        metrics_write_counter(out, buffer_text(&name), help, callers->ends[reason]);
        buffer_close(&name);
    }
}

void frontend_write_metrics(const struct frontend *frontend, struct buffer *out)
{
    const struct frontend_counters *counters = &frontend->counters;
    const struct http_listener_counters *callers = &frontend->callers.counters;
    metrics_write_counter(out, "connections_total", "Connections of callers.", callers->accepted);
    metrics_write_counter(out, "malformed_requests_total", "Requests refused for their form.", callers->malformed);
    metrics_write_counter(out, "connection_timeouts_total", "Connections closed for idleness.", callers->timeouts);
    frontend_write_connection_ends(callers, out);
    metrics_write_counter(out, "requests_total", "Requests that found a route.", counters->requests);
    metrics_write_counter(out, "completed_total", "Answers passed on whole.", counters->completed);
    metrics_write_counter(out, "refused_total", "Requests answered as not run.", counters->refused);
    metrics_write_counter(out, "unknown_route_total", "Requests without a route.", counters->unknown_route);
    metrics_write_counter(out, "failed_total", "Requests answered 502 or 504.", counters->failed);
    metrics_write_counter(out, "cut_total", "Answers broken off.", counters->aborted);
    metrics_write_counter(out, "gone_total", "Callers that left before the end.", counters->caller_disconnects);
    metrics_write_counter(out, "sends_total", "Requests sent to servers.", counters->sends);
    metrics_write_counter(out, "remote_sends_total", "Requests sent to servers in another zone.",
                          counters->remote_sends);
    metrics_write_counter(out, "remote_bytes_total", "Bytes of requests sent to servers in another zone.",
                          counters->remote_bytes);
    metrics_write_counter(out, "server_refusals_total", "Servers that did not run a request.",
                          counters->server_refusals);
    metrics_write_counter(out, "probes_total", "Connections opened to see whether a silent server can be reached.",
                          counters->probes);
    metrics_write_counter(out, "closed_dials_total", "Connections that servers closed at once, before any request.",
                          counters->closed_dials);
    metrics_write_counter(out, "servers_reborn_total", "Servers that started again under their id.",
                          counters->server_restarts);
    metrics_write_counter(out, "queued_total", "Requests that waited for a place at a server.", counters->queued);
    metrics_write_counter(out, "resumes_total", "Streams taken up after they broke off.", counters->resumes);
    metrics_write_counter(out, "resumptions_total", "Requests that take up a stream of an earlier request.",
                          counters->resumptions);
    metrics_write_counter(out, "resumption_refusals_total",
                          "Of these, refused for the software version that began the stream.",
                          counters->resumption_refusals);
    metrics_write_counter(out, "stream_records_total", "Records of the software version that began a stream.",
                          counters->stream_records);
    metrics_write_counter(out, "unrecorded_streams_total", "Streams forwarded before their record was committed.",
                          counters->unrecorded_streams);
    metrics_write_counter(out, "hedges_total", "Second servers asked for want of an answer.", counters->hedges);
    metrics_write_counter(out, "pauses_total", "Streams held back for a slow caller.", counters->pauses);
    metrics_write_counter(out, "crossed_total", "Answers to other requests, or to none by name, dropped.",
                          counters->mismatched);
    metrics_write_counter(out, "unnamed_total", "Answers that name no request, accepted.", counters->unnamed);
    metrics_write_counter(out, "budget_refusals_total", "Turns refused for the budget.", counters->budget_refusals);
    metrics_write_counter(out, "conversation_hits_total", "Conversations found near.", counters->cache_hits);
    metrics_write_counter(out, "conversation_misses_total", "Conversations fetched.", counters->cache_misses);
    metrics_write_counter(out, "key_refusals_total", "Requests refused for want of a known key.",
                          counters->key_refusals);
    metrics_write_counter(out, "quota_refusals_total", "Requests refused since their tenant is over its limit.",
                          counters->quota_refusals);
    metrics_write_counter(out, "quota_asks_total", "Asks of the leader for tokens of tenants.",
                          frontend->quota_requests);
    metrics_write_counter(out, "quarantine_refusals_total",
                          "Requests ended since servers failed under their operation.", counters->quarantine_refusals);
    metrics_write_counter(out, "permit_requests_total",
                          "Requests for which the leader was asked, since their operation is suspected.",
                          counters->permit_requests);
    metrics_write_counter(out, "suspect_refusals_total",
                          "Requests ended since other attempts at their suspected operation were open.",
                          counters->suspect_refusals);
    metrics_write_counter(out, "uncounted_failures_total",
                          "Requests ended since the leader had not counted a failure of a server.",
                          counters->uncounted_failures);
    metrics_write_gauge(out, "operations_quarantined", "Operations that no server may run for now.",
                        frontend->quarantine.quarantined);
    metrics_write_gauge(out, "requests_active", "Requests under way.", frontend->active);
    metrics_write_gauge(out, "requests_waiting", "Requests that wait for configuration and servers after a start.",
                        frontend->waiting);
    metrics_write_gauge(out, "requests_queued", "Requests that wait for a place at a server.", frontend->queued);
    metrics_write_gauge(out, "withdrawn", "Whether callers are left to other zones.",
                        frontend_is_withdrawn(frontend) ? 1 : 0);
    frontend_contact_write_metrics(frontend, out);
    frontend_memory_write_metrics(frontend, out);
    metrics_write_gauge(out, "zones_drained", "Zones whose servers get nothing new.",
                        frontend->node->state.drained.count);
    metrics_write_gauge(out, "zones_unreachable", "Zones whose servers are avoided because two or more failed there.",
                        zone_reach_count_unreachable(&frontend->zone_reach));
    metrics_write_gauge(out, "services_mixed", "Services whose servers run several software versions, or did.",
                        version_mix_count(&frontend->version_mix, node_now(frontend->node)));
    metrics_write_gauge(out, "servers_known", "Servers known.", HASH_COUNT(frontend->servers.servers));
    histogram_write(&frontend->first_event_time, "first_event_seconds", "Time to the first event of a stream.", out);
    histogram_write(&frontend->response_time, "answer_seconds", "Time to the end of an answer.", out);
    histogram_write(&frontend->reserve_time, "turn_begin_seconds", "Time to reserve a turn's tokens.", out);
    histogram_write(&frontend->commit_time, "turn_commit_seconds", "Time to store a turn.", out);
}
