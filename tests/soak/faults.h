/**
 * @file faults.h
 * Faults of the soak, injected from outside the processes: signals, restarts,
 * lost and full disks, proxies before servers, servers that fail. They come
 * in series and overlap; each ends by itself.
 */
#ifndef BANKBANK_TESTS_FAULTS_H
#define BANKBANK_TESTS_FAULTS_H

#include <stdint.h>

/** Injects faults for so long, from a seed. */
void faults_run(uint64_t seed, uint64_t duration_ms);

/** Ends all that are under way, and waits until the site is whole again. */
void faults_end(void);

/** Number of faults so far. */
int faults_count(void);

#endif
