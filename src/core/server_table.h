/**
 * @file server_table.h
 * The servers known to a gateway, their health as seen in its own traffic, and
 * the choice of a server for a request. No I/O; callers pass the time.
 *
 * Incarnations: a server that restarts under its id has lost all of its state. A
 * `struct server` is one incarnation, identified by id and start time. A different
 * address, service or software version also means a different incarnation; a start
 * time or a version that becomes known later does not. A replaced incarnation is
 * kept until its requests have ended.
 *
 * Start times do not order incarnations, because clocks may be set back, and a
 * list may be older than the previous one. A record of an incarnation that has
 * already ended here is therefore deferred as stale while another one is current,
 * and applied only if it persists for SERVER_DEFER_MS.
 *
 * A server is leaving if the list has reported that it is, or no longer contains
 * it, or if another server has answered at its address, even if a stale list still
 * contains it. A server that is leaving or whose zone is drained (zone_set.h) gets
 * no new requests under any circumstances; in a drained zone it completes the ones
 * it has.
 *
 * If its service configures a start rate (slow_start.h), a server that has just
 * started gets a request only with a token, and as many requests as it has slots
 * are added to its load, so that other servers are preferred. Lists report a start
 * with a delay. A server that becomes reachable again, or whose zone is opened
 * again, therefore counts as just started for SERVER_RETURNED_MS.
 *
 * Software versions: what servers of different versions write does not fit
 * together, so a stream that one version began may be continued only by servers of
 * that version (server_criteria.version). If none of them is in rotation, a draining
 * one takes it, until SERVER_DRAIN_MARGIN_MS before the end of
 * server_criteria.drain_ms: otherwise a rolling release would end all interrupted
 * streams of the old version.
 *
 * Home: the server that has a program's conversation cached. A program leaves it
 * only when queueing there costs more than processing the conversation again
 * elsewhere, which delays the other requests there: about as much as a queue of
 * SERVER_HOME_MAX_QUEUE requests. Processing 3,600 tokens at 65 per millisecond
 * stops a batch of 8 requests for 55 ms, 440 ms of requests in all; a queued request
 * costs 30 ms if turns take 240 ms on 8 slots, so the costs are equal at about 15
 * queued requests. Leaving early amplifies an overload: programs that move are
 * processed again, which lengthens the queues that make others move.
 *
 * A server in an unreachable zone (zone_reach.h) counts as unreachable in the
 * choice. If no other server is eligible and reachable, the choice is repeated
 * without regard to zones, so that a service whose servers are all in unreachable
 * zones is served as if these were reachable.
 *
 * With `zone_first`, the least loaded of those servers of the gateway's zone that
 * have room is chosen: a request does not wait there, so another zone offers it
 * nothing but a cached prompt. A fixed cost of other zones would at some loads keep
 * requests in a full zone and at others send them away from free slots. A server
 * has room if its in-flight requests of all gateways, its failure penalty and the
 * amount counted for a recent start are together below its slots, and it is not
 * failing.
 *
 * Requests with the same affinity key go to one server, which then processes them
 * faster, unless it is much busier than others: rendezvous hashing with bounded
 * loads (Thaler and Ravishankar 1998; Mirrokni, Thorup and Zadimoghaddam 2018).
 */
#ifndef BANKBANK_CORE_SERVER_TABLE_H
#define BANKBANK_CORE_SERVER_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "control.pb.h"
#include "core/closed_dials.h"
#include "core/health.h"
#include "core/prefix_table.h"
#include "core/reach.h"
#include "core/route_table.h"
#include "core/zone_reach.h"
#include "core/zone_set.h"

/* Constants named ..._REQUESTS are numbers of in-flight requests. A cost counts as that many additional ones. */
enum {
    /** server.draining_ms of a server that was leaving when it was first seen, such as by a daemon that has just
     * started: so long ago that it gets no request. */
    SERVER_DRAINING_SINCE_UNKNOWN_MS = 1,
    SERVER_REGION_RULES = 2,     /**< Per request: one of its route and one of its tenant. */
    SERVER_MAX_TRIED = 8,        /**< Tried servers that are remembered per request. */
    SERVER_FULL_PAUSE_MS = 30,   /**< A server is skipped for this time after it refused a request. */
    SERVER_HOME_MAX_QUEUE = 16,  /**< A home with fewer requests beyond its slots is not left because of its load. */
    SERVER_CONNECT_REQUESTS = 2, /**< Cost of opening a connection. */
    SERVER_REMOTE_ZONE_REQUESTS = 2,   /**< Cost of a server in another zone. */
    SERVER_FAILURE_MAX_FACTOR = 2,     /**< Maximum cost of failures, as a multiple of the slots. */
    SERVER_FAILURE_OBSERVERS = 2,      /**< The sum of the other gateways' failure shares is divided by this. */
    SERVER_LEAVE_MARGIN_REQUESTS = 16, /**< A busy home is left only for a server with this many fewer requests. */
    SERVER_AFFINITY_MISS_REQUESTS = 3, /**< Cost of a server that is not preferred for the affinity key. */
    SERVER_LOADS_VALID_MS = 700,       /**< Minimum lifetime of the loads of other gateways. */
    SERVER_ENDED_MAX = 512,            /**< Ended incarnations that are remembered. */
    SERVER_RETURNED_MS = 2500,     /**< Covers the delay until the list reports a start: lag, two reads, delivery. */
    SERVER_DRAIN_MARGIN_MS = 1000, /**< Covers the delay until the list reports a drain, and the way of a request. */
    SERVER_DEFER_MS = 15000        /**< Longer than the platform's list lags behind. */
};

