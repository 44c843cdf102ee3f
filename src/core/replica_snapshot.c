/*
 * Writes, loads, sends and receives snapshots as streams of records
 * (state_stream.h), so that no second copy of the state is held in memory.
 *
 * Texts that the state no longer needs stay in the history store until the
 * next snapshot is durable, since the stored one still refers to them.
 */
#include <stdlib.h>
#include <string.h>

#include "core/replica_internal.h"

enum {
    REPLICA_SNAPSHOT_READ_BYTES = 64 << 10, /* first block size when reading the stored snapshot */
    REPLICA_SNAPSHOT_PAUSE_MS = 500, /* delay after a snapshot that left a long log, because of unapplied entries */
    REPLICA_SNAPSHOT_RETRY_MS = 1000,
    REPLICA_RECEIVE_TIMEOUT_MS = 2000 /* without new bytes for this long, a snapshot being received may be replaced */
};

/* ---- History texts ---------------------------------------------------------- */

static void group_history_append(void *context, struct view text, struct history_ref *ref)
{
    const struct replica_group *state = context;
    state->history.append(state->history.context, text, ref);
}

static bool group_history_read(void *context, const struct history_ref *ref, struct buffer *out)
{
    const struct replica_group *state = context;
    return state->history.read(state->history.context, ref, out);
}

static void group_history_mark_used(void *context, const struct history_ref *ref)
{
    const struct replica_group *state = context;
    state->history.mark_used(state->history.context, ref);
}

static void group_history_release(void *context, const struct history_ref *ref)
{
    struct replica_group *state = context;
    buffer_append(&state->released, ref, sizeof(*ref));
}

struct history_io replica_group_history(struct replica_group *state)
{
    struct history_io none = {0};
    struct history_io deferred = {
        .context = state,
        .append = group_history_append,
        .read = group_history_read,
        .release = group_history_release,
        .mark_used = group_history_mark_used,
    };
    return state->history.append == NULL ? none : deferred;
}

static bool replica_is_receiving(const struct replica *replica)
{
    for (uint32_t group = 0; group < replica->config.groups; group++) {
        if (replica->groups[group].receiving) {
            return true;
        }
    }
    return false;
}

/* Call it after a snapshot became durable: nothing refers to the texts released before it any more. */
static void replica_release_texts(struct replica *replica, uint32_t group)
{
    struct replica_group *state = &replica->groups[group];
    struct history_ref ref;
    for (size_t offset = 0; offset < state->released.length; offset += sizeof(ref)) {
        memcpy(&ref, state->released.data + offset, sizeof(ref));
        state->history.release(state->history.context, &ref);
    }
    buffer_close(&state->released);
    /* Texts of a snapshot being received are marked as in use only once it is complete. */
    if (state->history.reclaim != NULL && !replica_is_receiving(replica)) {
        state->history.reclaim(state->history.context);
    }
}

/* ---- Writing ---------------------------------------------------------------- */

struct snapshot_writer {
    struct replica *replica;
    uint32_t group;
};

static bool replica_write_bytes(void *context, struct view bytes)
{
    const struct snapshot_writer *writer = context;
    const struct replica_io *io = &writer->replica->io;
    return io->snapshot_write(io->disk, writer->group, bytes);
}

static bool replica_write_snapshot(struct replica *replica, uint32_t group)
{
    struct replica_group *state = &replica->groups[group];
    struct snapshot_writer writer = {replica, group};
    state_sink_t sink = {.context = &writer, .put = replica_write_bytes};
    struct raft_snapshot snapshot = {
        .index = state->raft.applied,
        .term = raft_term_at(&state->raft, state->raft.applied),
        .members = *raft_applied_members(&state->raft),
    };
    if (!replica->io.snapshot_begin(replica->io.context, group, &snapshot)) {
        return false;
    }
    if (!state_machine_write(&state->machine, &sink)) {
        replica->io.snapshot_abort(replica->io.disk, group);
        return false;
    }
    return replica->io.snapshot_commit(replica->io.context, group, false);
}

/* Bytes of log that a group may keep in memory before a snapshot is due. */
static size_t replica_log_share(const struct replica *replica)
{
    size_t total = replica->config.snapshot_log_bytes == 0 ? REPLICA_LOG_BYTES : replica->config.snapshot_log_bytes;
    size_t share = total / replica->config.groups;
    return share < REPLICA_MIN_LOG_BYTES ? REPLICA_MIN_LOG_BYTES : share;
}

static uint64_t replica_trailing_entries(const struct replica *replica)
{
    return REPLICA_TRAILING_ENTRIES < replica->config.snapshot_entries ? REPLICA_TRAILING_ENTRIES : 0;
}

