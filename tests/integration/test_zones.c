/* Zones that operators drain: real daemons, servers in two zones. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../unit/suite.h"
#include "site.h"

enum { CALLS = 12, STATES_AND_GATEWAYS = SITE_STATES + SITE_GATEWAYS };

static int order(const char *zone, const char *verb, int state)
{
    char path[64];
    snprintf(path, sizeof(path), "/api/drain/%s/%s", zone, verb);
    return site_order(state, "POST", path, NULL, NULL);
}

/* Replicas may be without a leader for a moment: an order is sent again, as operators do. */
struct sent {
    const char *zone;
    const char *verb;
};

static bool is_taken(void *context)
{
    const struct sent *sent = context;
    return order(sent->zone, sent->verb, 0) == 200;
}

static void must_order(const char *zone, const char *verb)
{
    struct sent sent = {zone, verb};
    site_wait(is_taken, &sent, "an order is acknowledged");
}

/* Runs of the plain service's servers 2 (zone z1) and 3 (zone z2) in CALLS calls through a gateway. */
static void calls(int gateway, int *in_z1, int *in_z2)
{
    int before[2] = {site_runs(2), site_runs(3)};
    for (int i = 0; i < CALLS; i++) {
        struct site_answer answer;
        site_call(gateway, "GET", "/safe/x", "", NULL, &answer);
        ck_assert_int_eq(answer.status, 200);
        site_answer_close(&answer);
    }
    *in_z1 = site_runs(2) - before[0];
    *in_z2 = site_runs(3) - before[1];
}

static bool leaves_z1(void *context)
{
    int in_z1 = 0;
    int in_z2 = 0;
    (void)context;
    for (int gateway = 0; gateway < SITE_GATEWAYS; gateway++) {
        calls(gateway, &in_z1, &in_z2);
        if (in_z1 > 0) {
            return false;
        }
    }
    return true;
}

static bool uses_z1(void *context)
{
    int in_z1 = 0;
    int in_z2 = 0;
    (void)context;
    calls(0, &in_z1, &in_z2);
    return in_z1 > 0;
}

static bool is_served(void *context)
{
    struct site_answer answer;
    int gateway = *(int *)context;
    site_call(gateway, "GET", "/safe/x", "", NULL, &answer);
    int status = answer.status;
    site_answer_close(&answer);
    return status == 200;
}

static void expect_none_in_z1(void)
{
    for (int gateway = 0; gateway < SITE_GATEWAYS; gateway++) {
        int in_z1 = 0;
        int in_z2 = 0;
        calls(gateway, &in_z1, &in_z2);
        ck_assert_int_eq(in_z1, 0);
        ck_assert_int_eq(in_z2, CALLS);
    }
}

static void setup(void)
{
    site_start();
    site_set_zone(1, "z2");
    site_set_zone(3, "z2");
    site_wait(uses_z1, NULL, "both zones are used");
}

START_TEST(a_drained_zone_gets_nothing_until_it_is_opened)
{
    must_order("z1", "start");
    must_order("z1", "start");
    site_wait(leaves_z1, NULL, "the zone is left");
    expect_none_in_z1();
    must_order("z1", "stop");
    site_wait(uses_z1, NULL, "the zone is used again");
}
END_TEST

/* Whoever starts knows it before it serves, whatever it held before. */
START_TEST(a_drain_outlives_every_process)
{
    must_order("z1", "start");
    site_wait(leaves_z1, NULL, "the zone is left");
    for (int daemon = 0; daemon < STATES_AND_GATEWAYS; daemon++) {
        site_end_daemon(daemon, SIGKILL);
    }
    for (int daemon = 0; daemon < STATES_AND_GATEWAYS; daemon++) {
        site_start_daemon(daemon);
    }
    int before = site_runs(2);
    for (int gateway = 0; gateway < SITE_GATEWAYS; gateway++) {
        site_wait(is_served, &gateway, "a gateway serves again");
    }
    expect_none_in_z1();
    ck_assert_int_eq(site_runs(2), before);
}
END_TEST

static bool is_refused_for(const char *cause)
{
    struct site_answer answer;
    site_call(0, "GET", "/safe/x", "", NULL, &answer);
    bool refused = answer.status == 503 && strstr(buffer_text(&answer.body), cause) != NULL &&
                   strstr(buffer_text(&answer.head), "Retry-After") != NULL;
    site_answer_close(&answer);
    return refused;
}

