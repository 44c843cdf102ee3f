#include "core/server_table_internal.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/buffer.h"
#include "base/message.h"
#include "core/load_table.h"

/* ---- Lives ----------------------------------------------------------------------------------- */

static uint64_t server_hash_text(const char *text)
{
    return XXH64(text, strlen(text), 0);
}

/* What tells lives of one id apart: the start or, where that is not known, address and service. */
static uint64_t server_life_hash(const char *id, uint64_t born, const char *address, const char *service)
{
    uint64_t material[4] = {server_hash_text(text_or_empty(id)), born,
                            born != 0 ? 0 : server_hash_text(text_or_empty(address)),
                            born != 0 ? 0 : server_hash_text(text_or_empty(service))};
    return XXH64(material, sizeof(material), 0);
}

static void server_note_ended(struct server_table *table, const struct server *server)
{
    table->ended[table->ended_count++ % SERVER_ENDED_LIVES] =
        server_life_hash(server->id, server->born, server->address, server->service);
}

static void server_forget_late(struct server *server)
{
    if (server->late != NULL) {
        message_free(ServerRecord_fields, server->late);
        free(server->late);
        server->late = NULL;
        server->late_ms = 0;
    }
}

static void server_release(struct server *server)
{
    server_forget_late(server);
    free(server->id);
    free(server->life);
    free(server->service);
    free(server->address);
    free(server->zone);
    free(server);
}

static void server_free(struct server_table *table, struct server *server)
{
    HASH_DEL(table->servers, server);
    server_note_ended(table, server);
    server_release(server);
}

void server_table_close(struct server_table *table)
{
    while (table->servers != NULL) {
        server_free(table, table->servers);
    }
}

static bool server_has_ended(const struct server_table *table, const ServerRecord *record)
{
    uint64_t hash = server_life_hash(record->id, record->born, record->address, record->service);
    uint32_t count = table->ended_count < SERVER_ENDED_LIVES ? table->ended_count : SERVER_ENDED_LIVES;
    for (uint32_t i = 0; i < count; i++) {
        if (table->ended[i] == hash) {
            return true;
        }
    }
    return false;
}

static bool server_is_life_of(const struct server *server, const ServerRecord *record)
{
    bool born = server->born == record->born || server->born == 0 || record->born == 0;
    return born && text_equal(server->address, record->address) && text_equal(server->service, record->service);
}

/* The plain id where the start is not known: that is what earlier versions call it. */
static void server_name_life(struct server *server)
{
    struct buffer name = {0};
    buffer_append_text(&name, server->id);
    if (server->born != 0) {
        buffer_printf(&name, "@%llu", (unsigned long long)server->born);
    }
    free(server->life);
    server->life = text_copy(buffer_text(&name));
    server->hash = server_hash_text(server->life);
    buffer_close(&name);
}

static struct server *server_add(struct server_table *table, const ServerRecord *record)
{
    struct server *server = memory_new(sizeof(*server));
    server->id = text_copy(record->id);
    server->born = record->born;
    server_name_life(server);
    server->service = text_copy(record->service);
    server->address = text_copy(record->address);
    server->zone = text_copy(record->zone);
    server->region = zone_region(table->places, table->place_count, server->zone);
    server->zone_drained = table->drained != NULL && zone_set_has(table->drained, server->zone);
    HASH_ADD_KEYPTR(hh, table->servers, server->id, strlen(server->id), server);
    return server;
}

static void server_forget_unlisted(struct server_table *table)
{
    struct server *server;
    struct server *next;
    HASH_ITER(hh, table->servers, server, next)
    {
        server->listed = server->listed && server->seen;
        if (!server->listed && server->calls == 0) {
            server_free(table, server);
        }
    }
}

/* It keeps its calls until they end, and is found no more. */
static void server_end_life(struct server_table *table, struct server *server)
{
    HASH_DEL(table->servers, server);
    server->ended = true;
    server->listed = false;
    server_forget_late(server);
    server_note_ended(table, server);
    if (table->life_ended != NULL) {
        table->life_ended(table->context, server);
    }
    if (server->calls == 0) {
        server_release(server);
    }
}

static struct server *server_begin_life(struct server_table *table, struct server *old, const ServerRecord *record)
{
    server_end_life(table, old);
    struct server *server = server_add(table, record);
    server->reborn = true;
    return server;
}

