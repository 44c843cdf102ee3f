#include "core/server_table_internal.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/buffer.h"
#include "base/message.h"
#include "core/load_table.h"

/* ---- Incarnations ---------------------------------------------------------------------------- */

static uint64_t server_text_hash(const char *text)
{
    return XXH64(text, strlen(text), 0);
}

/* By id and start time or, if that is unknown, by id, address, service and version. */
static uint64_t server_incarnation_hash(const char *id, uint64_t started_unix_ms, const char *address,
                                        const char *service, const char *version)
{
    uint64_t key[5] = {server_text_hash(text_or_empty(id)), started_unix_ms,
                       started_unix_ms != 0 ? 0 : server_text_hash(text_or_empty(address)),
                       started_unix_ms != 0 ? 0 : server_text_hash(text_or_empty(service)),
                       started_unix_ms != 0 ? 0 : server_text_hash(text_or_empty(version))};
    return XXH64(key, sizeof(key), 0);
}

static void server_record_ended(struct server_table *table, const struct server *server)
{
    table->ended[table->ended_total++ % SERVER_ENDED_MAX] =
        server_incarnation_hash(server->id, server->started_unix_ms, server->address, server->service, server->version);
}

static void server_drop_deferred(struct server *server)
{
    if (server->deferred != NULL) {
        message_free(ServerRecord_fields, server->deferred);
        free(server->deferred);
        server->deferred = NULL;
        server->deferred_ms = 0;
    }
}

static void server_free(struct server *server)
{
    server_drop_deferred(server);
    free(server->id);
    free(server->incarnation);
    free(server->service);
    free(server->address);
    free(server->zone);
    free(server->version);
    free(server);
}

static void server_remove(struct server_table *table, struct server *server)
{
    HASH_DEL(table->servers, server);
    zone_reach_drop_failure(&server->zone_reach);
    server_record_ended(table, server);
    server_free(server);
}

/* A server that has left the list is no evidence that its zone is unreachable: it may have ended. */
static void server_unlist(struct server *server)
{
    server->listed = false;
    zone_reach_drop_failure(&server->zone_reach);
}

void server_table_close(struct server_table *table)
{
    while (table->servers != NULL) {
        server_remove(table, table->servers);
    }
}

static bool server_incarnation_has_ended(const struct server_table *table, const ServerRecord *record)
{
    uint64_t hash =
        server_incarnation_hash(record->id, record->born, record->address, record->service, record->version);
    uint32_t count = table->ended_total < SERVER_ENDED_MAX ? table->ended_total : SERVER_ENDED_MAX;
    for (uint32_t i = 0; i < count; i++) {
        if (table->ended[i] == hash) {
            return true;
        }
    }
    return false;
}

/* Software changes only with a start. An entry without a version tells nothing about it. */
static bool server_may_run_version(const struct server *server, const char *version)
{
    return server->version[0] == '\0' || text_or_empty(version)[0] == '\0' || text_equal(server->version, version);
}

static bool server_is_same_incarnation(const struct server *server, const ServerRecord *record)
{
    bool same_start = server->started_unix_ms == record->born || server->started_unix_ms == 0 || record->born == 0;
    return same_start && server_may_run_version(server, record->version) &&
           text_equal(server->address, record->address) && text_equal(server->service, record->service);
}

/* Without a start time the name is the plain id, as in earlier versions. */
static void server_set_incarnation(struct server *server)
{
    struct buffer name = {0};
    buffer_append_text(&name, server->id);
    if (server->started_unix_ms != 0) {
        buffer_printf(&name, "@%llu", (unsigned long long)server->started_unix_ms);
    }
    free(server->incarnation);
    server->incarnation = text_copy(buffer_text(&name));
    server->hash = server_text_hash(server->incarnation);
    buffer_close(&name);
}

