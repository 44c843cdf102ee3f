/*
 * A stream whose route allows one server must not run on two servers while the first one is alive, and must move to
 * another server if the machine of the first one has lost power.
 *
 * Failed probes alone do not show a loss of power: a full accept queue and a packet filter have the same effect. The
 * stream moves only once the kernel at the other end of its own connection is silent too. The setting `closed_port`,
 * which is unused, must make no difference. If only that connection is silent, the stream resumes at the same server.
 */
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "../unit/suite.h"
#include "core/resume.h"
#include "base/clock.h"
#include "site.h"
#include "site_internal.h"

enum { GATEWAY = SITE_REPLICAS, POLL_US = 500, POLLS = 6000, ONE_PROBE_US = 80000, LIST_US = 400000, MAX_RUNS = 16 };

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static char observed_id[32];
static bool ran_on[SITE_SERVERS];
static uint64_t run_ms[MAX_RUNS]; /* when servers began to run the stream */
static int run_count;
static int first_server = -1;
static bool response_complete; /* set when the stream's thread ends */

static void record_run(const site_run_t *run)
{
    pthread_mutex_lock(&lock);
    if (strcmp(run->id, observed_id) == 0) {
        first_server = first_server < 0 ? run->server : first_server;
        ran_on[run->server] = true;
        if (run_count < MAX_RUNS) {
            run_ms[run_count++] = run->at_ms;
        }
    }
    pthread_mutex_unlock(&lock);
}

static int count_servers(void)
{
    int count = 0;
    pthread_mutex_lock(&lock);
    for (int i = 0; i < SITE_SERVERS; i++) {
        count += ran_on[i] ? 1 : 0;
    }
    pthread_mutex_unlock(&lock);
    return count;
}

static void *run_stream(void *unused)
{
    struct site_response response;
    (void)unused;
    site_call_as(0, observed_id, "POST", "/open/chat/x", "Bankbank-Deadline-Ms: 2900\r\n", "prompt", &response);
    response_complete = response.status == 200 && response.complete;
    site_response_close(&response);
    return NULL;
}

static bool stream_is_running(void *context)
{
    (void)context;
    return count_servers() > 0;
}

/* Starts a stream, and waits until it runs at the first server. SITE_PAUSED: two events, then two seconds of silence;
 * SITE_STALL: two events, then silence until the stream is resumed. */
static pthread_t start_stream(const char *id, enum site_mode mode)
{
    pthread_t thread;
    pthread_mutex_lock(&lock);
    snprintf(observed_id, sizeof(observed_id), "%s", id);
    memset(ran_on, 0, sizeof(ran_on));
    first_server = -1;
    run_count = 0;
    pthread_mutex_unlock(&lock);
    ck_assert_int_eq(count_servers(), 0);
    site_set_mode(-1, mode);
    pthread_create(&thread, NULL, run_stream, NULL);
    site_wait(stream_is_running, NULL, "the stream runs");
    return thread;
}

static void wait_for_log(const char *text)
{
    for (int i = 0; i < POLLS && !site_log_has(GATEWAY, text); i++) {
        clock_sleep_us(POLL_US);
    }
    ck_assert(site_log_has(GATEWAY, text));
}

/* Runs a stream whose first server accepts no connections until the gateway logs `until_event`; returns the number of
 * servers that ran the stream. */
static int count_servers_while_not_accepting(const char *id, bool draining, const char *until_event)
{
    pthread_t thread = start_stream(id, SITE_PAUSED);
    site_set_not_accepting(first_server, true);
    site_set_draining(first_server, draining);
    for (int i = 0; i < POLLS && !site_log_has(GATEWAY, until_event); i++) {
        clock_sleep_us(POLL_US);
    }
    site_set_not_accepting(first_server, false);
    pthread_join(thread, NULL);
    printf("stream %s: %d servers, server_lost logged: %d, server_cut_off logged: %d\n", id, count_servers(),
           site_log_has(GATEWAY, "server_lost"), site_log_has(GATEWAY, "server_cut_off"));
    fflush(stdout);
    ck_assert(site_log_has(GATEWAY, until_event));
    site_set_draining(first_server, false);
    return count_servers();
}

