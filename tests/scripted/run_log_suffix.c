/* Tests that replicas whose logs differ in the last entries lose no acknowledged turn. Runs five replicas, a to e, on
 * real files and a simulated network. A wait- command returns right after the message that fulfills it; later messages
 * stay queued. Commands:
 *   new COUNT            starts all with empty disks; only c writes snapshots, one every COUNT entries
 *   isolate NAME...      cuts these replicas off, also from each other, and reconnects all others
 *   wait-leader NAME     runs until NAME leads
 *   transfer NAME        transfers the leadership to NAME
 *   store COUNT          stores turns at the leader, one at a time, and records which are acknowledged
 *   store-async COUNT    the same, without waiting between turns
 *   kill NAME            stops a replica as SIGKILL does: its files keep all that was written
 *   start NAME           starts a replica from its files
 *   send-snapshot NAME   makes the leader send its stored snapshot to NAME, even if NAME does not need it
 *   wait-snapshot NAME   runs until NAME has installed a snapshot
 *   wait-caught-up NAME  runs until NAME has installed a snapshot or has the leader's last entry
 *   run MS               runs
 *   log NAME             prints index and term of the last entry of the log in memory
 *   sent NAME            prints entries sent to NAME, and snapshots installed and appends rejected by it, since the
 *                        last `sent` or its start
 *   missing              prints how many acknowledged turns the leader does not have */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/message.h"
#include "core/raft_internal.h"
#include "script.h"
#include "store/file.h"
#include "store/history_store.h"
#include "store/replica_disk.h"
#include "store/replica_restore.h"

enum {
    STEP_MS = 20,
    CLIENT = 9,
    HOSTS = 6,         /* array size; ids start at 1 */
    SNAPSHOT_NODE = 3, /* writes snapshots */
    NO_SNAPSHOT_ENTRIES = 1 << 20,
    ELECTION_MS = 400,
    HEARTBEAT_MS = 80,
    WAIT_MS = 10000,
    SETTLE_MS = 300,
    MAX_TURNS = 4096,
    RETENTION_MS = 3600000,
    PATH = 96
};

typedef struct host_t {
    bool running;
    bool isolated;
    char directory[PATH];
    struct replica replica;
    struct log_store log;
    struct history_store history;
    uint32_t entries_sent;      /* to this replica */
    uint32_t rejections;        /* append messages that this replica rejected */
    uint32_t installs_reported; /* by `sent` commands since its start */
} host_t;

typedef struct frame_t {
    uint32_t from;
    uint32_t to;
    struct buffer data;
    struct frame_t *next;
} frame_t;

static host_t hosts[HOSTS];
static frame_t *frames;
static uint64_t now_ms;
static uint32_t snapshot_entries;
static uint32_t turns_sent;
static bool acknowledged[MAX_TURNS];
static char root[PATH];

/* ---- Callbacks -------------------------------------------------------------------- */

static uint32_t host_id(const host_t *host)
{
    return (uint32_t)(host - hosts);
}

static enum replica_sync_result on_sync(void *context)
{
    return log_store_sync(&((host_t *)context)->log) ? REPLICA_SYNC_DONE : REPLICA_SYNC_FAILED;
}

static bool on_snapshot_begin(void *context, uint32_t group, const struct raft_snapshot *snapshot)
{
    return log_store_snapshot_begin(&((host_t *)context)->log, group, snapshot);
}

static bool on_snapshot_commit(void *context, uint32_t group, bool reset_log)
{
    host_t *host = context;
    return history_store_sync(&host->history) && log_store_snapshot_commit(&host->log, group, reset_log);
}

static void on_send(void *context, uint32_t to, struct view data)
{
    frame_t *frame = memory_new(sizeof(*frame));
    frame->from = host_id(context);
    frame->to = to;
    buffer_append(&frame->data, data.data, data.length);
    frame_t **link = &frames;
    while (*link != NULL) {
        link = &(*link)->next;
    }
    *link = frame;
}

/* ---- Hosts ------------------------------------------------------------------------ */

static struct raft *raft_of(host_t *host)
{
    return &host->replica.groups[0].raft;
}

