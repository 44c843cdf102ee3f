/*
 * Signals that come while a replica still reads its state back.
 *
 * Seen in a soak with restarts and reloads that overlap: a replica ended by
 * SIGHUP, another by SIGTERM, with no line in its log after `restore_begins`.
 * The handlers were set up behind the state, and until then a signal ends a
 * process by itself.
 */
#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "../unit/suite.h"
#include "base/clock.h"
#include "site.h"

enum {
    TURN_BYTES = 60 * 1024, /* what a caller brings; the route takes 64 KiB */
    TURNS = 500,            /* 30 MB of log: it is read for some 30 ms */
    STEP_US = 500,
    STEPS = 20000
};

static char text[TURN_BYTES + 1];

static void fill_log(void)
{
    struct site_answer answer;
    char lines[160];
    memset(text, 'x', sizeof(text) - 1);
    for (int i = 0; i < TURNS; i++) {
        snprintf(lines, sizeof(lines),
                 "Bankbank-Program-Id: p-%d\r\nBankbank-Token-Budget: 100000\r\nBankbank-Token-Usage: 10,15\r\n", i);
        site_call(0, "POST", "/chat/x", lines, text, &answer);
        ck_assert_int_eq(answer.status, 200);
        site_answer_close(&answer);
    }
}

static bool replica_is_member(void *context)
{
    return site_metric(*(int *)context, "raft_members") == SITE_STATES;
}

/* Starts a replica and sends it a signal as soon as it says that it begins to read. */
static void signal_while_it_reads(int state, int number)
{
    site_end_daemon(state, SIGKILL);
    int before = site_log_count(state, "\"restore_begins\"");
    site_start_daemon(state);
    for (int i = 0; site_log_count(state, "\"restore_begins\"") == before; i++) {
        ck_assert_msg(i < STEPS, "replica %d does not start", state);
        clock_sleep_us(STEP_US);
    }
    kill(site_process(state), number);
}

START_TEST(a_reload_while_a_replica_reads_does_not_end_it)
{
    int status = 0;
    int state = 1;
    fill_log();
    signal_while_it_reads(state, SIGHUP);
    clock_sleep_us(300 * 1000);
    ck_assert_msg(waitpid(site_process(state), &status, WNOHANG) == 0, "it ended, status %x", (unsigned)status);
    site_wait(replica_is_member, &state, "it has come up");
}
END_TEST

START_TEST(a_stop_while_a_replica_reads_is_a_planned_one)
{
    int status = 0;
    int state = 2;
    signal_while_it_reads(state, SIGTERM);
    pid_t process = site_process(state);
    ck_assert_int_eq(waitpid(process, &status, 0), process);
    ck_assert_msg(WIFEXITED(status) && WEXITSTATUS(status) == 0, "it ended with %x", (unsigned)status);
    site_start_daemon(state);
    site_wait(replica_is_member, &state, "it has come up");
}
END_TEST

int main(int argc, char **argv)
{
    site_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("signals at the start");
    TCase *tests = tcase_create("one site");
    tcase_set_timeout(tests, 120);
    tcase_add_unchecked_fixture(tests, site_start, site_stop);
    tcase_add_test(tests, a_reload_while_a_replica_reads_does_not_end_it);
    tcase_add_test(tests, a_stop_while_a_replica_reads_is_a_planned_one);
    suite_add_tcase(suite, tests);
    return suite_run_in_process(suite);
}
