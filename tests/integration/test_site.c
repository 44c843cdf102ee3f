/* Site daemons with failing servers, malformed requests and daemon failures. */
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

enum {
    REQUESTS_TO_FILL_PIPE = 3000,
    READ_BYTES = 3000,
    MUTATIONS = 300,
    RESETS = 4,
    AFTER_REFUSAL_US = 50000 /* longer than a server is skipped after a refusal */
};

static void reset_servers(void)
{
    site_set_mode(-1, SITE_NORMAL);
    clock_sleep_us(AFTER_REFUSAL_US);
}

static bool head_has(struct site_response *response, const char *text)
{
    return strstr(buffer_text(&response->head), text) != NULL;
}

static int send_request(const char *method, const char *path)
{
    struct site_response response;
    site_call(0, method, path, "Bankbank-Deadline-Ms: 2500\r\n", NULL, &response);
    int status = response.status;
    site_response_close(&response);
    return status;
}

START_TEST(responses_are_forwarded_unchanged)
{
    struct site_response response;
    site_call(1, "POST", "/once/x?y=1", "Bankbank-Deadline-Ms: 2000\r\n", "what", &response);
    ck_assert_int_eq(response.status, 200);
    ck_assert(response.complete);
    ck_assert_str_eq(buffer_text(&response.body), "hello");
    ck_assert(head_has(&response, "Bankbank-Server-Signature: signed"));
    site_response_close(&response);
    char *body = site_last_body();
    ck_assert_str_eq(body, "what");
    free(body);
    ck_assert_int_eq(site_run_count(-1), 1);
    ck_assert_int_eq(send_request("GET", "/nowhere/"), 404);
}
END_TEST

/* Headers that callers may not set, and X-Mine, which is forwarded. */
static const char SYSTEM_HEADER_LINES[] =
    "Bankbank-Pin-Ms: 4000\r\nbankbank-hold: h1\r\nBankbank-Kv-Backup: 10.0.0.1:80\r\n"
    "Kv-From: 10.0.0.1:80/r\r\nBankbank-Tenant: forged\r\nX-Mine: 7\r\n";

static void expect_no_system_headers(void)
{
    char *head = site_last_head();
    ck_assert_ptr_ne(strcasestr(head, "x-mine: 7"), NULL);
    ck_assert_ptr_eq(strcasestr(head, "pin-ms"), NULL);
    ck_assert_ptr_eq(strcasestr(head, "hold"), NULL);
    ck_assert_ptr_eq(strcasestr(head, "kv-"), NULL);
    ck_assert_ptr_eq(strcasestr(head, "forged"), NULL);
    free(head);
}

/* Covers plain requests, retried requests and a turn. */
START_TEST(callers_cannot_set_system_headers)
{
    struct site_response response;
    for (int i = 0; i < 3; i++) {
        site_set_mode(2, i == 1 ? SITE_REFUSE : i == 2 ? SITE_CUT : SITE_NORMAL);
        for (int k = 0; k < 3; k++) {
            site_call(0, "GET", "/safe/x", SYSTEM_HEADER_LINES, NULL, &response);
            ck_assert_int_eq(response.status, 200);
            site_response_close(&response);
            expect_no_system_headers();
        }
    }
    site_call(0, "POST", "/chat/x", SYSTEM_HEADER_LINES, "in", &response);
    ck_assert_int_eq(response.status, 200);
    site_response_close(&response);
    expect_no_system_headers();
}
END_TEST

START_TEST(a_refused_request_is_retried_on_another_server)
{
    site_set_mode(2, SITE_REFUSE);
    for (int i = 0; i < 4; i++) {
        ck_assert_int_eq(send_request("POST", "/once/x"), 200);
    }
    ck_assert_int_eq(site_run_count(3), 4);
    site_set_mode(3, SITE_REFUSE);
    struct site_response response;
    site_call(0, "POST", "/once/x", "", "b", &response);
    ck_assert_int_eq(response.status, 503);
    ck_assert(head_has(&response, "Retry-After: "));
    ck_assert(head_has(&response, "X-Run-State: not-run"));
    ck_assert(!head_has(&response, "Signature"));
    site_response_close(&response);
    ck_assert_int_eq(site_run_count(-1), 0);
}
END_TEST

