/*
 * Operators: they change the configuration concurrently and retry changes whose
 * responses were lost.
 *
 * Invariants of the configuration: each revision belongs to one change, an
 * acknowledged change is never lost, a read returns at least the highest
 * revision acknowledged before it started, and at the end all replicas and
 * gateways have at least the highest acknowledged revision and the last
 * acknowledged content of each resource.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/message.h"
#include "sim/sim.h"

enum { SIM_OPERATOR_MAX_PAUSE_MS = 150, SIM_OPERATOR_RESOURCES = 3 };

void sim_operators_init(struct sim *sim)
{
    for (uint32_t i = 0; i < sim->options.operators; i++) {
        struct sim_operator *admin = &sim->operators[i];
        admin->sim = sim;
        admin->index = i;
        admin->due_ms = 600 + sim_random(sim, 500);
    }
}

static void sim_operator_send(struct sim_operator *admin, RequestKind kind, const pb_msgdesc_t *fields,
                              const void *message)
{
    struct sim *sim = admin->sim;
    admin->correlation_id = (++sim->last_id << 8) | admin->index;
    admin->waiting = true;
    sim_submit(sim, admin->gateway, STATE_CONFIG_GROUP, kind, fields, message, (admin->correlation_id << 1) | 1U);
}

static void sim_operator_read(struct sim_operator *admin)
{
    ConfigQuery query = {0};
    admin->reading = true;
    admin->min_read_revision = admin->sim->acknowledged_revision;
    sim_operator_send(admin, REQUEST_CONFIG, ConfigQuery_fields, &query);
}

static void sim_operator_change(struct sim_operator *admin)
{
    struct sim *sim = admin->sim;
    if (!admin->outcome_unknown) {
        admin->change_count++;
        snprintf(admin->request_id, sizeof(admin->request_id), "r%u-%" PRIu64, admin->index, admin->change_count);
        snprintf(admin->name, sizeof(admin->name), "n%u", sim_random(sim, SIM_OPERATOR_RESOURCES));
        snprintf(admin->value, sizeof(admin->value), "v%u-%" PRIu64, admin->index, admin->change_count);
    }
    Entry entry = {0};
    entry.which_command = Entry_config_change_tag;
    ConfigChange *change = &entry.command.config_change;
    change->request_id = admin->request_id;
    change->expected_revision = admin->expected_revision;
    change->operation = admin->expected_revision <= SIM_OPERATOR_RESOURCES ? CONFIG_CREATE : CONFIG_UPDATE;
    change->kind = RESOURCE_POLICY;
    change->name = admin->name;
    change->body = view_of_string(admin->value);
    admin->reading = false;
    admin->outcome_unknown = true;
    sim_operator_send(admin, REQUEST_PROPOSE, Entry_fields, &entry);
}

static void sim_operator_record_change(struct sim_operator *admin, uint64_t revision)
{
    struct sim *sim = admin->sim;
    for (size_t i = 0; i < sim->change_count; i++) {
        if (sim->changes[i].revision == revision) {
            sim_fail(sim, "configuration: two changes have revision %llu", (unsigned long long)revision);
        }
    }
    sim->changes = memory_resize(sim->changes, (sim->change_count + 1) * sizeof(*sim->changes));
    struct sim_change *change = &sim->changes[sim->change_count++];
    change->revision = revision;
    snprintf(change->name, sizeof(change->name), "%s", admin->name);
    snprintf(change->value, sizeof(change->value), "%s", admin->value);
    sim->counters.changes++;
    if (revision > sim->acknowledged_revision) {
        sim->acknowledged_revision = revision;
    }
}

static void sim_operator_handle_result(struct sim_operator *admin, const EntryResult *result)
{
    admin->outcome_unknown = false;
    if (result->code == RESULT_OK) {
        sim_operator_record_change(admin, result->revision);
    } else if (result->code == RESULT_ABORTED) {
        admin->sim->counters.revision_conflicts++;
    }
}

static void sim_operator_check_read(struct sim_operator *admin, const ConfigState *state)
{
    if (state->revision < admin->min_read_revision) {
        sim_fail(admin->sim, "configuration: a read returned revision %llu after %llu was acknowledged",
                 (unsigned long long)state->revision, (unsigned long long)admin->min_read_revision);
    }
    admin->expected_revision = state->revision;
}

void sim_operators_complete(struct sim *sim, uint64_t token, ResultCode code, struct view body)
{
    uint64_t correlation_id = token >> 1;
    uint32_t index = (uint32_t)(correlation_id & 0xff);
    bool is_current = (token & 1) == 1 && index < sim->options.operators &&
                      sim->operators[index].correlation_id == correlation_id && sim->operators[index].waiting;
    if (!is_current) {
        return;
    }
    struct sim_operator *admin = &sim->operators[index];
    admin->waiting = false;
    admin->due_ms = sim->now_ms + sim_random(sim, SIM_OPERATOR_MAX_PAUSE_MS);
    if (code != RESULT_OK) {
        admin->gateway = sim_pick_gateway(sim);
        return;
    }
    if (admin->reading) {
        ConfigState state = {0};
        if (message_decode(body, ConfigState_fields, &state)) {
            sim_operator_check_read(admin, &state);
            message_free(ConfigState_fields, &state);
        }
        return;
    }
    EntryResult result = {0};
    if (message_decode(body, EntryResult_fields, &result)) {
        sim_operator_handle_result(admin, &result);
        message_free(EntryResult_fields, &result);
    }
}

void sim_operators_gateway_stopped(struct sim *sim, uint32_t gateway)
{
    for (uint32_t i = 0; i < sim->options.operators; i++) {
        struct sim_operator *admin = &sim->operators[i];
        if (admin->gateway == gateway) {
            admin->waiting = false;
            admin->gateway = sim_pick_gateway(sim);
            admin->due_ms = sim->now_ms + SIM_OPERATOR_MAX_PAUSE_MS;
        }
    }
}

static void sim_operator_step(struct sim_operator *admin)
{
    struct sim *sim = admin->sim;
    if (admin->gateway == 0) {
        admin->gateway = sim_pick_gateway(sim);
    }
    const struct sim_node *node = sim_node(sim, admin->gateway);
    if (!node->up || node->frozen) {
        return;
    }
    /* A change with an unknown outcome is retried with the same request id. */
    if (admin->outcome_unknown || (admin->reading && !sim->settling)) {
        sim_operator_change(admin);
    } else {
        sim_operator_read(admin);
    }
}

