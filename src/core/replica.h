/**
 * @file replica.h
 * A state replica: many consensus groups with their state machines behind
 * one log, one sync and one set of peers. Pure: it is driven by events with
 * a time, and acts through `replica_io`. The daemon, the simulator and the
 * fuzzers host the same code.
 *
 * Host's loop: hand over events (tick, receive), then call replica_flush(),
 * which syncs what the events wrote and releases what had to wait for it.
 */
#ifndef BANKBANK_CORE_REPLICA_H
#define BANKBANK_CORE_REPLICA_H

#include "core/membership.h"
#include "core/raft.h"
#include "core/state_machine.h"

enum {
    REPLICA_MAX_GROUPS = 64,           /**< Groups of one system. */
    REPLICA_SNAPSHOT_ENTRIES = 8192,   /**< Log entries of a group that trigger a snapshot. */
    REPLICA_LOG_BYTES = 64 << 20,      /**< Log kept in memory by all groups together; each has an equal share. */
    REPLICA_LOG_BYTES_LEAST = 1 << 20, /**< Least share of a group. */
    REPLICA_TRAILING_ENTRIES = 1024,   /**< Entries kept behind a snapshot for slow followers. */
    REPLICA_MAINTENANCE_MS = 200,      /**< Period of lease and expiry checks. */
    REPLICA_BALANCE_MS = 2000,         /**< Period of leader placement checks. */
    REPLICA_BLOCKED_MS = 50,           /**< Pause before a blocked disk is tried again. */
    REPLICA_EXPIRE_BATCH = 256,        /**< Programs expired by one entry. */
    REPLICA_HELD_KEPT = 256 << 10,     /**< Room for frames that wait for a sync, kept after a burst, in bytes. */
    REPLICA_MAX_JOINS = 128            /**< Machines that ask to join, or that wait until a member is gone. */
};

/** Outcome of a sync. */
enum replica_sync {
    REPLICA_SYNC_DONE,    /**< Everything written is durable. */
    REPLICA_SYNC_BLOCKED, /**< The disk takes nothing now, such as when it is full; to be tried again. */
    REPLICA_SYNC_FAILED   /**< The disk failed: nothing may be acknowledged any more. */
};

/** Effects of a replica, carried out by its host. */
struct replica_io {
    void *context; /**< First argument of the functions that concern the host. */
    void *disk;    /**< First argument of those that only write to or read from its disk. */
    /** Writes term and vote of a group. */
    void (*save_state)(void *disk, uint32_t group, uint64_t term, uint32_t vote);
    /** Writes a log entry; it replaces an existing one and all after it. */
    void (*append)(void *disk, uint32_t group, const struct raft_entry *entry);
    /** Makes all writes durable. */
    enum replica_sync (*sync)(void *context);
    /** Begins a snapshot of a group beside the stored one; false: not now. One at a time. */
    bool (*snapshot_begin)(void *context, uint32_t group, const struct raft_snapshot *snapshot);
    /** Adds the next bytes of its state; false: the disk does not take them. */
    bool (*snapshot_write)(void *disk, uint32_t group, struct view bytes);
    /** Makes texts, what was written to the log, and snapshot durable, in place of the stored one, and drops log
        entries that it covers, or all with `reset_log`; false: not now, and it is given up. */
    bool (*snapshot_commit)(void *context, uint32_t group, bool reset_log);
    /** Gives up what was begun. */
    void (*snapshot_abort)(void *disk, uint32_t group);
    /** Appends up to `most` bytes, from `at` on, of the state stored at `index`; nothing at its end. False: that
        snapshot is not there, or cannot be read. */
    bool (*snapshot_read)(void *disk, uint32_t group, uint64_t index, uint64_t at, size_t most, struct buffer *out);
    /** Sends an encoded Frame to a node, which may be this one. */
    void (*send)(void *context, uint32_t to, struct view frame);
    /** Before a sync that holds the thread up: puts on the wire what was sent. NULL: `send` does so by itself. */
    void (*push)(void *context);
};

/** Fixed settings of a replica. */
struct replica_config {
    uint32_t node;                /**< This node's id. */
    uint32_t groups;              /**< Number of groups, group 0 included. */
    struct raft_members members;  /**< Bootstrap members of every group. */
    uint32_t election_timeout_ms; /**< See raft_config. */
    uint32_t heartbeat_ms;        /**< See raft_config. */
    uint32_t first_election_ms;   /**< See raft_config. */
    uint32_t lease_ms;            /**< Lease granted by one heartbeat of a daemon. */
    uint64_t seed;                /**< Seed of election jitter. */
    uint32_t snapshot_entries;    /**< 0: REPLICA_SNAPSHOT_ENTRIES. */
    size_t log_bytes;             /**< 0: REPLICA_LOG_BYTES. */
    size_t log_bytes_most;        /**< Log in memory, of each group, above which no entry is taken; 0: no limit. */
    size_t state_bytes;           /**< Memory of turns and budgets above which no turn begins; 0: no limit. */
    bool self_organized;          /**< Nobody lists the members: they join, and are replaced when gone. */
    bool steady_stamps;           /**< Entries are stamped from the steady clock instead of the wall clock. */
};