/* Failures after which a request may have run. */
static const enum site_mode may_have_run_modes[] = {SITE_CUT,      SITE_CUT_HEAD, SITE_CUT_MIDWAY,
                                                    SITE_WRONG_ID, SITE_UNSIGNED, SITE_ENCODED};

START_TEST(unsafe_requests_that_may_have_run_are_not_retried)
{
    site_set_mode(-1, may_have_run_modes[_i]);
    ck_assert_int_eq(send_request("POST", "/once/x"), 502);
    clock_sleep_us(AFTER_REFUSAL_US);
    ck_assert_int_eq(site_run_count(-1), 1);
}
END_TEST

START_TEST(safe_requests_are_retried)
{
    site_set_mode(2, may_have_run_modes[_i]);
    for (int i = 0; i < 3; i++) {
        ck_assert_int_eq(send_request("GET", "/safe/x"), 200);
    }
}
END_TEST

START_TEST(bytes_after_a_response_are_discarded)
{
    site_set_mode(-1, SITE_TRAILING_BYTES);
    for (int i = 0; i < 6; i++) {
        struct site_response response;
        site_call(0, "POST", "/once/x", "", "b", &response);
        ck_assert_int_eq(response.status, 200);
        ck_assert_str_eq(buffer_text(&response.body), "hello");
        site_response_close(&response);
    }
}
END_TEST

START_TEST(a_reset_response_is_incomplete)
{
    site_set_mode(-1, SITE_RESET);
    for (int i = 0; i < RESETS; i++) {
        ck_assert_int_eq(send_request("POST", "/once/x"), 502);
    }
    site_set_mode(-1, SITE_NO_LENGTH);
    ck_assert_int_eq(send_request("POST", "/once/x"), 200);
}
END_TEST

START_TEST(a_safe_request_survives_a_silent_server)
{
    site_set_mode(2, SITE_SILENT);
    for (int i = 0; i < 4; i++) {
        ck_assert_int_eq(send_request("GET", "/safe/x"), 200);
    }
}
END_TEST

START_TEST(a_request_past_its_deadline_gets_504)
{
    site_set_mode(-1, SITE_SILENT);
    struct site_response response;
    site_call(0, "POST", "/once/x", "Bankbank-Deadline-Ms: 300\r\n", "b", &response);
    ck_assert_int_eq(response.status, 504);
    ck_assert(head_has(&response, "X-Run-State: unknown"));
    site_response_close(&response);
}
END_TEST

static bool a_request_was_cancelled(void *context)
{
    (void)context;
    return site_cancelled_count() > 0;
}

static bool a_server_runs(void *context)
{
    (void)context;
    return site_run_count(-1) > 0;
}

START_TEST(a_caller_disconnect_cancels_the_request)
{
    static const char request[] = "POST /chat/x HTTP/1.1\r\nHost: app.example\r\nBankbank-Request-Id: gone-1\r\n"
                                  "Content-Length: 1\r\n\r\nx";
    site_set_mode(-1, SITE_SILENT);
    int fd = site_connect(site_caller_ip(0), site_caller_port);
    ck_assert_int_eq(send(fd, request, sizeof(request) - 1, 0), sizeof(request) - 1);
    site_wait(a_server_runs, NULL, "the request reaches a server");
    close(fd);
    site_wait(a_request_was_cancelled, NULL, "the server's connection is closed");
}
END_TEST

