/**
 * @file turn_record.h
 * Encodings of a turn in a snapshot. The local form, only for the machine that
 * wrote it, is a fixed header in host byte order with the location of the text in
 * the history store. It is cheap to write, since a replica writes tens of thousands
 * of records every few seconds. A turn without a tenant has the same encoding as in
 * versions that had no tenants. The wire form, for other machines, is a TurnRecord
 * message with the text.
 */
#ifndef BANKBANK_CORE_TURN_RECORD_H
#define BANKBANK_CORE_TURN_RECORD_H

#include "core/turn_store.h"

/** A record in local form. If decoded, views and in-memory text point into the encoded record. */
typedef struct turn_record_t {
    struct view id;
    struct view parent;  /**< Empty: none. */
    uint64_t expires_ms; /**< As in struct turn. */
    uint64_t tenant;     /**< As in struct turn. */
    turn_text_t text;
} turn_record_t;

/** Appends a record in local form to `out`. */
void turn_record_encode(const turn_record_t *record, struct buffer *out);

/** Returns false if the record is malformed. */
bool turn_record_decode(struct view data, turn_record_t *record);

/** Appends a text to `out`. Returns false if it cannot be read from `history`. */
bool turn_text_read(const struct history_io *history, const turn_text_t *text, struct buffer *out);

/**
 * Converts a record from local to wire form and appends it to `out`. Returns false if the record is malformed or its
 * text cannot be read.
 */
bool turn_record_to_wire(const struct history_io *history, struct view data, struct buffer *out);

/**
 * Converts a record from wire to local form and appends it to `out`. Adds the text to `history`, if that has an append
 * operation, but leaves it unused until turn_store_import() marks it as used. Returns false if the record is malformed.
 */
bool turn_record_from_wire(const struct history_io *history, struct view data, struct buffer *out);

#endif
