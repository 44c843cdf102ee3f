/* Members that join, are replaced and leave by themselves. */
#include <stdio.h>
#include <string.h>

#include "core/membership.h"
#include "suite.h"

static struct raft_members members;
static struct membership_view views[RAFT_MAX_MEMBERS];
static struct membership_join joins[3];

static void add(uint32_t node, bool learner)
{
    uint32_t position = members.count++;
    members.nodes[position] = node;
    members.learners[position] = learner;
    snprintf(members.places[position].name, RAFT_NAME_MAX, "store-%u", node);
    views[position].caught_up = true;
}

static void setup(void)
{
    memset(&members, 0, sizeof(members));
    memset(views, 0, sizeof(views));
    memset(joins, 0, sizeof(joins));
    add(1, false);
    add(2, false);
    add(3, false);
}

static void expect(MemberAction action, uint32_t node)
{
    struct membership_step step = membership_plan(&members, views, joins, 3, 10000);
    ck_assert(step.wanted);
    ck_assert_int_eq(step.action, action);
    ck_assert_uint_eq(step.node, node);
}

static void expect_nothing(void)
{
    ck_assert(!membership_plan(&members, views, joins, 3, 10000).wanted);
}

START_TEST(a_sound_group_stays)
{
    add(4, true);
    expect_nothing();
}
END_TEST

START_TEST(who_asks_becomes_a_learner)
{
    joins[1].node = 9;
    joins[1].asked_ms = 9500;
    expect(MEMBER_ADD_LEARNER, 9);
    joins[1].asked_ms = 10000 - MEMBERSHIP_JOIN_VALID_MS;
    expect_nothing();
}
END_TEST

START_TEST(a_gone_voter_is_replaced_by_a_caught_up_learner)
{
    add(4, true);
    views[0].silent_ms = MEMBERSHIP_SILENT_MS;
    views[3].caught_up = false;
    expect_nothing();
    views[3].caught_up = true;
    expect(MEMBER_PROMOTE, 4);
    members.learners[3] = false;
    expect(MEMBER_REMOVE, 1);
}
END_TEST

START_TEST(a_gone_voter_without_a_successor_stays)
{
    views[0].silent_ms = MEMBERSHIP_SILENT_MS * 10;
    expect_nothing();
}
END_TEST

/* The old identity of a machine that lost its disk leaves after the new one votes. */
START_TEST(a_lost_disk_changes_identity)
{
    add(11, true);
    views[0].replaced = true;
    views[0].silent_ms = 100;
    expect(MEMBER_PROMOTE, 11);
    members.learners[3] = false;
    expect(MEMBER_REMOVE, 1);
}
END_TEST

START_TEST(a_retiring_voter_leaves_after_its_successor_votes)
{
    add(4, true);
    views[1].retiring = true;
    expect(MEMBER_PROMOTE, 4);
    members.learners[3] = false;
    expect(MEMBER_REMOVE, 2);
}
END_TEST

START_TEST(a_retiring_learner_leaves)
{
    add(4, true);
    views[3].retiring = true;
    expect(MEMBER_REMOVE, 4);
}
END_TEST

START_TEST(five_members_vote_where_five_are_in_touch)
{
    add(4, true);
    add(5, true);
    expect(MEMBER_PROMOTE, 4);
    members.learners[3] = false;
    expect(MEMBER_PROMOTE, 5);
}
END_TEST

/* A voter came back just after its successor was promoted: nobody in touch leaves, one becomes a learner. */
START_TEST(a_voter_too_many_becomes_a_learner)
{
    add(4, false);
    views[0].leads = true;
    expect(MEMBER_DEMOTE, 2);
    views[2].caught_up = false;
    expect(MEMBER_DEMOTE, 3);
    views[1].silent_ms = MEMBERSHIP_SILENT_MS;
    expect(MEMBER_REMOVE, 2);
    members.learners[2] = true;
    views[1].silent_ms = 0;
    expect_nothing();
}
END_TEST

static void ask(uint32_t position, uint32_t node, const char *zone)
{
    joins[position].node = node;
    joins[position].asked_ms = 9500;
    snprintf(joins[position].place.zone, RAFT_ZONE_MAX, "%s", zone);
}

/* However many machines ask, a leader sends its entries to as many members as the losses ask for. */
START_TEST(members_are_no_more_than_voters_and_spares)
{
    add(4, false);
    add(5, false);
    add(6, true);
    ask(0, 9, "");
    expect(MEMBER_ADD_LEARNER, 9);
    add(7, true);
    expect_nothing();
    views[6].silent_ms = MEMBERSHIP_SILENT_MS;
    expect(MEMBER_ADD_LEARNER, 9);
}
END_TEST

/* A lost voter's seat goes to a spare at once, and its place to a machine that waits. */
START_TEST(a_lost_member_makes_room)
{
    add(4, false);
    add(5, false);
    add(6, true);
    add(7, true);
    ask(0, 9, "");
    views[1].replaced = true;
    expect(MEMBER_ADD_LEARNER, 9);
    add(9, true);
    views[7].caught_up = false;
    expect(MEMBER_PROMOTE, 6);
    members.learners[5] = false;
    expect(MEMBER_REMOVE, 2);
}
END_TEST

START_TEST(zones_with_the_fewest_members_go_first)
{
    snprintf(members.places[0].zone, RAFT_ZONE_MAX, "east");
    snprintf(members.places[1].zone, RAFT_ZONE_MAX, "east");
    snprintf(members.places[2].zone, RAFT_ZONE_MAX, "west");
    ask(0, 8, "east");
    ask(1, 9, "north");
    ask(2, 10, "west");
    expect(MEMBER_ADD_LEARNER, 9);
    add(4, true);
    add(5, true);
    memset(joins, 0, sizeof(joins));
    snprintf(members.places[3].zone, RAFT_ZONE_MAX, "west");
    snprintf(members.places[4].zone, RAFT_ZONE_MAX, "north");
    expect(MEMBER_PROMOTE, 5);
}
END_TEST

START_TEST(retiring_needs_enough_others)
{
    ck_assert(!membership_may_retire(&members, views, "store-1"));
    add(4, true);
    ck_assert(membership_may_retire(&members, views, "store-1"));
    views[1].silent_ms = MEMBERSHIP_SILENT_MS;
    ck_assert(!membership_may_retire(&members, views, "store-1"));
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("membership");
    TCase *tests = tcase_create("plan");
    tcase_add_checked_fixture(tests, setup, NULL);
    tcase_add_test(tests, a_sound_group_stays);
    tcase_add_test(tests, who_asks_becomes_a_learner);
    tcase_add_test(tests, a_gone_voter_is_replaced_by_a_caught_up_learner);
    tcase_add_test(tests, a_gone_voter_without_a_successor_stays);
    tcase_add_test(tests, a_lost_disk_changes_identity);
    tcase_add_test(tests, a_retiring_voter_leaves_after_its_successor_votes);
    tcase_add_test(tests, a_retiring_learner_leaves);
    tcase_add_test(tests, five_members_vote_where_five_are_in_touch);
    tcase_add_test(tests, a_voter_too_many_becomes_a_learner);
    tcase_add_test(tests, members_are_no_more_than_voters_and_spares);
    tcase_add_test(tests, a_lost_member_makes_room);
    tcase_add_test(tests, zones_with_the_fewest_members_go_first);
    tcase_add_test(tests, retiring_needs_enough_others);
    suite_add_tcase(suite, tests);
    return suite_run(suite);
}
