#include "core/zone_set.h"

#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"

const char *zone_region(const zone_info_t *zones, size_t count, const char *zone)
{
    for (size_t i = 0; i < count; i++) {
        if (text_equal(zones[i].name, zone) && text_or_empty(zones[i].region)[0] != '\0') {
            return zones[i].region;
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

static void zone_set_remove(zone_set_t *set, uint32_t index)
{
    free(set->names[index]);
    memmove(&set->names[index], &set->names[index + 1], (set->count - index - 1) * sizeof(*set->names));
    set->count--;
}

zone_set_change_t zone_set_put(zone_set_t *set, const char *zone, bool drained)
{
    uint32_t index = zone_set_find(set, zone);
    if ((index < set->count) == drained) {
        return ZONE_SET_UNCHANGED;
    }
    if (drained && set->count == ZONE_SET_MAX) {
        return ZONE_SET_FULL;
    }
    if (drained) {
        zone_set_add(set, zone);
    } else {
        zone_set_remove(set, index);
    }
    set->revision++;
    return ZONE_SET_CHANGED;
}

bool zone_set_update(zone_set_t *set, const DrainedZones *update)
{
    if (update->revision <= set->revision) {
        return false;
    }
    zone_set_clear(set);
    for (pb_size_t i = 0; i < update->zones_count; i++) {
        zone_set_add(set, update->zones[i]);
    }
    set->revision = update->revision;
    return true;
}

void zone_set_export(const zone_set_t *set, DrainedZones *message)
{
    *message = (DrainedZones){
        .revision = set->revision,
        .zones = set->names,
        .zones_count = (pb_size_t)set->count,
    };
}
