/*
 * Servers behind TCP proxies, which accept connections for a server that has ended and close them at once.
 *
 * No dial is refused there, and a server that starts again under its id is the same one on the machine list. Several
 * ends of such a server within one request counted as one failure (core/quarantine.h), so that each attempt of a caller
 * ended it again and again. The log showed `attempt_unknown` with the same operation and incarnation many times.
 */
#include <stdio.h>

#include "../unit/suite.h"
#include "base/clock.h"
#include "site.h"

static const int restart_times_ms[] = {20, 150, 300};

enum {
    RESTART_TIMES = sizeof(restart_times_ms) / sizeof(*restart_times_ms),
    MAX_EXITS = 3,
    ALWAYS = 1000,
    ATTEMPTS = 5,
    DEADLINE_MS = 2500,
    LIST_US = 3000000, /* until the gateways know the addresses of the proxies */
    RESTART_US = 700000
};

/* Returns the status of a stream that ends the servers that run it until `exits` servers have ended, negated if the
 * response is incomplete. */
static int run_stream(int gateway, const char *program, int exits)
{
    char lines[256];
    struct site_response response;
    snprintf(lines, sizeof(lines),
             "Bankbank-Deadline-Ms: %d\r\nBankbank-Program-Id: %s\r\nBankbank-Token-Budget: 1000\r\n"
             "Bankbank-Token-Usage: 10,15\r\n" SITE_SAME_ID_HEADER ": 1\r\n" SITE_EXIT_HEADER ": %d\r\n",
             DEADLINE_MS, program, exits);
    site_call(gateway, "POST", "/open/chat/x", lines, "prompt", &response);
    int status = response.complete ? response.status : -response.status;
    site_response_close(&response);
    return status;
}

/* Guards against ends of one server that count once, since nothing refused a connection in between. */
START_TEST(a_stream_ends_at_most_three_servers)
{
    char program[32];
    snprintf(program, sizeof(program), "lethal-%d", _i);
    site_set_mode(-1, SITE_NORMAL);
    site_set_restart_ms(restart_times_ms[_i]);
    for (int i = 0; i < ATTEMPTS; i++) {
        int status = run_stream(i % SITE_GATEWAYS, program, ALWAYS);
        printf("back after %d ms, attempt %d: status %d, %d servers ended so far\n", restart_times_ms[_i], i, status,
               site_exit_count());
        fflush(stdout);
        clock_sleep_us(RESTART_US);
    }
    ck_assert_int_le(site_exit_count(), MAX_EXITS);
}
END_TEST

/* Guards against connections that the proxy closes counting as ends: a stream that loses its server once is served. */
START_TEST(a_stream_that_loses_a_server_is_served)
{
    char program[32];
    snprintf(program, sizeof(program), "innocent-%d", _i);
    site_set_mode(-1, SITE_NORMAL);
    site_set_restart_ms(restart_times_ms[_i]);
    int status = run_stream(0, program, 1);
    printf("back after %d ms: status %d, %d servers ended\n", restart_times_ms[_i], status, site_exit_count());
    fflush(stdout);
    ck_assert_int_eq(site_exit_count(), 1);
    ck_assert_int_eq(status, 200);
    clock_sleep_us(RESTART_US);
}
END_TEST

static void start(void)
{
    site_start();
    site_use_proxies();
    clock_sleep_us(LIST_US);
}

int main(int argc, char **argv)
{
    site_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("ends behind proxies");
    TCase *tests = tcase_create("one site");
    tcase_set_timeout(tests, 60);
    tcase_add_unchecked_fixture(tests, start, site_stop);
    tcase_add_loop_test(tests, a_stream_ends_at_most_three_servers, 0, RESTART_TIMES);
    tcase_add_loop_test(tests, a_stream_that_loses_a_server_is_served, 0, RESTART_TIMES);
    suite_add_tcase(suite, tests);
    return suite_run_without_fork(suite); /* the simulated servers are threads of this process */
}
