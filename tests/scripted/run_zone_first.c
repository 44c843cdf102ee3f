/* Preference for the gateway's own zone: three zones z1, z2, z3 with 18 gateways in each.
 *   zones COUNT SLOTS             new servers s1, s2, ..., COUNT in each zone, in the order of the zones
 *   all-zones | zone-first        whether gateways compare all zones, or prefer their own while it has room
 *   request ZONE COUNT [home SERVER] [tried SERVER]
 *                                 a gateway of the zone places COUNT concurrent requests, which stay in flight; prints
 *                                 how many of them each zone got
 *   busy SERVER COUNT             COUNT requests of a gateway of z1 run on the server
 *   end [slow SERVER]             ends all requests, except those on a slow server
 *   at SERVER                     prints the requests in flight at the server
 *   report                        the leader tells all gateways the loads of the others
 *   expire                        the leader is gone until the reported loads have expired
 *   fail SERVER COUNT             COUNT requests of all gateways fail on the server
 *   refuse | unreachable | reachable | leave SERVER...
 *                                 the servers refuse a request, become unreachable or reachable, or are leaving
 *   start SERVER [token]          the server has just started and its starts are limited; `token`: there is one
 *   drain | open ZONE             the zone is drained or opened
 *   steady PERCENT REQUESTS       places requests at random gateways with PERCENT of the slots in use, comparing all
 *                                 zones and then preferring the own one; prints how many crossed zones, the ratio with
 *                                 the preference to without (both rounded to tens), and whether the preference made the
 *                                 longest queue at a server longer */
#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"
#include "script.h"
#include "server_fixture.h"

enum {
    ZONES = 3,
    GATEWAYS_PER_ZONE = 18,
    GATEWAYS = ZONES * GATEWAYS_PER_ZONE,
    MAX_REQUESTS = 256,
    STEP_MS = 40,          /* 48 requests in flight take two seconds each */
    STEPS_PER_REPORT = 5,  /* gateways report every 200 ms */
    PROMPT_KINDS = 6,      /* different shared parts: three for each of two kinds of programs */
    SHARED_TOKENS = 12600, /* of a prompt */
    UNSHARED_TOKENS = 500, /* of a prompt */
    OUTPUT_TOKENS = 100,
    IDLE_MS = 4000, /* lifetime of an idle connection */
    LOADS_MS = 100, /* interval of the leader's lists of loads; their lifetime has a higher minimum */
    ROUNDING = 10,  /* of printed percentages, so that the output does not depend on ties */
    PERCENT = 100
};

typedef struct request_t {
    int gateway;
    struct server *server;
} request_t;

static const char *const zone_names[ZONES] = {"z1", "z2", "z3"};
static struct server_table gateways[GATEWAYS]; /* in the order of the zones */
static zone_set_t drained;
static uint64_t idle_until_ms[GATEWAYS][SERVER_FIXTURE_MAX]; /* when a gateway closes its idle connection */
static request_t requests[MAX_REQUESTS];
static uint32_t request_count;
static uint64_t servers_per_zone;
static uint64_t slots;
static uint64_t now_ms;
static uint64_t random_state;
static bool zone_first;
static bool starts_limited;
static bool start_token;

static uint32_t random_below(uint32_t limit)
{
    random_state = random_state * 6364136223846793005ULL + 1442695040888963407ULL;
    return (uint32_t)((random_state >> 33) % limit);
}

static bool has_start_token(void *context, const struct server *server)
{
    (void)context;
    (void)server;
    return start_token;
}

static int server_index(const char *address)
{
    return (int)strtoul(strchr(address, ':') + 1, NULL, 10) - 1;
}

static bool has_idle_connection(void *context, const char *address)
{
    const uint64_t *until_ms = context;
    return now_ms < until_ms[server_index(address)];
}

static struct server *find(const struct server_table *gateway, const char *name)
{
    struct server *server = NULL;
    HASH_FIND_STR(gateway->servers, name, server);
    return server;
}

static int zone_index(const char *zone)
{
    int index = 0;
    while (index < ZONES - 1 && strcmp(zone_names[index], zone) != 0) {
        index++;
    }
    return index;
}

static void start_servers(uint64_t count, uint64_t slots_each)
{
    servers_per_zone = count;
    slots = slots_each;
    request_count = 0;
    starts_limited = false;
    start_token = false;
    now_ms = 1000000;
    random_state = 7;
    zone_set_close(&drained);
    memset(&drained, 0, sizeof(drained));
    memset(idle_until_ms, 0, sizeof(idle_until_ms));
    for (int i = 0; i < GATEWAYS; i++) {
        server_fixture_start_zones(&gateways[i], zone_names, ZONES, servers_per_zone, slots);
        gateways[i].drained = &drained;
    }
}

