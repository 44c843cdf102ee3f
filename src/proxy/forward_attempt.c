/* The servers that a request is sent to: choice, attempts, what their failures mean. */
#include "proxy/forward.h"

#include <stdlib.h>
#include <string.h>

#include "base/event_log.h"
#include "core/place_wait.h"
#include "core/turn_rank.h"
#include "proxy/caller_headers.h"

enum { FORWARD_UNAUTHORIZED = 401, FORWARD_UNAVAILABLE = 503, FORWARD_BAD_GATEWAY = 502 };

/* ---- Attempts --------------------------------------------------------------------------------- */

void forward_end_attempt(struct forward_attempt *attempt)
{
    struct front *front = attempt->forward->front;
    if (attempt->exchange != NULL) {
        upstream_cancel(&front->node->upstreams, attempt->exchange);
    }
    if (attempt->server != NULL) {
        server_end(&front->servers, attempt->server);
        front->place_freed = true;
    }
    buffer_close(&attempt->lines);
    buffer_close(&attempt->body);
    memset(attempt, 0, sizeof(*attempt));
}

void forward_end_attempts(struct forward *forward)
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
bool forward_was_sent(const struct forward *forward)
{
    bool sent = forward->runs > 0;
    for (int i = 0; i < FORWARD_MAX_PARALLEL; i++) {
        const struct upstream_exchange *exchange = forward->attempts[i].exchange;
        sent = sent || (exchange != NULL && upstream_was_sent(exchange));
    }
    return sent;
}

/* ---- Placement -------------------------------------------------------------------------------- */

static bool forward_part_is_usable(void *context, const char *service)
{
    const struct forward *forward = context;
    const struct front *front = forward->front;
    return server_table_serves(&front->servers, node_now(front->node), service, &forward->wish);
}

static bool forward_is_warm(void *context, const char *address)
{
    struct front *front = context;
    return upstream_idle_count(&front->node->upstreams, address) > 0;
}

static uint32_t forward_rank(const struct forward *forward, const struct server *server)
{
    const struct front *front = forward->front;
    bool busy = server_is_busy(&front->servers, server, node_now(front->node));
    bool first = forward->turn.parent == NULL && text_or_empty(forward->turn.home)[0] == '\0';
    return forward->turn.program == NULL ? TURN_RANK_DEFAULT : turn_rank(busy, first);
}

bool forward_has_time(const struct forward *forward)
{
    return node_now(forward->front->node) + FORWARD_LEAST_MS < forward->limit_ms;
}

static void forward_write_request(const struct forward *forward, const struct server *server, uint64_t left_ms,
                                  struct buffer *out)
{
    const struct http_reader *request = forward->call->request;
    const struct dialect *dialect = forward->front->node->dialect;
    const struct buffer *history = &forward->turn.history;
    const struct buffer *body = &forward->call->body;
    buffer_append(out, request->method.data, request->method.length);
    buffer_append(out, " ", 1);
    buffer_append(out, request->target.data, request->target.length);
    buffer_append_text(out, " HTTP/1.1\r\n");
    bool goes_on = forward->stream.event_count > 0;
    caller_headers_write(dialect, request, goes_on ? CALLER_HEADERS_RESUMED : CALLER_HEADERS_WHOLE, out);
    buffer_printf(out, "%s: %llu\r\n", dialect->headers[DIALECT_DEADLINE_MS], (unsigned long long)left_ms);
    buffer_printf(out, "%s: %s\r\n", dialect->headers[DIALECT_EXPECT_SERVER], server->id);
    uint32_t rank = forward_rank(forward, server);
    if (rank != TURN_RANK_DEFAULT) {
        buffer_printf(out, "%s: %u\r\n", dialect->headers[DIALECT_PRIORITY], rank);
    }
    if (forward->tenant != NULL) {
        buffer_printf(out, "%s: %s\r\n", dialect->headers[DIALECT_TENANT], forward->tenant->name);
    }
    if (goes_on) {
        buffer_printf(out, "%s: %llu\r\n", CALLER_HEADERS_LAST_EVENT, (unsigned long long)forward->stream.last_event);
    }
    bool has_body = http_reader_has(request, "Content-Length") || http_reader_has(request, "Transfer-Encoding");
    if (has_body || history->length > 0) {
        buffer_printf(out, "Content-Length: %zu\r\n", history->length + body->length);
    }
    buffer_append_text(out, "\r\n");
    buffer_append(out, history->data, history->length);
    buffer_append(out, body->data, body->length);
}

