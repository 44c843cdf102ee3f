/**
 * @file front.h
 * The gateway of a node: takes callers' requests, finds their route, and
 * forwards each to a server (forward.h). Holds what all requests share: the
 * configuration in force, the servers, a cache of turns, counters.
 */
#ifndef BANKBANK_PROXY_FRONT_H
#define BANKBANK_PROXY_FRONT_H

#include "core/program_set.h"
#include "core/quota_purse.h"
#include "core/retry.h"
#include "core/route_table.h"
#include "core/server_table.h"
#include "core/turn_store.h"
#include "proxy/histogram.h"
#include "proxy/node.h"

enum {
    FRONT_CACHE_BYTES = 8 << 20, /**< Turns kept near, where the memory is not told. */
    FRONT_CONNECTIONS = 24,      /**< Connections of this gateway to one server. */
    FRONT_REVIEW_MS = 50,        /**< Period of looking for servers that fail. */
    FRONT_WITHDRAWN_MS = 1000    /**< Time that the leader's word to withdraw holds. */
};

/** Events so far, one counter each. */
struct front_counters {
    uint64_t requests;        /**< Requests that found a route. */
    uint64_t completed;       /**< Answers passed on whole. */
    uint64_t refused;         /**< Answered as not run. */
    uint64_t unknown_route;   /**< Requests without a route. */
    uint64_t failed;          /**< Answered 502 or 504. */
    uint64_t cut;             /**< Answers broken off. */
    uint64_t gone;            /**< Clients that left. */
    uint64_t sends;           /**< Requests sent to servers. */
    uint64_t server_refusals; /**< Servers that did not run a request. */
    uint64_t crossed;         /**< Answers to other requests, dropped. */
    uint64_t key_refusals;    /**< Requests refused for want of a known key. */
    uint64_t quota_refusals;  /**< Requests refused since their tenant is over its limit. */
    uint64_t budget_refusals; /**< Turns refused for their program's budget. */
    uint64_t pauses;          /**< Streams held back for a slow caller. */
    uint64_t reborn;          /**< Servers that started again under their id. */
    uint64_t probes;          /**< Dials to servers that were silent. */
    uint64_t queued;          /**< Requests that waited for a place. */
    uint64_t resumes;         /**< Streams taken up after they broke off. */
    uint64_t hedges;          /**< Second servers asked for want of an answer. */
    uint64_t cache_hits;      /**< Conversations found near. */
    uint64_t cache_misses;    /**< Conversations fetched from a replica. */
    uint64_t memory_refusals; /**< Requests refused for want of memory. */
};

struct forward;

/** The gateway. */
struct front {
    struct node *node;            /**< The daemon. */
    struct http_listener callers; /**< Callers' address. */
    struct route_table *table;    /**< Configuration in force, or NULL. */
    bool confirmed; /**< The leader told, in this life, that none newer than the one held then is committed. */
    struct node_request *confirming; /**< It is being asked, or NULL. */
    uint64_t confirm_asked_ms;       /**< Since when. */
    uint64_t confirm_due_ms;         /**< When it may be asked again. */
    struct server_table servers;     /**< Servers. */
    bool servers_known;              /**< A list was taken. */
    uint64_t servers_change;         /**< Change of the node's list that was taken last; 0: it is not that list. */
    struct turn_store cache;         /**< Turns seen lately. */
    struct forward *forwards;        /**< Requests under way. */
    uint32_t active;                 /**< Their number. */
    uint32_t waiting;                /**< Those of them that wait for configuration and servers. */
    uint32_t queued;                 /**< Those of them that wait for a place at a server. */
    size_t requests_bytes;           /**< Memory of requests under way when it was last looked at. */
    bool memory_full;                /**< It was above its share. */
    bool place_freed;                /**< A request at a server has ended since they were last looked at. */
    uint64_t loads_reported_ms;      /**< Last report to the leader. */
    uint32_t loads_pause_ms;         /**< Pause before the next one, as the leader told. */
    uint64_t review_due_ms;          /**< Next look at the servers. */
    bool loads_told;                 /**< The last report was not empty. */
    uint64_t withdrawn_until_ms;     /**< Callers are left to other zones until then (presence.h). */
    bool withdrawn_told;             /**< Whether the log last told so. */
    prefix_cost_t call_cost;         /**< What a call of a model server costs, in tokens. */
    quota_purses_t purses;           /**< What tenants with a limit may ask for here. */
    quota_purses_t starts;           /**< Requests that servers which have just started may get from here. */
    bool starts_asked;               /**< The leader is being asked for some. */
    uint64_t starts_asked_ms;        /**< Since when, or the last time. */
    program_set_t programs;          /**< Programs of such tenants seen here lately. */
    uint64_t quota_asks;             /**< Asks of the leader for that. */
    uint64_t spread;                 /**< Random numbers that spread callers that come back. */
    struct retry_budget retries;     /**< Keeps second servers a small share. */
    struct front_counters counters;  /**< Events. */
    struct histogram first_event;    /**< Time to the first event of a stream. */
    struct histogram total;          /**< Time to the end of an answer. */
    struct histogram begin;          /**< Time to reserve a turn's tokens. */
    struct histogram commit;         /**< Time to store a turn. */
};

/** Starts the gateway; NULL: it cannot listen. */
struct front *front_open(struct node *node);

/** Ends all requests and frees what it holds; the memory itself may go once the loop has closed its handles. */
void front_close(struct front *front);

/** front_configuration.c: takes the configuration in node->state if it is newer; the first one once it is confirmed. */
void front_take_configuration(struct front *front);

/** front_configuration.c: asks the leader for its word on the first configuration, as long as that is due. */
void front_confirm_configuration(struct front *front);

/** front_configuration.c: what clients may send while no configuration tells it. */
void front_default_limits(struct http_limits *limits);

/** front_configuration.c: frees what it holds. */
void front_configuration_close(struct front *front);

/** Goes on with the requests that waited for configuration and servers, if both are there. */
void front_resume(struct front *front);

/** Takes the list of servers in node->state. */
void front_take_servers(struct front *front);

/** Takes the drained zones in node->state. */
void front_take_drained(struct front *front);

/** Takes a list that this gateway read itself. */
void front_take_own_servers(struct front *front, struct view encoded);

/** Takes the leader's word on the other gateways: what they have under way, and which are silent. */
void front_take_totals(struct front *front, const LoadTotals *totals);

/** Whether it knows a configuration and servers. */
bool front_knows_site(const struct front *front);

/** Whether it can serve callers now. */
bool front_is_ready(const struct front *front);

/** Whether requests are under way. */
bool front_is_busy(const struct front *front);

/** From now on answers close their connections; then no more are accepted. */
void front_drain(struct front *front);
void front_stop_accepting(struct front *front);

/** Advances time. */
void front_tick(struct front *front);

/** Before each wait of the loop: gives places that became free to requests that wait. */
void front_settle(struct front *front);

/** front_reach.c: takes the outcomes of dials to silent servers. */
void front_watch_reach(struct front *front);

/** front_reach.c: something came from a server. */
void front_note_heard(struct front *front, struct server *server);

/** front_reach.c: the server's machine answered nothing on an open connection. */
void front_note_silent_open(struct front *front, struct server *server);

/** front_reach.c: dials a server that has been silent for too long. */
void front_probe_if_silent(struct front *front, struct server *server);

/** Writes its metrics. */
void front_write_metrics(const struct front *front, struct buffer *out);

#endif
