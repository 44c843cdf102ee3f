/**
 * @file raft.h
 * Raft consensus on one replicated log, as a deterministic state machine
 * without threads, I/O, clock or random source. Timestamped events drive it, and
 * it acts through the `raft_io` callbacks.
 *
 * Extensions over the basic algorithm: pre-vote, check-quorum (a leader that
 * does not hear from a quorum within an election timeout steps down, but after a
 * stall of its own process peers first get time to respond), linearizable reads
 * by heartbeat rounds, leadership transfer, learners, one-at-a-time membership
 * changes, replacement of a voter by a learner in one change, and chunked snapshot
 * transfer.
 *
 * A replacement uses joint consensus: while it lasts, elections, commits and reads need
 * a quorum of the voters without the joining one and a quorum of those without the
 * leaving one. If the others contain a quorum, the group thus needs neither of the two.
 * The leader appends the final members once the joint ones are committed. A version that
 * ignores the two flags counts both as voters; its quorums overlap with these.
 *
 * Data passed to `save_state` and `append` is durable only after the host's next
 * sync. The host holds messages marked `after_sync` until then, and calls
 * raft_synced() when the sync has returned.
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
    RAFT_MAX_INFLIGHT_ENTRIES = 512,   /**< Unacknowledged entries at which sending stops, per follower. */
    RAFT_MAX_INFLIGHT_BYTES = 1 << 20, /**< Unacknowledged entry payload at which sending stops, per follower. */
    RAFT_MAX_BATCH_BYTES = 256 << 10,  /**< Entry payload in one append message; a larger entry is sent alone. */
    RAFT_ENTRY_OVERHEAD_BYTES = 64,    /**< Estimated memory of an entry besides its payload. */
    RAFT_SNAPSHOT_CHUNK_BYTES = 256 << 10,
    RAFT_NO_NODE = 0 /**< Node ids start at 1. */
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

/** The log owns `data`. */
struct raft_entry {
    uint64_t index; /**< Starts at 1. */
    uint64_t term;  /**< Term of the leader that created it. */
    enum raft_entry_type type;
    uint8_t *data;
    size_t length;
};

/** All zero if the replicas are listed in the settings. */
struct raft_member_location {
    char name[RAFT_NAME_MAX]; /**< Machine name. */
    char zone[RAFT_ZONE_MAX]; /**< Empty: not configured. */
    uint32_t ip;              /**< IPv4 address of the peer link, in host byte order. */
    uint16_t port;            /**< Port of the peer link. */
};

struct raft_members {
    uint32_t count;
    uint32_t nodes[RAFT_MAX_MEMBERS];
    bool learners[RAFT_MAX_MEMBERS]; /**< Learners receive the log but have no vote. */
    bool joining[RAFT_MAX_MEMBERS];  /**< Voter that replaces the leaving one; at most one, with a leaving one. */
    bool leaving[RAFT_MAX_MEMBERS];  /**< Voter that is being replaced. */
    struct raft_member_location locations[RAFT_MAX_MEMBERS];
};

/** Metadata of a snapshot. */
struct raft_snapshot {
    uint64_t index;              /**< Last entry covered; 0: no snapshot. */
    uint64_t term;               /**< Term of that entry. */
    struct raft_members members; /**< Members at that entry. */
};

/** Callbacks, implemented by the host. */
struct raft_io {
    void *context; /**< Passed to every callback. */
    /** Writes term and vote; durable after the next sync. */
    void (*save_state)(void *context, uint32_t group, uint64_t term, uint32_t vote);
    /** Writes one entry; an entry at or before the end of the log replaces the tail from there. */
    void (*append)(void *context, uint32_t group, const struct raft_entry *entry);
    /** Sends a message, with `after_sync` only after the next sync; its views are valid only during the call. */
    void (*send)(void *context, uint32_t group, uint32_t to, const RaftMessage *message, bool after_sync);
    /** Applies a committed entry; called once per entry, in log order. */
    void (*apply)(void *context, uint32_t group, const struct raft_entry *entry);
    /** Completes raft_read(): the read may run now (`ok`), or the caller must retry it on another replica. */
    void (*read_ready)(void *context, uint32_t group, uint64_t read_id, bool ok);
    /**
     * Appends the next bytes of the snapshot stored at `index`, in the form sent to other replicas, and advances the
     * read offset, which is 0 at first. Appends nothing at the end. False: that snapshot cannot be read, or was
     * replaced.
     */
    bool (*read_snapshot)(void *context, uint32_t group, uint64_t index, uint64_t *offset, struct buffer *out);
    /**
     * Receives the next bytes of a snapshot from the leader, in order. `first` starts a new transfer and discards an
     * unfinished one. With `last`, durably replaces the state, and deletes the log entries that the snapshot covers, or
     * all of them unless raft_log_matches_snapshot(). False: refused; the leader must send the snapshot again from the
     * start.
     */
    bool (*receive_snapshot)(void *context, uint32_t group, const struct raft_snapshot *snapshot, struct view bytes,
                             bool first, bool last);
    /** Reports that role, term or leader changed. */
    void (*role_changed)(void *context, uint32_t group);
};

