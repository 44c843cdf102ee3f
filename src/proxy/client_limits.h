/**
 * @file client_limits.h
 * Limits on what clients may hold at each listener of a daemon: connections, as parts
 * of the descriptors that the process may open, and memory, as shares of its budget
 * (core/memory_budget.h). The rest of the descriptors is for servers, other daemons and
 * files. Design: docs/design/client-shares.md.
 */
#ifndef BANKBANK_PROXY_CLIENT_LIMITS_H
#define BANKBANK_PROXY_CLIENT_LIMITS_H

#include "net/http_shares.h"
#include "proxy/node.h"

enum {
    CLIENT_LIMITS_CALLERS_DIVISOR = 4,   /**< Of the descriptors; unless max_connections is set. */
    CLIENT_LIMITS_OPERATORS_DIVISOR = 8, /**< Of the descriptors. */
    CLIENT_LIMITS_PROBES_DIVISOR = 16,   /**< Of the descriptors, at each of the two listeners. */
    CLIENT_LIMITS_MAX_CALLERS = 4096,    /**< Unless max_connections is set. */
    CLIENT_LIMITS_MAX_OPERATORS = 256,
    CLIENT_LIMITS_MAX_PROBES = 64,
    CLIENT_LIMITS_PROBE_BODY_BYTES = 1 << 12,      /**< Of one request for readiness or metrics. */
    CLIENT_LIMITS_PROBE_BODIES_BYTES = 1 << 16,    /**< Of all that are received. */
    CLIENT_LIMITS_DEFAULT_BYTES = 16 << 20,        /**< Of connections, without a memory budget. */
    CLIENT_LIMITS_DEFAULT_BODIES_BYTES = 64 << 20, /**< Of callers' bodies, without a memory budget. */
    CLIENT_LIMITS_DEFAULT_PROBES_BYTES = 2 << 20,  /**< The same of probes. */
    CLIENT_LIMITS_OPERATOR_BODY_BYTES = 8 << 20,   /**< Of an order, and of all that are under way. */
    CLIENT_LIMITS_OPERATOR_BODY_DIVISOR = 16       /**< Of the process's memory, if that is less. */
};

/** Sets the limits of a listener; what is held stays. */
void client_limits_set_callers(const struct node *node, http_shares_t *shares);
void client_limits_set_operators(const struct node *node, http_shares_t *shares);
void client_limits_set_probes(const struct node *node, http_shares_t *shares);

/** Limit of all bodies that callers are sending. */
size_t client_limits_bodies_bytes(const struct node *node);

/** Longest body of a caller: `configured`, or what fits into the memory of requests, where a body counts twice. */
size_t client_limits_caller_body_bytes(const struct node *node, size_t configured);

/** Longest body of an operator's order; also the limit of all that are under way. */
size_t client_limits_operator_body_bytes(const struct node *node);

/** Writes the metrics of all listeners of the daemon. */
void client_limits_write_metrics(const struct node *node, struct buffer *out);

#endif
