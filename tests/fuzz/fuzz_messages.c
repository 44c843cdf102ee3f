/* Fuzzes the parsers of HTTP messages, server-sent events and platform data by changing bytes of valid inputs. */
#include <stdlib.h>
#include <string.h>

#include "net/event_stream.h"
#include "net/http_reader.h"
#include "platform.h"

enum { MAX_INPUT_BYTES = 2048, MAX_MESSAGE_BYTES = 4096 };

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static const char *const seed_inputs[] = {
    "POST /a/b?c HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\nhelloGET / HTTP/1.1\r\n\r\n",
    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: x\r\n\r\n3\r\nabc\r\n0\r\nx: y\r\n\r\n",
    "HTTP/1.1 200 OK\r\nBankbank-Request-Id: 1\r\nKeep-Alive: timeout=5\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nid: 1\r\n0\r\n\r\n",
    "id: 1\ndata: {\"a\":[1]}\n\nid: 2\r\ndata: x\r\ndata: y\r\n\r\n: comment\n\n",
    "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path-prefix\":\"/a/\",\"kind\":\"streaming\","
    "\"timeout-ms\":1,\"split\":[{\"service\":\"s\",\"weight\":9}],\"retention-s\":1.5}],"
    "\"services\":[{\"name\":\"s\",\"engine\":{\"chunk-size\":9}}],\"limits\":{\"max-body-bytes\":1}}",
    "{\"instances\":[{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\",\"slots\":1,\"state\":\"ready\","
    "\"version\":\"v\",\"cold-remaining-ms\":0,\"born\":7,\"id\":\"i\"}],\"next-token\":\"p\"}",
};

static bool ignore_message(void *context, struct http_reader *reader)
{
    (void)context;
    (void)reader;
    return true;
}

static bool ignore_body(void *context, struct http_reader *reader, struct view part)
{
    (void)reader;
    *(size_t *)context += part.length;
    return true;
}

static bool ignore_event(void *context, const struct event_stream_event *event)
{
    *(size_t *)context += event->data.length + event->id.length;
    return true;
}

static void read_messages(enum http_parser_type type, const uint8_t *text, size_t length, size_t step)
{
    static struct http_reader reader;
    size_t bodies = 0;
    size_t at = 0;
    memset(&reader, 0, sizeof(reader));
    reader.type = type;
    reader.max_head_bytes = MAX_MESSAGE_BYTES;
    reader.max_body_bytes = MAX_MESSAGE_BYTES;
    reader.events = (struct http_reader_events){&bodies, ignore_message, ignore_body, ignore_message};
    http_reader_reset(&reader);
    while (at < length && reader.error == HTTP_PARSE_ERROR_NONE) {
        size_t part = length - at < step ? length - at : step;
        size_t used = http_reader_feed(&reader, text + at, part);
        if (used > part || (used == 0 && !reader.complete && reader.error == HTTP_PARSE_ERROR_NONE)) {
            abort(); /* no progress: the connection would hang */
        }
        at += used;
        if (reader.complete) {
            http_reader_reset(&reader);
        }
    }
    http_reader_end(&reader);
    http_reader_close(&reader);
    if (bodies > length) {
        abort(); /* a body is never larger than the input */
    }
}

static void read_events(struct view text)
{
    struct event_stream stream = {0};
    size_t seen = 0;
    event_stream_feed(&stream, view_of(text.data, text.length / 2), ignore_event, &seen);
    event_stream_feed(&stream, view_of(text.data + text.length / 2, text.length - text.length / 2), ignore_event,
                      &seen);
    event_stream_close(&stream);
}

static void read_platform(struct view text)
{
    struct findings findings = {0};
    struct buffer page = {0};
    ServerList list = {0};
    server_entries_skipped_t skipped = {0};
    route_table_release(platform_read_configuration(text, &findings));
    platform_read_servers(text, &list, &skipped, &page);
    for (pb_size_t i = 0; i < list.servers_count; i++) {
        free(list.servers[i].id);
        free(list.servers[i].service);
        free(list.servers[i].address);
        free(list.servers[i].zone);
        free(list.servers[i].version);
    }
    free(list.servers);
    buffer_close(&page);
    findings_close(&findings);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    uint8_t text[MAX_INPUT_BYTES];
    if (size < 2) {
        return 0;
    }
    const char *seed = seed_inputs[data[0] % (sizeof(seed_inputs) / sizeof(seed_inputs[0]))];
    size_t length = strlen(seed);
    size_t step = data[1] % 40 + 1;
    memcpy(text, seed, length);
    for (size_t at = 2; at + 2 < size; at += 3) {
        text[(data[at] * 256U + data[at + 1]) % length] = data[at + 2];
    }
    read_messages(HTTP_REQUEST, text, length, step);
    read_messages(HTTP_RESPONSE, text, length, step);
    read_events(view_of(text, length));
    read_platform(view_of(text, length));
    return 0;
}
