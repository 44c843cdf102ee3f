/**
 * @file replica.h
 * A state replica: consensus groups with their state machines, which share one
 * log on disk, one sync and one set of peers. It does no I/O and reads no clock:
 * its host passes it events with their time, and implements `replica_io`.
 *
 * Host's loop: pass events (tick, receive), then call replica_flush(), which
 * syncs what the events wrote and sends the messages that waited for the sync.
 */
#ifndef BANKBANK_CORE_REPLICA_H
#define BANKBANK_CORE_REPLICA_H

#include "core/membership.h"
#include "core/raft.h"
#include "core/state_machine.h"

enum {
    REPLICA_MAX_GROUPS = 64,
    REPLICA_SNAPSHOT_ENTRIES = 8192,       /**< Entries applied since a group's last snapshot that trigger the next. */
    REPLICA_LOG_BYTES = 64 << 20,          /**< Log in memory of all groups; a group that reaches its equal share is due
                                              for a snapshot. */
    REPLICA_MIN_LOG_BYTES = 1 << 20,       /**< Minimum share of a group. */
    REPLICA_TRAILING_ENTRIES = 1024,       /**< Log entries covered by a snapshot but kept for slow followers. */
    REPLICA_MAINTENANCE_MS = 200,          /**< Period of lease, expiry and membership checks. */
    REPLICA_LEADER_PLACEMENT_MS = 2000,    /**< Period of leader placement checks. */
    REPLICA_SYNC_RETRY_MS = 50,            /**< Delay after REPLICA_SYNC_BLOCKED. */
    REPLICA_EXPIRE_BATCH = 256,            /**< Maximum number of programs expired by one log entry. */
    REPLICA_DIGEST_PERIOD_MS = 2000,       /**< Between digests of the state, in the time of its entries. */
    REPLICA_DIGESTS = 16,                  /**< Digests kept; followers are rarely further behind. */
    REPLICA_KEPT_BUFFER_BYTES = 256 << 10, /**< Capacity above which `pending_frames` is freed once sent. */
    REPLICA_MAX_JOINS = 128 /**< Join requests kept, even if the group has no room; the oldest is replaced. */
};

enum replica_sync_result {
    REPLICA_SYNC_DONE,    /**< Everything written is durable. */
    REPLICA_SYNC_BLOCKED, /**< The disk accepts no writes now, such as when it is full; retry later. */
    REPLICA_SYNC_FAILED   /**< The disk failed; nothing may be acknowledged any more. */
};

/** Callbacks through which a replica acts, implemented by its host. */
struct replica_io {
    void *context;
    void *disk; /**< Passed to the callbacks that only access the disk. */
    void (*save_state)(void *disk, uint32_t group, uint64_t term, uint32_t vote);
    /** Writes a log entry; it replaces the entry at its index and all later ones. */
    void (*append)(void *disk, uint32_t group, const struct raft_entry *entry);
    /** Makes all writes durable. */
    enum replica_sync_result (*sync)(void *context);
    /** Begins writing a group's new snapshot, one at a time; the stored one is kept. False: not possible now. */
    bool (*snapshot_begin)(void *context, uint32_t group, const struct raft_snapshot *snapshot);
    /** Writes the next bytes of the snapshot; false: the disk does not accept them. */
    bool (*snapshot_write)(void *disk, uint32_t group, struct view bytes);
    /** Makes history texts, log and snapshot durable, replaces the stored snapshot, and deletes the log entries that it
        covers, or all entries with `reset_log`. False: not possible now; the new snapshot is discarded. */
    bool (*snapshot_commit)(void *context, uint32_t group, bool reset_log);
    /** Discards the snapshot being written. */
    void (*snapshot_abort)(void *disk, uint32_t group);
    /** Appends up to `max_bytes` bytes, from `offset`, of the snapshot stored at `index`; nothing at its end. False:
        that snapshot does not exist or cannot be read. */
    bool (*snapshot_read)(void *disk, uint32_t group, uint64_t index, uint64_t offset, size_t max_bytes,
                          struct buffer *out);
    /** Sends an encoded Frame to a node, which may be this one. */
    void (*send)(void *context, uint32_t to, struct view frame);
    /** The leader has compared the digest of a member's state with its own, and the result changed; may be NULL. */
    void (*digest_compared)(void *context, uint32_t group, uint32_t node, uint64_t index, bool differs);
    /** Writes buffered frames to the network, before a sync blocks the thread. NULL: `send` does not buffer. */
    void (*flush_output)(void *context);
};

