/**
 * @file zone_set.h
 * The zones that operators have drained: nothing new goes to the back ends
 * there until that is taken back. Replicated in the site's state, told to every
 * daemon that watches it, and held by each gateway.
 *
 * The set has a revision that rises by one with each change, in the order of the
 * log. A holder takes a set only if its revision is higher than that of its own,
 * so that an order that is sent again, or told late, never undoes a newer one.
 * All zero: no zone was ever drained. Pure.
 *
 * Beside it, which region a zone stands in.
 */
#ifndef BANKBANK_CORE_ZONE_SET_H
#define BANKBANK_CORE_ZONE_SET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "control.pb.h"

enum { ZONE_SET_MOST = 256 /**< Zones that can be drained at once. */ };

/** A zone of the site. */
typedef struct zone_place_t {
    char *name;   /**< Name. */
    char *region; /**< Region it stands in, or empty. */
} zone_place_t;

/** The region of a zone, or NULL where it is not known. */
const char *zone_region(const zone_place_t *places, size_t count, const char *zone);

/** The set. */
typedef struct zone_set_t {
    char **names;      /**< Owned names, in the order in which they were drained. */
    uint32_t count;    /**< Number of those. */
    uint64_t revision; /**< Changes so far. */
} zone_set_t;

/** What an order did. */
typedef enum zone_set_change_t {
    ZONE_SET_CHANGED, /**< The zone was drained, or opened. */
    ZONE_SET_SAME,    /**< It was so before. */
    ZONE_SET_FULL     /**< ZONE_SET_MOST zones are drained already. */
} zone_set_change_t;

/** Frees everything. */
void zone_set_close(zone_set_t *set);

/** Drains a zone, or opens it again. */
zone_set_change_t zone_set_put(zone_set_t *set, const char *zone, bool drained);

/** Whether a zone is drained. */
bool zone_set_has(const zone_set_t *set, const char *zone);

/** Takes a set that was told, if it is newer; returns whether it was. */
bool zone_set_take(zone_set_t *set, const DrainedZones *told);

/** Fills a message that borrows from the set. */
void zone_set_tell(const zone_set_t *set, DrainedZones *told);

#endif
