#include "core/placement.h"

#include <math.h>

#include <xxhash.h>

enum { PLACEMENT_DEFAULT_SLOTS = 32 };

static const double PLACEMENT_DEFAULT_PREFILL_TOKENS_PER_MS = 20.0;

/* Weighted rendezvous hashing: the candidate with the highest -weight / ln(uniform(0, 1)) wins. */
static double placement_rank(const struct placement_candidate *candidate, uint64_t program_hash)
{
    uint64_t key[2] = {candidate->name_hash, program_hash};
    uint64_t hash = XXH64(key, sizeof(key), 0);
    double uniform = ((double)(hash >> 11) + 0.5) / 9007199254740992.0; /* 53 bits, the precision of a double */
    double weight = candidate->weight == 0 ? 1.0 : (double)candidate->weight;
    return -weight / log(uniform);
}

/* The last report, corrected by the calls that this daemon has started and finished since. */
static double placement_calls(const struct placement_candidate *candidate)
{
    double others = (double)candidate->reported_calls - (double)candidate->own_calls_at_report;
    return (others > 0 ? others : 0) + (double)candidate->own_calls;
}

double placement_wait_ms(const struct placement_candidate *candidate)
{
    double slots = candidate->slots == 0 ? PLACEMENT_DEFAULT_SLOTS : (double)candidate->slots;
    double excess = placement_calls(candidate) + 1 - slots;
    return excess > 0 ? excess * candidate->mean_call_ms / slots : 0;
}

static double placement_cost_ms(const struct placement_candidate *candidate, uint64_t prompt_tokens)
{
    double rate = candidate->prefill_tokens_per_ms > 0 ? candidate->prefill_tokens_per_ms
                                                       : PLACEMENT_DEFAULT_PREFILL_TOKENS_PER_MS;
    uint64_t uncached = prompt_tokens > candidate->cached_tokens ? prompt_tokens - candidate->cached_tokens : 0;
    double cost = placement_wait_ms(candidate) + (double)uncached / rate;
    return candidate->same_zone ? cost : cost + PLACEMENT_REMOTE_ZONE_MS;
}

static int placement_by_hash(const struct placement_call *call, const struct placement_candidate *candidates,
                             size_t count)
{
    int best = PLACEMENT_NONE;
    double best_rank = 0;
    for (size_t i = 0; i < count; i++) {
        double rank = candidates[i].usable ? placement_rank(&candidates[i], call->program_hash) : 0;
        if (candidates[i].usable && (best == PLACEMENT_NONE || rank > best_rank)) {
            best = (int)i;
            best_rank = rank;
        }
    }
    return best;
}

static int placement_round_robin(const struct placement_call *call, const struct placement_candidate *candidates,
                                 size_t count)
{
    for (size_t i = 0; i < count; i++) {
        size_t position = (size_t)((call->rotation + i) % count);
        if (candidates[position].usable) {
            return (int)position;
        }
    }
    return PLACEMENT_NONE;
}

static int placement_least_loaded(const struct placement_candidate *candidates, size_t count)
{
    int best = PLACEMENT_NONE;
    for (size_t i = 0; i < count; i++) {
        bool better = candidates[i].usable &&
                      (best == PLACEMENT_NONE || placement_calls(&candidates[i]) < placement_calls(&candidates[best]));
        best = better ? (int)i : best;
    }
    return best;
}

/* The engine that has cached most of the prefix, or else the first by rendezvous hashing. */
static int placement_home(const struct placement_call *call, const struct placement_candidate *candidates, size_t count)
{
    int best = PLACEMENT_NONE;
    for (size_t i = 0; i < count; i++) {
        bool has_prefix = candidates[i].usable && candidates[i].cached_tokens > 0;
        if (has_prefix && (best == PLACEMENT_NONE || candidates[i].cached_tokens > candidates[best].cached_tokens)) {
            best = (int)i;
        }
    }
    return best == PLACEMENT_NONE ? placement_by_hash(call, candidates, count) : best;
}

static int placement_affinity(const struct placement_call *call, const struct placement_candidate *candidates,
                              size_t count)
{
    int home = placement_home(call, candidates, count);
    if (home == PLACEMENT_NONE) {
        return PLACEMENT_NONE;
    }
    int best = home;
    double home_cost = placement_cost_ms(&candidates[home], call->prompt_tokens);
    double best_cost = home_cost;
    for (size_t i = 0; i < count; i++) {
        double cost = candidates[i].usable ? placement_cost_ms(&candidates[i], call->prompt_tokens) : 0;
        if (candidates[i].usable && cost < best_cost) {
            best = (int)i;
            best_cost = cost;
        }
    }
    return home_cost - best_cost > PLACEMENT_LEAVE_MARGIN_MS ? best : home;
}

int placement_choose(const struct placement_call *call, const struct placement_candidate *candidates, size_t count)
{
    if (count == 0) {
        return PLACEMENT_NONE;
    }
    switch (call->mode) {
    case PLACEMENT_MODE_ROUND_ROBIN: return placement_round_robin(call, candidates, count);
    case PLACEMENT_MODE_LEAST_LOADED: return placement_least_loaded(candidates, count);
    case PLACEMENT_MODE_STICKY: return placement_by_hash(call, candidates, count);
    default: return placement_affinity(call, candidates, count);
    }
}
