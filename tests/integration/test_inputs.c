/* Malformed and hostile input to a daemon: guards against crashes, errors without a code and a wrong run state. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../unit/suite.h"
#include "fleet.h"

enum { SLOW_CLIENTS = 16 };

static struct fleet fleet;
static char program[128];

static void start(void)
{
    static const char *const tenant[] = {"create", "tenant", "bank", "api_key=bank-key", NULL};
    fleet_start(&fleet, 1);
    fleet_expect_ctl(&fleet, 1, tenant);
}

static void setup(void)
{
    fleet_create_program(&fleet, 1, program, sizeof(program));
}

static void stop(void)
{
    fleet_stop(&fleet);
}

struct refusal {
    const char *name;
    const char *path;
    const char *headers[4];
    const char *body;
    int status;
};

static const struct refusal refusals[] = {
    {"invalid JSON", "/v1/chat/completions", {NULL}, "{\"messages\":", 400},
    {"not an object", "/v1/chat/completions", {NULL}, "[]", 400},
    {"empty body", "/v1/chat/completions", {NULL}, "", 400},
    {"no messages", "/v1/chat/completions", {NULL}, "{\"model\":\"agent-model\"}", 400},
    {"messages of a wrong type", "/v1/chat/completions", {NULL}, "{\"model\":\"m\",\"messages\":\"hello\"}", 400},
    {"max_tokens of a wrong type",
     "/v1/chat/completions",
     {NULL},
     "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}],\"max_tokens\":\"many\"}",
     400},
    {"negative max_tokens",
     "/v1/chat/completions",
     {NULL},
     "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}],\"max_tokens\":-3}",
     400},
    {"stream of a wrong type",
     "/v1/chat/completions",
     {NULL},
     "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}],\"stream\":7}",
     400},
    {"unknown program",
     "/v1/chat/completions",
     {"X-Program-Id: p00000000-none", "X-Program-Call: 1", NULL},
     "{\"model\":\"agent-model\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}",
     404},
    {"call number of a wrong type",
     "/v1/chat/completions",
     {"X-Program-Id: p00000000-none", "X-Program-Call: first", NULL},
     "{\"model\":\"agent-model\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}",
     400},
    {"unknown field of a program", "/v1/programs", {NULL}, "{\"budget\":1}", 400},
    {"unknown policy", "/v1/programs", {NULL}, "{\"policy\":\"none\"}", 400},
    {"budget of a wrong type", "/v1/programs", {NULL}, "{\"budget_tokens\":\"much\"}", 400},
    {"unknown service", "/services/none/x", {NULL}, "x", 404},
    {"unknown path", "/v2/anything", {NULL}, "x", 404},
    {"unknown key", "/v1/programs", {"Authorization: Bearer no-such-key", NULL}, "{}", 401},
};

START_TEST(malformed_requests_are_refused_as_not_run)
{
    const struct refusal *refusal = &refusals[_i];
    struct fleet_response response;
    fleet_request(fleet.daemons[0].caller_port, "POST", refusal->path, refusal->body, refusal->headers, &response);
    if (response.status != refusal->status || strcmp(response.run_state, "not-run") != 0) {
        ck_abort_msg("%s: expected status %d and run state not-run; got status %d, run state %s, body %s",
                     refusal->name, refusal->status, response.status, response.run_state, buffer_text(&response.body));
    }
    json_t *body = json_loads(buffer_text(&response.body), 0, NULL);
    const json_t *error = json_object_get(body, "error");
    ck_assert_ptr_nonnull(json_string_value(json_object_get(error, "message")));
    ck_assert_ptr_nonnull(json_string_value(json_object_get(error, "code")));
    json_decref(body);
    fleet_response_close(&response);
}
END_TEST

START_TEST(call_numbers_must_be_consecutive)
{
    struct fleet_response response;
    fleet_send_call(&fleet, 1, program, 3, "too early", false, NULL, &response);
    ck_assert_int_eq(response.status, 409);
    ck_assert_str_eq(response.run_state, "not-run");
    fleet_response_close(&response);
    free(fleet_expect_answer(&fleet, 1, program, 1, "first"));
    fleet_send_call(&fleet, 1, program, 1, "another text", false, NULL, &response);
    ck_assert_int_eq(response.status, 409);
    fleet_response_close(&response);
    fleet_expect_history(&fleet, 1, program, 1);
}
END_TEST

/* Sends raw bytes; the daemon must answer 4xx or close the connection, and serve the next call. */
static void expect_still_serving(const char *bytes, size_t length, bool half_close)
{
    char *response = fleet_send_raw(fleet.daemons[0].caller_port, bytes, length, half_close);
    ck_assert(response[0] == '\0' || strstr(response, "HTTP/1.1 4") == response);
    free(response);
    free(fleet_expect_answer(&fleet, 1, program, 1, "still serving"));
}

