/**
 * @file links_internal.h
 * Connections between daemons; internal to these files:
 *
 *   links.c          index by node, sending, closing
 *   links_dial.c     dialling, accepting, connect timeouts
 *   links_receive.c  Hello and other frames
 */
#ifndef BANKBANK_NET_LINKS_INTERNAL_H
#define BANKBANK_NET_LINKS_INTERNAL_H

#include <uthash.h>

#include "net/links.h"

enum { LINKS_HEADER_BYTES = 4 /**< Length prefix. */ };

/** One connection. */
struct link {
    int fd;
    uint32_t node; /* peer's id; RAFT_NO_NODE until its Hello is accepted */
    bool outbound; /* this side dialled */
    bool connecting;
    bool closing;           /* to be removed after the current event */
    bool wants_write;       /* registered for writability */
    bool replica;           /* peer holds a replica that joins the group automatically */
    uint32_t feature_level; /* highest level of log entries that the peer can apply */
    void *watch;            /* handle in the caller's event loop */
    uint64_t connect_deadline_ms;
    bool timed_out;                       /* connect_deadline_ms has passed */
    struct raft_member_location location; /* of the peer's replica */
    bool pending;                         /* in the list links->pending */
    struct link *next_pending;
    UT_hash_handle hh; /* by node: the link used for sending to it */
    struct buffer in;  /* bytes received and not yet handled */
    struct buffer out; /* send queue */
    size_t out_sent;   /* bytes of `out` already written */
    size_t in_peak;    /* most bytes in `in` since the last check of its use */
    size_t out_peak;   /* the same of `out` */
    struct link *next;
};

/* links.c */
/** Adds a connection to the event loop, or updates the events it waits for; `operation` is EPOLL_CTL_ADD or _MOD. */
void links_register(struct links *links, struct link *link, int operation);

/** Does not check the limit of queued bytes. */
void link_queue(struct links *links, struct link *link, struct view frame);

/** Updates links->by_node; called when a link of the node is added or removed. */
void links_update_index(struct links *links, uint32_t node);

/* links_dial.c */
/** Records the result of dialling a peer, or the end of its connection, for the backoff. */
void links_record_dial(const struct links *links, struct links_peer *peer, uint64_t now_ms, dial_result_t result);

/** Dials the unconnected peers whose backoff has passed. */
void links_dial_due(struct links *links, uint64_t now_ms);

/** Accepts all pending connections of the listening socket. */
void links_accept(struct links *links);

/** Marks links whose connect timeout has expired as closing. */
void links_time_out_dials(struct links *links, uint64_t now_ms);

/* links_receive.c */
/** Reads all available bytes and handles complete frames. */
void link_read(struct links *links, struct link *link);

#endif
