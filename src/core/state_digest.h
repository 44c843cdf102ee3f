/**
 * @file state_digest.h
 * Digest of the state that a group replicates, to compare replicas: at the same
 * log index it must be the same, whether a replica got there by the log or by a
 * snapshot. It covers what later entries depend on and their results contain, not
 * the location of texts nor what a replica counts for itself.
 *
 * Replicas compute it now and then, at the same indexes, and send it to their leader,
 * which compares (replica.h).
 */
#ifndef BANKBANK_CORE_STATE_DIGEST_H
#define BANKBANK_CORE_STATE_DIGEST_H

#include "core/state_machine.h"

enum { STATE_DIGEST_VERSION = 1 /**< Increment it when the digest of a state changes. */ };

typedef enum state_digest_depth_t {
    STATE_DIGEST_QUICK, /**< Without the order of turns and without calls that have ended: they may be a million. */
    STATE_DIGEST_FULL
} state_digest_depth_t;

/** Never 0. */
uint64_t state_digest(const struct state_machine *machine, state_digest_depth_t depth);

#endif
