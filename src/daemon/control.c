#include "daemon/control.h"

#include <errno.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/message.h"
#include "core/control_client.h"
#include "daemon/config_view.h"
#include "net/links.h"
#include "store/file.h"
#include "store/history_store.h"
#include "store/log_store.h"
#include "store/replica_disk.h"
#include "store/replica_restore.h"

enum { CONTROL_TICK_MS = 10, CONTROL_TRANSFER_TIMEOUT_MS = 3000 };

static const char CONTROL_LOG[] = "control";
static const char STATE_LOG[] = "state";

/* A request submitted by another thread. */
struct control_task {
    uint32_t group;
    RequestKind kind;
    struct view body;
    uint64_t deadline_ms;
    bool async; /* no thread waits: body and task are freed on completion */
    bool done;
    ResultCode code;
    struct buffer *reply;
    pthread_cond_t finished;
    struct control_task *next;
};

/* A frame that this node sent to itself. */
struct control_local_frame {
    struct buffer data;
    struct control_local_frame *next;
};

struct control {
    const struct settings *settings;
    pthread_t thread;
    pthread_mutex_t lock;            /* guards the fields up to `status` */
    struct control_task *first_task; /* queue of submitted tasks */
    struct control_task *last_task;
    bool stopping;
    bool draining;
    struct control_status status;
    int wake_event;          /* eventfd that wakes the thread */
    uint64_t lease_until_ms; /* atomic */
    uint64_t epoch;          /* atomic */
    /* The fields below are used by the control thread only. */
    bool has_replica;
    struct replica replica;
    struct log_store log_store;
    struct history_store history_store;
    struct control_client client;
    struct links links;
    struct control_local_frame *local_first;
    struct control_local_frame *local_last;
    uint64_t now_ms;
};

/* ---- Callbacks of replica and control client ----------------------------------- */

static void control_queue_local(struct control *control, struct view frame)
{
    struct control_local_frame *local = memory_new(sizeof(*local));
    buffer_append(&local->data, frame.data, frame.length);
    if (control->local_last == NULL) {
        control->local_first = local;
    } else {
        control->local_last->next = local;
    }
    control->local_last = local;
}

static bool control_send(void *context, uint32_t to, struct view frame)
{
    struct control *control = context;
    if (to == control->settings->node) {
        control_queue_local(control, frame);
        return true;
    }
    return links_send(&control->links, to, frame);
}

static void control_replica_send(void *context, uint32_t to, struct view frame)
{
    control_send(context, to, frame);
}

static enum replica_sync_result control_on_sync(void *context)
{
    struct control *control = context;
    if (control->history_store.failed) {
        log_error(STATE_LOG, "stopped acknowledging: %s", control->history_store.error);
        return REPLICA_SYNC_FAILED;
    }
    if (!log_store_sync(&control->log_store)) {
        log_error(STATE_LOG, "stopped acknowledging: %s", control->log_store.error);
        return control->log_store.failed ? REPLICA_SYNC_FAILED : REPLICA_SYNC_BLOCKED;
    }
    return REPLICA_SYNC_DONE;
}

static void control_on_digest_compared(void *context, uint32_t group, uint32_t node, uint64_t index, bool differs)
{
    (void)context;
    if (differs) {
        log_error(STATE_LOG, "the state of node %u differs from this leader's at index %llu of group %u", node,
                  (unsigned long long)index, group);
    } else {
        log_warn(STATE_LOG, "the state of node %u equals this leader's again at index %llu of group %u", node,
                 (unsigned long long)index, group);
    }
}

static bool control_on_snapshot_begin(void *context, uint32_t group, const struct raft_snapshot *snapshot)
{
    return log_store_snapshot_begin(&((struct control *)context)->log_store, group, snapshot);
}

static bool control_on_snapshot_commit(void *context, uint32_t group, bool reset_log)
{
    struct control *control = context;
    if (!history_store_sync(&control->history_store)) {
        log_error(STATE_LOG, "snapshot of group %u failed: %s", group, control->history_store.error);
        log_store_snapshot_abort(&control->log_store, group);
        return false;
    }
    if (!log_store_snapshot_commit(&control->log_store, group, reset_log)) {
        log_error(STATE_LOG, "snapshot of group %u failed: %s", group, control->log_store.error);
        return false;
    }
    const snapshot_file_t *stored = &control->log_store.groups[group].stored;
    log_info(STATE_LOG, "snapshot of group %u at entry %llu, %llu bytes", group,
             (unsigned long long)stored->snapshot.index, (unsigned long long)stored->state_length);
    return true;
}

