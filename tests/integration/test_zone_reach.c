/* A zone that a gateway cannot reach, with real daemons: servers 0 and 1 (one service) and 3 (another service) are in
 * zone z3, server 2 is in z1 with the gateway. */
#include <pthread.h>
#include <string.h>

#include "../unit/suite.h"
#include "site.h"

enum { GATEWAY = SITE_REPLICAS, REQUESTS = 12, FAILED_SERVERS = 2, IN_GATEWAY_ZONE = 2, IN_OTHER_ZONE = 3 };

static void *send_request(void *context)
{
    struct site_response response;
    site_call(0, "POST", "/once/x", "", "body", &response);
    *(int *)context = response.status;
    site_response_close(&response);
    return NULL;
}

/* Sends concurrent requests, more than server 2 has slots; returns how many were served. */
static int send_burst(void)
{
    pthread_t callers[REQUESTS];
    int statuses[REQUESTS];
    int served = 0;
    site_set_mode(-1, SITE_SLOW);
    for (int i = 0; i < REQUESTS; i++) {
        ck_assert_int_eq(pthread_create(&callers[i], NULL, send_request, &statuses[i]), 0);
    }
    for (int i = 0; i < REQUESTS; i++) {
        pthread_join(callers[i], NULL);
        served += statuses[i] == 200 ? 1 : 0;
    }
    return served;
}

static bool burst_overflows(void *context)
{
    (void)context;
    send_burst();
    return site_run_count(IN_GATEWAY_ZONE) > 0 && site_run_count(IN_OTHER_ZONE) > 0;
}

static void start(int tolerated_zones)
{
    site_set_tolerated_zones(tolerated_zones);
    site_start();
    site_set_zone(0, "z3");
    site_set_zone(1, "z3");
    site_set_zone(IN_OTHER_ZONE, "z3"); /* last: an overflow to it in z3 shows that the list is applied */
    site_wait(burst_overflows, NULL, "a burst overflows to the other zone");
}

static void start_tolerated(void)
{
    start(1);
}

static void start_default(void)
{
    start(0);
}

static void stop(void)
{
    site_stop();
    site_set_tolerated_zones(0);
}

static void set_not_accepting(bool not_accepting)
{
    for (int server = 0; server < FAILED_SERVERS; server++) {
        site_set_not_accepting(server, not_accepting);
    }
}

/* Its connection attempts to the servers 0 and 1 time out. */
static void send_to_failed_servers(void)
{
    struct site_response response;
    site_call(0, "POST", "/open/x", "", "body", &response);
    ck_assert_int_ne(response.status, 200);
    site_response_close(&response);
}

static bool zone_is_unreachable(void *context)
{
    (void)context;
    send_to_failed_servers();
    return site_metric(GATEWAY, "zones_unreachable") == 1;
}

static bool zone_is_reachable(void *context)
{
    (void)context;
    return site_metric(GATEWAY, "zones_unreachable") == 0;
}

/* Guards against a zone that is found unreachable only server by server, against a failure of the gateway to find out
 * without requests that it is reachable again, and against servers there that stay avoided afterwards. */
START_TEST(servers_of_an_unreachable_zone_are_avoided)
{
    ck_assert(!site_log_has(GATEWAY, "zone_unreachable"));
    set_not_accepting(true);
    site_wait(zone_is_unreachable, NULL, "the zone is unreachable");
    ck_assert(site_log_has(GATEWAY, "\"event\":\"zone_unreachable\",\"zone\":\"z3\",\"servers\":2"));
    ck_assert_int_eq(send_burst(), REQUESTS);
    ck_assert_int_eq(site_run_count(IN_OTHER_ZONE), 0);
    set_not_accepting(false);
    site_wait(zone_is_reachable, NULL, "the zone is reachable again");
    ck_assert(site_log_has(GATEWAY, "\"event\":\"zone_reachable\",\"zone\":\"z3\""));
    site_wait(burst_overflows, NULL, "a burst overflows to the zone again");
}
END_TEST

static void *send_stream(void *context)
{
    struct site_response response;
    (void)context;
    site_call(0, "POST", "/open/x", "", "body", &response);
    site_response_close(&response);
    return NULL;
}

static bool both_servers_ran_a_stream(void *context)
{
    send_stream(context);
    return site_run_count(0) > 0 && site_run_count(1) > 0;
}

/* Guards against connection attempts that time out but do not count. The servers respond after a second, so that they
 * may be silent for longer than a connection attempt takes, and are not probed for their silence meanwhile. More
 * concurrent requests than kept connections need new ones. */
START_TEST(connection_attempts_that_time_out_count)
{
    pthread_t callers[REQUESTS];
    site_set_mode(-1, SITE_SLOW);
    site_wait(both_servers_ran_a_stream, NULL, "both servers respond slowly");
    set_not_accepting(true);
    for (int i = 0; i < REQUESTS; i++) {
        ck_assert_int_eq(pthread_create(&callers[i], NULL, send_stream, NULL), 0);
    }
    for (int i = 0; i < REQUESTS; i++) {
        pthread_join(callers[i], NULL);
    }
    ck_assert(site_log_has(GATEWAY, "\"event\":\"zone_unreachable\",\"zone\":\"z3\",\"servers\":2"));
    set_not_accepting(false);
    site_wait(zone_is_reachable, NULL, "the zone is reachable again");
}
END_TEST

START_TEST(without_the_setting_other_servers_of_the_zone_are_used)
{
    set_not_accepting(true);
    for (int i = 0; i < FAILED_SERVERS; i++) {
        send_to_failed_servers();
    }
    ck_assert(site_metric(GATEWAY, "zones_unreachable") == 0);
    send_burst();
    ck_assert_int_gt(site_run_count(IN_OTHER_ZONE), 0);
    ck_assert(!site_log_has(GATEWAY, "zone_unreachable"));
    set_not_accepting(false);
}
END_TEST

int main(int argc, char **argv)
{
    site_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("zone reach");
    TCase *tolerated = tcase_create("a zone may be lost");
    tcase_set_timeout(tolerated, 90);
    tcase_add_checked_fixture(tolerated, start_tolerated, stop);
    tcase_add_test(tolerated, servers_of_an_unreachable_zone_are_avoided);
    tcase_add_test(tolerated, connection_attempts_that_time_out_count);
    suite_add_tcase(suite, tolerated);
    TCase *unchanged = tcase_create("no zone may be lost");
    tcase_set_timeout(unchanged, 90);
    tcase_add_checked_fixture(unchanged, start_default, stop);
    tcase_add_test(unchanged, without_the_setting_other_servers_of_the_zone_are_used);
    suite_add_tcase(suite, unchanged);
    return suite_run_without_fork(suite);
}
