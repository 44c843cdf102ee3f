/**
 * @file site_state.h
 * What group 0 replicates for a site's gateways besides operators' resources:
 * the configuration document, turns of conversations, budgets of programs, the
 * machines that are to be emptied and the zones that are drained.
 *
 * Its clock is the stamps of the entries and never goes back, so that a
 * leader whose wall clock jumps cannot bring turns back to life; leaders stamp
 * from a steady clock (see replica_config.steady_stamps).
 */
#ifndef BANKBANK_CORE_SITE_STATE_H
#define BANKBANK_CORE_SITE_STATE_H

#include "core/budget_table.h"
#include "core/turn_store.h"
#include "core/zone_set.h"

enum {
    SITE_TURN_SLACK_MS = 10 * 1000, /**< Turns stay this much longer than asked for. */
    SITE_EXPIRE_PERIOD_MS = 1000    /**< Least time between two sweeps. */
};

/** The configuration document. */
struct site_document {
    uint64_t version;    /**< 0: none yet. */
    struct view content; /**< Opaque text, owned. */
};

/** All of it. */
struct site_state {
    uint64_t time_ms;              /**< Latest stamp. */
    uint64_t expired_ms;           /**< Time of the last sweep. */
    struct site_document document; /**< Configuration. */
    struct turn_store turns;       /**< Conversations. */
    struct budget_table budgets;   /**< Budgets. */
    char **retired;                /**< Machines to be emptied, owned names. */
    uint32_t retired_count;        /**< Number of those. */
    zone_set_t drained;            /**< Zones whose back ends get nothing new. */
};

/** Starts an empty state, whose turns keep their texts in `history`; all zero is one that holds them in memory. */
void site_state_init(struct site_state *state, const struct history_io *history);

/** Frees everything. */
void site_state_close(struct site_state *state);

/** Applies an entry stamped `stamp_ms`; false: it is not of this kind. */
bool site_state_apply(struct site_state *state, uint64_t stamp_ms, const Entry *entry, EntryResult *result);

/** Whether a machine is to be emptied. */
bool site_state_is_retired(const struct site_state *state, const char *machine);

/** Memory that grows with the traffic: the index of turns, and budgets. */
size_t site_state_bytes(const struct site_state *state);

/** Fills a snapshot that borrows from the state: all but turns and budgets, which have records of their own. */
void site_state_export(const struct site_state *state, SiteSnapshot *snapshot);

/** Loads such a snapshot, or one of an older version with turns and budgets, into an empty state. */
void site_state_import(struct site_state *state, const SiteSnapshot *snapshot);

#endif
