#include "core/zone_reach.h"

#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"

void zone_reach_close(zone_reach_t *reach)
{
    zone_reach_zone_t *zone;
    zone_reach_zone_t *next;
    HASH_ITER(hh, reach->zones, zone, next)
    {
        HASH_DEL(reach->zones, zone);
        free(zone->name);
        free(zone);
    }
}

void zone_reach_assign(zone_reach_t *reach, zone_reach_server_t *server, const char *zone)
{
    const char *name = text_or_empty(zone);
    zone_reach_zone_t *entry = NULL;
    if (reach == NULL || name[0] == '\0' || text_equal(name, reach->own_zone)) {
        return;
    }
    HASH_FIND_STR(reach->zones, name, entry);
    if (entry == NULL) {
        entry = memory_new(sizeof(*entry));
        entry->name = text_copy(name);
        HASH_ADD_KEYPTR(hh, reach->zones, entry->name, strlen(entry->name), entry);
    }
    server->zone = entry;
}

static zone_reach_change_t zone_reach_recover(zone_reach_zone_t *zone)
{
    bool was_unreachable = zone->unreachable;
    zone->unreachable = false;
    return was_unreachable ? ZONE_REACH_RECOVERED : ZONE_REACH_UNCHANGED;
}

static void zone_reach_clear_failure(zone_reach_server_t *server)
{
    server->zone->failed_servers -= server->failed ? 1 : 0;
    server->failed = false;
}

zone_reach_change_t zone_reach_record_failure(zone_reach_server_t *server, uint64_t now_ms)
{
    zone_reach_zone_t *zone = server->zone;
    if (zone == NULL) {
        return ZONE_REACH_UNCHANGED;
    }
    zone->failed_servers += server->failed ? 0 : 1;
    server->failed = true;
    if (zone->unreachable || zone->failed_servers < ZONE_REACH_FAILED_SERVERS) {
        return ZONE_REACH_UNCHANGED;
    }
    zone->unreachable = true;
    zone->since_ms = now_ms;
    return ZONE_REACH_UNREACHABLE;
}

zone_reach_change_t zone_reach_record_received(zone_reach_server_t *server)
{
    if (server->zone == NULL) {
        return ZONE_REACH_UNCHANGED;
    }
    zone_reach_clear_failure(server);
    return zone_reach_recover(server->zone);
}

zone_reach_change_t zone_reach_drop_failure(zone_reach_server_t *server)
{
    if (server->zone == NULL) {
        return ZONE_REACH_UNCHANGED;
    }
    zone_reach_clear_failure(server);
    bool enough = server->zone->failed_servers >= ZONE_REACH_FAILED_SERVERS;
    return enough ? ZONE_REACH_UNCHANGED : zone_reach_recover(server->zone);
}

bool zone_reach_is_unreachable(const zone_reach_server_t *server)
{
    return server->zone != NULL && server->zone->unreachable;
}

uint32_t zone_reach_count_unreachable(const zone_reach_t *reach)
{
    uint32_t count = 0;
    for (const zone_reach_zone_t *zone = reach->zones; zone != NULL; zone = zone->hh.next) {
        count += zone->unreachable ? 1 : 0;
    }
    return count;
}
