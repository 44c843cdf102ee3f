#include "core/control_client.h"

#include <stdlib.h>
#include <string.h>

#include "base/message.h"

enum { CONTROL_INTERNAL_TIMEOUT_MS = 3000 };

/* 2^64 divided by the golden ratio. Spreads request ids by process start, so that a late reply to an earlier process
 * matches no request of this one. */
static const uint64_t CONTROL_ID_MULTIPLIER = 0x9e3779b97f4a7c15U;

void control_client_init(struct control_client *client, const struct control_client_config *config,
                         const struct control_client_io *io)
{
    memset(client, 0, sizeof(*client));
    client->config = *config;
    client->io = *io;
    if (client->config.heartbeat_ms == 0) {
        client->config.heartbeat_ms = CONTROL_HEARTBEAT_MS;
    }
    client->rotation = config->node;
    client->last_id = config->boot_id * CONTROL_ID_MULTIPLIER;
    config_store_init(&client->store);
    client->store.revision = 0;
}

static void control_request_free(struct control_client *client, struct control_request *request)
{
    HASH_DEL(client->requests, request);
    free(request->body);
    free(request);
}

void control_client_close(struct control_client *client)
{
    while (client->requests != NULL) {
        void *token = client->requests->token;
        control_request_free(client, client->requests);
        if (token != NULL) {
            client->io.complete(client->io.context, token, RESULT_TIMEOUT, view_of(NULL, 0));
        }
    }
    config_store_close(&client->store);
}

bool control_client_has_lease(const struct control_client *client, uint64_t now_ms)
{
    return client->epoch != 0 && client->config_known && now_ms < client->lease_until_ms;
}

static uint32_t control_next_replica(struct control_client *client)
{
    if (client->config.replica_count == 0) {
        return RAFT_NO_NODE;
    }
    return client->config.replicas[client->rotation++ % client->config.replica_count];
}

static bool control_send_frame(struct control_client *client, uint32_t to, const Frame *frame)
{
    struct buffer encoded = {0};
    bool sent =
        message_encode(&encoded, Frame_fields, frame) && client->io.send(client->io.context, to, buffer_view(&encoded));
    if (sent) {
        client->messages_sent++;
        client->bytes_sent += encoded.length;
    }
    buffer_close(&encoded);
    return sent;
}

/* ---- Requests ---------------------------------------------------------------- */

static uint64_t control_retry_pause_ms(const struct control_request *request)
{
    return request->background ? CONTROL_BACKGROUND_RETRY_MS : CONTROL_RETRY_MS;
}

static void control_send_request(struct control_client *client, uint64_t now_ms, struct control_request *request)
{
    uint32_t known = request->pinned ? request->target : client->leaders[request->group];
    uint32_t target = known != RAFT_NO_NODE ? known : control_next_replica(client);
    Frame frame = {0};
    frame.group = request->group;
    frame.which_payload = Frame_request_tag;
    frame.payload.request.id = request->id;
    frame.payload.request.kind = request->kind;
    frame.payload.request.body = view_of(request->body, request->length);
    frame.payload.request.again = request->sent;
    request->target = target;
    if (control_send_frame(client, target, &frame)) {
        request->sent = true;
        request->sent_ms = now_ms;
        request->next_ms = request->pinned ? request->deadline_ms : now_ms + CONTROL_RESEND_MS;
        return;
    }
    if (request->pinned) {
        request->deadline_ms = now_ms;
        return;
    }
    request->next_ms = now_ms + control_retry_pause_ms(request);
    client->leaders[request->group] = RAFT_NO_NODE;
}

static struct control_request *control_create_request(struct control_client *client, uint32_t group, RequestKind kind,
                                                      struct view body, uint64_t deadline_ms, void *token)
{
    struct control_request *request = memory_new(sizeof(*request));
    request->id = ++client->last_id;
    request->group = group;
    request->kind = kind;
    request->body = (uint8_t *)memory_copy(body.data, body.length);
    request->length = body.length;
    request->deadline_ms = deadline_ms;
    request->token = token;
    HASH_ADD(hh, client->requests, id, sizeof(request->id), request);
    return request;
}

void control_client_submit(struct control_client *client, uint64_t now_ms, uint32_t group, RequestKind kind,
                           struct view body, uint64_t deadline_ms, void *token)
{
    control_send_request(client, now_ms, control_create_request(client, group, kind, body, deadline_ms, token));
}

void control_client_submit_background(struct control_client *client, uint64_t now_ms, uint32_t group, RequestKind kind,
                                      struct view body, uint64_t deadline_ms, void *token)
{
    struct control_request *request = control_create_request(client, group, kind, body, deadline_ms, token);
    request->background = true;
    control_send_request(client, now_ms, request);
}

void control_client_submit_to_replica(struct control_client *client, uint64_t now_ms, uint32_t node, uint32_t group,
                                      RequestKind kind, struct view body, uint64_t deadline_ms, void *token)
{
    struct control_request *request = control_create_request(client, group, kind, body, deadline_ms, token);
    request->pinned = true;
    request->target = node;
    control_send_request(client, now_ms, request);
}

