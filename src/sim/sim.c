/* Main loop of the simulation: nodes, virtual time and faults. */
#include "sim/sim.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/message.h"

enum {
    SIM_ELECTION_TIMEOUT_MS = 300,
    SIM_HEARTBEAT_MS = 60,
    SIM_LEASE_MS = 1000,
    SIM_CLIENT_HEARTBEAT_MS = 200,
    SIM_REQUEST_TIMEOUT_MS = 1500,
    SIM_ASYNC_REQUEST_TIMEOUT_MS = 3600000,
    SIM_MEMBER_RESTORE_PERIOD_MS = 500,
    SIM_TOKEN_NO_WAITER = 2, /* matches no correlation id; not 0, which marks the control client's own requests */
    SIM_FAULT_PERCENT = 2    /* chance of a new fault in a step */
};

/* ---- Helpers ------------------------------------------------------------------------ */

void sim_fail(struct sim *sim, const char *format, ...)
{
    if (sim->failed) {
        return;
    }
    sim->failed = true;
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(sim->failure, sizeof(sim->failure), format, arguments);
    va_end(arguments);
}

uint32_t sim_random(struct sim *sim, uint32_t limit)
{
    if (limit == 0) {
        return 0;
    }
    if (sim->choices_used < sim->options.choice_count) {
        return sim->options.choices[sim->choices_used++] * (limit / 256 + 1) % limit;
    }
    return (uint32_t)gsl_rng_uniform_int(sim->random, limit);
}

bool sim_chance(struct sim *sim, uint32_t percent)
{
    return percent > 0 && sim_random(sim, 100) < percent;
}

struct sim_node *sim_node(struct sim *sim, uint32_t id)
{
    return &sim->nodes[id - 1];
}

uint32_t sim_pick_gateway(struct sim *sim)
{
    uint32_t first = sim->options.replicas + 1;
    uint32_t start = sim_random(sim, sim->options.gateways);
    for (uint32_t i = 0; i < sim->options.gateways; i++) {
        uint32_t id = first + (start + i) % sim->options.gateways;
        if (sim_node(sim, id)->up) {
            return id;
        }
    }
    return first + start;
}

struct sim_options sim_options_of_seed(uint64_t seed)
{
    struct sim_options options = {
        .seed = seed,
        .replicas = seed % 4 == 0 ? 5 : 3,
        .groups = 3,
        .gateways = 3,
        .callers = 6,
        .operators = 2,
        .fault_phase_ms = 8000,
        .settle_phase_ms = 12000,
        .faults = true,
        .snapshot_entries = seed % 3 == 0 ? 20 : 100,
    };
    return options;
}

struct sim_options sim_disk_options_of_seed(uint64_t seed)
{
    static const uint32_t machines[] = {3, 4, 3, 5, 4, 6, 8, 7};
    struct sim_options options = {
        .seed = seed,
        .replicas = machines[seed % (sizeof(machines) / sizeof(machines[0]))],
        .groups = 1,
        .gateways = 2,
        .operators = 2,
        .fault_phase_ms = 24000,
        .settle_phase_ms = 14000,
        .faults = true,
        .snapshot_entries = seed % 3 == 0 ? 20 : 100,
    };
    options.tolerated_disks = options.replicas >= MEMBERSHIP_VOTERS_LARGE ? 2 : 1;
    options.tolerated_zones = options.replicas > MEMBERSHIP_VOTERS_LARGE && seed % 5 == 0 ? 1 : 0;
    return options;
}

/* ---- Raft invariants ------------------------------------------------------------------ */

