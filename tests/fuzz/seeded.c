/*
 * Feeds a fuzz target with seeded pseudo-random inputs, so that it runs in every
 * build with the same verdict. Usage: fuzz_NAME INPUTS LONGEST
 */
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static uint64_t seeded_next(uint64_t *state)
{
    *state = *state * 6364136223846793005U + 1442695040888963407U;
    return *state >> 33;
}

int main(int argc, char **argv)
{
    unsigned long inputs = argc > 1 ? strtoul(argv[1], NULL, 10) : 1000;
    unsigned long longest = argc > 2 ? strtoul(argv[2], NULL, 10) : 400;
    uint8_t *data = malloc(longest + 1);
    if (data == NULL) {
        return EXIT_FAILURE;
    }
    for (unsigned long input = 0; input < inputs; input++) {
        uint64_t state = input * 2654435761U + 1;
        size_t size = seeded_next(&state) % (longest + 1);
        for (size_t i = 0; i < size; i++) {
            data[i] = (uint8_t)seeded_next(&state);
        }
        LLVMFuzzerTestOneInput(data, size);
    }
    free(data);
    printf("100%%: %lu inputs passed\n", inputs);
    return EXIT_SUCCESS;
}
