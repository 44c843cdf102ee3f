/* Storage of a simulated replica; a crash may lose writes that are not synced. */
#include <stdlib.h>
#include <string.h>

#include "core/raft_internal.h"
#include "sim/sim.h"

void sim_disk_init(struct sim_disk *disk, uint32_t groups)
{
    memset(disk, 0, sizeof(*disk));
    disk->group_count = groups;
}

static void sim_disk_drop_writes(struct sim_disk *disk)
{
    for (size_t i = 0; i < disk->write_count; i++) {
        free(disk->writes[i].entry.data);
    }
    disk->write_count = 0;
}

void sim_disk_close(struct sim_disk *disk)
{
    sim_disk_drop_writes(disk);
    free(disk->writes);
    for (uint32_t group = 0; group < disk->group_count; group++) {
        raft_log_close(&disk->groups[group].log);
        buffer_close(&disk->groups[group].snapshot);
        buffer_close(&disk->groups[group].partial_snapshot);
    }
    buffer_close(&disk->history);
}

static void sim_disk_apply(struct sim_disk *disk, const struct sim_write *write)
{
    struct sim_disk_group *group = &disk->groups[write->group];
    if (!write->is_entry) {
        group->term = write->term;
        group->vote = write->vote;
        return;
    }
    if (write->entry.index <= group->log.base_index) {
        return;
    }
    raft_log_truncate(&group->log, write->entry.index);
    raft_log_append(&group->log, &write->entry);
}

static void sim_disk_add_write(struct sim_disk *disk, const struct sim_write *write)
{
    disk->writes = memory_resize(disk->writes, (disk->write_count + 1) * sizeof(*disk->writes));
    disk->writes[disk->write_count++] = *write;
}

/* Keeps a random prefix of the unsynced writes, and no unsynced history. */
void sim_disk_crash(struct sim *sim, struct sim_disk *disk)
{
    size_t kept_count = disk->write_count == 0 ? 0 : sim_random(sim, (uint32_t)disk->write_count + 1);
    for (size_t i = 0; i < kept_count; i++) {
        sim_disk_apply(disk, &disk->writes[i]);
    }
    sim_disk_drop_writes(disk);
    disk->history.length = disk->history_synced;
}

/* ---- Replica callbacks ------------------------------------------------------------- */

static void sim_disk_save_state(void *context, uint32_t group, uint64_t term, uint32_t vote)
{
    struct sim_node *node = context;
    struct sim_write write = {.group = group, .term = term, .vote = vote};
    sim_disk_add_write(&node->disk, &write);
}

static void sim_disk_append(void *context, uint32_t group, const struct raft_entry *entry)
{
    struct sim_node *node = context;
    struct sim_write write = {.group = group, .is_entry = true, .entry = *entry};
    write.entry.data = (uint8_t *)memory_copy(entry->data, entry->length);
    sim_disk_add_write(&node->disk, &write);
}

static enum replica_sync_result sim_disk_sync(void *context)
{
    struct sim_node *node = context;
    for (size_t i = 0; i < node->disk.write_count; i++) {
        sim_disk_apply(&node->disk, &node->disk.writes[i]);
    }
    sim_disk_drop_writes(&node->disk);
    return REPLICA_SYNC_DONE;
}

static bool sim_disk_snapshot_begin(void *context, uint32_t group, const struct raft_snapshot *snapshot)
{
    struct sim_disk_group *stored = &((struct sim_node *)context)->disk.groups[group];
    buffer_clear(&stored->partial_snapshot);
    stored->partial_metadata = *snapshot;
    return true;
}

static bool sim_disk_snapshot_write(void *context, uint32_t group, struct view bytes)
{
    struct sim_disk_group *stored = &((struct sim_node *)context)->disk.groups[group];
    buffer_append(&stored->partial_snapshot, bytes.data, bytes.length);
    return true;
}

static void sim_disk_snapshot_abort(void *context, uint32_t group)
{
    buffer_clear(&((struct sim_node *)context)->disk.groups[group].partial_snapshot);
}

