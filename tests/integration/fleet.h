/**
 * @file fleet.h
 * Starts real daemons and the stand-ins for a test, and talks to them as
 * callers and operators do. Ports are free ones found at the start; waits are
 * on conditions, bounded by FLEET_LIMIT_MS.
 */
#ifndef BANKBANK_TESTS_FLEET_H
#define BANKBANK_TESTS_FLEET_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include <jansson.h>

#include "base/buffer.h"

enum { FLEET_MAX = 5, FLEET_LIMIT_MS = 30000, FLEET_MAX_TOKENS = 24, FLEET_LOG_LINES = 12 };

/** One daemon. */
struct fleet_node {
    pid_t process;     /**< Its process, 0: not running. */
    int caller_port;   /**< Port for callers. */
    int operator_port; /**< Port for operators. */
    int peer_port;     /**< Port of its peer link. */
};

/** All processes of a test. */
struct fleet {
    char folder[256];                   /**< Temporary folder of settings, data and logs. */
    pid_t emulator;                     /**< Stand-ins. */
    int emulator_port;                  /**< Their port. */
    uint32_t count;                     /**< Daemons. */
    uint32_t spares;                    /**< The last ones, not members at first; set before fleet_start(). */
    struct fleet_node nodes[FLEET_MAX]; /**< Daemons, node 1 first. */
};

/** An answer to a caller. */
struct fleet_answer {
    int status;           /**< HTTP status, 0: none. */
    bool whole;           /**< The transfer ended as it should. */
    char run_state[16];   /**< X-Run-State, or "". */
    char retry_after[16]; /**< Retry-After, or "". */
    struct buffer body;   /**< Body. */
};

/** Folder of the programs under test; set by fleet_main(). */
extern const char *fleet_build;

/** Removes a stopped daemon's data. */
void fleet_lose_disk(const struct fleet *fleet, uint32_t node);

/** Starts stand-ins and `count` daemons, ready and with a pool, a policy and a service. */
void fleet_start(struct fleet *fleet, uint32_t count);

/** Ends all and removes the folder; fails if a daemon does not stop cleanly. */
void fleet_stop(struct fleet *fleet);

/** Starts a daemon, and waits until it is ready. */
void fleet_start_node(struct fleet *fleet, uint32_t node);
void fleet_wait_ready(const struct fleet *fleet, uint32_t node);

/** Ends a daemon by a signal and returns its wait status. */
int fleet_end_node(struct fleet *fleet, uint32_t node, int signal_number);

/** Sends a request; header lines end with NULL. */
void fleet_request(int port, const char *method, const char *path, const char *body, const char *const *headers,
                   struct fleet_answer *answer);

/** Opens a connection to a port of this machine. */
int fleet_connect(int port);

/** Sends raw bytes, closes the sending side if `half_close`, and returns what came back. */
char *fleet_raw(int port, const char *bytes, size_t length, bool half_close);

void fleet_answer_close(struct fleet_answer *answer);

/** Creates a program and copies its id. */
void fleet_create_program(const struct fleet *fleet, uint32_t node, char *id, size_t size);

/** Asks call `number` of a program; `options` are further header lines or NULL. */
void fleet_ask(const struct fleet *fleet, uint32_t node, const char *program, uint32_t number, const char *text,
               bool stream, const char *const *options, struct fleet_answer *answer);

/** Asks, again after each 503 as a caller should, and expects an answer; returns the assistant's text (owned). */
char *fleet_must_answer(const struct fleet *fleet, uint32_t node, const char *program, uint32_t number,
                        const char *text);

/** Expects a stored history of `answers` answers that fit the conversation. */
void fleet_must_verify(const struct fleet *fleet, uint32_t node, const char *program, uint64_t answers);

/** Sets a fault at the first `engines` engines; `count` 0: until it is set anew. */
void fleet_set_fault_at(const struct fleet *fleet, int engines, const char *fault, int amount, int count);

/** Sets a fault at every engine. */
void fleet_set_fault(const struct fleet *fleet, const char *fault, int amount, int count);

/** Sum of a statistic over the stand-ins of a kind, "engines" or "backends". */
json_int_t fleet_sum(const struct fleet *fleet, const char *kind, const char *statistic);

/** Runs bankbankctl against a node; words end with NULL. Returns its exit status and output (owned). */
int fleet_ctl(const struct fleet *fleet, uint32_t node, const char *const *words, char **output);

/** Runs bankbankctl and fails with its output and the daemons' last log lines unless it exits with 0. */
void fleet_must_ctl(const struct fleet *fleet, uint32_t node, const char *const *words);

/** Repeats `reached` until it is true or the limit is over. */
bool fleet_wait_for(bool (*reached)(void *context), void *context);

/** Value of a metric of a daemon. */
double fleet_metric(const struct fleet *fleet, uint32_t node, const char *name);

#endif
