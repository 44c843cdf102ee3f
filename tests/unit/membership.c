/* Tests membership_plan() and membership_may_retire(). */
#include <stdio.h>
#include <string.h>

#include "core/membership.h"
#include "suite.h"

static struct raft_members members;
static struct membership_status statuses[RAFT_MAX_MEMBERS];
static struct membership_join joins[3];
static uint32_t tolerated_zones;

static void add_member(uint32_t node, bool learner)
{
    uint32_t position = members.count++;
    members.nodes[position] = node;
    members.learners[position] = learner;
    snprintf(members.locations[position].name, RAFT_NAME_MAX, "store-%u", node);
    statuses[position].caught_up = true;
    statuses[position].first_round = 1;
    statuses[position].answered_round = 2;
}

static void remove_member(uint32_t position)
{
    members.count--;
    for (uint32_t i = position; i < members.count; i++) {
        members.nodes[i] = members.nodes[i + 1];
        members.learners[i] = members.learners[i + 1];
        members.locations[i] = members.locations[i + 1];
        statuses[i] = statuses[i + 1];
    }
    memset(&statuses[members.count], 0, sizeof(statuses[0]));
}

static void setup(void)
{
    memset(&members, 0, sizeof(members));
    memset(statuses, 0, sizeof(statuses));
    memset(joins, 0, sizeof(joins));
    tolerated_zones = 0;
    add_member(1, false);
    add_member(2, false);
    add_member(3, false);
}

static void expect_change(MemberAction action, uint32_t node)
{
    struct membership_change change = membership_plan(&members, statuses, joins, 3, 10000, tolerated_zones);
    ck_assert(change.needed);
    ck_assert_int_eq(change.action, action);
    ck_assert_uint_eq(change.node, node);
    ck_assert_uint_eq(change.replaces, RAFT_NO_NODE);
}

static void expect_replacement(uint32_t voter, uint32_t learner)
{
    struct membership_change change = membership_plan(&members, statuses, joins, 3, 10000, tolerated_zones);
    ck_assert(change.needed);
    ck_assert_int_eq(change.action, MEMBER_PROMOTE);
    ck_assert_uint_eq(change.node, learner);
    ck_assert_uint_eq(change.replaces, voter);
}

static void expect_no_change(void)
{
    ck_assert(!membership_plan(&members, statuses, joins, 3, 10000, tolerated_zones).needed);
}

START_TEST(healthy_group_needs_no_change)
{
    add_member(4, true);
    expect_no_change();
}
END_TEST

START_TEST(joining_machine_becomes_learner)
{
    joins[1].node = 9;
    joins[1].requested_ms = 9500;
    expect_change(MEMBER_ADD_LEARNER, 9);
    joins[1].requested_ms = 10000 - MEMBERSHIP_JOIN_VALID_MS;
    expect_no_change();
}
END_TEST

/* Its successor may be on another machine, unknown to the plan, and the voter may still return with its disk: neither
 * four voters, two of which may be lost, nor two that are both needed. */
START_TEST(unreachable_voter_is_replaced_by_caught_up_learner_in_one_change)
{
    add_member(4, true);
    statuses[0].silent_ms = MEMBERSHIP_UNREACHABLE_MS;
    statuses[3].caught_up = false;
    expect_no_change();
    statuses[3].caught_up = true;
    expect_replacement(1, 4);
    members.learners[3] = false;
    remove_member(0);
    expect_no_change();
}
END_TEST

/* The voters that would remain cannot commit its replacement while one of them is unreachable, nor can four voters
 * commit anything. */
START_TEST(voter_is_not_replaced_without_a_quorum_of_the_others)
{
    add_member(4, true);
    statuses[0].replaced = true;
    statuses[1].silent_ms = MEMBERSHIP_UNREACHABLE_MS;
    expect_no_change();
}
END_TEST

START_TEST(unreachable_voter_without_successor_stays)
{
    statuses[0].silent_ms = MEMBERSHIP_VOTER_REMOVAL_MS * 10;
    expect_no_change();
}
END_TEST

/* Guards against a group that grows to a size whose quorum includes the learner: the loss of its disk then ended the
 * quorum for good. */
START_TEST(no_learner_becomes_indispensable)
{
    add_member(4, true);
    add_member(5, true);
    statuses[0].silent_ms = MEMBERSHIP_UNREACHABLE_MS;
    expect_replacement(1, 4);
    statuses[0].silent_ms = 0;
    statuses[0].retiring = true;
    expect_replacement(1, 4);
    statuses[3].caught_up = false;
    statuses[4].caught_up = false;
    expect_no_change();
}
END_TEST

