/* Probes silent servers to detect unreachable ones (core/reach.h), and unreachable zones (core/zone_reach.h). */
#include <string.h>

#include "base/event_log.h"
#include "proxy/forward.h"

static void frontend_log_reach(const struct frontend *frontend, const struct server *server, const char *event)
{
    event_log(event, "{s:s,s:s,s:i,s:I}", "server", server->id, "address", server->address, "calls",
              (int)server->in_flight, "silent_ms", (json_int_t)(node_now(frontend->node) - server->last_activity_ms));
}

void frontend_log_zone_changes(struct frontend *frontend)
{
    uint64_t now_ms = node_now(frontend->node);
    for (zone_reach_zone_t *zone = frontend->zone_reach.zones; zone != NULL; zone = zone->hh.next) {
        if (zone->unreachable != zone->logged_unreachable) {
            zone->logged_unreachable = zone->unreachable;
            event_log(zone->unreachable ? "zone_unreachable" : "zone_reachable", "{s:s,s:i,s:I}", "zone", zone->name,
                      "servers", (int)zone->failed_servers, "duration_ms", (json_int_t)(now_ms - zone->since_ms));
        }
    }
}

static void frontend_handle_zone_change(struct frontend *frontend, zone_reach_change_t change)
{
    if (change != ZONE_REACH_UNCHANGED) {
        frontend_log_zone_changes(frontend);
    }
}

static void frontend_record_zone_failure(struct frontend *frontend, struct server *server)
{
    if (server->listed) {
        frontend_handle_zone_change(frontend, zone_reach_record_failure(&server->zone_reach, node_now(frontend->node)));
    }
}

static void frontend_handle_reach_change(struct frontend *frontend, struct server *server, reach_change_t change)
{
    switch (change) {
    case REACH_UNCHANGED: break;
    case REACH_UNREACHABLE:
        frontend_log_reach(frontend, server, "server_lost");
        frontend_record_zone_failure(frontend, server); /* before its requests choose another server */
        break;
    case REACH_CONFIRMED_UNREACHABLE: frontend_log_reach(frontend, server, "server_cut_off"); break;
    case REACH_DEAD: frontend_log_reach(frontend, server, "server_gone"); break;
    case REACH_RECOVERED:
        server->returned_ms = node_now(frontend->node); /* it may have restarted in the meantime */
        frontend_log_reach(frontend, server, "server_regained");
        break;
    }
    if (change == REACH_UNREACHABLE || change == REACH_CONFIRMED_UNREACHABLE || change == REACH_DEAD) {
        forward_handle_unreachable_server(frontend, server);
    }
}

/* Logs before it updates last_activity_ms, since the log line has the time of silence. */
void frontend_record_received(struct frontend *frontend, struct server *server)
{
    frontend_handle_reach_change(frontend, server, reach_record_received(&server->reach));
    frontend_handle_zone_change(frontend, zone_reach_record_received(&server->zone_reach));
    server_record_received(server, node_now(frontend->node));
}

static void frontend_probe(struct frontend *frontend, struct server *server)
{
    struct address address;
    if (server->listed && address_parse(server->address, &address)) {
        reach_record_probe_start(&server->reach);
        frontend->counters.probes++;
        upstream_probe(&frontend->node->upstreams, &address);
    }
}

void frontend_probe_if_silent(struct frontend *frontend, struct server *server)
{
    if (reach_probe_is_due(&server->reach, node_now(frontend->node), server->in_flight > 0, server->last_activity_ms)) {
        frontend_probe(frontend, server);
    }
}

/* A server of the zone that has not failed is probed every REACH_RETRY_MS: while the zone is avoided, no other traffic
 * can show that only the failed servers are unreachable. */
static void frontend_probe_zone(struct frontend *frontend, zone_reach_zone_t *zone)
{
    uint64_t now_ms = node_now(frontend->node);
    if (!zone->unreachable || now_ms < zone->probe_due_ms) {
        return;
    }
    zone->probe_due_ms = now_ms + REACH_RETRY_MS;
    for (struct server *server = frontend->servers.servers; server != NULL; server = server->hh.next) {
        bool is_candidate = server->zone_reach.zone == zone && !server->zone_reach.failed && server->listed;
        if (is_candidate && !server->draining && !server->reach.probing) {
            frontend_probe(frontend, server);
            return;
        }
    }
}

