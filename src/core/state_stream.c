#include "core/state_stream.h"

#include <string.h>

enum { STATE_MAGIC_BYTES = 4 };

/* The first byte begins no protobuf message. */
static const uint8_t STATE_MAGIC[STATE_MAGIC_BYTES] = {0xff, 'B', 'K', 'S'};

static void state_put_u32(uint8_t *out, uint32_t value)
{
    for (int i = 0; i < 4; i++) {
        out[i] = (uint8_t)(value >> (8 * i));
    }
}

static uint32_t state_get_u32(const uint8_t *data)
{
    return (uint32_t)data[0] | (uint32_t)data[1] << 8 | (uint32_t)data[2] << 16 | (uint32_t)data[3] << 24;
}

bool state_stream_begin(const state_sink_t *sink)
{
    return sink->put(sink->context, view_of(STATE_MAGIC, sizeof(STATE_MAGIC)));
}

bool state_stream_put(const state_sink_t *sink, state_record_kind_t kind, struct view payload)
{
    uint8_t header[STATE_RECORD_HEADER_BYTES];
    state_put_u32(header, (uint32_t)payload.length);
    state_put_u32(header + 4, kind);
    return sink->put(sink->context, view_of(header, sizeof(header))) && sink->put(sink->context, payload);
}

void state_reader_feed(state_reader_t *reader, struct view bytes)
{
    buffer_consume(&reader->held, reader->at);
    reader->at = 0;
    buffer_append(&reader->held, bytes.data, bytes.length);
}

void state_reader_finish(state_reader_t *reader)
{
    reader->finished = true;
}

/* Looks at the first bytes; false: not enough of them came. */
static bool state_reader_begin(state_reader_t *reader)
{
    if (reader->begun) {
        return true;
    }
    if (reader->held.length < STATE_MAGIC_BYTES && !reader->finished) {
        return false;
    }
    reader->begun = true;
    reader->older =
        reader->held.length < STATE_MAGIC_BYTES || memcmp(reader->held.data, STATE_MAGIC, STATE_MAGIC_BYTES) != 0;
    reader->at = reader->older ? 0 : STATE_MAGIC_BYTES;
    return true;
}

/* All of it is one record. */
static bool state_reader_next_older(state_reader_t *reader, state_record_t *record)
{
    bool there = reader->finished && reader->at < reader->held.length;
    record->kind = STATE_RECORD_HEAD;
    record->payload = buffer_view(&reader->held);
    reader->at = there ? reader->held.length : reader->at;
    return there;
}

bool state_reader_next(state_reader_t *reader, state_record_t *record)
{
    if (!state_reader_begin(reader)) {
        return false;
    }
    if (reader->older) {
        return state_reader_next_older(reader, record);
    }
    size_t left = reader->held.length - reader->at;
    const uint8_t *header = reader->held.data + reader->at;
    if (left < STATE_RECORD_HEADER_BYTES || left - STATE_RECORD_HEADER_BYTES < state_get_u32(header)) {
        return false;
    }
    record->kind = (state_record_kind_t)state_get_u32(header + 4);
    record->payload = view_of(header + STATE_RECORD_HEADER_BYTES, state_get_u32(header));
    reader->at += STATE_RECORD_HEADER_BYTES + record->payload.length;
    return true;
}

bool state_reader_is_whole(const state_reader_t *reader)
{
    return reader->begun && reader->at == reader->held.length;
}

void state_reader_close(state_reader_t *reader)
{
    buffer_close(&reader->held);
    memset(reader, 0, sizeof(*reader));
}
