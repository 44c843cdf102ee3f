/**
 * @file turn_store.h
 * Conversations as trees of immutable turns: a turn is a request (input) with its
 * response (output) and continues its parent, if any. State replicas replicate one
 * store, with the texts in the host's history store (history.h); gateways use
 * another as a cache, with the texts in memory.
 *
 * A turn is visible only to the tenant that stored it. A turn without a tenant,
 * stored by a caller without an API key or by a version that had no tenants, is
 * visible to every caller that knows its id.
 *
 * A turn is kept, with all its ancestors, until the retention of its last
 * descendant has passed. How much longer depends on the order of use, which is
 * therefore a part of the replicated state.
 */
#ifndef BANKBANK_CORE_TURN_STORE_H
#define BANKBANK_CORE_TURN_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "base/buffer.h"
#include "control.pb.h"
#include "core/history.h"

enum {
    TURN_OVERHEAD_BYTES = 32 /**< Estimated allocator and hash table overhead per turn. */
};

typedef enum turn_text_kind_t { TURN_TEXT_IN_MEMORY, TURN_TEXT_IN_HISTORY } turn_text_kind_t;

/** Input of a turn followed by its output; opaque bytes. */
typedef struct turn_text_t {
    turn_text_kind_t kind;
    uint32_t input_length; /**< In bytes. */
    uint32_t length;       /**< Input and output, in bytes. */
    union {
        uint8_t *bytes;         /**< TURN_TEXT_IN_MEMORY: owned. */
        struct history_ref ref; /**< TURN_TEXT_IN_HISTORY. */
    } at;
} turn_text_t;

struct turn {
    struct turn *parent; /**< NULL: root. */
    uint32_t children;
    uint32_t position;   /**< Of its record in the snapshot that is written or read. */
    uint64_t hash;       /**< Of all that does not change: ids, tenant and lengths. */
    uint64_t expires_ms; /**< Time at which it may be dropped, once it has no children. */
    uint64_t tenant;     /**< Hash of the tenant's name, 0: none. */
    turn_text_t text;
    struct turn *earlier; /**< Neighbors in the LRU list. */
    struct turn *later;
    UT_hash_handle hh;
    char id[];
};

struct turn_store {
    struct history_io history; /**< All zero: texts are kept in memory. */
    struct turn *turns;
    struct turn *earliest; /**< Least recently used turn. */
    struct turn *latest;
    uint64_t digest;     /**< Of the stored turns and their expiry, whatever their order. */
    struct buffer order; /**< While a snapshot is read: positions of its turns in order of use. */
    size_t bytes;        /**< Total length of the texts. */
    size_t index_bytes;  /**< Estimated memory of the turns without texts. */
};

/** A turn to store. Everything is copied. */
struct turn_content {
    const char *id;
    const char *parent; /**< Id, or "" if none. */
    struct view input;
    struct view output;
    uint64_t retention_ms; /**< The turn is kept for at least this long. */
    uint64_t tenant;       /**< Hash of the tenant's name, 0: none. */
};

/** Releases the texts in the history store, too. */
void turn_store_close(struct turn_store *store);

/** Returns NULL if there is none. */
struct turn *turn_store_find(const struct turn_store *store, const char *id);

/** Whether a tenant may use and continue a turn. */
bool turn_is_visible_to(const struct turn *turn, uint64_t tenant);

/** Returns false if the parent is not stored; true without effect if the turn is stored already. */
bool turn_store_add(struct turn_store *store, uint64_t now_ms, const struct turn_content *content);

/**
 * Drops expired turns that have no unexpired descendants, up to the first unexpired turn of the LRU list. A turn may
 * therefore be kept longer than its retention.
 */
void turn_store_expire(struct turn_store *store, uint64_t now_ms);

/** Drops least recently used turns, children before parents, until texts and index take at most `bytes`. */
void turn_store_shrink(struct turn_store *store, size_t bytes);

/** Appends the texts of `turn` and its ancestors, oldest first. Returns false if a text cannot be read. */
bool turn_chain_text(const struct turn_store *store, const struct turn *turn, struct buffer *out);

/**
 * Appends `turn` and its ancestors, oldest first, as an encoded TurnChain. Returns false if a text cannot be read or
 * the chain is too long for the message.
 */
bool turn_chain_encode(const struct turn_store *store, const struct turn *turn, struct buffer *out);

/** Appends a record in local form (turn_record.h). */
void turn_export(const struct turn *turn, struct buffer *out);

/** Adds a turn from a record in local form. Returns false if it is malformed or its parent is not stored. */
bool turn_store_import(struct turn_store *store, struct view record);

/**
 * Numbers the turns in the order in which a snapshot has their records, and appends these positions in order of use, as
 * in SiteSnapshot.turns_by_use.
 */
void turn_store_export_order(const struct turn_store *store, struct buffer *out);

/** Keeps the order of use of a snapshot for turn_store_restore_order(); call it before the turns are imported. */
void turn_store_import_order(struct turn_store *store, struct view order);

/**
 * Restores the order of use, which decides when turns are dropped. Call it after the last turn_store_import(). Returns
 * false if the snapshot has none, or one that does not fit: then the order is that in which its turns were stored.
 */
bool turn_store_restore_order(struct turn_store *store);

/** Adds a turn from another machine or an older snapshot. Returns false if its parent is not stored. */
bool turn_store_import_wire(struct turn_store *store, const TurnRecord *record);

#endif
