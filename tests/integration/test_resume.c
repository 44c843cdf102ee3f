/* Streams that break off, on a route that may be resumed: real daemons before servers that cut their answers. */
#include <pthread.h>
#include <stdio.h>

#include "../unit/suite.h"
#include "site.h"

enum { TOKENS_A_TURN = 15 };

static int stalled; /* server that was made to fall silent */

static const char WHOLE[] = "id: 1\ndata: piece-1\n\nid: 2\ndata: piece-2\n\nid: 3\ndata: piece-3\n\n";

/* The stand-in lives in this process, so that no test may run in one of its own. */
static void setup(void)
{
    site_set_mode(-1, SITE_NORMAL);
}

static int turn(const char *id, const char *program, int budget, struct site_answer *answer)
{
    char lines[256];
    snprintf(lines, sizeof(lines),
             "Bankbank-Deadline-Ms: 2500\r\nBankbank-Program-Id: %s\r\nBankbank-Token-Budget: %d\r\n"
             "Bankbank-Token-Usage: 10,%d\r\n",
             program, budget, TOKENS_A_TURN);
    site_call_as(0, id, "POST", "/open/chat/x", lines, "prompt", answer);
    return answer->whole ? answer->status : -answer->status;
}

/* The caller gets each event once, in order, in one whole answer. */
static void expect_whole(const char *id, const char *program)
{
    struct site_answer answer;
    ck_assert_int_eq(turn(id, program, 1000, &answer), 200);
    ck_assert_str_eq(buffer_text(&answer.body), WHOLE);
    site_answer_close(&answer);
}

START_TEST(a_cut_stream_goes_on_at_its_server)
{
    site_set_mode(-1, SITE_CUT_MIDWAY);
    expect_whole("r1", "p1");
    ck_assert_int_eq(site_runs(-1), 2);
    ck_assert(site_runs(0) == 2 || site_runs(1) == 2);
}
END_TEST

START_TEST(a_torn_event_is_dropped)
{
    site_set_mode(-1, SITE_TORN);
    expect_whole("r2", "p2");
    ck_assert(site_runs(0) == 2 || site_runs(1) == 2);
}
END_TEST

START_TEST(a_server_that_always_breaks_off_ends_the_stream)
{
    struct site_answer answer;
    site_set_mode(-1, SITE_CUT);
    ck_assert_int_eq(turn("r3", "p3", 1000, &answer), 502);
    site_answer_close(&answer);
    ck_assert(site_runs(0) == 0 || site_runs(1) == 0);
}
END_TEST

START_TEST(a_resumed_turn_settles_what_was_handed_out)
{
    struct site_answer answer;
    site_set_mode(-1, SITE_CUT_MIDWAY);
    ck_assert_int_eq(turn("r4", "p4", 2 * TOKENS_A_TURN, &answer), 200);
    site_answer_close(&answer);
    ck_assert_int_eq(turn("r5", "p4", 2 * TOKENS_A_TURN, &answer), 200);
    site_answer_close(&answer);
    int before = site_runs(-1);
    ck_assert_int_eq(turn("r6", "p4", 2 * TOKENS_A_TURN, &answer), 402);
    site_answer_close(&answer);
    ck_assert_int_eq(site_runs(-1), before);
}
END_TEST

static bool a_server_stalls(void *context)
{
    (void)context;
    return site_runs(-1) > 0;
}

static void *go_dark(void *context)
{
    (void)context;
    site_wait(a_server_stalls, NULL, "a stream begins");
    stalled = site_runs(0) > 0 ? 0 : 1;
    site_set_dark(stalled, true);
    return NULL;
}

static void *lose_power(void *context)
{
    (void)context;
    site_wait(a_server_stalls, NULL, "a stream begins");
    stalled = site_runs(0) > 0 ? 0 : 1;
    site_set_dead(stalled, true);
    return NULL;
}

/* A server that loses its power with a stream under way: neither it nor its kernel answers any more, and the stream
 * goes on at the other, as the route's only server. */
