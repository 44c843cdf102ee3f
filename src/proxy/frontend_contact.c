/* Contact of the gateway with the quorum of the state replicas (core/quorum_contact.h): detects that the gateway is cut
 * off, and ends the requests that it cannot serve then. Only with the setting tolerated_zones. */
#include "base/event_log.h"
#include "base/message.h"
#include "core/presence.h"
#include "proxy/forward.h"
#include "proxy/frontend.h"
#include "proxy/node_metrics.h"

enum { FORWARD_UNAVAILABLE = 503, FORWARD_TIMEOUT = 504 };

/* No turn has this id: the probed replica replies that it does not have it. */
static char frontend_probe_turn[] = "-";

static bool frontend_watches_contact(const struct frontend *frontend)
{
    return frontend->node->settings.tolerated_zones > 0;
}

/* After a stall, requests may be read before the tick that resets the state. */
bool frontend_is_cut_off(const struct frontend *frontend)
{
    return quorum_contact_is_cut_off(&frontend->contact) && !node_recently_stalled(frontend->node);
}

bool frontend_may_abort_commits(const struct frontend *frontend)
{
    return frontend_is_cut_off(frontend) && quorum_contact_may_abort(&frontend->contact, node_now(frontend->node));
}

uint64_t frontend_cut_off_retry_ms(struct frontend *frontend)
{
    uint64_t jitter_ms = frontend_random(frontend) % (QUORUM_CONTACT_RETRY_JITTER_MS + 1);
    return quorum_contact_retry_after_ms(&frontend->contact, node_now(frontend->node)) + jitter_ms;
}

/* ---- Replicas in other zones ---------------------------------------------------------------------- */

static bool frontend_is_remote(const struct frontend *frontend, const struct raft_member_location *location)
{
    const char *own_zone = text_or_empty(frontend->node->settings.zone);
    return own_zone[0] != '\0' && location->zone[0] != '\0' && !text_equal(own_zone, location->zone);
}

static uint32_t frontend_count_remote_members(const struct frontend *frontend)
{
    const struct raft_members *members = &frontend->node->state.members;
    uint32_t count = 0;
    for (uint32_t i = 0; i < members->count; i++) {
        count += frontend_is_remote(frontend, &members->locations[i]) ? 1 : 0;
    }
    return count;
}

/* Fills `nodes` with the connected group members in other zones, at most LINKS_MAX_REPLICAS; returns their number.
 * Replicas outside the group are left out: their replies name a leader that may have failed. */
static uint32_t frontend_list_remote(const struct frontend *frontend, uint32_t *nodes)
{
    struct raft_member_location locations[LINKS_MAX_REPLICAS];
    uint32_t connected = links_list_replicas(&frontend->node->links, nodes, locations, LINKS_MAX_REPLICAS);
    uint32_t count = 0;
    for (uint32_t i = 0; i < connected; i++) {
        bool is_member = raft_member_position(&frontend->node->state.members, nodes[i]) >= 0;
        nodes[count] = nodes[i];
        count += is_member && frontend_is_remote(frontend, &locations[i]) ? 1 : 0;
    }
    return count;
}

/* Probes the next replicas, in rotation. Their replies are not needed: any frame of theirs counts, also a late one. */
static void frontend_probe_replicas(struct frontend *frontend, const uint32_t *nodes, uint32_t count)
{
    struct node *node = frontend->node;
    struct buffer body = {0};
    TurnQuery query = {.turn = frontend_probe_turn};
    message_encode(&body, TurnQuery_fields, &query);
    for (uint32_t i = 0; i < count && i < QUORUM_CONTACT_PROBED_REPLICAS; i++) {
        uint32_t replica = nodes[frontend->contact_rotation++ % count];
        frontend->counters.contact_probes++;
        node_submit_to_replica(node, replica, REQUEST_TURNS_HELD, buffer_view(&body),
                               node_now(node) + QUORUM_CONTACT_PROBE_MS, NULL, NULL);
    }
    buffer_close(&body);
}

/* ---- Requests --------------------------------------------------------------------------------------- */

bool forward_waits_for_quorum(const struct forward *forward)
{
    bool waits = forward_has_pending_requests(forward);
    return waits && forward->phase == FORWARD_PREPARING && !forward_was_sent(forward);
}

void forward_refuse_cut_off(struct forward *forward)
{
    struct frontend *frontend = forward->frontend;
    frontend->counters.cut_off_refusals++;
    forward->retry_after_ms = frontend_cut_off_retry_ms(frontend);
    forward_refuse(forward, FORWARD_UNAVAILABLE, "cut off from the state quorum");
}

/* Its settlement, in the background, charges the tokens even if the commit is lost. */
void forward_abort_uncommitted(struct forward *forward)
{
    forward_fail(forward, FORWARD_TIMEOUT, "cut off from the state quorum before it was stored");
}

static bool forward_is_committing(const struct forward *forward)
{
    return forward->phase == FORWARD_COMMITTING;
}

static struct forward *frontend_find_forward(const struct frontend *frontend, bool (*matches)(const struct forward *))
{
    struct forward *forward = frontend->forwards;
    while (forward != NULL && !matches(forward)) {
        forward = forward->next;
    }
    return forward;
}

/* Each search starts at the head of the list, because the end of a request may start the next one of its connection,
 * which changes the list. The loop terminates because no request begins to wait while cut off, or to commit once
 * commits are aborted. */
static uint64_t frontend_end_all(struct frontend *frontend, bool (*matches)(const struct forward *),
                                 void (*end)(struct forward *))
{
    uint64_t count = 0;
    struct forward *forward = frontend_find_forward(frontend, matches);
    while (forward != NULL) {
        end(forward);
        count++;
        forward = frontend_find_forward(frontend, matches);
    }
    return count;
}

