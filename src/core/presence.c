#include "core/presence.h"

#include <stdlib.h>

#include "base/buffer.h"

static void presence_remove(presence_t *presence, presence_gateway_t *gateway)
{
    HASH_DEL(presence->gateways, gateway);
    free(gateway);
}

void presence_record_report(presence_t *presence, uint64_t now_ms, const LoadReport *report)
{
    presence_gateway_t *gateway = NULL;
    HASH_FIND(hh, presence->gateways, &report->machine, sizeof(report->machine), gateway);
    if (report->leaving) {
        if (gateway != NULL) {
            presence_remove(presence, gateway);
        }
        return;
    }
    if (gateway == NULL) {
        gateway = memory_new(sizeof(*gateway));
        gateway->machine = report->machine;
        HASH_ADD(hh, presence->gateways, machine, sizeof(gateway->machine), gateway);
    }
    gateway->zone = report->zone;
    gateway->last_report_ms = now_ms;
}

void presence_expire(presence_t *presence, uint64_t now_ms)
{
    presence_gateway_t *gateway;
    presence_gateway_t *next;
    HASH_ITER(hh, presence->gateways, gateway, next)
    {
        if (now_ms >= gateway->last_report_ms + PRESENCE_EXPIRY_MS) {
            presence_remove(presence, gateway);
        }
    }
}

void presence_clear(presence_t *presence)
{
    while (presence->gateways != NULL) {
        presence_remove(presence, presence->gateways);
    }
}

void presence_count(const presence_t *presence, uint64_t now_ms, uint64_t zone, LoadTotals *totals)
{
    totals->has_own_zone = true;
    totals->has_other_zones = true;
    totals->own_zone = (GatewayCount){0};
    totals->other_zones = (GatewayCount){0};
    for (const presence_gateway_t *gateway = presence->gateways; gateway != NULL; gateway = gateway->hh.next) {
        GatewayCount *count = gateway->zone == zone ? &totals->own_zone : &totals->other_zones;
        count->gateways++;
        count->silent += now_ms >= gateway->last_report_ms + PRESENCE_SILENT_MS ? 1 : 0;
    }
}

static bool presence_most_are_silent(const GatewayCount *count)
{
    return 2 * count->silent > count->gateways;
}

bool presence_should_withdraw(const LoadTotals *totals)
{
    bool others_healthy = totals->other_zones.gateways > 0 && !presence_most_are_silent(&totals->other_zones);
    return others_healthy && presence_most_are_silent(&totals->own_zone);
}
