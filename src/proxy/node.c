/* Site daemon: event loop, settings, readiness, start and stop. */
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
#include "proxy/client_limits.h"
#include "proxy/frontend.h"
#include "proxy/node_internal.h"
#include "proxy/node_metrics.h"
#include "proxy/state_host.h"

enum {
    NODE_EXIT_SETTINGS = 2,
    NODE_SETTINGS_CHECK_MS = 1000,
    NODE_DRAIN_ACCEPT_MS = 2200, /* since the stop began; until then the platform may open connections */
    NODE_END_MARGIN_MS = 600,    /* before the end of the grace period, requests under way are answered */
    NODE_STOP_MARGIN_MS = 400,   /* the same, the process exits */
    NODE_MAX_HEAD_BYTES = 16 << 10,
    NODE_IDLE_MS = 30000,
    NODE_OK = 200,
    NODE_NOT_READY = 503
};

uint64_t node_now(const struct node *node)
{
    return uv_now(&node->loop);
}

uint64_t node_real_now(void)
{
    return clock_monotonic_ms(); /* libuv uses this clock */
}

/* ---- Periodic work ---------------------------------------------------------------------------- */

static void node_log_freshness(struct node *node)
{
    bool fresh = node_is_fresh(node);
    if (fresh != node->logged_fresh) {
        node->logged_fresh = fresh;
        event_log(fresh ? "state_regained" : "state_lost", "{s:I,s:I,s:I}", "document_version",
                  (json_int_t)node->state.document_version, "servers_number", (json_int_t)node->state.servers_number,
                  "leader", (json_int_t)node->watch.leader);
    }
}

static bool node_seeds_differ(const struct yaml_list *a, const struct yaml_list *b)
{
    const struct node_seed *left = a->items;
    const struct node_seed *right = b->items;
    bool differ = a->count != b->count;
    for (size_t i = 0; !differ && i < a->count; i++) {
        differ = !text_equal(left[i].address, right[i].address);
    }
    return differ;
}

/* Applies changed seeds; other settings need a restart. `by_signal` is false for the periodic check. */
static void node_reload_settings(struct node *node, bool by_signal)
{
    struct node_settings loaded;
    struct findings findings = {0};
    node_settings_load(&loaded, node->settings_path, &findings);
    bool valid = findings.count == 0;
    bool changed = valid && node_seeds_differ(&node->settings.seeds, &loaded.seeds);
    if (changed) {
        struct yaml_list seeds = node->settings.seeds;
        node->settings.seeds = loaded.seeds;
        loaded.seeds = seeds;
        node_dial(node);
    }
    if (by_signal || changed || !valid) {
        event_log("reload", "{s:b,s:b,s:b,s:I}", "asked", by_signal, "valid", valid, "changed", changed, "seeds",
                  (json_int_t)node->settings.seeds.count);
    }
    findings_close(&findings);
    node_settings_close(&loaded);
}

/* The seeds in the file may change without a SIGHUP, so the file is read again while the state is not fresh. */
static void node_check_settings(struct node *node)
{
    if (node->settings_checked_ms == 0) {
        node->settings_checked_ms = node_now(node);
    }
    bool due = !node_is_fresh(node) && node_now(node) >= node->settings_checked_ms + NODE_SETTINGS_CHECK_MS;
    if (due) {
        node->settings_checked_ms = node_now(node);
        node_reload_settings(node, false);
    }
}

/* Whether the gateway waits for state replicas, for example to record the token usage of its last turns. */
static bool node_has_pending_requests(const struct node *node)
{
    return node->frontend != NULL && node->client.requests != NULL;
}

/* Stops the daemon once leadership is transferred, the platform sends no new requests and all requests have completed;
 * at the latest NODE_STOP_MARGIN_MS before the grace period ends. Requests that are still under way then have been
 * answered, as not run or as unknown. */
