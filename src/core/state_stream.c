#include "core/state_stream.h"

#include <string.h>

enum { STATE_MAGIC_BYTES = 4 };

/* No valid protobuf message starts with 0xff, which distinguishes streams from snapshots of older versions. */
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
    buffer_consume(&reader->buffer, reader->offset);
    reader->offset = 0;
    buffer_append(&reader->buffer, bytes.data, bytes.length);
}

void state_reader_finish(state_reader_t *reader)
{
    reader->end_of_input = true;
}

/* Detects the format from the first bytes; false: more bytes are needed. */
static bool state_reader_detect_format(state_reader_t *reader)
{
    if (reader->started) {
        return true;
    }
    if (reader->buffer.length < STATE_MAGIC_BYTES && !reader->end_of_input) {
        return false;
    }
    reader->started = true;
    reader->legacy_format =
        reader->buffer.length < STATE_MAGIC_BYTES || memcmp(reader->buffer.data, STATE_MAGIC, STATE_MAGIC_BYTES) != 0;
    reader->offset = reader->legacy_format ? 0 : STATE_MAGIC_BYTES;
    return true;
}

/* Without magic, the whole stream is one record. */
static bool state_reader_next_legacy(state_reader_t *reader, state_record_t *record)
{
    bool available = reader->end_of_input && reader->offset < reader->buffer.length;
    record->kind = STATE_RECORD_HEAD;
    record->payload = buffer_view(&reader->buffer);
    reader->offset = available ? reader->buffer.length : reader->offset;
    return available;
}

bool state_reader_next(state_reader_t *reader, state_record_t *record)
{
    if (!state_reader_detect_format(reader)) {
        return false;
    }
    if (reader->legacy_format) {
        return state_reader_next_legacy(reader, record);
    }
    size_t left = reader->buffer.length - reader->offset;
    const uint8_t *header = reader->buffer.data + reader->offset;
    if (left < STATE_RECORD_HEADER_BYTES || left - STATE_RECORD_HEADER_BYTES < state_get_u32(header)) {
        return false;
    }
    record->kind = (state_record_kind_t)state_get_u32(header + 4);
    record->payload = view_of(header + STATE_RECORD_HEADER_BYTES, state_get_u32(header));
    reader->offset += STATE_RECORD_HEADER_BYTES + record->payload.length;
    return true;
}

bool state_reader_is_complete(const state_reader_t *reader)
{
    return reader->started && reader->offset == reader->buffer.length;
}

void state_reader_close(state_reader_t *reader)
{
    buffer_close(&reader->buffer);
    memset(reader, 0, sizeof(*reader));
}
