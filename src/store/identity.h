/**
 * @file identity.h
 * Who a state replica is, where nobody lists the replicas: a random node id,
 * made at the first start on an empty disk and synced before it is used, and
 * the members with which the replica's log begins, once it belongs to a group.
 *
 * A machine that returns with an empty disk gets another id, so that it is a
 * new member and never votes as the old one.
 */
#ifndef BANKBANK_STORE_IDENTITY_H
#define BANKBANK_STORE_IDENTITY_H

#include "core/raft.h"

/** A replica's identity. */
struct identity {
    uint32_t node;               /**< Node id, never RAFT_NO_NODE. */
    bool formed;                 /**< It belongs to a group. */
    struct raft_members members; /**< Members at the begin of its log. */
};

/** Loads the identity of a data folder, or makes one with the id `fresh_node`, durable either way; false: the disk
 * failed. */
bool identity_load(const char *folder, uint32_t fresh_node, struct identity *identity);

/** Durably notes that the replica belongs to a group that began with `members`. */
bool identity_form(const char *folder, struct identity *identity, const struct raft_members *members);

#endif
