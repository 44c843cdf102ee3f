#include "emulator/prefix_cache.h"

#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"
#include "emulator/answer.h"

static void prefix_cache_remove(struct prefix_cache *cache, struct prefix_entry *entry)
{
    HASH_DEL(cache->entries, entry);
    cache->tokens -= entry->tokens;
    free(entry->program);
    free(entry);
}

/* Makes the entry the last to be evicted: uthash iterates in order of insertion. */
static void prefix_cache_touch(struct prefix_cache *cache, struct prefix_entry *entry)
{
    HASH_DEL(cache->entries, entry);
    HASH_ADD(hh, cache->entries, hash, sizeof(entry->hash), entry);
}

static struct prefix_entry *prefix_cache_find(struct prefix_cache *cache, uint64_t hash)
{
    struct prefix_entry *entry = NULL;
    HASH_FIND(hh, cache->entries, &hash, sizeof(hash), entry);
    return entry;
}

uint64_t prefix_cache_lookup(struct prefix_cache *cache, const json_t *messages)
{
    uint64_t hash = 0;
    uint64_t tokens = 0;
    for (size_t i = 0; i < json_array_size(messages); i++) {
        hash = answer_extend_hash(hash, json_array_get(messages, i));
        struct prefix_entry *entry = prefix_cache_find(cache, hash);
        if (entry == NULL) {
            break;
        }
        tokens += entry->tokens;
        prefix_cache_touch(cache, entry);
    }
    return tokens;
}

static void prefix_cache_add(struct prefix_cache *cache, uint64_t hash, uint64_t tokens, const char *program)
{
    struct prefix_entry *entry = prefix_cache_find(cache, hash);
    if (entry != NULL) {
        prefix_cache_touch(cache, entry);
        return;
    }
    while (cache->entries != NULL && cache->tokens + tokens > cache->capacity) {
        cache->evicted_tokens += cache->entries->tokens;
        prefix_cache_remove(cache, cache->entries);
    }
    if (tokens > cache->capacity) {
        return;
    }
    entry = memory_new(sizeof(*entry));
    entry->hash = hash;
    entry->tokens = tokens;
    entry->program = text_copy(program);
    cache->tokens += tokens;
    HASH_ADD(hh, cache->entries, hash, sizeof(entry->hash), entry);
}

void prefix_cache_store(struct prefix_cache *cache, const json_t *messages, const json_t *answer, const char *program)
{
    uint64_t hash = 0;
    for (size_t i = 0; i < json_array_size(messages); i++) {
        const json_t *message = json_array_get(messages, i);
        hash = answer_extend_hash(hash, message);
        prefix_cache_add(cache, hash, answer_message_tokens(message), program);
    }
    prefix_cache_add(cache, answer_extend_hash(hash, answer), answer_message_tokens(answer), program);
}

uint64_t prefix_cache_release(struct prefix_cache *cache, const char *program)
{
    uint64_t before = cache->tokens;
    struct prefix_entry *entry = cache->entries;
    while (entry != NULL) {
        struct prefix_entry *next = entry->hh.next;
        if (strcmp(entry->program, program) == 0) {
            prefix_cache_remove(cache, entry);
        }
        entry = next;
    }
    return before - cache->tokens;
}

void prefix_cache_clear(struct prefix_cache *cache)
{
    while (cache->entries != NULL) {
        prefix_cache_remove(cache, cache->entries);
    }
}
