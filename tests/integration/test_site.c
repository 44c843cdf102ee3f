/* Site daemons as real processes before a stand-in of the platform, with its failures. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../unit/suite.h"
#include "base/clock.h"
#include "framing_cases.h"
#include "site.h"

enum { FLOOD = 3000, MUTATIONS = 300, RESETS = 4, SHED_PAUSE_US = 50000 };

/* The stand-in lives in this process, so that no test may run in one of its own. */
static void setup(void)
{
    site_set_mode(-1, SITE_NORMAL);
    clock_sleep_us(SHED_PAUSE_US);
}

static bool head_has(struct site_answer *answer, const char *text)
{
    return strstr(buffer_text(&answer->head), text) != NULL;
}

/* One call, its status, and how many runs it caused. */
static int status_of(const char *method, const char *path)
{
    struct site_answer answer;
    site_call(0, method, path, "Bankbank-Deadline-Ms: 2500\r\n", NULL, &answer);
    int status = answer.status;
    site_answer_close(&answer);
    return status;
}

START_TEST(answers_come_unchanged)
{
    struct site_answer answer;
    site_call(1, "POST", "/once/x?y=1", "Bankbank-Deadline-Ms: 2000\r\n", "what", &answer);
    ck_assert_int_eq(answer.status, 200);
    ck_assert(answer.whole);
    ck_assert_str_eq(buffer_text(&answer.body), "hello");
    ck_assert(head_has(&answer, "Bankbank-Server-Signature: signed"));
    site_answer_close(&answer);
    char *body = site_last_body();
    ck_assert_str_eq(body, "what");
    free(body);
    ck_assert_int_eq(site_runs(-1), 1);
    ck_assert_int_eq(status_of("GET", "/nowhere/"), 404);
}
END_TEST

/* Lines that only the system may say to a server, and one that is the caller's. */
static const char SYSTEM_LINES[] = "Bankbank-Pin-Ms: 4000\r\nbankbank-hold: h1\r\nBankbank-Kv-Backup: 10.0.0.1:80\r\n"
                                   "Kv-From: 10.0.0.1:80/r\r\nBankbank-Tenant: forged\r\nX-Mine: 7\r\n";

static void check_last_head(void)
{
    char *head = site_last_head();
    ck_assert_ptr_ne(strcasestr(head, "x-mine: 7"), NULL);
    ck_assert_ptr_eq(strcasestr(head, "pin-ms"), NULL);
    ck_assert_ptr_eq(strcasestr(head, "hold"), NULL);
    ck_assert_ptr_eq(strcasestr(head, "kv-"), NULL);
    ck_assert_ptr_eq(strcasestr(head, "forged"), NULL);
    free(head);
}

/* A call, a call that is tried again elsewhere, and a turn. */
START_TEST(headers_of_the_system_are_not_the_callers)
{
    struct site_answer answer;
    for (int i = 0; i < 3; i++) {
        site_set_mode(2, i == 1 ? SITE_REFUSE : i == 2 ? SITE_CUT : SITE_NORMAL);
        for (int k = 0; k < 3; k++) {
            site_call(0, "GET", "/safe/x", SYSTEM_LINES, NULL, &answer);
            ck_assert_int_eq(answer.status, 200);
            site_answer_close(&answer);
            check_last_head();
        }
    }
    site_call(0, "POST", "/chat/x", SYSTEM_LINES, "in", &answer);
    ck_assert_int_eq(answer.status, 200);
    site_answer_close(&answer);
    check_last_head();
}
END_TEST

START_TEST(a_refusal_goes_to_another_server)
{
    site_set_mode(2, SITE_REFUSE);
    for (int i = 0; i < 4; i++) {
        ck_assert_int_eq(status_of("POST", "/once/x"), 200);
    }
    ck_assert_int_eq(site_runs(3), 4);
    site_set_mode(3, SITE_REFUSE);
    struct site_answer answer;
    site_call(0, "POST", "/once/x", "", "b", &answer);
    ck_assert_int_eq(answer.status, 503);
    ck_assert(head_has(&answer, "Retry-After: "));
    ck_assert(head_has(&answer, "X-Run-State: not-run"));
    ck_assert(!head_has(&answer, "Signature"));
    site_answer_close(&answer);
    ck_assert_int_eq(site_runs(-1), 0);
}
END_TEST

