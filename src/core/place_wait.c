#include "core/place_wait.h"

bool place_may_wait(uint64_t waited_ms, uint64_t left_ms)
{
    uint64_t share_ms = (left_ms + waited_ms) / PLACE_LEFT_SHARE;
    uint64_t longest_ms = share_ms < PLACE_LONGEST_MS ? share_ms : PLACE_LONGEST_MS;
    return waited_ms < longest_ms;
}

static int place_compare_numbers(uint64_t a, uint64_t b)
{
    return a < b ? -1 : a > b ? 1 : 0;
}

int place_compare(const place_order_t *a, const place_order_t *b)
{
    int order = place_compare_numbers(a->tenant_priority, b->tenant_priority);
    order = order != 0 ? order : place_compare_numbers(a->route_priority, b->route_priority);
    order = order != 0 ? order : place_compare_numbers(a->due_ms, b->due_ms);
    return order != 0 ? order : place_compare_numbers(a->since_ms, b->since_ms);
}
