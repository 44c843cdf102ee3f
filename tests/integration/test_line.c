/* Requests that wait for a place at a server: real daemons before servers that refuse for a while. */
#include <pthread.h>
#include <string.h>

#include "../unit/suite.h"
#include "base/clock.h"
#include "site.h"

enum { REFUSING_US = 50000, CALLERS = 12, ROUNDS = 6, GATEWAY = SITE_STATES };

/* The stand-in lives in this process, so that no test may run in one of its own. */
static void setup(void)
{
    site_set_mode(-1, SITE_NORMAL);
}

static int call(void)
{
    struct site_answer answer;
    site_call(0, "POST", "/once/x", "Bankbank-Deadline-Ms: 2500\r\n", "b", &answer);
    int status = answer.status;
    bool in_time_to_return = strstr(buffer_text(&answer.head), "Retry-After: ") != NULL;
    ck_assert(status != 503 || in_time_to_return);
    site_answer_close(&answer);
    return status;
}

static void *end_refusing(void *context)
{
    (void)context;
    clock_sleep_us(REFUSING_US);
    site_set_mode(-1, SITE_NORMAL);
    return NULL;
}

START_TEST(a_call_waits_for_a_place)
{
    pthread_t thread;
    site_set_mode(-1, SITE_REFUSE);
    pthread_create(&thread, NULL, end_refusing, NULL);
    int status = call();
    pthread_join(thread, NULL);
    ck_assert_int_eq(status, 200);
    ck_assert_int_eq(site_runs(-1), 1);
}
END_TEST

static void *call_often(void *context)
{
    (void)context;
    for (int i = 0; i < ROUNDS; i++) {
        int status = call();
        ck_assert(status == 503 || status == 200);
    }
    return NULL;
}

static bool line_is_empty(void *context)
{
    (void)context;
    return site_metric(GATEWAY, "requests_queued") == 0 && site_metric(GATEWAY, "requests_active") == 0;
}

/* Callers that come again and again while nothing has a place: the line ends with its cause. */
START_TEST(the_line_ends_with_its_cause)
{
    pthread_t callers[CALLERS];
    site_set_mode(-1, SITE_REFUSE);
    for (int i = 0; i < CALLERS; i++) {
        pthread_create(&callers[i], NULL, call_often, NULL);
    }
    for (int i = 0; i < CALLERS; i++) {
        pthread_join(callers[i], NULL);
    }
    ck_assert(site_metric(GATEWAY, "queued_total") >= CALLERS);
    ck_assert_int_eq(site_runs(-1), 0);
    site_set_mode(-1, SITE_NORMAL);
    site_wait(line_is_empty, NULL, "the line is empty");
    ck_assert_int_eq(call(), 200);
}
END_TEST

int main(int argc, char **argv)
{
    site_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("line");
    TCase *tests = tcase_create("one site");
    tcase_set_timeout(tests, 60);
    tcase_add_checked_fixture(tests, setup, NULL);
    tcase_add_unchecked_fixture(tests, site_start, site_stop);
    tcase_add_test(tests, a_call_waits_for_a_place);
    tcase_add_test(tests, the_line_ends_with_its_cause);
    suite_add_tcase(suite, tests);
    return suite_run_in_process(suite);
}