struct raft_config {
    uint32_t node;                /**< This replica's id. */
    uint32_t group;               /**< Passed to every callback. */
    uint32_t election_timeout_ms; /**< Minimum time without leader contact before an election. */
    uint32_t heartbeat_ms;
    uint32_t short_election_timeout_ms; /**< Election timeout after the start, after a failed pre-vote or when the
                                           connection to the leader ended; 0: election_timeout_ms. */
    uint64_t seed;                      /**< For the election jitter. */
    size_t max_log_bytes;               /**< Size of the log in memory at which it refuses entries; 0: no limit. */
};

/** Replication state that a leader keeps per member. */
struct raft_progress {
    uint32_t node;
    uint64_t match; /**< Highest entry known to be durable there. */
    uint64_t next;  /**< Next entry to send. */
    uint64_t last_contact_ms;
    uint64_t first_contact_ms; /**< When this leader first heard from it; 0: not yet. */
    uint64_t first_round;      /**< Last heartbeat round begun by then. */
    uint64_t acked_round;      /**< Highest heartbeat round acknowledged. */
    bool probing; /**< Until an append succeeds: entries are sent only with heartbeats and in answer to replies, and
                     `next` does not advance. */
    size_t inflight_bytes; /**< Entry payload sent and not yet acknowledged. */
    bool snapshot_active;
    struct raft_snapshot snapshot; /**< The snapshot being sent. */
    uint64_t snapshot_read_offset; /**< Offset in the stored snapshot. */
    bool snapshot_read_done;
    uint64_t snapshot_offset;       /**< Snapshot bytes acknowledged. */
    size_t snapshot_inflight_bytes; /**< Size of the chunk in flight. */
    uint64_t snapshot_sent_ms;      /**< Time that chunk was sent. */
    struct buffer snapshot_buffer;  /**< Bytes read and not yet acknowledged. */
};

/** A linearizable read that waits for its heartbeat round. */
struct raft_pending_read {
    uint64_t id;    /**< Assigned by the caller. */
    uint64_t round; /**< Heartbeat round that confirms leadership. */
    uint64_t index; /**< Commit index that must be applied first. */
};

/** Log entries in memory: those after the last compaction. */
struct raft_log {
    uint64_t base_index;        /**< Last compacted entry. */
    uint64_t base_term;         /**< Term of that entry. */
    struct raft_entry *entries; /**< The first one is at base_index + 1. */
    size_t count;
    size_t capacity;
    size_t bytes; /**< Estimated memory of the entries. */
};

