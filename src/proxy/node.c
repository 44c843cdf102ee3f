/* The daemon: event loop, links, requests to the leader, the watch, stopping. */
#include "proxy/node.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/event_log.h"
#include "base/log.h"
#include "base/message.h"
#include "proxy/front.h"
#include "proxy/node_metrics.h"
#include "proxy/peer_loop.h"
#include "proxy/state_host.h"

enum {
    NODE_EXIT_SETTINGS = 2,
    NODE_SETTINGS_CHECK_MS = 1000,
    NODE_LEAVE_MS = 2200, /* time after which the platform sends no new connections */
    NODE_STOP_MARGIN_MS = 400,
    NODE_MAX_HEAD = 16 << 10,
    NODE_MAX_BODY = 1 << 16,
    NODE_IDLE_MS = 30000,
    NODE_OK = 200,
    NODE_NOT_READY = 503
};

static const char NODE_CLUSTER[] = "site";

uint64_t node_now(const struct node *node)
{
    return uv_now(&node->loop);
}

/* ---- Frames ------------------------------------------------------------------------ */

static void node_queue_local(struct node *node, struct view frame)
{
    struct node_frame *local = memory_new(sizeof(*local));
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

static void node_dispatch(struct node *node, uint32_t from, const Frame *frame)
{
    switch (frame->which_payload) {
    case Frame_reply_tag: control_client_receive(&node->client, node_now(node), from, frame); break;
    case Frame_watch_update_tag: {
        struct watch_changes changes =
            watch_client_receive(&node->watch, node_now(node), from, &frame->payload.watch_update, &node->state);
        node_state_changed(node, changes);
        break;
    }
    case Frame_load_totals_tag:
        if (node->front != NULL) {
            server_table_take_loads(&node->front->servers, node_now(node), &frame->payload.load_totals);
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
    node->heard_ms = node_now(node);
    node_dispatch(node, from, frame);
}

static void node_handle_local(struct node *node)
{
    while (node->local_first != NULL) {
        struct node_frame *local = node->local_first;
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

struct node_request *node_ask(struct node *node, uint32_t replica, RequestKind kind, struct view body,
                              uint64_t deadline_ms, node_reply reply, void *context)
{
    struct node_request *request = node_request_new(reply, context);
    control_client_ask(&node->client, node_now(node), replica, STATE_CONFIG_GROUP, kind, body, deadline_ms, request);
    return request;
}

void node_forget(struct node *node, struct node_request *request)
{
    (void)node;
    if (request != NULL) {
        request->reply = NULL;
    }
}

/* ---- Peers ------------------------------------------------------------------------------- */

static void node_place(const struct node *node, struct raft_member_place *place)
{
    struct address own;
    char text[64];
    memset(place, 0, sizeof(*place));
    snprintf(text, sizeof(text), "%s:%llu", node->settings.ip, (unsigned long long)node->settings.peer_port);
    if (address_parse(text, &own)) {
        place->ip = ntohl(own.socket.sin_addr.s_addr);
        place->port = own.port;
    }
    snprintf(place->name, sizeof(place->name), "%s", node->settings.name);
    snprintf(place->zone, sizeof(place->zone), "%s", text_or_empty(node->settings.zone));
}

static void node_address(uint32_t ip, uint16_t port, struct address *address)
{
    memset(address, 0, sizeof(*address));
    address->socket.sin_family = AF_INET;
    address->socket.sin_port = htons(port);
    address->socket.sin_addr.s_addr = htonl(ip);
    address->port = port;
    snprintf(address->ip, sizeof(address->ip), "%u.%u.%u.%u", ip >> 24, (ip >> 16) & 255, (ip >> 8) & 255, ip & 255);
}

static uint32_t node_add_address(const struct node *node, struct address *addresses, uint32_t count,
                                 const struct address *address)
{
    bool own = strcmp(address->ip, node->settings.ip) == 0 && address->port == node->settings.peer_port;
    for (uint32_t i = 0; i < count; i++) {
        own = own || (strcmp(addresses[i].ip, address->ip) == 0 && addresses[i].port == address->port);
    }
    if (own || count == RAFT_MAX_MEMBERS) {
        return count;
    }
    addresses[count] = *address;
    return count + 1;
}

void node_dial(struct node *node)
{
    struct address addresses[RAFT_MAX_MEMBERS];
    struct address address;
    uint32_t count = 0;
    const struct raft_members *members = &node->state.members;
    for (uint32_t i = 0; i < members->count; i++) {
        if (members->places[i].ip != 0) {
            node_address(members->places[i].ip, members->places[i].port, &address);
            count = node_add_address(node, addresses, count, &address);
        }
    }
    const struct node_seed *seeds = node->settings.seeds.items;
    for (size_t i = 0; i < node->settings.seeds.count; i++) {
        if (address_parse(seeds[i].address, &address)) {
            node_address(ntohl(address.socket.sin_addr.s_addr), (uint16_t)node->settings.peer_port, &address);
            count = node_add_address(node, addresses, count, &address);
        }
    }
    links_dial_only(&node->links, addresses, count);
}

void node_peers_changed(struct node *node)
{
    uint32_t nodes[RAFT_MAX_MEMBERS + 1];
    struct raft_member_place places[RAFT_MAX_MEMBERS + 1];
    struct watch_candidate candidates[RAFT_MAX_MEMBERS];
    uint32_t count = links_replicas(&node->links, nodes, places, RAFT_MAX_MEMBERS - 1);
    for (uint32_t i = 0; i < count; i++) {
        candidates[i].node = nodes[i];
        candidates[i].same_zone = text_equal(places[i].zone, node->settings.zone);
    }
    if (node->host == NULL) {
        watch_client_set_candidates(&node->watch, candidates, count);
    } else if (node->host->running) {
        nodes[count++] = node->id;
    }
    control_client_set_replicas(&node->client, nodes, count);
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
    node_peers_changed(node);
    control_client_disconnected(&node->client, node_now(node), peer);
}

/* ---- What is known of the site -------------------------------------------------------------- */

void node_state_changed(struct node *node, struct watch_changes changes)
{
    if (changes.members) {
        node_dial(node);
    }
    if (node->front != NULL && changes.document) {
        front_take_configuration(node->front);
    }
    if (node->front != NULL && changes.servers) {
        front_take_servers(node->front);
    }
}

bool node_is_fresh(const struct node *node)
{
    if (node->host != NULL && node->host->running) {
        return replica_is_fresh(&node->host->replica, STATE_CONFIG_GROUP, node_now(node));
    }
    return watch_client_is_fresh(&node->watch, node_now(node), NODE_FRESH_MS);
}

uint64_t node_state_age(const struct node *node)
{
    return node->host != NULL ? 0 : node_now(node) - node->watch.fresh_ms;
}

bool node_is_isolated(const struct node *node)
{
    return node->host == NULL && node_now(node) >= node->heard_ms + NODE_ISOLATED_MS;
}

/* A replica watches its leader, for the list of servers; a gateway the nearest replica. */
static void node_watch(struct node *node)
{
    if (node->host != NULL) {
        struct watch_candidate leader = {.node = state_host_leader(node->host)};
        bool other = leader.node != RAFT_NO_NODE && leader.node != node->id;
        watch_client_set_candidates(&node->watch, &leader, other ? 1 : 0);
    }
    Frame frame = {0};
    frame.which_payload = Frame_watch_tag;
    if (watch_client_tick(&node->watch, node_now(node), &node->state, &frame.payload.watch)) {
        node_send_frame(node, node->watch.target, &frame);
    }
}

static void node_on_servers_read(void *context, struct view encoded)
{
    struct node *node = context;
    if (node->host != NULL) {
        state_host_take_servers(node->host, encoded);
    } else if (node->front != NULL && !node_is_fresh(node)) {
        front_take_own_servers(node->front, encoded);
    }
}

/* The leader reads the list for all; a gateway that reaches no sound replica reads it itself. */
static void node_read_machines(struct node *node)
{
    bool leads = node->host != NULL && state_host_leads(node->host);
    bool alone = node->host == NULL && !node_is_fresh(node);
    node->machines.period_ms = leads ? node->settings.list_period_ms : NODE_OWN_LIST_PERIOD_MS;
    machine_reader_tick(&node->machines, node_now(node), leads || alone);
}

/* ---- Time ------------------------------------------------------------------------------------- */

static void node_report_freshness(struct node *node)
{
    bool fresh = node_is_fresh(node);
    if (fresh != node->fresh_told) {
        node->fresh_told = fresh;
        event_log(fresh ? "state_regained" : "state_lost", "{s:I,s:I,s:I}", "document_version",
                  (json_int_t)node->state.document_version, "servers_number", (json_int_t)node->state.servers_number,
                  "leader", (json_int_t)node->watch.leader);
    }
}

/* The settings may change with no signal; only the seeds are taken anew. */
static void node_reload(struct node *node)
{
    struct node_settings fresh;
    struct findings findings = {0};
    node_settings_load(&fresh, node->settings_path, &findings);
    if (findings.count == 0) {
        struct yaml_list seeds = node->settings.seeds;
        node->settings.seeds = fresh.seeds;
        fresh.seeds = seeds;
        node_dial(node);
    }
    event_log("reload", "{s:b,s:I}", "valid", findings.count == 0, "seeds", (json_int_t)node->settings.seeds.count);
    findings_close(&findings);
    node_settings_close(&fresh);
}

static void node_check_settings(struct node *node)
{
    if (node->settings_checked_ms == 0) {
        node->settings_checked_ms = node_now(node);
    }
    bool due = !node_is_fresh(node) && node_now(node) >= node->settings_checked_ms + NODE_SETTINGS_CHECK_MS;
    if (due) {
        node->settings_checked_ms = node_now(node);
        node_reload(node);
    }
}

/* A gateway stops when its requests have ended and the platform sends no new ones. */
static void node_drain(struct node *node)
{
    uint64_t since_ms = node_now(node) - node->drain_since_ms;
    bool late = since_ms + NODE_STOP_MARGIN_MS >= node->settings.grace_ms;
    bool handing_over = node->host != NULL && state_host_hand_over(node->host);
    bool serving = node->front != NULL && (since_ms < NODE_LEAVE_MS || front_is_busy(node->front));
    if (node->front != NULL && since_ms >= NODE_LEAVE_MS) {
        front_stop_accepting(node->front);
    }
    if (late || (!handing_over && !serving)) {
        node_stop(node);
    }
}

static void node_on_tick(uv_timer_t *timer)
{
    struct node *node = timer->data;
    event_log_time(node_now(node), clock_wall_ms());
    links_round(&node->links, node_now(node));
    control_client_tick(&node->client, node_now(node));
    if (node->host != NULL) {
        state_host_tick(node->host);
    }
    node_watch(node);
    node_read_machines(node);
    node_report_freshness(node);
    node_check_settings(node);
    if (node->front != NULL) {
        front_tick(node->front);
    }
    if (node->draining) {
        node_drain(node);
    }
}

static void node_on_settle(uv_prepare_t *prepare)
{
    struct node *node = prepare->data;
    do {
        node_handle_local(node);
        if (node->host != NULL) {
            state_host_settle(node->host);
        }
    } while (node->local_first != NULL);
    links_flush(&node->links);
    event_log_flush();
}

static void node_on_terminate(uv_signal_t *signal, int number)
{
    struct node *node = signal->data;
    if (node->draining) {
        return;
    }
    node->draining = true;
    node->drain_since_ms = node_now(node);
    event_log("stop_begins", "{s:i}", "signal", number);
    if (node->front != NULL) {
        front_drain(node->front);
    }
}

static void node_on_reload(uv_signal_t *signal, int number)
{
    (void)number;
    node_reload(signal->data);
}

void node_stop(struct node *node)
{
    uv_stop(&node->loop);
}

/* ---- Readiness ---------------------------------------------------------------------------------- */

static bool node_is_ready(const struct node *node)
{
    if (node->draining) {
        return false;
    }
    if (node->front != NULL) {
        return front_is_ready(node->front);
    }
    return node->host != NULL && node->host->running && node_is_fresh(node);
}

static void node_on_ready_request(void *context, struct http_call *call)
{
    struct node *node = context;
    struct view target = call->request->target;
    bool known = target.length == strlen(node->dialect->ready_path) &&
                 memcmp(target.data, node->dialect->ready_path, target.length) == 0;
    bool ready = node_is_ready(node);
    int status = !known ? 404 : ready ? NODE_OK : NODE_NOT_READY;
    http_call_reply(call, status, NULL, "text/plain", view_of_string(ready ? "ready\n" : "not ready\n"));
}

static void node_on_metrics_request(void *context, struct http_call *call)
{
    struct buffer text = {0};
    node_write_metrics(context, &text);
    http_call_reply(call, NODE_OK, NULL, "text/plain; version=0.0.4", buffer_view(&text));
    buffer_close(&text);
}

static void node_on_gone(void *context, struct http_call *call)
{
    (void)context;
    (void)call;
}

static bool node_listen(struct node *node, struct http_listener *listener, const char *text,
                        void (*request)(void *, struct http_call *))
{
    static const struct http_limits limits = {NODE_MAX_HEAD, NODE_MAX_BODY, NODE_IDLE_MS, NODE_IDLE_MS};
    struct address address;
    if (text_or_empty(text)[0] == '\0') {
        return true;
    }
    struct http_handler handler = {.context = node, .request = request, .gone = node_on_gone};
    int result =
        address_parse(text, &address) ? http_listener_start(listener, &node->loop, &address, &handler, &limits) : -1;
    if (result != 0) {
        event_log("listen_failed", "{s:s,s:s}", "address", text, "error", uv_strerror(result));
    }
    return result == 0;
}

/* ---- Start ---------------------------------------------------------------------------------------- */

static uint64_t node_random(void)
{
    uint64_t value = 0;
    ssize_t got = getrandom(&value, sizeof(value), 0);
    return got == (ssize_t)sizeof(value) && value != 0 ? value : clock_monotonic_us() | 1;
}

static bool node_open_links(struct node *node)
{
    struct links_config config = {
        .cluster = NODE_CLUSTER,
        .zone = text_or_empty(node->settings.zone),
        .node = node->id,
        .boot_id = node->boot_id,
        .listens = node->host != NULL,
        .replica = node->host != NULL,
    };
    struct links_handler handler = {
        .context = node,
        .frame = node_on_frame,
        .disconnected = node_on_disconnected,
        .connected = node_on_connected,
    };
    node->watcher = peer_loop_watcher(&node->loop);
    node_place(node, &config.place);
    node_address(config.place.ip, config.place.port, &config.listen);
    config.watcher = &node->watcher;
    if (!links_init(&node->links, &config, &handler)) {
        event_log("listen_failed", "{s:s}", "error", node->links.error);
        return false;
    }
    return true;
}

static void node_open_client(struct node *node)
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
    node->machines.pool = &node->upstreams;
    node->machines.dialect = node->dialect;
    node->machines.context = node;
    node->machines.done = node_on_servers_read;
    address_parse(node->settings.machine_list, &node->machines.address);
}

static void node_open_timers(struct node *node)
{
    uv_timer_init(&node->loop, &node->tick);
    uv_prepare_init(&node->loop, &node->settle);
    uv_signal_init(&node->loop, &node->terminate);
    uv_signal_init(&node->loop, &node->interrupt);
    uv_signal_init(&node->loop, &node->reload);
    node->tick.data = node;
    node->settle.data = node;
    node->terminate.data = node;
    node->interrupt.data = node;
    node->reload.data = node;
    uv_timer_start(&node->tick, node_on_tick, 0, NODE_TICK_MS);
    uv_prepare_start(&node->settle, node_on_settle);
    uv_signal_start(&node->terminate, node_on_terminate, SIGTERM);
    uv_signal_start(&node->interrupt, node_on_terminate, SIGINT);
    uv_signal_start(&node->reload, node_on_reload, SIGHUP);
}

static bool node_open(struct node *node)
{
    bool replica = text_or_empty(node->settings.data)[0] != '\0';
    bool gateway = text_or_empty(node->settings.caller_address)[0] != '\0';
    node->boot_id = node_random();
    node->id = (uint32_t)node->boot_id | 1;
    if (replica) {
        node->host = state_host_open(node);
        if (node->host == NULL) {
            return false;
        }
        node->id = node->host->identity.node;
    }
    upstream_init(&node->upstreams, &node->loop);
    if (!node_open_links(node)) {
        return false;
    }
    node_open_client(node);
    node_dial(node);
    node_peers_changed(node);
    if (gateway) {
        node->front = front_open(node);
        if (node->front == NULL) {
            return false;
        }
    }
    if (node->host != NULL && !state_host_listen(node->host)) {
        return false;
    }
    node_open_timers(node);
    return node_listen(node, &node->ready, node->settings.ready_address, node_on_ready_request) &&
           node_listen(node, &node->metrics, node->settings.metrics_address, node_on_metrics_request);
}

static void node_log_line(enum log_level level, const char *part, const char *text)
{
    event_log("message", "{s:s,s:s,s:s}", "level", log_level_name(level), "part", part, "text", text);
}

static void node_close_handle(uv_handle_t *handle, void *context)
{
    (void)context;
    if (!uv_is_closing(handle)) {
        uv_close(handle, NULL);
    }
}

/* Requests end first, then what they use; memory that holds handles goes last. */
static void node_close(struct node *node)
{
    if (node->front != NULL) {
        front_close(node->front);
    }
    http_listener_close(&node->ready);
    http_listener_close(&node->metrics);
    control_client_close(&node->client);
    machine_reader_close(&node->machines);
    if (node->upstreams.loop != NULL) {
        upstream_close(&node->upstreams);
    }
    if (node->host != NULL) {
        state_host_close(node->host);
    }
    links_close(&node->links);
    watch_state_close(&node->state);
    while (node->local_first != NULL) {
        struct node_frame *next = node->local_first->next;
        buffer_close(&node->local_first->data);
        free(node->local_first);
        node->local_first = next;
    }
    uv_walk(&node->loop, node_close_handle, NULL);
    uv_run(&node->loop, UV_RUN_DEFAULT);
    uv_loop_close(&node->loop);
    free(node->front);
    free(node->host);
}

static int node_serve(struct node *node)
{
    enum log_level level = LOG_LEVEL_WARN;
    log_level_parse(node->settings.log_level, &level);
    event_log_open(node->settings.name, (uint32_t)node->settings.log_lines_per_s);
    event_log_time(clock_monotonic_ms(), clock_wall_ms());
    log_redirect(level, node_log_line);
    uv_loop_init(&node->loop);
    node->links.listener = -1;
    node->links.epoll = -1;
    int status = EXIT_FAILURE;
    if (node_open(node)) {
        event_log("start", "{s:I,s:b,s:b,s:b}", "id", (json_int_t)node->id, "replica", node->host != NULL, "gateway",
                  node->front != NULL, "bootstrap", node->settings.bootstrap);
        uv_run(&node->loop, UV_RUN_DEFAULT);
        node_on_settle(&node->settle);
        event_log("stop", "{s:b}", "asked", node->draining);
        status = node->draining ? EXIT_SUCCESS : EXIT_FAILURE;
    }
    node_close(node);
    event_log_close();
    return status;
}

int node_run(const struct dialect *dialect, const char *settings_path)
{
    struct node *node = memory_new(sizeof(*node));
    struct findings findings = {0};
    int status = NODE_EXIT_SETTINGS;
    signal(SIGPIPE, SIG_IGN);
    node->dialect = dialect;
    node->settings_path = settings_path;
    node_settings_load(&node->settings, settings_path, &findings);
    if (findings.count == 0) {
        status = node_serve(node);
    } else {
        struct buffer report = {0};
        findings_report(&findings, &report);
        fprintf(stderr, "%s", buffer_text(&report));
        buffer_close(&report);
    }
    findings_close(&findings);
    node_settings_close(&node->settings);
    free(node);
    return status;
}
