/**
 * @file quarantine.h
 * Operations under which several servers failed ("queries of death"), which no
 * server may run for a while. No I/O; callers pass the time.
 *
 * A server that ends is not counted for max_attempts of a route, and a caller that
 * got no answer repeats its request under another id. Without a limit of its own, a
 * request that makes servers crash would end one after the other.
 *
 * An operation is what a caller wants, over all of its requests for it. A failure is
 * the end of a connection while a server ran the operation, whether the server has
 * ended or only the connection: the two cannot be told apart at that moment. Errors
 * in a response do not count.
 *
 * An operation is quarantined for `keep_ms` from its `max_failures`-th failure on.
 * Failures below that are forgotten `keep_ms` after the last one.
 *
 * Operations that are identified by their contents may be wanted by several callers.
 * Of these, a failure does not count if its request was sent before the last failure:
 * many that run at the same time fail together when servers end for another reason.
 *
 * Group 0 replicates the count of all gateways (site_state.h); its leader and the
 * gateways have copies of the quarantined operations.
 */
#ifndef BANKBANK_CORE_QUARANTINE_H
#define BANKBANK_CORE_QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "control.pb.h"

enum {
    QUARANTINE_DEFAULT_FAILURES = 3,
    QUARANTINE_DEFAULT_KEEP_MS = 60000,
    QUARANTINE_MAX_FAILURES = 16,
    QUARANTINE_MAX_OPERATIONS = 4096, /**< Above that, the oldest one is forgotten, quarantined ones last. */
    QUARANTINE_MAX_LISTED = 64,       /**< Operations in a message. */
    /** Operations with less time left are not listed: passed back and forth, they would never expire. */
    QUARANTINE_MIN_LISTED_MS = 1000,
    QUARANTINE_TEXT_BYTES = 17 /**< Of quarantine_format(), NUL included. */
};

typedef struct quarantine_failure_t {
    uint64_t operation;
    uint64_t id;      /**< Identifies the failure: one that is recorded again counts once. */
    bool by_contents; /**< Requests of other callers may have the same operation. */
    uint64_t sent_ms; /**< When the request was sent to the server; only with `by_contents`. */
} quarantine_failure_t;

typedef struct quarantine_operation_t {
    uint64_t hash;                              /**< Identifies it (forward_operation()). */
    uint64_t failures[QUARANTINE_MAX_FAILURES]; /**< quarantine_failure_t.id of those that count. */
    uint32_t failure_count;
    bool quarantined;
    bool suspected;   /**< Another daemon knows of failures. */
    uint64_t last_ms; /**< Time of the last failure. */
    uint64_t expires_ms;
    UT_hash_handle hh; /**< By `hash`, oldest first. */
} quarantine_operation_t;

/** All zero: empty and disabled. */
typedef struct quarantine_t {
    uint32_t max_failures; /**< That quarantine an operation, at most QUARANTINE_MAX_FAILURES; 0: disabled. */
    uint64_t keep_ms;      /**< Duration of a quarantine. */
    quarantine_operation_t *operations;
    uint32_t quarantined; /**< How many of them are. */
    uint64_t begun;       /**< Quarantines so far. */
    uint64_t one_left;    /**< Times so far that an operation was one failure short of a quarantine. */
} quarantine_t;

/** Forgets all operations. */
void quarantine_clear(quarantine_t *quarantine);

/** Returns whether the operation is quarantined from now on. */
bool quarantine_record(quarantine_t *quarantine, uint64_t now_ms, const quarantine_failure_t *failure);

/** Failures recorded for the operation. */
uint32_t quarantine_count(const quarantine_t *quarantine, uint64_t operation);

/** Whether failures of the operation are known, here or at another daemon. */
bool quarantine_is_suspected(const quarantine_t *quarantine, uint64_t operation);

/** Records that another daemon knows of failures of the operation. */
void quarantine_suspect(quarantine_t *quarantine, uint64_t now_ms, uint64_t operation);

/** Whether one more failure quarantines the operation. */
bool quarantine_has_one_failure_left(const quarantine_t *quarantine, const quarantine_operation_t *operation);

/** Time until the operation may run again; 0: it is not quarantined. */
uint64_t quarantine_remaining_ms(const quarantine_t *quarantine, uint64_t now_ms, uint64_t operation);

/** Adds quarantined operations that another daemon listed; those known as quarantined keep their time. */
void quarantine_adopt(quarantine_t *quarantine, uint64_t now_ms, const QuarantinedOperation *list, size_t count);

/** Lists quarantined operations, the latest QUARANTINE_MAX_LISTED of them; the caller frees the result. */
QuarantinedOperation *quarantine_list(const quarantine_t *quarantine, uint64_t now_ms, pb_size_t *count);

/** Lists operations that one more failure quarantines, the latest QUARANTINE_MAX_LISTED of them; the caller frees the
 * result. */
uint64_t *quarantine_list_suspected(const quarantine_t *quarantine, pb_size_t *count);

/** Writes the hash of an operation as in logs. */
void quarantine_format(uint64_t operation, char out[QUARANTINE_TEXT_BYTES]);

/** Must be called regularly. */
void quarantine_expire(quarantine_t *quarantine, uint64_t now_ms);

/** Estimated memory use. */
size_t quarantine_bytes(const quarantine_t *quarantine);

/** Fills the limits and failures of a snapshot, which borrow from the operations; release them with
 * quarantine_free_export(). */
void quarantine_export(const quarantine_t *quarantine, SiteSnapshot *snapshot);
void quarantine_free_export(SiteSnapshot *snapshot);

/** Loads the limits and failures of a snapshot into empty operations. */
void quarantine_import(quarantine_t *quarantine, const SiteSnapshot *snapshot);

#endif
