/* Checks the number of requests that a fleet of gateways admits in any window, also under faults. */
#include <stdlib.h>
#include <string.h>

#include "core/quota_lease.h"
#include "core/quota_table.h"
#include "suite.h"

enum {
    GATEWAYS = 70,
    STEP_MS = 10,
    WINDOW_MS = 5000,
    ROUND_TRIP_MS = 10, /* from a gateway to the leader and back */
    RUN_MS = 30000,
    MAX_REQUESTS = 200000
};

static const double OVERSHOOT = 0.1;
static const double SLACK = 20;

typedef struct test_gateway_t {
    quota_leases_t leases;
    uint64_t frozen_until_ms;
    uint64_t partitioned_until_ms;
    bool asking;       /* a token request is in flight */
    uint64_t asked_ms; /* when it was sent */
    QuotaAsk ask;
    uint32_t asked_for; /* waiting requests that it covers */
    uint32_t waiting;   /* requests that the next one will cover */
} test_gateway_t;

static test_gateway_t gateways[GATEWAYS];
static quota_table_t table;
static struct route_table *routes;
static struct route_tenant *tenant;
static uint64_t now_ms;
static uint64_t admitted_ms[MAX_REQUESTS];
static size_t admitted_count;
static size_t refused;
static uint64_t random_state;

static uint32_t random_below(uint32_t below)
{
    random_state = random_state * 6364136223846793005ULL + 1442695040888963407ULL;
    return (uint32_t)((random_state >> 33) % below);
}

static void setup(void)
{
    struct findings findings = {0};
    memset(gateways, 0, sizeof(gateways));
    routes = route_table_new();
    routes->version = 1;
    tenant = route_table_add_tenant(routes);
    tenant->name = text_copy("t");
    tenant->rate_per_s = 40;
    tenant->burst = 40;
    route_table_check(routes, &findings);
    findings_close(&findings);
    now_ms = 1000;
    table.tolerance = (quota_tolerance_t){WINDOW_MS / 1000, OVERSHOOT, SLACK};
    admitted_count = 0;
    refused = 0;
    random_state = 7;
}

static void teardown(void)
{
    for (int i = 0; i < GATEWAYS; i++) {
        quota_leases_close(&gateways[i].leases);
        free(gateways[i].ask.demands);
    }
    quota_table_clear(&table, now_ms);
    route_table_release(routes);
}

static void record_admitted(void)
{
    ck_assert_uint_lt(admitted_count, MAX_REQUESTS);
    admitted_ms[admitted_count++] = now_ms;
}

static void send_ask(test_gateway_t *gateway)
{
    gateway->asking = true;
    gateway->asked_ms = now_ms;
    gateway->asked_for = gateway->leases.by_key->waiting;
    gateway->waiting -= gateway->asked_for;
    quota_leases_fill_request(&gateway->leases, now_ms, &gateway->ask);
}

static void apply_reply(test_gateway_t *gateway, bool lost)
{
    QuotaGrant grant;
    quota_table_answer(&table, now_ms, routes, &gateway->ask, &grant);
    uint32_t granted = lost ? 0 : grant.shares[0].granted;
    for (; gateway->asked_for > 0; gateway->asked_for--) {
        if (granted > 0) {
            granted--;
            record_admitted();
        } else {
            refused++;
        }
    }
    quota_leases_add(&gateway->leases, gateway->asked_ms, tenant->hash, granted);
    free(grant.shares);
    free(gateway->ask.demands);
    memset(&gateway->ask, 0, sizeof(gateway->ask));
    gateway->asking = false;
}

static void request(test_gateway_t *gateway)
{
    if (quota_leases_take(&gateway->leases, now_ms, tenant->hash, QUOTA_USE_REQUEST)) {
        record_admitted();
    } else {
        gateway->waiting++;
    }
}

static void step(double requests_per_s)
{
    double expected = requests_per_s * STEP_MS / 1000;
    uint32_t count =
        (uint32_t)expected + (random_below(1000) < (uint32_t)((expected - (uint32_t)expected) * 1000) ? 1 : 0);
    for (uint32_t i = 0; i < count; i++) {
        test_gateway_t *gateway = &gateways[random_below(GATEWAYS)];
        if (now_ms >= gateway->frozen_until_ms) {
            request(gateway);
        }
    }
    for (int i = 0; i < GATEWAYS; i++) {
        test_gateway_t *gateway = &gateways[i];
        bool runs_now = now_ms >= gateway->frozen_until_ms;
        if (runs_now && gateway->asking && now_ms >= gateway->asked_ms + ROUND_TRIP_MS) {
            apply_reply(gateway, now_ms < gateway->partitioned_until_ms);
        } else if (runs_now && !gateway->asking && gateway->leases.due) {
            send_ask(gateway);
        }
    }
    now_ms += STEP_MS;
}