/* What may have run is not run again, and is not promised not to have run. */
static const enum site_mode broken_modes[] = {SITE_CUT, SITE_CUT_MIDWAY, SITE_CROSSED, SITE_UNSIGNED, SITE_ENCODED};

START_TEST(what_may_have_run_is_not_repeated)
{
    site_set_mode(-1, broken_modes[_i]);
    ck_assert_int_eq(status_of("POST", "/once/x"), 502);
    clock_sleep_us(SHED_PAUSE_US);
    ck_assert_int_eq(site_runs(-1), 1);
}
END_TEST

START_TEST(what_may_run_again_does)
{
    site_set_mode(2, broken_modes[_i]);
    for (int i = 0; i < 3; i++) {
        ck_assert_int_eq(status_of("GET", "/safe/x"), 200);
    }
}
END_TEST

START_TEST(bytes_behind_an_answer_reach_nobody)
{
    site_set_mode(-1, SITE_EXTRA);
    for (int i = 0; i < 6; i++) {
        struct site_answer answer;
        site_call(0, "POST", "/once/x", "", "b", &answer);
        ck_assert_int_eq(answer.status, 200);
        ck_assert_str_eq(buffer_text(&answer.body), "hello");
        site_answer_close(&answer);
    }
}
END_TEST

START_TEST(an_answer_that_is_reset_is_not_whole)
{
    site_set_mode(-1, SITE_RESET);
    for (int i = 0; i < RESETS; i++) {
        ck_assert_int_eq(status_of("POST", "/once/x"), 502);
    }
    site_set_mode(-1, SITE_UNFRAMED);
    ck_assert_int_eq(status_of("POST", "/once/x"), 200);
}
END_TEST

START_TEST(a_silent_server_costs_a_safe_call_little)
{
    site_set_mode(2, SITE_SILENT);
    for (int i = 0; i < 4; i++) {
        ck_assert_int_eq(status_of("GET", "/safe/x"), 200);
    }
}
END_TEST

START_TEST(an_answer_out_of_time_is_504)
{
    site_set_mode(-1, SITE_SILENT);
    struct site_answer answer;
    site_call(0, "POST", "/once/x", "Bankbank-Deadline-Ms: 300\r\n", "b", &answer);
    ck_assert_int_eq(answer.status, 504);
    ck_assert(head_has(&answer, "X-Run-State: unknown"));
    site_answer_close(&answer);
}
END_TEST

static bool a_server_was_cancelled(void *context)
{
    (void)context;
    return site_cancelled() > 0;
}

static bool a_server_runs(void *context)
{
    (void)context;
    return site_runs(-1) > 0;
}

START_TEST(a_caller_that_leaves_frees_its_server)
{
    static const char request[] = "POST /chat/x HTTP/1.1\r\nHost: app.example\r\nBankbank-Request-Id: gone-1\r\n"
                                  "Content-Length: 1\r\n\r\nx";
    site_set_mode(-1, SITE_SILENT);
    int file = site_connect(site_caller_ip(0), site_caller_port);
    ck_assert_int_eq(send(file, request, sizeof(request) - 1, 0), sizeof(request) - 1);
    site_wait(a_server_runs, NULL, "the request reaches a server");
    close(file);
    site_wait(a_server_was_cancelled, NULL, "the server sees the end");
}
END_TEST