/* ---- Changes ---------------------------------------------------------------------------------------- */

static void frontend_begin_cut(struct frontend *frontend, uint32_t remote_members, uint32_t remote_connected)
{
    uint64_t silent_ms = frontend->contact.cut_off_ms - frontend->contact.leader_ms;
    frontend->counters.cuts++;
    frontend->cut_off_refusals_before = frontend->counters.cut_off_refusals;
    http_listener_set_close_after(&frontend->callers, true);
    uint64_t refused = frontend_end_all(frontend, forward_waits_for_quorum, forward_refuse_cut_off);
    event_log("cut_off", "{s:I,s:I,s:i,s:i,s:I}", "silent_ms", (json_int_t)silent_ms, "tick_delay_ms",
              (json_int_t)frontend->contact_delay_ms, "remote_members", (int)remote_members, "remote_connected",
              (int)remote_connected, "refused", (json_int_t)refused);
}

static void frontend_end_cut(struct frontend *frontend)
{
    http_listener_set_close_after(&frontend->callers, false);
    frontend->cut_off_ended_ms = node_now(frontend->node);
    event_log("cut_off_ends", "{s:I,s:I}", "duration_ms",
              (json_int_t)(node_now(frontend->node) - frontend->contact.cut_off_ms), "refused",
              (json_int_t)(frontend->counters.cut_off_refusals - frontend->cut_off_refusals_before));
}

static void frontend_abort_commits(struct frontend *frontend)
{
    uint64_t aborted = frontend_may_abort_commits(frontend)
                           ? frontend_end_all(frontend, forward_is_committing, forward_abort_uncommitted)
                           : 0;
    frontend->counters.commits_aborted += aborted;
    if (aborted > 0) {
        event_log("commits_aborted", "{s:I,s:I}", "aborted", (json_int_t)aborted, "cut_off_ms",
                  (json_int_t)(node_now(frontend->node) - frontend->contact.cut_off_ms));
    }
}

static void frontend_update_contact(struct frontend *frontend, uint32_t remote_connected)
{
    uint32_t remote_members = frontend_count_remote_members(frontend);
    quorum_contact_change_t change =
        quorum_contact_tick(&frontend->contact, node_now(frontend->node), frontend_report_interval_ms(frontend),
                            remote_members, remote_connected);
    switch (change) {
    case QUORUM_CONTACT_UNCHANGED: break;
    case QUORUM_CONTACT_LOST: frontend_begin_cut(frontend, remote_members, remote_connected); break;
    case QUORUM_CONTACT_RESTORED: frontend_end_cut(frontend); break;
    }
}

bool frontend_was_recently_cut_off(const struct frontend *frontend)
{
    return frontend->cut_off_ended_ms != 0 &&
           node_now(frontend->node) < frontend->cut_off_ended_ms + PRESENCE_SILENT_MS;
}

void frontend_record_frame(struct frontend *frontend, uint32_t from)
{
    struct raft_member_location location;
    if (frontend_watches_contact(frontend) && links_replica_location(&frontend->node->links, from, &location) &&
        frontend_is_remote(frontend, &location)) {
        quorum_contact_record_remote(&frontend->contact, node_now(frontend->node));
    }
}

/* Updates the state at once: the gateway is ready, and keeps connections, from the first reply on. */
void frontend_record_leader_reply(struct frontend *frontend)
{
    if (frontend_watches_contact(frontend)) {
        uint32_t nodes[LINKS_MAX_REPLICAS];
        quorum_contact_record_leader(&frontend->contact, node_now(frontend->node));
        frontend->contact_delay_ms = 0;
        frontend_update_contact(frontend, frontend_list_remote(frontend, nodes));
    }
}

/* A gateway that stops would wait for the replies of probes; while it still serves, an election must not look like a
 * cut. */
static bool frontend_may_probe(const struct frontend *frontend)
{
    return !frontend->node->draining || frontend->callers.listening || frontend->active > 0;
}

void frontend_contact_tick(struct frontend *frontend)
{
    struct node *node = frontend->node;
    uint32_t nodes[LINKS_MAX_REPLICAS];
    if (!frontend_watches_contact(frontend)) {
        return;
    }
    if (node_recently_stalled(node)) {
        quorum_contact_reset(&frontend->contact, node_now(node));
    }
    if (node->tick_delay_ms > frontend->contact_delay_ms) {
        frontend->contact_delay_ms = node->tick_delay_ms;
    }
    uint32_t remote_connected = frontend_list_remote(frontend, nodes);
    frontend_update_contact(frontend, remote_connected);
    frontend_abort_commits(frontend);
    if (frontend_may_probe(frontend) && quorum_contact_take_probe(&frontend->contact, node_now(node))) {
        frontend_probe_replicas(frontend, nodes, remote_connected);
    }
}

void frontend_contact_write_metrics(const struct frontend *frontend, struct buffer *out)
{
    const struct frontend_counters *counters = &frontend->counters;
    metrics_write_gauge(out, "cut_off", "Whether the gateway is cut off from the quorum of the state replicas.",
                        frontend_is_cut_off(frontend) ? 1 : 0);
    metrics_write_counter(out, "cut_off_total", "Times that the gateway was cut off.", counters->cuts);
    metrics_write_counter(out, "cut_off_refusals_total", "Requests refused because the gateway was cut off.",
                          counters->cut_off_refusals);
    metrics_write_counter(out, "commits_aborted_total", "Responses aborted whose commit could not succeed.",
                          counters->commits_aborted);
    metrics_write_counter(out, "contact_probes_total", "Probes of replicas in other zones while no leader replied.",
                          counters->contact_probes);
}
