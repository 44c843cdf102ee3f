/* Periodic tasks of leaders: leases, program expiry and leader placement. */
#include "core/replica_internal.h"

enum { REPLICA_LEASE_EXPIRY_PERIODS = 2 /* lease periods without a heartbeat after which a lease expires */ };

static struct replica_group *replica_config_group(struct replica *replica)
{
    return &replica->groups[STATE_CONFIG_GROUP];
}

/* ---- Leases -------------------------------------------------------------------- */

/* A new leader has received no heartbeats yet, so it treats every lease as just renewed. */
void replica_renew_all_leases(struct replica *replica)
{
    struct lease *lease = replica_config_group(replica)->machine.leases.leases;
    for (; lease != NULL; lease = lease->hh.next) {
        lease->last_heartbeat_ms = replica->now_ms;
        lease->revision = 0;
    }
}

static void replica_send_heartbeat_reply(struct replica *replica, uint32_t to, const struct lease *lease,
                                         uint64_t sent_ms)
{
    struct replica_group *state = replica_config_group(replica);
    bool can_grant = raft_is_leader(&state->raft) && raft_term_at(&state->raft, state->raft.commit) == state->raft.term;
    Frame frame = {0};
    frame.which_payload = Frame_heartbeat_reply_tag;
    HeartbeatReply *reply = &frame.payload.heartbeat_reply;
    reply->leader = state->raft.leader;
    reply->lease_ms = can_grant ? replica->config.lease_ms : 0;
    reply->revision = can_grant ? state->machine.config.revision : 0;
    reply->epoch = lease == NULL || lease->expired ? 0 : lease->epoch;
    reply->sent_ms = sent_ms;
    replica_send_frame(replica, to, &frame, false);
}

void replica_handle_heartbeat(struct replica *replica, uint32_t from, const Heartbeat *heartbeat)
{
    struct lease *lease = lease_table_find(&replica_config_group(replica)->machine.leases, from);
    bool current = lease != NULL && !lease->expired && lease->epoch == heartbeat->epoch;
    if (current) {
        lease->last_heartbeat_ms = replica->now_ms;
        lease->revision = heartbeat->revision;
    }
    replica_send_heartbeat_reply(replica, from, current ? lease : NULL, heartbeat->sent_ms);
}

void replica_announce_revision(struct replica *replica)
{
    struct replica_group *state = replica_config_group(replica);
    if (!raft_is_leader(&state->raft)) {
        return;
    }
    for (const struct lease *lease = state->machine.leases.leases; lease != NULL; lease = lease->hh.next) {
        if (!lease->expired) {
            replica_send_heartbeat_reply(replica, lease->gateway, lease, 0);
        }
    }
}

static void replica_expire_leases(struct replica *replica)
{
    struct replica_group *state = replica_config_group(replica);
    if (!raft_is_leader(&state->raft)) {
        return;
    }
    uint64_t expiry_ms = (uint64_t)replica->config.lease_ms * REPLICA_LEASE_EXPIRY_PERIODS;
    for (struct lease *lease = state->machine.leases.leases; lease != NULL; lease = lease->hh.next) {
        if (lease->expired || replica->now_ms <= lease->last_heartbeat_ms + expiry_ms) {
            continue;
        }
        Entry entry = {0};
        entry.which_command = Entry_gateway_lease_tag;
        entry.command.gateway_lease.gateway = lease->gateway;
        entry.command.gateway_lease.epoch = lease->epoch;
        entry.command.gateway_lease.expire = true;
        replica_propose_entry(replica, STATE_CONFIG_GROUP, &entry);
        lease->last_heartbeat_ms = replica->now_ms; /* so that the next check does not propose it again */
    }
}

/* ---- Program expiry --------------------------------------------------------------- */

static void replica_expire_programs(struct replica *replica, uint32_t group)
{
    struct replica_group *state = &replica->groups[group];
    uint64_t wall_ms = replica->now_ms + replica->wall_offset_ms;
    bool due =
        raft_is_leader(&state->raft) && !state->expire_pending && ledger_expiry_due(&state->machine.ledger, wall_ms);
    if (!due) {
        return;
    }
    Entry entry = {0};
    entry.which_command = Entry_program_expire_tag;
    entry.command.program_expire.idle_before_ms = wall_ms;
    entry.command.program_expire.limit = REPLICA_EXPIRE_BATCH;
    state->expire_pending = replica_propose_entry(replica, group, &entry);
}

/* ---- Leader placement --------------------------------------------------------------- */

/* Group g prefers voter g modulo the number of voters, which spreads the leaders evenly. */
static uint32_t replica_preferred_leader(const struct raft *raft)
{
    uint32_t voters[RAFT_MAX_MEMBERS];
    uint32_t count = 0;
    for (uint32_t i = 0; i < raft->members.count; i++) {
        if (!raft->members.learners[i]) {
            voters[count++] = raft->members.nodes[i];
        }
    }
    return count == 0 ? RAFT_NO_NODE : voters[raft->config.group % count];
}

static void replica_place_leader(struct replica *replica, uint32_t group)
{
    struct raft *raft = &replica->groups[group].raft;
    uint32_t preferred = replica_preferred_leader(raft);
    if (!raft_is_leader(raft) || preferred == RAFT_NO_NODE || preferred == replica->config.node) {
        return;
    }
    if (raft_has_caught_up(raft, preferred, replica->now_ms)) {
        raft_transfer(raft, replica->now_ms, preferred);
    }
}

void replica_maintain(struct replica *replica)
{
    if (replica->now_ms >= replica->maintenance_due_ms) {
        replica->maintenance_due_ms = replica->now_ms + REPLICA_MAINTENANCE_MS;
        replica_expire_leases(replica);
        if (replica->config.auto_membership) {
            replica_update_members(replica);
        }
        for (uint32_t group = 1; group < replica->config.groups; group++) {
            replica_expire_programs(replica, group);
        }
    }
    if (!replica->config.auto_membership && replica->now_ms >= replica->leader_placement_due_ms) {
        replica->leader_placement_due_ms = replica->now_ms + REPLICA_LEADER_PLACEMENT_MS;
        for (uint32_t group = 0; group < replica->config.groups; group++) {
            replica_place_leader(replica, group);
        }
    }
}
