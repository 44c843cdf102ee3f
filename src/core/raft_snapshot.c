/* Snapshots for followers that lack entries which the log has dropped: sent and received in chunks. */
#include "core/raft_internal.h"

#include <string.h>

/* ---- Leader -------------------------------------------------------------- */

bool raft_is_sending_snapshot(const struct raft *raft, uint64_t now_ms)
{
    for (uint32_t i = 0; raft->role == RAFT_LEADER && i < raft->members.count; i++) {
        if (raft->progress[i].snapshot_active && raft_hears_member(raft, i, now_ms)) {
            return true;
        }
    }
    return false;
}

void raft_end_snapshot(struct raft_progress *progress)
{
    progress->snapshot_active = false;
    buffer_close(&progress->snapshot_bytes);
}

/* Reads ahead until a chunk is full; false: the snapshot is not there any more. */
static bool raft_fill_chunk(const struct raft *raft, struct raft_progress *progress)
{
    while (!progress->snapshot_read && progress->snapshot_bytes.length < RAFT_SNAPSHOT_CHUNK) {
        size_t before = progress->snapshot_bytes.length;
        bool read = raft->io.read_snapshot(raft->io.context, raft->config.group, progress->snapshot.index,
                                           &progress->snapshot_at, &progress->snapshot_bytes);
        if (!read) {
            return false;
        }
        progress->snapshot_read = progress->snapshot_bytes.length == before;
    }
    return true;
}

static void raft_send_chunk(struct raft *raft, uint64_t now_ms, struct raft_progress *progress)
{
    size_t held = progress->snapshot_bytes.length;
    size_t size = held < RAFT_SNAPSHOT_CHUNK ? held : RAFT_SNAPSHOT_CHUNK;
    Member items[RAFT_MAX_MEMBERS];
    RaftMessage message = {0};
    message.type = RAFT_SNAPSHOT;
    message.term = raft->term;
    message.index = progress->snapshot.index;
    message.log_term = progress->snapshot.term;
    message.offset = progress->snapshot_offset;
    message.data = view_of(progress->snapshot_bytes.data, size);
    message.last_chunk = progress->snapshot_read && size == held;
    message.has_members = true;
    raft_members_to_wire(&progress->snapshot.members, items, &message.members);
    progress->snapshot_sent = size;
    progress->snapshot_sent_ms = now_ms;
    raft->io.send(raft->io.context, raft->config.group, progress->node, &message, false);
}

/* Goes back to the begin of the stored snapshot; false: it cannot be read now. */
static bool raft_rewind_snapshot(const struct raft *raft, struct raft_progress *progress)
{
    buffer_clear(&progress->snapshot_bytes);
    progress->snapshot = raft->snapshot;
    progress->snapshot_at = 0;
    progress->snapshot_read = false;
    progress->snapshot_offset = 0;
    progress->snapshot_sent = 0;
    progress->snapshot_active = raft_fill_chunk(raft, progress);
    return progress->snapshot_active;
}

void raft_begin_snapshot(struct raft *raft, uint64_t now_ms, struct raft_progress *progress)
{
    if (raft_rewind_snapshot(raft, progress)) {
        raft_send_chunk(raft, now_ms, progress);
    }
}

/* A chunk that was lost is sent again after an election timeout. */
void raft_continue_snapshot(struct raft *raft, uint64_t now_ms, struct raft_progress *progress)
{
    if (now_ms >= progress->snapshot_sent_ms + raft->config.election_timeout_ms) {
        raft_send_chunk(raft, now_ms, progress);
    }
}

/* The follower has the whole snapshot, or refuses it: entries are tried again. */
static void raft_snapshot_taken(struct raft *raft, uint64_t now_ms, struct raft_progress *progress,
                                const RaftMessage *message)
{
    raft_end_snapshot(progress);
    if (!message->reject) {
        progress->match = message->index > progress->match ? message->index : progress->match;
    }
    progress->next = progress->match + 1;
    progress->inflight_bytes = 0;
    progress->probing = true;
    raft_advance_commit(raft, now_ms);
    if (raft->role == RAFT_LEADER) {
        raft_send_append(raft, now_ms, progress, true);
    }
}

