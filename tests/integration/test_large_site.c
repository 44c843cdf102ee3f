/* A site with many more daemons than members of the replica group. Three daemons are seeds, through which the others
 * find the group. */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "../unit/suite.h"
#include "base/clock.h"
#include "core/membership.h"
#include "site.h"

enum {
    EXTRA_REPLICAS = SITE_MAX_EXTRA_DAEMONS,
    FIRST_EXTRA = SITE_REPLICAS + SITE_GATEWAYS,
    DAEMONS = FIRST_EXTRA + EXTRA_REPLICAS,
    SETTLE_MS = 300, /* for connections and messages between daemons */
    MEMBERS = MEMBERSHIP_VOTERS_LARGE + MEMBERSHIP_SPARES
};

static bool has_state_role(int daemon)
{
    return daemon < SITE_REPLICAS || daemon >= FIRST_EXTRA;
}

/* Returns -1 if there is no leader. */
static int leader_daemon(void)
{
    for (int daemon = 0; daemon < DAEMONS; daemon++) {
        if (has_state_role(daemon) && site_metric(daemon, "raft_leading") == 1) {
            return daemon;
        }
    }
    return -1;
}

static bool group_is_complete(void *context)
{
    int daemon = leader_daemon();
    (void)context;
    return daemon >= 0 && site_metric(daemon, "raft_voters") == MEMBERSHIP_VOTERS_LARGE &&
           site_metric(daemon, "raft_members") == MEMBERS;
}

static bool all_members_run(void *context)
{
    int running = 0;
    (void)context;
    for (int daemon = 0; daemon < DAEMONS; daemon++) {
        running += has_state_role(daemon) && site_metric(daemon, "replica_running") == 1 ? 1 : 0;
    }
    return running == MEMBERS;
}

/* Sends a turn whose parent is `context`; NULL: sends the turn "first", which has no parent. */
static bool turn_is_served(void *context)
{
    static int number;
    char id[32];
    struct site_response response;
    struct buffer lines = {0};
    snprintf(id, sizeof(id), "many-%d", number++);
    buffer_printf(&lines, "Bankbank-Program-Id: p1\r\nBankbank-Token-Budget: 1000000\r\n"
                          "Bankbank-Token-Usage: 10,20\r\nBankbank-Deadline-Ms: 2500\r\n");
    if (context != NULL) {
        buffer_printf(&lines, "Bankbank-Parent-Turn: %s\r\n", (const char *)context);
    }
    site_call_as(1, context == NULL ? "first" : id, "POST", "/chat/x", buffer_text(&lines), "said;", &response);
    bool served = response.status == 200 && response.complete;
    site_response_close(&response);
    buffer_close(&lines);
    return served;
}

static bool serves_metrics(void *context)
{
    int daemon = *(int *)context;
    return site_metric(daemon, "replica_running") >= 0;
}

/* Kills a daemon, deletes its data, and waits until another daemon is a member in its place. */
static void replace_member(int daemon)
{
    site_kill_daemon(daemon, SIGKILL);
    site_remove_data(daemon);
    clock_sleep_us((MEMBERSHIP_UNREACHABLE_MS + SETTLE_MS) * 1000);
    site_wait(group_is_complete, NULL, "the group is complete again");
}

static void restart(int daemon)
{
    site_start_daemon(daemon);
    site_wait(serves_metrics, &daemon, "the daemon serves metrics again");
}

static void start_large_site(void)
{
    site_start_with_extra_replicas(EXTRA_REPLICAS);
}

/* The seeds must form the group although all other daemons connect to them too. */
START_TEST(group_has_five_voters_and_two_spares)
{
    site_wait(group_is_complete, NULL, "five voters and two spares are members");
    site_wait(all_members_run, NULL, "exactly the members run replicas");
    ck_assert(turn_is_served(NULL));
}
END_TEST

static bool all_reloaded(void *context)
{
    bool all = true;
    (void)context;
    for (int daemon = 0; daemon < DAEMONS; daemon++) {
        all = all && site_log_has(daemon, "\"event\":\"reload\",\"asked\":true");
    }
    return all;
}

/* Daemons outside the group that become seeds must not bootstrap a second group, even in their first run. */
START_TEST(new_seeds_do_not_bootstrap)
{
    int seeds[SITE_REPLICAS] = {0};
    int count = 0;
    for (int daemon = 0; daemon < DAEMONS && count < SITE_REPLICAS; daemon++) {
        if (has_state_role(daemon) && site_metric(daemon, "replica_running") == 0) {
            seeds[count++] = daemon;
        }
    }
    ck_assert_int_eq(count, SITE_REPLICAS);
    site_change_seeds(seeds);
    site_wait(all_reloaded, NULL, "all daemons have reloaded their settings");
    clock_sleep_us(2 * SETTLE_MS * 1000); /* the new seeds connect to each other */
    for (int i = 0; i < SITE_REPLICAS; i++) {
        ck_assert(!site_log_has(seeds[i], "\"bootstrap\",\"members\""));
    }
    site_wait(group_is_complete, NULL, "the group is unchanged");
    site_wait(turn_is_served, (void *)(uintptr_t) "first", "a turn continues an earlier one");
    site_change_seeds((const int[]){0, 1, 2});
}
END_TEST

/* Once each seed has lost its disk, no seed is a member. Restarted gateways know only the seeds, and so do restarted
 * members until they learn which membership is committed. */
START_TEST(site_is_found_through_seeds_without_state)
{
    for (int seed = 0; seed < SITE_REPLICAS; seed++) {
        replace_member(seed);
    }
    ck_assert_int_ge(leader_daemon(), FIRST_EXTRA);
    for (int seed = 0; seed < SITE_REPLICAS; seed++) {
        restart(seed);
        ck_assert_int_eq((int)site_metric(seed, "replica_running"), 0);
    }
    for (int daemon = 0; daemon < DAEMONS; daemon++) {
        site_kill_daemon(daemon, SIGKILL);
    }
    for (int daemon = 0; daemon < DAEMONS; daemon++) {
        site_start_daemon(daemon);
    }
    site_wait(turn_is_served, (void *)(uintptr_t) "first", "a turn continues an earlier one");
    site_wait(group_is_complete, NULL, "the group is complete again");
}
END_TEST

/* A daemon without data must find the group through the seeds although no seed leads. */
START_TEST(lost_disk_is_replaced_while_no_seed_leads)
{
    for (int lost = 0; lost < 2; lost++) {
        int daemon = leader_daemon();
        ck_assert_int_ge(daemon, FIRST_EXTRA);
        replace_member(daemon);
        restart(daemon);
    }
    site_wait(turn_is_served, (void *)(uintptr_t) "first", "a turn continues an earlier one");
}
END_TEST

int main(int argc, char **argv)
{
    site_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("large site");
    TCase *tests = tcase_create("one site");
    tcase_set_timeout(tests, 120);
    tcase_add_unchecked_fixture(tests, start_large_site, site_stop);
    tcase_add_test(tests, group_has_five_voters_and_two_spares);
    tcase_add_test(tests, new_seeds_do_not_bootstrap);
    tcase_add_test(tests, site_is_found_through_seeds_without_state);
    tcase_add_test(tests, lost_disk_is_replaced_while_no_seed_leads);
    suite_add_tcase(suite, tests);
    return suite_run_without_fork(suite);
}
