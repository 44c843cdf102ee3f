#include "core/membership.h"

#include <string.h>

/* Arguments of membership_plan() that most of its steps need. */
struct membership_group {
    const struct raft_members *members;
    const struct membership_status *statuses;
    uint32_t tolerated_zones;
};

static bool membership_is_reachable(const struct membership_status *status)
{
    return status->silent_ms < MEMBERSHIP_UNREACHABLE_MS && !status->replaced;
}

static bool membership_is_healthy(const struct membership_status *status)
{
    return membership_is_reachable(status) && !status->retiring;
}

/* `zone`: NULL: all zones. */
static uint32_t membership_count_healthy(const struct membership_group *group, const char *zone, bool voters_only)
{
    const struct raft_members *members = group->members;
    uint32_t count = 0;
    for (uint32_t i = 0; i < members->count; i++) {
        bool in_zone = zone == NULL || strcmp(members->locations[i].zone, zone) == 0;
        bool counts = membership_is_healthy(&group->statuses[i]) && !(voters_only && members->learners[i]);
        count += in_zone && counts ? 1 : 0;
    }
    return count;
}

static bool membership_all_voters_are_healthy(const struct membership_group *group)
{
    return membership_count_healthy(group, NULL, true) == raft_voter_count(group->members);
}

/* Whether both have run at the same time, so that they are on different machines. */
static bool membership_is_beside(const struct membership_group *group, uint32_t voter, uint32_t learner)
{
    uint64_t first_round = group->statuses[learner].first_round;
    bool answered_since = group->statuses[voter].answered_round > first_round;
    return first_round != 0 && (answered_since || group->statuses[voter].is_leader);
}

/* Whether there are caught-up learners for all unreachable voters. */
static bool membership_can_replace_all(const struct membership_group *group)
{
    uint32_t unreachable = 0;
    uint32_t learners = 0;
    for (uint32_t i = 0; i < group->members->count; i++) {
        const struct membership_status *status = &group->statuses[i];
        if (group->members->learners[i]) {
            learners += membership_is_healthy(status) && status->caught_up ? 1 : 0;
        } else {
            unreachable += membership_is_reachable(status) ? 0 : 1;
        }
    }
    return learners >= unreachable;
}

/* Whether the learner may be on the machine of a voter that stays. */
static bool membership_may_succeed(const struct membership_group *group, uint32_t learner, uint32_t voter)
{
    bool decided = !membership_is_reachable(&group->statuses[voter]) &&
                   (membership_can_replace_all(group) || group->statuses[learner].known_ms >= MEMBERSHIP_AMBIGUITY_MS);
    return !decided && !membership_is_beside(group, voter, learner);
}

/* Whether the reachable voters are a quorum of so many voters, and the learner succeeds none of those that stay.
 * `without`: voter that is left out, or RAFT_MAX_MEMBERS. A retiring voter counts: it stays until it is replaced. */
static bool membership_has_quorum_beside(const struct membership_group *group, uint32_t learner, uint32_t without,
                                         uint32_t voters)
{
    uint32_t reachable = 0;
    for (uint32_t i = 0; i < group->members->count; i++) {
        if (i == without || group->members->learners[i]) {
            continue;
        }
        if (membership_may_succeed(group, learner, i)) {
            return false;
        }
        reachable += membership_is_reachable(&group->statuses[i]) ? 1 : 0;
    }
    return reachable > voters / 2;
}

/* Whether the reachable voters without the one at `without` are a quorum of so many voters. */
static bool membership_has_quorum(const struct membership_group *group, uint32_t without, uint32_t voters)
{
    uint32_t reachable = 0;
    for (uint32_t i = 0; i < group->members->count; i++) {
        bool counts = i != without && !group->members->learners[i] && membership_is_reachable(&group->statuses[i]);
        reachable += counts ? 1 : 0;
    }
    return reachable > voters / 2;
}

static uint32_t membership_target_voters(const struct membership_group *group)
{
    uint32_t healthy = membership_count_healthy(group, NULL, false);
    return healthy >= MEMBERSHIP_VOTERS_LARGE ? MEMBERSHIP_VOTERS_LARGE : MEMBERSHIP_VOTERS;
}

static struct membership_change membership_make_change(MemberAction action, uint32_t node)
{
    struct membership_change change = {.needed = true, .action = action, .node = node};
    return change;
}

/* Maximum number of voters in a zone: the loss of `tolerated_zones` such zones leaves a quorum. */
static uint32_t membership_zone_limit(const struct membership_group *group)
{
    if (group->tolerated_zones == 0) {
        return RAFT_MAX_MEMBERS;
    }
    uint32_t limit = (membership_target_voters(group) - 1) / 2 / group->tolerated_zones;
    return limit > 0 ? limit : 1;
}

static bool membership_zone_is_over(const struct membership_group *group, const char *zone)
{
    return membership_count_healthy(group, zone, true) > membership_zone_limit(group);
}

