/* Budgets of the structured log:
 *   second MS          sets the time
 *   served COUNT       logs COUNT served requests
 *   failed COUNT       logs COUNT failed requests
 *   flush              prints the number of lines written since the last flush, and the last report of
 *                      dropped lines */
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
        event_log_with_budget(budget, "request", "{s:s}", "outcome", budget);
    }
}

/* Redirects standard output to a file during the flush. */
static void flush(void)
{
    char line[LINE_MAX];
    int served = 0;
    int failed = 0;
    char drop_report[LINE_MAX] = "";
    fflush(stdout);
    int saved_stdout = dup(STDOUT_FILENO);
    dup2(fileno(captured), STDOUT_FILENO);
    event_log_flush();
    dup2(saved_stdout, STDOUT_FILENO);
    close(saved_stdout);
    rewind(captured);
    while (fgets(line, sizeof(line), captured) != NULL) {
        const char *kind = strstr(line, "\"kind\":");
        served += strstr(line, "\"outcome\":\"request\"") != NULL ? 1 : 0;
        failed += strstr(line, "\"outcome\":\"request_not_served\"") != NULL ? 1 : 0;
        if (kind != NULL) {
            snprintf(drop_report, sizeof(drop_report), "%.200s", kind);
        }
    }
    rewind(captured);
    if (ftruncate(fileno(captured), 0) != 0) {
        script_print("cannot truncate the captured output\n");
    }
    script_print("served %d failed %d\n%s", served, failed, drop_report);
}

static void run(const script_command_t *command)
{
    uint64_t number = script_number(command, 1, 0);
    if (script_is(command, 0, "second")) {
        event_log_set_time(number, number);
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