/* Maximum number of admitted requests in a window of WINDOW_MS that starts at `from_ms` or later. */
static size_t max_in_a_window(uint64_t from_ms)
{
    size_t max = 0;
    size_t first = 0;
    for (size_t i = 0; i < admitted_count; i++) {
        while (admitted_ms[first] < from_ms || admitted_ms[i] - admitted_ms[first] >= WINDOW_MS) {
            if (first == i) {
                break;
            }
            first++;
        }
        size_t count = i - first + 1;
        max = count > max ? count : max;
    }
    return max;
}

static double limit(void)
{
    return (tenant->rate_per_s * WINDOW_MS / 1000 + tenant->burst) * (1 + OVERSHOOT) + SLACK;
}

START_TEST(a_tenant_below_its_limit_is_not_refused)
{
    while (now_ms < RUN_MS) {
        step(tenant->rate_per_s / 1.6);
    }
    ck_assert_uint_eq(refused, 0);
    ck_assert_uint_gt(admitted_count, (size_t)(tenant->rate_per_s / 1.6 * RUN_MS / 1000 * 9 / 10));
}
END_TEST

START_TEST(overload_is_admitted_up_to_the_limit)
{
    while (now_ms < RUN_MS) {
        step(tenant->rate_per_s * 10);
    }
    ck_assert_double_le((double)max_in_a_window(0), limit());
    ck_assert_double_ge((double)admitted_count, tenant->rate_per_s * RUN_MS / 1000 * 0.8);
}
END_TEST

START_TEST(the_limit_holds_under_faults)
{
    static const double bursts[] = {10, 40, 160};
    uint64_t next_leader_ms = 3000;
    random_state = (uint64_t)_i + 1;
    tenant->burst = bursts[_i % 3];
    while (now_ms < RUN_MS) {
        test_gateway_t *gateway = &gateways[random_below(GATEWAYS)];
        if (random_below(60) == 0) {
            gateway->frozen_until_ms = now_ms + random_below(4000);
        }
        if (random_below(60) == 0) {
            gateway->partitioned_until_ms = now_ms + random_below(4000);
        }
        if (now_ms >= next_leader_ms) {
            quota_table_clear(&table, now_ms);
            next_leader_ms = now_ms + WINDOW_MS / 2 + random_below(_i < 20 ? 100 : 5000); /* at most two per window */
        }
        step(tenant->rate_per_s * (2 + random_below(6)));
    }
    ck_assert_double_le((double)max_in_a_window(0), limit());
}
END_TEST

START_TEST(a_lowered_limit_applies_after_one_window)
{
    while (now_ms < RUN_MS) {
        if (now_ms == RUN_MS / 2) {
            tenant->rate_per_s /= 4;
            tenant->burst /= 4;
        }
        step(200);
    }
    ck_assert_double_le((double)max_in_a_window(RUN_MS / 2 + WINDOW_MS), limit());
}
END_TEST

START_TEST(a_leader_change_refuses_nothing_below_the_limit)
{
    size_t expected_refused = 0;
    while (now_ms < RUN_MS) {
        if (now_ms % 10000 == 0) {
            quota_table_clear(&table, now_ms);
        }
        step(tenant->rate_per_s / 1.6);
    }
    ck_assert_uint_eq(refused, expected_refused);
}
END_TEST

static QuotaShare demand(uint64_t at_ms, uint32_t wanted, uint32_t begins)
{
    QuotaShare share;
    QuotaDemand demanded = {.tenant = tenant->hash, .wanted = wanted, .begins = begins};
    quota_table_take(&table, at_ms, tenant, &demanded, &share);
    return share;
}

START_TEST(a_refused_caller_gets_a_retry_delay)
{
    table.tolerance = (quota_tolerance_t){0};
    tenant->rate_per_s = 10;
    tenant->burst = 5;
    quota_table_clear(&table, 500);
    ck_assert_uint_eq(demand(500, 5, 0).granted, 0); /* without a tolerance, a new leader starts with no tokens */
    ck_assert_uint_eq(demand(1000, 5, 0).granted, 5);
    QuotaShare share = demand(1000, 1, 0);
    ck_assert_uint_eq(share.granted, 0);
    ck_assert_uint_eq(share.retry_ms, 100);
    ck_assert_uint_eq(demand(1000, 4, 0).retry_ms, 500); /* behind the backlog of earlier refusals */
    ck_assert_uint_eq(demand(1500, 5, 0).granted, 5);
}
END_TEST

