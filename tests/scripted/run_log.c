/* Budgets of the structured log:
 *   second MS          the time moves on
 *   served COUNT       so many lines of requests that were served
 *   failed COUNT       so many lines of requests that were not
 *   flush              tells what was written since, and what it says was left out */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/event_log.h"
#include "script.h"

enum { LINES_PER_S = 40, LINE_MAX = 4096 };

static FILE *captured;

static void log_lines(const char *budget, uint64_t count)
{
    for (uint64_t i = 0; i < count; i++) {
        event_log_within(budget, "request", "{s:s}", "outcome", budget);
    }
}

/* The log writes to the standard output's descriptor: it is a file meanwhile. */
static void flush(void)
{
    char line[LINE_MAX];
    int served = 0;
    int failed = 0;
    char left_out[LINE_MAX] = "";
    fflush(stdout);
    int kept = dup(STDOUT_FILENO);
    dup2(fileno(captured), STDOUT_FILENO);
    event_log_flush();
    dup2(kept, STDOUT_FILENO);
    close(kept);
    rewind(captured);
    while (fgets(line, sizeof(line), captured) != NULL) {
        const char *kind = strstr(line, "\"kind\":");
        served += strstr(line, "\"outcome\":\"request\"") != NULL ? 1 : 0;
        failed += strstr(line, "\"outcome\":\"request_not_served\"") != NULL ? 1 : 0;
        if (kind != NULL) {
            snprintf(left_out, sizeof(left_out), "%.200s", kind);
        }
    }
    rewind(captured);
    if (ftruncate(fileno(captured), 0) != 0) {
        script_print("cannot be emptied\n");
    }
    script_print("served %d failed %d\n%s", served, failed, left_out);
}

static void run(const script_command_t *command)
{
    uint64_t number = script_number(command, 1, 0);
    if (script_is(command, 0, "second")) {
        event_log_time(number, number);
    } else if (script_is(command, 0, "served")) {
        log_lines("request", number);
    } else if (script_is(command, 0, "failed")) {
        log_lines("request_not_served", number);
    } else if (script_is(command, 0, "flush")) {
        flush();
    } else {
        script_print("unknown command\n");
    }
}

int main(int argc, char **argv)
{
    captured = tmpfile();
    event_log_open("n1", LINES_PER_S);
    int status = script_main(argc > 1 ? argv[1] : "tests/scripted/log.script", run);
    event_log_close();
    fclose(captured);
    return status;
}
