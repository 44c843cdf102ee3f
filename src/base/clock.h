/**
 * @file clock.h
 * The process clocks, in milliseconds or microseconds. Only shells use them;
 * the core is given the time with every event.
 */
#ifndef BANKBANK_BASE_CLOCK_H
#define BANKBANK_BASE_CLOCK_H

#include <stdint.h>

/** Monotonic time in milliseconds. */
uint64_t clock_monotonic_ms(void);

/** Monotonic time in microseconds. */
uint64_t clock_monotonic_us(void);

/** Wall-clock time in milliseconds since the Unix epoch. */
uint64_t clock_wall_ms(void);

/** Processor time that the process has used, in milliseconds. */
uint64_t clock_processor_ms(void);

/** Sleeps for `us` microseconds. */
void clock_sleep_us(uint64_t us);

#endif
