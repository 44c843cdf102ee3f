/**
 * @file membership.h
 * Chooses the next change of a group's members where nobody lists them: who
 * asked to join becomes a learner, a caught-up learner takes the place of a
 * voter that is gone, and a machine to be emptied leaves. A voter in touch that
 * is one too many becomes a learner: it goes on holding the state. One change at
 * a time; a voter leaves only when enough others that are in touch stay.
 */
#ifndef BANKBANK_CORE_MEMBERSHIP_H
#define BANKBANK_CORE_MEMBERSHIP_H

#include "core/raft.h"

enum {
    MEMBERSHIP_VOTERS = 3,              /**< Voters of a small site. */
    MEMBERSHIP_VOTERS_LARGE = 5,        /**< Voters where at least that many members are in touch. */
    MEMBERSHIP_SPARES = 2,              /**< Learners kept for voters that are lost: as many as five voters bear. */
    MEMBERSHIP_SILENT_MS = 1500,        /**< Silence after which a member counts as gone. */
    MEMBERSHIP_FORGET_MS = 60 * 1000,   /**< Silence after which a learner is dropped. */
    MEMBERSHIP_JOIN_VALID_MS = 2 * 1000 /**< Time a request to join stays valid. */
};

/** A machine that asked to join. */
struct membership_join {
    uint32_t node;                  /**< Its node id; RAFT_NO_NODE: free entry. */
    struct raft_member_place place; /**< Where it runs. */
    uint64_t asked_ms;              /**< Time of its last request. */
};

/** What the leader knows of a member. */
struct membership_view {
    uint64_t silent_ms; /**< Time since it was heard. */
    bool caught_up;     /**< It lacks only what is in flight. */
    bool replaced;      /**< Its address or name belongs to another node now. */
    bool retiring;      /**< Its machine is to be emptied. */
    bool leads;         /**< It is the leader. */
};

/** A change to make. */
struct membership_step {
    bool wanted;                    /**< False: nothing to do. */
    MemberAction action;            /**< What. */
    uint32_t node;                  /**< Whom. */
    struct raft_member_place place; /**< Of a new learner. */
};

/** Chooses the next change; `views` stand by member position, `joins` may hold free entries. */
struct membership_step membership_plan(const struct raft_members *members, const struct membership_view *views,
                                       const struct membership_join *joins, size_t join_count, uint64_t now_ms);

/** Whether a machine may be emptied: enough members in touch would stay. */
bool membership_may_retire(const struct raft_members *members, const struct membership_view *views,
                           const char *machine);

#endif
