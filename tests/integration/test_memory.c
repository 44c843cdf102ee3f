/* Daemons under a limit of memory, with conversations and requests of several times that limit. */
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
    LIMIT_MB = 48,            /* what a replica may hold */
    TURN_BYTES = 60 * 1024,   /* what a caller brings; the route takes 64 KiB */
    TURNS = 2400,             /* three times the limit: 140 MB */
    TURNS_BETWEEN_KILLS = 60, /* in the run with kills */
    IN_A_ROW = 2000,          /* one after the other: each 100 of them are a gateway's share of requests */
    CALLERS = 400             /* at once, with a body each: twice the share of a gateway's requests */
};

static char text[TURN_BYTES + 1];

/* A text that is another one for each turn. */
static const char *turn_text(int number)
{
    int length = snprintf(text, sizeof(text), "turn %d ", number);
    memset(text + length, 'a' + number % 26, sizeof(text) - 1 - (size_t)length);
    text[sizeof(text) - 1] = '\0';
    return text;
}

static int turn_run(int gateway, int number, const char *parent, const char *body)
{
    char id[32];
    char lines[256];
    struct site_answer answer;
    snprintf(id, sizeof(id), "turn-%d", number);
    int length = snprintf(lines, sizeof(lines),
                          "Bankbank-Program-Id: p-%d\r\nBankbank-Token-Budget: 100000\r\n"
                          "Bankbank-Token-Usage: 10,15\r\n",
                          number);
    if (parent != NULL) {
        snprintf(lines + length, sizeof(lines) - (size_t)length, "Bankbank-Parent-Turn: %s\r\n", parent);
    }
    site_call_as(gateway, id, "POST", "/chat/x", lines, body, &answer);
    int status = answer.status;
    site_answer_close(&answer);
    return status;
}

static void check_alive(int state)
{
    int status = 0;
    ck_assert_msg(waitpid(site_process(state), &status, WNOHANG) == 0, "replica %d ended by itself: status %x", state,
                  (unsigned)status);
}

static void fill(int first, int count)
{
    for (int i = first; i < first + count; i++) {
        int status = turn_run(0, i, NULL, turn_text(i));
        for (int state = 0; state < SITE_STATES; state++) {
            check_alive(state);
        }
        ck_assert_msg(status == 200, "turn %d: status %d", i, status);
    }
}

/* A program that goes on from a turn: its server gets what was said, then what is new. */
struct continuation {
    int from;
    int number;
};

static bool turn_goes_on(void *context)
{
    struct continuation *wish = context;
    char parent[32];
    snprintf(parent, sizeof(parent), "turn-%d", wish->from);
    wish->number++;
    return turn_run(1, wish->number, parent, "next") == 200;
}

static void check_stored(int number)
{
    static int fresh = 1000000;
    struct continuation wish = {.from = number, .number = fresh};
    site_wait(turn_goes_on, &wish, "a stored turn is gone on from");
    fresh = wish.number;
    char *body = site_last_body();
    ck_assert_msg(strncmp(body, turn_text(number), TURN_BYTES) == 0, "turn %d has another text", number);
    ck_assert_str_eq(body + strlen(body) - 4, "next");
    free(body);
}

static bool all_have_caught_up(void *context)
{
    (void)context;
    double turns = site_metric(0, "turns_stored");
    for (int state = 0; state < SITE_STATES; state++) {
        check_alive(state);
        if (site_metric(state, "raft_members") != SITE_STATES || site_metric(state, "turns_stored") != turns) {
            return false;
        }
    }
    return turns > 0;
}

START_TEST(state_of_several_times_the_memory_is_taken)
{
    fill(0, TURNS);
    check_stored(0);
    check_stored(TURNS - 1);
}
END_TEST

START_TEST(replicas_come_up_from_what_they_wrote)
{
    for (int state = 0; state < SITE_STATES; state++) {
        site_end_daemon(state, SIGKILL);
    }
    for (int state = 0; state < SITE_STATES; state++) {
        site_start_daemon(state);
    }
    site_wait(all_have_caught_up, NULL, "all replicas are back");
    check_stored(1);
    check_stored(TURNS / 2);
    check_stored(TURNS - 2);
}
END_TEST

START_TEST(a_replica_without_a_disk_catches_up)
{
    site_end_daemon(1, SIGKILL);
    site_lose_disk(1);
    site_start_daemon(1);
    site_wait(all_have_caught_up, NULL, "the empty replica has caught up");
    check_stored(2);
}
END_TEST

