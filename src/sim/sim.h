/**
 * @file sim.h
 * Deterministic simulation of a fleet in one process. The daemon's own code for
 * state replicas and gateways' control clients runs with a virtual clock, a
 * simulated network with seeded faults, and storage that may lose unsynced
 * writes. An oracle checks the Raft invariants and the responses to simulated
 * callers and operators.
 */
#ifndef BANKBANK_SIM_SIM_H
#define BANKBANK_SIM_SIM_H

#include <stdbool.h>
#include <stdint.h>

#include <gsl/gsl_rng.h>

#include "core/control_client.h"
#include "core/replica.h"

enum {
    SIM_MAX_REPLICAS = 5,
    SIM_MAX_MACHINES = 8, /**< State replicas if disks are lost. */
    SIM_MAX_DISKS = 96,   /**< Disks that these machines have in one schedule. */
    SIM_MAX_GATEWAYS = 1024,
    SIM_MAX_CALLERS = 64,
    SIM_MAX_OPERATORS = 4,
    SIM_MAX_CALLS = 16,
    SIM_STEP_MS = 10,
    SIM_FAILURE_TEXT_BYTES = 160
};

/** Parameters of a schedule, which is one run of the simulation. */
struct sim_options {
    uint64_t seed;
    uint32_t replicas;
    uint32_t groups; /**< Including the configuration group. */
    uint32_t gateways;
    uint32_t callers; /**< Each runs one program at a time. */
    uint32_t operators;
    uint32_t fault_phase_ms;
    uint32_t settle_phase_ms; /**< Fault-free; follows the fault phase. */
    bool faults;
    uint32_t tolerated_disks;  /**< Machines whose disks may be lost at once (sim_disks.c). 0: replicas keep their disks
                                    and ids. */
    uint32_t tolerated_zones;  /**< With `tolerated_disks`: see membership_plan(). */
    uint32_t snapshot_entries; /**< Entries between snapshots. */
    const uint8_t *choices;    /**< Fuzz input that replaces random numbers until it is used up; NULL: none. */
    size_t choice_count;       /**< Bytes of `choices`. */
};

/** Durable storage of one group of a replica. */
struct sim_disk_group {
    uint64_t term;
    uint32_t vote;
    struct raft_log log;
    struct raft_members members; /**< Members as of the snapshot. */
    struct buffer snapshot;
    uint64_t snapshot_index;               /**< Last entry covered by `snapshot`. */
    struct buffer partial_snapshot;        /**< Snapshot that is being written. */
    struct raft_snapshot partial_metadata; /**< Index, term and members of `partial_snapshot`. */
};
/** An unsynced write: a log entry, or a term and vote. */
struct sim_write {
    uint32_t group;
    bool is_entry;
    uint64_t term;
    uint32_t vote;
    struct raft_entry entry; /**< Owns its data. */
};
struct sim_disk {
    struct sim_disk_group groups[REPLICA_MAX_GROUPS];
    uint32_t group_count;
    struct sim_write *writes; /**< Unsynced writes, oldest first. */
    size_t write_count;
    struct buffer history; /**< Conversation texts. */
    size_t history_synced; /**< Leading bytes of `history` that are durable. */
};

struct sim_message {
    uint64_t due_ms;   /**< Delivery time. */
    uint64_t sequence; /**< Send order, for messages with the same delivery time. */
    uint32_t from;
    uint32_t to;
    uint8_t *data; /**< Encoded Frame, owned. */
    size_t length;
};
struct sim_network {
    struct sim_message *heap; /**< In-flight messages; binary min-heap by (due_ms, sequence). */
    size_t count;
    size_t capacity;
    uint64_t next_sequence;
    uint64_t sent;  /**< Messages between different nodes, including dropped ones. */
    uint64_t bytes; /**< Bytes of these messages. */
};

/** A state replica or a gateway. If disks are lost, a replica's id belongs to its disk: a new disk is another node. */
struct sim_node {
    struct sim *sim;
    uint32_t id;
    bool absent;        /**< Its disk is lost or not in use yet: it never starts. */
    bool outside;       /**< A replica that has not joined the group; it has no state yet. */
    bool up;            /**< The process runs. */
    bool has_replica;   /**< A state replica; else a gateway. */
    bool frozen;        /**< The process is suspended: it handles no messages and no ticks. */
    uint64_t resume_ms; /**< Time at which a stopped process restarts, or a frozen one resumes. */
    uint64_t boot_count;
    struct replica replica;       /**< Valid while up and has_replica. */
    struct sim_disk disk;         /**< Kept across restarts. */
    struct control_client client; /**< Valid while up and not has_replica. */
    bool has_client;              /**< Not used. */
    struct raft_member_location location;
    struct raft_members first_members; /**< At the start of its log. */
    uint64_t join_due_ms;
};

/** A machine with a state replica, if disks are lost. */
struct sim_machine {
    uint32_t node;      /**< Id that belongs to its present disk. */
    bool disk_lost;     /**< Counts as lost: a disk was lost, and its successor has not had time to catch up. */
    uint64_t intact_ms; /**< Since when it and all others have run undisturbed. */
};

