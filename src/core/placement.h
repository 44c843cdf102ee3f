/**
 * @file placement.h
 * Chooses the engine (model server) of a call by load and prefix cache affinity.
 * Pure functions.
 *
 * The home of a program is the engine that has cached its prefix, or else the
 * first by weighted rendezvous hashing (Thaler and Ravishankar, "Using Name-Based
 * Mappings to Increase Hit Rates", 1998), on which all daemons agree without
 * coordination. The cost of an engine is its expected wait plus the time to
 * compute the uncached part of the prompt. Another engine is chosen only if it is
 * cheaper by more than PLACEMENT_LEAVE_MARGIN_MS; it then becomes the home.
 */
#ifndef BANKBANK_CORE_PLACEMENT_H
#define BANKBANK_CORE_PLACEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    PLACEMENT_LEAVE_MARGIN_MS = 20, /**< Minimum cost advantage for leaving the home. */
    PLACEMENT_REMOTE_ZONE_MS = 2,   /**< Additional cost of an engine in another zone. */
    PLACEMENT_NONE = -1             /**< No usable engine. */
};

/** All but cache affinity are baselines for comparison. */
enum placement_mode {
    PLACEMENT_MODE_AFFINITY,
    PLACEMENT_MODE_ROUND_ROBIN,
    PLACEMENT_MODE_LEAST_LOADED,
    PLACEMENT_MODE_STICKY /**< First by rendezvous hashing, regardless of load and caches. */
};

struct placement_candidate {
    uint64_t name_hash;           /**< For rendezvous hashing. */
    uint32_t weight;              /**< Relative weight; 0 counts as 1. */
    bool usable;                  /**< Not draining, ejected or already tried. */
    bool same_zone;               /**< As the caller. */
    uint32_t own_calls;           /**< In-flight calls of this daemon. */
    uint32_t reported_calls;      /**< Running and queued calls in its last report. */
    uint32_t own_calls_at_report; /**< Calls of this daemon included in the report. */
    uint32_t slots;               /**< Calls it serves concurrently; 0: unknown. */
    double mean_call_ms;
    double prefill_tokens_per_ms; /**< 0: unknown. */
    uint64_t cached_tokens;       /**< Of this call's prompt. */
};

struct placement_call {
    enum placement_mode mode;
    uint64_t program_hash;  /**< Hash of the program's root id. */
    uint64_t prompt_tokens; /**< Whole prompt. */
    uint64_t rotation;      /**< Counter for round robin. */
};

/** Expected wait before a call starts there. */
double placement_wait_ms(const struct placement_candidate *candidate);

/** Returns the index of a candidate, or PLACEMENT_NONE. */
int placement_choose(const struct placement_call *call, const struct placement_candidate *candidates, size_t count);

#endif