static void start_host(host_t *host)
{
    struct replica_io io = {
        .context = host,
        .sync = on_sync,
        .snapshot_begin = on_snapshot_begin,
        .snapshot_commit = on_snapshot_commit,
        .send = on_send,
    };
    replica_disk_set_callbacks(&io, &host->log);
    struct replica_config config = {
        .node = host_id(host),
        .groups = 1,
        .members = {.count = 5, .nodes = {1, 2, 3, 4, 5}},
        .election_timeout_ms = ELECTION_MS,
        .heartbeat_ms = HEARTBEAT_MS,
        .snapshot_entries = host_id(host) == SNAPSHOT_NODE ? snapshot_entries : NO_SNAPSHOT_ENTRIES,
        .monotonic_timestamps = true,
    };
    char *history_directory = file_path(host->directory, "texts");
    if (!history_store_open(&host->history, history_directory)) {
        script_print("%s\n", host->history.error);
    }
    free(history_directory);
    struct history_io history = history_store_io(&host->history);
    replica_init(&host->replica, &config, &io, &history);
    if (!replica_restore_log(&host->replica, &host->log, host->directory)) {
        script_print("%s\n", host->log.error);
    }
    history_store_sweep(&host->history);
    host->running = true;
    host->entries_sent = 0;
    host->rejections = 0;
    host->installs_reported = 0;
    replica_start(&host->replica, now_ms);
}

static void end_host(host_t *host)
{
    if (host->running) {
        replica_close(&host->replica);
        log_store_close(&host->log);
        history_store_close(&host->history);
    }
    host->running = false;
}

static void remove_directory(const char *directory)
{
    char command[2 * PATH];
    snprintf(command, sizeof(command), "rm -rf '%s'", directory);
    if (system(command) != 0) {
        script_print("cannot remove %s\n", directory);
    }
}

static host_t *host_named(const script_command_t *command, int position)
{
    char name[2];
    script_copy(command, position, name, sizeof(name));
    return name[0] >= 'a' && name[0] <= 'e' ? &hosts[name[0] - 'a' + 1] : &hosts[1];
}

static char name_of(const host_t *host)
{
    return (char)('a' - 1 + (int)host_id(host));
}

/* The leader of the highest term, since an isolated former leader may not have stepped down. NULL: no leader. */
static host_t *leader(void)
{
    host_t *found = NULL;
    for (int i = 1; i < HOSTS; i++) {
        bool leads = hosts[i].running && raft_is_leader(raft_of(&hosts[i]));
        if (leads && (found == NULL || raft_of(&hosts[i])->term > raft_of(found)->term)) {
            found = &hosts[i];
        }
    }
    return found;
}

/* ---- Frames ----------------------------------------------------------------------- */

static void record_reply(const Reply *reply)
{
    EntryResult result = {0};
    ResultCode code = reply->code;
    if (code == RESULT_OK && message_decode(reply->body, EntryResult_fields, &result)) {
        code = result.code;
        message_free(EntryResult_fields, &result);
    }
    if (code == RESULT_OK && reply->id < MAX_TURNS) {
        acknowledged[reply->id] = true;
    }
}

static void count_sent(uint32_t from, uint32_t to, const RaftMessage *message)
{
    hosts[to].entries_sent += message->type == RAFT_APPEND ? message->entries_count : 0;
    hosts[from].rejections += message->type == RAFT_APPEND_REPLY && message->reject ? 1 : 0;
}

static void deliver_first(void)
{
    frame_t *first = frames;
    Frame frame = {0};
    frames = first->next;
    if (message_decode(buffer_view(&first->data), Frame_fields, &frame)) {
        host_t *to = first->to < HOSTS ? &hosts[first->to] : NULL;
        if (first->to == CLIENT && frame.which_payload == Frame_reply_tag) {
            record_reply(&frame.payload.reply);
        } else if (to != NULL && to->running &&
                   (first->from == first->to || (!to->isolated && !hosts[first->from].isolated))) {
            if (frame.which_payload == Frame_raft_tag) {
                count_sent(first->from, first->to, &frame.payload.raft);
            }
            replica_receive(&to->replica, now_ms, first->from, &frame);
        }
        message_free(Frame_fields, &frame);
    }
    buffer_close(&first->data);
    free(first);
}

static void flush_hosts(void)
{
    for (int i = 1; i < HOSTS; i++) {
        if (hosts[i].running) {
            replica_flush(&hosts[i].replica, now_ms);
        }
    }
}

