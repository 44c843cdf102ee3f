/* Three daemons: failed and restarted replicas, concurrent operators, hand-over of a program from another site, leaving
 * machines. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "../unit/suite.h"
#include "fleet.h"

enum { NODES = 3, CHANGES = 300 };

static struct fleet fleet;
static char program[128];

static void setup(void)
{
    fleet_start(&fleet, NODES);
    fleet_create_program(&fleet, 1, program, sizeof(program));
}

static void teardown(void)
{
    fleet_stop(&fleet);
}

/* Leader of the configuration group, as `node` knows it; 0: none. */
static uint32_t configuration_leader(uint32_t node)
{
    static const char *const words[] = {"status", "--json", NULL};
    char *output = NULL;
    fleet_ctl(&fleet, node, words, &output);
    json_t *status = json_loads(output, 0, NULL);
    const json_t *group = json_array_get(json_object_get(status, "groups"), 0);
    uint32_t leader = (uint32_t)json_integer_value(json_object_get(group, "leader"));
    json_decref(status);
    free(output);
    return leader;
}

static json_int_t revision_at(uint32_t node)
{
    static const char *const words[] = {"status", "--json", NULL};
    char *output = NULL;
    fleet_ctl(&fleet, node, words, &output);
    json_t *status = json_loads(output, 0, NULL);
    json_int_t revision = json_integer_value(json_object_get(status, "revision"));
    json_decref(status);
    free(output);
    return revision;
}

static uint32_t next_node(uint32_t node)
{
    return node % NODES + 1;
}

START_TEST(calls_continue_after_leader_failure)
{
    free(fleet_expect_answer(&fleet, 1, program, 1, "one"));
    free(fleet_expect_answer(&fleet, 2, program, 2, "two"));
    uint32_t leader = configuration_leader(1);
    ck_assert_uint_ne(leader, 0);
    fleet_kill_daemon(&fleet, leader, SIGKILL);
    uint32_t second = next_node(leader);
    free(fleet_expect_answer(&fleet, second, program, 3, "three"));
    free(fleet_expect_answer(&fleet, next_node(second), program, 4, "four"));
    fleet_expect_history(&fleet, second, program, 4);
    fleet_start_daemon(&fleet, leader);
    fleet_wait_ready(&fleet, leader);
    /* Another replica fails as soon as the first has recovered. */
    fleet_kill_daemon(&fleet, second, SIGKILL);
    free(fleet_expect_answer(&fleet, leader, program, 5, "five"));
    fleet_expect_history(&fleet, leader, program, 5);
}
END_TEST

START_TEST(without_a_quorum_calls_are_refused_as_not_run)
{
    free(fleet_expect_answer(&fleet, 1, program, 1, "one"));
    fleet_kill_daemon(&fleet, 2, SIGKILL);
    fleet_kill_daemon(&fleet, 3, SIGKILL);
    struct fleet_response response;
    fleet_send_call(&fleet, 1, program, 2, "two", false, NULL, &response);
    ck_assert_int_eq(response.status, 503);
    ck_assert_str_ne(response.run_state, "run");
    ck_assert_str_ne(response.retry_after, "");
    fleet_response_close(&response);
    fleet_start_daemon(&fleet, 2);
    fleet_wait_ready(&fleet, 2);
    free(fleet_expect_answer(&fleet, 2, program, 2, "two"));
    fleet_expect_history(&fleet, 2, program, 2);
}
END_TEST

START_TEST(one_of_two_conflicting_changes_succeeds)
{
    char revision[32];
    char *first = NULL;
    char *second = NULL;
    snprintf(revision, sizeof(revision), "%lld", (long long)revision_at(1));
    const char *const one[] = {"create", "tenant", "bank", "api_key=key-of-aaa", "--expected-revision", revision, NULL};
    const char *const other[] = {"create", "tenant", "council", "api_key=key-of-bbb", "--expected-revision",
                                 revision, NULL};
    int first_status = fleet_ctl(&fleet, 1, one, &first);
    int second_status = fleet_ctl(&fleet, 2, other, &second);
    ck_assert_int_eq(first_status, 0);
    ck_assert_int_ne(second_status, 0);
    ck_assert_ptr_nonnull(strstr(second, "aborted"));
    free(first);
    free(second);
    const char *const resent[] = {"create", "tenant", "shop", "api_key=key-of-ccc", "--request-id", "r-1", NULL};
    ck_assert_int_eq(fleet_ctl(&fleet, 1, resent, &first), 0);
    ck_assert_int_eq(fleet_ctl(&fleet, 3, resent, &second), 0);
    ck_assert_str_eq(first, second);
    free(first);
    free(second);
}
END_TEST

