/* Life cycle of a forwarded request: start, deadline, end. */
#include "proxy/forward.h"
#include "proxy/frontend_memory.h"

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
    FORWARD_NUMBER_MAX_BYTES = 24,
    FORWARD_RETRY_STOPPED_MS = 100, /* another gateway can serve the request */
    FORWARD_TIMER_DEFER_MS = 1      /* not 0, which would not wait for a poll in all versions of libuv */
};

static const double FORWARD_MS_PER_S = 1000;

static const char FORWARD_COMPLETED[] = "completed";

/* Retry-After in seconds, by the progress of the refused request. */
static const char FORWARD_RETRY_ISOLATED_S[] = "0.1"; /* this gateway is isolated; another one can serve the request */
static const char FORWARD_RETRY_TRIED_S[] = "0.2";    /* at least one server was tried: usually, none has capacity */
static const char FORWARD_RETRY_UNTRIED_S[] = "0.4";  /* none was tried, for example during a leader election */
static const char FORWARD_RETRY_UNROUTED_S[] = "0.5"; /* this gateway has just started, or its memory is full */

/* ---- Headers of the request --------------------------------------------------------------- */

char *forward_header_text(const struct forward *forward, enum dialect_header header)
{
    const char *name = forward->frontend->node->dialect->headers[header];
    if (!http_reader_has_header(forward->call->request, name)) {
        return NULL;
    }
    struct view value = http_reader_header(forward->call->request, name);
    return memory_copy(value.data, value.length);
}

