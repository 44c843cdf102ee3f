/**
 * @file event_log.h
 * Structured event log: one JSON object per line on standard output, through
 * log4c. Lines are buffered and written without blocking, so that a slow reader
 * never delays a request; if the buffer is full, they are dropped. Each kind of
 * event has a budget of lines per second; further lines are dropped, and a
 * separate line reports their number.
 */
#ifndef BANKBANK_BASE_EVENT_LOG_H
#define BANKBANK_BASE_EVENT_LOG_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

enum {
    EVENT_LOG_BUFFER_BYTES = 256 << 10,
    EVENT_LOG_MAX_LINE_BYTES = 2048,
    EVENT_LOG_MAX_KINDS = 64,  /**< Further kinds share the budget of the last one. */
    EVENT_LOG_LINES_PER_S = 40 /**< Default budget of a kind. */
};

/** Opens the log. Every line has the member "node" with the value `node`; `lines_per_s` is the budget of each kind.
 * Returns false on failure. */
bool event_log_open(const char *node, uint32_t lines_per_s);

/** Writes as many buffered bytes as possible without blocking, then closes the log. */
void event_log_close(void);

/** Sets the time of later lines: `now_ms` on the monotonic clock, `wall_ms` since the Unix epoch. */
void event_log_set_time(uint64_t now_ms, uint64_t wall_ms);

/**
 * Logs a line. `event` is a string literal that names the kind; `format` and its
 * arguments are those of jansson's json_pack() and produce an object.
 */
void event_log(const char *event, const char *format, ...);

/**
 * Like event_log(), but counts the line against the budget named by the string
 * literal `budget`, so that frequent lines of a kind do not suppress rare ones.
 */
void event_log_with_budget(const char *budget, const char *event, const char *format, ...);

/** Writes as many buffered bytes as possible without blocking. */
void event_log_flush(void);

/** Lines dropped so far for any reason. */
uint64_t event_log_dropped(void);

#endif
