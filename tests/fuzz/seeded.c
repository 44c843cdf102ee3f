/*
 * Runs a fuzz target on pseudo-random inputs, the same in every build.
 * Usage: fuzz_NAME [INPUTS [MAX_LENGTH]]
 */
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static uint64_t next_random(uint64_t *state)
{
    *state = *state * 6364136223846793005U + 1442695040888963407U;
    return *state >> 33;
}

int main(int argc, char **argv)
{
    unsigned long inputs = argc > 1 ? strtoul(argv[1], NULL, 10) : 1000;
    unsigned long max_length = argc > 2 ? strtoul(argv[2], NULL, 10) : 400;
    uint8_t *data = malloc(max_length + 1);
    if (data == NULL) {
        return EXIT_FAILURE;
    }
    for (unsigned long input = 0; input < inputs; input++) {
        uint64_t state = input * 2654435761U + 1;
        size_t size = next_random(&state) % (max_length + 1);
        for (size_t i = 0; i < size; i++) {
            data[i] = (uint8_t)next_random(&state);
        }
        LLVMFuzzerTestOneInput(data, size);
    }
    free(data);
    printf("100%%: %lu inputs passed\n", inputs);
    return EXIT_SUCCESS;
}
