/**
 * @file watch.h
 * Propagation of configuration, list of servers and group members to the
 * daemons: a daemon sends periodic watches to one state replica, which replies to
 * each and pushes changes in between. Both sides are state machines without I/O.
 *
 * A watcher accepts only newer values than its own. Every update reports whether
 * the replica is `fresh`: in recent contact with a quorum, and not lagging (see
 * raft_is_fresh()). If it is not, the watcher switches to another replica. The
 * configuration and drained zones are sent by, and accepted from, fresh replicas
 * only: one that has just started or lags may unknowingly hold an older version
 * than the latest acknowledged one.
 *
 * The cost of a change at a group member grows with the number of its watchers.
 * Replicas outside the group therefore act as relays: they watch a member and
 * forward its updates. A member with more than `refer_above` watchers refers each
 * of them to one of the relays that watch it, chosen by rendezvous hashing, and
 * sends it no full lists or large changes of the list of servers until
 * WATCH_REFERRAL_TIMEOUT_MS after the first referral. A watcher whose relay does
 * not reply returns to a member. A relay is as fresh as its last fresh reply from
 * a member, and reports the age of that reply. With 7 members among 120 replicas
 * and 864 gateways, a member has 16 relays and a relay 8 gateways, instead of 140
 * watchers per member; with twice as many replicas and gateways, 33 and 8.
 *
 * Watchers receive the changes to the list of servers (server_list.h). Full lists,
 * and changes of more than WATCH_UNPACED_MAX_BYTES, are paced, so that many
 * simultaneous new watchers do not delay leader election and commits. At
 * WATCH_FULL_LIST_BYTES_PER_S, three replicas send a list of 3,000 servers to 280
 * watchers, 51 MB in all, in about two seconds.
 *
 * A configuration of more than WATCH_UNPACED_MAX_BYTES is sent to a watcher only
 * when the previous one has arrived there, and to so many watchers at a time that
 * configurations take at most WATCH_DOCUMENT_QUEUE_PERCENT of the limit of the send
 * queues, and all frames no more than the limit; watchers take turns. Small patches
 * need no room. Each is sent the version that is the newest at its
 * turn; versions in between are skipped. A watch acknowledges the version that it
 * names, and is sent at once after a configuration was received. Replies to
 * watches never wait for a turn.
 *
 * Such a configuration is sent as a patch from the version that the watcher holds,
 * if that is one of the last few, else from the empty document; whole to watchers
 * of earlier versions, and to one that could not apply a patch (document_history.h).
 */
#ifndef BANKBANK_CORE_WATCH_H
#define BANKBANK_CORE_WATCH_H

#include "base/buffer.h"
#include "control.pb.h"
#include "core/document_history.h"
#include "core/raft.h"
#include "core/server_list.h"
#include "core/zone_set.h"

enum {
    WATCH_PERIOD_MS = 500,
    WATCH_SAME_ZONE_RETRY_MS = 4000,       /**< Interval between attempts to watch a replica in the watcher's zone. */
    WATCH_REPLY_TIMEOUT_MS = 200,          /**< Time without a reply before the watcher switches to another replica. */
    WATCH_RETRY_MS = 50,                   /**< Delay before the next replica is tried. */
    WATCH_TRANSFER_REPLY_TIMEOUT_MS = 800, /**< Instead of WATCH_REPLY_TIMEOUT_MS while a full list of servers or a
                                                configuration may be in transit. */
    WATCH_REFER_ABOVE = 64,                /**< Default for watch_server.refer_above. */
    WATCH_REFERRAL_TIMEOUT_MS = 1500,      /**< Time from its first referral until a watcher is no longer referred. */
    WATCH_UNPACED_MAX_BYTES = 16 << 10,    /**< Largest configuration or change to the list of servers sent unpaced. */
    WATCH_DOCUMENT_TIMEOUT_MS = 1500,  /**< Time without an acknowledgement after which a configuration that has left
                                            the send queue is sent again. */
    WATCH_DOCUMENT_QUEUE_PERCENT = 50, /**< Of watch_server.max_queued_bytes: configurations in the send queues. */
    WATCH_HISTORY_PERCENT = 25,        /**< Of the same: texts of configurations from which patches are made. */
    WATCH_REFUSED_RETRY_MS = 5, /**< Time after a refusal by the send queues until a configuration is sent again. */
    WATCH_EXPIRY_MS = 1500,     /**< Time after a watch during which changes are pushed. */
    WATCH_MAX_WATCHERS = 512,   /**< Per replica. */
    WATCH_FULL_LIST_BYTES_PER_S = 8 << 20, /**< Rate limit of full lists and large changes, all watchers together. */
    WATCH_FULL_LIST_BURST_MS = 20,         /**< Burst above that rate, as time at that rate. */
    WATCH_FULL_LIST_INTERVAL_MS = 1000     /**< Minimum time between two full lists or large changes to one watcher: the
                                              first may be in transit. */
};