START_TEST(a_replica_catches_up_after_hundreds_of_changes)
{
    fleet_kill_daemon(&fleet, 3, SIGKILL);
    static const char *const create[] = {"create", "tenant", "bank", "api_key=key-of-aaa", NULL};
    fleet_expect_ctl(&fleet, 1, create);
    json_int_t before = revision_at(1);
    for (int i = 0; i < CHANGES; i++) {
        char weight[32];
        snprintf(weight, sizeof(weight), "weight=%d", 1 + i % 9);
        const char *const update[] = {"update", "tenant", "bank", "api_key=key-of-aaa", weight, NULL};
        fleet_expect_ctl(&fleet, 1 + (uint32_t)(i % 2), update);
    }
    fleet_start_daemon(&fleet, 3);
    fleet_wait_ready(&fleet, 3);
    ck_assert_int_ge(revision_at(3), before + CHANGES);
    free(fleet_expect_answer(&fleet, 3, program, 1, "one"));
}
END_TEST

static json_t *old_site_post(const char *path, const char *body, int *status)
{
    struct fleet_response response;
    fleet_request(fleet.emulator_port, "POST", path, body, NULL, &response);
    *status = response.status;
    json_t *content = json_loads(buffer_text(&response.body), 0, NULL);
    fleet_response_close(&response);
    return content;
}

START_TEST(a_program_is_handed_over_once)
{
    int status = 0;
    char old_site[96];
    struct fleet_response response;
    json_decref(old_site_post("/old-site/programs",
                              "{\"program_id\":\"old-1\",\"tenant\":\"anonymous\",\"policy\":\"default\","
                              "\"budget_tokens\":5000,\"spent_tokens\":100,\"next_call\":2,\"context_tokens\":50,"
                              "\"history\":[{\"role\":\"user\",\"content\":\"q\"},"
                              "{\"role\":\"assistant\",\"content\":\"a\"}]}",
                              &status));
    ck_assert_int_eq(status, 200);
    snprintf(old_site, sizeof(old_site), "http://127.0.0.1:%d/old-site", fleet.emulator_port);
    const char *const prepare[] = {"handover", "prepare", "old-1", NULL};
    const char *const run[] = {"handover", "run", "old-1", "--old-site", old_site, NULL};
    fleet_expect_ctl(&fleet, 1, prepare);
    fleet_send_call(&fleet, 2, "old-1", 2, "before the commit", false, NULL, &response);
    ck_assert_int_eq(response.status, 421);
    ck_assert_str_eq(response.run_state, "not-run");
    ck_assert_ptr_nonnull(strstr(buffer_text(&response.body), "old-site"));
    fleet_response_close(&response);
    fleet_expect_ctl(&fleet, 1, run);
    fleet_kill_daemon(&fleet, 1, SIGKILL);
    fleet_expect_ctl(&fleet, 2, run);
    free(fleet_expect_answer(&fleet, 3, "old-1", 2, "after the commit"));
    fleet_request(fleet.daemons[1].caller_port, "GET", "/v1/programs/old-1/history", NULL, NULL, &response);
    json_t *history = json_loads(buffer_text(&response.body), 0, NULL);
    ck_assert_uint_eq(json_array_size(json_object_get(history, "messages")), 4);
    json_decref(history);
    fleet_response_close(&response);
}
END_TEST

/* Sends service requests; true: none reached a back end. */
static bool no_backend_is_used(void *context)
{
    json_int_t before = fleet_stat_sum(&fleet, "backends", "requests");
    (void)context;
    for (int i = 0; i < 10; i++) {
        struct fleet_response response;
        fleet_request(fleet.daemons[i % NODES].caller_port, "POST", "/services/calculator/x", "x", NULL, &response);
        fleet_response_close(&response);
    }
    return fleet_stat_sum(&fleet, "backends", "requests") == before;
}

