/* Hosts a state replica: lifecycle, roles, memory, what it has learnt, metrics. */
#include "proxy/state_host_internal.h"

#include <stdlib.h>
#include <string.h>

#include "base/event_log.h"
#include "base/message.h"
#include "proxy/node_metrics.h"

enum {
    STATE_HOST_CONTROL_HEAD = 16 << 10,
    STATE_HOST_CONTROL_BODY = 8 << 20,
    STATE_HOST_CONTROL_BODIES = 8 << 20,
    STATE_HOST_CONTROL_MS = 30000
};

struct state_host *state_host_open(struct node *node)
{
    struct state_host *host = memory_new(sizeof(*host));
    host->node = node;
    host->watchers.refer_above = (uint32_t)node->settings.refer_above;

    uint32_t fresh = (uint32_t)(node->boot_id >> 32) | 1;
    if (!identity_load(node->settings.data, fresh, &host->identity)) {
        event_log("disk_failed", "{s:s}", "error", "the identity cannot be read or written");
        free(host);
        return NULL;
    }
    if (host->identity.formed) {
        if (!state_host_open_replica(host)) {
            free(host);
            return NULL;
        }
        state_host_start(host);
    }
    return host;
}

static void host_on_call(void *context, struct http_call *call)
{
    control_api_handle(context, call);
}

/* control_api.c keeps its state in `owner`. */
static void host_on_gone(void *context, struct http_call *call)
{
    (void)context;
    struct http_call **back = call->owner;
    if (back != NULL) {
        *back = NULL;
    }
}

bool state_host_listen(struct state_host *host)
{
    static const struct http_limits limits = {STATE_HOST_CONTROL_HEAD, STATE_HOST_CONTROL_BODY, STATE_HOST_CONTROL_MS,
                                              STATE_HOST_CONTROL_MS, STATE_HOST_CONTROL_BODIES};
    struct address address;
    if (!address_parse(host->node->settings.control_address, &address)) {
        return true;
    }
    struct http_handler handler = {.context = host, .request = host_on_call, .gone = host_on_gone};
    int result = http_listener_start(&host->control, &host->node->loop, &address, &handler, &limits);
    host->serves_control = result == 0;
    if (result != 0) {
        event_log("listen_failed", "{s:s,s:s}", "address", host->node->settings.control_address, "error",
                  uv_strerror(result));
    }
    return result == 0;
}

void state_host_close(struct state_host *host)
{
    if (host->serves_control) {
        http_listener_close(&host->control);
    }
    load_table_close(&host->loads);
    presence_clear(&host->presence);
    quota_table_clear(&host->quotas, 0);
    quota_table_clear(&host->slow_starts.tokens, 0);
    route_table_release(host->routes);
    if (host->running) {
        replica_close(&host->replica);
        log_store_close(&host->log);
        history_store_close(&host->texts);
    }
}

/* ---- Roles --------------------------------------------------------------------------------------- */

bool state_host_leads(const struct state_host *host)
{
    return host->running && raft_is_leader(&host->replica.groups[STATE_CONFIG_GROUP].raft);
}

uint32_t state_host_leader(const struct state_host *host)
{
    return host->running ? host->replica.groups[STATE_CONFIG_GROUP].raft.leader : RAFT_NO_NODE;
}

const struct raft_members *state_host_logged_members(const struct state_host *host)
{
    return host->running ? &host->replica.groups[STATE_CONFIG_GROUP].raft.members : NULL;
}

/* Entries are counted from 1 here: those that the log begins with have index 0. */
static void host_dial_members(struct state_host *host)
{
    uint64_t index = host->replica.groups[STATE_CONFIG_GROUP].raft.members_index + 1;
    if (index != host->dialled_index) {
        host->dialled_index = index;
        node_dial(host->node);
    }
}

bool state_host_hand_over(struct state_host *host)
{
    return host->running && replica_transfer_all(&host->replica, node_now(host->node));
}

void state_host_peer_lost(struct state_host *host, uint32_t peer)
{
    if (host->running) {
        replica_peer_lost(&host->replica, node_now(host->node), peer);
    }
}

static void host_report_role(struct state_host *host)
{
    const struct raft *raft = &host->replica.groups[STATE_CONFIG_GROUP].raft;
    bool leads = raft_is_leader(raft);
    if (raft->leader == host->told_leader && leads == host->told_leading) {
        return;
    }
    host->told_leader = raft->leader;
    host->told_leading = leads;
    quota_table_clear(&host->quotas, node_now(host->node));
    quota_table_clear(&host->slow_starts.tokens, node_now(host->node));
    presence_clear(&host->presence); /* silence is counted from the first report to this leader */
    event_log("leader_changed", "{s:I,s:b,s:I,s:I}", "leader", (json_int_t)raft->leader, "own", leads, "term",
              (json_int_t)raft->term, "commit", (json_int_t)raft->commit);
}