void control_client_set_replicas(struct control_client *client, const uint32_t *nodes, uint32_t count)
{
    client->config.replica_count = count < RAFT_MAX_MEMBERS ? count : RAFT_MAX_MEMBERS;
    for (uint32_t i = 0; i < client->config.replica_count; i++) {
        client->config.replicas[i] = nodes[i];
    }
}

void control_client_cancel(struct control_client *client, const void *token)
{
    struct control_request *request;
    struct control_request *next;
    HASH_ITER(hh, client->requests, request, next)
    {
        if (request->token == token) {
            control_request_free(client, request);
        }
    }
}

static void control_submit_internal(struct control_client *client, uint64_t now_ms, RequestKind kind,
                                    const pb_msgdesc_t *fields, const void *message)
{
    struct buffer body = {0};
    message_encode(&body, fields, message);
    control_client_submit(client, now_ms, STATE_CONFIG_GROUP, kind, buffer_view(&body),
                          now_ms + CONTROL_INTERNAL_TIMEOUT_MS, NULL);
    buffer_close(&body);
}

static void control_complete_internal(struct control_client *client, RequestKind kind, ResultCode code,
                                      struct view body)
{
    if (kind == REQUEST_CONFIG) {
        client->config_requested = false;
        ConfigState state = {0};
        if (code != RESULT_OK || !message_decode(body, ConfigState_fields, &state)) {
            return;
        }
        bool advanced = state.revision > client->store.revision;
        if (advanced && config_store_merge(&client->store, &state)) {
            client->io.config_changed(client->io.context, &client->store);
        }
        client->config_known = true;
        client->heartbeat_due_ms = 0; /* report the new revision to the leader at once */
        message_free(ConfigState_fields, &state);
        return;
    }
    client->lease_requested = false;
    EntryResult result = {0};
    if (code == RESULT_OK && message_decode(body, EntryResult_fields, &result)) {
        client->epoch = result.epoch;
        client->heartbeat_due_ms = 0;
        message_free(EntryResult_fields, &result);
    }
}

static void control_complete(struct control_client *client, struct control_request *request, ResultCode code,
                             struct view body)
{
    void *token = request->token;
    RequestKind kind = request->kind;
    control_request_free(client, request);
    if (token == NULL) {
        control_complete_internal(client, kind, code, body);
        return;
    }
    client->io.complete(client->io.context, token, code, body);
}

static void control_redirect(struct control_client *client, uint64_t now_ms, struct control_request *request,
                             uint32_t from, uint32_t leader)
{
    bool has_other_leader = leader != RAFT_NO_NODE && leader != from;
    client->leaders[request->group] = has_other_leader ? leader : RAFT_NO_NODE;
    request->next_ms = has_other_leader ? now_ms : now_ms + control_retry_pause_ms(request);
    if (has_other_leader) {
        control_send_request(client, now_ms, request);
    }
}

/* Also makes the group's requests that were sent to other replicas due at once. */
static void control_set_leader(struct control_client *client, uint64_t now_ms, uint32_t group, uint32_t leader)
{
    if (client->leaders[group] == leader) {
        return;
    }
    client->leaders[group] = leader;
    for (struct control_request *request = client->requests; request != NULL; request = request->hh.next) {
        if (request->group == group && request->target != leader && !request->pinned) {
            request->next_ms = now_ms;
        }
    }
}

void control_client_hint_leader(struct control_client *client, uint64_t now_ms, uint32_t group, uint32_t leader)
{
    bool silent = now_ms >= client->leader_contact_ms[group] + CONTROL_RESEND_MS;
    if (leader != RAFT_NO_NODE && (client->leaders[group] == RAFT_NO_NODE || silent)) {
        control_set_leader(client, now_ms, group, leader);
    }
}

static void control_handle_reply(struct control_client *client, uint64_t now_ms, uint32_t from, const Reply *reply)
{
    struct control_request *request = NULL;
    HASH_FIND(hh, client->requests, &reply->id, sizeof(reply->id), request);
    if (request == NULL) {
        return;
    }
    if (reply->code == RESULT_NOT_LEADER) {
        if (from == request->target) {
            control_redirect(client, now_ms, request, from, reply->leader);
        }
        return;
    }
    if (reply->leader != RAFT_NO_NODE) {
        control_set_leader(client, now_ms, request->group, reply->leader);
    }
    control_complete(client, request, reply->code, reply->body);
}

void control_client_disconnected(struct control_client *client, uint64_t now_ms, uint32_t node)
{
    for (uint32_t group = 0; group < client->config.groups; group++) {
        if (client->leaders[group] == node) {
            client->leaders[group] = RAFT_NO_NODE;
        }
    }
    for (struct control_request *request = client->requests; request != NULL; request = request->hh.next) {
        if (request->target == node && !request->pinned) {
            request->next_ms = now_ms;
        }
    }
}

/* ---- Heartbeats, lease and configuration ---------------------------------------- */

