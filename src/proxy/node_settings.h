/**
 * @file node_settings.h
 * Settings of a site daemon (node.h).
 */
#ifndef BANKBANK_PROXY_NODE_SETTINGS_H
#define BANKBANK_PROXY_NODE_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/findings.h"
#include "base/yaml.h"
#include "core/zone_set.h"

/** A state replica to connect to, to learn the group's members; it need not be a member any more. */
struct node_seed {
    char *address; /**< IP:PORT of its control address; peer links use the IP with `peer_port`. */
};

struct node_settings {
    char *name; /**< Unique in the site. */
    char *zone;
    char *ip;                 /**< IPv4 address. */
    uint64_t peer_port;       /**< Port of links between daemons, the same on all machines. */
    bool bootstrap;           /**< The seeds form the replica group if there is none yet. */
    char *data;               /**< Data directory; empty: no state replica. */
    char *caller_address;     /**< IP:PORT for callers; empty: no gateway. */
    char *ready_address;      /**< IP:PORT of the readiness probe, or empty. */
    char *control_address;    /**< IP:PORT for operators, or empty. */
    char *metrics_address;    /**< IP:PORT of the metrics, or empty. */
    char *machine_list;       /**< IP:PORT of the platform's machine list. */
    struct yaml_list seeds;   /**< struct node_seed. */
    struct yaml_list zones;   /**< zone_info_t; empty: unknown. */
    uint64_t quota_window_ms; /**< Window of tenants' rate limits; 0: not set. */
    uint64_t quota_overshoot; /**< Thousandths of a limit by which it may be exceeded. */
    uint64_t quota_slack;     /**< Additional requests above a limit. */
    uint64_t start_overshoot; /**< Factor on the rate limit of starting servers, in thousandths; 0: 1,000. */
    uint64_t start_slack;     /**< Requests per second that a starting server may get in addition. */
    uint64_t closed_port;     /**< Unused; accepted for compatibility with the previous version. */
    uint64_t refer_above;     /**< Number of watchers above which a replica refers them to relays (core/watch.h). */
    uint64_t list_period_ms;  /**< Fetch period of the machine list. */
    uint64_t grace_ms;        /**< Time limit of a graceful stop. */
    uint64_t memory_mb;       /**< Memory that the process may use (core/memory_budget.h); 0: fixed defaults. */
    uint64_t max_connections; /**< Of callers; 0: a part of the process's descriptors (proxy/client_limits.h). */
    uint64_t tolerated_zones; /**< Zones that may be lost at once; 0: zones are not treated as failure domains. */
    uint64_t
        server_drain_ms; /**< Time for which a draining server may get requests that resume its version's streams. */
    uint64_t
        quarantine_servers;   /**< Failures of servers that quarantine an operation (core/quarantine.h); 0: none do. */
    uint64_t quarantine_ms;   /**< Duration of a quarantine. */
    uint64_t log_lines_per_s; /**< Limit for each kind of log line. */
    char *log_level;          /**< error, warn, info or debug. */
};

/**
 * Environment variables with additional settings, in the format of the file.
 * Unknown keys are errors, so during a rolling upgrade settings that the older
 * version does not know are passed in a variable that it does not read.
 */
#define NODE_SETTINGS_ENV "BANKBANK_FURTHER"
#define NODE_SETTINGS_ENV_2 "BANKBANK_FURTHER_2"
#define NODE_SETTINGS_ENV_3 "BANKBANK_FURTHER_3"
#define NODE_SETTINGS_ENV_4 "BANKBANK_FURTHER_4"

/** Reads the file, then the variables; errors are added to `findings`. */
void node_settings_load(struct node_settings *settings, const char *path, struct findings *findings);

void node_settings_close(struct node_settings *settings);

#endif
