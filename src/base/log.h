/**
 * @file log.h
 * Logs lines to stderr through log4c: "time level component: text".
 */
#ifndef BANKBANK_BASE_LOG_H
#define BANKBANK_BASE_LOG_H

#include <stdbool.h>

enum log_level { LOG_LEVEL_ERROR, LOG_LEVEL_WARN, LOG_LEVEL_INFO, LOG_LEVEL_DEBUG };

/** Starts logging at `level`; call once, before any thread is started. Returns false on failure. */
bool log_init(enum log_level level);

void log_close(void);

/** Returns false if `name` is not a level. */
bool log_level_parse(const char *name, enum log_level *level);

/** Passes lines of severity `level` or higher to `sink` instead of stderr; log_init() is not needed then. */
void log_redirect(enum log_level level, void (*sink)(enum log_level level, const char *component, const char *text));

const char *log_level_name(enum log_level level);

/** Logs one line, prefixed with `component`. */
void log_write(enum log_level level, const char *component, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

#define log_error(component, ...) log_write(LOG_LEVEL_ERROR, component, __VA_ARGS__)
#define log_warn(component, ...) log_write(LOG_LEVEL_WARN, component, __VA_ARGS__)
#define log_info(component, ...) log_write(LOG_LEVEL_INFO, component, __VA_ARGS__)
#define log_debug(component, ...) log_write(LOG_LEVEL_DEBUG, component, __VA_ARGS__)

#endif