static void control_send_heartbeat(struct control_client *client, uint64_t now_ms)
{
    client->heartbeat_due_ms = now_ms + client->config.heartbeat_ms;
    if (now_ms > client->heartbeat_answered_ms + CONTROL_HEARTBEAT_TIMEOUT_MS) {
        client->leaders[STATE_CONFIG_GROUP] = RAFT_NO_NODE;
    }
    uint32_t known = client->leaders[STATE_CONFIG_GROUP];
    uint32_t target = known != RAFT_NO_NODE ? known : control_next_replica(client);
    Frame frame = {0};
    frame.group = STATE_CONFIG_GROUP;
    frame.which_payload = Frame_heartbeat_tag;
    frame.payload.heartbeat.revision = client->store.revision;
    frame.payload.heartbeat.epoch = client->epoch;
    frame.payload.heartbeat.draining = client->draining;
    frame.payload.heartbeat.sent_ms = now_ms;
    if (!control_send_frame(client, target, &frame)) {
        client->leaders[STATE_CONFIG_GROUP] = RAFT_NO_NODE;
    }
}

static void control_request_lease(struct control_client *client, uint64_t now_ms)
{
    if (client->lease_requested) {
        return;
    }
    client->lease_requested = true;
    Entry entry = {0};
    entry.which_command = Entry_gateway_lease_tag;
    entry.command.gateway_lease.gateway = client->config.node;
    entry.command.gateway_lease.boot_id = client->config.boot_id;
    control_submit_internal(client, now_ms, REQUEST_PROPOSE, Entry_fields, &entry);
}

static void control_request_config(struct control_client *client, uint64_t now_ms)
{
    if (client->config_requested) {
        return;
    }
    client->config_requested = true;
    ConfigQuery query = {.from_revision = client->store.revision};
    control_submit_internal(client, now_ms, REQUEST_CONFIG, ConfigQuery_fields, &query);
}

static void control_handle_heartbeat_reply(struct control_client *client, uint64_t now_ms, const HeartbeatReply *reply)
{
    if (reply->lease_ms == 0) {
        client->leaders[STATE_CONFIG_GROUP] = reply->leader;
        uint64_t pause_ms = reply->leader != RAFT_NO_NODE ? CONTROL_RETRY_MS : CONTROL_NO_LEADER_RETRY_MS;
        if (client->heartbeat_due_ms > now_ms + pause_ms) {
            client->heartbeat_due_ms = now_ms + pause_ms;
        }
        return;
    }
    client->leaders[STATE_CONFIG_GROUP] = reply->leader;
    if (reply->sent_ms != 0) {
        client->heartbeat_answered_ms = now_ms;
        bool renewed = reply->epoch != 0 && reply->epoch == client->epoch;
        uint64_t until = reply->sent_ms + reply->lease_ms;
        if (renewed && until > client->lease_until_ms) {
            client->lease_until_ms = until;
        }
        if (!renewed) {
            control_request_lease(client, now_ms);
        }
    }
    if (!client->config_known || reply->revision > client->store.revision) {
        control_request_config(client, now_ms);
    }
}

void control_client_record_received(struct control_client *client, uint64_t now_ms, uint32_t from)
{
    for (uint32_t group = 0; group < client->config.groups; group++) {
        if (client->leaders[group] == from) {
            client->leader_contact_ms[group] = now_ms;
        }
    }
}

void control_client_receive(struct control_client *client, uint64_t now_ms, uint32_t from, const Frame *frame)
{
    control_client_record_received(client, now_ms, from);
    switch (frame->which_payload) {
    case Frame_reply_tag: control_handle_reply(client, now_ms, from, &frame->payload.reply); break;
    case Frame_heartbeat_reply_tag:
        control_handle_heartbeat_reply(client, now_ms, &frame->payload.heartbeat_reply);
        break;
    default: break;
    }
}

/* Whether the leader to which the request was sent has sent other frames since: it is alive, but slow. */
static bool control_is_leader_slow(const struct control_client *client, uint64_t now_ms,
                                   const struct control_request *request)
{
    bool heard = request->target == client->leaders[request->group] &&
                 client->leader_contact_ms[request->group] > request->sent_ms;
    return heard && request->sent && now_ms < request->sent_ms + CONTROL_SLOW_LEADER_RESEND_MS;
}

void control_client_tick(struct control_client *client, uint64_t now_ms)
{
    if (!client->config.requests_only && now_ms >= client->heartbeat_due_ms) {
        control_send_heartbeat(client, now_ms);
    }
    struct control_request *request;
    struct control_request *next;
    HASH_ITER(hh, client->requests, request, next)
    {
        if (now_ms >= request->deadline_ms) {
            bool may_be_received = request->sent && !request->pinned;
            control_complete(client, request, may_be_received ? RESULT_TIMEOUT : RESULT_UNAVAILABLE, view_of(NULL, 0));
            continue;
        }
        if (now_ms >= request->next_ms && !control_is_leader_slow(client, now_ms, request)) {
            if (request->target == client->leaders[request->group]) {
                client->leaders[request->group] = RAFT_NO_NODE;
            }
            control_send_request(client, now_ms, request);
        }
    }
}
