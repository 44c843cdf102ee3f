/* A site with many more state machines than members, of which only three are seeds. */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "../unit/suite.h"
#include "base/clock.h"
#include "core/membership.h"
#include "site.h"

enum {
    FURTHER = SITE_FURTHER,
    FIRST_FURTHER = SITE_STATES + SITE_GATEWAYS,
    DAEMONS = FIRST_FURTHER + FURTHER,
    SETTLE_MS = 300,
    MEMBERS = MEMBERSHIP_VOTERS_LARGE + MEMBERSHIP_SPARES
};

static bool is_state(int daemon)
{
    return daemon < SITE_STATES || daemon >= FIRST_FURTHER;
}

/* The leader's daemon, or -1. */
static int leader(void)
{
    for (int daemon = 0; daemon < DAEMONS; daemon++) {
        if (is_state(daemon) && site_metric(daemon, "raft_leading") == 1) {
            return daemon;
        }
    }
    return -1;
}

static bool group_is_whole(void *context)
{
    int daemon = leader();
    (void)context;
    return daemon >= 0 && site_metric(daemon, "raft_voters") == MEMBERSHIP_VOTERS_LARGE &&
           site_metric(daemon, "raft_members") == MEMBERS;
}

static bool all_members_run(void *context)
{
    int running = 0;
    (void)context;
    for (int daemon = 0; daemon < DAEMONS; daemon++) {
        running += is_state(daemon) && site_metric(daemon, "replica_running") == 1 ? 1 : 0;
    }
    return running == MEMBERS;
}

static bool turn_is_served(void *context)
{
    static int number;
    char id[32];
    struct site_answer answer;
    struct buffer lines = {0};
    snprintf(id, sizeof(id), "many-%d", number++);
    buffer_printf(&lines, "Bankbank-Program-Id: p1\r\nBankbank-Token-Budget: 1000000\r\n"
                          "Bankbank-Token-Usage: 10,20\r\nBankbank-Deadline-Ms: 2500\r\n");
    if (context != NULL) {
        buffer_printf(&lines, "Bankbank-Parent-Turn: %s\r\n", (const char *)context);
    }
    site_call_as(1, context == NULL ? "first" : id, "POST", "/chat/x", buffer_text(&lines), "said;", &answer);
    bool served = answer.status == 200 && answer.whole;
    site_answer_close(&answer);
    buffer_close(&lines);
    return served;
}

static bool is_running(void *context)
{
    int daemon = *(int *)context;
    return site_metric(daemon, "replica_running") >= 0;
}

/* Another machine has its place: after its silence counts, the group is whole again. */
static void lose_disk(int daemon)
{
    site_end_daemon(daemon, SIGKILL);
    site_lose_disk(daemon);
    clock_sleep_us((MEMBERSHIP_SILENT_MS + SETTLE_MS) * 1000);
    site_wait(group_is_whole, NULL, "the group is whole again");
}

static void come_back(int daemon)
{
    site_start_daemon(daemon);
    site_wait(is_running, &daemon, "the machine is back");
}

static void start_many(void)
{
    site_start_many(FURTHER);
}

/* The seeds find each other among all the machines that have connected to them before. */
START_TEST(as_many_become_members_as_are_needed)
{
    site_wait(group_is_whole, NULL, "five vote and two are kept ready");
    site_wait(all_members_run, NULL, "all members hold the state, and nobody else");
    ck_assert(turn_is_served(NULL));
}
END_TEST

static bool all_have_reloaded(void *context)
{
    bool all = true;
    (void)context;
    for (int daemon = 0; daemon < DAEMONS; daemon++) {
        all = all && site_log_has(daemon, "\"event\":\"reload\",\"asked\":true");
    }
    return all;
}

/* Machines outside the group that become the seeds, at their first start still, begin no group of their own. */
START_TEST(new_seeds_outside_the_group_begin_no_other)
{
    int seeds[SITE_STATES] = {0};
    int count = 0;
    for (int daemon = 0; daemon < DAEMONS && count < SITE_STATES; daemon++) {
        if (is_state(daemon) && site_metric(daemon, "replica_running") == 0) {
            seeds[count++] = daemon;
        }
    }
    ck_assert_int_eq(count, SITE_STATES);
    site_change_seeds(seeds);
    site_wait(all_have_reloaded, NULL, "all know the new seeds");
    clock_sleep_us(2 * SETTLE_MS * 1000); /* they know each other by then */
    for (int i = 0; i < SITE_STATES; i++) {
        ck_assert(!site_log_has(seeds[i], "\"bootstrap\",\"members\""));
    }
    site_wait(group_is_whole, NULL, "the group is as it was");
    site_wait(turn_is_served, (void *)(uintptr_t) "first", "a turn goes on from what was said before");
    site_change_seeds((const int[]){0, 1, 2});
}
END_TEST

/* Each seed loses its disk in its turn: other machines hold everything then, and seeds hold nothing. Gateways that
 * start know the seeds alone, and so does the group until it can tell which of its members are committed. */
START_TEST(a_site_is_found_by_seeds_that_hold_nothing)
{
    for (int seed = 0; seed < SITE_STATES; seed++) {
        lose_disk(seed);
    }
    ck_assert_int_ge(leader(), FIRST_FURTHER);
    for (int seed = 0; seed < SITE_STATES; seed++) {
        come_back(seed);
        ck_assert_int_eq((int)site_metric(seed, "replica_running"), 0);
    }
    for (int daemon = 0; daemon < DAEMONS; daemon++) {
        site_end_daemon(daemon, SIGKILL);
    }
    for (int daemon = 0; daemon < DAEMONS; daemon++) {
        site_start_daemon(daemon);
    }
    site_wait(turn_is_served, (void *)(uintptr_t) "first", "a turn goes on from what was said before");
    site_wait(group_is_whole, NULL, "the group is whole again");
}
END_TEST

/* A machine that holds nothing knows the seeds alone, and no seed leads. */
START_TEST(a_lost_disk_is_replaced_while_no_seed_leads)
{
    for (int lost = 0; lost < 2; lost++) {
        int daemon = leader();
        ck_assert_int_ge(daemon, FIRST_FURTHER);
        lose_disk(daemon);
        come_back(daemon);
    }
    site_wait(turn_is_served, (void *)(uintptr_t) "first", "a turn goes on from what was said before");
}
END_TEST

int main(int argc, char **argv)
{
    site_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("many");
    TCase *tests = tcase_create("one site");
    tcase_set_timeout(tests, 120);
    tcase_add_unchecked_fixture(tests, start_many, site_stop);
    tcase_add_test(tests, as_many_become_members_as_are_needed);
    tcase_add_test(tests, new_seeds_outside_the_group_begin_no_other);
    tcase_add_test(tests, a_site_is_found_by_seeds_that_hold_nothing);
    tcase_add_test(tests, a_lost_disk_is_replaced_while_no_seed_leads);
    suite_add_tcase(suite, tests);
    return suite_run_in_process(suite);
}
