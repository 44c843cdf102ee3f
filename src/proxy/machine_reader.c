#include "proxy/machine_reader.h"

#include <stdlib.h>
#include <string.h>

#include "base/message.h"

enum { MACHINE_READER_OK = 200 };

static void machine_reader_ask(struct machine_reader *reader);

static void machine_reader_reset(struct machine_reader *reader)
{
    message_free(ServerList_fields, &reader->list);
    memset(&reader->list, 0, sizeof(reader->list));
    buffer_clear(&reader->page);
    buffer_clear(&reader->body);
}

static int machine_compare(const void *a, const void *b)
{
    return strcmp(((const ServerRecord *)a)->id, ((const ServerRecord *)b)->id);
}

static void machine_reader_finish(struct machine_reader *reader)
{
    struct buffer encoded = {0};
    if (reader->list.servers_count > 1) {
        qsort(reader->list.servers, reader->list.servers_count, sizeof(*reader->list.servers), machine_compare);
    }
    reader->read_ms = uv_now(reader->pool->loop);
    if (message_encode(&encoded, ServerList_fields, &reader->list)) {
        reader->done(reader->context, buffer_view(&encoded));
    }
    buffer_close(&encoded);
    machine_reader_reset(reader);
}

static void machine_on_head(void *owner, const struct http_reader *answer)
{
    struct machine_reader *reader = owner;
    reader->status = answer->status;
}

static void machine_on_body(void *owner, struct view part)
{
    struct machine_reader *reader = owner;
    buffer_append(&reader->body, part.data, part.length);
}

static void machine_on_end(void *owner, enum upstream_end end)
{
    struct machine_reader *reader = owner;
    struct buffer next_page = {0};
    reader->call = NULL;
    bool good = end == UPSTREAM_DONE && reader->status == MACHINE_READER_OK &&
                reader->dialect->read_servers(buffer_view(&reader->body), &reader->list, &next_page);
    if (!good) {
        reader->failures++;
        machine_reader_reset(reader);
    } else if (next_page.length > 0) {
        buffer_close(&reader->page);
        reader->page = next_page;
        memset(&next_page, 0, sizeof(next_page));
        machine_reader_ask(reader);
    } else {
        machine_reader_finish(reader);
    }
    buffer_close(&next_page);
}

static bool machine_on_write(void *owner, struct buffer *request)
{
    struct machine_reader *reader = owner;
    buffer_append_text(request, "GET ");
    reader->dialect->write_servers_target(buffer_text(&reader->page), request);
    buffer_printf(request, " HTTP/1.1\r\nHost: %s:%u\r\n\r\n", reader->address.ip, reader->address.port);
    return true;
}

static const struct upstream_events machine_events = {machine_on_write, machine_on_head, machine_on_body,
                                                      machine_on_end};

static void machine_reader_ask(struct machine_reader *reader)
{
    buffer_clear(&reader->body);
    reader->status = 0;
    reader->calls++;
    reader->call = upstream_start(reader->pool, &reader->address, false, &machine_events, reader);
}

void machine_reader_tick(struct machine_reader *reader, uint64_t now_ms, bool wanted)
{
    bool late = reader->call != NULL && now_ms >= reader->begun_ms + MACHINE_READER_LIMIT_MS;
    if (late) {
        upstream_cancel(reader->pool, reader->call);
        reader->call = NULL;
        reader->failures++;
        machine_reader_reset(reader);
    }
    if (reader->call == NULL && wanted && now_ms >= reader->due_ms) {
        reader->due_ms = now_ms + reader->period_ms;
        reader->begun_ms = now_ms;
        machine_reader_reset(reader);
        machine_reader_ask(reader);
    }
}

void machine_reader_close(struct machine_reader *reader)
{
    if (reader->call != NULL) {
        upstream_cancel(reader->pool, reader->call);
    }
    message_free(ServerList_fields, &reader->list);
    buffer_close(&reader->page);
    buffer_close(&reader->body);
}
