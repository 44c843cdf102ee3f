/**
 * @file event_stream.h
 * Splits a stream of server-sent events into whole events, so that a proxy
 * passes on nothing but whole ones, and knows their ids and data.
 */
#ifndef BANKBANK_NET_EVENT_STREAM_H
#define BANKBANK_NET_EVENT_STREAM_H

#include <stdbool.h>

#include "base/buffer.h"

enum { EVENT_STREAM_MAX_EVENT = 4 << 20 /**< Largest event, in bytes. */ };

/** One event; views into the parser. */
struct event_stream_event {
    struct view raw;  /**< The whole event with its empty line. */
    bool has_id;      /**< It has an id line. */
    struct view id;   /**< Its id. */
    bool has_data;    /**< It has a data line. */
    struct view data; /**< Its data lines joined by line feeds. */
};

/** A parser; all zero is its start. */
struct event_stream {
    struct buffer pending; /**< The unfinished event. */
    struct buffer data;    /**< Joined data lines. */
    size_t scanned;        /**< Bytes of `pending` known to hold no end. */
};

/** Feeds bytes; `event` is called for each whole event. False: `event` returned false, or an event is too large. */
bool event_stream_feed(struct event_stream *stream, struct view bytes,
                       bool (*event)(void *context, const struct event_stream_event *event), void *context);

/** Whether a part of an event is pending. */
bool event_stream_is_inside(const struct event_stream *stream);

/** Frees the parser. */
void event_stream_close(struct event_stream *stream);

#endif
