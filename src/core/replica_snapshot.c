/*
 * Snapshots of a replica: written from its state, read back, sent, received.
 * All of them are streams of records (state_stream.h); nothing here holds a
 * state twice.
 *
 * Texts that the state no longer needs stay in the history store until the
 * next snapshot is durable: the stored snapshot, which a restart loads and
 * which goes to followers, still names them.
 */
#include <stdlib.h>
#include <string.h>

#include "core/replica_internal.h"

enum {
    REPLICA_SNAPSHOT_BLOCK = 64 << 10, /* bytes read from the stored snapshot at a time */
    REPLICA_SNAPSHOT_PAUSE_MS = 500,   /* pause after a snapshot that could not shorten the log: not applied yet */
    REPLICA_SNAPSHOT_RETRY_MS = 1000,  /* pause before a snapshot that failed is tried again */
    REPLICA_RECEIVE_GIVEN_UP_MS = 2000 /* a snapshot whose sender is silent for that long is given up */
};

/* ---- Texts ------------------------------------------------------------------ */

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

static void group_history_keep(void *context, const struct history_ref *ref)
{
    const struct replica_group *state = context;
    state->history.keep(state->history.context, ref);
}

static void group_history_drop(void *context, const struct history_ref *ref)
{
    struct replica_group *state = context;
    buffer_append(&state->dropped, ref, sizeof(*ref));
}

