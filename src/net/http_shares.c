/* What connections hold, and which are turned away when a share is full. */
#include "net/http_shares.h"

#include "base/event_log.h"
#include "net/http_connection.h"

enum {
    HTTP_SHARES_LOG_INTERVAL_MS = 1000,
    HTTP_SHARES_SHORT_RESPONSE_BYTES = 1 << 12 /* always sent: it may tell the outcome of an order */
};

/* ---- Accounting ---------------------------------------------------------------------------------- */

static size_t http_connection_held_bytes(const struct http_connection *connection)
{
    bool counts_unsent = !connection->listener->handler.accounts_requests;
    return sizeof(*connection) + connection->reader.head.capacity + connection->input.capacity +
           (counts_unsent ? http_call_unsent_bytes(&connection->call) : 0);
}

void http_connection_account(struct http_connection *connection)
{
    size_t bytes = http_connection_held_bytes(connection);
    connection->listener->shares.connection_bytes += bytes - connection->accounted_bytes;
    connection->accounted_bytes = bytes;
}

void http_connection_release_accounted(struct http_connection *connection)
{
    connection->listener->shares.connection_bytes -= connection->accounted_bytes;
    connection->accounted_bytes = 0;
}

void http_connection_leave_pool(struct http_connection *connection)
{
    http_shares_t *shares = &connection->listener->shares;
    if (connection->state == HTTP_LINGERING) {
        shares->lingering--;
    } else {
        shares->connections--;
    }
}

/* Closes the oldest one beyond the limit. */
static void http_listener_limit_lingering(struct http_listener *listener)
{
    const http_shares_t *shares = &listener->shares;
    uint32_t most = shares->max_connections / HTTP_SHARES_LINGERING_DIVISOR + 1;
    struct http_connection *oldest = NULL;
    if (shares->max_connections == 0 || shares->lingering <= most) {
        return;
    }
    for (struct http_connection *other = listener->connections; other != NULL; other = other->next) {
        if (other->state == HTTP_LINGERING && (oldest == NULL || other->lingering_ms < oldest->lingering_ms)) {
            oldest = other;
        }
    }
    if (oldest != NULL) {
        http_connection_close(oldest);
    }
}

void http_connection_enter_lingering(struct http_connection *connection)
{
    http_connection_leave_pool(connection);
    http_listener_limit_lingering(connection->listener);
    connection->state = HTTP_LINGERING;
    connection->listener->shares.lingering++;
}

static bool http_shares_are_exceeded(const http_shares_t *shares)
{
    bool many = shares->max_connections > 0 && shares->connections > shares->max_connections;
    bool large = shares->max_connection_bytes > 0 && shares->connection_bytes > shares->max_connection_bytes;
    return many || large;
}

static bool http_bodies_exceed(const struct http_listener *listener, const struct http_connection *newest)
{
    size_t max_bytes = listener->limits.max_receiving_bytes;
    bool only_body = listener->reserved_bytes == newest->reserved_bytes; /* a single body is always allowed */
    return max_bytes > 0 && listener->reserved_bytes > max_bytes && !only_body;
}

static void http_shares_log(struct http_listener *listener, const char *share)
{
    http_shares_t *shares = &listener->shares;
    uint64_t now_ms = uv_now(listener->loop);
    if (shares->logged_ms != 0 && now_ms < shares->logged_ms + HTTP_SHARES_LOG_INTERVAL_MS) {
        return;
    }
    shares->logged_ms = now_ms;
    event_log("client_share_full", "{s:s,s:s,s:I,s:I,s:I,s:I,s:I}", "listener",
              listener->handler.name == NULL ? "" : listener->handler.name, "share", share, "connections",
              (json_int_t)shares->connections, "connection_bytes", (json_int_t)shares->connection_bytes, "body_bytes",
              (json_int_t)listener->reserved_bytes, "displaced", (json_int_t)shares->displaced, "refused",
              (json_int_t)shares->refused);
}

/* ---- Turning away -------------------------------------------------------------------------------- */

/* In the order in which connections are turned away. */
typedef enum http_rank_t {
    HTTP_RANK_UNUSED,
    HTTP_RANK_IDLE,
    HTTP_RANK_RECEIVING,
    HTTP_RANK_KEPT /* not turned away */
} http_rank_t;

