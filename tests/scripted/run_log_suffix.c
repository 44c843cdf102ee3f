/* Five replicas a to e on real files, and a network that can be cut. Ends are as by a kill: what was written stays.
 *   new COUNT           empties all and starts them; c stores a snapshot every COUNT entries, the others none
 *   away NAME...        these reach nobody from now on, and all others each other
 *   lead NAME           runs until NAME leads, and not a message longer
 *   hand NAME           the leader gives its place to NAME
 *   store COUNT         turns are stored at the leader; those that were acknowledged are noted
 *   pour COUNT          the same at once, and nobody waits
 *   kill NAME, start NAME
 *   install NAME        the leader sends NAME its stored snapshot, whatever NAME has
 *   installed NAME      runs until NAME has taken a snapshot, and not a message longer
 *   led NAME            runs until NAME has taken a snapshot or has the leader's last entry, and not a message longer
 *   run MS              runs
 *   log NAME            last entry of the log in memory, and its term
 *   sent NAME           what the others sent NAME since this was asked last
 *   missing             how many acknowledged turns the leader does not know */
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
    CALLER = 9,
    HOSTS = 6, /* by id, from 1 */
    TAKER = 3, /* stores snapshots */
    LEAST_SNAPSHOT_ENTRIES = 1 << 20,
    ELECTION_MS = 400,
    HEARTBEAT_MS = 80,
    WAIT_MS = 10000,
    SETTLE_MS = 300,
    TURNS_MOST = 4096,
    RETENTION_MS = 3600000,
    PATH = 96
};

/* A replica and its files. */
typedef struct host_t {
    bool up;
    bool away;
    char folder[PATH];
    struct replica replica;
    struct log_store log;
    struct history_store texts;
    uint32_t entries_sent;  /* to it */
    uint32_t refusals;      /* of entries, by it */
    uint32_t installs_told; /* since its start */
} host_t;

/* A frame on its way. */
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
static bool acknowledged[TURNS_MOST];
static char root[PATH];

/* ---- Effects ---------------------------------------------------------------------- */

static uint32_t host_id(const host_t *host)
{
    return (uint32_t)(host - hosts);
}

static enum replica_sync on_sync(void *context)
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
    return history_store_sync(&host->texts) && log_store_snapshot_commit(&host->log, group, reset_log);
}

static void on_send(void *context, uint32_t to, struct view data)
{
    frame_t *frame = memory_new(sizeof(*frame));
    frame->from = host_id(context);
    frame->to = to;
    buffer_append(&frame->data, data.data, data.length);
    frame_t **place = &frames;
    while (*place != NULL) {
        place = &(*place)->next;
    }
    *place = frame;
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
    replica_disk_fill(&io, &host->log);
    struct replica_config config = {
        .node = host_id(host),
        .groups = 1,
        .members = {.count = 5, .nodes = {1, 2, 3, 4, 5}},
        .election_timeout_ms = ELECTION_MS,
        .heartbeat_ms = HEARTBEAT_MS,
        .snapshot_entries = host_id(host) == TAKER ? snapshot_entries : LEAST_SNAPSHOT_ENTRIES,
        .steady_stamps = true,
    };
    char *texts_folder = file_path(host->folder, "texts");
    if (!history_store_open(&host->texts, texts_folder)) {
        script_print("%s\n", host->texts.error);
    }
    free(texts_folder);
    struct history_io history = history_store_io(&host->texts);
    replica_init(&host->replica, &config, &io, &history);
    if (!replica_restore_log(&host->replica, &host->log, host->folder)) {
        script_print("%s\n", host->log.error);
    }
    history_store_sweep(&host->texts);
    host->up = true;
    host->entries_sent = 0;
    host->refusals = 0;
    host->installs_told = 0;
    replica_start(&host->replica, now_ms);
}

static void end_host(host_t *host)
{
    if (host->up) {
        replica_close(&host->replica);
        log_store_close(&host->log);
        history_store_close(&host->texts);
    }
    host->up = false;
}

