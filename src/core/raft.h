/**
 * @file raft.h
 * Consensus on one replicated log (Raft), as a pure state machine.
 *
 * A group is driven by events with a time (tick, receive, propose, synced)
 * and answers through the `raft_io` table. It has no thread, socket, file,
 * clock or random source; election jitter is a hash of seed, node and term.
 *
 * Extensions over the basic algorithm: pre-vote, check-quorum (a leader that
 * does not hear from a quorum within an election timeout steps down; silence that is
 * seen at the end of a standstill of the own process is excused until others could speak),
 * linearizable reads by heartbeat rounds, leader transfer, learners,
 * one-at-a-time membership change, and chunked snapshot installation.
 *
 * Durability rule: whatever is written through `save_state` and `append` is
 * durable only after the host's next sync. The host releases messages marked
 * `after_sync` only then, and calls raft_synced() when the sync has returned.
 *
 * Source: Ongaro, "Consensus: Bridging Theory and Practice" (2014).
 */
#ifndef BANKBANK_CORE_RAFT_H
#define BANKBANK_CORE_RAFT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buffer.h"
#include "control.pb.h"

enum {
    RAFT_MAX_MEMBERS = 16,             /**< Voters and learners of one group. */
    RAFT_NAME_MAX = 48,                /**< Bytes of a member's machine name, NUL included. */
    RAFT_ZONE_MAX = 32,                /**< Bytes of a member's zone, NUL included. */
    RAFT_MAX_INFLIGHT_ENTRIES = 512,   /**< Entries sent to a follower beyond its acknowledgement. */
    RAFT_MAX_INFLIGHT_BYTES = 1 << 20, /**< Entry bytes sent to a follower beyond its acknowledgement. */
    RAFT_MAX_BATCH_BYTES = 256 << 10,  /**< Entry bytes of one append message. */
    RAFT_ENTRY_HELD_BYTES = 64,        /**< Memory of an entry beside its payload: record and allocator, about. */
    RAFT_SNAPSHOT_CHUNK = 256 << 10,   /**< Bytes of one snapshot message. */
    RAFT_NO_NODE = 0                   /**< Node ids start at 1. */
};

enum raft_role { RAFT_FOLLOWER, RAFT_PRE_CANDIDATE, RAFT_CANDIDATE, RAFT_LEADER };

enum raft_entry_type {
    RAFT_ENTRY_COMMAND = 0, /**< Data for the state machine. */
    RAFT_ENTRY_NOOP = 1,    /**< First entry of a leader's term. */
    RAFT_ENTRY_MEMBERS = 2  /**< Encoded Members that replace the current ones. */
};

/** Values of RaftMessage.type. */
enum raft_message_type {
    RAFT_PRE_VOTE = 1,
    RAFT_PRE_VOTE_REPLY,
    RAFT_VOTE,
    RAFT_VOTE_REPLY,
    RAFT_APPEND,
    RAFT_APPEND_REPLY,
    RAFT_SNAPSHOT,
    RAFT_SNAPSHOT_REPLY,
    RAFT_TIMEOUT_NOW
};

/** One log entry. The log owns `data`. */
struct raft_entry {
    uint64_t index;            /**< Position, from 1. */
    uint64_t term;             /**< Term of the leader that made it. */
    enum raft_entry_type type; /**< What `data` holds. */
    uint8_t *data;             /**< Payload. */
    size_t length;             /**< Payload bytes. */
};

/** Where a member runs; all zero where the replicas are configured. */
struct raft_member_place {
    char name[RAFT_NAME_MAX]; /**< Machine name. */
    char zone[RAFT_ZONE_MAX]; /**< Zone. */
    uint32_t ip;              /**< IPv4 address of the peer link, host order. */
    uint16_t port;            /**< Port of the peer link. */
};

/** The members of a group. */
struct raft_members {
    uint32_t count;                                    /**< Number of members. */
    uint32_t nodes[RAFT_MAX_MEMBERS];                  /**< Node ids. */
    bool learners[RAFT_MAX_MEMBERS];                   /**< True: receives the log, has no vote. */
    struct raft_member_place places[RAFT_MAX_MEMBERS]; /**< Where they run. */
};

