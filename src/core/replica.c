/* Lifecycle of a state replica, callbacks of its consensus groups, and the sync that they share. */
#include "core/replica.h"

#include <stdlib.h>
#include <string.h>

#include "base/message.h"
#include "core/replica_internal.h"

/* ---- Waiters --------------------------------------------------------------- */

/* Makes room for another waiter: reuses the space of dropped waiters at the front, or grows the block. */
static void replica_waiters_reserve(struct replica_waiters *waiters)
{
    size_t dropped = waiters->block == NULL ? 0 : (size_t)(waiters->items - waiters->block);
    if (dropped + waiters->count < waiters->capacity) {
        return;
    }
    if (dropped > 0 && dropped >= waiters->count) {
        memmove(waiters->block, waiters->items, waiters->count * sizeof(*waiters->items));
        waiters->items = waiters->block;
        return;
    }
    waiters->capacity = waiters->capacity == 0 ? 16 : waiters->capacity * 2;
    waiters->block = memory_resize(waiters->block, waiters->capacity * sizeof(*waiters->block));
    waiters->items = waiters->block + dropped;
}

void replica_waiters_add(struct replica_waiters *waiters, const struct replica_waiter *waiter)
{
    replica_waiters_reserve(waiters);
    waiters->items[waiters->count++] = *waiter;
}

/* Drops waiters at the front, without moving the others, since it runs for each applied entry. */
static void replica_waiters_drop(struct replica_waiters *waiters, size_t count)
{
    if (count == 0) {
        return;
    }
    for (size_t i = 0; i < count; i++) {
        free(waiters->items[i].body);
    }
    waiters->items += count;
    waiters->count -= count;
    if (waiters->count == 0) {
        waiters->items = waiters->block;
    }
}

/* ---- Sending ----------------------------------------------------------------- */

void replica_send_frame(struct replica *replica, uint32_t to, const Frame *frame, bool after_sync)
{
    struct buffer encoded = {0};
    if (!message_encode(&encoded, Frame_fields, frame)) {
        buffer_close(&encoded);
        return;
    }
    bool deferred = after_sync && replica->dirty;
    if (deferred) {
        uint32_t header[2] = {to, (uint32_t)encoded.length};
        buffer_append(&replica->pending_frames, header, sizeof(header));
        buffer_append(&replica->pending_frames, encoded.data, encoded.length);
    } else if (!replica->failed) {
        replica->io.send(replica->io.context, to, buffer_view(&encoded));
    }
    buffer_close(&encoded);
}

void replica_reply(struct replica *replica, uint32_t group, const struct replica_waiter *waiter, ResultCode code,
                   struct view body)
{
    Frame frame = {0};
    frame.group = group;
    frame.which_payload = Frame_reply_tag;
    frame.payload.reply.id = waiter->request_id;
    frame.payload.reply.code = code;
    frame.payload.reply.body = body;
    frame.payload.reply.leader = replica->groups[group].raft.leader;
    replica_send_frame(replica, waiter->from, &frame, false);
}

static void replica_send_pending_frames(struct replica *replica)
{
    size_t position = 0;
    while (position < replica->pending_frames.length) {
        uint32_t header[2];
        memcpy(header, replica->pending_frames.data + position, sizeof(header));
        position += sizeof(header);
        replica->io.send(replica->io.context, header[0], view_of(replica->pending_frames.data + position, header[1]));
        position += header[1];
    }
    buffer_clear_and_trim(&replica->pending_frames, REPLICA_KEPT_BUFFER_BYTES);
}

/* ---- Callbacks of the consensus groups ----------------------------------------- */

static void replica_on_save_state(void *context, uint32_t group, uint64_t term, uint32_t vote)
{
    struct replica *replica = context;
    replica->dirty = true;
    replica->io.save_state(replica->io.disk, group, term, vote);
}

static void replica_on_append(void *context, uint32_t group, const struct raft_entry *entry)
{
    struct replica *replica = context;
    replica->dirty = true;
    replica->counters.written_entries++;
    replica->counters.written_bytes += entry->length;
    replica->io.append(replica->io.disk, group, entry);
}

static void replica_on_send(void *context, uint32_t group, uint32_t to, const RaftMessage *message, bool after_sync)
{
    struct replica *replica = context;
    Frame frame = {0};
    frame.group = group;
    frame.which_payload = Frame_raft_tag;
    frame.payload.raft = *message;
    replica_attach_digest(replica, group, &frame.payload.raft);
    replica_send_frame(replica, to, &frame, after_sync);
}

/* Answers the proposals that an applied entry decides: the one that created it, and earlier ones whose entries another
 * leader replaced. */
