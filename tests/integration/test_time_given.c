/*
 * The time that a server is given is no more than its caller has left.
 *
 * Seen: a gateway that had stood still, or waited for its share of a core,
 * counted a caller's time from when it came to read the request, and gave a
 * server up to 2.4 s too much; what waited for a connection to a server was
 * sent with the time that was left when the wait began.
 *
 * What shows it: a gateway that is stopped by a signal, servers that take no
 * connection, and a pool without a free connection. Each bound follows from
 * what the test itself did before the request could be sent, so that a busy
 * machine can only be further from it.
 */
#include <check.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../unit/suite.h"
#include "base/clock.h"
#include "site.h"
#include "site_internal.h"

enum {
    GATEWAY = SITE_STATES, /* daemon of gateway 0 */
    LEFT_MS = 2900,        /* what most callers have; routes take 3,000 */
    SLACK_MS = 300,        /* too much that a server may be given */
    BODY_BYTES = 40 << 10, /* more than one reading */
    POOL = 48,             /* connections of a gateway to the two servers of a service */
    SLOW_MS = 1000,        /* how long a slow server works */
    PLAIN = 2,             /* first server of the service that /safe/ and /once/ go to */
    SHORT_MS = 600,        /* callers whose time is over meanwhile */
    RESTED_MS = 4500,      /* after which a gateway keeps no connection to a server */
    READ_MS = 100          /* in which a server reads what was sent to it */
};

/* A request on its way. */
typedef struct ask_t {
    int file;         /* connection */
    char id[32];      /* request id */
    uint64_t sent_ms; /* before its first byte was sent */
    int left_ms;      /* what its caller has */
} ask_t;

/* What became of it. */
typedef struct outcome_t {
    int status; /* answer, 0: none */
    long given; /* time that the server was given, -1: no server ran it */
} outcome_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static char watched[32]; /* id of the request that is watched */
static outcome_t seen;   /* what a server saw of it */
static char body[BODY_BYTES + 1];
static int files[3 * POOL]; /* connections that a test has opened */
static int file_count;

/* ---- What servers see -------------------------------------------------------------- */

static long time_given(void)
{
    static const char name[] = "Bankbank-Deadline-Ms: ";
    char *head = site_last_head();
    char *at = strstr(head, name);
    long given = at == NULL ? -1 : strtol(at + sizeof(name) - 1, NULL, 10);
    free(head);
    return given;
}

static void on_run(const site_run_t *run)
{
    pthread_mutex_lock(&lock);
    if (strcmp(run->id, watched) == 0) {
        seen.given = time_given();
    }
    pthread_mutex_unlock(&lock);
}

static outcome_t seen_now(void)
{
    pthread_mutex_lock(&lock);
    outcome_t now = seen;
    pthread_mutex_unlock(&lock);
    return now;
}

static bool gateway_is_idle(void *context)
{
    (void)context;
    return site_metric(GATEWAY, "requests_active") == 0;
}

/* What a test before has left is over. */
static void setup(void)
{
    while (file_count > 0) {
        close(files[--file_count]);
    }
    site_wait(gateway_is_idle, NULL, "nothing is under way");
    site_set_mode(-1, SITE_NORMAL);
    memset(body, 'b', sizeof(body) - 1);
    pthread_mutex_lock(&lock);
    watched[0] = '\0';
    pthread_mutex_unlock(&lock);
}

/* ---- Callers ----------------------------------------------------------------------- */

static ask_t ask_on(int file, int left_ms)
{
    static int number;
    ask_t ask = {.file = file, .left_ms = left_ms};
    snprintf(ask.id, sizeof(ask.id), "given-%d", ++number);
    return ask;
}

static ask_t ask_new(int left_ms)
{
    ask_t ask = ask_on(site_connect(site_caller_ip(0), site_caller_port), left_ms);
    ck_assert_int_ge(ask.file, 0);
    files[file_count++] = ask.file;
    return ask;
}