/** What a stored snapshot covers. */
struct raft_snapshot {
    uint64_t index;              /**< Last entry covered; 0: there is none. */
    uint64_t term;               /**< Its term. */
    struct raft_members members; /**< Members at that entry. */
};

/** Effects of a group, carried out by its host. */
struct raft_io {
    void *context; /**< First argument of every function. */
    /** Writes term and vote; durable after the next sync. */
    void (*save_state)(void *context, uint32_t group, uint64_t term, uint32_t vote);
    /** Writes one entry; an entry at or before the end of the log replaces the tail from there. */
    void (*append)(void *context, uint32_t group, const struct raft_entry *entry);
    /** Sends a message; views in it are valid only during the call. */
    void (*send)(void *context, uint32_t group, uint32_t to, const RaftMessage *message, bool after_sync);
    /** Applies a committed entry; called once an entry, in order. */
    void (*apply)(void *context, uint32_t group, const struct raft_entry *entry);
    /** Reports a read started with raft_read(): may run now (`ok`) or must be retried elsewhere. */
    void (*read_ready)(void *context, uint32_t group, uint64_t read_id, bool ok);
    /**
     * Appends the next bytes, for another machine, of the snapshot stored at `index`; `at` is the place reached in
     * it, 0 at first. Nothing is appended at its end. False: that snapshot is not there any more.
     */
    bool (*read_snapshot)(void *context, uint32_t group, uint64_t index, uint64_t *at, struct buffer *out);
    /**
     * Takes bytes of a snapshot from the leader in their order, up to the `last`; then the state is replaced, durably,
     * and of the log what raft_holds() does not let stay. False: refused, it must come again from its `first` bytes.
     */
    bool (*take_snapshot)(void *context, uint32_t group, const struct raft_snapshot *snapshot, struct view bytes,
                          bool first, bool last);
    /** Tells that role, term or leader changed. */
    void (*role_changed)(void *context, uint32_t group);
};

/** Fixed settings of a group. */
struct raft_config {
    uint32_t node;                /**< This replica's id. */
    uint32_t group;               /**< Group id carried by every message. */
    uint32_t election_timeout_ms; /**< Least time without a leader before an election. */
    uint32_t heartbeat_ms;        /**< Leader's heartbeat period. */
    uint32_t first_election_ms;   /**< The same after the start, or after the connection to the leader ended;
                                       0: election_timeout_ms. */
    uint64_t seed;                /**< Seed of the election jitter. */
    size_t log_bytes_most;        /**< Log in memory above which no entry is taken; 0: no limit. */
};

/** What a leader knows of one member. */
struct raft_progress {
    uint32_t node;                 /**< Member's id. */
    uint64_t match;                /**< Highest entry known to be synced there. */
    uint64_t next;                 /**< Next entry to send. */
    uint64_t last_heard_ms;        /**< Time of the last reply. */
    uint64_t acked_round;          /**< Highest heartbeat round answered. */
    bool probing;                  /**< One message at a time until an acknowledgement. */
    size_t inflight_bytes;         /**< Entry bytes sent and not acknowledged. */
    bool snapshot_active;          /**< A snapshot is being sent. */
    struct raft_snapshot snapshot; /**< Which one. */
    uint64_t snapshot_at;          /**< Place reached in the stored one. */
    bool snapshot_read;            /**< It was read to its end. */
    uint64_t snapshot_offset;      /**< Bytes acknowledged. */
    size_t snapshot_sent;          /**< Bytes of the chunk that is under way. */
    uint64_t snapshot_sent_ms;     /**< Time it went out. */
    struct buffer snapshot_bytes;  /**< Bytes that were read and not acknowledged. */
};

/** A linearizable read that waits for a heartbeat round. */
struct raft_pending_read {
    uint64_t id;    /**< Caller's id. */
    uint64_t round; /**< Round that proves leadership. */
    uint64_t index; /**< Commit index that must be applied. */
};

/** Log kept in memory after the last compaction. */
struct raft_log {
    uint64_t base_index;        /**< Last compacted entry. */
    uint64_t base_term;         /**< Its term. */
    struct raft_entry *entries; /**< Entries base_index + 1 ... */
    size_t count;               /**< Number of entries. */
    size_t capacity;            /**< Allocated entries. */
    size_t bytes;               /**< Memory of the entries. */
};