START_TEST(a_truncated_body_runs_nothing)
{
    json_int_t before = fleet_stat_sum(&fleet, "engines", "requests");
    static const char cut[] =
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\n{\"messages\":";
    expect_still_serving(cut, sizeof(cut) - 1, true);
    ck_assert_int_eq(fleet_stat_sum(&fleet, "engines", "requests"),
                     before + 1); /* the call of expect_still_serving() */
}
END_TEST

static const char *const cut_chunks[] = {
    "5\r\nhel", "5\r\nhello\r\n", "5\r\nhello\r\n0", "5\r\nhello", "5",
};

enum { CUT_CHUNKS = sizeof(cut_chunks) / sizeof(cut_chunks[0]) };

/* A body in chunks that ends before its last chunk must not be passed on as a whole one. */
START_TEST(a_truncated_chunked_body_runs_nothing)
{
    json_int_t before = fleet_stat_sum(&fleet, "backends", "requests");
    struct buffer request = {0};
    buffer_printf(&request, "POST /services/calculator/x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n%s",
                  cut_chunks[_i]);
    expect_still_serving((const char *)request.data, request.length, true);
    ck_assert_int_eq(fleet_stat_sum(&fleet, "backends", "requests"), before);
    buffer_close(&request);
}
END_TEST

static const char *const whole_chunks[] = {
    "5\r\nhello\r\n0\r\n\r\n",
    "2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
    "0\r\n\r\n",
};

enum { WHOLE_CHUNKS = sizeof(whole_chunks) / sizeof(whole_chunks[0]) };

START_TEST(a_whole_chunked_body_is_passed_on)
{
    struct buffer request = {0};
    buffer_printf(&request,
                  "POST /services/calculator/x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n%s",
                  whole_chunks[_i]);
    char *response = fleet_send_raw(fleet.daemons[0].caller_port, (const char *)request.data, request.length, false);
    ck_assert_msg(strstr(response, "HTTP/1.1 200") == response, "%s", response);
    free(response);
    buffer_close(&request);
}
END_TEST

START_TEST(oversized_bodies_and_headers_are_refused)
{
    static const char head[] = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n{";
    expect_still_serving(head, sizeof(head) - 1, true);
    struct buffer headers = {0};
    buffer_append_text(&headers, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Long: ");
    for (int i = 0; i < 100000; i++) {
        buffer_append(&headers, "a", 1);
    }
    buffer_append_text(&headers, "\r\n\r\n");
    expect_still_serving((const char *)headers.data, headers.length, true);
    buffer_close(&headers);
}
END_TEST

/* Clients that have sent part of a request each occupy a thread. */
START_TEST(slow_clients_do_not_block_others)
{
    static const char part[] = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 200\r\n\r\n{\"mes";
    int fds[SLOW_CLIENTS];
    for (int i = 0; i < SLOW_CLIENTS; i++) {
        fds[i] = fleet_connect(fleet.daemons[0].caller_port);
        ck_assert_int_eq(send(fds[i], part, sizeof(part) - 1, MSG_NOSIGNAL), sizeof(part) - 1);
    }
    free(fleet_expect_answer(&fleet, 1, program, 1, "beside slow clients"));
    for (int i = 0; i < SLOW_CLIENTS; i++) {
        close(fds[i]);
    }
    free(fleet_expect_answer(&fleet, 1, program, 2, "after them"));
}
END_TEST

START_TEST(random_bytes_do_not_crash_the_daemon)
{
    char bytes[4096];
    uint32_t state = 12345;
    for (int round = 0; round < 20; round++) {
        for (size_t i = 0; i < sizeof(bytes); i++) {
            state = state * 1664525U + 1013904223U;
            bytes[i] = (char)(state >> 24);
        }
        free(fleet_send_raw(fleet.daemons[0].caller_port, bytes, sizeof(bytes), true));
        free(fleet_send_raw(fleet.daemons[0].operator_port, bytes, sizeof(bytes), true));
    }
    free(fleet_expect_answer(&fleet, 1, program, 1, "still serving"));
}
END_TEST

START_TEST(malformed_operator_requests_return_error_codes)
{
    static const char *const proto[] = {"Content-Type: application/proto", NULL};
    struct fleet_response response;
    fleet_request(fleet.daemons[0].operator_port, "POST", "/bankbank.v1.OperatorService/CreatePool", "\xff\xff\xff",
                  proto, &response);
    ck_assert_int_eq(response.status, 400);
    json_t *body = json_loads(buffer_text(&response.body), 0, NULL);
    ck_assert_str_eq(json_string_value(json_object_get(body, "code")), "invalid_argument");
    json_decref(body);
    fleet_response_close(&response);
    fleet_request(fleet.daemons[0].operator_port, "POST", "/bankbank.v1.OperatorService/NoSuchMethod", "", proto,
                  &response);
    ck_assert_int_ge(response.status, 400);
    fleet_response_close(&response);
}
END_TEST

int main(int argc, char **argv)
{
    fleet_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("inputs");
    TCase *tests = tcase_create("one daemon");
    tcase_set_timeout(tests, 120);
    tcase_add_unchecked_fixture(tests, start, stop);
    tcase_add_checked_fixture(tests, setup, NULL);
    tcase_add_loop_test(tests, malformed_requests_are_refused_as_not_run, 0,
                        (int)(sizeof(refusals) / sizeof(refusals[0])));
    tcase_add_test(tests, call_numbers_must_be_consecutive);
    tcase_add_test(tests, a_truncated_body_runs_nothing);
    tcase_add_loop_test(tests, a_truncated_chunked_body_runs_nothing, 0, CUT_CHUNKS);
    tcase_add_loop_test(tests, a_whole_chunked_body_is_passed_on, 0, WHOLE_CHUNKS);
    tcase_add_test(tests, oversized_bodies_and_headers_are_refused);
    tcase_add_test(tests, slow_clients_do_not_block_others);
    tcase_add_test(tests, random_bytes_do_not_crash_the_daemon);
    tcase_add_test(tests, malformed_operator_requests_return_error_codes);
    suite_add_tcase(suite, tests);
    return suite_run(suite);
}
