/**
 * @file frontend.h
 * The gateway of a node: accepts callers' requests and forwards each to a
 * server (forward.h).
 */
#ifndef BANKBANK_PROXY_FRONTEND_H
#define BANKBANK_PROXY_FRONTEND_H

#include "core/program_set.h"
#include "core/quarantine.h"
#include "core/quorum_contact.h"
#include "core/quota_lease.h"
#include "core/retry.h"
#include "core/route_table.h"
#include "core/served_set.h"
#include "core/server_table.h"
#include "core/turn_store.h"
#include "core/version_mix.h"
#include "proxy/histogram.h"
#include "proxy/node.h"

enum {
    FRONTEND_DEFAULT_CACHE_BYTES = 8 << 20, /**< Used if no memory budget is set. */
    FRONTEND_MAX_SERVER_CONNECTIONS = 24,   /**< Limit for each server. */
    FRONTEND_COUNTS_WAIT_MS = 3000,         /**< Maximum time for which requests wait for counts_known. */
    FRONTEND_REVIEW_MS = 50, /**< Interval of the checks of servers (silence, failures, restarts) and of the memory. */
    FRONTEND_WITHDRAWAL_MS = 1000 /**< Duration of a withdrawal (core/presence.h) after the last LoadTotals that called
                                   * for it, unless a later one ends it. */
};

struct frontend_counters {
    uint64_t requests; /**< With a route, a request id and, where required, a known key. */
    uint64_t completed;
    uint64_t refused; /**< Requests answered with X-Run-State: not-run. */
    uint64_t unknown_route;
    uint64_t failed;              /**< Requests answered with X-Run-State: unknown (502 or 504). */
    uint64_t aborted;             /**< Responses aborted after they began. */
    uint64_t caller_disconnects;  /**< Before the response was complete. */
    uint64_t sends;               /**< Attempts at servers. */
    uint64_t remote_sends;        /**< Requests written to servers in another zone. */
    uint64_t remote_bytes;        /**< Bytes of these requests, heads included. */
    uint64_t server_refusals;     /**< Attempts that a server refused without running them. */
    uint64_t mismatched;          /**< Responses dropped since they name another request, or none. */
    uint64_t unnamed;             /**< Responses without an id that were accepted. */
    uint64_t key_refusals;        /**< Requests without a known API key. */
    uint64_t quota_refusals;      /**< Requests over the rate limit of their tenant. */
    uint64_t budget_refusals;     /**< Turns over the token budget of their program. */
    uint64_t pauses;              /**< Of reading a stream, for a slow caller. */
    uint64_t server_restarts;     /**< Restarts of servers under the same id. */
    uint64_t probes;              /**< Of silent servers. */
    uint64_t closed_dials;        /**< Connections that servers closed at once. */
    uint64_t queued;              /**< Requests queued; one may count again after its stream was resumed. */
    uint64_t resumes;             /**< Of streams; a stream may be resumed several times. */
    uint64_t resumptions;         /**< Requests that resume a stream of an earlier request. */
    uint64_t resumption_refusals; /**< Of these, refused for the stream's software version. */
    uint64_t stream_records;      /**< Proposed records of the version that began a stream. */
    uint64_t unrecorded_streams;  /**< Streams whose first event was forwarded before their record was committed. */
    uint64_t hedges;
    uint64_t cache_hits;   /**< Conversations found in frontend.cache. */
    uint64_t cache_misses; /**< Conversations to fetch from a state replica. */
    uint64_t memory_refusals;
    uint64_t cuts;             /**< Times that the gateway was cut off from the quorum. */
    uint64_t cut_off_refusals; /**< Requests refused because the gateway was cut off. */
    uint64_t commits_aborted;  /**< Responses aborted because the gateway was cut off before their turn was stored. */
    uint64_t quarantine_refusals; /**< Requests ended because their operation is quarantined. */
    uint64_t permit_requests;     /**< For requests whose operation is suspected. */
    uint64_t suspect_refusals;    /**< Requests ended since other attempts at their suspected operation are open. */
    uint64_t uncounted_failures;  /**< Requests that ended since the leader had not counted a failure. */
    uint64_t contact_probes;      /**< Probes of replicas in other zones while in doubt. */
};

struct forward;

