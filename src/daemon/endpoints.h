/**
 * @file endpoints.h
 * Calls in flight, health and reported load of engines and of the back ends of
 * services. Entries are keyed by base URL and outlive configuration changes.
 */
#ifndef BANKBANK_DAEMON_ENDPOINTS_H
#define BANKBANK_DAEMON_ENDPOINTS_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "core/placement.h"
#include "core/retry.h"

struct endpoint {
    char *url; /**< Base URL; hash key. */
    struct circuit circuit;
    uint32_t own_calls;           /**< In flight from this daemon. */
    uint32_t reported_calls;      /**< Running and waiting in its last report. */
    uint32_t own_calls_at_report; /**< own_calls when that report arrived. */
    uint32_t slots;               /**< Maximum concurrent calls, by its last report; 0: not known. */
    double mean_call_ms;          /**< Exponential moving average of successful calls; 0: none yet. */
    uint64_t draining_until_ms;   /**< Monotonic clock; 0: never reported as draining. */
    char *host;                   /**< "IP:PORT" of the URL. */
    size_t ip_length;             /**< Bytes of the IP in `host`. */
    UT_hash_handle hh;
};

/** A machine in the state "leaving" in the platform's machine list. */
struct leaving_machine {
    char *address; /**< "IP:PORT", or "IP" for every port; hash key. */
    UT_hash_handle hh;
};

struct endpoints {
    pthread_mutex_t lock; /**< Guards the members below except `rotation`. */
    struct endpoint *by_url;
    struct leaving_machine *leaving; /**< Also machines without an endpoint in `by_url`. */
    struct retry_budget budget;      /**< Shared by all calls of this daemon. */
    uint64_t rotation;               /**< Round-robin counter; atomic. */
};

/** Load that an engine reports in its response headers. */
struct endpoint_report {
    bool present; /**< False: the response had no load headers. */
    uint32_t running;
    uint32_t waiting;
    uint32_t slots; /**< Maximum calls that the engine runs concurrently. */
};

/** ENDPOINT_NEUTRAL does not change the endpoint's health. */
enum endpoint_outcome { ENDPOINT_SUCCESS, ENDPOINT_FAILURE, ENDPOINT_DRAINING, ENDPOINT_NEUTRAL };

void endpoints_init(struct endpoints *endpoints);
void endpoints_close(struct endpoints *endpoints);

/**
 * Fills the load of a candidate. Clears `usable` if the endpoint is draining, its
 * machine is leaving or its circuit is open.
 */
void endpoints_fill_candidate(struct endpoints *endpoints, const char *url, uint64_t now_ms,
                              struct placement_candidate *candidate);

void endpoints_begin_call(struct endpoints *endpoints, const char *url);

/** `report` may be NULL. */
void endpoints_end_call(struct endpoints *endpoints, const char *url, enum endpoint_outcome outcome, uint64_t now_ms,
                        uint64_t duration_ms, const struct endpoint_report *report);

/** Copies the addresses, each "IP:PORT" or "IP". */
void endpoints_replace_leaving(struct endpoints *endpoints, const char *const *addresses, size_t count);

/** Retry budget, see struct retry_budget; endpoints_take_retry() returns false if it is used up. */
void endpoints_record_request(struct endpoints *endpoints);
bool endpoints_take_retry(struct endpoints *endpoints);

uint64_t endpoints_next_rotation(struct endpoints *endpoints);

#endif
