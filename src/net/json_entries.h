/**
 * @file json_entries.h
 * The entries of a JSON list of which some may be damaged: each is found by its
 * bounds in the text and parsed by itself, so that one that cannot be read takes
 * no other one with it. Where one is so broken that it has no bounds, the next
 * object behind a comma that can be read ends it. Pure.
 */
#ifndef BANKBANK_NET_JSON_ENTRIES_H
#define BANKBANK_NET_JSON_ENTRIES_H

#include <stdbool.h>
#include <stddef.h>

#include <jansson.h>

#include "base/view.h"

enum {
    JSON_ENTRIES_ENTRY_MOST = 16 << 10,  /**< Bytes of an entry behind a broken one. */
    JSON_ENTRIES_SEARCH_BYTES = 16 << 20 /**< Bytes of a list that are looked at for the ends of broken entries. */
};

/** Receives the entries. */
typedef struct json_entries_taker_t {
    void *context; /**< First argument of `take`. */
    /** Takes an entry, lent for the call; NULL: one that cannot be read. False: no more are wanted. */
    bool (*take)(void *context, const json_t *entry);
} json_entries_taker_t;

/** Hands out all entries of a list, given without its brackets; false: too much of it is broken, or no more were
 * wanted. */
bool json_entries_read(struct view text, const json_entries_taker_t *taker);

/** The first byte from `at` on that is no white space; text.length: there is none. */
size_t json_skip_space(struct view text, size_t at);

/** The bracket that closes the one at `at`; text.length: there is none. */
size_t json_closing(struct view text, size_t at);

/** The comma behind the value at `at`, or the end of the text; `closed`: all its brackets and strings are. */
size_t json_value_end(struct view text, size_t at, bool *closed);

#endif
