/**
 * @file node.h
 * A daemon of a site that finds its peers by itself: one thread, one libuv
 * loop. By its settings it is a gateway (front.h), a state replica
 * (state_host.h), or both. What both need stands here: links to the state
 * replicas, requests to their leader, the watch, the machine list, stopping.
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

enum {
    NODE_TICK_MS = 20,             /**< Period of the clock tick. */
    NODE_ISOLATED_MS = 700,        /**< Silence of all replicas after which a gateway counts as cut off. */
    NODE_STALL_MS = 400,           /**< A gap between ticks that is a standstill of this process. */
    NODE_WOKE_MS = 200,            /**< Time after a standstill of its own for which others' silence says nothing. */
    NODE_FRESH_MS = 1500,          /**< Time without a fresh replica before a gateway helps itself. */
    NODE_OWN_LIST_PERIOD_MS = 1000 /**< Pause between readings of the list by a gateway cut off. */
};

struct state_host;
struct front;

/** Receives the outcome of a request; `body` is valid during the call. */
typedef void (*node_reply)(void *context, ResultCode code, struct view body);

/** A request to the state replicas that is under way. */
struct node_request {
    node_reply reply; /**< Receiver. */
    void *context;    /**< Its first argument. */
};

/** A frame that the node sends to itself. */
struct node_frame {
    struct buffer data;      /**< Encoded frame. */
    struct node_frame *next; /**< Queue. */
};

/** The daemon. */
struct node {
    const struct dialect *dialect;  /**< The platform's manner of speaking. */
    const char *settings_path;      /**< Settings file. */
    struct node_settings settings;  /**< Settings in force. */
    memory_budget_t memory;         /**< Shares of the memory that it may use. */
    uv_loop_t loop;                 /**< Event loop. */
    uv_timer_t tick;                /**< Clock tick. */
    uv_prepare_t settle;            /**< Runs before each wait: syncs, flushes. */
    uv_signal_t terminate;          /**< SIGTERM. */
    uv_signal_t interrupt;          /**< SIGINT. */
    uv_signal_t reload;             /**< SIGHUP. */
    uint32_t id;                    /**< Node id. */
    uint64_t boot_id;               /**< Random id of this start. */
    struct links_watcher watcher;   /**< Binds links to the loop. */
    struct links links;             /**< Connections to other daemons. */
    struct control_client client;   /**< Requests to the leader. */
    struct raft_member_place relay; /**< Where the replica is to which the watch was referred. */
    struct watch_client watch;      /**< The watch. */
    struct watch_state state;       /**< What is known of the site. */
    struct upstream_pool upstreams; /**< Connections to servers and to the machine list. */
    struct machine_reader machines; /**< Machine list. */
    struct node_frame *local_first; /**< Frames to itself. */
    struct node_frame *local_last;  /**< Last of them. */
    struct state_host *host;        /**< State replica, or NULL. */
    struct front *front;            /**< Gateway, or NULL. */
    struct http_listener ready;     /**< Readiness question. */
    struct http_listener metrics;   /**< Metrics. */
    uint64_t ticked_ms;             /**< Last tick. */
    uint64_t ticked_disk_ms;        /**< Time a replica had waited for its disk until the last tick. */
    uint64_t woke_ms;               /**< End of the last stall: what began before says nothing of others. */
    uint64_t heard_ms;              /**< Last frame of another daemon. */
    node_work_t work;               /**< What it worked on, as told last. */
    bool fresh_told;                /**< Whether the log last told that the state replicas are in touch. */
    bool draining;                  /**< The stop has begun. */
    uint64_t drain_since_ms;        /**< When. */
    uint64_t settings_checked_ms;   /**< Last look at the settings file. */
};

/** Runs a daemon until it is stopped; returns the exit status. */
int node_run(const struct dialect *dialect, const char *settings_path);

/** Loop time, ms: that of the begin of its turn. */
uint64_t node_now(const struct node *node);

/** The time now, ms, on the same clock: later than the loop's where the process stood still within the turn. */
uint64_t node_real_now(void);

/** Sends a request to the leader; `reply` comes once, by `deadline_ms` at the latest. Returns a handle to forget it. */
struct node_request *node_submit(struct node *node, RequestKind kind, struct view body, uint64_t deadline_ms,
                                 node_reply reply, void *context);

/** Proposes an entry to the leader. */
struct node_request *node_propose(struct node *node, const Entry *entry, uint64_t deadline_ms, node_reply reply,
                                  void *context);

/** Proposes an entry that nobody waits for; it is tried until `deadline_ms`. */
void node_post(struct node *node, const Entry *entry, uint64_t deadline_ms);

/** Asks one replica once. */
struct node_request *node_ask(struct node *node, uint32_t replica, RequestKind kind, struct view body,
                              uint64_t deadline_ms, node_reply reply, void *context);

/** No reply comes any more; the request itself goes on. NULL is allowed. */
void node_forget(struct node *node, struct node_request *request);

/** Sends an encoded frame to a node, which may be this one. */
bool node_send(struct node *node, uint32_t to, struct view frame);

/** Encodes and sends a frame. */
bool node_send_frame(struct node *node, uint32_t to, const Frame *frame);

/** Dials the seeds and the members that are known now. */
void node_dial(struct node *node);

/** Updates what depends on which replicas are connected. */
void node_peers_changed(struct node *node);

/** Tells the gateway, if there is one, what is new. */
void node_state_changed(struct node *node, struct watch_changes changes);

/** Writes a log line of the drained zones that are known. */
void node_log_drained(const struct node *node, const char *event);

/** Whether a state replica in touch with a quorum answered lately. */
bool node_is_fresh(const struct node *node);

/** The same at a time, such as node_real_now() where the loop's may be long past. */
bool node_is_fresh_at(const struct node *node, uint64_t now_ms);

/** Time since a replica in touch with a quorum was last asked and answered, ms; 0 where this node holds one. */
uint64_t node_state_age(const struct node *node);

/** Whether no state replica can be reached, not even one out of touch with the others. */
bool node_is_isolated(const struct node *node);

/** Whether this process stood still until a moment ago: others' silence says nothing then. */
bool node_has_just_woken(const struct node *node);

/** Ends the daemon. */
void node_stop(struct node *node);

#endif
