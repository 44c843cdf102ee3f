#include "proxy/machine_reader.h"

#include <stdlib.h>
#include <string.h>

#include "base/event_log.h"
#include "base/message.h"

enum { MACHINE_READER_OK = 200 };

static void machine_reader_request_page(struct machine_reader *reader);

static void machine_reader_reset(struct machine_reader *reader)
{
    message_free(ServerList_fields, &reader->list);
    memset(&reader->list, 0, sizeof(reader->list));
    memset(&reader->skipped, 0, sizeof(reader->skipped));
    buffer_clear(&reader->page_token);
    buffer_clear(&reader->body);
    reader->retries = 0;
}

/* Logs the counts of skipped entries if they changed since the previous complete fetch. */
static void machine_log_skipped(struct machine_reader *reader)
{
    const uint32_t *counts = reader->skipped.counts;
    reader->skipped_total += server_entries_skipped_total(&reader->skipped);
    if (memcmp(&reader->skipped, &reader->logged_skipped, sizeof(reader->skipped)) == 0) {
        return;
    }
    reader->logged_skipped = reader->skipped;
    event_log("servers_left_out", "{s:i,s:i,s:i,s:i,s:i,s:i}", server_entry_fault_name(SERVER_ENTRY_UNREADABLE),
              (int)counts[SERVER_ENTRY_UNREADABLE], server_entry_fault_name(SERVER_ENTRY_MISSING),
              (int)counts[SERVER_ENTRY_MISSING], server_entry_fault_name(SERVER_ENTRY_TYPE),
              (int)counts[SERVER_ENTRY_TYPE], server_entry_fault_name(SERVER_ENTRY_VALUE),
              (int)counts[SERVER_ENTRY_VALUE], server_entry_fault_name(SERVER_ENTRY_STATE),
              (int)counts[SERVER_ENTRY_STATE], server_entry_fault_name(SERVER_ENTRY_DUPLICATE),
              (int)counts[SERVER_ENTRY_DUPLICATE]);
}

static void machine_reader_finish(struct machine_reader *reader)
{
    struct buffer encoded = {0};
    server_entries_deduplicate(&reader->list, &reader->skipped);
    machine_log_skipped(reader);
    reader->last_read_ms = uv_now(reader->pool->loop);
    if (message_encode(&encoded, ServerList_fields, &reader->list)) {
        reader->done(reader->context, buffer_view(&encoded));
    }
    buffer_close(&encoded);
    machine_reader_reset(reader);
}

static void machine_on_head(void *owner, const struct http_reader *response)
{
    struct machine_reader *reader = owner;
    reader->status = response->status;
    upstream_close_after_response(reader->exchange); /* a page does not tell which request it answers */
}

static void machine_on_body(void *owner, struct view chunk)
{
    struct machine_reader *reader = owner;
    buffer_append(&reader->body, chunk.data, chunk.length);
}

/* After a failed first page the next request is a new fetch, not a retry: there are no pages to keep. */
static void machine_page_failed(struct machine_reader *reader)
{
    reader->failures++;
    if (reader->page_token.length > 0 && reader->retries < MACHINE_READER_MAX_RETRIES) {
        reader->retries++;
    } else {
        machine_reader_reset(reader);
    }
}

/* False: the page is invalid, and nothing is appended. */
static bool machine_append_page(struct machine_reader *reader, struct buffer *next_page)
{
    ServerList *list = &reader->list;
    ServerList page = {0};
    server_entries_skipped_t skipped = reader->skipped;
    bool valid = reader->dialect->read_servers(buffer_view(&reader->body), &page, &skipped, next_page) &&
                 (size_t)list->servers_count + page.servers_count <= PB_SIZE_MAX;
    if (!valid) {
        message_free(ServerList_fields, &page);
        return false;
    }
    size_t count = (size_t)list->servers_count + page.servers_count;
    reader->skipped = skipped;
    if (page.servers_count > 0) {
        list->servers = memory_resize(list->servers, count * sizeof(*list->servers));
        memcpy(list->servers + list->servers_count, page.servers, page.servers_count * sizeof(*page.servers));
        list->servers_count = (pb_size_t)count;
    }
    free(page.servers); /* the records are now owned by the list */
    return true;
}

static void machine_on_end(void *owner, enum upstream_result result)
{
    struct machine_reader *reader = owner;
    struct buffer next_page = {0};
    reader->exchange = NULL;
    bool valid =
        result == UPSTREAM_DONE && reader->status == MACHINE_READER_OK && machine_append_page(reader, &next_page);
    if (!valid) {
        machine_page_failed(reader);
    } else if (next_page.length > 0) {
        buffer_close(&reader->page_token);
        reader->page_token = next_page;
        memset(&next_page, 0, sizeof(next_page));
        machine_reader_request_page(reader);
    } else {
        machine_reader_finish(reader);
    }
    buffer_close(&next_page);
}

static bool machine_on_write(void *owner, struct buffer *request)
{
    struct machine_reader *reader = owner;
    buffer_append_text(request, "GET ");
    reader->dialect->write_servers_target(buffer_text(&reader->page_token), request);
    buffer_printf(request, " HTTP/1.1\r\nHost: %s:%u\r\n\r\n", reader->address.ip, reader->address.port);
    return true;
}

static const struct upstream_events machine_events = {machine_on_write, machine_on_head, machine_on_body,
                                                      machine_on_end};

static void machine_reader_request_page(struct machine_reader *reader)
{
    buffer_clear(&reader->body);
    reader->status = 0;
    reader->calls++;
    reader->exchange = upstream_start(reader->pool, &reader->address, 0, false, &machine_events, reader);
}

void machine_reader_tick(struct machine_reader *reader, uint64_t now_ms, bool wanted)
{
    bool timed_out = reader->exchange != NULL && now_ms >= reader->started_ms + MACHINE_READER_TIMEOUT_MS;
    if (timed_out) {
        upstream_cancel(reader->pool, reader->exchange);
        reader->exchange = NULL;
        machine_page_failed(reader);
    }
    if (reader->exchange == NULL && !wanted) {
        machine_reader_reset(reader); /* pages kept for a retry would become outdated */
    }
    if (reader->exchange == NULL && wanted && now_ms >= reader->due_ms) {
        reader->due_ms = now_ms + reader->period_ms;
        reader->started_ms = now_ms;
        if (reader->retries == 0) {
            machine_reader_reset(reader);
        }
        machine_reader_request_page(reader);
    }
}

void machine_reader_close(struct machine_reader *reader)
{
    if (reader->exchange != NULL) {
        upstream_cancel(reader->pool, reader->exchange);
    }
    message_free(ServerList_fields, &reader->list);
    buffer_close(&reader->page_token);
    buffer_close(&reader->body);
}