START_TEST(ambiguous_framing_is_refused)
{
    const struct framing_case *framing = &framing_cases[_i];
    struct buffer request = {0};
    char response[4096];
    size_t got = 0;
    buffer_printf(&request, "POST /once/x HTTP/1.1\r\nBankbank-Request-Id: f-%d\r\n%s\r\n%s", _i, framing->lines,
                  framing->body);
    buffer_append_text(&request, "GET /safe/x HTTP/1.1\r\nHost: app.example\r\nBankbank-Request-Id: s\r\n\r\n");
    int fd = site_connect(site_caller_ip(0), site_caller_port);
    ck_assert_int_gt(send(fd, request.data, request.length, MSG_NOSIGNAL), 0);
    for (ssize_t part = 1; part > 0 && got < sizeof(response) - 1;) {
        part = recv(fd, response + got, sizeof(response) - 1 - got, 0);
        got += part > 0 ? (size_t)part : 0;
    }
    response[got] = '\0';
    close(fd);
    buffer_close(&request);
    ck_assert_msg(strncmp(response, "HTTP/1.1 400", 12) == 0, "%s: expected status 400, got: %s", framing->name,
                  response);
    ck_assert_ptr_null(strstr(response + 12, "HTTP/1.1 "));
    ck_assert_int_eq(site_run_count(-1), 0);
}
END_TEST

/* The gateway must neither exit nor hang on requests with changed and missing bytes. The seed is fixed. */
START_TEST(mutated_requests_are_survived)
{
    static const char valid[] = "POST /once/x HTTP/1.1\r\nHost: app.example\r\nBankbank-Request-Id: m\r\n"
                                "Bankbank-Deadline-Ms: 500\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody";
    uint32_t state = 2026;
    pid_t before = site_process(SITE_REPLICAS);
    for (int round = 0; round < MUTATIONS; round++) {
        char bytes[sizeof(valid)];
        char response[512];
        memcpy(bytes, valid, sizeof(valid));
        for (int change = 0; change < 4; change++) {
            state = state * 1664525U + 1013904223U;
            bytes[(state >> 8) % (sizeof(valid) - 1)] = "\r\n:[]{}\" ,0+\t\x80z"[state >> 28];
        }
        int fd = site_connect(site_caller_ip(0), site_caller_port);
        ck_assert_int_gt(send(fd, bytes, sizeof(valid) - 1 - (state >> 16) % 40, MSG_NOSIGNAL), 0);
        shutdown(fd, SHUT_WR);
        while (recv(fd, response, sizeof(response), 0) > 0) {
        }
        close(fd);
    }
    ck_assert_int_eq(site_process(SITE_REPLICAS), before);
    ck_assert_int_eq(send_request("GET", "/safe/x"), 200);
}
END_TEST

/* ---- Turns ----------------------------------------------------------------------------- */

/* Returns the status, negated if the response is incomplete. */
static int run_turn(int gateway, const char *id, const char *parent, const char *program, int budget, const char *body)
{
    char lines[256];
    struct site_response response;
    snprintf(lines, sizeof(lines),
             "Bankbank-Program-Id: %s\r\nBankbank-Token-Budget: %d\r\nBankbank-Token-Usage: 10,15\r\n%s%s%s", program,
             budget, parent[0] == '\0' ? "" : "Bankbank-Parent-Turn: ", parent, parent[0] == '\0' ? "" : "\r\n");
    site_call_as(gateway, id, "POST", "/chat/x", lines, body, &response);
    int status = response.complete ? response.status : -response.status;
    site_response_close(&response);
    return status;
}

static void expect_body(const char *expected)
{
    char *body = site_last_body();
    ck_assert_str_eq(body, expected);
    free(body);
}

START_TEST(a_conversation_continues_on_another_gateway)
{
    ck_assert_int_eq(run_turn(0, "t1", "", "p1", 1000, "one;"), 200);
    expect_body("one;");
    ck_assert_int_eq(run_turn(1, "t2", "t1", "p1", 1000, "two;"), 200);
    expect_body("one;piece-1\npiece-2\npiece-3\ntwo;");
    ck_assert_int_eq(run_turn(0, "t3", "t1", "p1", 1000, "branch;"), 200);
    expect_body("one;piece-1\npiece-2\npiece-3\nbranch;");
    ck_assert_int_eq(run_turn(0, "t4", "no-such-turn", "p1", 1000, "x"), 404);
}
END_TEST

