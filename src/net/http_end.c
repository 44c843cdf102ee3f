#include "net/http_end.h"

#include <arpa/inet.h>
#include <stdio.h>

#include "base/event_log.h"
#include "net/http_connection.h"

enum { HTTP_END_PEER_BYTES = INET_ADDRSTRLEN + 8 /* IP:PORT */ };

const char *http_end_name(http_end_t reason)
{
    switch (reason) {
    case HTTP_END_RECEIVE_TIMEOUT: return "receive_timeout";
    case HTTP_END_SEND_TIMEOUT: return "send_timeout";
    case HTTP_END_ABORTED: return "aborted";
    case HTTP_END_LATE_REQUEST: return "late_request";
    case HTTP_END_STOPPED: return "stopped";
    case HTTP_END_NOT_ACCEPTED: return "not_accepted";
    case HTTP_END_COUNT: break;
    }
    return "";
}

static const char *http_end_state_name(const struct http_connection *connection)
{
    switch (connection->state) {
    case HTTP_READING: return connection->receiving ? "receiving" : "idle";
    case HTTP_RESPONDING: return "responding";
    case HTTP_LINGERING: return "lingering";
    case HTTP_CLOSED: return "closed";
    }
    return "";
}

static void http_end_peer(const struct http_connection *connection, char *text, size_t size)
{
    struct sockaddr_in peer = {0};
    char ip[INET_ADDRSTRLEN] = "";
    int length = sizeof(peer);
    if (uv_tcp_getpeername(&connection->socket, (struct sockaddr *)&peer, &length) == 0) {
        uv_ip4_name(&peer, ip, sizeof(ip));
    }
    snprintf(text, size, "%s:%d", ip, ntohs(peer.sin_port));
}

void http_connection_record_end(const struct http_connection *connection, http_end_t reason)
{
    struct http_listener *listener = connection->listener;
    const struct http_reader *reader = &connection->reader;
    uint64_t now_ms = uv_now(listener->loop);
    char peer[HTTP_END_PEER_BYTES];
    http_end_peer(connection, peer, sizeof(peer));
    listener->counters.ends[reason]++;
    event_log("connection_ended", "{s:s,s:s,s:s,s:I,s:b,s:b,s:I,s:I,s:I,s:I}", "reason", http_end_name(reason), "state",
              http_end_state_name(connection), "peer", peer, "request_bytes",
              (json_int_t)(reader->head.length + reader->body_bytes + connection->input.length), "request_read",
              (int)reader->complete, "response_begun", (int)connection->call.head_sent, "unsent_bytes",
              (json_int_t)http_call_unsent_bytes(&connection->call), "late_bytes", (json_int_t)connection->late_bytes,
              "since_received_ms", (json_int_t)(connection->received_ms == 0 ? 0 : now_ms - connection->received_ms),
              "in_state_ms", (json_int_t)(now_ms - connection->state_since_ms));
}

void http_listener_record_not_accepted(struct http_listener *listener, int error)
{
    listener->counters.ends[HTTP_END_NOT_ACCEPTED]++;
    event_log("connection_ended", "{s:s,s:s}", "reason", http_end_name(HTTP_END_NOT_ACCEPTED), "error",
              uv_strerror(error));
}
