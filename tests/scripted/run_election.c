/* A group of replicas without disk, and a network that delivers after 5 ms:
 *   new COUNT          starts a group
 *   elect MS           runs until a live replica leads, at most MS; tells in which tenth of a second
 *   run MS             runs
 *   kill NODE          ends a replica; connections to it end
 *   dark NODE          the same, but nobody is told
 *   light NODE         starts it again
 *   still NODE MS      a process does not run for so long (a wait for its disk, a machine that is starved): what comes
 *                      to it waits, and its timers are due before that is read; "all": all at once
 *   alone              all but the leader go dark; from now on it is "kept", and "other" one of the others
 *   reset NODE NODE    the connection of two replicas ends and is made anew
 *   leader             tells who leads in which term, and who follows whom
 *   propose COUNT      entries that come to the leader at once
 *   read COUNT         linearizable reads that come to it at once
 *   flush              the leader has taken what was at hand: tells what it then sends
 *   power INDEX NODE   all lose power and start again from a snapshot at INDEX; only NODE runs at first
 *   current            tells who is sure to have applied all that is committed, and how far each replica is
 *   reads              tells how many reads were answered since the last time, and how many entries are committed */
#include <stdlib.h>
#include <string.h>

#include "base/message.h"
#include "core/raft.h"
#include "script.h"

enum { STEP_MS = 5, MAX_NODES = 5, ELECTION_MS = 400, FIRST_ELECTION_MS = 50, HEARTBEAT_MS = 80, TENTH_MS = 100 };

/* A message on its way. */
typedef struct letter_t {
    uint32_t from;
    uint32_t to;
    uint64_t due_ms;
    struct buffer data;
    struct letter_t *next;
} letter_t;

static struct raft group[MAX_NODES + 1];
static bool alive[MAX_NODES + 1];
static uint64_t still_until_ms[MAX_NODES + 1];
static uint32_t ids[MAX_NODES + 1];
static uint32_t node_count;
static uint32_t kept;
static uint64_t now_ms;
static letter_t *letters;
static uint32_t sent;
static uint64_t sent_entries;
static uint32_t answered;
static uint64_t applied_commands;

static void on_save_state(void *context, uint32_t number, uint64_t term, uint32_t vote)
{
    (void)context;
    (void)number;
    (void)term;
    (void)vote;
}

static void on_append(void *context, uint32_t number, const struct raft_entry *entry)
{
    (void)context;
    (void)number;
    (void)entry;
}

static void on_send(void *context, uint32_t number, uint32_t to, const RaftMessage *message, bool after_sync)
{
    (void)number;
    (void)after_sync;
    sent++;
    sent_entries += message->entries_count;
    letter_t *letter = memory_new(sizeof(*letter));
    letter->from = *(const uint32_t *)context;
    letter->to = to;
    letter->due_ms = now_ms + STEP_MS;
    message_encode(&letter->data, RaftMessage_fields, message);
    letter_t **place = &letters;
    while (*place != NULL) {
        place = &(*place)->next;
    }
    *place = letter;
}

static void on_apply(void *context, uint32_t number, const struct raft_entry *entry)
{
    (void)number;
    bool own = *(const uint32_t *)context == 1;
    applied_commands += own && entry->type == RAFT_ENTRY_COMMAND ? 1 : 0;
}

static void on_read_ready(void *context, uint32_t number, uint64_t read_id, bool ok)
{
    (void)context;
    (void)number;
    (void)read_id;
    answered += ok ? 1 : 0;
}

static void on_role(void *context, uint32_t number)
{
    (void)context;
    (void)number;
}

static void letter_free(letter_t *letter)
{
    buffer_close(&letter->data);
    free(letter);
}

static bool is_still(uint32_t node)
{
    return now_ms < still_until_ms[node];
}

static void receive(const letter_t *letter)
{
    RaftMessage message = {0};
    bool arrives = alive[letter->from] && alive[letter->to];
    if (arrives && message_decode(buffer_view(&letter->data), RaftMessage_fields, &message)) {
        raft_receive(&group[letter->to], now_ms, letter->from, &message);
        message_free(RaftMessage_fields, &message);
    }
}

static void deliver(void)
{
    letter_t **place = &letters;
    while (*place != NULL && (*place)->due_ms <= now_ms) {
        letter_t *letter = *place;
        if (is_still(letter->to)) {
            place = &letter->next;
            continue;
        }
        *place = letter->next;
        receive(letter);
        letter_free(letter);
    }
}

