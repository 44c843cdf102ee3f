/**
 * @file history.h
 * Where conversation text is kept: the ledger holds references, the host
 * holds the bytes (files in the daemon, memory in the simulator).
 */
#ifndef BANKBANK_CORE_HISTORY_H
#define BANKBANK_CORE_HISTORY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buffer.h"

/** Place of one stored text; length 0 means no text. */
struct history_ref {
    uint64_t offset;  /**< Byte offset in the segment. */
    uint32_t segment; /**< Segment number. */
    uint32_t length;  /**< Bytes. */
};

/** Operations of a history store. */
struct history_io {
    void *context; /**< First argument of every function. */
    /** Stores `text` and sets `ref`; durable after the next snapshot. */
    void (*append)(void *context, struct view text, struct history_ref *ref);
    /** Appends the text at `ref` to `out`; false if it cannot be read. */
    bool (*read)(void *context, const struct history_ref *ref, struct buffer *out);
    /** Tells that the text at `ref` is no longer needed. */
    void (*drop)(void *context, const struct history_ref *ref);
    /** Tells that a text restored from a snapshot is in use. */
    void (*keep)(void *context, const struct history_ref *ref);
    /** May give back the room of texts that are not in use; NULL: nothing to do. */
    void (*sweep)(void *context);
};

#endif
