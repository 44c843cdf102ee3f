/**
 * @file programs.h
 * Programs of the soak: turns within a budget, one after the other, of which
 * each goes on from the one before it.
 */
#ifndef BANKBANK_TESTS_PROGRAMS_H
#define BANKBANK_TESTS_PROGRAMS_H

#include <stdatomic.h>
#include <stdint.h>

#include "calls.h"

/** Runs one program, unless `stopping` becomes true. */
void programs_run(caller_t *caller, const atomic_bool *stopping);

/** Everything is well again: goes on once from the last turn of programs that were whole. */
void programs_go_on(caller_t *caller);

/** Number of turns that were acknowledged. */
uint64_t programs_turns(void);

#endif
