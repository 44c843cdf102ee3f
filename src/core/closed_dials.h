/**
 * @file closed_dials.h
 * Addresses that accept connections and close them at once, before any request. No
 * I/O; callers pass the time.
 *
 * A proxy or load balancer accepts connections also for a server that has ended, so
 * that no connection is refused. A request sent there is lost, and looks as if a
 * server had failed under it. Such a server therefore gets no requests until a
 * connection to it stays open: it is dialled again, at growing intervals.
 *
 * A live server may close new connections as well, when it has too many. It is
 * therefore served again after CLOSED_DIALS_MAX dials in a row, whatever they show.
 *
 *   serving -> (closed unused) held -> (a further dial stays open, or CLOSED_DIALS_MAX were closed) serving
 */
#ifndef BANKBANK_CORE_CLOSED_DIALS_H
#define BANKBANK_CORE_CLOSED_DIALS_H

#include <stdbool.h>
#include <stdint.h>

enum {
    CLOSED_DIALS_MAX = 6,
    CLOSED_DIALS_FIRST_MS = 50,     /**< Time until the next dial; doubles with each. */
    CLOSED_DIALS_INTERVAL_MS = 400, /**< Upper bound of that time. */
    CLOSED_DIALS_SETTLE_MS = 50,    /**< As UPSTREAM_AT_ONCE_MS (net/upstream.h). */
    CLOSED_DIALS_LATE_MS = 50       /**< By how much a dial may be late. */
};

/** All zero: serving. */
typedef struct closed_dials_t {
    uint32_t count;         /**< Closed ones in a row. */
    uint64_t redial_ms;     /**< When the address is dialled again; 0: no dial is due. */
    uint64_t held_until_ms; /**< It gets no requests until then. */
} closed_dials_t;

/** Records that the address closed a connection at once. Returns whether it is held, from now on or still. */
bool closed_dials_record(closed_dials_t *dials, uint64_t now_ms);

/** Whether to dial the address now; the dial is due once. */
bool closed_dials_take_redial(closed_dials_t *dials, uint64_t now_ms);

#endif
