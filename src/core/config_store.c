#include "core/config_store.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

void config_store_init(struct config_store *store)
{
    memset(store, 0, sizeof(*store));
    store->revision = 1;
}

static char *config_key(ResourceKind kind, const char *name)
{
    struct buffer key = {0};
    buffer_printf(&key, "%d/%s", (int)kind, text_or_empty(name));
    return buffer_text(&key);
}

static void config_unlink(struct config_store *store, struct config_item *item)
{
    if (item->older != NULL) {
        item->older->newer = item->newer;
    } else {
        store->oldest = item->newer;
    }
    if (item->newer != NULL) {
        item->newer->older = item->older;
    } else {
        store->newest = item->older;
    }
}

static void config_link_newest(struct config_store *store, struct config_item *item)
{
    item->newer = NULL;
    item->older = store->newest;
    if (item->older == NULL) {
        store->oldest = item;
    } else {
        item->older->newer = item;
    }
    store->newest = item;
}

static void config_item_remove(struct config_store *store, struct config_item *item)
{
    /* Every item of the list is in the hash table, which the analyzer cannot know. */
    HASH_DEL(store->items, item); // NOLINT(clang-analyzer-core.NullDereference)
    config_unlink(store, item);
    store->tombstones -= item->deleted ? 1 : 0;
    free(item->key);
    free(item->name);
    free(item->body);
    free(item);
}

static void config_request_remove(struct config_store *store, struct config_request *request)
{
    HASH_DEL(store->requests, request);
    free(request->id);
    free(request);
}

static void config_store_clear_items(struct config_store *store)
{
    while (store->oldest != NULL) {
        config_item_remove(store, store->oldest);
    }
}

void config_store_close(struct config_store *store)
{
    config_store_clear_items(store);
    while (store->requests != NULL) {
        config_request_remove(store, store->requests);
    }
}

static struct config_item *config_item_find(const struct config_store *store, ResourceKind kind, const char *name)
{
    char *key = config_key(kind, name);
    struct config_item *item = NULL;
    HASH_FIND_STR(store->items, key, item);
    free(key);
    return item;
}

const struct config_item *config_store_find(const struct config_store *store, ResourceKind kind, const char *name)
{
    const struct config_item *item = config_item_find(store, kind, name);
    return item == NULL || item->deleted ? NULL : item;
}

/* Creates or replaces an item. If `deleted`, it becomes a tombstone and `body` is ignored. */
static void config_item_set(struct config_store *store, ResourceKind kind, const char *name, struct view body,
                            bool deleted, uint64_t revision)
{
    struct config_item *item = config_item_find(store, kind, name);
    if (item == NULL) {
        item = memory_new(sizeof(*item));
        item->key = config_key(kind, name);
        item->kind = kind;
        item->name = text_copy(name);
        HASH_ADD_KEYPTR(hh, store->items, item->key, strlen(item->key), item);
    } else {
        config_unlink(store, item);
        store->tombstones -= item->deleted ? 1 : 0;
        free(item->body);
    }
    item->body = deleted ? NULL : (uint8_t *)memory_copy(body.data, body.length);
    item->length = deleted ? 0 : body.length;
    item->deleted = deleted;
    item->revision = revision;
    store->tombstones += deleted ? 1 : 0;
    config_link_newest(store, item);
}

static void config_drop_tombstones(struct config_store *store)
{
    struct config_item *item = store->oldest;
    while (item != NULL && store->tombstones > CONFIG_MAX_TOMBSTONES) {
        struct config_item *next = item->newer;
        if (item->deleted) {
            store->compacted_revision = item->revision;
            config_item_remove(store, item);
        }
        item = next;
    }
}

static uint64_t config_change_hash(const ConfigChange *change)
{
    uint64_t seed = ((uint64_t)change->operation << 32) | (uint64_t)change->kind;
    const char *name = text_or_empty(change->name);
    uint64_t hash = XXH64(name, strlen(name), seed ^ change->expected_revision);
    return XXH64(change->body.data, change->body.length, hash);
}

static void config_record_request(struct config_store *store, const ConfigChange *change, uint64_t hash,
                                  const EntryResult *result)
{
    struct config_request *request = memory_new(sizeof(*request));
    request->id = text_copy(change->request_id);
    request->hash = hash;
    request->code = result->code;
    request->revision = result->revision;
    HASH_ADD_KEYPTR(hh, store->requests, request->id, strlen(request->id), request);
    if (HASH_COUNT(store->requests) > CONFIG_REMEMBERED_REQUESTS) {
        config_request_remove(store, store->requests);
    }
}

