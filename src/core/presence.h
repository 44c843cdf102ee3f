/**
 * @file presence.h
 * Which gateways were heard of lately, by zone, as the leader of the state
 * replicas sees it.
 *
 * Whoever spreads callers over gateways may send them to every gateway of a
 * zone once less than half of them answer, the dead ones included, and to other
 * zones only when none answers. The last gateways of such a zone then serve the
 * callers best by withdrawing: by saying that they are not ready, so that all
 * callers go to zones that are sound. presence_should_withdraw() decides it.
 *
 * Soft state: each report renews an entry, a silent one is forgotten after a
 * while, so that a machine that is gone for good counts no longer. Pure.
 */
#ifndef BANKBANK_CORE_PRESENCE_H
#define BANKBANK_CORE_PRESENCE_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "control.pb.h"

enum {
    PRESENCE_REPORT_MS = 500,  /**< Period of an idle gateway's reports. */
    PRESENCE_SILENT_MS = 1000, /**< A gateway not heard of for longer is silent. */
    PRESENCE_FORGET_MS = 10000 /**< A silent gateway counts for so long; also bounds a withdrawal. */
};

/** One gateway. */
typedef struct presence_gateway_t {
    uint64_t machine;  /**< Hash of its machine's name: a restarted process is the same gateway. */
    uint64_t zone;     /**< Hash of its zone's name. */
    uint64_t heard_ms; /**< Time of its last report. */
    UT_hash_handle hh; /**< By machine. */
} presence_gateway_t;

/** All gateways; all zero: none. */
typedef struct presence_t {
    presence_gateway_t *gateways; /**< By machine. */
} presence_t;

/** Takes a gateway's report; one that leaves is forgotten at once. */
void presence_hear(presence_t *presence, uint64_t now_ms, const LoadReport *report);

/** Forgets gateways that have been silent for PRESENCE_FORGET_MS. */
void presence_fade(presence_t *presence, uint64_t now_ms);

/** Forgets all. */
void presence_clear(presence_t *presence);

/** Counts the gateways of a zone into `totals->own_zone` and all others into `totals->other_zones`. */
void presence_count(const presence_t *presence, uint64_t now_ms, uint64_t zone, LoadTotals *totals);

/** Whether a gateway that is told these counts should leave its callers to other zones. */
bool presence_should_withdraw(const LoadTotals *totals);

#endif
