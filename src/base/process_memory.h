/**
 * @file process_memory.h
 * Memory use of this process as reported by the kernel.
 */
#ifndef BANKBANK_BASE_PROCESS_MEMORY_H
#define BANKBANK_BASE_PROCESS_MEMORY_H

#include <stdint.h>

/** Resident set size; 0 if it cannot be read. */
uint64_t process_resident_bytes(void);

#endif