START_TEST(a_stream_leaves_a_server_that_is_lost)
{
    pthread_t thread;
    site_set_mode(-1, SITE_STALL);
    pthread_create(&thread, NULL, lose_power, NULL);
    expect_whole("r7", "p7");
    pthread_join(thread, NULL);
    ck_assert_int_eq(site_runs(stalled), 1);
    ck_assert_int_eq(site_runs(1 - stalled), 1);
    site_set_dead(stalled, false);
}
END_TEST

/* One that is only slow keeps it. */
START_TEST(a_stream_stays_at_a_server_that_is_slow)
{
    site_set_mode(-1, SITE_SLOW);
    expect_whole("r8", "p8");
    ck_assert_int_eq(site_runs(-1), 1);
}
END_TEST

/* A conversation that is kept here has no route to be resumed on: it looks cut. */
START_TEST(other_streams_still_look_cut)
{
    struct site_answer answer;
    site_set_mode(-1, SITE_CUT_MIDWAY);
    site_call(0, "POST", "/chat/x", "Bankbank-Program-Id: p5\r\n", "x", &answer);
    ck_assert(!answer.whole);
    ck_assert_int_eq(site_runs(-1), 1);
    site_answer_close(&answer);
}
END_TEST

/* Without numbers nobody can tell a server where it broke off: events could come twice. */
START_TEST(a_stream_without_numbers_is_not_taken_up)
{
    struct site_answer answer;
    site_set_mode(-1, SITE_UNNUMBERED);
    ck_assert_int_eq(turn("r9", "p9", 1000, &answer), -200);
    ck_assert_str_eq(buffer_text(&answer.body), "data: piece-1\n\ndata: piece-2\n\n");
    ck_assert_int_eq(site_runs(-1), 1);
    site_answer_close(&answer);
}
END_TEST

static bool the_server_is_lost(void *context)
{
    (void)context;
    return site_log_has(SITE_STATES, "\"server_lost\"");
}

static void *pass_by_in_the_dark(void *context)
{
    go_dark(context);
    site_wait(the_server_is_lost, NULL, "the server is lost");
    return NULL;
}

/* It takes no connection, but its stream goes on: it is used again, and the log says so. */
START_TEST(a_lost_server_that_speaks_is_regained)
{
    pthread_t thread;
    struct site_answer answer;
    site_set_mode(-1, SITE_PAUSED);
    pthread_create(&thread, NULL, pass_by_in_the_dark, NULL);
    site_call(0, "POST", "/chat/x", "Bankbank-Program-Id: p10\r\n", "x", &answer);
    pthread_join(thread, NULL);
    bool told = site_log_has(SITE_STATES, "\"server_regained\"");
    site_set_dark(stalled, false);
    ck_assert(answer.whole && answer.status == 200);
    ck_assert(told);
    site_answer_close(&answer);
}
END_TEST

int main(int argc, char **argv)
{
    site_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("resume");
    TCase *tests = tcase_create("one site");
    tcase_set_timeout(tests, 60);
    tcase_add_checked_fixture(tests, setup, NULL);
    tcase_add_unchecked_fixture(tests, site_start, site_stop);
    tcase_add_test(tests, a_lost_server_that_speaks_is_regained);
    tcase_add_test(tests, a_cut_stream_goes_on_at_its_server);
    tcase_add_test(tests, a_torn_event_is_dropped);
    tcase_add_test(tests, a_server_that_always_breaks_off_ends_the_stream);
    tcase_add_test(tests, a_resumed_turn_settles_what_was_handed_out);
    tcase_add_test(tests, a_stream_leaves_a_server_that_is_lost);
    tcase_add_test(tests, a_stream_stays_at_a_server_that_is_slow);
    tcase_add_test(tests, other_streams_still_look_cut);
    tcase_add_test(tests, a_stream_without_numbers_is_not_taken_up);
    suite_add_tcase(suite, tests);
    return suite_run_in_process(suite);
}
