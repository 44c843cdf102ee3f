/**
 * @file node_settings.h
 * Settings of a daemon that finds its peers by itself: a gateway in front of
 * a site's servers, or a state replica of that site.
 */
#ifndef BANKBANK_PROXY_NODE_SETTINGS_H
#define BANKBANK_PROXY_NODE_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/findings.h"
#include "base/yaml.h"
#include "core/zone_set.h"

/** Where a state replica was reachable when the settings were written. */
struct node_seed {
    char *address; /**< IP:PORT of its control address; the peer port is the same for all. */
};

/** All settings. */
struct node_settings {
    char *name;               /**< Machine's name, unique in the site. */
    char *zone;               /**< Zone the machine stands in. */
    char *ip;                 /**< Machine's IPv4 address. */
    uint64_t peer_port;       /**< Port of peer links, the same on all machines. */
    bool bootstrap;           /**< First start of the whole site: the seeds form it. */
    char *data;               /**< Data folder; empty: no state replica. */
    char *caller_address;     /**< IP:PORT for callers; empty: no gateway. */
    char *ready_address;      /**< IP:PORT of the readiness question, or empty. */
    char *control_address;    /**< IP:PORT for operators, or empty. */
    char *metrics_address;    /**< IP:PORT of the metrics, or empty. */
    char *machine_list;       /**< IP:PORT of the platform's machine list. */
    struct yaml_list seeds;   /**< struct node_seed. */
    struct yaml_list zones;   /**< zone_place_t; none: they are not told. */
    uint64_t quota_window_ms; /**< Window over which limits of tenants are judged; 0: none told. */
    uint64_t quota_overshoot; /**< Thousandths of a limit by which it may be missed. */
    uint64_t quota_slack;     /**< Requests by which it may be missed besides. */
    uint64_t start_overshoot; /**< Thousandths: multiple of the rate of servers that have just started; 0: 1,000. */
    uint64_t start_slack;     /**< Requests a second that they may get besides. */
    uint64_t closed_port;     /**< Taken since deployments tell it to the version before; without effect. */
    uint64_t refer_above;     /**< Watchers of a state replica above which it refers them to others (core/watch.h). */
    uint64_t list_period_ms;  /**< Pause between two readings of the machine list. */
    uint64_t grace_ms;        /**< Time a stop may take. */
    uint64_t memory_mb;       /**< Memory that the process may use; 0: it sets no bounds by it. */
    uint64_t log_lines_per_s; /**< Log lines a second of each kind. */
    char *log_level;          /**< error, warn, info or debug. */
};

/**
 * Variable of the environment that holds further settings, in the form of the
 * file. A file with a key that a version does not know is refused by it, so
 * that a misspelt key is found; settings that a fleet of two versions needs stand
 * here as long as the older one is in service.
 */
#define NODE_SETTINGS_FURTHER "BANKBANK_FURTHER"

/** Reads and checks the file and what the environment adds; faults go to `findings`. */
void node_settings_load(struct node_settings *settings, const char *path, struct findings *findings);

/** Frees the settings. */
void node_settings_close(struct node_settings *settings);

#endif