/* Guards against two votes for one machine: a voter that has just lost its disk, and has not been silent for long, and
 * its successor at another address. */
START_TEST(learner_does_not_vote_beside_a_voter_that_it_may_succeed)
{
    add_member(4, true);
    add_member(5, true);
    statuses[3].first_round = 7;
    statuses[3].answered_round = 9;
    statuses[4].caught_up = false;
    statuses[0].is_leader = true;
    statuses[1].answered_round = 8;
    statuses[2].answered_round = 7;
    expect_no_change();
    statuses[2].answered_round = 8;
    expect_change(MEMBER_PROMOTE, 4);
    statuses[2].answered_round = 7;
    statuses[2].silent_ms = MEMBERSHIP_UNREACHABLE_MS;
    expect_replacement(3, 4);
}
END_TEST

/* Either one may return with its disk. The successor of the other must not get its vote: both disks of one machine
 * would count then. */
START_TEST(learner_waits_while_it_may_succeed_either_of_two_voters)
{
    add_member(4, false);
    add_member(5, false);
    add_member(6, true);
    statuses[5].first_round = 7;
    statuses[5].known_ms = MEMBERSHIP_AMBIGUITY_MS - 1;
    for (uint32_t i = 0; i < 3; i++) {
        statuses[i].answered_round = 8;
    }
    statuses[3].silent_ms = MEMBERSHIP_UNREACHABLE_MS;
    statuses[4].silent_ms = MEMBERSHIP_UNREACHABLE_MS + 1;
    expect_no_change();
    statuses[5].known_ms++;
    expect_replacement(5, 6);
    statuses[5].known_ms--;
    add_member(7, true);
    expect_replacement(5, 6); /* the other one gets the next learner */
    statuses[6].caught_up = false;
    statuses[4].silent_ms = 0;
    statuses[4].answered_round = 8;
    expect_replacement(4, 6);
}
END_TEST

/* A machine that lost its disk joins with a new node id. Promoting that first would leave four voters, two of them
 * without a disk if it loses its own as well: no quorum, for good. */
START_TEST(replaced_node_gives_its_vote_to_its_successor_in_one_change)
{
    add_member(11, true);
    statuses[0].replaced = true;
    statuses[0].silent_ms = 100;
    expect_replacement(1, 11);
    remove_member(0);
    members.learners[2] = false;
    expect_no_change();
}
END_TEST

START_TEST(retiring_voter_is_replaced_in_one_change)
{
    add_member(4, true);
    statuses[1].retiring = true;
    expect_replacement(2, 4);
}
END_TEST

/* The retiring voter is still needed for the quorum that replaces the unreachable one. */
START_TEST(unreachable_voter_is_replaced_before_a_retiring_one)
{
    add_member(4, true);
    statuses[0].retiring = true;
    statuses[1].silent_ms = MEMBERSHIP_UNREACHABLE_MS;
    expect_replacement(2, 4);
}
END_TEST

START_TEST(retiring_voter_is_removed_if_no_machine_can_replace_it)
{
    add_member(4, false);
    add_member(5, false);
    statuses[1].retiring = true;
    expect_change(MEMBER_REMOVE, 2);
    add_member(6, true);
    statuses[5].caught_up = false;
    expect_no_change();
}
END_TEST

START_TEST(sole_voter_gets_others)
{
    members.count = 1;
    add_member(2, true);
    expect_change(MEMBER_PROMOTE, 2);
}
END_TEST

/* Guards against a group of five that shrinks to three while one machine restarts: two disks that are lost then end the
 * quorum for good, although the machine returns with its own. */
START_TEST(voters_stay_while_one_of_five_is_unreachable)
{
    add_member(4, false);
    add_member(5, false);
    statuses[3].silent_ms = MEMBERSHIP_VOTER_REMOVAL_MS - 1;
    expect_no_change();
    statuses[3].silent_ms = MEMBERSHIP_VOTER_REMOVAL_MS;
    expect_change(MEMBER_REMOVE, 4);
    remove_member(3);
    statuses[0].is_leader = true;
    expect_change(MEMBER_DEMOTE, 2);
}
END_TEST

START_TEST(retiring_learner_is_removed)
{
    add_member(4, true);
    statuses[3].retiring = true;
    expect_change(MEMBER_REMOVE, 4);
}
END_TEST