START_TEST(ambiguous_framing_is_refused_by_this_front_too)
{
    const struct framing_case *item = &framing_cases[_i];
    struct buffer request = {0};
    char reply[4096];
    size_t got = 0;
    buffer_printf(&request, "POST /once/x HTTP/1.1\r\nBankbank-Request-Id: f-%d\r\n%s\r\n%s", _i, item->lines,
                  item->body);
    buffer_append_text(&request, "GET /safe/x HTTP/1.1\r\nHost: app.example\r\nBankbank-Request-Id: s\r\n\r\n");
    int file = site_connect(site_caller_ip(0), site_caller_port);
    ck_assert_int_gt(send(file, request.data, request.length, MSG_NOSIGNAL), 0);
    for (ssize_t part = 1; part > 0 && got < sizeof(reply) - 1;) {
        part = recv(file, reply + got, sizeof(reply) - 1 - got, 0);
        got += part > 0 ? (size_t)part : 0;
    }
    reply[got] = '\0';
    close(file);
    buffer_close(&request);
    ck_assert_msg(strncmp(reply, "HTTP/1.1 400", 12) == 0, "%s: %s", item->name, reply);
    ck_assert_ptr_null(strstr(reply + 12, "HTTP/1.1 "));
    ck_assert_int_eq(site_runs(-1), 0);
}
END_TEST

/* Valid requests with some bytes changed or cut, from a fixed seed: no daemon ends, none is held up. */
START_TEST(mutated_requests_are_survived)
{
    static const char valid[] = "POST /once/x HTTP/1.1\r\nHost: app.example\r\nBankbank-Request-Id: m\r\n"
                                "Bankbank-Deadline-Ms: 500\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody";
    uint32_t state = 2026;
    pid_t before = site_process(SITE_STATES);
    for (int round = 0; round < MUTATIONS; round++) {
        char bytes[sizeof(valid)];
        char reply[512];
        memcpy(bytes, valid, sizeof(valid));
        for (int change = 0; change < 4; change++) {
            state = state * 1664525U + 1013904223U;
            bytes[(state >> 8) % (sizeof(valid) - 1)] = "\r\n:[]{}\" ,0+\t\x80z"[state >> 28];
        }
        int file = site_connect(site_caller_ip(0), site_caller_port);
        ck_assert_int_gt(send(file, bytes, sizeof(valid) - 1 - (state >> 16) % 40, MSG_NOSIGNAL), 0);
        shutdown(file, SHUT_WR);
        while (recv(file, reply, sizeof(reply), 0) > 0) {
        }
        close(file);
    }
    ck_assert_int_eq(site_process(SITE_STATES), before);
    ck_assert_int_eq(status_of("GET", "/safe/x"), 200);
}
END_TEST

/* ---- Turns ----------------------------------------------------------------------------- */

static int turn(int gateway, const char *id, const char *parent, const char *program, int budget, const char *body)
{
    char lines[256];
    struct site_answer answer;
    snprintf(lines, sizeof(lines),
             "Bankbank-Program-Id: %s\r\nBankbank-Token-Budget: %d\r\nBankbank-Token-Usage: 10,15\r\n%s%s%s", program,
             budget, parent[0] == '\0' ? "" : "Bankbank-Parent-Turn: ", parent, parent[0] == '\0' ? "" : "\r\n");
    site_call_as(gateway, id, "POST", "/chat/x", lines, body, &answer);
    int status = answer.whole ? answer.status : -answer.status;
    site_answer_close(&answer);
    return status;
}

static void expect_body(const char *expected)
{
    char *body = site_last_body();
    ck_assert_str_eq(body, expected);
    free(body);
}

START_TEST(a_conversation_is_kept_over_gateways)
{
    ck_assert_int_eq(turn(0, "t1", "", "p1", 1000, "one;"), 200);
    expect_body("one;");
    ck_assert_int_eq(turn(1, "t2", "t1", "p1", 1000, "two;"), 200);
    expect_body("one;piece-1\npiece-2\npiece-3\ntwo;");
    ck_assert_int_eq(turn(0, "t3", "t1", "p1", 1000, "branch;"), 200);
    expect_body("one;piece-1\npiece-2\npiece-3\nbranch;");
    ck_assert_int_eq(turn(0, "t4", "no-such-turn", "p1", 1000, "x"), 404);
}
END_TEST

