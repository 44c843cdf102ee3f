/* State replica: opening, storage and network callbacks. */
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/event_log.h"
#include "base/process_memory.h"
#include "proxy/state_host_internal.h"
#include "store/file.h"
#include "store/replica_disk.h"
#include "store/replica_restore.h"

enum {
    STATE_HOST_SNAPSHOT_ENTRIES = 16384,
    STATE_HOST_SNAPSHOT_STAGGER_ENTRIES = 4096, /* spread by node id, so that replicas do not take snapshots together */
    STATE_HOST_SLOW_DISK_MS = STATE_HOST_ELECTION_TIMEOUT_MS / 2 /* longer waits are logged; a leader may be deposed */
};

/* ---- Callbacks of the replica ------------------------------------------------------------ */

/* Stops the process: after a restart it continues from what was synced. */
static void host_disk_failed(struct state_host *host)
{
    const char *error = host->log.failed ? host->log.error : host->texts.error;
    event_log("disk_failed", "{s:s}", "error", error);
    event_log_flush();
    node_stop(host->node);
}

static void host_log_blocked(struct state_host *host, bool blocked)
{
    if (blocked != host->disk_blocked) {
        host->disk_blocked = blocked;
        event_log(blocked ? "disk_blocked" : "disk_regained", "{s:s,s:I}", "error", blocked ? host->log.error : "",
                  "pending_bytes", (json_int_t)host->log.pending.length);
    }
}

/* The event loop is blocked during the wait. The log line explains requests that were refused or delayed by it. */
static void host_record_disk_wait(struct state_host *host, const char *what, uint64_t started_ms, uint64_t bytes)
{
    uint64_t duration_ms = clock_monotonic_ms() - started_ms;
    host->disk_wait_ms += duration_ms;
    if (duration_ms >= STATE_HOST_SLOW_DISK_MS) {
        event_log("disk_slow", "{s:s,s:I,s:I,s:b}", "what", what, "took_ms", (json_int_t)duration_ms, "bytes",
                  (json_int_t)bytes, "leads", state_host_is_leader(host));
    }
}

static enum replica_sync_result host_on_sync(void *context)
{
    struct state_host *host = context;
    uint64_t started_ms = clock_monotonic_ms();
    uint64_t bytes = host->log.pending.length;
    bool synced = log_store_sync(&host->log);
    host_record_disk_wait(host, "log", started_ms, bytes);
    uv_update_time(&host->node->loop);
    if ((!synced && host->log.failed) || host->texts.failed) {
        host_disk_failed(host);
        return REPLICA_SYNC_FAILED;
    }
    host_log_blocked(host, !synced);
    return synced ? REPLICA_SYNC_DONE : REPLICA_SYNC_BLOCKED;
}

static void host_on_digest_compared(void *context, uint32_t group, uint32_t node, uint64_t index, bool differs)
{
    (void)context;
    event_log(differs ? "state_differs" : "state_agrees_again", "{s:I,s:I,s:I}", "group", (json_int_t)group, "replica",
              (json_int_t)node, "index", (json_int_t)index);
}

static bool host_on_snapshot_begin(void *context, uint32_t group, const struct raft_snapshot *snapshot)
{
    struct state_host *host = context;
    event_log("snapshot_begins", "{s:I,s:I,s:I}", "index", (json_int_t)snapshot->index, "log_bytes",
              (json_int_t)host->replica.groups[group].raft.log.bytes, "resident_bytes",
              (json_int_t)process_resident_bytes());
    return log_store_snapshot_begin(&host->log, group, snapshot);
}

/* Texts are synced first: a stored snapshot may refer only to durable texts. */
static bool host_on_snapshot_commit(void *context, uint32_t group, bool reset_log)
{
    struct state_host *host = context;
    const snapshot_file_t *stored = &host->log.groups[group].stored;
    uint64_t started_ms = clock_monotonic_ms();
    bool texts_synced = history_store_sync(&host->texts);
    bool saved = texts_synced && log_store_snapshot_commit(&host->log, group, reset_log);
    if (!texts_synced) {
        log_store_snapshot_abort(&host->log, group);
    }
    if (host->log.failed || host->texts.failed) {
        host_disk_failed(host);
    }
    host_record_disk_wait(host, "snapshot", started_ms, stored->state_length);
    event_log("snapshot", "{s:I,s:I,s:b,s:b,s:I,s:I}", "index", (json_int_t)stored->snapshot.index, "bytes",
              (json_int_t)stored->state_length, "saved", saved, "received", reset_log, "log_bytes",
              (json_int_t)host->replica.groups[group].raft.log.bytes, "resident_bytes",
              (json_int_t)process_resident_bytes());
    uv_update_time(&host->node->loop);
    return saved;
}

