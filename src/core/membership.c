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

static bool membership_has_room(const struct raft_members *members, const struct membership_status *statuses)
{
    uint32_t target = MEMBERSHIP_VOTERS_LARGE + MEMBERSHIP_SPARES;
    return members->count < RAFT_MAX_MEMBERS && membership_healthy_count(members, statuses, false) < target;
}

static struct membership_change membership_plan_join(const struct raft_members *members,
                                                     const struct membership_status *statuses,
                                                     const struct membership_join *joins, size_t join_count,
                                                     uint64_t now_ms)
{
    struct membership_change change = {0};
    uint32_t fewest = 0;
    if (!membership_has_room(members, statuses)) {
        return change;
    }
    for (size_t i = 0; i < join_count; i++) {
        bool is_valid = joins[i].node != RAFT_NO_NODE && now_ms < joins[i].requested_ms + MEMBERSHIP_JOIN_VALID_MS;
        if (!is_valid || raft_member_position(members, joins[i].node) >= 0) {
            continue;
        }
        uint32_t in_zone = membership_zone_count(members, statuses, joins[i].location.zone, false);
        if (!change.needed || in_zone < fewest) {
            change = membership_make_change(MEMBER_ADD_LEARNER, joins[i].node);
            change.location = joins[i].location;
            fewest = in_zone;
        }
    }
    return change;
}

static struct membership_change membership_plan_promote(const struct raft_members *members,
                                                        const struct membership_status *statuses)
{
    struct membership_change change = {0};
    uint32_t fewest = 0;
    if (membership_healthy_count(members, statuses, true) >= membership_target_voters(members, statuses)) {
        return change;
    }
    for (uint32_t i = 0; i < members->count; i++) {
        if (!members->learners[i] || !membership_is_healthy(&statuses[i]) || !statuses[i].caught_up) {
            continue;
        }
        uint32_t in_zone = membership_zone_count(members, statuses, members->locations[i].zone, true);
        if (!change.needed || in_zone < fewest) {
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

/* An unreachable voter that returns after its replacement was promoted leaves a surplus. Never demotes the leader, and
 * prefers a voter that has not caught up. */
static struct membership_change membership_plan_demote(const struct raft_members *members,
                                                       const struct membership_status *statuses)
{
    struct membership_change change = {0};
    bool chosen_caught_up = true;
    if (membership_healthy_count(members, statuses, true) <= membership_target_voters(members, statuses)) {
        return change;
    }
    for (uint32_t i = 0; i < members->count; i++) {
        bool eligible = !members->learners[i] && membership_is_healthy(&statuses[i]) && !statuses[i].is_leader;
        if (eligible && (!change.needed || (chosen_caught_up && !statuses[i].caught_up))) {
            change = membership_make_change(MEMBER_DEMOTE, members->nodes[i]);
            chosen_caught_up = statuses[i].caught_up;
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
                                         const struct membership_join *joins, size_t join_count, uint64_t now_ms)
{
    struct membership_change change = membership_plan_join(members, statuses, joins, join_count, now_ms);
    if (!change.needed) {
        change = membership_plan_promote(members, statuses);
    }
    if (!change.needed) {
        change = membership_plan_remove(members, statuses);
    }
    if (!change.needed) {
        change = membership_plan_demote(members, statuses);
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
