/* Tokens of servers that have just started, held here or asked of the leader (core/slow_start.h). */
#include <stdlib.h>

#include "base/event_log.h"
#include "base/message.h"
#include "core/slow_start.h"
#include "proxy/forward.h"

enum { FORWARD_START_ANSWER_MS = 400 /* time in which the leader answers an ask */ };

static bool forward_has_token(void *context, const struct server *server)
{
    const struct front *front = context;
    return quota_purses_has(&front->starts, node_now(front->node), server->hash);
}

/* The service of a server, where it names a rate for servers that start. */
static const struct route_service *forward_paced_service(const struct route_table *table, const char *name)
{
    const struct route_service *service = route_table_service(table, name);
    return service != NULL && service->start_rate_per_s > 0 ? service : NULL;
}

void forward_pace_starts(struct forward *forward)
{
    bool paced = forward_paced_service(forward->table, forward->wish.service) != NULL;
    forward->wish.may_start = paced ? forward_has_token : NULL;
}

static bool forward_needs_token(const struct forward *forward, const struct server *server)
{
    return server_is_starting(server, node_now(forward->front->node)) &&
           forward_paced_service(forward->table, server->service) != NULL;
}

bool forward_may_start(const struct forward *forward, const struct server *server)
{
    return !forward_needs_token(forward, server) || forward_has_token(forward->front, server);
}

uint64_t forward_take_start(struct forward *forward, const struct server *server)
{
    struct front *front = forward->front;
    uint64_t now_ms = node_now(front->node);
    if (!forward_needs_token(forward, server)) {
        return 0;
    }
    /* Without a token it ends in time as it is written: whoever chose a server has looked. */
    return quota_purses_take(&front->starts, now_ms, server->hash, QUOTA_USE_REQUEST)
               ? quota_purses_expiry(&front->starts, server->hash)
               : now_ms;
}

void forward_want_start(struct forward *forward, const struct server *chosen)
{
    struct front *front = forward->front;
    uint64_t now_ms = node_now(front->node);
    bool suffices = chosen != NULL && !server_is_busy(&front->servers, chosen, now_ms);
    if (forward->wish.may_start == NULL || suffices) {
        return;
    }
    const struct server *server = server_table_starting(&front->servers, now_ms, &forward->wish);
    if (server == NULL || forward_has_token(front, server)) {
        return;
    }
    const struct route_service *service = forward_paced_service(forward->table, server->service);
    quota_purses_name_service(&front->starts, server->hash, service->hash);
    quota_purses_take(&front->starts, now_ms, server->hash, QUOTA_USE_REQUEST); /* counted for the next ask */
}

/* An ask under way. */
struct forward_start_ask {
    struct front *front;
    uint64_t asked_ms;
};

static void forward_on_starts(void *context, ResultCode code, struct view body)
{
    struct forward_start_ask *ask = context;
    struct front *front = ask->front;
    QuotaGrant grant = {0};
    bool answered = code == RESULT_OK && message_decode(body, QuotaGrant_fields, &grant);
    front->starts_asked = false;
    for (pb_size_t i = 0; i < grant.shares_count; i++) {
        quota_purses_put(&front->starts, ask->asked_ms, grant.shares[i].tenant, grant.shares[i].granted);
        front->place_freed = front->place_freed || grant.shares[i].granted > 0;
    }
    event_log("starts_granted", "{s:b,s:I,s:I}", "answered", answered, "servers", (json_int_t)grant.shares_count,
              "asked_ms", (json_int_t)(node_now(front->node) - ask->asked_ms));
    message_free(QuotaGrant_fields, &grant);
    free(ask);
}

static uint64_t forward_start_pause(const struct front *front)
{
    return front->loads_pause_ms > SLOW_START_ASK_MS ? front->loads_pause_ms : SLOW_START_ASK_MS;
}

void forward_ask_starts(struct front *front)
{
    struct node *node = front->node;
    uint64_t now_ms = node_now(node);
    if (!front->starts.due || front->starts_asked || now_ms < front->starts_asked_ms + forward_start_pause(front)) {
        return;
    }
    struct forward_start_ask *ask = memory_new(sizeof(*ask));
    struct buffer body = {0};
    QuotaAsk demands;
    quota_purses_ask(&front->starts, now_ms, &demands);
    message_encode(&body, QuotaAsk_fields, &demands);
    free(demands.demands);
    *ask = (struct forward_start_ask){front, now_ms};
    front->starts_asked = true;
    front->starts_asked_ms = now_ms;
    node_submit(node, REQUEST_SLOW_START, buffer_view(&body), now_ms + FORWARD_START_ANSWER_MS, forward_on_starts, ask);
    buffer_close(&body);
}

void forward_report_starting(struct front *front, struct server *server)
{
    uint64_t now_ms = node_now(front->node);
    bool paced = front->table != NULL && forward_paced_service(front->table, server->service) != NULL;
    bool starting = paced && server_is_starting(server, now_ms);
    if (starting == server->told_starting) {
        return;
    }
    server->told_starting = starting;
    event_log(starting ? "server_starting" : "server_started", "{s:s,s:s,s:b,s:I}", "server", server->id, "service",
              server->service, "listed", server->starting, "returned_ms",
              (json_int_t)(server->returned_ms == 0 ? 0 : now_ms - server->returned_ms));
}
