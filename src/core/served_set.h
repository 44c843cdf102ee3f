/**
 * @file served_set.h
 * Contents of requests that servers have responded to lately: evidence that such a
 * request does not make servers fail (quarantine.h). No I/O; callers pass the time.
 *
 * A table with one slot for each residue of the hash: a later hash replaces an
 * earlier one with the same residue. What is missing may have been served.
 */
#ifndef BANKBANK_CORE_SERVED_SET_H
#define BANKBANK_CORE_SERVED_SET_H

#include <stdbool.h>
#include <stdint.h>

enum { SERVED_SET_SLOTS = 1024, SERVED_SET_KEEP_MS = 60 * 1000 };

typedef struct served_contents_t {
    uint64_t hash;
    uint64_t served_ms;
} served_contents_t;

/** All zero: empty. */
typedef struct served_set_t {
    served_contents_t slots[SERVED_SET_SLOTS];
} served_set_t;

void served_set_add(served_set_t *set, uint64_t now_ms, uint64_t hash);

/** Whether it was added within the last SERVED_SET_KEEP_MS. */
bool served_set_has(const served_set_t *set, uint64_t now_ms, uint64_t hash);

#endif
