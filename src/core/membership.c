#include "core/membership.h"

#include <string.h>

static bool membership_is_healthy(const struct membership_status *status)
{
    return status->silent_ms < MEMBERSHIP_UNREACHABLE_MS && !status->replaced && !status->retiring;
}

static uint32_t membership_healthy_count(const struct raft_members *members, const struct membership_status *statuses,
                                         bool voters_only)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < members->count; i++) {
        count += membership_is_healthy(&statuses[i]) && !(voters_only && members->learners[i]) ? 1 : 0;
    }
    return count;
}

static uint32_t membership_target_voters(const struct raft_members *members, const struct membership_status *statuses)
{
    uint32_t healthy = membership_healthy_count(members, statuses, false);
    return healthy >= MEMBERSHIP_VOTERS_LARGE ? MEMBERSHIP_VOTERS_LARGE : MEMBERSHIP_VOTERS;
}

static struct membership_change membership_make_change(MemberAction action, uint32_t node)
{
    struct membership_change change = {.needed = true, .action = action, .node = node};
    return change;
}

static uint32_t membership_zone_count(const struct raft_members *members, const struct membership_status *statuses,
                                      const char *zone, bool voters_only)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < members->count; i++) {
        bool counts = membership_is_healthy(&statuses[i]) && !(voters_only && members->learners[i]);
        count += counts && strcmp(members->locations[i].zone, zone) == 0 ? 1 : 0;
    }
    return count;
}

/* Maximum number of voters in a zone: the loss of `tolerated_zones` such zones leaves a quorum. */
static uint32_t membership_zone_limit(const struct raft_members *members, const struct membership_status *statuses,
                                      uint32_t tolerated_zones)
{
    if (tolerated_zones == 0) {
        return RAFT_MAX_MEMBERS;
    }
    uint32_t limit = (membership_target_voters(members, statuses) - 1) / 2 / tolerated_zones;
    return limit > 0 ? limit : 1;
}

static bool membership_zone_is_over(const struct raft_members *members, const struct membership_status *statuses,
                                    const char *zone, uint32_t tolerated_zones)
{
    return membership_zone_count(members, statuses, zone, true) >
           membership_zone_limit(members, statuses, tolerated_zones);
}

static bool membership_any_zone_is_over(const struct raft_members *members, const struct membership_status *statuses,
                                        uint32_t tolerated_zones)
{
    for (uint32_t i = 0; i < members->count; i++) {
        if (membership_zone_is_over(members, statuses, members->locations[i].zone, tolerated_zones)) {
            return true;
        }
    }
    return false;
}

/* A zone without members is admitted even if the others have all spares: it returns after a loss, and without it the
 * voters cannot be spread. */
static bool membership_has_room(const struct raft_members *members, const struct membership_status *statuses,
                                uint32_t in_zone, uint32_t tolerated_zones)
{
    uint32_t target = MEMBERSHIP_VOTERS_LARGE + MEMBERSHIP_SPARES;
    bool has_room =
        membership_healthy_count(members, statuses, false) < target || (tolerated_zones > 0 && in_zone == 0);
    return members->count < RAFT_MAX_MEMBERS && has_room;
}

static struct membership_change membership_plan_join(const struct raft_members *members,
                                                     const struct membership_status *statuses,
                                                     const struct membership_join *joins, size_t join_count,
                                                     uint64_t now_ms, uint32_t tolerated_zones)
{
    struct membership_change change = {0};
    uint32_t fewest = 0;
    for (size_t i = 0; i < join_count; i++) {
        bool is_valid = joins[i].node != RAFT_NO_NODE && now_ms < joins[i].requested_ms + MEMBERSHIP_JOIN_VALID_MS;
        if (!is_valid || raft_member_position(members, joins[i].node) >= 0) {
            continue;
        }
        uint32_t in_zone = membership_zone_count(members, statuses, joins[i].location.zone, false);
        bool has_room = membership_has_room(members, statuses, in_zone, tolerated_zones);
        if (has_room && (!change.needed || in_zone < fewest)) {
            change = membership_make_change(MEMBER_ADD_LEARNER, joins[i].node);
            change.location = joins[i].location;
            fewest = in_zone;
        }
    }
    return change;
}

