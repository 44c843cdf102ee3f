/* State replica: lifecycle, role, memory, the site's state, metrics. */
#include "proxy/state_host_internal.h"

#include <stdlib.h>
#include <string.h>

#include "base/event_log.h"
#include "base/message.h"
#include "proxy/client_limits.h"
#include "proxy/node_metrics.h"

enum { STATE_HOST_CONTROL_HEAD_BYTES = 16 << 10, STATE_HOST_CONTROL_TIMEOUT_MS = 30000 };

struct state_host *state_host_open(struct node *node)
{
    struct state_host *host = memory_new(sizeof(*host));
    host->node = node;
    host->quarantine.max_failures = (uint32_t)node->settings.quarantine_servers;
    host->quarantine.keep_ms = node->settings.quarantine_ms;
    host->watchers.refer_above = (uint32_t)node->settings.refer_above;
    host->watchers.max_queued_bytes = node->memory.queues == 0 ? LINKS_MAX_QUEUED_BYTES : node->memory.queues;

    uint32_t new_node_id = (uint32_t)(node->boot_id >> 32) | 1; /* never RAFT_NO_NODE */
    if (!identity_load(node->settings.data, new_node_id, &host->identity)) {
        event_log("disk_failed", "{s:s}", "error", "cannot load or create the identity file");
        free(host);
        return NULL;
    }
    if (host->identity.has_group) {
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
    operator_api_handle(context, call);
}

/* `owner` points to a struct operator_request (operator_api.c), whose first member points back to the call. */
static void host_on_disconnect(void *context, struct http_call *call)
{
    (void)context;
    struct http_call **owner_call = call->owner;
    if (owner_call != NULL) {
        *owner_call = NULL;
    }
}

bool state_host_listen(struct state_host *host)
{
    size_t max_body_bytes = client_limits_operator_body_bytes(host->node);
    const struct http_limits limits = {STATE_HOST_CONTROL_HEAD_BYTES, max_body_bytes, STATE_HOST_CONTROL_TIMEOUT_MS,
                                       STATE_HOST_CONTROL_TIMEOUT_MS, max_body_bytes};
    struct address address;
    if (!address_parse(host->node->settings.control_address, &address)) {
        return true;
    }
    struct http_handler handler = {
        .name = "operators", .context = host, .request = host_on_call, .disconnected = host_on_disconnect};
    int result = http_listener_start(&host->control, &host->node->loop, &address, &handler, &limits);
    host->serves_control = result == 0;
    client_limits_set_operators(host->node, &host->control.shares);
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
    watch_server_close(&host->watchers);
    load_table_close(&host->loads);
    presence_clear(&host->presence);
    quarantine_clear(&host->quarantine);
    quota_table_clear(&host->quotas, 0);
    quota_table_clear(&host->slow_starts.tokens, 0);
    route_table_release(host->routes);
    if (host->running) {
        replica_close(&host->replica);
        log_store_close(&host->log);
        history_store_close(&host->texts);
    }
}

/* ---- Role ---------------------------------------------------------------------------------------- */

bool state_host_is_leader(const struct state_host *host)
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

/* dialled_index is the log index plus 1: the log's initial members have index 0, while 0 means none. */
static void host_dial_members(struct state_host *host)
{
    uint64_t index = host->replica.groups[STATE_CONFIG_GROUP].raft.members_index + 1;
    if (index != host->dialled_index) {
        host->dialled_index = index;
        node_dial(host->node);
    }
}

bool state_host_transfer_leadership(struct state_host *host)
{
    return host->running && replica_transfer_all(&host->replica, node_now(host->node));
}

void state_host_peer_disconnected(struct state_host *host, uint32_t peer)
{
    watch_server_disconnected(&host->watchers, peer);
    if (host->running) {
        replica_peer_disconnected(&host->replica, node_now(host->node), peer);
    }
}

static void host_update_role(struct state_host *host)
{
    const struct raft *raft = &host->replica.groups[STATE_CONFIG_GROUP].raft;
    bool leads = raft_is_leader(raft);
    if (raft->leader == host->logged_leader && leads == host->logged_is_leader) {
        return;
    }
    host->logged_leader = raft->leader;
    host->logged_is_leader = leads;
    quota_table_clear(&host->quotas, node_now(host->node));
    quota_table_clear(&host->slow_starts.tokens, node_now(host->node));
    quarantine_clear(&host->quarantine); /* outdated: other leaders may have decided meanwhile */
    host->quarantines_applied = 0;
    host->suspects_applied = 0;
    host->suspects_until_ms = 0;
    presence_clear(&host->presence); /* this leader counts a gateway as silent only after a first report to it */
    event_log("leader_changed", "{s:I,s:b,s:I,s:I}", "leader", (json_int_t)raft->leader, "own", leads, "term",
              (json_int_t)raft->term, "commit", (json_int_t)raft->commit);
}

/* ---- Memory ------------------------------------------------------------------------------------------ */

typedef struct host_memory_usage_t {
    const char *name;
    size_t used_bytes;
    size_t limit_bytes; /* 0: no limit */
} host_memory_usage_t;

static host_memory_usage_t host_memory_usage(const struct state_host *host, state_host_memory_kind_t kind)
{
    const memory_budget_t *memory = &host->node->memory;
    const struct replica_group *group = &host->replica.groups[STATE_CONFIG_GROUP];
    host_memory_usage_t usage = {0};
    switch (kind) {
    case STATE_HOST_MEMORY_LOG: usage = (host_memory_usage_t){"log", group->raft.log.bytes, memory->log_max}; break;
    case STATE_HOST_MEMORY_STATE:
        usage = (host_memory_usage_t){"state", site_state_bytes(&group->machine.site), memory->state};
        break;
    case STATE_HOST_MEMORY_QUEUES:
        usage = (host_memory_usage_t){"queues", host->node->links.queued_bytes, memory->queues};
        break;
    case STATE_HOST_MEMORY_KINDS: break;
    }
    return usage;
}

/* Hysteresis: a kind that was logged as full counts as full until a quarter of its limit is free. */
static void host_log_memory(struct state_host *host)
{
    for (int i = 0; i < STATE_HOST_MEMORY_KINDS; i++) {
        host_memory_usage_t usage = host_memory_usage(host, (state_host_memory_kind_t)i);
        size_t margin = usage.limit_bytes / 4;
        bool full =
            usage.limit_bytes > 0 && usage.used_bytes >= usage.limit_bytes - (host->logged_full[i] ? margin : 0);
        if (full != host->logged_full[i]) {
            host->logged_full[i] = full;
            event_log(full ? "memory_full" : "memory_regained", "{s:s,s:I,s:I,s:I}", "holder", usage.name, "held_bytes",
                      (json_int_t)usage.used_bytes, "share_bytes", (json_int_t)usage.limit_bytes, "refused",
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
    for (int i = 0; i < STATE_HOST_MEMORY_KINDS; i++) {
        host_memory_usage_t usage = host_memory_usage(host, (state_host_memory_kind_t)i);
        buffer_printf(out, "bankbank_memory_held_bytes{holder=\"%s\"} %zu\n", usage.name, usage.used_bytes);
        buffer_printf(out, "bankbank_memory_share_bytes{holder=\"%s\"} %zu\n", usage.name, usage.limit_bytes);
    }
}

/* ---- Periodic work ----------------------------------------------------------------------------------- */

void state_host_tick(struct state_host *host)
{
    struct node *node = host->node;
    uint64_t now_ms = node_now(node);
    if (!host->running) {
        state_host_try_bootstrap(host);
    }
    if (!host->running) {
        state_host_request_join(host);
        return;
    }
    replica_tick(&host->replica, now_ms);
    host_update_role(host);
    host_log_memory(host);
    state_host_record_versions(host);
    if (state_host_leader(host) != RAFT_NO_NODE) {
        host->leader_seen_ms = now_ms;
    } else if (now_ms >= host->leader_seen_ms + STATE_HOST_NO_LEADER_TIMEOUT_MS) {
        state_host_request_join(host);
    }
}

/* ---- State of the site ----------------------------------------------------------------------------- */

void state_host_apply_servers(struct state_host *host, struct view encoded)
{
    struct node *node = host->node;
    if (!state_host_is_leader(host)) {
        return;
    }
    uint64_t term = host->replica.groups[STATE_CONFIG_GROUP].raft.term;
    bool own_term = term == node->state.servers_term;
    uint64_t before = node->state.servers.change;
    server_list_replace(&node->state.servers, encoded);
    bool same = node->state.servers.change == before;
    if (same && own_term) {
        return;
    }
    host->versions_due = true;
    host->versions_due_ms = 0;
    state_host_record_versions(host); /* logged before gateways can send requests to servers of a new version */
    /* A new leader's first list gets a new version even if it is unchanged: watchers accept only newer versions. */
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

/* Node with a flag of struct raft_members; RAFT_NO_NODE: none. */
static uint32_t host_find_member(const struct raft_members *members, const bool *flags)
{
    for (uint32_t i = 0; i < members->count; i++) {
        if (flags[i]) {
            return members->nodes[i];
        }
    }
    return RAFT_NO_NODE;
}

static void host_log_members(const struct replica_group *group)
{
    const struct raft_members *members = &group->raft.members;
    event_log("members_changed", "{s:I,s:I,s:I,s:I,s:I}", "members", (json_int_t)members->count, "voters",
              (json_int_t)raft_voter_count(members), "leaving", (json_int_t)host_find_member(members, members->leaving),
              "joining", (json_int_t)host_find_member(members, members->joining), "index",
              (json_int_t)group->raft.members_index);
}

/* Copies the applied state to node->state, from which watchers are updated. */
static struct watch_changes host_publish_state(struct state_host *host)
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
    zone_set_export(&group->machine.site.drained, &drained);
    changes.drained = zone_set_update(&state->drained, &drained);
    if (changes.drained) {
        node_log_drained(host->node, "zones_applied");
    }
    /* The log's initial members have index 0; watchers count from 1. */
    uint64_t members_index = group->raft.members_index + 1;
    if (group->raft.members_index <= group->raft.commit && members_index > state->members_index) {
        state->members_index = members_index;
        state->members = group->raft.members;
        changes.members = true;
        host_log_members(group);
    }
    return changes;
}

void state_host_before_wait(struct state_host *host)
{
    struct node *node = host->node;
    if (!host->running) {
        state_host_send_updates(host); /* a replica outside the group may be a relay */
        return;
    }
    replica_flush(&host->replica, node_now(node));
    if (host->replica.failed) {
        node_stop(node);
        return;
    }
    host_dial_members(host);
    state_host_apply_quarantines(host);
    struct watch_changes changes = host_publish_state(host);
    if (changes.document || changes.drained || changes.members) {
        node_state_changed(node, changes);
    }
    state_host_send_updates(host);
}

void state_host_write_metrics(const struct state_host *host, struct buffer *out)
{
    metrics_write_gauge(out, "replica_running", "Whether the replica belongs to a group.", host->running ? 1 : 0);
    state_host_write_watches(host, out);
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
    metrics_write_gauge(out, "raft_voting", "Whether this replica is a voter, and stays one.",
                        raft_is_lasting_voter(&group->raft.members, host->identity.node) ? 1 : 0);
    metrics_write_gauge(out, "raft_replacing", "Whether a voter is being replaced.",
                        raft_is_replacing(&group->raft.members) ? 1 : 0);
    metrics_write_counter(out, "raft_replacements_total", "Replacements of a voter begun here.",
                          counters->replacements);
    metrics_write_counter(out, "raft_proposals_total", "Entries proposed here.", counters->proposals);
    metrics_write_counter(out, "raft_syncs_total", "Syncs of the log.", counters->syncs);
    metrics_write_counter(out, "raft_synced_bytes_total", "Bytes written to the log.", counters->written_bytes);
    metrics_write_counter(out, "disk_wait_ms_total", "Time spent in waits for the disk.", host->disk_wait_ms);
    metrics_write_counter(out, "raft_snapshots_total", "Snapshots taken.", counters->snapshots);
    metrics_write_counter(out, "raft_snapshots_installed_total", "Snapshots received.", counters->installs);
    metrics_write_counter(out, "state_digests_compared_total", "Digests of replicas compared with that of this leader.",
                          counters->digests_compared);
    metrics_write_counter(out, "state_digests_differing_total", "Those that differed.", counters->digests_differing);
    metrics_write_gauge(out, "state_diverged_members", "Replicas whose state differed when last compared.",
                        replica_diverged_members(&host->replica, STATE_CONFIG_GROUP));
    host_write_memory(host, out);
    state_host_write_quotas(host, out);
    state_host_write_quarantine(host, out);
    metrics_write_counter(out, "memory_refused_total", "Proposals refused for want of memory.", counters->refused);
    metrics_write_counter(out, "link_frames_refused_total", "Frames for which the queues to peers had no room.",
                          host->node->links.frames_refused);
    metrics_write_gauge(out, "turns_stored", "Turns stored.", HASH_COUNT(group->machine.site.turns.turns));
    metrics_write_gauge(out, "turn_bytes", "Bytes of turns stored.", group->machine.site.turns.bytes);
    metrics_write_gauge(out, "streams_recorded", "Streams whose software version is recorded.",
                        HASH_COUNT(group->machine.site.stream_origins.streams));
    metrics_write_gauge(out, "programs_budgeted", "Programs with a budget.",
                        HASH_COUNT(group->machine.site.budgets.programs));
}
