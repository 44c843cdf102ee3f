/* Servers that start again under their id:
 *   list ENTRY...             a whole list; ENTRY is ID, ID@BORN, either with /PORT and with ! where it leaves
 *   change ENTRY... gone ID...    what changed since
 *   tell ID                   what is known of the server that now has the id
 *   used ID                   it runs a program's turn, which reads a prompt there, and fails once
 *   misplaced ID              another one answered at its address
 *   full ID                   it refused
 *   begin ID | end            a request begins there; the oldest one ends
 *   home                      where the program's next turn goes: to its home, or elsewhere
 *   stored NAME               what the state holds as the program's home
 *   later MS                  so much later the table looks at what is late
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"
#include "core/server_table.h"
#include "script.h"

enum { ENTRIES = 8, NAME = 32, CALLS = 8, TOKENS = 500, SLOTS = 4 };

static struct server_table servers;
static struct server *begun[CALLS];
static int begun_count;
static char home[NAME];
static uint64_t now_ms = 1000;

/* ---- Lists ------------------------------------------------------------------------------- */

static char texts[ENTRIES][2][NAME];

static ServerRecord record_of(const script_command_t *command, int position, int place)
{
    char *id = texts[place][0];
    char *address = texts[place][1];
    script_copy(command, position, id, NAME);
    char *leaves = strchr(id, '!');
    char *port = strchr(id, '/');
    char *born = strchr(id, '@');
    snprintf(address, NAME, "10.0.0.1:%lu", port == NULL ? 80 : strtoul(port + 1, NULL, 10));
    ServerRecord record = {
        .id = id,
        .service = (char *)(uintptr_t) "service",
        .zone = (char *)(uintptr_t) "zone",
        .address = address,
        .slots = SLOTS,
        .draining = leaves != NULL,
        .born = born == NULL ? 0 : strtoull(born + 1, NULL, 10),
    };
    id[strcspn(id, "@/!")] = '\0';
    return record;
}

static void take_list(const script_command_t *command)
{
    ServerRecord records[ENTRIES];
    ServerList list = {.servers = records};
    for (int i = 1; i < command->count; i++) {
        records[list.servers_count] = record_of(command, i, (int)list.servers_count);
        list.servers_count++;
    }
    server_table_update(&servers, &list);
}

static void take_changes(const script_command_t *command)
{
    ServerRecord records[ENTRIES];
    ServerList list = {.servers = records};
    char ids[ENTRIES][NAME];
    char *gone[ENTRIES];
    size_t gone_count = 0;
    int i = 1;
    for (; i < command->count && !script_is(command, i, "gone"); i++) {
        records[list.servers_count] = record_of(command, i, (int)list.servers_count);
        list.servers_count++;
    }
    for (i++; i < command->count; i++) {
        script_copy(command, i, ids[gone_count], NAME);
        gone[gone_count] = ids[gone_count];
        gone_count++;
    }
    server_table_change(&servers, gone, gone_count, &list);
}

/* ---- Servers ----------------------------------------------------------------------------- */

static struct server *find(const script_command_t *command)
{
    char name[NAME];
    struct server *server = NULL;
    script_copy(command, 1, name, sizeof(name));
    HASH_FIND_STR(servers.servers, name, server);
    return server;
}

static prefix_chain_t prompt(void)
{
    prefix_chain_t chain = {0};
    prefix_chain_add(&chain, view_of_string("part"), TOKENS);
    return chain;
}

static void tell(const struct server *server)
{
    prefix_chain_t chain = prompt();
    if (server == NULL) {
        script_print("none\n");
        return;
    }
    script_print("%s, %s%s%s%u calls, %u tokens to read%s\n", server->address, server->listed ? "" : "not listed, ",
                 server->draining ? "leaving, " : "", server->misplaced ? "misplaced, " : "", server->calls,
                 prefix_table_missing(&server->prefixes, now_ms, &chain),
                 health_share(&server->health, now_ms) > 0 ? ", has failed" : "");
}

static void use(struct server *server)
{
    prefix_chain_t chain = prompt();
    prefix_table_note(&server->prefixes, now_ms, &chain);
    health_note(&server->health, now_ms, HEALTH_FAILED);
    snprintf(home, sizeof(home), "%s", server->life);
}

static void go_home(void)
{
    struct server_wish wish = {.service = "service", .zone = "zone", .home = home};
    struct server *idle[ENTRIES];
    struct server *chosen = server_table_choose(&servers, now_ms, &wish);
    int away = 0;
    /* Where it has no home it goes to any one: ties are broken anew with each choice. */
    for (int i = 0; i < ENTRIES; i++) {
        idle[i] = server_table_choose(&servers, now_ms, &wish);
        away += idle[i] != chosen ? 1 : 0;
    }
    script_print(chosen == NULL ? "nowhere\n" : away == 0 ? "home\n" : "anywhere\n");
}

static void run_call(const script_command_t *command)
{
    if (script_is(command, 0, "begin")) {
        struct server *server = find(command);
        server_begin(server, now_ms);
        begun[begun_count++] = server;
    } else {
        server_end(&servers, begun[0]);
        memmove(begun, begun + 1, (size_t)--begun_count * sizeof(begun[0]));
    }
}

static void run(const script_command_t *command)
{
    now_ms++;
    if (script_is(command, 0, "list")) {
        take_list(command);
    } else if (script_is(command, 0, "change")) {
        take_changes(command);
    } else if (script_is(command, 0, "tell")) {
        tell(find(command));
    } else if (script_is(command, 0, "used")) {
        use(find(command));
    } else if (script_is(command, 0, "misplaced")) {
        find(command)->misplaced = true;
    } else if (script_is(command, 0, "full")) {
        server_refused(&servers, find(command), now_ms);
    } else if (script_is(command, 0, "home")) {
        go_home();
    } else if (script_is(command, 0, "later")) {
        server_table_review(&servers, now_ms);
        now_ms += script_number(command, 1, 0);
        server_table_review(&servers, now_ms);
    } else if (script_is(command, 0, "stored")) {
        script_copy(command, 1, home, sizeof(home));
    } else {
        run_call(command);
    }
}

int main(int argc, char **argv)
{
    int status = argc > 1 ? script_main(argv[1], run) : 1;
    server_table_close(&servers);
    return status;
}
