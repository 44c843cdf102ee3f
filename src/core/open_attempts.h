/**
 * @file open_attempts.h
 * Requests that servers may be running, by their operation (core/quarantine.h).
 * Part of the state that group 0 replicates. No I/O.
 *
 * A failure is known only once it is reported. Until then, and for ever if the
 * gateway that should report it dies, an attempt that has not ended may be one: it
 * counts as a possible failure. The suspicion of an operation is the number of its
 * failures plus that of its other open attempts. No request is sent to a server
 * while the suspicion of its operation reaches the limit of a quarantine.
 *
 * Turns are open from their reservation to their settlement, which the log contains
 * anyway. Other requests are open only if their operation is suspected already.
 * Those of a gateway that has died are forgotten after OPEN_ATTEMPTS_KEEP_MS, as
 * failures are.
 */
#ifndef BANKBANK_CORE_OPEN_ATTEMPTS_H
#define BANKBANK_CORE_OPEN_ATTEMPTS_H

#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

#include "control.pb.h"

enum {
    OPEN_ATTEMPTS_KEEP_MS = 60000,
    OPEN_ATTEMPTS_MAX = 1 << 16,      /**< Above that, the oldest one is forgotten. */
    OPEN_ATTEMPTS_OVERHEAD_BYTES = 64 /**< Estimated allocator and hash table overhead per attempt. */
};

typedef struct open_attempt_t {
    uint64_t attempt; /**< Hash of the request's id. */
    uint64_t operation;
    uint64_t expires_ms;
    UT_hash_handle hh; /**< By `attempt`, oldest first. */
} open_attempt_t;

typedef struct open_operation_t {
    uint64_t operation;
    uint32_t attempts;
    UT_hash_handle hh; /**< By `operation`. */
} open_operation_t;

/** All zero: empty. */
typedef struct open_attempts_t {
    open_attempt_t *attempts;
    open_operation_t *operations;
} open_attempts_t;

/** Also resets it to all zero. */
void open_attempts_close(open_attempts_t *open);

/** Without effect if the attempt is open already. */
void open_attempts_add(open_attempts_t *open, uint64_t now_ms, uint64_t operation, uint64_t attempt);

/** Without effect if the attempt is not open. */
void open_attempts_remove(open_attempts_t *open, uint64_t attempt);

/** Open attempts at the operation, without `attempt`. */
uint32_t open_attempts_others(const open_attempts_t *open, uint64_t operation, uint64_t attempt);

/** Must be called regularly. */
void open_attempts_expire(open_attempts_t *open, uint64_t now_ms);

/** Estimated memory use. */
size_t open_attempts_bytes(const open_attempts_t *open);

/**
 * Fills the attempts of a snapshot; release them with open_attempts_free_export(). Starts at `*next` and sets it to the
 * first attempt for which there is no room, or NULL.
 */
void open_attempts_export(const open_attempts_t *open, const open_attempt_t **next, SiteSnapshot *snapshot);
void open_attempts_free_export(SiteSnapshot *snapshot);

/** Adds the attempts of a snapshot. */
void open_attempts_import(open_attempts_t *open, const SiteSnapshot *snapshot);

#endif
