#include "lives.h"

#include <pthread.h>

#include "base/clock.h"

/* One thing that was done. */
typedef struct lives_span_t {
    unsigned kind;
    uint64_t from_ms;
    uint64_t to_ms; /* 0: it lasts */
} lives_span_t;

/* What was done to one of them. */
typedef struct lives_one_t {
    lives_span_t spans[LIVES_SPANS];
    uint64_t count;
    uint64_t number;
} lives_one_t;

static pthread_mutex_t lives_lock = PTHREAD_MUTEX_INITIALIZER;
static lives_one_t lives_all[LIVES_MOST + 1];

void lives_begin(int who, lives_kind_t kind)
{
    pthread_mutex_lock(&lives_lock);
    lives_one_t *one = &lives_all[who];
    one->spans[one->count++ % LIVES_SPANS] = (lives_span_t){kind, clock_monotonic_ms(), 0};
    pthread_mutex_unlock(&lives_lock);
}

void lives_end(int who, lives_kind_t kind)
{
    pthread_mutex_lock(&lives_lock);
    for (int i = 0; i < LIVES_SPANS; i++) {
        lives_span_t *span = &lives_all[who].spans[i];
        if (span->kind == (unsigned)kind && span->to_ms == 0) {
            span->to_ms = clock_monotonic_ms();
            break; /* the servers' share one place: each end is for one of the begins */
        }
    }
    pthread_mutex_unlock(&lives_lock);
}

bool lives_touched(int who, unsigned kinds, uint64_t from_ms, uint64_t to_ms)
{
    bool touched = false;
    pthread_mutex_lock(&lives_lock);
    for (int i = 0; i < LIVES_SPANS && !touched; i++) {
        const lives_span_t *span = &lives_all[who].spans[i];
        touched = (span->kind & kinds) != 0 && span->from_ms <= to_ms && (span->to_ms == 0 || span->to_ms >= from_ms);
    }
    pthread_mutex_unlock(&lives_lock);
    return touched;
}

bool lives_any_touched(int daemons, unsigned kinds, uint64_t from_ms, uint64_t to_ms)
{
    bool touched = lives_touched(LIVES_SERVERS, kinds, from_ms, to_ms);
    for (int i = 0; i < daemons && !touched; i++) {
        touched = lives_touched(i, kinds, from_ms, to_ms);
    }
    return touched;
}

void lives_start(int who)
{
    pthread_mutex_lock(&lives_lock);
    lives_all[who].number++;
    pthread_mutex_unlock(&lives_lock);
}

uint64_t lives_number(int who)
{
    pthread_mutex_lock(&lives_lock);
    uint64_t number = lives_all[who].number;
    pthread_mutex_unlock(&lives_lock);
    return number;
}
