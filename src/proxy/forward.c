/* The way of one request: begin, time limit, end. */
#include "proxy/forward.h"
#include "proxy/front_memory.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/event_log.h"

enum {
    FORWARD_NOT_FOUND = 404,
    FORWARD_BAD_REQUEST = 400,
    FORWARD_UNAUTHORIZED = 401,
    FORWARD_TOO_MANY = 429,
    FORWARD_UNAVAILABLE = 503,
    FORWARD_TIMEOUT = 504,
    FORWARD_NUMBER_MAX = 24
};

static const double FORWARD_MS_PER_S = 1000;

/* Outcome of an answer that was passed on whole. */
static const char FORWARD_COMPLETED[] = "completed";

/* Seconds after which a refused caller may ask again. */
static const char FORWARD_RETRY_SOON[] = "0.1";  /* another daemon can serve it */
static const char FORWARD_RETRY_BUSY[] = "0.2";  /* servers have no room */
static const char FORWARD_RETRY_STATE[] = "0.4"; /* the state replicas elect a leader */
static const char FORWARD_RETRY_START[] = "0.5"; /* this daemon has just started */

/* ---- Headers of the request --------------------------------------------------------------- */

char *forward_text(const struct forward *forward, enum dialect_header header)
{
    const char *name = forward->front->node->dialect->headers[header];
    if (!http_reader_has(forward->call->request, name)) {
        return NULL;
    }
    struct view value = http_reader_header(forward->call->request, name);
    return memory_copy(value.data, value.length);
}

uint64_t forward_number(const struct forward *forward, enum dialect_header header, uint64_t absent)
{
    struct view value = http_reader_header(forward->call->request, forward->front->node->dialect->headers[header]);
    char text[FORWARD_NUMBER_MAX];
    if (value.length == 0 || value.length >= sizeof(text) || value.data[0] < '0' || value.data[0] > '9') {
        return absent;
    }
    memcpy(text, value.data, value.length);
    text[value.length] = '\0';
    return strtoull(text, NULL, 10);
}

/* ---- End ------------------------------------------------------------------------------------- */

static void forward_on_timer_closed(uv_handle_t *handle)
{
    free(handle->data);
}

static void forward_unlink(struct forward *forward)
{
    struct front *front = forward->front;
    if (forward->previous != NULL) {
        forward->previous->next = forward->next;
    } else {
        front->forwards = forward->next;
    }
    if (forward->next != NULL) {
        forward->next->previous = forward->previous;
    }
    front->active--;
    front->waiting -= forward->phase == FORWARD_WAITING ? 1 : 0;
    front->queued -= forward->phase == FORWARD_QUEUED ? 1 : 0;
}

static void forward_log(const struct forward *forward)
{
    const struct node *node = forward->front->node;
    const struct forward_stream *stream = &forward->stream;
    uint64_t begun_ms = forward->call->received_ms;
    uint64_t first_ms = stream->first_event_ms > begun_ms ? stream->first_event_ms - begun_ms : 0;
    bool completed = strcmp(forward->reason, FORWARD_COMPLETED) == 0;
    event_log_within(completed ? "request" : "request_not_served", "request",
                     "{s:s,s:s,s:s,s:s,s:i,s:s,s:I,s:I,s:i,s:i,s:b,s:I,s:I,s:I,s:I,s:s,s:s,s:I,s:I}", "id",
                     text_or_empty(forward->id), "tenant", forward->tenant == NULL ? "" : forward->tenant->name,
                     "route", forward->route == NULL ? "" : text_or_empty(forward->route->name), "outcome",
                     forward->reason, "status", forward->told_status, "server", text_or_empty(forward->last_server),
                     "total_ms", (json_int_t)(node_now(node) - begun_ms), "first_ms", (json_int_t)first_ms, "sends",
                     (int)forward->sends, "runs", (int)forward->runs, "hedged", forward->hedged, "events",
                     (json_int_t)stream->event_count, "configuration",
                     (json_int_t)(forward->table == NULL ? 0 : forward->table->version), "servers",
                     (json_int_t)node->state.servers_number, "state_age_ms", (json_int_t)node_state_age(node),
                     "program", text_or_empty(forward->turn.program), "parent", text_or_empty(forward->turn.parent),
                     "program_left_ms", (json_int_t)(forward->program_due_ms - forward->call->received_ms), "queued_ms",
                     (json_int_t)(forward->queued_ms == 0 ? 0 : node_now(node) - forward->queued_ms));
}

