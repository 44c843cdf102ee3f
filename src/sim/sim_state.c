/*
 * Entries of a site's state, and the comparison of the replicas' states at each index.
 *
 * The entries refer to each other at random, to turns that have expired too. Their order of use, their limits and their
 * expiry must not depend on whether a replica got them by the log or by a snapshot.
 */
#include "sim/sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/message.h"

enum {
    SIM_STATE_ENTRY_PERCENT = 15, /* chance of an entry in a step */
    SIM_STATE_TURNS = 48,         /* latest turns, one of which the next turn may continue */
    SIM_STATE_PROGRAMS = 4,
    SIM_STATE_NAMES = 5, /* of operations, attempts, streams, services, versions and zones */
    SIM_STATE_BUDGET = 1000,
    SIM_STATE_NAME_BYTES = 32,
    SIM_STATE_EXTRA_DIGESTS = 64
};

/* ---- Entries ----------------------------------------------------------------------------------- */

static void sim_state_write_name(struct sim *sim, char prefix, uint32_t limit, char out[SIM_STATE_NAME_BYTES])
{
    snprintf(out, SIM_STATE_NAME_BYTES, "%c%u", prefix, sim_random(sim, limit));
}

static void sim_state_fill_turn(struct sim *sim, Entry *entry, char names[3][SIM_STATE_NAME_BYTES])
{
    static const uint32_t retentions_ms[] = {0, 0, 500, 3000, 20000};
    TurnFinish *finish = &entry->command.turn_finish;
    uint64_t number = sim->site_turns++;
    uint64_t back = 1 + sim_random(sim, SIM_STATE_TURNS);
    snprintf(names[0], SIM_STATE_NAME_BYTES, "t%llu", (unsigned long long)number);
    sim_state_write_name(sim, 'p', SIM_STATE_PROGRAMS, names[1]);
    names[2][0] = '\0';
    if (back <= number && sim_chance(sim, 70)) {
        snprintf(names[2], SIM_STATE_NAME_BYTES, "t%llu", (unsigned long long)(number - back));
    }
    entry->which_command = Entry_turn_finish_tag;
    finish->turn = names[0];
    finish->program = names[1];
    finish->parent = names[2];
    finish->used_tokens = sim_random(sim, SIM_STATE_BUDGET);
    finish->keep = true;
    finish->input = view_of_string(names[0]);
    finish->output = view_of_string(names[1]);
    finish->retention_ms = retentions_ms[sim_random(sim, sizeof(retentions_ms) / sizeof(*retentions_ms))];
}

static void sim_state_fill_begin(struct sim *sim, Entry *entry, char names[3][SIM_STATE_NAME_BYTES])
{
    TurnBegin *begin = &entry->command.turn_begin;
    sim_state_write_name(sim, 'b', SIM_STATE_TURNS, names[0]);
    sim_state_write_name(sim, 'p', SIM_STATE_PROGRAMS, names[1]);
    entry->which_command = Entry_turn_begin_tag;
    begin->turn = names[0];
    begin->program = names[1];
    begin->budget_tokens = SIM_STATE_BUDGET;
    begin->reserve_tokens = sim_random(sim, SIM_STATE_BUDGET / 4);
    begin->operation = sim_random(sim, SIM_STATE_NAMES);
}

static void sim_state_fill_failure(struct sim *sim, Entry *entry)
{
    OperationFailure *failure = &entry->command.operation_failure;
    entry->which_command = Entry_operation_failure_tag;
    failure->operation = 1 + sim_random(sim, SIM_STATE_NAMES);
    failure->failure = 1 + sim_random(sim, SIM_STATE_TURNS);
    failure->max_failures = 1 + sim_random(sim, 3);
    failure->keep_ms = 1000 + sim_random(sim, 4000);
    failure->by_contents = sim_chance(sim, 50);
    failure->attempt = 1 + sim_random(sim, SIM_STATE_TURNS);
    failure->goes_on = sim_chance(sim, 50);
}

static void sim_state_fill_attempt(struct sim *sim, Entry *entry)
{
    OperationAttempt *attempt = &entry->command.operation_attempt;
    entry->which_command = Entry_operation_attempt_tag;
    attempt->operation = 1 + sim_random(sim, SIM_STATE_NAMES);
    attempt->attempt = 1 + sim_random(sim, SIM_STATE_TURNS);
    attempt->ended = sim_chance(sim, 30);
}

