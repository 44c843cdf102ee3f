/*
 * A stream whose route allows one server, at a server that leaves and lives.
 *
 * The server falls silent in the middle of the stream and takes no connection
 * for two dials. Where it does not leave, the stream stays: two dials are not
 * enough. Where the list shows it as draining, the stream is taken to a second
 * server while the first one still runs it.
 *
 * Further moments: the queue of connections stays full, and what is sent to
 * another port of the machine is dropped by a packet filter, always or only at
 * first. A gateway that takes one such dial without an answer as the machine's end
 * (`server_gone`, 50 ms after `server_cut_off`) runs the stream on two servers. A
 * gateway that is told of no port to dial (`closed_port: 0`) never leaves a server
 * that has lost its power: `server_gone` is not logged, the answer is cut off. And
 * where only the stream's own connection falls silent, the server's others work:
 * its dials are answered, and the caller waits until its time is over.
 *
 * No dial tells a full queue or a filter from a loss of power. The kernel at the
 * other end of the stream's own connection does: the stream leaves its server once
 * that is silent too (`attempt_unknown`, "the server's machine is silent").
 */
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "../unit/suite.h"
#include "base/clock.h"
#include "site.h"
#include "site_internal.h"

enum { GATEWAY = SITE_STATES, LOOK_US = 500, LOOKS = 6000, ONE_DIAL_US = 80000 };

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static char watched[32];
static bool ran_on[SITE_SERVERS];
static int first = -1;
static bool whole; /* the stream's answer, once its thread has ended */

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
    whole = answer.status == 200 && answer.whole;
    site_answer_close(&answer);
    return NULL;
}

static bool runs(void *context)
{
    (void)context;
    return servers() > 0;
}

/* Begins a stream, and waits until it runs at the first server. SITE_PAUSED: two events, and two seconds of silence;
 * SITE_STALL: two events, and silence until it is taken up. */
static pthread_t stream_begin(const char *id, enum site_mode mode)
{
    pthread_t thread;
    pthread_mutex_lock(&lock);
    snprintf(watched, sizeof(watched), "%s", id);
    memset(ran_on, 0, sizeof(ran_on));
    first = -1;
    pthread_mutex_unlock(&lock);
    ck_assert_int_eq(servers(), 0);
    site_set_mode(-1, mode);
    pthread_create(&thread, NULL, make_request, NULL);
    site_wait(runs, NULL, "the stream runs");
    return thread;
}

static void wait_for_line(const char *line)
{
    for (int i = 0; i < LOOKS && !site_log_has(GATEWAY, line); i++) {
        clock_sleep_us(LOOK_US);
    }
    ck_assert(site_log_has(GATEWAY, line));
}

static int servers_of_stream(const char *id, bool draining, const char *until)
{
    pthread_t thread = stream_begin(id, SITE_PAUSED);
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

/* The stream ends whole, at the only server that ran it; what was done to the server is taken back before. */
static void expect_one_server(pthread_t thread, void (*take_back)(void))
{
    pthread_join(thread, NULL);
    take_back();
    ck_assert(whole);
    ck_assert_int_eq(servers(), 1);
}

static void take_connections_again(void)
{
    site_set_dark(first, false);
}

static void take_connections_unfiltered(void)
{
    site_set_dark(first, false);
    site_filter_closed_port(false);
}

static void take_nothing_back(void)
{
}

START_TEST(a_stream_stays_behind_a_packet_filter)
{
    site_filter_closed_port(true);
    pthread_t thread = stream_begin("filtered", SITE_PAUSED);
    site_set_dark(first, true);
    expect_one_server(thread, take_connections_unfiltered);
    ck_assert(site_log_has(GATEWAY, "server_cut_off"));
}
END_TEST

START_TEST(a_stream_stays_where_one_more_packet_is_lost)
{
    site_filter_closed_port(true);
    pthread_t thread = stream_begin("lost-once", SITE_PAUSED);
    site_set_dark(first, true);
    wait_for_line("server_cut_off");
    clock_sleep_us(ONE_DIAL_US);
    site_filter_closed_port(false);
    expect_one_server(thread, take_connections_again);
}
END_TEST

START_TEST(a_stream_whose_connection_falls_silent_goes_on_at_its_server)
{
    pthread_t thread = stream_begin("mute", SITE_STALL);
    site_silence_connections(first);
    expect_one_server(thread, take_nothing_back);
    ck_assert_int_eq(site_runs(first), 2);
}
END_TEST

static void start_without_closed_port(void)
{
    site_hides_closed_port = true;
    site_start();
}

START_TEST(a_stream_stays_at_a_full_queue_with_no_port_to_dial)
{
    pthread_t thread = stream_begin("unasked", SITE_PAUSED);
    site_set_dark(first, true);
    expect_one_server(thread, take_connections_again);
}
END_TEST

START_TEST(a_stream_leaves_a_lost_server_with_no_port_to_dial)
{
    pthread_t thread = stream_begin("leaves-lost", SITE_STALL);
    site_set_dead(first, true);
    pthread_join(thread, NULL);
    site_set_dead(first, false);
    ck_assert(whole);
    ck_assert_int_eq(servers(), 2);
    ck_assert(site_log_has(GATEWAY, "server_gone"));
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
    tcase_add_test(tests, a_stream_stays_behind_a_packet_filter);
    tcase_add_test(tests, a_stream_stays_where_one_more_packet_is_lost);
    tcase_add_test(tests, a_stream_whose_connection_falls_silent_goes_on_at_its_server);
    suite_add_tcase(suite, tests);
    TCase *unasked = tcase_create("one site, no port to dial");
    tcase_set_timeout(unasked, 60);
    tcase_add_checked_fixture(unasked, start_without_closed_port, site_stop);
    tcase_add_test(unasked, a_stream_stays_at_a_full_queue_with_no_port_to_dial);
    tcase_add_test(unasked, a_stream_leaves_a_lost_server_with_no_port_to_dial);
    suite_add_tcase(suite, unasked);
    site_echo(note_run);
    return suite_run_in_process(suite);
}
