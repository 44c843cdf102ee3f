/**
 * @file engine.h
 * An emulated model engine: continuous batching in steps, prompt cache,
 * priorities, cancellation, and injected faults.
 */
#ifndef BANKBANK_EMULATOR_ENGINE_H
#define BANKBANK_EMULATOR_ENGINE_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "emulator/prefix_cache.h"

/** In the order of the names in control_parse_fault(). */
enum engine_fault {
    ENGINE_FAULT_NONE,
    ENGINE_FAULT_DIE,          /**< Closes the connection of each new request without an answer. */
    ENGINE_FAULT_HANG,         /**< Accepts requests but does not answer. */
    ENGINE_FAULT_SLOW,         /**< Steps take `amount` times as long. */
    ENGINE_FAULT_TRUNCATE,     /**< Truncates the answer after `amount` tokens. */
    ENGINE_FAULT_DELAY,        /**< Delays the answer by `amount` ms. */
    ENGINE_FAULT_WRONG_ANSWER, /**< Answers with another request's id and text. */
    ENGINE_FAULT_REFUSE,       /**< Answers 503 with X-Draining. */
    ENGINE_FAULT_CUT_HEAD      /**< Runs nothing, and closes each connection inside the head of a 200. */
};

struct engine_config {
    uint32_t step_us;        /**< Duration of a step; real engines need 3000 or more. */
    uint32_t slots;          /**< Maximum sequences in a batch. */
    uint32_t prefill_tokens; /**< Prompt tokens computed per step. */
    uint64_t cache_tokens;   /**< Capacity of the prompt cache. */
};

/** A request being generated; the caller of engine_add owns it. */
struct engine_sequence {
    uint64_t prefill_remaining; /**< Prompt tokens still to compute. */
    uint64_t length;            /**< Tokens to generate. */
    uint64_t produced;          /**< Tokens generated so far. */
    int64_t priority;           /**< Lower values are scheduled first. */
    uint64_t order;             /**< Arrival number. */
    bool running;               /**< In the batch. */
    pthread_cond_t progressed;  /**< Signalled after each token. */
    struct engine_sequence *next;
};

struct engine_counters {
    uint64_t requests;
    uint64_t finished;  /**< Requests answered. */
    uint64_t cancelled; /**< Requests removed unfinished: truncated, or the client disconnected. */
    uint64_t prompt_tokens;
    uint64_t cached_tokens;     /**< Prompt tokens found in the cache. */
    uint64_t completion_tokens; /**< Tokens generated. */
};

struct engine {
    struct engine_config config;
    pthread_t thread;     /**< Runs the steps. */
    pthread_mutex_t lock; /**< Guards the members below. */
    pthread_cond_t work;  /**< Signalled when a sequence arrives. */
    bool stopping;
    struct engine_sequence *sequences; /**< All sequences, running or waiting. */
    uint32_t running;                  /**< Number of sequences in the batch. */
    uint32_t waiting;                  /**< Number of sequences waiting for a slot. */
    uint64_t arrivals;                 /**< Next arrival number. */
    struct prefix_cache cache;
    enum engine_fault fault;
    uint64_t fault_amount; /**< Parameter of the fault. */
    uint64_t fault_count;  /**< Remaining requests to fail; 0 for no limit. */
    struct engine_counters counters;
};

/** Starts the engine thread; false on failure. */
bool engine_start(struct engine *engine, const struct engine_config *config);

/** Stops and joins the engine thread, and frees the cache. */
void engine_stop(struct engine *engine);

/** Queues a sequence; the lock must not be held. */
void engine_add(struct engine *engine, struct engine_sequence *sequence);

/** Removes a sequence; the lock must not be held. Counts it as cancelled unless `finished`. */
void engine_remove(struct engine *engine, struct engine_sequence *sequence, bool finished);

/** Waits for more than `seen` tokens; returns the number produced, or `seen` if the engine is stopping. */
uint64_t engine_wait(struct engine *engine, struct engine_sequence *sequence, uint64_t seen);

/** Returns the fault of the next request, sets `amount` to its parameter, and counts the request against the limit. */
enum engine_fault engine_consume_fault(struct engine *engine, uint64_t *amount);

/** Sets the fault of the next `count` requests; of all further ones if `count` is 0, or for ENGINE_FAULT_DIE and
 * ENGINE_FAULT_CUT_HEAD. */
void engine_set_fault(struct engine *engine, enum engine_fault fault, uint64_t amount, uint64_t count);

#endif
