/**
 * @file link_counts.h
 * Counts the frames between daemons and their bytes by kind, so that a
 * process at its limit shows which messages take it there.
 */
#ifndef BANKBANK_NET_LINK_COUNTS_H
#define BANKBANK_NET_LINK_COUNTS_H

#include "base/view.h"

enum { LINK_KINDS = 12 /**< Kinds are the tags of Frame's payload; 0: none that is known. */ };

/** Frames of a kind. */
typedef struct link_count_t {
    uint64_t frames; /**< Number. */
    uint64_t bytes;  /**< Encoded bytes, without the length before each frame. */
} link_count_t;

/** Frames of all kinds in one direction; all zero: none. */
typedef struct link_counts_t {
    link_count_t kinds[LINK_KINDS]; /**< By kind. */
} link_counts_t;

/** Counts an encoded Frame. */
void link_counts_note(link_counts_t *counts, struct view frame);

/** Kind of an encoded Frame, without decoding it; 0: none that is known. */
int link_kind(struct view frame);

/** Name of a kind, for metrics and logs. */
const char *link_kind_name(int kind);

#endif
