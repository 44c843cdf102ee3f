/* Site daemon: frames, requests to the leader, connections, the watch, the machine list. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/event_log.h"
#include "base/message.h"
#include "proxy/frontend.h"
#include "proxy/links_uv.h"
#include "proxy/node_internal.h"
#include "proxy/state_host.h"

static const char NODE_CLUSTER[] = "site";

/* ---- Frames ------------------------------------------------------------------------ */

static void node_queue_local(struct node *node, struct view frame)
{
    struct node_local_frame *local = memory_new(sizeof(*local));
    buffer_append(&local->data, frame.data, frame.length);
    if (node->local_last == NULL) {
        node->local_first = local;
    } else {
        node->local_last->next = local;
    }
    node->local_last = local;
}

bool node_send(struct node *node, uint32_t to, struct view frame)
{
    if (to == node->id) {
        node_queue_local(node, frame);
        return true;
    }
    return links_send(&node->links, to, frame);
}

bool node_send_frame(struct node *node, uint32_t to, const Frame *frame)
{
    struct buffer encoded = {0};
    bool sent = message_encode(&encoded, Frame_fields, frame) && node_send(node, to, buffer_view(&encoded));
    buffer_close(&encoded);
    return sent;
}

/* Connects to the relay that the watch was referred to, or disconnects from it if there is none now. A relay is a
 * replica outside the group (core/watch.h). */
static void node_apply_referral(struct node *node, const WatchUpdate *update)
{
    if (node->watch.relay != RAFT_NO_NODE) {
        raft_member_location_from_wire(&update->relay, &node->relay);
    }
    event_log("referred", "{s:I,s:s}", "relay", (json_int_t)node->watch.relay, "machine",
              node->watch.relay == RAFT_NO_NODE ? "" : node->relay.name);
    node_dial(node);
}

static void node_receive_update(struct node *node, uint32_t from, const WatchUpdate *update)
{
    uint64_t failed = node->watch.patches_failed;
    uint64_t held = node->state.document_version;
    struct watch_changes changes = watch_client_receive(&node->watch, node_now(node), from, update, &node->state);
    if (changes.document) {
        size_t bytes = update->document.length + update->document_patch.length;
        event_log("configuration_told", "{s:I,s:I,s:I,s:b}", "version", (json_int_t)node->state.document_version,
                  "from", (json_int_t)from, "received_bytes", (json_int_t)bytes, "patch",
                  update->document_patch.length > 0);
    }
    if (node->watch.patches_failed > failed) {
        event_log("patch_failed", "{s:I,s:I,s:I,s:I}", "version", (json_int_t)update->document_version, "base",
                  (json_int_t)update->document_base, "held", (json_int_t)held, "from", (json_int_t)from);
    }
    if (changes.relay) {
        node_apply_referral(node, update);
    }
    if (update->fresh) {
        control_client_hint_leader(&node->client, node_now(node), STATE_CONFIG_GROUP, update->leader);
    }
    node_state_changed(node, changes);
}

static void node_dispatch(struct node *node, uint32_t from, const Frame *frame)
{
    switch (frame->which_payload) {
    case Frame_reply_tag: control_client_receive(&node->client, node_now(node), from, frame); break;
    case Frame_watch_update_tag: node_receive_update(node, from, &frame->payload.watch_update); break;
    case Frame_load_totals_tag:
        if (node->frontend != NULL) {
            frontend_apply_load_totals(node->frontend, &frame->payload.load_totals);
        }
        break;
    case Frame_quarantine_notice_tag:
        if (node->frontend != NULL) {
            const QuarantineNotice *notice = &frame->payload.quarantine_notice;
            frontend_adopt_quarantine(node->frontend, notice->quarantined, notice->quarantined_count);
            frontend_suspect(node->frontend, notice->suspected);
        }
        break;
    default:
        if (node->host != NULL) {
            state_host_receive(node->host, from, frame);
        }
        break;
    }
}

static void node_on_frame(void *context, uint32_t from, const Frame *frame)
{
    struct node *node = context;
    node->last_received_ms = node_now(node);
    control_client_record_received(&node->client, node_now(node), from);
    if (node->frontend != NULL) {
        frontend_record_frame(node->frontend, from);
    }
    node_dispatch(node, from, frame);
}

void node_dispatch_local_frames(struct node *node)
{
    while (node->local_first != NULL) {
        struct node_local_frame *local = node->local_first;
        node->local_first = local->next;
        if (node->local_first == NULL) {
            node->local_last = NULL;
        }
        Frame frame = {0};
        if (message_decode(buffer_view(&local->data), Frame_fields, &frame)) {
            node_dispatch(node, node->id, &frame);
            message_free(Frame_fields, &frame);
        }
        buffer_close(&local->data);
        free(local);
    }
}

