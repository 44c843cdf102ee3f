/*
 * Two versions side by side: a site of the version that was last in service
 * (scripts/build-earlier) is replaced machine by machine, under load; half of it
 * goes back, and forward again. What the older one kept is there all the while,
 * and what only the newer one knows is refused until all replicas know it.
 */
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../unit/suite.h"
#include "site.h"

enum { DAEMONS = SITE_STATES + SITE_GATEWAYS, TURNS_MOST = 4096, ID_BYTES = 24, RUNS_MOST = 65536 };

static char earlier[256];
static int version = 1;

/* ---- Load ------------------------------------------------------------------------------------------- */

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static char runs[RUNS_MOST][ID_BYTES];
static int run_count;
static int twice;
static atomic_bool stops;
static atomic_int served;
static atomic_int lost; /* turns that were answered whole and that a later turn is told not to know */

/* A request that may run once has an id that begins with "once". */
static void note_run(const site_run_t *run)
{
    if (strncmp(run->id, "once", 4) != 0) {
        return;
    }
    pthread_mutex_lock(&lock);
    for (int i = 0; i < run_count; i++) {
        twice += strcmp(runs[i], run->id) == 0 ? 1 : 0;
    }
    if (run_count < RUNS_MOST) {
        snprintf(runs[run_count++], ID_BYTES, "%s", run->id);
    }
    pthread_mutex_unlock(&lock);
}

static void call_once(int gateway, int number)
{
    struct site_answer answer;
    char id[ID_BYTES];
    snprintf(id, sizeof(id), "once-%d-%d", gateway, number);
    site_call_as(gateway, id, "POST", "/once/x", "Bankbank-Deadline-Ms: 2000\r\n", "x", &answer);
    served += answer.status == 200 ? 1 : 0;
    site_answer_close(&answer);
}

/* One line of turns, each going on from the last one that was answered whole. */
static void *talk(void *context)
{
    int gateway = *(int *)context;
    char parent[ID_BYTES] = "";
    for (int number = 0; !stops; number++) {
        struct site_answer answer;
        char id[ID_BYTES];
        char lines[256];
        snprintf(id, sizeof(id), "t%d-%d", gateway, number);
        snprintf(lines, sizeof(lines),
                 "Bankbank-Deadline-Ms: 2000\r\nBankbank-Program-Id: p%d\r\nBankbank-Token-Budget: 100000000\r\n"
                 "Bankbank-Token-Usage: 10,15\r\n%s%s%s",
                 gateway, parent[0] == '\0' ? "" : "Bankbank-Parent-Turn: ", parent, parent[0] == '\0' ? "" : "\r\n");
        site_call_as(gateway, id, "POST", "/chat/x", lines, "s", &answer);
        if (answer.status == 200 && answer.whole) {
            memcpy(parent, id, sizeof(parent));
            served++;
        }
        lost += answer.status == 404 || answer.status == 410 ? 1 : 0;
        site_answer_close(&answer);
        call_once(gateway, number);
        if (number % 64 == 63) {
            parent[0] = '\0'; /* a new line: chains stay short */
        }
    }
    return NULL;
}

/* ---- Steps ------------------------------------------------------------------------------------------ */

static bool is_taken(void *context)
{
    return site_order(0, "POST", "/api/config/replace", context, NULL) == 200;
}

static bool is_in_force(void *context)
{
    char told[64];
    (void)context;
    snprintf(told, sizeof(told), "\"configuration_in_force\",\"version\":%d,", version);
    return site_log_has(SITE_STATES, told) && site_log_has(SITE_STATES + 1, told);
}

static bool is_served(void *context)
{
    int before = *(int *)context;
    return served > before + 2 * SITE_GATEWAYS;
}

static int drain_status(int state)
{
    return site_order(state, "POST", "/api/drain/z3/start", NULL, NULL);
}

static bool is_drained(void *context)
{
    return drain_status(*(int *)context) == 200;
}

/* After each step: requests are served, and a change of configuration reaches everyone. */
static void expect_all_is_well(void)
{
    int before = served;
    char *text = site_configuration(++version, "");
    site_wait(is_served, &before, "requests are served");
    site_wait(is_taken, text, "a configuration is acknowledged");
    site_wait(is_in_force, NULL, "it is in force at both gateways");
    free(text);
    ck_assert_int_eq(lost, 0);
}

static bool replica_is_current(void *context)
{
    return site_metric(*(int *)context, "state_fresh") == 1;
}

static void replace(int daemon, const char *build)
{
    site_end_daemon(daemon, SIGTERM);
    site_set_build(daemon, build);
    site_start_daemon(daemon);
    site_wait(replica_is_current, &daemon, "the machine is back");
    expect_all_is_well();
}

static bool leads(void *context)
{
    return site_metric(*(int *)context, "raft_leading") == 1;
}

static int leader(void)
{
    for (int state = 0; state < SITE_STATES; state++) {
        if (leads(&state)) {
            return state;
        }
    }
    return 0;
}

START_TEST(a_site_is_replaced_machine_by_machine_and_goes_back_halfway)
{
    static int gateways[SITE_GATEWAYS] = {0, 1};
    pthread_t threads[SITE_GATEWAYS];
    for (int i = 0; i < SITE_GATEWAYS; i++) {
        pthread_create(&threads[i], NULL, talk, &gateways[i]);
    }
    expect_all_is_well();
    replace(SITE_STATES, NULL); /* a gateway first */
    int first = leader();
    replace(first, NULL);
    ck_assert_int_eq(drain_status(first), 503); /* whoever leads */
    replace((first + 1) % SITE_STATES, NULL);
    ck_assert_int_eq(drain_status(first), 503);
    replace(SITE_STATES, earlier);
    replace(first, earlier);
    replace(first, NULL);
    replace(SITE_STATES, NULL);
    replace(SITE_STATES + 1, NULL);
    replace((first + 2) % SITE_STATES, NULL);
    site_wait(is_drained, &first, "all replicas know drained zones");
    stops = true;
    for (int i = 0; i < SITE_GATEWAYS; i++) {
        pthread_join(threads[i], NULL);
    }
    ck_assert_int_eq(twice, 0);
    ck_assert_int_eq(lost, 0);
}
END_TEST

static void setup(void)
{
    for (int daemon = 0; daemon < DAEMONS; daemon++) {
        site_set_build(daemon, earlier);
    }
    site_start();
}

int main(int argc, char **argv)
{
    char program[300];
    site_build = argc > 1 ? argv[1] : "build";
    snprintf(earlier, sizeof(earlier), "%s/earlier", site_build);
    snprintf(program, sizeof(program), "%s/bankbank-site", earlier);
    if (access(program, X_OK) != 0) {
        printf("not run: %s is not there (scripts/build-earlier)\n100%%: Checks: 0, not run\n", program);
        return EXIT_SUCCESS;
    }
    Suite *suite = suite_create("upgrade");
    TCase *tests = tcase_create("two versions");
    tcase_set_timeout(tests, 150);
    tcase_add_unchecked_fixture(tests, setup, site_stop);
    tcase_add_test(tests, a_site_is_replaced_machine_by_machine_and_goes_back_halfway);
    suite_add_tcase(suite, tests);
    site_echo(note_run);
    return suite_run_in_process(suite);
}
