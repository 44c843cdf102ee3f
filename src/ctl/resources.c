/* Parses resources from command-line arguments and prints them as JSON and tables. */
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/ctl.h"

enum { CTL_MAX_LIST_PARTS = 5, CTL_CELL_SIZE = 48 };

static const struct ctl_field service_fields[] = {
    {"name", CTL_TEXT, offsetof(Service, name)},
    {"timeout_ms", CTL_UINT32, offsetof(Service, timeout_ms)},
    {"backend", CTL_BACKENDS, 0},
    {NULL, CTL_TEXT, 0},
};
static const struct ctl_field pool_fields[] = {
    {"name", CTL_TEXT, offsetof(Pool, name)},
    {"model", CTL_TEXT, offsetof(Pool, model)},
    {"engine", CTL_ENGINES, 0},
    {NULL, CTL_TEXT, 0},
};
static const struct ctl_field policy_fields[] = {
    {"name", CTL_TEXT, offsetof(Policy, name)},
    {"pool", CTL_TEXT, offsetof(Policy, pool)},
    {"placement", CTL_PLACEMENT, offsetof(Policy, placement)},
    {"max_turns", CTL_UINT32, offsetof(Policy, max_turns)},
    {"default_budget_tokens", CTL_UINT64, offsetof(Policy, default_budget_tokens)},
    {"max_attempts", CTL_UINT32, offsetof(Policy, max_attempts)},
    {"call_timeout_ms", CTL_UINT32, offsetof(Policy, call_timeout_ms)},
    {"max_identical_calls", CTL_UINT32, offsetof(Policy, max_identical_calls)},
    {NULL, CTL_TEXT, 0},
};
static const struct ctl_field tenant_fields[] = {
    {"name", CTL_TEXT, offsetof(Tenant, name)},
    {"api_key", CTL_TEXT, offsetof(Tenant, api_key)},
    {"weight", CTL_UINT32, offsetof(Tenant, weight)},
    {"tokens_per_second", CTL_UINT64, offsetof(Tenant, tokens_per_second)},
    {"burst_tokens", CTL_UINT64, offsetof(Tenant, burst_tokens)},
    {"max_concurrent_calls", CTL_UINT32, offsetof(Tenant, max_concurrent_calls)},
    {"default_policy", CTL_TEXT, offsetof(Tenant, default_policy)},
    {NULL, CTL_TEXT, 0},
};
static const struct ctl_kind ctl_kinds[] = {
    {"service", "Service", "Services", Service_fields, sizeof(Service), service_fields},
    {"pool", "Pool", "Pools", Pool_fields, sizeof(Pool), pool_fields},
    {"policy", "Policy", "Policies", Policy_fields, sizeof(Policy), policy_fields},
    {"tenant", "Tenant", "Tenants", Tenant_fields, sizeof(Tenant), tenant_fields},
};
/* Indexed by Placement. */
static const char *const placement_names[] = {"cache-affinity", "round-robin", "least-loaded", "sticky"};
enum { PLACEMENT_COUNT = sizeof(placement_names) / sizeof(placement_names[0]) };

const struct ctl_kind *ctl_kind_find(const char *name)
{
    for (size_t i = 0; i < sizeof(ctl_kinds) / sizeof(ctl_kinds[0]); i++) {
        if (strcmp(ctl_kinds[i].name, name) == 0) {
            return &ctl_kinds[i];
        }
    }
    return NULL;
}

/* ---- Parsing ---------------------------------------------------------------------- */

/* Splits comma-separated text in place and returns the number of parts; ignores parts beyond the limit. */
static int ctl_split(char *text, char *parts[CTL_MAX_LIST_PARTS])
{
    int count = 0;
    char *rest = text;
    while (rest != NULL && count < CTL_MAX_LIST_PARTS) {
        parts[count++] = strsep(&rest, ",");
    }
    return count;
}

static bool ctl_add_engine(Pool *pool, const char *value)
{
    char *text = text_copy(value);
    char *parts[CTL_MAX_LIST_PARTS] = {0};
    int count = ctl_split(text, parts);
    if (count >= 2) {
        pool->engines = memory_resize(pool->engines, (pool->engines_count + 1U) * sizeof(Engine));
        Engine *engine = &pool->engines[pool->engines_count++];
        memset(engine, 0, sizeof(*engine));
        engine->name = text_copy(parts[0]);
        engine->base_url = text_copy(parts[1]);
        engine->zone = count > 2 ? text_copy(parts[2]) : NULL;
        engine->weight = count > 3 ? (uint32_t)strtoul(parts[3], NULL, 10) : 1;
        engine->draining = count > 4 && strcmp(parts[4], "draining") == 0;
    }
    free(text);
    return count >= 2;
}

static bool ctl_add_backend(Service *service, const char *value)
{
    char *text = text_copy(value);
    char *parts[CTL_MAX_LIST_PARTS] = {0};
    int count = ctl_split(text, parts);
    if (count >= 2) {
        service->backends = memory_resize(service->backends, (service->backends_count + 1U) * sizeof(Backend));
        Backend *backend = &service->backends[service->backends_count++];
        memset(backend, 0, sizeof(*backend));
        backend->name = text_copy(parts[0]);
        backend->base_url = text_copy(parts[1]);
        backend->zone = count > 2 ? text_copy(parts[2]) : NULL;
        backend->draining = count > 3 && strcmp(parts[3], "draining") == 0;
    }
    free(text);
    return count >= 2;
}

