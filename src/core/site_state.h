/**
 * @file site_state.h
 * State that group 0 replicates for the gateways, besides the resources of
 * config_store.h: the configuration document, conversation turns, program
 * budgets, machines being retired, drained zones, the software versions of services
 * and of streams, the operations under which servers failed, and open attempts.
 *
 * Time is the highest timestamp of the applied entries. It never goes back, so
 * that a wall clock jump makes no expired turn valid again; see also
 * replica_config.monotonic_timestamps.
 */
#ifndef BANKBANK_CORE_SITE_STATE_H
#define BANKBANK_CORE_SITE_STATE_H

#include "core/budget_table.h"
#include "core/open_attempts.h"
#include "core/quarantine.h"
#include "core/service_versions.h"
#include "core/stream_origins.h"
#include "core/turn_store.h"
#include "core/zone_set.h"

enum {
    SITE_TURN_SLACK_MS = 10 * 1000, /**< Turns are kept this much longer than requested. */
    SITE_EXPIRE_PERIOD_MS = 1000
};

/** The configuration document. */
struct site_document {
    uint64_t version;    /**< 0: no document yet. */
    struct view content; /**< Uninterpreted, owned. */
};

struct site_state {
    uint64_t time_ms;       /**< Highest timestamp applied. */
    uint64_t last_sweep_ms; /**< `time_ms` at the last expiry sweep. */
    struct site_document document;
    struct turn_store turns;
    struct budget_table budgets;
    char **retiring_machines; /**< Names of machines being retired: their replicas leave the group. Owned. */
    uint32_t retiring_count;
    stream_origins_t stream_origins;
    service_versions_t versions;
    zone_set_t drained;    /**< Zones whose servers get no new requests. */
    quarantine_t failures; /**< Of all gateways; the limits are those of the last entry. */
    open_attempts_t open_attempts;
};

/** Initializes an empty state. The texts of turns are stored in `history`, or in memory if it is all zero. */
void site_state_init(struct site_state *state, const struct history_io *history);

void site_state_close(struct site_state *state);

/** Returns false if the command is not one of site_state's. `result` borrows its strings from the state. */
bool site_state_apply(struct site_state *state, uint64_t timestamp_ms, const Entry *entry, EntryResult *result);

/** Whether the retirement of a machine has started; its replica may not have left the group yet. */
bool site_state_is_retiring(const struct site_state *state, const char *machine);

/** Bytes of memory that grow with traffic: the index of turns, the budgets, the versions of streams and failures. */
size_t site_state_bytes(const struct site_state *state);

/** Where the records of a snapshot go on that exceed its room; NULL: there are no more. */
typedef struct site_export_t {
    const stream_origin_t *stream;
    const open_attempt_t *attempt;
} site_export_t;

/** Fills a snapshot that borrows from the state. It lacks turns, their order and budgets, which are written on their
 * own. Release it with site_state_free_export(). */
void site_state_export(const struct site_state *state, SiteSnapshot *snapshot, site_export_t *rest);

/** Fills a further snapshot with what `rest` has left, and updates it. */
void site_state_export_more(const struct site_state *state, SiteSnapshot *snapshot, site_export_t *rest);
void site_state_free_export(SiteSnapshot *snapshot);

/** Loads a snapshot into an empty state; snapshots of older versions contain turns and budgets as well. */
void site_state_import(struct site_state *state, const SiteSnapshot *snapshot);

/** Adds what site_state_export_more() exported. */
void site_state_import_more(struct site_state *state, const SiteSnapshot *snapshot);

#endif