static void tick(uint32_t node)
{
    raft_tick(&group[node], now_ms);
    raft_flush(&group[node], now_ms);
    raft_synced(&group[node], now_ms);
}

/* Those that run again: an event loop has its timers before what has come. */
static void wake(void)
{
    for (uint32_t node = 1; node <= node_count; node++) {
        bool wakes = alive[node] && still_until_ms[node] != 0 && !is_still(node);
        still_until_ms[node] = is_still(node) ? still_until_ms[node] : 0;
        if (wakes) {
            tick(node);
        }
    }
}

static void step(void)
{
    now_ms += STEP_MS;
    wake();
    deliver();
    for (uint32_t node = 1; node <= node_count; node++) {
        if (alive[node] && !is_still(node)) {
            tick(node);
        }
    }
}

static void end_group(void)
{
    for (uint32_t node = 1; node <= node_count; node++) {
        raft_close(&group[node]);
    }
    while (letters != NULL) {
        letter_t *next = letters->next;
        letter_free(letters);
        letters = next;
    }
}

static struct raft_config config_of(uint32_t node)
{
    return (struct raft_config){
        .node = node,
        .election_timeout_ms = ELECTION_MS,
        .heartbeat_ms = HEARTBEAT_MS,
        .first_election_ms = FIRST_ELECTION_MS,
        .seed = node,
    };
}

/* A new life: of the log everything is there, of what was applied only what the snapshot covers. */
static void restart(uint32_t node, uint64_t index)
{
    struct raft before = group[node];
    struct raft_config config = config_of(node);
    raft_init(&group[node], &config, &before.io, &before.members);
    raft_restore_state(&group[node], before.term, before.vote);
    raft_restore_snapshot(&group[node], index, raft_term_at(&before, index), &before.members);
    for (size_t i = 0; i < before.log.count; i++) {
        raft_restore_entry(&group[node], &before.log.entries[i]);
    }
    raft_close(&before);
    raft_start(&group[node], now_ms);
}

static void lose_power(uint64_t index, uint32_t first)
{
    kept = first;
    for (uint32_t node = 1; node <= node_count; node++) {
        restart(node, index);
        alive[node] = node == first;
    }
}

static void tell_current(void)
{
    uint32_t count = 0;
    for (uint32_t node = 1; node <= node_count; node++) {
        bool current = alive[node] && raft_is_current(&group[node], now_ms);
        count += current ? 1 : 0;
        script_print("%s%llu%s", node == 1 ? "applied " : ", ", (unsigned long long)group[node].applied,
                     current ? " current" : "");
    }
    script_print("; %u of %u are current\n", count, node_count);
}

static void start_group(uint32_t count)
{
    struct raft_members members = {.count = count};
    end_group();
    answered = 0;
    applied_commands = 0;
    node_count = count;
    now_ms = 1000000;
    for (uint32_t node = 1; node <= count; node++) {
        members.nodes[node - 1] = node;
    }
    for (uint32_t node = 1; node <= count; node++) {
        struct raft_config config = config_of(node);
        ids[node] = node;
        struct raft_io io = {
            .context = &ids[node],
            .save_state = on_save_state,
            .append = on_append,
            .send = on_send,
            .apply = on_apply,
            .read_ready = on_read_ready,
            .role_changed = on_role,
        };
        alive[node] = true;
        still_until_ms[node] = 0;
        raft_init(&group[node], &config, &io, &members);
        raft_start(&group[node], now_ms);
    }
}

static uint32_t leader(void)
{
    for (uint32_t node = 1; node <= node_count; node++) {
        if (alive[node] && raft_is_leader(&group[node])) {
            return node;
        }
    }
    return RAFT_NO_NODE;
}

static void elect(uint64_t most_ms)
{
    uint64_t begin_ms = now_ms;
    while (leader() == RAFT_NO_NODE && now_ms < begin_ms + most_ms) {
        step();
    }
    uint64_t tenths = (now_ms - begin_ms) / TENTH_MS;
    if (leader() == RAFT_NO_NODE) {
        script_print("nobody leads\n");
    } else {
        script_print("a leader within %llu ms\n", (unsigned long long)((tenths + 1) * TENTH_MS));
    }
}

static void lose(uint32_t node, uint32_t peer)
{
    if (alive[node]) {
        raft_peer_lost(&group[node], now_ms, peer);
    }
}