/* Guards against learners that are gone and fill the group: each loss of a disk leaves one. */
START_TEST(unreachable_learner_is_removed_soon)
{
    add_member(4, true);
    statuses[3].silent_ms = MEMBERSHIP_LEARNER_REMOVAL_MS - 1;
    expect_no_change();
    statuses[3].silent_ms++;
    expect_change(MEMBER_REMOVE, 4);
}
END_TEST

START_TEST(five_reachable_members_all_vote)
{
    add_member(4, true);
    add_member(5, true);
    expect_change(MEMBER_PROMOTE, 4);
    members.learners[3] = false;
    expect_change(MEMBER_PROMOTE, 5);
}
END_TEST

/* No reachable voter is removed, and none is demoted while the others depend on it. */
START_TEST(surplus_voter_is_demoted)
{
    add_member(4, false);
    statuses[0].is_leader = true;
    expect_change(MEMBER_DEMOTE, 2);
    statuses[2].caught_up = false;
    expect_change(MEMBER_DEMOTE, 3);
    statuses[1].silent_ms = MEMBERSHIP_UNREACHABLE_MS;
    expect_no_change();
    statuses[1].silent_ms = MEMBERSHIP_VOTER_REMOVAL_MS;
    expect_change(MEMBER_REMOVE, 2);
    members.learners[2] = true;
    statuses[1].silent_ms = 0;
    expect_no_change();
}
END_TEST

static void request_join(uint32_t position, uint32_t node, const char *zone)
{
    joins[position].node = node;
    joins[position].requested_ms = 9500;
    snprintf(joins[position].location.zone, RAFT_ZONE_MAX, "%s", zone);
}

/* All members receive every entry, so their number must not grow with that of the joining machines. */
START_TEST(membership_is_limited_to_voters_and_spares)
{
    add_member(4, false);
    add_member(5, false);
    add_member(6, true);
    request_join(0, 9, "");
    expect_change(MEMBER_ADD_LEARNER, 9);
    add_member(7, true);
    expect_no_change();
    statuses[6].silent_ms = MEMBERSHIP_UNREACHABLE_MS;
    expect_change(MEMBER_ADD_LEARNER, 9);
}
END_TEST

/* Unhealthy members do not count towards the limit: a joining machine is added before one of them is removed. */
START_TEST(unhealthy_voter_is_replaced_by_spare_and_joining_machine)
{
    add_member(4, false);
    add_member(5, false);
    add_member(6, true);
    add_member(7, true);
    request_join(0, 9, "");
    statuses[1].replaced = true;
    expect_change(MEMBER_ADD_LEARNER, 9);
    add_member(9, true);
    statuses[7].caught_up = false;
    expect_replacement(2, 6);
    members.learners[5] = false;
    remove_member(1);
    expect_no_change();
}
END_TEST

START_TEST(zones_with_fewest_members_are_preferred)
{
    snprintf(members.locations[0].zone, RAFT_ZONE_MAX, "east");
    snprintf(members.locations[1].zone, RAFT_ZONE_MAX, "east");
    snprintf(members.locations[2].zone, RAFT_ZONE_MAX, "west");
    request_join(0, 8, "east");
    request_join(1, 9, "north");
    request_join(2, 10, "west");
    expect_change(MEMBER_ADD_LEARNER, 9);
    add_member(4, true);
    add_member(5, true);
    memset(joins, 0, sizeof(joins));
    snprintf(members.locations[3].zone, RAFT_ZONE_MAX, "west");
    snprintf(members.locations[4].zone, RAFT_ZONE_MAX, "north");
    expect_change(MEMBER_PROMOTE, 5);
}
END_TEST

/* Five voters, two each in zones a and b, one in c, and a learner each in b and c. */
static void setup_three_zones(void)
{
    static const char *const zones[] = {"a", "a", "b", "b", "c", "b", "c"};
    members.count = 0;
    for (uint32_t i = 0; i < 7; i++) {
        add_member(i + 1, i >= 5);
        snprintf(members.locations[i].zone, RAFT_ZONE_MAX, "%s", zones[i]);
    }
    tolerated_zones = 1;
}

static void lose_zone_a(void)
{
    statuses[0].silent_ms = MEMBERSHIP_UNREACHABLE_MS;
    statuses[1].silent_ms = MEMBERSHIP_UNREACHABLE_MS;
}

/* Guards against a group that keeps fewer voters while a zone is lost: with four, it lost its quorum for good when two
 * disks were lost soon after the zone had returned. */
