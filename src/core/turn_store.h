/**
 * @file turn_store.h
 * Turns of conversations as a tree: each turn names the turn that it goes on
 * from, and several may name the same one. Input and output are opaque bytes.
 * State replicas replicate one; gateways use another as a cache.
 *
 * A turn never changes once stored. It stays, with all turns before it, until
 * the retention of the last turn that goes on from it has passed.
 */
#ifndef BANKBANK_CORE_TURN_STORE_H
#define BANKBANK_CORE_TURN_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "base/buffer.h"
#include "control.pb.h"

/** One stored turn. */
struct turn {
    char *id;             /**< Unique id. */
    struct turn *parent;  /**< Turn before it, or NULL. */
    uint32_t children;    /**< Stored turns that go on from it. */
    uint64_t expires_ms;  /**< Time after which it may be dropped. */
    struct view input;    /**< What the caller brought, owned. */
    struct view output;   /**< What was made, owned. */
    struct turn *earlier; /**< Order of last use. */
    struct turn *later;   /**< Order of last use. */
    UT_hash_handle hh;    /**< By id. */
};

/** All turns. */
struct turn_store {
    struct turn *turns;    /**< By id. */
    struct turn *earliest; /**< Head of the order of use. */
    struct turn *latest;   /**< Tail of it. */
    size_t bytes;          /**< Input and output bytes held. */
};

/** Content of a turn to store; all is copied. */
struct turn_content {
    const char *id;        /**< Unique id. */
    const char *parent;    /**< Id of the turn before it, or "". */
    struct view input;     /**< What the caller brought. */
    struct view output;    /**< What was made. */
    uint64_t retention_ms; /**< Least time it stays. */
};

/** Frees everything. */
void turn_store_close(struct turn_store *store);

/** Finds a turn, or NULL. */
struct turn *turn_store_find(const struct turn_store *store, const char *id);

/** Stores a turn; true also if it is stored already, false if its parent is not. */
bool turn_store_add(struct turn_store *store, uint64_t now_ms, const struct turn_content *content);

/** Drops what has expired by `now_ms`. */
void turn_store_expire(struct turn_store *store, uint64_t now_ms);

/** Drops the least recently used turns until at most `bytes` are held. */
void turn_store_shrink(struct turn_store *store, size_t bytes);

/** Appends input and output of the whole chain up to `turn`, oldest first. */
void turn_chain_text(const struct turn *turn, struct buffer *out);

/** Fills a chain, oldest first, that borrows from the store; free `chain->turns`. */
void turn_chain_fill(const struct turn *turn, TurnChain *chain);

/** Fills all turns, parents before children, that borrow from the store; free `*records`. */
void turn_store_export(const struct turn_store *store, TurnRecord **records, pb_size_t *count);

/** Adds exported turns. */
void turn_store_import(struct turn_store *store, const TurnRecord *records, pb_size_t count);

#endif
