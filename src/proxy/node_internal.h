/**
 * @file node_internal.h
 * Private functions shared by the source files of node.h.
 *
 *   node.c        event loop, settings, readiness, start and stop
 *   node_links.c  frames, requests to the leader, connections, the watch, the machine list
 */
#ifndef BANKBANK_PROXY_NODE_INTERNAL_H
#define BANKBANK_PROXY_NODE_INTERNAL_H

#include "proxy/node.h"

/** False: it cannot listen. */
bool node_open_links(struct node *node);

/** Initializes the control client and the machine list reader. */
void node_open_client(struct node *node);

/** Dispatches the queued frames that the node sent to itself. */
void node_dispatch_local_frames(struct node *node);

/** Selects the replica to watch and sends a watch request if one is due. */
void node_watch(struct node *node);

/** Fetches the list when due; only the leader, and gateways without fresh state, do so. */
void node_fetch_machines(struct node *node);

#endif
