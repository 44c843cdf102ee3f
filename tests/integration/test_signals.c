/*
 * Signals that come while a state replica still reads its log.
 *
 * Seen: the soak's seeds 11 and 22 asked a replica that had just started to
 * read its settings again, or to stop, and its process was ended by the signal.
 *
 * How it came about: a replica read its snapshot and log before it handled any
 * signal, and what is not handled ends a process.
 *
 * What showed it: a signal as soon as the process has a file of its data open.
 */
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
    TURNS = 60, /* so that reading the log takes milliseconds */
    STARTS = 5, /* of the replica */
    LOOK_US = 50,
    LIMIT_US = 5000000
};

static void setup(void)
{
    site_start();
    for (int i = 0; i < TURNS; i++) {
        site_large_turn(0, i);
    }
}

/* Whether a replica has a file of its data open, and so has begun to read it. */
static bool has_data_open(int daemon)
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

static void start_and_signal(int daemon, int signal_number)
{
    site_end_daemon(daemon, SIGKILL);
    site_start_daemon(daemon);
    for (int waited_us = 0; !has_data_open(daemon); waited_us += LOOK_US) {
        ck_assert_int_lt(waited_us, LIMIT_US);
        clock_sleep_us(LOOK_US);
    }
    kill(site_process(daemon), signal_number);
}

static bool runs(void *context)
{
    return site_metric(*(int *)context, "replica_running") == 1;
}

START_TEST(a_reload_during_the_start_does_not_end_a_replica)
{
    int daemon = 1;
    for (int i = 0; i < STARTS; i++) {
        int status = 0;
        start_and_signal(daemon, SIGHUP);
        clock_sleep_us(LIMIT_US / 20);
        ck_assert_msg(waitpid(site_process(daemon), &status, WNOHANG) == 0, "ended with %x by a reload at start %d",
                      (unsigned)status, i);
        site_wait(runs, &daemon, "the replica runs");
    }
}
END_TEST

START_TEST(a_stop_during_the_start_is_in_order)
{
    int daemon = 1;
    for (int i = 0; i < STARTS; i++) {
        int status = 0;
        start_and_signal(daemon, SIGTERM);
        waitpid(site_process(daemon), &status, 0);
        site_start_daemon(daemon);
        site_wait(runs, &daemon, "the replica runs");
        ck_assert_msg(WIFEXITED(status) && WEXITSTATUS(status) == 0, "ended with %x by a stop at start %d",
                      (unsigned)status, i);
    }
}
END_TEST

int main(int argc, char **argv)
{
    site_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("signals");
    TCase *tests = tcase_create("one site");
    tcase_set_timeout(tests, 120);
    tcase_add_checked_fixture(tests, setup, site_stop);
    tcase_add_test(tests, a_reload_during_the_start_does_not_end_a_replica);
    tcase_add_test(tests, a_stop_during_the_start_is_in_order);
    suite_add_tcase(suite, tests);
    return suite_run_in_process(suite);
}