/* From now on what a server sees of it is kept. */
static void ask_watch(const ask_t *ask)
{
    pthread_mutex_lock(&lock);
    snprintf(watched, sizeof(watched), "%s", ask->id);
    seen = (outcome_t){.given = -1};
    pthread_mutex_unlock(&lock);
}

static void ask_send_head(ask_t *ask, const char *method, const char *path, size_t length)
{
    struct buffer head = {0};
    buffer_printf(&head,
                  "%s %s HTTP/1.1\r\nHost: app.example\r\nBankbank-Request-Id: %s\r\nBankbank-Deadline-Ms: %d\r\n",
                  method, path, ask->id, ask->left_ms);
    if (length > 0) {
        buffer_printf(&head, "Content-Length: %zu\r\n", length);
    }
    buffer_append_text(&head, "\r\n");
    ask->sent_ms = clock_monotonic_ms();
    site_send(ask->file, buffer_text(&head), head.length);
    buffer_close(&head);
}

static void ask_send(ask_t *ask, const char *path)
{
    ask_send_head(ask, "GET", path, 0);
}

static void ask_send_body(ask_t *ask)
{
    ask_send_head(ask, "POST", "/once/x", BODY_BYTES);
    site_send(ask->file, body, BODY_BYTES);
}

/* Reads the answer; the connection stays open. */
static outcome_t ask_answer(const ask_t *ask)
{
    struct http_reader reader;
    struct buffer answer = {0};
    bool whole = site_read(ask->file, &reader, HTTP_RESPONSE, &answer);
    outcome_t outcome = seen_now();
    outcome.status = whole ? reader.status : 0;
    http_reader_close(&reader);
    buffer_close(&answer);
    return outcome;
}

/* ---- Bounds ------------------------------------------------------------------------ */

/* A server was given no more than was left after `passed_ms`; a request that no server ran is answered so. */
static void expect_no_more(const ask_t *ask, const outcome_t *outcome, uint64_t passed_ms, const char *what)
{
    long remains = ask->left_ms - (long)passed_ms;
    printf("%s: %llu ms of %d passed, given %ld, answered %d\n", what, (unsigned long long)passed_ms, ask->left_ms,
           outcome->given, outcome->status);
    fflush(stdout);
    ck_assert_msg(outcome->given <= (remains > 0 ? remains : 0) + SLACK_MS, "%s: given %ld ms where %ld remain", what,
                  outcome->given, remains);
    if (outcome->given < 0) {
        ck_assert_msg(outcome->status == 503, "%s: answered %d though no server ran it", what, outcome->status);
    }
}

static void stand_still(int pause_ms)
{
    clock_sleep_us((uint64_t)pause_ms * 1000);
}

/* Sends while the gateway stands still, which goes on after `pause_ms`; returns how long the request lay there. */
static uint64_t send_to_stopped(ask_t *ask, int pause_ms, void (*send)(ask_t *ask))
{
    ask_watch(ask);
    kill(site_process(GATEWAY), SIGSTOP);
    send(ask);
    uint64_t whole_ms = clock_monotonic_ms();
    stand_still(pause_ms);
    uint64_t lay_ms = clock_monotonic_ms() - whole_ms;
    kill(site_process(GATEWAY), SIGCONT);
    return lay_ms;
}

static void send_safe(ask_t *ask)
{
    ask_send(ask, "/safe/x");
}

static void send_turn(ask_t *ask)
{
    ask_send(ask, "/chat/x");
}

/* ---- A gateway that stood still ---------------------------------------------------- */

static const int pauses[] = {600, 1200, 1800, 2400};

static void expect_after_pauses(const char *what, bool kept, void (*send)(ask_t *ask))
{
    int served = 0;
    for (size_t i = 0; i < sizeof(pauses) / sizeof(pauses[0]); i++) {
        ask_t ask = ask_new(LEFT_MS);
        if (kept) {
            ask_send(&ask, "/safe/x");
            ck_assert_int_eq(ask_answer(&ask).status, 200);
            ask = ask_on(ask.file, LEFT_MS);
        }
        uint64_t lay_ms = send_to_stopped(&ask, pauses[i], send);
        outcome_t outcome = ask_answer(&ask);
        expect_no_more(&ask, &outcome, lay_ms, what);
        served += outcome.status == 200 ? 1 : 0;
    }
    ck_assert_msg(served > 0, "%s: nothing was served", what);
}

