#include "proxy/peer_loop.h"

#include <stdlib.h>

#include "base/buffer.h"

/* One watched socket. */
struct peer_watch {
    uv_poll_t poll;
    struct links *links;
    void *subject;
    uv_loop_t *loop;
};

static void peer_on_ready(uv_poll_t *poll, int status, int events)
{
    struct peer_watch *watch = poll->data;
    struct links *links = watch->links;
    uv_loop_t *loop = watch->loop;
    bool failed = status < 0;
    links_ready(links, watch->subject, failed || (events & UV_READABLE) != 0, failed || (events & UV_WRITABLE) != 0);
    if (links->ended) {
        links_round(links, uv_now(loop));
    }
}

static void *peer_watch(void *context, struct links *links, void *subject, int file)
{
    struct peer_watch *watch = memory_new(sizeof(*watch));
    watch->links = links;
    watch->subject = subject;
    watch->loop = context;
    uv_poll_init(context, &watch->poll, file);
    watch->poll.data = watch;
    uv_poll_start(&watch->poll, UV_READABLE, peer_on_ready);
    return watch;
}

static void peer_want_write(void *handle, bool wanted)
{
    struct peer_watch *watch = handle;
    uv_poll_start(&watch->poll, UV_READABLE | (wanted ? UV_WRITABLE : 0), peer_on_ready);
}

static void peer_on_closed(uv_handle_t *handle)
{
    free(handle->data);
}

static void peer_unwatch(void *handle)
{
    struct peer_watch *watch = handle;
    uv_poll_stop(&watch->poll);
    uv_close((uv_handle_t *)&watch->poll, peer_on_closed);
}

struct links_watcher peer_loop_watcher(uv_loop_t *loop)
{
    struct links_watcher watcher = {
        .context = loop,
        .watch = peer_watch,
        .want_write = peer_want_write,
        .unwatch = peer_unwatch,
    };
    return watcher;
}
