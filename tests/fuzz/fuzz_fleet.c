/*
 * Fuzzes a whole simulated fleet: the input decides what the schedule's seed
 * decides otherwise (faults, delays, what callers and operators do next), until
 * it is used up. The simulator's oracle checks every invariant.
 */
#include <stdio.h>
#include <stdlib.h>

#include "sim/sim.h"

enum { FUZZ_SEED_BYTES = 2, FUZZ_CHAOS_MS = 2500, FUZZ_CALM_MS = 9000 };

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static struct sim sim;
    if (size < FUZZ_SEED_BYTES) {
        return 0;
    }
    struct sim_options options = sim_options_of_seed((uint64_t)data[0] * 256U + data[1]);
    options.chaos_ms = FUZZ_CHAOS_MS;
    options.calm_ms = FUZZ_CALM_MS;
    options.choices = data + FUZZ_SEED_BYTES;
    options.choice_count = size - FUZZ_SEED_BYTES;
    sim_run(&sim, &options);
    if (sim.failed) {
        fprintf(stderr, "%s\n", sim.failure);
        abort();
    }
    sim_close(&sim);
    return 0;
}
