/**
 * @file config_store.h
 * The replicated configuration: resources by kind and name under one shared
 * revision, and the results of recent changes, which make a resent change
 * idempotent. Part of the state machine of Raft group 0.
 */
#ifndef BANKBANK_CORE_CONFIG_STORE_H
#define BANKBANK_CORE_CONFIG_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "base/buffer.h"
#include "control.pb.h"

enum {
    CONFIG_REMEMBERED_REQUESTS = 4096, /**< Results kept for resent changes. */
    CONFIG_MAX_TOMBSTONES = 4096,      /**< Deleted resources kept for delta reads. */
    CONFIG_NAME_MAX = 128
};

/** A resource, or the tombstone of a deleted one. */
struct config_item {
    char *key; /**< "KIND/NAME", with the number of the kind. */
    ResourceKind kind;
    char *name;    /**< Unique within the kind. */
    uint8_t *body; /**< Encoded message of operator.proto; NULL when deleted. */
    size_t length;
    uint64_t revision;         /**< Revision of its last change. */
    bool deleted;              /**< Tombstone, kept so that delta reads report the deletion. */
    struct config_item *older; /**< Neighbors in the list ordered by revision. */
    struct config_item *newer;
    UT_hash_handle hh; /**< By key. */
};

/** The recorded result of a change, returned if it is sent again. */
struct config_request {
    char *id;
    uint64_t hash; /**< Of the change. */
    ResultCode code;
    uint64_t revision;
    UT_hash_handle hh; /**< By id; oldest first. */
};

struct config_store {
    struct config_item *items;
    struct config_item *oldest;
    struct config_item *newest;
    struct config_request *requests; /**< At most CONFIG_REMEMBERED_REQUESTS. */
    uint64_t revision;               /**< Starts at 1, incremented by each accepted change. */
    uint64_t compacted_revision;     /**< Tombstones up to this revision may be missing. */
    uint32_t tombstones;
};

void config_store_init(struct config_store *store);

void config_store_close(struct config_store *store);

/**
 * Applies a change, whose body must be valid for its kind. A change with a
 * known request id returns the recorded result, or RESULT_CONFLICT if it is a
 * different change. The result's message is NULL or a constant string.
 */
void config_store_apply(struct config_store *store, const ConfigChange *change, EntryResult *result);

/** Returns NULL if there is no such resource or it is deleted. */
const struct config_item *config_store_find(const struct config_store *store, ResourceKind kind, const char *name);

/**
 * Fills `state` with the changes after `from_revision`, newest first. It holds
 * the whole configuration (`complete`) if `from_revision` is 0, newer than the
 * store, or older than the tombstones kept. The strings and bodies are borrowed
 * from the store; free with config_state_close().
 */
void config_store_read(const struct config_store *store, uint64_t from_revision, ConfigState *state);

void config_state_close(ConfigState *state);

/**
 * Merges a delta or a complete state read from another store. Returns false and
 * changes nothing if it is older than this configuration.
 */
bool config_store_merge(struct config_store *store, const ConfigState *state);

/**
 * Fills the configuration part of a snapshot. It borrows the store's strings
 * and bodies: encode it before the store changes, and free only the arrays.
 */
void config_store_export(const struct config_store *store, StateSnapshot *snapshot);

void config_store_import(struct config_store *store, const StateSnapshot *snapshot);

#endif
