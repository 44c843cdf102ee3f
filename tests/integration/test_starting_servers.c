/* Rate limit of servers that have just started, checked by the arrival times of requests. */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../unit/suite.h"
#include "base/clock.h"
#include "site.h"

enum {
    RATE_PER_S = 10,
    REQUESTS = 12,
    CALLERS = 8,
    REQUESTS_PER_CALLER = 20,
    ONE_SECOND_MS = 1000,
    AFTER_REFUSAL_US = 50000, /* longer than SERVER_FULL_PAUSE_MS, for which a server is skipped after a refusal */
    MAX_ARRIVALS = 4096,
    FIRST_SERVER = 2, /* the two servers of the plain service */
    SECOND_SERVER = 3
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static uint64_t arrivals[SITE_SERVERS][MAX_ARRIVALS];
static int arrival_counts[SITE_SERVERS];

static void record_run(const site_run_t *run)
{
    pthread_mutex_lock(&lock);
    if (arrival_counts[run->server] < MAX_ARRIVALS) {
        arrivals[run->server][arrival_counts[run->server]++] = run->at_ms;
    }
    pthread_mutex_unlock(&lock);
}

static int count_arrivals(int server)
{
    pthread_mutex_lock(&lock);
    int count = arrival_counts[server];
    pthread_mutex_unlock(&lock);
    return count;
}

static int send_request(int gateway)
{
    struct site_response response;
    site_call(gateway, "GET", "/safe/x", "", NULL, &response);
    int status = response.status;
    site_response_close(&response);
    return status;
}

static bool first_server_gets_nothing(void *context)
{
    int before = count_arrivals(FIRST_SERVER);
    (void)context;
    for (int i = 0; i < REQUESTS * SITE_GATEWAYS; i++) {
        send_request(i % SITE_GATEWAYS);
    }
    return count_arrivals(FIRST_SERVER) == before;
}

static bool is_logged_by_all(void *context)
{
    const char *event = context;
    return site_log_has(SITE_REPLICAS, event) && site_log_has(SITE_REPLICAS + 1, event);
}

static void set_cold_start_rate(void)
{
    static const char plain[] = "{\"name\":\"plain\"}";
    struct buffer text = {0};
    char *configuration = site_configuration(2, "");
    char *at = strstr(configuration, plain);
    ck_assert_ptr_nonnull(at);
    buffer_append(&text, configuration, (size_t)(at - configuration));
    buffer_printf(&text, "{\"name\":\"plain\",\"cold-start-s\":3.0,\"cold-per-s\":%d.0}", RATE_PER_S);
    buffer_append_text(&text, at + sizeof(plain) - 1);
    ck_assert_int_eq(site_operator_call(0, "POST", "/api/config/replace", buffer_text(&text), NULL), 200);
    buffer_close(&text);
    free(configuration);
}

static void setup(void)
{
    site_start();
    set_cold_start_rate();
}

/* Opens connections from both gateways to both servers, so that the gateways choose between them only by load. */
static void connect_to_both(void)
{
    for (int server = FIRST_SERVER; server <= SECOND_SERVER; server++) {
        site_set_mode(FIRST_SERVER + SECOND_SERVER - server, SITE_REFUSE);
        for (int gateway = 0; gateway < SITE_GATEWAYS; gateway++) {
            ck_assert_int_eq(send_request(gateway), 200);
        }
        site_set_mode(FIRST_SERVER + SECOND_SERVER - server, SITE_NORMAL);
    }
    clock_sleep_us(AFTER_REFUSAL_US);
    int before = count_arrivals(FIRST_SERVER);
    for (int i = 0; i < REQUESTS * SITE_GATEWAYS; i++) {
        send_request(i % SITE_GATEWAYS);
    }
    ck_assert_int_gt(count_arrivals(FIRST_SERVER), before);
}

START_TEST(a_starting_server_gets_nothing_while_another_is_idle)
{
    connect_to_both();
    site_set_starting(FIRST_SERVER, true);
    site_wait(is_logged_by_all, (void *)(uintptr_t) "\"server_starting\"",
              "the gateways know that the server is starting");
    ck_assert(first_server_gets_nothing(NULL));
    ck_assert_int_gt(count_arrivals(SECOND_SERVER), 0);
    site_set_starting(FIRST_SERVER, false);
    site_wait(is_logged_by_all, (void *)(uintptr_t) "\"server_started\"",
              "the gateways know that the server has started");
    site_set_mode(SECOND_SERVER, SITE_REFUSE);
    int before = count_arrivals(FIRST_SERVER);
    for (int i = 0; i < 2 * RATE_PER_S; i++) { /* within a second; more than the rate of a starting server */
        ck_assert_int_eq(send_request(0), 200);
    }
    ck_assert_int_eq(count_arrivals(FIRST_SERVER), before + 2 * RATE_PER_S);
    site_set_mode(SECOND_SERVER, SITE_NORMAL);
}
END_TEST

static void *send_repeatedly(void *context)
{
    int *served = context;
    for (int i = 0; i < REQUESTS_PER_CALLER; i++) {
        *served += send_request(i % SITE_GATEWAYS) == 200 ? 1 : 0;
    }
    return NULL;
}

static int compare_times(const void *a, const void *b)
{
    uint64_t left = *(const uint64_t *)a;
    uint64_t right = *(const uint64_t *)b;
    return left < right ? -1 : left > right ? 1 : 0;
}

static int max_arrivals_per_second(int server)
{
    int most = 0;
    int first = 0;
    qsort(arrivals[server], (size_t)arrival_counts[server], sizeof(arrivals[server][0]), compare_times);
    for (int i = 0; i < arrival_counts[server]; i++) {
        while (arrivals[server][i] >= arrivals[server][first] + ONE_SECOND_MS) {
            first++;
        }
        most = i - first + 1 > most ? i - first + 1 : most;
    }
    return most;
}

/* If all servers have just started, they get requests, but from all gateways together no more than their rate. */
START_TEST(servers_that_start_together_get_no_more_than_their_rate)
{
    pthread_t threads[CALLERS];
    int served[CALLERS] = {0};
    int sum = 0;
    site_set_starting(FIRST_SERVER, true);
    site_set_starting(SECOND_SERVER, true);
    site_wait(is_logged_by_all, (void *)(uintptr_t) "\"server_starting\"",
              "the gateways know that the servers are starting");
    clock_sleep_us(ONE_SECOND_MS * 1000);
    pthread_mutex_lock(&lock);
    memset(arrival_counts, 0, sizeof(arrival_counts));
    pthread_mutex_unlock(&lock);
    for (int i = 0; i < CALLERS; i++) {
        pthread_create(&threads[i], NULL, send_repeatedly, &served[i]);
    }
    for (int i = 0; i < CALLERS; i++) {
        pthread_join(threads[i], NULL);
        sum += served[i];
    }
    ck_assert_int_gt(sum, 0);
    ck_assert_int_le(max_arrivals_per_second(FIRST_SERVER), RATE_PER_S);
    ck_assert_int_le(max_arrivals_per_second(SECOND_SERVER), RATE_PER_S);
    site_set_starting(FIRST_SERVER, false);
    site_set_starting(SECOND_SERVER, false);
}
END_TEST

int main(int argc, char **argv)
{
    site_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("starting servers");
    TCase *tests = tcase_create("one site");
    tcase_set_timeout(tests, 90);
    tcase_add_checked_fixture(tests, setup, site_stop);
    tcase_add_test(tests, a_starting_server_gets_nothing_while_another_is_idle);
    tcase_add_test(tests, servers_that_start_together_get_no_more_than_their_rate);
    suite_add_tcase(suite, tests);
    site_echo_ids(record_run);
    return suite_run_without_fork(suite);
}
