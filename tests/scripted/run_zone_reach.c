/* Zones that a gateway in z1 cannot reach, and the selection of servers:
 *   restart [uncounted]      the gateway loses its state; `uncounted`: zones are not counted, as without the setting
 *   servers ID/ZONE[+]...    the list of servers, with 2 slots each; + if one has just started
 *   failed ID MS             a connection attempt to the server timed out
 *   lost ID MS               the server has become unreachable itself
 *   received ID              the server sent data, or a probe of it succeeded
 *   stalled ID               a probe of the server ended while the gateway stalled
 *   refused ID               the server has just refused a request; it is skipped for a moment
 *   busy ID | idle ID        a request of the gateway begins or ends at the server
 *   unreachable              prints the unreachable zones
 *   limit [token ID]         starts are limited; the gateway holds a token for the server
 *   zone-first               the gateway prefers its own zone while it has room
 *   choose COUNT [home ID]   chooses servers for concurrent requests; prints how many each server got
 *   starting                 prints the server that a token is asked for
 * The events print the state change of the server's zone, if any. */
#include <string.h>

#include "core/server_table.h"
#include "script.h"

enum { NAME_BYTES = 32, MAX_SERVERS = 16, SLOTS = 2, NOW_MS = 100000 };

static zone_reach_t zones;
static struct server_table servers;
static struct server_criteria criteria;
static char token[NAME_BYTES];

static bool has_start_token(void *context, const struct server *server)
{
    (void)context;
    return strcmp(server->id, token) == 0;
}

static void restart(bool counted)
{
    server_table_close(&servers);
    zone_reach_close(&zones);
    memset(&servers, 0, sizeof(servers));
    memset(&zones, 0, sizeof(zones));
    zones.own_zone = "z1";
    servers.zone_reach = counted ? &zones : NULL;
    criteria = (struct server_criteria){.service = "service", .zone = "z1"};
}

static void set_servers(const script_command_t *command)
{
    char texts[MAX_SERVERS][NAME_BYTES];
    ServerRecord records[MAX_SERVERS];
    ServerList list = {.servers = records};
    for (int i = 1; i < command->count && i <= MAX_SERVERS; i++) {
        char *text = texts[i - 1];
        script_copy(command, i, text, NAME_BYTES);
        char *zone = strchr(text, '/');
        char *started = strchr(text, '+');
        *zone = '\0';
        if (started != NULL) {
            *started = '\0';
        }
        records[list.servers_count++] = (ServerRecord){
            .id = text,
            .zone = zone + 1,
            .service = (char *)(uintptr_t) "service",
            .address = (char *)(uintptr_t) "127.0.0.1:1",
            .slots = SLOTS,
            .cold_ms = started != NULL ? 1 : 0,
        };
    }
    server_table_update(&servers, &list);
}

static struct server *find_server(const script_command_t *command, int position)
{
    char id[NAME_BYTES];
    script_copy(command, position, id, sizeof(id));
    return server_table_find_incarnation(&servers, id);
}

static void print_change(const struct server *server, zone_reach_change_t change)
{
    const zone_reach_zone_t *zone = server->zone_reach.zone;
    switch (change) {
    case ZONE_REACH_UNCHANGED: break;
    case ZONE_REACH_UNREACHABLE:
        script_print("%s unreachable since %llu, %u failed\n", zone->name, (unsigned long long)zone->since_ms,
                     zone->failed_servers);
        break;
    case ZONE_REACH_RECOVERED: script_print("%s recovered, %u failed\n", zone->name, zone->failed_servers); break;
    }
}

static void print_unreachable(void)
{
    script_print("%u:", zone_reach_count_unreachable(&zones));
    for (const zone_reach_zone_t *zone = zones.zones; zone != NULL; zone = zone->hh.next) {
        script_print("%s%s", zone->unreachable ? " " : "", zone->unreachable ? zone->name : "");
    }
    script_print("\n");
}

static void choose_servers(const script_command_t *command)
{
    char home[NAME_BYTES];
    uint32_t before[MAX_SERVERS];
    int position = 0;
    script_copy(command, 3, home, sizeof(home));
    criteria.home = script_is(command, 2, "home") ? home : NULL;
    for (const struct server *server = servers.servers; server != NULL; server = server->hh.next) {
        before[position++] = server->in_flight;
    }
    for (uint64_t i = 0; i < script_number(command, 1, 1); i++) {
        struct server *server = server_table_choose(&servers, NOW_MS, &criteria);
        if (server == NULL) {
            script_print("none\n");
            return;
        }
        server_begin_request(server, NOW_MS);
    }
    position = 0;
    for (struct server *server = servers.servers; server != NULL; server = server->hh.next) {
        uint32_t chosen = server->in_flight - before[position];
        server->in_flight = before[position++];
        script_print("%s%s %u", position > 1 ? ", " : "", server->id, chosen);
    }
    script_print("\n");
}

static void print_starting(void)
{
    const struct server *server = server_table_choose_starting(&servers, NOW_MS, &criteria);
    script_print("%s\n", server == NULL ? "none" : server->id);
}

static void record_event(const script_command_t *command, struct server *server)
{
    uint64_t at_ms = script_number(command, 2, 0);
    if (script_is(command, 0, "failed") || script_is(command, 0, "lost")) {
        server->reach.unreachable = server->reach.unreachable || script_is(command, 0, "lost");
        print_change(server, zone_reach_record_failure(&server->zone_reach, at_ms));
    } else if (script_is(command, 0, "received")) {
        reach_record_received(&server->reach);
        print_change(server, zone_reach_record_received(&server->zone_reach));
    } else if (script_is(command, 0, "stalled")) {
        print_change(server, zone_reach_drop_failure(&server->zone_reach));
    } else if (script_is(command, 0, "refused")) {
        server_record_refused(&servers, server, NOW_MS);
    } else if (script_is(command, 0, "busy")) {
        server_begin_request(server, NOW_MS);
    } else if (script_is(command, 0, "idle")) {
        server_end_request(&servers, server);
    }
}

static void run(const script_command_t *command)
{
    struct server *server = find_server(command, 1);
    if (script_is(command, 0, "restart")) {
        restart(!script_is(command, 1, "uncounted"));
    } else if (script_is(command, 0, "servers")) {
        set_servers(command);
    } else if (script_is(command, 0, "unreachable")) {
        print_unreachable();
    } else if (script_is(command, 0, "limit")) {
        criteria.has_start_token = has_start_token;
        script_copy(command, 2, token, sizeof(token));
    } else if (script_is(command, 0, "zone-first")) {
        criteria.zone_first = true;
    } else if (script_is(command, 0, "choose")) {
        choose_servers(command);
    } else if (script_is(command, 0, "starting")) {
        print_starting();
    } else if (server != NULL) {
        record_event(command, server);
    } else {
        script_print("unknown command or server\n");
    }
}

int main(int argc, char **argv)
{
    int status = argc > 1 ? script_main(argv[1], run) : 1;
    server_table_close(&servers);
    zone_reach_close(&zones);
    return status;
}