void frontend_probe_zones(struct frontend *frontend)
{
    for (zone_reach_zone_t *zone = frontend->zone_reach.zones; zone != NULL; zone = zone->hh.next) {
        frontend_probe_zone(frontend, zone);
    }
}

void frontend_record_unresponsive(struct frontend *frontend, struct server *server)
{
    if (!node_recently_stalled(frontend->node)) {
        frontend_handle_reach_change(frontend, server, reach_record_peer_silent(&server->reach));
    }
}

/* Only for servers of a zone that counts: others are served as without unreachable zones. */
void frontend_record_connect_timeout(struct frontend *frontend, struct server *server)
{
    if (server->zone_reach.zone != NULL && !node_recently_stalled(frontend->node)) {
        reach_record_connect_timeout(&server->reach);
        frontend_record_zone_failure(frontend, server);
        frontend_probe_if_silent(frontend, server);
    }
}

static void frontend_record_zone_probe(struct frontend *frontend, struct server *server, bool answered)
{
    zone_reach_server_t *zone_reach = &server->zone_reach;
    frontend_handle_zone_change(frontend, answered ? zone_reach_record_received(zone_reach)
                                                   : zone_reach_drop_failure(zone_reach));
}

static void frontend_on_probed(void *context, const char *address, bool answered)
{
    struct frontend *frontend = context;
    uint64_t now_ms = node_now(frontend->node);
    bool reachable = answered || node_recently_stalled(frontend->node);
    struct server *server = frontend->servers.servers;
    while (server != NULL) {
        struct server *next = server->hh.next; /* an unlisted server is freed when its last request ends */
        if (server->reach.probing && strcmp(server->address, address) == 0) {
            reach_change_t change = reach_record_outcome(&server->reach, now_ms, reachable);
            if (reachable) {
                frontend_record_zone_probe(frontend, server, answered);
            }
            frontend_probe_if_silent(frontend, server); /* not at the next review: a stream may wait for the result */
            frontend_handle_reach_change(frontend, server, change);
        }
        server = next;
    }
}

static void frontend_on_probe_refused(void *context, const char *address)
{
    struct frontend *frontend = context;
    for (struct server *server = frontend->servers.servers; server != NULL; server = server->hh.next) {
        if (strcmp(server->address, address) == 0) {
            server->not_listening = true;
            server->possible_ends++;
        }
    }
}

static void frontend_log_closed_dial(const struct frontend *frontend, const struct server *server)
{
    uint64_t now_ms = node_now(frontend->node);
    uint64_t skipped_ms = server->full_until_ms > now_ms ? server->full_until_ms - now_ms : 0;
    event_log("server_closes_connections", "{s:s,s:s,s:i,s:I}", "server", server->id, "address", server->address,
              "count", (int)server->closed_dials.count, "skipped_ms", (json_int_t)skipped_ms);
}

static void frontend_on_closed_unused(void *context, const char *address)
{
    struct frontend *frontend = context;
    frontend->counters.closed_dials++;
    for (struct server *server = frontend->servers.servers; server != NULL; server = server->hh.next) {
        if (strcmp(server->address, address) == 0) {
            server_record_closed_dial(server, node_now(frontend->node));
            frontend_log_closed_dial(frontend, server);
        }
    }
}

void frontend_redial(struct frontend *frontend, struct server *server)
{
    if (server->listed && closed_dials_take_redial(&server->closed_dials, node_now(frontend->node))) {
        frontend_probe_for_end(frontend, server);
    }
}

void frontend_probe_for_end(struct frontend *frontend, const struct server *server)
{
    struct address address;
    if (address_parse(server->address, &address)) {
        frontend->counters.probes++;
        upstream_probe(&frontend->node->upstreams, &address);
    }
}

void frontend_init_probes(struct frontend *frontend)
{
    frontend->node->upstreams.probed = frontend_on_probed;
    frontend->node->upstreams.probe_refused = frontend_on_probe_refused;
    frontend->node->upstreams.closed_unused = frontend_on_closed_unused;
    frontend->node->upstreams.probed_context = frontend;
}
