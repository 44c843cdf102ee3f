/* Requests that a process has, and whose connection ends: a listener on real sockets whose process is late, stops, or
 * has an answer that its client takes slowly. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../unit/suite.h"
#include "base/clock.h"
#include "net/http_listener.h"
#include "site.h"
#include "site_internal.h"

enum {
    IDLE_MS = 200,           /* a connection may rest */
    HEADER_MS = 500,         /* a request may take to arrive */
    LATE_US = 1000 * 1000,   /* the process does not run */
    SLOW_MS = 2500,          /* a client takes nothing */
    ANSWER_BYTES = 16 << 20, /* more than the sockets hold */
    CLIENT_BUFFER = 1 << 16,
    WAIT_MS = 30000 /* for what must come */
};

static uv_loop_t loop;
static struct http_listener listener;
static int port;
static size_t answer_bytes;
static uint32_t handled;

static const char REQUEST[] = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
static const char REQUEST_CLOSE[] = "GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

static void on_request(void *context, struct http_call *call)
{
    (void)context;
    struct buffer body = {0};
    handled++;
    memset(buffer_reserve(&body, answer_bytes), 'x', answer_bytes);
    body.length = answer_bytes;
    http_call_reply(call, 200, "", NULL, buffer_view(&body));
    buffer_close(&body);
}

static void on_gone(void *context, struct http_call *call)
{
    (void)context;
    (void)call;
}

static void setup(void)
{
    static const struct http_limits limits = {
        .max_head_bytes = 8192, .max_body_bytes = 8192, .header_timeout_ms = HEADER_MS, .idle_timeout_ms = IDLE_MS};
    const struct http_handler handler = {.request = on_request, .gone = on_gone};
    char text[32];
    struct address address;
    close(site_listen("127.0.0.1", &port)); /* a free port */
    snprintf(text, sizeof(text), "127.0.0.1:%d", port);
    ck_assert(address_parse(text, &address));
    uv_loop_init(&loop);
    ck_assert_int_eq(http_listener_start(&listener, &loop, &address, &handler, &limits), 0);
    answer_bytes = 5;
    handled = 0;
}

static void teardown(void)
{
    http_listener_close(&listener);
    uv_run(&loop, UV_RUN_DEFAULT);
    ck_assert_int_eq(uv_loop_close(&loop), 0);
}

static int connect_client(int buffer)
{
    int file = site_connect("127.0.0.1", port);
    ck_assert_int_ge(file, 0);
    if (buffer > 0) {
        setsockopt(file, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
    }
    while (listener.counters.accepted == 0) {
        uv_run(&loop, UV_RUN_ONCE);
    }
    return file;
}

static void run_for(uint64_t span_ms)
{
    uint64_t end_ms = clock_monotonic_ms() + span_ms;
    while (clock_monotonic_ms() < end_ms) {
        uv_run(&loop, UV_RUN_ONCE);
    }
}

/* Reads until the connection ends or a whole answer is there, while the loop runs; returns the bytes that came. */
static size_t read_answer(int file, size_t expected)
{
    static char part[1 << 16];
    uint64_t end_ms = clock_monotonic_ms() + WAIT_MS;
    size_t got = 0;
    while (got < expected && clock_monotonic_ms() < end_ms) {
        uv_run(&loop, UV_RUN_NOWAIT);
        ssize_t more = recv(file, part, sizeof(part), MSG_DONTWAIT);
        if (more == 0) {
            break;
        }
        got += more > 0 ? (size_t)more : 0;
    }
    return got;
}

static void expect_answer(int file)
{
    ck_assert_uint_ge(read_answer(file, answer_bytes + 1), answer_bytes + 1);
    ck_assert_uint_eq(handled, 1);
}

/* The request lies in the kernel since before the connection's rest was over. */
START_TEST(a_request_that_came_in_time_is_read_by_a_late_process)
{
    int file = connect_client(0);
    site_send(file, REQUEST, sizeof(REQUEST) - 1);
    clock_sleep_us(LATE_US);
    expect_answer(file);
    close(file);
}
END_TEST

/* The same with one whose first part was read before. */
START_TEST(the_rest_of_a_request_is_read_by_a_late_process)
{
    const size_t part = 10;
    int file = connect_client(0);
    site_send(file, REQUEST, part);
    while (http_listener_active(&listener) == 0) {
        uv_run(&loop, UV_RUN_ONCE);
    }
    site_send(file, REQUEST + part, sizeof(REQUEST) - 1 - part);
    clock_sleep_us(LATE_US);
    expect_answer(file);
    close(file);
}
END_TEST

/* A stop finds requests that it has not read yet: they are answered, and close their connections. */
START_TEST(a_request_that_came_before_the_stop_is_answered)
{
    int file = connect_client(0);
    site_send(file, REQUEST, sizeof(REQUEST) - 1);
    http_listener_drain(&listener);
    http_listener_stop_accepting(&listener);
    expect_answer(file);
    close(file);
}
END_TEST

/* A connection that rests is closed. */
START_TEST(a_connection_without_a_request_is_closed)
{
    int file = connect_client(0);
    ck_assert_uint_eq(read_answer(file, 1), 0);
    ck_assert_uint_eq(listener.counters.timeouts, 1);
    close(file);
}
END_TEST

/* It takes nothing for a while, and then the rest. */
static void expect_whole_for_slow_client(const char *request, size_t length)
{
    answer_bytes = ANSWER_BYTES;
    int file = connect_client(CLIENT_BUFFER);
    site_send(file, request, length);
    while (handled == 0) {
        uv_run(&loop, UV_RUN_ONCE);
    }
    run_for(SLOW_MS);
    ck_assert_uint_eq(http_listener_active(&listener), 1);
    ck_assert_uint_gt(read_answer(file, ANSWER_BYTES + 1), ANSWER_BYTES);
    close(file);
}

START_TEST(an_answer_that_is_taken_slowly_ends_whole)
{
    expect_whole_for_slow_client(REQUEST, sizeof(REQUEST) - 1);
}
END_TEST

START_TEST(a_last_answer_that_is_taken_slowly_ends_whole)
{
    expect_whole_for_slow_client(REQUEST_CLOSE, sizeof(REQUEST_CLOSE) - 1);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("unanswered");
    TCase *tests = tcase_create("one listener");
    tcase_set_timeout(tests, 60);
    tcase_add_checked_fixture(tests, setup, teardown);
    tcase_add_test(tests, a_request_that_came_in_time_is_read_by_a_late_process);
    tcase_add_test(tests, the_rest_of_a_request_is_read_by_a_late_process);
    tcase_add_test(tests, a_request_that_came_before_the_stop_is_answered);
    tcase_add_test(tests, a_connection_without_a_request_is_closed);
    tcase_add_test(tests, an_answer_that_is_taken_slowly_ends_whole);
    tcase_add_test(tests, a_last_answer_that_is_taken_slowly_ends_whole);
    suite_add_tcase(suite, tests);
    return suite_run(suite);
}
