/**
 * @file link_counts.h
 * Counts the frames between daemons and their bytes by kind, to show which messages
 * cause the load of an overloaded process.
 */
#ifndef BANKBANK_NET_LINK_COUNTS_H
#define BANKBANK_NET_LINK_COUNTS_H

#include "base/view.h"

enum { LINK_FRAME_KINDS = 13 /**< Kinds are the tags of Frame's payload; 0: unknown. */ };

typedef struct link_count_t {
    uint64_t frames;
    uint64_t bytes; /**< Without the length prefixes. */
} link_count_t;

/** Counters of one direction; initially all zero. */
typedef struct link_counts_t {
    link_count_t kinds[LINK_FRAME_KINDS];
} link_counts_t;

/** Counts an encoded Frame. */
void link_counts_add(link_counts_t *counts, struct view frame);

/** Kind of an encoded Frame, read without decoding it; 0 if unknown. */
int link_frame_kind(struct view frame);

/** For metrics and logs; "unknown" for 0 and for a kind that is not in use. */
const char *link_frame_kind_name(int kind);

#endif
