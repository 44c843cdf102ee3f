#include "core/route_table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <xxhash.h>

#include "base/buffer.h"

static uint64_t route_key_secret;

enum {
    ROUTE_CREDIT_OFFSETS = 101, /* possible start offsets of the round robin */
    ROUTE_RANDOM_SHIFTS = 48 /* route i shifts the random number by i modulo this, so that routes use different bits */
};

struct route_table *route_table_new(void)
{
    struct route_table *table = memory_new(sizeof(*table));
    table->references = 1;
    return table;
}

struct route_table *route_table_retain(struct route_table *table)
{
    table->references++;
    return table;
}

static void route_regions_close(route_regions_t *regions)
{
    for (uint32_t i = 0; i < regions->count; i++) {
        free(regions->names[i]);
    }
    free(regions->names);
}

static void route_close(struct route *route)
{
    route_regions_close(&route->regions);
    free(route->name);
    free(route->host);
    free(route->prefix);
    for (uint32_t i = 0; i < route->backend_count; i++) {
        free(route->backends[i].service);
    }
    free(route->backends);
}

void route_table_release(struct route_table *table)
{
    if (table == NULL || --table->references > 0) {
        return;
    }
    for (uint32_t i = 0; i < table->route_count; i++) {
        route_close(&table->routes[i]);
    }
    for (uint32_t i = 0; i < table->service_count; i++) {
        free(table->services[i].name);
        free(table->services[i].health_path);
    }
    for (uint32_t i = 0; i < table->tenant_count; i++) {
        free(table->tenants[i].name);
        route_regions_close(&table->tenants[i].regions);
    }
    struct route_key *key;
    struct route_key *next;
    HASH_ITER(hh, table->keys, key, next)
    {
        HASH_DEL(table->keys, key);
        free(key);
    }
    free(table->routes);
    free(table->services);
    free(table->tenants);
    free(table);
}

/* Returns the new, zeroed item. */
static void *route_array_append(void **items, uint32_t *count, size_t size)
{
    *items = memory_resize(*items, (*count + 1) * size);
    void *item = (char *)*items + *count * size;
    memset(item, 0, size);
    (*count)++;
    return item;
}

struct route *route_table_add_route(struct route_table *table)
{
    return route_array_append((void **)&table->routes, &table->route_count, sizeof(*table->routes));
}

struct route_service *route_table_add_service(struct route_table *table)
{
    return route_array_append((void **)&table->services, &table->service_count, sizeof(*table->services));
}

struct route_backend *route_add_backend(struct route *route)
{
    return route_array_append((void **)&route->backends, &route->backend_count, sizeof(*route->backends));
}

/* ---- Regions ------------------------------------------------------------------ */

void route_regions_add(route_regions_t *regions, const char *name)
{
    regions->names = memory_resize(regions->names, (regions->count + 1) * sizeof(*regions->names));
    regions->names[regions->count++] = text_copy(name);
}

bool route_regions_allow(const route_regions_t *regions, const char *name)
{
    for (uint32_t i = 0; i < regions->count; i++) {
        if (name != NULL && strcmp(regions->names[i], name) == 0) {
            return true;
        }
    }
    return regions->count == 0;
}

/* ---- Tenants ------------------------------------------------------------------ */

void route_table_set_secret(uint64_t secret)
{
    route_key_secret = secret;
}

struct route_tenant *route_table_add_tenant(struct route_table *table)
{
    table->has_tenants = true;
    return route_array_append((void **)&table->tenants, &table->tenant_count, sizeof(*table->tenants));
}

static void route_hash_key(struct view key, uint8_t hash[ROUTE_KEY_BYTES])
{
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, XXH3_128bits_withSeed(key.data, key.length, route_key_secret));
    memcpy(hash, canonical.digest, ROUTE_KEY_BYTES);
}

