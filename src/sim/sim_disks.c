/*
 * Machines whose disks are lost: they return with an empty disk and a new node id, at
 * their old address or at another one, join the group, and are made voters by
 * membership_plan().
 *
 * At most options.tolerated_disks machines count as lost at a time. A machine counts
 * from the loss of its disk until it has run for SIM_CATCH_UP_MS without a disturbance
 * of any machine; meanwhile it may lose its disk again. Crashes, freezes and partitions,
 * which leave disks intact, happen at any time. Many faults follow a change of members.
 *
 * Invariants: the remaining disks can always elect a leader, and nothing acknowledged is
 * lost (sim_operators.c).
 */
#include <stdio.h>
#include <string.h>

#include "base/message.h"
#include "sim/sim.h"

enum {
    SIM_SEEDS = 3,             /* machines that form the group; the others join */
    SIM_QUIET_START_MS = 4000, /* until the group has all voters */
    SIM_CATCH_UP_MS = 4000,
    SIM_JOIN_RETRY_MS = 250,
    SIM_NO_LEADER_MS = 1000, /* without a leader, a member asks to join again */
    SIM_MAX_DOWN_MS = 2600,
    SIM_MAX_CHANGE_FAULT_MS = 260, /* after a change of members, until the fault that follows it */
    SIM_CHANGE_FAULT_PERCENT = 50,
    SIM_RANDOM_FAULT_PERMILLE = 12, /* in a step */
    SIM_MOVE_PERCENT = 50,          /* of lost machines return at another address */
    SIM_ZONES = 3,
    SIM_PORT = 7000
};

static struct sim_node *sim_machine_node(struct sim *sim, uint32_t machine)
{
    return sim_node(sim, sim->machines[machine].node);
}

/* ---- Start and joining ----------------------------------------------------------- */

static void sim_set_location(struct sim_node *node, uint32_t machine, uint32_t address)
{
    memset(&node->location, 0, sizeof(node->location));
    snprintf(node->location.name, sizeof(node->location.name), "store-%u", address);
    snprintf(node->location.zone, sizeof(node->location.zone), "z%u", machine % SIM_ZONES);
    node->location.ip = address;
    node->location.port = SIM_PORT;
}

void sim_disks_init(struct sim *sim)
{
    struct raft_members seeds = {0};
    for (uint32_t i = 0; i < sim->options.replicas; i++) {
        struct sim_node *node = &sim->nodes[i];
        sim->machines[i] = (struct sim_machine){.node = node->id};
        sim_set_location(node, i, node->id);
        node->outside = i >= SIM_SEEDS;
        if (i < SIM_SEEDS) {
            seeds.nodes[seeds.count] = node->id;
            seeds.locations[seeds.count++] = node->location;
        }
    }
    for (uint32_t i = 0; i < SIM_SEEDS; i++) {
        sim->nodes[i].first_members = seeds;
    }
}

static void sim_request_join(struct sim *sim, struct sim_node *node)
{
    struct buffer body = {0};
    struct buffer encoded = {0};
    JoinRequest join = {.has_member = true};
    join.member.node = node->id;
    join.member.name = node->location.name;
    join.member.zone = node->location.zone;
    join.member.ip = node->location.ip;
    join.member.port = node->location.port;
    message_encode(&body, JoinRequest_fields, &join);
    Frame frame = {.which_payload = Frame_request_tag};
    frame.payload.request.id = ++sim->last_id;
    frame.payload.request.kind = REQUEST_JOIN;
    frame.payload.request.body = buffer_view(&body);
    message_encode(&encoded, Frame_fields, &frame);
    for (uint32_t i = 0; i < sim->options.replicas; i++) {
        if (sim->machines[i].node != node->id) {
            sim_network_send(sim, node->id, sim->machines[i].node, buffer_view(&encoded));
        }
    }
    buffer_close(&body);
    buffer_close(&encoded);
}

void sim_disks_receive(struct sim_node *node, const Frame *frame)
{
    JoinReply reply = {0};
    bool accepted = frame->which_payload == Frame_reply_tag && frame->payload.reply.code == RESULT_OK &&
                    message_decode(frame->payload.reply.body, JoinReply_fields, &reply);
    if (!accepted) {
        return;
    }
    struct raft_members members;
    bool is_member = raft_members_from_wire(&reply.members, &members) && raft_member_position(&members, node->id) >= 0;
    message_free(JoinReply_fields, &reply);
    if (is_member) {
        node->outside = false;
        node->first_members = members;
        sim_start_node(node);
    }
}

