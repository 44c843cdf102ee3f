#include "proxy/links_uv.h"

#include <stdlib.h>

#include "base/buffer.h"

struct links_uv_socket {
    uv_poll_t poll;
    struct links *links;
    void *subject;
    uv_loop_t *loop;
};

static void links_uv_on_ready(uv_poll_t *poll, int status, int events)
{
    struct links_uv_socket *socket = poll->data;
    struct links *links = socket->links;
    uv_loop_t *loop = socket->loop;
    bool failed = status < 0;
    links_handle_ready(links, socket->subject, failed || (events & UV_READABLE) != 0,
                       failed || (events & UV_WRITABLE) != 0);
    if (links->has_closed) {
        links_tick(links, uv_now(loop));
    }
}

static void *links_uv_watch(void *context, struct links *links, void *subject, int fd)
{
    struct links_uv_socket *socket = memory_new(sizeof(*socket));
    socket->links = links;
    socket->subject = subject;
    socket->loop = context;
    uv_poll_init(context, &socket->poll, fd);
    socket->poll.data = socket;
    uv_poll_start(&socket->poll, UV_READABLE, links_uv_on_ready);
    return socket;
}

static void links_uv_want_write(void *handle, bool wanted)
{
    struct links_uv_socket *socket = handle;
    uv_poll_start(&socket->poll, UV_READABLE | (wanted ? UV_WRITABLE : 0), links_uv_on_ready);
}

static void links_uv_on_closed(uv_handle_t *handle)
{
    free(handle->data);
}

static void links_uv_unwatch(void *handle)
{
    struct links_uv_socket *socket = handle;
    uv_poll_stop(&socket->poll);
    uv_close((uv_handle_t *)&socket->poll, links_uv_on_closed);
}

struct links_event_loop links_uv_event_loop(uv_loop_t *loop)
{
    struct links_event_loop event_loop = {
        .context = loop,
        .watch = links_uv_watch,
        .want_write = links_uv_want_write,
        .unwatch = links_uv_unwatch,
    };
    return event_loop;
}
