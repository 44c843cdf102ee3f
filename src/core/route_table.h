/**
 * @file route_table.h
 * Typed configuration of a site, read from its configuration document
 * (site_state.h): routes by host and path prefix, services, tenants with their
 * API keys, and limits on callers' requests. Immutable once checked, except for
 * the credits of the backends; a request holds a reference to the table that was
 * active when it started.
 *
 * Routes are indexed by host and prefix, services and tenants by name and its hash,
 * so that a check costs time in proportion to the configuration, and a lookup in
 * proportion to the segments of the path. Additions drop the index until the next
 * check.
 *
 * Keys are stored as 128-bit hashes, seeded with a secret of the process: the
 * table cannot disclose them, and the time of a lookup does not tell how much of a
 * key was guessed.
 */
#ifndef BANKBANK_CORE_ROUTE_TABLE_H
#define BANKBANK_CORE_ROUTE_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "base/findings.h"
#include "base/view.h"

/** Whether a request may run more than once. */
enum route_kind {
    ROUTE_SAFE,  /**< May run more than once. */
    ROUTE_ONCE,  /**< Runs at most once; a caller's retry counts as another request. */
    ROUTE_STREAM /**< The response is an event stream; at most once unless resumable. */
};

/** Regions that may serve requests and receive and store their contents; if none is listed, all may. */
typedef struct route_regions_t {
    char **names; /**< Owned. */
    uint32_t count;
} route_regions_t;

/** One of the services that share the traffic of a route. */
struct route_backend {
    char *service;
    uint32_t weight; /**< Relative; 0: never chosen. */
    int64_t credit;  /**< State of the smooth weighted round robin. */
};

/** Strings and arrays are owned. */
struct route {
    char *name; /**< For logs. */
    char *host;
    char *prefix; /**< Of the path; begins and ends with a slash. */
    enum route_kind kind;
    uint64_t timeout_ms;        /**< Maximum duration of a request. */
    uint64_t target_latency_ms; /**< Target for the response time. */
    uint64_t target_gap_ms;     /**< Target for the interval between events; 0: none. */
    uint32_t priority;          /**< 0: highest. */
    uint32_t max_attempts;      /**< Maximum number of servers for one request of a caller. */
    bool turns;                 /**< Requests are turns of programs. */
    bool stateful;              /**< The conversation is stored by bankbank. */
    uint64_t retention_ms;      /**< How long it is stored. */
    bool sticky;                /**< Prompts share prefixes, which servers cache. */
    bool resumable;             /**< An interrupted stream may be resumed on the same or another server (resume.h). */
    bool allows_anonymous;      /**< Requests need no key even if there are tenants. */
    route_regions_t regions;    /**< Allowed regions. */
    struct route_backend *backends;
    uint32_t backend_count;
    uint8_t *key; /**< The host in lower case, a NUL and the prefix; NULL: not indexed. */
    size_t key_length;
    struct route *next_same; /**< The next route with the same key, or NULL. */
    UT_hash_handle hh;       /**< By key. */
};

struct route_service {
    char *name; /**< Unique. */
    char *health_path;
    uint32_t max_connections;        /**< Per server, from all daemons together. */
    uint32_t chunk_tokens;           /**< Tokens per event; 0: not a model engine. */
    uint32_t slots;                  /**< Requests that a server runs concurrently; 0: unknown. */
    uint64_t hash;                   /**< Of the name; set by route_table_check(). */
    double start_rate_per_s;         /**< Requests per second to a starting server; 0: no limit. */
    struct route_service *next_same; /**< The next service with the same name, or NULL. */
    UT_hash_handle hh;               /**< By name. */
    UT_hash_handle hh_hash;          /**< By hash. */
};

struct route_tenant {
    char *name;        /**< Unique, sent to servers. */
    uint64_t hash;     /**< Of the name, never 0; set by route_table_check(). */
    bool has_priority; /**< `priority` is set and takes precedence over that of a route. */
    uint32_t priority; /**< 0: highest. */
    double rate_per_s; /**< Request rate limit over all gateways; 0: none. */
    double burst;      /**< In requests. */
    uint32_t key_count;
    route_regions_t regions;        /**< Allowed regions; those of the route also apply. */
    struct route_tenant *next_same; /**< The next tenant with the same name, or NULL. */
    UT_hash_handle hh;              /**< By name. */
    UT_hash_handle hh_hash;         /**< By hash. */
};

