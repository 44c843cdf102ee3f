/* State replica: bootstrap of the group by the seeds, and joining of an existing group. */
#include <stdlib.h>
#include <string.h>

#include "base/event_log.h"
#include "base/message.h"
#include "proxy/state_host_internal.h"

static bool host_join_group(struct state_host *host, const struct raft_members *members)
{
    if (!identity_set_group(host->node->settings.data, &host->identity, members) || !state_host_open_replica(host)) {
        node_stop(host->node);
        return false;
    }
    state_host_start(host);
    return true;
}

static bool host_is_seed_address(const struct node *node, uint32_t ip)
{
    const struct node_seed *seeds = node->settings.seeds.items;
    for (size_t i = 0; i < node->settings.seeds.count; i++) {
        struct address address;
        if (address_parse(seeds[i].address, &address) && ntohl(address.socket.sin_addr.s_addr) == ip) {
            return true;
        }
    }
    return false;
}

/* Keeps the members sorted by node id. */
static void host_add_member(struct raft_members *members, uint32_t node, const struct raft_member_location *location)
{
    uint32_t position = members->count++;
    while (position > 0 && members->nodes[position - 1] > node) {
        members->nodes[position] = members->nodes[position - 1];
        members->locations[position] = members->locations[position - 1];
        position--;
    }
    members->nodes[position] = node;
    members->locations[position] = *location;
}

/* Whether a group exists without this replica, which then must not bootstrap, even if it is a seed. */
static bool host_is_outside_group(const struct state_host *host)
{
    const struct raft_members *members = &host->node->state.members;
    return members->count > 0 && raft_member_position(members, host->identity.node) < 0;
}

/* Each seed forms the group once it is connected to all others; sorted members make all seeds form the same group. */
void state_host_try_bootstrap(struct state_host *host)
{
    struct node *node = host->node;
    const struct raft_member_location *own = &node->links.config.location;
    if (!node->settings.bootstrap || !host_is_seed_address(node, own->ip) || host_is_outside_group(host)) {
        return;
    }
    uint32_t nodes[LINKS_MAX_REPLICAS];
    struct raft_member_location locations[LINKS_MAX_REPLICAS];
    uint32_t count = links_list_replicas(&node->links, nodes, locations, LINKS_MAX_REPLICAS);
    struct raft_members members = {0};
    host_add_member(&members, host->identity.node, own);
    for (uint32_t i = 0; i < count; i++) {
        if (host_is_seed_address(node, locations[i].ip)) {
            host_add_member(&members, nodes[i], &locations[i]);
        }
    }
    if (members.count == node->settings.seeds.count) {
        event_log("bootstrap", "{s:I}", "members", (json_int_t)members.count);
        host_join_group(host, &members);
    }
}

static void host_on_joined(void *context, ResultCode code, struct view body)
{
    struct state_host *host = context;
    JoinReply reply = {0};
    host->joining = false;
    if (code != RESULT_OK || host->running || !message_decode(body, JoinReply_fields, &reply)) {
        return;
    }
    struct raft_members members;
    bool is_member =
        raft_members_from_wire(&reply.members, &members) && raft_member_position(&members, host->identity.node) >= 0;
    message_free(JoinReply_fields, &reply);
    if (!is_member) {
        host->join_due_ms = node_now(host->node) + STATE_HOST_JOIN_REJECTED_RETRY_MS;
    } else {
        event_log("joined", "{s:I}", "members", (json_int_t)members.count);
        host_join_group(host, &members);
    }
}

void state_host_request_join(struct state_host *host)
{
    struct node *node = host->node;
    uint64_t now_ms = node_now(node);
    if (host->joining || now_ms < host->join_due_ms) {
        return;
    }
    const struct raft_member_location *own = &node->links.config.location;
    JoinRequest request = {.has_member = true};
    request.member.node = host->identity.node;
    request.member.name = (char *)(uintptr_t)own->name;
    request.member.zone = (char *)(uintptr_t)own->zone;
    request.member.ip = own->ip;
    request.member.port = own->port;
    struct buffer body = {0};
    message_encode(&body, JoinRequest_fields, &request);
    host->join_due_ms = now_ms + STATE_HOST_JOIN_RETRY_MS;
    host->joining = true;
    node_submit(node, REQUEST_JOIN, buffer_view(&body), now_ms + STATE_HOST_NO_LEADER_TIMEOUT_MS, host_on_joined, host);
    buffer_close(&body);
}
