/**
 * @file history_store.h
 * Conversation texts in append-only files beside the log. The log holds every
 * text too until the next snapshot; so this store is synced only then, and a
 * restart begins a new file and lets the replay write again what was lost.
 * For the same reason the last texts may wait in memory for a write of many,
 * or for a full disk to have room.
 * A sweep deletes the files whose texts were all dropped.
 */
#ifndef BANKBANK_STORE_HISTORY_STORE_H
#define BANKBANK_STORE_HISTORY_STORE_H

#include "core/history.h"

enum {
    HISTORY_SEGMENT_BYTES = 128 << 20, /**< Size at which a new file begins, by default. */
    HISTORY_TAIL_BYTES = 64 << 10      /**< Texts that wait for a write. */
};

/** One file. */
struct history_segment {
    uint32_t number;     /**< Part of the file name. */
    int file;            /**< Descriptor. */
    uint64_t size;       /**< Bytes written. */
    uint64_t live_bytes; /**< Bytes of texts in use. */
    bool dirty;          /**< Written since its last sync. */
};

/** The store. */
struct history_store {
    char *folder;                     /**< Folder of the files. */
    struct history_segment *segments; /**< Oldest first; the last one is written. */
    size_t segment_count;             /**< Files. */
    uint64_t segment_bytes;           /**< Size at which a new file begins; 0: HISTORY_SEGMENT_BYTES. */
    struct buffer tail;               /**< Texts of the last file that are not written yet. */
    bool failed;                      /**< A write failed. */
    char error[512];                  /**< What failed, with its place. */
};

/** Opens the store and begins a new file; false: see `error`. */
bool history_store_open(struct history_store *store, const char *folder);

/** Closes the files. */
void history_store_close(struct history_store *store);

/** Deletes files, the last one aside, of which no text is in use. */
void history_store_sweep(struct history_store *store);

/** Makes all texts durable; false: see `error`. Unless `failed` is set the disk is full, and it may be tried again. */
bool history_store_sync(struct history_store *store);

/** The operations given to the ledger. */
struct history_io history_store_io(struct history_store *store);

#endif
