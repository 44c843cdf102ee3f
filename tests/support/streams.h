/**
 * @file streams.h
 * A snapshot in memory, for tests: what a machine writes is read into another
 * one piece by piece, as from a disk.
 */
#ifndef BANKBANK_TESTS_STREAMS_H
#define BANKBANK_TESTS_STREAMS_H

#include "core/state_machine.h"

enum { STREAM_PIECE = 37 /* bytes handed over at a time: no record begins where a piece does */ };

static inline bool stream_keep(void *context, struct view bytes)
{
    buffer_append(context, bytes.data, bytes.length);
    return true;
}

/** Appends a machine's stream. */
static inline bool stream_write(const struct state_machine *machine, struct buffer *out)
{
    state_sink_t sink = {.context = out, .put = stream_keep};
    return state_machine_write(machine, &sink);
}

/** Loads a stream, in pieces, into an empty machine. */
static inline bool stream_read(struct state_machine *machine, const struct buffer *stream)
{
    state_reader_t reader = {0};
    state_record_t record;
    bool read = true;
    for (size_t at = 0; read && at < stream->length; at += STREAM_PIECE) {
        size_t left = stream->length - at;
        state_reader_feed(&reader, view_of(stream->data + at, left < STREAM_PIECE ? left : STREAM_PIECE));
        while (read && state_reader_next(&reader, &record)) {
            read = state_machine_read(machine, record.kind, record.payload);
        }
    }
    read = read && state_reader_is_whole(&reader);
    state_reader_close(&reader);
    state_machine_read_end(machine);
    return read;
}

#endif
