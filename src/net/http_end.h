/**
 * @file http_end.h
 * Ends of connections that were not the client's own and left a request, or a part of one, without its complete
 * response. Each is counted by its reason in http_listener_counters.ends, and logged as `connection_ended`.
 * What the client gets in each case: docs/design/caller-connections.md.
 */
#ifndef BANKBANK_NET_HTTP_END_H
#define BANKBANK_NET_HTTP_END_H

/** Why a connection ended. */
typedef enum http_end_t {
    HTTP_END_RECEIVE_TIMEOUT, /**< A request was not received whole in time; the client got a 408. */
    HTTP_END_SEND_TIMEOUT,    /**< The client accepted no byte of its response for too long. */
    HTTP_END_ABORTED,         /**< The handler gave up a response that had begun. */
    HTTP_END_LATE_REQUEST, /**< Bytes arrived after the connection's last response, or after it was closed as idle. */
    HTTP_END_STOPPED,      /**< The listener was closed. */
    HTTP_END_NOT_ACCEPTED, /**< Accepting the connection failed. */
    HTTP_END_COUNT
} http_end_t;

/** The name in logs and metrics: "receive_timeout" and so on. */
const char *http_end_name(http_end_t reason);

#endif
