/* Servers that restart with the same id:
 *   list ENTRY...             applies a full list; ENTRY is ID[@START][/PORT][!], ! if the server is leaving
 *   change ENTRY... gone ID...    applies changes to the list
 *   show ID                   prints the state of the server that currently has the id
 *   used ID                   it becomes the program's home (server of its last turn), caches its prompt and fails once
 *   address-reused ID         another server answers at its address
 *   full ID                   it refuses a request
 *   begin ID | end            a request starts at the server; the oldest request ends
 *   home                      prints where the program's next turns go: home, anywhere or nowhere
 *   stored NAME               sets the home to a name read from stored state: ID@START, or ID from earlier versions
 *   later MS                  advances the time and applies deferred records (server_table.h)
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"
#include "core/server_table.h"
#include "script.h"

enum { MAX_ENTRIES = 8, NAME_BYTES = 32, MAX_REQUESTS = 8, TOKENS = 500, SLOTS = 4 };

static struct server_table servers;
static struct server *requests[MAX_REQUESTS];
static int request_count;
static char home[NAME_BYTES];
static uint64_t now_ms = 1000;

/* ---- Lists ------------------------------------------------------------------------------- */

static char texts[MAX_ENTRIES][2][NAME_BYTES];

static ServerRecord record_of(const script_command_t *command, int position, int index)
{
    char *id = texts[index][0];
    char *address = texts[index][1];
    script_copy(command, position, id, NAME_BYTES);
    char *leaving = strchr(id, '!');
    char *port = strchr(id, '/');
    char *start = strchr(id, '@');
    snprintf(address, NAME_BYTES, "10.0.0.1:%lu", port == NULL ? 80 : strtoul(port + 1, NULL, 10));
    ServerRecord record = {
        .id = id,
        .service = (char *)(uintptr_t) "service",
        .zone = (char *)(uintptr_t) "zone",
        .address = address,
        .slots = SLOTS,
        .draining = leaving != NULL,
        .born = start == NULL ? 0 : strtoull(start + 1, NULL, 10),
    };
    id[strcspn(id, "@/!")] = '\0';
    return record;
}

static void apply_list(const script_command_t *command)
{
    ServerRecord records[MAX_ENTRIES];
    ServerList list = {.servers = records};
    for (int i = 1; i < command->count; i++) {
        records[list.servers_count] = record_of(command, i, (int)list.servers_count);
        list.servers_count++;
    }
    server_table_update(&servers, &list);
}

static void apply_changes(const script_command_t *command)
{
    ServerRecord records[MAX_ENTRIES];
    ServerList list = {.servers = records};
    char ids[MAX_ENTRIES][NAME_BYTES];
    char *removed[MAX_ENTRIES];
    size_t removed_count = 0;
    int i = 1;
    for (; i < command->count && !script_is(command, i, "gone"); i++) {
        records[list.servers_count] = record_of(command, i, (int)list.servers_count);
        list.servers_count++;
    }
    for (i++; i < command->count; i++) {
        script_copy(command, i, ids[removed_count], NAME_BYTES);
        removed[removed_count] = ids[removed_count];
        removed_count++;
    }
    server_table_apply_changes(&servers, removed, removed_count, &list);
}

/* ---- Servers ----------------------------------------------------------------------------- */

static struct server *find(const script_command_t *command)
{
    char name[NAME_BYTES];
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

static void show(const struct server *server)
{
    prefix_chain_t chain = prompt();
    if (server == NULL) {
        script_print("none\n");
        return;
    }
    script_print("%s, %s%s%s%u requests, %u tokens uncached%s\n", server->address, server->listed ? "" : "not listed, ",
                 server->draining ? "leaving, " : "", server->address_reused ? "address reused, " : "",
                 server->in_flight, prefix_table_uncached_tokens(&server->prefixes, now_ms, &chain),
                 health_share(&server->health, now_ms) > 0 ? ", has failed" : "");
}

static void record_use(struct server *server)
{
    prefix_chain_t chain = prompt();
    prefix_table_record(&server->prefixes, now_ms, &chain);
    health_record(&server->health, now_ms, HEALTH_FAILED);
    snprintf(home, sizeof(home), "%s", server->incarnation);
}

static void print_choice(void)
{
    struct server_criteria criteria = {.service = "service", .zone = "zone", .home = home};
    struct server *choices[MAX_ENTRIES];
    struct server *chosen = server_table_choose(&servers, now_ms, &criteria);
    int differing = 0;
    /* Without a home the choice varies, because ties are broken differently each time. */
    for (int i = 0; i < MAX_ENTRIES; i++) {
        choices[i] = server_table_choose(&servers, now_ms, &criteria);
        differing += choices[i] != chosen ? 1 : 0;
    }
    script_print(chosen == NULL ? "nowhere\n" : differing == 0 ? "home\n" : "anywhere\n");
}

static void run_request(const script_command_t *command)
{
    if (script_is(command, 0, "begin")) {
        struct server *server = find(command);
        server_begin_request(server, now_ms);
        requests[request_count++] = server;
    } else {
        server_end_request(&servers, requests[0]);
        memmove(requests, requests + 1, (size_t)--request_count * sizeof(requests[0]));
    }
}

static void run(const script_command_t *command)
{
    now_ms++;
    if (script_is(command, 0, "list")) {
        apply_list(command);
    } else if (script_is(command, 0, "change")) {
        apply_changes(command);
    } else if (script_is(command, 0, "show")) {
        show(find(command));
    } else if (script_is(command, 0, "used")) {
        record_use(find(command));
    } else if (script_is(command, 0, "address-reused")) {
        find(command)->address_reused = true;
    } else if (script_is(command, 0, "full")) {
        server_record_refused(&servers, find(command), now_ms);
    } else if (script_is(command, 0, "home")) {
        print_choice();
    } else if (script_is(command, 0, "later")) {
        server_table_apply_deferred(&servers, now_ms);
        now_ms += script_number(command, 1, 0);
        server_table_apply_deferred(&servers, now_ms);
    } else if (script_is(command, 0, "stored")) {
        script_copy(command, 1, home, sizeof(home));
    } else {
        run_request(command);
    }
}

int main(int argc, char **argv)
{
    int status = argc > 1 ? script_main(argv[1], run) : 1;
    server_table_close(&servers);
    return status;
}
