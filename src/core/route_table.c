#include "core/route_table.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

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
    free(route->key);
    route_regions_close(&route->regions);
    free(route->name);
    free(route->host);
    free(route->prefix);
    for (uint32_t i = 0; i < route->backend_count; i++) {
        free(route->backends[i].service);
    }
    free(route->backends);
}

/* ---- Index -------------------------------------------------------------------- */

/* Items that are added move the arrays that the index points to. */
static void route_index_drop(struct route_table *table)
{
    HASH_CLEAR(hh, table->routes_by_key);
    HASH_CLEAR(hh, table->services_by_name);
    HASH_CLEAR(hh_hash, table->services_by_hash);
    HASH_CLEAR(hh, table->tenants_by_name);
    HASH_CLEAR(hh_hash, table->tenants_by_hash);
}

static void route_key_write(uint8_t *key, struct view host, struct view prefix)
{
    for (size_t i = 0; i < host.length; i++) {
        key[i] = (uint8_t)tolower(host.data[i]);
    }
    key[host.length] = '\0';
    if (prefix.length > 0) {
        memcpy(key + host.length + 1, prefix.data, prefix.length);
    }
}

static void route_set_key(struct route *route)
{
    struct view host = view_of_string(route->host);
    struct view prefix = view_of_string(route->prefix);
    route->key_length = host.length + 1 + prefix.length;
    route->key = memory_resize(route->key, route->key_length);
    route_key_write(route->key, host, prefix);
}

/* Each function below visits the items from the last to the first: the index then has the first of those with the same
 * key, which is followed by the others in order. */

static void route_index_routes(struct route_table *table)
{
    table->longest_prefix = 0;
    for (uint32_t i = table->route_count; i-- > 0;) {
        struct route *route = &table->routes[i];
        size_t length = strlen(route->prefix);
        route_set_key(route);
        table->longest_prefix = length > table->longest_prefix ? length : table->longest_prefix;
        HASH_FIND(hh, table->routes_by_key, route->key, route->key_length, route->next_same);
        if (route->next_same != NULL) {
            HASH_DEL(table->routes_by_key, route->next_same);
        }
        HASH_ADD_KEYPTR(hh, table->routes_by_key, route->key, route->key_length, route);
    }
}

static void route_index_services(struct route_table *table)
{
    for (uint32_t i = table->service_count; i-- > 0;) {
        struct route_service *service = &table->services[i];
        HASH_FIND_STR(table->services_by_name, service->name, service->next_same);
        if (service->next_same != NULL) {
            HASH_DEL(table->services_by_name, service->next_same);
        }
        HASH_ADD_KEYPTR(hh, table->services_by_name, service->name, strlen(service->name), service);
    }
}

static void route_index_tenants(struct route_table *table)
{
    for (uint32_t i = table->tenant_count; i-- > 0;) {
        struct route_tenant *tenant = &table->tenants[i];
        HASH_FIND_STR(table->tenants_by_name, tenant->name, tenant->next_same);
        if (tenant->next_same != NULL) {
            HASH_DEL(table->tenants_by_name, tenant->next_same);
        }
        HASH_ADD_KEYPTR(hh, table->tenants_by_name, tenant->name, strlen(tenant->name), tenant);
    }
}

static void route_index_build(struct route_table *table)
{
    route_index_drop(table);
    route_index_routes(table);
    route_index_services(table);
    route_index_tenants(table);
}

static struct route *route_index_find(const struct route_table *table, const void *key, size_t length)
{
    struct route *route = NULL;
    HASH_FIND(hh, table->routes_by_key, key, length, route);
    return route;
}

/* ---- Contents ------------------------------------------------------------------ */

