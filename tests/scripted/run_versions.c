/* Choice of the server that resumes a stream, by the software version that began it. Servers drain for 3,000 ms.
 *   servers NAME VERSION...       a list of servers with their versions ("-": the list does not tell it)
 *   drain | dead | full SERVER... the servers are listed as draining, their machines do not respond, or they refused a
 *                                 request
 *   restart SERVER VERSION        the server is listed under its id and address with another version
 *   choose [VERSION [tried SERVER]]
 *                                 where a request goes; with a version: one that resumes a stream of that version
 *   serves VERSION [SERVER]       whether a server of the version, other than SERVER, may take the stream sooner or
 * later wait MS */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "script.h"
#include "server_fixture.h"

enum { DRAIN_MS = 3000, SLOTS = 4 };

static struct server_table servers;
static char names[SERVER_FIXTURE_MAX][SERVER_FIXTURE_NAME_MAX];
static char versions[SERVER_FIXTURE_MAX][SERVER_FIXTURE_NAME_MAX];
static char addresses[SERVER_FIXTURE_MAX][SERVER_FIXTURE_NAME_MAX];
static bool draining[SERVER_FIXTURE_MAX];
static uint32_t count;
static uint64_t now_ms;

static void apply_list(void)
{
    ServerRecord records[SERVER_FIXTURE_MAX];
    memset(records, 0, sizeof(records));
    for (uint32_t i = 0; i < count; i++) {
        records[i].id = names[i];
        records[i].service = (char *)(uintptr_t) "service";
        records[i].zone = (char *)(uintptr_t) "zone";
        records[i].address = addresses[i];
        records[i].version = versions[i];
        records[i].slots = SLOTS;
        records[i].draining = draining[i];
    }
    ServerList list = {.servers_count = (pb_size_t)count, .servers = records};
    server_table_update(&servers, &list);
    server_table_record_drains(&servers, now_ms);
}

static void copy_version(const script_command_t *command, int word, char *out)
{
    script_copy(command, word, out, SERVER_FIXTURE_NAME_MAX);
    out[0] = out[0] == '-' ? '\0' : out[0];
}

static void list_servers(const script_command_t *command)
{
    server_table_close(&servers);
    memset(&servers, 0, sizeof(servers));
    memset(draining, 0, sizeof(draining));
    now_ms = 1000000;
    count = 0;
    for (int word = 1; word + 1 < command->count && count < SERVER_FIXTURE_MAX; word += 2) {
        script_copy(command, word, names[count], SERVER_FIXTURE_NAME_MAX);
        copy_version(command, word + 1, versions[count]);
        snprintf(addresses[count], sizeof(addresses[count]), "127.0.0.1:%u", count + 1);
        count++;
    }
    apply_list();
}

static uint32_t server_position(const script_command_t *command, int word)
{
    char name[SERVER_FIXTURE_NAME_MAX];
    uint32_t position = 0;
    script_copy(command, word, name, sizeof(name));
    while (position + 1 < count && strcmp(names[position], name) != 0) {
        position++;
    }
    return position;
}

static void make_dead(struct server *server)
{
    server->reach.unreachable = true;
    server->reach.confirmed_unreachable = true;
    server->reach.peer_silent = true;
}

static void change_servers(const script_command_t *command)
{
    for (int word = 1; word < command->count; word++) {
        uint32_t position = server_position(command, word);
        struct server *server = server_table_find(&servers, names[position]);
        draining[position] = draining[position] || script_is(command, 0, "drain");
        if (script_is(command, 0, "dead")) {
            make_dead(server);
        } else if (script_is(command, 0, "full")) {
            server_record_refused(&servers, server, now_ms);
        }
    }
    apply_list();
}

static void restart_server(const script_command_t *command)
{
    uint32_t position = server_position(command, 1);
    copy_version(command, 2, versions[position]);
    draining[position] = false;
    apply_list();
}

static void choose(const script_command_t *command)
{
    char version[SERVER_FIXTURE_NAME_MAX];
    struct server_criteria criteria = {.service = "service", .zone = "zone", .drain_ms = DRAIN_MS};
    script_copy(command, 1, version, sizeof(version));
    criteria.version = command->count > 1 ? version : NULL;
    if (script_is(command, 2, "tried")) {
        server_criteria_add_tried(&criteria, server_table_find(&servers, names[server_position(command, 3)]));
    }
    const struct server *server = server_table_choose(&servers, now_ms, &criteria);
    script_print("%s\n", server == NULL ? "none" : server->id);
}

static void print_serves(const script_command_t *command)
{
    char version[SERVER_FIXTURE_NAME_MAX];
    script_copy(command, 1, version, sizeof(version));
    struct server_criteria criteria = {.service = "service", .version = version, .drain_ms = DRAIN_MS};
    const struct server *except =
        command->count > 2 ? server_table_find(&servers, names[server_position(command, 2)]) : NULL;
    script_print("%s\n", server_table_has_version(&servers, now_ms, &criteria, except) ? "yes" : "no");
}

static void run(const script_command_t *command)
{
    if (script_is(command, 0, "servers")) {
        list_servers(command);
    } else if (script_is(command, 0, "choose")) {
        choose(command);
    } else if (script_is(command, 0, "serves")) {
        print_serves(command);
    } else if (script_is(command, 0, "restart")) {
        restart_server(command);
    } else if (script_is(command, 0, "wait")) {
        now_ms += script_number(command, 1, 0);
    } else {
        change_servers(command);
    }
}

int main(int argc, char **argv)
{
    int result = argc > 1 ? script_main(argv[1], run) : 1;
    server_table_close(&servers);
    return result;
}