START_TEST(a_new_connection)
{
    expect_after_pauses("a new connection", false, send_safe);
}
END_TEST

START_TEST(a_kept_connection)
{
    expect_after_pauses("a kept connection", true, send_safe);
}
END_TEST

START_TEST(a_body)
{
    expect_after_pauses("a body", false, ask_send_body);
}
END_TEST

START_TEST(a_body_on_a_kept_connection)
{
    expect_after_pauses("a body on a kept connection", true, ask_send_body);
}
END_TEST

START_TEST(a_stream)
{
    expect_after_pauses("a stream", true, send_turn);
}
END_TEST

/* A caller's time runs from the begin of its request, also where its body comes later. */
START_TEST(a_body_that_comes_late)
{
    ask_t ask = ask_new(LEFT_MS);
    ask_watch(&ask);
    ask_send_head(&ask, "POST", "/once/x", BODY_BYTES);
    stand_still(SHORT_MS);
    uint64_t passed_ms = clock_monotonic_ms() - ask.sent_ms;
    site_send(ask.file, body, BODY_BYTES);
    outcome_t outcome = ask_answer(&ask);
    expect_no_more(&ask, &outcome, passed_ms, "a body that comes late");
}
END_TEST

static void expect_refused_after_pause(const char *what, bool kept, void (*send)(ask_t *ask))
{
    ask_t ask = ask_new(SHORT_MS);
    if (kept) {
        ask_send(&ask, "/safe/x");
        ck_assert_int_eq(ask_answer(&ask).status, 200);
        ask = ask_on(ask.file, SHORT_MS);
    }
    send_to_stopped(&ask, 2 * SHORT_MS, send);
    outcome_t outcome = ask_answer(&ask);
    printf("%s: given %ld, answered %d\n", what, outcome.given, outcome.status);
    ck_assert_msg(outcome.status == 503, "%s: answered %d though its time is over", what, outcome.status);
    stand_still(SLACK_MS);
    ck_assert_msg(seen_now().given == -1, "%s: a server ran it", what);
}

START_TEST(what_has_no_time_left_is_not_run)
{
    expect_refused_after_pause("too late on a new connection", false, send_safe);
    expect_refused_after_pause("too late on a kept connection", true, send_safe);
    expect_refused_after_pause("too late with a body", false, ask_send_body);
    expect_refused_after_pause("too late for a stream", false, send_turn);
}
END_TEST

/* ---- Connections to servers --------------------------------------------------------- */

/* A gateway that keeps no connection has to open one. */
static void set_dark(bool dark)
{
    stand_still(dark ? RESTED_MS : 0);
    for (int server = PLAIN; server < SITE_SERVERS; server++) {
        site_set_dark(server, dark);
    }
}

START_TEST(servers_that_take_no_connection)
{
    set_dark(true);
    ask_t ask = ask_new(LEFT_MS);
    ask_watch(&ask);
    ask_send(&ask, "/once/x");
    stand_still(SHORT_MS);
    uint64_t passed_ms = clock_monotonic_ms() - ask.sent_ms;
    set_dark(false);
    outcome_t outcome = ask_answer(&ask);
    expect_no_more(&ask, &outcome, passed_ms, "servers that take no connection");
}
END_TEST

