/**
 * @file snapshot_file.h
 * Snapshot file of a group. A new snapshot is written beside the stored one and
 * replaces it once it is complete and synced. Snapshots are written and read in
 * blocks, so that their size is not limited by memory.
 *
 * Format: header, encoded Members, state. Integers are in host byte order: the
 * files stay on their machine.
 */
#ifndef BANKBANK_STORE_SNAPSHOT_FILE_H
#define BANKBANK_STORE_SNAPSHOT_FILE_H

#include "base/buffer.h"
#include "core/raft.h"

enum { SNAPSHOT_FILE_BLOCK_BYTES = 64 << 10 };

struct XXH64_state_s;

/** The snapshot being written; all zero: none. */
typedef struct snapshot_writer_t {
    bool active;
    int fd;
    struct raft_snapshot snapshot;
    uint32_t members_length;        /**< Encoded, in bytes. */
    uint64_t state_length;          /**< Bytes appended so far. */
    struct XXH64_state_s *checksum; /**< Over members and state so far. */
    struct buffer block;            /**< Not yet written to the file. */
} snapshot_writer_t;

/** The stored snapshot; all zero: none. */
typedef struct snapshot_file_t {
    bool open;
    int fd;
    struct raft_snapshot snapshot;
    uint64_t state_offset; /**< In the file. */
    uint64_t state_length; /**< In bytes. */
} snapshot_file_t;

typedef enum snapshot_open_result_t {
    SNAPSHOT_OPEN_OK,
    SNAPSHOT_OPEN_NONE,    /**< The file does not exist. */
    SNAPSHOT_OPEN_CORRUPT, /**< Header, size, checksum or members are invalid. */
    SNAPSHOT_OPEN_FAILED   /**< See errno. */
} snapshot_open_result_t;

/** False: see errno. */
bool snapshot_writer_begin(snapshot_writer_t *writer, const char *directory, uint32_t group,
                           const struct raft_snapshot *snapshot);

/** Appends bytes of the state. False: see errno; the caller must then call snapshot_writer_abort(). */
bool snapshot_writer_append(snapshot_writer_t *writer, struct view bytes);

/** Durably replaces the stored snapshot, and sets `stored` to the new one. False: see errno; the new snapshot is
 * discarded. */
bool snapshot_writer_commit(snapshot_writer_t *writer, const char *directory, uint32_t group, snapshot_file_t *stored);

/** Discards the snapshot being written, if any; keeps errno. */
void snapshot_writer_abort(snapshot_writer_t *writer, const char *directory, uint32_t group);

/** Opens a group's stored snapshot and verifies its checksum. */
snapshot_open_result_t snapshot_file_open(snapshot_file_t *stored, const char *directory, uint32_t group);

/** Appends up to `max_bytes` of the state, from `offset` on, to `out`. False: they cannot be read. */
bool snapshot_file_read(const snapshot_file_t *stored, uint64_t offset, size_t max_bytes, struct buffer *out);

void snapshot_file_close(snapshot_file_t *stored);

/** Path of the stored snapshot; the caller frees it. */
char *snapshot_file_path(const char *directory, uint32_t group);

#endif