static void host_on_send(void *context, uint32_t to, struct view frame)
{
    node_send(((struct state_host *)context)->node, to, frame);
}

static void host_on_flush_output(void *context)
{
    links_flush(&((struct state_host *)context)->node->links);
}

/* ---- Opening ----------------------------------------------------------------------------- */

/* Flushed before the restore, in case the process dies in it, for example out of memory. */
static void host_log_restore(const struct state_host *host)
{
    uint64_t log_bytes = 0;
    uint64_t snapshot_bytes = 0;
    log_store_disk_usage(host->node->settings.data, &log_bytes, &snapshot_bytes);
    event_log("restore_begins", "{s:I,s:I,s:I}", "log_bytes", (json_int_t)log_bytes, "snapshot_bytes",
              (json_int_t)snapshot_bytes, "resident_bytes", (json_int_t)process_resident_bytes());
    event_log_flush();
}

static bool host_open_texts(struct state_host *host)
{
    char *directory = file_path(host->node->settings.data, "texts");
    bool opened = history_store_open(&host->texts, directory);
    free(directory);
    host->texts.segment_bytes = STATE_HOST_TEXT_SEGMENT_BYTES;
    if (!opened) {
        event_log("disk_failed", "{s:s}", "error", host->texts.error);
    }
    return opened;
}

/* 0 if the site has too few zones to spread the voters over. */
static uint32_t host_tolerated_zones(const struct state_host *host)
{
    const struct node_settings *settings = &host->node->settings;
    bool enough = settings->zones.count >= 2 * settings->tolerated_zones + 1;
    return enough ? (uint32_t)settings->tolerated_zones : 0;
}

bool state_host_open_replica(struct state_host *host)
{
    const memory_budget_t *memory = &host->node->memory;
    struct replica_config config = {
        .node = host->identity.node,
        .groups = 1,
        .members = host->identity.members,
        .election_timeout_ms = STATE_HOST_ELECTION_TIMEOUT_MS,
        .heartbeat_ms = STATE_HOST_HEARTBEAT_MS,
        .lease_ms = STATE_HOST_ELECTION_TIMEOUT_MS,
        .seed = host->node->boot_id,
        .short_election_timeout_ms = STATE_HOST_SHORT_ELECTION_TIMEOUT_MS,
        .snapshot_entries = STATE_HOST_SNAPSHOT_ENTRIES + host->identity.node % STATE_HOST_SNAPSHOT_STAGGER_ENTRIES,
        .snapshot_log_bytes = memory->log,
        .max_log_bytes = memory->log_max,
        .max_state_bytes = memory->state,
        .tolerated_zones = host_tolerated_zones(host),
        .auto_membership = true,
        .monotonic_timestamps = true,
    };
    struct replica_io io = {
        .context = host,
        .sync = host_on_sync,
        .digest_compared = host_on_digest_compared,
        .snapshot_begin = host_on_snapshot_begin,
        .snapshot_commit = host_on_snapshot_commit,
        .send = host_on_send,
        .flush_output = host_on_flush_output,
    };
    replica_disk_set_callbacks(&io, &host->log);
    struct history_io history = history_store_io(&host->texts);
    host_log_restore(host);
    if (!host_open_texts(host)) {
        return false;
    }
    replica_init(&host->replica, &config, &io, &history);
    if (!replica_restore_log(&host->replica, &host->log, host->node->settings.data)) {
        event_log("disk_failed", "{s:s}", "error", host->log.error);
        return false;
    }
    history_store_sweep(&host->texts);
    return true;
}

void state_host_start(struct state_host *host)
{
    struct replica_group *group = &host->replica.groups[STATE_CONFIG_GROUP];
    struct raft *raft = &group->raft;
    host->running = true;
    host->leader_seen_ms = node_now(host->node);
    replica_start(&host->replica, node_now(host->node));
    node_peers_changed(host->node);
    event_log("replica_started", "{s:I,s:I,s:I,s:I}", "id", (json_int_t)host->identity.node, "term",
              (json_int_t)raft->term, "last_index", (json_int_t)raft_last_index(raft), "members",
              (json_int_t)raft->members.count);
    event_log("restored", "{s:I,s:I,s:I}", "turns", (json_int_t)HASH_COUNT(group->machine.site.turns.turns),
              "log_bytes", (json_int_t)raft->log.bytes, "resident_bytes", (json_int_t)process_resident_bytes());
}