static bool replica_snapshot_is_due(const struct replica *replica, uint32_t group)
{
    const struct replica_group *state = &replica->groups[group];
    const struct raft *raft = &state->raft;
    if (replica->now_ms < state->snapshot_after_ms || raft->applied == raft->log.base_index) {
        return false;
    }
    uint64_t entries = raft->applied - raft->log.base_index;
    bool long_enough = entries >= replica->config.snapshot_entries + replica_trailing_entries(replica);
    return state->snapshot_is_legacy || long_enough || raft->log.bytes >= replica_log_share(replica);
}

size_t replica_turn_log_limit(const struct replica *replica)
{
    size_t max_bytes = replica->config.max_log_bytes;
    return max_bytes == 0 ? SIZE_MAX : (replica->config.snapshot_log_bytes + max_bytes) / 2;
}

/* Whether a due snapshot must wait because it would replace one that is being sent or received. So that no turn is
 * refused meanwhile, it does not wait once the log has grown halfway from its share to replica_turn_log_limit(), or to
 * 1.5 shares if that is not set or is below the share. */
static bool replica_snapshot_is_deferred(const struct replica *replica, uint32_t group)
{
    const struct replica_group *state = &replica->groups[group];
    size_t share = replica_log_share(replica);
    size_t turn_limit = replica_turn_log_limit(replica);
    size_t room = turn_limit == SIZE_MAX || turn_limit < share ? share : turn_limit - share;
    if (state->raft.log.bytes >= share + room / 2) {
        return false;
    }
    bool is_receiving = state->receiving && replica->now_ms < state->received_ms + REPLICA_RECEIVE_TIMEOUT_MS;
    return is_receiving || raft_is_sending_snapshot(&state->raft, replica->now_ms);
}

static void replica_stop_receiving(struct replica *replica, uint32_t group)
{
    struct replica_group *state = &replica->groups[group];
    if (state->receiving) {
        replica->io.snapshot_abort(replica->io.disk, group);
    }
    state->receiving = false;
    state_reader_close(&state->reader);
}

void replica_snapshot_if_due(struct replica *replica, uint32_t group)
{
    struct replica_group *state = &replica->groups[group];
    if (!replica_snapshot_is_due(replica, group) || replica_snapshot_is_deferred(replica, group)) {
        return;
    }
    replica_stop_receiving(replica, group);
    uint64_t compact_index =
        raft_compaction_index(&state->raft, replica_trailing_entries(replica), replica_log_share(replica) / 2);
    if (!replica_write_snapshot(replica, group)) {
        state->snapshot_after_ms = replica->now_ms + REPLICA_SNAPSHOT_RETRY_MS;
        return;
    }
    state->snapshot_is_legacy = false;
    replica->counters.snapshots++;
    raft_snapshot_saved(&state->raft, compact_index);
    bool shortened = state->raft.log.bytes < replica_log_share(replica);
    state->snapshot_after_ms = shortened ? 0 : replica->now_ms + REPLICA_SNAPSHOT_PAUSE_MS;
    replica_release_texts(replica, group);
}

/* ---- Loading ---------------------------------------------------------------- */

static bool replica_load_records(struct state_machine *machine, state_reader_t *reader)
{
    state_record_t record;
    bool loaded = true;
    while (loaded && state_reader_next(reader, &record)) {
        loaded = state_machine_read(machine, record.kind, record.payload);
    }
    return loaded;
}

/* The state machine must be empty. */
static bool replica_load(struct replica *replica, uint32_t group, uint64_t index)
{
    struct replica_group *state = &replica->groups[group];
    state_reader_t reader = {0};
    struct buffer block = {0};
    uint64_t offset = 0;
    bool loaded = true;
    do {
        buffer_clear(&block);
        loaded = replica->io.snapshot_read(replica->io.disk, group, index, offset, REPLICA_SNAPSHOT_READ_BYTES, &block);
        state_reader_feed(&reader, buffer_view(&block));
        loaded = loaded && replica_load_records(&state->machine, &reader);
        offset += block.length;
    } while (loaded && block.length > 0);
    state_reader_finish(&reader);
    loaded = loaded && replica_load_records(&state->machine, &reader) && state_reader_is_complete(&reader);
    state->snapshot_is_legacy = reader.legacy_format; /* a snapshot in the older format is not sent to followers */
    state_machine_read_end(&state->machine);
    state_reader_close(&reader);
    buffer_close(&block);
    return loaded;
}

bool replica_restore_snapshot(struct replica *replica, uint32_t group, const struct raft_snapshot *snapshot)
{
    if (!replica_load(replica, group, snapshot->index)) {
        return false;
    }
    raft_restore_snapshot(&replica->groups[group].raft, snapshot->index, snapshot->term, &snapshot->members);
    return true;
}

/* ---- Sending ---------------------------------------------------------------- */

