/**
 * @file random.h
 * Seeded random numbers (splitmix64). A state must be used by one thread.
 */
#ifndef BANKBANK_TESTS_RANDOM_H
#define BANKBANK_TESTS_RANDOM_H

#include <stdint.h>

/** Next number from 0 to `below` - 1; `below` must not be 0. */
static inline uint32_t random_below(uint64_t *state, uint32_t below)
{
    uint64_t z = *state += 0x9e3779b97f4a7c15ULL;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return (uint32_t)((z ^ (z >> 31)) % below);
}

#endif
