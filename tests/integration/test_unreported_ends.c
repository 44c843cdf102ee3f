/*
 * Servers that end under an operation whose failures nobody has reported yet: under attempts at the same time, and
 * together with the gateway that should report them.
 *
 * The count of core/quarantine.h knew reported failures only. Attempts that were still running, or whose gateway had
 * died, counted as if nothing had happened.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "../unit/suite.h"
#include "base/clock.h"
#include "site.h"

static const int restart_times_ms[] = {20, 300};
static const int parallel_counts[] = {2, 3, 6};

enum {
    MAX_EXITS = 3,
    ALWAYS = 1000,
    ATTEMPTS = 5,
    ROUNDS = 3,
    MAX_PARALLEL = 6,
    RESTART_TIMES = sizeof(restart_times_ms) / sizeof(*restart_times_ms),
    PARALLEL_COUNTS = sizeof(parallel_counts) / sizeof(*parallel_counts),
    KILLED_OPERATIONS = 6, /* both attempts may reach the same server */
    DEFAULT_RESTART_MS = 300,
    RESTART_US = 700000,
    GATEWAY_EXIT_US = 50000,
    GATEWAY_START_US = 1500000
};

/* An attempt of a program at its request, which ends the servers that run it until `exits` servers have ended. */
static int attempt(int gateway, const char *path, const char *program, int exits)
{
    char lines[256];
    struct site_response response;
    snprintf(lines, sizeof(lines),
             "Bankbank-Deadline-Ms: 1500\r\nBankbank-Program-Id: %s\r\nBankbank-Token-Budget: 1000\r\n"
             "Bankbank-Token-Usage: 10,15\r\n" SITE_EXIT_HEADER ": %d\r\n",
             program, exits);
    site_call(gateway, "POST", path, lines, "prompt", &response);
    int status = response.complete ? response.status : 0;
    site_response_close(&response);
    return status;
}

/* ---- Attempts at the same time ---------------------------------------------------------------------- */

typedef struct parallel_attempt_t {
    pthread_t thread;
    int gateway;
    const char *path;
    const char *program;
    int exits;
    int status;
} parallel_attempt_t;

static void *run_parallel_attempt(void *argument)
{
    parallel_attempt_t *parallel = argument;
    parallel->status = attempt(parallel->gateway, parallel->path, parallel->program, parallel->exits);
    return NULL;
}

/* Returns the number of attempts that were served. */
static int run_parallel_attempts(const char *path, const char *program, int exits, int count)
{
    parallel_attempt_t attempts[MAX_PARALLEL];
    int served = 0;
    for (int i = 0; i < count; i++) {
        attempts[i] =
            (parallel_attempt_t){.gateway = i % SITE_GATEWAYS, .path = path, .program = program, .exits = exits};
        ck_assert_int_eq(pthread_create(&attempts[i].thread, NULL, run_parallel_attempt, &attempts[i]), 0);
    }
    for (int i = 0; i < count; i++) {
        pthread_join(attempts[i].thread, NULL);
        served += attempts[i].status == 200 ? 1 : 0;
    }
    return served;
}

/* Repeats a request while earlier attempts at it are under way, at all gateways. */
static void expect_few_exits(const char *path, const char *name, int restart_ms, int count)
{
    char program[48];
    snprintf(program, sizeof(program), "%s-%d-%d", name, count, restart_ms);
    site_set_mode(-1, SITE_NORMAL);
    for (int round = 0; round < ROUNDS; round++) {
        run_parallel_attempts(path, program, ALWAYS, count);
        printf("%s, %d at the same time, back after %d ms: %d servers ended so far\n", path, count, restart_ms,
               site_exit_count());
        fflush(stdout);
        clock_sleep_us(RESTART_US);
    }
    ck_assert_int_le(site_exit_count(), MAX_EXITS);
}

static void expect_few_exits_for_each_count(const char *path, const char *name, int restart_ms)
{
    site_set_restart_ms(restart_ms);
    for (int i = 0; i < PARALLEL_COUNTS; i++) {
        expect_few_exits(path, name, restart_ms, parallel_counts[i]);
    }
    site_set_restart_ms(DEFAULT_RESTART_MS);
}

/* Attempts at the same time must count before their servers have ended: afterwards it is too late. */
START_TEST(turns_at_the_same_time_end_at_most_three_servers)
{
    expect_few_exits_for_each_count("/open/chat/x", "turns", restart_times_ms[_i]);
}
END_TEST

/* The same for requests that the replicated log does not know before they fail. */
START_TEST(requests_at_the_same_time_end_at_most_three_servers)
{
    expect_few_exits_for_each_count("/safe/x", "safe", restart_times_ms[_i]);
}
END_TEST

