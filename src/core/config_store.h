/**
 * @file config_store.h
 * The replicated configuration: resources by kind and name, one revision for
 * the whole, and the results of recent changes so that a resend gets the
 * first answer. State machine of group 0, together with the lease table.
 */
#ifndef BANKBANK_CORE_CONFIG_STORE_H
#define BANKBANK_CORE_CONFIG_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "base/buffer.h"
#include "control.pb.h"

enum {
    CONFIG_REMEMBERED_REQUESTS = 4096, /**< Results kept for resends. */
    CONFIG_KEPT_DELETIONS = 4096,      /**< Deletions kept for deltas. */
    CONFIG_NAME_MAX = 128              /**< Longest resource name. */
};

/** One resource, or the trace of a deleted one. */
struct config_item {
    char *key;                 /**< Kind and name, the hash key. */
    ResourceKind kind;         /**< Kind. */
    char *name;                /**< Name within the kind. */
    uint8_t *body;             /**< Encoded operator message; NULL when deleted. */
    size_t length;             /**< Bytes of `body`. */
    uint64_t revision;         /**< Configuration revision of the last change. */
    bool deleted;              /**< Kept so that deltas can carry the deletion. */
    struct config_item *older; /**< Order of last change. */
    struct config_item *newer; /**< Order of last change. */
    UT_hash_handle hh;         /**< By key. */
};

/** A change that was answered. */
struct config_request {
    char *id;          /**< Caller's request id. */
    uint64_t hash;     /**< Hash of the change. */
    ResultCode code;   /**< First answer. */
    uint64_t revision; /**< Revision in the first answer. */
    UT_hash_handle hh; /**< By id, in order of arrival. */
};

/** The configuration. */
struct config_store {
    struct config_item *items;       /**< By key. */
    struct config_item *oldest;      /**< Least recently changed. */
    struct config_item *newest;      /**< Most recently changed. */
    struct config_request *requests; /**< Remembered requests. */
    uint64_t revision;               /**< Number of accepted changes, from 1. */
    uint64_t forgotten_revision;     /**< Deletions up to here are no longer known. */
    uint32_t deletions;              /**< Deletions kept. */
};

/** Starts an empty configuration at revision 1. */
void config_store_init(struct config_store *store);

/** Frees it. */
void config_store_close(struct config_store *store);

/** Applies a change, whose body must be valid for its kind. */
void config_store_apply(struct config_store *store, const ConfigChange *change, EntryResult *result);

/** Finds a live resource, or NULL. */
const struct config_item *config_store_find(const struct config_store *store, ResourceKind kind, const char *name);

/**
 * Fills `state` with all changes after `from_revision`, or with everything
 * (`complete`) if that revision is too old. Frees with config_state_close().
 */
void config_store_read(const struct config_store *store, uint64_t from_revision, ConfigState *state);

/** Frees what config_store_read() allocated. */
void config_state_close(ConfigState *state);

/**
 * Merges a state read elsewhere: a delta, or everything. Returns false, and
 * changes nothing, if it is older than what is held.
 */
bool config_store_merge(struct config_store *store, const ConfigState *state);

/** Fills the configuration part of a snapshot, and loads it. */
void config_store_export(const struct config_store *store, StateSnapshot *snapshot);
void config_store_import(struct config_store *store, const StateSnapshot *snapshot);

#endif