/** One replica of one group. */
struct raft {
    struct raft_config config;                       /**< Fixed settings. */
    struct raft_io io;                               /**< Effects. */
    enum raft_role role;                             /**< Current role. */
    uint64_t term;                                   /**< Current term. */
    uint32_t vote;                                   /**< Candidate voted for in `term`. */
    uint32_t leader;                                 /**< Known leader of `term`, or RAFT_NO_NODE. */
    struct raft_log log;                             /**< Entries in memory. */
    uint64_t commit;                                 /**< Highest committed entry. */
    uint64_t applied;                                /**< Highest applied entry. */
    uint64_t synced;                                 /**< Highest own entry known to be synced. */
    struct raft_members members;                     /**< Latest members, committed or not. */
    uint64_t members_index;                          /**< Entry that set them. */
    struct raft_members previous_members;            /**< Members before that entry. */
    uint64_t previous_members_index;                 /**< Entry that set those. */
    struct raft_members base_members;                /**< Members at the last compacted entry. */
    uint64_t election_deadline_ms;                   /**< Follower: time to campaign. */
    uint64_t last_leader_contact_ms;                 /**< Time the leader was last heard. */
    uint64_t current_ms;                             /**< Follower: when it had applied all that its settled
                                                          leader told as committed; 0: not yet. */
    uint64_t heartbeat_due_ms;                       /**< Leader: next heartbeat. */
    uint64_t quorum_checked_ms;                      /**< Leader: start of the current check-quorum window. */
    uint64_t ticked_ms;                              /**< Last tick, 0: none yet. */
    uint64_t excused_ms;                             /**< When silence was last excused, 0: never since a contact. */
    uint64_t elections;                              /**< Campaigns started, part of the jitter. */
    bool votes[RAFT_MAX_MEMBERS];                    /**< Candidate: grants by member position. */
    struct raft_progress progress[RAFT_MAX_MEMBERS]; /**< Leader: by member position. */
    bool send_due;                                   /**< Leader: members may lack entries; raft_flush(). */
    bool round_due;                                  /**< Leader: reads wait for a round; raft_flush(). */
    uint64_t round;                                  /**< Leader: heartbeat round number. */
    struct raft_pending_read *reads;                 /**< Reads that wait: each has its caller's request. */
    size_t read_room;                                /**< Places in `reads`. */
    size_t read_count;                               /**< Number of waiting reads. */
    uint32_t transfer_target;                        /**< Leader transfer in progress, or RAFT_NO_NODE. */
    uint64_t transfer_deadline_ms;                   /**< Time the transfer is given up. */
    struct raft_snapshot snapshot;                   /**< The one stored here. */
    struct raft_snapshot incoming;                   /**< Follower: the one that is being received. */
    uint64_t incoming_offset;                        /**< Bytes of it taken so far. */
};

/** Starts an empty replica as a follower. `members` are the bootstrap members. */
void raft_init(struct raft *raft, const struct raft_config *config, const struct raft_io *io,
               const struct raft_members *members);

/** Frees the replica. */
void raft_close(struct raft *raft);

/** Before raft_start: sets the stored term and vote. */
void raft_restore_state(struct raft *raft, uint64_t term, uint32_t vote);

/** Before raft_start: sets the snapshot that the state machine was loaded from. */
void raft_restore_snapshot(struct raft *raft, uint64_t index, uint64_t term, const struct raft_members *members);

/** Before raft_start: adds a stored entry in order of writing; a repeated index
 * replaces the tail from there. False: the entry leaves a gap. */
bool raft_restore_entry(struct raft *raft, const struct raft_entry *entry);

/** Before raft_start: drops the entries behind the snapshot that were added so far. */
void raft_restore_reset(struct raft *raft);

/** Begins to run; a sole voter campaigns at once. */
void raft_start(struct raft *raft, uint64_t now_ms);

/** Advances time. */
void raft_tick(struct raft *raft, uint64_t now_ms);

/**
 * The connection to a node ended. Where it was the leader, an election
 * follows soon: voters that still hear it refuse the pre-vote.
 */
void raft_peer_lost(struct raft *raft, uint64_t now_ms, uint32_t node);

/** Handles a message from member `from`. */
void raft_receive(struct raft *raft, uint64_t now_ms, uint32_t from, const RaftMessage *message);