static void control_on_complete(void *context, void *token, ResultCode code, struct view body)
{
    struct control *control = context;
    struct control_task *task = token;
    if (task->async) {
        free((void *)(uintptr_t)task->body.data);
        free(task);
        return;
    }
    pthread_mutex_lock(&control->lock);
    task->code = code;
    buffer_append(task->reply, body.data, body.length);
    task->done = true;
    pthread_cond_signal(&task->finished);
    pthread_mutex_unlock(&control->lock);
}

static void control_on_config(void *context, const struct config_store *store)
{
    (void)context;
    config_view_publish(config_view_make(store));
    log_debug(CONTROL_LOG, "applied configuration revision %llu", (unsigned long long)store->revision);
}

/* ---- Frames ---------------------------------------------------------------------- */

static void control_dispatch(struct control *control, uint32_t from, const Frame *frame)
{
    bool for_client = frame->which_payload == Frame_reply_tag || frame->which_payload == Frame_heartbeat_reply_tag;
    if (for_client) {
        control_client_receive(&control->client, control->now_ms, from, frame);
    } else if (control->has_replica) {
        replica_receive(&control->replica, control->now_ms, from, frame);
    }
}

static void control_on_frame(void *context, uint32_t from, const Frame *frame)
{
    control_dispatch(context, from, frame);
}

static void control_on_disconnect(void *context, uint32_t node)
{
    struct control *control = context;
    control_client_disconnected(&control->client, control->now_ms, node);
}

static void control_handle_local(struct control *control)
{
    while (control->local_first != NULL) {
        struct control_local_frame *local = control->local_first;
        control->local_first = local->next;
        if (control->local_first == NULL) {
            control->local_last = NULL;
        }
        Frame frame = {0};
        if (message_decode(buffer_view(&local->data), Frame_fields, &frame)) {
            control_dispatch(control, (uint32_t)control->settings->node, &frame);
            message_free(Frame_fields, &frame);
        }
        buffer_close(&local->data);
        free(local);
    }
}

/* ---- Thread -------------------------------------------------------------------- */

static void control_submit_tasks(struct control *control)
{
    uint64_t wake_count;
    ssize_t ignored = read(control->wake_event, &wake_count, sizeof(wake_count));
    (void)ignored;
    pthread_mutex_lock(&control->lock);
    struct control_task *task = control->first_task;
    control->first_task = NULL;
    control->last_task = NULL;
    control->client.draining = control->draining;
    pthread_mutex_unlock(&control->lock);
    while (task != NULL) {
        struct control_task *next = task->next;
        control_client_submit(&control->client, control->now_ms, task->group, task->kind, task->body, task->deadline_ms,
                              task);
        task = next;
    }
}

static void control_fill_group(const struct replica *replica, uint32_t group, GroupStatus *status)
{
    const struct raft *raft = &replica->groups[group].raft;
    status->group = group;
    status->term = raft->term;
    status->leader = raft->leader;
    status->commit_index = raft->commit;
    status->applied_index = raft->applied;
    status->is_leader = raft_is_leader(raft);
    status->voters = raft_voter_count(&raft->members);
    status->learners = raft->members.count - status->voters;
}

static void control_publish_status(struct control *control)
{
    bool ready = control_client_has_lease(&control->client, control->now_ms);
    __atomic_store_n(&control->lease_until_ms, ready ? control->client.lease_until_ms : 0, __ATOMIC_RELEASE);
    __atomic_store_n(&control->epoch, control->client.epoch, __ATOMIC_RELEASE);
    pthread_mutex_lock(&control->lock);
    struct control_status *status = &control->status;
    status->ready = ready;
    status->epoch = control->client.epoch;
    status->revision = control->client.store.revision;
    status->client_messages = control->client.messages_sent;
    status->client_bytes = control->client.bytes_sent;
    status->link_bytes_in = control->links.bytes_in;
    status->link_bytes_out = control->links.bytes_out;
    status->link_frames_in = control->links.frames_in;
    status->link_frames_out = control->links.frames_out;
    if (control->has_replica) {
        status->group_count = control->replica.config.groups;
        status->counters = control->replica.counters;
        status->programs = 0;
        for (uint32_t group = 0; group < status->group_count; group++) {
            control_fill_group(&control->replica, group, &status->groups[group]);
            status->programs += ledger_count(&control->replica.groups[group].machine.ledger);
        }
    }
    pthread_mutex_unlock(&control->lock);
}

/* Repeats until no local frame is pending, since a flush of the replica may queue more. */
static void control_process_pending(struct control *control)
{
    do {
        control_handle_local(control);
        if (control->has_replica) {
            replica_flush(&control->replica, control->now_ms);
        }
    } while (control->local_first != NULL);
    links_flush(&control->links);
}

