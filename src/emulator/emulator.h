/**
 * @file emulator.h
 * All stand-ins of one emulator process behind one HTTP port:
 *
 *   /engines/N/v1/...   model engine N (from 0): chat completions, cache
 *   /backends/N/...     plain back end N
 *   /machines           the platform's machine list
 *   /old-site/...       the site that programs are handed over from
 *   /control/...        faults and statistics, for tests and experiments
 */
#ifndef BANKBANK_EMULATOR_EMULATOR_H
#define BANKBANK_EMULATOR_EMULATOR_H

#include <civetweb.h>

#include "emulator/engine.h"

/** A request that a back end ran. */
struct backend_run {
    char *key;         /**< X-Request-Key of the request. */
    uint64_t count;    /**< Times it ran. */
    UT_hash_handle hh; /**< By key. */
};

/** A plain back end. */
struct backend {
    uint64_t requests;        /**< Requests run. */
    uint64_t delay_us;        /**< Time a request takes. */
    bool draining;            /**< Answers 503 and X-Draining. */
    bool dead;                /**< Cuts every connection. */
    struct backend_run *runs; /**< Runs by key. */
};

/** A program at the old site. */
struct old_program {
    char *id;          /**< Program id. */
    json_t *export;    /**< What a hand-over carries. */
    uint64_t epoch;    /**< Epoch of the preparation, 0: none. */
    bool committed;    /**< Handed over for good. */
    UT_hash_handle hh; /**< By id. */
};

/** A machine on the platform's list. */
struct machine {
    char *address;     /**< IP:PORT. */
    char *state;       /**< "live" or "leaving". */
    UT_hash_handle hh; /**< By address. */
};

/** Fixed settings. */
struct emulator_config {
    const char *listen;          /**< IP:PORT; port 0: any. */
    uint32_t engine_count;       /**< Engines. */
    uint32_t backend_count;      /**< Back ends. */
    uint32_t threads;            /**< HTTP threads, one an open request. */
    struct engine_config engine; /**< Settings of every engine. */
    uint64_t backend_delay_us;   /**< Time a plain request takes. */
};

/** The process. */
struct emulator {
    struct emulator_config config;    /**< Fixed settings. */
    struct mg_context *server;        /**< HTTP server. */
    int port;                         /**< Its port. */
    struct engine *engines;           /**< config.engine_count of them. */
    pthread_mutex_t lock;             /**< Guards all below. */
    struct backend *backends;         /**< config.backend_count of them. */
    struct old_program *old_programs; /**< Old site. */
    struct machine *machines;         /**< Machine list. */
};

/** Starts and stops everything. */
bool emulator_start(struct emulator *emulator, const struct emulator_config *config);
void emulator_stop(struct emulator *emulator);

/** CivetWeb handlers; `context` is the emulator. */
int engine_api_handle(struct mg_connection *connection, void *context);
int backend_api_handle(struct mg_connection *connection, void *context);
int machines_api_handle(struct mg_connection *connection, void *context);
int old_site_api_handle(struct mg_connection *connection, void *context);
int control_api_handle(struct mg_connection *connection, void *context);

/** Reads a JSON body; NULL, with an error sent, if it is not an object. */
json_t *emulator_read_json(struct mg_connection *connection);

/** Sends a JSON answer and frees it. */
void emulator_send_json(struct mg_connection *connection, int status, json_t *body);

/** Sends an error. */
void emulator_send_error(struct mg_connection *connection, int status, const char *text);

/** Reads "PREFIX/NUMBER/rest"; false if the number is missing or not below `count`. */
bool emulator_parse_path(const char *path, const char *prefix, uint32_t count, uint32_t *number, const char **rest);

#endif
