/* Resumes interrupted streams within the same response (core/resume.h), and ends attempts at unreachable or
 * restarted servers. */
#include "base/event_log.h"
#include "core/resume.h"
#include "proxy/forward.h"

static bool forward_may_use_another_server(const struct forward *forward)
{
    return forward->criteria.tried_count < forward->route->max_attempts;
}

bool forward_is_resumable(const struct forward *forward)
{
    return forward->route->resumable && !forward->turn.persistent && !forward->stream.has_unnumbered_event &&
           !forward->stream.version_unknown;
}

static resume_stream_t forward_describe_stream(const struct forward_attempt *attempt)
{
    const struct forward *forward = attempt->forward;
    const struct server *server = attempt->server;
    uint64_t now_ms = node_now(forward->frontend->node);
    return (resume_stream_t){
        .resumable = forward_is_resumable(forward),
        .server_gone = server_has_ended(server) || ((server_is_leaving(server) || server->reach.unreachable) &&
                                                    forward_may_use_another_server(forward)),
        .server_zone_drained = server->zone_drained,
        .stalled = forward->stream.resumes > 0 && forward->stream.event_count == forward->stream.resumed_events,
        .resumes = forward->stream.resumes,
        .servers_used = forward->criteria.tried_count,
        .max_attempts = forward->route->max_attempts,
        .left_ms = forward->deadline_ms > now_ms ? forward->deadline_ms - now_ms : 0,
    };
}

static const char *forward_resume_target_name(resume_target_t target)
{
    switch (target) {
    case RESUME_NONE: return "none";
    case RESUME_SAME: return "same";
    case RESUME_OTHER: return "other";
    }
    return "";
}

/* Discards the incomplete event of the interrupted attempt. */
static void forward_drop_partial_event(struct forward *forward)
{
    event_stream_close(&forward->stream.events);
    forward->stream.events = (struct event_stream){0};
    forward->stream.paused = false;
}

/* Makes the request wait for this server only, from now on at most as long as a queued request. NULL: unbinds it. */
static void forward_bind_to_server(struct forward *forward, const struct server *server)
{
    free(forward->bound_incarnation);
    forward->bound_incarnation = server == NULL ? NULL : text_copy(server->incarnation);
    forward->queued_ms = 0;
}

struct server *forward_bound_server(struct forward *forward)
{
    if (forward->bound_incarnation == NULL) {
        return NULL;
    }
    struct server *server = server_table_find_incarnation(&forward->frontend->servers, forward->bound_incarnation);
    if (server == NULL || server_has_ended(server)) {
        forward_bind_to_server(forward, NULL);
        return NULL;
    }
    return server;
}

bool forward_bound_server_drained(struct forward *forward)
{
    const struct server *server = forward_bound_server(forward);
    return server != NULL && server->zone_drained;
}

/* Without another server of its version, a stream continues at its server, which may be draining, or ends. */
static resume_target_t forward_limit_to_version(const struct forward_attempt *attempt, resume_target_t target)
{
    const struct forward *forward = attempt->forward;
    if (target != RESUME_OTHER || forward->criteria.version == NULL || forward_has_other_of_version(attempt)) {
        return target;
    }
    const struct server *server = attempt->server;
    uint64_t now_ms = node_now(forward->frontend->node);
    bool serves = !server->not_listening && !reach_is_dead(&server->reach) &&
                  server_may_receive(server, &forward->criteria, now_ms);
    return serves ? RESUME_SAME : RESUME_NONE;
}

bool forward_resume(struct forward_attempt *attempt, const char *reason)
{
    struct forward *forward = attempt->forward;
    struct server *server = attempt->server;
    const resume_stream_t stream = forward_describe_stream(attempt);
    resume_target_t target = forward_limit_to_version(attempt, resume_decide(&stream));
    if (target == RESUME_NONE) {
        return false;
    }
    event_log("stream_resumed", "{s:s,s:s,s:s,s:s,s:s,s:I,s:i,s:I}", "id", text_or_empty(forward->id), "server",
              server->id, "version", server->version, "reason", reason, "way", forward_resume_target_name(target),
              "last_event", (json_int_t)forward->stream.last_event, "resumes", (int)forward->stream.resumes, "left_ms",
              (json_int_t)stream.left_ms);
    uint32_t backoff_ms = target == RESUME_SAME ? resume_backoff_ms(&stream) : 0;
    bool bound = target == RESUME_SAME && !forward_may_use_another_server(forward);
    bool at_once = target == RESUME_SAME && backoff_ms == 0 && forward_may_send_again(forward) &&
                   node_now(forward->frontend->node) >= server->full_until_ms && forward_may_send_to(forward, server);
    forward->stream.resumes++;
    forward->stream.resumed_events = forward->stream.event_count;
    forward->frontend->counters.resumes++;
    forward_drop_partial_event(forward);
    forward_bind_to_server(forward, bound ? server : NULL);
    forward->bound_retry_ms = node_now(forward->frontend->node) + backoff_ms;
    if (at_once) {
        forward_send(forward, server);
        forward_end_attempt(attempt);
    } else {
        forward_end_attempt(attempt);
        forward_place(forward);
    }
    return true;
}

