/*
 * A stream whose route allows one server, at a server that leaves and lives.
 *
 * The server falls silent in the middle of the stream and takes no connection
 * for two dials. Where it does not leave, the stream stays: two dials are not
 * enough. Where the list shows it as draining, the stream is taken to a second
 * server while the first one still runs it.
 */
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "../unit/suite.h"
#include "base/clock.h"
#include "site.h"
#include "site_internal.h"

enum { GATEWAY = SITE_STATES, LOOK_US = 500, LOOKS = 6000 };

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static char watched[32];
static bool ran_on[SITE_SERVERS];
static int first = -1;

static void note_run(const site_run_t *run)
{
    pthread_mutex_lock(&lock);
    if (strcmp(run->id, watched) == 0) {
        first = first < 0 ? run->server : first;
        ran_on[run->server] = true;
    }
    pthread_mutex_unlock(&lock);
}

static int servers(void)
{
    int count = 0;
    pthread_mutex_lock(&lock);
    for (int i = 0; i < SITE_SERVERS; i++) {
        count += ran_on[i] ? 1 : 0;
    }
    pthread_mutex_unlock(&lock);
    return count;
}

static void *make_request(void *unused)
{
    struct site_answer answer;
    (void)unused;
    site_call_as(0, watched, "POST", "/open/chat/x", "Bankbank-Deadline-Ms: 2900\r\n", "prompt", &answer);
    site_answer_close(&answer);
    return NULL;
}

static bool runs(void *context)
{
    (void)context;
    return servers() > 0;
}

static int servers_of_stream(const char *id, bool draining, const char *until)
{
    pthread_t thread;
    pthread_mutex_lock(&lock);
    snprintf(watched, sizeof(watched), "%s", id);
    memset(ran_on, 0, sizeof(ran_on));
    first = -1;
    pthread_mutex_unlock(&lock);
    ck_assert_int_eq(servers(), 0);
    site_set_mode(-1, SITE_PAUSED); /* two events, and two seconds of silence */
    pthread_create(&thread, NULL, make_request, NULL);
    site_wait(runs, NULL, "the stream runs");
    site_set_dark(first, true);
    site_set_draining(first, draining);
    for (int i = 0; i < LOOKS && !site_log_has(GATEWAY, until); i++) {
        clock_sleep_us(LOOK_US);
    }
    site_set_dark(first, false);
    pthread_join(thread, NULL);
    printf("%s: %d servers, lost: %d, cut off: %d\n", id, servers(), site_log_has(GATEWAY, "server_lost"),
           site_log_has(GATEWAY, "server_cut_off"));
    fflush(stdout);
    ck_assert(site_log_has(GATEWAY, until));
    site_set_draining(first, false);
    return servers();
}

START_TEST(a_stream_stays_at_a_server_that_misses_two_dials)
{
    ck_assert_int_eq(servers_of_stream("stays", false, "server_lost"), 1);
}
END_TEST

START_TEST(a_stream_stays_at_a_server_that_leaves_and_misses_two_dials)
{
    ck_assert_int_eq(servers_of_stream("leaves", true, "server_lost"), 1);
}
END_TEST

/* All dials fall into 200 ms, and are lost for one reason: the server's queue of connections is full. Its kernel
 * answers on the stream's own connection all the while. */
START_TEST(a_stream_stays_at_a_server_whose_queue_of_connections_is_full)
{
    ck_assert_int_eq(servers_of_stream("full", false, "server_cut_off"), 1);
}
END_TEST

int main(int argc, char **argv)
{
    site_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("leaving stream");
    TCase *tests = tcase_create("one site");
    tcase_set_timeout(tests, 60);
    tcase_add_checked_fixture(tests, site_start, site_stop);
    tcase_add_test(tests, a_stream_stays_at_a_server_that_misses_two_dials);
    tcase_add_test(tests, a_stream_stays_at_a_server_that_leaves_and_misses_two_dials);
    tcase_add_test(tests, a_stream_stays_at_a_server_whose_queue_of_connections_is_full);
    suite_add_tcase(suite, tests);
    site_echo(note_run);
    return suite_run_in_process(suite);
}