START_TEST(a_budget_holds_over_gateways)
{
    ck_assert_int_eq(turn(0, "b1", "", "p2", 40, "x"), 200);
    ck_assert_int_eq(turn(1, "b2", "", "p2", 40, "x"), 200);
    int before = site_runs(-1);
    ck_assert_int_eq(turn(0, "b3", "", "p2", 40, "x"), 402);
    ck_assert_int_eq(turn(1, "b4", "", "p2", 40, "x"), 402);
    ck_assert_int_eq(site_runs(-1), before);
}
END_TEST

START_TEST(a_stream_cut_midway_looks_cut_and_is_no_turn)
{
    site_set_mode(-1, SITE_CUT_MIDWAY);
    ck_assert_int_eq(turn(0, "c1", "", "p3", 1000, "x"), -200);
    site_set_mode(-1, SITE_NORMAL);
    ck_assert_int_eq(turn(0, "c2", "c1", "p3", 1000, "x"), 404);
}
END_TEST

/* ---- Configuration ------------------------------------------------------------------------ */

static int put(int state, char *configuration)
{
    int status = site_order(state, "POST", "/api/config/replace", configuration, NULL);
    free(configuration);
    return status;
}

static bool version_is_held(void *context)
{
    struct buffer reply = {0};
    char expected[32];
    int status = site_order(2, "GET", "/api/config/get", NULL, &reply);
    snprintf(expected, sizeof(expected), "{\"version\":%d,", *(int *)context);
    bool held = status == 200 && strstr(buffer_text(&reply), expected) != NULL;
    buffer_close(&reply);
    return held;
}

START_TEST(the_highest_configuration_holds)
{
    int version = 20;
    ck_assert_int_eq(put(1, site_configuration(20, "")), 200);
    ck_assert_int_eq(put(0, site_configuration(19, ",\"sticky\":true")), 200);
    ck_assert_int_eq(put(2, site_configuration(20, ",\"sticky\":true")), 200);
    ck_assert(version_is_held(&version));
    struct buffer reply = {0};
    site_order(0, "GET", "/api/config/get", NULL, &reply);
    char *sent = site_configuration(20, "");
    ck_assert_str_eq(buffer_text(&reply), sent);
    free(sent);
    buffer_close(&reply);
}
END_TEST

START_TEST(invalid_configurations_are_refused_with_all_faults)
{
    static const char *const invalid[] = {
        "{\"version\":99,\"routes\":[",
        "{\"version\":99,\"routes\":[{\"host\":\"a\",\"path-prefix\":\"/\",\"kind\":\"safe\",\"timeout-ms\":0,"
        "\"service\":\"none\"}],\"services\":[]}",
        "[]",
    };
    for (int i = 0; i < 3; i++) {
        struct buffer reply = {0};
        ck_assert_int_eq(site_order(i, "POST", "/api/config/replace", invalid[i], &reply), 400);
        if (i == 1) {
            ck_assert_ptr_nonnull(strstr(buffer_text(&reply), "unknown service"));
            ck_assert_ptr_nonnull(strstr(buffer_text(&reply), "timeout is 0"));
        }
        buffer_close(&reply);
    }
}
END_TEST

/* ---- Servers that leave --------------------------------------------------------------------- */

static bool one_server_gets_all(void *context)
{
    (void)context;
    site_set_mode(-1, SITE_NORMAL);
    for (int i = 0; i < 6; i++) {
        if (status_of("POST", "/once/x") != 200) {
            return false;
        }
    }
    return site_runs(2) == 0 && site_runs(3) == 6;
}

START_TEST(a_leaving_server_gets_nothing_new)
{
    site_set_draining(2, true);
    site_wait(one_server_gets_all, NULL, "the leaving server gets nothing");
}
END_TEST

/* While the other one refuses. */
static bool the_new_server_runs(void *context)
{
    (void)context;
    site_set_mode(-1, SITE_NORMAL);
    site_set_mode(3, SITE_REFUSE);
    return status_of("GET", "/safe/x") == 200 && site_runs(2) == 1;
}

