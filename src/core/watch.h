/**
 * @file watch.h
 * How daemons learn configuration, servers and members without asking for
 * them: a daemon watches one state replica, which answers each watch and also
 * tells changes at once. Pure, both sides.
 *
 * The watcher takes a value only if it is newer than its own, so that it
 * never goes back; a replica that is out of touch says so (`fresh`), and the
 * watcher turns to another one. A configuration, or drained zones, are told, and taken, only from
 * one that is fresh: one that has just started, or lags, holds an older one
 * than was acknowledged, and cannot know it.
 *
 * Members of the group are few, and what a change costs them grows with their
 * watchers. Replicas outside the group have nothing else to do: they watch a
 * member and pass on what it tells. A member with more than WATCH_REFER_ABOVE
 * watchers refers them to the relays that watch it, each watcher to one of them
 * by rendezvous. So a member tells its relays, and each relay its share of the
 * gateways: 120 replicas of which 7 are members have 16 relays a member and 8
 * gateways a relay of 864, instead of 140 watchers a member; with twice of
 * both, 33 and 8. A relay is as fresh as the member's word to it is young, and
 * tells that age. Whom it doesn't answer comes back to a member, and is told all
 * by that one if it is still there WATCH_REFERRED_MS later.
 *
 * Of the list of servers a watcher is told what changed (server_list.h). Whole
 * lists, and changes of more than WATCH_SMALL_BYTES, go out at WATCH_WHOLE_BYTES_A_S, so that a start, or many watchers
 * that come at once, never hold up what elects a leader or commits: 280 watchers of 3,000 servers, 51 MB in all, have
 * theirs in some two seconds from three replicas (worked out; tests/unit/watchers.c shows the pace).
 */
#ifndef BANKBANK_CORE_WATCH_H
#define BANKBANK_CORE_WATCH_H

#include "base/buffer.h"
#include "control.pb.h"
#include "core/raft.h"
#include "core/server_list.h"
#include "core/zone_set.h"

enum {
    WATCH_PERIOD_MS = 500,           /**< Period of watches. */
    WATCH_NEAR_PERIOD_MS = 4000,     /**< Pause before a replica of the own zone is tried again. */
    WATCH_ANSWER_MS = 200,           /**< Time without an answer before another replica is tried. */
    WATCH_RETRY_MS = 50,             /**< Pause before another replica is tried. */
    WATCH_LIST_ANSWER_MS = 800,      /**< The same while a long list of servers is on its way, in front of answers. */
    WATCH_REFER_ABOVE = 64,          /**< Watchers of a member, relays aside, above which they are referred: default. */
    WATCH_REFERRED_MS = 1500,        /**< Time after which one that was referred and is still there is told all. */
    WATCH_SMALL_BYTES = 16 << 10,    /**< Changes of the list of servers that are told at once. */
    WATCH_VALID_MS = 1500,           /**< Time changes are told after a watch. */
    WATCH_MAX_WATCHERS = 512,        /**< Daemons that watch one replica. */
    WATCH_WHOLE_BYTES_A_S = 8 << 20, /**< Bytes a second of whole lists of servers, to all watchers. */
    WATCH_WHOLE_BURST_MS = 20,       /**< Time's worth of them that goes out at once. */
    WATCH_WHOLE_AGAIN_MS = 1000      /**< Least time between two of them to one watcher: the first may be on its way. */
};

/** Everything that is watched, with the versions that order it. */
struct watch_state {
    uint64_t document_version;   /**< Configuration's version, 0: none. */
    struct buffer document;      /**< Its text. */
    zone_set_t drained;          /**< Drained zones. */
    uint64_t servers_term;       /**< Leader's term that read the list of servers. */
    uint64_t servers_number;     /**< Change within that term. */
    server_list_t servers;       /**< The list. */
    uint64_t members_index;      /**< Log entry that set the members. */
    struct raft_members members; /**< State replicas. */
};

/** What a watcher took from an update. */
struct watch_changes {
    bool document; /**< The configuration is newer. */
    bool drained;  /**< The drained zones are newer. */
    bool servers;  /**< The list of servers is newer. */
    bool members;  /**< The members are newer. */
    bool relay;    /**< It was referred to another replica, or is no more. */
};

/** Frees it. */
void watch_state_close(struct watch_state *state);

/** Takes a configuration if it is newer; returns whether it was. */
bool watch_state_put_document(struct watch_state *state, uint64_t version, struct view content);

/** Takes a whole list of servers (an encoded ServerList) if it is newer; returns whether it was. */
bool watch_state_put_servers(struct watch_state *state, uint64_t term, uint64_t number, struct view encoded);

/** A replica that may be watched. */
struct watch_candidate {
    uint32_t node;  /**< Node id. */
    bool same_zone; /**< Preferred. */
};

