#include "core/server_table.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/buffer.h"
#include "core/load_table.h"

enum { SERVER_LOAD_SHIFT = 16 };

static void server_free(struct server_table *table, struct server *server)
{
    HASH_DEL(table->servers, server);
    free(server->id);
    free(server->service);
    free(server->address);
    free(server->zone);
    free(server);
}

void server_table_close(struct server_table *table)
{
    while (table->servers != NULL) {
        server_free(table, table->servers);
    }
}

static struct server *server_add(struct server_table *table, const ServerRecord *record)
{
    struct server *server = memory_new(sizeof(*server));
    server->id = text_copy(record->id);
    server->service = text_copy(record->service);
    server->address = text_copy(record->address);
    server->zone = text_copy(record->zone);
    server->hash = XXH64(server->id, strlen(server->id), 0);
    HASH_ADD_KEYPTR(hh, table->servers, server->id, strlen(server->id), server);
    return server;
}

static void server_forget_unlisted(struct server_table *table)
{
    struct server *server;
    struct server *next;
    HASH_ITER(hh, table->servers, server, next)
    {
        if (!server->listed && server->calls == 0) {
            server_free(table, server);
        }
    }
}

static void server_take_record(struct server_table *table, const ServerRecord *record)
{
    struct server *server = NULL;
    HASH_FIND_STR(table->servers, text_or_empty(record->id), server);
    if (server == NULL) {
        server = server_add(table, record);
    }
    server->listed = true;
    server->slots = record->slots;
    server->draining = server->draining || record->draining;
}

void server_table_update(struct server_table *table, const ServerList *list)
{
    for (struct server *server = table->servers; server != NULL; server = server->hh.next) {
        server->listed = false;
    }
    for (pb_size_t i = 0; i < list->servers_count; i++) {
        server_take_record(table, &list->servers[i]);
    }
    server_forget_unlisted(table);
}

void server_table_change(struct server_table *table, char *const *gone, size_t gone_count, const ServerList *changed)
{
    for (size_t i = 0; i < gone_count; i++) {
        struct server *server = NULL;
        HASH_FIND_STR(table->servers, gone[i], server);
        if (server == NULL) {
            continue;
        }
        server->listed = false;
        if (server->calls == 0) {
            server_free(table, server);
        }
    }
    for (pb_size_t i = 0; i < changed->servers_count; i++) {
        server_take_record(table, &changed->servers[i]);
    }
}

/* May get requests at all. */
static bool server_is_open(const struct server *server, uint64_t now_ms)
{
    return server->listed && !server->draining && !server->misplaced && now_ms >= server->full_until_ms;
}

bool server_is_gone(const struct server *server)
{
    return !server->listed || server->draining || server->misplaced || server->vacant || server->reach.cut_off;
}

/* Nothing shows that it cannot be reached. */
static bool server_is_sound(const struct server *server)
{
    return !server->reach.lost;
}

static bool server_was_tried(const struct server *server, const struct server_wish *wish)
{
    for (uint32_t i = 0; i < wish->tried_count; i++) {
        if (wish->tried[i] == server) {
            return true;
        }
    }
    return false;
}

void server_wish_note_tried(struct server_wish *wish, const struct server *server)
{
    if (!server_was_tried(server, wish) && wish->tried_count < SERVER_MAX_TRIED) {
        wish->tried[wish->tried_count++] = server;
    }
}

bool server_table_serves(const struct server_table *table, uint64_t now_ms, const char *service)
{
    for (const struct server *server = table->servers; server != NULL; server = server->hh.next) {
        if (text_equal(server->service, service) && server_is_open(server, now_ms)) {
            return true;
        }
    }
    return false;
}

/* Breaks ties: an order of the servers that changes with each choice. */
static uint64_t server_rank(const struct server *server, uint64_t choice)
{
    uint64_t material[2] = {server->hash, choice};
    return XXH64(material, sizeof(material), 0);
}

/* Requests there of all gateways, as far as they are known now. */
static uint32_t server_calls(const struct server_table *table, const struct server *server, uint64_t now_ms)
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

static uint64_t server_slots(const struct server *server)
{
    return server->slots == 0 ? 1 : server->slots;
}

bool server_is_busy(const struct server_table *table, const struct server *server, uint64_t now_ms)
{
    return server_calls(table, server, now_ms) > server_slots(server);
}

/* A server that fails is still better than a long queue elsewhere. */
static uint64_t server_failure_calls(const struct server_table *table, const struct server *server, uint64_t now_ms)
{
    uint64_t calls = health_calls(server_failures(table, server, now_ms));
    uint64_t most = SERVER_FAILING_QUEUE * server_slots(server);
    return calls < most ? calls : most;
}

