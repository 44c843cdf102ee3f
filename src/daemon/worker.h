/**
 * @file worker.h
 * A background thread that runs one job at a fixed period until stopped.
 */
#ifndef BANKBANK_DAEMON_WORKER_H
#define BANKBANK_DAEMON_WORKER_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

/** A periodic job. */
struct worker {
    pthread_t thread;           /**< Its thread. */
    pthread_mutex_t lock;       /**< Guards `stopping`. */
    pthread_cond_t wake;        /**< Ends the pause on stop. */
    bool stopping;              /**< Asked to end. */
    bool started;               /**< The thread runs. */
    uint32_t period_ms;         /**< Pause between runs. */
    void (*job)(void *context); /**< The job. */
    void *context;              /**< Its argument. */
};

/** Starts the job. */
bool worker_start(struct worker *worker, uint32_t period_ms, void (*job)(void *context), void *context);

/** Waits for the current run and ends the thread. */
void worker_stop(struct worker *worker);

#endif