/* The dial goes on while the gateway stands still, and has come up when it goes on. */
START_TEST(a_dial_that_comes_up_while_the_gateway_stands_still)
{
    set_dark(true);
    ask_t ask = ask_new(LEFT_MS);
    ask_watch(&ask);
    ask_send(&ask, "/once/x");
    stand_still(100);
    kill(site_process(GATEWAY), SIGSTOP);
    set_dark(false);
    stand_still(1500);
    uint64_t passed_ms = clock_monotonic_ms() - ask.sent_ms;
    kill(site_process(GATEWAY), SIGCONT);
    outcome_t outcome = ask_answer(&ask);
    expect_no_more(&ask, &outcome, passed_ms, "a dial that comes up late");
}
END_TEST

static bool pool_is_taken(void *context)
{
    (void)context;
    return site_metric(GATEWAY, "requests_active") == POOL + 1;
}

/* A gateway that knows servers to answer late opens no further connections to see whether they can be reached. */
static void teach_slowness(void)
{
    ask_t asks[2 * SITE_SERVERS];
    size_t count = sizeof(asks) / sizeof(asks[0]);
    site_set_mode(-1, SITE_SLOW);
    for (size_t i = 0; i < count; i++) {
        asks[i] = ask_new(LEFT_MS);
        ask_send(&asks[i], "/once/x");
    }
    for (size_t i = 0; i < count; i++) {
        ck_assert_int_eq(ask_answer(&asks[i]).status, 200);
    }
}

/* Every connection to the service's servers is at work for SLOW_MS, and one request waits for them. */
static void fill_pool(ask_t *ask)
{
    teach_slowness();
    stand_still(RESTED_MS);
    site_set_mode(-1, SITE_SLOW);
    for (int i = 0; i < POOL; i++) {
        ask_t one = ask_new(LEFT_MS);
        ask_send(&one, "/once/x");
    }
    *ask = ask_new(LEFT_MS);
    ask_watch(ask);
    ask_send(ask, "/once/x");
    site_wait(pool_is_taken, NULL, "all are with the gateway");
}

/* Connections are free when the gateway goes on, and one that waits for them has no time left. */
START_TEST(a_pool_that_is_taken_before_the_gateway_stands_still)
{
    ask_t longer;
    fill_pool(&longer);
    ask_t shorter = ask_new(SLOW_MS);
    ask_send(&shorter, "/once/x");
    stand_still(READ_MS);
    kill(site_process(GATEWAY), SIGSTOP);
    stand_still(READ_MS);
    ck_assert_int_eq(site_runs(-1), POOL);
    stand_still(SLOW_MS + SLACK_MS);
    uint64_t passed_ms = clock_monotonic_ms() - longer.sent_ms;
    kill(site_process(GATEWAY), SIGCONT);
    outcome_t late = ask_answer(&shorter);
    outcome_t outcome = ask_answer(&longer);
    expect_no_more(&longer, &outcome, passed_ms, "a pool that is taken");
    printf("too late for a connection: answered %d, %d runs beside\n", late.status, site_runs(-1) - POOL);
    ck_assert_msg(late.status == 503, "answered %d though its time is over", late.status);
    ck_assert_int_eq(site_runs(-1), outcome.given < 0 ? POOL : POOL + 1);
}
END_TEST

int main(int argc, char **argv)
{
    site_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("time given");
    TCase *tests = tcase_create("one site");
    tcase_set_timeout(tests, 120);
    tcase_add_unchecked_fixture(tests, site_start, site_stop);
    tcase_add_checked_fixture(tests, setup, NULL);
    tcase_add_test(tests, a_new_connection);
    tcase_add_test(tests, a_kept_connection);
    tcase_add_test(tests, a_body);
    tcase_add_test(tests, a_body_on_a_kept_connection);
    tcase_add_test(tests, a_stream);
    tcase_add_test(tests, a_body_that_comes_late);
    tcase_add_test(tests, what_has_no_time_left_is_not_run);
    tcase_add_test(tests, servers_that_take_no_connection);
    tcase_add_test(tests, a_dial_that_comes_up_while_the_gateway_stands_still);
    tcase_add_test(tests, a_pool_that_is_taken_before_the_gateway_stands_still);
    suite_add_tcase(suite, tests);
    site_echo(on_run);
    return suite_run_in_process(suite);
}