/* If the route allows no further server, a resumable stream's attempt is ended only if its server is dead. One that
 * drains, is no longer listed or refused a connection may still run the request, and resets the stream on exit. */
static bool forward_may_retry_elsewhere(const struct forward_attempt *attempt)
{
    const struct forward *forward = attempt->forward;
    return forward->route->kind == ROUTE_SAFE ||
           (forward_is_resumable(forward) &&
            (forward_may_use_another_server(forward) || reach_is_dead(&attempt->server->reach)));
}

/* Ends the attempt if it was not sent or forward_may_retry_elsewhere(), else keeps it: a response may still arrive. */
static void forward_end_unreachable_attempt(struct forward_attempt *attempt)
{
    static const char reason[] = "the server cannot be reached";
    if (!upstream_was_sent(attempt->exchange)) {
        forward_attempt_not_run(attempt, reason);
    } else if (forward_may_retry_elsewhere(attempt)) {
        forward_attempt_failed(attempt, reason);
    }
}

void forward_handle_unreachable_server(struct frontend *frontend, const struct server *server)
{
    struct forward *next = NULL;
    for (struct forward *forward = frontend->forwards; forward != NULL; forward = next) {
        next = forward->next;
        for (int i = 0; i < FORWARD_MAX_PARALLEL; i++) {
            struct forward_attempt *attempt = &forward->attempts[i];
            if (attempt->forward != NULL && attempt->server == server && attempt->exchange != NULL) {
                forward_end_unreachable_attempt(attempt);
                break;
            }
        }
    }
}

/* ---- Servers that have restarted ------------------------------------------------------------- */

/* The server list shows a restart with a delay: an attempt sent in the meantime runs at the new incarnation, and is
 * kept while that responds. Records when the restart was noticed. */
static bool forward_is_idle_after_restart(const struct forward *forward, struct forward_attempt *attempt)
{
    const struct node *node = forward->frontend->node;
    uint64_t now_ms = node_now(node);
    if (!attempt->server->replaced || attempt->exchange == NULL || forward->stream.paused) {
        return false;
    }
    attempt->restart_seen_ms = attempt->restart_seen_ms == 0 ? now_ms : attempt->restart_seen_ms;
    uint64_t since_ms =
        attempt->last_received_ms > attempt->restart_seen_ms ? attempt->last_received_ms : attempt->restart_seen_ms;
    since_ms = node->stall_end_ms > since_ms ? node->stall_end_ms : since_ms;
    uint64_t scaled_target_ms = HEALTH_UNANSWERED_TARGETS * forward->route->target_latency_ms;
    uint64_t idle_timeout_ms =
        scaled_target_ms > FORWARD_RESTARTED_IDLE_MS ? scaled_target_ms : FORWARD_RESTARTED_IDLE_MS;
    return !upstream_was_sent(attempt->exchange) || now_ms >= since_ms + idle_timeout_ms;
}

static void forward_end_idle_attempt(struct forward_attempt *attempt)
{
    static const char reason[] = "the server started again";
    if (upstream_was_sent(attempt->exchange)) {
        forward_attempt_failed(attempt, reason);
    } else {
        forward_attempt_not_run(attempt, reason);
    }
}

void forward_end_idle_after_restart(struct frontend *frontend)
{
    struct forward *next = NULL;
    for (struct forward *forward = frontend->forwards; forward != NULL; forward = next) {
        next = forward->next;
        for (int i = 0; i < FORWARD_MAX_PARALLEL; i++) {
            struct forward_attempt *attempt = &forward->attempts[i];
            if (attempt->forward == NULL) {
                continue;
            }
            forward_check_replaced_version(attempt);
            if (forward_is_idle_after_restart(forward, attempt)) {
                forward_end_idle_attempt(attempt);
                break;
            }
        }
    }
}