/* Checks that all replicas apply the same entry at the same index. */
static void sim_check_applied(struct sim *sim, const struct sim_node *node, uint32_t group, uint64_t from, uint64_t to)
{
    const struct raft *raft = &node->replica.groups[group].raft;
    for (uint64_t index = from + 1; index <= to; index++) {
        if (index <= raft->log.base_index) {
            continue;
        }
        const struct raft_entry *entry = &raft->log.entries[index - raft->log.base_index - 1];
        uint64_t hash = XXH64(entry->data, entry->length, entry->term) | 1U;
        if (index >= sim->applied_capacities[group]) {
            size_t count = (size_t)index + 64;
            sim->applied_hashes[group] = memory_resize(sim->applied_hashes[group], count * sizeof(uint64_t));
            memset(sim->applied_hashes[group] + sim->applied_capacities[group], 0,
                   (count - sim->applied_capacities[group]) * sizeof(uint64_t));
            sim->applied_capacities[group] = count;
        }
        uint64_t *applied_hash = &sim->applied_hashes[group][index];
        if (*applied_hash != 0 && *applied_hash != hash) {
            sim_fail(sim, "node %u applied a different entry at index %llu of group %u", node->id,
                     (unsigned long long)index, group);
        }
        *applied_hash = hash;
    }
}

/* Checks that a term has at most one leader. */
static void sim_check_leader(struct sim *sim, const struct sim_node *node, uint32_t group)
{
    const struct raft *raft = &node->replica.groups[group].raft;
    if (!raft_is_leader(raft)) {
        return;
    }
    size_t count = sim->leader_counts[group];
    for (size_t i = count; i > 0; i--) {
        if (sim->leaders[group][i - 1].term == raft->term) {
            if (sim->leaders[group][i - 1].node != node->id) {
                sim_fail(sim, "nodes %u and %u are both leaders of group %u in term %llu", node->id,
                         sim->leaders[group][i - 1].node, group, (unsigned long long)raft->term);
            }
            return;
        }
    }
    sim->leaders[group] = memory_resize(sim->leaders[group], (count + 1) * sizeof(*sim->leaders[group]));
    sim->leaders[group][count].term = raft->term;
    sim->leaders[group][count].node = node->id;
    sim->leader_counts[group]++;
}

/* ---- Nodes ------------------------------------------------------------------------------- */

static bool sim_client_send(void *context, uint32_t to, struct view frame)
{
    struct sim_node *node = context;
    if (to == RAFT_NO_NODE) {
        return false;
    }
    sim_network_send(node->sim, node->id, to, frame);
    return true;
}

static void sim_client_complete(void *context, void *token, ResultCode code, struct view body)
{
    struct sim_node *node = context;
    uint64_t request_token = (uint64_t)(uintptr_t)token;
    sim_callers_complete(node->sim, request_token, code, body);
    sim_operators_complete(node->sim, request_token, code, body);
}

static void sim_client_ignore_config(void *context, const struct config_store *config)
{
    (void)context;
    (void)config;
}

bool sim_is_replica_running(const struct sim_node *node)
{
    return node->has_replica && node->up && !node->outside;
}

static void sim_start_replica(struct sim_node *node)
{
    struct sim *sim = node->sim;
    bool loses_disks = sim->options.tolerated_disks > 0;
    struct replica_config config = {
        .node = node->id,
        .groups = sim->options.groups,
        .election_timeout_ms = SIM_ELECTION_TIMEOUT_MS,
        .heartbeat_ms = SIM_HEARTBEAT_MS,
        .lease_ms = SIM_LEASE_MS,
        .seed = sim->options.seed + node->boot_count * 1000,
        .snapshot_entries = sim->options.snapshot_entries,
        .members = node->first_members,
        .auto_membership = loses_disks,
        .tolerated_zones = sim->options.tolerated_zones,
        .full_digests = true,
    };
    for (uint32_t i = 0; i < sim->options.replicas && !loses_disks; i++) {
        config.members.nodes[config.members.count++] = i + 1;
    }
    struct replica_io io = sim_disk_io(node);
    struct history_io history = sim_disk_history(node);
    replica_init(&node->replica, &config, &io, &history);
    node->replica.wall_offset_ms = 1000000;
    sim_disk_restore(node);
    replica_start(&node->replica, sim->now_ms);
}

