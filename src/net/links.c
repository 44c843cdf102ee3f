/* Connections between daemons: their index, what is sent, their end. */
#include "net/links_internal.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/log.h"
#include "base/message.h"

enum { LINKS_EVENTS = 64, LINKS_BACKLOG = 512 };

static const char LINKS_LOG[] = "links";

void links_register(struct links *links, struct link *link, int operation)
{
    const struct links_watcher *watcher = links->config.watcher;
    if (watcher != NULL && operation == EPOLL_CTL_ADD) {
        link->watch = watcher->watch(watcher->context, links, link, link->file);
        watcher->want_write(link->watch, link->wants_write);
        return;
    }
    if (watcher != NULL) {
        watcher->want_write(link->watch, link->wants_write);
        return;
    }
    struct epoll_event event = {.events = EPOLLIN | (link->wants_write ? EPOLLOUT : 0), .data.ptr = link};
    epoll_ctl(links->epoll, operation, link->file, &event);
}

/* A flush looks at the links that have something to write, not at all. */
static void link_note_pending(struct links *links, struct link *link)
{
    if (!link->pending) {
        link->pending = true;
        link->next_pending = links->pending;
        links->pending = link;
    }
}

static void link_drop_pending(struct links *links, struct link *link)
{
    struct link **place = &links->pending;
    while (link->pending && *place != link) {
        place = &(*place)->next_pending;
    }
    if (link->pending) {
        *place = link->next_pending;
        link->pending = false;
    }
}

void link_queue(struct links *links, struct link *link, struct view frame)
{
    uint8_t header[LINKS_HEADER];
    link_note_pending(links, link);
    for (int i = 0; i < LINKS_HEADER; i++) {
        header[i] = (uint8_t)(frame.length >> (8 * i));
    }
    buffer_append(&link->out, header, sizeof(header));
    buffer_append(&link->out, frame.data, frame.length);
    links->queued += sizeof(header) + frame.length;
    link->out_peak = link->out.length > link->out_peak ? link->out.length : link->out_peak;
}

bool links_init(struct links *links, const struct links_config *config, const struct links_handler *handler)
{
    memset(links, 0, sizeof(*links));
    links->config = *config;
    links->handler = *handler;
    links->listener = -1;
    links->epoll = config->watcher != NULL ? -1 : epoll_create1(EPOLL_CLOEXEC);
    if (!config->listens) {
        return config->watcher != NULL || links->epoll >= 0;
    }
    int on = 1;
    links->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    bool listening =
        links->listener >= 0 && setsockopt(links->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) == 0 &&
        bind(links->listener, (const struct sockaddr *)&config->listen.socket, sizeof(config->listen.socket)) == 0 &&
        listen(links->listener, LINKS_BACKLOG) == 0;
    if (!listening) {
        snprintf(links->error, sizeof(links->error), "cannot listen on %s:%u: %s", config->listen.ip,
                 config->listen.port, strerror(errno));
        return false;
    }
    if (config->watcher != NULL) {
        links->listener_watch =
            config->watcher->watch(config->watcher->context, links, &links->listener, links->listener);
        return true;
    }
    struct epoll_event event = {.events = EPOLLIN, .data.ptr = &links->listener};
    epoll_ctl(links->epoll, EPOLL_CTL_ADD, links->listener, &event);
    return true;
}

void links_watch(struct links *links, int file)
{
    struct epoll_event event = {.events = EPOLLIN, .data.ptr = NULL};
    epoll_ctl(links->epoll, EPOLL_CTL_ADD, file, &event);
}

/* ---- Sending ------------------------------------------------------------------------ */

/* The link that frames to a node take: one that this side dialled, else the newest. */
static struct link *links_choose(const struct links *links, uint32_t node)
{
    struct link *found = NULL;
    for (struct link *link = links->all; link != NULL; link = link->next) {
        if (link->node == node && !link->closing && (found == NULL || link->outbound)) {
            found = link;
        }
    }
    return found;
}