static bool is_refused(void *context)
{
    (void)context;
    return is_refused_for("zones drained");
}

static bool is_refused_for_regions(void *context)
{
    (void)context;
    return is_refused_for("no server in the allowed regions");
}

static bool is_known_everywhere(void *context)
{
    static const char told[] = "\"configuration_in_force\",\"version\":2";
    (void)context;
    return site_log_has(SITE_STATES, told) && site_log_has(SITE_STATES + 1, told);
}

/* What nothing can serve is refused at once, with a time to come back, and does not run. */
START_TEST(a_service_whose_zones_are_all_drained_refuses_at_once)
{
    must_order("z1", "start");
    must_order("z2", "start");
    site_wait(is_refused, NULL, "the refusal names the cause");
    int before = site_runs(-1);
    ck_assert(is_refused(NULL));
    ck_assert_int_eq(site_runs(-1), before);
    must_order("z2", "stop");
    int gateway = 0;
    site_wait(is_served, &gateway, "the other zone serves");
}
END_TEST

START_TEST(an_unknown_zone_is_told_so)
{
    struct buffer reply = {0};
    ck_assert_int_eq(site_order(0, "POST", "/api/drain/z9/start", NULL, &reply), 404);
    ck_assert_ptr_nonnull(strstr(buffer_text(&reply), "unknown zone"));
    buffer_close(&reply);
    ck_assert_int_eq(site_order(0, "POST", "/api/drain/z1/begin", NULL, NULL), 404);
    ck_assert_int_eq(site_order(0, "GET", "/api/drain/z1/start", NULL, NULL), 404);
}
END_TEST

static void put_regions(int version, const char *field)
{
    char *text = site_configuration(version, field);
    ck_assert_int_eq(site_order(0, "POST", "/api/config/replace", text, NULL), 200);
    free(text);
}

/* A route's requests go to servers of the allowed regions alone, through gateways of any; none there: refused at once.
 */
START_TEST(a_route_keeps_to_its_regions)
{
    put_regions(2, ",\"allowed-regions\":[\"r2\"]");
    site_wait(leaves_z1, NULL, "the other region is left");
    expect_none_in_z1();
    put_regions(3, ",\"allowed-regions\":[\"r1\"]");
    must_order("z1", "start");
    site_wait(is_refused_for_regions, NULL, "the refusal names the cause");
    must_order("z1", "stop");
    site_wait(uses_z1, NULL, "the zone is used again");
}
END_TEST

/* What is said on a route that is kept would go to replicas in other regions: it is not taken. */
START_TEST(a_conversation_is_not_kept_outside_its_regions)
{
    struct site_answer answer;
    struct buffer text = {0};
    char *whole = site_configuration(2, "");
    const char *at = strstr(whole, "\"stateful\":true");
    ck_assert_ptr_nonnull(at);
    buffer_append(&text, whole, (size_t)(at - whole));
    buffer_printf(&text, "\"allowed-regions\":[\"r1\"],%s", at);
    ck_assert_int_eq(site_order(0, "POST", "/api/config/replace", buffer_text(&text), NULL), 200);
    site_wait(is_known_everywhere, NULL, "the configuration is in force");
    int before = site_runs(-1);
    site_call(0, "POST", "/chat/x", "Bankbank-Program-Id: p1\r\n", "said", &answer);
    ck_assert_int_eq(answer.status, 503);
    ck_assert_ptr_nonnull(strstr(buffer_text(&answer.body), "allowed regions"));
    ck_assert_int_eq(site_runs(-1), before);
    site_answer_close(&answer);
    buffer_close(&text);
    free(whole);
}
END_TEST

int main(int argc, char **argv)
{
    site_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("zones");
    TCase *tests = tcase_create("one site");
    tcase_set_timeout(tests, 90);
    tcase_add_checked_fixture(tests, setup, site_stop);
    tcase_add_test(tests, a_drained_zone_gets_nothing_until_it_is_opened);
    tcase_add_test(tests, a_drain_outlives_every_process);
    tcase_add_test(tests, an_unknown_zone_is_told_so);
    tcase_add_test(tests, a_route_keeps_to_its_regions);
    tcase_add_test(tests, a_conversation_is_not_kept_outside_its_regions);
    tcase_add_test(tests, a_service_whose_zones_are_all_drained_refuses_at_once);
    suite_add_tcase(suite, tests);
    return suite_run_in_process(suite);
}