/** Watching side. */
struct watch_client {
    struct watch_candidate candidates[RAFT_MAX_MEMBERS]; /**< Replicas connected now. */
    uint32_t candidate_count;                            /**< Number of those. */
    uint32_t target;                                     /**< Watched replica, or RAFT_NO_NODE. */
    uint32_t left;                                       /**< Replica that was left last. */
    uint64_t near_tried_ms;                              /**< Time a replica of the own zone was chosen last. */
    uint32_t rotation;                                   /**< Next one to try. */
    uint64_t sequence;                                   /**< Number of the last watch. */
    uint64_t sent_ms;                                    /**< Its time. */
    bool answered;                                       /**< It was answered. */
    uint32_t asked;                                      /**< Replica that was sent the last watch, or RAFT_NO_NODE. */
    uint64_t asked_ms;                                   /**< Time of the first watch since the target's last answer. */
    uint64_t due_ms;                                     /**< Next watch. */
    bool list_due;                                       /**< The target has a newer list of servers to tell. */
    uint32_t relay;                                      /**< Replica to which it was referred, or RAFT_NO_NODE. */
    uint64_t fresh_ms;                                   /**< Send time of the last watch with a fresh answer. */
    uint32_t leader;                                     /**< Leader told last. */
    uint32_t watchers;                                   /**< Daemons that watch the target. */
};

/** Replaces the candidates; a target that is not among them is left. */
void watch_client_set_candidates(struct watch_client *client, const struct watch_candidate *candidates, uint32_t count);

/** Returns whether `watch` is to be sent to client->target now. */
bool watch_client_tick(struct watch_client *client, uint64_t now_ms, const struct watch_state *state, Watch *watch);

/** Takes what is newer. */
struct watch_changes watch_client_receive(struct watch_client *client, uint64_t now_ms, uint32_t from,
                                          const WatchUpdate *update, struct watch_state *state);

/** A member of the group that may be asked, of the own zone if there is one; RAFT_NO_NODE: none is connected. */
uint32_t watch_client_member(const struct watch_client *client);

/** Whether a replica in touch with a quorum answered within `limit_ms`. */
bool watch_client_is_fresh(const struct watch_client *client, uint64_t now_ms, uint64_t limit_ms);

/** A daemon that watches. */
struct watch_entry {
    uint32_t node;             /**< Its node id. */
    uint64_t heard_ms;         /**< Time of its last watch. */
    uint64_t document_version; /**< What it has. */
    uint64_t drained_revision; /**< What it has. */
    uint64_t servers_term;     /**< What it has. */
    uint64_t servers_number;   /**< What it has. */
    uint64_t servers_digest;   /**< What it has. */
    uint64_t members_index;    /**< What it has. */
    bool relays;               /**< It passes on what it is told. */
    uint64_t referred_ms;      /**< Time at which it was first referred to a relay, 0: never. */
    uint64_t whole_ms;         /**< Time it was told a whole list of servers, 0: never. */
};

/** Watched side. */
struct watch_server {
    struct watch_entry entries[WATCH_MAX_WATCHERS]; /**< Watchers. */
    uint32_t count;                                 /**< Number of those. */
    uint32_t refer_above;                           /**< Watchers, relays aside, above which they are referred. */
    uint64_t whole_due_ms;                          /**< Time until which whole lists have used up their rate. */
    uint64_t wholes;                                /**< Whole lists told. */
};

/** Notes a watch; NULL: no room. */
struct watch_entry *watch_server_note(struct watch_server *server, uint64_t now_ms, uint32_t node, const Watch *watch);

/** The relay, of those that have a list of servers, that a watcher should watch instead, RAFT_NO_NODE: none. */
uint32_t watch_server_refer(const struct watch_server *server, struct watch_entry *entry, uint64_t now_ms);

/** Number of daemons that watched lately. */
uint32_t watch_server_count(const struct watch_server *server, uint64_t now_ms);

/** Whether a watcher that watched lately lacks something of `state` that may be told it now by a replica that is
 * `fresh`, or is not. */
bool watch_server_owes(const struct watch_server *server, const struct watch_entry *entry, uint64_t now_ms,
                       const struct watch_state *state, bool fresh);

/** An update, and what it borrows. */
typedef struct watch_told_t {
    WatchUpdate update;             /**< To be sent. */
    bool answers;                   /**< To a watch: what is large waits for a frame of its own, so that this one is
                                         there in time. */
    Member items[RAFT_MAX_MEMBERS]; /**< Members in it. */
    server_list_changes_t changes;  /**< Changes of the list of servers in it. */
} watch_told_t;

/** Fills what the watcher lacks into `told`, and notes it as told. Before, `told` is all zero but for what its update
 * says of the replica, such as whether it is fresh. Valid until `state` changes. */
void watch_server_tell(struct watch_server *server, struct watch_entry *entry, uint64_t now_ms,
                       struct watch_state *state, watch_told_t *told);
void watch_told_close(watch_told_t *told);

#endif
