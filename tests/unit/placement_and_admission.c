/* Placement, retry budget and circuit breaker, admission. */
#include <string.h>

#include "core/admission.h"
#include "core/placement.h"
#include "core/retry.h"
#include "suite.h"

enum { ENGINES = 10 };

static struct placement_candidate engines[ENGINES];

static void setup(void)
{
    memset(engines, 0, sizeof(engines));
    for (int i = 0; i < ENGINES; i++) {
        engines[i].name_hash = 1000003ULL * (uint64_t)(i + 1);
        engines[i].usable = true;
        engines[i].same_zone = true;
        engines[i].slots = 4;
        engines[i].mean_call_ms = 100;
    }
}

START_TEST(programs_are_spread_and_placement_is_stable)
{
    int counts[ENGINES] = {0};
    for (uint64_t program = 0; program < 10000; program++) {
        struct placement_call call = {.program_hash = program * 7919, .prompt_tokens = 100};
        int chosen = placement_choose(&call, engines, ENGINES);
        ck_assert_int_eq(chosen, placement_choose(&call, engines, ENGINES));
        counts[chosen]++;
    }
    for (int i = 0; i < ENGINES; i++) {
        ck_assert_int_gt(counts[i], 800);
        ck_assert_int_lt(counts[i], 1200);
    }
}
END_TEST

START_TEST(an_unusable_engine_moves_only_its_programs)
{
    for (uint64_t program = 0; program < 1000; program++) {
        struct placement_call call = {.program_hash = program * 7919, .prompt_tokens = 10};
        engines[3].usable = true;
        int before = placement_choose(&call, engines, ENGINES);
        engines[3].usable = false;
        int after = placement_choose(&call, engines, ENGINES);
        ck_assert_int_ne(after, 3);
        ck_assert(before == 3 || before == after);
    }
}
END_TEST

START_TEST(a_cached_prefix_is_left_only_for_a_longer_wait)
{
    struct placement_call call = {.program_hash = 42, .prompt_tokens = 2000};
    int first = placement_choose(&call, engines, ENGINES);
    engines[first].cached_tokens = 2000;
    engines[first].own_calls = 5; /* the wait is 50 ms; computing the prompt elsewhere takes 100 ms */
    ck_assert_int_eq(placement_choose(&call, engines, ENGINES), first);
    engines[first].own_calls = 12;
    ck_assert_int_ne(placement_choose(&call, engines, ENGINES), first);
}
END_TEST

START_TEST(a_moved_program_stays_where_its_prefix_is)
{
    struct placement_call call = {.program_hash = 42, .prompt_tokens = 200};
    int first = placement_choose(&call, engines, ENGINES);
    int other = (first + 1) % ENGINES;
    engines[other].cached_tokens = 200; /* computing it elsewhere would take 10 ms, less than the margin */
    ck_assert_int_eq(placement_choose(&call, engines, ENGINES), other);
}
END_TEST

START_TEST(a_stale_report_is_corrected_by_own_calls)
{
    struct placement_candidate candidate = {
        .slots = 4, .mean_call_ms = 100, .reported_calls = 10, .own_calls_at_report = 4, .own_calls = 0};
    ck_assert_double_eq_tol(placement_wait_ms(&candidate), 75, 0.01); /* 6 calls of others and this one, 4 slots */
    candidate.own_calls = 4;
    ck_assert_double_eq_tol(placement_wait_ms(&candidate), 175, 0.01);
}
END_TEST

START_TEST(no_usable_engine_is_reported)
{
    struct placement_call call = {.program_hash = 1};
    for (int mode = PLACEMENT_MODE_AFFINITY; mode <= PLACEMENT_MODE_STICKY; mode++) {
        call.mode = (enum placement_mode)mode;
        ck_assert_int_eq(placement_choose(&call, engines, 0), PLACEMENT_NONE);
    }
    for (int i = 0; i < ENGINES; i++) {
        engines[i].usable = false;
    }
    for (int mode = PLACEMENT_MODE_AFFINITY; mode <= PLACEMENT_MODE_STICKY; mode++) {
        call.mode = (enum placement_mode)mode;
        ck_assert_int_eq(placement_choose(&call, engines, ENGINES), PLACEMENT_NONE);
    }
}
END_TEST

START_TEST(retries_are_limited_to_a_share_of_the_traffic)
{
    struct retry_budget budget = {0};
    int taken = 0;
    for (int request = 0; request < 1000; request++) {
        retry_budget_record_request(&budget);
        taken += retry_budget_take(&budget) ? 1 : 0;
    }
    ck_assert_int_ge(taken, 100);
    ck_assert_int_le(taken, 1000 * RETRY_BUDGET_PERCENT / 100 + RETRY_BUDGET_MINIMUM);
}
END_TEST

