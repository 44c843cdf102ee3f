#include "base/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include <log4c.h>

enum { LOG_LINE_MAX = 1024, LOG_TIME_MAX = 32 };

static const char LOG_LAYOUT_NAME[] = "bankbank-line";
static log4c_category_t *log_category;
static void (*log_sink)(enum log_level level, const char *component, const char *text);
static enum log_level log_sink_level;
static const char *const log_level_names[] = {"error", "warn", "info", "debug"};

void log_redirect(enum log_level level, void (*sink)(enum log_level level, const char *component, const char *text))
{
    log_sink_level = level;
    log_sink = sink;
}

const char *log_level_name(enum log_level level)
{
    return log_level_names[level];
}

static const char *log_format_line(const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
    static __thread char line[LOG_LINE_MAX + LOG_TIME_MAX + 16];
    (void)layout;
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    struct tm parts;
    gmtime_r(&now.tv_sec, &parts);
    char stamp[LOG_TIME_MAX];
    strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &parts);
    snprintf(line, sizeof(line), "%s.%03ldZ %s %s\n", stamp, now.tv_nsec / 1000000L,
             log4c_priority_to_string(event->evt_priority), event->evt_msg);
    return line;
}

static const log4c_layout_type_t log_layout_type = {.name = LOG_LAYOUT_NAME, .format = log_format_line};

static int log_priority(enum log_level level)
{
    static const int priorities[] = {LOG4C_PRIORITY_ERROR, LOG4C_PRIORITY_WARN, LOG4C_PRIORITY_INFO,
                                     LOG4C_PRIORITY_DEBUG};
    return priorities[level];
}

bool log_init(enum log_level level)
{
    log4c_layout_type_set(&log_layout_type);
    if (log4c_init() != 0) {
        return false;
    }
    log4c_layout_t *layout = log4c_layout_get(LOG_LAYOUT_NAME);
    log4c_layout_set_type(layout, &log_layout_type);
    log4c_appender_t *appender = log4c_appender_get("stderr");
    log4c_appender_set_layout(appender, layout);
    log4c_category_t *category = log4c_category_get("bankbank");
    log4c_category_set_appender(category, appender);
    log4c_category_set_additivity(category, 0);
    log4c_category_set_priority(category, log_priority(level));
    log_category = category;
    return true;
}

void log_close(void)
{
    log_category = NULL;
    log4c_fini();
}

bool log_level_parse(const char *name, enum log_level *level)
{
    for (int i = 0; i < 4; i++) {
        if (strcmp(name, log_level_names[i]) == 0) {
            *level = (enum log_level)i;
            return true;
        }
    }
    return false;
}

void log_write(enum log_level level, const char *component, const char *format, ...)
{
    int priority = log_priority(level);
    if (log_sink != NULL && level <= log_sink_level) {
        char line[LOG_LINE_MAX];
        va_list values;
        va_start(values, format);
        vsnprintf(line, sizeof(line), format, values);
        va_end(values);
        log_sink(level, component, line);
        return;
    }
    if (log_category == NULL || !log4c_category_is_priority_enabled(log_category, priority)) {
        return;
    }
    char text[LOG_LINE_MAX];
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    log4c_category_log(log_category, priority, "%s: %s", component, text);
}
