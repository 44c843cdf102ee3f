/**
 * @file worker.h
 * A background thread that runs one job periodically.
 */
#ifndef BANKBANK_DAEMON_WORKER_H
#define BANKBANK_DAEMON_WORKER_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

struct worker {
    pthread_t thread;
    pthread_mutex_t lock; /**< Guards `stopping`. */
    pthread_cond_t wake;  /**< Signalled by worker_stop(). */
    bool stopping;
    bool started;
    uint32_t period_ms; /**< Pause after each run. */
    void (*job)(void *context);
    void *context;
};

/** False if the thread cannot be created. */
bool worker_start(struct worker *worker, uint32_t period_ms, void (*job)(void *context), void *context);

/** Waits for the current run to end; no effect on a zeroed worker. */
void worker_stop(struct worker *worker);

#endif
