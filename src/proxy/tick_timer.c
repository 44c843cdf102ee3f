#include "proxy/tick_timer.h"

static void tick_timer_run(tick_timer_t *timer)
{
    timer->due_ms = uv_now(timer->timer.loop) + timer->interval_ms;
    timer->tick(timer->context);
}

static void tick_timer_on_idle(uv_idle_t *handle)
{
    (void)handle; /* active, so that the loop does not wait for I/O */
}

static void tick_timer_on_check(uv_check_t *handle)
{
    tick_timer_t *timer = handle->data;
    uv_idle_stop(&timer->idle);
    uv_check_stop(&timer->check);
    tick_timer_run(timer);
}

static void tick_timer_on_timer(uv_timer_t *handle)
{
    tick_timer_t *timer = handle->data;
    if (uv_now(handle->loop) <= timer->due_ms + TICK_TIMER_MAX_DELAY_MS) {
        tick_timer_run(timer);
        return;
    }
    uv_idle_start(&timer->idle, tick_timer_on_idle);
    uv_check_start(&timer->check, tick_timer_on_check);
}

void tick_timer_start(tick_timer_t *timer, uv_loop_t *loop, uint64_t interval_ms, void (*tick)(void *context),
                      void *context)
{
    *timer = (tick_timer_t){.interval_ms = interval_ms, .due_ms = uv_now(loop), .tick = tick, .context = context};
    uv_timer_init(loop, &timer->timer);
    uv_idle_init(loop, &timer->idle);
    uv_check_init(loop, &timer->check);
    timer->timer.data = timer;
    timer->check.data = timer;
    uv_timer_start(&timer->timer, tick_timer_on_timer, 0, interval_ms);
}
