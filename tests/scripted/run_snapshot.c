/* Replicas on real files: a leads alone, b is a learner. Ends are as by a kill: what was written stays.
 *   new LOG_KB STATE_KB [three]   empties all and starts a; shares of memory for log and state, 0: none;
 *                         `three`: a, b and c vote, and all are started
 *   full NAME, room NAME  its disk takes nothing from now on, or takes it again
 *   refuse NAME           it takes entries, and no snapshot, until there is room
 *   leader                who leads
 *   pour COUNT BYTES      turns are stored at whoever leads, and nobody waits for them
 *   start NAME            starts a replica from its files
 *   kill NAME             ends it
 *   lose NAME             removes its files
 *   store COUNT BYTES     a stores so many turns, each tenth of which begins a conversation
 *   begin COUNT           as many programs begin a turn at a
 *   run STEPS             runs
 *   chunks COUNT          runs until so many parts of a snapshot have come to b
 *   wait MS               time passes at which nothing is stored: turns expire
 *   compare               whether b holds what a holds, read back from its files
 *   files                 whether files of texts were given back
 *   log                   whether the log in memory is below its share */
#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/message.h"
#include "script.h"
#include "store/file.h"
#include "store/history_store.h"
#include "store/replica_disk.h"
#include "store/replica_restore.h"

enum {
    STEP_MS = 20,
    SETTLE_STEPS = 5,
    ELECTION_STEPS = 100,
    CALLER = 9,
    HOSTS = 4, /* by id, from 1 */
    BRANCH = 10,
    ENTRY_MOST = 8 << 10, /* the entry that fills a log is still taken */
    RETENTION_MS = 5000,
    TEXT_FILE_BYTES = 64 << 10,
    PATH = 96
};

