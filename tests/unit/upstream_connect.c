/*
 * Guards against confusing a connection attempt that nothing answered with other reasons for which a request was not
 * sent: only the former is evidence that the server's machine or zone cannot be reached (core/zone_reach.h). And
 * against a proxy without a server (core/closed_dials.h) that is taken for a server, or the reverse.
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/buffer.h"
#include "base/clock.h"
#include "net/upstream.h"
#include "suite.h"

enum { LIMIT_MS = 20000, POLL_US = 1000, PENDING_CONNECTIONS = 4 /* more than a backlog of 0 admits */ };

static uv_loop_t loop;
static struct upstream_pool pool;
static int listener;
static int pending[PENDING_CONNECTIONS];
static struct sockaddr_in listen_address;
static struct address address;
static char address_text[32];
static bool may_write;
static bool ended;
static enum upstream_result last_result;

static bool on_write(void *owner, struct buffer *request)
{
    (void)owner;
    buffer_append_text(request, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    return may_write;
}

static void on_head(void *owner, const struct http_reader *response)
{
    (void)owner;
    (void)response;
}

static void on_body(void *owner, struct view part)
{
    (void)owner;
    (void)part;
}

static void on_end(void *owner, enum upstream_result result)
{
    (void)owner;
    ended = true;
    last_result = result;
}

static const struct upstream_events events = {on_write, on_head, on_body, on_end};

static void setup(void)
{
    socklen_t length = sizeof(listen_address);
    listen_address = (struct sockaddr_in){.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    listener = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_eq(bind(listener, (struct sockaddr *)&listen_address, sizeof(listen_address)), 0);
    ck_assert_int_eq(listen(listener, 0), 0);
    ck_assert_int_eq(getsockname(listener, (struct sockaddr *)&listen_address, &length), 0);
    snprintf(address_text, sizeof(address_text), "127.0.0.1:%d", ntohs(listen_address.sin_port));
    ck_assert(address_parse(address_text, &address));
    uv_loop_init(&loop);
    upstream_init(&pool, &loop);
    may_write = true;
    ended = false;
}

/* With a full backlog the kernel drops SYN packets. */
static void fill_backlog(void)
{
    for (int i = 0; i < PENDING_CONNECTIONS; i++) {
        pending[i] = socket(AF_INET, SOCK_STREAM, 0);
        ck_assert_int_eq(fcntl(pending[i], F_SETFL, O_NONBLOCK), 0);
        (void)connect(pending[i], (struct sockaddr *)&listen_address, sizeof(listen_address));
    }
}

static void expect_result(enum upstream_result result)
{
    uint64_t end_ms = clock_monotonic_ms() + LIMIT_MS;
    upstream_start(&pool, &address, 0, false, &events, NULL);
    while (!ended && clock_monotonic_ms() < end_ms) {
        uv_run(&loop, UV_RUN_ONCE);
    }
    ck_assert(ended);
    ck_assert_int_eq(last_result, result);
}

START_TEST(unanswered_attempt_is_a_connect_timeout)
{
    fill_backlog();
    expect_result(UPSTREAM_CONNECT_TIMEOUT);
}
END_TEST

START_TEST(refused_attempt_is_no_connect_timeout)
{
    close(listener);
    expect_result(UPSTREAM_REFUSED);
}
END_TEST

START_TEST(request_that_must_not_be_sent_is_no_connect_timeout)
{
    may_write = false;
    expect_result(UPSTREAM_NOT_SENT);
}
END_TEST

/* No connection can be opened to a broadcast address: connect() fails at once, and the sweep closes the attempt. */
START_TEST(attempt_that_fails_locally_is_no_connect_timeout)
{
    ck_assert(address_parse("255.255.255.255:9", &address));
    expect_result(UPSTREAM_NOT_SENT);
}
END_TEST

static int closed_unused;

static void on_closed_unused(void *context, const char *closed_address)
{
    (void)context;
    (void)closed_address;
    closed_unused++;
}

static void on_probed(void *context, const char *probed_address, bool answered)
{
    (void)context;
    (void)probed_address;
    ended = answered;
}

static void run_loop_for(uint64_t for_ms)
{
    uint64_t end_ms = clock_monotonic_ms() + for_ms;
    while (clock_monotonic_ms() < end_ms) {
        uv_run(&loop, UV_RUN_NOWAIT);
        clock_sleep_us(POLL_US);
    }
}

/* Dials the server; returns its end of the connection. */
static int probe_and_accept(void)
{
    pool.closed_unused = on_closed_unused;
    pool.probed = on_probed;
    closed_unused = 0;
    upstream_probe(&pool, &address);
    int fd = accept(listener, NULL, NULL);
    ck_assert_int_ge(fd, 0);
    while (!ended) {
        uv_run(&loop, UV_RUN_ONCE);
    }
    return fd;
}

START_TEST(connection_closed_at_once_is_reported)
{
    close(probe_and_accept());
    run_loop_for(UPSTREAM_AT_ONCE_MS);
    ck_assert_int_eq(closed_unused, 1);
}
END_TEST

/* The next request may find the connection closed before the loop does. */
START_TEST(connection_closed_at_once_is_reported_by_the_next_request)
{
    close(probe_and_accept());
    upstream_start(&pool, &address, 0, false, &events, NULL);
    ck_assert_int_eq(closed_unused, 1);
}
END_TEST

START_TEST(connection_closed_later_is_not_reported)
{
    int fd = probe_and_accept();
    run_loop_for(2 * UPSTREAM_AT_ONCE_MS);
    close(fd);
    run_loop_for(UPSTREAM_AT_ONCE_MS);
    ck_assert_int_eq(closed_unused, 0);
    ck_assert_int_eq(upstream_idle_count(&pool, address_text), 0);
}
END_TEST

START_TEST(connection_closed_after_a_request_is_not_reported)
{
    int fd = probe_and_accept();
    ended = false;
    upstream_start(&pool, &address, 0, false, &events, NULL);
    close(fd);
    run_loop_for(UPSTREAM_AT_ONCE_MS);
    ck_assert(ended);
    ck_assert_int_eq(last_result, UPSTREAM_BROKEN);
    ck_assert_int_eq(closed_unused, 0);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("upstream connect");
    TCase *tests = tcase_create("one server");
    tcase_set_timeout(tests, 60);
    tcase_add_checked_fixture(tests, setup, NULL);
    tcase_add_test(tests, unanswered_attempt_is_a_connect_timeout);
    tcase_add_test(tests, refused_attempt_is_no_connect_timeout);
    tcase_add_test(tests, request_that_must_not_be_sent_is_no_connect_timeout);
    tcase_add_test(tests, attempt_that_fails_locally_is_no_connect_timeout);
    tcase_add_test(tests, connection_closed_at_once_is_reported);
    tcase_add_test(tests, connection_closed_at_once_is_reported_by_the_next_request);
    tcase_add_test(tests, connection_closed_later_is_not_reported);
    tcase_add_test(tests, connection_closed_after_a_request_is_not_reported);
    suite_add_tcase(suite, tests);
    return suite_run(suite);
}
