#include "proxy/front.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/event_log.h"
#include "base/message.h"
#include "core/presence.h"
#include "proxy/forward.h"
#include "proxy/front_memory.h"
#include "proxy/node_metrics.h"
#include "proxy/state_host.h"

static void front_on_request(void *context, struct http_call *call)
{
    forward_start(context, call);
}

static void front_on_gone(void *context, struct http_call *call)
{
    (void)context;
    if (call->owner != NULL) {
        forward_caller_gone(call->owner);
    }
}

static void front_on_drained(void *context, struct http_call *call)
{
    (void)context;
    if (call->owner != NULL) {
        forward_caller_drained(call->owner);
    }
}

/* Connections at rest may lead to the old life. */
static void front_on_life_ended(void *context, const struct server *server)
{
    struct front *front = context;
    front->counters.reborn++;
    event_log("server_reborn", "{s:s,s:s,s:s,s:i}", "server", server->id, "old_life", server->life, "address",
              server->address, "calls", (int)server->calls);
    upstream_forget(&front->node->upstreams, server->address);
}

struct front *front_open(struct node *node)
{
    struct http_limits limits;
    struct front *front = memory_new(sizeof(*front));
    struct address address;
    front_default_limits(&limits);
    front->node = node;
    front->spread = node->boot_id;
    node->upstreams.max_connections = FRONT_CONNECTIONS;
    front_watch_reach(front);
    front->servers.life_ended = front_on_life_ended;
    front->servers.context = front;
    front->servers.drained = &node->state.drained;
    front->servers.places = node->settings.zones.items;
    front->servers.place_count = node->settings.zones.count;
    struct http_handler handler = {
        .context = front,
        .request = front_on_request,
        .gone = front_on_gone,
        .drained = front_on_drained,
    };
    int result = address_parse(node->settings.caller_address, &address)
                     ? http_listener_start(&front->callers, &node->loop, &address, &handler, &limits)
                     : -1;
    if (result != 0) {
        event_log("listen_failed", "{s:s,s:s}", "address", node->settings.caller_address, "error", uv_strerror(result));
        free(front);
        return NULL;
    }
    return front;
}

void front_close(struct front *front)
{
    http_listener_close(&front->callers);
    front_configuration_close(front);
    server_table_close(&front->servers);
    turn_store_close(&front->cache);
    quota_purses_close(&front->purses);
    quota_purses_close(&front->starts);
}

void front_resume(struct front *front)
{
    if (front->waiting > 0 && front_knows_site(front)) {
        forward_resume_waiting(front);
    }
}

/* ---- Servers ------------------------------------------------------------------------- */

void front_take_own_servers(struct front *front, struct view encoded)
{
    ServerList list = {0};
    if (!message_decode(encoded, ServerList_fields, &list)) {
        return;
    }
    server_table_update(&front->servers, &list);
    front->servers_known = true;
    front->servers_change = 0;
    message_free(ServerList_fields, &list);
    front_resume(front);
}

/* What changed since the list was last looked at; false: only the whole list tells. */
static bool front_take_server_changes(struct front *front)
{
    const server_list_t *servers = &front->node->state.servers;
    server_list_changes_t changes;
    ServerList changed = {0};
    bool taken = server_list_changes_since(servers, front->servers_change, &changes) &&
                 message_decode(buffer_view(&changes.records), ServerList_fields, &changed);
    if (taken) {
        server_table_change(&front->servers, changes.gone, changes.gone_count, &changed);
        message_free(ServerList_fields, &changed);
    }
    server_list_changes_close(&changes);
    return taken;
}

void front_take_servers(struct front *front)
{
    server_list_t *servers = &front->node->state.servers;
    if (!front_take_server_changes(front)) {
        front_take_own_servers(front, server_list_whole(servers));
    }
    front->servers_change = servers->change;
    event_log("servers_in_force", "{s:I,s:I,s:I}", "term", (json_int_t)front->node->state.servers_term, "number",
              (json_int_t)front->node->state.servers_number, "servers", (json_int_t)HASH_COUNT(front->servers.servers));
}

void front_take_drained(struct front *front)
{
    server_table_zones_changed(&front->servers, node_now(front->node));
    node_log_drained(front->node, "zones_in_force");
}

/* ---- State ------------------------------------------------------------------------------ */

bool front_knows_site(const struct front *front)
{
    return front->table != NULL && front->servers_known;
}

static bool front_is_withdrawn(const struct front *front)
{
    return node_now(front->node) < front->withdrawn_until_ms;
}

