#include "core/queue_policy.h"

bool queue_policy_may_wait(uint64_t waited_ms, uint64_t left_ms)
{
    uint64_t share_ms = (left_ms + waited_ms) / QUEUE_POLICY_WAIT_DIVISOR;
    uint64_t limit_ms = share_ms < QUEUE_POLICY_MAX_WAIT_MS ? share_ms : QUEUE_POLICY_MAX_WAIT_MS;
    return waited_ms < limit_ms;
}

static int queue_policy_compare_numbers(uint64_t a, uint64_t b)
{
    return a < b ? -1 : a > b ? 1 : 0;
}

int queue_policy_compare(const queue_policy_key_t *a, const queue_policy_key_t *b)
{
    int order = queue_policy_compare_numbers(a->tenant_priority, b->tenant_priority);
    order = order != 0 ? order : queue_policy_compare_numbers(a->route_priority, b->route_priority);
    order = order != 0 ? order : queue_policy_compare_numbers(a->deadline_ms, b->deadline_ms);
    return order != 0 ? order : queue_policy_compare_numbers(a->queued_ms, b->queued_ms);
}
