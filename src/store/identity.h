/**
 * @file identity.h
 * Stored identity of a state replica: a random node id, made durable before it
 * is used, and, once the replica belongs to a group, the members at the start
 * of its log.
 *
 * A machine that restarts with an empty disk gets another id: it has lost its
 * votes, and must not vote again as the same member.
 */
#ifndef BANKBANK_STORE_IDENTITY_H
#define BANKBANK_STORE_IDENTITY_H

#include "core/raft.h"

struct identity {
    uint32_t node; /**< Never RAFT_NO_NODE. */
    bool has_group;
    struct raft_members members; /**< At the start of the log. */
};

/** Loads the identity, or creates one with the id `new_node_id`. It is durable when the call returns true. False: it
 * could not be read, decoded or written. */
bool identity_load(const char *directory, uint32_t new_node_id, struct identity *identity);

/** Durably records that the replica belongs to a group whose log starts with `members`. */
bool identity_set_group(const char *directory, struct identity *identity, const struct raft_members *members);

#endif
