/* Requests that a process has, and whose connection ends: a listener on real sockets whose process is late, stops, or
 * has an answer that its client takes slowly; and gateways with many kept connections that are stopped, told of new
 * settings and given configurations with other limits. */
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
    ck_assert_uint_eq(http_listener_active(&listener), 1); /* nobody may end the process yet */
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

/* ---- A whole site ------------------------------------------------------------------------------- */

enum {
    CLIENTS = 24,
    MOST_REQUESTS = 20000, /* of one client */
    ROUNDS = 3,
    ROUND_US = 400 * 1000,
    PAUSE_US = 2000, /* between requests: one to eight of these */
    PAUSES = 8,
    NUMBER_BASE = 10
};

/* What became of a client's requests; a request's id is "u-CLIENT-NUMBER". */
struct client {
    pthread_t thread;
    int number;
    int sent;
    int unanswered; /* the connection ended without a whole answer */
    bool ran[MOST_REQUESTS];
    bool missed[MOST_REQUESTS];
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct client clients[CLIENTS];
static bool over;

static void note_run(const site_run_t *run)
{
    char *at = NULL;
    long client = strncmp(run->id, "u-", 2) == 0 ? strtol(run->id + 2, &at, NUMBER_BASE) : CLIENTS;
    if (client < CLIENTS && at != NULL && *at == '-') {
        pthread_mutex_lock(&lock);
        clients[client].ran[strtol(at + 1, NULL, NUMBER_BASE)] = true;
        pthread_mutex_unlock(&lock);
    }
}

static bool is_over(void)
{
    pthread_mutex_lock(&lock);
    bool now = over;
    pthread_mutex_unlock(&lock);
    return now;
}

/* One request on a kept connection; false: the connection is to be closed. */
static bool ask(struct client *client, int file)
{
    char text[256];
    struct http_reader reader;
    struct buffer body = {0};
    int number = client->sent++;
    int length = snprintf(text, sizeof(text),
                          "POST /once/x HTTP/1.1\r\nHost: app.example\r\nBankbank-Request-Id: u-%d-%d\r\n"
                          "Content-Length: 2\r\n\r\nhi",
                          client->number, number);
    site_send(file, text, (size_t)length);
    bool whole = site_read(file, &reader, HTTP_RESPONSE, &body);
    bool kept = whole && reader.keep_alive;
    client->missed[number] = !whole;
    client->unanswered += whole ? 0 : 1;
    http_reader_close(&reader);
    buffer_close(&body);
    return kept;
}

static void *run_client(void *argument)
{
    struct client *client = argument;
    while (!is_over() && client->sent < MOST_REQUESTS) {
        int file = site_connect(site_caller_ip(client->number % SITE_GATEWAYS), site_caller_port);
        if (file < 0) {
            clock_sleep_us(PAUSE_US);
            continue;
        }
        while (!is_over() && client->sent < MOST_REQUESTS && ask(client, file)) {
            clock_sleep_us((uint64_t)(client->number % PAUSES + 1) *
                           PAUSE_US); /* some of them rest as the limits end */
        }
        close(file);
        clock_sleep_us(PAUSE_US); /* a gateway that stops closes after each answer */
    }
    return NULL;
}

static bool takes_configuration(void *context)
{
    return site_order(0, "POST", "/api/config/replace", context, NULL) == 200;
}

static void give_limits(int version, int idle_ms, int header_ms)
{
    char *text = site_configuration(version, "");
    struct buffer changed = {0};
    char *limits = strstr(text, "\"header-timeout-ms\"");
    ck_assert_ptr_nonnull(limits);
    buffer_append(&changed, text, (size_t)(limits - text));
    buffer_printf(&changed, "\"header-timeout-ms\":%d,\"idle-timeout-ms\":%d}}", header_ms, idle_ms);
    site_wait(takes_configuration, (void *)(uintptr_t)buffer_text(&changed), "the limits are taken");
    buffer_close(&changed);
    free(text);
}

/* A stop, a reload and changes of the limits, one upon the other. */
static void disturb(int round)
{
    const int versions = 3;
    int stopped = SITE_STATES + round % SITE_GATEWAYS;
    kill(site_process(SITE_STATES), SIGHUP);
    give_limits(2 + versions * round, 1, 1);
    clock_sleep_us(ROUND_US);
    kill(site_process(stopped), SIGTERM);
    give_limits(2 + versions * round + 1, 1000, 50);
    kill(site_process(stopped), SIGHUP);
    ck_assert_int_eq(site_end_daemon(stopped, SIGTERM), 0);
    site_start_daemon(stopped);
    clock_sleep_us(ROUND_US);
    give_limits(2 + versions * round + 2, 5000, 1000);
}

/* Whatever a server ran has its whole answer. */
START_TEST(what_a_server_ran_is_answered_over_stops_and_changes)
{
    int ran_unanswered = 0;
    int sent = 0;
    int unanswered = 0;
    site_echo(note_run);
    for (int i = 0; i < CLIENTS; i++) {
        clients[i].number = i;
        pthread_create(&clients[i].thread, NULL, run_client, &clients[i]);
    }
    for (int round = 0; round < ROUNDS; round++) {
        disturb(round);
    }
    pthread_mutex_lock(&lock);
    over = true;
    pthread_mutex_unlock(&lock);
    for (int i = 0; i < CLIENTS; i++) {
        pthread_join(clients[i].thread, NULL);
        sent += clients[i].sent;
        unanswered += clients[i].unanswered;
        for (int j = 0; j < clients[i].sent; j++) {
            ran_unanswered += clients[i].ran[j] && clients[i].missed[j] ? 1 : 0;
        }
    }
    ck_assert_int_gt(sent, CLIENTS);
    ck_assert_msg(ran_unanswered == 0, "%d of %d requests that ended without an answer had run (%d sent)",
                  ran_unanswered, unanswered, sent);
}
END_TEST

int main(int argc, char **argv)
{
    site_build = argc > 1 ? argv[1] : "build";
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
    TCase *whole = tcase_create("one site");
    tcase_set_timeout(whole, 120);
    tcase_add_unchecked_fixture(whole, site_start, site_stop);
    tcase_add_test(whole, what_a_server_ran_is_answered_over_stops_and_changes);
    suite_add_tcase(suite, whole);
    return suite_run_in_process(suite);
}