/** One incarnation of a server. */
struct server {
    char *id;                 /**< Shared by all incarnations of the server. */
    char *incarnation;        /**< Name of this incarnation: the id, followed by @ and the start time if known. */
    uint64_t started_unix_ms; /**< 0: unknown. */
    bool has_predecessor;     /**< Another incarnation of the server was known here before. */
    bool replaced;            /**< Another incarnation has replaced it. */
    ServerRecord *deferred;   /**< Deferred record of an ended incarnation of the server, or NULL. */
    uint64_t deferred_ms;     /**< When server_table_apply_deferred() first saw the record; 0: not yet. */
    char *service;
    char *address; /**< IP:PORT. */
    char *zone;
    char *version;        /**< Of its software; empty: unknown. */
    const char *region;   /**< Of the zone, owned by the caller; NULL: unknown. */
    uint32_t slots;       /**< Requests it processes concurrently; 0: unknown. */
    bool draining;        /**< The list has reported that it is leaving; never reset. */
    uint64_t draining_ms; /**< When server_table_record_drains() first saw that; 0: not yet. */
    bool seen_ready;      /**< server_table_record_drains() has seen it before it was leaving. */
    bool zone_drained;
    bool starting;          /**< The list reports that it has just started. */
    uint64_t returned_ms;   /**< When it last became reachable again or its zone was opened; 0: never. */
    bool logged_starting;   /**< It was last logged as starting. */
    bool listed;            /**< It is on the current list. */
    bool in_update;         /**< Its id is in the full list that is being applied. */
    bool address_reused;    /**< Another server answered at its address. */
    bool not_listening;     /**< Its address refused a connection: it has ended. */
    uint32_t possible_ends; /**< Connections that its address refused, or closed at once. */
    closed_dials_t closed_dials;
    uint32_t in_flight;        /**< In-flight requests of this gateway. */
    uint32_t other_in_flight;  /**< In-flight requests of other gateways, as last reported. */
    uint32_t other_failures;   /**< Sum of the failure shares seen by other gateways, as last reported. */
    uint64_t last_activity_ms; /**< When it last sent data, or got a request while it had none in flight. */
    uint64_t full_until_ms;    /**< It is skipped until then. */
    health_t health;
    prefix_table_t prefixes;
    reach_t reach;
    zone_reach_server_t zone_reach;
    bool logged_failing; /**< It was last logged as failing. */
    uint64_t hash;       /**< Of `incarnation`. */
    UT_hash_handle hh;   /**< By id. */
};

/** Called when `server` is replaced by another incarnation of the same server. */
typedef void (*server_replaced_callback)(void *context, const struct server *server);

struct server_table {
    struct server *servers;               /**< By id; current incarnations. */
    uint32_t rotation;                    /**< Counter for breaking ties. */
    uint64_t ended[SERVER_ENDED_MAX];     /**< Hashes of ended incarnations, a ring. */
    uint32_t ended_total;                 /**< Ended incarnations so far. */
    server_replaced_callback on_replaced; /**< Or NULL. */
    void *context;                        /**< First argument of `on_replaced`. */
    const zone_info_t *zones;             /**< Owned by the caller. */
    size_t zone_count;
    const zone_set_t *drained; /**< Drained zones, owned by the caller; NULL: none. */
    zone_reach_t *zone_reach;  /**< Owned by the caller, set before the first list; NULL: no zone is unreachable. */
    uint64_t loads_until_ms;   /**< When the loads of other gateways expire. */
};

/** Criteria for choosing the server of a request. */
struct server_criteria {
    const char *service;                                      /**< NULL: no backend of the route is chosen. */
    const char *zone;                                         /**< The gateway's zone. */
    bool zone_first;                                          /**< The gateway's zone is preferred while it has room. */
    const route_regions_t *region_rules[SERVER_REGION_RULES]; /**< All of them must allow the region; NULL: any. */
    const char *version;                                      /**< Of the servers' software; NULL: any. */
    uint64_t drain_ms;           /**< With `version`: time for which draining servers are second choice. */
    bool allow_draining;         /**< Set only by the selection, when it is repeated with draining servers. */
    const prefix_chain_t *chain; /**< Shared parts of the prompt, or NULL. */
    const prefix_cost_t *cost;   /**< Average cost of a request; required with `chain`. */
    const char *home;            /**< Incarnation that is the program's home, or NULL. */
    bool ignore_zone_reach; /**< Set only by the selection, when it is repeated without regard to unreachable zones. */
    uint64_t affinity_key;  /**< Hash of the request's affinity key; 0: none. */
    /** Whether there is a token for a server that has just started; NULL: no slow start for the service. */
    bool (*has_start_token)(void *context, const struct server *server);
    const struct server *tried[SERVER_MAX_TRIED]; /**< Servers already tried, which are excluded. */
    uint32_t tried_count;
    /** Whether there is an idle connection to an address; NULL: unknown. */
    bool (*has_idle_connection)(void *context, const char *address);
    void *context; /**< First argument of the callbacks. */
};

