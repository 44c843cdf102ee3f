/* The way of one request: begin, placement, attempts, end. */
#include "proxy/forward.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/event_log.h"

enum {
    FORWARD_NOT_FOUND = 404,
    FORWARD_BAD_REQUEST = 400,
    FORWARD_UNAVAILABLE = 503,
    FORWARD_BAD_GATEWAY = 502,
    FORWARD_TIMEOUT = 504,
    FORWARD_NUMBER_MAX = 24
};

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
}

static void forward_log(const struct forward *forward)
{
    const struct node *node = forward->front->node;
    const struct forward_stream *stream = &forward->stream;
    uint64_t begun_ms = forward->call->received_ms;
    uint64_t first_ms = stream->first_event_ms > begun_ms ? stream->first_event_ms - begun_ms : 0;
    bool completed = strcmp(forward->reason, FORWARD_COMPLETED) == 0;
    event_log_within(completed ? "request" : "request_not_served", "request",
                     "{s:s,s:s,s:s,s:i,s:s,s:I,s:I,s:i,s:i,s:b,s:I,s:I,s:I,s:I,s:s}", "id", text_or_empty(forward->id),
                     "route", forward->route == NULL ? "" : text_or_empty(forward->route->name), "outcome",
                     forward->reason, "status", forward->told_status, "server", text_or_empty(forward->last_server),
                     "total_ms", (json_int_t)(node_now(node) - begun_ms), "first_ms", (json_int_t)first_ms, "sends",
                     (int)forward->sends, "runs", (int)forward->runs, "hedged", forward->hedged, "events",
                     (json_int_t)stream->event_count, "configuration",
                     (json_int_t)(forward->table == NULL ? 0 : forward->table->version), "servers",
                     (json_int_t)node->state.servers_number, "state_age_ms", (json_int_t)node_state_age(node),
                     "program", text_or_empty(forward->turn.program));
}

void forward_end_attempt(struct forward_attempt *attempt)
{
    struct front *front = attempt->forward->front;
    if (attempt->exchange != NULL) {
        upstream_cancel(&front->node->upstreams, attempt->exchange);
    }
    if (attempt->server != NULL) {
        server_end(&front->servers, attempt->server);
    }
    buffer_close(&attempt->lines);
    buffer_close(&attempt->body);
    memset(attempt, 0, sizeof(*attempt));
}

static void forward_end_attempts(struct forward *forward)
{
    for (int i = 0; i < FORWARD_MAX_PARALLEL; i++) {
        struct forward_attempt *attempt = &forward->attempts[i];
        if (attempt->forward != NULL) {
            forward_end_attempt(attempt);
        }
    }
}

static bool forward_is_asking(const struct forward *forward)
{
    for (int i = 0; i < FORWARD_MAX_PARALLEL; i++) {
        if (forward->attempts[i].forward != NULL) {
            return true;
        }
    }
    return false;
}

/* Whether some server may have begun on the request. */
static bool forward_was_sent(const struct forward *forward)
{
    bool sent = forward->runs > 0;
    for (int i = 0; i < FORWARD_MAX_PARALLEL; i++) {
        const struct upstream_exchange *exchange = forward->attempts[i].exchange;
        sent = sent || (exchange != NULL && upstream_was_sent(exchange));
    }
    return sent;
}

