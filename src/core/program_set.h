/**
 * @file program_set.h
 * Programs that a gateway has seen lately, so that it knows which request may
 * be the first of one. Bounded: a program may be forgotten before its time, and
 * is then taken for one that may be new. Pure.
 */
#ifndef BANKBANK_CORE_PROGRAM_SET_H
#define BANKBANK_CORE_PROGRAM_SET_H

#include <stdbool.h>
#include <stdint.h>

enum {
    PROGRAM_SET_ENTRIES = 1024,   /**< Programs remembered: several times what one gateway has under way. */
    PROGRAM_SET_VALID_MS = 30000, /**< Time after its last request for which one is remembered. */
    PROGRAM_SET_TRIES = 4         /**< Places in which a program may be. */
};

/** A program. */
typedef struct program_set_entry_t {
    uint64_t hash;    /**< Of its name, 0: free. */
    uint64_t seen_ms; /**< Time of its last request. */
} program_set_entry_t;

/** The programs; all zero: none. */
typedef struct program_set_t {
    program_set_entry_t entries[PROGRAM_SET_ENTRIES]; /**< By hash, in one of PROGRAM_SET_TRIES places behind it. */
} program_set_t;

/** Notes that a request of a program was let pass. */
void program_set_note(program_set_t *set, uint64_t now_ms, const char *program);

/** Whether one was noted lately. */
bool program_set_has(const program_set_t *set, uint64_t now_ms, const char *program);

#endif
