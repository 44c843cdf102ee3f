/**
 * @file state_stream.h
 * A group's state as a sequence of records, so that it is written, sent and
 * read back piece by piece: nobody needs memory for the whole of it.
 *
 * Stream: 4 bytes of magic, then records: u32 length of the payload, u32 kind
 * (both little endian), payload. A snapshot of an older version has no magic:
 * it is one encoded StateSnapshot, and is read as a single head.
 */
#ifndef BANKBANK_CORE_STATE_STREAM_H
#define BANKBANK_CORE_STATE_STREAM_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buffer.h"

enum { STATE_RECORD_HEADER_BYTES = 8 /**< Length and kind. */ };

/** What a record holds. */
typedef enum state_record_kind_t {
    STATE_RECORD_HEAD = 1,  /**< StateSnapshot without what has records of its own; comes first. */
    STATE_RECORD_TURN = 2,  /**< A turn (turn_record.h); parents before children. */
    STATE_RECORD_BUDGET = 3 /**< BudgetRecord, in order of last use. */
} state_record_kind_t;

/** Takes the bytes of a stream. */
typedef struct state_sink_t {
    void *context; /**< First argument of `put`. */
    /** Takes the next bytes; false: it cannot, and the stream is given up. */
    bool (*put)(void *context, struct view bytes);
} state_sink_t;

/** Writes what a stream begins with. */
bool state_stream_begin(const state_sink_t *sink);

/** Writes a record. */
bool state_stream_put(const state_sink_t *sink, state_record_kind_t kind, struct view payload);

/** A record that was read; its payload is valid until the reader is fed again. */
typedef struct state_record_t {
    state_record_kind_t kind; /**< What it holds. */
    struct view payload;      /**< Encoded. */
} state_record_t;

/** Takes a stream apart that comes in pieces of any length; all zero: nothing came yet. */
typedef struct state_reader_t {
    struct buffer held; /**< Bytes that were fed. */
    size_t at;          /**< Those before are handed out. */
    bool begun;         /**< The beginning was seen. */
    bool older;         /**< It has no magic. */
    bool finished;      /**< No more bytes come. */
} state_reader_t;

/** Adds the next bytes. */
void state_reader_feed(state_reader_t *reader, struct view bytes);

/** Tells that no more bytes come. */
void state_reader_finish(state_reader_t *reader);

/** Hands out the next whole record; false: there is none yet, or none any more. */
bool state_reader_next(state_reader_t *reader, state_record_t *record);

/** After the last record: whether all bytes were part of one. */
bool state_reader_is_whole(const state_reader_t *reader);

/** Frees what it holds. */
void state_reader_close(state_reader_t *reader);

#endif