static void replica_answer_proposals(struct replica *replica, uint32_t group, const struct raft_entry *entry,
                                     struct view result)
{
    struct replica_waiters *waiters = &replica->groups[group].proposals;
    size_t done = 0;
    while (done < waiters->count && waiters->items[done].key <= entry->index) {
        const struct replica_waiter *waiter = &waiters->items[done];
        bool is_own = waiter->key == entry->index && waiter->term == entry->term;
        if (is_own && waiter->kind == REQUEST_FAILURE) {
            replica_answer_failure(replica, group, waiter, result);
        } else if (waiter->from != RAFT_NO_NODE) {
            replica_reply(replica, group, waiter, is_own ? RESULT_OK : RESULT_NOT_LEADER,
                          is_own ? result : view_of(NULL, 0));
        }
        done++;
    }
    if (done > 0) {
        replica_waiters_drop(waiters, done);
    }
}

static void replica_on_apply(void *context, uint32_t group, const struct raft_entry *entry)
{
    struct replica *replica = context;
    struct replica_group *state = &replica->groups[group];
    replica->counters.applied++;
    struct buffer result = {0};
    uint64_t revision = state->machine.config.revision;
    uint64_t period = replica_digest_period(state);
    if (entry->type == RAFT_ENTRY_COMMAND) {
        state_machine_apply(&state->machine, view_of(entry->data, entry->length), &result);
    }
    replica_record_digest(replica, group, entry->index, period);
    replica_answer_proposals(replica, group, entry, buffer_view(&result));
    buffer_close(&result);
    if (raft_is_leader(&state->raft)) {
        state->expire_pending = false;
    }
    if (group == STATE_CONFIG_GROUP && state->machine.config.revision != revision) {
        replica_announce_revision(replica);
    }
}

static void replica_on_read_ready(void *context, uint32_t group, uint64_t read_id, bool ok)
{
    struct replica *replica = context;
    struct replica_waiters *reads = &replica->groups[group].reads;
    for (size_t i = 0; i < reads->count; i++) {
        if (reads->items[i].key != read_id) {
            continue;
        }
        struct replica_waiter waiter = reads->items[i];
        memmove(&reads->items[i], &reads->items[i + 1], (reads->count - i - 1) * sizeof(*reads->items));
        reads->count--;
        if (ok) {
            replica_answer_read(replica, group, &waiter);
        } else {
            replica_reply(replica, group, &waiter, RESULT_NOT_LEADER, view_of(NULL, 0));
        }
        free(waiter.body);
        return;
    }
}

static void replica_on_role_changed(void *context, uint32_t group)
{
    struct replica *replica = context;
    struct replica_group *state = &replica->groups[group];
    replica->counters.role_changes++;
    if (raft_is_leader(&state->raft)) {
        state->expire_pending = false;
        memset(state->comparisons, 0, sizeof(state->comparisons));
        if (group == STATE_CONFIG_GROUP) {
            /* Join requests from an earlier leadership may contain node ids that are no longer in use. */
            memset(replica->joins, 0, sizeof(replica->joins));
            replica_renew_all_leases(replica);
        }
        return;
    }
    /* Only the next leader knows the outcome of these proposals; the senders retry there. */
    for (size_t i = 0; i < state->proposals.count; i++) {
        if (state->proposals.items[i].from != RAFT_NO_NODE) {
            replica_reply(replica, group, &state->proposals.items[i], RESULT_NOT_LEADER, view_of(NULL, 0));
        }
    }
    replica_waiters_drop(&state->proposals, state->proposals.count);
}

/* ---- Lifecycle ------------------------------------------------------------------ */

void replica_init(struct replica *replica, const struct replica_config *config, const struct replica_io *io,
                  const struct history_io *history)
{
    memset(replica, 0, sizeof(*replica));
    replica->config = *config;
    replica->io = *io;
    if (replica->config.snapshot_entries == 0) {
        replica->config.snapshot_entries = REPLICA_SNAPSHOT_ENTRIES;
    }
    replica->groups = memory_new(config->groups * sizeof(*replica->groups));
    struct raft_io raft_io = {
        .context = replica,
        .save_state = replica_on_save_state,
        .append = replica_on_append,
        .send = replica_on_send,
        .apply = replica_on_apply,
        .read_ready = replica_on_read_ready,
        .read_snapshot = replica_read_snapshot,
        .receive_snapshot = replica_receive_snapshot,
        .role_changed = replica_on_role_changed,
    };
    for (uint32_t group = 0; group < config->groups; group++) {
        struct raft_config raft_config = {
            .node = config->node,
            .group = group,
            .election_timeout_ms = config->election_timeout_ms,
            .heartbeat_ms = config->heartbeat_ms,
            .short_election_timeout_ms = config->short_election_timeout_ms,
            .seed = config->seed,
            .max_log_bytes = config->max_log_bytes,
        };
        struct replica_group *state = &replica->groups[group];
        state->history = *history;
        struct history_io group_history = replica_group_history(state);
        state_machine_init(&state->machine, group, &group_history);
        raft_init(&replica->groups[group].raft, &raft_config, &raft_io, &config->members);
    }
}