/** One replica of a group. */
struct raft {
    struct raft_config config;
    struct raft_io io;
    enum raft_role role;
    uint64_t term;
    uint32_t vote;   /**< Candidate voted for in `term`, or RAFT_NO_NODE. */
    uint32_t leader; /**< Leader of `term`; RAFT_NO_NODE: unknown. */
    struct raft_log log;
    uint64_t commit;                      /**< Highest committed entry. */
    uint64_t applied;                     /**< Highest applied entry. */
    uint64_t synced;                      /**< Highest entry known to be durable on this node. */
    struct raft_members members;          /**< Latest members, committed or not. */
    uint64_t members_index;               /**< Entry that set them. */
    struct raft_members previous_members; /**< Members before that entry. */
    uint64_t previous_members_index;
    struct raft_members base_members; /**< Members at log.base_index. */
    uint64_t election_deadline_ms;    /**< Not leader: time to campaign. */
    uint64_t last_leader_contact_ms;
    uint64_t caught_up_ms; /**< Follower: last time it had applied the leader's commit index, if that entry is of the
                              current term; 0: not yet. */
    uint64_t heartbeat_due_ms;
    uint64_t quorum_checked_ms;                      /**< Leader: start of the current check-quorum window. */
    uint64_t last_tick_ms;                           /**< 0: none yet. */
    uint64_t stall_grace_ms;                         /**< Last time silent peers were tolerated because this process
                                                          stalled; 0: not since the election timer was reset or this
                                                          replica became the leader. */
    uint64_t campaigns;                              /**< Campaigns started; input of the jitter. */
    bool votes[RAFT_MAX_MEMBERS];                    /**< Candidate: votes granted, by member position. */
    struct raft_progress progress[RAFT_MAX_MEMBERS]; /**< Leader: by member position. */
    bool send_due;                                   /**< Leader: members may lack entries; sent by raft_flush(). */
    bool round_due;                                  /**< Leader: reads need a new round; begun by raft_flush(). */
    uint64_t round;                                  /**< Leader: last heartbeat round begun. */
    struct raft_pending_read *reads;                 /**< Pending, in the order they were started. */
    size_t read_capacity;
    size_t read_count;
    uint32_t transfer_target;      /**< Target of a leadership transfer, or RAFT_NO_NODE. */
    uint64_t transfer_deadline_ms; /**< Time at which the transfer is abandoned. */
    struct raft_snapshot snapshot; /**< Latest snapshot stored on this node. */
    struct raft_snapshot incoming; /**< Follower: snapshot being received. */
    uint64_t incoming_offset;      /**< Bytes of it received so far. */
};

/** `members` are the bootstrap members, replaced by those of a snapshot or log entry. */
void raft_init(struct raft *raft, const struct raft_config *config, const struct raft_io *io,
               const struct raft_members *members);

void raft_close(struct raft *raft);

/** Before raft_start: sets the stored term and vote. */
void raft_restore_state(struct raft *raft, uint64_t term, uint32_t vote);

/** Before raft_start: sets the snapshot that the state machine was loaded from. */
void raft_restore_snapshot(struct raft *raft, uint64_t index, uint64_t term, const struct raft_members *members);

/** Before raft_start: adds stored entries in the order they were written; an index that
 * is already present truncates the log from there. False: the entry leaves a gap. */
bool raft_restore_entry(struct raft *raft, const struct raft_entry *entry);

/** Before raft_start: removes the entries added so far, all of which follow the snapshot. */
void raft_restore_reset(struct raft *raft);

/** Starts as a follower; a sole voter campaigns at once. */
void raft_start(struct raft *raft, uint64_t now_ms);

/** Call at least once per heartbeat period; a longer gap counts as a stall of this process. */
void raft_tick(struct raft *raft, uint64_t now_ms);

/**
 * Reports that the connection to a node ended. If it was the leader, the
 * election timer is shortened; voters that still receive messages from the
 * leader ignore the pre-vote.
 */
void raft_peer_disconnected(struct raft *raft, uint64_t now_ms, uint32_t node);

void raft_receive(struct raft *raft, uint64_t now_ms, uint32_t from, const RaftMessage *message);

/** Proposes a command; returns its index, or 0 if this replica cannot accept it. raft_flush() sends the entry. */
uint64_t raft_propose(struct raft *raft, struct view data);

/** Sends the pending entries and heartbeat round, in one message per member. Call it once per batch of events, which
 * lowers a leader's cost per entry under load. */
void raft_flush(struct raft *raft, uint64_t now_ms);

/** Proposes a member list that differs from the current one by one member; returns the entry's index, or 0 if this
 * replica cannot accept it, for example during a replacement. */
uint64_t raft_propose_members(struct raft *raft, uint64_t now_ms, const struct raft_members *members);

/** Proposes to replace a voter by a learner; returns the entry's index, or 0 if this replica cannot accept it. Does not
 * need the learner to be available: the caller checks that the other voters are a quorum. */
uint64_t raft_propose_replacement(struct raft *raft, uint64_t now_ms, uint32_t voter, uint32_t learner);

/** Starts a linearizable read; returns false unless this replica leads and has committed an entry of its own term.
 * raft_flush() begins the heartbeat round, one for all reads started since the last one. */
