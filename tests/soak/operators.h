/**
 * @file operators.h
 * Operators of the soak: they send configurations, singly and in series, send
 * older ones again, and read back what is there.
 */
#ifndef BANKBANK_TESTS_OPERATORS_H
#define BANKBANK_TESTS_OPERATORS_H

#include <stdint.h>

/** Does the next thing, and pauses. */
void operators_act(uint64_t *seed);

#endif
