/* Guards against connections that are closed with an unanswered request: by a listener that is stalled, is stopped or
 * has a slow client, and by gateways that are stopped or reloaded, or whose timeouts are changed. */
#include <pthread.h>
#include <signal.h>
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
    IDLE_TIMEOUT_MS = 200,
    HEADER_TIMEOUT_MS = 500,
    STALL_US = 1000 * 1000,
    CLIENT_PAUSE_MS = 2500,    /* for which a client reads nothing */
    RESPONSE_BYTES = 16 << 20, /* more than the socket buffers hold */
    CLIENT_BUFFER_BYTES = 1 << 16,
    RESPONSE_TIMEOUT_MS = 30000
};

static uv_loop_t loop;
static struct http_listener listener;
static int port;
static size_t response_bytes;
static uint32_t handled;

static const char REQUEST[] = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
static const char REQUEST_CLOSE[] = "GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

static void on_request(void *context, struct http_call *call)
{
    (void)context;
    struct buffer body = {0};
    handled++;
    memset(buffer_reserve(&body, response_bytes), 'x', response_bytes);
    body.length = response_bytes;
    http_call_send_response(call, 200, "", NULL, buffer_view(&body));
    buffer_close(&body);
}

static void on_disconnected(void *context, struct http_call *call)
{
    (void)context;
    (void)call;
}

static void start_listener(void)
{
    static const struct http_limits limits = {.max_head_bytes = 8192,
                                              .max_body_bytes = 8192,
                                              .header_timeout_ms = HEADER_TIMEOUT_MS,
                                              .idle_timeout_ms = IDLE_TIMEOUT_MS};
    const struct http_handler handler = {.request = on_request, .disconnected = on_disconnected};
    char text[32];
    struct address address;
    close(site_listen("127.0.0.1", &port)); /* a free port */
    snprintf(text, sizeof(text), "127.0.0.1:%d", port);
    ck_assert(address_parse(text, &address));
    uv_loop_init(&loop);
    ck_assert_int_eq(http_listener_start(&listener, &loop, &address, &handler, &limits), 0);
    response_bytes = 5;
    handled = 0;
}

static void stop_listener(void)
{
    http_listener_close(&listener);
    uv_run(&loop, UV_RUN_DEFAULT);
    ck_assert_int_eq(uv_loop_close(&loop), 0);
}

/* Connects with a receive buffer of the given size; 0: the default. */
static int connect_client(int buffer_bytes)
{
    int fd = site_connect("127.0.0.1", port);
    ck_assert_int_ge(fd, 0);
    if (buffer_bytes > 0) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof(buffer_bytes));
    }
    while (listener.counters.accepted == 0) {
        uv_run(&loop, UV_RUN_ONCE);
    }
    return fd;
}

static void run_for(uint64_t duration_ms)
{
    uint64_t end_ms = clock_monotonic_ms() + duration_ms;
    while (clock_monotonic_ms() < end_ms) {
        uv_run(&loop, UV_RUN_ONCE);
    }
}

/* Reads until the connection ends or `expected` bytes are received, while the loop runs; returns the bytes received. */
static size_t read_response(int fd, size_t expected)
{
    static char part[1 << 16];
    uint64_t end_ms = clock_monotonic_ms() + RESPONSE_TIMEOUT_MS;
    size_t got = 0;
    while (got < expected && clock_monotonic_ms() < end_ms) {
        uv_run(&loop, UV_RUN_NOWAIT);
        ssize_t more = recv(fd, part, sizeof(part), MSG_DONTWAIT);
        if (more == 0) {
            break;
        }
        got += more > 0 ? (size_t)more : 0;
    }
    return got;
}

static void expect_one_response(int fd)
{
    ck_assert_uint_ge(read_response(fd, response_bytes + 1), response_bytes + 1);
    ck_assert_uint_eq(handled, 1);
}

/* The kernel has received the request before the idle timeout expires. */
START_TEST(request_received_in_time_is_read_after_a_stall)
{
    int fd = connect_client(0);
    site_send(fd, REQUEST, sizeof(REQUEST) - 1);
    clock_sleep_us(STALL_US);
    expect_one_response(fd);
    close(fd);
}
END_TEST

