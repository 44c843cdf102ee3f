/**
 * @file fleet.h
 * Runs daemons (bankbankd) and an emulator of engines and back ends for a test,
 * and sends requests as callers and operators do.
 */
#ifndef BANKBANK_TESTS_FLEET_H
#define BANKBANK_TESTS_FLEET_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include <jansson.h>

#include "base/buffer.h"

enum {
    FLEET_MAX_DAEMONS = 5,
    FLEET_WAIT_TIMEOUT_MS = 30000,
    FLEET_MAX_TOKENS = 24, /**< max_tokens of each call; the expected answers depend on it. */
    FLEET_LOG_LINES = 12   /**< Printed of each log after a failure. */
};

struct fleet_daemon {
    pid_t process; /**< 0: not running. */
    int caller_port;
    int operator_port;
    int peer_port;
};

struct fleet {
    char directory[256]; /**< Temporary directory for settings, data and logs. */
    pid_t emulator;
    int emulator_port;
    uint32_t count;  /**< Daemons, including spares. */
    uint32_t spares; /**< How many of the last daemons are not initial members; set before fleet_start(). */
    struct fleet_daemon daemons[FLEET_MAX_DAEMONS]; /**< Node N is at index N - 1. */
};

struct fleet_response {
    int status; /**< 0: no response. */
    bool complete;
    char run_state[16];   /**< X-Run-State; "": absent. */
    char retry_after[16]; /**< Retry-After; "": absent. */
    struct buffer body;
};

/** Build directory of the programs under test; set by main() of a test. */
extern const char *fleet_build;

/** The daemon must be stopped. */
void fleet_delete_data(const struct fleet *fleet, uint32_t node);

/** Starts the emulator and `count` daemons, waits until they are ready, and creates a pool, a policy and a service. */
void fleet_start(struct fleet *fleet, uint32_t count);

/** Stops all processes and removes the directory. Fails, and keeps the directory, if a daemon does not exit cleanly. */
void fleet_stop(struct fleet *fleet);

/** Does not wait until the daemon is ready. */
void fleet_start_daemon(struct fleet *fleet, uint32_t node);

/** Limit on open descriptors of daemons started afterwards; 0: that of the test process. */
void fleet_limit_descriptors(int descriptors);

void fleet_wait_ready(const struct fleet *fleet, uint32_t node);

/** Sends a signal that terminates the daemon; returns the status from waitpid(). */
int fleet_kill_daemon(struct fleet *fleet, uint32_t node, int signal_number);

/** `body` may be NULL; `headers` ends with NULL, or is NULL. Free the response with fleet_response_close(). */
void fleet_request(int port, const char *method, const char *path, const char *body, const char *const *headers,
                   struct fleet_response *response);

/** Connects to a loopback port; returns the socket, whose reads time out after FLEET_WAIT_TIMEOUT_MS. */
int fleet_connect(int port);

/** Sends raw bytes and, if `half_close`, shuts down the sending side. Returns everything received until the connection
 * is closed or a read times out; the caller frees it. */
char *fleet_send_raw(int port, const char *bytes, size_t length, bool half_close);

void fleet_response_close(struct fleet_response *response);

/** Creates a program with the default policy; `id` receives its id. */
void fleet_create_program(const struct fleet *fleet, uint32_t node, char *id, size_t size);

/** Sends call `number` of a program; `options`: additional header lines, ending with NULL, or NULL. */
void fleet_send_call(const struct fleet *fleet, uint32_t node, const char *program, uint32_t number, const char *text,
                     bool stream, const char *const *options, struct fleet_response *response);

/** Sends a call, retries it on 503, and expects status 200; returns the assistant's text, which the caller frees. */
char *fleet_expect_answer(const struct fleet *fleet, uint32_t node, const char *program, uint32_t number,
                          const char *text);

/** Expects the program's stored history to be `answers` requests, each followed by the correct answer. */
void fleet_expect_history(const struct fleet *fleet, uint32_t node, const char *program, uint64_t answers);

/** Sets a fault, with its parameter `amount` (emulator/engine.h), at the first `engines` engines for `count` requests
 * each; `count` 0: until the next change. */
void fleet_set_fault_at(const struct fleet *fleet, int engines, const char *fault, int amount, int count);

/** Like fleet_set_fault_at(), for every engine. */
void fleet_set_fault(const struct fleet *fleet, const char *fault, int amount, int count);

/** Sum of a statistic over all emulated "engines" or "backends" (`kind`). */
json_int_t fleet_stat_sum(const struct fleet *fleet, const char *kind, const char *statistic);

/** Runs bankbankctl against a node; `words` ends with NULL. Returns the exit status, -1: killed by a signal. `output`
 * receives stdout and stderr, which the caller frees, or is NULL. */
int fleet_ctl(const struct fleet *fleet, uint32_t node, const char *const *words, char **output);

/** Runs bankbankctl; unless it exits with 0, prints the last log lines of the daemons and fails with its output. */
void fleet_expect_ctl(const struct fleet *fleet, uint32_t node, const char *const *words);

/** Polls `reached` until it returns true; false after FLEET_WAIT_TIMEOUT_MS. */
bool fleet_wait_for(bool (*reached)(void *context), void *context);

/** -1: the metric is missing. */
double fleet_metric(const struct fleet *fleet, uint32_t node, const char *name);

#endif
