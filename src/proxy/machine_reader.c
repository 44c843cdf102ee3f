#include "proxy/machine_reader.h"

#include <stdlib.h>
#include <string.h>

#include "base/event_log.h"
#include "base/message.h"

enum { MACHINE_READER_OK = 200 };

static void machine_reader_ask(struct machine_reader *reader);

static void machine_reader_reset(struct machine_reader *reader)
{
    message_free(ServerList_fields, &reader->list);
    memset(&reader->list, 0, sizeof(reader->list));
    memset(&reader->left, 0, sizeof(reader->left));
    buffer_clear(&reader->page);
    buffer_clear(&reader->body);
    reader->agains = 0;
}

/* What is left out, where that differs from the reading before. */
static void machine_tell_left(struct machine_reader *reader)
{
    const uint32_t *counts = reader->left.counts;
    reader->left_out += server_entries_sum(&reader->left);
    if (memcmp(&reader->left, &reader->told, sizeof(reader->left)) == 0) {
        return;
    }
    reader->told = reader->left;
    event_log("servers_left_out", "{s:i,s:i,s:i,s:i,s:i,s:i}", server_entry_fault_name(SERVER_ENTRY_UNREADABLE),
              (int)counts[SERVER_ENTRY_UNREADABLE], server_entry_fault_name(SERVER_ENTRY_MISSING),
              (int)counts[SERVER_ENTRY_MISSING], server_entry_fault_name(SERVER_ENTRY_TYPE),
              (int)counts[SERVER_ENTRY_TYPE], server_entry_fault_name(SERVER_ENTRY_VALUE),
              (int)counts[SERVER_ENTRY_VALUE], server_entry_fault_name(SERVER_ENTRY_STATE),
              (int)counts[SERVER_ENTRY_STATE], server_entry_fault_name(SERVER_ENTRY_TWICE),
              (int)counts[SERVER_ENTRY_TWICE]);
}

static void machine_reader_finish(struct machine_reader *reader)
{
    struct buffer encoded = {0};
    server_entries_settle(&reader->list, &reader->left);
    machine_tell_left(reader);
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

/* Nothing is lost where it is the first page. */
static void machine_page_failed(struct machine_reader *reader)
{
    reader->failures++;
    if (reader->page.length > 0 && reader->agains < MACHINE_READER_AGAIN_MOST) {
        reader->agains++;
    } else {
        machine_reader_reset(reader);
    }
}

/* Takes a whole page or nothing of it. */
static bool machine_take_page(struct machine_reader *reader, struct buffer *next_page)
{
    ServerList *list = &reader->list;
    ServerList page = {0};
    server_entries_left_t left = reader->left;
    bool good = reader->dialect->read_servers(buffer_view(&reader->body), &page, &left, next_page) &&
                (size_t)list->servers_count + page.servers_count <= PB_SIZE_MAX;
    if (!good) {
        message_free(ServerList_fields, &page);
        return false;
    }
    size_t count = (size_t)list->servers_count + page.servers_count;
    reader->left = left;
    if (page.servers_count > 0) {
        list->servers = memory_resize(list->servers, count * sizeof(*list->servers));
        memcpy(list->servers + list->servers_count, page.servers, page.servers_count * sizeof(*page.servers));
        list->servers_count = (pb_size_t)count;
    }
    free(page.servers); /* its records are the list's now */
    return true;
}

static void machine_on_end(void *owner, enum upstream_end end)
{
    struct machine_reader *reader = owner;
    struct buffer next_page = {0};
    reader->call = NULL;
    bool good = end == UPSTREAM_DONE && reader->status == MACHINE_READER_OK && machine_take_page(reader, &next_page);
    if (!good) {
        machine_page_failed(reader);
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
        machine_page_failed(reader);
    }
    if (reader->call == NULL && !wanted) {
        machine_reader_reset(reader); /* pages of a reading that nobody waits for grow old */
    }
    if (reader->call == NULL && wanted && now_ms >= reader->due_ms) {
        reader->due_ms = now_ms + reader->period_ms;
        reader->begun_ms = now_ms;
        if (reader->agains == 0) {
            machine_reader_reset(reader);
        }
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
