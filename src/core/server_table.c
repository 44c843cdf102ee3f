#include "core/server_table.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/buffer.h"

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

void server_table_update(struct server_table *table, const ServerList *list)
{
    for (struct server *server = table->servers; server != NULL; server = server->hh.next) {
        server->listed = false;
    }
    for (pb_size_t i = 0; i < list->servers_count; i++) {
        const ServerRecord *record = &list->servers[i];
        struct server *server = NULL;
        HASH_FIND_STR(table->servers, text_or_empty(record->id), server);
        if (server == NULL) {
            server = server_add(table, record);
        }
        server->listed = true;
        server->slots = record->slots;
        server->draining = server->draining || record->draining;
    }
    server_forget_unlisted(table);
}

static bool server_is_usable(const struct server *server, uint64_t now_ms)
{
    return server->listed && !server->draining && !server->misplaced && now_ms >= server->full_until_ms &&
           circuit_allows(&server->circuit, now_ms);
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

bool server_table_serves(const struct server_table *table, uint64_t now_ms, const char *service)
{
    for (const struct server *server = table->servers; server != NULL; server = server->hh.next) {
        if (text_equal(server->service, service) && server_is_usable(server, now_ms)) {
            return true;
        }
    }
    return false;
}

/* Order of preference of a program, the same at every gateway: rendezvous hashing. */
static uint64_t server_rank(const struct server *server, uint64_t affinity)
{
    uint64_t material[2] = {server->hash, affinity};
    return XXH64(material, sizeof(material), 0);
}

/* Own calls there per slot, in a scale that keeps fractions; the own zone wins ties. */
static uint64_t server_load(const struct server *server, const struct server_wish *wish)
{
    uint64_t slots = server->slots == 0 ? 1 : server->slots;
    uint64_t remote = text_equal(server->zone, wish->zone) ? 0 : 1;
    return ((uint64_t)server->calls << 16) / slots * 2 + remote;
}

struct server *server_table_choose(struct server_table *table, uint64_t now_ms, const struct server_wish *wish)
{
    struct server *home = NULL;
    struct server *idlest = NULL;
    uint64_t home_rank = 0;
    uint64_t least = 0;
    uint64_t turn = 0;
    table->rotation++;
    for (struct server *server = table->servers; server != NULL; server = server->hh.next) {
        bool fits = text_equal(server->service, wish->service) && server_is_usable(server, now_ms) &&
                    !server_was_tried(server, wish);
        if (!fits) {
            continue;
        }
        uint64_t rank = server_rank(server, wish->affinity);
        bool room = server->calls < SERVER_HOME_CALLS;
        if (wish->affinity != 0 && room && (home == NULL || rank > home_rank)) {
            home = server;
            home_rank = rank;
        }
        uint64_t load = server_load(server, wish);
        uint64_t order = server_rank(server, table->rotation);
        if (idlest == NULL || load < least || (load == least && order > turn)) {
            idlest = server;
            least = load;
            turn = order;
        }
    }
    return home != NULL ? home : idlest;
}

void server_begin(struct server *server)
{
    server->calls++;
}

void server_end(struct server_table *table, struct server *server)
{
    server->calls--;
    if (!server->listed && server->calls == 0) {
        server_free(table, server);
    }
}
