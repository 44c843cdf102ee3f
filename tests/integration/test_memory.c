/* Daemons with a memory limit that get conversations and requests of several times that size. */
#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../unit/suite.h"
#include "site.h"
#include "site_internal.h"

enum {
    MEMORY_LIMIT_MB = 48,   /* of each daemon */
    TURN_BYTES = 60 * 1024, /* of a request body; the route's limit is 64 KiB */
    TURNS = 2400,           /* 140 MB in total, three times the limit */
    TURNS_BETWEEN_KILLS = 60,
    SEQUENTIAL_REQUESTS = 2000, /* about 100 in flight would fill a gateway's memory for requests */
    ROUNDS = 3,
    CALLERS = 400 /* concurrent; their bodies alone are twice a gateway's memory for requests */
};

static char text[TURN_BYTES + 1];

/* Returns a text that differs for each turn; valid until the next call. */
static const char *turn_text(int number)
{
    int length = snprintf(text, sizeof(text), "turn %d ", number);
    memset(text + length, 'a' + number % 26, sizeof(text) - 1 - (size_t)length);
    text[sizeof(text) - 1] = '\0';
    return text;
}

static int run_turn(int gateway, int number, const char *parent, const char *body)
{
    char id[32];
    char lines[256];
    struct site_response response;
    snprintf(id, sizeof(id), "turn-%d", number);
    int length = snprintf(lines, sizeof(lines),
                          "Bankbank-Program-Id: p-%d\r\nBankbank-Token-Budget: 100000\r\n"
                          "Bankbank-Token-Usage: 10,15\r\n",
                          number);
    if (parent != NULL) {
        snprintf(lines + length, sizeof(lines) - (size_t)length, "Bankbank-Parent-Turn: %s\r\n", parent);
    }
    site_call_as(gateway, id, "POST", "/chat/x", lines, body, &response);
    int status = response.status;
    site_response_close(&response);
    return status;
}

static void expect_running(int replica)
{
    int status = 0;
    ck_assert_msg(waitpid(site_process(replica), &status, WNOHANG) == 0,
                  "replica %d exited unexpectedly: wait status %x", replica, (unsigned)status);
}

static void run_large_turns(int first, int count)
{
    for (int i = first; i < first + count; i++) {
        int status = run_turn(0, i, NULL, turn_text(i));
        for (int replica = 0; replica < SITE_REPLICAS; replica++) {
            expect_running(replica);
        }
        ck_assert_msg(status == 200, "turn %d: status %d", i, status);
    }
}

/* Continuation of a turn: the server gets the text of the parent turn, followed by the new text. */
struct continuation {
    int parent;
    int number; /* of the last attempt */
};

static bool turn_is_continued(void *context)
{
    struct continuation *next_turn = context;
    char parent[32];
    snprintf(parent, sizeof(parent), "turn-%d", next_turn->parent);
    next_turn->number++;
    return run_turn(1, next_turn->number, parent, "next") == 200;
}

static void expect_stored(int number)
{
    static int next_number = 1000000;
    struct continuation next_turn = {.parent = number, .number = next_number};
    site_wait(turn_is_continued, &next_turn, "a stored turn is continued");
    next_number = next_turn.number;
    char *body = site_last_body();
    ck_assert_msg(strncmp(body, turn_text(number), TURN_BYTES) == 0, "the stored text of turn %d differs", number);
    ck_assert_str_eq(body + strlen(body) - 4, "next");
    free(body);
}

static bool all_have_caught_up(void *context)
{
    (void)context;
    double turns = site_metric(0, "turns_stored");
    for (int replica = 0; replica < SITE_REPLICAS; replica++) {
        expect_running(replica);
        if (site_metric(replica, "raft_members") != SITE_REPLICAS || site_metric(replica, "turns_stored") != turns) {
            return false;
        }
    }
    return turns > 0;
}

START_TEST(state_larger_than_memory_is_stored)
{
    run_large_turns(0, TURNS);
    expect_stored(0);
    expect_stored(TURNS - 1);
}
END_TEST

START_TEST(replicas_restart_from_disk)
{
    for (int replica = 0; replica < SITE_REPLICAS; replica++) {
        site_kill_daemon(replica, SIGKILL);
    }
    for (int replica = 0; replica < SITE_REPLICAS; replica++) {
        site_start_daemon(replica);
    }
    site_wait(all_have_caught_up, NULL, "all replicas have caught up");
    expect_stored(1);
    expect_stored(TURNS / 2);
    expect_stored(TURNS - 2);
}
END_TEST

START_TEST(a_replica_without_data_catches_up)
{
    site_kill_daemon(1, SIGKILL);
    site_remove_data(1);
    site_start_daemon(1);
    site_wait(all_have_caught_up, NULL, "the empty replica has caught up");
    expect_stored(2);
}
END_TEST

START_TEST(repeated_kills_lose_nothing)
{
    int first = TURNS;
    for (int round = 0; round < 12; round++) {
        int replica = round % SITE_REPLICAS;
        run_large_turns(first, TURNS_BETWEEN_KILLS);
        first += TURNS_BETWEEN_KILLS;
        site_kill_daemon(replica, SIGKILL);
        site_start_daemon(replica);
        site_wait(all_have_caught_up, NULL, "the killed replica has caught up");
        expect_stored(first - 1);
    }
    expect_stored(TURNS);
}
END_TEST