static bool replica_append_bytes(void *context, struct view bytes)
{
    buffer_append(context, bytes.data, bytes.length);
    return true;
}

/* Converts complete records to their wire format until a chunk is full. Sets `consumed` to the converted bytes of the
 * stored snapshot. */
static bool replica_convert_records(const struct replica_group *state, state_reader_t *reader, size_t *consumed,
                                    struct buffer *out)
{
    state_sink_t sink = {.context = out, .put = replica_append_bytes};
    state_record_t record;
    size_t full = out->length + RAFT_SNAPSHOT_CHUNK_BYTES;
    bool converted = true;
    while (converted && out->length < full && state_reader_next(reader, &record)) {
        converted = state_record_to_wire(state->machine.group, &state->history, record.kind, record.payload, &sink);
        *consumed = reader->offset;
    }
    return converted;
}

bool replica_read_snapshot(void *context, uint32_t group, uint64_t index, uint64_t *offset, struct buffer *out)
{
    struct replica *replica = context;
    const struct replica_group *state = &replica->groups[group];
    state_sink_t sink = {.context = out, .put = replica_append_bytes};
    struct buffer block = {0};
    size_t size = REPLICA_SNAPSHOT_READ_BYTES;
    size_t consumed = 0;
    bool read = !state->snapshot_is_legacy && (*offset > 0 || state_stream_begin(&sink));
    /* Doubles the block until it contains a complete record. */
    while (read && consumed == 0) {
        state_reader_t reader = {.started = *offset > 0};
        buffer_clear(&block);
        read = replica->io.snapshot_read(replica->io.disk, group, index, *offset, size, &block);
        if (!read || block.length == 0) {
            break;
        }
        state_reader_feed(&reader, buffer_view(&block));
        read = replica_convert_records(state, &reader, &consumed, out) && (consumed > 0 || block.length == size);
        state_reader_close(&reader);
        size *= 2;
    }
    *offset += consumed;
    buffer_close(&block);
    return read;
}

/* ---- Receiving -------------------------------------------------------------- */

/* Writes the complete records received so far. */
static bool replica_receive_records(struct replica *replica, uint32_t group)
{
    struct replica_group *state = &replica->groups[group];
    struct snapshot_writer writer = {replica, group};
    state_sink_t sink = {.context = &writer, .put = replica_write_bytes};
    state_record_t record;
    bool accepted = true;
    while (accepted && state_reader_next(&state->reader, &record)) {
        accepted = state_record_from_wire(group, &state->history, record.kind, record.payload, &sink);
    }
    return accepted;
}

static bool replica_begin_receiving(struct replica *replica, uint32_t group, const struct raft_snapshot *snapshot)
{
    struct replica_group *state = &replica->groups[group];
    struct snapshot_writer writer = {replica, group};
    state_sink_t sink = {.context = &writer, .put = replica_write_bytes};
    replica_stop_receiving(replica, group);
    if (!replica->io.snapshot_begin(replica->io.context, group, snapshot)) {
        return false;
    }
    state->receiving = true;
    return state_stream_begin(&sink);
}

/* Replaces the state by the received snapshot, which must be durable. */
static bool replica_load_received(struct replica *replica, uint32_t group, const struct raft_snapshot *snapshot)
{
    struct replica_group *state = &replica->groups[group];
    struct history_io history = replica_group_history(state);
    ledger_clear(&state->machine.ledger);
    state_machine_close(&state->machine);
    state_machine_init(&state->machine, group, &history);
    replica_forget_digests(state);
    replica->counters.installs++;
    if (!replica_load(replica, group, snapshot->index)) {
        replica->failed = true; /* the next start loads it again, or reports the error */
        return false;
    }
    replica_release_texts(replica, group);
    return true;
}

bool replica_receive_snapshot(void *context, uint32_t group, const struct raft_snapshot *snapshot, struct view bytes,
                              bool first, bool last)
{
    struct replica *replica = context;
    struct replica_group *state = &replica->groups[group];
    if (first && !replica_begin_receiving(replica, group, snapshot)) {
        replica_stop_receiving(replica, group);
        return false;
    }
    state->received_ms = replica->now_ms;
    state_reader_feed(&state->reader, bytes);
    if (last) {
        state_reader_finish(&state->reader);
    }
    bool accepted = state->receiving && replica_receive_records(replica, group) &&
                    (!last || state_reader_is_complete(&state->reader));
    if (!accepted) {
        replica_stop_receiving(replica, group);
        return false;
    }
    if (!last) {
        return true;
    }
    state->receiving = false;
    state_reader_close(&state->reader);
    bool reset_log = !raft_log_matches_snapshot(&state->raft, snapshot);
    return replica->io.snapshot_commit(replica->io.context, group, reset_log) &&
           replica_load_received(replica, group, snapshot);
}
