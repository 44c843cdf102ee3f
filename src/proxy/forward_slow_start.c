/* Slow start: a request to a server that has just started takes a token, leased from the leader (core/slow_start.h). */
#include <stdlib.h>

#include "base/event_log.h"
#include "base/message.h"
#include "core/slow_start.h"
#include "proxy/forward.h"

enum { FORWARD_START_REQUEST_TIMEOUT_MS = 400 /* of a request to the leader */ };

static bool forward_has_start_token(void *context, const struct server *server)
{
    const struct frontend *frontend = context;
    return quota_leases_has(&frontend->start_leases, node_now(frontend->node), server->hash);
}

/* NULL: the service does not limit the request rate of servers that have just started. */
static const struct route_service *forward_start_limited_service(const struct route_table *table, const char *name)
{
    const struct route_service *service = route_table_service(table, name);
    return service != NULL && service->start_rate_per_s > 0 ? service : NULL;
}

void forward_set_start_filter(struct forward *forward)
{
    bool limited = forward_start_limited_service(forward->table, forward->criteria.service) != NULL;
    forward->criteria.has_start_token = limited ? forward_has_start_token : NULL;
}

static bool forward_needs_start_token(const struct forward *forward, const struct server *server)
{
    return server_is_starting(server, node_now(forward->frontend->node)) &&
           forward_start_limited_service(forward->table, server->service) != NULL;
}

bool forward_may_send_to(const struct forward *forward, const struct server *server)
{
    return !forward_needs_start_token(forward, server) || forward_has_start_token(forward->frontend, server);
}

uint64_t forward_take_start_token(struct forward *forward, const struct server *server)
{
    struct frontend *frontend = forward->frontend;
    uint64_t now_ms = node_now(frontend->node);
    if (!forward_needs_start_token(forward, server)) {
        return 0;
    }
    /* A token was held when the server was chosen. If it is gone, it counts as expired: the attempt is not sent. */
    return quota_leases_take(&frontend->start_leases, now_ms, server->hash, QUOTA_USE_REQUEST)
               ? quota_leases_expiry(&frontend->start_leases, server->hash)
               : now_ms;
}

void forward_demand_start_token(struct forward *forward, const struct server *chosen)
{
    struct frontend *frontend = forward->frontend;
    uint64_t now_ms = node_now(frontend->node);
    bool has_idle_server = chosen != NULL && !server_is_busy(&frontend->servers, chosen, now_ms) &&
                           !zone_reach_is_unreachable(&chosen->zone_reach);
    if (forward->criteria.has_start_token == NULL || has_idle_server) {
        return;
    }
    const struct server *server = server_table_choose_starting(&frontend->servers, now_ms, &forward->criteria);
    if (server == NULL || forward_has_start_token(frontend, server)) {
        return;
    }
    const struct route_service *service = forward_start_limited_service(forward->table, server->service);
    quota_leases_set_service(&frontend->start_leases, server->hash, service->hash);
    quota_leases_take(&frontend->start_leases, now_ms, server->hash, QUOTA_USE_REQUEST); /* fails, but adds demand */
}

struct forward_start_request {
    struct frontend *frontend;
    uint64_t sent_ms;
};

static void forward_on_start_tokens(void *context, ResultCode code, struct view body)
{
    struct forward_start_request *request = context;
    struct frontend *frontend = request->frontend;
    QuotaGrant grant = {0};
    bool answered = code == RESULT_OK && message_decode(body, QuotaGrant_fields, &grant);
    frontend->start_request_pending = false;
    for (pb_size_t i = 0; i < grant.shares_count; i++) {
        quota_leases_add(&frontend->start_leases, request->sent_ms, grant.shares[i].tenant, grant.shares[i].granted);
        frontend->capacity_freed = frontend->capacity_freed || grant.shares[i].granted > 0;
    }
    event_log("starts_granted", "{s:b,s:I,s:I}", "answered", answered, "servers", (json_int_t)grant.shares_count,
              "asked_ms", (json_int_t)(node_now(frontend->node) - request->sent_ms));
    message_free(QuotaGrant_fields, &grant);
    free(request);
}

static uint64_t forward_start_request_interval_ms(const struct frontend *frontend)
{
    return frontend->report_interval_ms > SLOW_START_REQUEST_INTERVAL_MS ? frontend->report_interval_ms
                                                                         : SLOW_START_REQUEST_INTERVAL_MS;
}

void forward_request_start_tokens(struct frontend *frontend)
{
    struct node *node = frontend->node;
    uint64_t now_ms = node_now(node);
    if (!frontend->start_leases.due || frontend->start_request_pending ||
        now_ms < frontend->start_requested_ms + forward_start_request_interval_ms(frontend)) {
        return;
    }
    struct forward_start_request *request = memory_new(sizeof(*request));
    struct buffer body = {0};
    QuotaAsk ask;
    quota_leases_fill_request(&frontend->start_leases, now_ms, &ask);
    message_encode(&body, QuotaAsk_fields, &ask);
    free(ask.demands);
    *request = (struct forward_start_request){frontend, now_ms};
    frontend->start_request_pending = true;
    frontend->start_requested_ms = now_ms;
    node_submit(node, REQUEST_SLOW_START, buffer_view(&body), now_ms + FORWARD_START_REQUEST_TIMEOUT_MS,
                forward_on_start_tokens, request);
    buffer_close(&body);
}

void forward_log_starting(struct frontend *frontend, struct server *server)
{
    uint64_t now_ms = node_now(frontend->node);
    bool limited = frontend->table != NULL && forward_start_limited_service(frontend->table, server->service) != NULL;
    bool starting = limited && server_is_starting(server, now_ms);
    if (starting == server->logged_starting) {
        return;
    }
    server->logged_starting = starting;
    event_log(starting ? "server_starting" : "server_started", "{s:s,s:s,s:b,s:I}", "server", server->id, "service",
              server->service, "listed", server->starting, "returned_ms",
              (json_int_t)(server->returned_ms == 0 ? 0 : now_ms - server->returned_ms));
}
