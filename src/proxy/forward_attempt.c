/* Attempts of a request at servers: server choice, sending, failures. */
#include "proxy/forward.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/event_log.h"
#include "core/queue_policy.h"
#include "core/turn_rank.h"
#include "proxy/caller_headers.h"

enum { FORWARD_UNAUTHORIZED = 401, FORWARD_UNAVAILABLE = 503, FORWARD_BAD_GATEWAY = 502 };

/* ---- Attempts --------------------------------------------------------------------------------- */

void forward_end_attempt(struct forward_attempt *attempt)
{
    struct frontend *frontend = attempt->forward->frontend;
    if (attempt->exchange != NULL) {
        upstream_cancel(&frontend->node->upstreams, attempt->exchange);
    }
    node_ignore_reply(frontend->node, attempt->failure_report);
    if (attempt->server != NULL) {
        server_end_request(&frontend->servers, attempt->server);
        frontend->capacity_freed = true;
    }
    buffer_close(&attempt->header_lines);
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

static bool forward_has_attempt(const struct forward *forward)
{
    for (int i = 0; i < FORWARD_MAX_PARALLEL; i++) {
        if (forward->attempts[i].forward != NULL) {
            return true;
        }
    }
    return false;
}

bool forward_was_sent(const struct forward *forward)
{
    bool sent = forward->possible_runs > 0;
    for (int i = 0; i < FORWARD_MAX_PARALLEL; i++) {
        const struct upstream_exchange *exchange = forward->attempts[i].exchange;
        sent = sent || (exchange != NULL && upstream_was_sent(exchange));
    }
    return sent;
}

/* ---- Placement -------------------------------------------------------------------------------- */

static bool forward_backend_is_usable(void *context, const char *service)
{
    const struct forward *forward = context;
    const struct frontend *frontend = forward->frontend;
    return server_table_has_available(&frontend->servers, node_now(frontend->node), service, &forward->criteria);
}

static bool forward_has_idle_connection(void *context, const char *address)
{
    struct frontend *frontend = context;
    return upstream_idle_count(&frontend->node->upstreams, address) > 0;
}

static uint32_t forward_priority_rank(const struct forward *forward, const struct server *server)
{
    const struct frontend *frontend = forward->frontend;
    bool busy = server_is_busy(&frontend->servers, server, node_now(frontend->node));
    bool first = forward->turn.parent == NULL && text_or_empty(forward->turn.home)[0] == '\0';
    return forward->turn.program == NULL ? TURN_RANK_DEFAULT : turn_rank(busy, first);
}

bool forward_has_time(const struct forward *forward)
{
    return node_now(forward->frontend->node) + FORWARD_MIN_REMAINING_MS < forward->deadline_ms;
}

static void forward_write_request(const struct forward *forward, const struct server *server, uint64_t left_ms,
                                  struct buffer *out)
{
    const struct http_reader *request = forward->call->request;
    const struct dialect *dialect = forward->frontend->node->dialect;
    const struct buffer *history = &forward->turn.history;
    const struct buffer *body = &forward->call->body;
    buffer_append(out, request->method.data, request->method.length);
    buffer_append(out, " ", 1);
    buffer_append(out, request->target.data, request->target.length);
    buffer_append_text(out, " HTTP/1.1\r\n");
    bool resumed = forward->stream.event_count > 0;
    caller_headers_write(dialect, request, resumed ? CALLER_HEADERS_RESUMED : CALLER_HEADERS_FROM_START, out);
    buffer_printf(out, "%s: %llu\r\n", dialect->headers[DIALECT_DEADLINE_MS], (unsigned long long)left_ms);
    buffer_printf(out, "%s: %s\r\n", dialect->headers[DIALECT_EXPECT_SERVER], server->id);
    uint32_t rank = forward_priority_rank(forward, server);
    if (rank != TURN_RANK_DEFAULT) {
        buffer_printf(out, "%s: %u\r\n", dialect->headers[DIALECT_PRIORITY], rank);
    }
    if (forward->tenant != NULL) {
        buffer_printf(out, "%s: %s\r\n", dialect->headers[DIALECT_TENANT], forward->tenant->name);
    }
    if (resumed) {
        buffer_printf(out, "%s: %llu\r\n", CALLER_HEADERS_LAST_EVENT, (unsigned long long)forward->stream.last_event);
    }
    bool has_body =
        http_reader_has_header(request, "Content-Length") || http_reader_has_header(request, "Transfer-Encoding");
    if (has_body || history->length > 0) {
        buffer_printf(out, "Content-Length: %zu\r\n", history->length + body->length);
    }
    buffer_append_text(out, "\r\n");
    buffer_append(out, history->data, history->length);
    buffer_append(out, body->data, body->length);
}

const char *forward_unsent_reason(const struct forward_attempt *attempt)
{
    if (attempt->start_token_expires_ms != 0 &&
        node_now(attempt->forward->frontend->node) >= attempt->start_token_expires_ms) {
        return "its token for a server that has just started is too old";
    }
    if (server_is_out_of_rotation(attempt->server)) {
        return attempt->server->zone_drained ? "the server's zone is drained" : "the server leaves";
    }
    return forward_has_time(attempt->forward) ? "no connection to the server" : "no time left to send it";
}

static void forward_count_remote(const struct forward_attempt *attempt, size_t bytes)
{
    struct frontend *frontend = attempt->forward->frontend;
    if (!text_equal(attempt->server->zone, frontend->node->settings.zone)) {
        frontend->counters.remote_sends++;
        frontend->counters.remote_bytes += bytes;
    }
}

/* Repeats the checks made when the server was chosen, since the attempt may have waited for a connection. Uses the real
 * time, not the loop's: the process may have been suspended since the loop iteration began. */
bool forward_on_write(void *owner, struct buffer *request)
{
    struct forward_attempt *attempt = owner;
    uint64_t now_ms = node_real_now();
    uint64_t deadline_ms = attempt->forward->deadline_ms;
    bool token_expired = attempt->start_token_expires_ms != 0 && now_ms >= attempt->start_token_expires_ms;
    if (now_ms + FORWARD_MIN_REMAINING_MS >= deadline_ms || token_expired ||
        !server_may_receive(attempt->server, &attempt->forward->criteria, now_ms)) {
        return false;
    }
    attempt->sent_ms = node_now(attempt->forward->frontend->node);
    size_t written_before = request->length;
    forward_write_request(attempt->forward, attempt->server, deadline_ms - now_ms, request);
    forward_count_remote(attempt, request->length - written_before);
    return true;
}

bool forward_may_send_again(const struct forward *forward)
{
    return forward->sends < FORWARD_MAX_SENDS;
}

static struct forward_attempt *forward_find_free_attempt(struct forward *forward)
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
    struct frontend *frontend = forward->frontend;
    struct forward_attempt *attempt = forward_find_free_attempt(forward);
    struct address address;
    forward->phase = FORWARD_RUNNING;
    forward->sends++;
    frontend->counters.sends++;
    server_begin_request(server, node_now(frontend->node));
    attempt->forward = forward;
    attempt->server = server;
    attempt->sent_ms = node_now(frontend->node);
    attempt->start_token_expires_ms = forward_take_start_token(forward, server);
    free(forward->last_server);
    forward->last_server = text_copy(server->id);
    free(forward->last_version);
    forward->last_version = text_copy(server->version);
    if (forward->stream.resumes > 0) {
        event_log("stream_resent", "{s:s,s:s,s:s,s:I}", "id", text_or_empty(forward->id), "server", server->id,
                  "version", server->version, "last_event", (json_int_t)forward->stream.last_event);
    }
    server_criteria_add_tried(&forward->criteria, server);
    forward_record_version(forward, server);
    prefix_table_record(&server->prefixes, node_now(frontend->node), &forward->chain);
    address_parse(server->address, &address);
    bool head_request = http_name_equal(forward->call->request->method, "HEAD");
    uint64_t key = XXH64(forward->id, strlen(forward->id), 0);
    attempt->exchange =
        upstream_start(&frontend->node->upstreams, &address, key, head_request, &forward_upstream_events, attempt);
    /* Only if the stream can be resumed: any other response may still arrive, however long the machine is silent. */
    upstream_set_keepalive(attempt->exchange, forward_is_resumable(forward));
}