/* Sends a request without waiting for the response; returns the socket. */
static int send_request(int number)
{
    struct buffer request = {0};
    buffer_printf(&request,
                  "POST /once/x HTTP/1.1\r\nHost: app.example\r\nBankbank-Request-Id: many-%d\r\n"
                  "Content-Length: %d\r\n\r\n%s",
                  number, TURN_BYTES, turn_text(number));
    int fd = site_connect(site_caller_ip(0), site_caller_port);
    size_t sent = 0;
    while (sent < request.length) {
        ssize_t step = send(fd, request.data + sent, request.length - sent, MSG_NOSIGNAL);
        if (step <= 0) {
            break; /* refused before its body was read */
        }
        sent += (size_t)step;
    }
    buffer_close(&request);
    return fd;
}

static bool request_is_served(void *context)
{
    struct site_response response;
    (void)context;
    site_call(0, "POST", "/once/x", "", "x", &response);
    int status = response.status;
    site_response_close(&response);
    return status == 200;
}

/* Requests refused with 503 must not have reached a server. */
START_TEST(a_gateway_refuses_above_its_memory_limit)
{
    int fds[CALLERS];
    int counts[600] = {0};
    site_set_mode(-1, SITE_SLOW);
    for (int i = 0; i < CALLERS; i++) {
        fds[i] = send_request(i);
    }
    for (int i = 0; i < CALLERS; i++) {
        counts[site_read_status(fds[i])]++;
    }
    ck_assert_int_gt(counts[503], 0);
    ck_assert_int_le(site_run_count(-1), CALLERS - counts[503]);
    ck_assert(site_metric(SITE_REPLICAS, "memory_refusals_total") > 0);
    ck_assert(waitpid(site_process(SITE_REPLICAS), NULL, WNOHANG) == 0);
    site_set_mode(-1, SITE_NORMAL);
    site_wait(request_is_served, NULL, "the gateway serves again");
}
END_TEST

/* Guards against memory that counts as full after the requests that filled it were answered: until the next review, a
 * caller was refused although there was room. */
START_TEST(a_request_is_served_once_memory_is_free)
{
    for (int round = 0; round < ROUNDS; round++) {
        int fds[CALLERS];
        int counts[600] = {0};
        site_set_mode(-1, SITE_SILENT);
        for (int i = 0; i < CALLERS; i++) {
            fds[i] = send_request(i);
        }
        site_set_mode(-1, SITE_NORMAL);
        for (int i = 0; i < SITE_SERVERS; i++) {
            site_close_connections(i); /* ends all of them at the same time */
        }
        for (int i = 0; i < CALLERS; i++) {
            counts[site_read_status(fds[i])]++;
        }
        ck_assert_int_gt(counts[503], 0);
        ck_assert(request_is_served(NULL));
    }
}
END_TEST

/* Sends requests one at a time on one connection; returns the number of responses other than 404. */
static int send_sequentially(int count)
{
    struct buffer request = {0};
    int refused = 0;
    int fd = site_connect(site_caller_ip(0), site_caller_port);
    buffer_printf(&request,
                  "POST /nowhere/x HTTP/1.1\r\nHost: app.example\r\nBankbank-Request-Id: row\r\n"
                  "Content-Length: %d\r\n\r\n%s",
                  TURN_BYTES, turn_text(0));
    for (int i = 0; i < count; i++) {
        struct http_reader reader;
        struct buffer body = {0};
        site_send(fd, buffer_text(&request), request.length);
        ck_assert(site_read(fd, &reader, HTTP_RESPONSE, &body));
        refused += reader.status == 404 ? 0 : 1;
        http_reader_close(&reader);
        buffer_close(&body);
    }
    buffer_close(&request);
    close(fd);
    return refused;
}

/* Until a started gateway has the current configuration, it does not respond with 404. */
static bool unknown_route_is_404(void *context)
{
    (void)context;
    return send_sequentially(1) == 0;
}

/* Guards against counting the memory of ended requests, which made gateways refuse sequential requests. */
START_TEST(ended_requests_use_no_memory)
{
    site_wait(unknown_route_is_404, NULL, "the gateway has the current configuration");
    ck_assert_int_eq(send_sequentially(SEQUENTIAL_REQUESTS), 0);
    ck_assert(!site_log_has(SITE_REPLICAS, "\"memory_full\""));
}
END_TEST

static void start_limited(void)
{
    site_limit_memory(MEMORY_LIMIT_MB);
    site_start();
}

int main(int argc, char **argv)
{
    site_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("memory");
    TCase *tests = tcase_create("replicas");
    tcase_set_timeout(tests, 180);
    tcase_add_unchecked_fixture(tests, start_limited, site_stop);
    tcase_add_test(tests, state_larger_than_memory_is_stored);
    tcase_add_test(tests, replicas_restart_from_disk);
    tcase_add_test(tests, a_replica_without_data_catches_up);
    tcase_add_test(tests, repeated_kills_lose_nothing);
    suite_add_tcase(suite, tests);
    TCase *gateway = tcase_create("a gateway");
    tcase_set_timeout(gateway, 60);
    tcase_add_unchecked_fixture(gateway, start_limited, site_stop);
    tcase_add_test(gateway, ended_requests_use_no_memory);
    tcase_add_test(gateway, a_gateway_refuses_above_its_memory_limit);
    tcase_add_test(gateway, a_request_is_served_once_memory_is_free);
    suite_add_tcase(suite, gateway);
    return suite_run_without_fork(suite);
}
