/* Elections: pre-vote, vote and role changes. */
#include "core/raft_internal.h"

#include <string.h>

#include <xxhash.h>

/* Pseudo-random delay, less than one election timeout, so that replicas rarely campaign at the same time. */
static uint64_t raft_election_jitter(const struct raft *raft)
{
    uint64_t input[4] = {raft->config.seed, raft->config.node,
                         ((uint64_t)raft->config.group << 32) | (uint32_t)raft->campaigns, raft->term};
    return XXH64(input, sizeof(input), raft->config.seed) % raft->config.election_timeout_ms;
}

void raft_reset_election_timer(struct raft *raft, uint64_t now_ms)
{
    raft->stall_grace_ms = 0;
    raft->election_deadline_ms = now_ms + raft->config.election_timeout_ms + raft_election_jitter(raft);
}

void raft_reset_short_election_timer(struct raft *raft, uint64_t now_ms)
{
    raft_reset_election_timer(raft, now_ms);
    if (raft->config.short_election_timeout_ms != 0) {
        uint64_t wait_ms = raft->election_deadline_ms - now_ms;
        raft->election_deadline_ms =
            now_ms + wait_ms * raft->config.short_election_timeout_ms / raft->config.election_timeout_ms;
    }
}

static void raft_notify_role(struct raft *raft)
{
    raft->io.role_changed(raft->io.context, raft->config.group);
}

void raft_become_follower(struct raft *raft, uint64_t now_ms, uint64_t term, uint32_t leader)
{
    bool changed = raft->role != RAFT_FOLLOWER || raft->leader != leader || raft->term != term;
    bool was_leader = raft->role == RAFT_LEADER;
    if (term > raft->term) {
        raft->term = term;
        raft->vote = RAFT_NO_NODE;
        raft->io.save_state(raft->io.context, raft->config.group, raft->term, raft->vote);
    }
    raft->caught_up_ms = changed ? 0 : raft->caught_up_ms;
    raft->role = RAFT_FOLLOWER;
    raft->leader = leader;
    raft->transfer_target = RAFT_NO_NODE;
    if (leader != RAFT_NO_NODE) {
        raft->last_leader_contact_ms = now_ms;
    }
    raft_reset_election_timer(raft, now_ms);
    if (was_leader) {
        raft_fail_reads(raft);
        for (int i = 0; i < RAFT_MAX_MEMBERS; i++) {
            raft_end_snapshot(&raft->progress[i]);
        }
    }
    if (changed) {
        raft_notify_role(raft);
    }
}

static void raft_become_leader(struct raft *raft, uint64_t now_ms)
{
    raft->role = RAFT_LEADER;
    raft->leader = raft->config.node;
    raft->quorum_checked_ms = now_ms;
    raft->stall_grace_ms = 0;
    raft->transfer_target = RAFT_NO_NODE;
    raft->round = 0;
    for (int i = 0; i < RAFT_MAX_MEMBERS; i++) {
        raft_end_snapshot(&raft->progress[i]);
    }
    memset(raft->progress, 0, sizeof(raft->progress));
    for (uint32_t i = 0; i < raft->members.count; i++) {
        struct raft_progress *progress = &raft->progress[i];
        progress->node = raft->members.nodes[i];
        progress->next = raft_last_index(raft) + 1;
        progress->probing = true;
        progress->last_contact_ms = now_ms;
        progress->match = progress->node == raft->config.node ? raft->synced : 0;
    }
    raft_append_local(raft, RAFT_ENTRY_NOOP, view_of(NULL, 0));
    raft_broadcast_heartbeat(raft, now_ms);
    raft_notify_role(raft);
}

/* A failed pre-vote is retried after the short election timeout, since pre-votes do not disrupt other replicas; a
 * leader is then elected soon after a quorum of voters is running. */
