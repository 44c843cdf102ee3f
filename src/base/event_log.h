/**
 * @file event_log.h
 * Structured log for people on call and for programs: one JSON object a line
 * on standard output, through log4c. Lines are kept in a bounded buffer and
 * written only as far as the reader takes them, so that logging never blocks
 * a request. Each kind of event has a budget of lines a second; what went over
 * it, or found the buffer full, is counted in a line of its own.
 */
#ifndef BANKBANK_BASE_EVENT_LOG_H
#define BANKBANK_BASE_EVENT_LOG_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

enum {
    EVENT_LOG_BUFFER = 256 << 10, /**< Bytes kept for a slow reader. */
    EVENT_LOG_LINE_MAX = 2048,    /**< Longest line. */
    EVENT_LOG_KINDS = 64,         /**< Kinds of events. */
    EVENT_LOG_LINES_PER_S = 40    /**< Default budget of a kind. */
};

/** Starts the log: each line names the process `node`. */
bool event_log_open(const char *node, uint32_t lines_per_s);

/** Writes what is left, as far as the reader takes it. */
void event_log_close(void);

/** Sets the time of the lines that follow: steady and wall clock, ms. */
void event_log_time(uint64_t now_ms, uint64_t wall_ms);

/**
 * Adds a line. `event` is a literal that names the kind; `format` and what
 * follows are as for jansson's json_pack and give an object.
 */
void event_log(const char *event, const char *format, ...);

/**
 * The same with a budget apart from that of other lines of the kind, so that
 * what is common does not crowd out what is rare. `budget` is a literal.
 */
void event_log_within(const char *budget, const char *event, const char *format, ...);

/** Writes as much as the reader takes without waiting. */
void event_log_flush(void);

/** Lines that were left out so far. */
uint64_t event_log_dropped(void);

#endif