static void control_run_once(struct control *control, int timeout_ms)
{
    links_poll(&control->links, control->now_ms, timeout_ms);
    control->now_ms = clock_monotonic_ms();
    control_submit_tasks(control);
    if (control->has_replica) {
        control->replica.wall_offset_ms = clock_wall_ms() - control->now_ms;
        replica_tick(&control->replica, control->now_ms);
    }
    control_client_tick(&control->client, control->now_ms);
    control_process_pending(control);
    control_publish_status(control);
}

static bool control_is_stopping(struct control *control)
{
    pthread_mutex_lock(&control->lock);
    bool stopping = control->stopping;
    pthread_mutex_unlock(&control->lock);
    return stopping;
}

static void control_transfer_leaderships(struct control *control)
{
    uint64_t deadline_ms = clock_monotonic_ms() + CONTROL_TRANSFER_TIMEOUT_MS;
    if (!control->has_replica) {
        return;
    }
    while (control->now_ms < deadline_ms && replica_transfer_all(&control->replica, control->now_ms)) {
        control_run_once(control, CONTROL_TICK_MS);
    }
}

static void *control_run(void *argument)
{
    struct control *control = argument;
    if (control->has_replica) {
        replica_start(&control->replica, control->now_ms);
    }
    while (!control_is_stopping(control)) {
        control_run_once(control, CONTROL_TICK_MS);
    }
    control_transfer_leaderships(control);
    return NULL;
}

/* ---- Start ----------------------------------------------------------------------------- */

static bool control_open_replica(struct control *control, uint64_t boot_id)
{
    const struct settings *settings = control->settings;
    struct history_io history = history_store_io(&control->history_store);
    struct replica_io io = {
        .context = control,
        .sync = control_on_sync,
        .digest_compared = control_on_digest_compared,
        .snapshot_begin = control_on_snapshot_begin,
        .snapshot_commit = control_on_snapshot_commit,
        .send = control_replica_send,
    };
    replica_disk_set_callbacks(&io, &control->log_store);
    struct replica_config config = {
        .node = (uint32_t)settings->node,
        .groups = (uint32_t)settings->groups,
        .election_timeout_ms = (uint32_t)settings->election_timeout_ms,
        .heartbeat_ms = (uint32_t)settings->heartbeat_ms,
        .lease_ms = (uint32_t)settings->lease_ms,
        .seed = boot_id,
    };
    settings_members(settings, &config.members);
    char *log_folder = file_path(settings->data, "log");
    char *history_folder = file_path(settings->data, "history");
    bool opened = false;
    if (!history_store_open(&control->history_store, history_folder)) {
        log_error(STATE_LOG, "cannot start: %s", control->history_store.error);
        goto out;
    }
    replica_init(&control->replica, &config, &io, &history);
    control->has_replica = true;
    if (!replica_restore_log(&control->replica, &control->log_store, log_folder)) {
        log_error(STATE_LOG, "cannot start: %s", control->log_store.error);
        goto out;
    }
    history_store_sweep(&control->history_store);
    opened = true;
out:
    free(log_folder);
    free(history_folder);
    return opened;
}

static bool control_open_links(struct control *control, uint64_t boot_id)
{
    const struct settings *settings = control->settings;
    struct links_config config = {
        .cluster = settings->cluster,
        .zone = settings->zone,
        .node = (uint32_t)settings->node,
        .boot_id = boot_id,
    };
    config.listens = settings->state_role && address_parse(settings->peer_address, &config.listen);
    struct links_handler handler = {
        .context = control,
        .frame = control_on_frame,
        .disconnected = control_on_disconnect,
    };
    if (!links_init(&control->links, &config, &handler)) {
        log_error(CONTROL_LOG, "cannot start: %s", control->links.error);
        return false;
    }
    const struct settings_replica *replicas = settings->replicas.items;
    for (size_t i = 0; i < settings->replicas.count; i++) {
        struct address address;
        if (replicas[i].node != settings->node && address_parse(replicas[i].address, &address)) {
            links_add_peer(&control->links, (uint32_t)replicas[i].node, &address);
        }
    }
    links_watch_fd(&control->links, control->wake_event);
    return true;
}

static void control_open_client(struct control *control, uint64_t boot_id)
{
    const struct settings *settings = control->settings;
    const struct settings_replica *replicas = settings->replicas.items;
    struct control_client_config config = {
        .node = (uint32_t)settings->node,
        .boot_id = boot_id,
        .groups = (uint32_t)settings->groups,
    };
    for (size_t i = 0; i < settings->replicas.count; i++) {
        config.replicas[config.replica_count++] = (uint32_t)replicas[i].node;
    }
    if (config.replica_count == 0) {
        config.replicas[config.replica_count++] = config.node;
    }
    struct control_client_io io = {
        .context = control,
        .send = control_send,
        .complete = control_on_complete,
        .config_changed = control_on_config,
    };
    control_client_init(&control->client, &config, &io);
}

