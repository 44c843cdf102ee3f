/*
 * Replicas that wait for their disks. A replica does nothing else during a sync, so the tests suspend it with SIGSTOP,
 * which has the same effect on the other replicas and the callers.
 *
 * Guards against refusals while one of three replicas waits (503 is correct if all wait), and against 503 for an
 * operator's call with an unknown outcome: 503 means "not executed", but the leader's entry may still be committed.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../unit/suite.h"
#include "site.h"

enum { OPERATIONS = 20, STATUS_UNKNOWN_OUTCOME = 504 };

static int version = 1;

static int put_configuration(int replica, int number)
{
    char *configuration = site_configuration(number, "");
    int status = site_operator_call(replica, "POST", "/api/config/replace", configuration, NULL);
    free(configuration);
    return status;
}

typedef struct sent_configuration_t {
    int replica;
    int number;
} sent_configuration_t;

static bool is_applied(void *context)
{
    const sent_configuration_t *sent = context;
    char expected[32];
    struct buffer response = {0};
    snprintf(expected, sizeof(expected), "\"version\":%d,", sent->number);
    bool applied = site_operator_call(sent->replica, "GET", "/api/config/get", NULL, &response) == 200 &&
                   strstr(buffer_text(&response), expected) != NULL;
    buffer_close(&response);
    return applied;
}

static bool leads(int replica)
{
    return site_metric(replica, "raft_leading") == 1;
}

static bool has_leader(void *context)
{
    int *leader = context;
    for (*leader = 0; *leader < SITE_REPLICAS; (*leader)++) {
        if (leads(*leader)) {
            return true;
        }
    }
    return false;
}

static int find_leader(void)
{
    int leader = 0;
    site_wait(has_leader, &leader, "a replica leads");
    return leader;
}

/* Returns the status, negated if the response is incomplete. */
static int run_turn(int gateway)
{
    static int number;
    char lines[128];
    struct site_response response;
    snprintf(lines, sizeof(lines),
             "Bankbank-Program-Id: p%d\r\nBankbank-Token-Budget: 1000\r\nBankbank-Token-Usage: 10,15\r\n", ++number);
    site_call(gateway, "POST", "/chat/x", lines, "in;", &response);
    int status = response.complete ? response.status : -response.status;
    site_response_close(&response);
    return status;
}

static bool turn_is_served(void *context)
{
    return run_turn(*(int *)context) == 200;
}

static bool call_is_accepted(void *context)
{
    return put_configuration(*(int *)context, ++version) == 200;
}

/* Expects the other two replicas and the gateways to serve all calls once there is a leader. */
static void expect_service_while_waiting(int waiting)
{
    for (int replica = 0; replica < SITE_REPLICAS; replica++) {
        if (replica != waiting) {
            site_wait(call_is_accepted, &replica, "an operator's call succeeds while one replica waits");
        }
    }
    for (int gateway = 0; gateway < SITE_GATEWAYS; gateway++) {
        site_wait(turn_is_served, &gateway, "a turn is served while one replica waits");
    }
    for (int i = 0; i < OPERATIONS; i++) {
        int replica = (waiting + 1 + i % (SITE_REPLICAS - 1)) % SITE_REPLICAS;
        ck_assert_int_eq(put_configuration(replica, ++version), 200);
        ck_assert_int_eq(run_turn(i % SITE_GATEWAYS), 200);
    }
}

START_TEST(one_replica_waiting_for_its_disk_does_not_cause_refusals)
{
    for (int waiting = 0; waiting < SITE_REPLICAS; waiting++) {
        kill(site_process(waiting), SIGSTOP);
        expect_service_while_waiting(waiting);
        kill(site_process(waiting), SIGCONT);
        site_wait(call_is_accepted, &waiting, "an operator's call succeeds at the resumed replica");
    }
}
END_TEST

START_TEST(an_operator_call_with_unknown_outcome_gets_504)
{
    int leader = find_leader();
    int first = (leader + 1) % SITE_REPLICAS;
    int second = (leader + 2) % SITE_REPLICAS;
    kill(site_process(first), SIGSTOP);
    kill(site_process(second), SIGSTOP);
    int number = ++version;
    int status = put_configuration(leader, number);
    kill(site_process(first), SIGCONT); /* it lacks the entry, so only the previous leader can be elected */
    sent_configuration_t sent = {leader, number};
    site_wait(is_applied, &sent, "the configuration is applied without a second call");
    kill(site_process(second), SIGCONT);
    ck_assert(site_log_has(leader, "\"outcome not learnt\""));
    ck_assert_int_eq(status, STATUS_UNKNOWN_OUTCOME);
}
END_TEST

int main(int argc, char **argv)
{
    site_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("slow disk");
    TCase *tests = tcase_create("one site");
    tcase_set_timeout(tests, 120);
    tcase_add_checked_fixture(tests, site_start, site_stop);
    tcase_add_test(tests, one_replica_waiting_for_its_disk_does_not_cause_refusals);
    tcase_add_test(tests, an_operator_call_with_unknown_outcome_gets_504);
    suite_add_tcase(suite, tests);
    return suite_run_without_fork(suite);
}
