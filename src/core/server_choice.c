/* Which server a request goes to. */
#include "core/server_table_internal.h"

#include <string.h>

#include <xxhash.h>

#include "base/buffer.h"

enum { SERVER_LOAD_SHIFT = 16 };

static bool server_region_is_allowed(const struct server *server, const struct server_wish *wish)
{
    bool allowed = true;
    for (int i = 0; i < SERVER_BINDS; i++) {
        allowed = allowed && (wish->regions[i] == NULL || route_regions_allow(wish->regions[i], server->region));
    }
    return allowed;
}

bool server_table_bars(const struct server_table *table, const struct server_wish *wish)
{
    bool barred = false;
    for (const struct server *server = table->servers; server != NULL; server = server->hh.next) {
        if (!text_equal(server->service, wish->service) || server_leaves(server)) {
            continue;
        }
        if (!server->zone_drained && server_region_is_allowed(server, wish)) {
            return false;
        }
        barred = true;
    }
    return barred;
}

/* May get requests at all. */
static bool server_is_open(const struct server *server, uint64_t now_ms)
{
    return !server_is_closed(server) && now_ms >= server->full_until_ms;
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

bool server_table_serves(const struct server_table *table, uint64_t now_ms, const char *service,
                         const struct server_wish *wish)
{
    for (const struct server *server = table->servers; server != NULL; server = server->hh.next) {
        if (text_equal(server->service, service) && server_is_open(server, now_ms) &&
            server_region_is_allowed(server, wish)) {
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
 * connection, the way to another zone, failures, a start, parts of the prompt to be read. */
static uint64_t server_load(const struct server_table *table, const struct server *server,
                            const struct server_wish *wish, uint64_t now_ms, bool favored)
{
    bool remote = !text_equal(server->zone, wish->zone);
    bool cold = wish->warm != NULL && !wish->warm(wish->context, server->address);
    uint64_t calls = server_calls(table, server, now_ms);
    calls += cold ? SERVER_COLD_CALLS : 0;
    calls += remote ? SERVER_REMOTE_CALLS : 0;
    calls += server_failure_calls(table, server, now_ms);
    calls += wish->may_start != NULL && server_is_starting(server, now_ms) ? server_slots(server) : 0;
    uint64_t reading = favored ? 0 : server_reading(server, wish, now_ms);
    return ((calls << SERVER_LOAD_SHIFT) + reading) / server_slots(server);
}

/* Where no server is sound, any open one is better than none. */
static bool server_may_do(const struct server *server, const struct server_wish *wish, uint64_t now_ms)
{
    bool fits = text_equal(server->service, wish->service) && server_is_open(server, now_ms) &&
                !server_was_tried(server, wish) && server_region_is_allowed(server, wish);
    bool held_back = fits && wish->may_start != NULL && server_is_starting(server, now_ms);
    return fits && (!held_back || wish->may_start(wish->context, server));
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
    struct server *idlest = server_idlest(table, now_ms, wish, server_fits);
    if (idlest == NULL) {
        return server_idlest(table, now_ms, wish, server_may_do);
    }
    struct server *home = server_table_life(table, wish->home);
    bool stays = home != NULL && server_fits(home, wish, now_ms) && !server_should_leave(table, home, idlest, now_ms);
    return stays ? home : idlest;
}

struct server *server_table_starting(struct server_table *table, uint64_t now_ms, const struct server_wish *wish)
{
    struct server *chosen = NULL;
    uint64_t highest = 0;
    table->rotation++;
    for (struct server *server = table->servers; server != NULL; server = server->hh.next) {
        bool fits = text_equal(server->service, wish->service) && server_is_starting(server, now_ms) &&
                    server_is_sound(server) && server_is_open(server, now_ms) && !server_was_tried(server, wish) &&
                    server_region_is_allowed(server, wish);
        uint64_t rank = fits ? server_rank(server, table->rotation) : 0;
        if (fits && (chosen == NULL || rank > highest)) {
            chosen = server;
            highest = rank;
        }
    }
    return chosen;
}
