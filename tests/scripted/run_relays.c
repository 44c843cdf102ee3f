/* Tests how many updates each machine sends until all gateways have the servers and the configuration. Group members
 * with many watchers refer gateways to relays, which watch a member and forward its updates. Commands:
 *   site MEMBERS RELAYS GATEWAYS  starts group members, relays and gateways without any state
 *   list SERVERS                  gives all members a list of this many servers
 *   replace SERVERS               replaces the first SERVERS servers in the list of all members
 *   document                      gives all members a new configuration
 *   pause RELAY... | resume       stops relays from sending and replying | lets all send again
 *   disconnect MEMBER             closes all links of machines to this member
 *   run MS                        runs, then prints how many gateways are up to date and how many watch a relay
 *   sent                          prints the updates sent since the last time by the busiest member and the busiest
 *                                 relay: full lists, or documents if no full list was sent */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/message.h"
#include "core/watch.h"
#include "script.h"

enum {
    MAX_MACHINES = 2200,
    STEP_MS = 10,
    LINK_MS = 20,
    MAX_SERVERS = 64,
    RELAY_FRESH_MS = 1000,
    DOCUMENT_BYTES = 4000
};

typedef struct machine_t {
    struct watch_state state;
    struct watch_server watch_server;
    struct watch_client client;
    uint32_t relay;         /* to which it was referred, or RAFT_NO_NODE */
    uint64_t relay_link_ms; /* time at which the link to that relay is up */
    bool paused;
    uint64_t sent_lists;
    uint64_t sent_documents;
} machine_t;

static machine_t *machines; /* by node id, from 1: members, relays, gateways */
static uint32_t members;
static uint32_t relays;
static uint32_t gateways;
static uint64_t now_ms = 1000;
static uint64_t list_number;
static uint64_t document_version;
static int incarnations[MAX_SERVERS];
static uint32_t server_count;
static uint32_t disconnected_member;

static bool is_member(uint32_t node)
{
    return node <= members;
}

static bool is_relay(uint32_t node)
{
    return node > members && node <= members + relays;
}

static void encode_list(struct buffer *out)
{
    ServerRecord records[MAX_SERVERS];
    char ids[MAX_SERVERS][24];
    ServerList list = {.servers = records};
    for (uint32_t i = 0; i < server_count; i++) {
        snprintf(ids[i], sizeof(ids[i]), "i-%08x-%d", (unsigned)i, incarnations[i]);
        records[list.servers_count++] = (ServerRecord){.id = ids[i],
                                                       .service = (char *)(uintptr_t) "engine",
                                                       .address = (char *)(uintptr_t) "10.1.0.1:8080",
                                                       .zone = (char *)(uintptr_t) "zone-1",
                                                       .slots = 8};
    }
    message_encode(out, ServerList_fields, &list);
}

static void update_members(void)
{
    static uint8_t document[DOCUMENT_BYTES];
    struct buffer encoded = {0};
    encode_list(&encoded);
    for (uint32_t node = 1; node <= members; node++) {
        watch_state_put_servers(&machines[node].state, 1, list_number, buffer_view(&encoded));
        watch_state_put_document(&machines[node].state, document_version, view_of(document, sizeof(document)));
    }
    buffer_close(&encoded);
}

/* ---- Links ------------------------------------------------------------------------------------- */

static void set_candidates(uint32_t node)
{
    machine_t *machine = &machines[node];
    struct watch_candidate candidates[RAFT_MAX_MEMBERS];
    uint32_t count = 0;
    for (uint32_t member = 1; member <= members; member++) {
        if (member != disconnected_member) {
            candidates[count++] = (struct watch_candidate){member, member == node % members + 1};
        }
    }
    if (machine->relay != RAFT_NO_NODE && now_ms >= machine->relay_link_ms) {
        candidates[count++] = (struct watch_candidate){machine->relay, true};
    }
    watch_client_set_candidates(&machine->client, candidates, count);
}

static void follow_referral(uint32_t node)
{
    machine_t *machine = &machines[node];
    if (machine->relay != machine->client.relay) {
        machine->relay = machine->client.relay;
        machine->relay_link_ms = now_ms + LINK_MS;
    }
    set_candidates(node);
}

/* ---- Watches ------------------------------------------------------------------------------------ */

static bool is_fresh(uint32_t node)
{
    return is_member(node) || watch_client_is_fresh(&machines[node].client, now_ms, RELAY_FRESH_MS);
}

static void send_update(uint32_t from, struct watch_entry *entry, uint64_t sequence)
{
    static watch_outgoing_t outgoing;
    machine_t *sender = &machines[from];
    machine_t *watcher = &machines[entry->node];
    WatchUpdate *update = &outgoing.update;
    memset(&outgoing, 0, sizeof(outgoing));
    update->sequence = sequence;
    update->fresh = is_fresh(from);
    update->age_ms = is_member(from) ? 0 : (uint32_t)(now_ms - sender->client.fresh_ms);
    outgoing.is_reply = sequence != 0;
    uint32_t relay = is_member(from) ? watch_server_choose_relay(&sender->watch_server, entry, now_ms) : RAFT_NO_NODE;
    update->has_relay = relay != RAFT_NO_NODE;
    update->relay.node = relay;
    watch_server_fill_update(&sender->watch_server, entry, now_ms, &sender->state, &outgoing);
    sender->sent_lists += update->servers_told && update->servers_base == SERVER_LIST_NONE ? 1 : 0;
    sender->sent_documents += update->document.length > 0 ? 1 : 0;
    watch_client_receive(&watcher->client, now_ms, from, update, &watcher->state);
    watch_outgoing_close(&outgoing);
}