/* Programs of 12 requests under a limit of 60 requests per second: five programs per second are admitted. */
START_TEST(a_tenant_over_its_limit_completes_admitted_programs)
{
    uint32_t begun = 0;
    uint32_t refused_requests = 0;
    uint32_t begun_at[RUN_MS / 100 + 1] = {0};
    tenant->rate_per_s = 60;
    tenant->burst = 60;
    for (uint64_t i = 0; i < RUN_MS / 100; i++) {
        QuotaShare share = demand(1000 + i * 100, 0, 1); /* ten begins per second */
        begun += share.begun;
        begun_at[i] = share.begun;
        /* Each admitted program makes eleven more requests, one every 200 ms. */
        uint32_t wanted = 0;
        for (uint64_t k = 1; k <= 11; k++) {
            wanted += i >= 2 * k ? begun_at[i - 2 * k] : 0;
        }
        refused_requests += wanted - demand(1000 + i * 100, wanted, 0).granted;
    }
    ck_assert_uint_eq(refused_requests, 0);
    ck_assert_uint_ge(begun, 5 * RUN_MS / 1000 * 9 / 10);
    ck_assert_uint_le(begun, 5 * RUN_MS / 1000);
    ck_assert_uint_gt(table.begins_refused, 0);
}
END_TEST

START_TEST(a_limit_smaller_than_a_program_admits_some)
{
    uint32_t begun = 0;
    tenant->rate_per_s = 2;
    tenant->burst = 2;
    for (uint64_t i = 0; i < 60; i++) {
        begun += demand(1000 + i * 1000, 0, 1).begun;
    }
    ck_assert_uint_ge(begun, 9);
    ck_assert_uint_le(begun, 12);
}
END_TEST

START_TEST(returned_tokens_are_granted_again)
{
    QuotaShare share;
    QuotaDemand returning = {.tenant = tenant->hash, .wanted = 3, .returned = 3};
    table.tolerance = (quota_tolerance_t){0};
    tenant->rate_per_s = 6;
    tenant->burst = 6;
    ck_assert_uint_eq(demand(1000, 6, 0).granted, 6);
    ck_assert_uint_eq(demand(1000, 3, 0).granted, 0);
    quota_table_take(&table, 1000, tenant, &returning, &share);
    ck_assert_uint_eq(share.granted, 3);
}
END_TEST

START_TEST(tokens_expire)
{
    quota_leases_t leases = {0};
    quota_leases_add(&leases, 1000, 9, 2);
    ck_assert(quota_leases_take(&leases, 1001, 9, QUOTA_USE_REQUEST));
    ck_assert(!quota_leases_take(&leases, 1000 + QUOTA_LEASE_MS, 9, QUOTA_USE_REQUEST));
    ck_assert(leases.due);
    ck_assert_uint_eq(leases.by_key->waiting, 1);
    ck_assert_uint_eq(leases.by_key->to_return, 1);
    quota_leases_close(&leases);
}
END_TEST

START_TEST(only_a_known_tenant_without_a_limit_gets_all_tokens)
{
    QuotaDemand demands[] = {{.tenant = tenant->hash, .wanted = 900}, {.tenant = 5, .wanted = 1}};
    QuotaAsk ask = {.demands_count = 2, .demands = demands};
    QuotaGrant grant;
    tenant->rate_per_s = 0;
    quota_table_answer(&table, 1, routes, &ask, &grant);
    ck_assert_uint_eq(grant.shares[0].granted, 900);
    ck_assert_uint_eq(grant.shares[1].granted, 0);
    free(grant.shares);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("quota");
    TCase *tests = tcase_create("fleet");
    tcase_set_timeout(tests, 60);
    tcase_add_checked_fixture(tests, setup, teardown);
    tcase_add_test(tests, a_tenant_below_its_limit_is_not_refused);
    tcase_add_test(tests, overload_is_admitted_up_to_the_limit);
    tcase_add_loop_test(tests, the_limit_holds_under_faults, 0, 40);
    tcase_add_test(tests, a_lowered_limit_applies_after_one_window);
    tcase_add_test(tests, a_leader_change_refuses_nothing_below_the_limit);
    tcase_add_test(tests, a_refused_caller_gets_a_retry_delay);
    tcase_add_test(tests, a_tenant_over_its_limit_completes_admitted_programs);
    tcase_add_test(tests, a_limit_smaller_than_a_program_admits_some);
    tcase_add_test(tests, returned_tokens_are_granted_again);
    tcase_add_test(tests, tokens_expire);
    tcase_add_test(tests, only_a_known_tenant_without_a_limit_gets_all_tokens);
    suite_add_tcase(suite, tests);
    return suite_run(suite);
}
