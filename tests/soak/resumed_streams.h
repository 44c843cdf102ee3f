/**
 * @file resumed_streams.h
 * Streams on a resumable route whose caller resumes them after an interruption, at
 * any gateway, while servers of two software versions run. Reports the violations
 * "versions" and "mixed" (oracle.h).
 */
#ifndef BANKBANK_TESTS_RESUMED_STREAMS_H
#define BANKBANK_TESTS_RESUMED_STREAMS_H

#include "calls.h"

/** Totals over all callers. */
typedef struct resumed_streams_counters_t {
    uint64_t resumed;   /**< Requests that resumed a stream. */
    uint64_t continued; /**< Of these, answered with at least one event. */
} resumed_streams_counters_t;

/** Sends a request for a stream, and resumes it until it is complete, a resumption brings nothing, or the maximum
 * number of requests is reached. */
void resumed_streams_run(caller_t *caller);

resumed_streams_counters_t resumed_streams_counters(void);

#endif
