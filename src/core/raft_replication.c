/* Replication: append, commit and linearizable reads. */
#include "core/raft_internal.h"

#include <stdlib.h>
#include <string.h>

enum { RAFT_MAX_BATCH_ENTRIES = 256, RAFT_READS_MIN_CAPACITY = 64 };

/* ---- Leader: sending ---------------------------------------------------- */

static size_t raft_fill_batch(const struct raft *raft, uint64_t from, RaftEntry *batch)
{
    size_t count = 0;
    size_t bytes = 0;
    for (uint64_t index = from; index <= raft_last_index(raft) && count < RAFT_MAX_BATCH_ENTRIES; index++) {
        const struct raft_entry *entry = raft_log_get(&raft->log, index);
        if (count > 0 && bytes + entry->length > RAFT_MAX_BATCH_BYTES) {
            break;
        }
        batch[count].index = entry->index;
        batch[count].term = entry->term;
        batch[count].type = entry->type;
        batch[count].data = view_of(entry->data, entry->length);
        bytes += entry->length;
        count++;
    }
    return count;
}

/* Sends the entries or the snapshot that a member lacks; with `heartbeat`, sends an append message even if empty. */
void raft_send_append(struct raft *raft, uint64_t now_ms, struct raft_progress *progress, bool heartbeat)
{
    if (progress->snapshot_active) {
        raft_retry_snapshot_chunk(raft, now_ms, progress);
        if (!heartbeat) {
            return;
        }
    } else if (progress->next <= raft->log.base_index) {
        raft_begin_snapshot(raft, now_ms, progress);
        if (!heartbeat) {
            return;
        }
    }
    bool window_open = !progress->probing && progress->next - progress->match <= RAFT_MAX_INFLIGHT_ENTRIES &&
                       progress->inflight_bytes < RAFT_MAX_INFLIGHT_BYTES;
    bool may_send_entries = !progress->snapshot_active && (window_open || (progress->probing && heartbeat));
    RaftEntry batch[RAFT_MAX_BATCH_ENTRIES];
    memset(batch, 0, sizeof(batch));
    size_t count = may_send_entries ? raft_fill_batch(raft, progress->next, batch) : 0;
    if (count == 0 && !heartbeat) {
        return;
    }
    /* During a snapshot transfer, a heartbeat only asserts leadership, without entries or commit index. */
    uint64_t previous = progress->snapshot_active ? 0 : progress->next - 1;
    RaftMessage message = {0};
    message.type = RAFT_APPEND;
    message.term = raft->term;
    message.index = previous;
    message.log_term = raft_term_at(raft, previous);
    message.commit = progress->snapshot_active ? 0 : raft->commit;
    message.context = raft->round;
    message.entries = batch;
    message.entries_count = (pb_size_t)count;
    raft->io.send(raft->io.context, raft->config.group, progress->node, &message, false);
    for (size_t i = 0; i < count && !progress->probing; i++) {
        progress->next++;
        progress->inflight_bytes += batch[i].data.length;
    }
}

void raft_replicate_all(struct raft *raft, uint64_t now_ms)
{
    for (uint32_t i = 0; i < raft->members.count; i++) {
        if (raft->progress[i].node != raft->config.node) {
            raft_send_append(raft, now_ms, &raft->progress[i], false);
        }
    }
}

void raft_broadcast_heartbeat(struct raft *raft, uint64_t now_ms)
{
    raft->round++;
    raft->round_due = false;
    raft->heartbeat_due_ms = now_ms + raft->config.heartbeat_ms;
    for (uint32_t i = 0; i < raft->members.count; i++) {
        if (raft->progress[i].node != raft->config.node) {
            raft_send_append(raft, now_ms, &raft->progress[i], true);
        }
    }
}

bool raft_member_is_active(const struct raft *raft, uint32_t position, uint64_t now_ms)
{
    return now_ms <= raft->progress[position].last_contact_ms + raft->config.election_timeout_ms;
}

bool raft_has_caught_up(const struct raft *raft, uint32_t node, uint64_t now_ms)
{
    for (uint32_t i = 0; i < raft->members.count; i++) {
        const struct raft_progress *progress = &raft->progress[i];
        if (progress->node == node) {
            return raft_member_is_active(raft, i, now_ms) &&
                   progress->match + RAFT_MAX_INFLIGHT_ENTRIES > raft_last_index(raft);
        }
    }
    return false;
}