static struct server *forward_choose_in_backend(struct forward *forward)
{
    struct frontend *frontend = forward->frontend;
    if (forward->criteria.service == NULL) {
        return NULL;
    }
    forward_set_start_filter(forward);
    struct server *server = server_table_choose(&frontend->servers, node_now(frontend->node), &forward->criteria);
    forward_demand_start_token(forward, server);
    return server;
}

/* NULL: none is available. A retry stays in the same backend of the route while that has another server. */
static struct server *forward_choose_server(struct forward *forward)
{
    struct server *bound = forward_bound_server(forward);
    if (bound != NULL) {
        uint64_t now_ms = node_now(forward->frontend->node);
        bool available = !bound->zone_drained && now_ms >= bound->full_until_ms && now_ms >= forward->bound_retry_ms &&
                         forward_may_send_to(forward, bound);
        return available ? bound : NULL;
    }
    forward->criteria.zone = forward->frontend->node->settings.zone;
    forward->criteria.zone_first = forward->frontend->node->settings.tolerated_zones > 0;
    forward->criteria.region_rules[0] = &forward->route->regions;
    forward->criteria.region_rules[1] = forward->tenant == NULL ? NULL : &forward->tenant->regions;
    forward->criteria.has_idle_connection = forward_has_idle_connection;
    forward->criteria.context = forward->frontend;
    forward->criteria.chain = forward->chain.count > 0 ? &forward->chain : NULL;
    forward->criteria.cost = &forward->frontend->call_cost;
    struct server *server = forward_choose_in_backend(forward);
    if (server == NULL && forward->stream.service == NULL) {
        const struct route_backend *backend = route_choose_backend(forward->route, forward_backend_is_usable, forward);
        forward->criteria.service = backend == NULL ? NULL : backend->service;
        server = forward_choose_in_backend(forward);
    }
    return server;
}