/* Chooses anew once a link of the node has come or goes: a frame then finds its link without a walk through all. */
void links_index(struct links *links, uint32_t node)
{
    struct link *old = NULL;
    struct link *chosen = links_choose(links, node);
    HASH_FIND(hh, links->by_node, &node, sizeof(node), old);
    if (old == chosen) {
        return;
    }
    if (old != NULL) {
        HASH_DEL(links->by_node, old);
    }
    if (chosen != NULL) {
        HASH_ADD(hh, links->by_node, node, sizeof(chosen->node), chosen);
    }
}

static struct link *links_find(struct links *links, uint32_t node)
{
    struct link *found = NULL;
    HASH_FIND(hh, links->by_node, &node, sizeof(node), found);
    if (found != NULL && found->closing) {
        links_index(links, node);
        HASH_FIND(hh, links->by_node, &node, sizeof(node), found);
    }
    return found;
}

bool links_send(struct links *links, uint32_t node, struct view frame)
{
    struct link *link = links_find(links, node);
    size_t most = links->config.queued_most == 0 ? LINKS_MAX_QUEUED : links->config.queued_most;
    if (link == NULL) {
        return false;
    }
    /* An empty queue takes any frame: a bound that is smaller than one would stop the peer for good. */
    if (link->out.length > link->out_sent && links->queued + frame.length > most) {
        links->frames_refused++;
        return false;
    }
    link_queue(links, link, frame);
    links->frames_out++;
    link_counts_note(&links->counts_out, frame);
    links->bytes_out += frame.length + LINKS_HEADER;
    return true;
}

static void link_write(struct links *links, struct link *link)
{
    while (!link->connecting && link->out_sent < link->out.length) {
        ssize_t written =
            send(link->file, link->out.data + link->out_sent, link->out.length - link->out_sent, MSG_NOSIGNAL);
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written < 0) {
            link->closing = errno != EAGAIN && errno != EWOULDBLOCK;
            break;
        }
        link->out_sent += (size_t)written;
        links->queued -= (size_t)written;
    }
    if (link->out_sent == link->out.length) {
        buffer_clear(&link->out);
        link->out_sent = 0;
    }
    bool wants_write = link->connecting || link->out.length > 0;
    if (wants_write != link->wants_write) {
        link->wants_write = wants_write;
        links_register(links, link, EPOLL_CTL_MOD);
    }
}

/* What a link does not take now, or before it has connected, is written once it tells that it can be. */
void links_flush(struct links *links)
{
    while (links->pending != NULL) {
        struct link *link = links->pending;
        link_drop_pending(links, link);
        if (!link->closing && !link->connecting) {
            link_write(links, link);
        }
    }
}

static void link_handle_event(struct links *links, struct link *link, uint32_t events)
{
    if (link->connecting && (events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) != 0) {
        int error = 0;
        socklen_t size = sizeof(error);
        getsockopt(link->file, SOL_SOCKET, SO_ERROR, &error, &size);
        link->connecting = false;
        link->closing = error != 0;
    }
    if (!link->closing && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
        link_read(links, link);
    }
    if (!link->closing && (events & EPOLLOUT) != 0) {
        link_write(links, link);
    }
}

static void link_free(struct links *links, struct link *link, uint64_t now_ms)
{
    for (uint32_t i = 0; i < links->peer_count; i++) {
        if (links->peers[i].link == link) {
            links->peers[i].link = NULL;
            links_note_dial(links, &links->peers[i], now_ms, link->silent ? DIAL_END_SILENT : DIAL_END_REFUSED);
        }
    }
    uint32_t node = link->node;
    if (node != RAFT_NO_NODE) {
        links_index(links, node);
    }
    link_drop_pending(links, link);
    if (link->watch != NULL) {
        links->config.watcher->unwatch(link->watch);
    }
    close(link->file);
    links->queued -= link->out.length - link->out_sent;
    buffer_close(&link->in);
    buffer_close(&link->out);
    free(link);
    if (node != RAFT_NO_NODE && links_find(links, node) == NULL) {
        log_debug(LINKS_LOG, "peer %u disconnected", node);
        links->handler.disconnected(links->handler.context, node);
    }
}

/* A buffer that a burst has made large is freed once it is empty and little used; until then it spares the
 * allocator, and the kernel new pages, for each batch of entries. */
static void link_shrink(struct buffer *buffer, size_t *peak)
{
    bool little_used = *peak < buffer->capacity / 4;
    if (buffer->length == 0 && little_used) {
        buffer_reuse(buffer, LINKS_KEPT_BYTES);
    }
    *peak = buffer->length;
}

