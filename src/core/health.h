/**
 * @file health.h
 * Passive health check: the failure share of a server, an exponential moving
 * average over the outcomes of one gateway's requests. Finds partial failures
 * that active checks miss. No I/O; callers pass the time.
 *
 * The share also decays with time, so that an avoided server gradually receives
 * requests again. The part above HEALTH_TOLERATED_SHARE counts as additional
 * in-flight requests when servers are compared (server_table.h): an occasional
 * failure has no effect, and servers that all fail equally are treated alike.
 */
#ifndef BANKBANK_CORE_HEALTH_H
#define BANKBANK_CORE_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

enum {
    HEALTH_ONE = 1 << 16,                         /**< Fixed-point 1. */
    HEALTH_HALF_LIFE_MS = 4000,                   /**< Half-life of a share without new outcomes. */
    HEALTH_AVERAGE_DIVISOR = 4,                   /**< The weight of a new outcome in the average is 1 / this. */
    HEALTH_PENALTY_REQUESTS = 100,                /**< Additional requests per share of 1 above the tolerated share. */
    HEALTH_TOLERATED_SHARE = HEALTH_ONE * 3 / 10, /**< No effect up to this; a single failure stays below. */
    HEALTH_RECOVERED_SHARE = HEALTH_ONE / 10,     /**< A failing server is logged as recovered below this. */
    HEALTH_UNANSWERED_MS = 800,                   /**< Minimum time without a response that counts as a failure. */
    HEALTH_UNANSWERED_TARGETS = 4 /**< The same as a multiple of the route's target latency; the longer time applies. */
};

typedef enum health_outcome_t {
    HEALTH_SERVED,    /**< Complete response that is not a server error. */
    HEALTH_FAILED,    /**< Incomplete or invalid response, or a server error. */
    HEALTH_REFUSED,   /**< Refused although the server appeared to have free slots. */
    HEALTH_UNANSWERED /**< No response started within the expected time. */
} health_outcome_t;

/** All zero: no failures known. */
typedef struct health_t {
    uint32_t share; /**< Failure share at `updated_ms`, in units of 1 / HEALTH_ONE. */
    uint64_t updated_ms;
} health_t;

void health_record(health_t *health, uint64_t now_ms, health_outcome_t outcome);

/** In units of 1 / HEALTH_ONE. */
uint32_t health_share(const health_t *health, uint64_t now_ms);

/** Additional in-flight requests that a share counts as when servers are compared. */
uint32_t health_penalty_requests(uint32_t share);

/** Whether a share is above HEALTH_TOLERATED_SHARE: a program then leaves this server for one without such a share. */
bool health_is_bad(uint32_t share);

/**
 * Whether to log the server as failing, with hysteresis: true from above HEALTH_TOLERATED_SHARE until below
 * HEALTH_RECOVERED_SHARE.
 */
bool health_should_log_failing(bool was_failing, uint32_t share);

#endif
