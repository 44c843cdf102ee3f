/**
 * @file links.h
 * Connections between daemons: length-prefixed nanopb frames over TCP,
 * driven by one thread through epoll, or by the host's own event loop
 * (links_watcher).
 *
 * Every daemon dials each state replica; a replica answers a gateway over the
 * connection that the gateway made. The first frame each way is a Hello with
 * cluster name and protocol version; a mismatch ends the connection. Frames
 * for peers that do not take them are refused once the queues of all peers
 * hold LINKS_MAX_QUEUED bytes, or the host's bound; the layers above treat that
 * as loss.
 *
 * Wire form: u32 length (little endian), then an encoded Frame.
 */
#ifndef BANKBANK_NET_LINKS_H
#define BANKBANK_NET_LINKS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buffer.h"
#include "control.pb.h"
#include "core/raft.h"
#include "net/address.h"
#include "net/dial_pace.h"
#include "net/link_counts.h"

enum {
    LINKS_VERSION = 1,           /**< Protocol version told in Hello. */
    LINKS_LEVEL = 1,             /**< Level of log entries told in Hello: 1 knows zones that are drained. */
    LINKS_MAX_FRAME = 64 << 20,  /**< Largest frame accepted, in bytes. */
    LINKS_MAX_QUEUED = 64 << 20, /**< Unsent bytes kept for all connections, by default. */
    LINKS_KEPT_BYTES = 32 << 10, /**< Room of a buffer that is kept whether it is used or not. */
    LINKS_SHRINK_MS = 1000,      /**< Time in which a larger one must be used for a quarter, or it is freed. */
    LINKS_REPLICAS_MOST = 256,   /**< Machines with a replica that are told apart, members or not. */
    LINKS_SILENCE_MS = 2000      /**< Unacknowledged bytes for that long end a connection. */
};

/** Receives what arrives. */
struct links_handler {
    void *context; /**< First argument of every function. */
    /** A frame from an identified peer; views in it are valid during the call. */
    void (*frame)(void *context, uint32_t from, const Frame *frame);
    /** The connection to a peer is gone. */
    void (*disconnected)(void *context, uint32_t node);
    /** A peer told who it is; may be NULL. */
    void (*connected)(void *context, uint32_t node);
};

struct links;

/** An event loop of the host, in place of the links' own epoll. */
struct links_watcher {
    void *context; /**< First argument of `watch`. */
    /** Watches a file for reading and writing; `subject` goes back to links_ready(). Returns a handle. */
    void *(*watch)(void *context, struct links *links, void *subject, int file);
    /** Changes whether writability is told. */
    void (*want_write)(void *handle, bool wanted);
    /** Ends the watch; the file is closed right after. */
    void (*unwatch)(void *handle);
};

/** A state replica to dial. */
struct links_peer {
    uint32_t node;          /**< Node id; RAFT_NO_NODE: whoever answers there. */
    struct address address; /**< Where it listens. */
    struct link *link;      /**< Connection, or NULL. */
    dial_pace_t pace;       /**< When to dial it again. */
};

/** Fixed settings. */
struct links_config {
    const char *cluster;                 /**< Fleet's name. */
    const char *zone;                    /**< Own zone, told to peers. */
    uint32_t node;                       /**< Own node id. */
    uint64_t boot_id;                    /**< Random id of this start. */
    struct address listen;               /**< Where to listen; port 0 and empty ip: nowhere. */
    bool listens;                        /**< Whether to listen. */
    bool replica;                        /**< Told to peers: this daemon holds a replica that joins by itself. */
    struct raft_member_place place;      /**< Where that replica runs. */
    const struct links_watcher *watcher; /**< The host's event loop; NULL: own epoll. */
    size_t queued_most;                  /**< Unsent bytes kept for all connections; 0: LINKS_MAX_QUEUED. */
};

/** All connections of a daemon. */
struct links {
    struct links_config config;                /**< Fixed settings. */
    struct links_handler handler;              /**< Receiver. */
    int epoll;                                 /**< Event queue. */
    int listener;                              /**< Listening socket, or -1. */
    void *listener_watch;                      /**< Handle of the host's watch of it. */
    struct links_peer peers[RAFT_MAX_MEMBERS]; /**< State replicas other than this node. */
    uint32_t peer_count;                       /**< Number of peers. */
    struct link *all;                          /**< Every connection. */
    struct link *by_node;                      /**< The one that frames to a node take, by its id. */
    struct link *pending;                      /**< Those that have something to write. */
    bool ended;                                /**< One of them has ended: links_round() is due at once. */
    uint64_t frames_in, frames_out;            /**< Frames so far. */
    link_counts_t counts_in, counts_out;       /**< The same by kind. */
    uint64_t bytes_in, bytes_out;              /**< Their bytes. */
    size_t queued;                             /**< Unsent bytes of all connections. */
    uint64_t shrink_due_ms;                    /**< Next look at the buffers' use. */
    uint64_t frames_refused;                   /**< Frames for which there was no room in the queues. */
    char error[256];                           /**< What failed on start. */
};

/** Starts listening; false: see `error`. */
bool links_init(struct links *links, const struct links_config *config, const struct links_handler *handler);

/** Adds a state replica to dial. */
void links_add_peer(struct links *links, uint32_t node, const struct address *address);

/** Replaces the addresses to dial, whoever answers there; connections to others end. */
void links_dial_only(struct links *links, const struct address *addresses, uint32_t count);

/** Fills `nodes` with the replicas that are connected and told their place; returns their number. */
uint32_t links_replicas(const struct links *links, uint32_t *nodes, struct raft_member_place *places, uint32_t most);

/** Least level of log entries that one of the nodes that are connected told; LINKS_LEVEL where none is. */
uint32_t links_least_level(const struct links *links, const uint32_t *nodes, uint32_t count);

/** Where the replica of a node that is connected runs; false: it is not connected, or holds none. */
bool links_place(const struct links *links, uint32_t node, struct raft_member_place *place);

/** With a watcher: handles readiness of `subject`; call links_round() where `ended` is set by it. */
void links_ready(struct links *links, void *subject, bool readable, bool writable);

/** With a watcher: dials what is due and drops what has ended. It looks at all connections: for a clock's tick. */
void links_round(struct links *links, uint64_t now_ms);

/** Also wakes links_poll() when `file` is readable. */
void links_watch(struct links *links, int file);

/** Queues an encoded frame; false: no connection to `node`, or its queue is full. */
bool links_send(struct links *links, uint32_t node, struct view frame);

/** Dials what is due, waits up to `timeout_ms` for events and handles them. */
void links_poll(struct links *links, uint64_t now_ms, int timeout_ms);

/** Writes queued frames out as far as the sockets take them. */
void links_flush(struct links *links);

/** Number of identified peers. */
uint32_t links_connected(const struct links *links);

/** Closes everything. */
void links_close(struct links *links);

#endif
