/* Health of servers and its effect on the choice of a server:
 *   servers COUNT SLOTS           new servers s1, s2, ... in one service and zone
 *   at MS                         sets the time
 *   record SERVER OUTCOME COUNT   records COUNT outcomes: served, failed, refused or unanswered
 *   other-failures SERVER PERCENT sets the sum of the failure shares seen by other gateways
 *   share SERVER                  prints the failure share in percent
 *   state SERVER                  prints the logged state: failing or healthy
 *   request COUNT                 places COUNT concurrent requests; prints the number at each server
 *   request COUNT home SERVER     the same for programs whose home is SERVER */
#include <stdio.h>
#include <string.h>

#include "base/buffer.h"
#include "script.h"
#include "server_fixture.h"

enum { MAX_REQUESTS = 256, NAME_MAX_BYTES = 32, HUNDRED = 100 };

static struct server_table servers;
static uint64_t server_count;
static uint64_t now_ms = 1000000;

static struct server *find(const char *name)
{
    struct server *server = NULL;
    HASH_FIND_STR(servers.servers, name, server);
    return server;
}

static struct server *server_of(const script_command_t *command, int position)
{
    char name[NAME_MAX_BYTES];
    script_copy(command, position, name, sizeof(name));
    return find(name);
}

static void reset_servers(uint64_t count, uint64_t slots)
{
    server_count = count < SERVER_FIXTURE_MAX ? count : SERVER_FIXTURE_MAX;
    server_fixture_start(&servers, server_count, slots);
}

static health_outcome_t outcome_of(const script_command_t *command)
{
    static const char *const names[] = {"served", "failed", "refused", "unanswered"};
    for (int i = 0; i < 4; i++) {
        if (script_is(command, 2, names[i])) {
            return (health_outcome_t)i;
        }
    }
    script_print("unknown outcome\n");
    return HEALTH_SERVED;
}

static void set_other_failures(const struct server *server, uint64_t percent)
{
    ServerLoad load = {.server = server->hash, .failures = (uint32_t)(percent * HEALTH_ONE / HUNDRED)};
    LoadTotals totals = {.loads_count = 1, .loads = &load};
    server_table_set_other_loads(&servers, now_ms, &totals);
}

static void place_requests(uint64_t count, const char *home)
{
    struct server *chosen[MAX_REQUESTS];
    struct server_criteria criteria = {.service = "service", .zone = "zone", .home = home};
    count = count < MAX_REQUESTS ? count : MAX_REQUESTS;
    for (uint64_t i = 0; i < count; i++) {
        chosen[i] = server_table_choose(&servers, now_ms, &criteria);
        server_begin_request(chosen[i], now_ms);
    }
    for (uint64_t i = 1; i <= server_count; i++) {
        char name[NAME_MAX_BYTES];
        snprintf(name, sizeof(name), "s%llu", (unsigned long long)i);
        script_print("%s %u\n", name, find(name)->in_flight);
    }
    for (uint64_t i = 0; i < count; i++) {
        server_end_request(&servers, chosen[i]);
    }
}

static void run(const script_command_t *command)
{
    struct server *server = server_of(command, 1);
    if (script_is(command, 0, "servers")) {
        reset_servers(script_number(command, 1, 0), script_number(command, 2, 1));
    } else if (script_is(command, 0, "at")) {
        now_ms = 1000000 + script_number(command, 1, 0);
    } else if (script_is(command, 0, "record") && server != NULL) {
        health_outcome_t outcome = outcome_of(command);
        for (uint64_t i = 0; i < script_number(command, 3, 1); i++) {
            health_record(&server->health, now_ms, outcome);
        }
    } else if (script_is(command, 0, "other-failures") && server != NULL) {
        set_other_failures(server, script_number(command, 2, 0));
    } else if (script_is(command, 0, "share") && server != NULL) {
        script_print("%u\n", (unsigned)((uint64_t)health_share(&server->health, now_ms) * HUNDRED / HEALTH_ONE));
    } else if (script_is(command, 0, "state") && server != NULL) {
        server->logged_failing =
            health_should_log_failing(server->logged_failing, health_share(&server->health, now_ms));
        script_print("%s\n", server->logged_failing ? "failing" : "healthy");
    } else if (script_is(command, 0, "request")) {
        char home[NAME_MAX_BYTES];
        script_copy(command, 3, home, sizeof(home));
        place_requests(script_number(command, 1, 0), home[0] == '\0' ? NULL : home);
    } else {
        script_print("unknown command\n");
    }
}

int main(int argc, char **argv)
{
    int status = script_main(argc > 1 ? argv[1] : "tests/scripted/health.script", run);
    server_table_close(&servers);
    return status;
}