static bool entries_are_left_out(void *context)
{
    for (int i = 0; i < SITE_STATES; i++) {
        if (site_metric(i, "machine_list_left_out") == *(int *)context) {
            return true;
        }
    }
    return false;
}

/* What stands on the list for good beside the servers, and a server that is replaced meanwhile. */
START_TEST(entries_of_another_writer_hide_no_server)
{
    int left_out = 5;
    int none = 0;
    site_list_also(",{\"id\":7},null,{\"id\":\"\xff\",\"service\":\"plain\"},"
                   "{\"id\":\"sleeper\",\"service\":\"plain\",\"address\":\"127.0.0.1:1\",\"zone\":\"z1\","
                   "\"version\":\"v1\",\"slots\":4,\"state\":\"sleeping\",\"cold-remaining-ms\":0},"
                   "{\"id\":\"cut off");
    site_wait(entries_are_left_out, &left_out, "five entries name no server");
    site_replace_server(2);
    site_wait(the_new_server_runs, NULL, "the new server is learnt");
    site_list_also("");
    site_wait(entries_are_left_out, &none, "no entry is left out");
}
END_TEST

/* ---- Faults of daemons -------------------------------------------------------------------------- */

static bool three_vote_again(void *context)
{
    for (int i = 0; i < SITE_STATES; i++) {
        if (site_metric(i, "raft_leading") == 1 && site_metric(i, "raft_members") == 3) {
            return site_metric(*(int *)context, "turns_stored") > 0;
        }
    }
    return false;
}

static bool turn_is_served(void *context)
{
    static int number;
    char id[32];
    snprintf(id, sizeof(id), "again-%d", number++);
    return turn(1, id, context, "p1", 100000, "more;") == 200;
}

START_TEST(a_lost_disk_comes_back_as_a_new_member)
{
    for (int state = 0; state < SITE_STATES; state++) {
        ck_assert_int_eq(turn(0, "kept", "", "p1", 100000, "kept;"), 200);
        site_end_daemon(state, SIGKILL);
        site_lose_disk(state);
        site_start_daemon(state);
        site_wait(three_vote_again, &state, "the new member has everything");
        site_wait(turn_is_served, (void *)"kept", "the turn is there");
    }
}
END_TEST

START_TEST(everything_killed_at_once_forgets_nothing)
{
    int version = 30;
    ck_assert_int_eq(turn(0, "before", "", "p1", 100000, "before;"), 200);
    ck_assert_int_eq(put(0, site_configuration(30, "")), 200);
    for (int i = 0; i < SITE_STATES; i++) {
        site_end_daemon(i, SIGKILL);
    }
    for (int i = 0; i < SITE_STATES; i++) {
        site_start_daemon(i);
    }
    site_wait(version_is_held, &version, "the configuration is held");
    site_wait(turn_is_served, (void *)"before", "the turn is there");
}
END_TEST

START_TEST(a_planned_stop_ends_what_is_under_way)
{
    static const char request[] = "POST /once/x HTTP/1.1\r\nHost: app.example\r\nBankbank-Request-Id: slow-1\r\n"
                                  "Content-Length: 1\r\n\r\nx";
    char reply[1024] = "";
    site_set_mode(-1, SITE_SLOW);
    int file = site_connect(site_caller_ip(1), site_caller_port);
    ck_assert_int_eq(send(file, request, sizeof(request) - 1, 0), sizeof(request) - 1);
    site_wait(a_server_runs, NULL, "the request reaches a server");
    int status = site_end_daemon(SITE_STATES + 1, SIGTERM);
    ck_assert(WIFEXITED(status) && WEXITSTATUS(status) == 0);
    ck_assert_int_gt(recv(file, reply, sizeof(reply) - 1, 0), 0);
    ck_assert_ptr_nonnull(strstr(reply, "HTTP/1.1 200"));
    ck_assert_ptr_nonnull(strstr(reply, "Connection: close"));
    close(file);
    site_set_mode(-1, SITE_NORMAL);
    site_start_daemon(SITE_STATES + 1);
    site_wait(turn_is_served, (void *)"", "the gateway serves again");
}
END_TEST