void sim_operators_step(struct sim *sim)
{
    for (uint32_t i = 0; i < sim->options.operators && !sim->failed; i++) {
        struct sim_operator *admin = &sim->operators[i];
        if (!admin->waiting && sim->now_ms >= admin->due_ms) {
            sim_operator_step(admin);
        }
    }
}

static const struct sim_change *sim_last_change(const struct sim *sim, const char *name)
{
    const struct sim_change *last = NULL;
    for (size_t i = 0; i < sim->change_count; i++) {
        const struct sim_change *change = &sim->changes[i];
        if (strcmp(change->name, name) == 0 && (last == NULL || change->revision > last->revision)) {
            last = change;
        }
    }
    return last;
}

static void sim_check_config(struct sim *sim, uint32_t node, const struct config_store *store)
{
    if (store->revision < sim->acknowledged_revision) {
        sim_fail(sim, "configuration: node %u has revision %llu, but %llu was acknowledged", node,
                 (unsigned long long)store->revision, (unsigned long long)sim->acknowledged_revision);
    }
    for (uint32_t i = 0; i < SIM_OPERATOR_RESOURCES; i++) {
        char name[32];
        snprintf(name, sizeof(name), "n%u", i);
        const struct sim_change *last = sim_last_change(sim, name);
        const struct config_item *item = config_store_find(store, RESOURCE_POLICY, name);
        bool same = last == NULL || (item != NULL && item->length == strlen(last->value) &&
                                     memcmp(item->body, last->value, item->length) == 0);
        if (!same) {
            sim_fail(sim, "configuration: node %u does not have the last acknowledged change of %s", node, name);
        }
    }
}

void sim_operators_check(struct sim *sim)
{
    for (uint32_t i = 0; i < sim->options.operators; i++) {
        if (sim->operators[i].outcome_unknown) {
            sim_fail(sim, "configuration: a change of operator %u has no response at the end", i);
        }
    }
    for (uint32_t i = 0; i < sim->node_count && !sim->failed; i++) {
        const struct sim_node *node = &sim->nodes[i];
        if (node->has_replica && sim->options.tolerated_disks > 0 && !sim_disks_is_member(sim, node)) {
            continue;
        }
        const struct config_store *store =
            node->has_replica ? &node->replica.groups[0].machine.config : &node->client.store;
        sim_check_config(sim, node->id, store);
    }
}