static void remove_files(const char *folder)
{
    char command[2 * PATH];
    snprintf(command, sizeof(command), "rm -rf '%s'", folder);
    if (system(command) != 0) {
        script_print("cannot remove %s\n", folder);
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

/* Of those that believe to lead, the one with the latest term. */
static host_t *leader(void)
{
    host_t *found = NULL;
    for (int i = 1; i < HOSTS; i++) {
        bool leads = hosts[i].up && raft_is_leader(raft_of(&hosts[i]));
        if (leads && (found == NULL || raft_of(&hosts[i])->term > raft_of(found)->term)) {
            found = &hosts[i];
        }
    }
    return found;
}

/* ---- Frames ----------------------------------------------------------------------- */

static void note_reply(const Reply *reply)
{
    EntryResult result = {0};
    ResultCode code = reply->code;
    if (code == RESULT_OK && message_decode(reply->body, EntryResult_fields, &result)) {
        code = result.code;
        message_free(EntryResult_fields, &result);
    }
    if (code == RESULT_OK && reply->id < TURNS_MOST) {
        acknowledged[reply->id] = true;
    }
}

static void note_sent(uint32_t from, uint32_t to, const RaftMessage *message)
{
    hosts[to].entries_sent += message->type == RAFT_APPEND ? message->entries_count : 0;
    hosts[from].refusals += message->type == RAFT_APPEND_REPLY && message->reject ? 1 : 0;
}

static void deliver_first(void)
{
    frame_t *first = frames;
    Frame frame = {0};
    frames = first->next;
    if (message_decode(buffer_view(&first->data), Frame_fields, &frame)) {
        host_t *to = first->to < HOSTS ? &hosts[first->to] : NULL;
        if (first->to == CALLER && frame.which_payload == Frame_reply_tag) {
            note_reply(&frame.payload.reply);
        } else if (to != NULL && to->up && (first->from == first->to || (!to->away && !hosts[first->from].away))) {
            if (frame.which_payload == Frame_raft_tag) {
                note_sent(first->from, first->to, &frame.payload.raft);
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
        if (hosts[i].up) {
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
    return host->up && raft_is_leader(&host->replica.groups[0].raft);
}

static bool has_installed(const host_t *host)
{
    return host->up && host->replica.counters.installs > host->installs_told;
}

static bool is_led(const host_t *host)
{
    host_t *from = leader();
    bool current = from != NULL && host->up && host->replica.groups[0].raft.leader == host_id(from) &&
                   raft_last_index(&host->replica.groups[0].raft) == raft_last_index(raft_of(from));
    return current || has_installed(host);
}

/* Runs until `over`, which is asked after each message, or for so long. Messages that were not delivered stay. */
static bool run_until(uint64_t most_ms, bool (*over)(const host_t *host), const host_t *host)
{
    for (uint64_t end_ms = now_ms + most_ms; now_ms < end_ms;) {
        now_ms += STEP_MS;
        for (int i = 1; i < HOSTS; i++) {
            if (hosts[i].up) {
                replica_tick(&hosts[i].replica, now_ms);
            }
        }
        flush_hosts();
        while (frames != NULL && !over(host)) {
            deliver_first();
            flush_hosts();
        }
        if (over(host)) {
            return true;
        }
    }
    return false;
}

static void run(uint64_t most_ms)
{
    run_until(most_ms, never, NULL);
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
    replica_receive(&to->replica, now_ms, CALLER, &frame);
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
        script_print("nobody leads\n");
        return;
    }
    for (uint64_t i = 0; i < count && turns_sent < TURNS_MOST; i++) {
        send_turn(to);
        if (wait) {
            run(STEP_MS);
        }
    }
    flush_hosts();
    run(wait ? SETTLE_MS : STEP_MS);
    script_print("%u of %llu acknowledged\n", count_acknowledged(first), (unsigned long long)count);
}

static void tell_missing(void)
{
    host_t *at = leader();
    uint32_t missing = 0;
    for (uint32_t i = 0; at != NULL && i < turns_sent; i++) {
        char id[16];
        turn_id(i, id);
        const struct turn_store *turns = &at->replica.groups[0].machine.site.turns;
        missing += acknowledged[i] && turn_store_find(turns, id) == NULL ? 1 : 0;
    }
    if (at == NULL) {
        script_print("nobody leads\n");
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
    snapshot_entries = (uint32_t)script_number(command, 1, LEAST_SNAPSHOT_ENTRIES);
    turns_sent = 0;
    now_ms = 1000;
    memset(acknowledged, 0, sizeof(acknowledged));
    for (int i = 1; i < HOSTS; i++) {
        end_host(&hosts[i]);
        remove_files(hosts[i].folder);
        hosts[i].away = false;
        start_host(&hosts[i]);
    }
    run(WAIT_MS);
}

static void set_away(const script_command_t *command)
{
    for (int i = 1; i < HOSTS; i++) {
        hosts[i].away = false;
    }
    for (int i = 1; i < command->count; i++) {
        host_named(command, i)->away = true;
    }
}

static void hand_over(host_t *to)
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
        script_print("nobody leads\n");
        return;
    }
    raft_begin_snapshot(raft_of(from), now_ms, progress);
    flush_hosts();
}

static void tell_log(host_t *host)
{
    struct raft *raft = raft_of(host);
    uint64_t last = raft_last_index(raft);
    script_print("%llu of term %llu\n", (unsigned long long)last, (unsigned long long)raft_term_at(raft, last));
}

static void tell_sent(host_t *host)
{
    uint64_t installs = host->replica.counters.installs - host->installs_told;
    script_print("%u entries, %llu snapshots, refused %u times\n", host->entries_sent, (unsigned long long)installs,
                 host->refusals);
    host->installs_told += (uint32_t)installs;
    host->entries_sent = 0;
    host->refusals = 0;
}

static void run_command(const script_command_t *command)
{
    host_t *host = host_named(command, 1);
    if (script_is(command, 0, "new")) {
        restart_all(command);
    } else if (script_is(command, 0, "away")) {
        set_away(command);
    } else if (script_is(command, 0, "lead")) {
        script_print("%c %s\n", name_of(host), run_until(WAIT_MS, leads, host) ? "leads" : "does not lead");
    } else if (script_is(command, 0, "hand")) {
        hand_over(host);
    } else if (script_is(command, 0, "store")) {
        store_turns(script_number(command, 1, 0), true);
    } else if (script_is(command, 0, "pour")) {
        store_turns(script_number(command, 1, 0), false);
    } else if (script_is(command, 0, "kill")) {
        end_host(host);
    } else if (script_is(command, 0, "start")) {
        start_host(host);
    } else if (script_is(command, 0, "install")) {
        send_snapshot(host);
    } else if (script_is(command, 0, "installed")) {
        script_print("%s\n", run_until(WAIT_MS, has_installed, host) ? "installed" : "nothing came");
    } else if (script_is(command, 0, "led")) {
        script_print("%s\n", run_until(WAIT_MS, is_led, host) ? "led" : "not led");
    } else if (script_is(command, 0, "run")) {
        run(script_number(command, 1, 0));
    } else if (script_is(command, 0, "log")) {
        tell_log(host);
    } else if (script_is(command, 0, "sent")) {
        tell_sent(host);
    } else if (script_is(command, 0, "missing")) {
        tell_missing();
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
        snprintf(hosts[i].folder, sizeof(hosts[i].folder), "%.60s/%c", root, name_of(&hosts[i]));
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
    remove_files(root);
    return status;
}
