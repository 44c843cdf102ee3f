/**
 * @file lethal_requests.h
 * Operations that make each server that runs them exit, and start again as another
 * instance or under its id. Their caller, with or without a program, repeats them,
 * each time through a random gateway, until it has tried LETHAL_REQUESTS_ATTEMPTS
 * times. Attempts of a program may come two at a time. Between attempts all daemons
 * may be killed. The gateway of a turn may be killed at the moment at which its
 * server exits. Violation:
 *
 *   lethal  an operation ends more servers than a quarantine allows, while all
 *           daemons run undisturbed during its attempts
 */
#ifndef BANKBANK_TESTS_LETHAL_REQUESTS_H
#define BANKBANK_TESTS_LETHAL_REQUESTS_H

#include <stdint.h>

enum { LETHAL_REQUESTS_ATTEMPTS = 6, LETHAL_REQUESTS_MAX_EXITS = 3 };

/** Runs one operation of a random kind. Servers must be in SITE_NORMAL or SITE_PACED, and stay there. `settle` returns
 * when all daemons run and have settled; `kill_all` kills all of them before. */
void lethal_requests_run(uint64_t *seed, void (*kill_all)(uint64_t *seed), void (*settle)(void));

#endif