/* Frees everything; the caller's side has ended or is about to. */
static void forward_close(struct forward *forward)
{
    forward_log(forward);
    forward_end_attempts(forward);
    forward_turn_settle(forward);
    forward_turn_close(forward);
    event_stream_close(&forward->stream.events);
    forward_unlink(forward);
    route_table_release(forward->table);
    free(forward->id);
    free(forward->last_server);
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
    if (retry_after) {
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
    forward_reply(forward, status, reason, "not-run", status == FORWARD_UNAVAILABLE);
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

static void forward_out_of_time(struct forward *forward)
{
    if (forward_was_sent(forward)) {
        forward_fail(forward, FORWARD_TIMEOUT, "out of time at a server");
    } else {
        forward_refuse(forward, FORWARD_UNAVAILABLE, "out of time before a server was asked");
    }
}

/* ---- Placement -------------------------------------------------------------------------------- */

static bool forward_part_is_usable(void *context, const char *service)
{
    struct front *front = context;
    return server_table_serves(&front->servers, node_now(front->node), service);
}

static bool forward_is_warm(void *context, const char *address)
{
    struct front *front = context;
    return upstream_idle_count(&front->node->upstreams, address) > 0;
}

static void forward_write_headers(const struct forward *forward, struct buffer *out)
{
    const struct http_reader *request = forward->call->request;
    const struct dialect *dialect = forward->front->node->dialect;
    static const enum dialect_header own[] = {DIALECT_DEADLINE_MS, DIALECT_EXPECT_SERVER, DIALECT_PRIORITY};
    for (int i = 0; i < request->header_count; i++) {
        const struct http_header *header = &request->headers[i];
        bool dropped = http_reader_is_hop_header(request, header->name);
        for (size_t k = 0; k < sizeof(own) / sizeof(own[0]); k++) {
            dropped = dropped || http_name_equal(header->name, dialect->headers[own[k]]);
        }
        if (!dropped) {
            buffer_append(out, header->name.data, header->name.length);
            buffer_append(out, ": ", 2);
            buffer_append(out, header->value.data, header->value.length);
            buffer_append(out, "\r\n", 2);
        }
    }
}

static void forward_write_request(const struct forward *forward, const struct server *server, struct buffer *out)
{
    const struct http_reader *request = forward->call->request;
    const struct dialect *dialect = forward->front->node->dialect;
    const struct buffer *history = &forward->turn.history;
    const struct buffer *body = &forward->call->body;
    uint64_t left_ms = forward->limit_ms - node_now(forward->front->node);
    buffer_append(out, request->method.data, request->method.length);
    buffer_append(out, " ", 1);
    buffer_append(out, request->target.data, request->target.length);
    buffer_append_text(out, " HTTP/1.1\r\n");
    forward_write_headers(forward, out);
    buffer_printf(out, "%s: %llu\r\n", dialect->headers[DIALECT_DEADLINE_MS], (unsigned long long)left_ms);
    buffer_printf(out, "%s: %s\r\n", dialect->headers[DIALECT_EXPECT_SERVER], server->id);
    bool has_body = http_reader_has(request, "Content-Length") || http_reader_has(request, "Transfer-Encoding");
    if (has_body || history->length > 0) {
        buffer_printf(out, "Content-Length: %zu\r\n", history->length + body->length);
    }
    buffer_append_text(out, "\r\n");
    buffer_append(out, history->data, history->length);
    buffer_append(out, body->data, body->length);
}

static struct forward_attempt *forward_free_attempt(struct forward *forward)
{
    for (int i = 0; i < FORWARD_MAX_PARALLEL; i++) {
        if (forward->attempts[i].forward == NULL) {
            return &forward->attempts[i];
        }
    }
    return NULL;
}

static void forward_send(struct forward *forward, struct server *server)
{
    struct front *front = forward->front;
    struct forward_attempt *attempt = forward_free_attempt(forward);
    struct address address;
    struct buffer request = {0};
    forward->phase = FORWARD_RUNNING;
    forward->sends++;
    front->counters.sends++;
    server_begin(server, node_now(front->node));
    attempt->forward = forward;
    attempt->server = server;
    attempt->sent_ms = node_now(front->node);
    free(forward->last_server);
    forward->last_server = text_copy(server->id);
    if (forward->wish.tried_count < SERVER_MAX_TRIED) {
        forward->wish.tried[forward->wish.tried_count++] = server;
    }
    address_parse(server->address, &address);
    forward_write_request(forward, server, &request);
    bool head_request = http_name_equal(forward->call->request->method, "HEAD");
    attempt->exchange =
        upstream_start(&front->node->upstreams, &address, &request, head_request, &forward_upstream_events, attempt);
}

static struct server *forward_choose_in_part(struct forward *forward)
{
    struct front *front = forward->front;
    return forward->wish.service == NULL ? NULL
                                         : server_table_choose(&front->servers, node_now(front->node), &forward->wish);
}

/* A request that is sent again stays in its part of the route, as long as that has another server. */
static struct server *forward_choose(struct forward *forward)
{
    struct server *server = forward_choose_in_part(forward);
    if (server == NULL) {
        const struct route_part *part = route_choose_part(forward->route, forward_part_is_usable, forward->front);
        forward->wish.service = part == NULL ? NULL : part->service;
        server = forward_choose_in_part(forward);
    }
    return server;
}

void forward_place(struct forward *forward)
{
    if (node_now(forward->front->node) + FORWARD_LEAST_MS >= forward->limit_ms) {
        forward_out_of_time(forward);
        return;
    }
    struct server *server = forward_choose(forward);
    if (server != NULL) {
        forward_send(forward, server);
    } else if (forward->runs > 0) {
        forward_fail(forward, FORWARD_BAD_GATEWAY, "no other server");
    } else {
        forward_refuse(forward, FORWARD_UNAVAILABLE, "no server");
    }
}

/* A request that may run again is sent to a second server when the first one
 * is slow to answer, as long as such seconds are few. */
static bool forward_may_hedge(struct forward *forward)
{
    return forward->route->kind == ROUTE_SAFE && !forward->hedged && forward->phase == FORWARD_RUNNING &&
           forward_is_asking(forward) && forward->sends < forward->route->max_attempts &&
           forward->limit_ms > node_now(forward->front->node) + FORWARD_LEAST_MS;
}

static void forward_hedge(struct forward *forward)
{
    struct server *server = forward_may_hedge(forward) ? forward_choose(forward) : NULL;
    if (server != NULL && retry_budget_take(&forward->front->retries)) {
        forward->hedged = true;
        forward->front->counters.hedges++;
        forward_send(forward, server);
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

void forward_not_run(struct forward_attempt *attempt, const char *reason)
{
    struct forward *forward = attempt->forward;
    event_log("attempt_not_run", "{s:s,s:s,s:s,s:i}", "id", text_or_empty(forward->id), "server", attempt->server->id,
              "reason", reason, "sends", (int)forward->sends);
    forward_end_attempt(attempt);
    if (forward_is_asking(forward)) {
        return;
    }
    if (forward->sends >= FORWARD_MAX_SENDS && forward->runs == 0) {
        forward_refuse(forward, FORWARD_UNAVAILABLE, reason);
        return;
    }
    forward_place(forward);
}

/* Where this process itself stood still meanwhile, the failure is not the server's. */
static void forward_note_failure(const struct forward_attempt *attempt)
{
    const struct node *node = attempt->forward->front->node;
    if (attempt->sent_ms >= node->woke_ms) {
        circuit_note_failure(&attempt->server->circuit, node_now(node));
        health_note(&attempt->server->health, node_now(node), HEALTH_FAILED);
    }
}

void forward_may_have_run(struct forward_attempt *attempt, const char *reason)
{
    struct forward *forward = attempt->forward;
    event_log("attempt_unknown", "{s:s,s:s,s:s,s:i,s:b}", "id", text_or_empty(forward->id), "server",
              attempt->server->id, "reason", reason, "sends", (int)forward->sends, "answer_begun",
              forward->stream.begun);
    forward->runs++;
    forward_note_failure(attempt);
    forward_end_attempt(attempt);
    if (forward_is_asking(forward)) {
        return;
    }
    bool again = !forward->stream.begun && forward->route->kind == ROUTE_SAFE &&
                 forward->runs < forward->route->max_attempts && forward->sends < FORWARD_MAX_SENDS;
    if (again) {
        forward_place(forward);
    } else {
        forward_fail(forward, FORWARD_BAD_GATEWAY, reason);
    }
}

/* ---- Silence ------------------------------------------------------------------------------------- */

static uint64_t forward_patience_ms(const struct forward *forward)
{
    uint64_t aimed_ms = HEALTH_UNANSWERED_AIMS * forward->route->target_latency_ms;
    return aimed_ms > HEALTH_UNANSWERED_MS ? aimed_ms : HEALTH_UNANSWERED_MS;
}

void forward_note_silence(struct forward *forward)
{
    const struct node *node = forward->front->node;
    uint64_t now_ms = node_now(node);
    for (int i = 0; i < FORWARD_MAX_PARALLEL; i++) {
        struct forward_attempt *attempt = &forward->attempts[i];
        uint64_t since_ms = attempt->sent_ms > node->woke_ms ? attempt->sent_ms : node->woke_ms;
        bool silent = attempt->exchange != NULL && attempt->status == 0 && !attempt->silent &&
                      now_ms >= since_ms + forward_patience_ms(forward);
        if (silent) {
            attempt->silent = true;
            server_unanswered(&forward->front->servers, attempt->server, now_ms);
        }
    }
}

/* ---- Begin --------------------------------------------------------------------------------------- */

static struct forward *forward_new(struct front *front, struct http_call *call)
{
    struct forward *forward = memory_new(sizeof(*forward));
    forward->front = front;
    forward->call = call;
    forward->reason = "";
    forward->phase = FORWARD_PREPARING;
    forward->wish.zone = front->node->settings.zone;
    forward->wish.warm = forward_is_warm;
    forward->wish.context = front;
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

static void forward_set_limit(struct forward *forward)
{
    uint64_t timeout_ms = forward->route->timeout_ms;
    uint64_t deadline_ms = forward_number(forward, DIALECT_DEADLINE_MS, timeout_ms);
    uint64_t left_ms = deadline_ms < timeout_ms ? deadline_ms : timeout_ms;
    uint64_t hedge_ms =
        forward->route->target_latency_ms > FORWARD_HEDGE_MS ? forward->route->target_latency_ms : FORWARD_HEDGE_MS;
    bool hedges = forward->route->kind == ROUTE_SAFE && forward->route->max_attempts > 1 && hedge_ms < left_ms;
    forward->limit_ms = forward->call->received_ms + left_ms;
    uv_timer_start(&forward->limit, forward_on_timer, hedges ? hedge_ms : left_ms, 0);
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
        front->counters.unknown_route++;
        forward_refuse(forward, FORWARD_NOT_FOUND, "no route");
        return;
    }
    if (forward->id == NULL) {
        forward_refuse(forward, FORWARD_BAD_REQUEST, "no request id");
        return;
    }
    front->counters.requests++;
    retry_budget_note_request(&front->retries);
    forward_set_limit(forward);
    forward_turn_read(forward);
    if (forward->turn.program == NULL) {
        forward_place(forward);
    } else if (node_is_isolated(front->node)) {
        /* Other daemons reach the state replicas: the caller is to connect anew. */
        http_call_close_after(call);
        forward_refuse(forward, FORWARD_UNAVAILABLE, "state replicas unreachable");
    } else {
        forward_turn_begin(forward);
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
    uv_timer_start(&forward->limit, forward_on_timer, wait_ms, 0);
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
    if (front_knows_site(front)) {
        forward_route(forward);
    } else {
        forward_wait(forward);
    }
}