static ResultCode config_check(const struct config_store *store, const ConfigChange *change, const char **message)
{
    size_t name_length = strlen(text_or_empty(change->name));
    if (name_length == 0 || name_length > CONFIG_NAME_MAX) {
        *message = "the name is empty or too long";
        return RESULT_INVALID;
    }
    if (change->expected_revision != 0 && change->expected_revision != store->revision) {
        *message = "the configuration is at another revision";
        return RESULT_ABORTED;
    }
    bool exists = config_store_find(store, change->kind, change->name) != NULL;
    if (change->operation == CONFIG_CREATE && exists) {
        *message = "a resource with this name exists";
        return RESULT_ALREADY_EXISTS;
    }
    if (change->operation != CONFIG_CREATE && !exists) {
        *message = "no such resource";
        return RESULT_NOT_FOUND;
    }
    return RESULT_OK;
}

void config_store_apply(struct config_store *store, const ConfigChange *change, EntryResult *result)
{
    uint64_t hash = config_change_hash(change);
    bool has_id = text_or_empty(change->request_id)[0] != '\0';
    struct config_request *previous = NULL;
    if (has_id) {
        HASH_FIND_STR(store->requests, change->request_id, previous);
    }
    if (previous != NULL) {
        result->code = previous->hash == hash ? previous->code : RESULT_CONFLICT;
        result->revision = previous->revision;
        result->message = (char *)(uintptr_t)(previous->hash == hash ? "answered before"
                                                                     : "the request id was used for another change");
        return;
    }
    const char *message = NULL;
    result->code = config_check(store, change, &message);
    result->message = (char *)(uintptr_t)message;
    if (result->code == RESULT_OK) {
        store->revision++;
        bool deleted = change->operation == CONFIG_DELETE;
        config_item_set(store, change->kind, change->name, change->body, deleted, store->revision);
        config_drop_tombstones(store);
    }
    result->revision = store->revision;
    if (has_id) {
        config_record_request(store, change, hash, result);
    }
}

void config_store_read(const struct config_store *store, uint64_t from_revision, ConfigState *state)
{
    memset(state, 0, sizeof(*state));
    state->revision = store->revision;
    state->complete =
        from_revision < store->compacted_revision || from_revision == 0 || from_revision > store->revision;
    uint64_t after = state->complete ? 0 : from_revision;
    size_t count = 0;
    for (const struct config_item *item = store->newest; item != NULL && item->revision > after; item = item->older) {
        count++;
    }
    state->items = memory_new(count * sizeof(*state->items));
    for (const struct config_item *item = store->newest; item != NULL && item->revision > after; item = item->older) {
        if (state->complete && item->deleted) {
            continue;
        }
        ConfigItem *wire = &state->items[state->items_count++];
        wire->kind = item->kind;
        wire->name = item->name;
        wire->body = view_of(item->body, item->length);
        wire->revision = item->revision;
        wire->deleted = item->deleted;
    }
}

void config_state_close(ConfigState *state)
{
    free(state->items);
    memset(state, 0, sizeof(*state));
}

bool config_store_merge(struct config_store *store, const ConfigState *state)
{
    if (state->revision < store->revision) {
        return false;
    }
    if (state->complete) {
        config_store_clear_items(store);
        store->compacted_revision = state->revision;
    }
    /* The items come newest first, but the list is built oldest first. */
    for (size_t i = state->items_count; i > 0; i--) {
        const ConfigItem *wire = &state->items[i - 1];
        config_item_set(store, wire->kind, wire->name, wire->body, wire->deleted, wire->revision);
    }
    store->revision = state->revision;
    config_drop_tombstones(store);
    return true;
}

void config_store_export(const struct config_store *store, StateSnapshot *snapshot)
{
    snapshot->has_config = true;
    config_store_read(store, 0, &snapshot->config);
    snapshot->requests = memory_new(HASH_COUNT(store->requests) * sizeof(*snapshot->requests));
    for (const struct config_request *request = store->requests; request != NULL; request = request->hh.next) {
        RememberedRequest *record = &snapshot->requests[snapshot->requests_count++];
        record->request_id = request->id;
        record->hash = request->hash;
        record->code = request->code;
        record->revision = request->revision;
    }
}

void config_store_import(struct config_store *store, const StateSnapshot *snapshot)
{
    config_store_merge(store, &snapshot->config);
    for (pb_size_t i = 0; i < snapshot->requests_count; i++) {
        const RememberedRequest *record = &snapshot->requests[i];
        struct config_request *request = memory_new(sizeof(*request));
        request->id = text_copy(record->request_id);
        request->hash = record->hash;
        request->code = (ResultCode)record->code;
        request->revision = record->revision;
        HASH_ADD_KEYPTR(hh, store->requests, request->id, strlen(request->id), request);
    }
}
