/**
 * @file replica_internal.h
 * Functions shared by the parts of the replica; not for others.
 *
 *   replica.c              lifecycle, effects of consensus, sync
 *   replica_snapshot.c     snapshots: written, read back, sent, received
 *   replica_requests.c     requests of daemons: proposals, reads
 *   replica_maintenance.c  leases, expiry, placement of leaders
 *   replica_site.c         a site's document, turns, joining and leaving members
 */
#ifndef BANKBANK_CORE_REPLICA_INTERNAL_H
#define BANKBANK_CORE_REPLICA_INTERNAL_H

#include "core/replica.h"

/* replica.c */
void replica_waiters_add(struct replica_waiters *waiters, const struct replica_waiter *waiter);
void replica_send_frame(struct replica *replica, uint32_t to, const Frame *frame, bool after_sync);
void replica_reply(struct replica *replica, uint32_t group, const struct replica_waiter *waiter, ResultCode code,
                   struct view body);

/* replica_snapshot.c */
struct history_io replica_group_history(struct replica_group *state);
/** Log in memory above which no turn begins. */
size_t replica_log_begin_most(const struct replica *replica);
void replica_snapshot_if_due(struct replica *replica, uint32_t group);
bool replica_read_snapshot(void *context, uint32_t group, uint64_t index, uint64_t *at, struct buffer *out);
bool replica_take_snapshot(void *context, uint32_t group, const struct raft_snapshot *snapshot, struct view bytes,
                           bool first, bool last);

/* replica_requests.c */
void replica_answer_read(struct replica *replica, uint32_t group, const struct replica_waiter *waiter);
void replica_handle_request(struct replica *replica, uint32_t from, uint32_t group, const Request *request);
bool replica_propose_entry(struct replica *replica, uint32_t group, const Entry *entry);
bool replica_propose(struct replica *replica, uint32_t group, struct view entry, const struct replica_waiter *waiter);

/* replica_site.c */
bool replica_handle_site_request(struct replica *replica, uint32_t from, uint32_t group, const Request *request,
                                 const struct replica_waiter *waiter);
bool replica_answer_site_read(struct replica *replica, uint32_t group, const struct replica_waiter *waiter);
void replica_organize(struct replica *replica);
uint64_t replica_stamp_ms(struct replica *replica, uint32_t group);

/* replica_requests.c */
void replica_reply_message(struct replica *replica, uint32_t group, const struct replica_waiter *waiter,
                           const pb_msgdesc_t *fields, const void *message);
bool replica_apply_member_step(struct replica *replica, uint32_t group, const struct membership_step *step);

/* replica_maintenance.c */
void replica_maintain(struct replica *replica);
void replica_renew_all_leases(struct replica *replica);
void replica_announce_revision(struct replica *replica);
void replica_handle_heartbeat(struct replica *replica, uint32_t from, const Heartbeat *heartbeat);

/** The voter with the longest log among those heard of lately, other than this node; RAFT_NO_NODE: none. */
uint32_t replica_best_successor(const struct replica *replica, const struct raft *raft);

#endif