void raft_handle_snapshot_reply(struct raft *raft, uint64_t now_ms, uint32_t from, const RaftMessage *message)
{
    struct raft_progress *progress = raft_progress_of(raft, from);
    if (progress == NULL) {
        return;
    }
    progress->last_heard_ms = now_ms;
    if (!progress->snapshot_active || message->index != progress->snapshot.index) {
        return;
    }
    if (message->last_chunk) {
        raft_snapshot_taken(raft, now_ms, progress, message);
        return;
    }
    bool lost_all = message->offset == 0 && progress->snapshot_offset > 0;
    if (lost_all) {
        /* It has started anew, or its disk takes no more: not again at once. */
        raft_rewind_snapshot(raft, progress);
        progress->snapshot_sent_ms = now_ms;
        return;
    }
    if (message->offset != progress->snapshot_offset + progress->snapshot_sent || progress->snapshot_sent == 0) {
        return;
    }
    buffer_consume(&progress->snapshot_bytes, progress->snapshot_sent);
    progress->snapshot_offset = message->offset;
    if (raft_fill_chunk(raft, progress)) {
        raft_send_chunk(raft, now_ms, progress);
    } else {
        raft_begin_snapshot(raft, now_ms, progress);
    }
}

/* ---- Follower ------------------------------------------------------------ */

/* Takes the chunk if it is the next one. */
static bool raft_take_chunk(struct raft *raft, const RaftMessage *message)
{
    struct raft_snapshot *incoming = &raft->incoming;
    bool restart = message->offset == 0 || incoming->index != message->index || incoming->term != message->log_term;
    if (restart) {
        raft->incoming_offset = 0;
        incoming->index = message->index;
        incoming->term = message->log_term;
    }
    bool next = message->offset == raft->incoming_offset &&
                (!restart || raft_members_from_wire(&message->members, &incoming->members));
    if (!next) {
        return false;
    }
    bool taken = raft->io.take_snapshot(raft->io.context, raft->config.group, incoming, message->data,
                                        message->offset == 0, message->last_chunk);
    raft->incoming_offset = taken ? raft->incoming_offset + message->data.length : 0;
    return taken;
}

/* Entries behind the snapshot that follow from it stay: they were acknowledged, and may be committed. */
static void raft_install(struct raft *raft, const struct raft_snapshot *snapshot)
{
    if (!raft_holds(raft, snapshot)) {
        raft_restore_snapshot(raft, snapshot->index, snapshot->term, &snapshot->members);
        return;
    }
    raft_log_compact(&raft->log, snapshot->index, snapshot->term);
    raft->commit = snapshot->index;
    raft->applied = snapshot->index;
    raft->synced = raft->synced < snapshot->index ? snapshot->index : raft->synced;
    raft->snapshot = *snapshot;
    raft->base_members = snapshot->members;
    if (raft->previous_members_index <= snapshot->index) {
        raft->previous_members = snapshot->members;
        raft->previous_members_index = snapshot->index;
    }
    if (raft->members_index <= snapshot->index) {
        raft->members = snapshot->members;
        raft->members_index = snapshot->index;
    }
}

void raft_handle_snapshot(struct raft *raft, uint64_t now_ms, uint32_t from, const RaftMessage *message)
{
    raft_follow(raft, now_ms, from);
    RaftMessage reply = {0};
    reply.type = RAFT_SNAPSHOT_REPLY;
    reply.term = raft->term;
    reply.index = message->index;
    if (message->index <= raft->commit) {
        reply.last_chunk = true;
    } else {
        bool taken = raft_take_chunk(raft, message);
        reply.last_chunk = taken && message->last_chunk;
        reply.offset = raft->incoming_offset;
    }
    if (reply.last_chunk && message->index > raft->commit) {
        struct raft_snapshot installed = raft->incoming;
        raft_install(raft, &installed);
        memset(&raft->incoming, 0, sizeof(raft->incoming));
        raft->incoming_offset = 0;
    }
    raft->io.send(raft->io.context, raft->config.group, from, &reply, true);
}