/* ---- Memory ------------------------------------------------------------------------------------------ */

/* Bytes that a holder has, and its share. */
typedef struct host_holding_t {
    const char *name;
    size_t held;
    size_t share;
} host_holding_t;

static host_holding_t host_holding(const struct state_host *host, state_host_holder_t holder)
{
    const memory_budget_t *memory = &host->node->memory;
    const struct replica_group *group = &host->replica.groups[STATE_CONFIG_GROUP];
    host_holding_t holding = {0};
    switch (holder) {
    case STATE_HOST_LOG: holding = (host_holding_t){"log", group->raft.log.bytes, memory->log_most}; break;
    case STATE_HOST_STATE:
        holding = (host_holding_t){"state", site_state_bytes(&group->machine.site), memory->state};
        break;
    case STATE_HOST_QUEUES: holding = (host_holding_t){"queues", host->node->links.queued, memory->queues}; break;
    case STATE_HOST_HOLDERS: break;
    }
    return holding;
}

/* One line when a share is full, and one when a quarter of it is free again. */
static void host_report_memory(struct state_host *host)
{
    for (int i = 0; i < STATE_HOST_HOLDERS; i++) {
        host_holding_t holding = host_holding(host, (state_host_holder_t)i);
        size_t room = holding.share / 4;
        bool full = holding.share > 0 && holding.held >= holding.share - (host->told_full[i] ? room : 0);
        if (full != host->told_full[i]) {
            host->told_full[i] = full;
            event_log(full ? "memory_full" : "memory_regained", "{s:s,s:I,s:I,s:I}", "holder", holding.name,
                      "held_bytes", (json_int_t)holding.held, "share_bytes", (json_int_t)holding.share, "refused",
                      (json_int_t)host->replica.counters.refused);
        }
    }
}

static void host_write_memory(const struct state_host *host, struct buffer *out)
{
    buffer_printf(out, "# HELP bankbank_memory_held_bytes Memory of a holder.\n"
                       "# TYPE bankbank_memory_held_bytes gauge\n"
                       "# HELP bankbank_memory_share_bytes Most memory of a holder, 0: no bound.\n"
                       "# TYPE bankbank_memory_share_bytes gauge\n");
    for (int i = 0; i < STATE_HOST_HOLDERS; i++) {
        host_holding_t holding = host_holding(host, (state_host_holder_t)i);
        buffer_printf(out, "bankbank_memory_held_bytes{holder=\"%s\"} %zu\n", holding.name, holding.held);
        buffer_printf(out, "bankbank_memory_share_bytes{holder=\"%s\"} %zu\n", holding.name, holding.share);
    }
}

/* ---- Time -------------------------------------------------------------------------------------------- */

void state_host_tick(struct state_host *host)
{
    struct node *node = host->node;
    uint64_t now_ms = node_now(node);
    if (!host->running) {
        state_host_try_bootstrap(host);
    }
    if (!host->running) {
        state_host_ask_to_join(host);
        return;
    }
    replica_tick(&host->replica, now_ms);
    host_report_role(host);
    host_report_memory(host);
    if (state_host_leader(host) != RAFT_NO_NODE) {
        host->led_ms = now_ms;
    } else if (now_ms >= host->led_ms + STATE_HOST_LOST_MS) {
        state_host_ask_to_join(host);
    }
}

/* ---- What is known of the site --------------------------------------------------------------------- */

void state_host_take_servers(struct state_host *host, struct view encoded)
{
    struct node *node = host->node;
    if (!state_host_leads(host)) {
        return;
    }
    uint64_t term = host->replica.groups[STATE_CONFIG_GROUP].raft.term;
    bool own_term = term == node->state.servers_term;
    uint64_t before = node->state.servers.change;
    server_list_put(&node->state.servers, encoded);
    bool same = node->state.servers.change == before;
    if (same && own_term) {
        return;
    }
    /* A new leader's first list has a version of its own also where nothing changed: watchers take what is newer. */
    node->state.servers_number = own_term ? node->state.servers_number + 1 : 1;
    node->state.servers_term = term;
    event_log("servers_read", "{s:I,s:I,s:I,s:b}", "term", (json_int_t)term, "number",
              (json_int_t)node->state.servers_number, "bytes", (json_int_t)encoded.length, "same", same);
    if (same) {
        return;
    }
    struct watch_changes changes = {.servers = true};
    node_state_changed(node, changes);
}

