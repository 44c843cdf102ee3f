/*
 * Servers that close the connection inside the head of a response, at each program and tool that reads it.
 *
 * Callers got 200 with an empty body, framed as whole, and operators a change that was reported as done.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "../support/cut_server.h"
#include "../unit/suite.h"
#include "fleet.h"
#include "net/http_client.h"
#include "ports.h"

static struct fleet fleet;
static cut_server_t server;

static const char *const methods[] = {"GET", "POST", "HEAD"};

enum { METHODS = sizeof(methods) / sizeof(methods[0]) };

/* A service of its own for each case: a back end that has failed is avoided for a while. `whole`: with a second back
 * end that responds. */
static void create_service(const char *name, bool whole)
{
    char cut_text[96];
    char whole_text[96];
    snprintf(cut_text, sizeof(cut_text), "backend=cut,http://127.0.0.1:%d/%s,zone-1", server.port, name);
    snprintf(whole_text, sizeof(whole_text), "backend=whole,http://127.0.0.1:%d/backends/0,zone-1",
             fleet.emulator_port);
    const char *words[] = {"create", "service", name, cut_text, whole ? whole_text : NULL, NULL};
    fleet_expect_ctl(&fleet, 1, words);
}

static void request(const char *method, const char *service, struct fleet_response *response)
{
    char path[64];
    snprintf(path, sizeof(path), "/services/%s/x", service);
    fleet_request(fleet.daemons[0].caller_port, method, path, strcmp(method, "POST") == 0 ? "x" : NULL, NULL, response);
}

static void start(void)
{
    fleet_start(&fleet, 1);
    cut_server_start(&server);
}

static void stop(void)
{
    fleet_stop(&fleet);
}

/* The caller of a service whose back end cuts its response must not get it as a whole one. */
START_TEST(a_back_end_that_cuts_its_head_is_unknown)
{
    for (int i = 0; i < METHODS; i++) {
        char name[32];
        struct fleet_response response;
        snprintf(name, sizeof(name), "cut-%d-%d", _i, i);
        create_service(name, false);
        cut_server_respond(&server, cut_server_cut_heads[_i]);
        request(methods[i], name, &response);
        ck_assert_msg(response.status == 502 && strcmp(response.run_state, "unknown") == 0,
                      "%s of \"%s\": status %d, run state %s", methods[i], cut_server_cut_heads[_i], response.status,
                      response.run_state);
        ck_assert_int_eq(atomic_load(&server.requests), 1);
        fleet_response_close(&response);
    }
}
END_TEST

/* Retries are limited to a share of the requests. */
static void earn_retries(void)
{
    enum { REQUESTS = 20 };
    for (int i = 0; i < REQUESTS; i++) {
        struct fleet_response response;
        request("GET", "calculator", &response);
        fleet_response_close(&response);
    }
}

/* A repeatable request whose response was cut must be tried at another back end. */
START_TEST(a_repeatable_request_is_repeated_after_a_cut_head)
{
    char name[32];
    snprintf(name, sizeof(name), "half-%d", _i);
    create_service(name, true);
    earn_retries();
    cut_server_respond(&server, cut_server_cut_heads[_i]);
    for (int i = 0; i < 2; i++) {
        struct fleet_response response;
        request("GET", name, &response);
        ck_assert_int_eq(response.status, 200);
        ck_assert_uint_gt(response.body.length, 0);
        fleet_response_close(&response);
    }
    ck_assert_int_ge(atomic_load(&server.requests), 1);
}
END_TEST

/* Headers of interim responses must not be passed on as those of the final one. */
START_TEST(a_whole_response_is_passed_on)
{
    struct fleet_response response;
    create_service("whole", false);
    cut_server_respond(&server, "HTTP/1.1 103 Early Hints\r\nRetry-After: 7\r\n\r\nHTTP/1.1 200 OK\r\n"
                                "Content-Length: 5\r\n\r\nwhole");
    request("GET", "whole", &response);
    ck_assert_int_eq(response.status, 200);
    ck_assert_str_eq(response.run_state, "run");
    ck_assert_str_eq(response.retry_after, "");
    ck_assert_str_eq(buffer_text(&response.body), "whole");
    fleet_response_close(&response);
}
END_TEST

static const char *const *const commands[] = {
    (const char *const[]){"status", NULL},
    (const char *const[]){"list", "pool", NULL},
    (const char *const[]){"delete", "pool", "agents", NULL},
};

enum { COMMANDS = sizeof(commands) / sizeof(commands[0]) };

/* An operator must not be told that a change was made, or that there is nothing, after a response that was cut. */
START_TEST(bankbankctl_fails_after_a_cut_head)
{
    struct fleet other = fleet;
    other.daemons[0].operator_port = server.port;
    cut_server_respond(&server, cut_server_cut_heads[_i]);
    for (int i = 0; i < COMMANDS; i++) {
        char *output = NULL;
        int status = fleet_ctl(&other, 1, commands[i], &output);
        ck_assert_msg(status == 1 && strstr(output, "no complete response") != NULL, "%s after \"%s\": exit %d, %s",
                      commands[i][0], cut_server_cut_heads[_i], status, output);
        free(output);
    }
}
END_TEST

/* A program must not be taken over after an old site's response that was cut: the old site may run it on. */
START_TEST(a_hand_over_fails_after_a_cut_head)
{
    char program[32];
    char old_site[64];
    char *output = NULL;
    snprintf(program, sizeof(program), "old-%d", _i);
    snprintf(old_site, sizeof(old_site), "http://127.0.0.1:%d/old-site", server.port);
    const char *const run[] = {"handover", "run", program, "--old-site", old_site, NULL};
    cut_server_respond(&server, cut_server_cut_heads[_i]);
    int status = fleet_ctl(&fleet, 1, run, &output);
    ck_assert_msg(status == 1 && strstr(output, "imported") == NULL, "exit %d, %s", status, output);
    ck_assert_int_eq(atomic_load(&server.requests), 1);
    free(output);
}
END_TEST

/* Tests and the soak must not take a cut response for a whole one either. */
START_TEST(the_client_of_the_tests_sees_a_cut_head)
{
    struct fleet_response response;
    cut_server_respond(&server, cut_server_cut_heads[_i]);
    fleet_request(server.port, "GET", "/x", NULL, NULL, &response);
    ck_assert(!response.complete);
    ck_assert_int_eq(response.status, 0);
    fleet_response_close(&response);
}
END_TEST

int main(int argc, char **argv)
{
    fleet_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("cut responses");
    TCase *tests = tcase_create("one daemon");
    tcase_set_timeout(tests, 120);
    tcase_add_unchecked_fixture(tests, start, stop);
    tcase_add_loop_test(tests, a_back_end_that_cuts_its_head_is_unknown, 0, CUT_SERVER_CUT_HEADS);
    tcase_add_loop_test(tests, a_repeatable_request_is_repeated_after_a_cut_head, 0, CUT_SERVER_CUT_HEADS);
    tcase_add_test(tests, a_whole_response_is_passed_on);
    tcase_add_loop_test(tests, bankbankctl_fails_after_a_cut_head, 0, CUT_SERVER_CUT_HEADS);
    tcase_add_loop_test(tests, a_hand_over_fails_after_a_cut_head, 0, CUT_SERVER_CUT_HEADS);
    tcase_add_loop_test(tests, the_client_of_the_tests_sees_a_cut_head, 0, CUT_SERVER_CUT_HEADS);
    suite_add_tcase(suite, tests);
    return suite_run_without_fork(suite);
}