bool raft_quorum_active_since(const struct raft *raft, uint64_t since_ms)
{
    bool heard[RAFT_MAX_MEMBERS];
    for (uint32_t i = 0; i < raft->members.count; i++) {
        const struct raft_progress *progress = &raft->progress[i];
        heard[i] = progress->node == raft->config.node || progress->last_contact_ms >= since_ms;
    }
    return raft_is_quorum(&raft->members, heard);
}

bool raft_quorum_is_active(const struct raft *raft, uint64_t now_ms)
{
    uint64_t timeout_ms = raft->config.election_timeout_ms;
    return raft_quorum_active_since(raft, now_ms > timeout_ms ? now_ms - timeout_ms : 0);
}

/* Until this holds, a leader's commit index may not cover everything that earlier leaders committed. */
static bool raft_commit_is_in_term(const struct raft *raft, uint64_t commit)
{
    return commit > 0 && raft_term_at(raft, commit) == raft->term;
}

bool raft_is_fresh(const struct raft *raft, uint64_t now_ms)
{
    if (raft->role == RAFT_LEADER) {
        return raft_commit_is_in_term(raft, raft->commit) && raft_quorum_is_active(raft, now_ms);
    }
    bool recent = raft->caught_up_ms != 0 && now_ms < raft->caught_up_ms + raft->config.election_timeout_ms;
    return recent && raft->leader != RAFT_NO_NODE;
}

/* ---- Leader: commit and reads ------------------------------------------- */

static int raft_compare_descending(const void *a, const void *b)
{
    uint64_t left = *(const uint64_t *)a;
    uint64_t right = *(const uint64_t *)b;
    return left < right ? 1 : left > right ? -1 : 0;
}

/* Highest value that a quorum of a set of voters has reached. */
static uint64_t raft_set_quorum_value(const struct raft *raft, raft_voter_set_t set,
                                      uint64_t (*value)(const struct raft *, uint32_t))
{
    uint64_t values[RAFT_MAX_MEMBERS];
    uint32_t voters = 0;
    for (uint32_t i = 0; i < raft->members.count; i++) {
        if (raft_votes_in(&raft->members, i, set)) {
            values[voters++] = value(raft, i);
        }
    }
    if (voters == 0) {
        return 0;
    }
    qsort(values, voters, sizeof(values[0]), raft_compare_descending);
    return values[voters / 2];
}

static uint64_t raft_quorum_value(const struct raft *raft, uint64_t (*value)(const struct raft *, uint32_t))
{
    uint64_t before = raft_set_quorum_value(raft, RAFT_VOTERS_BEFORE, value);
    uint64_t after = raft_set_quorum_value(raft, RAFT_VOTERS_AFTER, value);
    return before < after ? before : after;
}

static uint64_t raft_match_of(const struct raft *raft, uint32_t position)
{
    return raft->progress[position].match;
}

static uint64_t raft_round_of(const struct raft *raft, uint32_t position)
{
    bool self = raft->members.nodes[position] == raft->config.node;
    return self ? raft->round : raft->progress[position].acked_round;
}

void raft_release_reads(struct raft *raft)
{
    uint64_t confirmed = raft_quorum_value(raft, raft_round_of);
    size_t kept = 0;
    for (size_t i = 0; i < raft->read_count; i++) {
        struct raft_pending_read read = raft->reads[i];
        if (read.round <= confirmed && read.index <= raft->applied) {
            raft->io.read_ready(raft->io.context, raft->config.group, read.id, true);
        } else {
            raft->reads[kept++] = read;
        }
    }
    raft->read_count = kept;
}

void raft_fail_reads(struct raft *raft)
{
    for (size_t i = 0; i < raft->read_count; i++) {
        raft->io.read_ready(raft->io.context, raft->config.group, raft->reads[i].id, false);
    }
    raft->read_count = 0;
}