enum sim_caller_state {
    SIM_CALLER_CREATE,
    SIM_CALLER_BEGIN,
    SIM_CALLER_WAIT_BEGIN,
    SIM_CALLER_RUNNING,
    SIM_CALLER_WAIT_FINISH,
    SIM_CALLER_READ,
    SIM_CALLER_END,
    SIM_CALLER_DONE
};

/** What the oracle recorded about one call. */
struct sim_call {
    bool repeatable;    /**< May run again when its outcome is unknown. */
    uint32_t run_count; /**< Times that an engine ran it. */
    bool acknowledged;  /**< The caller received its answer. */
    bool unknown;       /**< The caller received RESULT_UNKNOWN. */
    char acknowledged_answer[80];
};

struct sim_caller {
    struct sim *sim;
    uint32_t index; /**< In sim.callers. */
    enum sim_caller_state state;
    bool waiting;            /**< A request is in flight. */
    uint64_t correlation_id; /**< Of the last request; responses to older ones are dropped. */
    uint32_t gateway;        /**< Node id of the gateway that it uses; 0: none yet. */
    uint64_t due_ms;         /**< Time of the next step. */
    char program[32];        /**< Program id. */
    uint64_t program_count;  /**< Programs started so far. */
    uint32_t call;           /**< Current call, from 1. */
    uint32_t call_count;     /**< Calls in this program. */
    char attempt[LEDGER_ATTEMPT_LENGTH + 1];
    uint64_t granted_tokens; /**< Completion tokens granted to the attempt. */
    uint64_t budget_tokens;
    uint64_t used_tokens; /**< Tokens that engines used for the program. */
    bool needs_release;   /**< An engine may cache the program's prompts; replicas must record a release. */
    struct sim_call calls[SIM_MAX_CALLS + 1]; /**< By call number. */
};

struct sim_operator {
    struct sim *sim;
    uint32_t index;          /**< In sim.operators. */
    bool waiting;            /**< A request is in flight. */
    uint64_t correlation_id; /**< Of the last request; responses to older ones are dropped. */
    uint64_t due_ms;         /**< Time of the next step. */
    uint32_t gateway;        /**< Node id of the gateway that it uses; 0: none yet. */
    uint64_t change_count;
    bool outcome_unknown;       /**< The last change has no response yet; it is retried until it has one. */
    uint64_t expected_revision; /**< Revision on which the next change is based. */
    uint64_t min_read_revision; /**< Highest acknowledged revision when the read started. */
    bool reading;               /**< The last request is a read. */
    char request_id[32];        /**< Request id of the change, the same in all retries. */
    char name[32];              /**< Name of the changed resource. */
    char value[32];             /**< New content of the resource. */
};

/** An acknowledged configuration change. */
struct sim_change {
    uint64_t revision; /**< Revision that it created. */
    char name[32];     /**< Name of the resource. */
    char value[32];    /**< Content of the resource. */
};

/** Event counts of a schedule. bankbank-sim sums them as an array: uint64_t members only. */
struct sim_counters {
    uint64_t calls, replays, unknowns, repeated_runs, changes, revision_conflicts, crashes, partitions, freezes,
        installs, reads;
    uint64_t budget_refusals, timeouts;
    uint64_t disk_losses, moves, member_changes;
    uint64_t digests; /**< Comparisons of a replica's state with that of another one, or of its own earlier run. */
};

/** Digests of a group's state by log index; 0: not known yet. */
struct sim_digests {
    uint64_t *values;
    size_t capacity;
};

struct sim {
    struct sim_options options;
    gsl_rng *random;
    size_t choices_used; /**< Bytes of options.choices used so far. */
    uint64_t now_ms;     /**< Virtual time. */
    struct sim_network network;
    struct sim_node *nodes; /**< Node with id i at i - 1: replicas, then gateways. */
    uint32_t node_count;
    bool *partitioned; /**< node_count x node_count, by sender and receiver: messages are dropped. */
    uint64_t partition_end_ms;
    uint32_t drop_percent, duplicate_percent, slow_percent; /**< Chances of message faults. */
    struct sim_caller callers[SIM_MAX_CALLERS];
    struct sim_operator operators[SIM_MAX_OPERATORS];
    struct sim_change *changes; /**< Acknowledged changes. */
    size_t change_count;
    uint64_t acknowledged_revision;               /**< Highest acknowledged revision. */
    uint64_t *applied_hashes[REPLICA_MAX_GROUPS]; /**< Hash of each applied entry, by index; 0: not applied yet. */
    size_t applied_capacities[REPLICA_MAX_GROUPS];
    struct sim_digests digests[REPLICA_MAX_GROUPS];
    uint64_t site_turns; /**< Turns proposed so far. */
    struct {
        uint64_t term;
        uint32_t node;
    } * leaders[REPLICA_MAX_GROUPS]; /**< Observed leaders, one per term. */
    size_t leader_counts[REPLICA_MAX_GROUPS];
    uint64_t last_id;                     /**< Last id given to a request or an attempt. */
    bool settling;                        /**< The fault phase is over. */
    bool failed;                          /**< An invariant was violated. */
    char failure[SIM_FAILURE_TEXT_BYTES]; /**< Description of the first violation. */
    struct sim_counters counters;
    struct sim_machine machines[SIM_MAX_MACHINES]; /**< If disks are lost; options.replicas of them. */
    uint64_t members_index;                        /**< Latest change of members that a leader made. */
    uint64_t members_fault_ms;                     /**< Time of the fault that follows it; 0: none. */
};

