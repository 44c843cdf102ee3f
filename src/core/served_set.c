#include "core/served_set.h"

void served_set_add(served_set_t *set, uint64_t now_ms, uint64_t hash)
{
    set->slots[hash % SERVED_SET_SLOTS] = (served_contents_t){.hash = hash, .served_ms = now_ms};
}

bool served_set_has(const served_set_t *set, uint64_t now_ms, uint64_t hash)
{
    const served_contents_t *contents = &set->slots[hash % SERVED_SET_SLOTS];
    return contents->hash == hash && contents->served_ms != 0 && now_ms < contents->served_ms + SERVED_SET_KEEP_MS;
}
