#include "daemon/worker.h"

#include <string.h>
#include <time.h>

/* Call with the lock held. */
static void worker_pause(struct worker *worker)
{
    struct timespec wake_time;
    clock_gettime(CLOCK_REALTIME, &wake_time);
    wake_time.tv_sec += worker->period_ms / 1000;
    wake_time.tv_nsec += (long)(worker->period_ms % 1000) * 1000000L;
    if (wake_time.tv_nsec >= 1000000000L) {
        wake_time.tv_sec++;
        wake_time.tv_nsec -= 1000000000L;
    }
    pthread_cond_timedwait(&worker->wake, &worker->lock, &wake_time);
}

static void *worker_run(void *argument)
{
    struct worker *worker = argument;
    pthread_mutex_lock(&worker->lock);
    while (!worker->stopping) {
        pthread_mutex_unlock(&worker->lock);
        worker->job(worker->context);
        pthread_mutex_lock(&worker->lock);
        if (!worker->stopping) {
            worker_pause(worker);
        }
    }
    pthread_mutex_unlock(&worker->lock);
    return NULL;
}

bool worker_start(struct worker *worker, uint32_t period_ms, void (*job)(void *context), void *context)
{
    memset(worker, 0, sizeof(*worker));
    worker->period_ms = period_ms;
    worker->job = job;
    worker->context = context;
    pthread_mutex_init(&worker->lock, NULL);
    pthread_cond_init(&worker->wake, NULL);
    worker->started = pthread_create(&worker->thread, NULL, worker_run, worker) == 0;
    return worker->started;
}

void worker_stop(struct worker *worker)
{
    if (!worker->started) {
        return;
    }
    pthread_mutex_lock(&worker->lock);
    worker->stopping = true;
    pthread_cond_signal(&worker->wake);
    pthread_mutex_unlock(&worker->lock);
    pthread_join(worker->thread, NULL);
    pthread_cond_destroy(&worker->wake);
    pthread_mutex_destroy(&worker->lock);
    worker->started = false;
}
