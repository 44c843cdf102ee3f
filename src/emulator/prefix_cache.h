/**
 * @file prefix_cache.h
 * An engine's prompt cache: the KV memory of messages, by the hash of the
 * prompt up to them, in limited memory with least-recently-used eviction.
 */
#ifndef BANKBANK_EMULATOR_PREFIX_CACHE_H
#define BANKBANK_EMULATOR_PREFIX_CACHE_H

#include <stdint.h>

#include <jansson.h>
#include <uthash.h>

/** Memory of one message at one place of one prompt. */
struct prefix_entry {
    uint64_t hash;     /**< Prompt up to and with the message. */
    uint64_t tokens;   /**< Tokens of the message. */
    char *program;     /**< Program that brought it, or "". */
    UT_hash_handle hh; /**< By hash, least recently used first. */
};

/** The cache; guarded by its engine's lock. */
struct prefix_cache {
    struct prefix_entry *entries; /**< By hash. */
    uint64_t tokens;              /**< Tokens held. */
    uint64_t capacity;            /**< Limit in tokens. */
    uint64_t evicted_tokens;      /**< Tokens evicted so far. */
};

/** Tokens at the front of `messages` that are held; marks them used. */
uint64_t prefix_cache_lookup(struct prefix_cache *cache, const json_t *messages);

/** Holds `messages` and then an answer of `answer_tokens` tokens for `program`. */
void prefix_cache_store(struct prefix_cache *cache, const json_t *messages, const json_t *answer, const char *program);

/** Drops what `program` brought; returns the tokens dropped. */
uint64_t prefix_cache_release(struct prefix_cache *cache, const char *program);

/** Drops everything. */
void prefix_cache_clear(struct prefix_cache *cache);

#endif
