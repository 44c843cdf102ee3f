/**
 * @file retry.h
 * Limits on repeated attempts, and the health of an endpoint. Pure.
 */
#ifndef BANKBANK_CORE_RETRY_H
#define BANKBANK_CORE_RETRY_H

#include <stdbool.h>
#include <stdint.h>

enum {
    RETRY_BUDGET_PERCENT = 10,   /**< Retries allowed, as a share of recent requests. */
    RETRY_BUDGET_MINIMUM = 10,   /**< Retries allowed without recent traffic. */
    RETRY_BUDGET_MAXIMUM = 100,  /**< Most retries saved up. */
    RETRY_BACKOFF_BASE_MS = 10,  /**< First pause. */
    RETRY_BACKOFF_MAX_MS = 1000, /**< Longest pause. */
    CIRCUIT_FAILURES = 5,        /**< Consecutive failures that open the circuit. */
    CIRCUIT_OPEN_MS = 1000,      /**< First time it stays open. */
    CIRCUIT_OPEN_MAX_MS = 30000  /**< Longest time it stays open. */
};

/** Keeps retries a small share of the traffic, so that they cannot feed an overload. */
struct retry_budget {
    uint32_t hundredths; /**< Saved retries, in hundredths. */
    bool started;        /**< The minimum was granted. */
};

/** Notes a first attempt. */
void retry_budget_note_request(struct retry_budget *budget);

/** Takes one retry; false: none is left. */
bool retry_budget_take(struct retry_budget *budget);

/** Pause before retry number `attempt` (from 1): exponential, with jitter from `random`. */
uint32_t retry_backoff_ms(uint32_t attempt, uint64_t random);

/** Health of one endpoint: CLOSED (used) -> OPEN (ejected) -> one trial -> CLOSED or OPEN. */
struct circuit {
    uint32_t failures;      /**< Consecutive failures. */
    uint32_t trips;         /**< Consecutive openings. */
    uint64_t open_until_ms; /**< End of the ejection; 0: closed. */
};

/** Whether the endpoint may be used now; after an ejection a call is the trial. */
bool circuit_allows(const struct circuit *circuit, uint64_t now_ms);

/** Notes the outcome of a use. */
void circuit_note_success(struct circuit *circuit);
void circuit_note_failure(struct circuit *circuit, uint64_t now_ms);

/** Ejects at once: the endpoint cannot be reached. */
void circuit_open(struct circuit *circuit, uint64_t now_ms);

#endif
