/* One real daemon that is killed and stopped: between turns, in mid-stream, with calls under way. */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "../unit/suite.h"
#include "fleet.h"

static struct fleet fleet;
static char program[128];

static void setup(void)
{
    fleet_start(&fleet, 1);
    fleet_create_program(&fleet, 1, program, sizeof(program));
}

static void teardown(void)
{
    fleet_stop(&fleet);
}

static void restart(void)
{
    fleet_end_node(&fleet, 1, SIGKILL);
    fleet_start_node(&fleet, 1);
    fleet_wait_ready(&fleet, 1);
}

/* A call asked by a thread of its own. */
struct asked {
    pthread_t thread;
    uint32_t number;
    const char *const *options;
    struct fleet_answer answer;
};

static void *ask_main(void *argument)
{
    struct asked *asked = argument;
    fleet_ask(&fleet, 1, program, asked->number, "in flight", true, asked->options, &asked->answer);
    return NULL;
}

static bool a_sequence_runs(void *context)
{
    (void)context;
    return fleet_sum(&fleet, "engines", "running") > 0;
}

/* Starts a slow call and waits until an engine runs it. */
static void ask_in_background(struct asked *asked, uint32_t number, const char *const *options)
{
    memset(asked, 0, sizeof(*asked));
    asked->number = number;
    asked->options = options;
    fleet_set_fault(&fleet, "slow", 30, 0);
    ck_assert_int_eq(pthread_create(&asked->thread, NULL, ask_main, asked), 0);
    ck_assert(fleet_wait_for(a_sequence_runs, NULL));
}

START_TEST(a_kill_between_turns_loses_nothing)
{
    free(fleet_must_answer(&fleet, 1, program, 1, "first"));
    char *second = fleet_must_answer(&fleet, 1, program, 2, "second");
    restart();
    char *again = fleet_must_answer(&fleet, 1, program, 2, "second");
    ck_assert_str_eq(second, again);
    free(fleet_must_answer(&fleet, 1, program, 3, "third"));
    fleet_must_verify(&fleet, 1, program, 3);
    free(second);
    free(again);
}
END_TEST

START_TEST(a_repeatable_call_cut_by_a_kill_is_answered_once)
{
    struct asked asked;
    free(fleet_must_answer(&fleet, 1, program, 1, "first"));
    ask_in_background(&asked, 2, NULL);
    fleet_end_node(&fleet, 1, SIGKILL);
    pthread_join(asked.thread, NULL);
    ck_assert(!asked.answer.whole || asked.answer.status != 200 ||
              strstr(buffer_text(&asked.answer.body), "[DONE]") == NULL);
    fleet_answer_close(&asked.answer);
    fleet_set_fault(&fleet, "none", 0, 0);
    fleet_start_node(&fleet, 1);
    fleet_wait_ready(&fleet, 1);
    free(fleet_must_answer(&fleet, 1, program, 2, "in flight"));
    fleet_must_verify(&fleet, 1, program, 2);
}
END_TEST

START_TEST(a_call_that_may_not_repeat_ends_as_unknown)
{
    static const char *const once[] = {"X-Repeatable: false", NULL};
    struct asked asked;
    ask_in_background(&asked, 1, once);
    fleet_end_node(&fleet, 1, SIGKILL);
    pthread_join(asked.thread, NULL);
    fleet_answer_close(&asked.answer);
    fleet_set_fault(&fleet, "none", 0, 0);
    fleet_start_node(&fleet, 1);
    fleet_wait_ready(&fleet, 1);
    struct fleet_answer answer;
    for (int i = 0; i < 2; i++) {
        fleet_ask(&fleet, 1, program, 1, "in flight", false, once, &answer);
        ck_assert_int_ne(answer.status, 200);
        ck_assert_str_eq(answer.run_state, "unknown");
        fleet_answer_close(&answer);
    }
    free(fleet_must_answer(&fleet, 1, program, 2, "the next call goes on"));
}
END_TEST

START_TEST(a_planned_stop_finishes_what_is_in_flight)
{
    struct asked asked;
    ask_in_background(&asked, 1, NULL);
    int status = fleet_end_node(&fleet, 1, SIGTERM);
    pthread_join(asked.thread, NULL);
    ck_assert(WIFEXITED(status) && WEXITSTATUS(status) == 0);
    ck_assert(asked.answer.whole);
    ck_assert_ptr_nonnull(strstr(buffer_text(&asked.answer.body), "data: [DONE]"));
    fleet_answer_close(&asked.answer);
    fleet_set_fault(&fleet, "none", 0, 0);
    fleet_start_node(&fleet, 1);
    fleet_wait_ready(&fleet, 1);
    fleet_must_verify(&fleet, 1, program, 1);
}
END_TEST