/* ---- Requests to the leader ------------------------------------------------------------ */

static void node_on_complete(void *context, void *token, ResultCode code, struct view body)
{
    struct node_request *request = token;
    (void)context;
    if (request->reply != NULL) {
        request->reply(request->context, code, body);
    }
    free(request);
}

static bool node_client_send(void *context, uint32_t to, struct view frame)
{
    return node_send(context, to, frame);
}

static struct node_request *node_request_new(node_reply reply, void *context)
{
    struct node_request *request = memory_new(sizeof(*request));
    request->reply = reply;
    request->context = context;
    return request;
}

struct node_request *node_submit(struct node *node, RequestKind kind, struct view body, uint64_t deadline_ms,
                                 node_reply reply, void *context)
{
    struct node_request *request = node_request_new(reply, context);
    control_client_submit(&node->client, node_now(node), STATE_CONFIG_GROUP, kind, body, deadline_ms, request);
    return request;
}

struct node_request *node_propose(struct node *node, const Entry *entry, uint64_t deadline_ms, node_reply reply,
                                  void *context)
{
    struct buffer body = {0};
    message_encode(&body, Entry_fields, entry);
    struct node_request *request = node_submit(node, REQUEST_PROPOSE, buffer_view(&body), deadline_ms, reply, context);
    buffer_close(&body);
    return request;
}

void node_propose_background(struct node *node, const Entry *entry, uint64_t deadline_ms)
{
    struct buffer body = {0};
    message_encode(&body, Entry_fields, entry);
    control_client_submit_background(&node->client, node_now(node), STATE_CONFIG_GROUP, REQUEST_PROPOSE,
                                     buffer_view(&body), deadline_ms, node_request_new(NULL, NULL));
    buffer_close(&body);
}

struct node_request *node_submit_to_replica(struct node *node, uint32_t replica, RequestKind kind, struct view body,
                                            uint64_t deadline_ms, node_reply reply, void *context)
{
    struct node_request *request = node_request_new(reply, context);
    control_client_submit_to_replica(&node->client, node_now(node), replica, STATE_CONFIG_GROUP, kind, body,
                                     deadline_ms, request);
    return request;
}

void node_ignore_reply(struct node *node, struct node_request *request)
{
    (void)node;
    if (request != NULL) {
        request->reply = NULL;
    }
}

/* ---- Peers ------------------------------------------------------------------------------- */

static void node_own_location(const struct node *node, struct raft_member_location *location)
{
    struct address own;
    char text[64];
    memset(location, 0, sizeof(*location));
    snprintf(text, sizeof(text), "%s:%llu", node->settings.ip, (unsigned long long)node->settings.peer_port);
    if (address_parse(text, &own)) {
        location->ip = ntohl(own.socket.sin_addr.s_addr);
        location->port = own.port;
    }
    snprintf(location->name, sizeof(location->name), "%s", node->settings.name);
    snprintf(location->zone, sizeof(location->zone), "%s", text_or_empty(node->settings.zone));
}

static void node_make_address(uint32_t ip, uint16_t port, struct address *address)
{
    memset(address, 0, sizeof(*address));
    address->socket.sin_family = AF_INET;
    address->socket.sin_port = htons(port);
    address->socket.sin_addr.s_addr = htonl(ip);
    address->port = port;
    snprintf(address->ip, sizeof(address->ip), "%u.%u.%u.%u", ip >> 24, (ip >> 16) & 255, (ip >> 8) & 255, ip & 255);
}

/* Skips this node's own address and duplicates; returns the new count. */
static uint32_t node_add_address(const struct node *node, struct address *addresses, uint32_t count,
                                 const struct address *address)
{
    bool skip = strcmp(address->ip, node->settings.ip) == 0 && address->port == node->settings.peer_port;
    for (uint32_t i = 0; i < count; i++) {
        skip = skip || (strcmp(addresses[i].ip, address->ip) == 0 && addresses[i].port == address->port);
    }
    if (skip || count == RAFT_MAX_MEMBERS) {
        return count;
    }
    addresses[count] = *address;
    return count + 1;
}

/* A replica connects to the members in its log, committed or not: after a start it cannot learn what is committed
 * without them. Other daemons connect to the members received by the watch. */
