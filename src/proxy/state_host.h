/**
 * @file state_host.h
 * State replica of a site daemon: a member of the Raft group that stores the
 * site's state (core/site_state.h), or a replica outside the group. Storage,
 * bootstrap and joining of the group, watches of other daemons, and the operators'
 * API.
 */
#ifndef BANKBANK_PROXY_STATE_HOST_H
#define BANKBANK_PROXY_STATE_HOST_H

#include "core/load_table.h"
#include "core/presence.h"
#include "core/quarantine.h"
#include "core/quota_table.h"
#include "core/replica.h"
#include "core/slow_start.h"
#include "proxy/node.h"
#include "store/history_store.h"
#include "store/identity.h"
#include "store/log_store.h"

enum {
    STATE_HOST_ELECTION_TIMEOUT_MS = 400,      /**< Minimum. */
    STATE_HOST_SHORT_ELECTION_TIMEOUT_MS = 50, /**< Minimum after a start or a disconnect of the leader. */
    STATE_HOST_HEARTBEAT_MS = 80,
    STATE_HOST_TEXT_SEGMENT_BYTES = 4 << 20, /**< Segment size of the text store; only whole segments are deleted. */
    STATE_HOST_JOIN_RETRY_MS = 250,
    STATE_HOST_JOIN_REJECTED_RETRY_MS = 1000, /**< After a join was declined: the group is complete. */
    STATE_HOST_MAX_TENANT_METRICS = 64, /**< Tenants in the metrics: the first ones with a limit that sent requests. */
    STATE_HOST_VERSIONS_RETRY_MS = 200, /**< Interval of comparisons while entries of versions are not applied. */
    STATE_HOST_NO_LEADER_TIMEOUT_MS = 1000 /**< Time without a leader until a member requests to join again; also the
                                                timeout of a join request. */
};

/** Parts of a replica with a memory limit each. */
typedef enum state_host_memory_kind_t {
    STATE_HOST_MEMORY_LOG,    /**< In-memory log entries. */
    STATE_HOST_MEMORY_STATE,  /**< Turn index and budgets. */
    STATE_HOST_MEMORY_QUEUES, /**< Frames queued for peers. */
    STATE_HOST_MEMORY_KINDS
} state_host_memory_kind_t;

struct state_host {
    struct node *node;
    struct identity identity;
    bool running; /**< It has joined a group, and may have been removed since; `replica`, `log`, `texts` are open. */
    struct replica replica;
    struct log_store log;       /**< Includes the snapshots. */
    struct history_store texts; /**< Texts of turns. */
    struct watch_server watchers;
    struct load_table loads;        /**< Leader only: in-flight requests by gateway. */
    presence_t presence;            /**< Leader only: gateways that reported recently. */
    quota_table_t quotas;           /**< Leader only: rate limit tokens of tenants. */
    slow_start_table_t slow_starts; /**< Leader only: tokens for servers that have just started. */
    quarantine_t quarantine;        /**< Leader only: the quarantined operations of the log, and those of gateways. */
    uint64_t quarantines_applied;   /**< Leader only: quarantine_t.begun of the log when last copied. */
    uint64_t suspects_applied;  /**< Leader only: quarantine_t.one_left of the log when gateways were last notified. */
    uint64_t suspects_until_ms; /**< Logged time of the last failure of which gateways were notified. */
    bool versions_due;          /**< Leader only: its list may show versions that the log does not have. */
    uint64_t versions_due_ms;   /**< Time of the next comparison. */
    uint64_t quarantines;       /**< Operations quarantined so far. */
    struct route_table *routes; /**< Configuration that the quotas are computed from, or NULL. */
    struct http_listener control; /**< Operators' API. */
    bool serves_control;          /**< `control` is listening. */
    uint64_t join_due_ms;
    bool disk_blocked;     /**< The disk is full; log records stay pending. */
    uint64_t disk_wait_ms; /**< Total time blocked by syncs. */
    bool joining;          /**< A join request is in flight. */
    uint64_t leader_seen_ms;
    uint64_t dialled_index; /**< 1 + log index of the members last connected to; 0: none. */
    uint32_t logged_leader;
    bool logged_is_leader;
    bool logged_full[STATE_HOST_MEMORY_KINDS];
};

/** Loads the replica's identity and, if it has joined a group, its state. NULL: the disk failed. */
struct state_host *state_host_open(struct node *node);

void state_host_peer_disconnected(struct state_host *host, uint32_t peer);

/** Starts the operators' API if the settings have an address for it; false: it cannot listen. */
bool state_host_listen(struct state_host *host);

/** Does not free `host`: the caller does so once the loop has closed its handles. */
void state_host_close(struct state_host *host);

void state_host_receive(struct state_host *host, uint32_t from, const Frame *frame);

/** Periodic work: joining, elections, heartbeats, logging. */
void state_host_tick(struct state_host *host);

/** Latest members in the log, committed or not; NULL: the replica has not joined a group yet. */
const struct raft_members *state_host_logged_members(const struct state_host *host);

/** Called before each wait of the loop: syncs the log, sends what had to wait for the sync, and updates watchers. */
void state_host_before_wait(struct state_host *host);

bool state_host_is_leader(const struct state_host *host);

/** RAFT_NO_NODE: unknown. */
uint32_t state_host_leader(const struct state_host *host);

/** `encoded`: a ServerList fetched from the platform. Ignored unless this replica leads. */
void state_host_apply_servers(struct state_host *host, struct view encoded);

/** Returns true while the transfer is pending; to be called again until it returns false. */
bool state_host_transfer_leadership(struct state_host *host);

void state_host_write_metrics(const struct state_host *host, struct buffer *out);

/** Handles a request of the operators' API (operator_api.c). */
void operator_api_handle(struct state_host *host, struct http_call *call);

#endif
