/* Signals to a state replica that is restoring its log. Guards against signal handlers that are installed only after
 * the restore, so that SIGHUP or SIGTERM kills the process. */
#include <check.h>
#include <dirent.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../unit/suite.h"
#include "base/clock.h"
#include "site.h"

enum {
    TURNS = 60, /* enough for a restore that takes milliseconds */
    RESTARTS = 5,
    POLL_US = 50,
    TIMEOUT_US = 5000000
};

static void start_site_with_long_log(void)
{
    site_start();
    for (int i = 0; i < TURNS; i++) {
        site_large_turn(0, i);
    }
}

/* An open log file shows that the replica has begun to restore it. */
static bool has_log_file_open(int daemon)
{
    char folder[64];
    char wanted[32];
    bool open = false;
    snprintf(folder, sizeof(folder), "/proc/%d/fd", (int)site_process(daemon));
    snprintf(wanted, sizeof(wanted), "/data-%d/log-", daemon);
    DIR *files = opendir(folder);
    const struct dirent *entry = files == NULL ? NULL : readdir(files);
    for (; entry != NULL && !open; entry = readdir(files)) {
        char path[400];
        char target[256] = "";
        snprintf(path, sizeof(path), "%s/%s", folder, entry->d_name);
        open = readlink(path, target, sizeof(target) - 1) > 0 && strstr(target, wanted) != NULL;
    }
    if (files != NULL) {
        closedir(files);
    }
    return open;
}

static void restart_and_signal(int daemon, int signal_number)
{
    site_kill_daemon(daemon, SIGKILL);
    site_start_daemon(daemon);
    for (int waited_us = 0; !has_log_file_open(daemon); waited_us += POLL_US) {
        ck_assert_int_lt(waited_us, TIMEOUT_US);
        clock_sleep_us(POLL_US);
    }
    kill(site_process(daemon), signal_number);
}

static bool replica_runs(void *context)
{
    return site_metric(*(int *)context, "replica_running") == 1;
}

START_TEST(a_reload_during_the_start_does_not_end_a_replica)
{
    int daemon = 1;
    for (int i = 0; i < RESTARTS; i++) {
        int status = 0;
        restart_and_signal(daemon, SIGHUP);
        clock_sleep_us(TIMEOUT_US / 20);
        ck_assert_msg(waitpid(site_process(daemon), &status, WNOHANG) == 0,
                      "the replica ended after SIGHUP during restart %d: wait status %x", i, (unsigned)status);
        site_wait(replica_runs, &daemon, "the replica runs");
    }
}
END_TEST

START_TEST(a_stop_during_the_start_exits_cleanly)
{
    int daemon = 1;
    for (int i = 0; i < RESTARTS; i++) {
        int status = 0;
        restart_and_signal(daemon, SIGTERM);
        waitpid(site_process(daemon), &status, 0);
        site_start_daemon(daemon);
        site_wait(replica_runs, &daemon, "the replica runs");
        ck_assert_msg(WIFEXITED(status) && WEXITSTATUS(status) == 0,
                      "no clean exit after SIGTERM during restart %d: wait status %x", i, (unsigned)status);
    }
}
END_TEST

int main(int argc, char **argv)
{
    site_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("signals");
    TCase *tests = tcase_create("one site");
    tcase_set_timeout(tests, 120);
    tcase_add_checked_fixture(tests, start_site_with_long_log, site_stop);
    tcase_add_test(tests, a_reload_during_the_start_does_not_end_a_replica);
    tcase_add_test(tests, a_stop_during_the_start_exits_cleanly);
    suite_add_tcase(suite, tests);
    return suite_run_without_fork(suite);
}