static bool ctl_parse_placement(const char *value, Placement *placement)
{
    for (int i = 0; i < PLACEMENT_COUNT; i++) {
        if (strcmp(placement_names[i], value) == 0) {
            *placement = (Placement)i;
            return true;
        }
    }
    return false;
}

static bool ctl_parse_number(const char *value, uint64_t max, uint64_t *number)
{
    char *end = NULL;
    *number = strtoull(value, &end, 10);
    return value[0] >= '0' && value[0] <= '9' && *end == '\0' && *number <= max;
}

static bool ctl_set_field(const struct ctl_field *field, void *resource, const char *value)
{
    void *member = (char *)resource + field->offset;
    uint64_t number = 0;
    switch (field->type) {
    case CTL_TEXT:
        free(*(char **)member);
        *(char **)member = text_copy(value);
        return true;
    case CTL_UINT32:
        if (!ctl_parse_number(value, UINT32_MAX, &number)) {
            return false;
        }
        *(uint32_t *)member = (uint32_t)number;
        return true;
    case CTL_UINT64: return ctl_parse_number(value, UINT64_MAX, member);
    case CTL_PLACEMENT: return ctl_parse_placement(value, member);
    case CTL_ENGINES: return ctl_add_engine(resource, value);
    case CTL_BACKENDS: return ctl_add_backend(resource, value);
    default: return false;
    }
}

static bool ctl_parse_argument(const struct ctl_kind *kind, void *resource, const char *argument)
{
    const char *equals = strchr(argument, '=');
    for (const struct ctl_field *field = kind->fields; equals != NULL && field->key != NULL; field++) {
        size_t length = (size_t)(equals - argument);
        if (strlen(field->key) == length && strncmp(field->key, argument, length) == 0) {
            if (!ctl_set_field(field, resource, equals + 1)) {
                fprintf(stderr, "bankbankctl: '%s': invalid value\n", argument);
                return false;
            }
            return true;
        }
    }
    fprintf(stderr, "bankbankctl: '%s': expected FIELD=VALUE with a field of kind %s\n", argument, kind->name);
    return false;
}

bool ctl_resource_parse(const struct ctl_kind *kind, void *resource, int count, char **arguments)
{
    bool valid = true;
    for (int i = 0; i < count; i++) {
        valid = ctl_parse_argument(kind, resource, arguments[i]) && valid;
    }
    return valid;
}

/* ---- Printing ----------------------------------------------------------------------- */

static json_t *ctl_engines_json(const Pool *pool)
{
    json_t *list = json_array();
    for (pb_size_t i = 0; i < pool->engines_count; i++) {
        const Engine *engine = &pool->engines[i];
        json_array_append_new(list, json_pack("{s:s,s:s,s:s,s:i,s:b}", "name", text_or_empty(engine->name), "base_url",
                                              text_or_empty(engine->base_url), "zone", text_or_empty(engine->zone),
                                              "weight", (int)engine->weight, "draining", engine->draining));
    }
    return list;
}

static json_t *ctl_backends_json(const Service *service)
{
    json_t *list = json_array();
    for (pb_size_t i = 0; i < service->backends_count; i++) {
        const Backend *backend = &service->backends[i];
        json_array_append_new(list, json_pack("{s:s,s:s,s:s,s:b}", "name", text_or_empty(backend->name), "base_url",
                                              text_or_empty(backend->base_url), "zone", text_or_empty(backend->zone),
                                              "draining", backend->draining));
    }
    return list;
}

static json_t *ctl_field_json(const struct ctl_field *field, const void *resource)
{
    const void *member = (const char *)resource + field->offset;
    switch (field->type) {
    case CTL_TEXT: return json_string(text_or_empty(*(char *const *)member));
    case CTL_UINT32: return json_integer(*(const uint32_t *)member);
    case CTL_UINT64: return json_integer((json_int_t) * (const uint64_t *)member);
    case CTL_PLACEMENT: {
        Placement placement = *(const Placement *)member;
        return json_string((int)placement < PLACEMENT_COUNT ? placement_names[placement] : "unknown");
    }
    case CTL_ENGINES: return ctl_engines_json(resource);
    case CTL_BACKENDS: return ctl_backends_json(resource);
    default: return json_null();
    }
}

json_t *ctl_resource_json(const struct ctl_kind *kind, const void *resource)
{
    json_t *object = json_object();
    for (const struct ctl_field *field = kind->fields; field->key != NULL; field++) {
        json_object_set_new(object, field->key, ctl_field_json(field, resource));
    }
    return object;
}

static void ctl_print_cell(const json_t *value)
{
    char cell[CTL_CELL_SIZE];
    if (json_is_string(value)) {
        snprintf(cell, sizeof(cell), "%s", json_string_value(value));
    } else if (json_is_array(value)) {
        snprintf(cell, sizeof(cell), "%zu", json_array_size(value));
    } else {
        snprintf(cell, sizeof(cell), "%lld", (long long)json_integer_value(value));
    }
    printf("%-22s ", cell);
}

void ctl_print_table(const struct ctl_kind *kind, const json_t *list)
{
    for (const struct ctl_field *field = kind->fields; field->key != NULL; field++) {
        printf("%-22s ", field->key);
    }
    printf("\n");
    for (size_t i = 0; i < json_array_size(list); i++) {
        for (const struct ctl_field *field = kind->fields; field->key != NULL; field++) {
            ctl_print_cell(json_object_get(json_array_get(list, i), field->key));
        }
        printf("\n");
    }
}
