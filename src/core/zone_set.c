#include "core/zone_set.h"

#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"

const char *zone_region(const zone_place_t *places, size_t count, const char *zone)
{
    for (size_t i = 0; i < count; i++) {
        if (text_equal(places[i].name, zone) && text_or_empty(places[i].region)[0] != '\0') {
            return places[i].region;
        }
    }
    return NULL;
}

static void zone_set_clear(zone_set_t *set)
{
    for (uint32_t i = 0; i < set->count; i++) {
        free(set->names[i]);
    }
    free(set->names);
    set->names = NULL;
    set->count = 0;
}

void zone_set_close(zone_set_t *set)
{
    zone_set_clear(set);
    set->revision = 0;
}

static uint32_t zone_set_find(const zone_set_t *set, const char *zone)
{
    uint32_t i = 0;
    while (i < set->count && !text_equal(set->names[i], zone)) {
        i++;
    }
    return i;
}

bool zone_set_has(const zone_set_t *set, const char *zone)
{
    return zone_set_find(set, zone) < set->count;
}

static void zone_set_add(zone_set_t *set, const char *zone)
{
    set->names = memory_resize(set->names, (set->count + 1) * sizeof(*set->names));
    set->names[set->count++] = text_copy(zone);
}

static void zone_set_remove(zone_set_t *set, uint32_t at)
{
    free(set->names[at]);
    memmove(&set->names[at], &set->names[at + 1], (set->count - at - 1) * sizeof(*set->names));
    set->count--;
}

zone_set_change_t zone_set_put(zone_set_t *set, const char *zone, bool drained)
{
    uint32_t at = zone_set_find(set, zone);
    if ((at < set->count) == drained) {
        return ZONE_SET_SAME;
    }
    if (drained && set->count == ZONE_SET_MOST) {
        return ZONE_SET_FULL;
    }
    if (drained) {
        zone_set_add(set, zone);
    } else {
        zone_set_remove(set, at);
    }
    set->revision++;
    return ZONE_SET_CHANGED;
}

bool zone_set_take(zone_set_t *set, const DrainedZones *told)
{
    if (told->revision <= set->revision) {
        return false;
    }
    zone_set_clear(set);
    for (pb_size_t i = 0; i < told->zones_count; i++) {
        zone_set_add(set, told->zones[i]);
    }
    set->revision = told->revision;
    return true;
}

void zone_set_tell(const zone_set_t *set, DrainedZones *told)
{
    *told = (DrainedZones){
        .revision = set->revision,
        .zones = set->names,
        .zones_count = (pb_size_t)set->count,
    };
}
