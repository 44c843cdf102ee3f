/**
 * @file links.h
 * Connections between daemons: length-prefixed protobuf frames over TCP, driven
 * by one thread through epoll, or by the caller's event loop (struct
 * links_event_loop).
 *
 * Every daemon dials each state replica (core/replica.h); a replica sends to a
 * gateway over the connection that the gateway opened. The first frame in each
 * direction is a Hello with cluster name and protocol version; a mismatch ends the
 * connection. If the send queues of all peers together would exceed
 * max_queued_bytes, a frame is rejected unless the queue of its peer is empty;
 * callers treat that as packet loss.
 *
 * Wire format: u32 length (little endian), then an encoded Frame.
 */
#ifndef BANKBANK_NET_LINKS_H
#define BANKBANK_NET_LINKS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buffer.h"
#include "control.pb.h"
#include "core/raft.h"
#include "core/state_machine.h"
#include "net/address.h"
#include "net/dial_backoff.h"
#include "net/link_counts.h"

enum {
    LINKS_VERSION = 1,                    /**< Protocol version. */
    LINKS_FEATURE_LEVEL = STATE_LEVEL,    /**< Highest level of log entries that this version can apply. */
    LINKS_MAX_FRAME_BYTES = 64 << 20,     /**< Of a received frame. */
    LINKS_MAX_QUEUED_BYTES = 64 << 20,    /**< Default of links_config.max_queued_bytes. */
    LINKS_KEEP_CAPACITY_BYTES = 32 << 10, /**< Buffers up to this capacity are never freed for being unused. Larger ones
                                             are freed when empty, if little used or if the send queues together take
                                             more than half of their limit. */
    LINKS_SHRINK_MS = 1000,               /**< Interval of checks that free larger, mostly unused buffers. */
    LINKS_MAX_REPLICAS = 256,             /**< Array size for links_list_replicas(), which includes non-members. */
    LINKS_ACK_TIMEOUT_MS = 2000 /**< TCP_USER_TIMEOUT: closes a connection whose bytes stay unacknowledged this long. */
};

struct links_handler {
    void *context; /**< First argument of every callback. */
    /** A frame from an identified peer was received; its views are valid during the call. */
    void (*frame)(void *context, uint32_t from, const Frame *frame);
    /** The last connection to a peer was closed. */
    void (*disconnected)(void *context, uint32_t node);
    /** A peer's Hello was accepted; may be NULL. */
    void (*connected)(void *context, uint32_t node);
};

struct links;

/** An event loop of the caller, used instead of epoll. */
struct links_event_loop {
    void *context; /**< First argument of `watch`. */
    /** Watches `fd` for readability and writability; `subject` is passed to links_handle_ready(). Returns a handle. */
    void *(*watch)(void *context, struct links *links, void *subject, int fd);
    /** Sets whether writability is reported. */
    void (*want_write)(void *handle, bool wanted);
    /** Stops watching; the descriptor is closed right afterwards. */
    void (*unwatch)(void *handle);
};

/** A state replica to dial. */
struct links_peer {
    uint32_t node; /**< Expected node id; RAFT_NO_NODE: any. */
    struct address address;
    struct link *link; /**< NULL if there is no connection. */
    dial_backoff_t backoff;
};

struct links_config {
    const char *cluster;
    const char *zone;      /**< Own zone, sent in Hello. */
    uint32_t node;         /**< Own node id. */
    uint64_t boot_id;      /**< Random id of this process. */
    struct address listen; /**< Used if `listens`. */
    bool listens;
    bool replica; /**< Sent in Hello: this daemon holds a replica that joins the group automatically. */
    struct raft_member_location location;      /**< Location of that replica. */
    const struct links_event_loop *event_loop; /**< Event loop of the caller; NULL: use epoll. */
    size_t max_queued_bytes;                   /**< Unsent bytes of all connections; 0: LINKS_MAX_QUEUED_BYTES. */
};

/** All connections of a daemon. */
struct links {
    struct links_config config;
    struct links_handler handler;
    int epoll;                                 /**< -1 with an event loop of the caller. */
    int listener;                              /**< Listening socket, or -1. */
    void *listener_watch;                      /**< Handle returned by `watch` for the listening socket. */
    struct links_peer peers[RAFT_MAX_MEMBERS]; /**< State replicas other than this node. */
    uint32_t peer_count;
    struct link *all;     /**< Every connection. */
    struct link *by_node; /**< Hash table by node id: connection for sending to it. */
    struct link *pending; /**< List of connections that links_flush() writes. */
    bool has_closed;      /**< A connection has ended: call links_tick() at once. */
    uint64_t frames_in, frames_out;
    link_counts_t counts_in, counts_out;
    uint64_t bytes_in, bytes_out; /**< Including length prefixes. */
    size_t queued_bytes;          /**< Unsent bytes of all connections. */
    size_t out_capacity;          /**< Memory of the send queues of all connections. */
    uint64_t shrink_due_ms;       /**< Time of the next check for unused buffers. */
    uint64_t frames_refused;      /**< Frames rejected because the send queues were full. */
    char error[256];              /**< Error of links_init(). */
};

/** Starts listening if configured; returns false and sets `error` on failure. */
bool links_init(struct links *links, const struct links_config *config, const struct links_handler *handler);

/** Adds a state replica to dial; ignored if there are RAFT_MAX_MEMBERS already. */
void links_add_peer(struct links *links, uint32_t node, const struct address *address);

/** Replaces the addresses to dial. New ones accept any node id; dialled connections to removed ones are closed. */
void links_set_addresses(struct links *links, const struct address *addresses, uint32_t count);

/** Fills `nodes` and `locations` with the connected peers that hold a replica, `max` at most; returns their number. */
uint32_t links_list_replicas(const struct links *links, uint32_t *nodes, struct raft_member_location *locations,
                             uint32_t max);

/** Lowest feature level of log entries among those of `nodes` that are connected, at most LINKS_FEATURE_LEVEL. */
uint32_t links_min_feature_level(const struct links *links, const uint32_t *nodes, uint32_t count);

/** Gets the location of the replica of a node; returns false if it is not connected or holds none. */
bool links_replica_location(const struct links *links, uint32_t node, struct raft_member_location *location);

/** With an event loop of the caller: handles readiness of `subject`. Call links_tick() if it sets `has_closed`. */
void links_handle_ready(struct links *links, void *subject, bool readable, bool writable);

/** With an event loop of the caller: dials due peers, checks connect timeouts, frees ended connections and unused
 * buffers. Call it on a timer rather than for each event, since it visits all connections. */
void links_tick(struct links *links, uint64_t now_ms);

/** Also wakes links_poll() when `fd` is readable. */
void links_watch_fd(struct links *links, int fd);

/** Queues an encoded frame; returns false if there is no connection to `node`, or the send queues are full. */
bool links_send(struct links *links, uint32_t node, struct view frame);

/** Bytes queued for a node that are not written yet; 0 if it is not connected. */
size_t links_unsent_bytes(const struct links *links, uint32_t node);

/** Dials due peers, waits up to `timeout_ms` for events and handles them. */
void links_poll(struct links *links, uint64_t now_ms, int timeout_ms);

/** Writes queued frames as far as the sockets accept them; the rest is written when they become writable. */
void links_flush(struct links *links);

/** Number of connections with identified peers. */
uint32_t links_connected_count(const struct links *links);

void links_close(struct links *links);

#endif
