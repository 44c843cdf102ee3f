/**
 * @file history_store.h
 * Conversation texts in append-only segment files. The log also holds each text
 * until the next snapshot, so this store is synced only at a snapshot, and the
 * latest texts may stay in a write buffer, to be written together or until a
 * full disk has space again. After a restart, the replay of the log appends them
 * again, to a new segment. A sweep deletes the segments whose texts were all
 * released.
 */
#ifndef BANKBANK_STORE_HISTORY_STORE_H
#define BANKBANK_STORE_HISTORY_STORE_H

#include "core/history.h"

enum {
    HISTORY_SEGMENT_BYTES = 128 << 20,    /**< Default for history_store.segment_bytes. */
    HISTORY_WRITE_BUFFER_BYTES = 64 << 10 /**< Size at which the buffer is flushed. */
};

struct history_segment {
    uint32_t number; /**< Part of the file name. */
    int fd;
    uint64_t size;       /**< Bytes in the file, without buffered texts. */
    uint64_t live_bytes; /**< Texts in use, including buffered ones. */
    bool dirty;          /**< Written to since its last sync. */
};

struct history_store {
    char *directory;
    struct history_segment *segments; /**< Oldest first; the last one is appended to. */
    size_t segment_count;
    uint64_t segment_bytes;     /**< Size at which a new segment starts; 0: HISTORY_SEGMENT_BYTES. */
    struct buffer write_buffer; /**< Texts not yet written to the last segment. */
    bool failed;                /**< An error other than a full disk, or a failed sync; no more texts are stored. */
    char error[512];
};

/** Starts a new segment. False: see `error`. */
bool history_store_open(struct history_store *store, const char *directory);

void history_store_close(struct history_store *store);

/** Deletes segments without live texts, except the active one. */
void history_store_sweep(struct history_store *store);

/** Makes all texts durable. False: see `error`; unless `failed` is set, a retry may succeed (disk full). */
bool history_store_sync(struct history_store *store);

/** Callbacks that access the store (core/history.h). */
struct history_io history_store_io(struct history_store *store);

#endif