START_TEST(a_stream_stays_at_a_server_that_misses_two_probes)
{
    ck_assert_int_eq(count_servers_while_not_accepting("stays", false, "server_lost"), 1);
}
END_TEST

START_TEST(a_stream_stays_at_a_draining_server_that_misses_two_probes)
{
    ck_assert_int_eq(count_servers_while_not_accepting("leaves", true, "server_lost"), 1);
}
END_TEST

/* All probes fail, but the server's kernel still responds on the stream's connection. */
START_TEST(a_stream_stays_at_a_server_whose_accept_queue_is_full)
{
    ck_assert_int_eq(count_servers_while_not_accepting("full", false, "server_cut_off"), 1);
}
END_TEST

/* Expects a complete response from the only server that ran the stream. `restore` runs before the checks. */
static void expect_one_server(pthread_t thread, void (*restore)(void))
{
    pthread_join(thread, NULL);
    restore();
    ck_assert(response_complete);
    ck_assert_int_eq(count_servers(), 1);
}

static void restore_connections(void)
{
    site_set_not_accepting(first_server, false);
}

static void restore_connections_and_filter(void)
{
    site_set_not_accepting(first_server, false);
    site_filter_closed_port(false);
}

static void restore_nothing(void)
{
}

static void restore_draining(void)
{
    site_set_draining(first_server, false);
}

START_TEST(a_stream_stays_behind_a_packet_filter)
{
    site_filter_closed_port(true);
    pthread_t thread = start_stream("filtered", SITE_PAUSED);
    site_set_not_accepting(first_server, true);
    expect_one_server(thread, restore_connections_and_filter);
    ck_assert(site_log_has(GATEWAY, "server_cut_off"));
}
END_TEST

START_TEST(a_stream_stays_when_one_more_packet_is_lost)
{
    site_filter_closed_port(true);
    pthread_t thread = start_stream("lost-once", SITE_PAUSED);
    site_set_not_accepting(first_server, true);
    wait_for_log("server_cut_off");
    clock_sleep_us(ONE_PROBE_US);
    site_filter_closed_port(false);
    expect_one_server(thread, restore_connections);
}
END_TEST

START_TEST(a_stream_with_a_silent_connection_resumes_at_its_server)
{
    pthread_t thread = start_stream("mute", SITE_STALL);
    site_drop_connection_traffic(first_server);
    expect_one_server(thread, restore_nothing);
    ck_assert_int_eq(site_run_count(first_server), 2);
}
END_TEST

/* Starts a stream, and breaks it off once its server drains and would serve it. */
static pthread_t break_off_while_draining(const char *id)
{
    pthread_t thread = start_stream(id, SITE_STALL);
    site_set_draining(first_server, true);
    clock_sleep_us(LIST_US);
    site_set_mode(-1, SITE_NORMAL);
    site_close_connections(first_server);
    return thread;
}

/* Guards against a draining server that is taken for one that has ended: the stream ran on two servers that were both
 * alive. */
START_TEST(a_stream_resumes_at_a_draining_server_that_broke_it_off)
{
    pthread_t thread = break_off_while_draining("broken-off");
    expect_one_server(thread, restore_draining);
}
END_TEST

/* Guards against a stream that is sent to a server again and again within milliseconds. */
START_TEST(a_server_that_sends_no_event_is_tried_again_after_a_backoff)
{
    pthread_t thread = start_stream("no-event", SITE_CUT);
    pthread_join(thread, NULL);
    ck_assert(!response_complete);
    ck_assert_int_eq(count_servers(), 1);
    ck_assert_int_eq(run_count, 1 + RESUME_MAX);
    for (int i = 2; i < run_count; i++) {
        ck_assert_uint_ge(run_ms[i] + 1, run_ms[i - 1] + RESUME_BACKOFF_MS);
    }
}
END_TEST

