/**
 * @file membership.h
 * Plans the membership changes of a group, one at a time: a machine that asked
 * to join becomes a learner, an unhealthy voter is replaced by a caught-up learner,
 * a learner is promoted while voters are missing, a surplus voter is demoted to a
 * learner, which still stores the state, and members that are gone are removed. A
 * member is healthy if it is reachable, not replaced by another node, and not on a
 * machine being retired.
 *
 * The plan does not know whether an unreachable voter will return with its disk: the
 * machine may be gone for good, and its successor may join under another name and
 * address. Each step therefore keeps a quorum in both cases, also if a learner loses
 * its disk right after it has become a voter:
 *
 *   - An unhealthy voter is replaced in one change (raft_propose_replacement()).
 *     Promoting the learner first would make a larger quorum depend on it; removing the
 *     voter first would make the others indispensable, although it may return.
 *   - The number of voters grows only while all of them are healthy, and only if they
 *     are a quorum of the larger group without the learner.
 *   - No learner becomes a voter beside one that it may have succeeded on its machine,
 *     which would count one machine twice: each voter that stays must have answered a
 *     heartbeat sent after the learner's first answer. If several voters are unreachable,
 *     the one that has been silent for longest is replaced once there are learners for
 *     all of them, or after MEMBERSHIP_AMBIGUITY_MS.
 *   - Without a learner to replace it, an unreachable voter stays for
 *     MEMBERSHIP_VOTER_REMOVAL_MS, and is then removed if MEMBERSHIP_VOTERS healthy ones remain.
 *
 * If zones may be lost, no zone should have so many voters that its loss takes the
 * quorum: after a lost zone's voters were replaced by members of the other zones,
 * one of these has a majority. When the zone returns, one of its members replaces a
 * voter of the zone that has too many. This needs members in 2 * tolerated_zones + 1
 * zones.
 */
#ifndef BANKBANK_CORE_MEMBERSHIP_H
#define BANKBANK_CORE_MEMBERSHIP_H

#include "core/raft.h"

enum {
    MEMBERSHIP_VOTERS = 3,            /**< Voters of a small group. */
    MEMBERSHIP_VOTERS_LARGE = 5,      /**< Voters if at least this many members are healthy. */
    MEMBERSHIP_SPARES = 2,            /**< Spare learners, as many as the voters that a group of five can lose. */
    MEMBERSHIP_UNREACHABLE_MS = 1500, /**< Time without contact after which a member is unreachable. */
    MEMBERSHIP_AMBIGUITY_MS = 2000,   /**< Time since a learner's first answer after which it may replace one of several
                                           unreachable voters although the others must stay. */
    MEMBERSHIP_LEARNER_REMOVAL_MS = 10 * 1000, /**< Time without contact after which a learner is removed: it is not
                                                    needed, and joins again if it returns. */
    MEMBERSHIP_VOTER_REMOVAL_MS = 60 * 1000,   /**< The same for a voter that no machine can replace. */
    MEMBERSHIP_JOIN_VALID_MS = 2 * 1000
};

/** A machine's request to join. */
struct membership_join {
    uint32_t node; /**< RAFT_NO_NODE: unused entry. */
    struct raft_member_location location;
    uint64_t requested_ms; /**< Time of the latest request. */
};

/** A member's status as the leader knows it. */
struct membership_status {
    uint64_t silent_ms;      /**< Time since the last contact. */
    uint64_t known_ms;       /**< Time since the leader first heard from it. */
    uint64_t first_round;    /**< Last heartbeat round begun by then; 0: not heard from yet. */
    uint64_t answered_round; /**< Latest heartbeat round that it has answered. */
    bool caught_up;          /**< See raft_has_caught_up(). */
    bool replaced;           /**< Its address or name now belongs to another node: it has lost its disk. */
    bool retiring;
    bool is_leader;
};

struct membership_change {
    bool needed;
    MemberAction action;
    uint32_t node;
    uint32_t replaces;                    /**< MEMBER_PROMOTE only: voter whose place it takes; RAFT_NO_NODE: none. */
    struct raft_member_location location; /**< MEMBER_ADD_LEARNER only. */
};

/** Call it only while no voter is being replaced. `statuses` is indexed by member position; `joins` may contain unused
 * entries; `tolerated_zones`: zones that may be lost at once, 0: the voters are not limited by zone. */
struct membership_change membership_plan(const struct raft_members *members, const struct membership_status *statuses,
                                         const struct membership_join *joins, size_t join_count, uint64_t now_ms,
                                         uint32_t tolerated_zones);

/** Whether at least MEMBERSHIP_VOTERS healthy members would remain on other machines. */
bool membership_may_retire(const struct raft_members *members, const struct membership_status *statuses,
                           const char *machine);

#endif
