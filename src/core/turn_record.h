/**
 * @file turn_record.h
 * A turn in a snapshot. On the machine that wrote it: a fixed head in host
 * order and the two ids, since a replica writes tens of thousands of them
 * each few seconds; the text is named by its place in the history store. A
 * turn without a tenant is written as versions without tenants wrote it.
 * Between machines: a TurnRecord that holds the text.
 */
#ifndef BANKBANK_CORE_TURN_RECORD_H
#define BANKBANK_CORE_TURN_RECORD_H

#include "core/turn_store.h"

/** A decoded record; its views borrow from the encoded one. */
typedef struct turn_record_t {
    struct view id;      /**< Unique id. */
    struct view parent;  /**< Id of the turn before it; empty: none. */
    uint64_t expires_ms; /**< See struct turn. */
    uint64_t tenant;     /**< See struct turn. */
    turn_text_t text;    /**< A held text lies in the record. */
} turn_record_t;

/** Appends a record. */
void turn_record_encode(const turn_record_t *record, struct buffer *out);

/** Reads a record; false: it is damaged. */
bool turn_record_decode(struct view data, turn_record_t *record);

/** Appends the text of a record, read from `history` where it is stored; false: it cannot be read. */
bool turn_text_read(const struct history_io *history, const turn_text_t *text, struct buffer *out);

/** From the form on this machine to the form between machines, appended to `out`. */
bool turn_record_to_wire(const struct history_io *history, struct view data, struct buffer *out);

/** The other way: the text goes into `history`, and is not counted as in use there. */
bool turn_record_from_wire(const struct history_io *history, struct view data, struct buffer *out);

#endif
