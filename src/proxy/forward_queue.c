/* Queue of requests that wait for a server with capacity (core/queue_policy.h). */
#include <stdlib.h>

#include "core/queue_policy.h"
#include "proxy/forward.h"

void forward_queue_add(struct forward *forward)
{
    struct frontend *frontend = forward->frontend;
    if (forward->queued_ms == 0) {
        forward->queued_ms = node_now(frontend->node);
        frontend->counters.queued++;
    }
    forward->phase = FORWARD_QUEUED;
    frontend->queued++;
}

/* Servers that refused the request may have capacity by now: they are tried again if certainly no server has run it. */
static void forward_queue_leave(struct forward *forward)
{
    forward->phase = FORWARD_PREPARING;
    forward->frontend->queued--;
    if (forward->possible_runs == 0) {
        forward->criteria.tried_count = 0;
    }
}

static queue_policy_key_t forward_queue_key(const struct forward *forward)
{
    const struct route_tenant *tenant = forward->tenant;
    return (queue_policy_key_t){
        .tenant_priority = tenant != NULL && tenant->has_priority ? tenant->priority : 0,
        .route_priority = forward->route->priority,
        .deadline_ms = forward->program_deadline_ms,
        .queued_ms = forward->queued_ms,
    };
}

static int forward_queue_compare(const void *a, const void *b)
{
    queue_policy_key_t left = forward_queue_key(*(struct forward *const *)a);
    queue_policy_key_t right = forward_queue_key(*(struct forward *const *)b);
    return queue_policy_compare(&left, &right);
}

/* Queued requests in the order in which they are served; the caller frees the list. */
static struct forward **forward_queue_list(const struct frontend *frontend, size_t *count)
{
    struct forward **list = memory_new((frontend->queued + 1U) * sizeof(struct forward *));
    *count = 0;
    for (struct forward *forward = frontend->forwards; forward != NULL; forward = forward->next) {
        if (forward->phase == FORWARD_QUEUED) {
            list[(*count)++] = forward;
        }
    }
    qsort(list, *count, sizeof(struct forward *), forward_queue_compare);
    return list;
}

void forward_queue_serve(struct frontend *frontend)
{
    size_t count = 0;
    struct forward **list = forward_queue_list(frontend, &count);
    for (size_t i = 0; i < count; i++) {
        forward_queue_leave(list[i]);
        forward_place(list[i]);
    }
    free(list);
}