/** Proposes a command; returns its index, or 0 if this replica cannot accept it. raft_flush() sends it. */
uint64_t raft_propose(struct raft *raft, struct view data);

/**
 * Sends members what they lack, in one message each: call it once all events
 * at hand were taken. The more of them came at once, the larger the message,
 * so that a leader's work for an entry falls as its load grows.
 */
void raft_flush(struct raft *raft, uint64_t now_ms);

/** Proposes new members that differ by one; returns the entry's index or 0. */
uint64_t raft_propose_members(struct raft *raft, uint64_t now_ms, const struct raft_members *members);

/** Starts a linearizable read; returns false if this replica is not a settled leader. raft_flush() begins its round,
 * one for all reads that came meanwhile. */
bool raft_read(struct raft *raft, uint64_t read_id);

/** Starts a leader transfer; returns false if not leader or `target` is no voter. */
bool raft_transfer(struct raft *raft, uint64_t now_ms, uint32_t target);

/** Tells that everything written before this call is durable. */
void raft_synced(struct raft *raft, uint64_t now_ms);

/** Tells that a snapshot at the applied entry was stored; drops entries up to `keep_after`, at most that one. */
void raft_snapshot_saved(struct raft *raft, uint64_t keep_after);

/** Whether a member that was heard of lately is being sent a snapshot. */
bool raft_is_sending_snapshot(const struct raft *raft, uint64_t now_ms);

/** Index of the last entry in the log. */
uint64_t raft_last_index(const struct raft *raft);

/** Term of the entry at `index`; 0 if it is not known. */
uint64_t raft_term_at(const struct raft *raft, uint64_t index);

/** Whether the log holds the entry that a snapshot from the leader ends with: what stands behind it then follows from
 * it, was acknowledged, and stays. */
bool raft_holds(const struct raft *raft, const struct raft_snapshot *snapshot);

/** Members at the applied index. */
const struct raft_members *raft_applied_members(const struct raft *raft);

/** Whether the log in memory has reached its limit. */
bool raft_log_is_full(const struct raft *raft);

/** Whether this replica leads. */
bool raft_is_leader(const struct raft *raft);

/** Whether a member was heard of lately and lacks only what is in flight. */
bool raft_has_caught_up(const struct raft *raft, uint32_t node, uint64_t now_ms);

/** Index after which at most `entries` applied entries of at most `bytes` in all follow. */
uint64_t raft_tail_start(const struct raft *raft, uint64_t entries, size_t bytes);

/** Members with a vote. */
uint32_t raft_voter_count(const struct raft_members *members);

/** Whether a leader heard of a quorum of voters within an election timeout. */
bool raft_heard_from_quorum(const struct raft *raft, uint64_t now_ms);

/** Whether a leader heard of a quorum of voters since a time. */
bool raft_quorum_spoke_since(const struct raft *raft, uint64_t since_ms);

/**
 * Whether everything that was committed an election timeout ago is applied here: a leader that has committed in its
 * own term and hears a quorum; a follower that had, within that time, applied all that such a leader told it. A replica
 * that has just started, lags, or is being sent a snapshot is not current; one that lacks a moment's entries under load
 * is. Messages count by when they are read: a process that stood still may take what came before for new. Who cannot
 * bear that asks the leader (raft_read).
 */
bool raft_is_current(const struct raft *raft, uint64_t now_ms);

/** Whether a leader heard of the member at `position` within an election timeout. */
bool raft_hears_member(const struct raft *raft, uint32_t position, uint64_t now_ms);

/** Converts to and from the encoded wire form. */
bool raft_members_decode(struct view data, struct raft_members *members);
void raft_members_encode(const struct raft_members *members, struct buffer *out);

/** Fills `wire`, whose texts borrow from `members`, with RAFT_MAX_MEMBERS items of storage. */
void raft_members_to_wire(const struct raft_members *members, Member *items, Members *wire);

/** Reads the wire form; false: too many members. */
bool raft_members_from_wire(const Members *wire, struct raft_members *members);

/** Reads one member's place. */
void raft_member_place_from_wire(const Member *wire, struct raft_member_place *place);

/** Position of a node among the members, or -1. */
int raft_member_position(const struct raft_members *members, uint32_t node);

/** Whether a node is a member with a vote. */
bool raft_is_voter(const struct raft_members *members, uint32_t node);

#endif