static void sim_state_fill_stream(struct sim *sim, Entry *entry, char names[3][SIM_STATE_NAME_BYTES])
{
    StreamBegin *begin = &entry->command.stream_begin;
    sim_state_write_name(sim, 's', SIM_STATE_NAMES, names[0]);
    sim_state_write_name(sim, 'v', SIM_STATE_NAMES, names[1]);
    entry->which_command = Entry_stream_begin_tag;
    begin->stream = 1 + sim_random(sim, SIM_STATE_TURNS);
    begin->service = names[0];
    begin->version = names[1];
    begin->attempt = sim_random(sim, 3);
    begin->keep_ms = sim_random(sim, 5000);
    begin->forget = sim_chance(sim, 20);
}

static void sim_state_fill_version(struct sim *sim, Entry *entry, char names[3][SIM_STATE_NAME_BYTES])
{
    ServiceVersion *version = &entry->command.service_version;
    sim_state_write_name(sim, 's', SIM_STATE_NAMES, names[0]);
    sim_state_write_name(sim, 'v', SIM_STATE_NAMES, names[1]);
    entry->which_command = Entry_service_version_tag;
    version->service = names[0];
    version->version = names[1];
    version->several = sim_chance(sim, 30);
}

static void sim_state_fill_drain(struct sim *sim, Entry *entry, char names[3][SIM_STATE_NAME_BYTES])
{
    sim_state_write_name(sim, 'z', SIM_STATE_NAMES, names[0]);
    entry->which_command = Entry_zone_drain_tag;
    entry->command.zone_drain.zone = names[0];
    entry->command.zone_drain.drained = sim_chance(sim, 50);
}

void sim_state_step(struct sim *sim)
{
    char names[3][SIM_STATE_NAME_BYTES];
    Entry entry = {0};
    uint32_t gateway = sim_pick_gateway(sim);
    if (!sim_chance(sim, SIM_STATE_ENTRY_PERCENT) || !sim_node(sim, gateway)->up) {
        return;
    }
    switch (sim_random(sim, 16)) {
    case 0: sim_state_fill_begin(sim, &entry, names); break;
    case 1: sim_state_fill_failure(sim, &entry); break;
    case 2:
    case 3: sim_state_fill_attempt(sim, &entry); break;
    case 4: sim_state_fill_stream(sim, &entry, names); break;
    case 5: sim_state_fill_version(sim, &entry, names); break;
    case 6: sim_state_fill_drain(sim, &entry, names); break;
    default: sim_state_fill_turn(sim, &entry, names); break;
    }
    sim_submit_async(sim, gateway, STATE_CONFIG_GROUP, &entry);
}

/* ---- Comparison -------------------------------------------------------------------------------- */

static uint64_t *sim_state_digest_at(struct sim *sim, uint32_t group, uint64_t index)
{
    struct sim_digests *digests = &sim->digests[group];
    if (index >= digests->capacity) {
        size_t capacity = (size_t)index + SIM_STATE_EXTRA_DIGESTS;
        digests->values = memory_resize(digests->values, capacity * sizeof(*digests->values));
        memset(digests->values + digests->capacity, 0, (capacity - digests->capacity) * sizeof(*digests->values));
        digests->capacity = capacity;
    }
    return &digests->values[index];
}

void sim_state_check(struct sim *sim, const struct sim_node *node, uint32_t group)
{
    const struct replica_group *state = &node->replica.groups[group];
    for (int i = 0; i < REPLICA_DIGESTS; i++) {
        const replica_digest_t *digest = &state->digests[i];
        if (digest->index == 0) {
            continue;
        }
        uint64_t *known = sim_state_digest_at(sim, group, digest->index);
        sim->counters.digests += *known == 0 ? 0 : 1;
        if (*known != 0 && *known != digest->value) {
            sim_fail(sim, "node %u has another state at index %llu of group %u", node->id,
                     (unsigned long long)digest->index, group);
        }
        *known = digest->value;
    }
}

void sim_state_close(struct sim *sim)
{
    for (uint32_t group = 0; group < REPLICA_MAX_GROUPS; group++) {
        free(sim->digests[group].values);
    }
}