START_TEST(kills_at_any_step_lose_nothing)
{
    int first = TURNS;
    for (int round = 0; round < 12; round++) {
        int state = round % SITE_STATES;
        fill(first, TURNS_BETWEEN_KILLS);
        first += TURNS_BETWEEN_KILLS;
        site_end_daemon(state, SIGKILL);
        site_start_daemon(state);
        site_wait(all_have_caught_up, NULL, "the killed replica is back");
        check_stored(first - 1);
    }
    check_stored(TURNS);
}
END_TEST

/* Sends a request and does not wait for its answer. */
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

static bool one_is_served(void *context)
{
    struct site_answer answer;
    (void)context;
    site_call(0, "POST", "/once/x", "", "x", &answer);
    int status = answer.status;
    site_answer_close(&answer);
    return status == 200;
}

/* Refused at once, and truly not run: the servers ran no more than were served or may have run. */
START_TEST(a_gateway_refuses_above_its_share)
{
    int files[CALLERS];
    int counts[600] = {0};
    site_set_mode(-1, SITE_SLOW);
    for (int i = 0; i < CALLERS; i++) {
        files[i] = send_request(i);
    }
    for (int i = 0; i < CALLERS; i++) {
        counts[site_read_status(files[i])]++;
    }
    ck_assert_int_gt(counts[503], 0);
    ck_assert_int_le(site_runs(-1), CALLERS - counts[503]);
    ck_assert(site_metric(SITE_STATES, "memory_refusals_total") > 0);
    ck_assert(waitpid(site_process(SITE_STATES), NULL, WNOHANG) == 0);
    site_set_mode(-1, SITE_NORMAL);
    site_wait(one_is_served, NULL, "the gateway serves again");
}
END_TEST

/* One at a time, on one connection; returns how many were refused. */
static int ask_in_a_row(int count)
{
    struct buffer request = {0};
    int refused = 0;
    int file = site_connect(site_caller_ip(0), site_caller_port);
    buffer_printf(&request,
                  "POST /nowhere/x HTTP/1.1\r\nHost: app.example\r\nBankbank-Request-Id: row\r\n"
                  "Content-Length: %d\r\n\r\n%s",
                  TURN_BYTES, turn_text(0));
    for (int i = 0; i < count; i++) {
        struct http_reader reader;
        struct buffer body = {0};
        site_send(file, buffer_text(&request), request.length);
        ck_assert(site_read(file, &reader, HTTP_RESPONSE, &body));
        refused += reader.status == 404 ? 0 : 1;
        http_reader_close(&reader);
        buffer_close(&body);
    }
    buffer_close(&request);
    close(file);
    return refused;
}

/* Moments after its start a gateway is not sure, and refuses what it knows no route for. */
static bool no_route_is_denied(void *context)
{
    (void)context;
    return ask_in_a_row(1) == 0;
}

/*
 * Seen: one caller, who sends a turn when the one before is answered, was refused with "memory full". The gateway adds
 * up what requests hold each 50 ms, and until then counted all that had begun, those that had ended as well: held_bytes
 * 12,643,920 of 12,582,900 in `memory_full`, with one request under way, and 0 in `memory_regained` 21 ms later.
 */
START_TEST(requests_that_have_ended_hold_nothing)
{
    site_wait(no_route_is_denied, NULL, "the gateway is sure of its configuration");
    ck_assert_int_eq(ask_in_a_row(IN_A_ROW), 0);
    ck_assert(!site_log_has(SITE_STATES, "\"memory_full\""));
}
END_TEST

static void start_limited(void)
{
    site_limit_memory(LIMIT_MB);
    site_start();
}

int main(int argc, char **argv)
{
    site_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("memory");
    TCase *tests = tcase_create("replicas");
    tcase_set_timeout(tests, 180);
    tcase_add_unchecked_fixture(tests, start_limited, site_stop);
    tcase_add_test(tests, state_of_several_times_the_memory_is_taken);
    tcase_add_test(tests, replicas_come_up_from_what_they_wrote);
    tcase_add_test(tests, a_replica_without_a_disk_catches_up);
    tcase_add_test(tests, kills_at_any_step_lose_nothing);
    suite_add_tcase(suite, tests);
    TCase *gateway = tcase_create("a gateway");
    tcase_set_timeout(gateway, 60);
    tcase_add_unchecked_fixture(gateway, start_limited, site_stop);
    tcase_add_test(gateway, requests_that_have_ended_hold_nothing);
    tcase_add_test(gateway, a_gateway_refuses_above_its_share);
    suite_add_tcase(suite, gateway);
    return suite_run_in_process(suite);
}
