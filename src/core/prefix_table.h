/**
 * @file prefix_table.h
 * Estimates which shared prompt prefixes a server has cached, from the prompts
 * that this gateway has sent to it. No I/O; callers pass the time.
 *
 * A prefix is a chain of parts. Uncached tokens are converted to a number of
 * requests by the average cost of a request, in which an output token counts as
 * PREFIX_OUTPUT_WEIGHT input tokens.
 */
#ifndef BANKBANK_CORE_PREFIX_TABLE_H
#define BANKBANK_CORE_PREFIX_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/view.h"

enum {
    PREFIX_MAX_PARTS = 8,       /**< Of a prompt; further parts are ignored. */
    PREFIX_ENTRIES = 64,        /**< Chains per server. */
    PREFIX_VALID_MS = 30000,    /**< Time after its last use for which a chain is assumed to be cached. */
    PREFIX_OUTPUT_WEIGHT = 10,  /**< Input tokens that cost as much as an output token. */
    PREFIX_AVERAGE_DIVISOR = 64 /**< The weight of a new request in the average cost is 1 / this. */
};

/** The shared parts of one prompt, in order. */
typedef struct prefix_chain_t {
    uint32_t count;
    uint64_t hashes[PREFIX_MAX_PARTS]; /**< Hash of the part and all preceding ones; never 0. */
    uint32_t tokens[PREFIX_MAX_PARTS]; /**< Tokens up to the end of the part. */
} prefix_chain_t;

/** Chains cached by one server. */
typedef struct prefix_table_t {
    uint64_t hashes[PREFIX_ENTRIES];  /**< Hash of the chain; 0: unused entry. */
    uint64_t used_ms[PREFIX_ENTRIES]; /**< Last use. */
} prefix_table_t;

/** Average cost of a request; all zero: unknown. */
typedef struct prefix_cost_t {
    uint64_t tokens; /**< Moving average, in input tokens. */
} prefix_cost_t;

void prefix_chain_add(prefix_chain_t *chain, struct view id, uint32_t tokens);

/** Records that a prompt with this chain was sent to the server. */
void prefix_table_record(prefix_table_t *table, uint64_t now_ms, const prefix_chain_t *chain);

uint32_t prefix_table_uncached_tokens(const prefix_table_t *table, uint64_t now_ms, const prefix_chain_t *chain);

/**
 * Records the cost of a request: its prompt tokens outside the shared parts, and its output tokens or, if these are
 * unknown, their maximum.
 */
void prefix_cost_record(prefix_cost_t *cost, uint64_t unshared_tokens, uint64_t output_tokens);

/** Converts tokens to requests, in units of 1 / `scale`; 0 if the average cost is unknown. */
uint64_t prefix_cost_in_requests(const prefix_cost_t *cost, uint64_t tokens, uint64_t scale);

#endif
