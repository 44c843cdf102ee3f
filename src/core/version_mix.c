#include "core/version_mix.h"

#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"

void version_mix_close(version_mix_t *mix)
{
    version_mix_service_t *service;
    version_mix_service_t *next;
    HASH_ITER(hh, mix->services, service, next)
    {
        HASH_DEL(mix->services, service);
        free(service->version);
        free(service);
    }
}

static version_mix_service_t *version_mix_find(const version_mix_t *mix, const char *name)
{
    version_mix_service_t *service = NULL;
    HASH_FIND_STR(mix->services, name, service);
    return service;
}

static version_mix_service_t *version_mix_add(version_mix_t *mix, const struct server *server)
{
    size_t length = strlen(server->service);
    version_mix_service_t *service = memory_new(sizeof(*service) + length + 1);
    memcpy(service->name, server->service, length);
    service->version = text_copy(server->version);
    HASH_ADD_STR(mix->services, name, service);
    return service;
}

/* Counts a listed server; the first one of the service determines the version that the others are compared with. */
static void version_mix_count_server(version_mix_t *mix, const struct server *server, uint64_t now_ms)
{
    version_mix_service_t *service = version_mix_find(mix, server->service);
    service = service == NULL ? version_mix_add(mix, server) : service;
    bool same = text_equal(service->version, server->version);
    service->changed_ms = same ? service->changed_ms : now_ms;
    service->several = service->in_update && (service->several || !same);
    if (!service->in_update && !same) {
        free(service->version);
        service->version = text_copy(server->version);
    }
    service->in_update = true;
}

void version_mix_update(version_mix_t *mix, const struct server_table *table, uint64_t now_ms)
{
    for (version_mix_service_t *service = mix->services; service != NULL; service = service->hh.next) {
        service->changed_ms = service->several ? now_ms : service->changed_ms;
        service->in_update = false;
        service->several = false;
    }
    for (const struct server *server = table->servers; server != NULL; server = server->hh.next) {
        if (server->listed) {
            version_mix_count_server(mix, server, now_ms);
        }
    }
}

static bool version_mix_service_is_mixed(const version_mix_service_t *service, uint64_t now_ms)
{
    bool lingers = service->changed_ms != 0 && now_ms < service->changed_ms + VERSION_MIX_LINGER_MS;
    return service->several || lingers;
}

bool version_mix_has(const version_mix_t *mix, const char *service, uint64_t now_ms)
{
    const version_mix_service_t *known = service == NULL ? NULL : version_mix_find(mix, service);
    return known != NULL && version_mix_service_is_mixed(known, now_ms);
}

const char *version_mix_only(const version_mix_t *mix, const char *service)
{
    const version_mix_service_t *known = version_mix_find(mix, service);
    return known == NULL || known->several ? "" : known->version;
}

uint32_t version_mix_count(const version_mix_t *mix, uint64_t now_ms)
{
    uint32_t count = 0;
    for (const version_mix_service_t *service = mix->services; service != NULL; service = service->hh.next) {
        count += version_mix_service_is_mixed(service, now_ms) ? 1 : 0;
    }
    return count;
}
