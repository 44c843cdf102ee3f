/**
 * @file place_wait.h
 * Whether a request that no server takes now waits, or is refused. Pure.
 *
 * Each server of a service has just refused it, or is passed over. Callers try
 * only a few times, so the request waits while that can still help its caller:
 * servers have places again within moments. The gateway serves those that wait
 * by the time that is left for the whole program, least first.
 */
#ifndef BANKBANK_CORE_PLACE_WAIT_H
#define BANKBANK_CORE_PLACE_WAIT_H

#include <stdbool.h>
#include <stdint.h>

enum {
    PLACE_LEFT_SHARE = 3,  /**< A request waits one part in so many of the time that is left at its begin. */
    PLACE_LONGEST_MS = 400 /**< And no longer than this. */
};

/** Whether a request that has waited for `waited_ms` goes on, with `left_ms` of its caller's time left. */
bool place_may_wait(uint64_t waited_ms, uint64_t left_ms);

#endif