bool raft_read(struct raft *raft, uint64_t read_id)
{
    bool may_read = raft->role == RAFT_LEADER && raft_commit_is_in_term(raft, raft->commit);
    if (!may_read) {
        return false;
    }
    if (raft->read_count == raft->read_capacity) {
        raft->read_capacity = 2 * raft->read_capacity + RAFT_READS_MIN_CAPACITY;
        raft->reads = memory_resize(raft->reads, raft->read_capacity * sizeof(*raft->reads));
    }
    raft->round_due = true;
    struct raft_pending_read read = {.id = read_id, .round = raft->round + 1, .index = raft->commit};
    raft->reads[raft->read_count++] = read;
    return true;
}

void raft_apply_committed(struct raft *raft)
{
    while (raft->applied < raft->commit) {
        const struct raft_entry *entry = raft_log_get(&raft->log, raft->applied + 1);
        raft->applied++;
        raft->io.apply(raft->io.context, raft->config.group, entry);
    }
    if (raft->role == RAFT_LEADER) {
        raft_release_reads(raft);
    }
}

/* A leader that is no longer a voter steps down once its removal is committed. */
static void raft_step_down_if_removed(struct raft *raft, uint64_t now_ms)
{
    bool committed = raft->members_index <= raft->commit;
    if (raft->role == RAFT_LEADER && committed && !raft_is_voter(&raft->members, raft->config.node)) {
        raft_become_follower(raft, now_ms, raft->term, RAFT_NO_NODE);
    }
}

void raft_advance_commit(struct raft *raft, uint64_t now_ms)
{
    uint64_t replicated = raft_quorum_value(raft, raft_match_of);
    /* Only entries of the leader's own term are committed by counting replicas. */
    if (replicated <= raft->commit || raft_term_at(raft, replicated) != raft->term) {
        return;
    }
    raft->commit = replicated;
    raft_apply_committed(raft);
    raft_step_down_if_removed(raft, now_ms);
}

static void raft_continue_transfer(struct raft *raft, const struct raft_progress *progress)
{
    bool caught_up = raft->transfer_target == progress->node && progress->match == raft_last_index(raft);
    if (!caught_up) {
        return;
    }
    RaftMessage message = {0};
    message.type = RAFT_TIMEOUT_NOW;
    message.term = raft->term;
    raft->io.send(raft->io.context, raft->config.group, progress->node, &message, false);
}

struct raft_progress *raft_progress_of(struct raft *raft, uint32_t node)
{
    int position = raft_member_position(&raft->members, node);
    return raft->role == RAFT_LEADER && position >= 0 ? &raft->progress[position] : NULL;
}

/* Records that entries up to `index` are durable at a member. */
static void raft_advance_match(const struct raft *raft, struct raft_progress *progress, uint64_t index)
{
    for (uint64_t i = progress->match + 1; i <= index && progress->inflight_bytes > 0; i++) {
        const struct raft_entry *entry = raft_log_get(&raft->log, i);
        size_t length = entry == NULL ? 0 : entry->length;
        progress->inflight_bytes -= length < progress->inflight_bytes ? length : progress->inflight_bytes;
    }
    progress->match = index > progress->match ? index : progress->match;
    if (progress->next <= progress->match + 1) {
        progress->next = progress->match + 1;
        progress->inflight_bytes = 0;
    }
}

/* Last entry that the follower's log may share. The follower has an entry of `term` at `hint`, and none of a later term
 * before it, so each rejection skips at least one term of either log. `term` 0: unknown. */
static uint64_t raft_last_possible_match(const struct raft *raft, uint64_t hint, uint64_t term)
{
    uint64_t last = raft_last_index(raft);
    uint64_t index = hint < last ? hint : last;
    while (term != 0 && index > 0 && raft_term_at(raft, index) > term) {
        index--;
    }
    return index;
}

void raft_handle_append_reply(struct raft *raft, uint64_t now_ms, uint32_t from, const RaftMessage *message)
{
    struct raft_progress *progress = raft_progress_of(raft, from);
    if (progress == NULL) {
        return;
    }
    progress->last_contact_ms = now_ms;
    if (progress->first_contact_ms == 0) {
        progress->first_contact_ms = now_ms;
        progress->first_round = raft->round;
    }
    if (message->context > progress->acked_round) {
        progress->acked_round = message->context;
        raft_release_reads(raft);
    }
    if (progress->snapshot_active) {
        return;
    }
    if (message->reject) {
        /* Outdated reply: the rejected index was acknowledged since. */
        if (message->index <= progress->match) {
            return;
        }
        uint64_t next = raft_last_possible_match(raft, message->hint, message->log_term) + 1;
        progress->next = next > progress->match ? next : progress->match + 1;
        progress->probing = true;
        progress->inflight_bytes = 0;
        raft_send_append(raft, now_ms, progress, true);
        return;
    }
    if (message->index > raft_last_index(raft)) {
        return;
    }
    raft_advance_match(raft, progress, message->index);
    progress->probing = false;
    raft_advance_commit(raft, now_ms);
    if (raft->role != RAFT_LEADER) {
        return;
    }
    raft->send_due = true;
    raft_continue_transfer(raft, progress);
}