void replica_close(struct replica *replica)
{
    for (uint32_t group = 0; group < replica->config.groups; group++) {
        struct replica_group *state = &replica->groups[group];
        raft_close(&state->raft);
        state_machine_close(&state->machine);
        state_reader_close(&state->reader);
        buffer_close(&state->released);
        replica_waiters_drop(&state->proposals, state->proposals.count);
        replica_waiters_drop(&state->reads, state->reads.count);
        free(state->proposals.block);
        free(state->reads.block);
    }
    free(replica->groups);
    buffer_close(&replica->pending_frames);
}

void replica_start(struct replica *replica, uint64_t now_ms)
{
    replica->now_ms = now_ms;
    for (uint32_t group = 0; group < replica->config.groups; group++) {
        raft_start(&replica->groups[group].raft, now_ms);
    }
    replica_flush(replica, now_ms);
}

/* While the disk is blocked, votes and acknowledgements stay in `pending_frames`: they are sent only once durable. A
 * leader continues to commit through the disks of the other members. */
static bool replica_sync(struct replica *replica)
{
    if (replica->now_ms < replica->blocked_until_ms) {
        return false;
    }
    replica->dirty = false;
    replica->counters.syncs++;
    switch (replica->io.sync(replica->io.context)) {
    case REPLICA_SYNC_DONE: replica->blocked_until_ms = 0; return true;
    case REPLICA_SYNC_BLOCKED:
        replica->dirty = true;
        replica->blocked_until_ms = replica->now_ms + REPLICA_SYNC_RETRY_MS;
        return false;
    default: replica->failed = true; return false;
    }
}

/* Sends entries before the sync, so that the other members write them in parallel with the local disk. */
static void replica_send_entries(struct replica *replica)
{
    for (uint32_t group = 0; group < replica->config.groups; group++) {
        raft_flush(&replica->groups[group].raft, replica->now_ms);
    }
    if (replica->dirty && replica->io.flush_output != NULL) {
        replica->io.flush_output(replica->io.context);
    }
}

void replica_flush(struct replica *replica, uint64_t now_ms)
{
    replica->now_ms = now_ms;
    replica_send_entries(replica);
    while (replica->dirty && !replica->failed) {
        if (!replica_sync(replica)) {
            break;
        }
        replica_send_pending_frames(replica);
        for (uint32_t group = 0; group < replica->config.groups; group++) {
            raft_synced(&replica->groups[group].raft, now_ms);
        }
    }
    if (replica->failed) {
        buffer_clear(&replica->pending_frames);
        return;
    }
    for (uint32_t group = 0; group < replica->config.groups && !replica->dirty; group++) {
        replica_snapshot_if_due(replica, group);
    }
}

void replica_peer_disconnected(struct replica *replica, uint64_t now_ms, uint32_t node)
{
    replica->now_ms = now_ms;
    for (uint32_t group = 0; group < replica->config.groups; group++) {
        raft_peer_disconnected(&replica->groups[group].raft, now_ms, node);
    }
}

/* A leader with a blocked disk continues until its log in memory is full; then it transfers the leadership. */
static void replica_transfer_if_log_full(struct replica *replica, uint32_t group)
{
    struct raft *raft = &replica->groups[group].raft;
    bool blocked_and_full = replica->blocked_until_ms != 0 && raft_log_is_full(raft);
    if (!blocked_and_full || !raft_is_leader(raft) || raft->transfer_target != RAFT_NO_NODE) {
        return;
    }
    uint32_t successor = replica_best_successor(replica, raft);
    if (successor != RAFT_NO_NODE) {
        raft_transfer(raft, replica->now_ms, successor);
    }
}

void replica_tick(struct replica *replica, uint64_t now_ms)
{
    replica->now_ms = now_ms;
    if (replica->failed) {
        return;
    }
    for (uint32_t group = 0; group < replica->config.groups; group++) {
        raft_tick(&replica->groups[group].raft, now_ms);
        replica_transfer_if_log_full(replica, group);
    }
    replica_maintain(replica);
}

uint32_t replica_best_successor(const struct replica *replica, const struct raft *raft)
{
    uint32_t best = RAFT_NO_NODE;
    uint64_t match = 0;
    for (uint32_t i = 0; i < raft->members.count; i++) {
        const struct raft_progress *progress = &raft->progress[i];
        bool candidate = raft_is_lasting_voter(&raft->members, progress->node) &&
                         progress->node != replica->config.node && raft_member_is_active(raft, i, replica->now_ms);
        if (candidate && (best == RAFT_NO_NODE || progress->match > match)) {
            best = progress->node;
            match = progress->match;
        }
    }
    return best;
}

bool replica_transfer_all(struct replica *replica, uint64_t now_ms)
{
    bool has_successor = false;
    replica->now_ms = now_ms;
    for (uint32_t group = 0; group < replica->config.groups; group++) {
        struct raft *raft = &replica->groups[group].raft;
        uint32_t successor = raft_is_leader(raft) ? replica_best_successor(replica, raft) : RAFT_NO_NODE;
        if (successor == RAFT_NO_NODE) {
            continue;
        }
        has_successor = true;
        if (raft->transfer_target == RAFT_NO_NODE) {
            raft_transfer(raft, now_ms, successor);
        }
    }
    return has_successor;
}