static struct route_key *route_find_key(const struct route_table *table, struct view key)
{
    uint8_t hash[ROUTE_KEY_BYTES];
    struct route_key *found = NULL;
    route_hash_key(key, hash);
    HASH_FIND(hh, table->keys, hash, ROUTE_KEY_BYTES, found);
    return found;
}

bool route_table_add_key(struct route_table *table, struct view key)
{
    uint32_t tenant = table->tenant_count - 1;
    struct route_key *entry = route_find_key(table, key);
    if (entry != NULL) {
        return entry->tenant == tenant;
    }
    entry = memory_new(sizeof(*entry));
    route_hash_key(key, entry->hash);
    entry->tenant = tenant;
    HASH_ADD(hh, table->keys, hash, ROUTE_KEY_BYTES, entry);
    table->tenants[tenant].key_count++;
    return true;
}

const struct route_tenant *route_table_tenant(const struct route_table *table, struct view key)
{
    const struct route_key *entry = route_find_key(table, key);
    return entry == NULL ? NULL : &table->tenants[entry->tenant];
}

/* ---- Validation --------------------------------------------------------------- */

static void route_check_backends(const struct route_table *table, const struct route *route, const char *location,
                                 struct findings *findings)
{
    uint64_t weights = 0;
    for (uint32_t i = 0; i < route->backend_count; i++) {
        weights += route->backends[i].weight;
        if (route_table_service(table, route->backends[i].service) == NULL) {
            findings_add(findings, location, "names the unknown service '%s'", route->backends[i].service);
        }
    }
    if (weights == 0) {
        findings_add(findings, location, "its weights add up to 0");
    }
}

static void route_check(const struct route_table *table, uint32_t position, struct findings *findings)
{
    const struct route *route = &table->routes[position];
    char location[64];
    snprintf(location, sizeof(location), "route %u (%.40s)", position, route->name);
    size_t length = strlen(route->prefix);
    if (route->host[0] == '\0') {
        findings_add(findings, location, "has no host");
    }
    if (length == 0 || route->prefix[0] != '/' || route->prefix[length - 1] != '/') {
        findings_add(findings, location, "its prefix must begin and end with a slash");
    }
    if (route->timeout_ms == 0) {
        findings_add(findings, location, "its timeout is 0");
    }
    for (uint32_t i = 0; i < position; i++) {
        const struct route *other = &table->routes[i];
        if (strcasecmp(other->host, route->host) == 0 && strcmp(other->prefix, route->prefix) == 0) {
            findings_add(findings, location, "has the host and prefix of route %u", i);
        }
    }
    route_check_backends(table, route, location, findings);
}

static void route_check_tenant(struct route_table *table, uint32_t position, struct findings *findings)
{
    struct route_tenant *tenant = &table->tenants[position];
    char location[64];
    snprintf(location, sizeof(location), "tenant %u (%.40s)", position, tenant->name);
    if (tenant->name[0] == '\0') {
        findings_add(findings, location, "has no name");
    }
    if (strpbrk(tenant->name, "\r\n") != NULL) {
        findings_add(findings, location, "its name has a line break");
    }
    for (uint32_t i = 0; i < position; i++) {
        if (strcmp(table->tenants[i].name, tenant->name) == 0) {
            findings_add(findings, location, "has the name of tenant %u", i);
        }
    }
    uint64_t hash = XXH64(tenant->name, strlen(tenant->name), 0);
    tenant->hash = hash == 0 ? 1 : hash;
}

void route_table_check(struct route_table *table, struct findings *findings)
{
    for (uint32_t i = 0; i < table->tenant_count; i++) {
        route_check_tenant(table, i, findings);
    }
    if (table->version == 0) {
        findings_add(findings, "version", "must be a number above 0");
    }
    for (uint32_t i = 0; i < table->route_count; i++) {
        route_check(table, i, findings);
    }
    for (uint32_t i = 0; i < table->service_count; i++) {
        struct route_service *service = &table->services[i];
        service->hash = XXH64(service->name, strlen(service->name), 0);
        for (uint32_t k = 0; k < i; k++) {
            if (strcmp(table->services[i].name, table->services[k].name) == 0) {
                findings_add(findings, table->services[i].name, "is the name of two services");
            }
        }
    }
}

