/**
 * @file sim.h
 * Deterministic simulation of a fleet in one process: state replicas and
 * hollow gateways run the daemon's own core objects over a virtual clock, a
 * seeded network and storage that loses what was not synced. Callers and
 * operators drive it, and an oracle checks every invariant of the product.
 *
 *   sim.c           the world: nodes, time, faults
 *   sim_disk.c      storage of a replica
 *   sim_network.c   messages in flight
 *   sim_callers.c   callers and their part of the oracle
 *   sim_operators.c operators and their part of the oracle
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
    SIM_MAX_GATEWAYS = 1024,
    SIM_MAX_CALLERS = 64,
    SIM_MAX_OPERATORS = 4,
    SIM_MAX_CALLS = 16,
    SIM_STEP_MS = 10,
    SIM_FAULT_TEXT = 160
};

/** What a schedule contains. */
struct sim_options {
    uint64_t seed;             /**< Decides everything. */
    uint32_t replicas;         /**< State replicas. */
    uint32_t groups;           /**< Groups, configuration group included. */
    uint32_t gateways;         /**< Hollow gateways. */
    uint32_t callers;          /**< Programs under way at a time. */
    uint32_t operators;        /**< Operators that change the configuration. */
    uint32_t chaos_ms;         /**< Time during which faults happen. */
    uint32_t calm_ms;          /**< Time to settle afterwards. */
    bool faults;               /**< Whether faults happen at all. */
    uint32_t snapshot_entries; /**< Entries between snapshots. */
    const uint8_t *choices;    /**< Decide instead of the seed until they are used up; NULL: none. */
    size_t choice_count;       /**< Their number. */
};

/** Storage of a replica. */
struct sim_disk_group {
    uint64_t term;                /**< Durable term. */
    uint32_t vote;                /**< Durable vote. */
    struct raft_log log;          /**< Durable entries. */
    struct raft_members members;  /**< Members at the snapshot. */
    struct buffer snapshot;       /**< Durable snapshot. */
    uint64_t snapshot_index;      /**< Last entry that it covers. */
    struct buffer writing;        /**< Snapshot that is being written. */
    struct raft_snapshot written; /**< What that one covers. */
};
/** A write that was not synced. */
struct sim_write {
    uint32_t group;          /**< Group. */
    bool is_entry;           /**< Entry, or term and vote. */
    uint64_t term;           /**< Term and vote. */
    uint32_t vote;           /**< Term and vote. */
    struct raft_entry entry; /**< Entry; owns its data. */
};
struct sim_disk {
    struct sim_disk_group groups[REPLICA_MAX_GROUPS]; /**< Durable state. */
    uint32_t group_count;                             /**< Groups. */
    struct sim_write *writes;                         /**< Not synced yet. */
    size_t write_count;                               /**< Their number. */
    struct buffer history;                            /**< Texts. */
    size_t history_synced;                            /**< Texts that are durable. */
};

/** A message in flight. */
struct sim_message {
    uint64_t due_ms; /**< Time of arrival. */
    uint64_t order;  /**< Tie breaker. */
    uint32_t from;   /**< Sender. */
    uint32_t to;     /**< Receiver. */
    uint8_t *data;   /**< Encoded frame. */
    size_t length;   /**< Bytes. */
};
struct sim_network {
    struct sim_message *heap; /**< Messages, earliest first. */
    size_t count;             /**< Messages. */
    size_t capacity;          /**< Allocated. */
    uint64_t order;           /**< Counter. */
    uint64_t sent;            /**< Messages sent so far. */
    uint64_t bytes;           /**< Their bytes. */
};

/** A node: a state replica, a gateway, or both. */
struct sim_node {
    struct sim *sim;              /**< The world. */
    uint32_t id;                  /**< Node id. */
    bool up;                      /**< Runs. */
    bool has_replica;             /**< Hosts a replica. */
    bool frozen;                  /**< Runs nothing for a while. */
    uint64_t until_ms;            /**< Time to restart or thaw. */
    uint64_t boot;                /**< Number of the start. */
    struct replica replica;       /**< Replica, while up. */
    struct sim_disk disk;         /**< Its storage. */
    struct control_client client; /**< Gateway's client, while up. */
    bool has_client;              /**< Runs a client. */
};

/** Where a caller stands. */
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

/** What the oracle knows of one call. */
struct sim_call {
    bool repeatable;   /**< May run again after a loss. */
    uint32_t runs;     /**< Times an engine ran it. */
    bool acknowledged; /**< The caller has its answer. */
    bool unknown;      /**< The caller was told so. */
    char answer[80];   /**< The acknowledged answer. */
};

/** One caller with one program at a time. */
struct sim_caller {
    struct sim *sim;                          /**< The world. */
    uint32_t number;                          /**< Position. */
    enum sim_caller_state state;              /**< Where it stands. */
    bool waiting;                             /**< A request is under way. */
    uint64_t ticket;                          /**< Id of that request; older answers are dropped. */
    uint32_t gateway;                         /**< Node it uses. */
    uint64_t due_ms;                          /**< Time of the next step. */
    char program[32];                         /**< Program id. */
    uint64_t programs;                        /**< Programs so far. */
    uint32_t call;                            /**< Current call. */
    uint32_t call_limit;                      /**< Calls this program will make. */
    char attempt[LEDGER_ATTEMPT_LENGTH + 1];  /**< Current attempt. */
    uint64_t granted;                         /**< Tokens granted to it. */
    uint64_t budget;                          /**< Budget of the program. */
    uint64_t consumed;                        /**< Tokens engines really used. */
    bool held;                                /**< An engine may hold memory of it. */
    struct sim_call calls[SIM_MAX_CALLS + 1]; /**< By call number. */
};

