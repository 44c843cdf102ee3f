/* Prints which header lines of a request are forwarded to a server:
 *   from-start NAME:VALUE ...     the request runs from its start
 *   resumed NAME:VALUE ...        its interrupted stream is resumed */
#include <string.h>

#include "platform.h"
#include "proxy/caller_headers.h"
#include "script.h"

enum { MAX_HEAD_BYTES = 16 << 10 };

static void write_request(const script_command_t *command, struct buffer *out)
{
    buffer_append_text(out, "GET /a/b HTTP/1.1\r\n");
    for (int i = 1; i < command->count; i++) {
        buffer_append(out, command->words[i].data, command->words[i].length);
        buffer_append_text(out, "\r\n");
    }
    buffer_append_text(out, "\r\n");
}

static void print_lines(const struct buffer *lines)
{
    const char *line = buffer_text((struct buffer *)(uintptr_t)lines);
    for (const char *end = strstr(line, "\r\n"); end != NULL; end = strstr(line, "\r\n")) {
        script_print("%.*s\n", (int)(end - line), line);
        line = end + 2;
    }
}

static bool ignore_event(void *context, struct http_reader *reader)
{
    (void)context;
    (void)reader;
    return true;
}

static bool ignore_body(void *context, struct http_reader *reader, struct view part)
{
    (void)context;
    (void)reader;
    (void)part;
    return true;
}

static void run(const script_command_t *command)
{
    struct http_reader reader = {.type = HTTP_REQUEST,
                                 .events = {NULL, ignore_event, ignore_body, ignore_event},
                                 .max_head_bytes = MAX_HEAD_BYTES};
    struct buffer request = {0};
    struct buffer lines = {0};
    caller_headers_use_t use = script_is(command, 0, "from-start") ? CALLER_HEADERS_FROM_START : CALLER_HEADERS_RESUMED;
    write_request(command, &request);
    http_reader_reset(&reader);
    http_reader_feed(&reader, request.data, request.length);
    if (reader.error != HTTP_PARSE_ERROR_NONE || !reader.head_done) {
        script_print("malformed\n");
    } else {
        caller_headers_write(&platform_dialect, &reader, use, &lines);
        print_lines(&lines);
    }
    http_reader_close(&reader);
    buffer_close(&request);
    buffer_close(&lines);
}

int main(int argc, char **argv)
{
    return argc > 1 ? script_main(argv[1], run) : 1;
}
