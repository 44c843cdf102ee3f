/**
 * @file quota_purse.h
 * A gateway's side of quotas: the tokens of tenants that it holds from the
 * leader (quota_table.h), and how many it asks for. Pure.
 *
 * A request takes a token that is held, or waits for the answer to an ask.
 * Asks ask for those that wait and for as many as came in the last
 * QUOTA_AHEAD_MS, so that a gateway with much of a tenant's traffic asks a few
 * times a second and one with little of it only when a request comes. What is
 * not used QUOTA_HELD_MS after it was asked for is not used any more, so that a
 * gateway that stands still or is cut off spends nothing of an earlier window
 * later; it goes back to the leader with the next ask, or an ask of its own.
 *
 * The begin of a program always asks: the leader decides on it by other grounds.
 */
#ifndef BANKBANK_CORE_QUOTA_PURSE_H
#define BANKBANK_CORE_QUOTA_PURSE_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "control.pb.h"

enum {
    QUOTA_AHEAD_MS = 100, /**< Time's worth of requests that is asked for ahead. */
    QUOTA_HELD_MS = 250,  /**< Time for which a token is good, from the ask. */
    QUOTA_IDLE_MS = 10000 /**< Time after which what nobody asks for is forgotten. */
};

/** What is held of a tenant. */
typedef struct quota_purse_t {
    uint64_t tenant;     /**< Hash of its name. */
    uint64_t service;    /**< Told with each ask. */
    uint32_t tokens;     /**< Tokens held. */
    uint64_t expires_ms; /**< When they are lost. */
    uint32_t waiting;    /**< Requests that no ask has been sent for yet. */
    uint32_t begins;     /**< Begins of programs that no ask has been sent for yet. */
    uint32_t unused;     /**< Tokens that go back to the leader. */
    uint32_t recent;     /**< Requests in the current period. */
    uint32_t before;     /**< Requests in the period before. */
    uint64_t period;     /**< Number of the current period. */
    UT_hash_handle hh;   /**< By tenant. */
} quota_purse_t;

/** All tenants'. */
typedef struct quota_purses_t {
    quota_purse_t *purses; /**< By tenant. */
    bool due;              /**< There is something to ask for, or to give back. */
} quota_purses_t;

/** Frees everything. */
void quota_purses_close(quota_purses_t *purses);

/** What asks for a token. */
typedef enum quota_use_t {
    QUOTA_USE_REQUEST, /**< Any request. */
    QUOTA_USE_BEGIN    /**< The first request of a program. */
} quota_use_t;

/** A request of a tenant: takes a token; false: it is counted among those that wait for the next ask. */
bool quota_purses_take(quota_purses_t *purses, uint64_t now_ms, uint64_t tenant, quota_use_t use);

/** Whether a token is held, which counts as no request. */
bool quota_purses_has(const quota_purses_t *purses, uint64_t now_ms, uint64_t tenant);

/** Time at which the tokens held are lost, 0: none were ever held. */
uint64_t quota_purses_expiry(const quota_purses_t *purses, uint64_t tenant);

/** Names the service of what is asked for under a key. */
void quota_purses_name_service(quota_purses_t *purses, uint64_t tenant, uint64_t service);

/** Forgets what was neither asked for nor held lately. */
void quota_purses_forget_idle(quota_purses_t *purses, uint64_t now_ms);

/** Gives back a token that was taken and not used. */
void quota_purses_return(quota_purses_t *purses, uint64_t tenant);

/** Looks for tokens whose time is over, which are given back then. */
void quota_purses_expire(quota_purses_t *purses, uint64_t now_ms);

/** Fills an ask for all that wait, who wait for its answer from now on; free `ask->demands`. */
void quota_purses_ask(quota_purses_t *purses, uint64_t now_ms, QuotaAsk *ask);

/** Keeps what the answer to an ask brought beyond what those that waited took. */
void quota_purses_put(quota_purses_t *purses, uint64_t asked_ms, uint64_t tenant, uint32_t tokens);

#endif