/** A gateway. Members that end in _ms are loop times (node_now()), except report_interval_ms. */
struct frontend {
    struct node *node;
    struct http_listener callers;
    struct route_table *table;       /**< Active configuration, or NULL. */
    bool confirmed;                  /**< Since the start, the leader has confirmed the held version as up to date. */
    struct node_request *confirming; /**< Request in flight, or NULL. */
    uint64_t confirm_sent_ms;        /**< Of the last request. */
    uint64_t confirm_due_ms;         /**< Earliest time of the next request. */
    struct server_table servers;
    version_mix_t version_mix; /**< Services of `servers` with several software versions. */
    zone_reach_t zone_reach;   /**< Zones of `servers`; unused without the setting tolerated_zones. */
    bool servers_known;        /**< A server list was applied, maybe an empty one. */
    uint64_t servers_change; /**< Last applied change of node->state.servers; 0: the applied list has another source. */
    struct turn_store cache; /**< Recent turns. */
    struct forward *forwards; /**< Active requests, newest first. */
    uint32_t active;          /**< Length of that list. */
    uint32_t waiting;         /**< Requests in FORWARD_WAITING. */
    uint32_t queued;          /**< Requests in FORWARD_QUEUED. */
    size_t requests_bytes;    /**< Includes requests that ended since the last exact sum (frontend_memory.h). */
    bool memory_full;         /**< New requests are refused. */
    bool requests_ended;      /**< Some that were admitted, since the last exact sum. */
    bool ended;               /**< The gateway is about to exit: new requests are refused. */
    bool capacity_freed; /**< Since the queue was last served, an attempt has ended or a start token has arrived. */
    uint64_t loads_reported_ms;
    uint32_t report_interval_ms; /**< Of load reports, set by the leader; 0: not yet. */
    uint64_t review_due_ms;
    bool last_report_had_loads;
    uint64_t withdrawn_until_ms; /**< Not ready until then, so that other zones serve callers (presence.h). */
    bool withdrawal_logged;
    quarantine_t quarantine; /**< Operations under which servers failed here, or that the leader quarantined. */
    served_set_t served;     /**< Contents of requests without a program. */
    bool counts_known;       /**< A leader has replied to a load report: `quarantine` has all that it lists. Until then
                                a request is sent to one server at most. */
    uint64_t opened_ms;
    quorum_contact_t contact;         /**< Unused without the setting tolerated_zones. */
    uint32_t contact_rotation;        /**< Position of the next replica to probe. */
    uint64_t contact_delay_ms;        /**< Longest delay of a tick since a leader's last reply. */
    uint64_t cut_off_ended_ms;        /**< When the last cut ended; 0: never. */
    uint64_t cut_off_refusals_before; /**< counters.cut_off_refusals when the last cut was detected. */
    prefix_cost_t call_cost;          /**< Average cost of a request to a model server, in input tokens. */
    quota_leases_t tenant_leases;     /**< Rate limit tokens of tenants. */
    quota_leases_t start_leases;      /**< Start tokens: for servers that have just started (core/slow_start.h). */
    bool start_request_pending;       /**< For start tokens. */
    uint64_t start_requested_ms;      /**< Of the last request. */
    program_set_t programs;           /**< Recently seen, of tenants with a rate limit. */
    uint64_t quota_requests;          /**< Token requests for tenants sent so far; also the number of the last one. */
    uint64_t jitter_state;            /**< Random generator for the jitter of Retry-After. */
    struct retry_budget retries;      /**< Limits hedged attempts. */
    struct frontend_counters counters;
    struct histogram first_event_time; /**< Since the request was received, for streams. */
    struct histogram response_time;    /**< Since the request was received, to the end of the response. */
    struct histogram reserve_time;     /**< Of a turn's reservation. */
    struct histogram commit_time;      /**< Of storing a turn. */
};

/** NULL: listening failed. */
struct frontend *frontend_open(struct node *node);

/** Ends all requests and frees the members; the caller frees `frontend` itself once the loop has closed its handles. */
void frontend_close(struct frontend *frontend);

/** frontend_configuration.c: activates the configuration in node->state if it is newer, the first one once it is
 * confirmed. */
void frontend_apply_configuration(struct frontend *frontend);

/** frontend_configuration.c: asks the leader to confirm the first configuration, if that is due. */
void frontend_confirm_configuration(struct frontend *frontend);

/** frontend_configuration.c: limits until a configuration is active. */
void frontend_default_limits(const struct node *node, struct http_limits *limits);

/** frontend_configuration.c. */
void frontend_configuration_close(struct frontend *frontend);

/** Routes the requests in FORWARD_WAITING if frontend_may_route(). */
void frontend_route_waiting(struct frontend *frontend);

/** Applies node->state.servers. */
void frontend_apply_servers(struct frontend *frontend);

/** Applies node->state.drained. */
void frontend_apply_drained_zones(struct frontend *frontend);

/** Applies an encoded ServerList; no effect if it is malformed. */
void frontend_apply_server_list(struct frontend *frontend, struct view encoded);