START_TEST(a_leaving_machine_gets_no_new_work)
{
    char body[96];
    struct fleet_response response;
    ck_assert(!no_backend_is_used(NULL));
    snprintf(body, sizeof(body), "{\"address\":\"127.0.0.1:%d\",\"state\":\"leaving\"}", fleet.emulator_port);
    fleet_request(fleet.emulator_port, "POST", "/control/machine", body, NULL, &response);
    ck_assert_int_eq(response.status, 200);
    fleet_response_close(&response);
    ck_assert(fleet_wait_for(no_backend_is_used, NULL));
    fleet_send_call(&fleet, 1, program, 1, "one", false, NULL, &response);
    ck_assert_int_eq(response.status, 503);
    ck_assert_str_eq(response.run_state, "not-run");
    fleet_response_close(&response);
}
END_TEST

START_TEST(daemons_are_restarted_one_by_one_under_load)
{
    uint32_t call = 1;
    for (uint32_t node = 1; node <= NODES; node++) {
        free(fleet_expect_answer(&fleet, node, program, call++, "before the stop"));
        int status = fleet_kill_daemon(&fleet, node, SIGTERM);
        ck_assert(WIFEXITED(status) && WEXITSTATUS(status) == 0);
        free(fleet_expect_answer(&fleet, next_node(node), program, call++, "while it is down"));
        fleet_start_daemon(&fleet, node);
        fleet_wait_ready(&fleet, node);
    }
    fleet_expect_history(&fleet, 1, program, call - 1);
}
END_TEST

static void setup_with_spare(void)
{
    fleet.spares = 1;
    fleet_start(&fleet, NODES + 1);
    fleet_create_program(&fleet, 1, program, sizeof(program));
}

START_TEST(a_lost_disk_is_replaced_by_a_spare_replica)
{
    static const char *const remove_lost[] = {"replica", "remove", "3", NULL};
    static const char *const add_spare[] = {"replica", "add", "4", NULL};
    free(fleet_expect_answer(&fleet, 1, program, 1, "one"));
    fleet_kill_daemon(&fleet, 3, SIGKILL);
    fleet_delete_data(&fleet, 3);
    fleet_expect_ctl(&fleet, 1, remove_lost);
    fleet_expect_ctl(&fleet, 2, remove_lost); /* idempotent */
    fleet_expect_ctl(&fleet, 2, add_spare);
    free(fleet_expect_answer(&fleet, 4, program, 2, "two"));
    /* The new replica and one of the old ones form a quorum. */
    fleet_kill_daemon(&fleet, 1, SIGKILL);
    free(fleet_expect_answer(&fleet, 2, program, 3, "three"));
    fleet_expect_history(&fleet, 4, program, 3);
}
END_TEST

int main(int argc, char **argv)
{
    fleet_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("fleet");
    TCase *tests = tcase_create("three daemons");
    tcase_set_timeout(tests, 180);
    tcase_add_checked_fixture(tests, setup, teardown);
    tcase_add_test(tests, calls_continue_after_leader_failure);
    tcase_add_test(tests, without_a_quorum_calls_are_refused_as_not_run);
    tcase_add_test(tests, one_of_two_conflicting_changes_succeeds);
    tcase_add_test(tests, a_replica_catches_up_after_hundreds_of_changes);
    tcase_add_test(tests, a_program_is_handed_over_once);
    tcase_add_test(tests, a_leaving_machine_gets_no_new_work);
    tcase_add_test(tests, daemons_are_restarted_one_by_one_under_load);
    suite_add_tcase(suite, tests);
    TCase *spare = tcase_create("three daemons and a spare");
    tcase_set_timeout(spare, 180);
    tcase_add_checked_fixture(spare, setup_with_spare, teardown);
    tcase_add_test(spare, a_lost_disk_is_replaced_by_a_spare_replica);
    suite_add_tcase(suite, spare);
    return suite_run(suite);
}