static struct server *begin_request(int gateway, struct server_criteria *criteria)
{
    criteria->service = "service";
    criteria->zone = zone_names[gateway / GATEWAYS_PER_ZONE];
    criteria->zone_first = zone_first;
    criteria->has_start_token = starts_limited ? has_start_token : NULL;
    struct server *server = server_table_choose(&gateways[gateway], now_ms, criteria);
    if (server != NULL && request_count < MAX_REQUESTS) {
        server_begin_request(server, now_ms);
        requests[request_count++] = (request_t){gateway, server};
    }
    return server;
}

static void end_request(uint32_t index)
{
    const request_t *request = &requests[index];
    idle_until_ms[request->gateway][server_index(request->server->address)] = now_ms + IDLE_MS;
    server_end_request(&gateways[request->gateway], request->server);
    requests[index] = requests[--request_count];
}

static void place_requests(const script_command_t *command)
{
    char zone[SERVER_FIXTURE_NAME_MAX];
    char name[SERVER_FIXTURE_NAME_MAX];
    uint32_t placed[ZONES] = {0};
    script_copy(command, 1, zone, sizeof(zone));
    script_copy(command, 4, name, sizeof(name));
    int gateway = zone_index(zone) * GATEWAYS_PER_ZONE;
    for (uint64_t i = 0; i < script_number(command, 2, 1); i++) {
        struct server_criteria criteria = {.home = script_is(command, 3, "home") ? name : NULL};
        if (script_is(command, 3, "tried")) {
            server_criteria_add_tried(&criteria, find(&gateways[gateway], name));
        }
        const struct server *server = begin_request(gateway, &criteria);
        placed[server == NULL ? 0 : zone_index(server->zone)] += server == NULL ? 0 : 1;
    }
    script_print("z1 %u z2 %u z3 %u\n", placed[0], placed[1], placed[2]);
}

static void add_requests(const char *name, uint64_t count)
{
    for (uint64_t i = 0; i < count && request_count < MAX_REQUESTS; i++) {
        struct server *server = find(&gateways[0], name);
        server_begin_request(server, now_ms);
        requests[request_count++] = (request_t){0, server};
    }
}

static void end_requests(const char *slow)
{
    for (uint32_t i = request_count; i > 0; i--) {
        if (strcmp(requests[i - 1].server->id, slow) != 0) {
            end_request(i - 1);
        }
    }
}

static uint32_t total_in_flight(const char *name)
{
    uint32_t total = 0;
    for (int i = 0; i < GATEWAYS; i++) {
        total += find(&gateways[i], name)->in_flight;
    }
    return total;
}

static void report_loads(void)
{
    for (int i = 0; i < GATEWAYS; i++) {
        ServerLoad loads[SERVER_FIXTURE_MAX];
        LoadTotals totals = {.loads = loads, .loads_ms = LOADS_MS};
        for (const struct server *server = gateways[i].servers; server != NULL; server = server->hh.next) {
            uint32_t others = total_in_flight(server->id) - server->in_flight;
            loads[totals.loads_count++] = (ServerLoad){.server = server->hash, .calls = others};
        }
        server_table_set_other_loads(&gateways[i], now_ms, &totals);
    }
}

static void change_server(const script_command_t *command, const char *name)
{
    for (int i = 0; i < GATEWAYS; i++) {
        struct server *server = find(&gateways[i], name);
        if (script_is(command, 0, "fail")) {
            for (uint64_t j = 0; j < script_number(command, 2, 1); j++) {
                health_record(&server->health, now_ms, HEALTH_FAILED);
            }
        } else if (script_is(command, 0, "refuse")) {
            server_record_refused(&gateways[i], server, now_ms);
        } else if (script_is(command, 0, "leave")) {
            server->draining = true;
        } else if (script_is(command, 0, "start")) {
            server->starting = true;
        } else {
            server->reach.unreachable = script_is(command, 0, "unreachable");
        }
    }
}

static void change_servers(const script_command_t *command)
{
    bool one = script_is(command, 0, "fail") || script_is(command, 0, "start");
    for (int i = 1; i < command->count && (i == 1 || !one); i++) {
        char name[SERVER_FIXTURE_NAME_MAX];
        script_copy(command, i, name, sizeof(name));
        change_server(command, name);
    }
    starts_limited = starts_limited || script_is(command, 0, "start");
    start_token = script_is(command, 2, "token");
}

