/**
 * @file settings.h
 * Settings of the daemon; command-line flags override the file.
 */
#ifndef BANKBANK_DAEMON_SETTINGS_H
#define BANKBANK_DAEMON_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/findings.h"
#include "base/yaml.h"
#include "core/raft.h"

enum { SETTINGS_MAX_GROUPS = 64 };

struct settings_replica {
    uint64_t node;
    char *address; /**< IP:PORT of its peer listener. */
    bool spare;    /**< Not an initial member; an operator can add it later. */
};

struct settings {
    char *cluster; /**< The same in all daemons of the fleet. */
    uint64_t node; /**< Id of this daemon, unique in the fleet. */
    char *zone;
    char *data;                   /**< Directory of the log and the histories; used with the state role. */
    bool state_role;              /**< Holds a replica of the state. */
    bool gateway_role;            /**< Serves callers. */
    char *caller_address;         /**< IP:PORT for callers. */
    char *operator_address;       /**< IP:PORT for operators. */
    char *peer_address;           /**< IP:PORT of the peer listener; empty: none (single daemon). */
    struct yaml_list replicas;    /**< Items: struct settings_replica; empty: single daemon. */
    uint64_t groups;              /**< Replicated groups, including the configuration group. */
    uint64_t election_timeout_ms; /**< Minimum; a jitter of up to the same length is added. */
    uint64_t heartbeat_ms;        /**< Period of leaders' heartbeats; at most a third of election_timeout_ms. */
    uint64_t lease_ms;            /**< Duration of a gateway's lease. */
    uint64_t threads;             /**< Serve callers; each thread serves one connection at a time. */
    uint64_t operator_threads;    /**< Serve operators; each thread serves one connection at a time. */
    uint64_t max_body_bytes;      /**< Upper limit of a caller's request. */
    uint64_t body_memory_bytes;   /**< Of all bodies (settings_body_memory_bytes()); 0: the default. */
    uint64_t call_timeout_ms;     /**< Of a call that sets no deadline. */
    uint64_t drain_timeout_ms;    /**< Longest wait for requests in flight at a planned stop. */
    bool allow_anonymous;         /**< Callers without a key belong to the tenant "anonymous". */
    char *machine_list_url;       /**< Empty: none. */
    char *log_level;              /**< error, warn, info or debug. */
};

/** Sets the defaults and reads the file; `path` NULL: defaults only. Adds errors to `findings`. */
void settings_load(struct settings *settings, const char *path, struct findings *findings);

/** Checks addresses, the log level and conditions that involve several keys; call it after applying the flags. */
void settings_check(const struct settings *settings, const char *path, struct findings *findings);

/** Memory of all bodies together, each of which counts HTTP_BODY_COPIES times (net/http.h). The default is 128 MB, or
 * what a single body of max_body_bytes needs. */
size_t settings_body_memory_bytes(const struct settings *settings);

void settings_close(struct settings *settings);

/** Initial members: the listed replicas that are not spares, or only this daemon if none are listed. */
void settings_members(const struct settings *settings, struct raft_members *members);

/** NULL if `node` is not a listed replica. */
const char *settings_replica_address(const struct settings *settings, uint32_t node);

#endif
