/*
 * Clients that do not keep to the limits, at both listeners of bankbankd. Guards against a daemon that ends, hangs or
 * grows beyond its memory and descriptors because of what clients send, announce or leave unread.
 */
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../unit/suite.h"
#include "base/clock.h"
#include "crowd.h"
#include "fleet.h"

enum {
    MEMORY_LIMIT_MB = 256, /* of a daemon (CONTRIBUTING.md) */
    DESCRIPTOR_LIMIT = 256,
    CLIENTS = 300,             /* more than the daemon has threads and descriptors */
    MAX_BODY_BYTES = 16 << 20, /* default of max_body_bytes */
    FILLER_BYTES = 4 << 20,
    REFUSED_BODY_BYTES = 1 << 19,
    RESPONSE_BYTES = 1024,
    PAUSE_US = 1500 * 1000, /* longer than HTTP_CLIENTS_SILENT_MS */
    LINE_BYTES = 1 << 16,
    HALF_HEAD_BYTES = 4096,
    CHUNK_BYTES = 1 << 16
};

#define HOST "Host: x\r\n"
#define CHAT "POST /v1/chat/completions HTTP/1.1\r\n" HOST "Content-Type: application/json\r\n"
#define METRICS "GET /metrics HTTP/1.1\r\n" HOST "\r\n"
#define TEXT(text)                                                                                                     \
    {                                                                                                                  \
        (const uint8_t *)(text), sizeof(text) - 1                                                                      \
    }
#define LETTERS                                                                                                        \
    {                                                                                                                  \
        letters, sizeof(letters)                                                                                       \
    }
#define CHUNK                                                                                                          \
    {                                                                                                                  \
        chunk, sizeof(chunk)                                                                                           \
    }

static uint8_t letters[LINE_BYTES];
static uint8_t chunk[CHUNK_BYTES + sizeof("10000\r\n\r\n") - 1];
static crowd_t crowd;
static struct fleet fleet;

static const crowd_script_t scripts[] = {
    {"announced over the limit", TEXT(CHAT "Content-Length: 1073741824\r\n\r\n"), LETTERS, FILLER_BYTES, false},
    {"announced over the limit, expecting 100", TEXT(CHAT "Content-Length: 1073741824\r\nExpect: 100-continue\r\n\r\n"),
     LETTERS, FILLER_BYTES, false},
    {"chunked without end", TEXT(CHAT "Transfer-Encoding: chunked\r\n\r\n"), CHUNK, 2 * MAX_BODY_BYTES, false},
    {"most of a body", TEXT(CHAT "Content-Length: 16777216\r\n\r\n"), LETTERS, MAX_BODY_BYTES - 1, false},
    {"head without end", TEXT("POST /v1/chat/completions HTTP/1.1\r\nX-Line: "), LETTERS, FILLER_BYTES, false},
    {"half a head", TEXT("POST /v1/chat/completions HTTP/1.1\r\nX-Line: "), LETTERS, HALF_HEAD_BYTES, false},
    {"silent", TEXT(""), TEXT(""), 0, false},
    {"metrics in series, unread", TEXT(METRICS), TEXT(METRICS), FILLER_BYTES, true},
    {"many small values", TEXT(CHAT "Content-Length: 4194304\r\n\r\n["), TEXT("0,"), FILLER_BYTES - 2, false},
};

enum { SCRIPTS = sizeof(scripts) / sizeof(*scripts) };

static bool caller_is_answered(void *context)
{
    struct fleet_response response = {0};
    (void)context;
    fleet_request(fleet.daemons[0].caller_port, "GET", "/v1/models", NULL, NULL, &response);
    bool answered = response.status == 200;
    fleet_response_close(&response);
    return answered;
}

static bool operator_is_answered(void *context)
{
    struct fleet_response response = {0};
    (void)context;
    fleet_request(fleet.daemons[0].operator_port, "GET", "/readyz", NULL, NULL, &response);
    bool answered = response.status == 200;
    fleet_response_close(&response);
    return answered;
}

static void expect_within_limits(const char *name)
{
    int status = 0;
    pid_t process = fleet.daemons[0].process;
    ck_assert_msg(waitpid(process, &status, WNOHANG) == 0, "%s: the daemon ended: wait status %x", name,
                  (unsigned)status);
    long peak_kb = crowd_peak_kb(process);
    int descriptors = crowd_descriptors(process);
    printf("%s: peak %ld kB, %d descriptors\n", name, peak_kb, descriptors);
    fflush(stdout);
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__) /* whose own memory counts */
    ck_assert_msg(peak_kb < MEMORY_LIMIT_MB * 1024, "%s: peak %ld kB", name, peak_kb);
#endif
    ck_assert_msg(descriptors < DESCRIPTOR_LIMIT, "%s: %d descriptors", name, descriptors);
}