/* Whether its only server is dialled until a connection to it stays open. */
static bool forward_awaits_bound_server(struct forward *forward)
{
    const struct server *bound = forward_bound_server(forward);
    return bound != NULL && node_now(forward->frontend->node) < bound->closed_dials.held_until_ms;
}

static bool forward_may_queue(struct forward *forward)
{
    uint64_t now_ms = node_now(forward->frontend->node);
    if (forward_awaits_bound_server(forward)) {
        return true; /* CLOSED_DIALS_MAX bounds the wait */
    }
    uint64_t waited_ms = forward->queued_ms == 0 ? 0 : now_ms - forward->queued_ms;
    return queue_policy_may_wait(waited_ms, forward->deadline_ms - now_ms);
}

/* Whether every backend has servers, but none that the request may use, so that queueing is useless. */
static bool forward_all_servers_excluded(const struct forward *forward)
{
    const struct route *route = forward->route;
    bool excluded = route->backend_count > 0;
    for (uint32_t i = 0; i < route->backend_count; i++) {
        struct server_criteria criteria = forward->criteria;
        criteria.service = route->backends[i].service;
        excluded = excluded && server_table_all_excluded(&forward->frontend->servers, &criteria);
    }
    return excluded;
}

static const char *forward_exclusion_reason(const struct forward *forward)
{
    bool regions = forward->route->regions.count > 0 || (forward->tenant != NULL && forward->tenant->regions.count > 0);
    return regions ? "no server in the allowed regions" : "zones drained";
}

static void forward_end_unplaced(struct forward *forward, const char *reason)
{
    if (forward->possible_runs > 0) {
        forward_fail(forward, FORWARD_BAD_GATEWAY, reason);
    } else {
        forward_refuse(forward, FORWARD_UNAVAILABLE, reason);
    }
}

void forward_place(struct forward *forward)
{
    if (!forward_has_time(forward)) {
        forward_timed_out(forward);
        return;
    }
    if (forward->possible_runs == 0 && !forward_tenant_is_valid(forward)) {
        forward_refuse(forward, FORWARD_UNAUTHORIZED, "key taken away");
        return;
    }
    if (!forward_quota_is_fresh(forward) && !forward_quota_take(forward)) {
        forward->phase = FORWARD_PREPARING;
        if (forward->quota.needs_leader) {
            forward_refuse_cut_off(forward);
        }
        return;
    }
    if (forward->turn.persistent && !forward_was_sent(forward) && frontend_is_cut_off(forward->frontend)) {
        forward_refuse_cut_off(forward); /* reserved before the cut; its commit would not succeed */
        return;
    }
    if (forward_is_quarantined(forward)) {
        forward_refuse_quarantined(forward);
        return;
    }
    if (!forward_is_permitted(forward)) {
        forward_request_permit(forward);
        return;
    }
    if (!forward_may_send_again(forward)) {
        forward_end_unplaced(forward, "sent too often");
        return;
    }
    struct server *server = forward_choose_server(forward);
    if (server != NULL) {
        forward_send(forward, server);
    } else if (forward_lacks_version(forward)) {
        forward_end_unplaced(forward, "no server of the stream's software version");
    } else if (forward_all_servers_excluded(forward) || forward_bound_server_drained(forward)) {
        forward_end_unplaced(forward, forward_exclusion_reason(forward));
    } else if (forward_may_queue(forward)) {
        forward_queue_add(forward);
    } else {
        forward_end_unplaced(forward, forward->possible_runs > 0 ? "no other server" : "no server");
    }
}

/* Hedging: a request that may run twice is sent to a second server as well if the first is slow to respond, within the
 * retry budget. */
static bool forward_may_hedge(struct forward *forward)
{
    bool may_be_sent = !forward_awaits_failure_count(forward) && !forward_is_suspected(forward) &&
                       forward->frontend->counts_known && forward_may_send_again(forward);
    return may_be_sent && forward->route->kind == ROUTE_SAFE && !forward->hedged && forward->phase == FORWARD_RUNNING &&
           forward_has_attempt(forward) && forward->sends < forward->route->max_attempts && forward_has_time(forward);
}