/** The watched values, and the versions that order them. */
struct watch_state {
    uint64_t document_version; /**< 0: no configuration. */
    struct buffer document;    /**< Configuration text. */
    zone_set_t drained;
    uint64_t servers_term;   /**< Term of the leader that read the list of servers. */
    uint64_t servers_number; /**< Number of the change within that term. */
    server_list_t servers;
    uint64_t members_index; /**< Log entry that set the members. */
    struct raft_members members;
};

/** Values that an update changed at a watcher. */
struct watch_changes {
    bool document;
    bool drained;
    bool servers;
    bool members;
    bool relay; /**< watch_client.relay changed. */
};

void watch_state_close(struct watch_state *state);

/** Stores a configuration if it is newer and not empty; returns whether it did. */
bool watch_state_put_document(struct watch_state *state, uint64_t version, struct view content);

/** Stores a full list of servers (an encoded ServerList) if it is newer; returns whether it was newer. */
bool watch_state_put_servers(struct watch_state *state, uint64_t term, uint64_t number, struct view encoded);

/** A replica that may be watched. */
struct watch_candidate {
    uint32_t node;
    bool same_zone; /**< In the watcher's zone; preferred. */
};

/** State of a watcher. */
struct watch_client {
    struct watch_candidate candidates[RAFT_MAX_MEMBERS]; /**< Connected replicas. */
    uint32_t candidate_count;
    uint32_t target;              /**< Watched replica, or RAFT_NO_NODE. */
    uint32_t previous_target;     /**< Last replica that failed to give a fresh reply; skipped by the round robin. */
    uint64_t same_zone_tried_ms;  /**< Last time a replica in the watcher's zone was chosen; 0: never. */
    uint32_t rotation;            /**< Round-robin position in `candidates`. */
    uint64_t sequence;            /**< Of the last watch. */
    uint64_t sent_ms;             /**< Of the last watch. */
    bool answered;                /**< The last watch has a reply. */
    uint32_t last_sent_to;        /**< Target of the last watch, or RAFT_NO_NODE. */
    uint64_t unanswered_since_ms; /**< Time of the first watch since the target's last reply. */
    uint64_t due_ms;              /**< Of the next watch. */
    bool wants_whole;             /**< A patch could not be applied: asks for the whole configuration. */
    uint64_t patches_failed;
    bool transfer_pending; /**< The target has a newer list of servers or configuration to send. */
    uint32_t relay;        /**< Relay that this watcher was referred to, or RAFT_NO_NODE. */
    uint64_t fresh_ms;     /**< Send time of the last watch with a fresh reply, minus the age reported in
                                the reply; 0: none. */
    uint32_t leader;       /**< As reported by the last fresh reply. */
    uint32_t watchers;     /**< Number of watchers of the target. */
};

/** Replaces the candidates; a target that is not among them is no longer watched. */
void watch_client_set_candidates(struct watch_client *client, const struct watch_candidate *candidates, uint32_t count);

/** Called periodically. Returns whether to send `watch` to client->target now; `state` holds the watcher's versions. */
bool watch_client_tick(struct watch_client *client, uint64_t now_ms, const struct watch_state *state, Watch *watch);

/** Stores the newer values of an update in `state`. */
struct watch_changes watch_client_receive(struct watch_client *client, uint64_t now_ms, uint32_t from,
                                          const WatchUpdate *update, struct watch_state *state);

/** Returns a connected group member, preferably in the watcher's zone, or RAFT_NO_NODE. */
uint32_t watch_client_choose_member(const struct watch_client *client);

/** Whether a replica is known to have been fresh within the last `limit_ms`; see watch_client.fresh_ms. */
bool watch_client_is_fresh(const struct watch_client *client, uint64_t now_ms, uint64_t limit_ms);

/** A watcher, as a replica records it. The versions are those sent to it or reported by its last watch. */
struct watch_entry {
    uint32_t node;
    uint64_t last_watch_ms;
    uint64_t document_version;
    uint64_t drained_revision;
    uint64_t servers_term;
    uint64_t servers_number;
    uint64_t servers_digest;
    uint64_t members_index;
    bool reads_patches;         /**< Accepts patches of the configuration. */
    bool is_relay;              /**< Forwards updates to its own watchers. */
    uint64_t referred_ms;       /**< Time of the first referral to a relay; 0: never. */
    uint64_t full_list_sent_ms; /**< Time of the last full list or large change of servers sent; 0: never. */
    uint64_t document_sent_ms;  /**< Time at which the paced configuration in transit was last known to be in the send
                                     queue; 0: none is in transit. */
    size_t unsent_bytes;        /**< In the send queue to this watcher, as long as that configuration is there. */
    uint64_t refused_ms;        /**< When the send queues last refused an update with a configuration; 0: never. */
    bool disconnected;          /**< Since its last watch. */
    uint64_t deferred_version;  /**< Last configuration that had to wait; see watch_server.documents_deferred. */
};

