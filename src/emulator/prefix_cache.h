/**
 * @file prefix_cache.h
 * An engine's prompt cache: an entry per message, keyed by the hash of the
 * prompt up to it. Capacity is in tokens, eviction is least recently used first.
 */
#ifndef BANKBANK_EMULATOR_PREFIX_CACHE_H
#define BANKBANK_EMULATOR_PREFIX_CACHE_H

#include <stdint.h>

#include <jansson.h>
#include <uthash.h>

/** A cached message. */
struct prefix_entry {
    uint64_t hash; /**< Hash of the prompt up to and including the message. */
    uint64_t tokens;
    char *program;     /**< Program that added it, or "". */
    UT_hash_handle hh; /**< Keyed by `hash`. */
};

/** The cache; guarded by its engine's lock. Initially all members but `capacity` are zero. */
struct prefix_cache {
    struct prefix_entry *entries; /**< Hash table, least recently used entry first. */
    uint64_t tokens;
    uint64_t capacity; /**< Maximum cached tokens. */
    uint64_t evicted_tokens;
};

/** Returns the number of tokens in the longest cached prefix of `messages`; marks its entries as recently used. */
uint64_t prefix_cache_lookup(struct prefix_cache *cache, const json_t *messages);

/** Caches `messages` and the `answer` that follows them for `program`. */
void prefix_cache_store(struct prefix_cache *cache, const json_t *messages, const json_t *answer, const char *program);

/** Removes the entries added by `program`; returns the number of tokens removed. */
uint64_t prefix_cache_release(struct prefix_cache *cache, const char *program);

void prefix_cache_clear(struct prefix_cache *cache);

#endif
