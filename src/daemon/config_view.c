#include "daemon/config_view.h"

#include <stdlib.h>
#include <string.h>

#include <urcu-bp.h>

#include "base/message.h"

static struct config_view *config_current_view;

/* ---- Decoding ------------------------------------------------------------------ */

/* Describes the array of one resource kind in struct config_view. */
struct config_kind {
    const pb_msgdesc_t *fields;
    size_t size;
    size_t array_offset;
    size_t count_offset;
};

static const struct config_kind config_kinds[] = {
    [RESOURCE_SERVICE] = {Service_fields, sizeof(Service), offsetof(struct config_view, services),
                          offsetof(struct config_view, service_count)},
    [RESOURCE_POOL] = {Pool_fields, sizeof(Pool), offsetof(struct config_view, pools),
                       offsetof(struct config_view, pool_count)},
    [RESOURCE_POLICY] = {Policy_fields, sizeof(Policy), offsetof(struct config_view, policies),
                         offsetof(struct config_view, policy_count)},
    [RESOURCE_TENANT] = {Tenant_fields, sizeof(Tenant), offsetof(struct config_view, tenants),
                         offsetof(struct config_view, tenant_count)},
};
enum { CONFIG_KIND_COUNT = sizeof(config_kinds) / sizeof(config_kinds[0]) };

static char **config_kind_array(struct config_view *view, const struct config_kind *kind)
{
    return (char **)(void *)((char *)view + kind->array_offset);
}

static size_t *config_kind_count(struct config_view *view, const struct config_kind *kind)
{
    return (size_t *)(void *)((char *)view + kind->count_offset);
}

static void config_view_add(struct config_view *view, const struct config_item *item)
{
    const struct config_kind *kind = &config_kinds[item->kind];
    char **array = config_kind_array(view, kind);
    size_t *count = config_kind_count(view, kind);
    *array = memory_resize(*array, (*count + 1) * kind->size);
    char *element = *array + *count * kind->size;
    memset(element, 0, kind->size);
    if (message_decode(view_of(item->body, item->length), kind->fields, element)) {
        (*count)++;
    }
}

/* Compares by name, which is the first member of every kind. */
static int config_compare_names(const void *a, const void *b)
{
    return strcmp(text_or_empty(*(char *const *)a), text_or_empty(*(char *const *)b));
}

struct config_view *config_view_make(const struct config_store *store)
{
    struct config_view *view = memory_new(sizeof(*view));
    view->revision = store->revision;
    view->references = 1;
    for (const struct config_item *item = store->oldest; item != NULL; item = item->newer) {
        if (!item->deleted && (unsigned)item->kind < CONFIG_KIND_COUNT) {
            config_view_add(view, item);
        }
    }
    for (size_t i = 0; i < CONFIG_KIND_COUNT; i++) {
        char *array = *config_kind_array(view, &config_kinds[i]);
        size_t count = *config_kind_count(view, &config_kinds[i]);
        if (count > 1) {
            qsort(array, count, config_kinds[i].size, config_compare_names);
        }
    }
    return view;
}

static void config_view_free(struct config_view *view)
{
    for (size_t i = 0; i < CONFIG_KIND_COUNT; i++) {
        const struct config_kind *kind = &config_kinds[i];
        char *array = *config_kind_array(view, kind);
        size_t count = *config_kind_count(view, kind);
        for (size_t j = 0; j < count; j++) {
            message_free(kind->fields, array + j * kind->size);
        }
        free(array);
    }
    free(view);
}

/* ---- Publication ------------------------------------------------------------------ */

void config_view_publish(struct config_view *view)
{
    struct config_view *previous = rcu_xchg_pointer(&config_current_view, view);
    if (previous != NULL) {
        /* After the grace period no reader can pin the previous view any more. */
        synchronize_rcu();
        config_view_unpin(previous);
    }
}

struct config_view *config_view_pin(void)
{
    rcu_read_lock();
    struct config_view *view = rcu_dereference(config_current_view);
    if (view != NULL) {
        __atomic_add_fetch(&view->references, 1, __ATOMIC_RELAXED);
    }
    rcu_read_unlock();
    return view;
}

void config_view_unpin(struct config_view *view)
{
    if (view != NULL && __atomic_sub_fetch(&view->references, 1, __ATOMIC_ACQ_REL) == 0) {
        config_view_free(view);
    }
}

/* ---- Lookups ------------------------------------------------------------------------ */

static const void *config_lookup(const void *array, size_t count, size_t size, const char *name)
{
    const char *key = text_or_empty(name);
    return count == 0 ? NULL : bsearch(&key, array, count, size, config_compare_names);
}

const Service *config_view_service(const struct config_view *view, const char *name)
{
    return config_lookup(view->services, view->service_count, sizeof(Service), name);
}

const Pool *config_view_pool(const struct config_view *view, const char *name)
{
    return config_lookup(view->pools, view->pool_count, sizeof(Pool), name);
}

const Policy *config_view_policy(const struct config_view *view, const char *name)
{
    return config_lookup(view->policies, view->policy_count, sizeof(Policy), name);
}

const Tenant *config_view_tenant(const struct config_view *view, const char *name)
{
    return config_lookup(view->tenants, view->tenant_count, sizeof(Tenant), name);
}

const Pool *config_view_pool_of_model(const struct config_view *view, const char *model)
{
    for (size_t i = 0; i < view->pool_count; i++) {
        if (text_equal(view->pools[i].model, model)) {
            return &view->pools[i];
        }
    }
    return NULL;
}

const Tenant *config_view_tenant_of_key(const struct config_view *view, const char *api_key)
{
    for (size_t i = 0; i < view->tenant_count; i++) {
        if (text_equal(view->tenants[i].api_key, api_key)) {
            return &view->tenants[i];
        }
    }
    return NULL;
}