bool front_is_ready(const struct front *front)
{
    return front_knows_site(front) && !node_is_isolated(front->node) && !front_is_withdrawn(front);
}

bool front_is_busy(const struct front *front)
{
    return front->active > 0 || http_listener_active(&front->callers) > 0;
}

void front_drain(struct front *front)
{
    http_listener_drain(&front->callers);
}

void front_stop_accepting(struct front *front)
{
    http_listener_stop_accepting(&front->callers);
}

static uint64_t front_hash(const char *name)
{
    return XXH64(text_or_empty(name), strlen(text_or_empty(name)), 0);
}

/* As the leader told; a gateway that is silent for long would count as gone. */
static uint32_t front_report_pause(const struct front *front)
{
    bool idle = front->active == 0 && !front->loads_told;
    uint32_t pause_ms = front->loads_pause_ms > LOAD_REPORT_MS ? front->loads_pause_ms : LOAD_REPORT_MS;
    return idle || pause_ms > PRESENCE_REPORT_MS ? PRESENCE_REPORT_MS : pause_ms;
}

/* Tells the leader what is under way here, and that this gateway runs. */
static void front_report_loads(struct front *front)
{
    struct node *node = front->node;
    uint32_t leader = node->host != NULL ? state_host_leader(node->host) : node->watch.leader;
    if (node_now(node) < front->loads_reported_ms + front_report_pause(front) || leader == RAFT_NO_NODE) {
        return;
    }
    Frame frame = {0};
    LoadReport *report = &frame.payload.load_report;
    frame.which_payload = Frame_load_report_tag;
    server_table_report_loads(&front->servers, node_now(node), report);
    report->machine = front_hash(node->settings.name);
    report->zone = front_hash(node->settings.zone);
    report->leaving = node->draining;
    front->loads_reported_ms = node_now(node);
    front->loads_told = report->loads_count > 0;
    node_send_frame(node, leader, &frame);
    free(report->loads);
}

static void front_tell_withdrawn(struct front *front, const LoadTotals *totals)
{
    bool withdrawn = front_is_withdrawn(front);
    if (withdrawn == front->withdrawn_told) {
        return;
    }
    front->withdrawn_told = withdrawn;
    event_log(withdrawn ? "withdrawn" : "withdrawal_ends", "{s:I,s:I,s:I,s:I}", "zone_gateways",
              (json_int_t)totals->own_zone.gateways, "zone_silent", (json_int_t)totals->own_zone.silent,
              "other_gateways", (json_int_t)totals->other_zones.gateways, "other_silent",
              (json_int_t)totals->other_zones.silent);
}

void front_take_totals(struct front *front, const LoadTotals *totals)
{
    uint64_t now_ms = node_now(front->node);
    front->loads_pause_ms = totals->report_ms;
    if (totals->loads_ms > 0) {
        server_table_take_loads(&front->servers, now_ms, totals);
    }
    front->withdrawn_until_ms = presence_should_withdraw(totals) ? now_ms + FRONT_WITHDRAWN_MS : 0;
    front_tell_withdrawn(front, totals);
}

static void front_report_failing(struct front *front, struct server *server)
{
    uint64_t now_ms = node_now(front->node);
    uint32_t share = server_failures(&front->servers, server, now_ms);
    bool failing = health_told_failing(server->told_failing, share);
    if (failing == server->told_failing) {
        return;
    }
    server->told_failing = failing;
    event_log(server->told_failing ? "server_failing" : "server_sound", "{s:s,s:s,s:f,s:f}", "server", server->id,
              "service", server->service, "own_share", (double)health_share(&server->health, now_ms) / HEALTH_ONE,
              "share", (double)share / HEALTH_ONE);
}

/* Looks for servers that do not answer, and tells which ones have come to fail. */
static void front_review_servers(struct front *front)
{
    for (struct forward *forward = front->forwards; forward != NULL; forward = forward->next) {
        forward_note_silence(forward);
    }
    forward_end_silent(front);
    quota_purses_forget_idle(&front->starts, node_now(front->node));
    server_table_review(&front->servers, node_now(front->node));
    for (struct server *server = front->servers.servers; server != NULL; server = server->hh.next) {
        front_report_failing(front, server);
        forward_report_starting(front, server);
        front_probe_if_silent(front, server);
    }
}

void front_settle(struct front *front)
{
    if (front->place_freed && front->queued > 0) {
        front->place_freed = false;
        forward_queue_serve(front);
    }
    if (front->purses.due) {
        forward_quota_ask(front);
    }
    forward_ask_starts(front);
}

