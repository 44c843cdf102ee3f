#include "emulator/engine.h"

#include <string.h>

#include "base/clock.h"

/* ---- Steps -------------------------------------------------------------------- */

static struct engine_sequence *engine_next_waiting(struct engine *engine)
{
    struct engine_sequence *best = NULL;
    for (struct engine_sequence *s = engine->sequences; s != NULL; s = s->next) {
        bool better = !s->running && (best == NULL || s->priority < best->priority ||
                                      (s->priority == best->priority && s->order < best->order));
        best = better ? s : best;
    }
    return best;
}

static void engine_fill_batch(struct engine *engine)
{
    while (engine->running < engine->config.slots && engine->waiting > 0) {
        struct engine_sequence *next = engine_next_waiting(engine);
        next->running = true;
        engine->running++;
        engine->waiting--;
    }
}

/* Sequences in their prefill share the prefill tokens of a step; each of the others generates one token. */
static void engine_step(struct engine *engine)
{
    uint64_t prefill = engine->config.prefill_tokens;
    engine_fill_batch(engine);
    for (struct engine_sequence *s = engine->sequences; s != NULL; s = s->next) {
        if (!s->running) {
            continue;
        }
        if (s->prefill_remaining > 0) {
            uint64_t done = s->prefill_remaining < prefill ? s->prefill_remaining : prefill;
            s->prefill_remaining -= done;
            prefill -= done;
        } else if (s->produced < s->length) {
            s->produced++;
            pthread_cond_signal(&s->progressed);
        }
    }
}

static uint64_t engine_step_us(const struct engine *engine)
{
    uint64_t factor = engine->fault == ENGINE_FAULT_SLOW && engine->fault_amount > 0 ? engine->fault_amount : 1;
    return engine->config.step_us * factor;
}

static void *engine_run(void *argument)
{
    struct engine *engine = argument;
    uint64_t due_us = clock_monotonic_us();
    pthread_mutex_lock(&engine->lock);
    while (!engine->stopping) {
        if (engine->sequences == NULL) {
            pthread_cond_wait(&engine->work, &engine->lock);
            due_us = clock_monotonic_us();
            continue;
        }
        due_us += engine_step_us(engine);
        uint64_t now_us = clock_monotonic_us();
        pthread_mutex_unlock(&engine->lock);
        if (now_us < due_us) {
            clock_sleep_us(due_us - now_us);
        } else {
            due_us = now_us;
        }
        pthread_mutex_lock(&engine->lock);
        engine_step(engine);
    }
    for (struct engine_sequence *s = engine->sequences; s != NULL; s = s->next) {
        pthread_cond_signal(&s->progressed);
    }
    pthread_mutex_unlock(&engine->lock);
    return NULL;
}

/* ---- Sequences -------------------------------------------------------------------- */

void engine_add(struct engine *engine, struct engine_sequence *sequence)
{
    pthread_cond_init(&sequence->progressed, NULL);
    pthread_mutex_lock(&engine->lock);
    sequence->order = engine->arrivals++;
    sequence->next = engine->sequences;
    engine->sequences = sequence;
    engine->waiting++;
    engine->counters.requests++;
    pthread_cond_signal(&engine->work);
    pthread_mutex_unlock(&engine->lock);
}

void engine_remove(struct engine *engine, struct engine_sequence *sequence, bool finished)
{
    pthread_mutex_lock(&engine->lock);
    struct engine_sequence **link = &engine->sequences;
    while (*link != sequence) {
        link = &(*link)->next;
    }
    *link = sequence->next;
    engine->running -= sequence->running ? 1 : 0;
    engine->waiting -= sequence->running ? 0 : 1;
    engine->counters.completion_tokens += sequence->produced;
    engine->counters.finished += finished ? 1 : 0;
    engine->counters.cancelled += finished ? 0 : 1;
    pthread_mutex_unlock(&engine->lock);
    pthread_cond_destroy(&sequence->progressed);
}

uint64_t engine_wait(struct engine *engine, struct engine_sequence *sequence, uint64_t seen)
{
    pthread_mutex_lock(&engine->lock);
    while (sequence->produced <= seen && !engine->stopping) {
        pthread_cond_wait(&sequence->progressed, &engine->lock);
    }
    uint64_t produced = sequence->produced;
    pthread_mutex_unlock(&engine->lock);
    return produced;
}

/* ---- Faults ------------------------------------------------------------------------- */

enum engine_fault engine_consume_fault(struct engine *engine, uint64_t *amount)
{
    pthread_mutex_lock(&engine->lock);
    enum engine_fault fault = engine->fault;
    *amount = engine->fault_amount;
    if (fault != ENGINE_FAULT_NONE && engine->fault_count > 0 && --engine->fault_count == 0) {
        engine->fault = ENGINE_FAULT_NONE;
    }
    pthread_mutex_unlock(&engine->lock);
    return fault;
}

void engine_set_fault(struct engine *engine, enum engine_fault fault, uint64_t amount, uint64_t count)
{
    pthread_mutex_lock(&engine->lock);
    engine->fault = fault;
    engine->fault_amount = amount;
    engine->fault_count = count;
    pthread_mutex_unlock(&engine->lock);
}

/* ---- Lifecycle ------------------------------------------------------------------------ */

bool engine_start(struct engine *engine, const struct engine_config *config)
{
    memset(engine, 0, sizeof(*engine));
    engine->config = *config;
    engine->cache.capacity = config->cache_tokens;
    pthread_mutex_init(&engine->lock, NULL);
    pthread_cond_init(&engine->work, NULL);
    return pthread_create(&engine->thread, NULL, engine_run, engine) == 0;
}

void engine_stop(struct engine *engine)
{
    pthread_mutex_lock(&engine->lock);
    engine->stopping = true;
    pthread_cond_signal(&engine->work);
    pthread_mutex_unlock(&engine->lock);
    pthread_join(engine->thread, NULL);
    prefix_cache_clear(&engine->cache);
    pthread_cond_destroy(&engine->work);
    pthread_mutex_destroy(&engine->lock);
}