/* Also promotes if no voter is missing but a zone has too many: membership_plan_demote() then removes one of these. */
static struct membership_change membership_plan_promote(const struct raft_members *members,
                                                        const struct membership_status *statuses,
                                                        uint32_t tolerated_zones)
{
    struct membership_change change = {0};
    uint32_t fewest = 0;
    uint32_t limit = membership_zone_limit(members, statuses, tolerated_zones);
    uint32_t voters = membership_healthy_count(members, statuses, true);
    uint32_t target = membership_target_voters(members, statuses);
    bool is_unbalanced = voters == target && membership_any_zone_is_over(members, statuses, tolerated_zones);
    if (voters >= target && !is_unbalanced) {
        return change;
    }
    for (uint32_t i = 0; i < members->count; i++) {
        if (!members->learners[i] || !membership_is_healthy(&statuses[i]) || !statuses[i].caught_up) {
            continue;
        }
        uint32_t in_zone = membership_zone_count(members, statuses, members->locations[i].zone, true);
        if (in_zone < limit && (!change.needed || in_zone < fewest)) {
            change = membership_make_change(MEMBER_PROMOTE, members->nodes[i]);
            fewest = in_zone;
        }
    }
    return change;
}

static bool membership_may_remove_voter(const struct raft_members *members, const struct membership_status *statuses,
                                        uint32_t position)
{
    return !membership_is_healthy(&statuses[position]) &&
           membership_healthy_count(members, statuses, true) >= MEMBERSHIP_VOTERS;
}

/* An unreachable voter that returns after its replacement was promoted leaves a surplus. Never demotes the leader;
 * prefers a voter of a zone that has too many, then one that has not caught up. */
static struct membership_change membership_plan_demote(const struct raft_members *members,
                                                       const struct membership_status *statuses,
                                                       uint32_t tolerated_zones)
{
    struct membership_change change = {0};
    uint32_t highest = 0;
    if (membership_healthy_count(members, statuses, true) <= membership_target_voters(members, statuses)) {
        return change;
    }
    for (uint32_t i = 0; i < members->count; i++) {
        bool eligible = !members->learners[i] && membership_is_healthy(&statuses[i]) && !statuses[i].is_leader;
        bool zone_is_over = membership_zone_is_over(members, statuses, members->locations[i].zone, tolerated_zones);
        uint32_t preference = (zone_is_over ? 2U : 0U) + (statuses[i].caught_up ? 0U : 1U);
        if (eligible && (!change.needed || preference > highest)) {
            change = membership_make_change(MEMBER_DEMOTE, members->nodes[i]);
            highest = preference;
        }
    }
    return change;
}

static struct membership_change membership_plan_remove(const struct raft_members *members,
                                                       const struct membership_status *statuses)
{
    struct membership_change change = {0};
    for (uint32_t i = 0; i < members->count; i++) {
        const struct membership_status *status = &statuses[i];
        bool removable = members->learners[i] ? status->replaced || status->retiring ||
                                                    status->silent_ms >= MEMBERSHIP_LEARNER_REMOVAL_MS
                                              : membership_may_remove_voter(members, statuses, i);
        if (removable) {
            return membership_make_change(MEMBER_REMOVE, members->nodes[i]);
        }
    }
    return change;
}

struct membership_change membership_plan(const struct raft_members *members, const struct membership_status *statuses,
                                         const struct membership_join *joins, size_t join_count, uint64_t now_ms,
                                         uint32_t tolerated_zones)
{
    struct membership_change change =
        membership_plan_join(members, statuses, joins, join_count, now_ms, tolerated_zones);
    if (!change.needed) {
        change = membership_plan_promote(members, statuses, tolerated_zones);
    }
    if (!change.needed) {
        change = membership_plan_remove(members, statuses);
    }
    if (!change.needed) {
        change = membership_plan_demote(members, statuses, tolerated_zones);
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
