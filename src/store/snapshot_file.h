/**
 * @file snapshot_file.h
 * The snapshot of one group in a file. It is written in pieces beside the
 * stored one and takes its place when it is whole and synced, and is read in
 * pieces: its size is no matter of memory.
 *
 * File: header, encoded Members, state. Integers are in host order (the files
 * stay on their machine).
 */
#ifndef BANKBANK_STORE_SNAPSHOT_FILE_H
#define BANKBANK_STORE_SNAPSHOT_FILE_H

#include "base/buffer.h"
#include "core/raft.h"

enum { SNAPSHOT_FILE_BLOCK_BYTES = 64 << 10 /**< Written and checked at a time. */ };

struct XXH64_state_s;

/** A snapshot that is being written; all zero: none is. */
typedef struct snapshot_writer_t {
    bool active;                    /**< It was begun. */
    int file;                       /**< Descriptor. */
    struct raft_snapshot snapshot;  /**< What it covers. */
    uint32_t members_length;        /**< Bytes of the encoded members. */
    uint64_t state_length;          /**< Bytes of state so far. */
    struct XXH64_state_s *checksum; /**< Of members and state so far. */
    struct buffer block;            /**< Bytes that are not in the file yet. */
} snapshot_writer_t;

/** The stored snapshot; all zero: there is none. */
typedef struct snapshot_stored_t {
    bool open;                     /**< There is one. */
    int file;                      /**< Descriptor. */
    struct raft_snapshot snapshot; /**< What it covers. */
    uint64_t state_at;             /**< Where the state begins. */
    uint64_t state_length;         /**< Its bytes. */
} snapshot_stored_t;

/** Outcome of opening the stored snapshot. */
typedef enum snapshot_open_t {
    SNAPSHOT_OPEN_DONE,    /**< Its checksum holds. */
    SNAPSHOT_OPEN_NONE,    /**< There is none. */
    SNAPSHOT_OPEN_DAMAGED, /**< It is not what was written. */
    SNAPSHOT_OPEN_FAILED   /**< It cannot be read, see errno. */
} snapshot_open_t;

/** Begins a snapshot; false: see errno. */
bool snapshot_writer_begin(snapshot_writer_t *writer, const char *folder, uint32_t group,
                           const struct raft_snapshot *snapshot);

/** Adds bytes of the state; false: see errno, and it has to be given up. */
bool snapshot_writer_put(snapshot_writer_t *writer, struct view bytes);

/** Puts it durably in place of `stored`, which then is the new one; false: see errno, and it is given up. */
bool snapshot_writer_commit(snapshot_writer_t *writer, const char *folder, uint32_t group, snapshot_stored_t *stored);

/** Gives it up. */
void snapshot_writer_abort(snapshot_writer_t *writer, const char *folder, uint32_t group);

/** Opens and checks the stored snapshot of a group. */
snapshot_open_t snapshot_stored_open(snapshot_stored_t *stored, const char *folder, uint32_t group);

/** Appends up to `most` bytes of its state from `at` on; false: they cannot be read. */
bool snapshot_stored_read(const snapshot_stored_t *stored, uint64_t at, size_t most, struct buffer *out);

/** Closes it. */
void snapshot_stored_close(snapshot_stored_t *stored);

/** Path of a group's stored snapshot; the caller frees it. */
char *snapshot_file_path(const char *folder, uint32_t group);

#endif