void forward_hedge(struct forward *forward)
{
    struct server *server = forward_may_hedge(forward) ? forward_choose_server(forward) : NULL;
    if (server != NULL && retry_budget_take(&forward->frontend->retries)) {
        forward->hedged = true;
        forward->frontend->counters.hedges++;
        forward_send(forward, server);
    }
}

/* ---- Failures --------------------------------------------------------------------------------- */

void forward_attempt_not_run(struct forward_attempt *attempt, const char *reason)
{
    struct forward *forward = attempt->forward;
    event_log("attempt_not_run", "{s:s,s:s,s:s,s:i}", "id", text_or_empty(forward->id), "server", attempt->server->id,
              "reason", reason, "sends", (int)forward->sends);
    forward_end_attempt(attempt);
    if (forward_has_attempt(forward)) {
        return;
    }
    forward->bound_retry_ms = node_now(forward->frontend->node) + SERVER_FULL_PAUSE_MS;
    forward_place(forward);
}

/* Not counted if this process has stalled since the attempt was sent: the server may not be at fault. */
static void forward_record_failure(const struct forward_attempt *attempt)
{
    const struct node *node = attempt->forward->frontend->node;
    if (attempt->sent_ms >= node->stall_end_ms) {
        health_record(&attempt->server->health, node_now(node), HEALTH_FAILED);
    }
}

static void forward_log_unknown(const struct forward_attempt *attempt, const char *reason)
{
    struct forward *forward = attempt->forward;
    char operation[QUARANTINE_TEXT_BYTES];
    quarantine_format(forward_operation(forward), operation);
    event_log("attempt_unknown", "{s:s,s:s,s:s,s:s,s:s,s:i,s:b}", "id", text_or_empty(forward->id), "operation",
              operation, "server", attempt->server->id, "incarnation", attempt->server->incarnation, "reason", reason,
              "sends", (int)forward->sends, "answer_begun", forward->stream.head_sent);
}

static void forward_record_unknown(const struct forward_attempt *attempt, const char *reason)
{
    forward_log_unknown(attempt, reason);
    attempt->forward->possible_runs++;
    forward_record_failure(attempt);
}

void forward_attempt_outcome_unknown(struct forward_attempt *attempt, const char *reason)
{
    forward_record_unknown(attempt, reason);
    forward_after_failure(attempt, reason);
}

void forward_attempt_failed(struct forward_attempt *attempt, const char *reason)
{
    forward_record_unknown(attempt, reason);
    if (attempt->exchange != NULL) {
        upstream_cancel(&attempt->forward->frontend->node->upstreams, attempt->exchange);
        attempt->exchange = NULL;
    }
    if (!forward_report_failure(attempt, reason)) {
        forward_after_failure(attempt, reason);
    }
}

bool forward_may_retry(const struct forward *forward)
{
    return !forward->stream.head_sent && forward->route->kind == ROUTE_SAFE &&
           forward->possible_runs < forward->route->max_attempts && forward_may_send_again(forward);
}

void forward_after_failure(struct forward_attempt *attempt, const char *reason)
{
    struct forward *forward = attempt->forward;
    bool quarantined = forward_is_quarantined(forward);
    bool ends = quarantined || forward->failure_uncounted;
    if (!ends && forward_resume(attempt, reason)) {
        return;
    }
    forward_end_attempt(attempt);
    if (forward_has_attempt(forward)) {
        return;
    }
    if (quarantined) {
        forward_refuse_quarantined(forward);
        return;
    }
    if (!ends && forward_may_retry(forward)) {
        forward_place(forward);
    } else {
        forward_fail(forward, FORWARD_BAD_GATEWAY, reason);
    }
}

/* ---- Unanswered attempts ------------------------------------------------------------------------------------- */

static uint64_t forward_unanswered_after_ms(const struct forward *forward)
{
    uint64_t scaled_target_ms = HEALTH_UNANSWERED_TARGETS * forward->route->target_latency_ms;
    return scaled_target_ms > HEALTH_UNANSWERED_MS ? scaled_target_ms : HEALTH_UNANSWERED_MS;
}

void forward_record_unanswered(struct forward *forward)
{
    const struct node *node = forward->frontend->node;
    uint64_t now_ms = node_now(node);
    for (int i = 0; i < FORWARD_MAX_PARALLEL; i++) {
        struct forward_attempt *attempt = &forward->attempts[i];
        uint64_t since_ms = attempt->sent_ms > node->stall_end_ms ? attempt->sent_ms : node->stall_end_ms;
        bool unanswered = attempt->exchange != NULL && attempt->status == 0 && !attempt->unanswered_recorded &&
                          now_ms >= since_ms + forward_unanswered_after_ms(forward);
        if (unanswered) {
            attempt->unanswered_recorded = true;
            server_record_unanswered(&forward->frontend->servers, attempt->server, now_ms);
        }
    }
}