static void step(void)
{
    uint32_t count = members + relays + gateways;
    for (uint32_t node = members + 1; node <= count; node++) {
        machine_t *machine = &machines[node];
        Watch watch;
        follow_referral(node);
        if (machine->paused || !watch_client_tick(&machine->client, now_ms, &machine->state, &watch)) {
            continue;
        }
        uint32_t target = machine->client.target;
        watch.relays = is_relay(node);
        struct watch_entry *entry =
            machines[target].paused ? NULL
                                    : watch_server_record_watch(&machines[target].watch_server, now_ms, node, &watch);
        if (entry != NULL) {
            send_update(target, entry, watch.sequence);
        }
    }
    for (uint32_t node = 1; node <= members + relays; node++) {
        machine_t *machine = &machines[node];
        for (uint32_t i = 0; i < machine->watch_server.count && !machine->paused; i++) {
            struct watch_entry *entry = &machine->watch_server.entries[i];
            if (watch_server_has_update(&machine->watch_server, entry, now_ms, &machine->state, is_fresh(node))) {
                send_update(node, entry, 0);
            }
        }
    }
    now_ms += STEP_MS;
}

/* ---- Commands ------------------------------------------------------------------------------------ */

static void start_site(const script_command_t *command)
{
    for (uint32_t node = 0; machines != NULL && node < MAX_MACHINES; node++) {
        watch_state_close(&machines[node].state);
    }
    free(machines);
    machines = calloc(MAX_MACHINES, sizeof(*machines));
    members = (uint32_t)script_number(command, 1, 1);
    relays = (uint32_t)script_number(command, 2, 0);
    gateways = (uint32_t)script_number(command, 3, 1);
    for (uint32_t node = 1; node <= members; node++) {
        machines[node].watch_server.refer_above = WATCH_REFER_ABOVE;
    }
    list_number = 0;
    document_version = 1;
    server_count = 0;
    disconnected_member = 0;
}

static void run_site(const script_command_t *command)
{
    uint32_t first = members + relays + 1;
    uint32_t up_to_date = 0;
    uint32_t at_relays = 0;
    for (uint64_t end_ms = now_ms + script_number(command, 1, 0); now_ms < end_ms;) {
        step();
    }
    for (uint32_t node = first; node < first + gateways; node++) {
        const machine_t *machine = &machines[node];
        bool same = machine->state.servers.digest == machines[1].state.servers.digest &&
                    machine->state.document_version == document_version;
        up_to_date += same ? 1 : 0;
        at_relays += is_relay(machine->client.target) ? 1 : 0;
    }
    script_print("%u of %u are up to date, %u watch relays\n", up_to_date, gateways, at_relays);
}

static void print_sent(void)
{
    uint64_t max_sent[2][2] = {{0, 0}, {0, 0}};
    for (uint32_t node = 1; node <= members + relays; node++) {
        machine_t *machine = &machines[node];
        uint64_t *busiest = max_sent[is_relay(node) ? 1 : 0];
        busiest[0] = machine->sent_lists > busiest[0] ? machine->sent_lists : busiest[0];
        busiest[1] = machine->sent_documents > busiest[1] ? machine->sent_documents : busiest[1];
        machine->sent_lists = 0;
        machine->sent_documents = 0;
    }
    int kind = max_sent[0][0] + max_sent[1][0] > 0 ? 0 : 1;
    script_print("%s: member %u, relay %u\n", kind == 0 ? "lists" : "documents", (uint32_t)max_sent[0][kind],
                 (uint32_t)max_sent[1][kind]);
}

static void pause_relays(const script_command_t *command, bool paused)
{
    for (uint32_t node = members + 1; !paused && node <= members + relays; node++) {
        machines[node].paused = false;
    }
    for (int i = 1; paused && i < command->count; i++) {
        machines[members + script_number(command, i, 1)].paused = true;
    }
}

static void run(const script_command_t *command)
{
    if (script_is(command, 0, "site")) {
        start_site(command);
    } else if (script_is(command, 0, "list")) {
        server_count = (uint32_t)script_number(command, 1, 1);
        list_number++;
        update_members();
    } else if (script_is(command, 0, "replace")) {
        for (uint32_t i = 0; i < script_number(command, 1, 1); i++) {
            incarnations[i]++;
        }
        list_number++;
        update_members();
    } else if (script_is(command, 0, "document")) {
        document_version++;
        update_members();
    } else if (script_is(command, 0, "pause") || script_is(command, 0, "resume")) {
        pause_relays(command, script_is(command, 0, "pause"));
    } else if (script_is(command, 0, "disconnect")) {
        disconnected_member = (uint32_t)script_number(command, 1, 0);
    } else if (script_is(command, 0, "run")) {
        run_site(command);
    } else if (script_is(command, 0, "sent")) {
        print_sent();
    }
}

int main(int argc, char **argv)
{
    return argc > 1 ? script_main(argv[1], run) : 1;
}