static void forward_close(struct forward *forward)
{
    forward_log(forward);
    forward_quota_end(forward);
    forward_end_attempts(forward);
    forward_turn_settle(forward);
    forward_turn_close(forward);
    event_stream_close(&forward->stream.events);
    forward_unlink(forward);
    route_table_release(forward->table);
    free(forward->id);
    free(forward->last_server);
    free(forward->bound);
    forward->limit.data = forward;
    uv_close((uv_handle_t *)&forward->limit, forward_on_timer_closed);
}

/* When a refused caller should come back. */
static const char *forward_retry_after(const struct forward *forward)
{
    if (forward->table == NULL) {
        return FORWARD_RETRY_START;
    }
    if (node_is_isolated(forward->front->node)) {
        return FORWARD_RETRY_SOON;
    }
    return forward->sends > 0 ? FORWARD_RETRY_BUSY : FORWARD_RETRY_STATE;
}

static void forward_reply(struct forward *forward, int status, const char *code, const char *run_state,
                          bool retry_after)
{
    struct http_call *call = forward->call;
    const struct dialect *dialect = forward->front->node->dialect;
    struct buffer headers = {0};
    struct buffer body = {0};
    buffer_printf(&headers, "X-Run-State: %s\r\n", run_state);
    buffer_append_text(&headers, status == FORWARD_UNAUTHORIZED ? "WWW-Authenticate: Bearer\r\n" : "");
    if (retry_after && forward->quota.retry_ms > 0) {
        buffer_printf(&headers, "%s: %.3f\r\n", dialect->headers[DIALECT_RETRY_AFTER],
                      (double)forward->quota.retry_ms / FORWARD_MS_PER_S);
    } else if (retry_after) {
        buffer_printf(&headers, "%s: %s\r\n", dialect->headers[DIALECT_RETRY_AFTER], forward_retry_after(forward));
    }
    buffer_printf(&body, "{\"error\":{\"code\":\"%s\",\"run_state\":\"%s\"}}", code, run_state);
    forward->told_status = status;
    call->owner = NULL;
    forward_close(forward);
    http_call_reply(call, status, buffer_text(&headers), "application/json", buffer_view(&body));
    buffer_close(&headers);
    buffer_close(&body);
}

void forward_refuse(struct forward *forward, int status, const char *reason)
{
    if (forward->stream.begun) {
        forward_fail(forward, status, reason);
        return;
    }
    forward->front->counters.refused++;
    forward->reason = reason;
    forward_reply(forward, status, reason, "not-run", status == FORWARD_UNAVAILABLE || status == FORWARD_TOO_MANY);
}

void forward_fail(struct forward *forward, int status, const char *reason)
{
    struct http_call *call = forward->call;
    forward->reason = reason;
    if (!forward->stream.begun) {
        forward->front->counters.failed++;
        forward_reply(forward, status, reason, "unknown", false);
        return;
    }
    forward->front->counters.cut++;
    call->owner = NULL;
    forward_close(forward);
    http_call_cut(call);
}

void forward_complete(struct forward *forward)
{
    struct http_call *call = forward->call;
    forward->front->counters.completed++;
    forward->reason = FORWARD_COMPLETED;
    histogram_note(&forward->front->total, node_now(forward->front->node) - call->received_ms);
    call->owner = NULL;
    forward_close(forward);
    http_call_end(call);
}