/** `totals`, from the leader: load of the other gateways, and how many are silent. */
void frontend_apply_load_totals(struct frontend *frontend, const LoadTotals *totals);

/** forward_quarantine.c: operations that the leader lists as quarantined. */
void frontend_adopt_quarantine(struct frontend *frontend, const QuarantinedOperation *list, size_t count);

/** forward_permit.c: records that servers failed under an operation, as the leader says; 0: none. */
void frontend_suspect(struct frontend *frontend, uint64_t operation);

/** Whether it has a configuration and a server list. */
bool frontend_is_configured(const struct frontend *frontend);

/** Whether requests may be routed: it is configured and counts_known, or has waited long enough for the latter. */
bool frontend_may_route(const struct frontend *frontend);

/** frontend_reach.c: dials a server whose connection broke: a refusal shows that it has ended, and a connection that is
 * closed at once that it may have (server.possible_ends), even if it listens again before a request is sent to it. The
 * connection becomes idle, for that request. */
void frontend_probe_for_end(struct frontend *frontend, const struct server *server);

/** frontend_reach.c: dials a server that has closed a connection at once, when that is due (core/closed_dials.h). */
void frontend_redial(struct frontend *frontend, struct server *server);

/** For the jitter of Retry-After. */
uint32_t frontend_random(struct frontend *frontend);

/** Interval of the load reports. */
uint32_t frontend_report_interval_ms(const struct frontend *frontend);

/** Whether it is configured, and neither isolated from the state replicas, cut off from their quorum nor withdrawn. */
bool frontend_is_ready(const struct frontend *frontend);

/** Whether requests are active or connections are busy. */
bool frontend_is_busy(const struct frontend *frontend);

/** From now on responses close their connections. */
void frontend_drain(struct frontend *frontend);

/** Stops accepting connections and closes those that are idle for long; call repeatedly, after frontend_drain(). */
void frontend_stop_accepting(struct frontend *frontend);

/** Answers all requests under way, and refuses those that are being received and those that come: the process is about
 * to exit. May be called repeatedly. */
void frontend_end_requests(struct frontend *frontend);

void frontend_tick(struct frontend *frontend);

/** Called before each wait of the loop: serves the queue if capacity was freed, and sends due token requests. */
void frontend_before_wait(struct frontend *frontend);

/** frontend_reach.c: registers the callback for probe results. */
void frontend_init_probes(struct frontend *frontend);

/** frontend_reach.c: bytes were received from a server. */
void frontend_record_received(struct frontend *frontend, struct server *server);

/** frontend_reach.c: the kernel of the server's machine does not respond on an open connection. */
void frontend_record_unresponsive(struct frontend *frontend, struct server *server);

/** frontend_reach.c: nothing answered a connection attempt for a request to a server. */
void frontend_record_connect_timeout(struct frontend *frontend, struct server *server);

/** frontend_reach.c: logs the zones that have become unreachable or reachable since the last call. */
void frontend_log_zone_changes(struct frontend *frontend);

/** frontend_reach.c: probes a server that has been silent for too long. */
void frontend_probe_if_silent(struct frontend *frontend, struct server *server);

/** frontend_reach.c: probes a server that has not failed in each unreachable zone, if that is due. */
void frontend_probe_zones(struct frontend *frontend);

/** frontend_contact.c: whether the gateway is cut off from the quorum of the state replicas; never without the setting
 * tolerated_zones. */
bool frontend_is_cut_off(const struct frontend *frontend);

/** frontend_contact.c: whether it has been cut off for so long that responses that wait for a commit are aborted. */
bool frontend_may_abort_commits(const struct frontend *frontend);

/** frontend_contact.c: whether a cut has ended so recently that the leader may still count the zone's gateways as
 * silent. */
bool frontend_was_recently_cut_off(const struct frontend *frontend);

/** frontend_contact.c: any frame arrived from another daemon. */
void frontend_record_frame(struct frontend *frontend, uint32_t from);

/** frontend_contact.c: a leader with a quorum replied to a load report, or committed an entry. */
void frontend_record_leader_reply(struct frontend *frontend);

/** frontend_contact.c: detects that the gateway is cut off, and probes replicas in other zones while in doubt. */
void frontend_contact_tick(struct frontend *frontend);

/** frontend_contact.c: Retry-After time while cut off, with a random part. */
uint64_t frontend_cut_off_retry_ms(struct frontend *frontend);

/** frontend_contact.c: part of frontend_write_metrics(). */
void frontend_contact_write_metrics(const struct frontend *frontend, struct buffer *out);

void frontend_write_metrics(const struct frontend *frontend, struct buffer *out);

#endif
