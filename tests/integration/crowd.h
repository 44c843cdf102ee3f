/**
 * @file crowd.h
 * Clients that do not keep to the limits: many connections to one listener, each of
 * which sends a beginning, then repeats a filler up to a number of bytes. A thread
 * keeps them going: a connection that the daemon closes is opened again. Also reads
 * what a process uses, for bounds on it.
 */
#ifndef BANKBANK_TESTS_CROWD_H
#define BANKBANK_TESTS_CROWD_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

#include "base/view.h"

enum { CROWD_MAX_CLIENTS = 900 };

/** What each client sends. */
typedef struct crowd_script_t {
    const char *name;
    struct view first;  /**< Sent once on each connection. */
    struct view filler; /**< Repeated after it; empty: nothing more is sent. */
    size_t max_bytes;   /**< Of the filler, on each connection. */
    bool unread;        /**< Responses are not read, so that the daemon has to keep them. */
} crowd_script_t;

typedef struct crowd_client_t {
    int fd; /**< -1: not connected. */
    size_t sent;
    bool done; /**< Has sent everything, or was cut off once. */
} crowd_client_t;

typedef struct crowd_t {
    const char *ip;
    int port;
    const crowd_script_t *script;
    int count;
    crowd_client_t clients[CROWD_MAX_CLIENTS];
    pthread_t thread;
    bool stopping; /**< Atomic. */
    int rounds;    /**< Over all clients so far; atomic. */
    int done;      /**< Clients that are done; atomic. */
} crowd_t;

/** Starts `count` clients in a thread. */
void crowd_start(crowd_t *crowd, const char *ip, int port, const crowd_script_t *script, int count);

/** Waits until all clients are done, or make no progress any more. */
void crowd_wait(const crowd_t *crowd);

/** Ends the thread and closes the connections. */
void crowd_stop(crowd_t *crowd);

/** Raises the limit on descriptors of this process as far as allowed. */
void crowd_raise_descriptor_limit(void);

/** Largest resident memory of a process since crowd_reset_peak(), in KiB; -1: it is gone. */
long crowd_peak_kb(pid_t process);
void crowd_reset_peak(pid_t process);

/** Number of open descriptors of a process. */
int crowd_descriptors(pid_t process);

#endif