void node_dial(struct node *node)
{
    struct address addresses[RAFT_MAX_MEMBERS];
    struct address address;
    uint32_t count = 0;
    const struct raft_members *logged = node->host == NULL ? NULL : state_host_logged_members(node->host);
    const struct raft_members *members = logged != NULL ? logged : &node->state.members;
    for (uint32_t i = 0; i < members->count; i++) {
        if (members->locations[i].ip != 0) {
            node_make_address(members->locations[i].ip, members->locations[i].port, &address);
            count = node_add_address(node, addresses, count, &address);
        }
    }
    const struct node_seed *seeds = node->settings.seeds.items;
    for (size_t i = 0; i < node->settings.seeds.count; i++) {
        if (address_parse(seeds[i].address, &address)) {
            node_make_address(ntohl(address.socket.sin_addr.s_addr), (uint16_t)node->settings.peer_port, &address);
            count = node_add_address(node, addresses, count, &address);
        }
    }
    if (node->watch.relay != RAFT_NO_NODE) {
        node_make_address(node->relay.ip, node->relay.port, &address);
        count = node_add_address(node, addresses, count, &address);
    }
    links_set_addresses(&node->links, addresses, count);
}

/* Group members first; returns the count, at most RAFT_MAX_MEMBERS - 1, which leaves room for this node. */
static uint32_t node_connected_replicas(const struct node *node, uint32_t *nodes,
                                        struct raft_member_location *locations)
{
    uint32_t count = links_list_replicas(&node->links, nodes, locations, LINKS_MAX_REPLICAS);
    uint32_t members = 0;
    for (uint32_t i = 0; i < count; i++) {
        if (raft_member_position(&node->state.members, nodes[i]) < 0) {
            continue;
        }
        uint32_t other = nodes[members];
        struct raft_member_location location = locations[members];
        nodes[members] = nodes[i];
        locations[members++] = locations[i];
        nodes[i] = other;
        locations[i] = location;
    }
    return count < RAFT_MAX_MEMBERS ? count : RAFT_MAX_MEMBERS - 1;
}

void node_peers_changed(struct node *node)
{
    uint32_t nodes[LINKS_MAX_REPLICAS];
    struct raft_member_location locations[LINKS_MAX_REPLICAS];
    struct watch_candidate candidates[RAFT_MAX_MEMBERS];
    uint32_t count = node_connected_replicas(node, nodes, locations);
    uint32_t replica_count = 0;
    for (uint32_t i = 0; i < count; i++) {
        candidates[i].node = nodes[i];
        candidates[i].same_zone = text_equal(locations[i].zone, node->settings.zone);
        nodes[replica_count] = nodes[i];
        replica_count += nodes[i] != node->watch.relay ? 1 : 0; /* relays do not serve requests */
    }
    if (node->host != NULL && node->host->running) {
        nodes[replica_count++] = node->id;
    } else {
        watch_client_set_candidates(&node->watch, candidates, count);
    }
    control_client_set_replicas(&node->client, nodes, replica_count);
}

static void node_on_connected(void *context, uint32_t peer)
{
    struct node *node = context;
    event_log("peer_connected", "{s:I}", "peer", (json_int_t)peer);
    node_peers_changed(node);
}

static void node_on_disconnected(void *context, uint32_t peer)
{
    struct node *node = context;
    event_log("peer_lost", "{s:I}", "peer", (json_int_t)peer);
    if (node->host != NULL) {
        state_host_peer_disconnected(node->host, peer);
    }
    node_peers_changed(node);
    control_client_disconnected(&node->client, node_now(node), peer);
}

void node_log_drained(const struct node *node, const char *event)
{
    const zone_set_t *drained = &node->state.drained;
    struct buffer names = {0};
    for (uint32_t i = 0; i < drained->count; i++) {
        buffer_printf(&names, "%s%s", i == 0 ? "" : ",", drained->names[i]);
    }
    event_log(event, "{s:I,s:s,s:I}", "revision", (json_int_t)drained->revision, "drained", buffer_text(&names),
              "state_age_ms", (json_int_t)node_state_age(node));
    buffer_close(&names);
}

/* ---- State of the site ---------------------------------------------------------------------- */

void node_state_changed(struct node *node, struct watch_changes changes)
{
    if (changes.members) {
        node_dial(node);
        node_peers_changed(node);
    }
    if (node->frontend != NULL && changes.document) {
        frontend_apply_configuration(node->frontend);
    }
    if (node->frontend != NULL && changes.drained) {
        frontend_apply_drained_zones(node->frontend);
    }
    if (node->frontend != NULL && changes.servers) {
        frontend_apply_servers(node->frontend);
    }
}

