/**
 * @file endpoints.h
 * What this daemon knows of each back end over time: calls in flight, health,
 * reported load. Keyed by base URL, shared by engines and plain back ends, and
 * independent of configuration changes.
 */
#ifndef BANKBANK_DAEMON_ENDPOINTS_H
#define BANKBANK_DAEMON_ENDPOINTS_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "core/placement.h"
#include "core/retry.h"

/** Knowledge of one endpoint. */
struct endpoint {
    char *url;                  /**< Base URL, the key. */
    struct circuit circuit;     /**< Health. */
    uint32_t own_calls;         /**< Calls in flight from here. */
    uint32_t reported_calls;    /**< Calls by its last report. */
    uint32_t own_calls_then;    /**< Own calls when that report came. */
    uint32_t slots;             /**< Slots by its last report. */
    double mean_call_ms;        /**< Moving mean of call times. */
    uint64_t draining_until_ms; /**< It said that it drains; 0: no. */
    char *host;                 /**< "IP:PORT" of the URL. */
    size_t ip_length;           /**< Leading part of `host` without the port. */
    UT_hash_handle hh;          /**< By URL. */
};

/** A machine that the platform calls leaving. */
struct leaving_machine {
    char *address;     /**< "IP:PORT", or "IP" for every port. */
    UT_hash_handle hh; /**< By address. */
};

/** All endpoints. */
struct endpoints {
    pthread_mutex_t lock;            /**< Guards everything below. */
    struct endpoint *by_url;         /**< By URL. */
    struct leaving_machine *leaving; /**< Machines on their way out, whether used here or not. */
    struct retry_budget budget;      /**< Retries of this daemon. */
    uint64_t rotation;               /**< Counter for round robin. */
};

/** Load that an engine reports in its answer's headers. */
struct endpoint_report {
    bool present;     /**< Headers were there. */
    uint32_t running; /**< Calls running. */
    uint32_t waiting; /**< Calls waiting. */
    uint32_t slots;   /**< Calls served at once. */
};

/** Outcome of a use, for the endpoint's health. */
enum endpoint_outcome { ENDPOINT_SUCCESS, ENDPOINT_FAILURE, ENDPOINT_DRAINING, ENDPOINT_NEUTRAL };

/** Starts and frees the table. */
void endpoints_init(struct endpoints *endpoints);
void endpoints_close(struct endpoints *endpoints);

/** Fills the dynamic part of a candidate; `usable` becomes false if it drains or is ejected. */
void endpoints_describe(struct endpoints *endpoints, const char *url, uint64_t now_ms,
                        struct placement_candidate *candidate);

/** Notes that a call to the endpoint starts. */
void endpoints_begin(struct endpoints *endpoints, const char *url);

/** Notes that it ended. */
void endpoints_end(struct endpoints *endpoints, const char *url, enum endpoint_outcome outcome, uint64_t now_ms,
                   uint64_t duration_ms, const struct endpoint_report *report);

/** Replaces the machines that are leaving; each is "IP:PORT" or "IP". */
void endpoints_replace_leaving(struct endpoints *endpoints, const char *const *addresses, size_t count);

/** Notes a request and takes a retry, see retry_budget. */
void endpoints_note_request(struct endpoints *endpoints);
bool endpoints_take_retry(struct endpoints *endpoints);

/** Next value of the rotation counter. */
uint64_t endpoints_rotate(struct endpoints *endpoints);

#endif
