/**
 * @file server_list.h
 * The list of servers of the platform (the environment that runs them), as read
 * from its machine list (proxy/machine_reader.h), and its incremental distribution
 * from the leader to all daemons (watchers, see watch.h). No I/O.
 *
 * A version is identified by its digest, the sum of the hashes of its records. It
 * does not depend on the replica that sends the list, so that a watcher receives
 * only changes even after a change of replica or leader. It receives the full list
 * if its version is not one of the last SERVER_LIST_VERSIONS, or if the digest
 * differs after it has applied changes.
 *
 * Only changes are sent because a list of 3,000 servers has about 180 kB, and a
 * changed server about 60 bytes. Sending the full list to 280 watchers on every
 * change, from seven replicas with 0.3 cores each, blocked the leader for seconds,
 * so that it lost its leadership and the next leader sent everything again.
 */
#ifndef BANKBANK_CORE_SERVER_LIST_H
#define BANKBANK_CORE_SERVER_LIST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

#include "base/buffer.h"

enum {
    SERVER_LIST_NONE = 0, /**< Digest before the first list. */
    /** Recent versions for which changes can be sent: about a minute at one change per second. */
    SERVER_LIST_VERSIONS = 64,
    SERVER_LIST_REMOVED_MAX = 2048,    /**< Removed servers that are remembered. */
    SERVER_LIST_REMOVED_EVICTED = 1024 /**< Oldest ones evicted when the maximum is reached. */
};

typedef struct server_list_entry_t {
    uint64_t hash;           /**< Of the record. */
    uint64_t change;         /**< Number of the change that set the record. */
    uint64_t last_full_list; /**< Number of the last full list that contained the server. */
    uint8_t *record;         /**< Encoded ServerRecord, owned. */
    size_t length;
    UT_hash_handle hh; /**< By id, in insertion order. */
    char id[];
} server_list_entry_t;

typedef struct server_list_removed_t {
    uint64_t change; /**< Number of the change that removed the server. */
    char *id;        /**< Owned. */
} server_list_removed_t;

typedef struct server_list_version_t {
    uint64_t digest; /**< SERVER_LIST_NONE: unused entry. */
    uint64_t change; /**< Number of the change that created it. */
    uint64_t bytes;  /**< `bytes` of the list after that change. */
} server_list_version_t;

/** All zero: no list received yet. */
typedef struct server_list_t {
    server_list_entry_t *entries;                         /**< By id. */
    uint64_t digest;                                      /**< Of the current version. */
    uint64_t change;                                      /**< Changes so far, local to this process. */
    uint64_t full_lists;                                  /**< Full lists received so far. */
    uint64_t oldest_change;                               /**< Changes since an earlier one cannot be sent any more. */
    server_list_version_t versions[SERVER_LIST_VERSIONS]; /**< Ring by change. */
    server_list_removed_t removed[SERVER_LIST_REMOVED_MAX]; /**< Oldest first. */
    size_t removed_count;
    uint64_t bytes;          /**< Total size of all changes so far. */
    struct buffer encoded;   /**< Cached ServerList. */
    uint64_t encoded_change; /**< Last change in `encoded`; 0: none. */
} server_list_t;

/** Changes since a version; release with server_list_changes_close(). */
typedef struct server_list_changes_t {
    struct buffer records; /**< Encoded ServerList of the added and changed servers. */
    char **removed;        /**< Ids, borrowed from the list until it changes. */
    size_t removed_count;
} server_list_changes_t;

/** Also resets the list to all zero. */
void server_list_close(server_list_t *list);

/** Replaces the list by an encoded ServerList; returns whether it changed. An invalid encoding is ignored. */
bool server_list_replace(server_list_t *list, struct view encoded);

/**
 * Applies changes to the version `base`, which result in the version `digest`.
 * Returns false and leaves the list unchanged if the changes are invalid or for
 * another version; returns false and discards the list if the resulting digest
 * differs.
 */
bool server_list_apply(server_list_t *list, uint64_t base, uint64_t digest, struct view records, char *const *removed,
                       size_t removed_count);

/** Whether the version is known, so that changes since it can be sent. */
bool server_list_has_version(const server_list_t *list, uint64_t digest);

/** Upper limit of the size of the changes since a version; 0 if it is unknown. */
uint64_t server_list_changes_bytes(const server_list_t *list, uint64_t digest);

/** Fills the changes since a version; false if it is unknown. */
bool server_list_changes_since_digest(const server_list_t *list, uint64_t digest, server_list_changes_t *changes);

/** Fills the changes since change number `change`; false if they are no longer available. */
bool server_list_changes_since(const server_list_t *list, uint64_t change, server_list_changes_t *changes);

void server_list_changes_close(server_list_changes_t *changes);

/** The full list; valid until it changes. */
struct view server_list_encoded(server_list_t *list);

#endif