void forward_complete_with(struct forward *forward, int status, struct buffer *lines, struct buffer *body)
{
    struct http_call *call = forward->call;
    forward->front->counters.completed++;
    forward->reason = FORWARD_COMPLETED;
    forward->told_status = status;
    histogram_note(&forward->front->total, node_now(forward->front->node) - call->received_ms);
    call->owner = NULL;
    forward_close(forward);
    http_call_reply(call, status, buffer_text(lines), NULL, buffer_view(body));
    buffer_close(lines);
    buffer_close(body);
}

void forward_caller_gone(struct forward *forward)
{
    forward->front->counters.gone++;
    forward->reason = "caller gone";
    forward_close(forward);
}

void forward_out_of_time(struct forward *forward)
{
    if (forward_was_sent(forward)) {
        forward_fail(forward, FORWARD_TIMEOUT, "out of time at a server");
    } else {
        forward_refuse(forward, FORWARD_UNAVAILABLE, "out of time before a server was asked");
    }
}

static void forward_on_timer(uv_timer_t *timer)
{
    struct forward *forward = timer->data;
    uint64_t now_ms = node_now(forward->front->node);
    if (forward->phase == FORWARD_WAITING) {
        forward_refuse(forward, FORWARD_UNAVAILABLE,
                       forward->front->table == NULL ? "no configuration yet" : "no servers known yet");
        return;
    }
    if (now_ms >= forward->limit_ms) {
        forward_out_of_time(forward);
        return;
    }
    uv_timer_start(timer, forward_on_timer, forward->limit_ms - now_ms, 0);
    forward_hedge(forward);
}

/* ---- Begin --------------------------------------------------------------------------------------- */

static struct forward *forward_new(struct front *front, struct http_call *call)
{
    struct forward *forward = memory_new(sizeof(*forward));
    forward->front = front;
    forward->call = call;
    forward->reason = "";
    forward->phase = FORWARD_PREPARING;
    forward->next = front->forwards;
    if (forward->next != NULL) {
        forward->next->previous = forward;
    }
    front->forwards = forward;
    front->active++;
    call->owner = forward;
    uv_timer_init(&front->node->loop, &forward->limit);
    forward->limit.data = forward;
    forward->id = forward_text(forward, DIALECT_REQUEST_ID);
    return forward;
}

/* Time to its limit. */
static uint64_t forward_left_ms(const struct forward *forward)
{
    uint64_t now_ms = node_now(forward->front->node);
    return forward->limit_ms > now_ms ? forward->limit_ms - now_ms : 0;
}

static void forward_set_limit(struct forward *forward)
{
    uint64_t timeout_ms = forward->route->timeout_ms;
    uint64_t deadline_ms = forward_number(forward, DIALECT_DEADLINE_MS, timeout_ms);
    uint64_t most_ms = deadline_ms < timeout_ms ? deadline_ms : timeout_ms;
    uint64_t hedge_ms =
        forward->route->target_latency_ms > FORWARD_HEDGE_MS ? forward->route->target_latency_ms : FORWARD_HEDGE_MS;
    forward->limit_ms = forward->call->received_ms + most_ms;
    uint64_t left_ms = forward_left_ms(forward);
    bool hedges = forward->route->kind == ROUTE_SAFE && forward->route->max_attempts > 1 && hedge_ms < left_ms;
    forward->program_due_ms =
        forward->call->received_ms + forward_number(forward, DIALECT_PROGRAM_LEFT_MS, deadline_ms);
    uv_timer_start(&forward->limit, forward_on_timer, hedges ? hedge_ms : left_ms, 0);
}

/* On a sticky route prompts share parts, and requests are about objects. */
static void forward_read_parts(struct forward *forward)
{
    const struct http_reader *request = forward->call->request;
    const struct dialect *dialect = forward->front->node->dialect;
    if (!forward->route->sticky) {
        return;
    }
    struct view text = http_reader_header(request, dialect->headers[DIALECT_PROMPT_PARTS]);
    dialect->read_parts(text, &forward->chain, &forward->own_tokens);
    struct view object = http_reader_header(request, dialect->headers[DIALECT_OBJECT]);
    object = object.length > 0 ? object : http_reader_cookie(request, dialect->headers[DIALECT_OBJECT]);
    forward->wish.object = object.length > 0 ? XXH64(object.data, object.length, 0) : 0;
}

