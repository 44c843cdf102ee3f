/* Chunked snapshot transfer to followers that need entries which the log no longer contains. */
#include "core/raft_internal.h"

#include <string.h>

/* ---- Leader -------------------------------------------------------------- */

bool raft_is_sending_snapshot(const struct raft *raft, uint64_t now_ms)
{
    for (uint32_t i = 0; raft->role == RAFT_LEADER && i < raft->members.count; i++) {
        if (raft->progress[i].snapshot_active && raft_member_is_active(raft, i, now_ms)) {
            return true;
        }
    }
    return false;
}

void raft_end_snapshot(struct raft_progress *progress)
{
    progress->snapshot_active = false;
    buffer_close(&progress->snapshot_buffer);
}

/* Returns false if the snapshot cannot be read. */
static bool raft_fill_chunk(const struct raft *raft, struct raft_progress *progress)
{
    while (!progress->snapshot_read_done && progress->snapshot_buffer.length < RAFT_SNAPSHOT_CHUNK_BYTES) {
        size_t before = progress->snapshot_buffer.length;
        bool read = raft->io.read_snapshot(raft->io.context, raft->config.group, progress->snapshot.index,
                                           &progress->snapshot_read_offset, &progress->snapshot_buffer);
        if (!read) {
            return false;
        }
        progress->snapshot_read_done = progress->snapshot_buffer.length == before;
    }
    return true;
}

static void raft_send_chunk(struct raft *raft, uint64_t now_ms, struct raft_progress *progress)
{
    size_t buffered = progress->snapshot_buffer.length;
    size_t size = buffered < RAFT_SNAPSHOT_CHUNK_BYTES ? buffered : RAFT_SNAPSHOT_CHUNK_BYTES;
    Member items[RAFT_MAX_MEMBERS];
    RaftMessage message = {0};
    message.type = RAFT_SNAPSHOT;
    message.term = raft->term;
    message.index = progress->snapshot.index;
    message.log_term = progress->snapshot.term;
    message.offset = progress->snapshot_offset;
    message.data = view_of(progress->snapshot_buffer.data, size);
    message.last_chunk = progress->snapshot_read_done && size == buffered;
    message.has_members = true;
    raft_members_to_wire(&progress->snapshot.members, items, &message.members);
    progress->snapshot_inflight_bytes = size;
    progress->snapshot_sent_ms = now_ms;
    raft->io.send(raft->io.context, raft->config.group, progress->node, &message, false);
}

/* Restarts the transfer with the latest stored snapshot; returns false if it cannot be read. */
static bool raft_rewind_snapshot(const struct raft *raft, struct raft_progress *progress)
{
    buffer_clear(&progress->snapshot_buffer);
    progress->snapshot = raft->snapshot;
    progress->snapshot_read_offset = 0;
    progress->snapshot_read_done = false;
    progress->snapshot_offset = 0;
    progress->snapshot_inflight_bytes = 0;
    progress->snapshot_active = raft_fill_chunk(raft, progress);
    return progress->snapshot_active;
}

void raft_begin_snapshot(struct raft *raft, uint64_t now_ms, struct raft_progress *progress)
{
    if (raft_rewind_snapshot(raft, progress)) {
        raft_send_chunk(raft, now_ms, progress);
    }
}

void raft_retry_snapshot_chunk(struct raft *raft, uint64_t now_ms, struct raft_progress *progress)
{
    if (now_ms >= progress->snapshot_sent_ms + raft->config.election_timeout_ms) {
        raft_send_chunk(raft, now_ms, progress);
    }
}

/* Resumes sending entries after the follower installed or rejected the snapshot. */
static void raft_finish_snapshot(struct raft *raft, uint64_t now_ms, struct raft_progress *progress,
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
    progress->last_contact_ms = now_ms;
    if (!progress->snapshot_active || message->index != progress->snapshot.index) {
        return;
    }
    if (message->last_chunk) {
        raft_finish_snapshot(raft, now_ms, progress, message);
        return;
    }
    bool restarted = message->offset == 0 && progress->snapshot_offset > 0;
    if (restarted) {
        /* The follower restarted or cannot write: send again only after an election timeout. */
        raft_rewind_snapshot(raft, progress);
        progress->snapshot_sent_ms = now_ms;
        return;
    }
    if (message->offset != progress->snapshot_offset + progress->snapshot_inflight_bytes ||
        progress->snapshot_inflight_bytes == 0) {
        return;
    }
    buffer_consume(&progress->snapshot_buffer, progress->snapshot_inflight_bytes);
    progress->snapshot_offset = message->offset;
    if (raft_fill_chunk(raft, progress)) {
        raft_send_chunk(raft, now_ms, progress);
    } else {
        raft_begin_snapshot(raft, now_ms, progress);
    }
}

/* ---- Follower ------------------------------------------------------------ */

/* Returns false if the chunk is not the next one or the host refuses it. */
static bool raft_receive_chunk(struct raft *raft, const RaftMessage *message)
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
    bool received = raft->io.receive_snapshot(raft->io.context, raft->config.group, incoming, message->data,
                                              message->offset == 0, message->last_chunk);
    raft->incoming_offset = received ? raft->incoming_offset + message->data.length : 0;
    return received;
}

/* Keeps the entries after the snapshot if they extend it: they were acknowledged and may be committed. */
static void raft_install_snapshot(struct raft *raft, const struct raft_snapshot *snapshot)
{
    if (!raft_log_matches_snapshot(raft, snapshot)) {
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
        bool received = raft_receive_chunk(raft, message);
        reply.last_chunk = received && message->last_chunk;
        reply.offset = raft->incoming_offset;
    }
    if (reply.last_chunk && message->index > raft->commit) {
        struct raft_snapshot installed = raft->incoming;
        raft_install_snapshot(raft, &installed);
        memset(&raft->incoming, 0, sizeof(raft->incoming));
        raft->incoming_offset = 0;
    }
    raft->io.send(raft->io.context, raft->config.group, from, &reply, true);
}
