#include "proxy/frontend_memory.h"

#include "base/event_log.h"
#include "proxy/forward.h"
#include "proxy/node_metrics.h"

/* Buffers double when they grow: the bytes that arrive may take up to twice their number. */
enum { FRONTEND_GROWTH_FACTOR = 2 };

/* Body and conversation count twice: they are copied when they are sent to a server. What servers sent counts with the
 * capacity of its buffers, since many may grow at a time. */
static size_t frontend_request_bytes(const struct forward *forward)
{
    size_t prompt_bytes = forward->call->body.length + forward->turn.history.length;
    const struct event_stream *events = &forward->stream.events;
    size_t response_bytes =
        forward->turn.output.length + events->pending.capacity + events->data.capacity + forward->origin.held.capacity;
    for (int i = 0; i < FORWARD_MAX_PARALLEL; i++) {
        response_bytes += forward->attempts[i].header_lines.length + forward->attempts[i].body.capacity;
    }
    return sizeof(*forward) + 2 * prompt_bytes + response_bytes;
}

static size_t frontend_cache_limit(const struct frontend *frontend)
{
    size_t share = frontend->node->memory.cache;
    return share == 0 ? FRONTEND_DEFAULT_CACHE_BYTES : share;
}

static void frontend_log_memory_full(struct frontend *frontend, bool full)
{
    if (full == frontend->memory_full) {
        return;
    }
    frontend->memory_full = full;
    event_log(full ? "memory_full" : "memory_regained", "{s:s,s:I,s:I,s:I}", "holder", "requests", "held_bytes",
              (json_int_t)frontend->requests_bytes, "share_bytes", (json_int_t)frontend->node->memory.requests,
              "refused", (json_int_t)frontend->counters.memory_refusals);
}

static void frontend_sum_request_bytes(struct frontend *frontend)
{
    frontend->requests_ended = false;
    frontend->requests_bytes = http_listener_unsent_bytes(&frontend->callers); /* unsent data outlives its request */
    for (const struct forward *forward = frontend->forwards; forward != NULL; forward = forward->next) {
        frontend->requests_bytes += frontend_request_bytes(forward);
    }
}

/* Hysteresis: full until a quarter of the share is free again. */
static void frontend_review_requests(struct frontend *frontend)
{
    size_t share = frontend->node->memory.requests;
    frontend_sum_request_bytes(frontend);
    if (frontend->memory_full && frontend->requests_bytes < share - share / 4) {
        frontend_log_memory_full(frontend, false);
    }
}

void frontend_memory_review(struct frontend *frontend)
{
    frontend_review_requests(frontend);
    turn_store_shrink(&frontend->cache, frontend_cache_limit(frontend));
}

bool frontend_memory_admit(struct frontend *frontend, struct forward *forward)
{
    size_t share = frontend->node->memory.requests;
    frontend->requests_bytes += frontend_request_bytes(forward);
    if (frontend->memory_full && frontend->requests_ended) {
        frontend_review_requests(frontend);
    } else if (share > 0 && frontend->requests_bytes > share && !frontend->memory_full) {
        frontend_sum_request_bytes(frontend); /* ended requests were still counted */
        frontend_log_memory_full(frontend, frontend->requests_bytes > share);
    }
    frontend->counters.memory_refusals += frontend->memory_full ? 1 : 0;
    forward->admitted = !frontend->memory_full;
    return forward->admitted;
}

bool frontend_memory_grow(struct frontend *frontend, size_t bytes)
{
    size_t share = frontend->node->memory.requests;
    frontend->requests_bytes += FRONTEND_GROWTH_FACTOR * bytes;
    if (share > 0 && frontend->requests_bytes > share) {
        frontend_sum_request_bytes(frontend);
    }
    return share == 0 || frontend->requests_bytes <= share;
}

void frontend_memory_write_metrics(const struct frontend *frontend, struct buffer *out)
{
    metrics_write_gauge(out, "requests_bytes", "Memory of requests under way.", frontend->requests_bytes);
    metrics_write_gauge(out, "requests_share_bytes", "Most of it, 0: no bound.", frontend->node->memory.requests);
    metrics_write_gauge(out, "cache_bytes", "Memory of cached turns.",
                        frontend->cache.bytes + frontend->cache.index_bytes);
    metrics_write_gauge(out, "cache_share_bytes", "Most of it.", frontend_cache_limit(frontend));
    metrics_write_counter(out, "memory_refusals_total", "Requests refused for want of memory.",
                          frontend->counters.memory_refusals);
    metrics_write_counter(out, "bodies_refused_total", "Requests whose body there was no memory to read.",
                          frontend->callers.counters.over_memory_limit);
}
