/**
 * @file tick_timer.h
 * A repeating timer of a libuv loop for work that judges what has not arrived:
 * timeouts, elections, silence of peers. libuv runs timers before it polls for
 * I/O, so that after a busy or suspended phase of this process a plain timer would
 * find peers silent whose bytes wait in the sockets. A late tick therefore runs
 * after the loop has polled once.
 */
#ifndef BANKBANK_PROXY_TICK_TIMER_H
#define BANKBANK_PROXY_TICK_TIMER_H

#include <stdint.h>

#include <uv.h>

enum { TICK_TIMER_MAX_DELAY_MS = 20 /**< A tick with a longer delay is late. */ };

typedef struct tick_timer_t {
    uv_timer_t timer;
    uv_idle_t idle;   /**< Active after a late tick was due: the loop polls without waiting. */
    uv_check_t check; /**< Active at the same time: runs the tick after the poll. */
    uint64_t interval_ms;
    uint64_t due_ms; /**< Loop time of the next tick. */
    void (*tick)(void *context);
    void *context;
} tick_timer_t;

/** Runs `tick` at once and then every `interval_ms`. The timer's handles are closed by the caller, as all of the loop
 * (uv_walk()). */
void tick_timer_start(tick_timer_t *timer, uv_loop_t *loop, uint64_t interval_ms, void (*tick)(void *context),
                      void *context);

#endif
