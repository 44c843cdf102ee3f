/**
 * @file gateway.h
 * State and functions shared by the request handlers of one daemon.
 */
#ifndef BANKBANK_DAEMON_GATEWAY_H
#define BANKBANK_DAEMON_GATEWAY_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include <civetweb.h>

#include "control.pb.h"
#include "core/admission.h"
#include "daemon/config_view.h"
#include "daemon/control.h"
#include "daemon/endpoints.h"
#include "daemon/settings.h"
#include "net/http.h"

enum {
    GATEWAY_CONTROL_TIMEOUT_MS = 5000, /**< Of a request to the state replicas. */
    GATEWAY_ASYNC_TIMEOUT_MS = 60000,  /**< How long gateway_propose_async() retries an entry. */
    GATEWAY_MAX_TENANTS = 1024,        /**< Not used. */
    GATEWAY_ID_LENGTH = 48             /**< Upper limit for generated ids of programs without a parent. */
};

/** Usage at this daemon only. */
struct gateway_tenant {
    char *name; /**< Hash key. */
    struct admission_usage usage;
    UT_hash_handle hh;
};

/** Event counters; `calls_*` count chat calls. */
struct gateway_counters {
    uint64_t calls_started;
    uint64_t calls_finished;     /**< Answered completely. */
    uint64_t calls_replayed;     /**< Answered from the ledger. */
    uint64_t calls_refused;      /**< Refused without running. */
    uint64_t calls_unknown;      /**< Ended with an unknown outcome. */
    uint64_t attempts_retried;   /**< On another engine. */
    uint64_t answers_mismatched; /**< Answers dropped because they belong to another attempt. */
    uint64_t prompt_tokens;      /**< As reported by the engines. */
    uint64_t cached_tokens;      /**< Of these, served from engine caches. */
    uint64_t completion_tokens;
    uint64_t service_requests; /**< Retries are not counted. */
    uint64_t service_failures; /**< Part of service_requests. */
    uint64_t memory_releases;  /**< Cache releases confirmed by engines. */
};

struct gateway {
    const struct settings *settings; /**< Constant. */
    struct control *control;
    struct endpoints endpoints;
    pthread_mutex_t tenants_lock;     /**< Guards `tenants`. */
    struct gateway_tenant *tenants;   /**< Keyed by name. */
    http_body_share_t bodies;         /**< Memory of the bodies of callers and operators. */
    struct gateway_counters counters; /**< Atomic. */
    long in_flight;                   /**< Requests in flight; atomic. */
    bool draining;                    /**< New requests are refused; atomic. */
};

#define gateway_count(gateway, counter) __atomic_add_fetch(&(gateway)->counters.counter, 1, __ATOMIC_RELAXED)
#define gateway_add(gateway, counter, amount) __atomic_add_fetch(&(gateway)->counters.counter, amount, __ATOMIC_RELAXED)

void gateway_init(struct gateway *gateway, const struct settings *settings, struct control *control);
void gateway_close(struct gateway *gateway);

/** While draining, sends an error and returns false; otherwise call gateway_end_request() at the end. */
bool gateway_begin_request(struct gateway *gateway, struct mg_connection *connection);
void gateway_end_request(struct gateway *gateway);

bool gateway_is_draining(const struct gateway *gateway);

/** See admission_start() and admission_end(). */
enum admission_result gateway_admit(struct gateway *gateway, const char *tenant, const struct admission_limits *limits,
                                    uint64_t tokens, uint64_t *retry_after_ms);
void gateway_release_admission(struct gateway *gateway, const char *tenant, uint64_t estimated, uint64_t used);

/**
 * Proposes an entry to the program's group and waits for the result. The caller
 * owns the result's memory: free it with message_free(EntryResult_fields, result).
 */
ResultCode gateway_propose(struct gateway *gateway, const char *program, const Entry *entry, EntryResult *result);

/** Same as gateway_propose(), for the configuration group. */
ResultCode gateway_propose_config(struct gateway *gateway, const Entry *entry, EntryResult *result);

/** Proposes an entry without waiting for the result; retries for GATEWAY_ASYNC_TIMEOUT_MS. */
void gateway_propose_async(struct gateway *gateway, const char *program, const Entry *entry);

/**
 * The history ends with call `through_call`; 0: none, UINT32_MAX: all. Free the
 * view with message_free(ProgramView_fields, view).
 */
ResultCode gateway_read_program(struct gateway *gateway, const char *program, uint32_t through_call, ProgramView *view);

/** Fills `text` with `digits` random hex digits (at most GATEWAY_ID_LENGTH) and a NUL. */
void gateway_random_hex(char *text, size_t digits);

/** Sends the HTTP error for the result code. */
void gateway_send_result_error(struct mg_connection *connection, const EntryResult *result);

/**
 * Returns the name of the caller's tenant; on failure sends an error and returns NULL.
 * `default_policy` receives the tenant's default policy or NULL. Results are valid while `view` is pinned.
 */
const char *gateway_authenticate(struct gateway *gateway, struct mg_connection *connection,
                                 const struct config_view *view, struct admission_limits *limits,
                                 const char **default_policy);

#endif
