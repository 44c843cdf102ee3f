/*
 * After all daemons were killed, a gateway must not serve an older configuration than the last one acknowledged.
 *
 * A restarted replica has the configuration of its last snapshot; it learns only from a leader that later log entries
 * are committed. A gateway must not use that configuration, nor respond with 404 based on it.
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
    MEMORY_LIMIT_MB = 48, /* small, so that a log of a few MB causes a snapshot */
    MAX_TURNS = 1000,     /* within which each replica must take a snapshot */
    ADDED_VERSION = 7,
    WITHOUT_LEADER_MS = 1500, /* time that one replica runs alone */
    REQUEST_INTERVAL_US = 20000
};

/* Extra fields of the first route, which end it and begin another one. */
static const char ADDED_ROUTE[] =
    ",\"more\":{}},"
    "{\"name\":\"added\",\"host\":\"app.example\",\"path-prefix\":\"/added/\",\"kind\":\"safe\","
    "\"timeout-ms\":3000,\"service\":\"plain\",\"max-attempts\":2";

static int status_counts[600];

static void start_limited(void)
{
    site_limit_memory(MEMORY_LIMIT_MB);
    site_start();
}

static bool all_replicas_have_snapshots(void)
{
    for (int replica = 0; replica < SITE_REPLICAS; replica++) {
        if (site_metric(replica, "raft_snapshots_total") < 1) {
            return false;
        }
    }
    return true;
}

static int request_status(int gateway, const char *path)
{
    struct site_response response;
    site_call(gateway, "GET", path, "", NULL, &response);
    int status = response.status;
    site_response_close(&response);
    return status;
}

static bool added_route_is_served(void *context)
{
    return request_status(*(int *)context, "/added/x") == 200;
}

static bool added_configuration_is_accepted(void *context)
{
    return site_operator_call(0, "POST", "/api/config/replace", context, NULL) == 200;
}

static bool unknown_route_is_not_found(void *context)
{
    return request_status(*(int *)context, "/never/x") == 404;
}

static bool replica_is_member(void *context)
{
    return site_metric(*(int *)context, "raft_members") == SITE_REPLICAS;
}

static void wait_for_added_route(void)
{
    for (int replica = 0; replica < SITE_REPLICAS; replica++) {
        site_wait(replica_is_member, &replica, "all replicas are members");
    }
    for (int gateway = 0; gateway < SITE_GATEWAYS; gateway++) {
        site_wait(added_route_is_served, &gateway, "the added route is served");
    }
}

/* Leaves each replica with a snapshot of the first configuration and with the added route only in its log. */
static void add_route_after_snapshots(void)
{
    for (int i = 0; !all_replicas_have_snapshots(); i++) {
        ck_assert_msg(i < MAX_TURNS, "no snapshot after %d turns", i);
        site_large_turn(0, i);
    }
    char *added = site_configuration(ADDED_VERSION, ADDED_ROUTE);
    site_wait(added_configuration_is_accepted, added, "the added route is acknowledged");
    free(added);
    wait_for_added_route();
}

static void kill_all(void)
{
    for (int daemon = 0; daemon < SITE_REPLICAS + SITE_GATEWAYS; daemon++) {
        site_kill_daemon(daemon, SIGKILL);
    }
}

static void count_statuses(uint64_t duration_ms)
{
    uint64_t end_ms = clock_monotonic_ms() + duration_ms;
    while (clock_monotonic_ms() < end_ms) {
        for (int gateway = 0; gateway < SITE_GATEWAYS; gateway++) {
            status_counts[request_status(gateway, "/added/x")]++;
        }
        clock_sleep_us(REQUEST_INTERVAL_US);
    }
}

START_TEST(gateway_serves_nothing_older_than_acknowledged)
{
    add_route_after_snapshots();
    kill_all();
    site_start_daemon(SITE_REPLICAS);
    site_start_daemon(SITE_REPLICAS + 1);
    site_start_daemon(0);
    count_statuses(WITHOUT_LEADER_MS);
    ck_assert_msg(status_counts[404] == 0, "%d responses of 404 for an acknowledged route while there was no leader",
                  status_counts[404]);
    site_start_daemon(1);
    site_start_daemon(2);
    wait_for_added_route();
    for (int gateway = 0; gateway < SITE_GATEWAYS; gateway++) {
        site_wait(unknown_route_is_not_found, &gateway, "an unknown route gets 404");
    }
}
END_TEST

START_TEST(missing_route_is_not_found_only_with_fresh_configuration)
{
    add_route_after_snapshots();
    for (int replica = 0; replica < SITE_REPLICAS; replica++) {
        site_kill_daemon(replica, SIGKILL);
    }
    clock_sleep_us(2500 * 1000); /* longer than NODE_FRESHNESS_TIMEOUT_MS (proxy/node.h) */
    int status = request_status(0, "/never/x");
    ck_assert_msg(status == 503, "status %d for an unknown route while no replica runs, expected 503", status);
    for (int replica = 0; replica < SITE_REPLICAS; replica++) {
        site_start_daemon(replica);
    }
    wait_for_added_route();
}
END_TEST

int main(int argc, char **argv)
{
    site_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("stale configuration");
    TCase *tests = tcase_create("one site");
    tcase_set_timeout(tests, 120);
    tcase_add_checked_fixture(tests, start_limited, site_stop);
    tcase_add_test(tests, gateway_serves_nothing_older_than_acknowledged);
    tcase_add_test(tests, missing_route_is_not_found_only_with_fresh_configuration);
    suite_add_tcase(suite, tests);
    return suite_run_without_fork(suite);
}
