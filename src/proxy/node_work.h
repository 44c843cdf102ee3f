/**
 * @file node_work.h
 * Periodically logs the process's CPU time and its frames by kind as a `work`
 * event, to find overloaded processes and the cause of their load.
 */
#ifndef BANKBANK_PROXY_NODE_WORK_H
#define BANKBANK_PROXY_NODE_WORK_H

#include "net/link_counts.h"

enum { NODE_WORK_PERIOD_MS = 5000 };

struct node;

/** Time and counters at the last log line; all zero: none was written yet. */
typedef struct node_work_t {
    uint64_t logged_ms;
    uint64_t processor_ms;
    link_counts_t counts_in;
    link_counts_t counts_out;
} node_work_t;

/** Writes the log line if it is due. */
void node_work_log(struct node *node);

#endif