static void sim_start_client(struct sim_node *node)
{
    struct sim *sim = node->sim;
    struct control_client_config config = {
        .node = node->id,
        .boot_id = node->boot_count * 1000 + node->id,
        .groups = sim->options.groups,
        .replica_count = sim->options.replicas,
        .heartbeat_ms = SIM_CLIENT_HEARTBEAT_MS,
    };
    for (uint32_t i = 0; i < sim->options.replicas; i++) {
        config.replicas[i] = i + 1;
    }
    struct control_client_io io = {
        .context = node,
        .send = sim_client_send,
        .complete = sim_client_complete,
        .config_changed = sim_client_ignore_config,
    };
    control_client_init(&node->client, &config, &io);
}

void sim_start_node(struct sim_node *node)
{
    node->up = true;
    node->frozen = false;
    node->boot_count++;
    if (node->has_replica && !node->outside) {
        sim_start_replica(node);
    } else if (!node->has_replica) {
        sim_start_client(node);
    }
}

void sim_stop_node(struct sim_node *node)
{
    if (!node->up) {
        return;
    }
    node->up = false;
    if (node->outside) {
        return;
    }
    if (node->has_replica) {
        node->sim->counters.installs += node->replica.counters.installs;
        replica_close(&node->replica);
        sim_disk_crash(node->sim, &node->disk);
        return;
    }
    /* Callers and operators see their connections close; the client must not complete their requests. */
    sim_callers_gateway_stopped(node->sim, node->id);
    sim_operators_gateway_stopped(node->sim, node->id);
    node->client.io.complete = NULL;
    while (node->client.requests != NULL) {
        struct control_request *request = node->client.requests;
        HASH_DEL(node->client.requests, request);
        free(request->body);
        free(request);
    }
    control_client_close(&node->client);
}

static void sim_flush_and_check(struct sim *sim, struct sim_node *node, const uint64_t *applied_before)
{
    replica_flush(&node->replica, sim->now_ms);
    for (uint32_t group = 0; group < sim->options.groups; group++) {
        const struct raft *raft = &node->replica.groups[group].raft;
        sim_check_applied(sim, node, group, applied_before[group], raft->applied);
        sim_check_leader(sim, node, group);
        if (raft->applied > applied_before[group]) {
            sim_state_check(sim, node, group);
        }
    }
}

static void sim_record_applied(const struct sim *sim, const struct sim_node *node, uint64_t *applied)
{
    for (uint32_t group = 0; group < sim->options.groups; group++) {
        applied[group] = node->replica.groups[group].raft.applied;
    }
}

static void sim_deliver(struct sim *sim, const struct sim_message *message)
{
    struct sim_node *node = sim_node(sim, message->to);
    Frame frame = {0};
    if (!node->up || !message_decode(view_of(message->data, message->length), Frame_fields, &frame)) {
        return;
    }
    if (node->outside) {
        sim_disks_receive(node, &frame);
    } else if (node->has_replica) {
        uint64_t applied[REPLICA_MAX_GROUPS] = {0};
        sim_record_applied(sim, node, applied);
        replica_receive(&node->replica, sim->now_ms, message->from, &frame);
        sim_flush_and_check(sim, node, applied);
    } else {
        control_client_receive(&node->client, sim->now_ms, message->from, &frame);
    }
    message_free(Frame_fields, &frame);
}

static void sim_tick_node(struct sim *sim, struct sim_node *node)
{
    if (node->outside) {
        return;
    }
    if (node->has_replica) {
        uint64_t applied[REPLICA_MAX_GROUPS] = {0};
        sim_record_applied(sim, node, applied);
        replica_tick(&node->replica, sim->now_ms);
        sim_flush_and_check(sim, node, applied);
    } else {
        control_client_tick(&node->client, sim->now_ms);
    }
}

