/* A daemon must answer a malformed request once, with 400, close the connection and not crash. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "../unit/suite.h"
#include "fleet.h"
#include "framing_cases.h"

enum { NESTING = 100000, MUTATIONS = 300, MUTATED_BYTES = 512 };

static struct fleet fleet;
static pid_t process;

static void start(void)
{
    fleet_start(&fleet, 1);
    process = fleet.daemons[0].process;
}

static void stop(void)
{
    fleet_stop(&fleet);
}

static void expect_same_process(void)
{
    static const char alive[] = "GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    char *response = fleet_send_raw(fleet.daemons[0].caller_port, alive, sizeof(alive) - 1, false);
    ck_assert_msg(strstr(response, "HTTP/1.1 200") == response, "GET /healthz did not get status 200: %s", response);
    free(response);
    ck_assert_int_eq(waitpid(process, NULL, WNOHANG) > 0, 0);
    ck_assert_int_eq(kill(process, 0), 0);
}

static int count_responses(const char *response)
{
    int count = 0;
    for (const char *at = strstr(response, "HTTP/1.1 "); at != NULL; at = strstr(at + 1, "HTTP/1.1 ")) {
        count++;
    }
    return count;
}

static void expect_refused(int port, const struct framing_case *item)
{
    struct buffer request = {0};
    buffer_printf(&request, "POST /v1/programs HTTP/1.1\r\n%s\r\n%s", item->lines, item->body);
    buffer_append_text(&request, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
    char *response = fleet_send_raw(port, (const char *)request.data, request.length, false);
    if (strstr(response, "HTTP/1.1 400") != response || count_responses(response) != 1) {
        ck_abort_msg("%s: expected one response, 400; got: %s", item->name, response);
    }
    free(response);
    buffer_close(&request);
}

START_TEST(ambiguous_framing_is_refused)
{
    expect_refused(fleet.daemons[0].caller_port, &framing_cases[_i]);
    expect_refused(fleet.daemons[0].operator_port, &framing_cases[_i]);
    expect_same_process();
}
END_TEST

START_TEST(deep_nesting_is_refused)
{
    static const char *const paths[] = {"/v1/chat/completions", "/v1/programs"};
    char *body = malloc(NESTING + 1);
    memset(body, '[', NESTING);
    body[NESTING] = '\0';
    for (int i = 0; i < 2; i++) {
        struct fleet_response response;
        fleet_request(fleet.daemons[0].caller_port, "POST", paths[i], body, NULL, &response);
        ck_assert_int_eq(response.status, 400);
        fleet_response_close(&response);
    }
    free(body);
    expect_same_process();
}
END_TEST

START_TEST(an_unknown_model_is_not_found)
{
    struct fleet_response response;
    fleet_request(fleet.daemons[0].caller_port, "POST", "/v1/chat/completions",
                  "{\"model\":\"no-such-model\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}", NULL,
                  &response);
    ck_assert_int_eq(response.status, 404);
    ck_assert_str_eq(response.run_state, "not-run");
    ck_assert_ptr_nonnull(strstr(buffer_text(&response.body), "model_not_found"));
    fleet_response_close(&response);
}
END_TEST

/* Changes some bytes of a valid request and truncates it; fixed seed. */
START_TEST(mutated_requests_are_survived)
{
    static const char valid[] = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
                                "Content-Length: 66\r\nX-Program-Call: 1\r\n\r\n"
                                "{\"model\":\"agent-model\",\"messages\":[{\"role\":\"user\",\"content\":[[[]]]}]}";
    uint32_t state = 2026;
    for (int round = 0; round < MUTATIONS; round++) {
        char bytes[MUTATED_BYTES];
        size_t length = sizeof(valid) - 1;
        memcpy(bytes, valid, length);
        for (int change = 0; change < 4; change++) {
            state = state * 1664525U + 1013904223U;
            bytes[(state >> 8) % length] = "\r\n:[]{}\" ,0+\t\x80z"[state >> 28];
        }
        length -= (state >> 16) % 40;
        free(fleet_send_raw(fleet.daemons[0].caller_port, bytes, length, true));
    }
    expect_same_process();
}
END_TEST

int main(int argc, char **argv)
{
    fleet_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("framing");
    TCase *tests = tcase_create("one daemon");
    tcase_set_timeout(tests, 120);
    tcase_add_unchecked_fixture(tests, start, stop);
    tcase_add_loop_test(tests, ambiguous_framing_is_refused, 0, FRAMING_CASES);
    tcase_add_test(tests, deep_nesting_is_refused);
    tcase_add_test(tests, an_unknown_model_is_not_found);
    tcase_add_test(tests, mutated_requests_are_survived);
    suite_add_tcase(suite, tests);
    return suite_run(suite);
}