/* A zone without members is admitted even if the others have all spares: it returns after a loss, and without it the
 * voters cannot be spread. `in_zone`: healthy members of the zone. */
static bool membership_may_admit(const struct membership_group *group, uint32_t in_zone)
{
    uint32_t target = MEMBERSHIP_VOTERS_LARGE + MEMBERSHIP_SPARES;
    bool is_wanted =
        membership_count_healthy(group, NULL, false) < target || (group->tolerated_zones > 0 && in_zone == 0);
    return group->members->count < RAFT_MAX_MEMBERS && is_wanted;
}

static bool membership_join_is_valid(const struct membership_group *group, const struct membership_join *join,
                                     uint64_t now_ms)
{
    return join->node != RAFT_NO_NODE && now_ms < join->requested_ms + MEMBERSHIP_JOIN_VALID_MS &&
           raft_member_position(group->members, join->node) < 0;
}

/* Prefers the zone with the fewest members. */
static struct membership_change membership_plan_join(const struct membership_group *group,
                                                     const struct membership_join *joins, size_t join_count,
                                                     uint64_t now_ms)
{
    struct membership_change change = {0};
    uint32_t fewest = 0;
    for (size_t i = 0; i < join_count; i++) {
        if (!membership_join_is_valid(group, &joins[i], now_ms)) {
            continue;
        }
        uint32_t in_zone = membership_count_healthy(group, joins[i].location.zone, false);
        if (membership_may_admit(group, in_zone) && (!change.needed || in_zone < fewest)) {
            change = membership_make_change(MEMBER_ADD_LEARNER, joins[i].node);
            change.location = joins[i].location;
            fewest = in_zone;
        }
    }
    return change;
}

/* ---- Voters --------------------------------------------------------------------- */

/* A step that makes a learner a voter: in the place of another voter, or beside all of them. */
struct membership_vote {
    uint32_t replaces; /* position of the voter; RAFT_MAX_MEMBERS: none */
    uint32_t voters;   /* number of voters after it */
};

static bool membership_may_vote(const struct membership_group *group, uint32_t learner,
                                const struct membership_vote *vote)
{
    const struct membership_status *status = &group->statuses[learner];
    return group->members->learners[learner] && membership_is_healthy(status) && status->caught_up &&
           membership_has_quorum_beside(group, learner, vote->replaces, vote->voters);
}

/* Prefers learners of the zone with the fewest voters. `limit`: only zones with fewer voters than this. */
static struct membership_change membership_promote_below(const struct membership_group *group,
                                                         const struct membership_vote *vote, uint32_t limit)
{
    const struct raft_members *members = group->members;
    struct membership_change change = {0};
    uint32_t fewest = 0;
    for (uint32_t i = 0; i < members->count; i++) {
        if (!membership_may_vote(group, i, vote)) {
            continue;
        }
        uint32_t in_zone = membership_count_healthy(group, members->locations[i].zone, true);
        if (in_zone < limit && (!change.needed || in_zone < fewest)) {
            change = membership_make_change(MEMBER_PROMOTE, members->nodes[i]);
            change.replaces = vote->replaces < members->count ? members->nodes[vote->replaces] : RAFT_NO_NODE;
            fewest = in_zone;
        }
    }
    return change;
}

/* If no zone below its limit has a learner that may vote, another one gets the vote; the voters are spread when a zone
 * returns. */
static struct membership_change membership_promote_any(const struct membership_group *group,
                                                       const struct membership_vote *vote)
{
    struct membership_change change = membership_promote_below(group, vote, membership_zone_limit(group));
    return change.needed ? change : membership_promote_below(group, vote, RAFT_MAX_MEMBERS);
}

/* Position of the unhealthy voter to replace first: one that takes no part in quorums before a retiring one, the one
 * that has been silent for longest before others; -1: none. */
static int membership_find_unhealthy_voter(const struct membership_group *group)
{
    int found = -1;
    for (uint32_t i = 0; i < group->members->count; i++) {
        const struct membership_status *status = &group->statuses[i];
        if (group->members->learners[i] || membership_is_healthy(status)) {
            continue;
        }
        const struct membership_status *other = found < 0 ? NULL : &group->statuses[found];
        bool first =
            other == NULL || (!membership_is_reachable(status) && membership_is_reachable(other)) ||
            (membership_is_reachable(status) == membership_is_reachable(other) && status->silent_ms > other->silent_ms);
        found = first ? (int)i : found;
    }
    return found;
}

static struct membership_change membership_plan_replace(const struct membership_group *group)
{
    struct membership_change change = {0};
    int position = membership_find_unhealthy_voter(group);
    if (position < 0) {
        return change;
    }
    const struct membership_vote vote = {(uint32_t)position, raft_voter_count(group->members)};
    return membership_promote_any(group, &vote);
}