/* ---- Lookup -------------------------------------------------------------------- */

static bool route_host_matches(const struct route *route, struct view host)
{
    return strlen(route->host) == host.length && strncasecmp(route->host, (const char *)host.data, host.length) == 0;
}

static struct view route_text_before(struct view text, char end)
{
    const uint8_t *at = text.length == 0 ? NULL : memchr(text.data, end, text.length);
    return at == NULL ? text : view_of(text.data, (size_t)(at - text.data));
}

struct route *route_table_find(const struct route_table *table, struct view host, struct view target)
{
    struct view name = route_text_before(host, ':');
    struct view path = route_text_before(target, '?');
    struct route *best = NULL;
    size_t best_length = 0;
    for (uint32_t i = 0; i < table->route_count; i++) {
        struct route *route = &table->routes[i];
        size_t length = strlen(route->prefix);
        bool longer = best == NULL || length > best_length;
        if (longer && length <= path.length && memcmp(route->prefix, path.data, length) == 0 &&
            route_host_matches(route, name)) {
            best = route;
            best_length = length;
        }
    }
    return best;
}

const struct route_service *route_table_service(const struct route_table *table, const char *name)
{
    for (uint32_t i = 0; i < table->service_count; i++) {
        if (strcmp(table->services[i].name, name) == 0) {
            return &table->services[i];
        }
    }
    return NULL;
}

const struct route_backend *route_choose_backend(struct route *route,
                                                 bool (*usable)(void *context, const char *service), void *context)
{
    struct route_backend *best = NULL;
    int64_t total = 0;
    for (uint32_t i = 0; i < route->backend_count; i++) {
        struct route_backend *backend = &route->backends[i];
        if (backend->weight == 0 || !usable(context, backend->service)) {
            continue;
        }
        backend->credit += backend->weight;
        total += backend->weight;
        best = best == NULL || backend->credit > best->credit ? backend : best;
    }
    if (best != NULL) {
        best->credit -= total;
    }
    return best;
}

static bool route_has_same_backends(const struct route *a, const struct route *b)
{
    bool same =
        a->backend_count == b->backend_count && strcasecmp(a->host, b->host) == 0 && strcmp(a->prefix, b->prefix) == 0;
    for (uint32_t i = 0; same && i < a->backend_count; i++) {
        same = a->backends[i].weight == b->backends[i].weight &&
               strcmp(a->backends[i].service, b->backends[i].service) == 0;
    }
    return same;
}

static bool route_copy_credits(struct route *route, const struct route_table *previous)
{
    for (uint32_t i = 0; previous != NULL && i < previous->route_count; i++) {
        const struct route *old = &previous->routes[i];
        if (!route_has_same_backends(route, old)) {
            continue;
        }
        for (uint32_t k = 0; k < route->backend_count; k++) {
            route->backends[k].credit = old->backends[k].credit;
        }
        return true;
    }
    return false;
}

static bool route_any_backend(void *context, const char *service)
{
    (void)context;
    (void)service;
    return true;
}

void route_table_init_credits(struct route_table *table, const struct route_table *previous, uint64_t random)
{
    for (uint32_t i = 0; i < table->route_count; i++) {
        struct route *route = &table->routes[i];
        if (route->backend_count < 2 || route_copy_credits(route, previous)) {
            continue;
        }
        uint64_t rounds = (random >> (i % ROUTE_RANDOM_SHIFTS)) % ROUTE_CREDIT_OFFSETS;
        for (uint64_t k = 0; k < rounds; k++) {
            route_choose_backend(route, route_any_backend, NULL);
        }
    }
}

bool route_may_repeat(const struct route *route)
{
    return route->kind == ROUTE_SAFE || (route->kind == ROUTE_STREAM && route->resumable);
}
