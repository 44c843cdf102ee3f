/**
 * @file calls.h
 * One caller of the soak: its seed, its connections, and its requests. Each
 * request tells its time, and its end is judged by what was done meanwhile:
 *
 *   unanswered  the connection ends without an answer in the caller's time, a
 *               server had begun the request, and its gateway was not killed
 *   cut         an answer ends before it is whole in the caller's time, while
 *               nothing unplanned was done to anyone from CALLS_CONTACT_MS before
 *               the request, and one state replica at most was asked to stop
 */
#ifndef BANKBANK_TESTS_CALLS_H
#define BANKBANK_TESTS_CALLS_H

#include <stdbool.h>
#include <stdint.h>

#include "../integration/site.h"
#include "line.h"
#include "lives.h"
#include "oracle.h"

enum {
    CALLS_CONTACT_MS = 2500, /**< What was done so long before a request may still show. */
    CALLS_EVENTS = 3         /**< Events of a whole stream. */
};

/** A caller. */
typedef struct caller_t {
    int number;
    uint64_t seed;
    bool keeps;               /**< Keeps its connections open. */
    line_t lines[LIVES_MOST]; /**< To each gateway. */
} caller_t;

/** A request. */
typedef struct call_t {
    const char *id;
    const char *path;
    const char *lines; /**< Header lines, each with CRLF, or "". */
    const char *body;
    oracle_wish_t wish; /**< Without its end. */
    uint32_t time_ms;   /**< The caller's time. */
    int gateway;
} call_t;

/** What callers have seen so far. */
typedef struct calls_sum_t {
    uint64_t calls;   /**< Requests sent. */
    uint64_t kept;    /**< Of these on a connection that carried one before. */
    uint64_t served;  /**< Whole successes. */
    uint64_t refused; /**< Refused as not run. */
} calls_sum_t;

/** An id of its own. */
void calls_next_id(char *out, size_t size, const caller_t *caller, const char *kind);

/** Sends a request and reads its answer; tells the oracle what it promises. */
void calls_make(caller_t *caller, const call_t *call, struct site_answer *answer);

/** Requests that stand alone: one that may not be repeated, one that may, a stream that may be resumed, and one for
 * a route that a configuration added. */
void calls_once(caller_t *caller);
void calls_safe(caller_t *caller);
void calls_open(caller_t *caller);
void calls_added(caller_t *caller);

/** Says so if an answer is not the stream of a request. */
void calls_check_events(const char *id, struct buffer *body);

/** Closes a caller's connections. */
void calls_close(caller_t *caller);

calls_sum_t calls_sum(void);

#endif
