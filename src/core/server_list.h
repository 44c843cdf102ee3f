/**
 * @file server_list.h
 * The platform's list of servers as it goes from the leader to every daemon:
 * by what changed, not by what there is. Pure.
 *
 * A list is known by its digest, a sum over its records, whoever counted its
 * versions: so a watcher that follows one replica after another, or a leader
 * after another, is told the changes to the list that it has, and nothing where
 * that is the same. Who has a list that is not among the last
 * SERVER_LIST_VERSIONS is told the whole of it. A watcher whose list has
 * another digest after the changes than was told forgets it and gets it whole.
 *
 * Grounds: 3,000 servers are some 180 kB. Sent whole to 280 watchers on each
 * change, on seven replicas with 0.3 cores each, they held the leader up for
 * seconds, which lost its leadership, after which all was told anew. A changed
 * server is some 60 bytes.
 */
#ifndef BANKBANK_CORE_SERVER_LIST_H
#define BANKBANK_CORE_SERVER_LIST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

#include "base/buffer.h"

enum {
    SERVER_LIST_NONE = 0,         /**< Digest of a list that was never told. */
    SERVER_LIST_VERSIONS = 64,    /**< Versions to which changes can be told: a minute of one change a second. */
    SERVER_LIST_GONE_MOST = 2048, /**< Servers remembered that are on the list no more. */
    SERVER_LIST_GONE_DROP = 1024  /**< Those of them that are forgotten at once when there are so many. */
};

/** A server on the list. */
typedef struct server_list_entry_t {
    uint64_t hash;     /**< Of its record. */
    uint64_t change;   /**< Change of the list that brought the record. */
    uint64_t seen;     /**< Last whole list that had it. */
    uint8_t *record;   /**< Encoded ServerRecord, owned. */
    size_t length;     /**< Bytes of it. */
    UT_hash_handle hh; /**< By id, in the order in which they came. */
    char id[];         /**< Incarnation. */
} server_list_entry_t;

/** A server that is on the list no more. */
typedef struct server_list_gone_t {
    uint64_t change; /**< Change of the list that took it off. */
    char *id;        /**< Incarnation, owned. */
} server_list_gone_t;

/** A version that the list had. */
typedef struct server_list_version_t {
    uint64_t digest; /**< Its digest. */
    uint64_t change; /**< The change that led to it. */
    uint64_t bytes;  /**< Bytes of records and ids that changes up to it have told. */
} server_list_version_t;

/** The list; all zero: none was told yet. */
typedef struct server_list_t {
    server_list_entry_t *entries;                         /**< By id. */
    uint64_t digest;                                      /**< See above. */
    uint64_t change;                                      /**< Changes so far, counted on this machine. */
    uint64_t wholes;                                      /**< Whole lists taken so far. */
    uint64_t oldest_change;                               /**< Changes before this one cannot be told any more. */
    server_list_version_t versions[SERVER_LIST_VERSIONS]; /**< The last ones, a ring by change. */
    server_list_gone_t gone[SERVER_LIST_GONE_MOST];       /**< Oldest first. */
    size_t gone_count;                                    /**< Number of those. */
    uint64_t bytes;                                       /**< Bytes of records and ids told by all changes so far. */
    struct buffer whole;                                  /**< Encoded ServerList, one copy for all who ask. */
    uint64_t whole_change;                                /**< Change that it shows; 0: it is to be made. */
} server_list_t;

/** What changed since a version; release with server_list_changes_close(). */
typedef struct server_list_changes_t {
    struct buffer records; /**< Encoded ServerList of what came and what changed. */
    char **gone;           /**< Ids of what is on the list no more, lent by the list until it changes. */
    size_t gone_count;     /**< Number of those. */
} server_list_changes_t;

/** Frees everything and forgets the list. */
void server_list_close(server_list_t *list);

/** Takes a whole list (an encoded ServerList); returns whether it differs. One that does not decode is not taken. */
bool server_list_put(server_list_t *list, struct view encoded);

/**
 * Takes changes to the list with the digest `base`. False: they are not to
 * this list, which stays, or it differs from what was told after them, and is
 * forgotten.
 */
bool server_list_apply(server_list_t *list, uint64_t base, uint64_t digest, struct view records, char *const *gone,
                       size_t gone_count);

/** Whether changes to the version with a digest can be told. */
bool server_list_knows(const server_list_t *list, uint64_t digest);

/** The most that changes to the version with a digest take, in bytes; 0: it is not known any more. */
uint64_t server_list_changes_bytes(const server_list_t *list, uint64_t digest);

/** Fills what changed since the version with a digest; false: it is not known any more. */
bool server_list_changes_to(const server_list_t *list, uint64_t digest, server_list_changes_t *changes);

/** The same since a change of this list; false: not known any more. */
bool server_list_changes_since(const server_list_t *list, uint64_t change, server_list_changes_t *changes);

void server_list_changes_close(server_list_changes_t *changes);

/** The whole list, encoded; valid until the list changes. */
struct view server_list_whole(server_list_t *list);

#endif
