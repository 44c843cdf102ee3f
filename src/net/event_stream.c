#include "net/event_stream.h"

#include <string.h>

static bool event_field(struct view line, const char *name, struct view *value)
{
    size_t length = strlen(name);
    if (line.length < length + 1 || memcmp(line.data, name, length) != 0 || line.data[length] != ':') {
        return false;
    }
    size_t skip = length + 1;
    skip += line.length > skip && line.data[skip] == ' ' ? 1 : 0;
    *value = view_of(line.data + skip, line.length - skip);
    return true;
}

static void event_read_line(struct event_stream *stream, struct view line, struct event_stream_event *event)
{
    struct view value;
    if (line.length > 0 && line.data[line.length - 1] == '\r') {
        line.length--;
    }
    if (event_field(line, "id", &value)) {
        event->has_id = true;
        event->id = value;
    } else if (event_field(line, "data", &value)) {
        buffer_append(&stream->data, "\n", event->has_data ? 1 : 0);
        buffer_append(&stream->data, value.data, value.length);
        event->has_data = true;
    }
}

static void event_read(struct event_stream *stream, struct view raw, struct event_stream_event *event)
{
    memset(event, 0, sizeof(*event));
    event->raw = raw;
    buffer_clear(&stream->data);
    struct view rest = raw;
    while (rest.length > 0) {
        const uint8_t *end = memchr(rest.data, '\n', rest.length);
        size_t length = end == NULL ? rest.length : (size_t)(end - rest.data);
        event_read_line(stream, view_of(rest.data, length), event);
        size_t step = end == NULL ? length : length + 1;
        rest = view_of(rest.data + step, rest.length - step);
    }
    event->data = buffer_view(&stream->data);
}

/* Length of the first event including its empty line, which is searched from `from` on; 0 if it is incomplete. */
static size_t event_length(const struct event_stream *stream, size_t from)
{
    const struct buffer *pending = &stream->pending;
    size_t position = from;
    const uint8_t *end = memchr(pending->data + position, '\n', pending->length - position);
    while (end != NULL) {
        position = (size_t)(end - pending->data) + 1;
        size_t next = position;
        next += next < pending->length && pending->data[next] == '\r' ? 1 : 0;
        if (next < pending->length && pending->data[next] == '\n') {
            return next + 1;
        }
        end = position < pending->length ? memchr(pending->data + position, '\n', pending->length - position) : NULL;
    }
    return 0;
}

bool event_stream_feed(struct event_stream *stream, struct view bytes,
                       bool (*event)(void *context, const struct event_stream_event *event), void *context)
{
    buffer_append(&stream->pending, bytes.data, bytes.length);
    while (stream->pending.length > 0) {
        size_t length = event_length(stream, stream->scanned);
        if (length == 0) {
            /* The end of the event may begin within the last three bytes. */
            stream->scanned = stream->pending.length > 3 ? stream->pending.length - 3 : 0;
            return stream->pending.length <= EVENT_STREAM_MAX_EVENT_BYTES;
        }
        struct event_stream_event complete_event;
        event_read(stream, view_of(stream->pending.data, length), &complete_event);
        if (!event(context, &complete_event)) {
            return false;
        }
        buffer_consume(&stream->pending, length);
        stream->scanned = 0;
    }
    return true;
}

bool event_stream_has_partial(const struct event_stream *stream)
{
    return stream->pending.length > 0;
}

void event_stream_close(struct event_stream *stream)
{
    buffer_close(&stream->pending);
    buffer_close(&stream->data);
}