static void sim_send_request(struct sim *sim, uint32_t gateway, uint32_t group, RequestKind kind,
                             const pb_msgdesc_t *fields, const void *message, uint64_t token, uint64_t timeout_ms)
{
    struct sim_node *node = sim_node(sim, gateway);
    struct buffer body = {0};
    message_encode(&body, fields, message);
    control_client_submit(&node->client, sim->now_ms, group, kind, buffer_view(&body), sim->now_ms + timeout_ms,
                          (void *)(uintptr_t)token);
    buffer_close(&body);
}

void sim_submit(struct sim *sim, uint32_t gateway, uint32_t group, RequestKind kind, const pb_msgdesc_t *fields,
                const void *message, uint64_t token)
{
    sim_send_request(sim, gateway, group, kind, fields, message, token, SIM_REQUEST_TIMEOUT_MS);
}

void sim_submit_async(struct sim *sim, uint32_t gateway, uint32_t group, const Entry *entry)
{
    sim_send_request(sim, gateway, group, REQUEST_PROPOSE, Entry_fields, entry, SIM_TOKEN_NO_WAITER,
                     SIM_ASYNC_REQUEST_TIMEOUT_MS);
}

/* ---- Faults --------------------------------------------------------------------------------- */

static void sim_request_member(struct sim *sim, uint32_t group, MemberAction action)
{
    uint32_t gateway = sim_pick_gateway(sim);
    MemberChange change = {.node = sim->options.replicas, .action = action};
    if (sim_node(sim, gateway)->up) {
        sim_send_request(sim, gateway, group, REQUEST_MEMBERS, MemberChange_fields, &change, SIM_TOKEN_NO_WAITER,
                         SIM_REQUEST_TIMEOUT_MS);
    }
}

/* Adds the last replica to a random group as a learner, promotes it or removes it.
 * Only in fleets of five replicas, where the other four keep a quorum. */
static void sim_change_member(struct sim *sim)
{
    if (sim->options.replicas >= SIM_MAX_REPLICAS) {
        sim_request_member(sim, sim_random(sim, sim->options.groups), (MemberAction)sim_random(sim, 3));
    }
}

/* In the settle phase, periodically adds the last replica back to all groups as a voter. */
static void sim_restore_members(struct sim *sim)
{
    bool changes = sim->options.replicas >= SIM_MAX_REPLICAS && sim->options.tolerated_disks == 0;
    if (!changes || sim->now_ms % SIM_MEMBER_RESTORE_PERIOD_MS != 0) {
        return;
    }
    for (uint32_t group = 0; group < sim->options.groups; group++) {
        sim_request_member(sim, group, MEMBER_ADD_LEARNER);
        sim_request_member(sim, group, MEMBER_PROMOTE);
    }
}

void sim_crash(struct sim *sim, struct sim_node *node, uint32_t max_downtime_ms)
{
    if (!node->up) {
        return;
    }
    sim->counters.crashes++;
    sim_stop_node(node);
    node->resume_ms = sim->now_ms + 100 + sim_random(sim, max_downtime_ms);
}

/* Starts a network partition between two random sets of nodes, in one direction or both. */
void sim_start_partition(struct sim *sim)
{
    bool both_directions = sim_chance(sim, 50);
    bool in_first_set[SIM_MAX_DISKS + SIM_MAX_GATEWAYS];
    sim->counters.partitions++;
    for (uint32_t i = 0; i < sim->node_count; i++) {
        in_first_set[i] = sim_chance(sim, 40);
    }
    for (uint32_t from = 0; from < sim->node_count; from++) {
        for (uint32_t to = 0; to < sim->node_count; to++) {
            bool crosses =
                both_directions ? in_first_set[from] != in_first_set[to] : in_first_set[from] && !in_first_set[to];
            sim->partitioned[from * sim->node_count + to] = crosses;
        }
    }
    sim->partition_end_ms = sim->now_ms + 200 + sim_random(sim, 3000);
}

