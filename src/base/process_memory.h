/**
 * @file process_memory.h
 * What the process itself holds in memory, as the kernel counts it.
 */
#ifndef BANKBANK_BASE_PROCESS_MEMORY_H
#define BANKBANK_BASE_PROCESS_MEMORY_H

#include <stdint.h>

/** Resident bytes; 0 where the kernel does not tell. */
uint64_t process_memory_resident(void);

#endif
