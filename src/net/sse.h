/**
 * @file sse.h
 * Incremental parser of server-sent events that reads only the data lines.
 */
#ifndef BANKBANK_NET_SSE_H
#define BANKBANK_NET_SSE_H

#include <stdbool.h>

#include "base/buffer.h"

enum { SSE_MAX_LINE_BYTES = 4 << 20 };

/** Parser state; initially all zero. */
struct sse_parser {
    struct buffer line; /**< Bytes of the incomplete line. */
};

/** Calls `event` with the payload of each complete data line. Returns false if `event` did, or a line is too long. */
bool sse_feed(struct sse_parser *parser, struct view data, bool (*event)(void *context, struct view payload),
              void *context);

void sse_close(struct sse_parser *parser);

#endif