void server_table_close(struct server_table *table);

/** Applies a full list. */
void server_table_update(struct server_table *table, const ServerList *list);

/** Applies changes to the list: first the removed servers, then the added and changed ones. */
void server_table_apply_changes(struct server_table *table, char *const *removed, size_t removed_count,
                                const ServerList *changed);

/** Records since when servers drain. Must be called after each list. */
void server_table_record_drains(struct server_table *table, uint64_t now_ms);

/** The current incarnation of a server, or NULL. */
struct server *server_table_find(const struct server_table *table, const char *id);

/** Must be called after the drained zones have changed. */
void server_table_zones_changed(struct server_table *table, uint64_t now_ms);

/** Whether a server counts as just started. */
bool server_is_starting(const struct server *server, uint64_t now_ms);

/** Chooses pseudo-randomly among just started servers that meet all criteria but the token; NULL: none. */
struct server *server_table_choose_starting(struct server_table *table, uint64_t now_ms,
                                            const struct server_criteria *criteria);

/** Whether the service has servers that are not leaving, all of them in drained zones or in regions not allowed. */
bool server_table_all_excluded(const struct server_table *table, const struct server_criteria *criteria);

/** Whether a server gets no new requests: it is leaving or its zone is drained. */
bool server_is_out_of_rotation(const struct server *server);

/** The server whose current incarnation has this name, or NULL. */
struct server *server_table_find_incarnation(const struct server_table *table, const char *incarnation);

/** Applies deferred records that have persisted for SERVER_DEFER_MS. Must be called regularly. */
void server_table_apply_deferred(struct server_table *table, uint64_t now_ms);

/** Sets the loads of the other gateways. Sorts `totals->loads`. */
void server_table_set_other_loads(struct server_table *table, uint64_t now_ms, const LoadTotals *totals);

/** Fills the in-flight requests and failures of this gateway; the caller frees `report->loads`. */
void server_table_report_loads(const struct server_table *table, uint64_t now_ms, LoadReport *report);

/** NULL if no server is eligible. */
struct server *server_table_choose(struct server_table *table, uint64_t now_ms, const struct server_criteria *criteria);

/** Whether a server no longer counts for `max_attempts` of a route: it is off the list, replaced, `not_listening` or
 * dead (reach.h), or its address belongs to another one. A draining server still runs its requests. */
bool server_has_ended(const struct server *server);

/** Whether the list has reported that a server leaves, or server_has_ended() for a reason known from the list. */
bool server_is_leaving(const struct server *server);

/** Whether a service has a server that accepts requests in an allowed region; ignores the service in `criteria`. */
bool server_table_has_available(const struct server_table *table, uint64_t now_ms, const char *service,
                                const struct server_criteria *criteria);

/** Whether a server may receive a request now: it is in rotation, or draining and the only choice of its version. */
bool server_may_receive(const struct server *server, const struct server_criteria *criteria, uint64_t now_ms);

/** Whether the service has a server of the criteria's version, other than `except` (or NULL), that is not dead and may
 * receive the request, now or once it has capacity. */
bool server_table_has_version(const struct server_table *table, uint64_t now_ms, const struct server_criteria *criteria,
                              const struct server *except);

/** Excludes a server from further choices; a repeated one is stored once. */
void server_criteria_add_tried(struct server_criteria *criteria, const struct server *server);

/** Start and end of a request. server_end_request() may free the server. */
void server_begin_request(struct server *server, uint64_t now_ms);
void server_end_request(struct server_table *table, struct server *server);

/** Whether a server has more in-flight requests, of all gateways, than slots. */
bool server_is_busy(const struct server_table *table, const struct server *server, uint64_t now_ms);

/** The share seen by this gateway or, if higher, by the others (SERVER_FAILURE_OBSERVERS), in 1 / HEALTH_ONE. */
uint32_t server_failure_share(const struct server_table *table, const struct server *server, uint64_t now_ms);

/** Records that its address closed a connection at once: it may have ended, and is skipped until a connection to it
 * stays open (closed_dials.h). */
void server_record_closed_dial(struct server *server, uint64_t now_ms);

/** The server is skipped for SERVER_FULL_PAUSE_MS; recorded as HEALTH_REFUSED if it has free slots. */
void server_record_refused(const struct server_table *table, struct server *server, uint64_t now_ms);

/** A response is overdue; recorded as HEALTH_UNANSWERED if the server has free slots. */
void server_record_unanswered(const struct server_table *table, struct server *server, uint64_t now_ms);

/** Records that a server sent data; if its address refused connections before, it counts as just started. */
void server_record_received(struct server *server, uint64_t now_ms);

#endif