static void server_note_late(struct server *server, const ServerRecord *record)
{
    server_forget_late(server);
    server->late = memory_new(sizeof(*server->late));
    *server->late = (ServerRecord){
        .id = text_copy(record->id),
        .service = text_copy(record->service),
        .address = text_copy(record->address),
        .zone = text_copy(record->zone),
        .slots = record->slots,
        .draining = record->draining,
        .born = record->born,
    };
}

static void server_fill(struct server *server, const ServerRecord *record)
{
    if (server->born == 0 && record->born != 0) {
        server->born = record->born;
        server_name_life(server);
    }
    server_forget_late(server);
    server->listed = true;
    server->seen = true;
    server->slots = record->slots;
    server->draining = server->draining || record->draining;
    server->starting = record->cold_ms > 0;
}

static struct server *server_of_id(const struct server_table *table, const char *id)
{
    struct server *server = NULL;
    HASH_FIND_STR(table->servers, text_or_empty(id), server);
    return server;
}

static void server_take_record(struct server_table *table, const ServerRecord *record)
{
    struct server *server = server_of_id(table, record->id);
    if (server == NULL) {
        server = server_add(table, record);
    } else if (!server_is_life_of(server, record)) {
        if (server_has_ended(table, record)) {
            server_note_late(server, record);
            server->seen = true;
            return;
        }
        server = server_begin_life(table, server, record);
    }
    server_fill(server, record);
}

void server_table_review(struct server_table *table, uint64_t now_ms)
{
    struct server *server;
    struct server *next;
    HASH_ITER(hh, table->servers, server, next)
    {
        ServerRecord *late = server->late;
        if (late == NULL) {
            continue;
        }
        server->late_ms = server->late_ms == 0 ? now_ms : server->late_ms;
        if (now_ms >= server->late_ms + SERVER_LATE_MS) {
            server->late = NULL;
            server_fill(server_begin_life(table, server, late), late);
            message_free(ServerRecord_fields, late);
            free(late);
        }
    }
}

/* ---- Lists ----------------------------------------------------------------------------------- */

void server_table_update(struct server_table *table, const ServerList *list)
{
    for (struct server *server = table->servers; server != NULL; server = server->hh.next) {
        server->seen = false;
    }
    for (pb_size_t i = 0; i < list->servers_count; i++) {
        server_take_record(table, &list->servers[i]);
    }
    server_forget_unlisted(table);
}

void server_table_change(struct server_table *table, char *const *gone, size_t gone_count, const ServerList *changed)
{
    for (size_t i = 0; i < gone_count; i++) {
        struct server *server = server_of_id(table, gone[i]);
        if (server == NULL) {
            continue;
        }
        server->listed = false;
        server_forget_late(server);
        if (server->calls == 0) {
            server_free(table, server);
        }
    }
    for (pb_size_t i = 0; i < changed->servers_count; i++) {
        server_take_record(table, &changed->servers[i]);
    }
}

void server_table_zones_changed(struct server_table *table, uint64_t now_ms)
{
    for (struct server *server = table->servers; server != NULL; server = server->hh.next) {
        bool before = server->zone_drained;
        server->zone_drained = table->drained != NULL && zone_set_has(table->drained, server->zone);
        server->returned_ms = before && !server->zone_drained ? now_ms : server->returned_ms;
    }
}

bool server_is_starting(const struct server *server, uint64_t now_ms)
{
    bool returned = server->returned_ms != 0 && now_ms < server->returned_ms + SERVER_RETURN_MS;
    return server->starting || returned;
}

bool server_leaves(const struct server *server)
{
    return !server->listed || server->draining || server->misplaced;
}

bool server_is_closed(const struct server *server)
{
    return server_leaves(server) || server->zone_drained;
}

bool server_is_gone(const struct server *server)
{
    return server_leaves(server) || server->vacant || reach_is_gone(&server->reach);
}

/* Requests there of all gateways, as far as they are known now. */
uint32_t server_calls(const struct server_table *table, const struct server *server, uint64_t now_ms)
{
    bool told = now_ms < table->loads_until_ms;
    return server->calls + (told ? server->others : 0);
}

