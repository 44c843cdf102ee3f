/**
 * @file turn_store.h
 * Turns of conversations as a tree: each turn names the turn that it goes on
 * from, and several may name the same one. Input and output are opaque bytes.
 * State replicas replicate one; gateways use another as a cache.
 *
 * A replica's store holds an index: the texts lie in the host's history store
 * (on disk) and are read when they are asked for. A cache holds the texts.
 *
 * A turn belongs to the tenant that brought it, and is not found for another
 * one. One stored without a tenant, by a caller without a key or before there
 * were keys, is found by whoever names it, as it was then.
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
#include "core/history.h"

enum {
    TURN_HELD_BYTES = 32 /**< What the allocator and the hash add to a turn, about. */
};

/** Where a turn's text is. */
typedef enum turn_text_kind_t {
    TURN_TEXT_HELD,  /**< In memory. */
    TURN_TEXT_STORED /**< In the history store. */
} turn_text_kind_t;

/** A turn's text: its input, and behind it its output. */
typedef struct turn_text_t {
    turn_text_kind_t kind; /**< Which of the union. */
    uint32_t input_length; /**< Bytes of the input. */
    uint32_t length;       /**< Bytes of both. */
    union {
        uint8_t *held;             /**< Owned bytes. */
        struct history_ref stored; /**< Place in the history store. */
    } at;
} turn_text_t;

/** One stored turn. */
struct turn {
    struct turn *parent;  /**< Turn before it, or NULL. */
    uint32_t children;    /**< Stored turns that go on from it. */
    uint64_t expires_ms;  /**< Time after which it may be dropped. */
    uint64_t tenant;      /**< Hash of the tenant's name, 0: none. */
    turn_text_t text;     /**< What the caller brought and what was made. */
    struct turn *earlier; /**< Order of last use. */
    struct turn *later;   /**< Order of last use. */
    UT_hash_handle hh;    /**< By id. */
    char id[];            /**< Unique id. */
};

/** All turns. */
struct turn_store {
    struct history_io history; /**< Where texts go; all zero: they are held in memory. */
    struct turn *turns;        /**< By id. */
    struct turn *earliest;     /**< Head of the order of use. */
    struct turn *latest;       /**< Tail of it. */
    size_t bytes;              /**< Input and output bytes stored. */
    size_t index_bytes;        /**< Memory that the turns take, texts left out. */
};

/** Content of a turn to store; all is copied. */
struct turn_content {
    const char *id;        /**< Unique id. */
    const char *parent;    /**< Id of the turn before it, or "". */
    struct view input;     /**< What the caller brought. */
    struct view output;    /**< What was made. */
    uint64_t retention_ms; /**< Least time it stays. */
    uint64_t tenant;       /**< Hash of the tenant's name, 0: none. */
};

/** Frees everything; texts in the history store are no longer needed. */
void turn_store_close(struct turn_store *store);

/** Finds a turn, or NULL. */
struct turn *turn_store_find(const struct turn_store *store, const char *id);

/** Whether a tenant may go on from a turn. */
bool turn_is_of(const struct turn *turn, uint64_t tenant);

/** Stores a turn; true also if it is stored already, false if its parent is not. */
bool turn_store_add(struct turn_store *store, uint64_t now_ms, const struct turn_content *content);

/** Drops what has expired by `now_ms`. */
void turn_store_expire(struct turn_store *store, uint64_t now_ms);

/** Drops the least recently used turns until texts and index take at most `bytes`. */
void turn_store_shrink(struct turn_store *store, size_t bytes);

/** Appends input and output of the whole chain up to `turn`, oldest first; false: a text cannot be read. */
bool turn_chain_text(const struct turn_store *store, const struct turn *turn, struct buffer *out);

/** Appends an encoded TurnChain, oldest first; false: a text cannot be read. */
bool turn_chain_encode(const struct turn_store *store, const struct turn *turn, struct buffer *out);

/** Appends a turn's record for a snapshot on this machine (turn_record.h). */
void turn_export(const struct turn *turn, struct buffer *out);

/** Adds the turn of such a record; false: it does not decode, or its parent is not there. */
bool turn_store_import(struct turn_store *store, struct view record);

/** After the last import: puts the turns into the order in which they expire. */
void turn_store_order(struct turn_store *store);

/** Adds a turn with its text, as it comes from another machine or an older snapshot. */
bool turn_store_import_wire(struct turn_store *store, const TurnRecord *record);

#endif
