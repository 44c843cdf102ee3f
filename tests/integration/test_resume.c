/* Streams on a resumable route whose servers abort their responses or become silent. */
#include <pthread.h>
#include <stdio.h>

#include "../unit/suite.h"
#include "site.h"

enum { TOKENS_PER_TURN = 15 };

static int stream_server; /* that ran the stream first */

static const char COMPLETE_STREAM[] = "id: 1\ndata: piece-1\n\nid: 2\ndata: piece-2\n\nid: 3\ndata: piece-3\n\n";

static void reset_servers(void)
{
    site_set_mode(-1, SITE_NORMAL);
}

/* Returns the status, negated if the response is incomplete. */
static int run_turn(const char *id, const char *program, int budget, struct site_response *response)
{
    char lines[256];
    snprintf(lines, sizeof(lines),
             "Bankbank-Deadline-Ms: 2500\r\nBankbank-Program-Id: %s\r\nBankbank-Token-Budget: %d\r\n"
             "Bankbank-Token-Usage: 10,%d\r\n",
             program, budget, TOKENS_PER_TURN);
    site_call_as(0, id, "POST", "/open/chat/x", lines, "prompt", response);
    return response->complete ? response->status : -response->status;
}

/* Expects one complete response with each event once and in order. */
static void expect_complete(const char *id, const char *program)
{
    struct site_response response;
    ck_assert_int_eq(run_turn(id, program, 1000, &response), 200);
    ck_assert_str_eq(buffer_text(&response.body), COMPLETE_STREAM);
    site_response_close(&response);
}

START_TEST(an_interrupted_stream_resumes_at_its_server)
{
    site_set_mode(-1, SITE_CUT_MIDWAY);
    expect_complete("r1", "p1");
    ck_assert_int_eq(site_run_count(-1), 2);
    ck_assert(site_run_count(0) == 2 || site_run_count(1) == 2);
}
END_TEST

START_TEST(a_partial_event_is_dropped)
{
    site_set_mode(-1, SITE_CUT_IN_EVENT);
    expect_complete("r2", "p2");
    ck_assert(site_run_count(0) == 2 || site_run_count(1) == 2);
}
END_TEST

START_TEST(a_server_that_always_disconnects_ends_the_stream)
{
    struct site_response response;
    site_set_mode(-1, SITE_CUT);
    ck_assert_int_eq(run_turn("r3", "p3", 1000, &response), 502);
    site_response_close(&response);
    ck_assert(site_run_count(0) == 0 || site_run_count(1) == 0);
}
END_TEST

/* A stream that ends inside the head of its response has no event and no end: it must go on, not be empty. */
START_TEST(a_stream_cut_in_its_head_is_not_complete)
{
    struct site_response response;
    site_set_mode(-1, SITE_CUT_HEAD);
    ck_assert_int_eq(run_turn("r20", "p20", 1000, &response), 502);
    site_response_close(&response);
    site_set_mode(-1, SITE_NORMAL);
    expect_complete("r21", "p20");
}
END_TEST

START_TEST(a_resumed_turn_settles_the_tokens_sent)
{
    struct site_response response;
    site_set_mode(-1, SITE_CUT_MIDWAY);
    ck_assert_int_eq(run_turn("r4", "p4", 2 * TOKENS_PER_TURN, &response), 200);
    site_response_close(&response);
    ck_assert_int_eq(run_turn("r5", "p4", 2 * TOKENS_PER_TURN, &response), 200);
    site_response_close(&response);
    int before = site_run_count(-1);
    ck_assert_int_eq(run_turn("r6", "p4", 2 * TOKENS_PER_TURN, &response), 402);
    site_response_close(&response);
    ck_assert_int_eq(site_run_count(-1), before);
}
END_TEST

static bool a_stream_runs(void *context)
{
    (void)context;
    return site_run_count(-1) > 0;
}

static void *stop_accepting(void *context)
{
    (void)context;
    site_wait(a_stream_runs, NULL, "a stream runs");
    stream_server = site_run_count(0) > 0 ? 0 : 1;
    site_set_not_accepting(stream_server, true);
    return NULL;
}

static void *lose_power(void *context)
{
    (void)context;
    site_wait(a_stream_runs, NULL, "a stream runs");
    stream_server = site_run_count(0) > 0 ? 0 : 1;
    site_set_powered_off(stream_server, true);
    return NULL;
}

