/* Connections between daemons: dialling, accepting, connect timeouts. */
#include "net/links_internal.h"

#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <xxhash.h>

#include "base/message.h"

static bool links_set_socket_options(int fd)
{
    int on = 1;
    int flags = fcntl(fd, F_GETFL);
    unsigned ack_timeout_ms = LINKS_ACK_TIMEOUT_MS;
    int keepalive_s = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ack_timeout_ms, sizeof(ack_timeout_ms));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &keepalive_s, sizeof(keepalive_s));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &keepalive_s, sizeof(keepalive_s));
    return flags >= 0 && fcntl(fd, F_SETFL, flags | O_NONBLOCK) == 0 && fcntl(fd, F_SETFD, FD_CLOEXEC) == 0 &&
           setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on)) == 0;
}

static void link_queue_hello(struct links *links, struct link *link)
{
    Frame frame = {0};
    frame.which_payload = Frame_hello_tag;
    Hello *hello = &frame.payload.hello;
    hello->cluster = (char *)(uintptr_t)links->config.cluster;
    hello->zone = (char *)(uintptr_t)links->config.zone;
    hello->version = LINKS_VERSION;
    hello->level = LINKS_FEATURE_LEVEL;
    hello->node = links->config.node;
    hello->boot_id = links->config.boot_id;
    hello->has_member = links->config.replica;
    hello->member.node = links->config.node;
    hello->member.name = (char *)(uintptr_t)links->config.location.name;
    hello->member.zone = (char *)(uintptr_t)links->config.location.zone;
    hello->member.ip = links->config.location.ip;
    hello->member.port = links->config.location.port;
    struct buffer encoded = {0};
    if (message_encode(&encoded, Frame_fields, &frame)) {
        link_queue(links, link, buffer_view(&encoded));
    }
    buffer_close(&encoded);
}

static struct link *links_add(struct links *links, int fd, bool outbound)
{
    struct link *link = memory_new(sizeof(*link));
    link->fd = fd;
    link->outbound = outbound;
    link->connecting = outbound;
    link->wants_write = true;
    link->next = links->all;
    links->all = link;
    link_queue_hello(links, link);
    links_register(links, link, EPOLL_CTL_ADD);
    return link;
}

void links_record_dial(const struct links *links, struct links_peer *peer, uint64_t now_ms, dial_result_t result)
{
    uint64_t seed[2] = {links->config.boot_id, now_ms};
    dial_backoff_record(&peer->backoff, now_ms, result, (uint32_t)XXH64(seed, sizeof(seed), links->config.node));
}

static void links_dial(struct links *links, struct links_peer *peer, uint64_t now_ms)
{
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    if (fd < 0 || !links_set_socket_options(fd)) {
        goto fail;
    }
    int result = connect(fd, (const struct sockaddr *)&peer->address.socket, sizeof(peer->address.socket));
    if (result != 0 && errno != EINPROGRESS) {
        goto fail;
    }
    peer->link = links_add(links, fd, true);
    peer->link->connect_deadline_ms = now_ms + dial_backoff_timeout_ms(&peer->backoff);
    return;
fail:
    if (fd >= 0) {
        close(fd);
    }
    links_record_dial(links, peer, now_ms, DIAL_FAILED);
}

void links_dial_due(struct links *links, uint64_t now_ms)
{
    for (uint32_t i = 0; i < links->peer_count; i++) {
        struct links_peer *peer = &links->peers[i];
        if (peer->link == NULL && now_ms >= peer->backoff.next_attempt_ms) {
            links_dial(links, peer, now_ms);
        }
    }
}

void links_accept(struct links *links)
{
    int fd = accept(links->listener, NULL, NULL);
    while (fd >= 0) {
        if (links_set_socket_options(fd)) {
            links_add(links, fd, false);
        } else {
            close(fd);
        }
        fd = accept(links->listener, NULL, NULL);
    }
}

void links_add_peer(struct links *links, uint32_t node, const struct address *address)
{
    if (links->peer_count == RAFT_MAX_MEMBERS) {
        return;
    }
    struct links_peer *peer = &links->peers[links->peer_count++];
    memset(peer, 0, sizeof(*peer));
    peer->node = node;
    peer->address = *address;
}

void links_set_addresses(struct links *links, const struct address *addresses, uint32_t count)
{
    struct links_peer updated[RAFT_MAX_MEMBERS];
    memset(updated, 0, sizeof(updated));
    count = count < RAFT_MAX_MEMBERS ? count : RAFT_MAX_MEMBERS;
    for (uint32_t i = 0; i < count; i++) {
        updated[i].address = addresses[i];
    }
    for (uint32_t i = 0; i < links->peer_count; i++) {
        struct links_peer *peer = &links->peers[i];
        bool found = false;
        for (uint32_t k = 0; k < count && !found; k++) {
            found =
                strcmp(updated[k].address.ip, peer->address.ip) == 0 && updated[k].address.port == peer->address.port;
            if (found) {
                updated[k] = *peer;
            }
        }
        if (!found && peer->link != NULL) {
            peer->link->closing = true;
        }
    }
    memcpy(links->peers, updated, sizeof(updated));
    links->peer_count = count;
}

/* Whether the kernel has finished connecting, but the event is not handled yet because this process is late. */
static bool link_connect_finished(const struct link *link)
{
    struct pollfd ready = {.fd = link->fd, .events = POLLOUT};
    return poll(&ready, 1, 0) > 0;
}

void links_time_out_dials(struct links *links, uint64_t now_ms)
{
    for (struct link *link = links->all; link != NULL; link = link->next) {
        bool expired = link->connecting && now_ms >= link->connect_deadline_ms && !link_connect_finished(link);
        link->timed_out = link->timed_out || expired;
        link->closing = link->closing || link->timed_out;
    }
}