/* Share of failures as this gateway or several others see it: one other alone may have a bad way to it. */
uint32_t server_failures(const struct server_table *table, const struct server *server, uint64_t now_ms)
{
    uint32_t own = health_share(&server->health, now_ms);
    bool told = now_ms < table->loads_until_ms;
    uint32_t others = told ? server->others_failed / SERVER_WITNESSES : 0;
    others = others > HEALTH_ONE ? HEALTH_ONE : others;
    return own > others ? own : others;
}

uint64_t server_slots(const struct server *server)
{
    return server->slots == 0 ? 1 : server->slots;
}

bool server_is_busy(const struct server_table *table, const struct server *server, uint64_t now_ms)
{
    return server_calls(table, server, now_ms) > server_slots(server);
}

/* A plain id, as earlier versions stored it, names the only life that is known here. */
struct server *server_table_life(const struct server_table *table, const char *life)
{
    struct server *server = server_of_id(table, life);
    const char *start = strrchr(text_or_empty(life), '@');
    if (server != NULL) {
        return server->reborn && server->born != 0 ? NULL : server;
    }
    if (start == NULL) {
        return NULL;
    }
    HASH_FIND(hh, table->servers, life, (size_t)(start - life), server);
    return server != NULL && text_equal(server->life, life) ? server : NULL;
}

static int server_compare_loads(const void *a, const void *b)
{
    uint64_t left = ((const ServerLoad *)a)->server;
    uint64_t right = ((const ServerLoad *)b)->server;
    return left < right ? -1 : left > right ? 1 : 0;
}

void server_table_take_loads(struct server_table *table, uint64_t now_ms, const LoadTotals *totals)
{
    uint64_t valid_ms = (uint64_t)totals->loads_ms * LOAD_VALID_PERIODS;
    table->loads_until_ms = now_ms + (valid_ms > SERVER_LOADS_VALID_MS ? valid_ms : SERVER_LOADS_VALID_MS);
    bool any = totals->loads_count > 0; /* no list at all where there is nothing under way */
    if (any) {
        qsort(totals->loads, totals->loads_count, sizeof(*totals->loads), server_compare_loads);
    }
    for (struct server *server = table->servers; server != NULL; server = server->hh.next) {
        ServerLoad wanted = {.server = server->hash};
        const ServerLoad *told =
            any ? bsearch(&wanted, totals->loads, totals->loads_count, sizeof(*totals->loads), server_compare_loads)
                : NULL;
        server->others = told == NULL ? 0 : told->calls;
        server->others_failed = told == NULL ? 0 : told->failures;
    }
}

void server_table_report_loads(const struct server_table *table, uint64_t now_ms, LoadReport *report)
{
    memset(report, 0, sizeof(*report));
    report->loads = memory_new((HASH_COUNT(table->servers) + 1) * sizeof(*report->loads));
    for (const struct server *server = table->servers; server != NULL; server = server->hh.next) {
        uint32_t share = health_share(&server->health, now_ms);
        uint32_t failures = health_is_bad(share) ? share : 0;
        if (server->calls > 0 || failures > 0) {
            report->loads[report->loads_count++] =
                (ServerLoad){.server = server->hash, .calls = server->calls, .failures = failures};
        }
    }
}

static bool server_has_room(const struct server_table *table, const struct server *server, uint64_t now_ms)
{
    return server_calls(table, server, now_ms) < server_slots(server);
}

void server_refused(const struct server_table *table, struct server *server, uint64_t now_ms)
{
    server->full_until_ms = now_ms + SERVER_SHED_PAUSE_MS;
    if (server_has_room(table, server, now_ms)) {
        health_note(&server->health, now_ms, HEALTH_REFUSED);
    }
}

void server_unanswered(const struct server_table *table, struct server *server, uint64_t now_ms)
{
    if (server_has_room(table, server, now_ms)) {
        health_note(&server->health, now_ms, HEALTH_UNANSWERED);
    }
}

void server_heard(struct server *server, uint64_t now_ms)
{
    server->heard_ms = now_ms;
    server->returned_ms = server->vacant ? now_ms : server->returned_ms;
    server->vacant = false;
    reach_note_heard(&server->reach);
}

void server_begin(struct server *server, uint64_t now_ms)
{
    if (server->calls == 0) {
        server->heard_ms = now_ms;
    }
    server->calls++;
}

void server_end(struct server_table *table, struct server *server)
{
    server->calls--;
    if (server->ended && server->calls == 0) {
        server_release(server);
    } else if (!server->listed && server->calls == 0) {
        server_free(table, server);
    }
}