/** An operator. */
struct sim_operator {
    struct sim *sim;     /**< The world. */
    uint32_t number;     /**< Position. */
    bool waiting;        /**< A request is under way. */
    uint64_t ticket;     /**< Id of that request. */
    uint64_t due_ms;     /**< Time of the next step. */
    uint32_t gateway;    /**< Node it uses. */
    uint64_t changes;    /**< Changes so far. */
    bool undecided;      /**< The last change has no answer yet and is sent again. */
    uint64_t expected;   /**< Revision it expects. */
    uint64_t read_floor; /**< Highest acknowledged revision when a read began. */
    bool reading;        /**< The request is a read. */
    char request_id[32]; /**< Id of the change. */
    char name[32];       /**< Resource changed. */
    char value[32];      /**< New content. */
};

/** An acknowledged change. */
struct sim_change {
    uint64_t revision; /**< Revision it made. */
    char name[32];     /**< Resource. */
    char value[32];    /**< Content. */
};

/** Counts of what a schedule did. */
struct sim_counters {
    uint64_t calls, replays, unknowns, takeovers, changes, races_lost, crashes, cuts, freezes, installs, reads;
    uint64_t budget_refusals, timeouts;
};

/** The world. */
struct sim {
    struct sim_options options;                             /**< The schedule. */
    gsl_rng *random;                                        /**< Seeded. */
    size_t choices_used;                                    /**< Choices taken from the options. */
    uint64_t now_ms;                                        /**< Virtual time. */
    struct sim_network network;                             /**< Messages in flight. */
    struct sim_node *nodes;                                 /**< By id - 1: replicas, then gateways. */
    uint32_t node_count;                                    /**< Nodes. */
    bool *cut;                                              /**< Direction from-to is cut, node_count squared. */
    uint64_t cut_until_ms;                                  /**< End of the current cut. */
    uint32_t drop_percent, duplicate_percent, slow_percent; /**< Network quality. */
    struct sim_caller callers[SIM_MAX_CALLERS];             /**< Callers. */
    struct sim_operator operators[SIM_MAX_OPERATORS];       /**< Operators. */
    struct sim_change *changes;                             /**< Acknowledged changes. */
    size_t change_count;                                    /**< Their number. */
    uint64_t acknowledged_revision;                         /**< Highest of them. */
    uint64_t *applied_hashes[REPLICA_MAX_GROUPS];           /**< Hash of each applied entry, by index. */
    size_t applied_counts[REPLICA_MAX_GROUPS];              /**< Indexes known. */
    struct {
        uint64_t term;
        uint32_t node;
    } * leaders[REPLICA_MAX_GROUPS];          /**< Leader of each term seen. */
    size_t leader_counts[REPLICA_MAX_GROUPS]; /**< Their number. */
    uint64_t tickets;                         /**< Request counter. */
    bool calm;                                /**< Faults are over. */
    bool failed;                              /**< An invariant broke. */
    char failure[SIM_FAULT_TEXT];             /**< Which, and where. */
    struct sim_counters counters;             /**< What happened. */
};

/** Default schedule of a seed. */
struct sim_options sim_options_of_seed(uint64_t seed);

/** Runs a schedule; false: see `failure`. Close in any case. */
bool sim_run(struct sim *sim, const struct sim_options *options);
void sim_close(struct sim *sim);

/** Notes that an invariant broke; the first one is kept. */
void sim_fail(struct sim *sim, const char *format, ...) __attribute__((format(printf, 2, 3)));

/** A seeded number below `limit`, and a seeded yes with a probability. */
uint32_t sim_random(struct sim *sim, uint32_t limit);
bool sim_chance(struct sim *sim, uint32_t percent);

/** The node with an id. */
struct sim_node *sim_node(struct sim *sim, uint32_t id);

/** Some running gateway. */
uint32_t sim_pick_gateway(struct sim *sim);

/* sim_disk.c */
void sim_disk_init(struct sim_disk *disk, uint32_t groups);
void sim_disk_close(struct sim_disk *disk);
void sim_disk_crash(struct sim *sim, struct sim_disk *disk);
struct replica_io sim_disk_io(struct sim_node *node);
struct history_io sim_disk_history(struct sim_node *node);
void sim_disk_restore(struct sim_node *node);

/* sim_network.c */
void sim_network_send(struct sim *sim, uint32_t from, uint32_t to, struct view frame);
bool sim_network_pop(struct sim *sim, struct sim_message *message);
void sim_network_close(struct sim_network *network);

/* sim_callers.c */
void sim_callers_init(struct sim *sim);
void sim_callers_step(struct sim *sim);
void sim_callers_complete(struct sim *sim, uint64_t token, ResultCode code, struct view body);
void sim_callers_gateway_lost(struct sim *sim, uint32_t gateway);
void sim_callers_check(struct sim *sim);

/* sim_operators.c */
void sim_operators_init(struct sim *sim);
void sim_operators_step(struct sim *sim);
void sim_operators_complete(struct sim *sim, uint64_t token, ResultCode code, struct view body);
void sim_operators_gateway_lost(struct sim *sim, uint32_t gateway);
void sim_operators_check(struct sim *sim);

/** Sends a request of a caller or operator through its gateway. */
void sim_submit(struct sim *sim, uint32_t gateway, uint32_t group, RequestKind kind, const pb_msgdesc_t *fields,
                const void *message, uint64_t token);

/** Sends an entry that nobody waits for; the gateway repeats it for a long time. */
void sim_post(struct sim *sim, uint32_t gateway, uint32_t group, const Entry *entry);

#endif