/* Guards against sends without a common bound: an earlier attempt has run, the later ones are refused. */
START_TEST(a_stream_whose_server_refuses_it_is_sent_a_limited_number_of_times)
{
    pthread_t thread = start_stream("refused", SITE_STALL);
    site_set_mode(-1, SITE_REFUSE);
    site_close_connections(first_server);
    pthread_join(thread, NULL);
    ck_assert(!response_complete);
    ck_assert_int_eq(count_servers(), 1);
    ck_assert(site_log_has(GATEWAY, "\"reason\":\"the server refused\",\"sends\":8"));
    ck_assert(!site_log_has(GATEWAY, "\"reason\":\"the server refused\",\"sends\":9"));
}
END_TEST

static void start_with_short_drain(void)
{
    site_set_server_drain_ms(0);
    site_start();
    site_set_server_drain_ms(SITE_SERVER_DRAIN_MS);
}

/* The server gets no requests any more, but its address still accepts connections. */
START_TEST(a_stream_ends_at_a_draining_server_that_gets_no_requests)
{
    pthread_t thread = break_off_while_draining("not-resumed");
    pthread_join(thread, NULL);
    restore_draining();
    ck_assert(!response_complete);
    ck_assert_int_eq(count_servers(), 1);
    ck_assert_int_eq(site_run_count(-1), 0);
}
END_TEST

static void start_without_closed_port(void)
{
    site_hides_closed_port = true;
    site_start();
}

START_TEST(a_stream_stays_at_a_full_accept_queue_without_a_closed_port)
{
    pthread_t thread = start_stream("unasked", SITE_PAUSED);
    site_set_not_accepting(first_server, true);
    expect_one_server(thread, restore_connections);
}
END_TEST

START_TEST(a_stream_leaves_a_dead_server_without_a_closed_port)
{
    pthread_t thread = start_stream("leaves-lost", SITE_STALL);
    site_set_powered_off(first_server, true);
    pthread_join(thread, NULL);
    site_set_powered_off(first_server, false);
    ck_assert(response_complete);
    ck_assert_int_eq(count_servers(), 2);
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
    tcase_add_test(tests, a_stream_stays_at_a_server_that_misses_two_probes);
    tcase_add_test(tests, a_stream_stays_at_a_draining_server_that_misses_two_probes);
    tcase_add_test(tests, a_stream_stays_at_a_server_whose_accept_queue_is_full);
    tcase_add_test(tests, a_stream_stays_behind_a_packet_filter);
    tcase_add_test(tests, a_stream_stays_when_one_more_packet_is_lost);
    tcase_add_test(tests, a_stream_with_a_silent_connection_resumes_at_its_server);
    tcase_add_test(tests, a_stream_resumes_at_a_draining_server_that_broke_it_off);
    tcase_add_test(tests, a_server_that_sends_no_event_is_tried_again_after_a_backoff);
    tcase_add_test(tests, a_stream_whose_server_refuses_it_is_sent_a_limited_number_of_times);
    suite_add_tcase(suite, tests);
    TCase *short_drain = tcase_create("one site, draining servers get no requests");
    tcase_set_timeout(short_drain, 60);
    tcase_add_checked_fixture(short_drain, start_with_short_drain, site_stop);
    tcase_add_test(short_drain, a_stream_ends_at_a_draining_server_that_gets_no_requests);
    suite_add_tcase(suite, short_drain);
    TCase *without_port = tcase_create("one site, no closed port");
    tcase_set_timeout(without_port, 60);
    tcase_add_checked_fixture(without_port, start_without_closed_port, site_stop);
    tcase_add_test(without_port, a_stream_stays_at_a_full_accept_queue_without_a_closed_port);
    tcase_add_test(without_port, a_stream_leaves_a_dead_server_without_a_closed_port);
    suite_add_tcase(suite, without_port);
    site_echo_ids(record_run);
    return suite_run_without_fork(suite);
}