/** A proposal or read whose sender waits for the outcome. */
struct replica_waiter {
    uint64_t key;        /**< Log index of a proposal, id of a read. */
    uint64_t term;       /**< Term of a proposal. */
    uint32_t from;       /**< Node that asked. */
    uint64_t request_id; /**< Its id for the request. */
    RequestKind kind;    /**< What was asked. */
    char *body;          /**< Query of a read, owned. */
    size_t length;       /**< Bytes of `body`. */
};

/** A growing queue of waiters in order. */
struct replica_waiters {
    struct replica_waiter *block; /**< Owned array. */
    struct replica_waiter *items; /**< The first waiter, in it. */
    size_t count;                 /**< Waiters. */
    size_t capacity;              /**< Allocated waiters. */
};

/** One group of a replica. */
struct replica_group {
    struct history_io history;        /**< Where texts are. */
    struct buffer dropped;            /**< struct history_ref of texts dropped since the stored snapshot. */
    uint64_t snapshot_after_ms;       /**< No snapshot before this time. */
    bool rewrite;                     /**< The stored snapshot has the form of an older version. */
    bool receiving;                   /**< A snapshot is being received. */
    uint64_t received_ms;             /**< When its last bytes came. */
    state_reader_t reader;            /**< Takes it apart. */
    struct raft raft;                 /**< Consensus. */
    struct state_machine machine;     /**< Replicated state. */
    struct replica_waiters proposals; /**< By log index. */
    struct replica_waiters reads;     /**< Linearizable reads. */
    uint64_t next_read;               /**< Last read id given. */
    bool expire_pending;              /**< An expiry entry is in the log. */
    uint64_t stamp_term;              /**< Steady stamps: term that the next two belong to. */
    uint64_t stamp_base_ms;           /**< Latest stamp applied when this replica began to lead. */
    uint64_t stamp_since_ms;          /**< Steady time then. */
};

/** Counters, one an event. */
struct replica_counters {
    uint64_t proposals;      /**< Entries proposed here. */
    uint64_t applied;        /**< Entries applied. */
    uint64_t syncs;          /**< Syncs that covered at least one write. */
    uint64_t synced_entries; /**< Log entries written. */
    uint64_t synced_bytes;   /**< Payload bytes written to the log. */
    uint64_t snapshots;      /**< Snapshots taken. */
    uint64_t installs;       /**< Snapshots received from a leader. */
    uint64_t role_changes;   /**< Role, term or leader changes of any group. */
    uint64_t refused;        /**< Proposals refused for want of memory. */
};

/** A state replica. */
struct replica {
    struct replica_config config;                    /**< Fixed settings. */
    struct replica_io io;                            /**< Effects. */
    struct replica_group *groups;                    /**< config.groups of them. */
    struct buffer held;                              /**< Frames that wait for the sync: u32 node, u32 length, bytes. */
    bool dirty;                                      /**< Something was written since the last sync. */
    bool failed;                                     /**< The disk failed; nothing is acknowledged any more. */
    uint64_t blocked_until_ms;                       /**< The disk is blocked; next try. 0: it is not. */
    uint64_t now_ms;                                 /**< Time of the current event. */
    uint64_t wall_offset_ms;                         /**< Wall clock minus monotonic clock, set by the host. */
    uint64_t maintenance_due_ms;                     /**< Next lease and expiry check. */
    uint64_t balance_due_ms;                         /**< Next leader placement check. */
    struct replica_counters counters;                /**< Events so far. */
    struct membership_join joins[REPLICA_MAX_JOINS]; /**< Machines that asked to join. */
};

/** Starts an empty replica; then restore, then replica_start(). */
void replica_init(struct replica *replica, const struct replica_config *config, const struct replica_io *io,
                  const struct history_io *history);

/** Frees it. */
void replica_close(struct replica *replica);

/** Restores the stored snapshot; false if it does not decode. */
bool replica_restore_snapshot(struct replica *replica, uint32_t group, const struct raft_snapshot *snapshot);

/** Starts all groups. */
void replica_start(struct replica *replica, uint64_t now_ms);

/** Advances time. */
void replica_tick(struct replica *replica, uint64_t now_ms);

/** The connection to a node ended. */
void replica_peer_lost(struct replica *replica, uint64_t now_ms, uint32_t node);

/** Handles a frame from node `from`. */
void replica_receive(struct replica *replica, uint64_t now_ms, uint32_t from, const Frame *frame);

/** Whether it holds all that was committed when a leader was heard last, an election timeout ago at most. */
bool replica_is_fresh(const struct replica *replica, uint32_t group, uint64_t now_ms);

/** Syncs pending writes and releases what waited for them. */
void replica_flush(struct replica *replica, uint64_t now_ms);

/**
 * Gives all leaderships away. Returns whether one is still held that another
 * replica can take: call again until it is false or time is up.
 */
bool replica_transfer_all(struct replica *replica, uint64_t now_ms);

#endif
