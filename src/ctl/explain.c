/*
 * bankbankctl explain: prints, in order of time, the lines of daemons' structured
 * logs (JSON lines) that have a request's id, and the context events around them:
 * those that affect all requests of the daemon that logged the id first. It marks
 * the first line that explains a failure.
 */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/ctl.h"
#include "net/json_input.h"

enum { EXPLAIN_LOOKBACK_MS = 3000 /* context events are shown from this long before the request */ };

struct explain_line {
    json_int_t ms;
    size_t order; /* position in the input; orders lines of the same millisecond */
    json_t *object;
};

struct explain_log {
    struct explain_line *lines;
    size_t count;
    size_t capacity;
};

/* Events that affect all requests of a daemon. */
static const char *const explain_context_events[] = {"stalled",     "state_lost",   "state_regained", "leader_changed",
                                                     "peer_lost",   "disk_blocked", "disk_slow",      "disk_failed",
                                                     "stop_begins", "start",        "lines_left_out"};

static const char *explain_field(const json_t *object, const char *key)
{
    return text_or_empty(json_string_value(json_object_get(object, key)));
}

static void explain_add(struct explain_log *log, json_t *object)
{
    if (log->count == log->capacity) {
        log->capacity = log->capacity == 0 ? 256 : log->capacity * 2;
        log->lines = memory_resize(log->lines, log->capacity * sizeof(*log->lines));
    }
    struct explain_line *line = &log->lines[log->count];
    line->ms = json_integer_value(json_object_get(object, "ms"));
    line->order = log->count++;
    line->object = object;
}

/* Adds the log lines of a file; skips other output, which has no JSON object with an "event". */
static bool explain_read(struct explain_log *log, const char *path)
{
    FILE *file = fopen(path, "r");
    char *text = NULL;
    size_t size = 0;
    if (file == NULL) {
        fprintf(stderr, "bankbankctl: %s: %s\n", path, strerror(errno));
        return false;
    }
    for (ssize_t length = getline(&text, &size, file); length > 0; length = getline(&text, &size, file)) {
        const char *start = strchr(text, '{');
        json_t *object = start == NULL ? NULL : json_input_parse(view_of_string(start), NULL);
        if (json_is_object(object) && json_object_get(object, "event") != NULL) {
            explain_add(log, object);
        } else {
            json_decref(object);
        }
    }
    free(text);
    fclose(file);
    return true;
}

static int explain_compare(const void *a, const void *b)
{
    const struct explain_line *left = a;
    const struct explain_line *right = b;
    if (left->ms != right->ms) {
        return left->ms < right->ms ? -1 : 1;
    }
    return left->order < right->order ? -1 : 1;
}

static bool explain_is_context(const struct explain_line *line, const char *node, json_int_t from_ms, json_int_t to_ms)
{
    if (line->ms < from_ms || line->ms > to_ms || strcmp(explain_field(line->object, "node"), node) != 0) {
        return false;
    }
    for (size_t i = 0; i < sizeof(explain_context_events) / sizeof(explain_context_events[0]); i++) {
        if (strcmp(explain_field(line->object, "event"), explain_context_events[i]) == 0) {
            return true;
        }
    }
    return false;
}

static void explain_print(const struct explain_line *line, json_int_t base_ms, const char *mark)
{
    json_t *rest = json_copy(line->object);
    json_object_del(rest, "ms");
    json_object_del(rest, "node");
    json_object_del(rest, "event");
    char *text = json_dumps(rest, JSON_COMPACT);
    printf("%s %+8lld ms  %-24s %-20s %s\n", mark, (long long)(line->ms - base_ms), explain_field(line->object, "node"),
           explain_field(line->object, "event"), text);
    free(text);
    json_decref(rest);
}

/* Returns false only for the line that reports a completed request. */
static bool explain_is_deciding(const struct explain_line *line)
{
    bool is_request_event = strcmp(explain_field(line->object, "event"), "request") == 0;
    return !is_request_event || strcmp(explain_field(line->object, "outcome"), "completed") != 0;
}

static const struct explain_line *explain_first(const struct explain_log *log, const char *id)
{
    for (size_t i = 0; i < log->count; i++) {
        if (strcmp(explain_field(log->lines[i].object, "id"), id) == 0) {
            return &log->lines[i];
        }
    }
    return NULL;
}

static int explain_show(const struct explain_log *log, const char *id)
{
    const struct explain_line *first = explain_first(log, id);
    const struct explain_line *deciding = NULL;
    if (first == NULL) {
        printf(
            "no log line has the id %s: its daemon's log is missing, or lines were suppressed (see lines_left_out)\n",
            id);
        return CTL_EXIT_FAILURE;
    }
    const char *node = explain_field(first->object, "node");
    json_int_t total_ms = json_integer_value(json_object_get(first->object, "total_ms"));
    json_int_t from_ms = first->ms - total_ms - EXPLAIN_LOOKBACK_MS;
    for (size_t i = 0; i < log->count; i++) {
        const struct explain_line *line = &log->lines[i];
        bool has_id = strcmp(explain_field(line->object, "id"), id) == 0;
        if (has_id) {
            bool is_first_deciding = deciding == NULL && explain_is_deciding(line);
            deciding = is_first_deciding ? line : deciding;
            explain_print(line, first->ms, is_first_deciding ? "=>" : "  ");
        } else if (explain_is_context(line, node, from_ms, first->ms + total_ms)) {
            explain_print(line, first->ms, "  ");
        }
    }
    if (deciding == NULL) {
        printf("the request completed\n");
    } else {
        const char *reason = explain_field(deciding->object, "reason");
        printf("decided by %s at %s: %s\n", explain_field(deciding->object, "event"),
               explain_field(deciding->object, "node"),
               reason[0] != '\0' ? reason : explain_field(deciding->object, "outcome"));
    }
    return 0;
}

int ctl_explain(int count, char **arguments)
{
    struct explain_log log = {0};
    int status = CTL_EXIT_USAGE;
    if (count < 2) {
        fprintf(stderr, "bankbankctl: explain requires a request id and at least one log file\n");
        return status;
    }
    status = CTL_EXIT_FAILURE;
    for (int i = 1; i < count; i++) {
        if (!explain_read(&log, arguments[i])) {
            goto out;
        }
    }
    if (log.count > 0) {
        qsort(log.lines, log.count, sizeof(*log.lines), explain_compare);
    }
    status = explain_show(&log, arguments[0]);
out:
    for (size_t i = 0; i < log.count; i++) {
        json_decref(log.lines[i].object);
    }
    free(log.lines);
    return status;
}