/* A group of one grows although its quorum then includes the learner: there is no other way to more voters. */
static struct membership_change membership_plan_grow(const struct membership_group *group)
{
    struct membership_change change = {0};
    uint32_t voters = raft_voter_count(group->members);
    if (voters >= membership_target_voters(group) || !membership_all_voters_are_healthy(group)) {
        return change;
    }
    const struct membership_vote vote = {RAFT_MAX_MEMBERS, voters == 1 ? voters : voters + 1};
    return membership_promote_any(group, &vote);
}

/* A healthy voter other than the leader, of a zone that has too many before others, then one that has not caught up;
 * -1: none. `zone_over_only`: only of a zone that has too many. */
static int membership_find_surplus_voter(const struct membership_group *group, bool zone_over_only)
{
    const struct raft_members *members = group->members;
    int found = -1;
    uint32_t highest = 0;
    for (uint32_t i = 0; i < members->count; i++) {
        const struct membership_status *status = &group->statuses[i];
        bool zone_is_over = membership_zone_is_over(group, members->locations[i].zone);
        bool eligible = !members->learners[i] && membership_is_healthy(status) && !status->is_leader &&
                        (zone_is_over || !zone_over_only);
        uint32_t preference = (zone_is_over ? 2U : 0U) + (status->caught_up ? 0U : 1U);
        if (eligible && (found < 0 || preference > highest)) {
            found = (int)i;
            highest = preference;
        }
    }
    return found;
}

/* A surplus is left if fewer machines remain than there were when the group grew. */
static struct membership_change membership_plan_demote(const struct membership_group *group)
{
    struct membership_change change = {0};
    bool surplus = raft_voter_count(group->members) > membership_target_voters(group);
    int position =
        surplus && membership_all_voters_are_healthy(group) ? membership_find_surplus_voter(group, false) : -1;
    return position < 0 ? change : membership_make_change(MEMBER_DEMOTE, group->members->nodes[position]);
}

static struct membership_change membership_plan_spread(const struct membership_group *group)
{
    struct membership_change change = {0};
    int position = membership_all_voters_are_healthy(group) ? membership_find_surplus_voter(group, true) : -1;
    if (position < 0) {
        return change;
    }
    const struct membership_vote vote = {(uint32_t)position, raft_voter_count(group->members)};
    return membership_promote_below(group, &vote, membership_zone_limit(group));
}

/* ---- Removal -------------------------------------------------------------------- */

static bool membership_may_remove_learner(const struct membership_status *status)
{
    return status->replaced || status->retiring || status->silent_ms >= MEMBERSHIP_LEARNER_REMOVAL_MS;
}

/* Only if no machine is left that could replace it. */
static bool membership_may_remove_voter(const struct membership_group *group, uint32_t position)
{
    const struct membership_status *status = &group->statuses[position];
    uint32_t healthy_voters = membership_count_healthy(group, NULL, true);
    bool gone = status->retiring || status->silent_ms >= MEMBERSHIP_VOTER_REMOVAL_MS;
    bool has_learner = membership_count_healthy(group, NULL, false) > healthy_voters;
    return gone && !has_learner && healthy_voters >= MEMBERSHIP_VOTERS &&
           membership_has_quorum(group, position, raft_voter_count(group->members) - 1);
}

static struct membership_change membership_plan_remove(const struct membership_group *group)
{
    struct membership_change change = {0};
    for (uint32_t i = 0; i < group->members->count; i++) {
        bool removed = group->members->learners[i] ? membership_may_remove_learner(&group->statuses[i])
                                                   : membership_may_remove_voter(group, i);
        if (removed) {
            return membership_make_change(MEMBER_REMOVE, group->members->nodes[i]);
        }
    }
    return change;
}

/* ---- Plan ----------------------------------------------------------------------- */

struct membership_change membership_plan(const struct raft_members *members, const struct membership_status *statuses,
                                         const struct membership_join *joins, size_t join_count, uint64_t now_ms,
                                         uint32_t tolerated_zones)
{
    static struct membership_change (*const steps[])(const struct membership_group *group) = {
        membership_plan_replace, membership_plan_grow, membership_plan_remove, membership_plan_demote,
        membership_plan_spread};
    const struct membership_group group = {members, statuses, tolerated_zones};
    struct membership_change change = membership_plan_join(&group, joins, join_count, now_ms);
    for (size_t i = 0; i < sizeof(steps) / sizeof(steps[0]) && !change.needed; i++) {
        change = steps[i](&group);
    }
    return change;
}

bool membership_may_retire(const struct raft_members *members, const struct membership_status *statuses,
                           const char *machine)
{
    uint32_t remaining = 0;
    for (uint32_t i = 0; i < members->count; i++) {
        bool on_machine = strcmp(members->locations[i].name, machine) == 0;
        remaining += membership_is_healthy(&statuses[i]) && !on_machine ? 1 : 0;
    }
    return remaining >= MEMBERSHIP_VOTERS;
}
