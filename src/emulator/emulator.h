/**
 * @file emulator.h
 * Emulates the systems around bankbank in one process, behind one HTTP port:
 *
 *   /engines/N/v1/...   model engine N (from 0): chat completions, cache
 *   /backends/N/...     plain back end N (from 0): a service without a model
 *   /machines           the platform's machine list
 *   /old-site/...       an old site, from which programs move to bankbank
 *   /control/...        fault injection and statistics
 */
#ifndef BANKBANK_EMULATOR_EMULATOR_H
#define BANKBANK_EMULATOR_EMULATOR_H

#include <civetweb.h>

#include "emulator/engine.h"

/** Runs of one request at a back end. */
struct backend_run {
    char *key; /**< X-Request-Key of the request. */
    uint64_t count;
    UT_hash_handle hh; /**< Keyed by `key`. */
};

/** A plain back end. */
struct backend {
    uint64_t requests; /**< Requests processed. */
    uint64_t delay_us; /**< Processing time of a request. */
    bool draining;     /**< Answers 503 with X-Draining. */
    bool dead;         /**< Closes every connection without an answer. */
    struct backend_run *runs;
};

/** A program at the old site. */
struct old_program {
    char *id;
    json_t *export;    /**< Exported state of the program. */
    uint64_t epoch;    /**< Epoch of the last prepare step; 0 for none. */
    bool committed;    /**< The hand-over is final. */
    UT_hash_handle hh; /**< Keyed by `id`. */
};

/** A machine on the platform's list. */
struct machine {
    char *address;     /**< IP:PORT. */
    char *state;       /**< "live" or "leaving". */
    UT_hash_handle hh; /**< Keyed by `address`. */
};

struct emulator_config {
    const char *listen; /**< IP:PORT; port 0 for any free port. */
    uint32_t engine_count;
    uint32_t backend_count;
    uint32_t threads;            /**< HTTP threads; each open request occupies one. */
    struct engine_config engine; /**< Settings of every engine. */
    uint64_t backend_delay_us;   /**< Processing time of a plain request. */
};

struct emulator {
    struct emulator_config config;
    struct mg_context *server;
    int port;                 /**< Listening port. */
    struct engine *engines;   /**< Array of config.engine_count. */
    pthread_mutex_t lock;     /**< Guards the members below. */
    struct backend *backends; /**< Array of config.backend_count. */
    struct old_program *old_programs;
    struct machine *machines;
};

/** Starts the engines and the HTTP server; false on failure. */
bool emulator_start(struct emulator *emulator, const struct emulator_config *config);

/** Stops the HTTP server and the engines, and frees all memory. */
void emulator_stop(struct emulator *emulator);

/** CivetWeb handlers; `context` is the emulator. */
int engine_api_handle(struct mg_connection *connection, void *context);
int backend_api_handle(struct mg_connection *connection, void *context);
int machines_api_handle(struct mg_connection *connection, void *context);
int old_site_api_handle(struct mg_connection *connection, void *context);
int control_api_handle(struct mg_connection *connection, void *context);

/** Reads the request body as a JSON object; if it is not one, sends an error and returns NULL. */
json_t *emulator_read_json(struct mg_connection *connection);

/** Takes over the reference to `body`. */
void emulator_send_json(struct mg_connection *connection, int status, json_t *body);

void emulator_send_error(struct mg_connection *connection, int status, const char *message);

/** Parses PREFIX NUMBER REST, for example "/engines/2/v1"; false if the number is missing or not below `count`. */
bool emulator_parse_path(const char *path, const char *prefix, uint32_t count, uint32_t *number, const char **rest);

#endif
