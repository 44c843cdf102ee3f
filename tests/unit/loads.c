/* Load reports of gateways and the totals that the leader sends. */
#include <stdlib.h>

#include "core/load_table.h"
#include "suite.h"

static uint32_t load_of(const struct load_table *loads, uint32_t node, uint64_t server)
{
    LoadTotals totals;
    uint32_t calls = 0;
    load_table_other_loads(loads, node, &totals);
    for (pb_size_t i = 0; i < totals.loads_count; i++) {
        calls += totals.loads[i].server == server ? totals.loads[i].calls : 0;
    }
    free(totals.loads);
    return calls;
}

START_TEST(reports_are_replaced_and_expire)
{
    struct load_table loads = {0};
    ServerLoad one[] = {{.server = 5, .calls = 2}, {.server = 6, .calls = 1}};
    ServerLoad two[] = {{.server = 5, .calls = 4}};
    LoadReport first = {.loads_count = 2, .loads = one};
    LoadReport second = {.loads_count = 1, .loads = two};
    load_table_report(&loads, 1000, 1, &first);
    load_table_report(&loads, 1000, 2, &second);
    ck_assert_uint_eq(load_of(&loads, 1, 5), 4);
    ck_assert_uint_eq(load_of(&loads, 2, 5), 2);
    ck_assert_uint_eq(load_of(&loads, 3, 5), 6);
    load_table_report(&loads, 1300, 1, &second);
    ck_assert_uint_eq(load_of(&loads, 3, 5), 8);
    ck_assert_uint_eq(load_of(&loads, 3, 6), 0);
    load_table_expire(&loads, 1000 + LOAD_MIN_VALID_MS);
    ck_assert_uint_eq(load_of(&loads, 3, 5), 4);
    load_table_close(&loads);
}
END_TEST

enum { LOADS_START_MS = 10000, LOADS_STEADY_MS = 30000, LOADS_END_MS = 40000 };

/* Work of the leader in each second of the steady state. */
typedef struct load_work_t {
    uint32_t reports[(LOADS_END_MS - LOADS_STEADY_MS) / 1000];
    uint32_t totals[(LOADS_END_MS - LOADS_STEADY_MS) / 1000];
} load_work_t;

/* Simulates gateways that all start at the same time and report at the interval set by the leader. */
static load_work_t simulate_loads(uint32_t count)
{
    load_work_t work = {0};
    struct load_table loads = {0};
    ServerLoad load = {.server = 5, .calls = 1};
    LoadReport report = {.loads_count = 1, .loads = &load};
    uint64_t due_ms[1000] = {0};
    for (uint64_t now_ms = LOADS_START_MS; now_ms < LOADS_END_MS; now_ms++) {
        for (uint32_t node = 1; node <= count; node++) {
            if (now_ms < due_ms[node - 1]) {
                continue;
            }
            LoadTotals totals;
            load_table_report(&loads, now_ms, node, &report);
            load_table_answer(&loads, now_ms, node, &totals);
            due_ms[node - 1] = now_ms + totals.report_ms;
            uint64_t second = now_ms < LOADS_STEADY_MS ? 0 : (now_ms - LOADS_STEADY_MS) / 1000;
            work.reports[second] += now_ms >= LOADS_STEADY_MS ? 1 : 0;
            work.totals[second] += now_ms >= LOADS_STEADY_MS && totals.loads_ms > 0 ? 1 : 0;
            free(totals.loads);
        }
        load_table_expire(&loads, now_ms);
    }
    ck_assert_uint_eq(load_of(&loads, 0, 5), count);
    load_table_close(&loads);
    return work;
}

/* The leader's work is bounded for many gateways, and a few gateways get the totals often. */
START_TEST(the_leader_limits_reports_and_totals)
{
    static const uint32_t counts[] = {9, 70, 258, 1000};
    static const uint32_t min_sent[] = {90, 200, 200, 200};
    for (size_t i = 0; i < sizeof(counts) / sizeof(counts[0]); i++) {
        load_work_t work = simulate_loads(counts[i]);
        uint32_t reports = 0;
        uint32_t sent = 0;
        for (size_t second = 0; second < sizeof(work.totals) / sizeof(work.totals[0]); second++) {
            ck_assert_uint_le(work.totals[second], LOAD_TOTALS_PER_S + LOAD_TOTALS_PER_S / 5);
            reports += work.reports[second];
            sent += work.totals[second];
        }
        ck_assert_uint_le(reports, 10 * LOAD_REPORTS_PER_S);
        ck_assert_uint_le(sent, 10 * LOAD_TOTALS_PER_S);
        ck_assert_uint_ge(sent, 10 * min_sent[i]);
    }
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("loads");
    TCase *tests = tcase_create("leader");
    tcase_add_test(tests, reports_are_replaced_and_expire);
    tcase_add_test(tests, the_leader_limits_reports_and_totals);
    suite_add_tcase(suite, tests);
    return suite_run(suite);
}