bool raft_read(struct raft *raft, uint64_t read_id);

/** Starts a leadership transfer; returns false if this replica is not the leader, or `target` is not another voter that
 * stays. */
bool raft_transfer(struct raft *raft, uint64_t now_ms, uint32_t target);

/** Reports that everything written before this call is durable. */
void raft_synced(struct raft *raft, uint64_t now_ms);

/** Reports that a snapshot at the applied index was stored. Compacts the log up to `compact_index`, which is at most
 * the applied index. */
void raft_snapshot_saved(struct raft *raft, uint64_t compact_index);

/** Whether a snapshot is being sent to an active member (see raft_member_is_active()). */
bool raft_is_sending_snapshot(const struct raft *raft, uint64_t now_ms);

uint64_t raft_last_index(const struct raft *raft);

/** Returns 0 if the term at `index` is unknown. */
uint64_t raft_term_at(const struct raft *raft, uint64_t index);

/** Whether the log contains the last entry that a snapshot from the leader covers. Later entries then extend the
 * snapshot and must be kept: they were acknowledged. */
bool raft_log_matches_snapshot(const struct raft *raft, const struct raft_snapshot *snapshot);

/** Members at the applied index. */
const struct raft_members *raft_applied_members(const struct raft *raft);

/** See raft_config.max_log_bytes. */
bool raft_log_is_full(const struct raft *raft);

bool raft_is_leader(const struct raft *raft);

/** Leader: whether a member is active and lacks fewer than RAFT_MAX_INFLIGHT_ENTRIES entries. */
bool raft_has_caught_up(const struct raft *raft, uint32_t node, uint64_t now_ms);

/** Index up to which to compact the log so that at most `entries` applied entries, of at most `bytes` of payload in
 * total, are kept. */
uint64_t raft_compaction_index(const struct raft *raft, uint64_t entries, size_t bytes);

/** Number of voters; during a replacement, the leaving one is left out. */
uint32_t raft_voter_count(const struct raft_members *members);

/** Whether a voter is being replaced. */
bool raft_is_replacing(const struct raft_members *members);

/** Whether the members marked in `present`, by position, contain a quorum; during a replacement, one of both sets of
 * voters. */
bool raft_is_quorum(const struct raft_members *members, const bool *present);

/** Whether a leader heard from a quorum of voters, itself included, within the last election timeout. */
bool raft_quorum_is_active(const struct raft *raft, uint64_t now_ms);

/** Whether a leader heard from a quorum of voters, itself included, since a time. */
bool raft_quorum_active_since(const struct raft *raft, uint64_t since_ms);

/**
 * Whether this replica has applied everything that was committed one election timeout ago. True for a leader that has
 * committed an entry of its own term and has an active quorum, and for a follower that had applied such a leader's
 * commit index within the last election timeout; false for one that has just started, lags, or is being sent a
 * snapshot. Messages count from the time they are read, so a process that stalled may mistake old messages for new
 * ones; for linearizability use raft_read().
 */
bool raft_is_fresh(const struct raft *raft, uint64_t now_ms);

/** Whether a leader heard from the member at `position` within the last election timeout. */
bool raft_member_is_active(const struct raft *raft, uint32_t position, uint64_t now_ms);

/** Convert from and to the encoded wire format; decoding returns false for invalid input. */
bool raft_members_decode(struct view data, struct raft_members *members);
void raft_members_encode(const struct raft_members *members, struct buffer *out);

/** Fills `wire`. Its strings point into `members`; `items` is storage for RAFT_MAX_MEMBERS members. */
void raft_members_to_wire(const struct raft_members *members, Member *items, Members *wire);

/** Returns false if there are too many members. */
bool raft_members_from_wire(const Members *wire, struct raft_members *members);

void raft_member_location_from_wire(const Member *wire, struct raft_member_location *location);

/** Removes the member at `position`; the last one takes its place. */
void raft_members_remove(struct raft_members *members, uint32_t position);

/** Returns -1 if the node is not a member. */
int raft_member_position(const struct raft_members *members, uint32_t node);

/** During a replacement, both the joining and the leaving member are voters. */
bool raft_is_voter(const struct raft_members *members, uint32_t node);

/** Whether it is a voter, and not being replaced. */
bool raft_is_lasting_voter(const struct raft_members *members, uint32_t node);

#endif
