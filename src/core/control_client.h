/**
 * @file control_client.h
 * A daemon's side of the control plane: sends requests to the state replica
 * that leads their group, follows leaders, retries, holds the daemon's lease
 * and keeps its copy of the configuration up to date. Pure, see replica.h.
 *
 * Every request is safe to send again: log entries are idempotent by attempt,
 * request or boot id. A request that may have been received but was not
 * answered in time ends as RESULT_TIMEOUT; one that certainly was not
 * proposed ends as RESULT_UNAVAILABLE.
 */
#ifndef BANKBANK_CORE_CONTROL_CLIENT_H
#define BANKBANK_CORE_CONTROL_CLIENT_H

#include <uthash.h>

#include "core/config_store.h"
#include "core/raft.h"
#include "core/replica.h"

enum {
    CONTROL_HEARTBEAT_MS = 500, /**< Period of the daemon's heartbeat. */
    CONTROL_RESEND_MS = 400,    /**< Time without an answer before a request goes elsewhere. */
    CONTROL_SLOW_MS = 1200,     /**< The same where the leader was heard meanwhile: it is slow, and what asks it again
                                     makes it slower. */
    CONTROL_RETRY_MS = 20,      /**< Pause after "not leader" without a better address. */
    CONTROL_PATIENT_MS = 250,   /**< That pause of a request that nobody waits for. */
    CONTROL_SEARCH_MS = 100,    /**< Heartbeat period while no leader of group 0 is known. */
    CONTROL_SILENCE_MS = 1200   /**< Time without a heartbeat reply before another replica is tried. */
};

/** Effects, carried out by the host. */
struct control_client_io {
    void *context; /**< First argument of every function. */
    /** Queues an encoded Frame for a state replica and returns; false: no connection to it. */
    bool (*send)(void *context, uint32_t to, struct view frame);
    /** Ends a request; `body` is valid only during the call. */
    void (*complete)(void *context, void *token, ResultCode code, struct view body);
    /** Tells that the configuration advanced. */
    void (*config_changed)(void *context, const struct config_store *config);
};

/** Fixed settings. */
struct control_client_config {
    uint32_t node;                       /**< This daemon's id. */
    uint64_t boot_id;                    /**< Random id of this start. */
    uint32_t groups;                     /**< Groups of the system. */
    uint32_t replica_count;              /**< State replicas. */
    uint32_t replicas[RAFT_MAX_MEMBERS]; /**< Their node ids. */
    uint32_t heartbeat_ms;               /**< 0: CONTROL_HEARTBEAT_MS. */
    bool requests_only;                  /**< No lease and no operators' resources: sends requests, no heartbeats. */
};

/** A request that waits for its answer. */
struct control_request {
    uint64_t id;          /**< Id on the wire. */
    uint32_t group;       /**< Group asked. */
    RequestKind kind;     /**< What is asked. */
    uint8_t *body;        /**< Encoded entry or query, owned. */
    size_t length;        /**< Bytes of `body`. */
    uint64_t deadline_ms; /**< Monotonic time of giving up. */
    uint64_t next_ms;     /**< Time of the next send. */
    uint64_t sent_ms;     /**< Time of the last one. */
    uint32_t target;      /**< Replica it was last sent to. */
    bool pinned;          /**< Only `target` is asked, once. */
    bool patient;         /**< Nobody waits for it: it pauses longer while no leader is known. */
    bool sent;            /**< It may have been received. */
    void *token;          /**< Caller's handle; NULL for the client's own requests. */
    UT_hash_handle hh;    /**< By id. */
};

/** A daemon's control client. */
struct control_client {
    struct control_client_config config;   /**< Fixed settings. */
    struct control_client_io io;           /**< Effects. */
    struct control_request *requests;      /**< Waiting requests. */
    uint64_t next_id;                      /**< Last request id given. */
    uint32_t leaders[REPLICA_MAX_GROUPS];  /**< Believed leaders, 0: unknown. */
    uint64_t heard_ms[REPLICA_MAX_GROUPS]; /**< Time they were heard last. */
    uint32_t rotation;                     /**< Next replica to guess. */
    uint64_t heartbeat_due_ms;             /**< Next heartbeat. */
    uint64_t heartbeat_answered_ms;        /**< Time of the last reply of a leader. */
    uint64_t epoch;                        /**< Lease epoch, 0: none. */
    uint64_t lease_until_ms;               /**< End of the lease. */
    bool lease_requested;                  /**< A new epoch was asked for. */
    bool config_requested;                 /**< A configuration read is under way. */
    bool config_known;                     /**< A linearizable read succeeded in this start. */
    struct config_store store;             /**< The daemon's copy. */
    uint64_t messages_sent;                /**< Frames sent. */
    uint64_t bytes_sent;                   /**< Their bytes. */
    bool draining;                         /**< Told to the leader with each heartbeat. */
};

/** Starts the client. */
void control_client_init(struct control_client *client, const struct control_client_config *config,
                         const struct control_client_io *io);

/** Frees it; waiting requests complete with RESULT_TIMEOUT. */
void control_client_close(struct control_client *client);

/** Sends a request; it completes once, by `deadline_ms` (monotonic) at the latest. */
void control_client_submit(struct control_client *client, uint64_t now_ms, uint32_t group, RequestKind kind,
                           struct view body, uint64_t deadline_ms, void *token);

/** The same for a request that nobody waits for; many of them may wait for a leader at once. */
void control_client_post(struct control_client *client, uint64_t now_ms, uint32_t group, RequestKind kind,
                         struct view body, uint64_t deadline_ms, void *token);

/** Asks one replica once; ends as RESULT_UNAVAILABLE if it cannot be reached. */
void control_client_ask(struct control_client *client, uint64_t now_ms, uint32_t node, uint32_t group, RequestKind kind,
                        struct view body, uint64_t deadline_ms, void *token);

/** Replaces the replicas to ask. */
void control_client_set_replicas(struct control_client *client, const uint32_t *nodes, uint32_t count);

/** Forgets a request; it does not complete. */
void control_client_forget(struct control_client *client, const void *token);

/** Notes that something came from a node, whatever it is. */
void control_client_note_heard(struct control_client *client, uint64_t now_ms, uint32_t from);

/**
 * Another source tells who leads a group: taken where no leader is known, or
 * where the believed one has been silent for CONTROL_RESEND_MS.
 */
void control_client_hint_leader(struct control_client *client, uint64_t now_ms, uint32_t group, uint32_t leader);

/** Handles a frame from a state replica. */
void control_client_receive(struct control_client *client, uint64_t now_ms, uint32_t from, const Frame *frame);

/** Advances time. */
void control_client_tick(struct control_client *client, uint64_t now_ms);

/** Tells that the connection to a replica is gone: what was sent to it goes elsewhere. */
void control_client_disconnected(struct control_client *client, uint64_t now_ms, uint32_t node);

/** Whether the daemon may take program calls now. */
bool control_client_has_lease(const struct control_client *client, uint64_t now_ms);

#endif
