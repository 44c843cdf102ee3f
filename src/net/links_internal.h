/**
 * @file links_internal.h
 * Shared by the parts of the links; not for others.
 *
 *   links.c          index by node, sending, the end of a connection
 *   links_dial.c     dialling, accepting, giving up
 *   links_receive.c  who a peer is, and its frames
 */
#ifndef BANKBANK_NET_LINKS_INTERNAL_H
#define BANKBANK_NET_LINKS_INTERNAL_H

#include <uthash.h>

#include "net/links.h"

enum { LINKS_HEADER = 4 /**< Bytes of a frame's length, before it. */ };

/** One connection. */
struct link {
    int file;                       /* socket */
    uint32_t node;                  /* peer's id; 0 until its Hello came */
    bool outbound;                  /* this side dialled */
    bool connecting;                /* connect() is under way */
    bool closing;                   /* to be removed after the current event */
    bool wants_write;               /* registered for writability */
    bool replica;                   /* peer holds a replica that joins by itself */
    uint32_t level;                 /* of the log entries that the peer can apply */
    void *watch;                    /* handle of the host's watch */
    uint64_t connect_until_ms;      /* an attempt to connect is given up then */
    bool silent;                    /* it was given up */
    struct raft_member_place place; /* where the peer's replica runs */
    bool pending;                   /* it stands in the list of links to be written */
    struct link *next_pending;      /* next of that list */
    UT_hash_handle hh;              /* by node: the link that frames to it take */
    struct buffer in;               /* bytes received and not yet handled */
    struct buffer out;              /* bytes queued */
    size_t out_sent;                /* bytes of `out` already written */
    size_t in_peak;                 /* most bytes in `in` since its use was last looked at */
    size_t out_peak;                /* the same of `out` */
    struct link *next;
};

/* links.c */
/** Tells the event loop of a connection, or what it waits for. */
void links_register(struct links *links, struct link *link, int operation);

/** Puts a frame behind what the connection has to write. */
void link_queue(struct links *links, struct link *link, struct view frame);

/** Chooses anew which connection of a node its frames take. */
void links_index(struct links *links, uint32_t node);

/* links_dial.c */
/** Notes how an attempt to reach a peer, or its connection, ended. */
void links_note_dial(const struct links *links, struct links_peer *peer, uint64_t now_ms, dial_end_t end);

/** Dials the peers whose time has come. */
void links_dial_due(struct links *links, uint64_t now_ms);

/** Takes the connections that wait at the listening socket. */
void links_accept(struct links *links);

/** Ends attempts that nobody has answered for their limit. */
void links_give_up_silent(struct links *links, uint64_t now_ms);

/* links_receive.c */
/** Reads what is there and handles whole frames. */
void link_read(struct links *links, struct link *link);

#endif
