/**
 * @file program_set.h
 * Programs that a gateway has seen recently: a request of any other program may be
 * its first one. A fixed-size hash table with linear probing, which may evict a
 * program early. No I/O; callers pass the time.
 */
#ifndef BANKBANK_CORE_PROGRAM_SET_H
#define BANKBANK_CORE_PROGRAM_SET_H

#include <stdbool.h>
#include <stdint.h>

enum {
    PROGRAM_SET_ENTRIES = 1024,   /**< Several times the concurrent programs of one gateway. */
    PROGRAM_SET_VALID_MS = 30000, /**< A program is forgotten this long after its last request. */
    PROGRAM_SET_PROBES = 4        /**< Consecutive entries in which a program may be stored. */
};

typedef struct program_set_entry_t {
    uint64_t hash;    /**< Hash of the program; 0: unused entry. */
    uint64_t seen_ms; /**< Time of the last request. */
} program_set_entry_t;

/** All zero: empty. */
typedef struct program_set_t {
    program_set_entry_t entries[PROGRAM_SET_ENTRIES];
} program_set_t;

/** Records an admitted request of a program. */
void program_set_record(program_set_t *set, uint64_t now_ms, const char *program);

/** Whether a request of the program was recorded within PROGRAM_SET_VALID_MS. */
bool program_set_has(const program_set_t *set, uint64_t now_ms, const char *program);

#endif