START_TEST(a_lost_zone_is_replaced_by_the_zone_with_the_fewest_voters)
{
    setup_three_zones();
    expect_no_change();
    lose_zone_a();
    expect_replacement(1, 7); /* in zone c, not node 6 in zone b */
    members.learners[6] = false;
    remove_member(0);
    expect_replacement(2, 6); /* four voters would not survive the loss of two disks */
    members.learners[4] = false;
    remove_member(0);
    expect_no_change();
}
END_TEST

/* Seen in a trace: after zone a was cut off, zone b got three of five voters. Its loss later took the quorum, although
 * zone a had returned. */
START_TEST(voters_are_spread_again_when_the_zone_returns)
{
    setup_three_zones();
    for (uint32_t i = 0; i < 7; i++) {
        members.learners[i] = i < 2; /* the voters are 3, 4 and 6 in zone b, 5 and 7 in zone c */
    }
    statuses[2].is_leader = true;
    expect_replacement(4, 1); /* in zone b, and not the leader */
    statuses[0].caught_up = false;
    statuses[1].caught_up = false;
    expect_no_change();
    members.learners[0] = false;
    remove_member(3);
    expect_no_change();
}
END_TEST

START_TEST(a_zone_without_members_joins_although_the_others_have_all_spares)
{
    setup_three_zones();
    for (uint32_t i = 0; i < 2; i++) {
        snprintf(members.locations[i].zone, RAFT_ZONE_MAX, "c");
    }
    joins[0].node = 9;
    joins[0].requested_ms = 9500;
    snprintf(joins[0].location.zone, RAFT_ZONE_MAX, "c");
    expect_no_change(); /* zone c has three of five voters, but zone b has its two */
    snprintf(joins[0].location.zone, RAFT_ZONE_MAX, "a");
    expect_change(MEMBER_ADD_LEARNER, 9);
    tolerated_zones = 0;
    expect_no_change();
}
END_TEST

START_TEST(retirement_requires_enough_remaining_members)
{
    ck_assert(!membership_may_retire(&members, statuses, "store-1"));
    add_member(4, true);
    ck_assert(membership_may_retire(&members, statuses, "store-1"));
    statuses[1].silent_ms = MEMBERSHIP_UNREACHABLE_MS;
    ck_assert(!membership_may_retire(&members, statuses, "store-1"));
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("membership");
    TCase *tests = tcase_create("plan");
    tcase_add_checked_fixture(tests, setup, NULL);
    tcase_add_test(tests, healthy_group_needs_no_change);
    tcase_add_test(tests, joining_machine_becomes_learner);
    tcase_add_test(tests, unreachable_voter_is_replaced_by_caught_up_learner_in_one_change);
    tcase_add_test(tests, voter_is_not_replaced_without_a_quorum_of_the_others);
    tcase_add_test(tests, unreachable_voter_without_successor_stays);
    tcase_add_test(tests, no_learner_becomes_indispensable);
    tcase_add_test(tests, learner_does_not_vote_beside_a_voter_that_it_may_succeed);
    tcase_add_test(tests, learner_waits_while_it_may_succeed_either_of_two_voters);
    tcase_add_test(tests, replaced_node_gives_its_vote_to_its_successor_in_one_change);
    tcase_add_test(tests, retiring_voter_is_replaced_in_one_change);
    tcase_add_test(tests, unreachable_voter_is_replaced_before_a_retiring_one);
    tcase_add_test(tests, retiring_voter_is_removed_if_no_machine_can_replace_it);
    tcase_add_test(tests, sole_voter_gets_others);
    tcase_add_test(tests, voters_stay_while_one_of_five_is_unreachable);
    tcase_add_test(tests, retiring_learner_is_removed);
    tcase_add_test(tests, unreachable_learner_is_removed_soon);
    tcase_add_test(tests, five_reachable_members_all_vote);
    tcase_add_test(tests, surplus_voter_is_demoted);
    tcase_add_test(tests, membership_is_limited_to_voters_and_spares);
    tcase_add_test(tests, unhealthy_voter_is_replaced_by_spare_and_joining_machine);
    tcase_add_test(tests, zones_with_fewest_members_are_preferred);
    tcase_add_test(tests, a_lost_zone_is_replaced_by_the_zone_with_the_fewest_voters);
    tcase_add_test(tests, voters_are_spread_again_when_the_zone_returns);
    tcase_add_test(tests, a_zone_without_members_joins_although_the_others_have_all_spares);
    tcase_add_test(tests, retirement_requires_enough_remaining_members);
    suite_add_tcase(suite, tests);
    return suite_run(suite);
}
