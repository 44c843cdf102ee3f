/**
 * @file node_internal.h
 * Functions shared by the parts of a node; not for others.
 *
 *   node.c        event loop, settings, readiness, start and stop
 *   node_links.c  frames, requests to the leader, peers, the watch, the machine list
 */
#ifndef BANKBANK_PROXY_NODE_INTERNAL_H
#define BANKBANK_PROXY_NODE_INTERNAL_H

#include "proxy/node.h"

/** Opens the links; false: it cannot listen. */
bool node_open_links(struct node *node);

/** Opens what sends requests and reads the machine list. */
void node_open_client(struct node *node);

/** Handles the frames that the node sent to itself. */
void node_handle_local(struct node *node);

/** Sends a watch if one is due. */
void node_watch(struct node *node);

/** Reads the machine list if it is this node's to read and due. */
void node_read_machines(struct node *node);

#endif