/* Gateways that have just started have seen no failure: the one that is left must not be used by each of them. */
START_TEST(requests_at_the_same_time_after_a_kill_of_all_daemons_end_at_most_three)
{
    char program[32];
    snprintf(program, sizeof(program), "after-a-kill-%d", _i);
    site_set_mode(-1, SITE_NORMAL);
    for (int i = 0; site_exit_count() < MAX_EXITS - 1 && i < ATTEMPTS; i++) {
        attempt(i % SITE_GATEWAYS, "/once/x", program, ALWAYS);
        clock_sleep_us(RESTART_US);
    }
    ck_assert_int_eq(site_exit_count(), MAX_EXITS - 1);
    site_restart_all();
    clock_sleep_us(RESTART_US);
    run_parallel_attempts("/once/x", program, ALWAYS, SITE_GATEWAYS);
    printf("%s: %d servers ended\n", program, site_exit_count());
    fflush(stdout);
    ck_assert_int_le(site_exit_count(), MAX_EXITS);
}
END_TEST

static double permit_requests(void)
{
    double count = 0;
    for (int i = 0; i < SITE_GATEWAYS; i++) {
        count += site_metric(site_gateway_daemon(i), "permit_requests_total");
    }
    return count;
}

/* Equal requests at the same time that end no server must not wait for each other, be refused, or ask the leader. */
START_TEST(equal_requests_at_the_same_time_are_served)
{
    site_set_mode(-1, SITE_NORMAL);
    double permits = permit_requests();
    ck_assert_int_eq(run_parallel_attempts("/safe/x", "innocent", 0, MAX_PARALLEL), MAX_PARALLEL);
    ck_assert_int_eq(run_parallel_attempts("/once/x", "innocent", 0, MAX_PARALLEL), MAX_PARALLEL);
    ck_assert_int_eq(run_parallel_attempts("/open/chat/x", "innocent", 0, MAX_EXITS), MAX_EXITS);
    ck_assert(permit_requests() == permits);
}
END_TEST

/* ---- Gateways that die with a server ------------------------------------------------------------------ */

static int lost_gateway;

static void kill_gateway(void)
{
    kill(site_process(site_gateway_daemon(lost_gateway)), SIGKILL);
    clock_sleep_us(GATEWAY_EXIT_US);
}

/* An attempt through a gateway that is killed when the first server ends; it starts again. */
static void attempt_and_kill_gateway(int gateway, const char *path, const char *program)
{
    int exits = site_exit_count();
    lost_gateway = gateway;
    site_set_before_exit(kill_gateway);
    int status = attempt(gateway, path, program, ALWAYS);
    site_set_before_exit(NULL);
    printf("%s, gateway %d killed with the server: status %d, %d servers ended so far\n", path, gateway, status,
           site_exit_count());
    fflush(stdout);
    if (site_exit_count() > exits) {
        site_kill_daemon(site_gateway_daemon(gateway), SIGKILL);
        site_start_daemon(site_gateway_daemon(gateway));
    }
    clock_sleep_us(GATEWAY_START_US);
}

/* A gateway that dies when its server ends reports no failure: its attempt must count nevertheless. */
START_TEST(turns_whose_gateways_die_with_their_servers_count)
{
    site_set_mode(-1, SITE_NORMAL);
    for (int i = 0; i < ATTEMPTS; i++) {
        attempt_and_kill_gateway(i % SITE_GATEWAYS, "/open/chat/x", "dies-with-server");
    }
    ck_assert_int_le(site_exit_count(), MAX_EXITS);
}
END_TEST

/* A turn that has lost two gateways without ending a server must be served. */
START_TEST(a_turn_that_loses_two_gateways_is_served)
{
    site_set_mode(-1, SITE_SILENT);
    for (int i = 0; i < SITE_GATEWAYS; i++) {
        parallel_attempt_t lost = {.gateway = i, .path = "/open/chat/x", .program = "loses-gateways"};
        ck_assert_int_eq(pthread_create(&lost.thread, NULL, run_parallel_attempt, &lost), 0);
        clock_sleep_us(RESTART_US);
        site_kill_daemon(site_gateway_daemon(i), SIGKILL);
        pthread_join(lost.thread, NULL);
        site_start_daemon(site_gateway_daemon(i));
        clock_sleep_us(GATEWAY_START_US);
    }
    site_set_mode(-1, SITE_NORMAL);
    ck_assert_int_eq(attempt(0, "/open/chat/x", "loses-gateways", 0), 200);
}
END_TEST

int main(int argc, char **argv)
{
    site_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("unreported ends");
    TCase *tests = tcase_create("one site");
    tcase_set_timeout(tests, 60);
    tcase_add_unchecked_fixture(tests, site_start, site_stop);
    tcase_add_loop_test(tests, turns_at_the_same_time_end_at_most_three_servers, 0, RESTART_TIMES);
    tcase_add_loop_test(tests, requests_at_the_same_time_end_at_most_three_servers, 0, RESTART_TIMES);
    tcase_add_loop_test(tests, requests_at_the_same_time_after_a_kill_of_all_daemons_end_at_most_three, 0,
                        KILLED_OPERATIONS);
    tcase_add_test(tests, equal_requests_at_the_same_time_are_served);
    tcase_add_test(tests, turns_whose_gateways_die_with_their_servers_count);
    tcase_add_test(tests, a_turn_that_loses_two_gateways_is_served);
    suite_add_tcase(suite, tests);
    return suite_run_without_fork(suite); /* the simulated servers are threads of this process */
}
