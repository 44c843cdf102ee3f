#include "core/service_versions.h"

#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"

void service_versions_close(service_versions_t *versions)
{
    service_version_t *service;
    service_version_t *next;
    HASH_ITER(hh, versions->services, service, next)
    {
        HASH_DEL(versions->services, service);
        free(service->version);
        free(service);
    }
    versions->since_ms = 0;
}

static service_version_t *service_versions_find(const service_versions_t *versions, const char *name)
{
    service_version_t *service = NULL;
    HASH_FIND_STR(versions->services, name, service);
    return service;
}

static service_version_t *service_versions_add(service_versions_t *versions, const char *name, const char *version)
{
    size_t length = strlen(name);
    service_version_t *service = memory_new(sizeof(*service) + length + 1);
    memcpy(service->name, name, length);
    service->version = text_copy(version);
    HASH_ADD_STR(versions->services, name, service);
    return service;
}

void service_versions_count_server(service_versions_t *versions, const char *service, const char *version)
{
    service_version_t *known = service_versions_find(versions, service);
    if (known == NULL) {
        service_versions_add(versions, service, version);
    } else {
        known->several = known->several || !text_equal(known->version, version);
    }
}

static bool service_version_is(const service_version_t *service, const ServiceVersion *entry)
{
    bool same_version = entry->several || text_equal(service->version, text_or_empty(entry->version));
    return service->several == entry->several && same_version;
}

bool service_versions_has(const service_versions_t *versions, const ServiceVersion *entry)
{
    const service_version_t *service = service_versions_find(versions, text_or_empty(entry->service));
    return service != NULL && service_version_is(service, entry);
}

/* Group 0 may have run for long without these entries, in an earlier version of the daemons: then the past of the
 * services that it had is not known. A service that appears later has no past. */
static uint64_t service_versions_past_change(const service_versions_t *versions, uint64_t now_ms)
{
    bool group_is_new = versions->since_ms < SERVICE_VERSIONS_SETTLE_MS;
    return group_is_new || now_ms >= versions->since_ms + SERVICE_VERSIONS_SETTLE_MS ? 0 : now_ms;
}

bool service_versions_put(service_versions_t *versions, uint64_t now_ms, const ServiceVersion *entry)
{
    const char *name = text_or_empty(entry->service);
    service_version_t *service = service_versions_find(versions, name);
    if (service == NULL) {
        if (HASH_COUNT(versions->services) >= SERVICE_VERSIONS_MAX) {
            return false;
        }
        versions->since_ms = versions->since_ms == 0 ? now_ms : versions->since_ms;
        service = service_versions_add(versions, name, text_or_empty(entry->version));
        service->several = entry->several;
        service->changed_ms = service_versions_past_change(versions, now_ms);
        return true;
    }
    if (!service_version_is(service, entry)) {
        free(service->version);
        service->version = text_copy(text_or_empty(entry->version));
        service->several = entry->several;
        service->changed_ms = now_ms;
    }
    return true;
}

bool service_versions_is_settled(const service_versions_t *versions, uint64_t now_ms, const char *service,
                                 const char *version)
{
    const service_version_t *known = service_versions_find(versions, service);
    if (known == NULL || known->several || (version != NULL && !text_equal(known->version, version))) {
        return false;
    }
    return known->changed_ms == 0 || now_ms >= known->changed_ms + SERVICE_VERSIONS_SETTLE_MS;
}

/* ---- Snapshots ------------------------------------------------------------------------------------------ */

void service_versions_export(const service_versions_t *versions, SiteSnapshot *snapshot)
{
    size_t count = HASH_COUNT(versions->services);
    snapshot->versions_since_ms = versions->since_ms;
    if (count == 0) {
        return;
    }
    snapshot->service_versions = memory_new(count * sizeof(*snapshot->service_versions));
    for (service_version_t *service = versions->services; service != NULL; service = service->hh.next) {
        snapshot->service_versions[snapshot->service_versions_count++] = (ServiceVersionRecord){
            .service = service->name,
            .version = service->version,
            .several = service->several,
            .changed_ms = service->changed_ms,
        };
    }
}

void service_versions_free_export(SiteSnapshot *snapshot)
{
    free(snapshot->service_versions);
}

void service_versions_import(service_versions_t *versions, const SiteSnapshot *snapshot)
{
    versions->since_ms = snapshot->versions_since_ms;
    for (pb_size_t i = 0; i < snapshot->service_versions_count; i++) {
        const ServiceVersionRecord *record = &snapshot->service_versions[i];
        service_version_t *service =
            service_versions_add(versions, text_or_empty(record->service), text_or_empty(record->version));
        service->several = record->several;
        service->changed_ms = record->changed_ms;
    }
}
