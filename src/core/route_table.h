/**
 * @file route_table.h
 * A site's configuration in typed form: routes by host and path prefix,
 * services, tenants with their keys, and limits of what clients may send.
 * Immutable once checked; a request holds a reference to the one it began under.
 *
 * Keys are held by a 128-bit hash under a secret of the process: the table
 * cannot be made to tell them, and the time of a look-up depends on a hash that
 * a caller cannot compute, not on how much of a key was guessed.
 */
#ifndef BANKBANK_CORE_ROUTE_TABLE_H
#define BANKBANK_CORE_ROUTE_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "base/findings.h"
#include "base/view.h"

/** What may be repeated. */
enum route_kind {
    ROUTE_SAFE,  /**< May run more than once. */
    ROUTE_ONCE,  /**< At most once for each attempt of a client. */
    ROUTE_STREAM /**< Answers as a series of events; at most once unless resumable. */
};

/** Regions that may serve, store and be told what is said; none named: all. */
typedef struct route_regions_t {
    char **names;   /**< Owned names. */
    uint32_t count; /**< Number of those. */
} route_regions_t;

/** One of the services that share a route. */
struct route_part {
    char *service;   /**< Name. */
    uint32_t weight; /**< Relative share. */
    int64_t credit;  /**< Smooth weighted round robin. */
};

/** A route. */
struct route {
    char *name;                 /**< For logs. */
    char *host;                 /**< Host it serves. */
    char *prefix;               /**< Begin of the paths it serves, with slashes at both ends. */
    enum route_kind kind;       /**< What may be repeated. */
    uint64_t timeout_ms;        /**< Longest time a request is held. */
    uint64_t target_latency_ms; /**< Time within which an answer is worth its full credit. */
    uint64_t target_gap_ms;     /**< Longest pause between events that is in time; 0: none told. */
    uint32_t priority;          /**< Rank, 0 is the highest. */
    uint32_t max_attempts;      /**< Most servers that one attempt of a client may run on. */
    bool turns;                 /**< Its requests are turns of programs. */
    bool stateful;              /**< What was said is kept here. */
    uint64_t retention_ms;      /**< How long. */
    bool sticky;                /**< Prompts share parts: servers keep what they read. */
    bool resumable;             /**< A broken stream may go on at another server. */
    bool open;                  /**< It takes requests without a key, where others need one. */
    route_regions_t regions;    /**< Where its requests may go. */
    struct route_part *parts;   /**< Services. */
    uint32_t part_count;        /**< Number of those. */
};

/** A service. */
struct route_service {
    char *name;               /**< Unique name. */
    char *health_path;        /**< Path of the health check. */
    uint32_t max_connections; /**< Connections that a server accepts from all daemons together. */
    uint32_t chunk_tokens;    /**< Tokens in an event; 0: not a model engine. */
    uint32_t slots;           /**< Requests a server runs at once; 0: not told. */
    uint64_t hash;            /**< Of the name; set by route_table_check(). */
    double start_rate_per_s;  /**< Requests a second that a server bears while it starts; 0: as many as ever. */
};

/** A tenant. */
struct route_tenant {
    char *name;              /**< Unique name, told to servers. */
    uint64_t hash;           /**< Of the name, never 0. */
    bool ranked;             /**< It has a priority, which comes before that of a route. */
    uint32_t priority;       /**< Rank, 0 is the highest. */
    double rate_per_s;       /**< Requests a second that it may make, over all gateways; 0: no limit. */
    double burst;            /**< Requests on top of that, at once. */
    uint32_t key_count;      /**< Keys that it holds. */
    route_regions_t regions; /**< Where its requests may go, besides what their route says. */
};

enum { ROUTE_KEY_BYTES = 16 /**< Bytes of a key's hash. */ };

/** A key of a tenant. */
struct route_key {
    uint8_t hash[ROUTE_KEY_BYTES]; /**< Of the key, under the process's secret. */
    uint32_t tenant;               /**< Position of the tenant that holds it. */
    UT_hash_handle hh;             /**< By hash. */
};

/** Limits of what clients may send; 0: not told. */
struct route_limits {
    uint64_t max_header_bytes;  /**< Largest head. */
    uint64_t max_body_bytes;    /**< Largest body. */
    uint64_t header_timeout_ms; /**< Longest arrival of a request. */
    uint64_t idle_timeout_ms;   /**< Longest rest of a connection. */
};

/** A configuration. */
struct route_table {
    uint64_t version;               /**< Orders configurations. */
    struct route *routes;           /**< Owned array. */
    uint32_t route_count;           /**< Number of routes. */
    struct route_service *services; /**< Owned array. */
    uint32_t service_count;         /**< Number of services. */
    bool has_tenants;               /**< Requests need a key, except on open routes. */
    struct route_tenant *tenants;   /**< Owned array. */
    uint32_t tenant_count;          /**< Number of tenants. */
    struct route_key *keys;         /**< By hash. */
    struct route_limits limits;     /**< Limits. */
    uint32_t references;            /**< Holders; freed with the last one. */
};

/** An empty table with one reference. */
struct route_table *route_table_new(void);

/** Adds a reference. */
struct route_table *route_table_hold(struct route_table *table);

/** Drops a reference; NULL is allowed. */
void route_table_release(struct route_table *table);

/** Sets the secret under which keys are hashed, before any table is read. */
void route_table_set_secret(uint64_t secret);

/** Adds a tenant, all zero; its hash is set by route_table_check(). Valid until the next addition. */
struct route_tenant *route_table_add_tenant(struct route_table *table);

/** Gives a key to the tenant added last; false: another tenant holds it. */
bool route_table_add_key(struct route_table *table, struct view key);

/** The tenant that holds a key, or NULL. */
const struct route_tenant *route_table_tenant(const struct route_table *table, struct view key);

/** Adds a route, service or part, all zero; valid until the next addition. */
struct route *route_table_add_route(struct route_table *table);
struct route_service *route_table_add_service(struct route_table *table);
struct route_part *route_add_part(struct route *route);

/**
 * Before a table comes into force: each split route goes on from its shares in
 * `previous` (may be NULL), or begins at a point that `random` picks, so that
 * many gateways, or many configurations in a row, keep the weights together.
 */
void route_table_begin_shares(struct route_table *table, const struct route_table *previous, uint64_t random);

/** Adds every fault of the whole to `findings`. */
void route_table_check(struct route_table *table, struct findings *findings);

/** The route of a host (a port in it is ignored) and a target (a query in it is ignored), or NULL. */
struct route *route_table_find(const struct route_table *table, struct view host, struct view target);

/** A service by name, or NULL. */
const struct route_service *route_table_service(const struct route_table *table, const char *name);

/** The next part of a route by weight; `usable` tells which parts may be taken. NULL: none. */
const struct route_part *route_choose_part(struct route *route, bool (*usable)(void *context, const char *service),
                                           void *context);

/** Adds a region that may be used. */
void route_regions_add(route_regions_t *regions, const char *name);

/** Whether a region (NULL: not known) may be used. */
bool route_regions_allow(const route_regions_t *regions, const char *name);

/** Whether a request of this route may run more than once. */
bool route_may_repeat(const struct route *route);

#endif