/* Copies what the replica applied to where watchers are told from. */
static struct watch_changes host_mirror(struct state_host *host)
{
    const struct replica_group *group = &host->replica.groups[STATE_CONFIG_GROUP];
    const struct site_document *document = &group->machine.site.document;
    struct watch_state *state = &host->node->state;
    struct watch_changes changes = {0};
    changes.document = watch_state_put_document(state, document->version, document->content);
    if (changes.document) {
        event_log("configuration_applied", "{s:I,s:I}", "version", (json_int_t)document->version, "index",
                  (json_int_t)group->raft.applied);
    }
    DrainedZones drained;
    zone_set_tell(&group->machine.site.drained, &drained);
    changes.drained = zone_set_take(&state->drained, &drained);
    if (changes.drained) {
        node_log_drained(host->node, "zones_applied");
    }
    /* Index 0 is the begin of the log; watchers count from 1. */
    uint64_t members_index = group->raft.members_index + 1;
    if (group->raft.members_index <= group->raft.commit && members_index > state->members_index) {
        state->members_index = members_index;
        state->members = group->raft.members;
        changes.members = true;
        event_log("members_changed", "{s:I,s:I,s:I}", "members", (json_int_t)state->members.count, "voters",
                  (json_int_t)raft_voter_count(&state->members), "index", (json_int_t)group->raft.members_index);
    }
    return changes;
}

void state_host_settle(struct state_host *host)
{
    struct node *node = host->node;
    if (!host->running) {
        state_host_tell_owed(host); /* it may relay what it is told */
        return;
    }
    replica_flush(&host->replica, node_now(node));
    if (host->replica.failed) {
        node_stop(node);
        return;
    }
    host_dial_members(host);
    struct watch_changes changes = host_mirror(host);
    if (changes.document || changes.drained || changes.members) {
        node_state_changed(node, changes);
    }
    state_host_tell_owed(host);
}

void state_host_write_metrics(const struct state_host *host, struct buffer *out)
{
    metrics_write_gauge(out, "replica_running", "Whether the replica belongs to a group.", host->running ? 1 : 0);
    if (!host->running) {
        return;
    }
    const struct replica_group *group = &host->replica.groups[STATE_CONFIG_GROUP];
    const struct replica_counters *counters = &host->replica.counters;
    metrics_write_gauge(out, "raft_leading", "Whether this replica leads.", raft_is_leader(&group->raft) ? 1 : 0);
    metrics_write_gauge(out, "raft_term", "Term.", group->raft.term);
    metrics_write_gauge(out, "raft_commit_index", "Highest committed entry.", group->raft.commit);
    metrics_write_gauge(out, "raft_members", "Voters and learners.", group->raft.members.count);
    metrics_write_gauge(out, "raft_voters", "Voters.", raft_voter_count(&group->raft.members));
    metrics_write_counter(out, "raft_proposals_total", "Entries proposed here.", counters->proposals);
    metrics_write_counter(out, "raft_syncs_total", "Syncs of the log.", counters->syncs);
    metrics_write_counter(out, "raft_synced_bytes_total", "Bytes written to the log.", counters->synced_bytes);
    metrics_write_counter(out, "disk_wait_ms_total", "Time spent in waits for the disk.", host->disk_wait_ms);
    metrics_write_counter(out, "raft_snapshots_total", "Snapshots taken.", counters->snapshots);
    metrics_write_counter(out, "raft_snapshots_installed_total", "Snapshots received.", counters->installs);
    host_write_memory(host, out);
    state_host_write_quotas(host, out);
    metrics_write_counter(out, "memory_refused_total", "Proposals refused for want of memory.", counters->refused);
    metrics_write_counter(out, "link_frames_refused_total", "Frames for which the queues to peers had no room.",
                          host->node->links.frames_refused);
    metrics_write_counter(out, "watch_wholes_total", "Whole lists of servers told to watchers.", host->watchers.wholes);
    metrics_write_gauge(out, "turns_stored", "Turns stored.", HASH_COUNT(group->machine.site.turns.turns));
    metrics_write_gauge(out, "turn_bytes", "Bytes of turns stored.", group->machine.site.turns.bytes);
    metrics_write_gauge(out, "programs_budgeted", "Programs with a budget.",
                        HASH_COUNT(group->machine.site.budgets.programs));
}
