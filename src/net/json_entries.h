/**
 * @file json_entries.h
 * Reads the entries of a JSON list of which some may be malformed. Entries are
 * delimited by brackets and commas and parsed separately, so that a malformed
 * one does not affect the others. If the end of a malformed entry cannot be
 * determined, it ends at the next valid object after a comma. Does no I/O.
 */
#ifndef BANKBANK_NET_JSON_ENTRIES_H
#define BANKBANK_NET_JSON_ENTRIES_H

#include <stdbool.h>
#include <stddef.h>

#include <jansson.h>

#include "base/view.h"

enum {
    JSON_ENTRIES_MAX_ENTRY_BYTES = 16 << 10, /**< Largest entry recognized after a malformed one. */
    JSON_ENTRIES_MAX_SEARCH_BYTES = 16 << 20 /**< Bytes of a list scanned for the ends of malformed entries. */
};

typedef struct json_entries_visitor_t {
    void *context; /**< First argument of `visit`. */
    /** Receives an entry, borrowed for the call, or NULL for a malformed one. Returns false to stop. */
    bool (*visit)(void *context, const json_t *entry);
} json_entries_visitor_t;

/** Visits the entries of a list, given without its brackets. Returns false if the visitor stopped or
 * JSON_ENTRIES_MAX_SEARCH_BYTES are used up. */
bool json_entries_read(struct view text, const json_entries_visitor_t *visitor);

/** Position of the first byte from `at` that is not whitespace, or text.length. */
size_t json_skip_space(struct view text, size_t at);

/** Position of the bracket that closes the one at `at`, or text.length. Does not check that their kinds match. */
size_t json_find_closing_bracket(struct view text, size_t at);

/** Position of the comma after the value at `at`, or text.length; `closed`: its brackets and strings are closed. */
size_t json_find_value_end(struct view text, size_t at, bool *closed);

#endif