static void node_drain(struct node *node)
{
    uint64_t elapsed_ms = node_now(node) - node->drain_started_ms;
    bool expired = elapsed_ms + NODE_STOP_MARGIN_MS >= node->settings.grace_ms;
    bool transferring = node->host != NULL && state_host_transfer_leadership(node->host);
    if (node->frontend != NULL && elapsed_ms >= NODE_DRAIN_ACCEPT_MS) {
        frontend_stop_accepting(node->frontend); /* before frontend_is_busy(): no request may arrive after that check */
    }
    if (node->frontend != NULL && elapsed_ms + NODE_END_MARGIN_MS >= node->settings.grace_ms) {
        frontend_end_requests(node->frontend);
    }
    bool serving = node->frontend != NULL && (elapsed_ms < NODE_DRAIN_ACCEPT_MS || frontend_is_busy(node->frontend));
    if (expired || (!transferring && !serving && !node_has_pending_requests(node))) {
        node_stop(node);
    }
}

/* A late tick means that the process was stopped, starved of CPU or blocked on the disk. */
static void node_detect_stall(struct node *node)
{
    uint64_t gap_ms = node_now(node) - node->last_tick_ms;
    node->tick_delay_ms = node->last_tick_ms != 0 && gap_ms > NODE_TICK_MS ? gap_ms - NODE_TICK_MS : 0;
    uint64_t disk_wait_ms = node->host == NULL ? 0 : node->host->disk_wait_ms;
    if (node->last_tick_ms != 0 && gap_ms >= NODE_STALL_MS) {
        event_log("stalled", "{s:I,s:I}", "gap_ms", (json_int_t)gap_ms, "disk_ms",
                  (json_int_t)(disk_wait_ms - node->last_tick_disk_wait_ms));
        node->stall_end_ms = node_now(node);
    }
    node->last_tick_ms = node_now(node);
    node->last_tick_disk_wait_ms = disk_wait_ms;
}

static void node_on_tick(void *context)
{
    struct node *node = context;
    event_log_set_time(node_now(node), clock_wall_ms());
    node_detect_stall(node);
    links_tick(&node->links, node_now(node));
    control_client_tick(&node->client, node_now(node));
    if (node->host != NULL) {
        state_host_tick(node->host);
    }
    node_watch(node);
    node_fetch_machines(node);
    node_log_freshness(node);
    node_work_log(node);
    node_check_settings(node);
    if (node->frontend != NULL) {
        frontend_tick(node->frontend);
    }
    if (node->draining) {
        node_drain(node);
    }
}