/* Neither the server nor its kernel responds, so the stream resumes at the other server of the route. */
START_TEST(a_stream_leaves_a_server_that_loses_power)
{
    pthread_t thread;
    site_set_mode(-1, SITE_STALL);
    pthread_create(&thread, NULL, lose_power, NULL);
    expect_complete("r7", "p7");
    pthread_join(thread, NULL);
    ck_assert_int_eq(site_run_count(stream_server), 1);
    ck_assert_int_eq(site_run_count(1 - stream_server), 1);
    site_set_powered_off(stream_server, false);
}
END_TEST

START_TEST(a_stream_stays_at_a_slow_server)
{
    site_set_mode(-1, SITE_SLOW);
    expect_complete("r8", "p8");
    ck_assert_int_eq(site_run_count(-1), 1);
}
END_TEST

/* The turns of a stateful route are stored; their streams are never resumed. */
START_TEST(a_stream_that_is_not_resumable_is_aborted)
{
    struct site_response response;
    site_set_mode(-1, SITE_CUT_MIDWAY);
    site_call(0, "POST", "/chat/x", "Bankbank-Program-Id: p5\r\n", "x", &response);
    ck_assert(!response.complete);
    ck_assert_int_eq(site_run_count(-1), 1);
    site_response_close(&response);
}
END_TEST

/* Without event ids a resumed stream could repeat events. */
START_TEST(a_stream_without_event_ids_is_not_resumed)
{
    struct site_response response;
    site_set_mode(-1, SITE_NO_EVENT_IDS);
    ck_assert_int_eq(run_turn("r9", "p9", 1000, &response), -200);
    ck_assert_str_eq(buffer_text(&response.body), "data: piece-1\n\ndata: piece-2\n\n");
    ck_assert_int_eq(site_run_count(-1), 1);
    site_response_close(&response);
}
END_TEST

static bool server_is_unreachable(void *context)
{
    (void)context;
    return site_log_has(SITE_REPLICAS, "\"server_lost\"");
}

static void *stop_accepting_until_unreachable(void *context)
{
    stop_accepting(context);
    site_wait(server_is_unreachable, NULL, "the server is unreachable");
    return NULL;
}

/* The server accepts no connections, but its stream continues, which makes it reachable again. */
START_TEST(an_unreachable_server_that_sends_data_is_reachable_again)
{
    pthread_t thread;
    struct site_response response;
    site_set_mode(-1, SITE_PAUSED);
    pthread_create(&thread, NULL, stop_accepting_until_unreachable, NULL);
    site_call(0, "POST", "/chat/x", "Bankbank-Program-Id: p10\r\n", "x", &response);
    pthread_join(thread, NULL);
    bool logged = site_log_has(SITE_REPLICAS, "\"server_regained\"");
    site_set_not_accepting(stream_server, false);
    ck_assert(response.complete && response.status == 200);
    ck_assert(logged);
    site_response_close(&response);
}
END_TEST

int main(int argc, char **argv)
{
    site_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("resume");
    TCase *tests = tcase_create("one site");
    tcase_set_timeout(tests, 60);
    tcase_add_checked_fixture(tests, reset_servers, NULL);
    tcase_add_unchecked_fixture(tests, site_start, site_stop);
    tcase_add_test(tests, an_unreachable_server_that_sends_data_is_reachable_again);
    tcase_add_test(tests, an_interrupted_stream_resumes_at_its_server);
    tcase_add_test(tests, a_partial_event_is_dropped);
    tcase_add_test(tests, a_server_that_always_disconnects_ends_the_stream);
    tcase_add_test(tests, a_stream_cut_in_its_head_is_not_complete);
    tcase_add_test(tests, a_resumed_turn_settles_the_tokens_sent);
    tcase_add_test(tests, a_stream_leaves_a_server_that_loses_power);
    tcase_add_test(tests, a_stream_stays_at_a_slow_server);
    tcase_add_test(tests, a_stream_that_is_not_resumable_is_aborted);
    tcase_add_test(tests, a_stream_without_event_ids_is_not_resumed);
    suite_add_tcase(suite, tests);
    return suite_run_without_fork(suite); /* the simulated servers are threads of this process */
}
