/*
 * Digests of the replicated state, and their comparison by the leader.
 *
 * When to compute one follows from the state itself, so that all replicas do it at the same indexes. A replica keeps
 * the last few. It attaches the latest one to its replies to the leader, which has applied the same entries before and
 * compares it with its own of that index.
 */
#include <string.h>

#include "core/replica_internal.h"
#include "core/state_digest.h"

/* Time of the last applied entry, which is a part of the state. */
static uint64_t replica_state_time_ms(const struct replica_group *state)
{
    bool config_group = state->machine.group == STATE_CONFIG_GROUP;
    return config_group ? state->machine.site.time_ms : state->machine.ledger.time_ms;
}

uint64_t replica_digest_period(const struct replica_group *state)
{
    return replica_state_time_ms(state) / REPLICA_DIGEST_PERIOD_MS;
}

void replica_record_digest(struct replica *replica, uint32_t group, uint64_t index, uint64_t period_before)
{
    struct replica_group *state = &replica->groups[group];
    bool all = replica->config.full_digests;
    if (!all && replica_digest_period(state) == period_before) {
        return;
    }
    state->last_digest = (state->last_digest + 1) % REPLICA_DIGESTS;
    state->digests[state->last_digest] = (replica_digest_t){
        .index = index,
        .value = state_digest(&state->machine, all ? STATE_DIGEST_FULL : STATE_DIGEST_QUICK),
    };
}

void replica_forget_digests(struct replica_group *state)
{
    memset(state->digests, 0, sizeof(state->digests));
    state->sent_digest_index = 0;
}

/* NULL: there is none of this index, or it is no longer kept. */
static const replica_digest_t *replica_find_digest(const struct replica_group *state, uint64_t index)
{
    for (size_t i = 0; i < REPLICA_DIGESTS && index != 0; i++) {
        if (state->digests[i].index == index) {
            return &state->digests[i];
        }
    }
    return NULL;
}

/* Each digest is sent once: if that reply is lost, the next digest shows the same difference. */
void replica_attach_digest(struct replica *replica, uint32_t group, RaftMessage *message)
{
    struct replica_group *state = &replica->groups[group];
    const replica_digest_t *digest = &state->digests[state->last_digest];
    if (message->type != RAFT_APPEND_REPLY || digest->index == state->sent_digest_index) {
        return;
    }
    message->digest_index = digest->index;
    message->digest = digest->value;
    message->digest_version = STATE_DIGEST_VERSION;
    state->sent_digest_index = digest->index;
}

static bool replica_is_compared_member(const struct replica_group *state, const replica_comparison_t *comparison)
{
    return comparison->node != RAFT_NO_NODE && raft_member_position(&state->raft.members, comparison->node) >= 0;
}

/* The comparison with a member, a new one if there is none; NULL: there is no room. */
static replica_comparison_t *replica_comparison_of(struct replica_group *state, uint32_t node)
{
    replica_comparison_t *unused = NULL;
    for (size_t i = 0; i < RAFT_MAX_MEMBERS; i++) {
        replica_comparison_t *comparison = &state->comparisons[i];
        if (comparison->node == node) {
            return comparison;
        }
        unused = unused == NULL && !replica_is_compared_member(state, comparison) ? comparison : unused;
    }
    if (unused != NULL) {
        *unused = (replica_comparison_t){.node = node};
    }
    return unused;
}

void replica_compare_digest(struct replica *replica, uint32_t group, uint32_t from, const RaftMessage *message)
{
    struct replica_group *state = &replica->groups[group];
    const replica_digest_t *own = replica_find_digest(state, message->digest_index);
    bool comparable = message->type == RAFT_APPEND_REPLY && message->digest_version == STATE_DIGEST_VERSION &&
                      own != NULL && raft_is_leader(&state->raft);
    replica_comparison_t *comparison = comparable ? replica_comparison_of(state, from) : NULL;
    if (comparison == NULL || comparison->index == message->digest_index) {
        return;
    }
    bool differed = comparison->differs;
    comparison->index = message->digest_index;
    comparison->differs = own->value != message->digest;
    replica->counters.digests_compared++;
    replica->counters.digests_differing += comparison->differs ? 1 : 0;
    if (comparison->differs != differed && replica->io.digest_compared != NULL) {
        replica->io.digest_compared(replica->io.context, group, from, message->digest_index, comparison->differs);
    }
}

uint32_t replica_diverged_members(const struct replica *replica, uint32_t group)
{
    const struct replica_group *state = &replica->groups[group];
    uint32_t count = 0;
    for (size_t i = 0; i < RAFT_MAX_MEMBERS && raft_is_leader(&state->raft); i++) {
        const replica_comparison_t *comparison = &state->comparisons[i];
        count += comparison->differs && replica_is_compared_member(state, comparison) ? 1 : 0;
    }
    return count;
}