void sim_isolate_leader(struct sim *sim, uint32_t group)
{
    for (uint32_t i = 0; i < sim->node_count; i++) {
        bool leads =
            sim_is_replica_running(&sim->nodes[i]) && raft_is_leader(&sim->nodes[i].replica.groups[group].raft);
        if (!leads) {
            continue;
        }
        sim->counters.partitions++;
        for (uint32_t other = 0; other < sim->node_count; other++) {
            sim->partitioned[i * sim->node_count + other] = true;
            sim->partitioned[other * sim->node_count + i] = true;
        }
        sim->partition_end_ms = sim->now_ms + 500 + sim_random(sim, 4000);
        return;
    }
}

void sim_freeze(struct sim *sim, struct sim_node *node)
{
    if (!node->up || node->frozen) {
        return;
    }
    sim->counters.freezes++;
    node->frozen = true;
    node->resume_ms = sim->now_ms + 100 + sim_random(sim, 2500);
}

static void sim_inject_fault(struct sim *sim)
{
    struct sim_node *random_node = &sim->nodes[sim_random(sim, sim->node_count)];
    struct sim_node *random_replica = &sim->nodes[sim_random(sim, sim->options.replicas)];
    sim_change_member(sim);
    switch (sim_random(sim, 8)) {
    case 0: sim_crash(sim, random_replica, 1500); break;
    case 1: sim_crash(sim, random_node, 1500); break;
    case 2: /* up to two replicas in the same step: a majority of three */
        sim_crash(sim, random_replica, 800);
        sim_crash(sim, &sim->nodes[sim_random(sim, sim->options.replicas)], 800);
        break;
    case 3: sim_start_partition(sim); break;
    case 4: sim_isolate_leader(sim, sim_random(sim, sim->options.groups)); break;
    case 5: sim_freeze(sim, random_node); break;
    case 6: sim->drop_percent = sim_random(sim, 15); break;
    default: sim->slow_percent = sim_random(sim, 10); break;
    }
}

static void sim_recover_due(struct sim *sim)
{
    if (sim->now_ms >= sim->partition_end_ms) {
        memset(sim->partitioned, 0, (size_t)sim->node_count * sim->node_count * sizeof(*sim->partitioned));
    }
    for (uint32_t i = 0; i < sim->node_count; i++) {
        struct sim_node *node = &sim->nodes[i];
        if (!node->absent && !node->up && sim->now_ms >= node->resume_ms) {
            sim_start_node(node);
            /* another replica may crash right after this one restarted */
            if (!sim->settling && node->has_replica && sim->options.tolerated_disks == 0 && sim_chance(sim, 30)) {
                sim_crash(sim, &sim->nodes[sim_random(sim, sim->options.replicas)], 1500);
            }
        }
        node->frozen = node->frozen && sim->now_ms < node->resume_ms;
    }
}

static void sim_end_faults(struct sim *sim)
{
    sim->settling = true;
    sim->drop_percent = 0;
    sim->slow_percent = 0;
    sim->duplicate_percent = 0;
    sim->partition_end_ms = 0;
    for (uint32_t i = 0; i < sim->node_count; i++) {
        sim->nodes[i].resume_ms = 0;
    }
}

/* ---- Run -------------------------------------------------------------------------------------- */

static void sim_deliver_due(struct sim *sim)
{
    struct sim_message message;
    while (!sim->failed && sim_network_pop(sim, &message)) {
        struct sim_node *node = sim_node(sim, message.to);
        if (node->up && node->frozen) {
            /* A frozen process receives its messages when it resumes. */
            struct view frame = view_of(message.data, message.length);
            uint64_t now_ms = sim->now_ms;
            sim->now_ms = node->resume_ms + 1;
            uint32_t from = message.from;
            sim->network.sent--;
            bool *link_partitioned = &sim->partitioned[(from - 1) * sim->node_count + message.to - 1];
            bool was_partitioned = *link_partitioned;
            *link_partitioned = false;
            sim_network_send(sim, from, message.to, frame);
            *link_partitioned = was_partitioned;
            sim->now_ms = now_ms;
        } else {
            sim_deliver(sim, &message);
        }
        free(message.data);
    }
}

