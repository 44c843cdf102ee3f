/* Connections between daemons: receiving Hello and other frames. */
#include "net/links_internal.h"

#include <errno.h>
#include <sys/socket.h>

#include "base/log.h"
#include "base/message.h"

enum { LINKS_READ_BYTES = 64 << 10 };

static const char LINKS_LOG[] = "links";

static void link_handle_hello(struct links *links, struct link *link, const Hello *hello)
{
    if (!text_equal(hello->cluster, links->config.cluster) || hello->version != LINKS_VERSION) {
        log_warn(LINKS_LOG, "rejected peer %u: cluster '%s' version %u, expected '%s' version %d", hello->node,
                 text_or_empty(hello->cluster), hello->version, links->config.cluster, LINKS_VERSION);
        link->closing = true;
        return;
    }
    for (uint32_t i = 0; link->outbound && i < links->peer_count; i++) {
        struct links_peer *peer = &links->peers[i];
        if (peer->link == link && peer->node != RAFT_NO_NODE && peer->node != hello->node) {
            log_warn(LINKS_LOG, "%s:%u is node %u, expected node %u", peer->address.ip, peer->address.port, hello->node,
                     peer->node);
            link->closing = true;
            return;
        }
        if (peer->link == link) {
            links_record_dial(links, peer, 0, DIAL_CONNECTED);
        }
    }
    if (link->node != RAFT_NO_NODE && link->node != hello->node) {
        log_warn(LINKS_LOG, "peer %u sent a second Hello as node %u", link->node, hello->node);
        link->closing = true;
        return;
    }
    link->node = hello->node;
    links_update_index(links, link->node);
    link->replica = hello->has_member;
    link->feature_level = hello->level;
    raft_member_location_from_wire(&hello->member, &link->location);
    log_debug(LINKS_LOG, "peer %u connected", hello->node);
    if (links->handler.connected != NULL) {
        links->handler.connected(links->handler.context, hello->node);
    }
}

static void link_handle_frame(struct links *links, struct link *link, struct view data)
{
    Frame frame = {0};
    if (!message_decode(data, Frame_fields, &frame)) {
        log_warn(LINKS_LOG, "cannot decode a frame from peer %u", link->node);
        link->closing = true;
        return;
    }
    links->frames_in++;
    link_counts_add(&links->counts_in, data);
    links->bytes_in += data.length + LINKS_HEADER_BYTES;
    if (frame.which_payload == Frame_hello_tag) {
        link_handle_hello(links, link, &frame.payload.hello);
    } else if (link->node == RAFT_NO_NODE) {
        log_warn(LINKS_LOG, "a peer's first frame is not Hello");
        link->closing = true;
    } else {
        links->handler.frame(links->handler.context, link->node, &frame);
    }
    message_free(Frame_fields, &frame);
}

static void link_handle_buffered_frames(struct links *links, struct link *link)
{
    size_t position = 0;
    while (!link->closing && link->in.length - position >= LINKS_HEADER_BYTES) {
        const uint8_t *header = link->in.data + position;
        uint32_t length =
            (uint32_t)header[0] | (uint32_t)header[1] << 8 | (uint32_t)header[2] << 16 | (uint32_t)header[3] << 24;
        if (length > LINKS_MAX_FRAME_BYTES) {
            log_warn(LINKS_LOG, "peer %u sent a frame of %u bytes, limit %d", link->node, length,
                     LINKS_MAX_FRAME_BYTES);
            link->closing = true;
            return;
        }
        if (link->in.length - position - LINKS_HEADER_BYTES < length) {
            break;
        }
        link_handle_frame(links, link, view_of(header + LINKS_HEADER_BYTES, length));
        position += LINKS_HEADER_BYTES + length;
    }
    buffer_consume(&link->in, position);
}

void link_read(struct links *links, struct link *link)
{
    ssize_t received = 0;
    do {
        received = recv(link->fd, buffer_reserve(&link->in, LINKS_READ_BYTES), LINKS_READ_BYTES, 0);
        if (received > 0) {
            link->in.length += (size_t)received;
            link->in_peak = link->in.length > link->in_peak ? link->in.length : link->in_peak;
            link_handle_buffered_frames(links, link);
        }
    } while (!link->closing && (received == LINKS_READ_BYTES || (received < 0 && errno == EINTR)));
    bool ended = received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    link->closing = link->closing || ended;
}