START_TEST(backoff_grows_with_jitter_and_is_bounded)
{
    for (uint32_t attempt = 1; attempt < 20; attempt++) {
        for (uint64_t random = 0; random < 100; random++) {
            uint32_t delay_ms = retry_backoff_ms(attempt, random * 7919);
            ck_assert_uint_ge(delay_ms, RETRY_BACKOFF_BASE_MS / 2);
            ck_assert_uint_le(delay_ms, RETRY_BACKOFF_MAX_MS);
        }
    }
}
END_TEST

START_TEST(a_failing_endpoint_is_ejected_longer_each_time)
{
    struct circuit circuit = {0};
    for (int i = 0; i < CIRCUIT_FAILURES - 1; i++) {
        circuit_record_failure(&circuit, 100);
    }
    ck_assert(circuit_allows(&circuit, 100));
    circuit_record_failure(&circuit, 100);
    ck_assert(!circuit_allows(&circuit, 100));
    ck_assert(circuit_allows(&circuit, 100 + CIRCUIT_OPEN_MS));
    circuit_record_failure(&circuit, 2000); /* the first call afterwards fails */
    ck_assert(!circuit_allows(&circuit, 2000 + CIRCUIT_OPEN_MS));
    ck_assert(circuit_allows(&circuit, 2000 + 2 * CIRCUIT_OPEN_MS));
    circuit_record_success(&circuit);
    ck_assert(circuit_allows(&circuit, 2000));
}
END_TEST

START_TEST(a_tenant_is_rate_limited_with_a_retry_delay)
{
    struct admission_limits limits = {.tokens_per_second = 100, .burst_tokens = 200};
    struct admission_usage usage = {0};
    uint64_t retry_ms = 0;
    ck_assert_int_eq(admission_start(&usage, &limits, 1000, 150, &retry_ms), ADMISSION_ACCEPTED);
    ck_assert_int_eq(admission_start(&usage, &limits, 1000, 150, &retry_ms), ADMISSION_RATE_LIMITED);
    ck_assert_uint_ge(retry_ms, 1000);
    ck_assert_int_eq(admission_start(&usage, &limits, 1000 + retry_ms, 150, &retry_ms), ADMISSION_ACCEPTED);
    admission_end(&usage, 150, 10); /* the estimate was too high */
    ck_assert_int_eq(admission_start(&usage, &limits, 3000, 150, &retry_ms), ADMISSION_ACCEPTED);
}
END_TEST

START_TEST(concurrent_calls_of_a_tenant_are_limited)
{
    struct admission_limits limits = {.max_concurrent_calls = 2};
    struct admission_usage usage = {0};
    uint64_t retry_ms = 0;
    ck_assert_int_eq(admission_start(&usage, &limits, 1, 1, &retry_ms), ADMISSION_ACCEPTED);
    ck_assert_int_eq(admission_start(&usage, &limits, 1, 1, &retry_ms), ADMISSION_ACCEPTED);
    ck_assert_int_eq(admission_start(&usage, &limits, 1, 1, &retry_ms), ADMISSION_TOO_MANY_CALLS);
    admission_end(&usage, 1, 1);
    ck_assert_int_eq(admission_start(&usage, &limits, 1, 1, &retry_ms), ADMISSION_ACCEPTED);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("placement_and_admission");
    TCase *tests = tcase_create("pure");
    tcase_add_checked_fixture(tests, setup, NULL);
    tcase_add_test(tests, programs_are_spread_and_placement_is_stable);
    tcase_add_test(tests, an_unusable_engine_moves_only_its_programs);
    tcase_add_test(tests, a_cached_prefix_is_left_only_for_a_longer_wait);
    tcase_add_test(tests, a_moved_program_stays_where_its_prefix_is);
    tcase_add_test(tests, a_stale_report_is_corrected_by_own_calls);
    tcase_add_test(tests, no_usable_engine_is_reported);
    tcase_add_test(tests, retries_are_limited_to_a_share_of_the_traffic);
    tcase_add_test(tests, backoff_grows_with_jitter_and_is_bounded);
    tcase_add_test(tests, a_failing_endpoint_is_ejected_longer_each_time);
    tcase_add_test(tests, a_tenant_is_rate_limited_with_a_retry_delay);
    tcase_add_test(tests, concurrent_calls_of_a_tenant_are_limited);
    suite_add_tcase(suite, tests);
    return suite_run(suite);
}
