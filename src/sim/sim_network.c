/* Network that delays, reorders, drops and duplicates messages, and can be partitioned. */
#include <stdlib.h>
#include <string.h>

#include "sim/sim.h"

enum { SIM_MAX_DELAY_MS = 4, SIM_MAX_SLOW_DELAY_MS = 1500, SIM_MAX_IN_FLIGHT = 1 << 16 };

static bool sim_message_before(const struct sim_message *a, const struct sim_message *b)
{
    return a->due_ms != b->due_ms ? a->due_ms < b->due_ms : a->sequence < b->sequence;
}

static void sim_heap_swap(struct sim_network *network, size_t a, size_t b)
{
    struct sim_message temporary = network->heap[a];
    network->heap[a] = network->heap[b];
    network->heap[b] = temporary;
}

static void sim_heap_push(struct sim_network *network, const struct sim_message *message)
{
    if (network->count == network->capacity) {
        network->capacity = network->capacity == 0 ? 256 : network->capacity * 2;
        network->heap = memory_resize(network->heap, network->capacity * sizeof(*network->heap));
    }
    size_t position = network->count++;
    network->heap[position] = *message;
    while (position > 0 && sim_message_before(&network->heap[position], &network->heap[(position - 1) / 2])) {
        sim_heap_swap(network, position, (position - 1) / 2);
        position = (position - 1) / 2;
    }
}

static void sim_heap_sift_down(struct sim_network *network)
{
    size_t position = 0;
    for (;;) {
        size_t smallest = position;
        for (size_t child = 2 * position + 1; child <= 2 * position + 2; child++) {
            if (child < network->count && sim_message_before(&network->heap[child], &network->heap[smallest])) {
                smallest = child;
            }
        }
        if (smallest == position) {
            return;
        }
        sim_heap_swap(network, position, smallest);
        position = smallest;
    }
}

static void sim_network_schedule(struct sim *sim, uint32_t from, uint32_t to, struct view frame)
{
    uint64_t delay_ms = from == to ? 0 : 1 + sim_random(sim, SIM_MAX_DELAY_MS);
    if (from != to && sim_chance(sim, sim->slow_percent)) {
        delay_ms += sim_random(sim, SIM_MAX_SLOW_DELAY_MS);
    }
    struct sim_message message = {
        .due_ms = sim->now_ms + delay_ms,
        .sequence = sim->network.next_sequence++,
        .from = from,
        .to = to,
        .data = (uint8_t *)memory_copy(frame.data, frame.length),
        .length = frame.length,
    };
    sim_heap_push(&sim->network, &message);
}

void sim_network_send(struct sim *sim, uint32_t from, uint32_t to, struct view frame)
{
    sim->network.sent += from != to ? 1 : 0;
    sim->network.bytes += from != to ? frame.length : 0;
    bool dropped =
        from != to && (sim->partitioned[(from - 1) * sim->node_count + to - 1] || sim_chance(sim, sim->drop_percent));
    if (dropped || sim->network.count > SIM_MAX_IN_FLIGHT) {
        return;
    }
    sim_network_schedule(sim, from, to, frame);
    if (from != to && sim_chance(sim, sim->duplicate_percent)) {
        sim_network_schedule(sim, from, to, frame);
    }
}

bool sim_network_pop(struct sim *sim, struct sim_message *message)
{
    struct sim_network *network = &sim->network;
    if (network->count == 0 || network->heap[0].due_ms > sim->now_ms) {
        return false;
    }
    *message = network->heap[0];
    network->heap[0] = network->heap[--network->count];
    sim_heap_sift_down(network);
    return true;
}

void sim_network_close(struct sim_network *network)
{
    for (size_t i = 0; i < network->count; i++) {
        free(network->heap[i].data);
    }
    free(network->heap);
    memset(network, 0, sizeof(*network));
}