enum { ROUTE_KEY_BYTES = 16 /**< Size of a key's hash. */ };

struct route_key {
    uint8_t hash[ROUTE_KEY_BYTES]; /**< Seeded with the process's secret. */
    uint32_t tenant;               /**< Index. */
    UT_hash_handle hh;             /**< By hash. */
};

/** Limits on callers' requests; 0: not configured. */
struct route_limits {
    uint64_t max_header_bytes;
    uint64_t max_body_bytes;
    uint64_t header_timeout_ms; /**< Maximum time to receive a request. */
    uint64_t idle_timeout_ms;   /**< Maximum idle time of a connection. */
};

/** A configuration; reference-counted. Arrays are owned. */
struct route_table {
    uint64_t version; /**< A higher one replaces a lower one. */
    struct route *routes;
    uint32_t route_count;
    struct route_service *services;
    uint32_t service_count;
    bool has_tenants; /**< Requests need a key, except on routes that allow anonymous ones. */
    struct route_tenant *tenants;
    uint32_t tenant_count;
    struct route_key *keys;                 /**< By hash. */
    struct route *routes_by_key;            /**< The first one of each key. */
    size_t longest_prefix;                  /**< In bytes, of the indexed routes. */
    struct route_service *services_by_name; /**< The first one of each name. */
    struct route_service *services_by_hash;
    struct route_tenant *tenants_by_name; /**< The first one of each name. */
    struct route_tenant *tenants_by_hash;
    struct route_limits limits;
    uint32_t references;
};

/** Creates an empty table with one reference. */
struct route_table *route_table_new(void);

struct route_table *route_table_retain(struct route_table *table);

/** Frees the table with the last reference; NULL is allowed. */
void route_table_release(struct route_table *table);

/** Sets the seed for the hashes of keys. Must be called before any key is added. */
void route_table_set_secret(uint64_t secret);

/** Adds a zeroed tenant, valid until the next addition; its hash is set by route_table_check(). */
struct route_tenant *route_table_add_tenant(struct route_table *table);

/** Adds a key to the last added tenant; false if another tenant has the key. */
bool route_table_add_key(struct route_table *table, struct view key);

/** The tenant that a key belongs to, or NULL. */
const struct route_tenant *route_table_tenant(const struct route_table *table, struct view key);

/** Adds a zeroed route, service or backend, valid until the next addition. */
struct route *route_table_add_route(struct route_table *table);
struct route_service *route_table_add_service(struct route_table *table);
struct route_backend *route_add_backend(struct route *route);

/**
 * Must be called before a table becomes active. A route with several backends
 * takes its credits from the same route in `previous` (may be NULL), or starts the
 * round robin at an offset chosen by `random`. This way the weights also hold
 * across many gateways with few requests each and across frequent configuration
 * changes.
 */
void route_table_init_credits(struct route_table *table, const struct route_table *previous, uint64_t random);

/** Validates a complete table, adds all errors to `findings`, builds the index and sets the hashes of tenants and
 * services. The lookups below need the index. */
void route_table_check(struct route_table *table, struct findings *findings);

/** The route with the longest prefix for a host (ignoring a port) and a target (ignoring a query), or NULL. */
struct route *route_table_find(const struct route_table *table, struct view host, struct view target);

/** The first service with the name, or NULL. */
const struct route_service *route_table_service(const struct route_table *table, const char *name);

/** The tenant or service whose name has the hash, or NULL. */
const struct route_tenant *route_table_tenant_of_hash(const struct route_table *table, uint64_t hash);
const struct route_service *route_table_service_of_hash(const struct route_table *table, uint64_t hash);

/** The next backend of a route by weight among those that are `usable`, or NULL if there is none. */
const struct route_backend *route_choose_backend(struct route *route,
                                                 bool (*usable)(void *context, const char *service), void *context);

void route_regions_add(route_regions_t *regions, const char *name);

/** `name` is NULL if the region is unknown. */
bool route_regions_allow(const route_regions_t *regions, const char *name);

/** Whether a request may run more than once. */
bool route_may_repeat(const struct route *route);

#endif
