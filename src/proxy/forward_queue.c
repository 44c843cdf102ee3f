/* Requests that wait for a place at a server; who waits, and how long, is decided in core/place_wait.h. */
#include <stdlib.h>

#include "core/place_wait.h"
#include "proxy/forward.h"

void forward_queue_join(struct forward *forward)
{
    struct front *front = forward->front;
    if (forward->queued_ms == 0) {
        forward->queued_ms = node_now(front->node);
        front->counters.queued++;
    }
    forward->phase = FORWARD_QUEUED;
    front->queued++;
}

/* Servers that refused it may have places by now. */
static void forward_queue_leave(struct forward *forward)
{
    forward->phase = FORWARD_PREPARING;
    forward->front->queued--;
    if (forward->runs == 0) {
        forward->wish.tried_count = 0;
    }
}

static place_order_t forward_queue_order(const struct forward *forward)
{
    const struct route_tenant *tenant = forward->tenant;
    return (place_order_t){
        .tenant_priority = tenant != NULL && tenant->ranked ? tenant->priority : 0,
        .route_priority = forward->route->priority,
        .due_ms = forward->program_due_ms,
        .since_ms = forward->queued_ms,
    };
}

static int forward_queue_compare(const void *a, const void *b)
{
    place_order_t left = forward_queue_order(*(struct forward *const *)a);
    place_order_t right = forward_queue_order(*(struct forward *const *)b);
    return place_compare(&left, &right);
}

/* Those that wait, in the order in which they are served. */
static struct forward **forward_queue_list(const struct front *front, size_t *count)
{
    struct forward **list = memory_new((front->queued + 1U) * sizeof(struct forward *));
    *count = 0;
    for (struct forward *forward = front->forwards; forward != NULL; forward = forward->next) {
        if (forward->phase == FORWARD_QUEUED) {
            list[(*count)++] = forward;
        }
    }
    qsort(list, *count, sizeof(struct forward *), forward_queue_compare);
    return list;
}

void forward_queue_serve(struct front *front)
{
    size_t count = 0;
    struct forward **list = forward_queue_list(front, &count);
    for (size_t i = 0; i < count; i++) {
        forward_queue_leave(list[i]);
        forward_place(list[i]);
    }
    free(list);
}
