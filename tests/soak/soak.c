/*
 * The fault soak: real daemons as processes of their own, faults from outside
 * them, and an oracle that judges by what callers and servers see.
 *
 * Usage: soak BUILD SECONDS SEED [REPLICAS [GATEWAYS]]
 *
 * Three replicas and two gateways at least; as many where nothing else is said.
 * The seed fixes the faults and what callers ask for, not the order in which
 * threads and processes run. A violation ends the run; the folder with logs
 * and data is kept then.
 */
#include <stdio.h>

#include "../integration/site.h"
#include "../unit/suite.h"
#include "callers.h"
#include "daemons.h"
#include "faults.h"
#include "lives.h"
#include "oracle.h"

enum { MEMORY_MB = 64, END_S = 150 /* for the end of all faults and the last checks */ };

static uint64_t seconds;
static uint64_t seed;
static int replicas = SITE_STATES;
static int gateways = SITE_GATEWAYS;

/* Since they were last started. */
static double count_snapshots(void)
{
    double snapshots = 0;
    for (int i = 0; i < replicas; i++) {
        snapshots += site_metric(site_state_daemon(i), "raft_snapshots_total");
    }
    return snapshots;
}

START_TEST(promises_hold_under_faults)
{
    site_limit_memory(MEMORY_MB);
    site_store_on_disk(); /* its callers ask again, and real syncs are a part of what is tried */
    site_start_shape(replicas, gateways);
    daemons_open(replicas, gateways);
    site_echo(oracle_run);
    site_use_proxies();
    callers_start(seed);
    faults_run(seed, seconds * 1000);
    faults_end();
    callers_stop();
    int violations = oracle_end();
    callers_sum_t sum = callers_sum();
    printf("soak seed %llu: %d faults, %llu calls, %llu on kept connections, %llu served, %llu refused, %llu turns, "
           "%llu configurations, %.0f snapshots, %d violations\n",
           (unsigned long long)seed, faults_count(), (unsigned long long)sum.calls, (unsigned long long)sum.kept,
           (unsigned long long)sum.served, (unsigned long long)sum.refused, (unsigned long long)sum.turns,
           (unsigned long long)sum.configurations, count_snapshots(), violations);
    site_stop();
    ck_assert_int_eq(violations, 0);
}
END_TEST

int main(int argc, char **argv)
{
    replicas = argc > 4 ? atoi(argv[4]) : replicas;
    gateways = argc > 5 ? atoi(argv[5]) : gateways;
    if (argc < 4 || argc > 6 || replicas < SITE_STATES || gateways < SITE_GATEWAYS ||
        replicas + gateways > LIVES_MOST - SITE_STATES) {
        fprintf(stderr, "usage: soak BUILD SECONDS SEED [REPLICAS [GATEWAYS]]\n");
        return EXIT_FAILURE;
    }
    site_build = argv[1];
    seconds = strtoull(argv[2], NULL, 10);
    seed = strtoull(argv[3], NULL, 10);
    Suite *suite = suite_create("soak");
    TCase *tests = tcase_create("one site");
    tcase_set_timeout(tests, (double)(seconds + END_S));
    tcase_add_test(tests, promises_hold_under_faults);
    suite_add_tcase(suite, tests);
    return suite_run_in_process(suite);
}
