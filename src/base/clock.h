/**
 * @file clock.h
 * Reads the system clocks. Code in core/ must not use them: it receives the time as an
 * argument.
 */
#ifndef BANKBANK_BASE_CLOCK_H
#define BANKBANK_BASE_CLOCK_H

#include <stdint.h>

uint64_t clock_monotonic_ms(void);

uint64_t clock_monotonic_us(void);

/** Since the Unix epoch. */
uint64_t clock_wall_ms(void);

/** CPU time used by all threads of the process. */
uint64_t clock_cpu_ms(void);

/** Returns early if a signal is handled. */
void clock_sleep_us(uint64_t us);

#endif
