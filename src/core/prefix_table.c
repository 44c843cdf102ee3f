#include "core/prefix_table.h"

#include <xxhash.h>

void prefix_chain_add(prefix_chain_t *chain, struct view id, uint32_t tokens)
{
    if (chain->count == PREFIX_MAX_PARTS) {
        return;
    }
    uint64_t before = chain->count == 0 ? 0 : chain->hashes[chain->count - 1];
    uint32_t read = chain->count == 0 ? 0 : chain->tokens[chain->count - 1];
    uint64_t hash = XXH64(id.data, id.length, before);
    chain->hashes[chain->count] = hash == 0 ? 1 : hash;
    chain->tokens[chain->count] = read + tokens;
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

/* A free place, or that of the chain unused for longest. */
static uint32_t prefix_oldest(const prefix_table_t *table)
{
    uint32_t oldest = 0;
    for (uint32_t i = 1; i < PREFIX_ENTRIES; i++) {
        if (table->used_ms[i] < table->used_ms[oldest]) {
            oldest = i;
        }
    }
    return oldest;
}

void prefix_table_note(prefix_table_t *table, uint64_t now_ms, const prefix_chain_t *chain)
{
    for (uint32_t i = 0; i < chain->count; i++) {
        uint32_t place = prefix_find(table, chain->hashes[i]);
        place = place < PREFIX_ENTRIES ? place : prefix_oldest(table);
        table->hashes[place] = chain->hashes[i];
        table->used_ms[place] = now_ms;
    }
}

static bool prefix_is_kept(const prefix_table_t *table, uint64_t now_ms, uint64_t hash)
{
    uint32_t place = prefix_find(table, hash);
    return place < PREFIX_ENTRIES && now_ms < table->used_ms[place] + PREFIX_VALID_MS;
}

uint32_t prefix_table_missing(const prefix_table_t *table, uint64_t now_ms, const prefix_chain_t *chain)
{
    uint32_t kept = 0;
    uint32_t i = 0;
    while (i < chain->count && prefix_is_kept(table, now_ms, chain->hashes[i])) {
        kept = chain->tokens[i];
        i++;
    }
    return chain->count == 0 ? 0 : chain->tokens[chain->count - 1] - kept;
}

void prefix_cost_note(prefix_cost_t *cost, uint64_t own_tokens, uint64_t made_tokens)
{
    int64_t sample = (int64_t)(own_tokens + PREFIX_MADE_WEIGHT * made_tokens);
    if (cost->tokens == 0) {
        cost->tokens = (uint64_t)sample;
        return;
    }
    cost->tokens = (uint64_t)((int64_t)cost->tokens + (sample - (int64_t)cost->tokens) / PREFIX_AVERAGE_SHARE);
}

uint64_t prefix_cost_calls(const prefix_cost_t *cost, uint64_t tokens, uint64_t one)
{
    return cost->tokens == 0 ? 0 : tokens * one / cost->tokens;
}
