/**
 * @file state_host.h
 * Hosts a state replica in a node: its disk, how it comes to belong to a
 * group, the watches of other daemons, and the operators' calls.
 */
#ifndef BANKBANK_PROXY_STATE_HOST_H
#define BANKBANK_PROXY_STATE_HOST_H

#include "core/load_table.h"
#include "core/presence.h"
#include "core/quota_table.h"
#include "core/replica.h"
#include "core/slow_start.h"
#include "proxy/node.h"
#include "store/history_store.h"
#include "store/identity.h"
#include "store/log_store.h"

enum {
    STATE_HOST_ELECTION_MS = 400,         /**< Least time without a leader before an election. */
    STATE_HOST_FIRST_ELECTION_MS = 50,    /**< The same after a start, or when the leader's connection ended. */
    STATE_HOST_HEARTBEAT_MS = 80,         /**< Leader's heartbeat period. */
    STATE_HOST_TEXT_FILE_BYTES = 4 << 20, /**< Size of a file of texts, dropped as a whole. */
    STATE_HOST_JOIN_MS = 250,             /**< Pause between requests to join. */
    STATE_HOST_OUTSIDE_MS = 1000,         /**< That pause of a machine that was told that the members are enough. */
    STATE_HOST_TENANTS_TOLD = 64,         /**< Tenants in the metrics, at most: those with a limit that asked first. */
    STATE_HOST_LOST_MS = 1000             /**< Time without a leader after which a member asks to join again. */
};

/** What of a replica grows with the traffic, each with a share of the memory. */
typedef enum state_host_holder_t {
    STATE_HOST_LOG,    /**< Log entries in memory. */
    STATE_HOST_STATE,  /**< Index of turns, and budgets. */
    STATE_HOST_QUEUES, /**< Frames that peers have not taken. */
    STATE_HOST_HOLDERS /**< Number of them. */
} state_host_holder_t;

/** The host. */
struct state_host {
    struct node *node;                  /**< The daemon. */
    struct identity identity;           /**< Who this replica is. */
    bool running;                       /**< It belongs to a group; `replica` and `log` are open. */
    struct replica replica;             /**< The replica. */
    struct log_store log;               /**< Its disk. */
    struct history_store texts;         /**< Texts of turns, on that disk. */
    struct watch_server watchers;       /**< Daemons that watch it. */
    struct load_table loads;            /**< Leader: what gateways have under way. */
    presence_t presence;                /**< Leader: which gateways were heard of lately. */
    quota_table_t quotas;               /**< Leader: what tenants may still ask for. */
    slow_start_table_t slow_starts;     /**< Leader: what servers that have just started may still get. */
    struct route_table *routes;         /**< Configuration by which that is counted, or NULL. */
    struct http_listener control;       /**< Operators' calls. */
    bool serves_control;                /**< It has a control address. */
    uint64_t join_due_ms;               /**< Next request to join. */
    bool disk_blocked;                  /**< The disk takes nothing now. */
    uint64_t disk_wait_ms;              /**< Time spent in waits for the disk. */
    bool joining;                       /**< One is under way. */
    uint64_t led_ms;                    /**< Last time a leader was known. */
    uint64_t dialled_index;             /**< Log entry of the members that are dialled, and 1. */
    uint32_t told_leader;               /**< Leader that the log told last. */
    bool told_leading;                  /**< Whether that was this node. */
    bool told_full[STATE_HOST_HOLDERS]; /**< Holders of memory that the log last told to be full. */
};

/** Loads the identity and, if it belongs to a group, the state; NULL: it cannot run. */
struct state_host *state_host_open(struct node *node);

/** The connection to another daemon ended. */
void state_host_peer_lost(struct state_host *host, uint32_t peer);

/** Opens what needs the node's links: operators' calls. */
bool state_host_listen(struct state_host *host);

/** Frees what it holds; the memory itself may go once the loop has closed its handles. */
void state_host_close(struct state_host *host);

/** Handles a frame that is for the replica. */
void state_host_receive(struct state_host *host, uint32_t from, const Frame *frame);

/** Advances time. */
void state_host_tick(struct state_host *host);

/** The latest members in the log, committed or not; NULL: it belongs to no group yet. */
const struct raft_members *state_host_logged_members(const struct state_host *host);

/** Syncs what was written, releases what waited for it, tells watchers what is new. */
void state_host_settle(struct state_host *host);

/** Whether this replica leads. */
bool state_host_leads(const struct state_host *host);

/** Leader as this replica knows it, or RAFT_NO_NODE. */
uint32_t state_host_leader(const struct state_host *host);

/** Takes a list of servers that was read from the platform. */
void state_host_take_servers(struct state_host *host, struct view encoded);

/** Gives leadership away; true while there is still some to give. */
bool state_host_hand_over(struct state_host *host);

/** Writes its metrics. */
void state_host_write_metrics(const struct state_host *host, struct buffer *out);

/** control_api.c: handles an operator's call. */
void control_api_handle(struct state_host *host, struct http_call *call);

#endif
