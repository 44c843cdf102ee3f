/**
 * @file http_shares.h
 * Limits on what the clients of one listener hold together: connections, and the
 * memory of connections, their heads, unparsed input and unsent responses. The limits
 * on one request are in http_limits.
 *
 * If a share is full, connections are turned away for the one that needs room, in this
 * order, those that have waited longest first:
 *
 *   unused                 no request so far
 *   idle, or not reading   between requests, or an unread response
 *   receiving              a part of a request has arrived; refused as not run
 *
 * Connections whose client has had less than HTTP_SHARES_PROTECTED_MS for its part, and
 * those whose request is being answered, are never turned away; idle ones may be at any
 * time. If that leaves no room, the connection that needs it is refused.
 *
 * Connections linger after their last response, so that no reset overtakes it. They are
 * not part of max_connections, but have a limit of their own, above which the oldest is
 * closed. Design: docs/design/client-shares.md.
 */
#ifndef BANKBANK_NET_HTTP_SHARES_H
#define BANKBANK_NET_HTTP_SHARES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    HTTP_SHARES_PROTECTED_MS = 100,
    HTTP_SHARES_LINGERING_DIVISOR = 4 /**< Lingering connections may be this part of max_connections. */
};

typedef struct http_shares_t {
    /* Limits; 0: none. */
    uint32_t max_connections;
    size_t max_connection_bytes;
    /* Held now. */
    uint32_t connections; /**< Without lingering ones. */
    uint32_t lingering;
    size_t connection_bytes;
    /* Since the start. */
    uint64_t refused;   /**< Connections and requests that found no room. */
    uint64_t displaced; /**< Connections that were closed, or whose request was refused, to make room. */
    uint64_t logged_ms; /**< Loop time of the last log line; 0: none. */
} http_shares_t;

#endif
