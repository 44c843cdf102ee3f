/**
 * @file control_client.h
 * A daemon's client for the state replicas: sends requests to the leader of
 * their group, follows leader changes, retries, renews the daemon's lease
 * (lease_table.h) and updates its copy of the configuration. A state machine
 * without I/O, like replica.h.
 *
 * A request may be sent repeatedly: log entries are idempotent by attempt,
 * request or boot id. Without a reply by its deadline, a request completes with
 * RESULT_TIMEOUT if it may have been received, else with RESULT_UNAVAILABLE: it
 * was certainly not proposed. Requests of control_client_submit_to_replica(),
 * which are reads, get the latter in both cases.
 */
#ifndef BANKBANK_CORE_CONTROL_CLIENT_H
#define BANKBANK_CORE_CONTROL_CLIENT_H

#include <uthash.h>

#include "core/config_store.h"
#include "core/raft.h"
#include "core/replica.h"

enum {
    CONTROL_HEARTBEAT_MS = 500,           /**< Default of control_client_config.heartbeat_ms. */
    CONTROL_RESEND_MS = 400,              /**< Time without a reply before a request is sent to another replica. */
    CONTROL_SLOW_LEADER_RESEND_MS = 1200, /**< Instead of CONTROL_RESEND_MS while other frames arrive from the leader:
                                             it is slow, and resent requests add to its load. */
    CONTROL_RETRY_MS = 20,                /**< Delay after a failed send or a reply that names no other leader. */
    CONTROL_BACKGROUND_RETRY_MS = 250,    /**< Instead of CONTROL_RETRY_MS for background requests. */
    CONTROL_NO_LEADER_RETRY_MS = 100,     /**< Delay of the next heartbeat after a reply that names no leader. */
    CONTROL_HEARTBEAT_TIMEOUT_MS = 1200   /**< Time without a heartbeat reply before another replica is tried. */
};

/** Callbacks, implemented by the host. */
struct control_client_io {
    void *context; /**< Passed to every callback. */
    /** Queues an encoded Frame for a state replica without blocking; false: not connected to it. */
    bool (*send)(void *context, uint32_t to, struct view frame);
    /** Completes a request; `body` is valid only during the call. */
    void (*complete)(void *context, void *token, ResultCode code, struct view body);
    /** Called when the configuration has a new revision. */
    void (*config_changed)(void *context, const struct config_store *config);
};

struct control_client_config {
    uint32_t node;    /**< This daemon's id. */
    uint64_t boot_id; /**< Random, per process start. */
    uint32_t groups;  /**< Number of Raft groups. */
    uint32_t replica_count;
    uint32_t replicas[RAFT_MAX_MEMBERS]; /**< Node ids. */
    uint32_t heartbeat_ms;               /**< 0: CONTROL_HEARTBEAT_MS. */
    bool requests_only;                  /**< Sends no heartbeats, holds no lease and reads no configuration. */
};

/** A request without a reply yet. */
struct control_request {
    uint64_t id; /**< Repeated in the reply. */
    uint32_t group;
    RequestKind kind;
    uint8_t *body; /**< Encoded entry or query, owned. */
    size_t length;
    uint64_t deadline_ms; /**< Monotonic. */
    uint64_t next_ms;     /**< When to send it next. */
    uint64_t sent_ms;     /**< Time of the last send. */
    uint32_t target;      /**< Replica it was last sent to. */
    bool pinned;          /**< Sent only to `target`, once. */
    bool background;      /**< No caller waits for it; retried less often while no leader is known. */
    bool sent;            /**< Sent at least once, and may have been received. */
    void *token;          /**< The caller's; NULL: a request of the client itself. */
    UT_hash_handle hh;    /**< By id. */
};

struct control_client {
    struct control_client_config config;
    struct control_client_io io;
    struct control_request *requests;               /**< Pending, by id. */
    uint64_t last_id;                               /**< Last request id assigned. */
    uint32_t leaders[REPLICA_MAX_GROUPS];           /**< Presumed leader of each group, or RAFT_NO_NODE. */
    uint64_t leader_contact_ms[REPLICA_MAX_GROUPS]; /**< Time of the last frame from that leader. */
    uint32_t rotation;                              /**< Round-robin position for when no leader is known. */
    uint64_t heartbeat_due_ms;
    uint64_t heartbeat_answered_ms; /**< Time of the leader's last reply; those of followers do not count. */
    uint64_t epoch;                 /**< Of the lease; 0: none. */
    uint64_t lease_until_ms;
    bool lease_requested; /**< A request for a new epoch is pending. */
    bool config_requested;
    bool config_known; /**< A linearizable read of the configuration has succeeded since this process started. */
    struct config_store store; /**< Copy of the configuration. */
    uint64_t messages_sent;
    uint64_t bytes_sent;
    bool draining; /**< Reported in each heartbeat. */
};

void control_client_init(struct control_client *client, const struct control_client_config *config,
                         const struct control_client_io *io);

/** Pending requests complete with RESULT_TIMEOUT. */
void control_client_close(struct control_client *client);

/** Sends a request. It completes exactly once, by `deadline_ms` (monotonic) at the latest, unless cancelled. */
void control_client_submit(struct control_client *client, uint64_t now_ms, uint32_t group, RequestKind kind,
                           struct view body, uint64_t deadline_ms, void *token);

/** Like control_client_submit(), with less frequent retries: no caller waits, and many may be pending while there is no
 * leader. */
void control_client_submit_background(struct control_client *client, uint64_t now_ms, uint32_t group, RequestKind kind,
                                      struct view body, uint64_t deadline_ms, void *token);

/** Sends a request to one replica, once; it completes with RESULT_UNAVAILABLE if that one is unreachable or does not
 * reply by the deadline. */
void control_client_submit_to_replica(struct control_client *client, uint64_t now_ms, uint32_t node, uint32_t group,
                                      RequestKind kind, struct view body, uint64_t deadline_ms, void *token);

void control_client_set_replicas(struct control_client *client, const uint32_t *nodes, uint32_t count);

/** Drops the requests with this token; they do not complete. */
void control_client_cancel(struct control_client *client, const void *token);

/** Records that a frame of any kind arrived from a node. */
void control_client_record_received(struct control_client *client, uint64_t now_ms, uint32_t from);

/** Reports a group's leader as learnt from another source. It is used only if no leader is known, or nothing arrived
 * from the presumed one for CONTROL_RESEND_MS. */
void control_client_hint_leader(struct control_client *client, uint64_t now_ms, uint32_t group, uint32_t leader);

void control_client_receive(struct control_client *client, uint64_t now_ms, uint32_t from, const Frame *frame);

/** Sends due heartbeats, resends requests and fails those past their deadline. Called periodically. */
void control_client_tick(struct control_client *client, uint64_t now_ms);

/** Reports that the connection to a replica is closed: requests sent to it become due for a resend, pinned ones
 * excepted. */
void control_client_disconnected(struct control_client *client, uint64_t now_ms, uint32_t node);

/** Whether the daemon may accept program calls: it holds a lease and knows the configuration. */
bool control_client_has_lease(const struct control_client *client, uint64_t now_ms);

#endif
