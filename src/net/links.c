/* Connections between daemons: index by node, sending, closing. */
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
    const struct links_event_loop *loop = links->config.event_loop;
    if (loop != NULL && operation == EPOLL_CTL_ADD) {
        link->watch = loop->watch(loop->context, links, link, link->fd);
        loop->want_write(link->watch, link->wants_write);
        return;
    }
    if (loop != NULL) {
        loop->want_write(link->watch, link->wants_write);
        return;
    }
    struct epoll_event event = {.events = EPOLLIN | (link->wants_write ? EPOLLOUT : 0), .data.ptr = link};
    epoll_ctl(links->epoll, operation, link->fd, &event);
}

/* links_flush() visits only the links with unsent data, not all links. */
static void link_add_pending(struct links *links, struct link *link)
{
    if (!link->pending) {
        link->pending = true;
        link->next_pending = links->pending;
        links->pending = link;
    }
}

static void link_remove_pending(struct links *links, struct link *link)
{
    struct link **slot = &links->pending;
    while (link->pending && *slot != link) {
        slot = &(*slot)->next_pending;
    }
    if (link->pending) {
        *slot = link->next_pending;
        link->pending = false;
    }
}

/* Moves unsent bytes to the front only if they are fewer than the sent ones, so that the cost of moving stays in
 * proportion to what is sent. */
static void link_reserve(struct links *links, struct link *link, size_t bytes)
{
    size_t before = link->out.capacity;
    if (link->out.length + bytes > before && link->out_sent >= link->out.length - link->out_sent) {
        buffer_consume(&link->out, link->out_sent);
        link->out_sent = 0;
    }
    buffer_reserve(&link->out, bytes);
    links->out_capacity += link->out.capacity - before;
}

static void link_trim(struct links *links, struct link *link)
{
    size_t before = link->out.capacity;
    buffer_clear_and_trim(&link->out, LINKS_KEEP_CAPACITY_BYTES);
    links->out_capacity -= before - link->out.capacity;
}

void link_queue(struct links *links, struct link *link, struct view frame)
{
    uint8_t header[LINKS_HEADER_BYTES];
    link_add_pending(links, link);
    link_reserve(links, link, sizeof(header) + frame.length);
    for (int i = 0; i < LINKS_HEADER_BYTES; i++) {
        header[i] = (uint8_t)(frame.length >> (8 * i));
    }
    buffer_append(&link->out, header, sizeof(header));
    buffer_append(&link->out, frame.data, frame.length);
    links->queued_bytes += sizeof(header) + frame.length;
    size_t unsent = link->out.length - link->out_sent;
    link->out_peak = unsent > link->out_peak ? unsent : link->out_peak;
}

bool links_init(struct links *links, const struct links_config *config, const struct links_handler *handler)
{
    memset(links, 0, sizeof(*links));
    links->config = *config;
    links->handler = *handler;
    links->listener = -1;
    links->epoll = config->event_loop != NULL ? -1 : epoll_create1(EPOLL_CLOEXEC);
    if (!config->listens) {
        return config->event_loop != NULL || links->epoll >= 0;
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
    if (config->event_loop != NULL) {
        links->listener_watch =
            config->event_loop->watch(config->event_loop->context, links, &links->listener, links->listener);
        return true;
    }
    struct epoll_event event = {.events = EPOLLIN, .data.ptr = &links->listener};
    epoll_ctl(links->epoll, EPOLL_CTL_ADD, links->listener, &event);
    return true;
}

void links_watch_fd(struct links *links, int fd)
{
    struct epoll_event event = {.events = EPOLLIN, .data.ptr = NULL};
    epoll_ctl(links->epoll, EPOLL_CTL_ADD, fd, &event);
}

/* ---- Sending ------------------------------------------------------------------------ */

static size_t links_max_queued_bytes(const struct links *links)
{
    return links->config.max_queued_bytes == 0 ? LINKS_MAX_QUEUED_BYTES : links->config.max_queued_bytes;
}

/* The link for sending to a node: one that this side dialled, else the newest. */
static struct link *links_preferred(const struct links *links, uint32_t node)
{
    struct link *found = NULL;
    for (struct link *link = links->all; link != NULL; link = link->next) {
        if (link->node == node && !link->closing && (found == NULL || link->outbound)) {
            found = link;
        }
    }
    return found;
}

void links_update_index(struct links *links, uint32_t node)
{
    struct link *old = NULL;
    struct link *chosen = links_preferred(links, node);
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
        links_update_index(links, node);
        HASH_FIND(hh, links->by_node, &node, sizeof(node), found);
    }
    return found;
}

size_t links_unsent_bytes(const struct links *links, uint32_t node)
{
    const struct link *link = NULL;
    HASH_FIND(hh, links->by_node, &node, sizeof(node), link);
    return link == NULL ? 0 : link->out.length - link->out_sent;
}

bool links_send(struct links *links, uint32_t node, struct view frame)
{
    struct link *link = links_find(links, node);
    if (link == NULL) {
        return false;
    }
    /* An empty queue accepts any frame; otherwise a frame larger than the limit could never be sent. */
    if (link->out.length > link->out_sent && links->queued_bytes + frame.length > links_max_queued_bytes(links)) {
        links->frames_refused++;
        return false;
    }
    link_queue(links, link, frame);
    links->frames_out++;
    link_counts_add(&links->counts_out, frame);
    links->bytes_out += frame.length + LINKS_HEADER_BYTES;
    return true;
}

