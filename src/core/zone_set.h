/**
 * @file zone_set.h
 * The zones that operators have drained: servers there get no new requests until
 * the zone is opened again. The set is replicated in the site's state, sent to the
 * daemons that watch it, and stored by each gateway. Also maps zones to regions.
 * No I/O.
 *
 * The revision increases by one with each change, in log order. A receiver accepts
 * a set only if its revision is higher, so that a repeated or delayed update never
 * undoes a newer one.
 */
#ifndef BANKBANK_CORE_ZONE_SET_H
#define BANKBANK_CORE_ZONE_SET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "control.pb.h"

enum { ZONE_SET_MAX = 256 /**< Maximum number of drained zones. */ };

typedef struct zone_info_t {
    char *name;
    char *region; /**< Or empty. */
} zone_info_t;

/** NULL: unknown. */
const char *zone_region(const zone_info_t *zones, size_t count, const char *zone);

/** All zero: no zone was ever drained. */
typedef struct zone_set_t {
    char **names; /**< Owned, in the order in which the zones were drained. */
    uint32_t count;
    uint64_t revision;
} zone_set_t;

typedef enum zone_set_change_t {
    ZONE_SET_CHANGED,
    ZONE_SET_UNCHANGED, /**< The zone was in this state already. */
    ZONE_SET_FULL       /**< ZONE_SET_MAX zones are already drained. */
} zone_set_change_t;

void zone_set_close(zone_set_t *set);

/** Drains a zone, or opens it. */
zone_set_change_t zone_set_put(zone_set_t *set, const char *zone, bool drained);

bool zone_set_has(const zone_set_t *set, const char *zone);

/** Replaces the set if the received one is newer; returns whether it was. */
bool zone_set_update(zone_set_t *set, const DrainedZones *update);

/** Fills a message that borrows from the set. */
void zone_set_export(const zone_set_t *set, DrainedZones *message);

#endif
