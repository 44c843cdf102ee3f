/* Slow start over all gateways: the tokens granted by the leader must limit the arrivals at the server.
 *   fleet GATEWAYS RATE OVERSHOOT% SLACK      sets up the gateways and the limit of the server
 *   run SECONDS PER_S [freeze] [disconnect] [elections]
 *                                 the gateways together send PER_S requests per second; at random, gateways freeze or
 *                                 are disconnected from the leader; the leader changes every 700 ms; prints whether
 *                                 the limit held in every second, the percentage of it that was used (in tens), and
 *                                 whether the token requests in the leader's busiest second were bounded
 *   servers COUNT                 within a second, a gateway asks 100 times for 100 tokens for each of COUNT servers;
 *                                 prints whether the grants for one server are within the limit
 */
#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"
#include "core/load_table.h"
#include "core/quota_lease.h"
#include "core/slow_start.h"
#include "script.h"

enum {
    MAX_GATEWAYS = 2048,
    MAX_ARRIVALS = 200000,
    STEP_MS = 5,
    SECOND_MS = 1000,
    REPLY_MS = 20,          /* from a token request to its reply */
    LEADER_CHANGE_MS = 700, /* interval */
    ELECTION_MS = 100,      /* time without a leader */
    MAX_FAULT_MS = 600,     /* of a freeze or a disconnection */
    MAX_TRANSIT_MS = 50     /* of a request to the server */
};

typedef struct gateway_t {
    quota_leases_t leases;
    QuotaAsk ask;
    bool asking;       /* a token request is in flight */
    uint64_t asked_ms; /* when the last one was sent */
    uint64_t frozen_until_ms;
    uint64_t disconnected_until_ms;
    uint32_t waiting; /* requests without a token; no other server can take them */
} gateway_t;

static const uint64_t SERVER = 7;

static gateway_t gateways[MAX_GATEWAYS];
static uint32_t gateway_count;
static struct route_table *routes;
static slow_start_tolerance_t tolerance;
static slow_start_table_t leader;
static uint64_t leaderless_until_ms;
static uint64_t now_ms = SECOND_MS;
static uint64_t arrivals[MAX_ARRIVALS];
static uint32_t arrival_count;
static uint64_t asks[MAX_ARRIVALS];
static uint32_t ask_count;
static uint64_t random_state = 11;

static uint32_t random_below(uint32_t limit)
{
    random_state = random_state * 6364136223846793005ULL + 1442695040888963407ULL;
    return (uint32_t)((random_state >> 33) % limit);
}

static void begin_fleet(const script_command_t *command)
{
    struct findings findings = {0};
    for (uint32_t i = 0; i < gateway_count; i++) {
        quota_leases_close(&gateways[i].leases);
        free(gateways[i].ask.demands);
    }
    memset(gateways, 0, sizeof(gateways));
    gateway_count = (uint32_t)script_number(command, 1, 1);
    route_table_release(routes);
    routes = route_table_new();
    struct route_service *service = route_table_add_service(routes);
    service->name = text_copy("service");
    service->start_rate_per_s = (double)script_number(command, 2, 1);
    route_table_check(routes, &findings);
    findings_close(&findings);
    tolerance.overshoot = (double)script_number(command, 3, 0) / 100;
    tolerance.slack = (double)script_number(command, 4, 0);
    quota_table_clear(&leader.tokens, now_ms);
}

static bool request(gateway_t *gateway)
{
    if (!quota_leases_has(&gateway->leases, now_ms, SERVER)) {
        quota_leases_set_service(&gateway->leases, SERVER, routes->services[0].hash);
    }
    if (quota_leases_take(&gateway->leases, now_ms, SERVER, QUOTA_USE_REQUEST)) {
        /* It is sent before the token expires, however long it waits for a connection. */
        uint64_t left_ms = quota_leases_expiry(&gateway->leases, SERVER) - now_ms;
        arrivals[arrival_count++] = now_ms + random_below((uint32_t)left_ms) + random_below(MAX_TRANSIT_MS);
        return true;
    }
    return false;
}

static void apply_reply(gateway_t *gateway)
{
    bool lost = now_ms < gateway->disconnected_until_ms || now_ms < leaderless_until_ms;
    QuotaGrant grant = {0};
    if (!lost) {
        asks[ask_count++] = now_ms;
        slow_start_answer(&leader, now_ms, routes, &tolerance, &gateway->ask, &grant);
        quota_leases_add(&gateway->leases, gateway->asked_ms, SERVER, grant.shares[0].granted);
        free(grant.shares);
    }
    while (gateway->waiting > 0 && quota_leases_has(&gateway->leases, now_ms, SERVER) && request(gateway)) {
        gateway->waiting--;
    }
    gateway->waiting = 0; /* requests without a token are refused */
    free(gateway->ask.demands);
    memset(&gateway->ask, 0, sizeof(gateway->ask));
    gateway->asking = false;
}

static uint64_t ask_interval(void)
{
    uint64_t pause_ms = (uint64_t)gateway_count * SECOND_MS / LOAD_REPORTS_PER_S;
    return pause_ms > SLOW_START_REQUEST_INTERVAL_MS ? pause_ms : SLOW_START_REQUEST_INTERVAL_MS;
}

