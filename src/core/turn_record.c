#include "core/turn_record.h"

#include <stdlib.h>
#include <string.h>

#include "base/message.h"

/* Start of a record on this machine; id, parent and a held text follow. */
struct turn_record_head {
    uint64_t expires_ms;
    uint64_t offset; /* stored text: its place */
    uint32_t segment;
    uint32_t length;
    uint32_t input_length;
    uint32_t id_length;
    uint32_t parent_length;
    uint32_t kind; /* turn_text_kind_t; with TURN_RECORD_TENANT the tenant follows the head */
};

enum { TURN_RECORD_TENANT = 1 << 16 };

void turn_record_encode(const turn_record_t *record, struct buffer *out)
{
    struct turn_record_head head = {
        .expires_ms = record->expires_ms,
        .length = record->text.length,
        .input_length = record->text.input_length,
        .id_length = (uint32_t)record->id.length,
        .parent_length = (uint32_t)record->parent.length,
        .kind = record->text.kind,
    };
    if (record->text.kind == TURN_TEXT_STORED) {
        head.offset = record->text.at.stored.offset;
        head.segment = record->text.at.stored.segment;
    }
    head.kind |= record->tenant != 0 ? TURN_RECORD_TENANT : 0;
    buffer_append(out, &head, sizeof(head));
    buffer_append(out, &record->tenant, record->tenant != 0 ? sizeof(record->tenant) : 0);
    buffer_append(out, record->id.data, record->id.length);
    buffer_append(out, record->parent.data, record->parent.length);
    if (record->text.kind == TURN_TEXT_HELD) {
        buffer_append(out, record->text.at.held, record->text.length);
    }
}

bool turn_record_decode(struct view data, turn_record_t *record)
{
    struct turn_record_head head;
    if (data.length < sizeof(head)) {
        return false;
    }
    memcpy(&head, data.data, sizeof(head));
    size_t tenant_length = (head.kind & TURN_RECORD_TENANT) != 0 ? sizeof(record->tenant) : 0;
    head.kind &= ~(uint32_t)TURN_RECORD_TENANT;
    bool held = head.kind == TURN_TEXT_HELD;
    uint64_t expected = sizeof(head) + tenant_length + (uint64_t)head.id_length + head.parent_length +
                        (held ? (uint64_t)head.length : 0);
    bool valid = data.length == expected && head.input_length <= head.length;
    if (!valid) {
        return false;
    }
    const uint8_t *body = data.data + sizeof(head) + tenant_length;
    record->tenant = 0;
    memcpy(&record->tenant, data.data + sizeof(head), tenant_length);
    record->id = view_of(body, head.id_length);
    record->parent = view_of(body + head.id_length, head.parent_length);
    record->expires_ms = head.expires_ms;
    record->text.kind = (turn_text_kind_t)head.kind;
    record->text.length = head.length;
    record->text.input_length = head.input_length;
    if (held) {
        record->text.at.held = (uint8_t *)(uintptr_t)(body + head.id_length + head.parent_length);
    } else {
        struct history_ref stored = {.offset = head.offset, .segment = head.segment, .length = head.length};
        record->text.at.stored = stored;
    }
    return true;
}

bool turn_text_read(const struct history_io *history, const turn_text_t *text, struct buffer *out)
{
    switch (text->kind) {
    case TURN_TEXT_HELD: buffer_append(out, text->at.held, text->length); return true;
    case TURN_TEXT_STORED: return history->read(history->context, &text->at.stored, out);
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
        record.text.kind = TURN_TEXT_STORED;
        history->append(history->context, buffer_view(&text), &record.text.at.stored);
        history->drop(history->context, &record.text.at.stored);
    } else {
        record.text.kind = TURN_TEXT_HELD;
        record.text.at.held = text.data;
    }
    turn_record_encode(&record, out);
    buffer_close(&text);
    message_free(TurnRecord_fields, &wire);
    return true;
}