static void node_on_prepare(uv_prepare_t *prepare)
{
    struct node *node = prepare->data;
    do {
        node_dispatch_local_frames(node);
        if (node->host != NULL) {
            state_host_before_wait(node->host);
        }
        if (node->frontend != NULL) {
            frontend_before_wait(node->frontend);
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
    node->drain_started_ms = node_now(node);
    event_log("stop_begins", "{s:i}", "signal", number);
    if (node->frontend != NULL) {
        frontend_drain(node->frontend);
    }
}

static void node_on_reload(uv_signal_t *signal, int number)
{
    (void)number;
    node_reload_settings(signal->data, true);
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
    if (node->frontend != NULL) {
        return frontend_is_ready(node->frontend);
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
    http_call_send_response(call, status, NULL, "text/plain", view_of_string(ready ? "ready\n" : "not ready\n"));
}

static void node_on_metrics_request(void *context, struct http_call *call)
{
    struct buffer text = {0};
    node_write_metrics(context, &text);
    http_call_send_response(call, NODE_OK, NULL, "text/plain; version=0.0.4", buffer_view(&text));
    buffer_close(&text);
}

static void node_on_disconnect(void *context, struct http_call *call)
{
    (void)context;
    (void)call;
}

static bool node_listen(struct node *node, const char *name, struct http_listener *listener, const char *text,
                        void (*request)(void *, struct http_call *))
{
    static const struct http_limits limits = {NODE_MAX_HEAD_BYTES, CLIENT_LIMITS_PROBE_BODY_BYTES, NODE_IDLE_MS,
                                              NODE_IDLE_MS, CLIENT_LIMITS_PROBE_BODIES_BYTES};
    struct address address;
    if (text_or_empty(text)[0] == '\0') {
        return true;
    }
    struct http_handler handler = {
        .name = name, .context = node, .request = request, .disconnected = node_on_disconnect};
    int result =
        address_parse(text, &address) ? http_listener_start(listener, &node->loop, &address, &handler, &limits) : -1;
    if (result != 0) {
        event_log("listen_failed", "{s:s,s:s}", "address", text, "error", uv_strerror(result));
    }
    client_limits_set_probes(node, &listener->shares);
    return result == 0;
}

/* ---- Start ---------------------------------------------------------------------------------------- */

static uint64_t node_random(void)
{
    uint64_t value = 0;
    ssize_t length = getrandom(&value, sizeof(value), 0);
    return length == (ssize_t)sizeof(value) && value != 0 ? value : clock_monotonic_us() | 1;
}

/* Called before a replica is restored, which may take long: without handlers, a signal would kill the process. Signals
 * received meanwhile are handled once the loop runs. */
static void node_open_signals(struct node *node)
{
    uv_signal_init(&node->loop, &node->terminate);
    uv_signal_init(&node->loop, &node->interrupt);
    uv_signal_init(&node->loop, &node->reload);
    node->terminate.data = node;
    node->interrupt.data = node;
    node->reload.data = node;
    uv_signal_start(&node->terminate, node_on_terminate, SIGTERM);
    uv_signal_start(&node->interrupt, node_on_terminate, SIGINT);
    uv_signal_start(&node->reload, node_on_reload, SIGHUP);
}

static void node_open_timers(struct node *node)
{
    uv_prepare_init(&node->loop, &node->prepare);
    node->prepare.data = node;
    tick_timer_start(&node->tick, &node->loop, NODE_TICK_MS, node_on_tick, node);
    uv_prepare_start(&node->prepare, node_on_prepare);
}

static bool node_open(struct node *node)
{
    bool replica = text_or_empty(node->settings.data)[0] != '\0';
    bool gateway = text_or_empty(node->settings.caller_address)[0] != '\0';
    node_open_signals(node);
    node->boot_id = node_random();
    route_table_set_secret(node_random());
    node->id = (uint32_t)node->boot_id | 1; /* never RAFT_NO_NODE */
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
        node->frontend = frontend_open(node);
        if (node->frontend == NULL) {
            return false;
        }
    }
    if (node->host != NULL && !state_host_listen(node->host)) {
        return false;
    }
    node_open_timers(node);
    return node_listen(node, "readiness", &node->ready, node->settings.ready_address, node_on_ready_request) &&
           node_listen(node, "metrics", &node->metrics, node->settings.metrics_address, node_on_metrics_request);
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

/* Once the handles are closed, the default action of a signal would end the process with its status. */
static void node_block_signals(void)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, NULL);
}

/* Requests are closed before the connections they use. `frontend` and `host` contain libuv handles: they are freed
 * after the loop has closed these. */
static void node_close(struct node *node)
{
    node_block_signals();
    if (node->frontend != NULL) {
        frontend_close(node->frontend);
    }
    http_listener_close(&node->ready);
    http_listener_close(&node->metrics);
    control_client_close(&node->client);
    machine_reader_close(&node->machine_reader);
    if (node->upstreams.loop != NULL) {
        upstream_close(&node->upstreams);
    }
    if (node->host != NULL) {
        state_host_close(node->host);
    }
    links_close(&node->links);
    watch_state_close(&node->state);
    while (node->local_first != NULL) {
        struct node_local_frame *next = node->local_first->next;
        buffer_close(&node->local_first->data);
        free(node->local_first);
        node->local_first = next;
    }
    uv_walk(&node->loop, node_close_handle, NULL);
    uv_run(&node->loop, UV_RUN_DEFAULT);
    uv_loop_close(&node->loop);
    free(node->frontend);
    free(node->host);
}

static int node_serve(struct node *node)
{
    enum log_level level = LOG_LEVEL_WARN;
    log_level_parse(node->settings.log_level, &level);
    node->memory = memory_budget_of((size_t)node->settings.memory_mb << 20);
    event_log_open(node->settings.name, (uint32_t)node->settings.log_lines_per_s);
    event_log_set_time(clock_monotonic_ms(), clock_wall_ms());
    log_redirect(level, node_log_line);
    uv_loop_init(&node->loop);
    node->links.listener = -1;
    node->links.epoll = -1;
    int status = EXIT_FAILURE;
    if (node_open(node)) {
        event_log("start", "{s:I,s:i,s:b,s:b,s:b}", "id", (json_int_t)node->id, "level", LINKS_FEATURE_LEVEL, "replica",
                  node->host != NULL, "gateway", node->frontend != NULL, "bootstrap", node->settings.bootstrap);
        uv_run(&node->loop, UV_RUN_DEFAULT);
        node_on_prepare(&node->prepare);
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