static void tell_leader(void)
{
    uint32_t following = 0;
    for (uint32_t node = 1; node <= node_count; node++) {
        following += alive[node] && leader() != RAFT_NO_NODE && group[node].leader == leader() ? 1 : 0;
    }
    script_print("term %llu, %u of %u know the leader\n",
                 (unsigned long long)(leader() == RAFT_NO_NODE ? 0 : group[leader()].term), following, node_count);
}

static void propose(uint64_t count)
{
    static const uint8_t payload[32];
    uint64_t taken = 0;
    for (uint64_t i = 0; i < count; i++) {
        taken += raft_propose(&group[leader()], view_of(payload, sizeof(payload))) != 0 ? 1 : 0;
    }
    script_print("%llu taken\n", (unsigned long long)taken);
}

static void read_at_leader(uint64_t count)
{
    uint64_t taken = 0;
    for (uint64_t i = 0; i < count; i++) {
        taken += raft_read(&group[leader()], i + 1) ? 1 : 0;
    }
    script_print("%llu taken\n", (unsigned long long)taken);
}

static void flush(void)
{
    sent = 0;
    sent_entries = 0;
    raft_flush(&group[leader()], now_ms);
    script_print("%u messages, %llu entries\n", sent, (unsigned long long)sent_entries);
}

static void tell_reads(void)
{
    script_print("%u reads answered, %llu entries applied\n", answered, (unsigned long long)applied_commands);
    answered = 0;
}

/* A node by number, or the words "leader", "follower", "kept" and "other". */
static uint32_t node_of(const script_command_t *command, int position)
{
    if (script_is(command, position, "leader")) {
        return leader();
    }
    if (script_is(command, position, "follower")) {
        return leader() == 1 ? 2 : 1;
    }
    if (script_is(command, position, "kept")) {
        return kept;
    }
    if (script_is(command, position, "other")) {
        return kept == 1 ? 2 : 1;
    }
    return (uint32_t)script_number(command, position, 1);
}

static void stand_still(const script_command_t *command)
{
    for (uint32_t node = 1; node <= node_count; node++) {
        if (script_is(command, 1, "all") || node == node_of(command, 1)) {
            still_until_ms[node] = now_ms + script_number(command, 2, 0);
        }
    }
}

static void leave_leader_alone(void)
{
    kept = leader();
    for (uint32_t node = 1; node <= node_count; node++) {
        alive[node] = node == kept;
    }
}

static void run(const script_command_t *command)
{
    uint32_t node = node_of(command, 1);
    if (script_is(command, 0, "new")) {
        start_group(node);
    } else if (script_is(command, 0, "elect")) {
        elect(script_number(command, 1, 0));
    } else if (script_is(command, 0, "run")) {
        for (uint64_t end_ms = now_ms + script_number(command, 1, 0); now_ms < end_ms;) {
            step();
        }
    } else if (script_is(command, 0, "still")) {
        stand_still(command);
    } else if (script_is(command, 0, "dark")) {
        alive[node] = false;
    } else if (script_is(command, 0, "alone")) {
        leave_leader_alone();
    } else if (script_is(command, 0, "light")) {
        alive[node] = true;
        raft_start(&group[node], now_ms);
    } else if (script_is(command, 0, "kill")) {
        alive[node] = false;
        for (uint32_t peer = 1; peer <= node_count; peer++) {
            lose(peer, node);
        }
    } else if (script_is(command, 0, "reset")) {
        uint32_t other = node_of(command, 2);
        lose(node, other);
        lose(other, node);
    } else if (script_is(command, 0, "leader")) {
        tell_leader();
    } else if (script_is(command, 0, "propose")) {
        propose(script_number(command, 1, 1));
    } else if (script_is(command, 0, "read")) {
        read_at_leader(script_number(command, 1, 1));
    } else if (script_is(command, 0, "flush")) {
        flush();
    } else if (script_is(command, 0, "power")) {
        lose_power(script_number(command, 1, 0), (uint32_t)script_number(command, 2, 1));
    } else if (script_is(command, 0, "current")) {
        tell_current();
    } else if (script_is(command, 0, "reads")) {
        tell_reads();
    } else {
        script_print("unknown command\n");
    }
}

int main(int argc, char **argv)
{
    int status = script_main(argc > 1 ? argv[1] : "tests/scripted/election.script", run);
    end_group();
    return status;
}
