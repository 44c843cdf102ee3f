/* How connections between daemons come about: dialling, accepting, giving up. */
#include "net/links_internal.h"

#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <xxhash.h>

#include "base/message.h"

static bool links_set_options(int file)
{
    int on = 1;
    int flags = fcntl(file, F_GETFL);
    unsigned silence_ms = LINKS_SILENCE_MS;
    int probe_s = 1;
    setsockopt(file, IPPROTO_TCP, TCP_USER_TIMEOUT, &silence_ms, sizeof(silence_ms));
    setsockopt(file, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(file, IPPROTO_TCP, TCP_KEEPIDLE, &probe_s, sizeof(probe_s));
    setsockopt(file, IPPROTO_TCP, TCP_KEEPINTVL, &probe_s, sizeof(probe_s));
    return flags >= 0 && fcntl(file, F_SETFL, flags | O_NONBLOCK) == 0 && fcntl(file, F_SETFD, FD_CLOEXEC) == 0 &&
           setsockopt(file, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on)) == 0;
}

static void link_queue_hello(struct links *links, struct link *link)
{
    Frame frame = {0};
    frame.which_payload = Frame_hello_tag;
    Hello *hello = &frame.payload.hello;
    hello->cluster = (char *)(uintptr_t)links->config.cluster;
    hello->zone = (char *)(uintptr_t)links->config.zone;
    hello->version = LINKS_VERSION;
    hello->level = LINKS_LEVEL;
    hello->node = links->config.node;
    hello->boot_id = links->config.boot_id;
    hello->has_member = links->config.replica;
    hello->member.node = links->config.node;
    hello->member.name = (char *)(uintptr_t)links->config.place.name;
    hello->member.zone = (char *)(uintptr_t)links->config.place.zone;
    hello->member.ip = links->config.place.ip;
    hello->member.port = links->config.place.port;
    struct buffer encoded = {0};
    if (message_encode(&encoded, Frame_fields, &frame)) {
        link_queue(links, link, buffer_view(&encoded));
    }
    buffer_close(&encoded);
}

static struct link *links_add(struct links *links, int file, bool outbound)
{
    struct link *link = memory_new(sizeof(*link));
    link->file = file;
    link->outbound = outbound;
    link->connecting = outbound;
    link->wants_write = true;
    link->next = links->all;
    links->all = link;
    link_queue_hello(links, link);
    links_register(links, link, EPOLL_CTL_ADD);
    return link;
}

void links_note_dial(const struct links *links, struct links_peer *peer, uint64_t now_ms, dial_end_t end)
{
    uint64_t material[2] = {links->config.boot_id, now_ms};
    dial_pace_note(&peer->pace, now_ms, end, (uint32_t)XXH64(material, sizeof(material), links->config.node));
}

static void links_dial(struct links *links, struct links_peer *peer, uint64_t now_ms)
{
    int file = socket(AF_INET, SOCK_STREAM, 0);
    if (file < 0 || !links_set_options(file)) {
        goto fail;
    }
    int result = connect(file, (const struct sockaddr *)&peer->address.socket, sizeof(peer->address.socket));
    if (result != 0 && errno != EINPROGRESS) {
        goto fail;
    }
    peer->link = links_add(links, file, true);
    peer->link->connect_until_ms = now_ms + dial_pace_limit_ms(&peer->pace);
    return;
fail:
    if (file >= 0) {
        close(file);
    }
    links_note_dial(links, peer, now_ms, DIAL_END_REFUSED);
}

void links_dial_due(struct links *links, uint64_t now_ms)
{
    for (uint32_t i = 0; i < links->peer_count; i++) {
        struct links_peer *peer = &links->peers[i];
        if (peer->link == NULL && now_ms >= peer->pace.due_ms) {
            links_dial(links, peer, now_ms);
        }
    }
}

void links_accept(struct links *links)
{
    int file = accept(links->listener, NULL, NULL);
    while (file >= 0) {
        if (links_set_options(file)) {
            links_add(links, file, false);
        } else {
            close(file);
        }
        file = accept(links->listener, NULL, NULL);
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

void links_dial_only(struct links *links, const struct address *addresses, uint32_t count)
{
    struct links_peer kept[RAFT_MAX_MEMBERS];
    memset(kept, 0, sizeof(kept));
    count = count < RAFT_MAX_MEMBERS ? count : RAFT_MAX_MEMBERS;
    for (uint32_t i = 0; i < count; i++) {
        kept[i].address = addresses[i];
    }
    for (uint32_t i = 0; i < links->peer_count; i++) {
        struct links_peer *peer = &links->peers[i];
        bool found = false;
        for (uint32_t k = 0; k < count && !found; k++) {
            found = strcmp(kept[k].address.ip, peer->address.ip) == 0 && kept[k].address.port == peer->address.port;
            if (found) {
                kept[k] = *peer;
            }
        }
        if (!found && peer->link != NULL) {
            peer->link->closing = true;
        }
    }
    memcpy(links->peers, kept, sizeof(kept));
    links->peer_count = count;
}

void links_give_up_silent(struct links *links, uint64_t now_ms)
{
    for (struct link *link = links->all; link != NULL; link = link->next) {
        link->silent = link->silent || (link->connecting && now_ms >= link->connect_until_ms);
        link->closing = link->closing || link->silent;
    }
}
