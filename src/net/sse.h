/**
 * @file sse.h
 * Splits a stream of server-sent events into the payloads of their data lines.
 */
#ifndef BANKBANK_NET_SSE_H
#define BANKBANK_NET_SSE_H

#include <stdbool.h>

#include "base/buffer.h"

enum { SSE_MAX_LINE = 4 << 20 /**< Longest line accepted, in bytes. */ };

/** A parser; all zero is its start. */
struct sse_parser {
    struct buffer line; /**< The unfinished line. */
};

/**
 * Feeds bytes and calls `event` with the payload of each data line. Returns
 * false if `event` did, or if a line is too long.
 */
bool sse_feed(struct sse_parser *parser, struct view data, bool (*event)(void *context, struct view payload),
              void *context);

/** Frees the parser. */
void sse_close(struct sse_parser *parser);

#endif
