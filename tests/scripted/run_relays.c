/* What a site's list of servers costs each machine on its way to every gateway (core/watch.h):
 *   site MEMBERS RELAYS GATEWAYS      members of the group, replicas outside it, gateways; nobody knows anything yet
 *   list SERVERS                      the leader reads a list of so many servers, and tells the other members
 *   replace SERVERS                   so many of them are replaced by others
 *   document                          the configuration changes
 *   dark RELAY... | light             these relays answer nothing any more; all do again
 *   lost MEMBER                       what watches this member watches another one
 *   run MS                            prints how many gateways have it all then, and how many watch a relay
 *   told                              prints what the busiest member and the busiest relay told since the last time: in
 *                                     whole lists, or in documents where there was no list to tell */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/message.h"
#include "core/watch.h"
#include "script.h"

enum { MACHINES = 2200, STEP_MS = 10, LINK_MS = 20, SERVERS_MOST = 64, RELAY_FRESH_MS = 1000, DOCUMENT_BYTES = 4000 };

typedef struct machine_t {
    struct watch_state state;
    struct watch_server watched;
    struct watch_client client;
    uint32_t relay;         /* to which it was referred */
    uint64_t relay_link_ms; /* when the link to that one is up */
    bool dark;
    uint64_t told_lists;
    uint64_t told_documents;
} machine_t;

static machine_t *machines; /* by node id, from 1 on: members, relays, gateways */
static uint32_t members;
static uint32_t relays;
static uint32_t gateways;
static uint64_t now_ms = 1000;
static uint64_t number;
static uint64_t version;
static int incarnations[SERVERS_MOST];
static uint32_t server_count;
static uint32_t lost_member;

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
    ServerRecord records[SERVERS_MOST];
    char ids[SERVERS_MOST][24];
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

