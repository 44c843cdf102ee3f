/* Servers that restart and keep their id: effects on requests in flight, idle connections and conversations. */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

#include "../unit/suite.h"
#include "site.h"

enum {
    GATEWAY = SITE_REPLICAS,
    FIRST_PLAIN_SERVER = 2,
    START_INTERVAL_MS = 1000,
    CONFIGURATION_VERSION = 900,
    CALLER_DEADLINE_MS = 8000
};

static uint64_t start_time_ms = START_INTERVAL_MS;

/* Makes route timeouts longer than the silence after which a request at a restarted server ends. */
static void set_long_timeouts(void)
{
    char *original = site_configuration(CONFIGURATION_VERSION, "");
    struct buffer configuration = {0};
    const char *from = original;
    for (const char *at = strstr(from, "\"timeout-ms\":3000"); at != NULL; at = strstr(from, "\"timeout-ms\":3000")) {
        buffer_append(&configuration, from, (size_t)(at - from));
        buffer_append_text(&configuration, "\"timeout-ms\":9000");
        from = at + sizeof("\"timeout-ms\":3000") - 1;
    }
    buffer_append_text(&configuration, from);
    ck_assert_int_eq(site_operator_call(0, "POST", "/api/config/replace", buffer_text(&configuration), NULL), 200);
    buffer_close(&configuration);
    free(original);
}

static bool has_long_timeouts(void *context)
{
    (void)context;
    return site_metric(GATEWAY, "configuration_version") == CONFIGURATION_VERSION;
}

static bool all_have_restarted(void *context)
{
    return site_metric(GATEWAY, "servers_reborn_total") == *(double *)context;
}

static void restart_servers(void)
{
    double restarts = site_metric(GATEWAY, "servers_reborn_total") + SITE_SERVERS;
    start_time_ms += START_INTERVAL_MS;
    site_set_start_time(start_time_ms);
    site_wait(all_have_restarted, &restarts, "the gateway has learned of the restarts");
}

static void reset_servers(void)
{
    site_set_mode(-1, SITE_NORMAL);
}

static void start_site(void)
{
    site_set_start_time(START_INTERVAL_MS);
    site_start();
    set_long_timeouts();
    site_wait(has_long_timeouts, NULL, "the routes are active");
}

static bool a_server_runs(void *context)
{
    (void)context;
    return site_run_count(-1) > 0;
}

static void *restart_during_request(void *unused)
{
    (void)unused;
    site_wait(a_server_runs, NULL, "the request reaches a server");
    restart_servers();
    return NULL;
}

static void call_during_restart(const char *path, struct site_response *response)
{
    pthread_t thread;
    char lines[64];
    snprintf(lines, sizeof(lines), "Bankbank-Deadline-Ms: %d\r\n", CALLER_DEADLINE_MS);
    pthread_create(&thread, NULL, restart_during_request, NULL);
    site_call(0, "POST", path, lines, "b", response);
    pthread_join(thread, NULL);
}

/* The request fails long before the caller's deadline, and its run state is unknown. */
START_TEST(a_silent_request_at_a_restarted_server_ends)
{
    struct site_response response;
    site_set_mode(-1, SITE_SILENT);
    call_during_restart("/once/x", &response);
    ck_assert_int_eq(response.status, 502);
    ck_assert_ptr_ne(strstr(buffer_text(&response.head), "X-Run-State: unknown"), NULL);
    ck_assert_int_eq(site_run_count(-1), 1);
    ck_assert(site_log_has(GATEWAY, "the server started again"));
    site_response_close(&response);
}
END_TEST

START_TEST(a_silent_stream_at_a_restarted_server_resumes_elsewhere)
{
    struct site_response response;
    site_set_mode(0, SITE_STALL);
    site_set_mode(1, SITE_STALL);
    pthread_t thread;
    pthread_create(&thread, NULL, restart_during_request, NULL);
    site_call(0, "POST", "/open/chat/x", "Bankbank-Deadline-Ms: 8000\r\nBankbank-Program-Id: p1\r\n", "x", &response);
    pthread_join(thread, NULL);
    ck_assert(site_run_count(0) + site_run_count(1) >= 2);
    ck_assert(site_log_has(GATEWAY, "\"way\": \"other\"") || site_log_has(GATEWAY, "\"way\":\"other\""));
    site_response_close(&response);
}
END_TEST

/* The machine list may report a restart that preceded the request, so a response is accepted. */
START_TEST(a_request_that_gets_a_response_is_not_aborted)
{
    struct site_response response;
    site_set_mode(-1, SITE_SLOW);
    call_during_restart("/once/x", &response);
    ck_assert_int_eq(response.status, 200);
    ck_assert(response.complete);
    ck_assert_int_eq(site_run_count(-1), 1);
    site_response_close(&response);
}
END_TEST

START_TEST(an_idle_connection_is_not_reused_after_a_restart)
{
    struct site_response response;
    for (int server = FIRST_PLAIN_SERVER; server < SITE_SERVERS; server++) {
        site_call(0, "POST", "/once/x", "", "b", &response);
        site_response_close(&response);
    }
    double before = site_metric(GATEWAY, "upstream_connections_total");
    double reuses = site_metric(GATEWAY, "upstream_reuses_total");
    restart_servers();
    site_call(0, "POST", "/once/x", "", "b", &response);
    ck_assert_int_eq(response.status, 200);
    site_response_close(&response);
    ck_assert(site_metric(GATEWAY, "upstream_reuses_total") == reuses);
    ck_assert(site_metric(GATEWAY, "upstream_connections_total") > before);
}
END_TEST

START_TEST(a_turn_after_a_restart_has_its_whole_conversation)
{
    struct site_response response;
    static const char first_lines[] = "Bankbank-Program-Id: p2\r\nBankbank-Token-Budget: 1000\r\n"
                                      "Bankbank-Token-Usage: 10,15\r\nBankbank-Deadline-Ms: 4000\r\n";
    static const char second_lines[] =
        "Bankbank-Program-Id: p2\r\nBankbank-Token-Budget: 1000\r\nBankbank-Parent-Turn: t1\r\n"
        "Bankbank-Token-Usage: 10,15\r\nBankbank-Deadline-Ms: 4000\r\n";
    site_call_as(0, "t1", "POST", "/chat/x", first_lines, "one;", &response);
    ck_assert_int_eq(response.status, 200);
    site_response_close(&response);
    restart_servers();
    site_call_as(0, "t2", "POST", "/chat/x", second_lines, "two;", &response);
    ck_assert_int_eq(response.status, 200);
    site_response_close(&response);
    char *body = site_last_body();
    ck_assert_str_eq(body, "one;piece-1\npiece-2\npiece-3\ntwo;");
    free(body);
}
END_TEST

int main(int argc, char **argv)
{
    site_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("server restarts");
    TCase *tests = tcase_create("one site");
    tcase_set_timeout(tests, 60);
    tcase_add_checked_fixture(tests, reset_servers, NULL);
    tcase_add_unchecked_fixture(tests, start_site, site_stop);
    tcase_add_test(tests, a_silent_request_at_a_restarted_server_ends);
    tcase_add_test(tests, a_silent_stream_at_a_restarted_server_resumes_elsewhere);
    tcase_add_test(tests, a_request_that_gets_a_response_is_not_aborted);
    tcase_add_test(tests, an_idle_connection_is_not_reused_after_a_restart);
    tcase_add_test(tests, a_turn_after_a_restart_has_its_whole_conversation);
    suite_add_tcase(suite, tests);
    return suite_run_without_fork(suite);
}
