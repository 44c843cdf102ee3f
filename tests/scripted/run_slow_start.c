/* Requests of a fleet at a server that has just started: tokens of the leader, against a count of every arrival.
 *   fleet GATEWAYS RATE OVERSHOOT% SLACK      a fleet, and what the server bears
 *   run SECONDS PER_S [freeze] [cut] [leaders]    that many requests a second of the fleet would go there; gateways
 *                                 freeze, or are cut off from the leader, now and then; a new leader each 700 ms
 *   servers COUNT                 how many grants one server gets in a second, while a gateway asks for a hundred
 * requests to each of so many servers a hundred times: within the limit or above it Prints whether the limit held in
 * every second, how many of those that it allows ran, and how many asks the leader had to answer in its busiest second.
 */
#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"
#include "core/load_table.h"
#include "core/quota_purse.h"
#include "core/slow_start.h"
#include "script.h"

enum {
    GATEWAYS_MOST = 2048,
    ARRIVALS_MOST = 200000,
    STEP_MS = 5,
    SECOND_MS = 1000,
    ANSWER_MS = 20,
    LEADER_MS = 700,
    ELECTION_MS = 100,
    FROZEN_MS = 600,
    WAY_MS = 50
};

typedef struct gateway_t {
    quota_purses_t purses;
    QuotaAsk ask;
    bool asking;
    uint64_t asked_ms;
    uint64_t frozen_until_ms;
    uint64_t cut_until_ms;
    uint32_t waiting; /* requests for which no other server is there */
} gateway_t;

static const uint64_t SERVER = 7;

static gateway_t gateways[GATEWAYS_MOST];
static uint32_t gateway_count;
static struct route_table *routes;
static slow_start_bounds_t bounds;
static slow_start_table_t leader;
static uint64_t leaderless_until_ms;
static uint64_t now_ms = SECOND_MS;
static uint64_t arrivals[ARRIVALS_MOST];
static uint32_t arrival_count;
static uint64_t asks[ARRIVALS_MOST];
static uint32_t ask_count;
static uint64_t random_state = 11;

static uint32_t draw(uint32_t below)
{
    random_state = random_state * 6364136223846793005ULL + 1442695040888963407ULL;
    return (uint32_t)((random_state >> 33) % below);
}

static void begin_fleet(const script_command_t *command)
{
    struct findings findings = {0};
    for (uint32_t i = 0; i < gateway_count; i++) {
        quota_purses_close(&gateways[i].purses);
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
    bounds.overshoot = (double)script_number(command, 3, 0) / 100;
    bounds.slack = (double)script_number(command, 4, 0);
    quota_table_clear(&leader.tokens, now_ms);
}

static bool request(gateway_t *gateway)
{
    if (!quota_purses_has(&gateway->purses, now_ms, SERVER)) {
        quota_purses_name_service(&gateway->purses, SERVER, routes->services[0].hash);
    }
    if (quota_purses_take(&gateway->purses, now_ms, SERVER, QUOTA_USE_REQUEST)) {
        /* It leaves before its token's time is over, however long it waits for a connection. */
        uint64_t left_ms = quota_purses_expiry(&gateway->purses, SERVER) - now_ms;
        arrivals[arrival_count++] = now_ms + draw((uint32_t)left_ms) + draw(WAY_MS);
        return true;
    }
    return false;
}

static void take_answer(gateway_t *gateway)
{
    bool lost = now_ms < gateway->cut_until_ms || now_ms < leaderless_until_ms;
    QuotaGrant grant = {0};
    if (!lost) {
        asks[ask_count++] = now_ms;
        slow_start_answer(&leader, now_ms, routes, &bounds, &gateway->ask, &grant);
        quota_purses_put(&gateway->purses, gateway->asked_ms, SERVER, grant.shares[0].granted);
        free(grant.shares);
    }
    while (gateway->waiting > 0 && quota_purses_has(&gateway->purses, now_ms, SERVER) && request(gateway)) {
        gateway->waiting--;
    }
    gateway->waiting = 0; /* those that got none are refused */
    free(gateway->ask.demands);
    memset(&gateway->ask, 0, sizeof(gateway->ask));
    gateway->asking = false;
}

static uint64_t ask_pause(void)
{
    uint64_t pause_ms = (uint64_t)gateway_count * SECOND_MS / LOAD_REPORTS_A_S;
    return pause_ms > SLOW_START_ASK_MS ? pause_ms : SLOW_START_ASK_MS;
}

static void step_gateway(gateway_t *gateway)
{
    if (now_ms < gateway->frozen_until_ms) {
        return;
    }
    quota_purses_expire(&gateway->purses, now_ms);
    if (gateway->asking && now_ms >= gateway->asked_ms + ANSWER_MS) {
        take_answer(gateway);
    } else if (!gateway->asking && gateway->purses.due && now_ms >= gateway->asked_ms + ask_pause()) {
        quota_purses_ask(&gateway->purses, now_ms, &gateway->ask);
        gateway->asking = true;
        gateway->asked_ms = now_ms;
    }
}

static void disturb(const script_command_t *command)
{
    for (int i = 3; i < command->count; i++) {
        gateway_t *gateway = &gateways[draw(gateway_count)];
        if (script_is(command, i, "freeze") && draw(4) == 0) {
            gateway->frozen_until_ms = now_ms + draw(FROZEN_MS);
        } else if (script_is(command, i, "cut") && draw(4) == 0) {
            gateway->cut_until_ms = now_ms + draw(FROZEN_MS);
        } else if (script_is(command, i, "leaders") && now_ms % LEADER_MS == 0) {
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
    double limit = slow_start_limit(&bounds, routes->services[0].start_rate_per_s);
    uint64_t end_ms = now_ms + seconds * SECOND_MS;
    uint64_t wanted = 0;
    arrival_count = 0;
    ask_count = 0;
    for (; now_ms < end_ms; now_ms += STEP_MS) {
        disturb(command);
        for (wanted += per_s * STEP_MS; wanted >= SECOND_MS; wanted -= SECOND_MS) {
            gateway_t *gateway = &gateways[draw(gateway_count)];
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
    script_print("%s, %u%% of it, %s\n", most <= limit ? "limit held" : "limit broken",
                 (uint32_t)(arrival_count * 100 / (limit * (double)seconds)) / 10 * 10,
                 busiest <= LOAD_REPORTS_A_S + LOAD_REPORTS_A_S / 10 ? "asks bounded" : "asks not bounded");
}

/* Each server is asked for by its own hash; what the first one gets stands for all. */
static void ask_for_many(const script_command_t *command)
{
    enum { ASKS = 100, WANTED = 100 };
    uint64_t count = script_number(command, 1, 1);
    double limit = slow_start_limit(&bounds, routes->services[0].start_rate_per_s);
    uint32_t granted = 0;
    QuotaDemand *demands = memory_new(count * sizeof(*demands));
    for (int ask_number = 0; ask_number < ASKS; ask_number++) {
        QuotaGrant grant;
        for (uint64_t i = 0; i < count; i++) {
            demands[i] = (QuotaDemand){.tenant = i + 1, .wanted = WANTED, .service = routes->services[0].hash};
        }
        QuotaAsk ask = {.demands = demands, .demands_count = (pb_size_t)count};
        slow_start_answer(&leader, now_ms, routes, &bounds, &ask, &grant);
        granted += grant.shares[0].granted;
        free(grant.shares);
        now_ms += SECOND_MS / ASKS;
    }
    free(demands);
    script_print("%s\n", granted <= limit ? "limit held" : "limit broken");
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
