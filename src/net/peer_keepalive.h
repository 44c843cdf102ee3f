/**
 * @file peer_keepalive.h
 * Detects on an open connection that the peer's machine is unreachable.
 *
 * The peer's kernel answers TCP keepalive probes and acknowledges data even while
 * its process is busy; unlike a new connection, that does not depend on accept
 * queues, other ports or their packet filters. If no answer arrives for
 * PEER_KEEPALIVE_TIMEOUT_MS, the kernel ends the connection with ETIMEDOUT.
 *
 * Linux counts the idle time and the interval between probes in whole seconds, so
 * that a single lost packet could end a connection. peer_keepalive_probe() sends
 * the next probe at once: called every PEER_KEEPALIVE_INTERVAL_MS, it ensures that
 * at least four probes must stay unanswered, even if the first one is an interval
 * late. With 10% of packets lost each way, this happens by chance about once in
 * 700 times.
 *
 * While written bytes wait because the peer's receive window is full,
 * TCP_USER_TIMEOUT ends the connection even if the peer answers. Do not start the
 * keepalive then (peer_keepalive_can_start()).
 */
#ifndef BANKBANK_NET_PEER_KEEPALIVE_H
#define BANKBANK_NET_PEER_KEEPALIVE_H

#include <stdbool.h>

enum {
    PEER_KEEPALIVE_IDLE_MS = 1000,   /**< Silence before the first probe; the smallest value Linux allows. */
    PEER_KEEPALIVE_INTERVAL_MS = 50, /**< Longest interval between two probes. */
    /** Silence that ends the connection. */
    PEER_KEEPALIVE_TIMEOUT_MS = PEER_KEEPALIVE_IDLE_MS + 5 * PEER_KEEPALIVE_INTERVAL_MS
};

/** Whether all written bytes have been sent, acknowledged or not. */
bool peer_keepalive_can_start(int fd);

/** Starts the keepalive on a connection that was silent for PEER_KEEPALIVE_IDLE_MS, and probes the peer. Returns false
 * if the system does not support it. */
bool peer_keepalive_start(int fd);

void peer_keepalive_stop(int fd);

/** Makes the kernel send the next probe at once. */
void peer_keepalive_probe(int fd);

#endif
