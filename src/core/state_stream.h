/**
 * @file state_stream.h
 * A group's state as a stream of records, written, sent and read incrementally.
 *
 * Format: 4 bytes of magic, then records: u32 payload length, u32 kind (both
 * little endian), payload. Snapshots of older versions have no magic: they are
 * one encoded StateSnapshot, which is read as a single STATE_RECORD_HEAD.
 */
#ifndef BANKBANK_CORE_STATE_STREAM_H
#define BANKBANK_CORE_STATE_STREAM_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buffer.h"

enum { STATE_RECORD_HEADER_BYTES = 8 /**< Payload length and kind. */ };

typedef enum state_record_kind_t {
    STATE_RECORD_HEAD = 1,  /**< StateSnapshot without turns and budgets; the first record. */
    STATE_RECORD_TURN = 2,  /**< A turn (turn_record.h); parents before children. */
    STATE_RECORD_BUDGET = 3 /**< BudgetRecord, in order of last use. */
} state_record_kind_t;

typedef struct state_sink_t {
    void *context;
    /** Writes the next bytes; false: the write failed and the stream must be abandoned. */
    bool (*put)(void *context, struct view bytes);
} state_sink_t;

/** Writes the magic; false: the sink failed. */
bool state_stream_begin(const state_sink_t *sink);

/** Returns false if the sink failed. */
bool state_stream_put(const state_sink_t *sink, state_record_kind_t kind, struct view payload);

typedef struct state_record_t {
    state_record_kind_t kind;
    struct view payload; /**< Valid until the reader is fed again or closed. */
} state_record_t;

/** Incremental parser of a stream, fed with chunks of any length; zero-initialize it. */
typedef struct state_reader_t {
    struct buffer buffer; /**< Bytes that were fed and are not discarded yet. */
    size_t offset;        /**< Bytes of `buffer` that are consumed. */
    bool started;         /**< The format is known. */
    bool legacy_format;   /**< The stream has no magic. */
    bool end_of_input;    /**< All bytes were fed. */
} state_reader_t;

void state_reader_feed(state_reader_t *reader, struct view bytes);

/** Call it after the last bytes were fed. */
void state_reader_finish(state_reader_t *reader);

/** Returns the next complete record in `record`; false: more bytes are needed, or the stream has ended. */
bool state_reader_next(state_reader_t *reader, state_record_t *record);

/** Whether all bytes fed were part of complete records; call it after the last record. */
bool state_reader_is_complete(const state_reader_t *reader);

/** Frees the buffer and resets the reader. */
void state_reader_close(state_reader_t *reader);

#endif