static void step_gateway(gateway_t *gateway)
{
    if (now_ms < gateway->frozen_until_ms) {
        return;
    }
    quota_leases_expire(&gateway->leases, now_ms);
    if (gateway->asking && now_ms >= gateway->asked_ms + REPLY_MS) {
        apply_reply(gateway);
    } else if (!gateway->asking && gateway->leases.due && now_ms >= gateway->asked_ms + ask_interval()) {
        quota_leases_fill_request(&gateway->leases, now_ms, &gateway->ask);
        gateway->asking = true;
        gateway->asked_ms = now_ms;
    }
}

static void inject_faults(const script_command_t *command)
{
    for (int i = 3; i < command->count; i++) {
        gateway_t *gateway = &gateways[random_below(gateway_count)];
        if (script_is(command, i, "freeze") && random_below(4) == 0) {
            gateway->frozen_until_ms = now_ms + random_below(MAX_FAULT_MS);
        } else if (script_is(command, i, "disconnect") && random_below(4) == 0) {
            gateway->disconnected_until_ms = now_ms + random_below(MAX_FAULT_MS);
        } else if (script_is(command, i, "elections") && now_ms % LEADER_CHANGE_MS == 0) {
            leaderless_until_ms = now_ms + ELECTION_MS;
            quota_table_clear(&leader.tokens, leaderless_until_ms);
        }
    }
}

static int compare(const void *a, const void *b)
{
    uint64_t left = *(const uint64_t *)a;
    uint64_t right = *(const uint64_t *)b;
    return left < right ? -1 : left > right ? 1 : 0;
}

static uint32_t busiest_second(uint64_t *times, uint32_t count)
{
    uint32_t most = 0;
    uint32_t first = 0;
    qsort(times, count, sizeof(*times), compare);
    for (uint32_t i = 0; i < count; i++) {
        while (times[i] >= times[first] + SECOND_MS) {
            first++;
        }
        most = i - first + 1 > most ? i - first + 1 : most;
    }
    return most;
}

static void run_fleet(const script_command_t *command)
{
    uint64_t seconds = script_number(command, 1, 1);
    uint64_t per_s = script_number(command, 2, 1);
    double limit = slow_start_limit(&tolerance, routes->services[0].start_rate_per_s);
    uint64_t end_ms = now_ms + seconds * SECOND_MS;
    uint64_t due = 0; /* requests to be sent, in thousandths */
    arrival_count = 0;
    ask_count = 0;
    for (; now_ms < end_ms; now_ms += STEP_MS) {
        inject_faults(command);
        for (due += per_s * STEP_MS; due >= SECOND_MS; due -= SECOND_MS) {
            gateway_t *gateway = &gateways[random_below(gateway_count)];
            if (now_ms >= gateway->frozen_until_ms && !request(gateway)) {
                gateway->waiting++;
            }
        }
        for (uint32_t i = 0; i < gateway_count; i++) {
            step_gateway(&gateways[i]);
        }
    }
    uint32_t most = busiest_second(arrivals, arrival_count);
    uint32_t busiest = busiest_second(asks, ask_count);
    script_print("%s, %u%% of it, %s\n", most <= limit ? "limit held" : "limit exceeded",
                 (uint32_t)(arrival_count * 100 / (limit * (double)seconds)) / 10 * 10,
                 busiest <= LOAD_REPORTS_PER_S + LOAD_REPORTS_PER_S / 10 ? "token requests bounded"
                                                                         : "token requests not bounded");
}

/* Counts only the grants for the first server, since all servers have the same demand. */
static void ask_for_many(const script_command_t *command)
{
    enum { ASKS = 100, WANTED = 100 };
    uint64_t count = script_number(command, 1, 1);
    double limit = slow_start_limit(&tolerance, routes->services[0].start_rate_per_s);
    uint32_t granted = 0;
    QuotaDemand *demands = memory_new(count * sizeof(*demands));
    for (int ask_number = 0; ask_number < ASKS; ask_number++) {
        QuotaGrant grant;
        for (uint64_t i = 0; i < count; i++) {
            demands[i] = (QuotaDemand){.tenant = i + 1, .wanted = WANTED, .service = routes->services[0].hash};
        }
        QuotaAsk ask = {.demands = demands, .demands_count = (pb_size_t)count};
        slow_start_answer(&leader, now_ms, routes, &tolerance, &ask, &grant);
        granted += grant.shares[0].granted;
        free(grant.shares);
        now_ms += SECOND_MS / ASKS;
    }
    free(demands);
    script_print("%s\n", granted <= limit ? "limit held" : "limit exceeded");
}

static void run(const script_command_t *command)
{
    if (script_is(command, 0, "fleet")) {
        begin_fleet(command);
    } else if (script_is(command, 0, "servers")) {
        ask_for_many(command);
    } else if (script_is(command, 0, "run")) {
        run_fleet(command);
    }
}

int main(int argc, char **argv)
{
    return argc > 1 ? script_main(argv[1], run) : 1;
}
