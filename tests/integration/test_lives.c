/* Servers that start again under their id, before real daemons: what is under way there, and what rests. */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

#include "../unit/suite.h"
#include "site.h"

enum { GATEWAY = SITE_STATES, FIRST_PLAIN = 2, FIRST_START = 1000, VERSION = 900, REPLY_MS = 8000 };

static uint64_t started = FIRST_START;

/* Routes that hold a request for longer than a silent call at an ended life lasts. */
static void take_long_routes(void)
{
    char *text = site_configuration(VERSION, "");
    struct buffer patient = {0};
    const char *from = text;
    for (const char *at = strstr(from, "\"timeout-ms\":3000"); at != NULL; at = strstr(from, "\"timeout-ms\":3000")) {
        buffer_append(&patient, from, (size_t)(at - from));
        buffer_append_text(&patient, "\"timeout-ms\":9000");
        from = at + sizeof("\"timeout-ms\":3000") - 1;
    }
    buffer_append_text(&patient, from);
    ck_assert_int_eq(site_order(0, "POST", "/api/config/replace", buffer_text(&patient), NULL), 200);
    buffer_close(&patient);
    free(text);
}

static bool has_long_routes(void *context)
{
    (void)context;
    return site_metric(GATEWAY, "configuration_version") == VERSION;
}

static bool all_are_reborn(void *context)
{
    return site_metric(GATEWAY, "servers_reborn_total") == *(double *)context;
}

static void start_again(void)
{
    double reborn = site_metric(GATEWAY, "servers_reborn_total") + SITE_SERVERS;
    started += FIRST_START;
    site_set_born(started);
    site_wait(all_are_reborn, &reborn, "the gateway learns the new lives");
}

static void setup(void)
{
    site_set_mode(-1, SITE_NORMAL);
}

static void begin_site(void)
{
    site_set_born(FIRST_START);
    site_start();
    take_long_routes();
    site_wait(has_long_routes, NULL, "the routes are in force");
}

static bool a_server_runs(void *context)
{
    (void)context;
    return site_runs(-1) > 0;
}

static void *restart_beside(void *unused)
{
    (void)unused;
    site_wait(a_server_runs, NULL, "the request reaches a server");
    start_again();
    return NULL;
}

static void call_beside_restart(const char *path, struct site_answer *answer)
{
    pthread_t thread;
    char lines[64];
    snprintf(lines, sizeof(lines), "Bankbank-Deadline-Ms: %d\r\n", REPLY_MS);
    pthread_create(&thread, NULL, restart_beside, NULL);
    site_call(0, "POST", path, lines, "b", answer);
    pthread_join(thread, NULL);
}

/* The answer tells what broke off, long before the caller's time is over, and promises nothing. */
START_TEST(a_silent_call_at_a_life_that_ended_ends)
{
    struct site_answer answer;
    site_set_mode(-1, SITE_SILENT);
    call_beside_restart("/once/x", &answer);
    ck_assert_int_eq(answer.status, 502);
    ck_assert_ptr_ne(strstr(buffer_text(&answer.head), "X-Run-State: unknown"), NULL);
    ck_assert_int_eq(site_runs(-1), 1);
    ck_assert(site_log_has(GATEWAY, "the server started again"));
    site_answer_close(&answer);
}
END_TEST

START_TEST(a_silent_stream_at_a_life_that_ended_goes_on_elsewhere)
{
    struct site_answer answer;
    site_set_mode(0, SITE_STALL);
    site_set_mode(1, SITE_STALL);
    pthread_t thread;
    pthread_create(&thread, NULL, restart_beside, NULL);
    site_call(0, "POST", "/open/chat/x", "Bankbank-Deadline-Ms: 8000\r\nBankbank-Program-Id: p1\r\n", "x", &answer);
    pthread_join(thread, NULL);
    ck_assert(site_runs(0) + site_runs(1) >= 2);
    ck_assert(site_log_has(GATEWAY, "\"way\": \"other\"") || site_log_has(GATEWAY, "\"way\":\"other\""));
    site_answer_close(&answer);
}
END_TEST

/* The list tells a restart late: what answers is alive. */
START_TEST(a_call_that_is_answered_is_not_cut)
{
    struct site_answer answer;
    site_set_mode(-1, SITE_SLOW);
    call_beside_restart("/once/x", &answer);
    ck_assert_int_eq(answer.status, 200);
    ck_assert(answer.whole);
    ck_assert_int_eq(site_runs(-1), 1);
    site_answer_close(&answer);
}
END_TEST

START_TEST(a_connection_at_rest_is_not_used_for_the_next_life)
{
    struct site_answer answer;
    for (int server = FIRST_PLAIN; server < SITE_SERVERS; server++) {
        site_call(0, "POST", "/once/x", "", "b", &answer);
        site_answer_close(&answer);
    }
    double before = site_metric(GATEWAY, "upstream_connections_total");
    double reuses = site_metric(GATEWAY, "upstream_reuses_total");
    start_again();
    site_call(0, "POST", "/once/x", "", "b", &answer);
    ck_assert_int_eq(answer.status, 200);
    site_answer_close(&answer);
    ck_assert(site_metric(GATEWAY, "upstream_reuses_total") == reuses);
    ck_assert(site_metric(GATEWAY, "upstream_connections_total") > before);
}
END_TEST

START_TEST(a_turn_after_a_restart_has_all_before_it)
{
    struct site_answer answer;
    static const char first[] = "Bankbank-Program-Id: p2\r\nBankbank-Token-Budget: 1000\r\n"
                                "Bankbank-Token-Usage: 10,15\r\nBankbank-Deadline-Ms: 4000\r\n";
    static const char second[] =
        "Bankbank-Program-Id: p2\r\nBankbank-Token-Budget: 1000\r\nBankbank-Parent-Turn: t1\r\n"
        "Bankbank-Token-Usage: 10,15\r\nBankbank-Deadline-Ms: 4000\r\n";
    site_call_as(0, "t1", "POST", "/chat/x", first, "one;", &answer);
    ck_assert_int_eq(answer.status, 200);
    site_answer_close(&answer);
    start_again();
    site_call_as(0, "t2", "POST", "/chat/x", second, "two;", &answer);
    ck_assert_int_eq(answer.status, 200);
    site_answer_close(&answer);
    char *body = site_last_body();
    ck_assert_str_eq(body, "one;piece-1\npiece-2\npiece-3\ntwo;");
    free(body);
}
END_TEST

int main(int argc, char **argv)
{
    site_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("lives");
    TCase *tests = tcase_create("one site");
    tcase_set_timeout(tests, 60);
    tcase_add_checked_fixture(tests, setup, NULL);
    tcase_add_unchecked_fixture(tests, begin_site, site_stop);
    tcase_add_test(tests, a_silent_call_at_a_life_that_ended_ends);
    tcase_add_test(tests, a_silent_stream_at_a_life_that_ended_goes_on_elsewhere);
    tcase_add_test(tests, a_call_that_is_answered_is_not_cut);
    tcase_add_test(tests, a_connection_at_rest_is_not_used_for_the_next_life);
    tcase_add_test(tests, a_turn_after_a_restart_has_all_before_it);
    suite_add_tcase(suite, tests);
    return suite_run_in_process(suite);
}
