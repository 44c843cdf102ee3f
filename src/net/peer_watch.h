/**
 * @file peer_watch.h
 * Asks on an open connection whether the peer's machine still runs.
 *
 * The peer's kernel answers keep-alive probes and acknowledges what was sent, also
 * while its process says nothing or takes no new connection. So the connection
 * itself tells a machine that has lost its power, or the way to it, from one that
 * is only busy: nothing that another port, a full queue or a packet filter does
 * changes its answer. Where no answer comes for PEER_WATCH_SILENT_MS, the kernel
 * ends the connection with ETIMEDOUT.
 *
 * Linux counts the rest before the first probe, and the pause between two, in whole
 * seconds: one lost packet would then decide. peer_watch_ask() has the next probe
 * sent at once. Asked each PEER_WATCH_AGAIN_MS, four of them at least must stay
 * unanswered: with one packet in ten lost each way, once in 700.
 *
 * While bytes wait for room at the peer, its answers count for nothing: the kernel
 * ends the connection whether the peer says that it has no room or says nothing.
 * Such a connection is not to be watched (peer_watch_may_begin()).
 */
#ifndef BANKBANK_NET_PEER_WATCH_H
#define BANKBANK_NET_PEER_WATCH_H

#include <stdbool.h>

enum {
    PEER_WATCH_QUIET_MS = 1000, /**< Silence after which a peer is asked: the least that Linux takes. */
    PEER_WATCH_AGAIN_MS = 50,   /**< Pause between two asks, at most. */
    PEER_WATCH_SILENT_MS = PEER_WATCH_QUIET_MS + 5 * PEER_WATCH_AGAIN_MS /**< Silence that ends the connection; the
                                                                              first ask may be one pause late. */
};

/** Whether all that was written has been sent, acknowledged or not. */
bool peer_watch_may_begin(int file);

/** Begins to watch a connected socket that was silent for PEER_WATCH_QUIET_MS, and asks. False: the system can't. */
bool peer_watch_begin(int file);

/** Ends that. */
void peer_watch_end(int file);

/** Has the next probe sent at once. */
void peer_watch_ask(int file);

#endif
