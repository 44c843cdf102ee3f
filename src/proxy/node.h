/**
 * @file node.h
 * Site daemon: one thread, one libuv loop. A site is one deployment: gateways,
 * state replicas, and the servers that requests are forwarded to. A daemon is a
 * gateway (frontend.h), a state replica (state_host.h), or both. This module has
 * the common parts: connections to the state replicas, requests to their leader,
 * the watch of the site's state (core/watch.h), the machine list, and shutdown.
 */
#ifndef BANKBANK_PROXY_NODE_H
#define BANKBANK_PROXY_NODE_H

#include <uv.h>

#include "core/control_client.h"
#include "core/memory_budget.h"
#include "core/watch.h"
#include "net/http_listener.h"
#include "net/links.h"
#include "net/upstream.h"
#include "proxy/dialect.h"
#include "proxy/machine_reader.h"
#include "proxy/node_settings.h"
#include "proxy/node_work.h"
#include "proxy/tick_timer.h"

enum {
    NODE_TICK_MS = 20,
    NODE_ISOLATED_MS = 700,             /**< Time without any frame after which a gateway is isolated. */
    NODE_STALL_MS = 400,                /**< Gap between ticks that counts as a stall. */
    NODE_STALL_GRACE_MS = 200,          /**< Time after a stall in which peers' silence is ignored. */
    NODE_FRESHNESS_TIMEOUT_MS = 1500,   /**< Age up to which watched state is fresh. */
    NODE_FALLBACK_LIST_PERIOD_MS = 1000 /**< Fetch period of a gateway without fresh state. */
};

struct state_host;
struct frontend;

/** `body` is valid during the call only. */
typedef void (*node_reply)(void *context, ResultCode code, struct view body);

/** A request in flight to the state replicas. */
struct node_request {
    node_reply reply; /**< NULL: the result is ignored. */
    void *context;    /**< Passed to `reply`. */
};

/** An encoded frame that the node sent to itself. */
struct node_local_frame {
    struct buffer data;
    struct node_local_frame *next;
};

struct node {
    const struct dialect *dialect;
    const char *settings_path;
    struct node_settings settings;
    memory_budget_t memory;
    uv_loop_t loop;
    tick_timer_t tick;
    uv_prepare_t prepare;  /**< Before each wait of the loop: syncs and flushes. */
    uv_signal_t terminate; /**< SIGTERM. */
    uv_signal_t interrupt; /**< SIGINT. */
    uv_signal_t reload;    /**< SIGHUP. */
    uint32_t id;           /**< Of a state replica: stored with its data; otherwise random for each run. */
    uint64_t boot_id;      /**< Random id of this run of the process. */
    struct links_event_loop links_event_loop;
    struct links links;
    struct control_client client;      /**< Requests to the leader. */
    struct raft_member_location relay; /**< Location of the replica that the watch was referred to. */
    struct watch_client watch;         /**< Receives the site's state from a replica. */
    struct watch_state state;          /**< The site's state, as last received or applied. */
    struct upstream_pool upstreams;    /**< Connections to servers and to the machine list. */
    struct machine_reader machine_reader;
    /* Queue of frames to this node; both NULL: empty. */
    struct node_local_frame *local_first;
    struct node_local_frame *local_last;
    struct state_host *host;    /**< State replica, or NULL. */
    struct frontend *frontend;  /**< Gateway, or NULL. */
    struct http_listener ready; /**< Readiness probe. */
    struct http_listener metrics;
    uint64_t last_tick_ms;
    uint64_t tick_delay_ms;          /**< Delay of the current or last tick. */
    uint64_t last_tick_disk_wait_ms; /**< state_host.disk_wait_ms at the last tick. */
    uint64_t stall_end_ms;     /**< Loop time; 0: no stall yet. Servers' silence and failures before it do not count. */
    uint64_t last_received_ms; /**< Last frame from another daemon. */
    node_work_t work;          /**< Counters at the last `work` log line. */
    bool logged_fresh;
    bool draining;
    uint64_t drain_started_ms;
    uint64_t settings_checked_ms;
};

/** Runs a daemon until it is stopped; returns the exit status. */
int node_run(const struct dialect *dialect, const char *settings_path);

/** Monotonic time, ms, cached by libuv at the start of each loop iteration. */
uint64_t node_now(const struct node *node);

/** Current time, ms, on the clock of node_now(); ahead of it if the process stalled within the loop iteration. */
uint64_t node_real_now(void);

/** Sends a request to the leader; `reply` is called once, by `deadline_ms` at the latest. Returns a handle for
 * node_ignore_reply(). */
struct node_request *node_submit(struct node *node, RequestKind kind, struct view body, uint64_t deadline_ms,
                                 node_reply reply, void *context);

struct node_request *node_propose(struct node *node, const Entry *entry, uint64_t deadline_ms, node_reply reply,
                                  void *context);

/** Retries until `deadline_ms`; the result is not reported. */
void node_propose_background(struct node *node, const Entry *entry, uint64_t deadline_ms);

/** Sends a request to one replica, once, without retries. */
struct node_request *node_submit_to_replica(struct node *node, uint32_t replica, RequestKind kind, struct view body,
                                            uint64_t deadline_ms, node_reply reply, void *context);

/** Prevents the reply callback; the request itself continues. `request` may be NULL. */
void node_ignore_reply(struct node *node, struct node_request *request);

/** Sends an encoded frame to a node, which may be this one; returns whether it was queued. */
bool node_send(struct node *node, uint32_t to, struct view frame);

bool node_send_frame(struct node *node, uint32_t to, const Frame *frame);

/** Connects to the seeds, the known members and the relay, and closes connections that it opened to other addresses. */
void node_dial(struct node *node);

/** Updates the watch and the control client after the set of connected replicas changed. */
void node_peers_changed(struct node *node);

/** Applies changes of the site's state to the connections and to the gateway, if there is one. */
void node_state_changed(struct node *node, struct watch_changes changes);

void node_log_drained(const struct node *node, const char *event);

/** Whether a state replica in contact with a quorum replied within NODE_FRESHNESS_TIMEOUT_MS, or this node's own
 * replica is in contact with a quorum. */
bool node_is_fresh(const struct node *node);

/** node_is_fresh() at a given time, such as node_real_now(). */
bool node_is_fresh_at(const struct node *node, uint64_t now_ms);

/** Time since the last watch with a fresh reply (core/watch.h) was sent, ms; 0 on a node with a replica. */
uint64_t node_state_age(const struct node *node);

/** Whether no state replica, fresh or not, has sent this gateway anything for NODE_ISOLATED_MS. */
bool node_is_isolated(const struct node *node);

/** If true, peers' silence may be due to a stall of this process. */
bool node_recently_stalled(const struct node *node);

/** Stops the event loop, which ends node_run(). */
void node_stop(struct node *node);

#endif