static struct server *server_add(struct server_table *table, const ServerRecord *record)
{
    struct server *server = memory_new(sizeof(*server));
    server->id = text_copy(record->id);
    server->started_unix_ms = record->born;
    server_set_incarnation(server);
    server->service = text_copy(record->service);
    server->address = text_copy(record->address);
    server->zone = text_copy(record->zone);
    server->version = text_copy(text_or_empty(record->version));
    server->region = zone_region(table->zones, table->zone_count, server->zone);
    server->zone_drained = table->drained != NULL && zone_set_has(table->drained, server->zone);
    zone_reach_assign(table->zone_reach, &server->zone_reach, server->zone);
    HASH_ADD_KEYPTR(hh, table->servers, server->id, strlen(server->id), server);
    return server;
}

static void server_remove_unlisted(struct server_table *table)
{
    struct server *server;
    struct server *next;
    HASH_ITER(hh, table->servers, server, next)
    {
        if (!server->in_update) {
            server_unlist(server);
        }
        if (!server->listed && server->in_flight == 0) {
            server_remove(table, server);
        }
    }
}

/* The server is freed when its last request has ended. */
static void server_end_incarnation(struct server_table *table, struct server *server)
{
    HASH_DEL(table->servers, server);
    server->replaced = true;
    server_unlist(server);
    server_drop_deferred(server);
    server_record_ended(table, server);
    if (table->on_replaced != NULL) {
        table->on_replaced(table->context, server);
    }
    if (server->in_flight == 0) {
        server_free(server);
    }
}

static struct server *server_replace_incarnation(struct server_table *table, struct server *old,
                                                 const ServerRecord *record)
{
    server_end_incarnation(table, old);
    struct server *server = server_add(table, record);
    server->has_predecessor = true;
    return server;
}

static void server_defer_record(struct server *server, const ServerRecord *record)
{
    server_drop_deferred(server);
    server->deferred = memory_new(sizeof(*server->deferred));
    *server->deferred = (ServerRecord){
        .id = text_copy(record->id),
        .service = text_copy(record->service),
        .address = text_copy(record->address),
        .zone = text_copy(record->zone),
        .version = text_copy(record->version),
        .slots = record->slots,
        .draining = record->draining,
        .born = record->born,
    };
}

static void server_set_version(struct server *server, const ServerRecord *record)
{
    if (server->version[0] == '\0' && text_or_empty(record->version)[0] != '\0') {
        free(server->version);
        server->version = text_copy(record->version);
    }
}

static void server_apply_record(struct server *server, const ServerRecord *record)
{
    if (server->started_unix_ms == 0 && record->born != 0) {
        server->started_unix_ms = record->born;
        server_set_incarnation(server);
    }
    server_set_version(server, record);
    server_drop_deferred(server);
    server->listed = true;
    server->in_update = true;
    server->slots = record->slots;
    server->draining = server->draining || record->draining;
    server->starting = record->cold_ms > 0;
}

struct server *server_table_find(const struct server_table *table, const char *id)
{
    struct server *server = NULL;
    HASH_FIND_STR(table->servers, text_or_empty(id), server);
    return server;
}

static void server_put_record(struct server_table *table, const ServerRecord *record)
{
    struct server *server = server_table_find(table, record->id);
    if (server == NULL) {
        server = server_add(table, record);
    } else if (!server_is_same_incarnation(server, record)) {
        if (server_incarnation_has_ended(table, record)) {
            server_defer_record(server, record);
            server->in_update = true;
            return;
        }
        server = server_replace_incarnation(table, server, record);
    }
    server_apply_record(server, record);
}

void server_table_apply_deferred(struct server_table *table, uint64_t now_ms)
{
    struct server *server;
    struct server *next;
    HASH_ITER(hh, table->servers, server, next)
    {
        ServerRecord *deferred = server->deferred;
        if (deferred == NULL) {
            continue;
        }
        server->deferred_ms = server->deferred_ms == 0 ? now_ms : server->deferred_ms;
        if (now_ms >= server->deferred_ms + SERVER_DEFER_MS) {
            server->deferred = NULL;
            server_apply_record(server_replace_incarnation(table, server, deferred), deferred);
            message_free(ServerRecord_fields, deferred);
            free(deferred);
        }
    }
}