static void control_free(struct control *control)
{
    /* Closing the client completes all submitted tasks; those still queued are submitted first. */
    control_submit_tasks(control);
    control_client_close(&control->client);
    links_close(&control->links);
    if (control->has_replica) {
        replica_close(&control->replica);
        log_store_close(&control->log_store);
        history_store_close(&control->history_store);
    }
    if (control->wake_event >= 0) {
        close(control->wake_event);
    }
    while (control->local_first != NULL) {
        struct control_local_frame *local = control->local_first;
        control->local_first = local->next;
        buffer_close(&local->data);
        free(local);
    }
    pthread_mutex_destroy(&control->lock);
    free(control);
}

struct control *control_start(const struct settings *settings, uint64_t boot_id)
{
    struct control *control = memory_new(sizeof(*control));
    control->settings = settings;
    control->now_ms = clock_monotonic_ms();
    control->links.listener = -1;
    control->links.epoll = -1;
    pthread_mutex_init(&control->lock, NULL);
    control->wake_event = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    control_open_client(control, boot_id);
    if (settings->state_role && !control_open_replica(control, boot_id)) {
        goto fail;
    }
    if (!control_open_links(control, boot_id)) {
        goto fail;
    }
    if (pthread_create(&control->thread, NULL, control_run, control) != 0) {
        log_error(CONTROL_LOG, "cannot start the control thread");
        goto fail;
    }
    return control;
fail:
    control_free(control);
    return NULL;
}

/* ---- Functions called by other threads -------------------------------------------------------------- */

static void control_wake(struct control *control)
{
    uint64_t one = 1;
    ssize_t ignored = write(control->wake_event, &one, sizeof(one));
    (void)ignored;
}

/* Call with the lock held. */
static void control_add_task(struct control *control, struct control_task *task)
{
    if (control->last_task == NULL) {
        control->first_task = task;
    } else {
        control->last_task->next = task;
    }
    control->last_task = task;
}

void control_stop(struct control *control)
{
    pthread_mutex_lock(&control->lock);
    control->stopping = true;
    pthread_mutex_unlock(&control->lock);
    control_wake(control);
    pthread_join(control->thread, NULL);
    control_free(control);
}

ResultCode control_call(struct control *control, uint32_t group, RequestKind kind, struct view body,
                        uint32_t timeout_ms, struct buffer *reply)
{
    struct control_task task = {
        .group = group,
        .kind = kind,
        .body = body,
        .deadline_ms = clock_monotonic_ms() + timeout_ms,
        .reply = reply,
    };
    pthread_cond_init(&task.finished, NULL);
    pthread_mutex_lock(&control->lock);
    control_add_task(control, &task);
    pthread_mutex_unlock(&control->lock);
    control_wake(control);
    pthread_mutex_lock(&control->lock);
    while (!task.done) {
        pthread_cond_wait(&task.finished, &control->lock);
    }
    pthread_mutex_unlock(&control->lock);
    pthread_cond_destroy(&task.finished);
    return task.code;
}

void control_call_async(struct control *control, uint32_t group, RequestKind kind, struct view body,
                        uint32_t timeout_ms)
{
    struct control_task *task = memory_new(sizeof(*task));
    task->group = group;
    task->kind = kind;
    task->body = view_of(memory_copy(body.data, body.length), body.length);
    task->deadline_ms = clock_monotonic_ms() + timeout_ms;
    task->async = true;
    pthread_mutex_lock(&control->lock);
    control_add_task(control, task);
    pthread_mutex_unlock(&control->lock);
    control_wake(control);
}

bool control_is_ready(const struct control *control)
{
    return clock_monotonic_ms() < __atomic_load_n(&control->lease_until_ms, __ATOMIC_ACQUIRE);
}

uint64_t control_epoch(const struct control *control)
{
    return __atomic_load_n(&control->epoch, __ATOMIC_ACQUIRE);
}

void control_set_draining(struct control *control)
{
    pthread_mutex_lock(&control->lock);
    control->draining = true;
    pthread_mutex_unlock(&control->lock);
    control_wake(control);
}

void control_read_status(struct control *control, struct control_status *status)
{
    pthread_mutex_lock(&control->lock);
    *status = control->status;
    pthread_mutex_unlock(&control->lock);
}
