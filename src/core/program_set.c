#include "core/program_set.h"

#include <string.h>

#include <xxhash.h>

static uint64_t program_set_hash(const char *program)
{
    return XXH64(program, strlen(program), 0) | 1;
}

static uint64_t program_set_slot(uint64_t hash, uint64_t probe)
{
    return ((hash >> 1) + probe) % PROGRAM_SET_ENTRIES;
}

bool program_set_has(const program_set_t *set, uint64_t now_ms, const char *program)
{
    uint64_t hash = program_set_hash(program);
    for (uint64_t i = 0; i < PROGRAM_SET_PROBES; i++) {
        const program_set_entry_t *entry = &set->entries[program_set_slot(hash, i)];
        if (entry->hash == hash) {
            return now_ms < entry->seen_ms + PROGRAM_SET_VALID_MS;
        }
    }
    return false;
}

void program_set_record(program_set_t *set, uint64_t now_ms, const char *program)
{
    uint64_t hash = program_set_hash(program);
    program_set_entry_t *slot = NULL;
    for (uint64_t i = 0; i < PROGRAM_SET_PROBES; i++) {
        program_set_entry_t *entry = &set->entries[program_set_slot(hash, i)];
        if (entry->hash == hash) {
            entry->seen_ms = now_ms;
            return;
        }
        slot = slot == NULL || entry->seen_ms < slot->seen_ms ? entry : slot;
    }
    *slot = (program_set_entry_t){hash, now_ms};
}