/* What it would have to read anew of the shared parts, as calls in a scale that keeps fractions. */
static uint64_t server_reading(const struct server *server, const struct server_wish *wish, uint64_t now_ms)
{
    if (wish->chain == NULL) {
        return wish->object == 0 ? 0 : (uint64_t)SERVER_OBJECT_CALLS << SERVER_LOAD_SHIFT;
    }
    uint32_t missing = prefix_table_missing(&server->prefixes, now_ms, wish->chain);
    return prefix_cost_calls(wish->cost, missing, 1 << SERVER_LOAD_SHIFT);
}

/* Calls per slot in a scale that keeps fractions. What speaks against a server counts as calls: a new
 * connection, the way to another zone, failures, parts of the prompt to be read. */
static uint64_t server_load(const struct server_table *table, const struct server *server,
                            const struct server_wish *wish, uint64_t now_ms, bool favored)
{
    bool remote = !text_equal(server->zone, wish->zone);
    bool cold = wish->warm != NULL && !wish->warm(wish->context, server->address);
    uint64_t calls = server_calls(table, server, now_ms);
    calls += cold ? SERVER_COLD_CALLS : 0;
    calls += remote ? SERVER_REMOTE_CALLS : 0;
    calls += server_failure_calls(table, server, now_ms);
    uint64_t reading = favored ? 0 : server_reading(server, wish, now_ms);
    return ((calls << SERVER_LOAD_SHIFT) + reading) / server_slots(server);
}

/* Where no server is sound, any open one is better than none. */
static bool server_may_do(const struct server *server, const struct server_wish *wish, uint64_t now_ms)
{
    return text_equal(server->service, wish->service) && server_is_open(server, now_ms) &&
           !server_was_tried(server, wish);
}

static bool server_fits(const struct server *server, const struct server_wish *wish, uint64_t now_ms)
{
    return server_is_sound(server) && server_may_do(server, wish, now_ms);
}

/* All gateways begin with the same server for the same parts, or the same object. */
static const struct server *server_favored(const struct server_table *table, uint64_t now_ms,
                                           const struct server_wish *wish,
                                           bool (*fits)(const struct server *, const struct server_wish *, uint64_t))
{
    const struct server *favored = NULL;
    uint64_t highest = 0;
    bool has_chain = wish->chain != NULL && wish->chain->count > 0;
    uint64_t chain = has_chain ? wish->chain->hashes[wish->chain->count - 1] : wish->object;
    if (chain == 0) {
        return NULL;
    }
    for (const struct server *server = table->servers; server != NULL; server = server->hh.next) {
        uint64_t rank = server_rank(server, chain);
        if (fits(server, wish, now_ms) && (favored == NULL || rank > highest)) {
            favored = server;
            highest = rank;
        }
    }
    return favored;
}

static struct server *server_idlest(struct server_table *table, uint64_t now_ms, const struct server_wish *wish,
                                    bool (*fits)(const struct server *, const struct server_wish *, uint64_t))
{
    struct server *idlest = NULL;
    uint64_t least = 0;
    uint64_t least_order = 0;
    const struct server *favored = server_favored(table, now_ms, wish, fits);
    table->rotation++;
    for (struct server *server = table->servers; server != NULL; server = server->hh.next) {
        if (!fits(server, wish, now_ms)) {
            continue;
        }
        uint64_t load = server_load(table, server, wish, now_ms, server == favored);
        uint64_t order = server_rank(server, table->rotation);
        if (idlest == NULL || load < least || (load == least && order > least_order)) {
            idlest = server;
            least = load;
            least_order = order;
        }
    }
    return idlest;
}

/* Reading a prompt anew costs all that run there: a program leaves its home only for a much idler server, or
 * when it fails. */
static bool server_should_leave(const struct server_table *table, const struct server *home, const struct server *other,
                                uint64_t now_ms)
{
    if (health_is_bad(server_failures(table, home, now_ms)) && !health_is_bad(server_failures(table, other, now_ms))) {
        return true;
    }
    uint32_t at_home = server_calls(table, home, now_ms);
    uint32_t elsewhere = server_calls(table, other, now_ms);
    return at_home >= server_slots(home) + SERVER_HOME_QUEUE && elsewhere + SERVER_LEAVE_CALLS <= at_home;
}

struct server *server_table_choose(struct server_table *table, uint64_t now_ms, const struct server_wish *wish)
{
    struct server *home = NULL;
    struct server *idlest = server_idlest(table, now_ms, wish, server_fits);
    if (idlest == NULL) {
        return server_idlest(table, now_ms, wish, server_may_do);
    }
    HASH_FIND_STR(table->servers, text_or_empty(wish->home), home);
    bool stays = home != NULL && server_fits(home, wish, now_ms) && !server_should_leave(table, home, idlest, now_ms);
    return stays ? home : idlest;
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
    if (!server->listed && server->calls == 0) {
        server_free(table, server);
    }
}
