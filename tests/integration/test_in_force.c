/*
 * Which configuration a gateway takes into force after everything was down at once.
 *
 * Seen: a route that had been added, acknowledged and served was answered with
 * 404 by many gateways for seconds, from a moment on at which two gateways
 * learnt two different versions from replicas of one leader.
 *
 * How it came about: a replica that starts again holds the configuration of its
 * last snapshot; what was acknowledged after that stands in its log, and is
 * known as committed only once a leader has said so. Until then it told its
 * older configuration to each gateway that asked, and a gateway that had just
 * started took it into force, called itself ready, and answered for it.
 *
 * What showed it: one replica of three that runs without a leader for as long
 * as this test likes; the gateways' answers turn from 404 to 200 with the
 * second replica.
 */
#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../unit/suite.h"
#include "base/clock.h"
#include "site.h"

enum {
    LIMIT_MB = 48,            /* so that a log of a few MB makes a snapshot due */
    TURNS_MOST = 1000,        /* until each replica has taken its snapshot */
    ADDED_VERSION = 7,        /* of the configuration with one route more */
    WITHOUT_LEADER_MS = 1500, /* time that the one replica runs alone */
    ASK_US = 20000            /* pause between two requests */
};

static const char ADDED[] =
    ",\"more\":{}},"
    "{\"name\":\"added\",\"host\":\"app.example\",\"path-prefix\":\"/added/\",\"kind\":\"safe\","
    "\"timeout-ms\":3000,\"service\":\"plain\",\"max-attempts\":2";

static int statuses[600];

static void setup(void)
{
    site_limit_memory(LIMIT_MB);
    site_start();
}

static bool all_have_snapshots(void)
{
    for (int state = 0; state < SITE_STATES; state++) {
        if (site_metric(state, "raft_snapshots_total") < 1) {
            return false;
        }
    }
    return true;
}

static int ask(int gateway, const char *path)
{
    struct site_answer answer;
    site_call(gateway, "GET", path, "", NULL, &answer);
    int status = answer.status;
    site_answer_close(&answer);
    return status;
}

static bool added_route_is_served(void *context)
{
    return ask(*(int *)context, "/added/x") == 200;
}

static bool added_configuration_is_taken(void *context)
{
    return site_order(0, "POST", "/api/config/replace", context, NULL) == 200;
}

static bool unknown_route_is_denied(void *context)
{
    return ask(*(int *)context, "/never/x") == 404;
}

static bool replica_is_member(void *context)
{
    return site_metric(*(int *)context, "raft_members") == SITE_STATES;
}

static void wait_for_added_route(void)
{
    for (int state = 0; state < SITE_STATES; state++) {
        site_wait(replica_is_member, &state, "all replicas run");
    }
    for (int gateway = 0; gateway < SITE_GATEWAYS; gateway++) {
        site_wait(added_route_is_served, &gateway, "the added route is served");
    }
}

/* Every replica has a snapshot with the first configuration, and the acknowledged one in its log behind it. */
static void add_route_after_snapshots(void)
{
    for (int i = 0; !all_have_snapshots(); i++) {
        ck_assert_msg(i < TURNS_MOST, "no snapshot after %d turns", i);
        site_large_turn(0, i);
    }
    char *added = site_configuration(ADDED_VERSION, ADDED);
    site_wait(added_configuration_is_taken, added, "the added route is acknowledged");
    free(added);
    wait_for_added_route();
}

static void kill_all(void)
{
    for (int daemon = 0; daemon < SITE_STATES + SITE_GATEWAYS; daemon++) {
        site_end_daemon(daemon, SIGKILL);
    }
}

static void count_answers(uint64_t for_ms)
{
    uint64_t end_ms = clock_monotonic_ms() + for_ms;
    while (clock_monotonic_ms() < end_ms) {
        for (int gateway = 0; gateway < SITE_GATEWAYS; gateway++) {
            statuses[ask(gateway, "/added/x")]++;
        }
        clock_sleep_us(ASK_US);
    }
}

START_TEST(a_gateway_serves_nothing_older_than_what_was_acknowledged)
{
    add_route_after_snapshots();
    kill_all();
    site_start_daemon(SITE_STATES);
    site_start_daemon(SITE_STATES + 1);
    site_start_daemon(0);
    count_answers(WITHOUT_LEADER_MS);
    ck_assert_msg(statuses[404] == 0, "%d answers of 404 for a route that is there, by a replica without a leader",
                  statuses[404]);
    site_start_daemon(1);
    site_start_daemon(2);
    wait_for_added_route();
    for (int gateway = 0; gateway < SITE_GATEWAYS; gateway++) {
        site_wait(unknown_route_is_denied, &gateway, "a route that never was is denied");
    }
}
END_TEST

START_TEST(a_route_that_is_missing_is_denied_only_while_that_is_sure)
{
    add_route_after_snapshots();
    for (int state = 0; state < SITE_STATES; state++) {
        site_end_daemon(state, SIGKILL);
    }
    clock_sleep_us(2500 * 1000);
    int status = ask(0, "/never/x");
    ck_assert_msg(status == 503, "a gateway that hears no replica answers %d for a route it does not know", status);
    for (int state = 0; state < SITE_STATES; state++) {
        site_start_daemon(state);
    }
    wait_for_added_route();
}
END_TEST

int main(int argc, char **argv)
{
    site_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("in force");
    TCase *tests = tcase_create("one site");
    tcase_set_timeout(tests, 120);
    tcase_add_checked_fixture(tests, setup, site_stop);
    tcase_add_test(tests, a_gateway_serves_nothing_older_than_what_was_acknowledged);
    tcase_add_test(tests, a_route_that_is_missing_is_denied_only_while_that_is_sure);
    suite_add_tcase(suite, tests);
    return suite_run_in_process(suite);
}
