/**
 * @file quota_lease.h
 * Gateway side of quotas: rate limit tokens leased from the leader
 * (quota_table.h). No I/O; callers pass the time.
 *
 * A request takes a leased token or waits for the reply to the next token request
 * (QuotaAsk). A token request asks for one token per waiting request and, to
 * prefetch, for as many as requests arrived in the previous QUOTA_PREFETCH_MS: a
 * gateway with much traffic of a tenant sends one token request for many requests,
 * one with little traffic requests tokens only when a request arrives. Tokens
 * expire QUOTA_LEASE_MS after the token request is sent, so that a suspended or
 * partitioned gateway does not use tokens of an earlier window; expired tokens
 * are returned with the next token request. The begin (first request) of a
 * program always waits for the leader, which admits programs by a second bucket.
 */
#ifndef BANKBANK_CORE_QUOTA_LEASE_H
#define BANKBANK_CORE_QUOTA_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "control.pb.h"

enum {
    QUOTA_PREFETCH_MS = 100, /**< Period in which requests are counted to prefetch tokens. */
    QUOTA_LEASE_MS = 250,    /**< Lifetime of a token, from the sending of the token request. */
    QUOTA_IDLE_MS = 10000    /**< Time without use after which a lease is removed. */
};

/** Tokens and pending requests of one tenant or, for slow start, one server. */
typedef struct quota_lease_t {
    uint64_t key;     /**< Hash of the tenant's name; for slow start, of the server (core/slow_start.h). */
    uint64_t service; /**< Hash of the service, sent with each token request; 0: none. */
    uint32_t tokens;  /**< Unused tokens; valid until expires_ms. */
    uint64_t expires_ms;
    uint32_t waiting;   /**< Requests not part of a token request yet. */
    uint32_t begins;    /**< Begins of programs not part of a token request yet. */
    uint32_t to_return; /**< Tokens to return with the next token request. */
    uint32_t current;   /**< Requests in the current period, begins of programs included. */
    uint32_t previous;  /**< Requests in the period before it. */
    uint64_t period;    /**< Current period: time / QUOTA_PREFETCH_MS. */
    UT_hash_handle hh;
} quota_lease_t;

typedef struct quota_leases_t {
    quota_lease_t *by_key;
    bool due; /**< A token request is needed, to get or return tokens. */
} quota_leases_t;

void quota_leases_close(quota_leases_t *leases);

typedef enum quota_use_t {
    QUOTA_USE_REQUEST,
    QUOTA_USE_BEGIN /**< The first request of a program. */
} quota_use_t;

/**
 * Takes a token. Returns false if none is available or for QUOTA_USE_BEGIN: the request is then part of the next token
 * request.
 */
bool quota_leases_take(quota_leases_t *leases, uint64_t now_ms, uint64_t key, quota_use_t use);

/** Whether a token is available; does not count as a request. */
bool quota_leases_has(const quota_leases_t *leases, uint64_t now_ms, uint64_t key);

/** Returns the time at which the tokens expire, 0 if none were leased. */
uint64_t quota_leases_expiry(const quota_leases_t *leases, uint64_t key);

/** Sets the service hash sent with token requests for `key`. */
void quota_leases_set_service(quota_leases_t *leases, uint64_t key, uint64_t service);

/** Removes leases not used for QUOTA_IDLE_MS that have no tokens or pending requests. */
void quota_leases_remove_idle(quota_leases_t *leases, uint64_t now_ms);

/** Returns a taken but unused token with the next token request. */
void quota_leases_return(quota_leases_t *leases, uint64_t key);

/** Schedules expired tokens for return with the next token request. */
void quota_leases_expire(quota_leases_t *leases, uint64_t now_ms);

/** Moves all pending requests, begins and returned tokens into a token request. The caller frees `ask->demands`. */
void quota_leases_fill_request(quota_leases_t *leases, uint64_t now_ms, QuotaAsk *ask);

/**
 * Adds granted tokens that no waiting request took. If `tokens` is not 0, all tokens of `key` then expire
 * QUOTA_LEASE_MS after `sent_ms`, the time at which the token request was sent.
 */
void quota_leases_add(quota_leases_t *leases, uint64_t sent_ms, uint64_t key, uint32_t tokens);

#endif
