/* Requests that wait in a gateway's queue while all servers refuse requests. */
#include <pthread.h>
#include <string.h>

#include "../unit/suite.h"
#include "base/clock.h"
#include "site.h"

enum { REFUSAL_TIME_US = 50000, CALLERS = 12, ROUNDS = 6, GATEWAY = SITE_REPLICAS };

static void reset_servers(void)
{
    site_set_mode(-1, SITE_NORMAL);
}

static int send_request(void)
{
    struct site_response response;
    site_call(0, "POST", "/once/x", "Bankbank-Deadline-Ms: 2500\r\n", "b", &response);
    int status = response.status;
    bool has_retry_after = strstr(buffer_text(&response.head), "Retry-After: ") != NULL;
    ck_assert(status != 503 || has_retry_after);
    site_response_close(&response);
    return status;
}

static void *accept_after_refusals(void *context)
{
    (void)context;
    clock_sleep_us(REFUSAL_TIME_US);
    site_set_mode(-1, SITE_NORMAL);
    return NULL;
}

START_TEST(a_request_waits_for_capacity)
{
    pthread_t thread;
    site_set_mode(-1, SITE_REFUSE);
    pthread_create(&thread, NULL, accept_after_refusals, NULL);
    int status = send_request();
    pthread_join(thread, NULL);
    ck_assert_int_eq(status, 200);
    ck_assert_int_eq(site_run_count(-1), 1);
}
END_TEST

static void *send_repeatedly(void *context)
{
    (void)context;
    for (int i = 0; i < ROUNDS; i++) {
        int status = send_request();
        ck_assert(status == 503 || status == 200);
    }
    return NULL;
}

static bool queue_is_empty(void *context)
{
    (void)context;
    return site_metric(GATEWAY, "requests_queued") == 0 && site_metric(GATEWAY, "requests_active") == 0;
}

/* Callers retry while all servers refuse: no request runs, and the queue is empty once the servers accept again. */
START_TEST(the_queue_drains_when_servers_recover)
{
    pthread_t callers[CALLERS];
    site_set_mode(-1, SITE_REFUSE);
    for (int i = 0; i < CALLERS; i++) {
        pthread_create(&callers[i], NULL, send_repeatedly, NULL);
    }
    for (int i = 0; i < CALLERS; i++) {
        pthread_join(callers[i], NULL);
    }
    ck_assert(site_metric(GATEWAY, "queued_total") >= CALLERS);
    ck_assert_int_eq(site_run_count(-1), 0);
    site_set_mode(-1, SITE_NORMAL);
    site_wait(queue_is_empty, NULL, "the queue is empty");
    ck_assert_int_eq(send_request(), 200);
}
END_TEST

int main(int argc, char **argv)
{
    site_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("queue");
    TCase *tests = tcase_create("one site");
    tcase_set_timeout(tests, 60);
    tcase_add_checked_fixture(tests, reset_servers, NULL);
    tcase_add_unchecked_fixture(tests, site_start, site_stop);
    tcase_add_test(tests, a_request_waits_for_capacity);
    tcase_add_test(tests, the_queue_drains_when_servers_recover);
    suite_add_tcase(suite, tests);
    return suite_run_without_fork(suite); /* the simulated servers are threads of this process */
}