static void change_zone(const script_command_t *command)
{
    char zone[SERVER_FIXTURE_NAME_MAX];
    script_copy(command, 1, zone, sizeof(zone));
    zone_set_put(&drained, zone, script_is(command, 0, "drain"));
    for (int i = 0; i < GATEWAYS; i++) {
        server_table_zones_changed(&gateways[i], now_ms);
    }
}

static uint64_t longest_queue(void)
{
    uint64_t longest = 0;
    for (const struct server *server = gateways[0].servers; server != NULL; server = server->hh.next) {
        uint64_t total = total_in_flight(server->id);
        longest = total > slots + longest ? total - slots : longest;
    }
    return longest;
}

/* Returns the number of requests that crossed zones. */
static uint32_t run_steady(uint64_t percent, uint64_t count, uint64_t *queue)
{
    prefix_cost_t cost = {0};
    uint64_t wanted = ZONES * servers_per_zone * slots * percent / PERCENT;
    uint32_t crossed = 0;
    *queue = 0;
    prefix_cost_record(&cost, UNSHARED_TOKENS, OUTPUT_TOKENS);
    for (uint64_t i = 0; i < count; i++) {
        char kind[] = {(char)('a' + random_below(PROMPT_KINDS)), '\0'};
        prefix_chain_t chain = {0};
        struct server_criteria criteria = {.chain = &chain, .cost = &cost, .has_idle_connection = has_idle_connection};
        int gateway = (int)random_below(GATEWAYS);
        criteria.context = idle_until_ms[gateway];
        prefix_chain_add(&chain, view_of_string(kind), SHARED_TOKENS);
        if (request_count >= wanted) {
            end_request(random_below(request_count));
        }
        struct server *server = begin_request(gateway, &criteria);
        prefix_table_record(&server->prefixes, now_ms, &chain);
        crossed += zone_index(server->zone) == gateway / GATEWAYS_PER_ZONE ? 0 : 1;
        now_ms += STEP_MS;
        if (i % STEPS_PER_REPORT == 0) {
            report_loads();
        }
        *queue = longest_queue() > *queue ? longest_queue() : *queue;
    }
    return crossed;
}

static void compare_steady(const script_command_t *command)
{
    uint64_t percent = script_number(command, 1, 0);
    uint64_t count = script_number(command, 2, 1);
    uint64_t queue[2];
    uint32_t crossed[2];
    for (int i = 0; i < 2; i++) {
        zone_first = i == 1;
        start_servers(servers_per_zone, slots);
        crossed[i] = run_steady(percent, count, &queue[i]);
    }
    uint64_t ratio = crossed[0] == 0 ? PERCENT : (uint64_t)crossed[1] * PERCENT / crossed[0];
    script_print("crossed %llu %% or more, with the preference %llu %% or less of these, queues %s\n",
                 (unsigned long long)(crossed[0] * PERCENT / count / ROUNDING * ROUNDING),
                 (unsigned long long)((ratio / ROUNDING + 1) * ROUNDING),
                 queue[1] <= queue[0] ? "not longer" : "longer");
}

static void run(const script_command_t *command)
{
    char name[SERVER_FIXTURE_NAME_MAX];
    script_copy(command, 1, name, sizeof(name));
    if (script_is(command, 0, "zones")) {
        start_servers(script_number(command, 1, 1), script_number(command, 2, 1));
    } else if (script_is(command, 0, "all-zones") || script_is(command, 0, "zone-first")) {
        zone_first = script_is(command, 0, "zone-first");
    } else if (script_is(command, 0, "request")) {
        place_requests(command);
    } else if (script_is(command, 0, "busy")) {
        add_requests(name, script_number(command, 2, 1));
    } else if (script_is(command, 0, "end")) {
        script_copy(command, 2, name, sizeof(name));
        end_requests(name);
    } else if (script_is(command, 0, "at")) {
        script_print("%u\n", total_in_flight(name));
    } else if (script_is(command, 0, "report")) {
        report_loads();
    } else if (script_is(command, 0, "expire")) {
        now_ms += SERVER_LOADS_VALID_MS;
    } else if (script_is(command, 0, "drain") || script_is(command, 0, "open")) {
        change_zone(command);
    } else if (script_is(command, 0, "steady")) {
        compare_steady(command);
    } else {
        change_servers(command);
    }
}

int main(int argc, char **argv)
{
    return argc > 1 ? script_main(argv[1], run) : 1;
}
