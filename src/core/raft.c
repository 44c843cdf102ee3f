/* Lifecycle of a replica, ticks and message dispatch. */
#include "core/raft_internal.h"

#include <string.h>

uint64_t raft_last_index(const struct raft *raft)
{
    return raft->log.base_index + raft->log.count;
}

uint64_t raft_term_at(const struct raft *raft, uint64_t index)
{
    if (index == raft->log.base_index) {
        return raft->log.base_term;
    }
    const struct raft_entry *entry = raft_log_get(&raft->log, index);
    return entry == NULL ? 0 : entry->term;
}

bool raft_log_matches_snapshot(const struct raft *raft, const struct raft_snapshot *snapshot)
{
    const struct raft_entry *entry = raft_log_get(&raft->log, snapshot->index);
    return entry != NULL && entry->term == snapshot->term;
}

bool raft_is_leader(const struct raft *raft)
{
    return raft->role == RAFT_LEADER;
}

const struct raft_members *raft_applied_members(const struct raft *raft)
{
    return raft->members_index <= raft->applied ? &raft->members : &raft->previous_members;
}

void raft_init(struct raft *raft, const struct raft_config *config, const struct raft_io *io,
               const struct raft_members *members)
{
    memset(raft, 0, sizeof(*raft));
    raft->config = *config;
    raft->io = *io;
    raft->members = *members;
    raft->previous_members = *members;
    raft->base_members = *members;
}

void raft_close(struct raft *raft)
{
    raft_log_close(&raft->log);
    free(raft->reads);
    for (int i = 0; i < RAFT_MAX_MEMBERS; i++) {
        buffer_close(&raft->progress[i].snapshot_buffer);
    }
}

void raft_restore_state(struct raft *raft, uint64_t term, uint32_t vote)
{
    raft->term = term;
    raft->vote = vote;
}

void raft_restore_snapshot(struct raft *raft, uint64_t index, uint64_t term, const struct raft_members *members)
{
    raft_log_reset(&raft->log, index, term);
    raft->commit = index;
    raft->applied = index;
    raft->synced = index;
    raft->members = *members;
    raft->previous_members = *members;
    raft->base_members = *members;
    raft->members_index = index;
    raft->previous_members_index = index;
    raft->snapshot.index = index;
    raft->snapshot.term = term;
    raft->snapshot.members = *members;
}

void raft_restore_reset(struct raft *raft)
{
    raft_truncate(raft, raft->log.base_index + 1);
}

bool raft_restore_entry(struct raft *raft, const struct raft_entry *entry)
{
    if (entry->index <= raft->log.base_index) {
        /* Writing this entry replaced the tail of the log, so the entries after the snapshot are obsolete too. */
        raft_restore_reset(raft);
        return true;
    }
    if (entry->index > raft_last_index(raft) + 1) {
        return false;
    }
    if (entry->index <= raft_last_index(raft)) {
        raft_truncate(raft, entry->index);
    }
    raft_append_in_memory(raft, entry);
    raft->synced = raft_last_index(raft);
    return true;
}

void raft_start(struct raft *raft, uint64_t now_ms)
{
    raft->role = RAFT_FOLLOWER;
    /* Elects a leader soon when all replicas start together; if there is a leader, voters ignore the pre-vote. */
    raft_reset_short_election_timer(raft, now_ms);
    bool sole_voter = raft_voter_count(&raft->members) == 1 && raft_is_voter(&raft->members, raft->config.node);
    if (sole_voter) {
        raft_campaign(raft, now_ms, false, false);
    }
}

void raft_set_members(struct raft *raft, const struct raft_members *members, uint64_t index)
{
    raft->previous_members = raft->members;
    raft->previous_members_index = raft->members_index;
    raft->members = *members;
    raft->members_index = index;
    if (raft->role != RAFT_LEADER) {
        return;
    }
    /* Keep the progress of the remaining members, initialize that of the new ones. */
    struct raft_progress old[RAFT_MAX_MEMBERS];
    memcpy(old, raft->progress, sizeof(old));
    memset(raft->progress, 0, sizeof(raft->progress));
    for (uint32_t i = 0; i < members->count; i++) {
        struct raft_progress *progress = &raft->progress[i];
        int old_position = raft_member_position(&raft->previous_members, members->nodes[i]);
        if (old_position >= 0) {
            *progress = old[old_position];
            memset(&old[old_position].snapshot_buffer, 0, sizeof(old[old_position].snapshot_buffer));
            continue;
        }
        progress->node = members->nodes[i];
        progress->next = raft_last_index(raft) + 1;
        progress->probing = true;
    }
    for (int i = 0; i < RAFT_MAX_MEMBERS; i++) {
        buffer_close(&old[i].snapshot_buffer);
    }
}

void raft_append_in_memory(struct raft *raft, const struct raft_entry *entry)
{
    raft_log_append(&raft->log, entry);
    if (entry->type != RAFT_ENTRY_MEMBERS) {
        return;
    }
    struct raft_members members;
    if (raft_members_decode(view_of(entry->data, entry->length), &members)) {
        raft_set_members(raft, &members, entry->index);
    }
}