static http_rank_t http_connection_rank(const struct http_connection *connection)
{
    switch (connection->state) {
    case HTTP_READING:
        if (http_call_unsent_bytes(&connection->call) > 0) {
            return HTTP_RANK_IDLE; /* its client does not read */
        }
        if (connection->receiving) {
            return HTTP_RANK_RECEIVING;
        }
        return connection->used ? HTTP_RANK_IDLE : HTTP_RANK_UNUSED;
    case HTTP_LINGERING:
    case HTTP_RESPONDING:
    case HTTP_CLOSED: break;
    }
    return HTTP_RANK_KEPT;
}

/* Empty lines restart the timeout of an idle connection, and are no request. */
static uint64_t http_connection_waiting_since_ms(const struct http_connection *connection)
{
    return connection->receiving ? connection->state_since_ms : connection->idle_since_ms;
}

static bool http_connection_is_protected(const struct http_connection *connection, uint64_t now_ms)
{
    bool idle = connection->used && !connection->receiving && http_call_unsent_bytes(&connection->call) == 0;
    return !idle && now_ms < http_connection_waiting_since_ms(connection) + HTTP_SHARES_PROTECTED_MS;
}

/* The connection to turn away next, or NULL; `newest` needs the room. */
static struct http_connection *http_listener_victim(struct http_listener *listener,
                                                    const struct http_connection *newest, bool with_body)
{
    uint64_t now_ms = uv_now(listener->loop);
    struct http_connection *victim = NULL;
    http_rank_t victim_rank = HTTP_RANK_KEPT;
    uint64_t victim_since_ms = UINT64_MAX;
    for (struct http_connection *other = listener->connections; other != NULL; other = other->next) {
        http_rank_t rank = http_connection_rank(other);
        uint64_t since_ms = http_connection_waiting_since_ms(other);
        bool eligible = other != newest && rank != HTTP_RANK_KEPT && (!with_body || other->reserved_bytes > 0) &&
                        !http_connection_is_protected(other, now_ms);
        if (eligible && (rank < victim_rank || (rank == victim_rank && since_ms < victim_since_ms))) {
            victim = other;
            victim_rank = rank;
            victim_since_ms = since_ms;
        }
    }
    return victim;
}

static void http_connection_turn_away(struct http_connection *connection)
{
    connection->listener->shares.displaced++;
    if (http_connection_rank(connection) == HTTP_RANK_RECEIVING) {
        http_connection_refuse_full(connection); /* lingers, so that its client gets the response */
    } else {
        http_connection_on_disconnect(connection);
    }
}

static bool http_connection_free_shares(struct http_connection *newest)
{
    struct http_listener *listener = newest->listener;
    while (http_shares_are_exceeded(&listener->shares)) {
        struct http_connection *victim = http_listener_victim(listener, newest, false);
        if (victim == NULL) {
            listener->shares.refused++;
            http_shares_log(listener, "connections");
            return false;
        }
        http_shares_log(listener, "connections");
        http_connection_turn_away(victim);
    }
    return true;
}

bool http_connection_make_room(struct http_connection *newest)
{
    http_connection_account(newest);
    return http_connection_free_shares(newest);
}

bool http_connection_make_room_for_response(struct http_connection *newest, size_t bytes)
{
    http_shares_t *shares = &newest->listener->shares;
    if (newest->listener->handler.accounts_requests || bytes <= HTTP_SHARES_SHORT_RESPONSE_BYTES) {
        return true;
    }
    http_connection_account(newest);
    newest->accounted_bytes += bytes;
    shares->connection_bytes += bytes;
    bool has_room = http_connection_free_shares(newest);
    newest->accounted_bytes -= bytes;
    shares->connection_bytes -= bytes;
    return has_room;
}

bool http_connection_make_room_for_body(struct http_connection *newest)
{
    struct http_listener *listener = newest->listener;
    while (http_bodies_exceed(listener, newest)) {
        struct http_connection *victim = http_listener_victim(listener, newest, true);
        if (victim == NULL) {
            http_shares_log(listener, "bodies");
            return false;
        }
        http_shares_log(listener, "bodies");
        http_connection_turn_away(victim);
    }
    return true;
}