static void sim_join_if_due(struct sim *sim, struct sim_node *node)
{
    if (!node->up || node->frozen) {
        return;
    }
    if (!node->outside && node->replica.groups[0].raft.leader != RAFT_NO_NODE) {
        node->join_due_ms = sim->now_ms + SIM_NO_LEADER_MS;
    }
    if (sim->now_ms >= node->join_due_ms) {
        node->join_due_ms = sim->now_ms + SIM_JOIN_RETRY_MS;
        sim_request_join(sim, node);
    }
}

/* Gateways know all machines at once; in a site they learn the members by the watch (core/watch.h). */
static void sim_update_gateways(struct sim *sim)
{
    uint32_t nodes[SIM_MAX_MACHINES];
    uint32_t count = 0;
    for (uint32_t i = 0; i < sim->options.replicas; i++) {
        nodes[count] = sim->machines[i].node;
        count += sim_is_replica_running(sim_machine_node(sim, i)) ? 1 : 0;
    }
    for (uint32_t i = 0; i < sim->options.gateways; i++) {
        struct sim_node *gateway = sim_node(sim, sim->options.replicas + 1 + i);
        if (gateway->up) {
            control_client_set_replicas(&gateway->client, nodes, count);
        }
    }
}

/* ---- Losses ------------------------------------------------------------------------ */

static bool sim_is_disturbed(struct sim *sim)
{
    bool disturbed = sim->now_ms < sim->partition_end_ms;
    for (uint32_t i = 0; i < sim->options.replicas; i++) {
        const struct sim_node *node = sim_machine_node(sim, i);
        disturbed = disturbed || !node->up || node->frozen;
    }
    return disturbed;
}

static void sim_update_lost_machines(struct sim *sim)
{
    bool disturbed = sim_is_disturbed(sim);
    for (uint32_t i = 0; i < sim->options.replicas; i++) {
        struct sim_machine *machine = &sim->machines[i];
        machine->intact_ms = disturbed ? sim->now_ms : machine->intact_ms;
        machine->disk_lost = machine->disk_lost && sim->now_ms < machine->intact_ms + SIM_CATCH_UP_MS;
    }
}

static uint32_t sim_count_lost(const struct sim *sim)
{
    uint32_t lost = 0;
    for (uint32_t i = 0; i < sim->options.replicas; i++) {
        lost += sim->machines[i].disk_lost ? 1 : 0;
    }
    return lost;
}

static struct sim_node *sim_find_unused_disk(struct sim *sim)
{
    for (uint32_t i = sim->options.replicas + sim->options.gateways; i < sim->node_count; i++) {
        if (sim->nodes[i].absent && sim->nodes[i].resume_ms == 0) {
            return &sim->nodes[i];
        }
    }
    return NULL;
}

/* Does nothing if that would be one machine too many. */
static void sim_lose_disk(struct sim *sim, uint32_t index)
{
    struct sim_machine *machine = &sim->machines[index];
    struct sim_node *old = sim_machine_node(sim, index);
    struct sim_node *node = sim_find_unused_disk(sim);
    bool allowed = machine->disk_lost || sim_count_lost(sim) < sim->options.tolerated_disks;
    if (!allowed || node == NULL) {
        return;
    }
    sim_stop_node(old);
    old->absent = true;
    node->absent = false;
    node->outside = true;
    node->resume_ms = sim->now_ms + 10 + sim_random(sim, SIM_MAX_DOWN_MS);
    bool moves = sim_chance(sim, SIM_MOVE_PERCENT);
    sim_set_location(node, index, moves ? node->id : old->location.ip);
    machine->node = node->id;
    machine->disk_lost = true;
    sim->counters.disk_losses++;
    sim->counters.moves += moves ? 1 : 0;
}

/* ---- Faults ------------------------------------------------------------------------- */

static struct sim_node *sim_find_leader(struct sim *sim)
{
    for (uint32_t i = 0; i < sim->options.replicas; i++) {
        struct sim_node *node = sim_machine_node(sim, i);
        if (sim_is_replica_running(node) && raft_is_leader(&node->replica.groups[0].raft)) {
            return node;
        }
    }
    return NULL;
}

