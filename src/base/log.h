/**
 * @file log.h
 * Structured log lines through log4c: "time level part: text", on stderr.
 * Each part of the program logs under its own fixed prefix.
 */
#ifndef BANKBANK_BASE_LOG_H
#define BANKBANK_BASE_LOG_H

#include <stdbool.h>

enum log_level { LOG_LEVEL_ERROR, LOG_LEVEL_WARN, LOG_LEVEL_INFO, LOG_LEVEL_DEBUG };

/** Starts logging at `level`; call once before the first thread. */
bool log_init(enum log_level level);

/** Flushes and ends logging. */
void log_close(void);

/** Reads a level name; returns false if it is not one. */
bool log_level_parse(const char *name, enum log_level *level);

/** Gives every line of at least `level` to `sink` instead of stderr; log_init() is not needed then. */
void log_redirect(enum log_level level, void (*sink)(enum log_level level, const char *part, const char *text));

/** Name of a level. */
const char *log_level_name(enum log_level level);

/** Writes one line under the prefix `part`. */
void log_write(enum log_level level, const char *part, const char *format, ...) __attribute__((format(printf, 3, 4)));

#define log_error(part, ...) log_write(LOG_LEVEL_ERROR, part, __VA_ARGS__)
#define log_warn(part, ...) log_write(LOG_LEVEL_WARN, part, __VA_ARGS__)
#define log_info(part, ...) log_write(LOG_LEVEL_INFO, part, __VA_ARGS__)
#define log_debug(part, ...) log_write(LOG_LEVEL_DEBUG, part, __VA_ARGS__)

#endif