void route_table_release(struct route_table *table)
{
    if (table == NULL || --table->references > 0) {
        return;
    }
    route_index_drop(table);
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

/* Returns the new, zeroed item. The capacity is the lowest power of two that holds all items. */
static void *route_array_append(void **items, uint32_t *count, size_t size)
{
    bool full = (*count & (*count - 1)) == 0;
    if (full) {
        *items = memory_resize(*items, (*count == 0 ? 1 : 2 * (size_t)*count) * size);
    }
    void *item = (char *)*items + *count * size;
    memset(item, 0, size);
    (*count)++;
    return item;
}

struct route *route_table_add_route(struct route_table *table)
{
    route_index_drop(table);
    return route_array_append((void **)&table->routes, &table->route_count, sizeof(*table->routes));
}

struct route_service *route_table_add_service(struct route_table *table)
{
    route_index_drop(table);
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
    route_index_drop(table);
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
    const struct route *same = route_index_find(table, route->key, route->key_length);
    for (; same != NULL && same != route && !findings->has_more; same = same->next_same) {
        findings_add(findings, location, "has the host and prefix of route %u", (uint32_t)(same - table->routes));
    }
    route_check_backends(table, route, location, findings);
}

static void route_set_tenant_hash(struct route_table *table, struct route_tenant *tenant)
{
    uint64_t hash = XXH64(tenant->name, strlen(tenant->name), 0);
    tenant->hash = hash == 0 ? 1 : hash;
    if (route_table_tenant_of_hash(table, tenant->hash) == NULL) {
        HASH_ADD(hh_hash, table->tenants_by_hash, hash, sizeof(tenant->hash), tenant);
    }
}

static void route_set_service_hash(struct route_table *table, struct route_service *service)
{
    service->hash = XXH64(service->name, strlen(service->name), 0);
    if (route_table_service_of_hash(table, service->hash) == NULL) {
        HASH_ADD(hh_hash, table->services_by_hash, hash, sizeof(service->hash), service);
    }
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
    const struct route_tenant *same = NULL;
    HASH_FIND_STR(table->tenants_by_name, tenant->name, same);
    for (; same != NULL && same != tenant && !findings->has_more; same = same->next_same) {
        findings_add(findings, location, "has the name of tenant %u", (uint32_t)(same - table->tenants));
    }
    route_set_tenant_hash(table, tenant);
}

static void route_check_service(struct route_table *table, struct route_service *service, struct findings *findings)
{
    route_set_service_hash(table, service);
    const struct route_service *same = route_table_service(table, service->name);
    for (; same != NULL && same != service && !findings->has_more; same = same->next_same) {
        findings_add(findings, service->name, "is the name of two services");
    }
}

void route_table_check(struct route_table *table, struct findings *findings)
{
    route_index_build(table);
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
        route_check_service(table, &table->services[i], findings);
    }
}

/* ---- Lookup -------------------------------------------------------------------- */

static struct view route_text_before(struct view text, char end)
{
    const uint8_t *at = text.length == 0 ? NULL : memchr(text.data, end, text.length);
    return at == NULL ? text : view_of(text.data, (size_t)(at - text.data));
}

struct route *route_table_find(const struct route_table *table, struct view host, struct view target)
{
    struct view name = route_text_before(host, ':');
    struct view path = route_text_before(target, '?');
    size_t longest = path.length < table->longest_prefix ? path.length : table->longest_prefix;
    uint8_t *key = memory_resize(NULL, name.length + 1 + longest);
    struct route *found = NULL;
    route_key_write(key, name, view_of(path.data, longest));
    for (size_t length = longest; length > 0 && found == NULL; length--) {
        if (path.data[length - 1] == '/') { /* as each prefix ends */
            found = route_index_find(table, key, name.length + 1 + length);
        }
    }
    free(key);
    return found;
}

const struct route_service *route_table_service(const struct route_table *table, const char *name)
{
    const struct route_service *service = NULL;
    HASH_FIND_STR(table->services_by_name, name, service);
    return service;
}

const struct route_tenant *route_table_tenant_of_hash(const struct route_table *table, uint64_t hash)
{
    const struct route_tenant *tenant = NULL;
    HASH_FIND(hh_hash, table->tenants_by_hash, &hash, sizeof(hash), tenant);
    return tenant;
}

const struct route_service *route_table_service_of_hash(const struct route_table *table, uint64_t hash)
{
    const struct route_service *service = NULL;
    HASH_FIND(hh_hash, table->services_by_hash, &hash, sizeof(hash), service);
    return service;
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
    bool same = a->backend_count == b->backend_count;
    for (uint32_t i = 0; same && i < a->backend_count; i++) {
        same = a->backends[i].weight == b->backends[i].weight &&
               strcmp(a->backends[i].service, b->backends[i].service) == 0;
    }
    return same;
}

static bool route_copy_credits(struct route *route, const struct route_table *previous)
{
    const struct route *old = previous == NULL ? NULL : route_index_find(previous, route->key, route->key_length);
    while (old != NULL && !route_has_same_backends(route, old)) {
        old = old->next_same;
    }
    for (uint32_t k = 0; old != NULL && k < route->backend_count; k++) {
        route->backends[k].credit = old->backends[k].credit;
    }
    return old != NULL;
}

static bool route_any_backend(void *context, const char *service)
{
    (void)context;
    (void)service;
    return true;
}

void route_table_init_credits(struct route_table *table, const struct route_table *previous, uint64_t random)
{
    if (table->routes_by_key == NULL) {
        route_index_routes(table);
    }
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