static void tell_members(void)
{
    static uint8_t document[DOCUMENT_BYTES];
    struct buffer encoded = {0};
    encode_list(&encoded);
    for (uint32_t node = 1; node <= members; node++) {
        watch_state_put_servers(&machines[node].state, 1, number, buffer_view(&encoded));
        watch_state_put_document(&machines[node].state, version, view_of(document, sizeof(document)));
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
        if (member != lost_member) {
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

static void tell(uint32_t from, struct watch_entry *entry, uint64_t sequence)
{
    static watch_told_t told;
    machine_t *teller = &machines[from];
    machine_t *watcher = &machines[entry->node];
    WatchUpdate *update = &told.update;
    memset(&told, 0, sizeof(told));
    update->sequence = sequence;
    update->fresh = is_fresh(from);
    update->age_ms = is_member(from) ? 0 : (uint32_t)(now_ms - teller->client.fresh_ms);
    told.answers = sequence != 0;
    uint32_t relay = is_member(from) ? watch_server_refer(&teller->watched, entry, now_ms) : RAFT_NO_NODE;
    update->has_relay = relay != RAFT_NO_NODE;
    update->relay.node = relay;
    watch_server_tell(&teller->watched, entry, now_ms, &teller->state, &told);
    teller->told_lists += update->servers_told && update->servers_base == SERVER_LIST_NONE ? 1 : 0;
    teller->told_documents += update->document.length > 0 ? 1 : 0;
    watch_client_receive(&watcher->client, now_ms, from, update, &watcher->state);
    watch_told_close(&told);
}

static void step(void)
{
    uint32_t count = members + relays + gateways;
    for (uint32_t node = members + 1; node <= count; node++) {
        machine_t *machine = &machines[node];
        Watch watch;
        follow_referral(node);
        if (machine->dark || !watch_client_tick(&machine->client, now_ms, &machine->state, &watch)) {
            continue;
        }
        uint32_t target = machine->client.target;
        watch.relays = is_relay(node);
        struct watch_entry *entry =
            machines[target].dark ? NULL : watch_server_note(&machines[target].watched, now_ms, node, &watch);
        if (entry != NULL) {
            tell(target, entry, watch.sequence);
        }
    }
    for (uint32_t node = 1; node <= members + relays; node++) {
        machine_t *machine = &machines[node];
        for (uint32_t i = 0; i < machine->watched.count && !machine->dark; i++) {
            struct watch_entry *entry = &machine->watched.entries[i];
            if (watch_server_owes(&machine->watched, entry, now_ms, &machine->state, is_fresh(node))) {
                tell(node, entry, 0);
            }
        }
    }
    now_ms += STEP_MS;
}

/* ---- Commands ------------------------------------------------------------------------------------ */

static void begin_site(const script_command_t *command)
{
    for (uint32_t node = 0; machines != NULL && node < MACHINES; node++) {
        watch_state_close(&machines[node].state);
    }
    free(machines);
    machines = calloc(MACHINES, sizeof(*machines));
    members = (uint32_t)script_number(command, 1, 1);
    relays = (uint32_t)script_number(command, 2, 0);
    gateways = (uint32_t)script_number(command, 3, 1);
    for (uint32_t node = 1; node <= members; node++) {
        machines[node].watched.refer_above = WATCH_REFER_ABOVE;
    }
    number = 0;
    version = 1;
    server_count = 0;
    lost_member = 0;
}

static void run_site(const script_command_t *command)
{
    uint32_t first = members + relays + 1;
    uint32_t have = 0;
    uint32_t at_relays = 0;
    for (uint64_t end_ms = now_ms + script_number(command, 1, 0); now_ms < end_ms;) {
        step();
    }
    for (uint32_t node = first; node < first + gateways; node++) {
        const machine_t *machine = &machines[node];
        bool same = machine->state.servers.digest == machines[1].state.servers.digest &&
                    machine->state.document_version == version;
        have += same ? 1 : 0;
        at_relays += is_relay(machine->client.target) ? 1 : 0;
    }
    script_print("%u of %u have it, %u watch relays\n", have, gateways, at_relays);
}

static void print_told(void)
{
    uint64_t most[2][2] = {{0, 0}, {0, 0}};
    for (uint32_t node = 1; node <= members + relays; node++) {
        machine_t *machine = &machines[node];
        uint64_t *busiest = most[is_relay(node) ? 1 : 0];
        busiest[0] = machine->told_lists > busiest[0] ? machine->told_lists : busiest[0];
        busiest[1] = machine->told_documents > busiest[1] ? machine->told_documents : busiest[1];
        machine->told_lists = 0;
        machine->told_documents = 0;
    }
    int what = most[0][0] + most[1][0] > 0 ? 0 : 1;
    script_print("%s: member %u, relay %u\n", what == 0 ? "lists" : "documents", (uint32_t)most[0][what],
                 (uint32_t)most[1][what]);
}

static void darken(const script_command_t *command, bool dark)
{
    for (uint32_t node = members + 1; !dark && node <= members + relays; node++) {
        machines[node].dark = false;
    }
    for (int i = 1; dark && i < command->count; i++) {
        machines[members + script_number(command, i, 1)].dark = true;
    }
}

static void run(const script_command_t *command)
{
    if (script_is(command, 0, "site")) {
        begin_site(command);
    } else if (script_is(command, 0, "list")) {
        server_count = (uint32_t)script_number(command, 1, 1);
        number++;
        tell_members();
    } else if (script_is(command, 0, "replace")) {
        for (uint32_t i = 0; i < script_number(command, 1, 1); i++) {
            incarnations[i]++;
        }
        number++;
        tell_members();
    } else if (script_is(command, 0, "document")) {
        version++;
        tell_members();
    } else if (script_is(command, 0, "dark") || script_is(command, 0, "light")) {
        darken(command, script_is(command, 0, "dark"));
    } else if (script_is(command, 0, "lost")) {
        lost_member = (uint32_t)script_number(command, 1, 0);
    } else if (script_is(command, 0, "run")) {
        run_site(command);
    } else if (script_is(command, 0, "told")) {
        print_told();
    }
}

int main(int argc, char **argv)
{
    return argc > 1 ? script_main(argv[1], run) : 1;
}