/* The first part has been read; the kernel has received the rest before the header timeout expires. */
START_TEST(rest_of_a_request_is_read_after_a_stall)
{
    const size_t part = 10;
    int fd = connect_client(0);
    site_send(fd, REQUEST, part);
    while (http_listener_active_count(&listener) == 0) {
        uv_run(&loop, UV_RUN_ONCE);
    }
    site_send(fd, REQUEST + part, sizeof(REQUEST) - 1 - part);
    clock_sleep_us(STALL_US);
    expect_one_response(fd);
    close(fd);
}
END_TEST

/* Requests that are unread when the listener stops are answered, and their connections closed. */
START_TEST(request_received_before_the_stop_is_answered)
{
    int fd = connect_client(0);
    site_send(fd, REQUEST, sizeof(REQUEST) - 1);
    http_listener_drain(&listener);
    http_listener_stop_accepting(&listener);
    ck_assert_uint_eq(http_listener_active_count(&listener), 1); /* the process must not exit yet */
    expect_one_response(fd);
    close(fd);
}
END_TEST

START_TEST(idle_connection_is_closed)
{
    int fd = connect_client(0);
    ck_assert_uint_eq(read_response(fd, 1), 0);
    ck_assert_uint_eq(listener.counters.timeouts, 1);
    close(fd);
}
END_TEST

/* The client pauses for longer than the idle and header timeouts, and then reads. */
static void expect_complete_for_slow_client(const char *request, size_t length)
{
    response_bytes = RESPONSE_BYTES;
    int fd = connect_client(CLIENT_BUFFER_BYTES);
    site_send(fd, request, length);
    while (handled == 0) {
        uv_run(&loop, UV_RUN_ONCE);
    }
    run_for(CLIENT_PAUSE_MS);
    ck_assert_uint_eq(http_listener_active_count(&listener), 1);
    ck_assert_uint_gt(read_response(fd, RESPONSE_BYTES + 1), RESPONSE_BYTES);
    close(fd);
}

START_TEST(slow_client_receives_the_whole_response)
{
    expect_complete_for_slow_client(REQUEST, sizeof(REQUEST) - 1);
}
END_TEST

START_TEST(slow_client_receives_the_whole_last_response)
{
    expect_complete_for_slow_client(REQUEST_CLOSE, sizeof(REQUEST_CLOSE) - 1);
}
END_TEST

/* ---- A site ------------------------------------------------------------------------------------- */

enum {
    CLIENTS = 24,
    MAX_REQUESTS = 20000, /* per client */
    ROUNDS = 3,
    ROUND_US = 400 * 1000,
    PAUSE_US = 2000, /* shortest pause of a client between requests */
    PAUSES = 8,      /* the longest is this many times as long */
    NUMBER_BASE = 10
};

