/**
 * @file scale.h
 * Hollow gateways: many daemons' control clients in one process, each with its
 * own node id, lease, configuration copy and connections to real state
 * replicas, speaking the real frames through the same core and links as
 * bankbankd. They serve no callers; instead a generator begins and finishes
 * program calls through them, and changes the configuration.
 */
#ifndef BANKBANK_SCALE_SCALE_H
#define BANKBANK_SCALE_SCALE_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/control_client.h"
#include "measure/samples.h"
#include "net/links.h"

enum { SCALE_MAX_CHANGES = 4096, SCALE_MAX_THREADS = 16 };

/** Settings of a run. */
struct scale_config {
    const char *cluster;                        /**< Cluster name. */
    uint32_t replica_count;                     /**< State replicas. */
    uint32_t replicas[RAFT_MAX_MEMBERS];        /**< Their node ids. */
    struct address addresses[RAFT_MAX_MEMBERS]; /**< Their peer addresses. */
    const char *metrics[RAFT_MAX_MEMBERS];      /**< Base URLs of the replicas' metrics. */
    uint32_t metrics_count;                     /**< Number of them. */
    uint32_t groups;                            /**< Groups of the system. */
    uint32_t gateways;                          /**< Hollow gateways. */
    uint32_t first_node;                        /**< Node id of the first one. */
    uint32_t threads;                           /**< Threads they share. */
    uint32_t programs;                          /**< Programs under way. */
    double calls_per_second;                    /**< Program calls: a begin and a finish each. */
    double changes_per_second;                  /**< Configuration changes. */
    uint32_t tenants;                           /**< Tenants to create first. */
    uint32_t engines;                           /**< Engines to put into pools first. */
    uint32_t pools;                             /**< Pools that share the engines. */
    uint32_t message_bytes;                     /**< Mean length of new messages and of answers. */
    double seconds;                             /**< Time measured. */
    uint64_t seed;                              /**< Seed of everything drawn. */
};

/** State of a generated program. */
enum scale_program_state { SCALE_PROGRAM_NEW, SCALE_PROGRAM_IDLE, SCALE_PROGRAM_BUSY };

/** A generated program. */
struct scale_program {
    char id[48];                    /**< Program id. */
    char attempt[40];               /**< Attempt of the call under way. */
    enum scale_program_state state; /**< What it waits for. */
    uint32_t call;                  /**< Next call number. */
    bool finishing;                 /**< The request under way is the finish. */
    uint64_t sent_us;               /**< Time it was sent. */
    uint32_t gateway;               /**< Hollow gateway that serves the call. */
};

/** A hollow gateway. */
struct hollow {
    struct scale_thread *thread;  /**< Thread that drives it. */
    struct control_client client; /**< The daemon's control client. */
    struct links links;           /**< Its connections. */
    uint64_t revision;            /**< Configuration revision in force. */
};

/** A thread and what it drives. */
struct scale_thread {
    struct scale *scale;            /**< The run. */
    pthread_t thread;               /**< Its handle. */
    uint32_t number;                /**< From 0. */
    struct hollow *hollows;         /**< Its gateways. */
    uint32_t hollow_count;          /**< Number of them. */
    struct scale_program *programs; /**< Its programs. */
    uint32_t program_count;         /**< Number of them. */
    uint32_t started;               /**< Programs whose creation was started. */
    uint32_t creating;              /**< Creations under way. */
    uint64_t random;                /**< State of its random source. */
    uint64_t now_ms;                /**< Time of the current round. */
    double next_call_us;            /**< Time of the next call. */
    uint64_t ready;                 /**< Gateways with a lease (atomic). */
    uint64_t calls;                 /**< Calls finished while measuring. */
    uint64_t refused;               /**< Requests that did not end as RESULT_OK. */
    uint64_t skipped;               /**< Calls not started, as no program was idle. */
};

/** A configuration change. */
struct scale_change {
    uint64_t revision;     /**< Its revision; 0: not known, or refused. */
    uint64_t submitted_us; /**< Time it was proposed. */
};

/** A revision came into force at a gateway. */
struct scale_arrival {
    uint64_t revision; /**< The revision. */
    uint64_t time_us;  /**< When. */
};

/** A run. */
struct scale {
    struct scale_config config;                     /**< Settings. */
    struct scale_thread threads[SCALE_MAX_THREADS]; /**< Threads. */
    struct samples begin;                           /**< Commit latency of begins, ms. */
    struct samples finish;                          /**< Commit latency of finishes, ms. */
    struct samples in_force; /**< Time from proposal to force, each change at each gateway, ms. */
    struct scale_change changes[SCALE_MAX_CHANGES]; /**< Changes by order; the first thread's. */
    uint32_t change_count;                          /**< Changes proposed. */
    bool change_waits;                              /**< The last one is not decided yet. */
    uint64_t configured;                            /**< Changes decided (atomic). */
    pthread_mutex_t lock;                           /**< Guards the arrivals. */
    struct scale_arrival *arrivals;                 /**< Revisions as they came into force. */
    size_t arrival_count;                           /**< Number of them. */
    uint64_t created;                               /**< Programs created (atomic). */
    bool measuring;                                 /**< Calls and changes are generated (atomic). */
    bool stopping;                                  /**< Threads must end (atomic). */
};

/** Starts and stops a hollow gateway. */
bool hollow_start(struct hollow *hollow, struct scale_thread *thread, uint32_t node);
void hollow_stop(struct hollow *hollow);

/** Lets it handle what has arrived. */
void hollow_step(struct hollow *hollow, uint64_t now_ms);

/** Sends an entry through it; its end reaches scale_complete(). */
void hollow_propose(struct hollow *hollow, uint32_t group, const Entry *entry, void *token);

/** Generates the load of a thread for one round. */
void scale_generate(struct scale_thread *thread);

/** A program's request, or a change (then `program` is NULL), ended. */
void scale_complete(struct hollow *hollow, struct scale_program *program, ResultCode code, uint64_t revision);

/** A gateway's configuration advanced. */
void scale_note_revision(struct hollow *hollow, uint64_t revision);

/** Changes that create the tenants and pools. */
uint32_t scale_setup_changes(const struct scale_config *config);

/** Proposes the next configuration change unless one is under way; called by the first thread. */
void scale_change_next(struct scale *scale);

/** Joins proposals and arrivals into the samples `in_force`. */
void scale_join_changes(struct scale *scale);

/** Number in [0, limit). */
uint64_t scale_random(struct scale_thread *thread, uint64_t limit);

#endif
