#include "line.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../integration/site_internal.h"

/* Whether the other side has neither closed it nor said anything. */
static bool line_is_idle(const line_t *line)
{
    char byte;
    return recv(line->file, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0;
}

void line_close(line_t *line)
{
    if (line->open) {
        close(line->file);
    }
    line->open = false;
}

bool line_open(line_t *line, int gateway)
{
    if (line->open && !line_is_idle(line)) {
        line_close(line);
    }
    if (!line->open) {
        line->file = site_connect(site_caller_ip(gateway), site_caller_port);
        line->open = line->file >= 0;
    }
    return line->open;
}

void line_exchange(line_t *line, struct view request, bool kept, struct site_answer *answer)
{
    struct http_reader reader;
    memset(answer, 0, sizeof(*answer));
    site_send(line->file, (const char *)request.data, request.length);
    answer->whole = site_read(line->file, &reader, HTTP_RESPONSE, &answer->body);
    answer->status = reader.status;
    buffer_append(&answer->head, reader.head.data, reader.head.length);
    if (!kept || !answer->whole || !reader.keep_alive) {
        line_close(line);
    }
    http_reader_close(&reader);
}
