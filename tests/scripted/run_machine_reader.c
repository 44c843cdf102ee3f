/* Fetches of the platform's machine list, page by page:
 *   response IDS NEXT       queues a page with these servers (a,b or -) and the next page's token, or -
 *   response IDS NEXT twice the same; a second copy answers the next request of the connection, if there is one
 *   response IDS truncated  the same, truncated
 *   response status NUMBER  queues a response with another status and no page
 *   tick MS [unwanted]      runs machine_reader_tick() and its requests; prints them, and the list once complete;
 *                           `unwanted`: the list is not needed
 */
#include "net/upstream.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/message.h"
#include "platform.h"
#include "proxy/machine_reader.h"
#include "script.h"

enum { MAX_RESPONSES = 8, PERIOD_MS = 100, RECEIVE_BYTES = 4096, MAX_WORD_BYTES = 64 };

static uv_loop_t loop;
static uv_tcp_t listener;
static struct upstream_pool pool;
static struct machine_reader reader;
static struct buffer responses[MAX_RESPONSES];
static bool sent_twice[MAX_RESPONSES];
static int response_count;
static int sent_count;
static char receive_buffer[RECEIVE_BYTES];

/* ---- The platform ------------------------------------------------------------------------ */

static void on_closed(uv_handle_t *handle)
{
    free(handle);
}

static void on_request(uv_stream_t *stream, ssize_t got, const uv_buf_t *text);
static void on_allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *out);

/* A connection whose response is sent twice has a copy of it in `data` and stays open. */
static void on_written(uv_write_t *write, int status)
{
    (void)status;
    if (write->handle->data != NULL) {
        uv_read_start(write->handle, on_allocate, on_request);
    } else {
        uv_close((uv_handle_t *)write->handle, on_closed);
    }
    free(write);
}

static void on_allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *out)
{
    (void)handle;
    (void)suggested;
    *out = uv_buf_init(receive_buffer, sizeof(receive_buffer));
}

static void on_request(uv_stream_t *stream, ssize_t got, const uv_buf_t *text)
{
    if (got < 0 && stream->data != NULL) {
        uv_close((uv_handle_t *)stream, on_closed);
    }
    if (got <= 0) {
        return;
    }
    int target = (int)strcspn(text->base + 4, " ");
    script_print("requested %.*s\n", target, text->base + 4);
    uv_read_stop(stream);
    uv_write_t *write = memory_new(sizeof(*write));
    struct buffer *content = stream->data != NULL ? stream->data : &responses[sent_count];
    uv_buf_t response = uv_buf_init((char *)content->data, (unsigned)content->length);
    bool is_copy = stream->data != NULL;
    stream->data = !is_copy && sent_twice[sent_count] ? content : NULL;
    sent_count += is_copy ? 0 : 1;
    uv_write(write, stream, &response, 1, on_written);
}

static void on_connected(uv_stream_t *from, int status)
{
    uv_tcp_t *client = memory_new(sizeof(*client));
    (void)status;
    uv_tcp_init(&loop, client);
    client->data = NULL;
    uv_accept(from, (uv_stream_t *)client);
    uv_read_start((uv_stream_t *)client, on_allocate, on_request);
}

static void write_entries(const char *ids, struct buffer *out)
{
    for (const char *id = ids; *id != '\0' && *id != '-'; id += id[1] == ',' ? 2 : 1) {
        buffer_printf(out,
                      "%s{\"id\":\"%c\",\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"version\":\"v\","
                      "\"slots\":1,\"state\":\"ready\",\"cold-remaining-ms\":0}",
                      id == ids ? "" : ",", *id);
    }
}

static void run_response(const script_command_t *command)
{
    struct buffer body = {0};
    struct buffer *out = &responses[response_count++];
    char ids[MAX_WORD_BYTES];
    char next[MAX_WORD_BYTES];
    script_copy(command, 1, ids, sizeof(ids));
    script_copy(command, 2, next, sizeof(next));
    bool page = !script_is(command, 1, "status");
    if (page) {
        buffer_append_text(&body, "{\"instances\":[");
        write_entries(ids, &body);
    }
    if (page && strcmp(next, "truncated") != 0) {
        buffer_printf(&body, strcmp(next, "-") == 0 ? "],\"next-token\":null}" : "],\"next-token\":\"%s\"}", next);
    }
    sent_twice[response_count - 1] = script_is(command, 3, "twice");
    buffer_printf(out, "HTTP/1.1 %s No\r\nContent-Length: %zu\r\n%s\r\n%s", page ? "200" : next, body.length,
                  sent_twice[response_count - 1] ? "" : "Connection: close\r\n", buffer_text(&body));
    buffer_close(&body);
}

/* ---- The reader -------------------------------------------------------------------------- */

static void on_list(void *context, struct view encoded)
{
    ServerList list = {0};
    (void)context;
    message_decode(encoded, ServerList_fields, &list);
    script_print("list");
    for (pb_size_t i = 0; i < list.servers_count; i++) {
        script_print(" %s", list.servers[i].id);
    }
    script_print("\n");
    message_free(ServerList_fields, &list);
}

static void run_tick(const script_command_t *command)
{
    uint64_t failures = reader.failures;
    machine_reader_tick(&reader, script_number(command, 1, 0), !script_is(command, 2, "unwanted"));
    while (reader.exchange != NULL) {
        uv_run(&loop, UV_RUN_ONCE);
    }
    script_print(reader.failures > failures ? "failed\n" : "");
    for (int i = 0; i < sent_count; i++) {
        buffer_close(&responses[i]);
    }
    response_count = 0;
    sent_count = 0;
}

static void run(const script_command_t *command)
{
    if (script_is(command, 0, "response")) {
        run_response(command);
    } else {
        run_tick(command);
    }
}

int main(int argc, char **argv)
{
    struct sockaddr_in any;
    struct sockaddr_in bound;
    int length = sizeof(bound);
    char address[MAX_WORD_BYTES];
    uv_loop_init(&loop);
    uv_tcp_init(&loop, &listener);
    uv_ip4_addr("127.0.0.1", 0, &any);
    uv_tcp_bind(&listener, (const struct sockaddr *)&any, 0);
    uv_listen((uv_stream_t *)&listener, MAX_RESPONSES, on_connected);
    uv_tcp_getsockname(&listener, (struct sockaddr *)&bound, &length);
    snprintf(address, sizeof(address), "127.0.0.1:%u", ntohs(bound.sin_port));
    upstream_init(&pool, &loop);
    reader.pool = &pool;
    reader.dialect = &platform_dialect;
    reader.period_ms = PERIOD_MS;
    reader.done = on_list;
    address_parse(address, &reader.address);
    return argc > 1 ? script_main(argv[1], run) : 1;
}