START_TEST(a_budget_is_shared_between_gateways)
{
    ck_assert_int_eq(run_turn(0, "b1", "", "p2", 40, "x"), 200);
    ck_assert_int_eq(run_turn(1, "b2", "", "p2", 40, "x"), 200);
    int before = site_run_count(-1);
    ck_assert_int_eq(run_turn(0, "b3", "", "p2", 40, "x"), 402);
    ck_assert_int_eq(run_turn(1, "b4", "", "p2", 40, "x"), 402);
    ck_assert_int_eq(site_run_count(-1), before);
}
END_TEST

START_TEST(a_stream_cut_midway_is_not_stored_as_a_turn)
{
    site_set_mode(-1, SITE_CUT_MIDWAY);
    ck_assert_int_eq(run_turn(0, "c1", "", "p3", 1000, "x"), -200);
    site_set_mode(-1, SITE_NORMAL);
    ck_assert_int_eq(run_turn(0, "c2", "c1", "p3", 1000, "x"), 404);
}
END_TEST

/* ---- Configuration ------------------------------------------------------------------------ */

/* Frees `configuration`. */
static int put_configuration(int replica, char *configuration)
{
    int status = site_operator_call(replica, "POST", "/api/config/replace", configuration, NULL);
    free(configuration);
    return status;
}

static bool version_is_current(void *context)
{
    struct buffer response = {0};
    char expected[32];
    int status = site_operator_call(2, "GET", "/api/config/get", NULL, &response);
    snprintf(expected, sizeof(expected), "{\"version\":%d,", *(int *)context);
    bool current = status == 200 && strstr(buffer_text(&response), expected) != NULL;
    buffer_close(&response);
    return current;
}

START_TEST(the_highest_configuration_version_wins)
{
    int version = 20;
    ck_assert_int_eq(put_configuration(1, site_configuration(20, "")), 200);
    ck_assert_int_eq(put_configuration(0, site_configuration(19, ",\"sticky\":true")), 200);
    ck_assert_int_eq(put_configuration(2, site_configuration(20, ",\"sticky\":true")), 200);
    ck_assert(version_is_current(&version));
    struct buffer response = {0};
    site_operator_call(0, "GET", "/api/config/get", NULL, &response);
    char *sent = site_configuration(20, "");
    ck_assert_str_eq(buffer_text(&response), sent);
    free(sent);
    buffer_close(&response);
}
END_TEST

START_TEST(invalid_configurations_are_refused_with_all_errors)
{
    static const char *const invalid[] = {
        "{\"version\":99,\"routes\":[",
        "{\"version\":99,\"routes\":[{\"host\":\"a\",\"path-prefix\":\"/\",\"kind\":\"safe\",\"timeout-ms\":0,"
        "\"service\":\"none\"}],\"services\":[]}",
        "[]",
    };
    for (int i = 0; i < 3; i++) {
        struct buffer response = {0};
        ck_assert_int_eq(site_operator_call(i, "POST", "/api/config/replace", invalid[i], &response), 400);
        if (i == 1) {
            ck_assert_ptr_nonnull(strstr(buffer_text(&response), "unknown service"));
            ck_assert_ptr_nonnull(strstr(buffer_text(&response), "timeout is 0"));
        }
        buffer_close(&response);
    }
}
END_TEST

/* ---- Changes of the machine list ------------------------------------------------------------ */

static bool one_server_gets_all(void *context)
{
    (void)context;
    site_set_mode(-1, SITE_NORMAL);
    for (int i = 0; i < 6; i++) {
        if (send_request("POST", "/once/x") != 200) {
            return false;
        }
    }
    return site_run_count(2) == 0 && site_run_count(3) == 6;
}

START_TEST(a_draining_server_gets_no_new_requests)
{
    site_set_draining(2, true);
    site_wait(one_server_gets_all, NULL, "the draining server gets no requests");
}
END_TEST

/* Whether a request runs at the replacement of server 2 while server 3 refuses requests. */
static bool replacement_is_used(void *context)
{
    (void)context;
    site_set_mode(-1, SITE_NORMAL);
    site_set_mode(3, SITE_REFUSE);
    return send_request("GET", "/safe/x") == 200 && site_run_count(2) == 1;
}

static bool entries_are_skipped(void *context)
{
    for (int i = 0; i < SITE_REPLICAS; i++) {
        if (site_metric(i, "machine_list_left_out") == *(int *)context) {
            return true;
        }
    }
    return false;
}

