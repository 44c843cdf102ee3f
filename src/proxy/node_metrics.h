/**
 * @file node_metrics.h
 * Writes a daemon's metrics in the Prometheus text format.
 */
#ifndef BANKBANK_PROXY_NODE_METRICS_H
#define BANKBANK_PROXY_NODE_METRICS_H

#include "proxy/node.h"

/** Includes the metrics of its gateway and its replica. */
void node_write_metrics(const struct node *node, struct buffer *out);

/** The prefix "bankbank_" is added to `name`. */
void metrics_write_counter(struct buffer *out, const char *name, const char *help, uint64_t value);
void metrics_write_gauge(struct buffer *out, const char *name, const char *help, uint64_t value);

#endif
