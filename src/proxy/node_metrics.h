/**
 * @file node_metrics.h
 * All counters and histograms of a daemon as Prometheus text.
 */
#ifndef BANKBANK_PROXY_NODE_METRICS_H
#define BANKBANK_PROXY_NODE_METRICS_H

#include "proxy/node.h"

/** Writes everything. */
void node_write_metrics(const struct node *node, struct buffer *out);

/** Writes one counter or gauge. */
void metrics_write_counter(struct buffer *out, const char *name, const char *help, uint64_t value);
void metrics_write_gauge(struct buffer *out, const char *name, const char *help, uint64_t value);

#endif