/* ---- Lists ----------------------------------------------------------------------------------- */

void server_table_update(struct server_table *table, const ServerList *list)
{
    for (struct server *server = table->servers; server != NULL; server = server->hh.next) {
        server->in_update = false;
    }
    for (pb_size_t i = 0; i < list->servers_count; i++) {
        server_put_record(table, &list->servers[i]);
    }
    server_remove_unlisted(table);
}

void server_table_apply_changes(struct server_table *table, char *const *removed, size_t removed_count,
                                const ServerList *changed)
{
    for (size_t i = 0; i < removed_count; i++) {
        struct server *server = server_table_find(table, removed[i]);
        if (server == NULL) {
            continue;
        }
        server_unlist(server);
        server_drop_deferred(server);
        if (server->in_flight == 0) {
            server_remove(table, server);
        }
    }
    for (pb_size_t i = 0; i < changed->servers_count; i++) {
        server_put_record(table, &changed->servers[i]);
    }
}

void server_table_record_drains(struct server_table *table, uint64_t now_ms)
{
    for (struct server *server = table->servers; server != NULL; server = server->hh.next) {
        bool begins = server->draining && server->draining_ms == 0;
        uint64_t since_ms = server->seen_ready ? now_ms : SERVER_DRAINING_SINCE_UNKNOWN_MS;
        server->draining_ms = begins ? since_ms : server->draining_ms;
        server->seen_ready = server->seen_ready || !server->draining;
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
    bool returned = server->returned_ms != 0 && now_ms < server->returned_ms + SERVER_RETURNED_MS;
    return server->starting || returned;
}

bool server_is_leaving(const struct server *server)
{
    return !server->listed || server->draining || server->address_reused;
}

bool server_is_out_of_rotation(const struct server *server)
{
    return server_is_leaving(server) || server->zone_drained;
}

bool server_has_ended(const struct server *server)
{
    return server->replaced || !server->listed || server->address_reused || server->not_listening ||
           reach_is_dead(&server->reach);
}

uint32_t server_total_in_flight(const struct server_table *table, const struct server *server, uint64_t now_ms)
{
    bool valid = now_ms < table->loads_until_ms;
    return server->in_flight + (valid ? server->other_in_flight : 0);
}

/* The shares seen by others count in part: a single gateway may have a bad connection to the server. */
uint32_t server_failure_share(const struct server_table *table, const struct server *server, uint64_t now_ms)
{
    uint32_t own = health_share(&server->health, now_ms);
    bool valid = now_ms < table->loads_until_ms;
    uint32_t others = valid ? server->other_failures / SERVER_FAILURE_OBSERVERS : 0;
    others = others > HEALTH_ONE ? HEALTH_ONE : others;
    return own > others ? own : others;
}

uint64_t server_slots(const struct server *server)
{
    return server->slots == 0 ? 1 : server->slots;
}

bool server_is_busy(const struct server_table *table, const struct server *server, uint64_t now_ms)
{
    return server_total_in_flight(table, server, now_ms) > server_slots(server);
}

/* Earlier versions stored the plain id for all incarnations: it matches one with a start time only if that is the first
 * one known here. */
struct server *server_table_find_incarnation(const struct server_table *table, const char *incarnation)
{
    struct server *server = server_table_find(table, incarnation);
    const char *start = strrchr(text_or_empty(incarnation), '@');
    if (server != NULL) {
        return server->has_predecessor && server->started_unix_ms != 0 ? NULL : server;
    }
    if (start == NULL) {
        return NULL;
    }
    HASH_FIND(hh, table->servers, incarnation, (size_t)(start - incarnation), server);
    return server != NULL && text_equal(server->incarnation, incarnation) ? server : NULL;
}

static int server_compare_loads(const void *a, const void *b)
{
    uint64_t left = ((const ServerLoad *)a)->server;
    uint64_t right = ((const ServerLoad *)b)->server;
    return left < right ? -1 : left > right ? 1 : 0;
}

void server_table_set_other_loads(struct server_table *table, uint64_t now_ms, const LoadTotals *totals)
{
    uint64_t valid_ms = (uint64_t)totals->loads_ms * LOAD_VALID_PERIODS;
    table->loads_until_ms = now_ms + (valid_ms > SERVER_LOADS_VALID_MS ? valid_ms : SERVER_LOADS_VALID_MS);
    bool has_loads = totals->loads_count > 0; /* otherwise `loads` may be NULL */
    if (has_loads) {
        qsort(totals->loads, totals->loads_count, sizeof(*totals->loads), server_compare_loads);
    }
    for (struct server *server = table->servers; server != NULL; server = server->hh.next) {
        ServerLoad wanted = {.server = server->hash};
        const ServerLoad *load = has_loads ? bsearch(&wanted, totals->loads, totals->loads_count,
                                                     sizeof(*totals->loads), server_compare_loads)
                                           : NULL;
        server->other_in_flight = load == NULL ? 0 : load->calls;
        server->other_failures = load == NULL ? 0 : load->failures;
    }
}

void server_table_report_loads(const struct server_table *table, uint64_t now_ms, LoadReport *report)
{
    memset(report, 0, sizeof(*report));
    report->loads = memory_new((HASH_COUNT(table->servers) + 1) * sizeof(*report->loads));
    for (const struct server *server = table->servers; server != NULL; server = server->hh.next) {
        uint32_t share = health_share(&server->health, now_ms);
        uint32_t failures = health_is_bad(share) ? share : 0;
        if (server->in_flight > 0 || failures > 0) {
            report->loads[report->loads_count++] =
                (ServerLoad){.server = server->hash, .calls = server->in_flight, .failures = failures};
        }
    }
}

static bool server_has_free_slot(const struct server_table *table, const struct server *server, uint64_t now_ms)
{
    return server_total_in_flight(table, server, now_ms) < server_slots(server);
}

void server_record_refused(const struct server_table *table, struct server *server, uint64_t now_ms)
{
    server->full_until_ms = now_ms + SERVER_FULL_PAUSE_MS;
    if (server_has_free_slot(table, server, now_ms)) {
        health_record(&server->health, now_ms, HEALTH_REFUSED);
    }
}

void server_record_closed_dial(struct server *server, uint64_t now_ms)
{
    server->possible_ends++;
    if (closed_dials_record(&server->closed_dials, now_ms) &&
        server->full_until_ms < server->closed_dials.held_until_ms) {
        server->full_until_ms = server->closed_dials.held_until_ms;
    }
}

void server_record_unanswered(const struct server_table *table, struct server *server, uint64_t now_ms)
{
    if (server_has_free_slot(table, server, now_ms)) {
        health_record(&server->health, now_ms, HEALTH_UNANSWERED);
    }
}

void server_record_received(struct server *server, uint64_t now_ms)
{
    server->last_activity_ms = now_ms;
    server->returned_ms = server->not_listening ? now_ms : server->returned_ms;
    server->not_listening = false;
    reach_record_received(&server->reach);
}

void server_begin_request(struct server *server, uint64_t now_ms)
{
    if (server->in_flight == 0) {
        server->last_activity_ms = now_ms;
    }
    server->in_flight++;
}

void server_end_request(struct server_table *table, struct server *server)
{
    server->in_flight--;
    if (server->replaced && server->in_flight == 0) {
        server_free(server);
    } else if (!server->listed && server->in_flight == 0) {
        server_remove(table, server);
    }
}
