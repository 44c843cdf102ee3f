#include "core/load_table.h"

#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"

static struct load_server *load_server_of(struct load_table *table, uint64_t hash)
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

static void load_withdraw(struct load_table *table, struct load_gateway *gateway)
{
    for (pb_size_t i = 0; i < gateway->count; i++) {
        struct load_server *server = load_server_of(table, gateway->loads[i].server);
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

static void load_forget(struct load_table *table, struct load_gateway *gateway)
{
    load_withdraw(table, gateway);
    HASH_DEL(table->gateways, gateway);
    free(gateway);
}

void load_table_close(struct load_table *table)
{
    while (table->gateways != NULL) {
        load_forget(table, table->gateways);
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
    load_withdraw(table, gateway);
    gateway->told_ms = now_ms;
    gateway->loads = memory_new((report->loads_count + 1U) * sizeof(*gateway->loads));
    for (pb_size_t i = 0; i < report->loads_count; i++) {
        const ServerLoad *load = &report->loads[i];
        if (load->calls > 0 || load->failures > 0) {
            struct load_server *server = load_server_of(table, load->server);
            gateway->loads[gateway->count++] = *load;
            server->calls += load->calls;
            server->failures += load->failures;
        }
    }
}

/* Each gateway's share of `a_second`, as a period. */
static uint32_t load_period_ms(const struct load_table *table, uint32_t a_second)
{
    uint32_t period_ms = HASH_COUNT(table->gateways) * 1000 / a_second;
    return period_ms > LOAD_REPORT_MS ? period_ms : LOAD_REPORT_MS;
}

void load_table_fade(struct load_table *table, uint64_t now_ms)
{
    struct load_gateway *gateway;
    struct load_gateway *next;
    uint32_t periods_ms = LOAD_VALID_PERIODS * load_period_ms(table, LOAD_REPORTS_A_S);
    uint32_t valid_ms = periods_ms > LOAD_VALID_MS ? periods_ms : LOAD_VALID_MS;
    HASH_ITER(hh, table->gateways, gateway, next)
    {
        if (now_ms >= gateway->told_ms + valid_ms) {
            load_forget(table, gateway);
        }
    }
}

static ServerLoad load_own(const struct load_gateway *gateway, uint64_t hash)
{
    for (pb_size_t i = 0; gateway != NULL && i < gateway->count; i++) {
        if (gateway->loads[i].server == hash) {
            return gateway->loads[i];
        }
    }
    return (ServerLoad){0};
}

void load_table_others(const struct load_table *table, uint32_t node, LoadTotals *totals)
{
    struct load_gateway *own = NULL;
    HASH_FIND(hh, table->gateways, &node, sizeof(node), own);
    memset(totals, 0, sizeof(*totals));
    totals->gateways = HASH_COUNT(table->gateways);
    totals->loads = memory_new((HASH_COUNT(table->servers) + 1) * sizeof(*totals->loads));
    for (const struct load_server *server = table->servers; server != NULL; server = server->hh.next) {
        ServerLoad mine = load_own(own, server->hash);
        ServerLoad others = {
            .server = server->hash,
            .calls = server->calls - mine.calls,
            .failures = server->failures - mine.failures,
        };
        if (others.calls > 0 || others.failures > 0) {
            totals->loads[totals->loads_count++] = others;
        }
    }
}

/* Whether the leader may tell the loads once more now: what comes in one wave is spread over the period. */
static bool load_may_tell(struct load_table *table, uint64_t now_ms)
{
    uint64_t earliest_ms = now_ms > LOAD_REPORT_MS ? now_ms - LOAD_REPORT_MS : 0;
    if (table->pace_ms > now_ms) {
        return false;
    }
    table->pace_ms = (table->pace_ms > earliest_ms ? table->pace_ms : earliest_ms) + 1000 / LOAD_TOTALS_A_S;
    return true;
}

void load_table_answer(struct load_table *table, uint64_t now_ms, uint32_t node, LoadTotals *totals)
{
    struct load_gateway *gateway = NULL;
    HASH_FIND(hh, table->gateways, &node, sizeof(node), gateway);
    memset(totals, 0, sizeof(*totals));
    if (gateway != NULL && now_ms >= gateway->owed_ms && load_may_tell(table, now_ms)) {
        load_table_others(table, node, totals);
        totals->loads_ms = load_period_ms(table, LOAD_TOTALS_A_S);
        /* A report that comes a moment early is answered whole all the same. */
        gateway->owed_ms = now_ms + totals->loads_ms - LOAD_REPORT_MS / 2;
    }
    totals->report_ms = load_period_ms(table, LOAD_REPORTS_A_S);
}