struct replica_config {
    uint32_t node;
    uint32_t groups;                    /**< Includes group 0. */
    struct raft_members members;        /**< Bootstrap members of every group. */
    uint32_t election_timeout_ms;       /**< See raft_config. */
    uint32_t heartbeat_ms;              /**< See raft_config. */
    uint32_t short_election_timeout_ms; /**< See raft_config. */
    uint32_t lease_ms;                  /**< Lease granted by one heartbeat of a daemon. */
    uint64_t seed;                      /**< Seed of election jitter. */
    uint32_t snapshot_entries;          /**< 0: REPLICA_SNAPSHOT_ENTRIES. */
    size_t snapshot_log_bytes;          /**< Log size of all groups at which snapshots are due; 0: REPLICA_LOG_BYTES. */
    size_t max_log_bytes;               /**< Log size in memory at which a group refuses entries; 0: no limit. */
    size_t max_state_bytes;             /**< Memory of turns and budgets at which new turns are refused; 0: no limit. */
    bool full_digests;                  /**< For tests: a STATE_DIGEST_FULL after each entry. */
    uint32_t tolerated_zones;           /**< Zones that may be lost at once, see membership_plan(). */
    bool auto_membership;               /**< Members join by themselves and are replaced when unreachable. */
    bool monotonic_timestamps;          /**< Entries get timestamps of a monotonic clock, not the wall clock. */
};

/** A proposal or read whose sender waits for the outcome. */
struct replica_waiter {
    uint64_t key;        /**< Log index of a proposal, id of a read. */
    uint64_t term;       /**< Proposals only. */
    uint32_t from;       /**< Node that sent the request; RAFT_NO_NODE: this replica. */
    uint64_t request_id; /**< Assigned by the sender. */
    RequestKind kind;
    char *body; /**< Query of a read, owned. */
    size_t length;
};

/** A FIFO queue of waiters that grows as needed. */
struct replica_waiters {
    struct replica_waiter *block; /**< Owned array. */
    struct replica_waiter *items; /**< First waiter, within `block`. */
    size_t count;
    size_t capacity; /**< Of `block`. */
};

/** Digest of a group's state (state_digest.h). */
typedef struct replica_digest_t {
    uint64_t index; /**< Last entry that it covers; 0: unused. */
    uint64_t value;
} replica_digest_t;

/** A leader's last comparison of its state with that of a member. */
typedef struct replica_comparison_t {
    uint32_t node; /**< RAFT_NO_NODE: unused. */
    uint64_t index;
    bool differs;
} replica_comparison_t;

struct replica_group {
    struct history_io history;  /**< The host's store; the state machine uses replica_group_history(). */
    struct buffer released;     /**< Array of struct history_ref: texts released since the stored snapshot. */
    uint64_t snapshot_after_ms; /**< No snapshot before this time. */
    bool snapshot_is_legacy;    /**< The stored snapshot has an older format: write a new one. */
    bool receiving;             /**< A snapshot is being received. */
    uint64_t received_ms;       /**< Time its last bytes arrived. */
    state_reader_t reader;      /**< Parser of the received snapshot. */
    struct raft raft;
    struct state_machine machine;
    struct replica_waiters proposals; /**< In order of log index. */
    struct replica_waiters reads;
    uint64_t last_read_id;
    replica_digest_t digests[REPLICA_DIGESTS]; /**< A ring. */
    size_t last_digest;                        /**< Position of the latest one. */
    uint64_t sent_digest_index;                /**< Of the last digest sent to a leader; 0: none. */
    replica_comparison_t comparisons[RAFT_MAX_MEMBERS];
    bool expire_pending;         /**< An expiry entry was proposed, and no entry was applied since. */
    uint64_t timestamp_term;     /**< Monotonic timestamps: term of the next two fields. */
    uint64_t timestamp_base_ms;  /**< Latest timestamp applied when this leader first proposed. */
    uint64_t timestamp_since_ms; /**< Monotonic time at that moment. */
};

