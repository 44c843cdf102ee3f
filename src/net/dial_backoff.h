/**
 * @file dial_backoff.h
 * Exponential backoff and connect timeout for dialling a peer. Does no I/O and reads no clock.
 *
 * A closed port refuses immediately, so the delay between attempts doubles.
 * An unreachable machine does not answer, and the kernel retransmits a SYN only
 * after a second. The first connect timeouts are shorter, so that a machine that
 * becomes reachable again is connected soon; the timeout doubles after several
 * timeouts, for connections with a high latency.
 */
#ifndef BANKBANK_NET_DIAL_BACKOFF_H
#define BANKBANK_NET_DIAL_BACKOFF_H

#include <stdint.h>

enum {
    DIAL_DELAY_MIN_MS = 50,    /**< First delay after a failed attempt, without jitter; half of it follows a timeout. */
    DIAL_DELAY_MAX_MS = 200,   /**< Longest delay, without jitter. */
    DIAL_TIMEOUT_MIN_MS = 150, /**< Connect timeout of the first attempts. */
    DIAL_TIMEOUT_MAX_MS = 1200,
    DIAL_TIMEOUT_STEP_ATTEMPTS = 8 /**< Timed-out attempts before the timeout doubles. */
};

typedef enum dial_result_t {
    DIAL_CONNECTED, /**< The peer's Hello was accepted. */
    DIAL_FAILED,    /**< The attempt failed before the connect timeout, or the connection ended. */
    DIAL_TIMED_OUT  /**< No answer within the connect timeout. */
} dial_result_t;

/** State of one peer; initially all zero. */
typedef struct dial_backoff_t {
    uint64_t next_attempt_ms;
    uint32_t failures; /**< Consecutive failed attempts, except timeouts. */
    uint32_t timeouts; /**< Consecutive attempts that timed out. */
} dial_backoff_t;

/** Records the result of an attempt. `random` adds jitter to the next one, so that daemons that lost the same peer do
 * not dial it at the same time. */
void dial_backoff_record(dial_backoff_t *backoff, uint64_t now_ms, dial_result_t result, uint32_t random);

/** Connect timeout of the next attempt. */
uint32_t dial_backoff_timeout_ms(const dial_backoff_t *backoff);

#endif
