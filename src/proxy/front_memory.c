#include "proxy/front_memory.h"

#include "base/event_log.h"
#include "proxy/forward.h"
#include "proxy/node_metrics.h"

/* Bytes of a request's texts: its body and the conversation before it, both of which are copied on their way to a
 * server, and what is kept of its answer. */
static size_t front_request_bytes(const struct forward *forward)
{
    size_t prompt = forward->call->body.length + forward->turn.history.length;
    size_t answer = forward->turn.output.length;
    for (int i = 0; i < FORWARD_MAX_PARALLEL; i++) {
        answer += forward->attempts[i].lines.length + forward->attempts[i].body.length;
    }
    return sizeof(*forward) + 2 * prompt + answer;
}

static size_t front_cache_most(const struct front *front)
{
    size_t share = front->node->memory.cache;
    return share == 0 ? FRONT_CACHE_BYTES : share;
}

static void front_report_full(struct front *front, bool full)
{
    if (full == front->memory_full) {
        return;
    }
    front->memory_full = full;
    event_log(full ? "memory_full" : "memory_regained", "{s:s,s:I,s:I,s:I}", "holder", "requests", "held_bytes",
              (json_int_t)front->requests_bytes, "share_bytes", (json_int_t)front->node->memory.requests, "refused",
              (json_int_t)front->counters.memory_refusals);
}

static void front_add_up(struct front *front)
{
    front->requests_bytes = http_listener_unsent(&front->callers); /* outlives its request */
    for (const struct forward *forward = front->forwards; forward != NULL; forward = forward->next) {
        front->requests_bytes += front_request_bytes(forward);
    }
}

void front_memory_review(struct front *front)
{
    size_t share = front->node->memory.requests;
    front_add_up(front);
    /* Full until a quarter of the share is free again: one line for each time. */
    if (front->memory_full && front->requests_bytes < share - share / 4) {
        front_report_full(front, false);
    }
    turn_store_shrink(&front->cache, front_cache_most(front));
}

bool front_memory_admit(struct front *front, const struct forward *forward)
{
    size_t share = front->node->memory.requests;
    front->requests_bytes += front_request_bytes(forward);
    if (share > 0 && front->requests_bytes > share && !front->memory_full) {
        front_add_up(front); /* what has ended since the last look still stood in the sum */
        front_report_full(front, front->requests_bytes > share);
    }
    front->counters.memory_refusals += front->memory_full ? 1 : 0;
    return !front->memory_full;
}

void front_memory_write_metrics(const struct front *front, struct buffer *out)
{
    metrics_write_gauge(out, "requests_bytes", "Memory of requests under way.", front->requests_bytes);
    metrics_write_gauge(out, "requests_share_bytes", "Most of it, 0: no bound.", front->node->memory.requests);
    metrics_write_gauge(out, "cache_bytes", "Memory of cached turns.", front->cache.bytes + front->cache.index_bytes);
    metrics_write_gauge(out, "cache_share_bytes", "Most of it.", front_cache_most(front));
    metrics_write_counter(out, "memory_refusals_total", "Requests refused for want of memory.",
                          front->counters.memory_refusals);
    metrics_write_counter(out, "bodies_refused_total", "Requests whose body there was no memory to read.",
                          front->callers.counters.no_room);
}
