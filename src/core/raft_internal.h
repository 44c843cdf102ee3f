/**
 * @file raft_internal.h
 * Functions private to the consensus module, shared by its source files.
 *
 *   raft.c              lifecycle, ticks, message dispatch
 *   raft_members.c      members, their quorums and changes
 *   raft_log.c          entries in memory
 *   raft_election.c     pre-vote, vote, role changes
 *   raft_replication.c  append, commit, reads
 *   raft_snapshot.c     chunked snapshot transfer
 */
#ifndef BANKBANK_CORE_RAFT_INTERNAL_H
#define BANKBANK_CORE_RAFT_INTERNAL_H

#include "core/raft.h"

/* raft_log.c */
const struct raft_entry *raft_log_get(const struct raft_log *log, uint64_t index);
void raft_log_append(struct raft_log *log, const struct raft_entry *entry);
void raft_log_truncate(struct raft_log *log, uint64_t from_index);
void raft_log_compact(struct raft_log *log, uint64_t index, uint64_t term);
void raft_log_reset(struct raft_log *log, uint64_t index, uint64_t term);
void raft_log_close(struct raft_log *log);

/* raft.c */
/** Appends to the log in memory and through raft_io.append. */
void raft_append_local(struct raft *raft, enum raft_entry_type type, struct view data);
void raft_truncate(struct raft *raft, uint64_t from_index);
/** Appends to the log in memory only, and takes over the members of a RAFT_ENTRY_MEMBERS entry. */
void raft_append_in_memory(struct raft *raft, const struct raft_entry *entry);
void raft_set_members(struct raft *raft, const struct raft_members *members, uint64_t index);

/* raft_members.c */
/** The sets of voters whose quorums are needed; they are the same unless a voter is being replaced. */
typedef enum raft_voter_set_t { RAFT_VOTERS_BEFORE, RAFT_VOTERS_AFTER, RAFT_VOTER_SETS } raft_voter_set_t;
bool raft_votes_in(const struct raft_members *members, uint32_t position, raft_voter_set_t set);
/** Leader: appends the final members if a replacement is committed and not finished. */
void raft_finish_replacement(struct raft *raft, uint64_t now_ms);

/* raft_election.c */
void raft_become_follower(struct raft *raft, uint64_t now_ms, uint64_t term, uint32_t leader);
void raft_campaign(struct raft *raft, uint64_t now_ms, bool pre_vote, bool forced);
void raft_reset_election_timer(struct raft *raft, uint64_t now_ms);

/** Like raft_reset_election_timer(), with raft_config.short_election_timeout_ms. */
void raft_reset_short_election_timer(struct raft *raft, uint64_t now_ms);
void raft_handle_vote(struct raft *raft, uint64_t now_ms, uint32_t from, const RaftMessage *message);
void raft_handle_vote_reply(struct raft *raft, uint64_t now_ms, uint32_t from, const RaftMessage *message);

/* raft_replication.c */
void raft_replicate_all(struct raft *raft, uint64_t now_ms);
void raft_broadcast_heartbeat(struct raft *raft, uint64_t now_ms);
void raft_handle_append(struct raft *raft, uint64_t now_ms, uint32_t from, const RaftMessage *message);
void raft_handle_append_reply(struct raft *raft, uint64_t now_ms, uint32_t from, const RaftMessage *message);
void raft_fail_reads(struct raft *raft);
void raft_release_reads(struct raft *raft);
void raft_advance_commit(struct raft *raft, uint64_t now_ms);
void raft_apply_committed(struct raft *raft);
/** Records contact from the leader of the current term; becomes its follower if needed. */
void raft_follow(struct raft *raft, uint64_t now_ms, uint32_t leader);
void raft_send_append(struct raft *raft, uint64_t now_ms, struct raft_progress *progress, bool heartbeat);
struct raft_progress *raft_progress_of(struct raft *raft, uint32_t node);

/* raft_snapshot.c */
void raft_begin_snapshot(struct raft *raft, uint64_t now_ms, struct raft_progress *progress);
void raft_retry_snapshot_chunk(struct raft *raft, uint64_t now_ms, struct raft_progress *progress);
void raft_end_snapshot(struct raft_progress *progress);
void raft_handle_snapshot(struct raft *raft, uint64_t now_ms, uint32_t from, const RaftMessage *message);
void raft_handle_snapshot_reply(struct raft *raft, uint64_t now_ms, uint32_t from, const RaftMessage *message);

#endif