static bool safe_call_is_served(void *context)
{
    (void)context;
    return status_of("GET", "/safe/x") == 200;
}

static bool a_stream_is_held_back(void *context)
{
    (void)context;
    return site_metric(SITE_STATES, "pauses_total") > 0;
}

/* Reads until the connection closes; returns how many events came. */
static int count_events(int file)
{
    struct buffer answer = {0};
    ssize_t got = 0;
    do {
        got = recv(file, buffer_reserve(&answer, FLOOD), FLOOD, 0);
        answer.length += got > 0 ? (size_t)got : 0;
    } while (got > 0);
    int events = 0;
    for (const char *at = strstr(buffer_text(&answer), "data: piece-"); at != NULL;
         at = strstr(at + 1, "data: piece-")) {
        events++;
    }
    buffer_close(&answer);
    return events;
}

/* A caller that does not read holds its stream back; later it gets all of it. */
START_TEST(a_slow_reader_gets_its_whole_stream)
{
    static const char request[] = "POST /chat/x HTTP/1.1\r\nHost: app.example\r\nBankbank-Request-Id: slow-reader\r\n"
                                  "Bankbank-Deadline-Ms: 60000\r\nConnection: close\r\nContent-Length: 1\r\n\r\nb";
    site_set_mode(-1, SITE_LONG);
    int file = site_connect(site_caller_ip(0), site_caller_port);
    ck_assert_int_eq(send(file, request, sizeof(request) - 1, 0), (ssize_t)sizeof(request) - 1);
    site_wait(a_stream_is_held_back, NULL, "the stream is held back");
    ck_assert_int_eq(count_events(file), SITE_LONG_EVENTS);
    close(file);
}
END_TEST

static bool a_request_waits(void *context)
{
    (void)context;
    return site_metric(SITE_STATES, "requests_waiting") > 0;
}

static void signal_states(int number)
{
    for (int state = 0; state < SITE_STATES; state++) {
        kill(site_process(state), number);
    }
}

/* Starts a gateway that no state replica answers, and sends it a call on a connection of its own. */
static int call_a_fresh_gateway(const char *id)
{
    char request[256];
    signal_states(SIGSTOP);
    ck_assert_int_eq(site_end_daemon(SITE_STATES, SIGKILL), SIGKILL);
    site_start_daemon(SITE_STATES);
    int file = -1;
    while (file < 0) {
        file = site_connect(site_caller_ip(0), site_caller_port);
        clock_sleep_us(1000);
    }
    snprintf(request, sizeof(request),
             "GET /safe/x HTTP/1.1\r\nHost: app.example\r\nBankbank-Request-Id: %s\r\n"
             "Bankbank-Deadline-Ms: 3000\r\n\r\n",
             id);
    ck_assert_int_eq(send(file, request, strlen(request), 0), (ssize_t)strlen(request));
    return file;
}

/* A gateway that has just started keeps a call until it knows the site, for a while. */
START_TEST(a_call_waits_for_a_fresh_gateway)
{
    int file = call_a_fresh_gateway("waits");
    site_wait(a_request_waits, NULL, "the call waits");
    signal_states(SIGCONT);
    ck_assert_int_eq(site_read_status(file), 200);
    site_wait(turn_is_served, (void *)"", "turns are served again");
}
END_TEST

START_TEST(a_call_does_not_wait_for_ever)
{
    int file = call_a_fresh_gateway("refused");
    ck_assert_int_eq(site_read_status(file), 503);
    signal_states(SIGCONT);
    site_wait(turn_is_served, (void *)"", "turns are served again");
}
END_TEST

