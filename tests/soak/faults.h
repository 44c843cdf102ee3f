/**
 * @file faults.h
 * Schedules the faults of the soak, from outside the daemons' processes. Faults
 * may overlap; each one expires by itself.
 */
#ifndef BANKBANK_TESTS_FAULTS_H
#define BANKBANK_TESTS_FAULTS_H

#include <stdint.h>

/** Injects faults, chosen from `seed`, for `duration_ms` or until the first violation. */
void faults_run(uint64_t seed, uint64_t duration_ms);

/** Lets active faults expire, and waits until the site is healthy. */
void faults_end(void);

/** Returns the number of faults injected so far. */
int faults_count(void);

#endif
