/**
 * @file history.h
 * Interface to the store of conversation texts. State machines hold references;
 * the host holds the bytes: in files in the daemon, in memory in the simulator.
 */
#ifndef BANKBANK_CORE_HISTORY_H
#define BANKBANK_CORE_HISTORY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buffer.h"

/** Byte range of a text in a segment; length 0: no text. */
struct history_ref {
    uint64_t offset;
    uint32_t segment;
    uint32_t length;
};

struct history_io {
    void *context; /**< First argument of every function. */
    /** Stores a text and sets `ref`. The text is durable after the next snapshot. */
    void (*append)(void *context, struct view text, struct history_ref *ref);
    /** Appends the text at `ref` to `out`. Returns false if it cannot be read. */
    bool (*read)(void *context, const struct history_ref *ref, struct buffer *out);
    /** Marks a text as unused. */
    void (*release)(void *context, const struct history_ref *ref);
    /** Marks a text whose reference was restored from a snapshot as in use. */
    void (*mark_used)(void *context, const struct history_ref *ref);
    /** Reclaims the space of unused texts where possible. May be NULL. */
    void (*reclaim)(void *context);
};

#endif
