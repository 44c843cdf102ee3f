#include "core/load_table.h"

#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"

static struct load_server *load_find_or_add_server(struct load_table *table, uint64_t hash)
{
    struct load_server *server = NULL;
    HASH_FIND(hh, table->servers, &hash, sizeof(hash), server);
    if (server == NULL) {
        server = memory_new(sizeof(*server));
        server->hash = hash;
        HASH_ADD(hh, table->servers, hash, sizeof(server->hash), server);
    }
    return server;
}

static void load_clear_report(struct load_table *table, struct load_gateway *gateway)
{
    for (pb_size_t i = 0; i < gateway->count; i++) {
        struct load_server *server = load_find_or_add_server(table, gateway->loads[i].server);
        server->calls -= gateway->loads[i].calls;
        server->failures -= gateway->loads[i].failures;
        if (server->calls == 0 && server->failures == 0) {
            HASH_DEL(table->servers, server);
            free(server);
        }
    }
    free(gateway->loads);
    gateway->loads = NULL;
    gateway->count = 0;
}

static void load_remove_gateway(struct load_table *table, struct load_gateway *gateway)
{
    load_clear_report(table, gateway);
    HASH_DEL(table->gateways, gateway);
    free(gateway);
}

void load_table_close(struct load_table *table)
{
    while (table->gateways != NULL) {
        load_remove_gateway(table, table->gateways);
    }
}

void load_table_report(struct load_table *table, uint64_t now_ms, uint32_t node, const LoadReport *report)
{
    struct load_gateway *gateway = NULL;
    HASH_FIND(hh, table->gateways, &node, sizeof(node), gateway);
    if (gateway == NULL) {
        gateway = memory_new(sizeof(*gateway));
        gateway->node = node;
        HASH_ADD(hh, table->gateways, node, sizeof(gateway->node), gateway);
    }
    load_clear_report(table, gateway);
    gateway->reported_ms = now_ms;
    gateway->loads = memory_new((report->loads_count + 1U) * sizeof(*gateway->loads));
    for (pb_size_t i = 0; i < report->loads_count; i++) {
        const ServerLoad *load = &report->loads[i];
        if (load->calls > 0 || load->failures > 0) {
            struct load_server *server = load_find_or_add_server(table, load->server);
            gateway->loads[gateway->count++] = *load;
            server->calls += load->calls;
            server->failures += load->failures;
        }
    }
}

/* Interval for one gateway if all together are limited to `limit_per_s`; at least LOAD_MIN_REPORT_MS. */
static uint32_t load_period_ms(const struct load_table *table, uint32_t limit_per_s)
{
    uint32_t period_ms = HASH_COUNT(table->gateways) * 1000 / limit_per_s;
    return period_ms > LOAD_MIN_REPORT_MS ? period_ms : LOAD_MIN_REPORT_MS;
}

void load_table_expire(struct load_table *table, uint64_t now_ms)
{
    struct load_gateway *gateway;
    struct load_gateway *next;
    uint32_t periods_ms = LOAD_VALID_PERIODS * load_period_ms(table, LOAD_REPORTS_PER_S);
    uint32_t valid_ms = periods_ms > LOAD_MIN_VALID_MS ? periods_ms : LOAD_MIN_VALID_MS;
    HASH_ITER(hh, table->gateways, gateway, next)
    {
        if (now_ms >= gateway->reported_ms + valid_ms) {
            load_remove_gateway(table, gateway);
        }
    }
}

static ServerLoad load_reported_by(const struct load_gateway *gateway, uint64_t hash)
{
    for (pb_size_t i = 0; gateway != NULL && i < gateway->count; i++) {
        if (gateway->loads[i].server == hash) {
            return gateway->loads[i];
        }
    }
    return (ServerLoad){0};
}

void load_table_other_loads(const struct load_table *table, uint32_t node, LoadTotals *totals)
{
    struct load_gateway *own = NULL;
    HASH_FIND(hh, table->gateways, &node, sizeof(node), own);
    memset(totals, 0, sizeof(*totals));
    totals->gateways = HASH_COUNT(table->gateways);
    totals->loads = memory_new((HASH_COUNT(table->servers) + 1) * sizeof(*totals->loads));
    for (const struct load_server *server = table->servers; server != NULL; server = server->hh.next) {
        ServerLoad own_load = load_reported_by(own, server->hash);
        ServerLoad others = {
            .server = server->hash,
            .calls = server->calls - own_load.calls,
            .failures = server->failures - own_load.failures,
        };
        if (others.calls > 0 || others.failures > 0) {
            totals->loads[totals->loads_count++] = others;
        }
    }
}

/* Whether LOAD_TOTALS_PER_S allows sending totals now; if so, counts them as sent. Bursts of up to LOAD_MIN_REPORT_MS
 * worth of messages are allowed. */
static bool load_take_totals_slot(struct load_table *table, uint64_t now_ms)
{
    uint64_t earliest_ms = now_ms > LOAD_MIN_REPORT_MS ? now_ms - LOAD_MIN_REPORT_MS : 0;
    if (table->next_totals_ms > now_ms) {
        return false;
    }
    table->next_totals_ms =
        (table->next_totals_ms > earliest_ms ? table->next_totals_ms : earliest_ms) + 1000 / LOAD_TOTALS_PER_S;
    return true;
}

void load_table_answer(struct load_table *table, uint64_t now_ms, uint32_t node, LoadTotals *totals)
{
    struct load_gateway *gateway = NULL;
    HASH_FIND(hh, table->gateways, &node, sizeof(node), gateway);
    memset(totals, 0, sizeof(*totals));
    if (gateway != NULL && now_ms >= gateway->totals_due_ms && load_take_totals_slot(table, now_ms)) {
        load_table_other_loads(table, node, totals);
        totals->loads_ms = load_period_ms(table, LOAD_TOTALS_PER_S);
        /* Half a report interval early, so that a report that arrives slightly early gets the totals too. */
        gateway->totals_due_ms = now_ms + totals->loads_ms - LOAD_MIN_REPORT_MS / 2;
    }
    totals->report_ms = load_period_ms(table, LOAD_REPORTS_PER_S);
}