static bool sim_disk_snapshot_read(void *context, uint32_t group, uint64_t index, uint64_t offset, size_t max_bytes,
                                   struct buffer *out)
{
    const struct sim_disk_group *stored = &((struct sim_node *)context)->disk.groups[group];
    if (stored->snapshot_index != index || offset > stored->snapshot.length) {
        return false;
    }
    size_t remaining = stored->snapshot.length - (size_t)offset;
    buffer_append(out, stored->snapshot.data + offset, remaining < max_bytes ? remaining : max_bytes);
    return true;
}

static bool sim_disk_snapshot_commit(void *context, uint32_t group, bool reset_log)
{
    struct sim_node *node = context;
    struct sim_disk_group *stored = &node->disk.groups[group];
    uint64_t index = stored->partial_metadata.index;
    uint64_t term = stored->partial_metadata.term;
    sim_disk_sync(context);
    node->disk.history_synced = node->disk.history.length;
    buffer_clear(&stored->snapshot);
    buffer_append(&stored->snapshot, stored->partial_snapshot.data, stored->partial_snapshot.length);
    stored->snapshot_index = index;
    stored->members = stored->partial_metadata.members;
    uint64_t last = stored->log.base_index + stored->log.count;
    if (reset_log || index >= last) {
        raft_log_reset(&stored->log, index, term);
    } else if (index > stored->log.base_index) {
        raft_log_compact(&stored->log, index, term);
    }
    return true;
}

static void sim_disk_send(void *context, uint32_t to, struct view frame)
{
    struct sim_node *node = context;
    sim_network_send(node->sim, node->id, to, frame);
}

struct replica_io sim_disk_io(struct sim_node *node)
{
    struct replica_io io = {
        .context = node,
        .disk = node,
        .save_state = sim_disk_save_state,
        .append = sim_disk_append,
        .sync = sim_disk_sync,
        .snapshot_begin = sim_disk_snapshot_begin,
        .snapshot_write = sim_disk_snapshot_write,
        .snapshot_commit = sim_disk_snapshot_commit,
        .snapshot_abort = sim_disk_snapshot_abort,
        .snapshot_read = sim_disk_snapshot_read,
        .send = sim_disk_send,
    };
    return io;
}

/* ---- History -------------------------------------------------------------------------- */

static void sim_history_append(void *context, struct view text, struct history_ref *ref)
{
    struct sim_node *node = context;
    memset(ref, 0, sizeof(*ref));
    ref->offset = node->disk.history.length;
    ref->length = (uint32_t)text.length;
    buffer_append(&node->disk.history, text.data, text.length);
}

static bool sim_history_read(void *context, const struct history_ref *ref, struct buffer *out)
{
    struct sim_node *node = context;
    if (ref->offset + ref->length > node->disk.history.length) {
        return false;
    }
    buffer_append(out, node->disk.history.data + ref->offset, ref->length);
    return true;
}

static void sim_history_ignore(void *context, const struct history_ref *ref)
{
    (void)context;
    (void)ref;
}

struct history_io sim_disk_history(struct sim_node *node)
{
    struct history_io io = {
        .context = node,
        .append = sim_history_append,
        .read = sim_history_read,
        .release = sim_history_ignore,
        .mark_used = sim_history_ignore,
    };
    return io;
}

void sim_disk_restore(struct sim_node *node)
{
    for (uint32_t group = 0; group < node->disk.group_count; group++) {
        struct sim_disk_group *stored = &node->disk.groups[group];
        struct raft *raft = &node->replica.groups[group].raft;
        raft_restore_state(raft, stored->term, stored->vote);
        if (stored->log.base_index > 0) {
            struct raft_snapshot snapshot = {stored->log.base_index, stored->log.base_term, stored->members};
            bool restored = replica_restore_snapshot(&node->replica, group, &snapshot);
            if (!restored) {
                sim_fail(node->sim, "node %u cannot restore its snapshot of group %u", node->id, group);
            }
        }
        for (size_t i = 0; i < stored->log.count; i++) {
            if (!raft_restore_entry(raft, &stored->log.entries[i])) {
                sim_fail(node->sim, "node %u has a gap in the log of group %u", node->id, group);
            }
        }
    }
}