void raft_truncate(struct raft *raft, uint64_t from_index)
{
    raft_log_truncate(&raft->log, from_index);
    if (raft->members_index >= from_index) {
        raft->members = raft->previous_members;
        raft->members_index = raft->previous_members_index;
    }
    if (raft->synced >= from_index) {
        raft->synced = from_index - 1;
    }
}

void raft_append_local(struct raft *raft, enum raft_entry_type type, struct view data)
{
    struct raft_entry entry = {
        .index = raft_last_index(raft) + 1,
        .term = raft->term,
        .type = type,
        .data = (uint8_t *)(uintptr_t)data.data,
        .length = data.length,
    };
    raft_append_in_memory(raft, &entry);
    raft->io.append(raft->io.context, raft->config.group, &entry);
}

uint64_t raft_propose(struct raft *raft, struct view data)
{
    bool accepting = raft->role == RAFT_LEADER && raft->transfer_target == RAFT_NO_NODE;
    if (!accepting || raft_log_is_full(raft)) {
        return 0;
    }
    raft_append_local(raft, RAFT_ENTRY_COMMAND, data);
    raft->send_due = true;
    return raft_last_index(raft);
}

void raft_flush(struct raft *raft, uint64_t now_ms)
{
    if (raft->role != RAFT_LEADER) {
        return;
    }
    raft_finish_replacement(raft, now_ms);
    if (raft->round_due) {
        raft_broadcast_heartbeat(raft, now_ms);
        raft_release_reads(raft);
    } else if (raft->send_due) {
        raft_replicate_all(raft, now_ms);
    }
    raft->send_due = false;
}

bool raft_transfer(struct raft *raft, uint64_t now_ms, uint32_t target)
{
    bool possible =
        raft->role == RAFT_LEADER && target != raft->config.node && raft_is_lasting_voter(&raft->members, target);
    if (!possible) {
        return false;
    }
    raft->transfer_target = target;
    raft->transfer_deadline_ms = now_ms + raft->config.election_timeout_ms;
    raft_replicate_all(raft, now_ms);
    return true;
}

uint64_t raft_compaction_index(const struct raft *raft, uint64_t entries, size_t bytes)
{
    uint64_t index = raft->applied;
    size_t kept = 0;
    while (raft->applied - index < entries) {
        const struct raft_entry *entry = raft_log_get(&raft->log, index);
        if (entry == NULL || kept + entry->length > bytes) {
            break;
        }
        kept += entry->length;
        index--;
    }
    return index;
}

bool raft_log_is_full(const struct raft *raft)
{
    return raft->config.max_log_bytes > 0 && raft->log.bytes >= raft->config.max_log_bytes;
}

static void raft_compact(struct raft *raft, uint64_t index)
{
    if (index <= raft->log.base_index || index > raft->applied) {
        return;
    }
    raft->base_members = index >= raft->members_index ? raft->members : raft->previous_members;
    raft_log_compact(&raft->log, index, raft_term_at(raft, index));
}

void raft_snapshot_saved(struct raft *raft, uint64_t compact_index)
{
    raft->snapshot.index = raft->applied;
    raft->snapshot.term = raft_term_at(raft, raft->applied);
    raft->snapshot.members = *raft_applied_members(raft);
    raft_compact(raft, compact_index);
}

/* Whether the last tick is more than a heartbeat period ago. Messages that arrived since are unread, and a leader has
 * sent no heartbeat that peers could have answered. */
static bool raft_detect_stall(struct raft *raft, uint64_t now_ms)
{
    bool stalled = raft->last_tick_ms != 0 && now_ms > raft->last_tick_ms + raft->config.heartbeat_ms;
    raft->last_tick_ms = now_ms;
    return stalled;
}

/* Check-quorum. After a stall of this process a silent quorum is tolerated, but not again before a quorum responds. */
static bool raft_has_lost_quorum(struct raft *raft, uint64_t now_ms, bool stalled)
{
    if (raft_quorum_is_active(raft, now_ms)) {
        return false;
    }
    bool tolerated = stalled && raft_quorum_active_since(raft, raft->stall_grace_ms + 1);
    raft->stall_grace_ms = tolerated ? now_ms : raft->stall_grace_ms;
    return !tolerated;
}

static void raft_tick_leader(struct raft *raft, uint64_t now_ms, bool stalled)
{
    if (raft->transfer_target != RAFT_NO_NODE && now_ms >= raft->transfer_deadline_ms) {
        raft->transfer_target = RAFT_NO_NODE;
    }
    if (now_ms >= raft->quorum_checked_ms + raft->config.election_timeout_ms) {
        raft->quorum_checked_ms = now_ms;
        if (raft_has_lost_quorum(raft, now_ms, stalled)) {
            raft_become_follower(raft, now_ms, raft->term, RAFT_NO_NODE);
            return;
        }
    }
    if (now_ms >= raft->heartbeat_due_ms) {
        raft_broadcast_heartbeat(raft, now_ms);
    }
}