/* A client's requests have the ids "u-CLIENT-NUMBER". */
struct client {
    pthread_t thread;
    int number;
    int sent;
    int unanswered_count;
    bool ran[MAX_REQUESTS];
    bool unanswered[MAX_REQUESTS]; /* the connection ended without a complete response */
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct client clients[CLIENTS];
static bool finished;

static void record_run(const site_run_t *run)
{
    char *at = NULL;
    long client = strncmp(run->id, "u-", 2) == 0 ? strtol(run->id + 2, &at, NUMBER_BASE) : CLIENTS;
    if (client < CLIENTS && at != NULL && *at == '-') {
        pthread_mutex_lock(&lock);
        clients[client].ran[strtol(at + 1, NULL, NUMBER_BASE)] = true;
        pthread_mutex_unlock(&lock);
    }
}

static bool is_finished(void)
{
    pthread_mutex_lock(&lock);
    bool now = finished;
    pthread_mutex_unlock(&lock);
    return now;
}

/* Sends one request on a persistent connection; returns false if the connection must be closed. */
static bool send_request(struct client *client, int fd)
{
    char text[256];
    struct http_reader reader;
    struct buffer body = {0};
    int number = client->sent++;
    int length = snprintf(text, sizeof(text),
                          "POST /once/x HTTP/1.1\r\nHost: app.example\r\nBankbank-Request-Id: u-%d-%d\r\n"
                          "Content-Length: 2\r\n\r\nhi",
                          client->number, number);
    site_send(fd, text, (size_t)length);
    bool complete = site_read(fd, &reader, HTTP_RESPONSE, &body);
    bool reusable = complete && reader.keep_alive;
    client->unanswered[number] = !complete;
    client->unanswered_count += complete ? 0 : 1;
    http_reader_close(&reader);
    buffer_close(&body);
    return reusable;
}

static void *run_client(void *argument)
{
    struct client *client = argument;
    while (!is_finished() && client->sent < MAX_REQUESTS) {
        int fd = site_connect(site_caller_ip(client->number % SITE_GATEWAYS), site_caller_port);
        if (fd < 0) {
            clock_sleep_us(PAUSE_US);
            continue;
        }
        while (!is_finished() && client->sent < MAX_REQUESTS && send_request(client, fd)) {
            /* Pauses of different lengths, so that some connections are idle when the timeouts expire. */
            clock_sleep_us((uint64_t)(client->number % PAUSES + 1) * PAUSE_US);
        }
        close(fd);
        clock_sleep_us(PAUSE_US); /* a stopping gateway closes the connection after each response */
    }
    return NULL;
}

static bool replace_configuration(void *context)
{
    return site_operator_call(0, "POST", "/api/config/replace", context, NULL) == 200;
}

static void set_limits(int version, int idle_ms, int header_ms)
{
    char *text = site_configuration(version, "");
    struct buffer changed = {0};
    char *limits = strstr(text, "\"header-timeout-ms\"");
    ck_assert_ptr_nonnull(limits);
    buffer_append(&changed, text, (size_t)(limits - text));
    buffer_printf(&changed, "\"header-timeout-ms\":%d,\"idle-timeout-ms\":%d}}", header_ms, idle_ms);
    site_wait(replace_configuration, (void *)(uintptr_t)buffer_text(&changed), "the limits are accepted");
    buffer_close(&changed);
    free(text);
}

/* A stop overlaps with reloads and changes of the timeouts. */
static void disrupt(int round)
{
    const int versions = 3;
    int stopped = SITE_REPLICAS + round % SITE_GATEWAYS;
    kill(site_process(SITE_REPLICAS), SIGHUP);
    set_limits(2 + versions * round, 1, 1);
    clock_sleep_us(ROUND_US);
    kill(site_process(stopped), SIGTERM);
    set_limits(2 + versions * round + 1, 1000, 50);
    kill(site_process(stopped), SIGHUP);
    ck_assert_int_eq(site_kill_daemon(stopped, SIGTERM), 0);
    site_start_daemon(stopped);
    clock_sleep_us(ROUND_US);
    set_limits(2 + versions * round + 2, 5000, 1000);
}

/* Every request that a server executed has its complete response. */
START_TEST(requests_that_ran_are_answered_across_stops_and_reloads)
{
    int ran_unanswered = 0;
    int sent = 0;
    int unanswered = 0;
    site_echo_ids(record_run);
    for (int i = 0; i < CLIENTS; i++) {
        clients[i].number = i;
        pthread_create(&clients[i].thread, NULL, run_client, &clients[i]);
    }
    for (int round = 0; round < ROUNDS; round++) {
        disrupt(round);
    }
    pthread_mutex_lock(&lock);
    finished = true;
    pthread_mutex_unlock(&lock);
    for (int i = 0; i < CLIENTS; i++) {
        pthread_join(clients[i].thread, NULL);
        sent += clients[i].sent;
        unanswered += clients[i].unanswered_count;
        for (int j = 0; j < clients[i].sent; j++) {
            ran_unanswered += clients[i].ran[j] && clients[i].unanswered[j] ? 1 : 0;
        }
    }
    ck_assert_int_gt(sent, CLIENTS);
    ck_assert_msg(ran_unanswered == 0, "%d of %d unanswered requests had run (%d sent)", ran_unanswered, unanswered,
                  sent);
}
END_TEST

int main(int argc, char **argv)
{
    site_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("unanswered");
    TCase *tests = tcase_create("one listener");
    tcase_set_timeout(tests, 60);
    tcase_add_checked_fixture(tests, start_listener, stop_listener);
    tcase_add_test(tests, request_received_in_time_is_read_after_a_stall);
    tcase_add_test(tests, rest_of_a_request_is_read_after_a_stall);
    tcase_add_test(tests, request_received_before_the_stop_is_answered);
    tcase_add_test(tests, idle_connection_is_closed);
    tcase_add_test(tests, slow_client_receives_the_whole_response);
    tcase_add_test(tests, slow_client_receives_the_whole_last_response);
    suite_add_tcase(suite, tests);
    TCase *site = tcase_create("one site");
    tcase_set_timeout(site, 120);
    tcase_add_unchecked_fixture(site, site_start, site_stop);
    tcase_add_test(site, requests_that_ran_are_answered_across_stops_and_reloads);
    suite_add_tcase(suite, site);
    return suite_run_without_fork(suite);
}
