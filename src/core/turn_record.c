#include "core/turn_record.h"

#include <stdlib.h>
#include <string.h>

#include "base/message.h"

/* Start of a record in local form, followed by tenant (if any), id, parent and in-memory text. */
struct turn_record_header {
    uint64_t expires_ms;
    uint64_t offset; /* of the text in `segment`, for TURN_TEXT_IN_HISTORY */
    uint32_t segment;
    uint32_t length;
    uint32_t input_length;
    uint32_t id_length;
    uint32_t parent_length;
    uint32_t kind; /* turn_text_kind_t, with TURN_RECORD_HAS_TENANT if the tenant follows */
};

enum { TURN_RECORD_HAS_TENANT = 1 << 16 };

void turn_record_encode(const turn_record_t *record, struct buffer *out)
{
    struct turn_record_header header = {
        .expires_ms = record->expires_ms,
        .length = record->text.length,
        .input_length = record->text.input_length,
        .id_length = (uint32_t)record->id.length,
        .parent_length = (uint32_t)record->parent.length,
        .kind = record->text.kind,
    };
    if (record->text.kind == TURN_TEXT_IN_HISTORY) {
        header.offset = record->text.at.ref.offset;
        header.segment = record->text.at.ref.segment;
    }
    header.kind |= record->tenant != 0 ? TURN_RECORD_HAS_TENANT : 0;
    buffer_append(out, &header, sizeof(header));
    buffer_append(out, &record->tenant, record->tenant != 0 ? sizeof(record->tenant) : 0);
    buffer_append(out, record->id.data, record->id.length);
    buffer_append(out, record->parent.data, record->parent.length);
    if (record->text.kind == TURN_TEXT_IN_MEMORY) {
        buffer_append(out, record->text.at.bytes, record->text.length);
    }
}

bool turn_record_decode(struct view data, turn_record_t *record)
{
    struct turn_record_header header;
    if (data.length < sizeof(header)) {
        return false;
    }
    memcpy(&header, data.data, sizeof(header));
    size_t tenant_length = (header.kind & TURN_RECORD_HAS_TENANT) != 0 ? sizeof(record->tenant) : 0;
    header.kind &= ~(uint32_t)TURN_RECORD_HAS_TENANT;
    bool in_memory = header.kind == TURN_TEXT_IN_MEMORY;
    uint64_t expected = sizeof(header) + tenant_length + (uint64_t)header.id_length + header.parent_length +
                        (in_memory ? (uint64_t)header.length : 0);
    bool valid = data.length == expected && header.input_length <= header.length;
    if (!valid) {
        return false;
    }
    const uint8_t *body = data.data + sizeof(header) + tenant_length;
    record->tenant = 0;
    memcpy(&record->tenant, data.data + sizeof(header), tenant_length);
    record->id = view_of(body, header.id_length);
    record->parent = view_of(body + header.id_length, header.parent_length);
    record->expires_ms = header.expires_ms;
    record->text.kind = (turn_text_kind_t)header.kind;
    record->text.length = header.length;
    record->text.input_length = header.input_length;
    if (in_memory) {
        record->text.at.bytes = (uint8_t *)(uintptr_t)(body + header.id_length + header.parent_length);
    } else {
        struct history_ref ref = {.offset = header.offset, .segment = header.segment, .length = header.length};
        record->text.at.ref = ref;
    }
    return true;
}

bool turn_text_read(const struct history_io *history, const turn_text_t *text, struct buffer *out)
{
    switch (text->kind) {
    case TURN_TEXT_IN_MEMORY: buffer_append(out, text->at.bytes, text->length); return true;
    case TURN_TEXT_IN_HISTORY: return history->read(history->context, &text->at.ref, out);
    }
    return false;
}

bool turn_record_to_wire(const struct history_io *history, struct view data, struct buffer *out)
{
    turn_record_t record;
    struct buffer text = {0};
    if (!turn_record_decode(data, &record) || !turn_text_read(history, &record.text, &text)) {
        buffer_close(&text);
        return false;
    }
    size_t input_length = record.text.input_length;
    TurnRecord wire = {
        .turn = memory_copy(record.id.data, record.id.length),
        .parent = record.parent.length == 0 ? NULL : memory_copy(record.parent.data, record.parent.length),
        .expires_ms = record.expires_ms,
        .tenant = record.tenant,
    };
    if (text.length > 0) {
        wire.input = view_of(text.data, input_length);
        wire.output = view_of(text.data + input_length, text.length - input_length);
    }
    bool encoded = message_encode(out, TurnRecord_fields, &wire);
    free(wire.turn);
    free(wire.parent);
    buffer_close(&text);
    return encoded;
}

bool turn_record_from_wire(const struct history_io *history, struct view data, struct buffer *out)
{
    TurnRecord wire = {0};
    if (!message_decode(data, TurnRecord_fields, &wire)) {
        return false;
    }
    struct buffer text = {0};
    buffer_append(&text, wire.input.data, wire.input.length);
    buffer_append(&text, wire.output.data, wire.output.length);
    turn_record_t record = {
        .id = view_of_string(text_or_empty(wire.turn)),
        .parent = view_of_string(text_or_empty(wire.parent)),
        .expires_ms = wire.expires_ms,
        .tenant = wire.tenant,
        .text.length = (uint32_t)text.length,
        .text.input_length = (uint32_t)wire.input.length,
    };
    if (history->append != NULL) {
        record.text.kind = TURN_TEXT_IN_HISTORY;
        history->append(history->context, buffer_view(&text), &record.text.at.ref);
        history->release(history->context, &record.text.at.ref);
    } else {
        record.text.kind = TURN_TEXT_IN_MEMORY;
        record.text.at.bytes = text.data;
    }
    turn_record_encode(&record, out);
    buffer_close(&text);
    message_free(TurnRecord_fields, &wire);
    return true;
}