/** State of a watched replica. */
struct watch_server {
    struct watch_entry entries[WATCH_MAX_WATCHERS]; /**< Includes expired ones. */
    uint32_t count;
    uint32_t refer_above; /**< Number of watchers other than relays above which they are referred to relays. */
    uint64_t full_list_paced_until_ms; /**< Until when WATCH_FULL_LIST_BYTES_PER_S is used up. */
    uint64_t full_lists_sent;
    size_t max_queued_bytes;      /**< Limit of the send queues to all peers; 0: none. */
    size_t queued_bytes;          /**< In those queues, kept up to date by the caller. */
    size_t document_unsent_bytes; /**< Sum of watch_entry.unsent_bytes. */
    uint32_t first;               /**< Position in `entries` from which updates are sent next. */
    document_history_t history;   /**< Of configurations of more than WATCH_UNPACED_MAX_BYTES. */
    uint64_t documents_sent;      /**< Configurations sent, whole or as patches. */
    uint64_t patches_sent;        /**< As patches. */
    uint64_t document_bytes_sent; /**< Of documents and patches. */
    uint64_t documents_skipped;   /**< Versions never sent to a watcher since a newer one was there at its turn. */
    uint64_t documents_deferred;  /**< Configurations that had to wait for their turn, each counted once a watcher. */
};

/** Frees the memory that the server holds. */
void watch_server_close(struct watch_server *server);

/** Records a watch and returns its entry; NULL: WATCH_MAX_WATCHERS is reached. */
struct watch_entry *watch_server_record_watch(struct watch_server *server, uint64_t now_ms, uint32_t node,
                                              const Watch *watch);

/** Records how many bytes are in the send queue to a watcher. Called for each watcher before updates are sent. */
void watch_server_record_queue(struct watch_server *server, struct watch_entry *entry, uint64_t now_ms,
                               size_t unsent_bytes);

/** The connection to `node` ended: what is in transit there is lost. */
void watch_server_disconnected(struct watch_server *server, uint32_t node);

/** The update just filled could not be queued. `before`: copy of the entry from before watch_server_fill_update(). */
void watch_server_refused(struct watch_server *server, struct watch_entry *entry, uint64_t now_ms,
                          const struct watch_entry *before);

/** Counts a configuration that the watcher lacks and that has to wait for its turn. */
void watch_server_count_deferred(struct watch_server *server, struct watch_entry *entry, uint64_t now_ms,
                                 const struct watch_state *state, bool fresh);

/** Returns the relay that a watcher should watch instead, or RAFT_NO_NODE, and records the referral. Only relays that
 * have a list of servers are eligible. */
uint32_t watch_server_choose_relay(const struct watch_server *server, struct watch_entry *entry, uint64_t now_ms);

/** Number of watchers, without expired ones. */
uint32_t watch_server_count(const struct watch_server *server, uint64_t now_ms);

/** Whether there is a value to send to a watcher now: its entry is not expired, it lacks a value of `state`, and
 * neither pacing nor a referral holds that value back. `fresh`: whether this replica is fresh. */
bool watch_server_has_update(const struct watch_server *server, const struct watch_entry *entry, uint64_t now_ms,
                             const struct watch_state *state, bool fresh);

/** An update, and the memory that it refers to. */
typedef struct watch_outgoing_t {
    WatchUpdate update;
    bool is_reply; /**< Omits the list of servers and a large configuration, which would delay the reply; they follow
                        separately. */
    Member members[RAFT_MAX_MEMBERS]; /**< Storage for `update`. */
    server_list_changes_t changes;    /**< Storage for `update`. */
} watch_outgoing_t;

/** Fills `outgoing` with the values that the watcher lacks, and records them in `entry` as sent. The caller zeroes
 * `outgoing` before and sets `is_reply` and the update's fields that describe the replica, such as `fresh`. Valid until
 * `state` changes; release with watch_outgoing_close(). */
void watch_server_fill_update(struct watch_server *server, struct watch_entry *entry, uint64_t now_ms,
                              struct watch_state *state, watch_outgoing_t *outgoing);

void watch_outgoing_close(watch_outgoing_t *outgoing);

#endif