uint64_t forward_header_number(const struct forward *forward, enum dialect_header header, uint64_t default_value)
{
    struct view value = http_reader_header(forward->call->request, forward->frontend->node->dialect->headers[header]);
    char text[FORWARD_NUMBER_MAX_BYTES];
    if (value.length == 0 || value.length >= sizeof(text) || value.data[0] < '0' || value.data[0] > '9') {
        return default_value;
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

static void forward_remove_from_list(struct forward *forward)
{
    struct frontend *frontend = forward->frontend;
    if (forward->previous != NULL) {
        forward->previous->next = forward->next;
    } else {
        frontend->forwards = forward->next;
    }
    if (forward->next != NULL) {
        forward->next->previous = forward->previous;
    }
    frontend->requests_ended = frontend->requests_ended || forward->admitted;
    frontend->active--;
    frontend->waiting -= forward->phase == FORWARD_WAITING ? 1 : 0;
    frontend->queued -= forward->phase == FORWARD_QUEUED ? 1 : 0;
}

/* Lines of aborted responses are never left out for those of refused requests, which may be many. */
static const char *forward_log_budget(const struct forward *forward)
{
    if (strcmp(forward->reason, FORWARD_COMPLETED) == 0) {
        return "request";
    }
    return forward->stream.head_sent ? "response_aborted" : "request_not_served";
}

static void forward_log(struct forward *forward)
{
    char operation[QUARANTINE_TEXT_BYTES] = "";
    if (forward->possible_runs > 0) {
        quarantine_format(forward_operation(forward), operation);
    }
    const struct node *node = forward->frontend->node;
    const struct forward_stream *stream = &forward->stream;
    uint64_t begun_ms = forward->call->received_ms;
    uint64_t first_ms = stream->first_event_ms > begun_ms ? stream->first_event_ms - begun_ms : 0;
    event_log_with_budget(
        forward_log_budget(forward), "request",
        "{s:s,s:s,s:s,s:s,s:s,s:i,s:s,s:s,s:s,s:I,s:I,s:i,s:i,s:b,s:I,s:I,s:I,s:I,s:s,s:s,s:I,s:I}", "id",
        text_or_empty(forward->id), "operation", operation, "tenant",
        forward->tenant == NULL ? "" : forward->tenant->name, "route",
        forward->route == NULL ? "" : text_or_empty(forward->route->name), "outcome", forward->reason, "status",
        forward->response_status, "server", text_or_empty(forward->last_server), "version",
        text_or_empty(forward->last_version), "resumes", text_or_empty(forward->resumes), "total_ms",
        (json_int_t)(node_now(node) - begun_ms), "first_ms", (json_int_t)first_ms, "sends", (int)forward->sends, "runs",
        (int)forward->possible_runs, "hedged", forward->hedged, "events", (json_int_t)stream->event_count,
        "configuration", (json_int_t)(forward->table == NULL ? 0 : forward->table->version), "servers",
        (json_int_t)node->state.servers_number, "state_age_ms", (json_int_t)node_state_age(node), "program",
        text_or_empty(forward->turn.program), "parent", text_or_empty(forward->turn.parent), "program_left_ms",
        (json_int_t)(forward->program_deadline_ms - forward->call->received_ms), "queued_ms",
        (json_int_t)(forward->queued_ms == 0 ? 0 : node_now(node) - forward->queued_ms));
}

static void forward_close(struct forward *forward)
{
    forward_log(forward);
    forward_quota_return(forward);
    forward_end_attempts(forward);
    forward_turn_settle(forward);
    forward_permit_close(forward);
    forward_turn_close(forward);
    event_stream_close(&forward->stream.events);
    forward_remove_from_list(forward);
    route_table_release(forward->table);
    free(forward->id);
    free(forward->last_server);
    free(forward->last_version);
    free(forward->stream.version);
    forward_origin_close(forward);
    free(forward->resumes);
    free(forward->bound_incarnation);
    forward->timer.data = forward;
    uv_close((uv_handle_t *)&forward->timer, forward_on_timer_closed);
}

static const char *forward_retry_after(const struct forward *forward)
{
    if (forward->table == NULL) {
        return FORWARD_RETRY_UNROUTED_S;
    }
    if (node_is_isolated(forward->frontend->node)) {
        return FORWARD_RETRY_ISOLATED_S;
    }
    return forward->sends > 0 ? FORWARD_RETRY_TRIED_S : FORWARD_RETRY_UNTRIED_S;
}

static void forward_respond(struct forward *forward, int status, const char *code, const char *run_state,
                            bool retry_after)
{
    struct http_call *call = forward->call;
    const struct dialect *dialect = forward->frontend->node->dialect;
    struct buffer headers = {0};
    struct buffer body = {0};
    buffer_printf(&headers, "X-Run-State: %s\r\n", run_state);
    buffer_append_text(&headers, status == FORWARD_UNAUTHORIZED ? "WWW-Authenticate: Bearer\r\n" : "");
    uint64_t retry_after_ms = forward->retry_after_ms > 0 ? forward->retry_after_ms : forward->quota.retry_after_ms;
    if (retry_after && retry_after_ms > 0) {
        buffer_printf(&headers, "%s: %.3f\r\n", dialect->headers[DIALECT_RETRY_AFTER],
                      (double)retry_after_ms / FORWARD_MS_PER_S);
    } else if (retry_after) {
        buffer_printf(&headers, "%s: %s\r\n", dialect->headers[DIALECT_RETRY_AFTER], forward_retry_after(forward));
    }
    buffer_printf(&body, "{\"error\":{\"code\":\"%s\",\"run_state\":\"%s\"}}", code, run_state);
    forward->response_status = status;
    call->owner = NULL;
    forward_close(forward);
    http_call_send_response(call, status, buffer_text(&headers), "application/json", buffer_view(&body));
    buffer_close(&headers);
    buffer_close(&body);
}

void forward_refuse(struct forward *forward, int status, const char *reason)
{
    if (forward->stream.head_sent) {
        forward_fail(forward, status, reason);
        return;
    }
    forward->frontend->counters.refused++;
    forward->reason = reason;
    forward_respond(forward, status, reason, "not-run", status == FORWARD_UNAVAILABLE || status == FORWARD_TOO_MANY);
}

void forward_fail(struct forward *forward, int status, const char *reason)
{
    struct http_call *call = forward->call;
    forward->reason = reason;
    if (!forward->stream.head_sent) {
        forward->frontend->counters.failed++;
        forward_respond(forward, status, reason, "unknown", false);
        return;
    }
    forward->frontend->counters.aborted++;
    call->owner = NULL;
    forward_close(forward);
    http_call_abort_response(call);
}

void forward_complete(struct forward *forward)
{
    struct http_call *call = forward->call;
    forward->frontend->counters.completed++;
    forward->reason = FORWARD_COMPLETED;
    forward_record_served(forward);
    histogram_record(&forward->frontend->response_time, node_now(forward->frontend->node) - call->received_ms);
    forward_release_held(forward);
    call->owner = NULL;
    forward_close(forward);
    http_call_end_response(call);
}

void forward_complete_with(struct forward *forward, int status, struct buffer *lines, struct buffer *body)
{
    struct http_call *call = forward->call;
    forward->frontend->counters.completed++;
    forward->reason = FORWARD_COMPLETED;
    forward_record_served(forward);
    forward->response_status = status;
    histogram_record(&forward->frontend->response_time, node_now(forward->frontend->node) - call->received_ms);
    call->owner = NULL;
    forward_close(forward);
    http_call_send_response(call, status, buffer_text(lines), NULL, buffer_view(body));
    buffer_close(lines);
    buffer_close(body);
}

void forward_caller_disconnected(struct forward *forward)
{
    forward->frontend->counters.caller_disconnects++;
    forward_report_silent_servers(forward);
    forward->reason = "caller gone";
    forward_close(forward);
}

/* Ends a request whose caller cannot get an answer of a server any more. */
static void forward_give_up(struct forward *forward, const char *committing, const char *sent, const char *unsent)
{
    if (forward->phase == FORWARD_COMMITTING) {
        forward_fail(forward, FORWARD_TIMEOUT, committing);
    } else if (forward_was_sent(forward)) {
        forward_report_silent_servers(forward);
        forward_fail(forward, FORWARD_TIMEOUT, sent);
    } else {
        forward_refuse(forward, FORWARD_UNAVAILABLE, unsent);
    }
}

void forward_timed_out(struct forward *forward)
{
    forward_give_up(forward, "out of time before it was stored", "out of time at a server",
                    "out of time before a server was asked");
}

void forward_end_at_stop(struct forward *forward)
{
    forward->retry_after_ms = FORWARD_RETRY_STOPPED_MS;
    forward_give_up(forward, "the gateway stopped before it was stored", "the gateway stopped",
                    "the gateway stopped before a server was asked");
}

static void forward_on_timer(uv_timer_t *timer);

static void forward_start_timer(struct forward *forward, uint64_t delay_ms)
{
    forward->timer_due_ms = node_now(forward->frontend->node) + delay_ms;
    forward->timer_deferred = false;
    uv_timer_start(&forward->timer, forward_on_timer, delay_ms, 0);
}

/* libuv runs timers before it polls for I/O: after a busy or suspended phase, the answer or the reply that the request
 * waits for may be unread. The timer then fires again after the next poll. */
static bool forward_defer_late_timer(struct forward *forward, uint64_t now_ms)
{
    bool defers = !forward->timer_deferred && now_ms > forward->timer_due_ms + TICK_TIMER_MAX_DELAY_MS;
    if (defers) {
        forward->timer_deferred = true;
        uv_timer_start(&forward->timer, forward_on_timer, FORWARD_TIMER_DEFER_MS, 0);
    }
    return defers;
}

static const char *forward_startup_reason(const struct frontend *frontend)
{
    if (frontend_is_configured(frontend)) {
        return "failures of servers not known yet";
    }
    return frontend->table == NULL ? "no configuration yet" : "no servers known yet";
}

static void forward_on_timer(uv_timer_t *timer)
{
    struct forward *forward = timer->data;
    uint64_t now_ms = node_now(forward->frontend->node);
    if (forward_defer_late_timer(forward, now_ms)) {
        return;
    }
    if (forward->phase == FORWARD_WAITING) {
        forward_refuse(forward, FORWARD_UNAVAILABLE, forward_startup_reason(forward->frontend));
        return;
    }
    if (now_ms >= forward->deadline_ms) {
        forward_timed_out(forward);
        return;
    }
    forward_start_timer(forward, forward->deadline_ms - now_ms);
    forward_hedge(forward);
}

/* ---- Start --------------------------------------------------------------------------------------- */

static struct forward *forward_new(struct frontend *frontend, struct http_call *call)
{
    struct forward *forward = memory_new(sizeof(*forward));
    forward->frontend = frontend;
    forward->call = call;
    forward->reason = "";
    forward->phase = FORWARD_PREPARING;
    forward->next = frontend->forwards;
    if (forward->next != NULL) {
        forward->next->previous = forward;
    }
    frontend->forwards = forward;
    frontend->active++;
    call->owner = forward;
    uv_timer_init(&frontend->node->loop, &forward->timer);
    forward->timer.data = forward;
    forward->id = forward_header_text(forward, DIALECT_REQUEST_ID);
    forward->resumes = forward_header_text(forward, DIALECT_RESUMES);
    return forward;
}

static uint64_t forward_time_left_ms(const struct forward *forward)
{
    uint64_t now_ms = node_now(forward->frontend->node);
    return forward->deadline_ms > now_ms ? forward->deadline_ms - now_ms : 0;
}

static void forward_set_deadline(struct forward *forward)
{
    uint64_t route_timeout_ms = forward->route->timeout_ms;
    uint64_t caller_timeout_ms = forward_header_number(forward, DIALECT_DEADLINE_MS, route_timeout_ms);
    uint64_t allowed_ms = caller_timeout_ms < route_timeout_ms ? caller_timeout_ms : route_timeout_ms;
    uint64_t hedge_ms = forward->route->target_latency_ms > FORWARD_HEDGE_DELAY_MS ? forward->route->target_latency_ms
                                                                                   : FORWARD_HEDGE_DELAY_MS;
    forward->deadline_ms = forward->call->received_ms + allowed_ms;
    uint64_t left_ms = forward_time_left_ms(forward);
    bool may_hedge = forward->route->kind == ROUTE_SAFE && forward->route->max_attempts > 1 && hedge_ms < left_ms;
    forward->program_deadline_ms =
        forward->call->received_ms + forward_header_number(forward, DIALECT_PROGRAM_REMAINING_MS, caller_timeout_ms);
    forward_start_timer(forward, may_hedge ? hedge_ms : left_ms);
}

/* A sticky route places requests by shared prompt parts and the affinity key. */
static void forward_read_placement_headers(struct forward *forward)
{
    const struct http_reader *request = forward->call->request;
    const struct dialect *dialect = forward->frontend->node->dialect;
    if (!forward->route->sticky) {
        return;
    }
    struct view text = http_reader_header(request, dialect->headers[DIALECT_PROMPT_PARTS]);
    dialect->read_prompt_parts(text, &forward->chain, &forward->own_tokens);
    struct view key = http_reader_header(request, dialect->headers[DIALECT_AFFINITY_KEY]);
    key = key.length > 0 ? key : http_reader_cookie(request, dialect->headers[DIALECT_AFFINITY_KEY]);
    forward->criteria.affinity_key = key.length > 0 ? XXH64(key.data, key.length, 0) : 0;
}

/* Responds 404 only while the configuration is certainly current, else 503: a newer one may have the route. Uses the
 * real time, not the loop's: the process may have been suspended since the loop iteration began. */
static void forward_refuse_unknown_route(struct forward *forward)
{
    forward->frontend->counters.unknown_route++;
    if (node_is_fresh_at(forward->frontend->node, node_real_now())) {
        forward_refuse(forward, FORWARD_NOT_FOUND, "no route");
    } else {
        forward_refuse(forward, FORWARD_UNAVAILABLE, "no route as far as is known");
    }
}

static void forward_route(struct forward *forward)
{
    struct frontend *frontend = forward->frontend;
    struct http_call *call = forward->call;
    struct view host = http_reader_header(call->request, "Host");
    forward->phase = FORWARD_PREPARING;
    forward->table = route_table_retain(frontend->table);
    forward->route = route_table_find(frontend->table, host, call->request->target);
    if (forward->route == NULL) {
        forward_refuse_unknown_route(forward);
        return;
    }
    if (forward->id == NULL) {
        forward_refuse(forward, FORWARD_BAD_REQUEST, "no request id");
        return;
    }
    if (!forward_tenant_find(forward)) {
        return;
    }
    frontend->counters.requests++;
    retry_budget_record_request(&frontend->retries);
    forward_set_deadline(forward);
    if (!forward_has_time(forward)) {
        forward_timed_out(forward); /* reading it, or FORWARD_WAITING, took too long */
        return;
    }
    forward_read_placement_headers(forward);
    forward_turn_read(forward);
    bool needs_replicas = forward->turn.program != NULL || forward_resumes_stream(forward);
    if (needs_replicas && frontend_is_cut_off(frontend)) {
        forward_refuse_cut_off(forward);
    } else if (needs_replicas && node_is_isolated(frontend->node)) {
        /* Makes the caller reconnect, maybe to a gateway that reaches the state replicas. */
        http_call_close_after(call);
        forward_refuse(forward, FORWARD_UNAVAILABLE, "state replicas unreachable");
    } else if (forward->turn.program == NULL) {
        forward_begin_resumption(forward);
        forward_quota_begin(forward);
        forward_continue(forward);
    } else {
        forward_begin_resumption(forward);
        forward_quota_begin(forward); /* the rate limit token and the turn's state are requested concurrently */
        forward_turn_begin(forward);
    }
}

bool forward_has_pending_requests(const struct forward *forward)
{
    const struct forward_turn *turn = &forward->turn;
    return forward->quota.request_number != 0 || turn->proposal != NULL || turn->fetch != NULL ||
           forward->origin.lookup != NULL || forward->permit.request != NULL;
}

void forward_continue(struct forward *forward)
{
    bool pending = forward_has_pending_requests(forward);
    bool place = !pending && !forward->quota.needs_leader && forward_quota_after_reservation(forward);
    if (forward->quota.needs_leader) {
        forward_refuse_cut_off(forward);
    } else if (place) {
        forward_place(forward);
    }
}

/* The configuration and the servers arrive soon after the start: a short wait saves the caller a retry. */
static void forward_wait_for_startup(struct forward *forward)
{
    struct frontend *frontend = forward->frontend;
    if (frontend->waiting >= FORWARD_MAX_WAITING) {
        forward_refuse(forward, FORWARD_UNAVAILABLE, "too many wait for the start");
        return;
    }
    uint64_t share_ms =
        forward_header_number(forward, DIALECT_DEADLINE_MS, FORWARD_STARTUP_WAIT_MS) / FORWARD_STARTUP_WAIT_DIVISOR;
    uint64_t wait_ms = share_ms < FORWARD_STARTUP_WAIT_MS ? share_ms : FORWARD_STARTUP_WAIT_MS;
    forward->phase = FORWARD_WAITING;
    forward->deadline_ms = forward->call->received_ms + wait_ms;
    frontend->waiting++;
    forward_start_timer(forward, forward_time_left_ms(forward));
}

void forward_route_waiting(struct frontend *frontend)
{
    struct forward *next = NULL;
    for (struct forward *forward = frontend->forwards; forward != NULL; forward = next) {
        next = forward->next;
        if (forward->phase == FORWARD_WAITING) {
            forward->phase = FORWARD_PREPARING;
            frontend->waiting--;
            uv_timer_stop(&forward->timer);
            forward_route(forward);
        }
    }
}

void forward_start(struct frontend *frontend, struct http_call *call)
{
    struct forward *forward = forward_new(frontend, call);
    if (frontend->ended) {
        forward_end_at_stop(forward);
    } else if (!frontend_memory_admit(frontend, forward)) {
        forward_refuse(forward, FORWARD_UNAVAILABLE, "memory full");
    } else if (frontend_may_route(frontend)) {
        forward_route(forward);
    } else {
        forward_wait_for_startup(forward);
    }
}
