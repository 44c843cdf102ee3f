/**
 * @file links.h
 * Connections between daemons: length-prefixed nanopb frames over TCP,
 * driven by one thread through epoll.
 *
 * Every daemon dials each state replica; a replica answers a gateway over the
 * connection that the gateway made. The first frame each way is a Hello with
 * cluster name and protocol version; a mismatch ends the connection. Frames
 * for a peer that does not take them up to LINKS_MAX_QUEUED bytes are refused,
 * which the layers above treat as loss.
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

enum {
    LINKS_VERSION = 1,           /**< Protocol version told in Hello. */
    LINKS_MAX_FRAME = 64 << 20,  /**< Largest frame accepted, in bytes. */
    LINKS_MAX_QUEUED = 64 << 20, /**< Unsent bytes kept for one connection. */
    LINKS_REDIAL_MIN_MS = 50,    /**< First pause before dialling again. */
    LINKS_REDIAL_MAX_MS = 1000   /**< Longest pause. */
};

/** Receives what arrives. */
struct links_handler {
    void *context; /**< First argument of every function. */
    /** A frame from an identified peer; views in it are valid during the call. */
    void (*frame)(void *context, uint32_t from, const Frame *frame);
    /** The connection to a peer is gone. */
    void (*disconnected)(void *context, uint32_t node);
};

/** A state replica to dial. */
struct links_peer {
    uint32_t node;          /**< Node id. */
    struct address address; /**< Where it listens. */
    struct link *link;      /**< Connection, or NULL. */
    uint64_t dial_due_ms;   /**< Time of the next attempt. */
    uint32_t dial_pause_ms; /**< Pause after the next failure. */
};

/** Fixed settings. */
struct links_config {
    const char *cluster;   /**< Fleet's name. */
    const char *zone;      /**< Own zone, told to peers. */
    uint32_t node;         /**< Own node id. */
    uint64_t boot_id;      /**< Random id of this start. */
    struct address listen; /**< Where to listen; port 0 and empty ip: nowhere. */
    bool listens;          /**< Whether to listen. */
};

/** All connections of a daemon. */
struct links {
    struct links_config config;                /**< Fixed settings. */
    struct links_handler handler;              /**< Receiver. */
    int epoll;                                 /**< Event queue. */
    int listener;                              /**< Listening socket, or -1. */
    struct links_peer peers[RAFT_MAX_MEMBERS]; /**< State replicas other than this node. */
    uint32_t peer_count;                       /**< Number of peers. */
    struct link *all;                          /**< Every connection. */
    uint64_t frames_in, frames_out;            /**< Frames so far. */
    uint64_t bytes_in, bytes_out;              /**< Their bytes. */
    char error[256];                           /**< What failed on start. */
};

/** Starts listening; false: see `error`. */
bool links_init(struct links *links, const struct links_config *config, const struct links_handler *handler);

/** Adds a state replica to dial. */
void links_add_peer(struct links *links, uint32_t node, const struct address *address);

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