void raft_campaign(struct raft *raft, uint64_t now_ms, bool pre_vote, bool forced)
{
    raft->campaigns++;
    raft->leader = RAFT_NO_NODE;
    raft->role = pre_vote ? RAFT_PRE_CANDIDATE : RAFT_CANDIDATE;
    if (!pre_vote) {
        raft->term++;
        raft->vote = raft->config.node;
        raft->io.save_state(raft->io.context, raft->config.group, raft->term, raft->vote);
    }
    if (pre_vote) {
        raft_reset_short_election_timer(raft, now_ms);
    } else {
        raft_reset_election_timer(raft, now_ms);
    }
    raft_notify_role(raft);
    memset(raft->votes, 0, sizeof(raft->votes));
    int self = raft_member_position(&raft->members, raft->config.node);
    if (self >= 0) {
        raft->votes[self] = true;
    }
    if (raft_is_quorum(&raft->members, raft->votes)) {
        if (pre_vote) {
            raft_campaign(raft, now_ms, false, forced);
        } else {
            raft_become_leader(raft, now_ms);
        }
        return;
    }
    RaftMessage request = {0};
    request.type = pre_vote ? RAFT_PRE_VOTE : RAFT_VOTE;
    request.term = pre_vote ? raft->term + 1 : raft->term;
    request.index = raft_last_index(raft);
    request.log_term = raft_term_at(raft, request.index);
    request.context = forced ? 1 : 0;
    for (uint32_t i = 0; i < raft->members.count; i++) {
        if (!raft->members.learners[i] && raft->members.nodes[i] != raft->config.node) {
            raft->io.send(raft->io.context, raft->config.group, raft->members.nodes[i], &request, true);
        }
    }
}

static bool raft_candidate_is_up_to_date(const struct raft *raft, const RaftMessage *request)
{
    uint64_t last = raft_last_index(raft);
    uint64_t last_term = raft_term_at(raft, last);
    if (request->log_term != last_term) {
        return request->log_term > last_term;
    }
    return request->index >= last;
}

void raft_handle_vote(struct raft *raft, uint64_t now_ms, uint32_t from, const RaftMessage *message)
{
    bool pre_vote = message->type == RAFT_PRE_VOTE;
    bool may_vote = raft->vote == RAFT_NO_NODE || raft->vote == from;
    bool term_allows = pre_vote ? message->term > raft->term || raft->leader == RAFT_NO_NODE : may_vote;
    bool granted = term_allows && raft_candidate_is_up_to_date(raft, message);
    if (granted && !pre_vote) {
        raft->vote = from;
        raft->io.save_state(raft->io.context, raft->config.group, raft->term, raft->vote);
        raft_reset_election_timer(raft, now_ms);
    }
    RaftMessage reply = {0};
    reply.type = pre_vote ? RAFT_PRE_VOTE_REPLY : RAFT_VOTE_REPLY;
    reply.term = granted ? message->term : raft->term;
    reply.reject = !granted;
    raft->io.send(raft->io.context, raft->config.group, from, &reply, true);
}

void raft_handle_vote_reply(struct raft *raft, uint64_t now_ms, uint32_t from, const RaftMessage *message)
{
    bool pre_vote = message->type == RAFT_PRE_VOTE_REPLY;
    enum raft_role expected_role = pre_vote ? RAFT_PRE_CANDIDATE : RAFT_CANDIDATE;
    uint64_t expected_term = pre_vote ? raft->term + 1 : raft->term;
    int position = raft_member_position(&raft->members, from);
    bool counts = raft->role == expected_role && message->term == expected_term && !message->reject && position >= 0;
    if (!counts) {
        return;
    }
    raft->votes[position] = true;
    if (!raft_is_quorum(&raft->members, raft->votes)) {
        return;
    }
    if (pre_vote) {
        raft_campaign(raft, now_ms, false, false);
        return;
    }
    raft_become_leader(raft, now_ms);
}

void raft_peer_disconnected(struct raft *raft, uint64_t now_ms, uint32_t node)
{
    bool was_leader = raft->role == RAFT_FOLLOWER && raft->leader != RAFT_NO_NODE && raft->leader == node;
    if (!was_leader || raft->config.short_election_timeout_ms == 0) {
        return;
    }
    raft->leader = RAFT_NO_NODE;
    raft_reset_short_election_timer(raft, now_ms);
    raft_notify_role(raft);
}
