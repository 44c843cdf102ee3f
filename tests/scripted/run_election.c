/* Runs a Raft group without disks on a simulated network with a latency of STEP_MS. Commands:
 *   new COUNT               starts a group
 *   elect MS                runs until a running replica leads, at most MS; prints an upper bound in steps of 100 ms
 *   run MS                  advances the time
 *   kill NODE               stops a replica and closes its connections
 *   power-off NODE          stops a replica without closing its connections
 *   power-on NODE           starts it again
 *   stall NODE MS           stalls a process, or "all"; its timers then fire before it reads the messages that
 *                           arrived meanwhile
 *   power-off-others        powers off all but the leader, which is then "survivor"; "other" is one of the rest
 *   reconnect NODE NODE     closes and reopens the connection between two replicas
 *   leader                  prints the leader's term and how many running replicas know the leader
 *   propose COUNT           proposes entries at the leader without a flush
 *   read COUNT              starts linearizable reads at the leader without a flush
 *   flush                   flushes the leader; prints the messages and entries sent
 *   restart-all INDEX NODE  restarts all from a snapshot at INDEX; only NODE runs, which is then "survivor"
 *   fresh                   prints the applied index of each replica and whether it is fresh (raft_is_fresh())
 *   reads                   prints the reads answered since the last time and the entries applied by node 1 */
#include <stdlib.h>
#include <string.h>

#include "base/message.h"
#include "core/raft.h"
#include "script.h"

enum { STEP_MS = 5, MAX_NODES = 5, ELECTION_MS = 400, SHORT_ELECTION_MS = 50, HEARTBEAT_MS = 80, TENTH_MS = 100 };

typedef struct packet_t {
    uint32_t from;
    uint32_t to;
    uint64_t due_ms;
    struct buffer data;
    struct packet_t *next;
} packet_t;

static struct raft replicas[MAX_NODES + 1];
static bool alive[MAX_NODES + 1];
static uint64_t stalled_until_ms[MAX_NODES + 1];
static uint32_t node_ids[MAX_NODES + 1];
static uint32_t node_count;
static uint32_t survivor;
static uint64_t now_ms;
static packet_t *packets;
static uint32_t sent_messages;
static uint64_t sent_entries;
static uint32_t reads_answered;
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
    sent_messages++;
    sent_entries += message->entries_count;
    packet_t *packet = memory_new(sizeof(*packet));
    packet->from = *(const uint32_t *)context;
    packet->to = to;
    packet->due_ms = now_ms + STEP_MS;
    message_encode(&packet->data, RaftMessage_fields, message);
    packet_t **link = &packets;
    while (*link != NULL) {
        link = &(*link)->next;
    }
    *link = packet;
}

static void on_apply(void *context, uint32_t number, const struct raft_entry *entry)
{
    (void)number;
    bool is_node_1 = *(const uint32_t *)context == 1;
    applied_commands += is_node_1 && entry->type == RAFT_ENTRY_COMMAND ? 1 : 0;
}

static void on_read_ready(void *context, uint32_t number, uint64_t read_id, bool ok)
{
    (void)context;
    (void)number;
    (void)read_id;
    reads_answered += ok ? 1 : 0;
}

static void on_role(void *context, uint32_t number)
{
    (void)context;
    (void)number;
}

static void packet_free(packet_t *packet)
{
    buffer_close(&packet->data);
    free(packet);
}

static bool is_stalled(uint32_t node)
{
    return now_ms < stalled_until_ms[node];
}

static void receive(const packet_t *packet)
{
    RaftMessage message = {0};
    bool arrives = alive[packet->from] && alive[packet->to];
    if (arrives && message_decode(buffer_view(&packet->data), RaftMessage_fields, &message)) {
        raft_receive(&replicas[packet->to], now_ms, packet->from, &message);
        message_free(RaftMessage_fields, &message);
    }
}

static void deliver(void)
{
    packet_t **link = &packets;
    while (*link != NULL && (*link)->due_ms <= now_ms) {
        packet_t *packet = *link;
        if (is_stalled(packet->to)) {
            link = &packet->next;
            continue;
        }
        *link = packet->next;
        receive(packet);
        packet_free(packet);
    }
}

static void tick(uint32_t node)
{
    raft_tick(&replicas[node], now_ms);
    raft_flush(&replicas[node], now_ms);
    raft_synced(&replicas[node], now_ms);
}