struct sim_options sim_options_of_seed(uint64_t seed);

/** Options of a schedule in which machines lose their disks, and some return at another address. */
struct sim_options sim_disk_options_of_seed(uint64_t seed);

/** Runs a schedule. False: an invariant was violated, see `failure`. Call sim_close() in either case. */
bool sim_run(struct sim *sim, const struct sim_options *options);
void sim_close(struct sim *sim);

/** Records the violation of an invariant; only the first one is kept. */
void sim_fail(struct sim *sim, const char *format, ...) __attribute__((format(printf, 2, 3)));

/** Returns a random number in [0, limit), or 0 for limit 0. */
uint32_t sim_random(struct sim *sim, uint32_t limit);
/** Returns true with a probability of `percent`. */
bool sim_chance(struct sim *sim, uint32_t percent);

struct sim_node *sim_node(struct sim *sim, uint32_t id);

/** Whether a replica runs and has joined the group. */
bool sim_is_replica_running(const struct sim_node *node);

void sim_start_node(struct sim_node *node);
void sim_stop_node(struct sim_node *node);

/** Stops a node as by a loss of power; it restarts after 100 ms and a random time below `max_downtime_ms`. */
void sim_crash(struct sim *sim, struct sim_node *node, uint32_t max_downtime_ms);
void sim_freeze(struct sim *sim, struct sim_node *node);
void sim_start_partition(struct sim *sim);
/** Isolates the leader of a group from all other nodes, if the group has a leader. */
void sim_isolate_leader(struct sim *sim, uint32_t group);

/** Returns the node id of a random running gateway, or of a stopped one if none runs. */
uint32_t sim_pick_gateway(struct sim *sim);

/* sim_disk.c */
void sim_disk_init(struct sim_disk *disk, uint32_t groups);
void sim_disk_close(struct sim_disk *disk);
void sim_disk_crash(struct sim *sim, struct sim_disk *disk);
struct replica_io sim_disk_io(struct sim_node *node);
struct history_io sim_disk_history(struct sim_node *node);
void sim_disk_restore(struct sim_node *node);

/* sim_disks.c */
void sim_disks_init(struct sim *sim);
void sim_disks_inject_fault(struct sim *sim);
/** Per step: joins of replicas outside the group, members known to gateways, and faults beside changes of members. */
void sim_disks_step(struct sim *sim);
/** Handles a message for a replica outside the group. */
void sim_disks_receive(struct sim_node *node, const Frame *frame);
/** Whether a replica must have everything at the end of the schedule. */
bool sim_disks_is_member(struct sim *sim, const struct sim_node *node);
/** At the end: whether the group has a leader, and all of its voters run. */
void sim_disks_check(struct sim *sim);

/* sim_network.c */
void sim_network_send(struct sim *sim, uint32_t from, uint32_t to, struct view frame);
bool sim_network_pop(struct sim *sim, struct sim_message *message);
void sim_network_close(struct sim_network *network);

/* sim_callers.c */
void sim_callers_init(struct sim *sim);
void sim_callers_step(struct sim *sim);
void sim_callers_complete(struct sim *sim, uint64_t token, ResultCode code, struct view body);
void sim_callers_gateway_stopped(struct sim *sim, uint32_t gateway);
void sim_callers_check(struct sim *sim);

/* sim_operators.c */
void sim_operators_init(struct sim *sim);
void sim_operators_step(struct sim *sim);
void sim_operators_complete(struct sim *sim, uint64_t token, ResultCode code, struct view body);
void sim_operators_gateway_stopped(struct sim *sim, uint32_t gateway);
void sim_operators_check(struct sim *sim);

/* sim_state.c */
void sim_state_step(struct sim *sim);
/** Checks that the group's state equals that of all other replicas at the same index. */
void sim_state_check(struct sim *sim, const struct sim_node *node, uint32_t group);
void sim_state_close(struct sim *sim);

/** Submits a request of a caller or operator to its gateway; `token` is passed to the completion callbacks. Its lowest
 * bit is 1 for operators, the others are the correlation id, whose lowest byte is the caller's or operator's index. */
void sim_submit(struct sim *sim, uint32_t gateway, uint32_t group, RequestKind kind, const pb_msgdesc_t *fields,
                const void *message, uint64_t token);

/** Proposes an entry through a gateway without waiting for the result; the gateway retries for an hour. */
void sim_submit_async(struct sim *sim, uint32_t gateway, uint32_t group, const Entry *entry);

#endif
