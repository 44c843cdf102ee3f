/**
 * @file event_stream.h
 * Incremental parser of server-sent events, for a proxy that forwards only
 * complete events.
 */
#ifndef BANKBANK_NET_EVENT_STREAM_H
#define BANKBANK_NET_EVENT_STREAM_H

#include <stdbool.h>

#include "base/buffer.h"

enum { EVENT_STREAM_MAX_EVENT_BYTES = 4 << 20 };

/** One event; its views are valid during the callback. */
struct event_stream_event {
    struct view raw; /**< All bytes, including the empty line at the end. */
    bool has_id;
    struct view id;
    bool has_data;
    struct view data; /**< Data lines joined by line feeds. */
};

/** Parser state; initially all zero. */
struct event_stream {
    struct buffer pending; /**< Bytes not yet passed on as an event. */
    struct buffer data;    /**< Joined data lines of the current event. */
    size_t scanned;        /**< Bytes of `pending` already searched for the end of the event. */
};

/** Parses `bytes` and calls `event` for each complete event. Returns false if `event` did, or an event is too large. */
bool event_stream_feed(struct event_stream *stream, struct view bytes,
                       bool (*event)(void *context, const struct event_stream_event *event), void *context);

bool event_stream_has_partial(const struct event_stream *stream);

void event_stream_close(struct event_stream *stream);

#endif