struct history_io replica_group_history(struct replica_group *state)
{
    struct history_io none = {0};
    struct history_io deferred = {
        .context = state,
        .append = group_history_append,
        .read = group_history_read,
        .drop = group_history_drop,
        .keep = group_history_keep,
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

/* After a snapshot became durable: nothing names the texts dropped before it. */
static void replica_release_texts(struct replica *replica, uint32_t group)
{
    struct replica_group *state = &replica->groups[group];
    struct history_ref ref;
    for (size_t at = 0; at < state->dropped.length; at += sizeof(ref)) {
        memcpy(&ref, state->dropped.data + at, sizeof(ref));
        state->history.drop(state->history.context, &ref);
    }
    buffer_close(&state->dropped);
    /* Texts of a snapshot that is being received count as in use only once it is whole. */
    if (state->history.sweep != NULL && !replica_is_receiving(replica)) {
        state->history.sweep(state->history.context);
    }
}

/* ---- Writing ---------------------------------------------------------------- */

/* Where a group's stream goes. */
struct replica_writer {
    struct replica *replica;
    uint32_t group;
};

static bool replica_put(void *context, struct view bytes)
{
    const struct replica_writer *writer = context;
    const struct replica_io *io = &writer->replica->io;
    return io->snapshot_write(io->disk, writer->group, bytes);
}

static bool replica_write_snapshot(struct replica *replica, uint32_t group)
{
    struct replica_group *state = &replica->groups[group];
    struct replica_writer writer = {replica, group};
    state_sink_t sink = {.context = &writer, .put = replica_put};
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

/* Log bytes that a group may keep in memory before a snapshot is due. */
static size_t replica_log_share(const struct replica *replica)
{
    size_t all = replica->config.log_bytes == 0 ? REPLICA_LOG_BYTES : replica->config.log_bytes;
    size_t share = all / replica->config.groups;
    return share < REPLICA_LOG_BYTES_LEAST ? REPLICA_LOG_BYTES_LEAST : share;
}

static uint64_t replica_trailing(const struct replica *replica)
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
    uint64_t fresh = raft->applied - raft->log.base_index;
    bool long_enough = fresh >= replica->config.snapshot_entries + replica_trailing(replica);
    return state->rewrite || long_enough || raft->log.bytes >= replica_log_share(replica);
}

size_t replica_log_begin_most(const struct replica *replica)
{
    size_t most = replica->config.log_bytes_most;
    return most == 0 ? SIZE_MAX : (replica->config.log_bytes + most) / 2;
}

/* A new snapshot takes the place of one that is being sent or received: it waits a while, and not so long that
 * turns would be refused for it. */
static bool replica_snapshot_waits(const struct replica *replica, uint32_t group)
{
    const struct replica_group *state = &replica->groups[group];
    size_t share = replica_log_share(replica);
    size_t begin_most = replica_log_begin_most(replica);
    size_t room = begin_most == SIZE_MAX || begin_most < share ? share : begin_most - share;
    if (state->raft.log.bytes >= share + room / 2) {
        return false;
    }
    bool received_lately = state->receiving && replica->now_ms < state->received_ms + REPLICA_RECEIVE_GIVEN_UP_MS;
    return received_lately || raft_is_sending_snapshot(&state->raft, replica->now_ms);
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
    if (!replica_snapshot_is_due(replica, group) || replica_snapshot_waits(replica, group)) {
        return;
    }
    replica_stop_receiving(replica, group);
    uint64_t keep_after = raft_tail_start(&state->raft, replica_trailing(replica), replica_log_share(replica) / 2);
    if (!replica_write_snapshot(replica, group)) {
        state->snapshot_after_ms = replica->now_ms + REPLICA_SNAPSHOT_RETRY_MS;
        return;
    }
    state->rewrite = false;
    replica->counters.snapshots++;
    raft_snapshot_saved(&state->raft, keep_after);
    bool shortened = state->raft.log.bytes < replica_log_share(replica);
    state->snapshot_after_ms = shortened ? 0 : replica->now_ms + REPLICA_SNAPSHOT_PAUSE_MS;
    replica_release_texts(replica, group);
}

/* ---- Reading back ----------------------------------------------------------- */

/* Loads the records that are whole. */
static bool replica_load_records(struct state_machine *machine, state_reader_t *reader)
{
    state_record_t record;
    bool loaded = true;
    while (loaded && state_reader_next(reader, &record)) {
        loaded = state_machine_read(machine, record.kind, record.payload);
    }
    return loaded;
}

/* Loads the stored snapshot into an empty machine. */
static bool replica_load(struct replica *replica, uint32_t group, uint64_t index)
{
    struct replica_group *state = &replica->groups[group];
    state_reader_t reader = {0};
    struct buffer block = {0};
    uint64_t at = 0;
    bool loaded = true;
    do {
        buffer_clear(&block);
        loaded = replica->io.snapshot_read(replica->io.disk, group, index, at, REPLICA_SNAPSHOT_BLOCK, &block);
        state_reader_feed(&reader, buffer_view(&block));
        loaded = loaded && replica_load_records(&state->machine, &reader);
        at += block.length;
    } while (loaded && block.length > 0);
    state_reader_finish(&reader);
    loaded = loaded && replica_load_records(&state->machine, &reader) && state_reader_is_whole(&reader);
    state->rewrite = reader.older; /* only the newer form is sent */
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

/* Converts whole records until a chunk is full; tells how many bytes of the stored snapshot they took. */
static bool replica_send_records(const struct replica_group *state, state_reader_t *reader, size_t *taken,
                                 struct buffer *out)
{
    state_sink_t sink = {.context = out, .put = replica_append_bytes};
    state_record_t record;
    size_t full = out->length + RAFT_SNAPSHOT_CHUNK;
    bool sent = true;
    while (sent && out->length < full && state_reader_next(reader, &record)) {
        sent = state_record_to_wire(state->machine.group, &state->history, record.kind, record.payload, &sink);
        *taken = reader->at;
    }
    return sent;
}

bool replica_read_snapshot(void *context, uint32_t group, uint64_t index, uint64_t *at, struct buffer *out)
{
    struct replica *replica = context;
    const struct replica_group *state = &replica->groups[group];
    state_sink_t sink = {.context = out, .put = replica_append_bytes};
    struct buffer block = {0};
    size_t size = REPLICA_SNAPSHOT_BLOCK;
    size_t taken = 0;
    bool read = !state->rewrite && (*at > 0 || state_stream_begin(&sink));
    /* Up to a first whole record, however long it is. */
    while (read && taken == 0) {
        state_reader_t reader = {.begun = *at > 0};
        buffer_clear(&block);
        read = replica->io.snapshot_read(replica->io.disk, group, index, *at, size, &block);
        if (!read || block.length == 0) {
            break;
        }
        state_reader_feed(&reader, buffer_view(&block));
        read = replica_send_records(state, &reader, &taken, out) && (taken > 0 || block.length == size);
        state_reader_close(&reader);
        size *= 2;
    }
    *at += taken;
    buffer_close(&block);
    return read;
}

/* ---- Receiving -------------------------------------------------------------- */

/* Puts the records that are whole into the snapshot that is being written. */
static bool replica_receive_records(struct replica *replica, uint32_t group)
{
    struct replica_group *state = &replica->groups[group];
    struct replica_writer writer = {replica, group};
    state_sink_t sink = {.context = &writer, .put = replica_put};
    state_record_t record;
    bool taken = true;
    while (taken && state_reader_next(&state->reader, &record)) {
        taken = state_record_from_wire(group, &state->history, record.kind, record.payload, &sink);
    }
    return taken;
}

static bool replica_begin_receiving(struct replica *replica, uint32_t group, const struct raft_snapshot *snapshot)
{
    struct replica_group *state = &replica->groups[group];
    struct replica_writer writer = {replica, group};
    state_sink_t sink = {.context = &writer, .put = replica_put};
    replica_stop_receiving(replica, group);
    if (!replica->io.snapshot_begin(replica->io.context, group, snapshot)) {
        return false;
    }
    state->receiving = true;
    return state_stream_begin(&sink);
}

/* The received snapshot is durable: the state is loaded from it. */
static bool replica_adopt(struct replica *replica, uint32_t group, const struct raft_snapshot *snapshot)
{
    struct replica_group *state = &replica->groups[group];
    struct history_io history = replica_group_history(state);
    ledger_clear(&state->machine.ledger);
    state_machine_close(&state->machine);
    state_machine_init(&state->machine, group, &history);
    replica->counters.installs++;
    if (!replica_load(replica, group, snapshot->index)) {
        replica->failed = true; /* a start reads it again, or tells what is wrong with it */
        return false;
    }
    replica_release_texts(replica, group);
    return true;
}

bool replica_take_snapshot(void *context, uint32_t group, const struct raft_snapshot *snapshot, struct view bytes,
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
    bool taken =
        state->receiving && replica_receive_records(replica, group) && (!last || state_reader_is_whole(&state->reader));
    if (!taken) {
        replica_stop_receiving(replica, group);
        return false;
    }
    if (!last) {
        return true;
    }
    state->receiving = false;
    state_reader_close(&state->reader);
    bool reset_log = !raft_holds(&state->raft, snapshot);
    return replica->io.snapshot_commit(replica->io.context, group, reset_log) &&
           replica_adopt(replica, group, snapshot);
}
