/**
 * @file log_store.h
 * The durable log of a state replica: the entries, terms and votes of all
 * groups in one sequence of segment files, so that one sync covers many
 * groups; and one snapshot file a group (snapshot_file.h).
 *
 * Record: u32 magic, u32 payload length, u64 XXH64 of all that follows, then
 * u32 kind, u32 group, u64 index, u64 term, u32 entry type or vote, u32 where
 * its write begins, payload. Integers are in host order (the files stay on
 * their machine).
 *
 * A snapshot from the leader may end where the log has other entries, or none.
 * Then a reset record goes before it: once a snapshot covers the index of that
 * record, entries behind the snapshot that were written before it are void.
 *
 * Recovery: a bad record of the last write counts as never acknowledged, and is
 * cut off with what stands behind it: a write that was synced and rotted later
 * cannot be told from one that was torn. A bad record with a later write behind it
 * means that acknowledged data is damaged: opening fails and names the place.
 * All that is read back is synced before it counts: the process before may not
 * have come to it. The last segment is written into a new file for that, since the
 * sync of one whose sync has failed before tells nothing.
 */
#ifndef BANKBANK_STORE_LOG_STORE_H
#define BANKBANK_STORE_LOG_STORE_H

#include "base/buffer.h"
#include "core/raft.h"
#include "store/snapshot_file.h"

enum { LOG_STORE_SEGMENT_BYTES = 4 << 20 /**< Size at which a new segment begins; a start reads one at a time. */ };

/** Receives what the store holds while it is opened. */
struct log_restore {
    void *context; /**< First argument of every function. */
    /** A group's stored snapshot, to be read by log_store_snapshot_read(); called before its entries. False: it does
        not decode. */
    bool (*snapshot)(void *context, uint32_t group, const struct raft_snapshot *snapshot);
    /** Term and vote, in order of writing. */
    void (*state)(void *context, uint32_t group, uint64_t term, uint32_t vote);
    /** An entry, in order of writing; those behind it that came before are void. False: it leaves a gap. */
    bool (*entry)(void *context, uint32_t group, const struct raft_entry *entry);
    /** Entries behind the snapshot that came before are void. */
    void (*reset)(void *context, uint32_t group);
};

/** What the store knows of one group. */
struct log_store_group {
    uint64_t term;            /**< Last written term. */
    uint32_t vote;            /**< Last written vote. */
    bool headed;              /**< The last segment holds them. */
    uint64_t snapshot_index;  /**< Entries up to here are covered by the snapshot. */
    snapshot_stored_t stored; /**< That snapshot. */
    snapshot_writer_t writer; /**< The one that is being written. */
};

/** One segment file. */
struct log_segment {
    uint64_t number;      /**< Part of the file name. */
    uint64_t *last_index; /**< Highest index of an entry or reset, by group; 0: there is none. */
};

/** The store. */
struct log_store {
    char *folder;                   /**< Folder of the files. */
    uint32_t group_count;           /**< Groups. */
    struct log_store_group *groups; /**< By group id. */
    struct log_segment *segments;   /**< Oldest first; the last one is written. */
    size_t segment_count;           /**< Segments. */
    int file;                       /**< Descriptor of the last segment. */
    uint64_t file_bytes;            /**< Its size. */
    struct buffer pending;          /**< Records that were not written yet. */
    bool failed;                    /**< A write failed; nothing is durable any more. */
    char error[512];                /**< What failed, with its place. */
};

/** Opens or creates the store and replays it. What it has told is durable when it returns; false: see `error`. */
bool log_store_open(struct log_store *store, const char *folder, uint32_t groups, const struct log_restore *restore);

/** Adds up the bytes on disk of the segments and of the snapshots of a store that may not exist. */
void log_store_measure(const char *folder, uint64_t *log_bytes, uint64_t *snapshot_bytes);

/** Closes the files; pending records are lost. */
void log_store_close(struct log_store *store);

/** Adds records to the next sync. */
void log_store_save_state(struct log_store *store, uint32_t group, uint64_t term, uint32_t vote);
void log_store_append(struct log_store *store, uint32_t group, const struct raft_entry *entry);

/** Makes everything durable; false: see `error`. Unless `failed` is set the disk is full, and a later sync may succeed.
 */
bool log_store_sync(struct log_store *store);

/** Begins a group's snapshot beside the stored one; false: see `error`. */
bool log_store_snapshot_begin(struct log_store *store, uint32_t group, const struct raft_snapshot *snapshot);

/** Adds bytes of its state; false: see `error`, and it has to be given up. */
bool log_store_snapshot_write(struct log_store *store, uint32_t group, struct view bytes);

/** Durably replaces the group's snapshot, behind which no entry written so far counts with `reset_log`, and drops
 * segments that no group needs; false: see `error`. */
bool log_store_snapshot_commit(struct log_store *store, uint32_t group, bool reset_log);

/** Gives up what was begun. */
void log_store_snapshot_abort(struct log_store *store, uint32_t group);

/** Appends up to `most` bytes, from `at` on, of the state stored at `index`; false: it is not there. */
bool log_store_snapshot_read(const struct log_store *store, uint32_t group, uint64_t index, uint64_t at, size_t most,
                             struct buffer *out);

#endif