/* Denied only while it is sure that no newer configuration has the route; otherwise the caller is to come back. The real
 * time counts: this process may have stood still since its turn began. */
static void forward_refuse_unknown(struct forward *forward)
{
    forward->front->counters.unknown_route++;
    if (node_is_fresh_at(forward->front->node, node_real_now())) {
        forward_refuse(forward, FORWARD_NOT_FOUND, "no route");
    } else {
        forward_refuse(forward, FORWARD_UNAVAILABLE, "no route as far as is known");
    }
}

/* Finds the route, and begins. */
static void forward_route(struct forward *forward)
{
    struct front *front = forward->front;
    struct http_call *call = forward->call;
    struct view host = http_reader_header(call->request, "Host");
    forward->phase = FORWARD_PREPARING;
    forward->table = route_table_hold(front->table);
    forward->route = route_table_find(front->table, host, call->request->target);
    if (forward->route == NULL) {
        forward_refuse_unknown(forward);
        return;
    }
    if (forward->id == NULL) {
        forward_refuse(forward, FORWARD_BAD_REQUEST, "no request id");
        return;
    }
    if (!forward_tenant_find(forward)) {
        return;
    }
    front->counters.requests++;
    retry_budget_note_request(&front->retries);
    forward_set_limit(forward);
    if (!forward_has_time(forward)) {
        forward_out_of_time(forward); /* it has lain unread, or waited for the start, for too long */
        return;
    }
    forward_read_parts(forward);
    forward_turn_read(forward);
    if (forward->turn.program == NULL) {
        forward_quota_begin(forward);
        forward_go_on(forward);
    } else if (node_is_isolated(front->node)) {
        /* Other daemons reach the state replicas: the caller is to connect anew. */
        http_call_close_after(call);
        forward_refuse(forward, FORWARD_UNAVAILABLE, "state replicas unreachable");
    } else {
        forward_quota_begin(forward); /* what it lacks is asked for at the same time */
        forward_turn_begin(forward);
    }
}

void forward_go_on(struct forward *forward)
{
    const struct forward_turn *turn = &forward->turn;
    bool lacks = forward->quota.ask != 0 || turn->reserving != NULL || turn->fetching != NULL;
    if (!lacks && forward_quota_settle(forward)) {
        forward_place(forward);
    }
}

/* A gateway that has just started learns what is in force within moments:
 * that is worth a short wait, since callers try only a few times. */
static void forward_wait(struct forward *forward)
{
    struct front *front = forward->front;
    if (front->waiting >= FORWARD_MAX_WAITING) {
        forward_refuse(forward, FORWARD_UNAVAILABLE, "too many wait for the start");
        return;
    }
    uint64_t share_ms = forward_number(forward, DIALECT_DEADLINE_MS, FORWARD_START_MS) / FORWARD_START_SHARE;
    uint64_t wait_ms = share_ms < FORWARD_START_MS ? share_ms : FORWARD_START_MS;
    forward->phase = FORWARD_WAITING;
    forward->limit_ms = forward->call->received_ms + wait_ms;
    front->waiting++;
    uv_timer_start(&forward->limit, forward_on_timer, forward_left_ms(forward), 0);
}

void forward_resume_waiting(struct front *front)
{
    struct forward *next = NULL;
    for (struct forward *forward = front->forwards; forward != NULL; forward = next) {
        next = forward->next;
        if (forward->phase == FORWARD_WAITING) {
            forward->phase = FORWARD_PREPARING;
            front->waiting--;
            uv_timer_stop(&forward->limit);
            forward_route(forward);
        }
    }
}

void forward_start(struct front *front, struct http_call *call)
{
    struct forward *forward = forward_new(front, call);
    if (!front_memory_admit(front, forward)) {
        forward_refuse(forward, FORWARD_UNAVAILABLE, "memory full");
    } else if (front_knows_site(front)) {
        forward_route(forward);
    } else {
        forward_wait(forward);
    }
}
