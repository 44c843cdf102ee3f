/**
 * @file presence.h
 * Liveness of the gateways by zone, kept in memory by the leader of group 0.
 *
 * When less than half of a zone's gateways are healthy, a load balancer may
 * spread its requests over all gateways of the zone, the failed ones included,
 * and fail over to other zones only if none is healthy. The healthy ones of such
 * a zone therefore report themselves as not ready (withdraw), so that all requests
 * go to other zones; see presence_should_withdraw().
 */
#ifndef BANKBANK_CORE_PRESENCE_H
#define BANKBANK_CORE_PRESENCE_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "control.pb.h"

enum {
    PRESENCE_REPORT_MS = 500,  /**< Report period of an idle gateway. */
    PRESENCE_SILENT_MS = 1000, /**< Time without a report after which a gateway is silent. */
    /** Time without a report after which a gateway is dropped, so that a machine that is gone for good does not count
     * as silent; also bounds a withdrawal. */
    PRESENCE_EXPIRY_MS = 10000
};

typedef struct presence_gateway_t {
    uint64_t machine;        /**< Hash of the machine name: a restarted process is the same gateway. */
    uint64_t zone;           /**< Hash of the zone name. */
    uint64_t last_report_ms; /**< Time of the last report. */
    UT_hash_handle hh;
} presence_gateway_t;

/** Zero-initialize it. */
typedef struct presence_t {
    presence_gateway_t *gateways; /**< Hash table keyed by `machine`. */
} presence_t;

/** Records a report; a gateway that is leaving is dropped at once. */
void presence_record_report(presence_t *presence, uint64_t now_ms, const LoadReport *report);

/** Drops gateways without a report for PRESENCE_EXPIRY_MS. */
void presence_expire(presence_t *presence, uint64_t now_ms);

void presence_clear(presence_t *presence);

/** Sets `totals->own_zone` to the counts of `zone`, and `totals->other_zones` to those of all others. */
void presence_count(const presence_t *presence, uint64_t now_ms, uint64_t zone, LoadTotals *totals);

/** Whether a gateway that receives these counts should report itself as not ready: most gateways of its zone are
 * silent, and at least half of those in other zones are not. */
bool presence_should_withdraw(const LoadTotals *totals);

#endif
