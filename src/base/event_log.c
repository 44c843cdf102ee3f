#include "base/event_log.h"

#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>
#include <log4c.h>

#include "base/buffer.h"

enum {
    EVENT_LOG_SECOND_MS = 1000,
    EVENT_LOG_WRITE_MAX_BYTES = 4096 /* PIPE_BUF: a writable pipe accepts this much without blocking */
};

/* Line budget of one kind of event. */
struct event_kind {
    const char *name;
    uint64_t second;     /* monotonic time in seconds to which `lines` applies */
    uint32_t lines;      /* including suppressed ones */
    uint64_t suppressed; /* since the last report */
};

static struct {
    log4c_category_t *category;
    char *node;
    uint32_t lines_per_s;
    uint64_t now_ms;
    uint64_t wall_ms;
    uint64_t reported_second;
    uint64_t dropped;
    struct event_kind kinds[EVENT_LOG_MAX_KINDS];
    size_t kind_count;
    struct buffer pending;
} log_state;

static const char EVENT_LOG_NAME[] = "bankbank-events";

/* ---- log4c appender that writes to the bounded buffer -------------------------------- */

static int event_append(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
    (void)appender;
    size_t length = strlen(event->evt_msg);
    if (log_state.pending.length + length + 1 > EVENT_LOG_BUFFER_BYTES) {
        log_state.dropped++;
        return 0;
    }
    buffer_append(&log_state.pending, event->evt_msg, length);
    buffer_append(&log_state.pending, "\n", 1);
    return (int)length;
}

static const log4c_appender_type_t event_appender_type = {.name = EVENT_LOG_NAME, .append = event_append};

bool event_log_open(const char *node, uint32_t lines_per_s)
{
    log4c_appender_type_set(&event_appender_type);
    log4c_appender_t *appender = log4c_appender_get(EVENT_LOG_NAME);
    log4c_appender_set_type(appender, &event_appender_type);
    log4c_category_t *category = log4c_category_get(EVENT_LOG_NAME);
    log4c_category_set_appender(category, appender);
    log4c_category_set_additivity(category, 0);
    log4c_category_set_priority(category, LOG4C_PRIORITY_INFO);
    log_state.node = text_copy(node);
    log_state.lines_per_s = lines_per_s;
    log_state.category = category;
    return category != NULL;
}

void event_log_close(void)
{
    event_log_flush();
    free(log_state.node);
    buffer_close(&log_state.pending);
    memset(&log_state, 0, sizeof(log_state));
}

/* ---- Budgets -------------------------------------------------------------------------- */

static struct event_kind *event_kind_find(const char *name)
{
    for (size_t i = 0; i < log_state.kind_count; i++) {
        if (log_state.kinds[i].name == name || strcmp(log_state.kinds[i].name, name) == 0) {
            return &log_state.kinds[i];
        }
    }
    if (log_state.kind_count == EVENT_LOG_MAX_KINDS) {
        return &log_state.kinds[EVENT_LOG_MAX_KINDS - 1];
    }
    struct event_kind *kind = &log_state.kinds[log_state.kind_count++];
    kind->name = name;
    return kind;
}

/* Counts a line; returns false if it exceeds the budget. */
static bool event_kind_admit_line(struct event_kind *kind)
{
    uint64_t second = log_state.now_ms / EVENT_LOG_SECOND_MS;
    if (kind->second != second) {
        kind->second = second;
        kind->lines = 0;
    }
    kind->lines++;
    if (kind->lines <= log_state.lines_per_s) {
        return true;
    }
    kind->suppressed++;
    log_state.dropped++;
    return false;
}

static void event_emit(const char *event, json_t *object)
{
    char text[EVENT_LOG_MAX_LINE_BYTES];
    json_t *line =
        json_pack("{s:I,s:s,s:s}", "ms", (json_int_t)log_state.wall_ms, "node", log_state.node, "event", event);
    if (line != NULL && object != NULL) {
        json_object_update(line, object);
    }
    size_t length = line == NULL ? 0 : json_dumpb(line, text, sizeof(text) - 1, JSON_COMPACT);
    if (length > 0 && length < sizeof(text)) {
        text[length] = '\0';
        log4c_category_log(log_state.category, LOG4C_PRIORITY_INFO, "%s", text);
    } else {
        log_state.dropped++;
    }
    json_decref(line);
}

/* Logs, once a second, how many lines of each kind were suppressed by its budget. */
static void event_report_suppressed(void)
{
    uint64_t second = log_state.now_ms / EVENT_LOG_SECOND_MS;
    if (second == log_state.reported_second) {
        return;
    }
    log_state.reported_second = second;
    for (size_t i = 0; i < log_state.kind_count; i++) {
        struct event_kind *kind = &log_state.kinds[i];
        if (kind->suppressed > 0) {
            json_t *object = json_pack("{s:s,s:I}", "kind", kind->name, "lines", (json_int_t)kind->suppressed);
            kind->suppressed = 0;
            event_emit("lines_left_out", object);
            json_decref(object);
        }
    }
}

void event_log_set_time(uint64_t now_ms, uint64_t wall_ms)
{
    log_state.now_ms = now_ms;
    log_state.wall_ms = wall_ms;
}

static void event_log_va(const char *budget, const char *event, const char *format, va_list arguments)
{
    if (log_state.category == NULL || !event_kind_admit_line(event_kind_find(budget))) {
        return;
    }
    json_t *object = json_vpack_ex(NULL, 0, format, arguments);
    event_emit(event, object);
    json_decref(object);
}

void event_log(const char *event, const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    event_log_va(event, event, format, arguments);
    va_end(arguments);
}

void event_log_with_budget(const char *budget, const char *event, const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    event_log_va(budget, event, format, arguments);
    va_end(arguments);
}

void event_log_flush(void)
{
    event_report_suppressed();
    while (log_state.pending.length > 0) {
        struct pollfd out = {.fd = STDOUT_FILENO, .events = POLLOUT};
        if (poll(&out, 1, 0) <= 0 || (out.revents & POLLOUT) == 0) {
            return;
        }
        size_t size =
            log_state.pending.length < EVENT_LOG_WRITE_MAX_BYTES ? log_state.pending.length : EVENT_LOG_WRITE_MAX_BYTES;
        ssize_t written = write(STDOUT_FILENO, log_state.pending.data, size);
        if (written <= 0) {
            return;
        }
        buffer_consume(&log_state.pending, (size_t)written);
    }
}

uint64_t event_log_dropped(void)
{
    return log_state.dropped;
}