static bool never(const host_t *host)
{
    (void)host;
    return false;
}

static bool leads(const host_t *host)
{
    return host->running && raft_is_leader(&host->replica.groups[0].raft);
}

static bool has_installed(const host_t *host)
{
    return host->running && host->replica.counters.installs > host->installs_reported;
}

static bool is_caught_up(const host_t *host)
{
    host_t *current_leader = leader();
    bool current = current_leader != NULL && host->running &&
                   host->replica.groups[0].raft.leader == host_id(current_leader) &&
                   raft_last_index(&host->replica.groups[0].raft) == raft_last_index(raft_of(current_leader));
    return current || has_installed(host);
}

/* Runs until `done`, which is checked after each message, or for `max_ms`. Returns whether it is done. */
static bool run_until(uint64_t max_ms, bool (*done)(const host_t *host), const host_t *host)
{
    for (uint64_t end_ms = now_ms + max_ms; now_ms < end_ms;) {
        now_ms += STEP_MS;
        for (int i = 1; i < HOSTS; i++) {
            if (hosts[i].running) {
                replica_tick(&hosts[i].replica, now_ms);
            }
        }
        flush_hosts();
        while (frames != NULL && !done(host)) {
            deliver_first();
            flush_hosts();
        }
        if (done(host)) {
            return true;
        }
    }
    return false;
}

static void run(uint64_t duration_ms)
{
    run_until(duration_ms, never, NULL);
}

/* ---- Turns ------------------------------------------------------------------------ */

static void turn_id(uint32_t number, char id[16])
{
    snprintf(id, 16, "t%u", number);
}

static void send_turn(host_t *to)
{
    char id[16];
    Entry entry = {0};
    Frame frame = {0};
    struct buffer body = {0};
    turn_id(turns_sent, id);
    entry.which_command = Entry_turn_finish_tag;
    entry.command.turn_finish.turn = id;
    entry.command.turn_finish.program = id;
    entry.command.turn_finish.keep = true;
    entry.command.turn_finish.input = view_of_string("question");
    entry.command.turn_finish.output = view_of_string("answer");
    entry.command.turn_finish.retention_ms = RETENTION_MS;
    message_encode(&body, Entry_fields, &entry);
    frame.which_payload = Frame_request_tag;
    frame.payload.request.kind = REQUEST_PROPOSE;
    frame.payload.request.id = turns_sent++;
    frame.payload.request.body = buffer_view(&body);
    replica_receive(&to->replica, now_ms, CLIENT, &frame);
    buffer_close(&body);
}

static uint32_t count_acknowledged(uint32_t from)
{
    uint32_t count = 0;
    for (uint32_t i = from; i < turns_sent; i++) {
        count += acknowledged[i] ? 1 : 0;
    }
    return count;
}

static void store_turns(uint64_t count, bool wait)
{
    host_t *to = leader();
    uint32_t first = turns_sent;
    if (to == NULL) {
        script_print("no leader\n");
        return;
    }
    for (uint64_t i = 0; i < count && turns_sent < MAX_TURNS; i++) {
        send_turn(to);
        if (wait) {
            run(STEP_MS);
        }
    }
    flush_hosts();
    run(wait ? SETTLE_MS : STEP_MS);
    script_print("%u of %llu acknowledged\n", count_acknowledged(first), (unsigned long long)count);
}

static void print_missing(void)
{
    host_t *from = leader();
    uint32_t missing = 0;
    for (uint32_t i = 0; from != NULL && i < turns_sent; i++) {
        char id[16];
        turn_id(i, id);
        const struct turn_store *turns = &from->replica.groups[0].machine.site.turns;
        missing += acknowledged[i] && turn_store_find(turns, id) == NULL ? 1 : 0;
    }
    if (from == NULL) {
        script_print("no leader\n");
    } else {
        script_print("%u of %u acknowledged turns are missing\n", missing, count_acknowledged(0));
    }
}

/* ---- Commands --------------------------------------------------------------------- */

static void restart_all(const script_command_t *command)
{
    while (frames != NULL) {
        frame_t *first = frames;
        frames = first->next;
        buffer_close(&first->data);
        free(first);
    }
    snapshot_entries = (uint32_t)script_number(command, 1, NO_SNAPSHOT_ENTRIES);
    turns_sent = 0;
    now_ms = 1000;
    memset(acknowledged, 0, sizeof(acknowledged));
    for (int i = 1; i < HOSTS; i++) {
        end_host(&hosts[i]);
        remove_directory(hosts[i].directory);
        hosts[i].isolated = false;
        start_host(&hosts[i]);
    }
    run(WAIT_MS);
}