const char *forward_unsent_reason(const struct forward_attempt *attempt)
{
    if (attempt->start_until_ms != 0 && node_now(attempt->forward->front->node) >= attempt->start_until_ms) {
        return "its token for a server that has just started is too old";
    }
    if (server_is_closed(attempt->server)) {
        return attempt->server->zone_drained ? "the server's zone is drained" : "the server leaves";
    }
    return forward_has_time(attempt->forward) ? "no connection to the server" : "no time left to send it";
}

/* The server was chosen before a wait for a connection, in which it may have come to leave, or its zone was drained.
 * The loop's time is that of the begin of its turn: a process that stood still since has less time left. */
bool forward_on_write(void *owner, struct buffer *request)
{
    struct forward_attempt *attempt = owner;
    uint64_t now_ms = node_real_now();
    uint64_t limit_ms = attempt->forward->limit_ms;
    bool old_token = attempt->start_until_ms != 0 && now_ms >= attempt->start_until_ms;
    if (now_ms + FORWARD_LEAST_MS >= limit_ms || old_token || server_is_closed(attempt->server)) {
        return false;
    }
    attempt->sent_ms = node_now(attempt->forward->front->node);
    forward_write_request(attempt->forward, attempt->server, limit_ms - now_ms, request);
    return true;
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

void forward_send(struct forward *forward, struct server *server)
{
    struct front *front = forward->front;
    struct forward_attempt *attempt = forward_free_attempt(forward);
    struct address address;
    forward->phase = FORWARD_RUNNING;
    forward->sends++;
    front->counters.sends++;
    server_begin(server, node_now(front->node));
    attempt->forward = forward;
    attempt->server = server;
    attempt->sent_ms = node_now(front->node);
    attempt->start_until_ms = forward_take_start(forward, server);
    free(forward->last_server);
    forward->last_server = text_copy(server->id);
    server_wish_note_tried(&forward->wish, server);
    prefix_table_note(&server->prefixes, node_now(front->node), &forward->chain);
    address_parse(server->address, &address);
    bool head_request = http_name_equal(forward->call->request->method, "HEAD");
    attempt->exchange =
        upstream_start(&front->node->upstreams, &address, head_request, &forward_upstream_events, attempt);
    upstream_watch(attempt->exchange, forward_is_resumable(forward)); /* other answers are waited for, however silent */
}

static struct server *forward_choose_in_part(struct forward *forward)
{
    struct front *front = forward->front;
    if (forward->wish.service == NULL) {
        return NULL;
    }
    forward_pace_starts(forward);
    struct server *server = server_table_choose(&front->servers, node_now(front->node), &forward->wish);
    forward_want_start(forward, server);
    return server;
}

/* A request that is sent again stays in its part of the route, as long as that has another server. */
static struct server *forward_choose(struct forward *forward)
{
    struct server *bound = forward_bound_server(forward);
    if (bound != NULL) {
        uint64_t now_ms = node_now(forward->front->node);
        bool open = !bound->zone_drained && now_ms >= bound->full_until_ms && now_ms >= forward->bound_due_ms &&
                    forward_may_start(forward, bound);
        return open ? bound : NULL;
    }
    forward->wish.zone = forward->front->node->settings.zone;
    forward->wish.regions[0] = &forward->route->regions;
    forward->wish.regions[1] = forward->tenant == NULL ? NULL : &forward->tenant->regions;
    forward->wish.warm = forward_is_warm;
    forward->wish.context = forward->front;
    forward->wish.chain = forward->chain.count > 0 ? &forward->chain : NULL;
    forward->wish.cost = &forward->front->call_cost;
    struct server *server = forward_choose_in_part(forward);
    if (server == NULL) {
        const struct route_part *part = route_choose_part(forward->route, forward_part_is_usable, forward);
        forward->wish.service = part == NULL ? NULL : part->service;
        server = forward_choose_in_part(forward);
    }
    return server;
}

static bool forward_may_queue(const struct forward *forward)
{
    uint64_t now_ms = node_now(forward->front->node);
    uint64_t waited_ms = forward->queued_ms == 0 ? 0 : now_ms - forward->queued_ms;
    return place_may_wait(waited_ms, forward->limit_ms - now_ms);
}

/* Each part of its route has servers, and all of them are barred to it: nothing would be found by waiting. */
static bool forward_is_barred(const struct forward *forward)
{
    const struct route *route = forward->route;
    bool barred = route->part_count > 0;
    for (uint32_t i = 0; i < route->part_count; i++) {
        struct server_wish wish = forward->wish;
        wish.service = route->parts[i].service;
        barred = barred && server_table_bars(&forward->front->servers, &wish);
    }
    return barred;
}

static const char *forward_barred_reason(const struct forward *forward)
{
    bool regions = forward->route->regions.count > 0 || (forward->tenant != NULL && forward->tenant->regions.count > 0);
    return regions ? "no server in the allowed regions" : "zones drained";
}

/* Ends for want of a server. */
static void forward_end_unplaced(struct forward *forward, const char *reason)
{
    if (forward->runs > 0) {
        forward_fail(forward, FORWARD_BAD_GATEWAY, reason);
    } else {
        forward_refuse(forward, FORWARD_UNAVAILABLE, reason);
    }
}

void forward_place(struct forward *forward)
{
    if (!forward_has_time(forward)) {
        forward_out_of_time(forward);
        return;
    }
    if (forward->runs == 0 && !forward_tenant_still_holds(forward)) {
        forward_refuse(forward, FORWARD_UNAUTHORIZED, "key taken away");
        return;
    }
    if (!forward_quota_is_good(forward) && !forward_quota_take(forward)) {
        forward->phase = FORWARD_PREPARING;
        return;
    }
    struct server *server = forward_choose(forward);
    if (server != NULL) {
        forward_send(forward, server);
    } else if (forward_is_barred(forward) || forward_is_stranded(forward)) {
        forward_end_unplaced(forward, forward_barred_reason(forward));
    } else if (forward_may_queue(forward)) {
        forward_queue_join(forward);
    } else {
        forward_end_unplaced(forward, forward->runs > 0 ? "no other server" : "no server");
    }
}

/* A request that may run again is sent to a second server when the first one
 * is slow to answer, as long as such seconds are few. */
static bool forward_may_hedge(struct forward *forward)
{
    return forward->route->kind == ROUTE_SAFE && !forward->hedged && forward->phase == FORWARD_RUNNING &&
           forward_is_asking(forward) && forward->sends < forward->route->max_attempts && forward_has_time(forward);
}

void forward_hedge(struct forward *forward)
{
    struct server *server = forward_may_hedge(forward) ? forward_choose(forward) : NULL;
    if (server != NULL && retry_budget_take(&forward->front->retries)) {
        forward->hedged = true;
        forward->front->counters.hedges++;
        forward_send(forward, server);
    }
}

/* ---- Failures --------------------------------------------------------------------------------- */

void forward_not_run(struct forward_attempt *attempt, const char *reason)
{
    struct forward *forward = attempt->forward;
    event_log("attempt_not_run", "{s:s,s:s,s:s,s:i}", "id", text_or_empty(forward->id), "server", attempt->server->id,
              "reason", reason, "sends", (int)forward->sends);
    forward_end_attempt(attempt);
    if (forward_is_asking(forward)) {
        return;
    }
    forward->bound_due_ms = node_now(forward->front->node) + SERVER_SHED_PAUSE_MS;
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
    if (forward_resume(attempt, reason)) {
        return;
    }
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