static void links_shrink(struct links *links, uint64_t now_ms)
{
    if (now_ms < links->shrink_due_ms) {
        return;
    }
    links->shrink_due_ms = now_ms + LINKS_SHRINK_MS;
    for (struct link *link = links->all; link != NULL; link = link->next) {
        link_shrink(&link->in, &link->in_peak);
        link_shrink(&link->out, &link->out_peak);
    }
}

static void links_remove_closing(struct links *links, uint64_t now_ms)
{
    struct link **place = &links->all;
    links->ended = false;
    while (*place != NULL) {
        struct link *link = *place;
        if (!link->closing) {
            place = &link->next;
            continue;
        }
        *place = link->next;
        link_free(links, link, now_ms);
    }
}

uint32_t links_replicas(const struct links *links, uint32_t *nodes, struct raft_member_place *places, uint32_t most)
{
    uint32_t count = 0;
    for (const struct link *link = links->all; link != NULL && count < most; link = link->next) {
        bool known = !link->replica || link->closing;
        for (uint32_t i = 0; i < count && !known; i++) {
            known = nodes[i] == link->node;
        }
        if (!known) {
            nodes[count] = link->node;
            places[count++] = link->place;
        }
    }
    return count;
}

bool links_place(const struct links *links, uint32_t node, struct raft_member_place *place)
{
    const struct link *link = NULL;
    HASH_FIND(hh, links->by_node, &node, sizeof(node), link);
    if (link == NULL || !link->replica || link->closing) {
        return false;
    }
    *place = link->place;
    return true;
}

uint32_t links_least_level(const struct links *links, const uint32_t *nodes, uint32_t count)
{
    uint32_t least = LINKS_LEVEL;
    for (uint32_t i = 0; i < count; i++) {
        const struct link *link = NULL;
        HASH_FIND(hh, links->by_node, &nodes[i], sizeof(nodes[i]), link);
        least = link != NULL && link->level < least ? link->level : least;
    }
    return least;
}

void links_ready(struct links *links, void *subject, bool readable, bool writable)
{
    if (subject == &links->listener) {
        links_accept(links);
        return;
    }
    struct link *link = subject;
    uint32_t events = (readable ? EPOLLIN : 0) | (writable ? EPOLLOUT : 0);
    link_handle_event(links, link, events);
    links->ended = links->ended || link->closing;
}

void links_round(struct links *links, uint64_t now_ms)
{
    links_dial_due(links, now_ms);
    links_give_up_silent(links, now_ms);
    links_remove_closing(links, now_ms);
    links_shrink(links, now_ms);
}

void links_poll(struct links *links, uint64_t now_ms, int timeout_ms)
{
    links_dial_due(links, now_ms);
    struct epoll_event events[LINKS_EVENTS];
    int count = epoll_wait(links->epoll, events, LINKS_EVENTS, timeout_ms);
    for (int i = 0; i < count; i++) {
        if (events[i].data.ptr == &links->listener) {
            links_accept(links);
        } else if (events[i].data.ptr != NULL) {
            link_handle_event(links, events[i].data.ptr, events[i].events);
        }
    }
    links_give_up_silent(links, now_ms);
    links_remove_closing(links, now_ms);
}

uint32_t links_connected(const struct links *links)
{
    uint32_t count = 0;
    for (const struct link *link = links->all; link != NULL; link = link->next) {
        count += link->node != RAFT_NO_NODE && !link->closing ? 1 : 0;
    }
    return count;
}

void links_close(struct links *links)
{
    HASH_CLEAR(hh, links->by_node);
    while (links->all != NULL) {
        struct link *link = links->all;
        links->all = link->next;
        if (link->watch != NULL) {
            links->config.watcher->unwatch(link->watch);
        }
        close(link->file);
        buffer_close(&link->in);
        buffer_close(&link->out);
        free(link);
    }
    if (links->listener >= 0) {
        if (links->listener_watch != NULL) {
            links->config.watcher->unwatch(links->listener_watch);
        }
        close(links->listener);
    }
    if (links->epoll >= 0) {
        close(links->epoll);
    }
}