bool node_is_fresh_at(const struct node *node, uint64_t now_ms)
{
    if (node->host != NULL && node->host->running) {
        return replica_is_fresh(&node->host->replica, STATE_CONFIG_GROUP, now_ms);
    }
    return watch_client_is_fresh(&node->watch, now_ms, NODE_FRESHNESS_TIMEOUT_MS);
}

bool node_is_fresh(const struct node *node)
{
    return node_is_fresh_at(node, node_now(node));
}

uint64_t node_state_age(const struct node *node)
{
    return node->host != NULL ? 0 : node_now(node) - node->watch.fresh_ms;
}

/* An overdue tick counts as well: after a stall, requests may be read before the tick that detects it. */
bool node_recently_stalled(const struct node *node)
{
    uint64_t now_ms = node_now(node);
    return now_ms < node->stall_end_ms + NODE_STALL_GRACE_MS || now_ms >= node->last_tick_ms + NODE_STALL_MS;
}

/* False right after a stall: frames that arrived during it may still be unread. */
bool node_is_isolated(const struct node *node)
{
    bool silent = node_now(node) >= node->last_received_ms + NODE_ISOLATED_MS;
    return node->host == NULL && silent && !node_recently_stalled(node);
}

/* A group member watches its leader, for the server list. Gateways, and replicas outside the group, watch any replica,
 * preferably in their own zone. */
void node_watch(struct node *node)
{
    if (node->host != NULL && node->host->running) {
        struct watch_candidate leader = {.node = state_host_leader(node->host)};
        bool other = leader.node != RAFT_NO_NODE && leader.node != node->id;
        watch_client_set_candidates(&node->watch, &leader, other ? 1 : 0);
    }
    Frame frame = {0};
    frame.which_payload = Frame_watch_tag;
    uint32_t relay = node->watch.relay;
    if (watch_client_tick(&node->watch, node_now(node), &node->state, &frame.payload.watch)) {
        frame.payload.watch.relays = node->host != NULL && !node->host->running;
        node_send_frame(node, node->watch.target, &frame);
    }
    if (node->watch.relay != relay) {
        node_apply_referral(node, &(const WatchUpdate){0}); /* the previous relay does not respond */
    }
}

static void node_on_servers_read(void *context, struct view encoded)
{
    struct node *node = context;
    if (node->host != NULL) {
        state_host_apply_servers(node->host, encoded);
    } else if (node->frontend != NULL && !node_is_fresh(node)) {
        frontend_apply_server_list(node->frontend, encoded);
    }
}

/* The leader fetches the list for the site; a gateway without fresh state fetches it itself. A gateway without a
 * configuration does not: it cannot serve requests, and when all daemons start together, their fetches would use up the
 * platform's rate limit, which the leader needs. */
void node_fetch_machines(struct node *node)
{
    bool leads = node->host != NULL && state_host_is_leader(node->host);
    bool fallback = node->host == NULL && node->state.document_version > 0 && !node_is_fresh(node);
    node->machine_reader.period_ms = leads ? node->settings.list_period_ms : NODE_FALLBACK_LIST_PERIOD_MS;
    machine_reader_tick(&node->machine_reader, node_now(node), leads || fallback);
}

/* ---- Opening -------------------------------------------------------------------------------- */

bool node_open_links(struct node *node)
{
    struct links_config config = {
        .cluster = NODE_CLUSTER,
        .zone = text_or_empty(node->settings.zone),
        .node = node->id,
        .boot_id = node->boot_id,
        .listens = node->host != NULL,
        .replica = node->host != NULL,
        .max_queued_bytes = node->memory.queues,
    };
    struct links_handler handler = {
        .context = node,
        .frame = node_on_frame,
        .disconnected = node_on_disconnected,
        .connected = node_on_connected,
    };
    node->links_event_loop = links_uv_event_loop(&node->loop);
    node_own_location(node, &config.location);
    node_make_address(config.location.ip, config.location.port, &config.listen);
    config.event_loop = &node->links_event_loop;
    if (!links_init(&node->links, &config, &handler)) {
        event_log("listen_failed", "{s:s}", "error", node->links.error);
        return false;
    }
    return true;
}

void node_open_client(struct node *node)
{
    struct control_client_config config = {
        .node = node->id,
        .boot_id = node->boot_id,
        .groups = 1,
        .requests_only = true,
    };
    struct control_client_io io = {
        .context = node,
        .send = node_client_send,
        .complete = node_on_complete,
    };
    control_client_init(&node->client, &config, &io);
    node->machine_reader.pool = &node->upstreams;
    node->machine_reader.dialect = node->dialect;
    node->machine_reader.context = node;
    node->machine_reader.done = node_on_servers_read;
    address_parse(node->settings.machine_list, &node->machine_reader.address);
}