struct replica_counters {
    uint64_t proposals; /**< Entries proposed here. */
    uint64_t applied;
    uint64_t syncs;            /**< Syncs that covered at least one write. */
    uint64_t written_entries;  /**< Log entries written, whether synced or not. */
    uint64_t written_bytes;    /**< Payload of these entries. */
    uint64_t snapshots;        /**< Snapshots written of this replica's state. */
    uint64_t installs;         /**< Snapshots received from a leader and installed. */
    uint64_t role_changes;     /**< Role, term or leader changes of any group. */
    uint64_t refused;          /**< Proposals refused because of a memory limit. */
    uint64_t replacements;     /**< Replacements of a voter by a learner proposed here. */
    uint64_t digests_compared; /**< Digests of members compared with this leader's own. */
    uint64_t digests_differing;
};

struct replica {
    struct replica_config config;
    struct replica_io io;
    struct replica_group *groups; /**< Array of config.groups, owned. */
    struct buffer pending_frames; /**< Frames to send after the sync: u32 node, u32 length, bytes. */
    bool dirty;                   /**< Something was written since the last sync. */
    bool failed;                  /**< The disk failed; nothing is acknowledged any more. */
    uint64_t blocked_until_ms;    /**< Disk blocked: time of the next sync; 0: not blocked. */
    uint64_t now_ms;              /**< Time of the current event. */
    uint64_t wall_offset_ms;      /**< Wall clock minus monotonic clock, set by the host. */
    uint64_t maintenance_due_ms;
    uint64_t leader_placement_due_ms;
    struct replica_counters counters;
    struct membership_join joins[REPLICA_MAX_JOINS];
};

/** Initializes an empty replica; restore its state next, then call replica_start(). */
void replica_init(struct replica *replica, const struct replica_config *config, const struct replica_io *io,
                  const struct history_io *history);

void replica_close(struct replica *replica);

/** Restores the stored snapshot; false if it cannot be read or decoded. */
bool replica_restore_snapshot(struct replica *replica, uint32_t group, const struct raft_snapshot *snapshot);

void replica_start(struct replica *replica, uint64_t now_ms);

void replica_tick(struct replica *replica, uint64_t now_ms);

void replica_peer_disconnected(struct replica *replica, uint64_t now_ms, uint32_t node);

void replica_receive(struct replica *replica, uint64_t now_ms, uint32_t from, const Frame *frame);

/** False if the disk failed; else see raft_is_fresh(). */
bool replica_is_fresh(const struct replica *replica, uint32_t group, uint64_t now_ms);

/** Time stamp for an entry that the group's leader proposes now; see also replica_config.monotonic_timestamps. */
uint64_t replica_timestamp_ms(struct replica *replica, uint32_t group);

/** Whether this replica leads the group and has applied all that earlier leaders committed. */
bool replica_leads_applied(const struct replica *replica, uint32_t group);

/** Logs a failure that `from` reported in `request`. Once the entry is applied, `from` gets a QuarantineNotice with the
 * operation if it is quarantined. False: not proposed. */
bool replica_record_failure(struct replica *replica, uint64_t now_ms, uint32_t from, const Request *request,
                            const OperationFailure *failure);

/** Logs the version of a service that the leader's list of servers shows. False: not proposed. */
bool replica_record_version(struct replica *replica, uint64_t now_ms, const ServiceVersion *version);

/** Sends entries, syncs pending writes, sends the frames that waited for the sync, and writes due snapshots. */
void replica_flush(struct replica *replica, uint64_t now_ms);

/** Members whose state differed from this leader's when last compared; 0 if this replica does not lead. */
uint32_t replica_diverged_members(const struct replica *replica, uint32_t group);

/**
 * Starts to transfer the leadership of all groups. Returns whether this replica
 * still leads a group that another member can take over: call it again until it
 * returns false or the time is up.
 */
bool replica_transfer_all(struct replica *replica, uint64_t now_ms);

#endif
