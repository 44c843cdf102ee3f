/*
 * A state replica that loses its disk again shortly after its return, at its old address or at another one, must not
 * end the quorum of the other two.
 *
 * The returned replica joins under a new id beside its old one, which is still a voter. If it was promoted before the
 * old one was removed, and then lost, two voters of four never returned: no configuration was read or turn served
 * again.
 */
#include <signal.h>

#include "../unit/suite.h"
#include "base/clock.h"
#include "site.h"

enum {
    LOST = 2,
    LOSSES = 6,
    DOWN_US = 500000,
    UP_US = 100000,
    UP_STEP_US = 20000,
    MOVES = 3,
    MOVE_US = 1000000,    /* from the end of a machine to the start of its successor */
    MOVED_UP_US = 400000, /* while the old voter becomes unreachable */
    MOVED_UP_STEP_US = 100000,
    MOVED_DOWN_US = 2000000
};

static bool configuration_is_readable(void *context)
{
    (void)context;
    return site_operator_call(0, "GET", "/api/config/get", NULL, NULL) == 200;
}

static bool turn_is_served(void *context)
{
    struct site_response response;
    (void)context;
    site_call(0, "POST", "/chat/x",
              "Bankbank-Program-Id: after\r\nBankbank-Token-Budget: 100000\r\nBankbank-Token-Usage: 10,15\r\n",
              "prompt", &response);
    bool served = response.status == 200 && response.complete;
    site_response_close(&response);
    return served;
}

static bool all_replicas_vote(void *context)
{
    bool vote = true;
    (void)context;
    for (int i = 0; i < SITE_REPLICAS; i++) {
        vote = vote && site_metric(site_replica_daemon(i), "raft_voting") == 1;
    }
    return vote;
}

static void lose_disk(int daemon)
{
    site_kill_daemon(daemon, SIGKILL);
    site_remove_data(daemon);
    clock_sleep_us(DOWN_US);
    site_start_daemon(daemon);
}

/* Guards against a successor that is not known as one, since it has another address and name, and that becomes a fourth
 * voter beside its predecessor. It loses its disk at about the time at which the predecessor is found unreachable. */
START_TEST(a_successor_at_another_address_that_loses_its_disk_does_not_end_the_quorum)
{
    int daemon = site_replica_daemon(LOST);
    for (int i = 0; i < MOVES; i++) {
        site_kill_daemon(daemon, SIGKILL);
        site_move_replica(daemon);
        clock_sleep_us(MOVE_US);
        site_start_daemon(daemon);
        clock_sleep_us(MOVED_UP_US + (uint64_t)i * MOVED_UP_STEP_US);
        site_kill_daemon(daemon, SIGKILL);
        site_remove_data(daemon);
        clock_sleep_us(MOVED_DOWN_US);
        site_start_daemon(daemon);
        site_wait(configuration_is_readable, NULL, "the configuration is readable");
        site_wait(turn_is_served, NULL, "a turn is served");
        site_wait(all_replicas_vote, NULL, "all replicas vote");
    }
}
END_TEST

START_TEST(a_replica_that_loses_its_disk_repeatedly_does_not_end_the_quorum)
{
    for (int i = 0; i < LOSSES; i++) {
        lose_disk(site_replica_daemon(LOST));
        clock_sleep_us(UP_US + (uint64_t)(i % 2) * UP_STEP_US);
    }
    site_wait(configuration_is_readable, NULL, "the configuration is readable");
    site_wait(turn_is_served, NULL, "a turn is served");
    site_wait(all_replicas_vote, NULL, "all replicas vote");
}
END_TEST

int main(int argc, char **argv)
{
    site_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("disk losses");
    TCase *tests = tcase_create("one site");
    tcase_set_timeout(tests, 90);
    tcase_add_unchecked_fixture(tests, site_start, site_stop);
    tcase_add_test(tests, a_successor_at_another_address_that_loses_its_disk_does_not_end_the_quorum);
    tcase_add_test(tests, a_replica_that_loses_its_disk_repeatedly_does_not_end_the_quorum);
    suite_add_tcase(suite, tests);
    return suite_run_without_fork(suite); /* the simulated servers are threads of this process */
}
