/**
 * @file log_store.h
 * Durable log of a state replica: the entries, terms and votes of all groups
 * in one sequence of segment files, so that one sync covers all groups; and one
 * snapshot file per group (snapshot_file.h).
 *
 * Record: u32 magic, u32 payload length, u64 XXH64 of all that follows, then
 * u32 kind, u32 group, u64 index, u64 term, u32 entry type or vote, u32 offset
 * of its write plus one, payload. Integers are in host byte order: the files
 * stay on their machine.
 *
 * A snapshot from the leader may end at an index where the local log has a
 * different entry, or none. A reset record is then written before it: once a
 * snapshot covers the index of that record, entries after the snapshot that
 * were written before the record are void.
 *
 * Recovery: an invalid record in the last write is treated as torn, hence never
 * acknowledged, and the segment is truncated there. (Later corruption of the
 * last write cannot be distinguished from a torn write.) An invalid record before
 * a later write means that acknowledged data is corrupt: opening fails and reports
 * file and offset. All replayed data is synced before it is relied on, since the
 * previous process may not have synced it.
 */
#ifndef BANKBANK_STORE_LOG_STORE_H
#define BANKBANK_STORE_LOG_STORE_H

#include "base/buffer.h"
#include "core/raft.h"
#include "store/snapshot_file.h"

enum {
    LOG_STORE_SEGMENT_BYTES = 4 << 20 /**< Size at which a new segment starts; replay loads one segment at a time. */
};

/** Called for the stored data by log_store_open(). */
struct log_restore_callbacks {
    void *context; /**< Passed to all callbacks. */
    /** A group's snapshot, readable with log_store_snapshot_read(); precedes the group's entries. False: the state
       cannot be decoded. */
    bool (*snapshot)(void *context, uint32_t group, const struct raft_snapshot *snapshot);
    /** Term and vote, in write order. */
    void (*state)(void *context, uint32_t group, uint64_t term, uint32_t vote);
    /** Called in write order; earlier entries with the same or a higher index are void. False: entries before it are
     * missing. */
    bool (*entry)(void *context, uint32_t group, const struct raft_entry *entry);
    /** Earlier entries after the snapshot are void. */
    void (*reset)(void *context, uint32_t group);
};

struct log_store_group {
    uint64_t term;              /**< As last written. */
    uint32_t vote;              /**< As last written. */
    bool state_in_last_segment; /**< The last segment contains `term` and `vote`. */
    uint64_t snapshot_index;    /**< Last entry that the stored snapshot covers; 0: none. */
    snapshot_file_t stored;
    snapshot_writer_t writer;
};

struct log_segment {
    uint64_t number;      /**< Part of the file name. */
    uint64_t *last_index; /**< Highest index of an entry or reset, by group; 0: none. */
};

struct log_store {
    char *directory;
    uint32_t group_count;
    struct log_store_group *groups; /**< By group id. */
    struct log_segment *segments;   /**< Oldest first; the last one is appended to. */
    size_t segment_count;
    int fd;                /**< The last segment; -1: none is open. */
    uint64_t file_bytes;   /**< Size of the last segment. */
    struct buffer pending; /**< Records to be written by the next sync. */
    bool failed; /**< Later syncs fail. A full disk is fatal only if fdatasync(), ftruncate() or a new segment fails. */
    char error[512];
};

/** Opens or creates the store and passes its content to `restore`. All of it is durable when the call returns true.
 * False: see `error`. */
bool log_store_open(struct log_store *store, const char *directory, uint32_t groups,
                    const struct log_restore_callbacks *restore);

/** Sums of file sizes; both 0 if the directory does not exist. */
void log_store_disk_usage(const char *directory, uint64_t *log_bytes, uint64_t *snapshot_bytes);

/** Discards pending records. */
void log_store_close(struct log_store *store);

/** Adds a record that the next log_store_sync() writes. */
void log_store_save_state(struct log_store *store, uint32_t group, uint64_t term, uint32_t vote);
void log_store_append(struct log_store *store, uint32_t group, const struct raft_entry *entry);

/** Writes and syncs pending records. False: see `error`; unless `failed` is set, a retry may succeed (disk full). */
bool log_store_sync(struct log_store *store);

/** Starts a new snapshot beside the stored one. False: see `error`. */
bool log_store_snapshot_begin(struct log_store *store, uint32_t group, const struct raft_snapshot *snapshot);

/** Appends state bytes to the snapshot. False: see `error`; the caller must then call log_store_snapshot_abort(). */
bool log_store_snapshot_write(struct log_store *store, uint32_t group, struct view bytes);

/** Durably replaces the stored snapshot and deletes segments that no group needs. `reset_log`: entries after the
 * snapshot that were written before are void. False: see `error`. */
bool log_store_snapshot_commit(struct log_store *store, uint32_t group, bool reset_log);

/** Discards the snapshot being written, if any. */
void log_store_snapshot_abort(struct log_store *store, uint32_t group);

/** Appends up to `max_bytes` of the snapshot's state, from `offset` on, to `out`. False: the stored snapshot does not
 * end at `index`, or cannot be read. */
bool log_store_snapshot_read(const struct log_store *store, uint32_t group, uint64_t index, uint64_t offset,
                             size_t max_bytes, struct buffer *out);

#endif
