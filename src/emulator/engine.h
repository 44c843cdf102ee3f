/**
 * @file engine.h
 * One emulated model engine: continuous batching in steps, prompt cache,
 * priorities, cancel, and faults on demand.
 */
#ifndef BANKBANK_EMULATOR_ENGINE_H
#define BANKBANK_EMULATOR_ENGINE_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "emulator/prefix_cache.h"

/** What goes wrong at an engine. */
enum engine_fault {
    ENGINE_FAULT_NONE,
    ENGINE_FAULT_DIE,     /**< Cuts every connection at once. */
    ENGINE_FAULT_HANG,    /**< Takes requests and never answers. */
    ENGINE_FAULT_SLOW,    /**< Steps take `amount` times as long. */
    ENGINE_FAULT_CUT,     /**< Cuts the answer after `amount` tokens. */
    ENGINE_FAULT_LATE,    /**< Answers `amount` ms late. */
    ENGINE_FAULT_CROSSED, /**< Gives another request's answer. */
    ENGINE_FAULT_REFUSE   /**< Answers 503 and says that it drains. */
};

/** Fixed settings of an engine. */
struct engine_config {
    uint32_t step_us;        /**< Time of a step, 3000 or more for realism. */
    uint32_t slots;          /**< Sequences in a batch. */
    uint32_t prefill_tokens; /**< Prompt tokens computed in a step. */
    uint64_t cache_tokens;   /**< Prompt cache capacity. */
};

/** A sequence in the engine. */
struct engine_sequence {
    uint64_t prefill_left;        /**< Prompt tokens still to compute. */
    uint64_t length;              /**< Tokens to generate. */
    uint64_t produced;            /**< Tokens generated. */
    int64_t priority;             /**< Lower is served earlier. */
    uint64_t order;               /**< Arrival number. */
    bool running;                 /**< In the batch. */
    pthread_cond_t progressed;    /**< Signalled after each token. */
    struct engine_sequence *next; /**< All sequences of the engine. */
};

/** Counters of an engine. */
struct engine_counters {
    uint64_t requests;          /**< Requests that began to run. */
    uint64_t finished;          /**< Requests answered. */
    uint64_t cancelled;         /**< Requests whose caller left. */
    uint64_t prompt_tokens;     /**< Prompt tokens asked. */
    uint64_t cached_tokens;     /**< Of these, found in the cache. */
    uint64_t completion_tokens; /**< Tokens generated. */
};

/** An engine. */
struct engine {
    struct engine_config config;       /**< Fixed settings. */
    pthread_t thread;                  /**< Runs the steps. */
    pthread_mutex_t lock;              /**< Guards all below. */
    pthread_cond_t work;               /**< Signalled when a sequence arrives. */
    bool stopping;                     /**< The thread must end. */
    struct engine_sequence *sequences; /**< All sequences. */
    uint32_t running;                  /**< Sequences in the batch. */
    uint32_t waiting;                  /**< Sequences outside it. */
    uint64_t arrivals;                 /**< Arrival counter. */
    struct prefix_cache cache;         /**< Prompt cache. */
    enum engine_fault fault;           /**< Current fault. */
    uint64_t fault_amount;             /**< Its parameter. */
    uint64_t fault_count;              /**< Requests it still hits; 0: all. */
    struct engine_counters counters;   /**< Events. */
};

/** Starts and stops an engine. */
bool engine_start(struct engine *engine, const struct engine_config *config);
void engine_stop(struct engine *engine);

/** Adds a sequence; the lock must not be held. */
void engine_add(struct engine *engine, struct engine_sequence *sequence);

/** Removes it, finished or cancelled. */
void engine_remove(struct engine *engine, struct engine_sequence *sequence, bool finished);

/** Waits until more than `seen` tokens are there; returns their number, or `seen` when stopping. */
uint64_t engine_wait(struct engine *engine, struct engine_sequence *sequence, uint64_t seen);

/** Takes the fault that hits the next request, with its parameter. */
enum engine_fault engine_take_fault(struct engine *engine, uint64_t *amount);

/** Sets a fault; `count` 0 means until it is changed. */
void engine_set_fault(struct engine *engine, enum engine_fault fault, uint64_t amount, uint64_t count);

#endif