/* After a stall, event loops run timers before they read messages. */
static void tick_resumed(void)
{
    for (uint32_t node = 1; node <= node_count; node++) {
        bool resumed = alive[node] && stalled_until_ms[node] != 0 && !is_stalled(node);
        stalled_until_ms[node] = is_stalled(node) ? stalled_until_ms[node] : 0;
        if (resumed) {
            tick(node);
        }
    }
}

static void step(void)
{
    now_ms += STEP_MS;
    tick_resumed();
    deliver();
    for (uint32_t node = 1; node <= node_count; node++) {
        if (alive[node] && !is_stalled(node)) {
            tick(node);
        }
    }
}

static void close_group(void)
{
    for (uint32_t node = 1; node <= node_count; node++) {
        raft_close(&replicas[node]);
    }
    while (packets != NULL) {
        packet_t *next = packets->next;
        packet_free(packets);
        packets = next;
    }
}

static struct raft_config make_config(uint32_t node)
{
    return (struct raft_config){
        .node = node,
        .election_timeout_ms = ELECTION_MS,
        .heartbeat_ms = HEARTBEAT_MS,
        .short_election_timeout_ms = SHORT_ELECTION_MS,
        .seed = node,
    };
}

/* Keeps the whole log, but applies only the entries that the snapshot covers. */
static void restart(uint32_t node, uint64_t index)
{
    struct raft old = replicas[node];
    struct raft_config config = make_config(node);
    raft_init(&replicas[node], &config, &old.io, &old.members);
    raft_restore_state(&replicas[node], old.term, old.vote);
    raft_restore_snapshot(&replicas[node], index, raft_term_at(&old, index), &old.members);
    for (size_t i = 0; i < old.log.count; i++) {
        raft_restore_entry(&replicas[node], &old.log.entries[i]);
    }
    raft_close(&old);
    raft_start(&replicas[node], now_ms);
}

static void restart_all(uint64_t index, uint32_t first)
{
    survivor = first;
    for (uint32_t node = 1; node <= node_count; node++) {
        restart(node, index);
        alive[node] = node == first;
    }
}

static void print_fresh(void)
{
    uint32_t count = 0;
    for (uint32_t node = 1; node <= node_count; node++) {
        bool fresh = alive[node] && raft_is_fresh(&replicas[node], now_ms);
        count += fresh ? 1 : 0;
        script_print("%s%llu%s", node == 1 ? "applied " : ", ", (unsigned long long)replicas[node].applied,
                     fresh ? " fresh" : "");
    }
    script_print("; %u of %u are fresh\n", count, node_count);
}

static void start_group(uint32_t count)
{
    struct raft_members members = {.count = count};
    close_group();
    reads_answered = 0;
    applied_commands = 0;
    node_count = count;
    now_ms = 1000000;
    for (uint32_t node = 1; node <= count; node++) {
        members.nodes[node - 1] = node;
    }
    for (uint32_t node = 1; node <= count; node++) {
        struct raft_config config = make_config(node);
        node_ids[node] = node;
        struct raft_io io = {
            .context = &node_ids[node],
            .save_state = on_save_state,
            .append = on_append,
            .send = on_send,
            .apply = on_apply,
            .read_ready = on_read_ready,
            .role_changed = on_role,
        };
        alive[node] = true;
        stalled_until_ms[node] = 0;
        raft_init(&replicas[node], &config, &io, &members);
        raft_start(&replicas[node], now_ms);
    }
}

static uint32_t leader(void)
{
    for (uint32_t node = 1; node <= node_count; node++) {
        if (alive[node] && raft_is_leader(&replicas[node])) {
            return node;
        }
    }
    return RAFT_NO_NODE;
}

static void elect(uint64_t max_ms)
{
    uint64_t begin_ms = now_ms;
    while (leader() == RAFT_NO_NODE && now_ms < begin_ms + max_ms) {
        step();
    }
    uint64_t tenths = (now_ms - begin_ms) / TENTH_MS;
    if (leader() == RAFT_NO_NODE) {
        script_print("no leader\n");
    } else {
        script_print("a leader within %llu ms\n", (unsigned long long)((tenths + 1) * TENTH_MS));
    }
}

static void disconnect(uint32_t node, uint32_t peer)
{
    if (alive[node]) {
        raft_peer_disconnected(&replicas[node], now_ms, peer);
    }
}