void raft_tick(struct raft *raft, uint64_t now_ms)
{
    bool stalled = raft_detect_stall(raft, now_ms);
    if (raft->role == RAFT_LEADER) {
        raft_tick_leader(raft, now_ms, stalled);
        return;
    }
    bool may_campaign = raft_is_voter(&raft->members, raft->config.node);
    if (!may_campaign || now_ms < raft->election_deadline_ms) {
        return;
    }
    if (stalled && raft->stall_grace_ms == 0) {
        /* Messages from the leader may be unread: postpone the campaign once. */
        raft->stall_grace_ms = now_ms;
        raft->election_deadline_ms = now_ms + raft->config.heartbeat_ms;
        return;
    }
    raft_campaign(raft, now_ms, true, false);
}

/* If true, vote requests are ignored, so that a replica returning from a partition cannot disrupt the group. */
static bool raft_leader_is_recent(const struct raft *raft, uint64_t now_ms)
{
    if (raft->role == RAFT_LEADER) {
        return true;
    }
    return raft->leader != RAFT_NO_NODE && now_ms < raft->last_leader_contact_ms + raft->config.election_timeout_ms;
}

static bool raft_is_vote_request(const RaftMessage *message)
{
    return message->type == RAFT_PRE_VOTE || message->type == RAFT_VOTE;
}

static bool raft_is_leader_message(const RaftMessage *message)
{
    return message->type == RAFT_APPEND || message->type == RAFT_SNAPSHOT;
}

/* Adopts a newer term, except that of pre-vote requests and granted pre-vote replies: no replica has entered it yet. */
static void raft_observe_term(struct raft *raft, uint64_t now_ms, uint32_t from, const RaftMessage *message)
{
    bool hypothetical = message->type == RAFT_PRE_VOTE || (message->type == RAFT_PRE_VOTE_REPLY && !message->reject);
    if (message->term <= raft->term || hypothetical) {
        return;
    }
    raft_become_follower(raft, now_ms, message->term, raft_is_leader_message(message) ? from : RAFT_NO_NODE);
}

/* Rejects a leader or candidate of an older term, so that it learns the newer one. */
static void raft_reject_stale(struct raft *raft, uint32_t from, const RaftMessage *message)
{
    if (!raft_is_leader_message(message) && !raft_is_vote_request(message)) {
        return;
    }
    RaftMessage reply = {0};
    reply.term = raft->term;
    reply.reject = true;
    switch (message->type) {
    case RAFT_PRE_VOTE: reply.type = RAFT_PRE_VOTE_REPLY; break;
    case RAFT_VOTE: reply.type = RAFT_VOTE_REPLY; break;
    default:
        reply.type = RAFT_APPEND_REPLY;
        reply.index = message->index;
        reply.hint = raft_last_index(raft);
        break;
    }
    raft->io.send(raft->io.context, raft->config.group, from, &reply, true);
}

void raft_receive(struct raft *raft, uint64_t now_ms, uint32_t from, const RaftMessage *message)
{
    /* A vote request has a context only if a leadership transfer forces the election. */
    bool forced = message->context != 0;
    if (raft_is_vote_request(message) && !forced && raft_leader_is_recent(raft, now_ms)) {
        return;
    }
    if (message->term < raft->term) {
        raft_reject_stale(raft, from, message);
        return;
    }
    raft_observe_term(raft, now_ms, from, message);
    switch (message->type) {
    case RAFT_PRE_VOTE:
    case RAFT_VOTE: raft_handle_vote(raft, now_ms, from, message); break;
    case RAFT_PRE_VOTE_REPLY:
    case RAFT_VOTE_REPLY: raft_handle_vote_reply(raft, now_ms, from, message); break;
    case RAFT_APPEND: raft_handle_append(raft, now_ms, from, message); break;
    case RAFT_APPEND_REPLY: raft_handle_append_reply(raft, now_ms, from, message); break;
    case RAFT_SNAPSHOT: raft_handle_snapshot(raft, now_ms, from, message); break;
    case RAFT_SNAPSHOT_REPLY: raft_handle_snapshot_reply(raft, now_ms, from, message); break;
    case RAFT_TIMEOUT_NOW:
        if (raft_is_voter(&raft->members, raft->config.node) && raft->role != RAFT_LEADER) {
            raft_campaign(raft, now_ms, false, true);
        }
        break;
    default: break;
    }
}

void raft_synced(struct raft *raft, uint64_t now_ms)
{
    raft->synced = raft_last_index(raft);
    if (raft->role != RAFT_LEADER) {
        return;
    }
    int position = raft_member_position(&raft->members, raft->config.node);
    if (position >= 0) {
        raft->progress[position].match = raft->synced;
    }
    raft_advance_commit(raft, now_ms);
}
