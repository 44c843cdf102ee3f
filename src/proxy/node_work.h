/**
 * @file node_work.h
 * A line of the log every few seconds that tells what a process worked on:
 * its processor time, and the frames that it received and sent by kind. It
 * shows which process comes to its limit, when, and by whose messages.
 */
#ifndef BANKBANK_PROXY_NODE_WORK_H
#define BANKBANK_PROXY_NODE_WORK_H

#include "net/link_counts.h"

enum { NODE_WORK_MS = 5000 /**< Period of the line. */ };

struct node;

/** What the last line told; all zero: none yet. */
typedef struct node_work_t {
    uint64_t told_ms;         /**< Its time. */
    uint64_t processor_ms;    /**< Processor time until then. */
    link_counts_t counts_in;  /**< Frames received until then. */
    link_counts_t counts_out; /**< Frames sent until then. */
} node_work_t;

/** Writes the line if it is due. */
void node_work_tell(struct node *node);

#endif