/* One ordinary request is answered beside the crowd, and one after it has left. */
static void play(int port, const crowd_script_t *script, bool (*answered)(void *context))
{
    ck_assert(fleet_wait_for(answered, NULL));
    crowd_reset_peak(fleet.daemons[0].process);
    crowd_start(&crowd, "127.0.0.1", port, script, CLIENTS);
    crowd_wait(&crowd);
    expect_within_limits(script->name);
    ck_assert_msg(fleet_wait_for(answered, NULL), "%s: no answer beside the crowd", script->name);
    crowd_stop(&crowd);
    expect_within_limits(script->name);
    ck_assert_msg(fleet_wait_for(answered, NULL), "%s: no answer after the crowd", script->name);
}

START_TEST(callers_of_a_fleet)
{
    play(fleet.daemons[0].caller_port, &scripts[_i], caller_is_answered);
}
END_TEST

START_TEST(operators_of_a_fleet)
{
    play(fleet.daemons[0].operator_port, &scripts[_i], operator_is_answered);
}
END_TEST

/* ---- Single clients ------------------------------------------------------------------------------- */

/* Sends a head and `length` bytes of a body; returns the status of the response, 0: none. */
static int send_body(const char *head, const uint8_t *body, size_t length)
{
    struct buffer request = {0};
    int status = 0;
    buffer_append_text(&request, head);
    buffer_append(&request, body, length);
    char *response = fleet_send_raw(fleet.daemons[0].caller_port, buffer_text(&request), request.length, false);
    if (sscanf(response, "HTTP/1.1 %d", &status) != 1) {
        status = 0;
    }
    free(response);
    buffer_close(&request);
    return status;
}

/* 400: the body was received, and is no JSON. */
START_TEST(only_the_limit_is_refused)
{
    static uint8_t body[MAX_BODY_BYTES];
    ck_assert_int_eq(send_body("POST /v1/programs HTTP/1.1\r\n" HOST
                               "Connection: close\r\nContent-Length: 16777216\r\n\r\n",
                               body, sizeof(body)),
                     400);
    ck_assert_int_eq(send_body("POST /v1/programs HTTP/1.1\r\n" HOST "Content-Length: 16777217\r\n\r\n", NULL, 0), 413);
}
END_TEST

/* Guards against refusals that are lost in the reset of a connection with unread bytes. */
START_TEST(a_refusal_reaches_a_client_that_still_sends)
{
    static uint8_t body[REFUSED_BODY_BYTES];
    ck_assert_int_eq(
        send_body("POST /v1/programs HTTP/1.1\r\n" HOST "Content-Length: 16777217\r\n\r\n", body, sizeof(body)), 413);
}
END_TEST

/* In calm a client may pause in its body. */
START_TEST(a_pause_in_a_body_is_served)
{
    static const char first[] =
        "POST /v1/programs HTTP/1.1\r\n" HOST "Connection: close\r\nContent-Length: 4\r\n\r\nno";
    char response[RESPONSE_BYTES] = "";
    int status = 0;
    int fd = fleet_connect(fleet.daemons[0].caller_port);
    ck_assert_int_eq(send(fd, first, sizeof(first) - 1, MSG_NOSIGNAL), sizeof(first) - 1);
    clock_sleep_us(PAUSE_US);
    ck_assert_int_eq(send(fd, "ne", 2, MSG_NOSIGNAL), 2);
    ck_assert_int_gt(recv(fd, response, sizeof(response) - 1, 0), 0);
    close(fd);
    ck_assert_int_eq(sscanf(response, "HTTP/1.1 %d", &status), 1);
    ck_assert_int_eq(status, 400);
}
END_TEST

static void start(void)
{
    memset(letters, 'a', sizeof(letters));
    memset(chunk, 'b', sizeof(chunk));
    memcpy(chunk, "10000\r\n", sizeof("10000\r\n") - 1);
    memcpy(chunk + sizeof(chunk) - 2, "\r\n", 2);
    fleet_limit_descriptors(DESCRIPTOR_LIMIT);
    fleet_start(&fleet, 1);
}

static void stop(void)
{
    fleet_stop(&fleet);
}

/* The crowd of a failed case is still there. */
static void stop_crowd(void)
{
    if (crowd.script != NULL && !crowd.stopping) {
        crowd_stop(&crowd);
    }
}

int main(int argc, char **argv)
{
    fleet_build = argc > 1 ? argv[1] : "build";
    crowd_raise_descriptor_limit();
    Suite *suite = suite_create("client limits of bankbankd");
    TCase *tests = tcase_create("crowds");
    tcase_set_timeout(tests, 180);
    tcase_add_unchecked_fixture(tests, start, stop);
    tcase_add_checked_fixture(tests, NULL, stop_crowd);
    tcase_add_loop_test(tests, callers_of_a_fleet, 0, SCRIPTS);
    tcase_add_loop_test(tests, operators_of_a_fleet, 0, SCRIPTS);
    suite_add_tcase(suite, tests);
    TCase *calm = tcase_create("single clients");
    tcase_set_timeout(calm, 180);
    tcase_add_unchecked_fixture(calm, start, stop);
    tcase_add_test(calm, only_the_limit_is_refused);
    tcase_add_test(calm, a_refusal_reaches_a_client_that_still_sends);
    tcase_add_test(calm, a_pause_in_a_body_is_served);
    suite_add_tcase(suite, calm);
    return suite_run_without_fork(suite);
}
