/**
 * @file placement.h
 * Chooses the engine of a call. Pure: the caller describes the candidates.
 *
 * Cache affinity: every daemon orders the engines of a pool by weighted
 * rendezvous hashing of the program, so that all agree without talking. The
 * cost of an engine is its expected wait plus the time to compute the part of
 * the prompt that it does not hold. A program's home is the engine that holds
 * its prefix, else the first in the order; it is left only when another one is
 * cheaper by more than PLACEMENT_LEAVE_MARGIN_MS, and the other one is the home
 * from then on.
 *
 * Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
 * Rates" (1998), for rendezvous hashing.
 */
#ifndef BANKBANK_CORE_PLACEMENT_H
#define BANKBANK_CORE_PLACEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    PLACEMENT_LEAVE_MARGIN_MS = 20, /**< Advantage that justifies leaving the home. */
    PLACEMENT_REMOTE_ZONE_MS = 2,   /**< Cost of an engine in another zone. */
    PLACEMENT_NONE = -1             /**< No usable engine. */
};

/** Baselines besides cache affinity, kept for comparison. */
enum placement_mode {
    PLACEMENT_MODE_AFFINITY,
    PLACEMENT_MODE_ROUND_ROBIN,
    PLACEMENT_MODE_LEAST_LOADED,
    PLACEMENT_MODE_STICKY
};

/** One engine as seen by the caller. */
struct placement_candidate {
    uint64_t name_hash;           /**< Hash of its name. */
    uint32_t weight;              /**< Relative share; 0 counts as 1. */
    bool usable;                  /**< Not draining, ejected or tried before. */
    bool same_zone;               /**< Stands in the caller's zone. */
    uint32_t own_calls;           /**< Calls in flight from this daemon. */
    uint32_t reported_calls;      /**< Calls running or waiting there by its last report. */
    uint32_t own_calls_then;      /**< Calls of this daemon that the report contains. */
    uint32_t slots;               /**< Calls it serves at once; 0: unknown. */
    double mean_call_ms;          /**< Mean time of a call there. */
    double prefill_tokens_per_ms; /**< Prompt tokens computed a millisecond. */
    uint64_t cached_tokens;       /**< Tokens of this program's prompt it holds. */
};

/** A call to place. */
struct placement_call {
    enum placement_mode mode; /**< How to choose. */
    uint64_t program_hash;    /**< Hash of the program's root id. */
    uint64_t prompt_tokens;   /**< Tokens of the whole prompt. */
    uint64_t rotation;        /**< Counter, for round robin. */
};

/** Expected wait at a candidate before the call starts, in ms. */
double placement_wait_ms(const struct placement_candidate *candidate);

/** Returns the position of the engine to use, or PLACEMENT_NONE. */
int placement_choose(const struct placement_call *call, const struct placement_candidate *candidates, size_t count);

#endif
