/**
 * @file retry.h
 * Retry budget, retry backoff, and a circuit breaker for an endpoint. No I/O;
 * callers pass the time and random numbers.
 */
#ifndef BANKBANK_CORE_RETRY_H
#define BANKBANK_CORE_RETRY_H

#include <stdbool.h>
#include <stdint.h>

enum {
    RETRY_BUDGET_PERCENT = 10,  /**< Retries allowed, as a percentage of recent requests. */
    RETRY_BUDGET_MINIMUM = 10,  /**< Retries allowed without recent traffic. */
    RETRY_BUDGET_MAXIMUM = 100, /**< Retries that can accumulate. */
    RETRY_BACKOFF_BASE_MS = 10,
    RETRY_BACKOFF_MAX_MS = 1000,
    CIRCUIT_FAILURES = 5,   /**< Consecutive failures that open the circuit. */
    CIRCUIT_OPEN_MS = 1000, /**< Time open after the first opening; doubles with each consecutive one. */
    CIRCUIT_OPEN_MAX_MS = 30000
};

/** Limits retries to a share of the traffic, so that they do not amplify an overload. */
struct retry_budget {
    uint32_t hundredths; /**< Available retries, in hundredths. */
    bool started;        /**< RETRY_BUDGET_MINIMUM was granted. */
};

/** Records a first attempt. */
void retry_budget_record_request(struct retry_budget *budget);

/** Takes one retry from the budget; false if none is left. */
bool retry_budget_take(struct retry_budget *budget);

/** Exponential delay before retry number `attempt` (from 1), with jitter from `random`. */
uint32_t retry_backoff_ms(uint32_t attempt, uint64_t random);

/** Circuit breaker of one endpoint. After it was open, a single failure opens it again, until a call succeeds. */
struct circuit {
    uint32_t failures;      /**< Consecutive failures. */
    uint32_t trips;         /**< Consecutive openings. */
    uint64_t open_until_ms; /**< 0: closed. */
};

bool circuit_allows(const struct circuit *circuit, uint64_t now_ms);

void circuit_record_success(struct circuit *circuit);
void circuit_record_failure(struct circuit *circuit, uint64_t now_ms);

/** Opens the circuit at once, for an endpoint that cannot be reached. */
void circuit_open(struct circuit *circuit, uint64_t now_ms);

#endif
