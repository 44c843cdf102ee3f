/*
 * Replicas that wait for their disks, with real daemons.
 *
 * What happened: on machines whose disk stood still for seconds, configurations
 * and turns were answered 503. A replica does nothing else while it waits for a sync
 * (`disk_slow` in its log), so that one which is stopped by a signal shows what the
 * others and its callers see, for as long as the test likes.
 *
 * Where all replicas wait, nothing can be kept, and the refusal is right. But an
 * order whose outcome was not learnt (`order`, "outcome not learnt") was answered
 * 503 as well, which promises that it will not be carried out: it stood in the
 * leader's log, and came into force when the disks went on.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../unit/suite.h"
#include "site.h"

enum { ORDERS = 20, UNKNOWN_OUTCOME = 504 };

static int version = 1;

static int put_at(int state, int number)
{
    char *configuration = site_configuration(number, "");
    int status = site_order(state, "POST", "/api/config/replace", configuration, NULL);
    free(configuration);
    return status;
}

typedef struct sent_t {
    int state;
    int number;
} sent_t;

static bool is_in_force(void *context)
{
    const sent_t *sent = context;
    char told[32];
    struct buffer reply = {0};
    snprintf(told, sizeof(told), "\"version\":%d,", sent->number);
    bool has = site_order(sent->state, "GET", "/api/config/get", NULL, &reply) == 200 &&
               strstr(buffer_text(&reply), told) != NULL;
    buffer_close(&reply);
    return has;
}

static bool leads(int state)
{
    return site_metric(state, "raft_leading") == 1;
}

static bool has_leader(void *context)
{
    int *leader = context;
    for (*leader = 0; *leader < SITE_STATES; (*leader)++) {
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

static int turn(int gateway)
{
    static int number;
    char lines[128];
    struct site_answer answer;
    snprintf(lines, sizeof(lines),
             "Bankbank-Program-Id: p%d\r\nBankbank-Token-Budget: 1000\r\nBankbank-Token-Usage: 10,15\r\n", ++number);
    site_call(gateway, "POST", "/chat/x", lines, "in;", &answer);
    int status = answer.whole ? answer.status : -answer.status;
    site_answer_close(&answer);
    return status;
}

static bool turn_is_served(void *context)
{
    return turn(*(int *)context) == 200;
}

static bool order_is_taken(void *context)
{
    return put_at(*(int *)context, ++version) == 200;
}

/* All that the two others and the gateways are asked, once they have a leader. */
static void expect_service_without(int waiting)
{
    for (int state = 0; state < SITE_STATES; state++) {
        if (state != waiting) {
            site_wait(order_is_taken, &state, "an order is taken while one replica waits");
        }
    }
    for (int gateway = 0; gateway < SITE_GATEWAYS; gateway++) {
        site_wait(turn_is_served, &gateway, "a turn is served while one replica waits");
    }
    for (int i = 0; i < ORDERS; i++) {
        int state = (waiting + 1 + i % (SITE_STATES - 1)) % SITE_STATES;
        ck_assert_int_eq(put_at(state, ++version), 200);
        ck_assert_int_eq(turn(i % SITE_GATEWAYS), 200);
    }
}

START_TEST(one_replica_that_waits_for_its_disk_refuses_nothing_for_the_others)
{
    for (int waiting = 0; waiting < SITE_STATES; waiting++) {
        kill(site_process(waiting), SIGSTOP);
        expect_service_without(waiting);
        kill(site_process(waiting), SIGCONT);
        site_wait(order_is_taken, &waiting, "it takes orders again");
    }
}
END_TEST

START_TEST(an_order_whose_outcome_is_not_learnt_is_not_refused)
{
    int leader = find_leader();
    int first = (leader + 1) % SITE_STATES;
    int second = (leader + 2) % SITE_STATES;
    kill(site_process(first), SIGSTOP);
    kill(site_process(second), SIGSTOP);
    int number = ++version;
    int status = put_at(leader, number);
    kill(site_process(first), SIGCONT); /* it lacks the order: only the leader of before can be elected */
    sent_t sent = {leader, number};
    site_wait(is_in_force, &sent, "the order is in force, and was not sent again");
    kill(site_process(second), SIGCONT);
    ck_assert(site_log_has(leader, "\"outcome not learnt\""));
    ck_assert_int_eq(status, UNKNOWN_OUTCOME);
}
END_TEST

int main(int argc, char **argv)
{
    site_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("slow disk");
    TCase *tests = tcase_create("one site");
    tcase_set_timeout(tests, 120);
    tcase_add_checked_fixture(tests, site_start, site_stop);
    tcase_add_test(tests, one_replica_that_waits_for_its_disk_refuses_nothing_for_the_others);
    tcase_add_test(tests, an_order_whose_outcome_is_not_learnt_is_not_refused);
    suite_add_tcase(suite, tests);
    return suite_run_in_process(suite);
}