/* ---- Follower ------------------------------------------------------------ */

void raft_follow(struct raft *raft, uint64_t now_ms, uint32_t leader)
{
    if (raft->role != RAFT_FOLLOWER || raft->leader != leader) {
        raft_become_follower(raft, now_ms, raft->term, leader);
    }
    raft->last_leader_contact_ms = now_ms;
    raft_reset_election_timer(raft, now_ms);
}

/* Last entry that the leader's log may share: before the rejected index, and of no later term than the leader's entry
 * there. Committed entries are always shared. */
static uint64_t raft_conflict_hint(const struct raft *raft, const RaftMessage *message)
{
    uint64_t last = raft_last_index(raft);
    uint64_t below = message->index > 0 ? message->index - 1 : 0;
    uint64_t index = below < last ? below : last;
    while (index > raft->commit && raft_term_at(raft, index) > message->log_term) {
        index--;
    }
    return index;
}

/* Returns the index up to which the log now matches the message; a full log refuses the rest. */
static uint64_t raft_store_entries(struct raft *raft, const RaftMessage *message)
{
    for (pb_size_t i = 0; i < message->entries_count; i++) {
        const RaftEntry *wire = &message->entries[i];
        if (wire->index <= raft->commit) {
            continue;
        }
        if (raft_log_is_full(raft)) {
            return message->index + i;
        }
        if (wire->index <= raft_last_index(raft)) {
            if (raft_term_at(raft, wire->index) == wire->term) {
                continue;
            }
            raft_truncate(raft, wire->index);
        }
        struct raft_entry entry = {
            .index = wire->index,
            .term = wire->term,
            .type = (enum raft_entry_type)wire->type,
            .data = (uint8_t *)(uintptr_t)wire->data.data,
            .length = wire->data.length,
        };
        raft_append_in_memory(raft, &entry);
        raft->io.append(raft->io.context, raft->config.group, &entry);
    }
    return message->index + message->entries_count;
}

static bool raft_entries_are_contiguous(const RaftMessage *message)
{
    for (pb_size_t i = 0; i < message->entries_count; i++) {
        if (message->entries[i].index != message->index + 1 + i) {
            return false;
        }
    }
    return true;
}

void raft_handle_append(struct raft *raft, uint64_t now_ms, uint32_t from, const RaftMessage *message)
{
    raft_follow(raft, now_ms, from);
    RaftMessage reply = {0};
    reply.type = RAFT_APPEND_REPLY;
    reply.term = raft->term;
    reply.context = message->context;
    bool matches = message->index < raft->log.base_index ||
                   (message->index <= raft_last_index(raft) && raft_term_at(raft, message->index) == message->log_term);
    if (!matches || !raft_entries_are_contiguous(message)) {
        reply.reject = true;
        reply.index = message->index;
        reply.hint = raft_conflict_hint(raft, message);
        reply.log_term = raft_term_at(raft, reply.hint);
        raft->io.send(raft->io.context, raft->config.group, from, &reply, true);
        return;
    }
    uint64_t matched = raft_store_entries(raft, message);
    if (matched < raft->log.base_index) {
        matched = raft->log.base_index;
    }
    uint64_t commit = message->commit < matched ? message->commit : matched;
    if (commit > raft->commit) {
        raft->commit = commit;
        raft_apply_committed(raft);
    }
    if (raft_commit_is_in_term(raft, message->commit) && raft->applied >= message->commit) {
        raft->caught_up_ms = now_ms;
    }
    reply.index = matched;
    raft->io.send(raft->io.context, raft->config.group, from, &reply, true);
}