/* A replica and its files. */
typedef struct host_t {
    bool up;
    bool full;
    bool refuses;
    char folder[PATH];
    struct replica replica;
    struct log_store log;
    struct history_store texts;
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
static size_t log_bytes;
static size_t state_bytes;
static uint32_t turns_sent;
static uint32_t programs_sent;
static uint32_t accepted;
static uint32_t refused;
static uint32_t chunks;
static char root[PATH];
static bool three;

/* ---- Effects ---------------------------------------------------------------------- */

static uint32_t host_id(const host_t *host)
{
    return (uint32_t)(host - hosts);
}

static enum replica_sync on_sync(void *context)
{
    host_t *host = context;
    if (host->full) {
        return REPLICA_SYNC_BLOCKED;
    }
    return log_store_sync(&host->log) ? REPLICA_SYNC_DONE : REPLICA_SYNC_FAILED;
}

static bool on_snapshot_begin(void *context, uint32_t group, const struct raft_snapshot *snapshot)
{
    host_t *host = context;
    return !host->full && !host->refuses && log_store_snapshot_begin(&host->log, group, snapshot);
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
        .members = {.count = three ? 3 : 2, .nodes = {1, 2, 3}, .learners = {false, !three, false}},
        .election_timeout_ms = 400,
        .heartbeat_ms = 80,
        .log_bytes = log_bytes,
        .log_bytes_most = 2 * log_bytes,
        .state_bytes = state_bytes,
        .steady_stamps = true,
    };
    char *texts_folder = file_path(host->folder, "texts");
    if (!history_store_open(&host->texts, texts_folder)) {
        script_print("%s\n", host->texts.error);
    }
    free(texts_folder);
    host->texts.segment_bytes = TEXT_FILE_BYTES;
    struct history_io history = history_store_io(&host->texts);
    replica_init(&host->replica, &config, &io, &history);
    if (!replica_restore_log(&host->replica, &host->log, host->folder)) {
        script_print("%s\n", host->log.error);
    }
    history_store_sweep(&host->texts);
    host->up = true;
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

static void lose_host(const host_t *host)
{
    char command[2 * PATH];
    snprintf(command, sizeof(command), "rm -rf '%s'", host->folder);
    if (system(command) != 0) {
        script_print("cannot remove %s\n", host->folder);
    }
}

static host_t *host_named(const script_command_t *command)
{
    return script_is(command, 1, "a") ? &hosts[1] : script_is(command, 1, "b") ? &hosts[2] : &hosts[3];
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
    accepted += code == RESULT_OK ? 1 : 0;
    refused += code == RESULT_LIMIT ? 1 : 0;
}

static void deliver_first(void)
{
    frame_t *first = frames;
    Frame frame = {0};
    frames = first->next;
    if (message_decode(buffer_view(&first->data), Frame_fields, &frame)) {
        bool chunk = frame.which_payload == Frame_raft_tag && frame.payload.raft.type == RAFT_SNAPSHOT;
        if (first->to == CALLER && frame.which_payload == Frame_reply_tag) {
            note_reply(&frame.payload.reply);
        } else if (first->to < HOSTS && hosts[first->to].up) {
            chunks += chunk ? 1 : 0;
            replica_receive(&hosts[first->to].replica, now_ms, first->from, &frame);
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

/* Runs until the time is over, or until so many parts of a snapshot have come. */
static void run(uint64_t steps, uint32_t most_chunks)
{
    for (uint64_t i = 0; i < steps; i++) {
        now_ms += STEP_MS;
        for (int k = 1; k < HOSTS; k++) {
            if (hosts[k].up) {
                replica_tick(&hosts[k].replica, now_ms);
            }
        }
        flush_hosts();
        while (frames != NULL) {
            deliver_first();
            flush_hosts();
            if (chunks >= most_chunks) {
                return;
            }
        }
    }
}

/* The id of the replica that leads; 1 where none does. */
static int leader_id(void)
{
    for (int i = 1; i < HOSTS; i++) {
        if (hosts[i].up && raft_is_leader(&hosts[i].replica.groups[0].raft)) {
            return i;
        }
    }
    return 1;
}

static void propose(const Entry *entry)
{
    struct buffer body = {0};
    Frame frame = {0};
    message_encode(&body, Entry_fields, entry);
    frame.which_payload = Frame_request_tag;
    frame.payload.request.kind = REQUEST_PROPOSE;
    frame.payload.request.body = buffer_view(&body);
    replica_receive(&hosts[leader_id()].replica, now_ms, CALLER, &frame);
    flush_hosts();
    buffer_close(&body);
}

/* ---- Commands --------------------------------------------------------------------- */

static void send_turns(uint64_t count, size_t bytes)
{
    char *text = memory_new(bytes + 1);
    accepted = 0;
    for (uint64_t i = 0; i < count; i++, turns_sent++) {
        char id[16];
        char parent[16] = "";
        Entry entry = {0};
        snprintf(id, sizeof(id), "t%u", turns_sent);
        if (turns_sent % BRANCH != 0) {
            snprintf(parent, sizeof(parent), "t%u", turns_sent - turns_sent % BRANCH);
        }
        memset(text, 'a' + (int)(turns_sent % 26), bytes);
        entry.which_command = Entry_turn_finish_tag;
        entry.command.turn_finish.turn = id;
        entry.command.turn_finish.parent = parent;
        entry.command.turn_finish.program = id;
        entry.command.turn_finish.keep = true;
        entry.command.turn_finish.input = view_of(text, bytes / 2);
        entry.command.turn_finish.output = view_of(text, bytes - bytes / 2);
        entry.command.turn_finish.retention_ms = RETENTION_MS;
        propose(&entry);
        if (i % BRANCH == 0) {
            run(1, UINT32_MAX);
        }
    }
    free(text);
}

static void store_turns(uint64_t count, size_t bytes)
{
    send_turns(count, bytes);
    run(SETTLE_STEPS, UINT32_MAX);
    script_print("%u stored\n", accepted);
}

static void tell_leader(void)
{
    script_print("%c leads\n", 'a' - 1 + leader_id());
}

static void begin_turns(uint64_t count)
{
    accepted = 0;
    refused = 0;
    for (uint64_t i = 0; i < count; i++, programs_sent++) {
        char name[16];
        Entry entry = {0};
        snprintf(name, sizeof(name), "p%u", programs_sent);
        entry.which_command = Entry_turn_begin_tag;
        entry.command.turn_begin.turn = name;
        entry.command.turn_begin.program = name;
        entry.command.turn_begin.budget_tokens = 100;
        entry.command.turn_begin.reserve_tokens = 10;
        propose(&entry);
        run(1, UINT32_MAX);
    }
    script_print("%s\n", refused == 0 ? "all begin" : accepted == 0 ? "none begins" : "some begin, then none");
}

static bool same_turn(const struct turn_store *left, const struct turn_store *right, const struct turn *turn)
{
    struct buffer mine = {0};
    struct buffer other = {0};
    const struct turn *found = turn_store_find(right, turn->id);
    bool same = found != NULL && found->expires_ms == turn->expires_ms && turn_chain_text(left, turn, &mine) &&
                turn_chain_text(right, found, &other) && mine.length == other.length &&
                memcmp(mine.data, other.data, mine.length) == 0;
    buffer_close(&mine);
    buffer_close(&other);
    return same;
}

static void compare(void)
{
    const struct site_state *a = &hosts[1].replica.groups[0].machine.site;
    const struct site_state *b = &hosts[2].replica.groups[0].machine.site;
    bool same = HASH_COUNT(a->turns.turns) == HASH_COUNT(b->turns.turns) && a->budgets.bytes == b->budgets.bytes &&
                a->turns.index_bytes == b->turns.index_bytes && a->turns.bytes == b->turns.bytes;
    for (const struct turn *turn = a->turns.turns; same && turn != NULL; turn = turn->hh.next) {
        same = same_turn(&a->turns, &b->turns, turn);
    }
    script_print("%s: %u turns\n", same ? "same" : "b differs", HASH_COUNT(b->turns.turns));
}

static void tell_files(void)
{
    const struct history_store *texts = &hosts[1].texts;
    script_print("%s\n",
                 texts->segment_count > 0 && texts->segments[0].number > 1 ? "first ones are gone" : "all kept");
}

static void tell_log(void)
{
    size_t held = hosts[1].replica.groups[0].raft.log.bytes;
    script_print("log %s its share\n", held <= log_bytes                    ? "below"
                                       : held <= 2 * log_bytes + ENTRY_MOST ? "above"
                                                                            : "beyond twice");
}

static void restart_all(const script_command_t *command)
{
    for (int i = 1; i < HOSTS; i++) {
        end_host(&hosts[i]);
        lose_host(&hosts[i]);
    }
    while (frames != NULL) {
        deliver_first();
    }
    log_bytes = script_number(command, 1, 0) << 10;
    state_bytes = script_number(command, 2, 0) << 10;
    three = script_is(command, 3, "three");
    turns_sent = 0;
    for (int i = 1; i < HOSTS; i++) {
        hosts[i].full = false;
        if (i == 1 || three) {
            start_host(&hosts[i]);
        }
    }
    run(three ? ELECTION_STEPS : SETTLE_STEPS, UINT32_MAX);
    for (int i = 0; three && leader_id() != 1 && i < HOSTS; i++) {
        raft_transfer(&hosts[leader_id()].replica.groups[0].raft, now_ms, 1);
        run(ELECTION_STEPS, UINT32_MAX);
    }
}

static void run_command(const script_command_t *command)
{
    if (script_is(command, 0, "new")) {
        restart_all(command);
    } else if (script_is(command, 0, "start")) {
        start_host(host_named(command));
    } else if (script_is(command, 0, "kill")) {
        end_host(host_named(command));
    } else if (script_is(command, 0, "lose")) {
        lose_host(host_named(command));
    } else if (script_is(command, 0, "store")) {
        store_turns(script_number(command, 1, 0), (size_t)script_number(command, 2, 0));
    } else if (script_is(command, 0, "pour")) {
        send_turns(script_number(command, 1, 0), (size_t)script_number(command, 2, 0));
    } else if (script_is(command, 0, "full")) {
        host_named(command)->full = true;
    } else if (script_is(command, 0, "refuse")) {
        host_named(command)->refuses = true;
    } else if (script_is(command, 0, "room")) {
        host_named(command)->full = false;
        host_named(command)->refuses = false;
    } else if (script_is(command, 0, "leader")) {
        tell_leader();
    } else if (script_is(command, 0, "begin")) {
        begin_turns(script_number(command, 1, 0));
    } else if (script_is(command, 0, "run")) {
        run(script_number(command, 1, 0), UINT32_MAX);
    } else if (script_is(command, 0, "chunks")) {
        chunks = 0;
        run(1000, (uint32_t)script_number(command, 1, 0));
        script_print("%u came\n", chunks);
    } else if (script_is(command, 0, "wait")) {
        run(script_number(command, 1, 0) / STEP_MS, UINT32_MAX);
    } else if (script_is(command, 0, "compare")) {
        compare();
    } else if (script_is(command, 0, "files")) {
        tell_files();
    } else if (script_is(command, 0, "log")) {
        tell_log();
    } else {
        script_print("unknown command\n");
    }
}

int main(int argc, char **argv)
{
    snprintf(root, sizeof(root), "/tmp/bankbank-snapshot-XXXXXX");
    if (argc != 2 || mkdtemp(root) == NULL) {
        return EXIT_FAILURE;
    }
    now_ms = 1000;
    snprintf(hosts[1].folder, sizeof(hosts[1].folder), "%.60s/a", root);
    snprintf(hosts[2].folder, sizeof(hosts[2].folder), "%.60s/b", root);
    snprintf(hosts[3].folder, sizeof(hosts[3].folder), "%.60s/c", root);
    int status = script_main(argv[1], run_command);
    for (int i = 1; i < HOSTS; i++) {
        end_host(&hosts[i]);
        lose_host(&hosts[i]);
    }
    while (frames != NULL) {
        deliver_first();
    }
    rmdir(root);
    return status;
}
