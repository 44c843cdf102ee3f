/* Zones that a gateway in z1 cannot reach:
 *   servers ID/ZONE...       new servers; all of them are reachable
 *   failed ID MS             a server has become unreachable, or a connection attempt to it timed out
 *   received ID              a server sent data, or a probe of it succeeded
 *   dropped ID               a server left the list, or its failure was not counted because the gateway stalled
 *   unreachable              prints the unreachable zones
 * The events print the state change of the server's zone, if any. */
#include <string.h>

#include "core/zone_reach.h"
#include "script.h"

enum { NAME_BYTES = 32, MAX_SERVERS = 16 };

typedef struct test_server_t {
    char id[NAME_BYTES];
    zone_reach_server_t reach;
} test_server_t;

static zone_reach_t zones;
static test_server_t servers[MAX_SERVERS];
static int server_count;

static void set_servers(const script_command_t *command)
{
    zone_reach_close(&zones);
    memset(servers, 0, sizeof(servers));
    zones.own_zone = "z1";
    server_count = command->count - 1;
    for (int i = 0; i < server_count; i++) {
        char *id = servers[i].id;
        script_copy(command, i + 1, id, NAME_BYTES);
        char *zone = strchr(id, '/');
        *zone = '\0';
        zone_reach_assign(&zones, &servers[i].reach, zone + 1);
    }
}

static zone_reach_server_t *find_server(const script_command_t *command)
{
    for (int i = 0; i < server_count; i++) {
        if (script_is(command, 1, servers[i].id)) {
            return &servers[i].reach;
        }
    }
    return NULL;
}

static void print_change(const zone_reach_server_t *server, zone_reach_change_t change)
{
    switch (change) {
    case ZONE_REACH_UNCHANGED: break;
    case ZONE_REACH_UNREACHABLE:
        script_print("%s unreachable since %llu, %u failed\n", server->zone->name,
                     (unsigned long long)server->zone->since_ms, server->zone->failed_servers);
        break;
    case ZONE_REACH_RECOVERED:
        script_print("%s recovered, %u failed\n", server->zone->name, server->zone->failed_servers);
        break;
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

static void run(const script_command_t *command)
{
    zone_reach_server_t *server = find_server(command);
    if (script_is(command, 0, "servers")) {
        set_servers(command);
    } else if (script_is(command, 0, "unreachable")) {
        print_unreachable();
    } else if (server == NULL) {
        script_print("unknown command or server\n");
    } else if (script_is(command, 0, "failed")) {
        print_change(server, zone_reach_record_failure(server, script_number(command, 2, 0)));
    } else if (script_is(command, 0, "received")) {
        print_change(server, zone_reach_record_received(server));
    } else if (script_is(command, 0, "dropped")) {
        print_change(server, zone_reach_drop_failure(server));
    }
}

int main(int argc, char **argv)
{
    int status = argc > 1 ? script_main(argv[1], run) : 1;
    zone_reach_close(&zones);
    return status;
}
