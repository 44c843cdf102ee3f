/**
 * @file gateway.h
 * What the request handlers of one daemon share.
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
    GATEWAY_CONTROL_MS = 5000,  /**< Time a ledger entry may take. */
    GATEWAY_POST_MS = 60000,    /**< Time an entry that nobody waits for is retried. */
    GATEWAY_MAX_TENANTS = 1024, /**< Tenants with usage counted here. */
    GATEWAY_ID_LENGTH = 48      /**< Room for a program id. */
};

/** Usage of one tenant at this daemon. */
struct gateway_tenant {
    char *name;                   /**< Tenant, the key. */
    struct admission_usage usage; /**< Usage. */
    UT_hash_handle hh;            /**< By name. */
};

/** Counters, one an event. */
struct gateway_counters {
    uint64_t calls_started;     /**< Chat calls begun. */
    uint64_t calls_finished;    /**< Chat calls answered whole. */
    uint64_t calls_replayed;    /**< Answers given from the ledger. */
    uint64_t calls_refused;     /**< Refused before they ran. */
    uint64_t calls_unknown;     /**< Ended with an unknown outcome. */
    uint64_t attempts_retried;  /**< Attempts repeated on another engine. */
    uint64_t answers_crossed;   /**< Answers of another attempt, dropped. */
    uint64_t prompt_tokens;     /**< Prompt tokens by the engines' count. */
    uint64_t cached_tokens;     /**< Of these, served from engine caches. */
    uint64_t completion_tokens; /**< Tokens generated. */
    uint64_t service_requests;  /**< Plain service requests. */
    uint64_t service_failures;  /**< Of these, failed. */
    uint64_t releases;          /**< Engine memory releases confirmed. */
};

/** Shared state of the request handlers. */
struct gateway {
    const struct settings *settings;  /**< Fixed settings. */
    struct control *control;          /**< Control plane. */
    struct endpoints endpoints;       /**< Back ends. */
    pthread_mutex_t tenants_lock;     /**< Guards `tenants`. */
    struct gateway_tenant *tenants;   /**< Usage by tenant. */
    struct gateway_counters counters; /**< Events; atomic. */
    long in_flight;                   /**< Requests being served; atomic. */
    bool draining;                    /**< No new work; atomic. */
};

#define gateway_count(gateway, counter) __atomic_add_fetch(&(gateway)->counters.counter, 1, __ATOMIC_RELAXED)
#define gateway_add(gateway, counter, amount) __atomic_add_fetch(&(gateway)->counters.counter, amount, __ATOMIC_RELAXED)

/** Starts and frees the shared state. */
void gateway_init(struct gateway *gateway, const struct settings *settings, struct control *control);
void gateway_close(struct gateway *gateway);

/** Counts a request in flight; false, with an error sent, while draining. */
bool gateway_enter(struct gateway *gateway, struct mg_connection *connection);
void gateway_leave(struct gateway *gateway);

/** Whether a planned stop has begun. */
bool gateway_is_draining(const struct gateway *gateway);

/** Asks the tenant's limits, see admission_start(). */
enum admission_verdict gateway_admit(struct gateway *gateway, const char *tenant, const struct admission_limits *limits,
                                     uint64_t tokens, uint64_t *retry_after_ms);
void gateway_release(struct gateway *gateway, const char *tenant, uint64_t estimated, uint64_t used);

/**
 * Proposes an entry and waits for its result. The result's memory belongs to
 * the caller: free it with message_free(EntryResult_fields, result).
 */
ResultCode gateway_propose(struct gateway *gateway, const char *program, const Entry *entry, EntryResult *result);

/** The same for group 0. */
ResultCode gateway_propose_config(struct gateway *gateway, const Entry *entry, EntryResult *result);

/** Proposes an entry that nobody waits for. */
void gateway_post(struct gateway *gateway, const char *program, const Entry *entry);

/** Reads a program; free the view with message_free(ProgramView_fields, view). */
ResultCode gateway_read_program(struct gateway *gateway, const char *program, uint32_t through_call, ProgramView *view);

/** Fills `text` with `digits` random hex digits and a NUL. */
void gateway_random_hex(char *text, size_t digits);

/** Sends the error that a result stands for. */
void gateway_send_result_error(struct mg_connection *connection, const EntryResult *result);

/** Name of the caller's tenant, or NULL with an error sent. `tenant` gets its limits. */
const char *gateway_authenticate(struct gateway *gateway, struct mg_connection *connection,
                                 const struct config_view *view, struct admission_limits *limits,
                                 const char **default_policy);

#endif
