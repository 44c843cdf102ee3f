/* A replica's effects on disk and network, and how it is opened. */
#include <stdlib.h>
#include <string.h>

#include "base/event_log.h"
#include "base/process_memory.h"
#include "proxy/state_host_internal.h"
#include "store/replica_restore.h"

enum {
    STATE_HOST_SNAPSHOT_ENTRIES = 16384,
    STATE_HOST_SNAPSHOT_SPREAD = 4096 /* replicas take their snapshots apart from each other */
};

/* ---- The replica's effects --------------------------------------------------------------- */

static void host_on_save_state(void *context, uint32_t group, uint64_t term, uint32_t vote)
{
    log_store_save_state(&((struct state_host *)context)->log, group, term, vote);
}

static void host_on_append(void *context, uint32_t group, const struct raft_entry *entry)
{
    log_store_append(&((struct state_host *)context)->log, group, entry);
}

/* A disk that fails ends the process: it starts again from what is synced. */
static void host_disk_failed(struct state_host *host)
{
    event_log("disk_failed", "{s:s}", "error", host->log.error);
    event_log_flush();
    node_stop(host->node);
}

static void host_report_blocked(struct state_host *host, bool blocked)
{
    if (blocked != host->disk_blocked) {
        host->disk_blocked = blocked;
        event_log(blocked ? "disk_blocked" : "disk_regained", "{s:s,s:I}", "error", blocked ? host->log.error : "",
                  "pending_bytes", (json_int_t)host->log.pending.length);
    }
}

static enum replica_sync host_on_sync(void *context)
{
    struct state_host *host = context;
    bool synced = log_store_sync(&host->log);
    uv_update_time(&host->node->loop);
    if (!synced && host->log.failed) {
        host_disk_failed(host);
        return REPLICA_SYNC_FAILED;
    }
    host_report_blocked(host, !synced);
    return synced ? REPLICA_SYNC_DONE : REPLICA_SYNC_BLOCKED;
}

static bool host_on_save_snapshot(void *context, uint32_t group, uint64_t index, uint64_t term,
                                  const struct raft_members *members, struct view state, bool reset_log)
{
    struct state_host *host = context;
    (void)reset_log;
    bool saved = log_store_save_snapshot(&host->log, group, index, term, members, state);
    if (!saved && host->log.failed) {
        host_disk_failed(host);
    }
    event_log("snapshot", "{s:I,s:I,s:b,s:I,s:I}", "index", (json_int_t)index, "bytes", (json_int_t)state.length,
              "saved", saved, "log_bytes", (json_int_t)host->replica.groups[group].raft.log.bytes, "resident_bytes",
              (json_int_t)process_memory_resident());
    uv_update_time(&host->node->loop);
    return saved;
}

static void host_on_send(void *context, uint32_t to, struct view frame)
{
    node_send(((struct state_host *)context)->node, to, frame);
}

/* Texts of the product's own programs have no place here. */
static void host_history_append(void *context, struct view text, struct history_ref *ref)
{
    (void)context;
    (void)text;
    memset(ref, 0, sizeof(*ref));
}

static bool host_history_read(void *context, const struct history_ref *ref, struct buffer *out)
{
    (void)context;
    (void)out;
    return ref->length == 0;
}

static void host_history_ignore(void *context, const struct history_ref *ref)
{
    (void)context;
    (void)ref;
}

/* ---- Opening ----------------------------------------------------------------------------- */

/* Written before anything is read: a process that ends while it reads its state back leaves this line. */
static void host_report_restore(const struct state_host *host)
{
    uint64_t log_bytes = 0;
    uint64_t snapshot_bytes = 0;
    log_store_measure(host->node->settings.data, &log_bytes, &snapshot_bytes);
    event_log("restore_begins", "{s:I,s:I,s:I}", "log_bytes", (json_int_t)log_bytes, "snapshot_bytes",
              (json_int_t)snapshot_bytes, "resident_bytes", (json_int_t)process_memory_resident());
    event_log_flush();
}

bool state_host_open_replica(struct state_host *host)
{
    struct replica_config config = {
        .node = host->identity.node,
        .groups = 1,
        .members = host->identity.members,
        .election_timeout_ms = STATE_HOST_ELECTION_MS,
        .heartbeat_ms = STATE_HOST_HEARTBEAT_MS,
        .lease_ms = STATE_HOST_ELECTION_MS,
        .seed = host->node->boot_id,
        .first_election_ms = STATE_HOST_FIRST_ELECTION_MS,
        .snapshot_entries = STATE_HOST_SNAPSHOT_ENTRIES + host->identity.node % STATE_HOST_SNAPSHOT_SPREAD,
        .self_organized = true,
        .steady_stamps = true,
    };
    struct replica_io io = {
        .context = host,
        .save_state = host_on_save_state,
        .append = host_on_append,
        .sync = host_on_sync,
        .save_snapshot = host_on_save_snapshot,
        .send = host_on_send,
    };
    struct history_io history = {
        .context = host,
        .append = host_history_append,
        .read = host_history_read,
        .drop = host_history_ignore,
        .keep = host_history_ignore,
    };
    replica_init(&host->replica, &config, &io, &history);
    host_report_restore(host);
    if (!replica_restore_log(&host->replica, &host->log, host->node->settings.data)) {
        event_log("disk_failed", "{s:s}", "error", host->log.error);
        return false;
    }
    return true;
}

/* The replica begins to run. */
void state_host_start(struct state_host *host)
{
    struct replica_group *group = &host->replica.groups[STATE_CONFIG_GROUP];
    struct raft *raft = &group->raft;
    host->running = true;
    host->led_ms = node_now(host->node);
    replica_start(&host->replica, node_now(host->node));
    node_peers_changed(host->node);
    event_log("replica_started", "{s:I,s:I,s:I,s:I}", "id", (json_int_t)host->identity.node, "term",
              (json_int_t)raft->term, "last_index", (json_int_t)raft_last_index(raft), "members",
              (json_int_t)raft->members.count);
    event_log("restored", "{s:I,s:I,s:I}", "turns", (json_int_t)HASH_COUNT(group->machine.site.turns.turns),
              "log_bytes", (json_int_t)raft->log.bytes, "resident_bytes", (json_int_t)process_memory_resident());
}
