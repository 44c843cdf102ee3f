#include "net/sse.h"

#include <string.h>

static const char SSE_DATA[] = "data:";

static bool sse_handle_line(struct view line, bool (*event)(void *context, struct view payload), void *context)
{
    size_t prefix = sizeof(SSE_DATA) - 1;
    if (line.length > 0 && line.data[line.length - 1] == '\r') {
        line.length--;
    }
    if (line.length < prefix || memcmp(line.data, SSE_DATA, prefix) != 0) {
        return true;
    }
    struct view payload = view_of(line.data + prefix, line.length - prefix);
    if (payload.length > 0 && payload.data[0] == ' ') {
        payload.data++;
        payload.length--;
    }
    return event(context, payload);
}

bool sse_feed(struct sse_parser *parser, struct view data, bool (*event)(void *context, struct view payload),
              void *context)
{
    const uint8_t *position = data.data;
    size_t left = data.length;
    while (left > 0) {
        const uint8_t *end = memchr(position, '\n', left);
        size_t length = end == NULL ? left : (size_t)(end - position);
        if (parser->line.length + length > SSE_MAX_LINE_BYTES) {
            return false;
        }
        buffer_append(&parser->line, position, length);
        if (end == NULL) {
            return true;
        }
        bool keep_going = sse_handle_line(buffer_view(&parser->line), event, context);
        buffer_clear(&parser->line);
        if (!keep_going) {
            return false;
        }
        position = end + 1;
        left -= length + 1;
    }
    return true;
}

void sse_close(struct sse_parser *parser)
{
    buffer_close(&parser->line);
}
