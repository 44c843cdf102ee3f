#include "core/prefix_table.h"

#include <xxhash.h>

void prefix_chain_add(prefix_chain_t *chain, struct view id, uint32_t tokens)
{
    if (chain->count == PREFIX_MAX_PARTS) {
        return;
    }
    uint64_t parent = chain->count == 0 ? 0 : chain->hashes[chain->count - 1];
    uint32_t preceding = chain->count == 0 ? 0 : chain->tokens[chain->count - 1];
    uint64_t hash = XXH64(id.data, id.length, parent);
    chain->hashes[chain->count] = hash == 0 ? 1 : hash;
    chain->tokens[chain->count] = preceding + tokens;
    chain->count++;
}

static uint32_t prefix_find(const prefix_table_t *table, uint64_t hash)
{
    uint32_t i = 0;
    while (i < PREFIX_ENTRIES && table->hashes[i] != hash) {
        i++;
    }
    return i;
}

/* An unused entry, or the least recently used one. */
static uint32_t prefix_least_recent(const prefix_table_t *table)
{
    uint32_t oldest = 0;
    for (uint32_t i = 1; i < PREFIX_ENTRIES; i++) {
        if (table->used_ms[i] < table->used_ms[oldest]) {
            oldest = i;
        }
    }
    return oldest;
}

void prefix_table_record(prefix_table_t *table, uint64_t now_ms, const prefix_chain_t *chain)
{
    for (uint32_t i = 0; i < chain->count; i++) {
        uint32_t slot = prefix_find(table, chain->hashes[i]);
        slot = slot < PREFIX_ENTRIES ? slot : prefix_least_recent(table);
        table->hashes[slot] = chain->hashes[i];
        table->used_ms[slot] = now_ms;
    }
}

static bool prefix_is_cached(const prefix_table_t *table, uint64_t now_ms, uint64_t hash)
{
    uint32_t slot = prefix_find(table, hash);
    return slot < PREFIX_ENTRIES && now_ms < table->used_ms[slot] + PREFIX_VALID_MS;
}

uint32_t prefix_table_uncached_tokens(const prefix_table_t *table, uint64_t now_ms, const prefix_chain_t *chain)
{
    uint32_t cached = 0;
    uint32_t i = 0;
    while (i < chain->count && prefix_is_cached(table, now_ms, chain->hashes[i])) {
        cached = chain->tokens[i];
        i++;
    }
    return chain->count == 0 ? 0 : chain->tokens[chain->count - 1] - cached;
}

void prefix_cost_record(prefix_cost_t *cost, uint64_t unshared_tokens, uint64_t output_tokens)
{
    int64_t sample = (int64_t)(unshared_tokens + PREFIX_OUTPUT_WEIGHT * output_tokens);
    if (cost->tokens == 0) {
        cost->tokens = (uint64_t)sample;
        return;
    }
    cost->tokens = (uint64_t)((int64_t)cost->tokens + (sample - (int64_t)cost->tokens) / PREFIX_AVERAGE_DIVISOR);
}

uint64_t prefix_cost_in_requests(const prefix_cost_t *cost, uint64_t tokens, uint64_t scale)
{
    return cost->tokens == 0 ? 0 : tokens * scale / cost->tokens;
}
