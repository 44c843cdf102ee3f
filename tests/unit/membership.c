/* Members that join, are replaced and leave by themselves. */
#include <stdio.h>
#include <string.h>

#include "core/membership.h"
#include "suite.h"

static struct raft_members members;
static struct membership_view views[RAFT_MAX_MEMBERS];
static struct membership_join joins[2];

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
    struct membership_step step = membership_plan(&members, views, joins, 2, 10000);
    ck_assert(step.wanted);
    ck_assert_int_eq(step.action, action);
    ck_assert_uint_eq(step.node, node);
}

static void expect_nothing(void)
{
    ck_assert(!membership_plan(&members, views, joins, 2, 10000).wanted);
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
    tcase_add_test(tests, retiring_needs_enough_others);
    suite_add_tcase(suite, tests);
    return suite_run(suite);
}