static void sim_step(struct sim *sim)
{
    sim->now_ms += SIM_STEP_MS;
    bool faults_active = sim->options.faults && sim->now_ms < sim->options.fault_phase_ms;
    if (faults_active && sim->options.tolerated_disks > 0) {
        sim_disks_inject_fault(sim);
    } else if (faults_active && sim_chance(sim, SIM_FAULT_PERCENT)) {
        sim_inject_fault(sim);
    }
    if (!sim->settling && sim->now_ms >= sim->options.fault_phase_ms) {
        sim_end_faults(sim);
    }
    sim_recover_due(sim);
    if (sim->settling) {
        sim_restore_members(sim);
    }
    if (sim->options.tolerated_disks > 0) {
        sim_disks_step(sim);
    }
    sim_deliver_due(sim);
    for (uint32_t i = 0; i < sim->node_count && !sim->failed; i++) {
        if (sim->nodes[i].up && !sim->nodes[i].frozen) {
            sim_tick_node(sim, &sim->nodes[i]);
        }
    }
    sim_callers_step(sim);
    sim_operators_step(sim);
    if (!sim->settling) {
        sim_state_step(sim);
    }
}

static void sim_open(struct sim *sim, const struct sim_options *options)
{
    memset(sim, 0, sizeof(*sim));
    sim->options = *options;
    sim->random = gsl_rng_alloc(gsl_rng_taus2);
    gsl_rng_set(sim->random, (unsigned long)(options->seed * 2654435761U + 1));
    sim->node_count = options->replicas + options->gateways + (options->tolerated_disks > 0 ? SIM_MAX_DISKS : 0);
    sim->nodes = memory_new(sim->node_count * sizeof(*sim->nodes));
    sim->partitioned = memory_new((size_t)sim->node_count * sim->node_count * sizeof(*sim->partitioned));
    sim->duplicate_percent = options->faults ? 3 : 0;
    for (uint32_t i = 0; i < sim->node_count; i++) {
        struct sim_node *node = &sim->nodes[i];
        node->sim = sim;
        node->id = i + 1;
        node->has_replica = i < options->replicas || i >= options->replicas + options->gateways;
        node->absent = i >= options->replicas + options->gateways;
        sim_disk_init(&node->disk, node->has_replica ? options->groups : 0);
    }
    if (options->tolerated_disks > 0) {
        sim_disks_init(sim);
    }
    for (uint32_t i = 0; i < options->replicas + options->gateways; i++) {
        sim_start_node(&sim->nodes[i]);
    }
    sim_callers_init(sim);
    sim_operators_init(sim);
}

bool sim_run(struct sim *sim, const struct sim_options *options)
{
    sim_open(sim, options);
    uint64_t end_ms = (uint64_t)options->fault_phase_ms + options->settle_phase_ms;
    while (!sim->failed && sim->now_ms < end_ms) {
        sim_step(sim);
    }
    if (!sim->failed && sim->options.tolerated_disks > 0) {
        sim_disks_check(sim);
    }
    if (!sim->failed) {
        sim_callers_check(sim);
        sim_operators_check(sim);
    }
    return !sim->failed;
}

void sim_close(struct sim *sim)
{
    for (uint32_t i = 0; i < sim->node_count; i++) {
        sim_stop_node(&sim->nodes[i]);
        sim_disk_close(&sim->nodes[i].disk);
    }
    for (uint32_t group = 0; group < REPLICA_MAX_GROUPS; group++) {
        free(sim->applied_hashes[group]);
        free(sim->leaders[group]);
    }
    sim_state_close(sim);
    sim_network_close(&sim->network);
    free(sim->nodes);
    free(sim->partitioned);
    free(sim->changes);
    gsl_rng_free(sim->random);
}
