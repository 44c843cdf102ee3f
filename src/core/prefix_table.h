/**
 * @file prefix_table.h
 * Which prompt parts a server likely keeps. Pure.
 *
 * Prompts begin with parts that many requests share. A server that has read
 * them keeps them for a while, and reads only what follows. A gateway knows what
 * it has sent where; so that many gateways begin with the same server without
 * talking, each chain of parts has one server, by rendezvous hashing, that is
 * taken to keep it. What a server would have to read anew is weighed in calls:
 * by the tokens that a call of this kind costs a server on average, where a
 * token made counts as ten that are read.
 */
#ifndef BANKBANK_CORE_PREFIX_TABLE_H
#define BANKBANK_CORE_PREFIX_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/view.h"

enum {
    PREFIX_MAX_PARTS = 8,     /**< Shared parts of a prompt that are looked at. */
    PREFIX_ENTRIES = 64,      /**< Chains remembered of each server. */
    PREFIX_VALID_MS = 30000,  /**< Time after its last use for which a chain is taken to be kept. */
    PREFIX_MADE_WEIGHT = 10,  /**< Tokens read that a token made counts as. */
    PREFIX_AVERAGE_SHARE = 64 /**< A call moves the average cost by one part in so many. */
};

/** The shared parts of one prompt, in order: hashes of the chain up to each part, and tokens up to there. */
typedef struct prefix_chain_t {
    uint32_t count;                    /**< Parts. */
    uint64_t hashes[PREFIX_MAX_PARTS]; /**< Hash of the part and all before it. */
    uint32_t tokens[PREFIX_MAX_PARTS]; /**< Tokens up to its end. */
} prefix_chain_t;

/** Chains that one server keeps; all zero: none. */
typedef struct prefix_table_t {
    uint64_t hashes[PREFIX_ENTRIES];  /**< Chain, or 0: free. */
    uint64_t used_ms[PREFIX_ENTRIES]; /**< Time of its last use. */
} prefix_table_t;

/** Average cost of a call, in tokens; all zero: nothing is known. */
typedef struct prefix_cost_t {
    uint64_t tokens; /**< Moving average. */
} prefix_cost_t;

/** Adds a part to a chain. */
void prefix_chain_add(prefix_chain_t *chain, struct view id, uint32_t tokens);

/** Notes that a prompt with this chain was sent to the server. */
void prefix_table_note(prefix_table_t *table, uint64_t now_ms, const prefix_chain_t *chain);

/** Tokens of the chain that the server has to read anew. */
uint32_t prefix_table_missing(const prefix_table_t *table, uint64_t now_ms, const prefix_chain_t *chain);

/** Notes what a call costs: the tokens of its prompt that no other shares, and those it may make. */
void prefix_cost_note(prefix_cost_t *cost, uint64_t own_tokens, uint64_t made_tokens);

/** Tokens as calls, in a scale of `one`. */
uint64_t prefix_cost_calls(const prefix_cost_t *cost, uint64_t tokens, uint64_t one);

#endif
