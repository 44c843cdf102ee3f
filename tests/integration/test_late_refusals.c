/*
 * A second copy of a server's refusal may arrive in place of the next response on its connection. It must not be taken
 * for the refusal of the request that is under way there: that request would be sent to another server as well, or be
 * refused as not run, while the first server runs it.
 */
#include <string.h>

#include "../unit/suite.h"
#include "base/clock.h"
#include "site.h"

enum { REFUSING = 2, OTHER = 3, LIST_US = 400000, IDLE = 4 /* maximum number of idle connections to a server */ };

static void reset_servers(void)
{
    site_replace_server(OTHER); /* a server that has drained does not come back */
    site_set_mode(-1, SITE_NORMAL);
    clock_sleep_us(LIST_US);
}

static int call_once(const char *id)
{
    struct site_response response;
    site_call_as(0, id, "POST", "/once/x", "Bankbank-Deadline-Ms: 1500\r\n", "x", &response);
    int status = response.status;
    site_response_close(&response);
    return status;
}

static void leave_one_server(void)
{
    site_set_draining(OTHER, true);
    clock_sleep_us(LIST_US);
}

/* The copy has the id of another request, which the other server has run. */
START_TEST(a_late_refusal_of_another_request_is_not_believed)
{
    leave_one_server();
    ck_assert_int_eq(call_once(NULL), 200); /* leaves a connection, for which the next request prefers the server */
    site_replace_server(OTHER);
    clock_sleep_us(LIST_US);
    site_set_mode(REFUSING, SITE_REFUSE_LATE);
    ck_assert_int_eq(call_once(NULL), 200);
    ck_assert(site_has_refused(REFUSING));
    leave_one_server();
    int runs = site_run_count(REFUSING);
    ck_assert_int_eq(call_once("next"), 502);
    ck_assert_int_eq(site_run_count(REFUSING), runs + 1);
}
END_TEST

/* The request is sent to the same server again, so that the copy has its own id. */
START_TEST(a_late_refusal_of_an_earlier_attempt_is_not_believed)
{
    leave_one_server();
    site_set_mode(REFUSING, SITE_REFUSE_LATE);
    ck_assert_int_eq(call_once("again"), 200);
    ck_assert_int_eq(site_run_count(-1), 1);
}
END_TEST

/* Guards against a refusal that is believed although nothing tells whose it is. */
START_TEST(a_late_refusal_that_names_no_request_is_not_believed)
{
    leave_one_server();
    ck_assert_int_eq(call_once(NULL), 200); /* leaves a connection, for which the next request prefers the server */
    site_replace_server(OTHER);
    clock_sleep_us(LIST_US);
    site_set_mode(REFUSING, SITE_REFUSE_LATE_UNNAMED);
    ck_assert_int_eq(call_once(NULL), 200);
    ck_assert(site_has_refused(REFUSING));
    leave_one_server();
    int runs = site_run_count(REFUSING);
    ck_assert_int_eq(call_once("unnamed"), 502);
    ck_assert_int_eq(site_run_count(REFUSING), runs + 1);
}
END_TEST

/* The first response of a connection can only belong to its first request. */
START_TEST(a_refusal_that_names_no_request_is_believed_on_a_new_connection)
{
    leave_one_server();
    site_set_mode(REFUSING, SITE_CUT);
    for (int i = 0; i < IDLE; i++) {
        ck_assert_int_eq(call_once(NULL), 502); /* closes a connection to the server */
    }
    site_set_mode(REFUSING, SITE_REFUSE_UNNAMED);
    ck_assert_int_eq(call_once(NULL), 503);
    ck_assert_int_eq(call_once(NULL), 503);
    ck_assert_int_eq(site_run_count(-1), 0);
}
END_TEST

int main(int argc, char **argv)
{
    site_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("late refusals");
    TCase *tests = tcase_create("one site");
    tcase_set_timeout(tests, 60);
    tcase_add_checked_fixture(tests, reset_servers, NULL);
    tcase_add_unchecked_fixture(tests, site_start, site_stop);
    tcase_add_test(tests, a_late_refusal_of_another_request_is_not_believed);
    tcase_add_test(tests, a_late_refusal_of_an_earlier_attempt_is_not_believed);
    tcase_add_test(tests, a_late_refusal_that_names_no_request_is_not_believed);
    tcase_add_test(tests, a_refusal_that_names_no_request_is_believed_on_a_new_connection);
    suite_add_tcase(suite, tests);
    return suite_run_without_fork(suite); /* the simulated servers are threads of this process */
}
