/**
 * @file streams.h
 * In-memory snapshot streams of a state machine, read back in small chunks.
 */
#ifndef BANKBANK_TESTS_STREAMS_H
#define BANKBANK_TESTS_STREAMS_H

#include "core/state_machine.h"

enum { STREAM_CHUNK_BYTES = 37 /* small and odd, so that records span chunks */ };

static inline bool stream_put(void *context, struct view bytes)
{
    buffer_append(context, bytes.data, bytes.length);
    return true;
}

/** Appends the snapshot of a state machine to `out`. */
static inline bool stream_write(const struct state_machine *machine, struct buffer *out)
{
    state_sink_t sink = {.context = out, .put = stream_put};
    return state_machine_write(machine, &sink);
}

/** Loads a stream into an empty state machine. Returns false if it is malformed or incomplete. */
static inline bool stream_read(struct state_machine *machine, const struct buffer *stream)
{
    state_reader_t reader = {0};
    state_record_t record;
    bool read = true;
    for (size_t at = 0; read && at < stream->length; at += STREAM_CHUNK_BYTES) {
        size_t left = stream->length - at;
        state_reader_feed(&reader, view_of(stream->data + at, left < STREAM_CHUNK_BYTES ? left : STREAM_CHUNK_BYTES));
        while (read && state_reader_next(&reader, &record)) {
            read = state_machine_read(machine, record.kind, record.payload);
        }
    }
    read = read && state_reader_is_complete(&reader);
    state_reader_close(&reader);
    state_machine_read_end(machine);
    return read;
}

#endif
