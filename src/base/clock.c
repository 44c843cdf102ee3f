#include "base/clock.h"

#include <time.h>

static uint64_t clock_read_us(clockid_t id)
{
    struct timespec now;
    clock_gettime(id, &now);
    return (uint64_t)now.tv_sec * 1000000U + (uint64_t)now.tv_nsec / 1000U;
}

uint64_t clock_monotonic_us(void)
{
    return clock_read_us(CLOCK_MONOTONIC);
}

uint64_t clock_monotonic_ms(void)
{
    return clock_monotonic_us() / 1000U;
}

uint64_t clock_wall_ms(void)
{
    return clock_read_us(CLOCK_REALTIME) / 1000U;
}

uint64_t clock_cpu_ms(void)
{
    return clock_read_us(CLOCK_PROCESS_CPUTIME_ID) / 1000U;
}

void clock_sleep_us(uint64_t us)
{
    struct timespec duration = {.tv_sec = (time_t)(us / 1000000U), .tv_nsec = (long)(us % 1000000U) * 1000L};
    nanosleep(&duration, NULL);
}
