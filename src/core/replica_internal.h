/**
 * @file replica_internal.h
 * Functions shared by the source files of the replica module.
 *
 *   replica.c              lifecycle, callbacks of the consensus groups, sync
 *   replica_snapshot.c     writing, loading, sending and receiving snapshots
 *   replica_requests.c     requests of daemons: proposals, reads, member changes
 *   replica_maintenance.c  leases, expiry, leader placement
 *   replica_site.c         configuration document, turns, automatic membership
 *   replica_digest.c       digests of the state
 */
#ifndef BANKBANK_CORE_REPLICA_INTERNAL_H
#define BANKBANK_CORE_REPLICA_INTERNAL_H

#include "core/replica.h"

/* replica.c */
void replica_waiters_add(struct replica_waiters *waiters, const struct replica_waiter *waiter);
void replica_send_frame(struct replica *replica, uint32_t to, const Frame *frame, bool after_sync);
void replica_reply(struct replica *replica, uint32_t group, const struct replica_waiter *waiter, ResultCode code,
                   struct view body);
/** Active voter, other than this node, with the highest match index; RAFT_NO_NODE: none. */
uint32_t replica_best_successor(const struct replica *replica, const struct raft *raft);

/* replica_snapshot.c */
/** The host's history store, with releases deferred until the group's next snapshot is durable. */
struct history_io replica_group_history(struct replica_group *state);
/** Size in bytes of a group's log in memory at which new turns are refused; SIZE_MAX: no limit. */
size_t replica_turn_log_limit(const struct replica *replica);
void replica_snapshot_if_due(struct replica *replica, uint32_t group);
bool replica_read_snapshot(void *context, uint32_t group, uint64_t index, uint64_t *offset, struct buffer *out);
bool replica_receive_snapshot(void *context, uint32_t group, const struct raft_snapshot *snapshot, struct view bytes,
                              bool first, bool last);

/* replica_requests.c */
void replica_answer_read(struct replica *replica, uint32_t group, const struct replica_waiter *waiter);
void replica_handle_request(struct replica *replica, uint32_t from, uint32_t group, const Request *request);
bool replica_propose_entry(struct replica *replica, uint32_t group, const Entry *entry);
/** Whether the request is a retransmission of one that is still pending. */
bool replica_is_duplicate(const struct replica_group *group, uint32_t from, const Request *request);
bool replica_propose(struct replica *replica, uint32_t group, struct view entry, const struct replica_waiter *waiter);
void replica_reply_message(struct replica *replica, uint32_t group, const struct replica_waiter *waiter,
                           const pb_msgdesc_t *fields, const void *message);
bool replica_propose_membership_change(struct replica *replica, uint32_t group, const struct membership_change *change);

/* replica_site.c */
/** Returns true if the request was answered, for example refused; false: the caller must handle it. */
bool replica_handle_site_request(struct replica *replica, uint32_t from, uint32_t group, const Request *request,
                                 const struct replica_waiter *waiter);
/** Returns false if the request is not a read of the site state. */
bool replica_answer_site_read(struct replica *replica, uint32_t group, const struct replica_waiter *waiter);
void replica_update_members(struct replica *replica);
/** Answers the sender of an OperationFailure; `result` is its EntryResult. */
void replica_answer_failure(struct replica *replica, uint32_t group, const struct replica_waiter *waiter,
                            struct view result);

/* replica_digest.c */
/** Number of the period of the entry that was applied last. */
uint64_t replica_digest_period(const struct replica_group *state);
/** Call it after each applied entry; the first one of a period gets a digest. */
void replica_record_digest(struct replica *replica, uint32_t group, uint64_t index, uint64_t period_before);
/** Call it when a received snapshot replaces the state. */
void replica_forget_digests(struct replica_group *state);
/** Adds the latest digest to an append reply, unless it was sent before. */
void replica_attach_digest(struct replica *replica, uint32_t group, RaftMessage *message);
/** Compares the digest in an append reply, if any, with the own one. */
void replica_compare_digest(struct replica *replica, uint32_t group, uint32_t from, const RaftMessage *message);

/* replica_maintenance.c */
void replica_maintain(struct replica *replica);
void replica_renew_all_leases(struct replica *replica);
void replica_announce_revision(struct replica *replica);
void replica_handle_heartbeat(struct replica *replica, uint32_t from, const Heartbeat *heartbeat);

#endif
