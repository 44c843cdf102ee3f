/*
 * Fuzzes a simulated fleet, checked by the simulator's oracle. The input replaces
 * the random numbers of faults, delays, callers and operators until it is used up.
 */
#include <stdio.h>
#include <stdlib.h>

#include "sim/sim.h"

enum { FUZZ_SEED_BYTES = 2, FUZZ_FAULT_PHASE_MS = 2500, FUZZ_SETTLE_PHASE_MS = 9000 };

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static struct sim sim;
    if (size < FUZZ_SEED_BYTES) {
        return 0;
    }
    struct sim_options options = sim_options_of_seed((uint64_t)data[0] * 256U + data[1]);
    options.fault_phase_ms = FUZZ_FAULT_PHASE_MS;
    options.settle_phase_ms = FUZZ_SETTLE_PHASE_MS;
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
