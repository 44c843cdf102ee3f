/**
 * @file settings.h
 * The daemon's settings file and flags. Flags override the file.
 */
#ifndef BANKBANK_DAEMON_SETTINGS_H
#define BANKBANK_DAEMON_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/findings.h"
#include "base/yaml.h"
#include "core/raft.h"

enum { SETTINGS_MAX_GROUPS = 64 };

/** A state replica of the fleet. */
struct settings_replica {
    uint64_t node; /**< Node id. */
    char *address; /**< IP:PORT of its peer link. */
    bool spare;    /**< Known, but not a member at first; added by an operator. */
};

/** All settings of one daemon. */
struct settings {
    char *cluster;                /**< Name that all daemons of the fleet share. */
    uint64_t node;                /**< This daemon's id, unique in the fleet. */
    char *zone;                   /**< Zone the machine stands in. */
    char *data;                   /**< Data folder; required with the state role. */
    bool state_role;              /**< Holds a replica of the state. */
    bool gateway_role;            /**< Serves callers. */
    char *caller_address;         /**< IP:PORT for callers. */
    char *operator_address;       /**< IP:PORT for operators. */
    char *peer_address;           /**< IP:PORT of the peer link; empty: none (one daemon alone). */
    struct yaml_list replicas;    /**< struct settings_replica; empty: this daemon alone. */
    uint64_t groups;              /**< Replicated groups, configuration group included. */
    uint64_t election_timeout_ms; /**< Least time without a leader before an election. */
    uint64_t heartbeat_ms;        /**< Leaders' heartbeat period. */
    uint64_t lease_ms;            /**< Lease of a gateway. */
    uint64_t threads;             /**< Threads that serve callers, one an open request. */
    uint64_t operator_threads;    /**< Threads that serve operators. */
    uint64_t max_body_bytes;      /**< Largest request body. */
    uint64_t call_timeout_ms;     /**< Time a call may take without another limit. */
    uint64_t drain_timeout_ms;    /**< Time a planned stop waits for requests in flight. */
    bool allow_anonymous;         /**< Callers without a key are tenant "anonymous". */
    char *machine_list_url;       /**< Platform's list of live and leaving machines, or empty. */
    char *log_level;              /**< error, warn, info or debug. */
};

/** Reads flags and file, and checks everything; faults go to `findings`. */
void settings_load(struct settings *settings, const char *path, struct findings *findings);

/** Checks what spans several keys; call after flags were applied. */
void settings_check(const struct settings *settings, const char *path, struct findings *findings);

/** Frees the settings. */
void settings_close(struct settings *settings);

/** Bootstrap members: the listed replicas that are not spare, or this daemon alone. */
void settings_members(const struct settings *settings, struct raft_members *members);

/** Address of a state replica, or NULL. */
const char *settings_replica_address(const struct settings *settings, uint32_t node);

#endif
