/* A stream that broke off goes on inside the same answer: where, is decided in core/resume.h. */
#include "base/event_log.h"
#include "core/resume.h"
#include "proxy/forward.h"

/* Whether its route allows a further server. */
static bool forward_has_room(const struct forward *forward)
{
    return forward->wish.tried_count < forward->route->max_attempts;
}

bool forward_is_resumable(const struct forward *forward)
{
    return forward->route->resumable && !forward->turn.keep && !forward->stream.unnumbered;
}

static resume_view_t forward_resume_view(const struct forward_attempt *attempt)
{
    const struct forward *forward = attempt->forward;
    const struct server *server = attempt->server;
    uint64_t now_ms = node_now(forward->front->node);
    return (resume_view_t){
        .resumable = forward_is_resumable(forward),
        .server_gone = server_is_gone(server) || (server->reach.lost && forward_has_room(forward)),
        .server_closed = server->zone_drained,
        .resumes = forward->stream.resumes,
        .servers = forward->wish.tried_count,
        .max_attempts = forward->route->max_attempts,
        .left_ms = forward->limit_ms > now_ms ? forward->limit_ms - now_ms : 0,
    };
}

static const char *forward_resume_word(resume_way_t way)
{
    switch (way) {
    case RESUME_NOT: return "none";
    case RESUME_SAME: return "same";
    case RESUME_OTHER: return "other";
    }
    return "";
}

/* What is kept of a torn event belongs to the run that broke off. */
static void forward_drop_torn_event(struct forward *forward)
{
    event_stream_close(&forward->stream.events);
    forward->stream.events = (struct event_stream){0};
    forward->stream.paused = false;
}

/* Where the route has no room for a further server, it waits for this one, as long as requests wait for places. */
static void forward_bind(struct forward *forward, const struct server *server)
{
    free(forward->bound);
    forward->bound = server == NULL ? NULL : text_copy(server->life);
    forward->queued_ms = 0;
}

struct server *forward_bound_server(struct forward *forward)
{
    if (forward->bound == NULL) {
        return NULL;
    }
    struct server *server = server_table_life(&forward->front->servers, forward->bound);
    if (server == NULL || server_is_gone(server)) {
        forward_bind(forward, NULL);
        return NULL;
    }
    return server;
}

bool forward_is_stranded(struct forward *forward)
{
    const struct server *server = forward_bound_server(forward);
    return server != NULL && server->zone_drained;
}

bool forward_resume(struct forward_attempt *attempt, const char *reason)
{
    struct forward *forward = attempt->forward;
    struct server *server = attempt->server;
    const resume_view_t view = forward_resume_view(attempt);
    resume_way_t way = resume_decide(&view);
    if (way == RESUME_NOT) {
        return false;
    }
    event_log("stream_resumed", "{s:s,s:s,s:s,s:s,s:I,s:i,s:I}", "id", text_or_empty(forward->id), "server", server->id,
              "reason", reason, "way", forward_resume_word(way), "last_event", (json_int_t)forward->stream.last_event,
              "resumes", (int)forward->stream.resumes, "left_ms", (json_int_t)view.left_ms);
    forward->stream.resumes++;
    forward->front->counters.resumes++;
    forward_drop_torn_event(forward);
    forward_bind(forward, way == RESUME_SAME && !forward_has_room(forward) ? server : NULL);
    if (way == RESUME_SAME && forward_may_start(forward, server)) {
        forward_send(forward, server);
        forward_end_attempt(attempt);
    } else {
        forward_end_attempt(attempt);
        forward_place(forward);
    }
    return true;
}

/* What has no whole answer yet and may run again. Where no further server is allowed, only one that is gone is left:
 * one that leaves, is on the list no more or refused a connection may work on, and resets the stream when it ends. */
static bool forward_may_leave(const struct forward_attempt *attempt)
{
    const struct forward *forward = attempt->forward;
    return forward->route->kind == ROUTE_SAFE ||
           (forward_is_resumable(forward) && (forward_has_room(forward) || reach_is_gone(&attempt->server->reach)));
}

/* What was not sent yet has not run; what may not run again waits on, since its answer may still come. */
static void forward_leave(struct forward_attempt *attempt)
{
    static const char reason[] = "the server cannot be reached";
    if (!upstream_was_sent(attempt->exchange)) {
        forward_not_run(attempt, reason);
    } else if (forward_may_leave(attempt)) {
        forward_may_have_run(attempt, reason);
    }
}

void forward_server_lost(struct front *front, const struct server *server)
{
    struct forward *next = NULL;
    for (struct forward *forward = front->forwards; forward != NULL; forward = next) {
        next = forward->next;
        for (int i = 0; i < FORWARD_MAX_PARALLEL; i++) {
            struct forward_attempt *attempt = &forward->attempts[i];
            if (attempt->forward != NULL && attempt->server == server && attempt->exchange != NULL) {
                forward_leave(attempt);
                break;
            }
        }
    }
}

/* ---- Servers that have started again ------------------------------------------------------------- */

/* The list tells a restart late: what was sent meanwhile runs at the new life, and is heard. */
static bool forward_is_dead(const struct forward *forward, struct forward_attempt *attempt)
{
    const struct node *node = forward->front->node;
    uint64_t now_ms = node_now(node);
    if (!attempt->server->ended || attempt->exchange == NULL || forward->stream.paused) {
        return false;
    }
    attempt->ended_ms = attempt->ended_ms == 0 ? now_ms : attempt->ended_ms;
    uint64_t since_ms = attempt->heard_ms > attempt->ended_ms ? attempt->heard_ms : attempt->ended_ms;
    since_ms = node->woke_ms > since_ms ? node->woke_ms : since_ms;
    uint64_t aimed_ms = HEALTH_UNANSWERED_AIMS * forward->route->target_latency_ms;
    uint64_t silence_ms = aimed_ms > FORWARD_ENDED_SILENT_MS ? aimed_ms : FORWARD_ENDED_SILENT_MS;
    return !upstream_was_sent(attempt->exchange) || now_ms >= since_ms + silence_ms;
}

static void forward_end_dead(struct forward_attempt *attempt)
{
    static const char reason[] = "the server started again";
    if (upstream_was_sent(attempt->exchange)) {
        forward_may_have_run(attempt, reason);
    } else {
        forward_not_run(attempt, reason);
    }
}

void forward_end_silent(struct front *front)
{
    struct forward *next = NULL;
    for (struct forward *forward = front->forwards; forward != NULL; forward = next) {
        next = forward->next;
        for (int i = 0; i < FORWARD_MAX_PARALLEL; i++) {
            struct forward_attempt *attempt = &forward->attempts[i];
            if (attempt->forward != NULL && forward_is_dead(forward, attempt)) {
                forward_end_dead(attempt);
                break;
            }
        }
    }
}