START_TEST(lost_answers_of_engines_are_made_good_or_told)
{
    static const char *const once[] = {"X-Repeatable: false", NULL};
    struct fleet_answer answer;
    free(fleet_must_answer(&fleet, 1, program, 1, "first"));
    fleet_set_fault_at(&fleet, 2, "cut", 2, 1);
    free(fleet_must_answer(&fleet, 1, program, 2, "cut at the first engine"));
    fleet_set_fault(&fleet, "none", 0, 0);
    fleet_set_fault_at(&fleet, 2, "crossed", 0, 1);
    free(fleet_must_answer(&fleet, 1, program, 3, "answered with another's text"));
    fleet_set_fault_at(&fleet, 2, "refuse", 0, 1);
    free(fleet_must_answer(&fleet, 1, program, 4, "refused by the first engine"));
    fleet_must_verify(&fleet, 1, program, 4);
    fleet_set_fault(&fleet, "cut", 2, 0);
    fleet_ask(&fleet, 1, program, 5, "once", false, once, &answer);
    ck_assert_int_eq(answer.status, 502);
    ck_assert_str_eq(answer.run_state, "unknown");
    fleet_answer_close(&answer);
    fleet_set_fault(&fleet, "none", 0, 0);
    fleet_must_verify(&fleet, 1, program, 4);
}
END_TEST

START_TEST(a_hanging_engine_is_given_up_at_the_policys_limit)
{
    static const char *const policy[] = {"update", "policy", "default", "pool=agents", "call_timeout_ms=300", NULL};
    struct fleet_answer answer;
    fleet_must_ctl(&fleet, 1, policy);
    fleet_set_fault(&fleet, "hang", 0, 0);
    fleet_ask(&fleet, 1, program, 1, "hangs", false, NULL, &answer);
    ck_assert_int_eq(answer.status, 502);
    ck_assert_str_eq(answer.run_state, "unknown");
    fleet_answer_close(&answer);
    fleet_set_fault(&fleet, "none", 0, 0);
    free(fleet_must_answer(&fleet, 1, program, 1, "hangs")); /* repeatable: asked again, answered */
    free(fleet_must_answer(&fleet, 1, program, 2, "goes on"));
    fleet_must_verify(&fleet, 1, program, 2);
}
END_TEST

static bool no_memory_is_held(void *context)
{
    (void)context;
    return fleet_sum(&fleet, "engines", "held_tokens") == 0;
}

START_TEST(a_refusal_after_a_lost_attempt_does_not_say_not_run)
{
    struct fleet_answer answer;
    /* One engine cuts the answer, the others refuse: whatever the order, an attempt may have run. */
    fleet_set_fault(&fleet, "refuse", 0, 0);
    fleet_set_fault_at(&fleet, 1, "cut", 1, 0);
    fleet_ask(&fleet, 1, program, 1, "cut or refused", false, NULL, &answer);
    ck_assert_int_ge(answer.status, 500);
    ck_assert_str_eq(answer.run_state, "unknown");
    fleet_answer_close(&answer);
}
END_TEST

START_TEST(engine_memory_of_an_ended_program_is_released)
{
    free(fleet_must_answer(&fleet, 1, program, 1, "first"));
    ck_assert(!no_memory_is_held(NULL));
    char path[256];
    struct fleet_answer answer;
    snprintf(path, sizeof(path), "/v1/programs/%s", program);
    fleet_request(fleet.nodes[0].caller_port, "DELETE", path, NULL, NULL, &answer);
    ck_assert_int_eq(answer.status / 100, 2);
    fleet_answer_close(&answer);
    ck_assert(fleet_wait_for(no_memory_is_held, NULL));
}
END_TEST

int main(int argc, char **argv)
{
    fleet_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("restart");
    TCase *tests = tcase_create("one daemon");
    tcase_set_timeout(tests, 120);
    tcase_add_checked_fixture(tests, setup, teardown);
    tcase_add_test(tests, a_kill_between_turns_loses_nothing);
    tcase_add_test(tests, a_repeatable_call_cut_by_a_kill_is_answered_once);
    tcase_add_test(tests, a_call_that_may_not_repeat_ends_as_unknown);
    tcase_add_test(tests, a_planned_stop_finishes_what_is_in_flight);
    tcase_add_test(tests, lost_answers_of_engines_are_made_good_or_told);
    tcase_add_test(tests, a_hanging_engine_is_given_up_at_the_policys_limit);
    tcase_add_test(tests, a_refusal_after_a_lost_attempt_does_not_say_not_run);
    tcase_add_test(tests, engine_memory_of_an_ended_program_is_released);
    suite_add_tcase(suite, tests);
    return suite_run(suite);
}
