/**
 * @file dial_pace.h
 * When to dial a peer again, and how long one attempt may take. Pure.
 *
 * A dead port answers at once, so attempts are told apart by a pause that
 * doubles. A machine without power says nothing, and the kernel sends the
 * opening packet again only after a second: an attempt is given up long
 * before that, so that a peer that comes back is found within one attempt.
 * After a few silent attempts the limit grows, for links that are slow.
 */
#ifndef BANKBANK_NET_DIAL_PACE_H
#define BANKBANK_NET_DIAL_PACE_H

#include <stdint.h>

enum {
    DIAL_PAUSE_MIN_MS = 50,   /**< First pause after an attempt that failed. */
    DIAL_PAUSE_MAX_MS = 200,  /**< Longest pause. */
    DIAL_LIMIT_MIN_MS = 150,  /**< Time that one of the first attempts may take. */
    DIAL_LIMIT_MAX_MS = 1200, /**< Time that any attempt may take. */
    DIAL_LIMIT_ATTEMPTS = 8   /**< Silent attempts before the limit doubles. */
};

/** How an attempt to connect ended. */
typedef enum dial_end_t {
    DIAL_END_CONNECTED, /**< The peer said who it is. */
    DIAL_END_REFUSED,   /**< A dead port, or a connection that broke. */
    DIAL_END_SILENT     /**< Nothing was heard within the limit. */
} dial_end_t;

/** Pace of the attempts to one peer; all zero at the start. */
typedef struct dial_pace_t {
    uint64_t due_ms;          /**< Time of the next attempt. */
    uint32_t refused;         /**< Failures in a row. */
    uint32_t silent_attempts; /**< Silent attempts in a row. */
} dial_pace_t;

/** Notes the end of an attempt at `now_ms`; `random` spreads the daemons that lost the same peer. */
void dial_pace_note(dial_pace_t *pace, uint64_t now_ms, dial_end_t end, uint32_t random);

/** Time that the next attempt may take, ms. */
uint32_t dial_pace_limit_ms(const dial_pace_t *pace);

#endif