static void print_leader(void)
{
    uint32_t following = 0;
    for (uint32_t node = 1; node <= node_count; node++) {
        following += alive[node] && leader() != RAFT_NO_NODE && replicas[node].leader == leader() ? 1 : 0;
    }
    script_print("term %llu, %u of %u know the leader\n",
                 (unsigned long long)(leader() == RAFT_NO_NODE ? 0 : replicas[leader()].term), following, node_count);
}

static void propose(uint64_t count)
{
    static const uint8_t payload[32];
    uint64_t accepted = 0;
    for (uint64_t i = 0; i < count; i++) {
        accepted += raft_propose(&replicas[leader()], view_of(payload, sizeof(payload))) != 0 ? 1 : 0;
    }
    script_print("%llu accepted\n", (unsigned long long)accepted);
}

static void read_at_leader(uint64_t count)
{
    uint64_t accepted = 0;
    for (uint64_t i = 0; i < count; i++) {
        accepted += raft_read(&replicas[leader()], i + 1) ? 1 : 0;
    }
    script_print("%llu accepted\n", (unsigned long long)accepted);
}

static void flush(void)
{
    sent_messages = 0;
    sent_entries = 0;
    raft_flush(&replicas[leader()], now_ms);
    script_print("%u messages, %llu entries\n", sent_messages, (unsigned long long)sent_entries);
}

static void print_reads(void)
{
    script_print("%u reads answered, %llu entries applied\n", reads_answered, (unsigned long long)applied_commands);
    reads_answered = 0;
}

/* A number, or "leader", "follower", "survivor" or "other". */
static uint32_t node_argument(const script_command_t *command, int position)
{
    if (script_is(command, position, "leader")) {
        return leader();
    }
    if (script_is(command, position, "follower")) {
        return leader() == 1 ? 2 : 1;
    }
    if (script_is(command, position, "survivor")) {
        return survivor;
    }
    if (script_is(command, position, "other")) {
        return survivor == 1 ? 2 : 1;
    }
    return (uint32_t)script_number(command, position, 1);
}

static void stall(const script_command_t *command)
{
    for (uint32_t node = 1; node <= node_count; node++) {
        if (script_is(command, 1, "all") || node == node_argument(command, 1)) {
            stalled_until_ms[node] = now_ms + script_number(command, 2, 0);
        }
    }
}

static void power_off_others(void)
{
    survivor = leader();
    for (uint32_t node = 1; node <= node_count; node++) {
        alive[node] = node == survivor;
    }
}

static void run(const script_command_t *command)
{
    uint32_t node = node_argument(command, 1);
    if (script_is(command, 0, "new")) {
        start_group(node);
    } else if (script_is(command, 0, "elect")) {
        elect(script_number(command, 1, 0));
    } else if (script_is(command, 0, "run")) {
        for (uint64_t end_ms = now_ms + script_number(command, 1, 0); now_ms < end_ms;) {
            step();
        }
    } else if (script_is(command, 0, "stall")) {
        stall(command);
    } else if (script_is(command, 0, "power-off")) {
        alive[node] = false;
    } else if (script_is(command, 0, "power-off-others")) {
        power_off_others();
    } else if (script_is(command, 0, "power-on")) {
        alive[node] = true;
        raft_start(&replicas[node], now_ms);
    } else if (script_is(command, 0, "kill")) {
        alive[node] = false;
        for (uint32_t peer = 1; peer <= node_count; peer++) {
            disconnect(peer, node);
        }
    } else if (script_is(command, 0, "reconnect")) {
        uint32_t other = node_argument(command, 2);
        disconnect(node, other);
        disconnect(other, node);
    } else if (script_is(command, 0, "leader")) {
        print_leader();
    } else if (script_is(command, 0, "propose")) {
        propose(script_number(command, 1, 1));
    } else if (script_is(command, 0, "read")) {
        read_at_leader(script_number(command, 1, 1));
    } else if (script_is(command, 0, "flush")) {
        flush();
    } else if (script_is(command, 0, "restart-all")) {
        restart_all(script_number(command, 1, 0), (uint32_t)script_number(command, 2, 1));
    } else if (script_is(command, 0, "fresh")) {
        print_fresh();
    } else if (script_is(command, 0, "reads")) {
        print_reads();
    } else {
        script_print("unknown command\n");
    }
}

int main(int argc, char **argv)
{
    int status = script_main(argc > 1 ? argv[1] : "tests/scripted/election.script", run);
    close_group();
    return status;
}