static void set_isolated(const script_command_t *command)
{
    for (int i = 1; i < HOSTS; i++) {
        hosts[i].isolated = false;
    }
    for (int i = 1; i < command->count; i++) {
        host_named(command, i)->isolated = true;
    }
}

static void transfer_leadership(host_t *to)
{
    host_t *from = leader();
    if (from != NULL && from != to) {
        raft_transfer(raft_of(from), now_ms, host_id(to));
        run(SETTLE_MS);
    }
    script_print("%c leads\n", leader() == NULL ? '-' : name_of(leader()));
}

static void send_snapshot(const host_t *to)
{
    host_t *from = leader();
    struct raft_progress *progress = from == NULL ? NULL : raft_progress_of(raft_of(from), host_id(to));
    if (progress == NULL) {
        script_print("no leader\n");
        return;
    }
    raft_begin_snapshot(raft_of(from), now_ms, progress);
    flush_hosts();
}

static void print_log(host_t *host)
{
    struct raft *raft = raft_of(host);
    uint64_t last = raft_last_index(raft);
    script_print("%llu of term %llu\n", (unsigned long long)last, (unsigned long long)raft_term_at(raft, last));
}

static void print_sent(host_t *host)
{
    uint64_t installs = host->replica.counters.installs - host->installs_reported;
    script_print("%u entries, %llu snapshots, %u rejected\n", host->entries_sent, (unsigned long long)installs,
                 host->rejections);
    host->installs_reported += (uint32_t)installs;
    host->entries_sent = 0;
    host->rejections = 0;
}

static void run_command(const script_command_t *command)
{
    host_t *host = host_named(command, 1);
    if (script_is(command, 0, "new")) {
        restart_all(command);
    } else if (script_is(command, 0, "isolate")) {
        set_isolated(command);
    } else if (script_is(command, 0, "wait-leader")) {
        script_print("%c %s\n", name_of(host), run_until(WAIT_MS, leads, host) ? "leads" : "does not lead");
    } else if (script_is(command, 0, "transfer")) {
        transfer_leadership(host);
    } else if (script_is(command, 0, "store")) {
        store_turns(script_number(command, 1, 0), true);
    } else if (script_is(command, 0, "store-async")) {
        store_turns(script_number(command, 1, 0), false);
    } else if (script_is(command, 0, "kill")) {
        end_host(host);
    } else if (script_is(command, 0, "start")) {
        start_host(host);
    } else if (script_is(command, 0, "send-snapshot")) {
        send_snapshot(host);
    } else if (script_is(command, 0, "wait-snapshot")) {
        script_print("%s\n", run_until(WAIT_MS, has_installed, host) ? "installed" : "not installed");
    } else if (script_is(command, 0, "wait-caught-up")) {
        script_print("%s\n", run_until(WAIT_MS, is_caught_up, host) ? "caught up" : "not caught up");
    } else if (script_is(command, 0, "run")) {
        run(script_number(command, 1, 0));
    } else if (script_is(command, 0, "log")) {
        print_log(host);
    } else if (script_is(command, 0, "sent")) {
        print_sent(host);
    } else if (script_is(command, 0, "missing")) {
        print_missing();
    } else {
        script_print("unknown command\n");
    }
}

int main(int argc, char **argv)
{
    snprintf(root, sizeof(root), "/tmp/bankbank-suffix-XXXXXX");
    if (argc != 2 || mkdtemp(root) == NULL) {
        return EXIT_FAILURE;
    }
    for (int i = 1; i < HOSTS; i++) {
        snprintf(hosts[i].directory, sizeof(hosts[i].directory), "%.60s/%c", root, name_of(&hosts[i]));
    }
    int status = script_main(argv[1], run_command);
    for (int i = 1; i < HOSTS; i++) {
        end_host(&hosts[i]);
    }
    while (frames != NULL) {
        frame_t *first = frames;
        frames = first->next;
        buffer_close(&first->data);
        free(first);
    }
    remove_directory(root);
    return status;
}