void front_tick(struct front *front)
{
    front_confirm_configuration(front);
    quota_purses_expire(&front->purses, node_now(front->node));
    quota_purses_expire(&front->starts, node_now(front->node));
    if (front->queued > 0) {
        forward_queue_serve(front);
    }
    if (node_now(front->node) >= front->review_due_ms) {
        front->review_due_ms = node_now(front->node) + FRONT_REVIEW_MS;
        front_review_servers(front);
        front_memory_review(front);
    }
    front_report_loads(front);
    front_tell_withdrawn(front, &(const LoadTotals){0});
}

void front_write_metrics(const struct front *front, struct buffer *out)
{
    const struct front_counters *counters = &front->counters;
    const struct http_listener_counters *callers = &front->callers.counters;
    metrics_write_counter(out, "connections_total", "Connections of callers.", callers->accepted);
    metrics_write_counter(out, "malformed_requests_total", "Requests refused for their form.", callers->malformed);
    metrics_write_counter(out, "connection_timeouts_total", "Connections closed for idleness.", callers->timeouts);
    metrics_write_counter(out, "requests_total", "Requests that found a route.", counters->requests);
    metrics_write_counter(out, "completed_total", "Answers passed on whole.", counters->completed);
    metrics_write_counter(out, "refused_total", "Requests answered as not run.", counters->refused);
    metrics_write_counter(out, "unknown_route_total", "Requests without a route.", counters->unknown_route);
    metrics_write_counter(out, "failed_total", "Requests answered 502 or 504.", counters->failed);
    metrics_write_counter(out, "cut_total", "Answers broken off.", counters->cut);
    metrics_write_counter(out, "gone_total", "Callers that left before the end.", counters->gone);
    metrics_write_counter(out, "sends_total", "Requests sent to servers.", counters->sends);
    metrics_write_counter(out, "server_refusals_total", "Servers that did not run a request.",
                          counters->server_refusals);
    metrics_write_counter(out, "probes_total", "Connections opened to see whether a silent server can be reached.",
                          counters->probes);
    metrics_write_counter(out, "servers_reborn_total", "Servers that started again under their id.", counters->reborn);
    metrics_write_counter(out, "queued_total", "Requests that waited for a place at a server.", counters->queued);
    metrics_write_counter(out, "resumes_total", "Streams taken up after they broke off.", counters->resumes);
    metrics_write_counter(out, "hedges_total", "Second servers asked for want of an answer.", counters->hedges);
    metrics_write_counter(out, "pauses_total", "Streams held back for a slow caller.", counters->pauses);
    metrics_write_counter(out, "crossed_total", "Answers to other requests, dropped.", counters->crossed);
    metrics_write_counter(out, "budget_refusals_total", "Turns refused for the budget.", counters->budget_refusals);
    metrics_write_counter(out, "conversation_hits_total", "Conversations found near.", counters->cache_hits);
    metrics_write_counter(out, "conversation_misses_total", "Conversations fetched.", counters->cache_misses);
    metrics_write_counter(out, "key_refusals_total", "Requests refused for want of a known key.",
                          counters->key_refusals);
    metrics_write_counter(out, "quota_refusals_total", "Requests refused since their tenant is over its limit.",
                          counters->quota_refusals);
    metrics_write_counter(out, "quota_asks_total", "Asks of the leader for tokens of tenants.", front->quota_asks);
    metrics_write_gauge(out, "requests_active", "Requests under way.", front->active);
    metrics_write_gauge(out, "requests_waiting", "Requests that wait for configuration and servers after a start.",
                        front->waiting);
    metrics_write_gauge(out, "requests_queued", "Requests that wait for a place at a server.", front->queued);
    metrics_write_gauge(out, "withdrawn", "Whether callers are left to other zones.",
                        front_is_withdrawn(front) ? 1 : 0);
    front_memory_write_metrics(front, out);
    metrics_write_gauge(out, "zones_drained", "Zones whose servers get nothing new.", front->node->state.drained.count);
    metrics_write_gauge(out, "servers_known", "Servers known.", HASH_COUNT(front->servers.servers));
    histogram_write(&front->first_event, "first_event_seconds", "Time to the first event of a stream.", out);
    histogram_write(&front->total, "answer_seconds", "Time to the end of an answer.", out);
    histogram_write(&front->begin, "turn_begin_seconds", "Time to reserve a turn's tokens.", out);
    histogram_write(&front->commit, "turn_commit_seconds", "Time to store a turn.", out);
}