/* A gateway whose standard output nobody reads goes on serving. */
START_TEST(a_stopped_log_reader_blocks_nothing)
{
    char settings[512];
    char program[512];
    char link[64];
    int pipes[2];
    ssize_t length = 0;
    snprintf(link, sizeof(link), "/proc/%d/cmdline", (int)site_process(SITE_STATES));
    FILE *file = fopen(link, "r");
    char words[512] = "";
    length = (ssize_t)fread(words, 1, sizeof(words) - 1, file);
    fclose(file);
    ck_assert_int_gt(length, 0);
    snprintf(program, sizeof(program), "%s", words);
    snprintf(settings, sizeof(settings), "%s", words + strlen(words) + 1 + strlen("--config") + 1);
    site_end_daemon(SITE_STATES, SIGTERM);
    ck_assert_int_eq(pipe(pipes), 0);
    pid_t process = fork();
    if (process == 0) {
        dup2(pipes[1], STDOUT_FILENO);
        execl(program, program, "--config", settings, (char *)NULL);
        _exit(127);
    }
    for (int served = 0; served < FLOOD;) {
        int status = status_of("GET", "/safe/x");
        served += status == 200 ? 1 : 0;
        if (status != 200) {
            clock_sleep_us(10000);
        }
    }
    kill(process, SIGTERM);
    int status = 0;
    waitpid(process, &status, 0);
    ck_assert(WIFEXITED(status) && WEXITSTATUS(status) == 0);
    close(pipes[0]);
    close(pipes[1]);
    site_start_daemon(SITE_STATES);
    site_wait(safe_call_is_served, NULL, "the gateway serves again");
}
END_TEST

int main(int argc, char **argv)
{
    site_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("site");
    TCase *tests = tcase_create("one site");
    int broken = (int)(sizeof(broken_modes) / sizeof(broken_modes[0]));
    tcase_set_timeout(tests, 120);
    tcase_add_checked_fixture(tests, setup, NULL);
    tcase_add_unchecked_fixture(tests, site_start, site_stop);
    tcase_add_test(tests, answers_come_unchanged);
    tcase_add_test(tests, headers_of_the_system_are_not_the_callers);
    tcase_add_test(tests, a_refusal_goes_to_another_server);
    tcase_add_loop_test(tests, what_may_have_run_is_not_repeated, 0, broken);
    tcase_add_loop_test(tests, what_may_run_again_does, 0, broken);
    tcase_add_test(tests, bytes_behind_an_answer_reach_nobody);
    tcase_add_test(tests, an_answer_that_is_reset_is_not_whole);
    tcase_add_test(tests, a_silent_server_costs_a_safe_call_little);
    tcase_add_test(tests, an_answer_out_of_time_is_504);
    tcase_add_test(tests, a_caller_that_leaves_frees_its_server);
    tcase_add_loop_test(tests, ambiguous_framing_is_refused_by_this_front_too, 0, FRAMING_CASES);
    tcase_add_test(tests, mutated_requests_are_survived);
    tcase_add_test(tests, a_conversation_is_kept_over_gateways);
    tcase_add_test(tests, a_budget_holds_over_gateways);
    tcase_add_test(tests, a_stream_cut_midway_looks_cut_and_is_no_turn);
    tcase_add_test(tests, the_highest_configuration_holds);
    tcase_add_test(tests, invalid_configurations_are_refused_with_all_faults);
    tcase_add_test(tests, a_lost_disk_comes_back_as_a_new_member);
    tcase_add_test(tests, everything_killed_at_once_forgets_nothing);
    tcase_add_test(tests, a_planned_stop_ends_what_is_under_way);
    tcase_add_test(tests, a_leaving_server_gets_nothing_new);
    tcase_add_test(tests, entries_of_another_writer_hide_no_server);
    tcase_add_test(tests, a_slow_reader_gets_its_whole_stream);
    tcase_add_test(tests, a_call_waits_for_a_fresh_gateway);
    tcase_add_test(tests, a_call_does_not_wait_for_ever);
    tcase_add_test(tests, a_stopped_log_reader_blocks_nothing);
    suite_add_tcase(suite, tests);
    return suite_run_in_process(suite);
}
