/*
 * Servers in trouble send bytes that are no answer and do not end: in a head, in a body, as interim responses, comments
 * or a chunk extension. Guards against gateways that read them until the caller's deadline, or until their own memory
 * is full, and against callers that wait for what cannot come.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "../unit/suite.h"
#include "site.h"

enum { MEMORY_LIMIT_MB = 48, CALLERS = 24, PATH_BYTES = 64, LINE_BYTES = 256 };

static const enum site_mode whole_modes[] = {SITE_ENDLESS_HEAD, SITE_ENDLESS_INTERIM, SITE_ENDLESS_CHUNK,
                                             SITE_ENDLESS_BODY, SITE_ENDLESS_REFUSAL};
static const enum site_mode stream_modes[] = {SITE_ENDLESS_HEAD,     SITE_ENDLESS_INTERIM, SITE_ENDLESS_CHUNK,
                                              SITE_ENDLESS_COMMENTS, SITE_ENDLESS_EVENT,   SITE_ENDLESS_REFUSAL};

enum { WHOLE_MODES = sizeof(whole_modes) / sizeof(*whole_modes) };
enum { STREAM_MODES = sizeof(stream_modes) / sizeof(*stream_modes) };

/* Highest resident memory of a daemon so far. */
static long peak_kb(int daemon)
{
    char path[PATH_BYTES];
    char line[LINE_BYTES];
    long peak = -1;
    snprintf(path, sizeof(path), "/proc/%d/status", (int)site_process(daemon));
    FILE *file = fopen(path, "r");
    ck_assert_ptr_nonnull(file);
    while (fgets(line, sizeof(line), file) != NULL) {
        if (sscanf(line, "VmHWM: %ld kB", &peak) == 1) {
            break;
        }
    }
    fclose(file);
    return peak;
}

static void expect_running(int daemon)
{
    int status = 0;
    ck_assert_msg(waitpid(site_process(daemon), &status, WNOHANG) == 0, "daemon %d exited: wait status %x", daemon,
                  (unsigned)status);
}

static int call(int gateway, const char *path, bool *complete)
{
    struct site_response response;
    site_call(gateway, "POST", path, "Bankbank-Deadline-Ms: 2500\r\n", "prompt", &response);
    int status = response.status;
    *complete = response.complete;
    site_response_close(&response);
    return status;
}

/* All servers are in trouble: the caller is told before its deadline (504), and never gets a complete answer. */
START_TEST(a_request_ends_before_its_deadline)
{
    for (int i = 0; i < WHOLE_MODES; i++) {
        bool complete = false;
        site_set_mode(-1, whole_modes[i]);
        int expected = whole_modes[i] == SITE_ENDLESS_REFUSAL ? 503 : 502;
        int status = call(0, "/once/x", &complete);
        ck_assert_msg(status == expected, "mode %d: status %d, expected %d", (int)whole_modes[i], status, expected);
        expect_running(site_gateway_daemon(0));
    }
}
END_TEST

START_TEST(a_stream_ends_before_its_deadline)
{
    for (int i = 0; i < STREAM_MODES; i++) {
        bool complete = false;
        site_set_mode(-1, stream_modes[i]);
        int status = call(0, "/open/chat/x", &complete);
        bool aborted = status == 200 && !complete;
        ck_assert_msg(aborted || status == 502 || status == 503, "mode %d: status %d, %s", (int)stream_modes[i], status,
                      complete ? "complete" : "incomplete");
        expect_running(site_gateway_daemon(0));
    }
}
END_TEST

/* One server is in trouble: repeatable requests are answered by another one. */
START_TEST(a_sound_server_answers)
{
    for (int i = 0; i < WHOLE_MODES; i++) {
        for (int server = 0; server < SITE_SERVERS; server++) {
            site_set_mode(server, server % 2 == 0 ? whole_modes[i] : SITE_NORMAL);
        }
        for (int j = 0; j < SITE_SERVERS; j++) {
            bool complete = false;
            int status = call(j % SITE_GATEWAYS, "/safe/x", &complete);
            ck_assert_msg(status == 200 && complete, "mode %d: status %d", (int)whole_modes[i], status);
        }
    }
}
END_TEST

typedef struct caller_t {
    pthread_t thread;
    const char *path;
    int status;
    bool complete;
} caller_t;

static void *run_caller(void *argument)
{
    caller_t *caller = argument;
    caller->status = call(0, caller->path, &caller->complete);
    return NULL;
}

static void call_in_parallel(const char *path, enum site_mode mode)
{
    static caller_t callers[CALLERS];
    site_set_mode(-1, mode);
    for (int i = 0; i < CALLERS; i++) {
        callers[i] = (caller_t){.path = path};
        pthread_create(&callers[i].thread, NULL, run_caller, &callers[i]);
    }
    for (int i = 0; i < CALLERS; i++) {
        pthread_join(callers[i].thread, NULL);
        ck_assert(callers[i].status != 200 || !callers[i].complete);
    }
    expect_running(site_gateway_daemon(0));
    printf("mode %d: peak %ld kB\n", (int)mode, peak_kb(site_gateway_daemon(0)));
    fflush(stdout);
#ifndef __SANITIZE_ADDRESS__ /* which keeps freed memory */
    ck_assert_int_lt(peak_kb(site_gateway_daemon(0)), MEMORY_LIMIT_MB * 1024);
#endif
}

/* Many such responses at a time must not fill the gateway's memory, whose limit ends the process on the platform. */
START_TEST(memory_stays_within_the_limit)
{
    bool complete = false;
    call_in_parallel("/once/x", SITE_ENDLESS_BODY);
    call_in_parallel("/open/chat/x", SITE_ENDLESS_EVENT);
    call_in_parallel("/open/chat/x", SITE_ENDLESS_COMMENTS);
    site_set_mode(-1, SITE_NORMAL);
    ck_assert_int_eq(call(0, "/safe/x", &complete), 200);
}
END_TEST

static void start(void)
{
    site_limit_memory(MEMORY_LIMIT_MB);
    site_start();
}

int main(int argc, char **argv)
{
    site_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("endless responses");
    TCase *tests = tcase_create("one site");
    tcase_set_timeout(tests, 120);
    tcase_add_unchecked_fixture(tests, start, site_stop);
    tcase_add_test(tests, a_request_ends_before_its_deadline);
    tcase_add_test(tests, a_stream_ends_before_its_deadline);
    tcase_add_test(tests, a_sound_server_answers);
    tcase_add_test(tests, memory_stays_within_the_limit);
    suite_add_tcase(suite, tests);
    return suite_run_without_fork(suite); /* the simulated servers are threads of this process */
}