/* Guards against a machine list that is rejected as a whole because of invalid entries. */
START_TEST(invalid_list_entries_hide_no_server)
{
    int five = 5;
    int none = 0;
    site_set_extra_list_entries(",{\"id\":7},null,{\"id\":\"\xff\",\"service\":\"plain\"},"
                                "{\"id\":\"sleeper\",\"service\":\"plain\",\"address\":\"127.0.0.1:1\",\"zone\":\"z1\","
                                "\"version\":\"v1\",\"slots\":4,\"state\":\"sleeping\",\"cold-remaining-ms\":0},"
                                "{\"id\":\"cut off");
    site_wait(entries_are_skipped, &five, "five entries are skipped");
    site_replace_server(2);
    site_wait(replacement_is_used, NULL, "the replacement runs a request");
    site_set_extra_list_entries("");
    site_wait(entries_are_skipped, &none, "no entry is skipped");
}
END_TEST

/* ---- Failures of daemons ------------------------------------------------------------------------ */

static bool replica_has_rejoined(void *context)
{
    if (site_metric(*(int *)context, "raft_voting") != 1) {
        return false;
    }
    for (int i = 0; i < SITE_REPLICAS; i++) {
        if (site_metric(i, "raft_leading") == 1 && site_metric(i, "raft_members") == SITE_REPLICAS &&
            site_metric(i, "raft_voters") == SITE_REPLICAS) {
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
    return run_turn(1, id, context, "p1", 100000, "more;") == 200;
}

START_TEST(a_replica_with_a_lost_disk_rejoins)
{
    for (int replica = 0; replica < SITE_REPLICAS; replica++) {
        ck_assert_int_eq(run_turn(0, "kept", "", "p1", 100000, "kept;"), 200);
        site_kill_daemon(replica, SIGKILL);
        site_remove_data(replica);
        site_start_daemon(replica);
        site_wait(replica_has_rejoined, &replica, "the replica has rejoined and has stored turns");
        site_wait(turn_is_served, (void *)"kept", "the stored turn is continued");
    }
}
END_TEST

START_TEST(state_survives_killing_all_replicas)
{
    int version = 30;
    ck_assert_int_eq(run_turn(0, "before", "", "p1", 100000, "before;"), 200);
    ck_assert_int_eq(put_configuration(0, site_configuration(30, "")), 200);
    for (int i = 0; i < SITE_REPLICAS; i++) {
        site_kill_daemon(i, SIGKILL);
    }
    for (int i = 0; i < SITE_REPLICAS; i++) {
        site_start_daemon(i);
    }
    site_wait(version_is_current, &version, "the configuration is kept");
    site_wait(turn_is_served, (void *)"before", "the stored turn is continued");
}
END_TEST

START_TEST(a_graceful_stop_completes_requests_in_flight)
{
    static const char request[] = "POST /once/x HTTP/1.1\r\nHost: app.example\r\nBankbank-Request-Id: slow-1\r\n"
                                  "Content-Length: 1\r\n\r\nx";
    char response[1024] = "";
    site_set_mode(-1, SITE_SLOW);
    int fd = site_connect(site_caller_ip(1), site_caller_port);
    ck_assert_int_eq(send(fd, request, sizeof(request) - 1, 0), sizeof(request) - 1);
    site_wait(a_server_runs, NULL, "the request reaches a server");
    int status = site_kill_daemon(SITE_REPLICAS + 1, SIGTERM);
    ck_assert(WIFEXITED(status) && WEXITSTATUS(status) == 0);
    ck_assert_int_gt(recv(fd, response, sizeof(response) - 1, 0), 0);
    ck_assert_ptr_nonnull(strstr(response, "HTTP/1.1 200"));
    ck_assert_ptr_nonnull(strstr(response, "Connection: close"));
    close(fd);
    site_set_mode(-1, SITE_NORMAL);
    site_start_daemon(SITE_REPLICAS + 1);
    site_wait(turn_is_served, (void *)"", "the gateway serves again");
}
END_TEST

static bool safe_request_is_served(void *context)
{
    (void)context;
    return send_request("GET", "/safe/x") == 200;
}

static bool stream_is_paused(void *context)
{
    (void)context;
    return site_metric(SITE_REPLICAS, "pauses_total") > 0;
}

/* Reads until the connection closes; returns the number of events. */
static int count_events(int fd)
{
    struct buffer response = {0};
    ssize_t got = 0;
    do {
        got = recv(fd, buffer_reserve(&response, READ_BYTES), READ_BYTES, 0);
        response.length += got > 0 ? (size_t)got : 0;
    } while (got > 0);
    int events = 0;
    for (const char *at = strstr(buffer_text(&response), "data: piece-"); at != NULL;
         at = strstr(at + 1, "data: piece-")) {
        events++;
    }
    buffer_close(&response);
    return events;
}

/* A stream is paused while its caller does not read, and completed when it reads. */
START_TEST(a_slow_reader_gets_the_complete_stream)
{
    static const char request[] = "POST /chat/x HTTP/1.1\r\nHost: app.example\r\nBankbank-Request-Id: slow-reader\r\n"
                                  "Bankbank-Deadline-Ms: 60000\r\nConnection: close\r\nContent-Length: 1\r\n\r\nb";
    site_set_mode(-1, SITE_LONG);
    int fd = site_connect(site_caller_ip(0), site_caller_port);
    ck_assert_int_eq(send(fd, request, sizeof(request) - 1, 0), (ssize_t)sizeof(request) - 1);
    site_wait(stream_is_paused, NULL, "the stream is paused");
    ck_assert_int_eq(count_events(fd), SITE_LONG_EVENTS);
    close(fd);
}
END_TEST

static bool a_request_is_waiting(void *context)
{
    (void)context;
    return site_metric(SITE_REPLICAS, "requests_waiting") > 0;
}

static void signal_replicas(int signal_number)
{
    for (int replica = 0; replica < SITE_REPLICAS; replica++) {
        kill(site_process(replica), signal_number);
    }
}

/* Suspends all state replicas, restarts a gateway, and sends it a request; returns the socket. */
static int send_to_restarted_gateway(const char *id)
{
    char request[256];
    signal_replicas(SIGSTOP);
    ck_assert_int_eq(site_kill_daemon(SITE_REPLICAS, SIGKILL), SIGKILL);
    site_start_daemon(SITE_REPLICAS);
    int fd = -1;
    while (fd < 0) {
        fd = site_connect(site_caller_ip(0), site_caller_port);
        clock_sleep_us(1000);
    }
    snprintf(request, sizeof(request),
             "GET /safe/x HTTP/1.1\r\nHost: app.example\r\nBankbank-Request-Id: %s\r\n"
             "Bankbank-Deadline-Ms: 3000\r\n\r\n",
             id);
    ck_assert_int_eq(send(fd, request, strlen(request), 0), (ssize_t)strlen(request));
    return fd;
}

/* A gateway that has just started lets requests wait, for a limited time, until it is configured. */
START_TEST(a_request_waits_until_a_new_gateway_is_configured)
{
    int fd = send_to_restarted_gateway("waits");
    site_wait(a_request_is_waiting, NULL, "the request waits");
    signal_replicas(SIGCONT);
    ck_assert_int_eq(site_read_status(fd), 200);
    site_wait(turn_is_served, (void *)"", "turns are served again");
}
END_TEST

START_TEST(a_waiting_request_times_out)
{
    int fd = send_to_restarted_gateway("refused");
    ck_assert_int_eq(site_read_status(fd), 503);
    signal_replicas(SIGCONT);
    site_wait(turn_is_served, (void *)"", "turns are served again");
}
END_TEST

/* Guards against a gateway that blocks when its standard output is a full pipe. */
START_TEST(a_blocked_log_pipe_does_not_block_the_gateway)
{
    char settings_path[512];
    char program_path[512];
    char cmdline_path[64];
    int log_pipe[2];
    ssize_t length = 0;
    snprintf(cmdline_path, sizeof(cmdline_path), "/proc/%d/cmdline", (int)site_process(SITE_REPLICAS));
    FILE *cmdline = fopen(cmdline_path, "r");
    char arguments[512] = "";
    length = (ssize_t)fread(arguments, 1, sizeof(arguments) - 1, cmdline);
    fclose(cmdline);
    ck_assert_int_gt(length, 0);
    snprintf(program_path, sizeof(program_path), "%s", arguments);
    snprintf(settings_path, sizeof(settings_path), "%s", arguments + strlen(arguments) + 1 + strlen("--config") + 1);
    site_kill_daemon(SITE_REPLICAS, SIGTERM);
    ck_assert_int_eq(pipe(log_pipe), 0);
    pid_t process = fork();
    if (process == 0) {
        dup2(log_pipe[1], STDOUT_FILENO);
        execl(program_path, program_path, "--config", settings_path, (char *)NULL);
        _exit(127);
    }
    for (int served = 0; served < REQUESTS_TO_FILL_PIPE;) {
        int status = send_request("GET", "/safe/x");
        served += status == 200 ? 1 : 0;
        if (status != 200) {
            clock_sleep_us(10000);
        }
    }
    kill(process, SIGTERM);
    int status = 0;
    waitpid(process, &status, 0);
    ck_assert(WIFEXITED(status) && WEXITSTATUS(status) == 0);
    close(log_pipe[0]);
    close(log_pipe[1]);
    site_start_daemon(SITE_REPLICAS);
    site_wait(safe_request_is_served, NULL, "the gateway serves again");
}
END_TEST

int main(int argc, char **argv)
{
    site_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("site");
    TCase *tests = tcase_create("one site");
    int mode_count = (int)(sizeof(may_have_run_modes) / sizeof(may_have_run_modes[0]));
    tcase_set_timeout(tests, 120);
    tcase_add_checked_fixture(tests, reset_servers, NULL);
    tcase_add_unchecked_fixture(tests, site_start, site_stop);
    tcase_add_test(tests, responses_are_forwarded_unchanged);
    tcase_add_test(tests, callers_cannot_set_system_headers);
    tcase_add_test(tests, a_refused_request_is_retried_on_another_server);
    tcase_add_loop_test(tests, unsafe_requests_that_may_have_run_are_not_retried, 0, mode_count);
    tcase_add_loop_test(tests, safe_requests_are_retried, 0, mode_count);
    tcase_add_test(tests, bytes_after_a_response_are_discarded);
    tcase_add_test(tests, a_reset_response_is_incomplete);
    tcase_add_test(tests, a_safe_request_survives_a_silent_server);
    tcase_add_test(tests, a_request_past_its_deadline_gets_504);
    tcase_add_test(tests, a_caller_disconnect_cancels_the_request);
    tcase_add_loop_test(tests, ambiguous_framing_is_refused, 0, FRAMING_CASES);
    tcase_add_test(tests, mutated_requests_are_survived);
    tcase_add_test(tests, a_conversation_continues_on_another_gateway);
    tcase_add_test(tests, a_budget_is_shared_between_gateways);
    tcase_add_test(tests, a_stream_cut_midway_is_not_stored_as_a_turn);
    tcase_add_test(tests, the_highest_configuration_version_wins);
    tcase_add_test(tests, invalid_configurations_are_refused_with_all_errors);
    tcase_add_test(tests, a_replica_with_a_lost_disk_rejoins);
    tcase_add_test(tests, state_survives_killing_all_replicas);
    tcase_add_test(tests, a_graceful_stop_completes_requests_in_flight);
    tcase_add_test(tests, a_draining_server_gets_no_new_requests);
    tcase_add_test(tests, invalid_list_entries_hide_no_server);
    tcase_add_test(tests, a_slow_reader_gets_the_complete_stream);
    tcase_add_test(tests, a_request_waits_until_a_new_gateway_is_configured);
    tcase_add_test(tests, a_waiting_request_times_out);
    tcase_add_test(tests, a_blocked_log_pipe_does_not_block_the_gateway);
    suite_add_tcase(suite, tests);
    return suite_run_without_fork(suite); /* the simulated servers are threads of this process */
}