static void link_write(struct links *links, struct link *link)
{
    while (!link->connecting && link->out_sent < link->out.length) {
        ssize_t written =
            send(link->fd, link->out.data + link->out_sent, link->out.length - link->out_sent, MSG_NOSIGNAL);
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written < 0) {
            link->closing = errno != EAGAIN && errno != EWOULDBLOCK;
            break;
        }
        link->out_sent += (size_t)written;
        links->queued_bytes -= (size_t)written;
    }
    if (link->out_sent == link->out.length) {
        buffer_clear(&link->out);
        link->out_sent = 0;
        if (links->out_capacity > links_max_queued_bytes(links) / 2) {
            link_trim(links, link);
        }
    }
    bool wants_write = link->connecting || link->out.length > 0;
    if (wants_write != link->wants_write) {
        link->wants_write = wants_write;
        links_register(links, link, EPOLL_CTL_MOD);
    }
}

void links_flush(struct links *links)
{
    while (links->pending != NULL) {
        struct link *link = links->pending;
        link_remove_pending(links, link);
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
        getsockopt(link->fd, SOL_SOCKET, SO_ERROR, &error, &size);
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
            links_record_dial(links, &links->peers[i], now_ms, link->timed_out ? DIAL_TIMED_OUT : DIAL_FAILED);
        }
    }
    uint32_t node = link->node;
    if (node != RAFT_NO_NODE) {
        links_update_index(links, node);
    }
    link_remove_pending(links, link);
    if (link->watch != NULL) {
        links->config.event_loop->unwatch(link->watch);
    }
    close(link->fd);
    links->queued_bytes -= link->out.length - link->out_sent;
    links->out_capacity -= link->out.capacity;
    buffer_close(&link->in);
    buffer_close(&link->out);
    free(link);
    if (node != RAFT_NO_NODE && links_find(links, node) == NULL) {
        log_debug(LINKS_LOG, "peer %u disconnected", node);
        links->handler.disconnected(links->handler.context, node);
    }
}

/* A large buffer is freed only if less than a quarter of it was used since the last check: freeing it after each batch
 * of entries would cause reallocation and page faults. */
static bool link_is_little_used(const struct buffer *buffer, size_t *peak)
{
    bool little_used = *peak < buffer->capacity / 4;
    *peak = buffer->length;
    return buffer->length == 0 && little_used;
}

static void links_shrink(struct links *links, uint64_t now_ms)
{
    if (now_ms < links->shrink_due_ms) {
        return;
    }
    links->shrink_due_ms = now_ms + LINKS_SHRINK_MS;
    for (struct link *link = links->all; link != NULL; link = link->next) {
        if (link_is_little_used(&link->in, &link->in_peak)) {
            buffer_clear_and_trim(&link->in, LINKS_KEEP_CAPACITY_BYTES);
        }
        if (link_is_little_used(&link->out, &link->out_peak)) {
            link_trim(links, link);
        }
    }
}

static void links_remove_closing(struct links *links, uint64_t now_ms)
{
    struct link **slot = &links->all;
    links->has_closed = false;
    while (*slot != NULL) {
        struct link *link = *slot;
        if (!link->closing) {
            slot = &link->next;
            continue;
        }
        *slot = link->next;
        link_free(links, link, now_ms);
    }
}

uint32_t links_list_replicas(const struct links *links, uint32_t *nodes, struct raft_member_location *locations,
                             uint32_t max)
{
    uint32_t count = 0;
    for (const struct link *link = links->all; link != NULL && count < max; link = link->next) {
        bool skip = !link->replica || link->closing;
        for (uint32_t i = 0; i < count && !skip; i++) {
            skip = nodes[i] == link->node;
        }
        if (!skip) {
            nodes[count] = link->node;
            locations[count++] = link->location;
        }
    }
    return count;
}

bool links_replica_location(const struct links *links, uint32_t node, struct raft_member_location *location)
{
    const struct link *link = NULL;
    HASH_FIND(hh, links->by_node, &node, sizeof(node), link);
    if (link == NULL || !link->replica || link->closing) {
        return false;
    }
    *location = link->location;
    return true;
}

uint32_t links_min_feature_level(const struct links *links, const uint32_t *nodes, uint32_t count)
{
    uint32_t min_level = LINKS_FEATURE_LEVEL;
    for (uint32_t i = 0; i < count; i++) {
        const struct link *link = NULL;
        HASH_FIND(hh, links->by_node, &nodes[i], sizeof(nodes[i]), link);
        min_level = link != NULL && link->feature_level < min_level ? link->feature_level : min_level;
    }
    return min_level;
}

void links_handle_ready(struct links *links, void *subject, bool readable, bool writable)
{
    if (subject == &links->listener) {
        links_accept(links);
        return;
    }
    struct link *link = subject;
    uint32_t events = (readable ? EPOLLIN : 0) | (writable ? EPOLLOUT : 0);
    link_handle_event(links, link, events);
    links->has_closed = links->has_closed || link->closing;
}

void links_tick(struct links *links, uint64_t now_ms)
{
    links_dial_due(links, now_ms);
    links_time_out_dials(links, now_ms);
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
    links_time_out_dials(links, now_ms);
    links_remove_closing(links, now_ms);
}

uint32_t links_connected_count(const struct links *links)
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
            links->config.event_loop->unwatch(link->watch);
        }
        close(link->fd);
        buffer_close(&link->in);
        buffer_close(&link->out);
        free(link);
    }
    if (links->listener >= 0) {
        if (links->listener_watch != NULL) {
            links->config.event_loop->unwatch(links->listener_watch);
        }
        close(links->listener);
    }
    if (links->epoll >= 0) {
        close(links->epoll);
    }
}