static void sim_lose_some_disk(struct sim *sim)
{
    uint32_t first = sim_random(sim, sim->options.replicas);
    bool again = sim_chance(sim, 60); /* prefers a machine that has just returned */
    for (uint32_t i = 0; i < sim->options.replicas && again; i++) {
        uint32_t index = (first + i) % sim->options.replicas;
        if (sim->machines[index].disk_lost && sim_machine_node(sim, index)->up) {
            sim_lose_disk(sim, index);
            return;
        }
    }
    sim_lose_disk(sim, first);
}

static void sim_disturb(struct sim *sim)
{
    struct sim_node *leader = sim_find_leader(sim);
    struct sim_node *node = sim_machine_node(sim, sim_random(sim, sim->options.replicas));
    switch (sim_random(sim, 7)) {
    case 0: sim_crash(sim, node, SIM_MAX_DOWN_MS); break;
    case 1: /* a loss of power in several machines */
        for (uint32_t i = 0; i < sim->options.replicas; i++) {
            if (sim_chance(sim, 60)) {
                sim_crash(sim, sim_machine_node(sim, i), SIM_MAX_DOWN_MS / 2);
            }
        }
        break;
    case 2: sim_freeze(sim, node); break;
    case 3: sim_start_partition(sim); break;
    case 4: sim_isolate_leader(sim, 0); break;
    default:
        if (leader != NULL) {
            sim_crash(sim, leader, SIM_MAX_DOWN_MS / 2);
        }
        break;
    }
}

static void sim_inject_disk_fault(struct sim *sim)
{
    if (sim_chance(sim, 65)) {
        sim_lose_some_disk(sim);
    } else {
        sim_disturb(sim);
    }
}

void sim_disks_inject_fault(struct sim *sim)
{
    if (sim->now_ms < SIM_QUIET_START_MS) {
        return;
    }
    if (sim->members_fault_ms != 0 && sim->now_ms >= sim->members_fault_ms) {
        sim->members_fault_ms = 0;
        sim_inject_disk_fault(sim);
    }
    if (sim_random(sim, 1000) < SIM_RANDOM_FAULT_PERMILLE) {
        sim_inject_disk_fault(sim);
    }
}

/* Faults follow changes of members within the time of a few steps of membership_plan(). */
static void sim_observe_members(struct sim *sim)
{
    const struct sim_node *leader = sim_find_leader(sim);
    if (leader == NULL || leader->replica.groups[0].raft.members_index == sim->members_index) {
        return;
    }
    sim->members_index = leader->replica.groups[0].raft.members_index;
    sim->counters.member_changes++;
    if (sim->members_fault_ms == 0 && sim_chance(sim, SIM_CHANGE_FAULT_PERCENT)) {
        sim->members_fault_ms = sim->now_ms + sim_random(sim, SIM_MAX_CHANGE_FAULT_MS);
    }
}

void sim_disks_step(struct sim *sim)
{
    sim_update_lost_machines(sim);
    sim_update_gateways(sim);
    for (uint32_t i = 0; i < sim->options.replicas; i++) {
        sim_join_if_due(sim, sim_machine_node(sim, i));
    }
    sim_observe_members(sim);
}

/* ---- End of a schedule ------------------------------------------------------------------ */

bool sim_disks_is_member(struct sim *sim, const struct sim_node *node)
{
    const struct sim_node *leader = sim_find_leader(sim);
    return leader != NULL && sim_is_replica_running(node) &&
           raft_member_position(&leader->replica.groups[0].raft.members, node->id) >= 0;
}

void sim_disks_check(struct sim *sim)
{
    const struct sim_node *leader = sim_find_leader(sim);
    if (leader == NULL) {
        sim_fail(sim, "members: the remaining disks elect no leader");
        return;
    }
    const struct raft_members *members = &leader->replica.groups[0].raft.members;
    for (uint32_t i = 0; i < members->count; i++) {
        if (!members->learners[i] && !sim_disks_is_member(sim, sim_node(sim, members->nodes[i]))) {
            sim_fail(sim, "members: voter %u, whose disk is lost, was not replaced", members->nodes[i]);
        }
    }
}
