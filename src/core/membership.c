#include "core/membership.h"

#include <string.h>

/* In touch, and to stay. */
static bool membership_is_sound(const struct membership_view *view)
{
    return view->silent_ms < MEMBERSHIP_SILENT_MS && !view->replaced && !view->retiring;
}

static uint32_t membership_sound_count(const struct raft_members *members, const struct membership_view *views,
                                       bool voters_only)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < members->count; i++) {
        count += membership_is_sound(&views[i]) && !(voters_only && members->learners[i]) ? 1 : 0;
    }
    return count;
}

static uint32_t membership_wanted_voters(const struct raft_members *members, const struct membership_view *views)
{
    uint32_t sound = membership_sound_count(members, views, false);
    return sound >= MEMBERSHIP_VOTERS_LARGE ? MEMBERSHIP_VOTERS_LARGE : MEMBERSHIP_VOTERS;
}

static struct membership_step membership_step_of(MemberAction action, uint32_t node)
{
    struct membership_step step = {.wanted = true, .action = action, .node = node};
    return step;
}

/* Sound members in a zone; `voters_only`: those with a vote. */
static uint32_t membership_zone_count(const struct raft_members *members, const struct membership_view *views,
                                      const char *zone, bool voters_only)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < members->count; i++) {
        bool counts = membership_is_sound(&views[i]) && !(voters_only && members->learners[i]);
        count += counts && strcmp(members->places[i].zone, zone) == 0 ? 1 : 0;
    }
    return count;
}

static bool membership_has_room(const struct raft_members *members, const struct membership_view *views)
{
    uint32_t wanted = MEMBERSHIP_VOTERS_LARGE + MEMBERSHIP_SPARES;
    return members->count < RAFT_MAX_MEMBERS && membership_sound_count(members, views, false) < wanted;
}

static struct membership_step membership_plan_join(const struct raft_members *members,
                                                   const struct membership_view *views,
                                                   const struct membership_join *joins, size_t join_count,
                                                   uint64_t now_ms)
{
    struct membership_step step = {0};
    uint32_t fewest = 0;
    if (!membership_has_room(members, views)) {
        return step;
    }
    for (size_t i = 0; i < join_count; i++) {
        bool asks = joins[i].node != RAFT_NO_NODE && now_ms < joins[i].asked_ms + MEMBERSHIP_JOIN_VALID_MS;
        if (!asks || raft_member_position(members, joins[i].node) >= 0) {
            continue;
        }
        uint32_t near = membership_zone_count(members, views, joins[i].place.zone, false);
        if (!step.wanted || near < fewest) {
            step = membership_step_of(MEMBER_ADD_LEARNER, joins[i].node);
            step.place = joins[i].place;
            fewest = near;
        }
    }
    return step;
}

static struct membership_step membership_plan_promote(const struct raft_members *members,
                                                      const struct membership_view *views)
{
    struct membership_step step = {0};
    uint32_t fewest = 0;
    if (membership_sound_count(members, views, true) >= membership_wanted_voters(members, views)) {
        return step;
    }
    for (uint32_t i = 0; i < members->count; i++) {
        if (!members->learners[i] || !membership_is_sound(&views[i]) || !views[i].caught_up) {
            continue;
        }
        uint32_t near = membership_zone_count(members, views, members->places[i].zone, true);
        if (!step.wanted || near < fewest) {
            step = membership_step_of(MEMBER_PROMOTE, members->nodes[i]);
            fewest = near;
        }
    }
    return step;
}

/* A voter that is gone, or to go, and whose seat is not needed. */
static bool membership_voter_may_leave(const struct raft_members *members, const struct membership_view *views,
                                       uint32_t position)
{
    return !membership_is_sound(&views[position]) && membership_sound_count(members, views, true) >= MEMBERSHIP_VOTERS;
}

/* Where a voter came back after its successor was promoted, one is too many: not the leader, and rather one
 * that lacks entries. */
static struct membership_step membership_plan_demote(const struct raft_members *members,
                                                     const struct membership_view *views)
{
    struct membership_step step = {0};
    bool chosen_is_current = true;
    if (membership_sound_count(members, views, true) <= membership_wanted_voters(members, views)) {
        return step;
    }
    for (uint32_t i = 0; i < members->count; i++) {
        bool may = !members->learners[i] && membership_is_sound(&views[i]) && !views[i].leads;
        if (may && (!step.wanted || (chosen_is_current && !views[i].caught_up))) {
            step = membership_step_of(MEMBER_DEMOTE, members->nodes[i]);
            chosen_is_current = views[i].caught_up;
        }
    }
    return step;
}

static struct membership_step membership_plan_remove(const struct raft_members *members,
                                                     const struct membership_view *views)
{
    struct membership_step step = {0};
    for (uint32_t i = 0; i < members->count; i++) {
        const struct membership_view *view = &views[i];
        bool leaves = members->learners[i] ? view->replaced || view->retiring || view->silent_ms >= MEMBERSHIP_FORGET_MS
                                           : membership_voter_may_leave(members, views, i);
        if (leaves) {
            return membership_step_of(MEMBER_REMOVE, members->nodes[i]);
        }
    }
    return step;
}

struct membership_step membership_plan(const struct raft_members *members, const struct membership_view *views,
                                       const struct membership_join *joins, size_t join_count, uint64_t now_ms)
{
    struct membership_step step = membership_plan_join(members, views, joins, join_count, now_ms);
    if (!step.wanted) {
        step = membership_plan_promote(members, views);
    }
    if (!step.wanted) {
        step = membership_plan_remove(members, views);
    }
    if (!step.wanted) {
        step = membership_plan_demote(members, views);
    }
    return step;
}

bool membership_may_retire(const struct raft_members *members, const struct membership_view *views, const char *machine)
{
    uint32_t staying = 0;
    for (uint32_t i = 0; i < members->count; i++) {
        bool leaves = strcmp(members->places[i].name, machine) == 0;
        staying += membership_is_sound(&views[i]) && !leaves ? 1 : 0;
    }
    return staying >= MEMBERSHIP_VOTERS;
}
