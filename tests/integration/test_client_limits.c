/*
 * Clients that do not keep to the limits, at every listener of a site's daemons. Guards against daemons that end, hang
 * or grow beyond their memory and descriptors because of what clients send, announce or leave unread.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>

#include "../unit/suite.h"
#include "base/clock.h"
#include "crowd.h"
#include "site.h"
#include "site_internal.h"

enum {
    MEMORY_LIMIT_MB = 48, /* of each daemon: the smallest machine of a gateway */
    DESCRIPTOR_LIMIT = 800,
    CLIENTS = 900,          /* more than a daemon has descriptors */
    FILLER_BYTES = 1 << 20, /* of each client: 900 MB in total */
    CHUNK_BYTES = 4096,     /* of a chunked body */
    LINE_BYTES = 16384,     /* of an endless header line */
    HALF_HEAD_BYTES = 8000, /* below max-header-bytes of the configuration */
    MAX_BODY_BYTES = 65536, /* max-body-bytes of the configuration */
    REFUSED_BODY_BYTES = 1 << 19,
    PART_DELAY_US = 2000
};

#define HOST "Host: app.example\r\n"
#define ORDINARY "POST /once/x HTTP/1.1\r\n" HOST "Bankbank-Request-Id: crowd\r\n"
#define UNKNOWN "GET /nowhere HTTP/1.1\r\n" HOST "Bankbank-Request-Id: crowd\r\n\r\n"
#define METRICS "GET /metrics HTTP/1.1\r\n" HOST "\r\n"
#define READY "GET /api/readyz HTTP/1.1\r\n" HOST "\r\n"
#define CONFIGURATION "GET /api/config/get HTTP/1.1\r\n" HOST "\r\n"
#define PUT_CONFIGURATION "POST /api/config/replace HTTP/1.1\r\n" HOST
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
static uint8_t chunk[CHUNK_BYTES + sizeof("1000\r\n\r\n") - 1];
static crowd_t crowd;

/* At the callers' listener; `/once/` is a route whose servers respond only in SITE_NORMAL. */
static const crowd_script_t caller_scripts[] = {
    {"announced over the limit", TEXT(ORDINARY "Content-Length: 1073741824\r\n\r\n"), LETTERS, FILLER_BYTES, false},
    {"announced over the limit, expecting 100",
     TEXT(ORDINARY "Content-Length: 1073741824\r\nExpect: 100-continue\r\n\r\n"), LETTERS, FILLER_BYTES, false},
    {"chunked without end", TEXT(ORDINARY "Transfer-Encoding: chunked\r\n\r\n"), CHUNK, FILLER_BYTES, false},
    {"chunk extension without end", TEXT(ORDINARY "Transfer-Encoding: chunked\r\n\r\n1;x="), LETTERS, FILLER_BYTES,
     false},
    {"trailer without end", TEXT(ORDINARY "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: "), LETTERS, FILLER_BYTES,
     false},
    {"head without end", TEXT("POST /once/x HTTP/1.1\r\nX-Line: "), LETTERS, FILLER_BYTES, false},
    {"malformed", TEXT("BAD\r\n\r\n"), LETTERS, FILLER_BYTES, false},
    {"malformed, unread", TEXT("BAD\r\n\r\n"), LETTERS, FILLER_BYTES, true},
    {"half a body", TEXT(ORDINARY "Content-Length: 65536\r\n\r\n"), LETTERS, MAX_BODY_BYTES - 1, false},
    {"half a chunked body", TEXT(ORDINARY "Transfer-Encoding: chunked\r\n\r\n"), CHUNK, MAX_BODY_BYTES - 1, false},
    {"half a head", TEXT("POST /once/x HTTP/1.1\r\nX-Line: "), LETTERS, HALF_HEAD_BYTES, false},
    {"empty lines", TEXT("\r\n"), TEXT("\r\n"), FILLER_BYTES, false},
    {"silent", TEXT(""), TEXT(""), 0, false},
    {"in series, unread", TEXT(UNKNOWN), TEXT(UNKNOWN), FILLER_BYTES, true},
    {"in series behind one under way", TEXT(ORDINARY "Content-Length: 0\r\n\r\n"),
     TEXT(ORDINARY "Content-Length: 0\r\n\r\n"), FILLER_BYTES, true},
    {"bytes behind one under way", TEXT(ORDINARY "Content-Length: 0\r\n\r\n"), LETTERS, FILLER_BYTES, true},
};

/* At the listeners for readiness and metrics. */
static const crowd_script_t probe_scripts[] = {
    {"announced over the limit", TEXT(ORDINARY "Content-Length: 1073741824\r\n\r\n"), LETTERS, FILLER_BYTES, false},
    {"chunked without end", TEXT(ORDINARY "Transfer-Encoding: chunked\r\n\r\n"), CHUNK, FILLER_BYTES, false},
    {"head without end", TEXT("GET /metrics HTTP/1.1\r\nX-Line: "), LETTERS, FILLER_BYTES, false},
    {"half a body", TEXT(ORDINARY "Content-Length: 65536\r\n\r\n"), LETTERS, MAX_BODY_BYTES - 1, false},
    {"half a head", TEXT("GET /metrics HTTP/1.1\r\nX-Line: "), LETTERS, HALF_HEAD_BYTES, false},
    {"silent", TEXT(""), TEXT(""), 0, false},
    {"metrics in series, unread", TEXT(METRICS), TEXT(METRICS), FILLER_BYTES, true},
    {"readiness in series, unread", TEXT(READY), TEXT(READY), FILLER_BYTES, true},
};

/* At the operators' listener. */
static const crowd_script_t control_scripts[] = {
    {"announced over the limit", TEXT(PUT_CONFIGURATION "Content-Length: 1073741824\r\n\r\n"), LETTERS, FILLER_BYTES,
     false},
    {"chunked without end", TEXT(PUT_CONFIGURATION "Transfer-Encoding: chunked\r\n\r\n"), CHUNK, FILLER_BYTES, false},
    {"head without end", TEXT(PUT_CONFIGURATION "X-Line: "), LETTERS, FILLER_BYTES, false},
    {"half a body", TEXT(PUT_CONFIGURATION "Content-Length: 8388608\r\n\r\n"), LETTERS, FILLER_BYTES, false},
    {"half a head", TEXT(PUT_CONFIGURATION "X-Line: "), LETTERS, HALF_HEAD_BYTES, false},
    {"silent", TEXT(""), TEXT(""), 0, false},
    {"configuration in series, unread", TEXT(CONFIGURATION), TEXT(CONFIGURATION), FILLER_BYTES, true},
    {"bodies that are no configuration", TEXT(PUT_CONFIGURATION "Content-Length: 1048576\r\n\r\n"), LETTERS,
     FILLER_BYTES, false},
};

enum {
    CALLER_SCRIPTS = sizeof(caller_scripts) / sizeof(*caller_scripts),
    PROBE_SCRIPTS = sizeof(probe_scripts) / sizeof(*probe_scripts),
    CONTROL_SCRIPTS = sizeof(control_scripts) / sizeof(*control_scripts),
    REPLICA = 0,
    GATEWAY = SITE_REPLICAS
};

/* ---- Ordinary requests --------------------------------------------------------------------------- */

static bool caller_is_served(void *context)
{
    (void)context;
    struct site_response response;
    site_call(0, "POST", "/safe/x", "", "x", &response);
    bool served = response.status == 200 && response.complete;
    site_response_close(&response);
    return served;
}

static bool gateway_metrics_are_served(void *context)
{
    (void)context;
    return site_metric(GATEWAY, "memory_resident_bytes") > 0;
}

static bool replica_metrics_are_served(void *context)
{
    (void)context;
    return site_metric(REPLICA, "memory_resident_bytes") > 0;
}

static bool readiness_is_served(void *context)
{
    static const char request[] = READY;
    (void)context;
    int fd = site_connect(site_daemon_ip(GATEWAY), site_ready_port);
    if (fd < 0 || send(fd, request, sizeof(request) - 1, MSG_NOSIGNAL) < 0) {
        return false;
    }
    return site_read_status(fd) == 200;
}

static bool operator_is_served(void *context)
{
    (void)context;
    return site_operator_call(REPLICA, "GET", "/api/config/get", NULL, NULL) == 200;
}

/* ---- Crowds --------------------------------------------------------------------------------------- */

/* One that an earlier case ended is started again. */
static void ensure_running(int daemon)
{
    waitpid(site_process(daemon), NULL, WNOHANG);
    if (kill(site_process(daemon), 0) != 0) {
        site_start_daemon(daemon);
    }
}

static void expect_within_limits(int daemon, const char *name)
{
    int status = 0;
    ck_assert_msg(waitpid(site_process(daemon), &status, WNOHANG) == 0, "%s: daemon %d ended: wait status %x", name,
                  daemon, (unsigned)status);
    long peak_kb = crowd_peak_kb(site_process(daemon));
    int descriptors = crowd_descriptors(site_process(daemon));
    printf("%s: daemon %d: peak %ld kB, %d descriptors\n", name, daemon, peak_kb, descriptors);
    fflush(stdout);
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__) /* whose own memory counts */
    ck_assert_msg(peak_kb < MEMORY_LIMIT_MB * 1024, "%s: peak %ld kB", name, peak_kb);
#endif
    ck_assert_msg(descriptors < DESCRIPTOR_LIMIT, "%s: %d descriptors", name, descriptors);
}

/* One ordinary request is answered beside the crowd, and one after it has left. */
static void play(int daemon, int port, const crowd_script_t *script, bool (*served)(void *context))
{
    ensure_running(daemon);
    site_wait(served, NULL, "an ordinary request is answered before the crowd");
    crowd_reset_peak(site_process(daemon));
    crowd_start(&crowd, site_daemon_ip(daemon), port, script, CLIENTS);
    crowd_wait(&crowd);
    expect_within_limits(daemon, script->name);
    site_wait(served, NULL, script->name);
    crowd_stop(&crowd);
    expect_within_limits(daemon, script->name);
    site_wait(served, NULL, script->name);
}

START_TEST(callers)
{
    play(GATEWAY, site_caller_port, &caller_scripts[_i], caller_is_served);
}
END_TEST

START_TEST(readiness_of_a_gateway)
{
    play(GATEWAY, site_ready_port, &probe_scripts[_i], readiness_is_served);
}
END_TEST

START_TEST(metrics_of_a_gateway)
{
    play(GATEWAY, site_metrics_port, &probe_scripts[_i], gateway_metrics_are_served);
}
END_TEST

START_TEST(metrics_of_a_replica)
{
    play(REPLICA, site_metrics_port, &probe_scripts[_i], replica_metrics_are_served);
}
END_TEST

START_TEST(operators)
{
    play(REPLICA, site_control_port, &control_scripts[_i], operator_is_served);
}
END_TEST

/* ---- Single clients ------------------------------------------------------------------------------- */

/* Sends a request in parts; returns the status of the first response, of which 100 (Continue) is one. */
static int send_parts(const char *ip, int port, const struct view *parts, int count)
{
    int fd = site_connect(ip, port);
    ck_assert_int_ge(fd, 0);
    for (int i = 0; i < count; i++) {
        site_send(fd, (const char *)parts[i].data, parts[i].length);
        clock_sleep_us(PART_DELAY_US);
    }
    return site_read_status(fd);
}

/* The largest body, as a whole, in chunks and slowly, but in time. */
START_TEST(the_largest_body_is_served)
{
    static uint8_t body[MAX_BODY_BYTES];
    memset(body, 'c', sizeof(body));
    struct view whole[] = {
        TEXT("POST /safe/x HTTP/1.1\r\n" HOST "Bankbank-Request-Id: whole\r\nContent-Length: 65536\r\n\r\n"),
        {body, sizeof(body)}};
    ck_assert_int_eq(send_parts(site_caller_ip(0), site_caller_port, whole, 2), 200);

    struct view chunks[MAX_BODY_BYTES / CHUNK_BYTES + 2];
    int count = 0;
    chunks[count++] = (struct view)TEXT("POST /safe/x HTTP/1.1\r\n" HOST
                                        "Bankbank-Request-Id: chunks\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = 0; i < MAX_BODY_BYTES / CHUNK_BYTES; i++) {
        chunks[count++] = (struct view)CHUNK;
    }
    chunks[count++] = (struct view)TEXT("0\r\n\r\n");
    ck_assert_int_eq(send_parts(site_caller_ip(0), site_caller_port, chunks, count), 200);

    enum { SLOW_PARTS = 16 };
    struct view slow[SLOW_PARTS + 1] = {
        TEXT("POST /safe/x HTTP/1.1\r\n" HOST "Bankbank-Request-Id: slow\r\nContent-Length: 65536\r\n\r\n")};
    for (int i = 0; i < SLOW_PARTS; i++) {
        slow[i + 1] = view_of(body, MAX_BODY_BYTES / SLOW_PARTS);
    }
    ck_assert_int_eq(send_parts(site_caller_ip(0), site_caller_port, slow, SLOW_PARTS + 1), 200);
}
END_TEST

/* The head tells that the body is too large: no 100 (Continue), and no byte of the body is waited for. */
START_TEST(a_body_announced_over_the_limit_is_refused_at_once)
{
    struct view caller[] = {TEXT(ORDINARY "Content-Length: 65537\r\nExpect: 100-continue\r\n\r\n")};
    struct view operator_order[] = {
        TEXT(PUT_CONFIGURATION "Content-Length: 1073741824\r\nExpect: 100-continue\r\n\r\n")};
    struct view probe[] = {TEXT("POST /metrics HTTP/1.1\r\n" HOST "Content-Length: 65537\r\n\r\n")};
    ck_assert_int_eq(send_parts(site_caller_ip(0), site_caller_port, caller, 1), 413);
    ck_assert_int_eq(send_parts(site_control_ip(0), site_control_port, operator_order, 1), 413);
    ck_assert_int_eq(send_parts(site_caller_ip(0), site_ready_port, probe, 1), 413);
    ck_assert_int_eq(send_parts(site_caller_ip(0), site_metrics_port, probe, 1), 413);
}
END_TEST

/* A client that sends a body over the limit as a whole before it reads gets the refusal. */
START_TEST(a_refusal_reaches_a_client_that_still_sends)
{
    static uint8_t body[REFUSED_BODY_BYTES];
    struct view parts[] = {TEXT(ORDINARY "Content-Length: 524288\r\n\r\n"), {body, sizeof(body)}};
    int runs = site_run_count(-1);
    ck_assert_int_eq(send_parts(site_caller_ip(0), site_caller_port, parts, 2), 413);
    ck_assert_int_eq(site_run_count(-1), runs);
}
END_TEST

/* ---- Fixtures ------------------------------------------------------------------------------------- */

static void start(void)
{
    memset(letters, 'a', sizeof(letters));
    memset(chunk, 'b', sizeof(chunk));
    memcpy(chunk, "1000\r\n", sizeof("1000\r\n") - 1);
    memcpy(chunk + sizeof(chunk) - 2, "\r\n", 2);
    crowd_raise_descriptor_limit();
    site_limit_memory(MEMORY_LIMIT_MB);
    site_limit_descriptors(DESCRIPTOR_LIMIT);
    site_start();
    char *configuration = site_large_configuration(2);
    ck_assert_int_eq(site_operator_call(REPLICA, "POST", "/api/config/replace", configuration, NULL), 200);
    free(configuration);
}

/* The crowd of a failed case is still there. */
static void stop_crowd(void)
{
    if (crowd.script != NULL && !crowd.stopping) {
        crowd_stop(&crowd);
    }
}

/* A daemon gets no signal before it has started. */
static void stop(void)
{
    ensure_running(REPLICA);
    ensure_running(GATEWAY);
    site_wait(replica_metrics_are_served, NULL, "the replica runs");
    site_wait(gateway_metrics_are_served, NULL, "the gateway runs");
    site_stop();
}

static void slow_servers(void)
{
    for (int server = 0; server < SITE_SERVERS; server++) {
        site_set_mode(server, server % 2 == 0 ? SITE_NORMAL : SITE_SLOW);
    }
}

static void add_case(Suite *suite, const char *name, const TTest *test, int scripts)
{
    TCase *tests = tcase_create(name);
    tcase_set_timeout(tests, 120);
    tcase_add_unchecked_fixture(tests, start, stop);
    tcase_add_checked_fixture(tests, slow_servers, stop_crowd);
    tcase_add_loop_test(tests, test, 0, scripts);
    suite_add_tcase(suite, tests);
}

int main(int argc, char **argv)
{
    site_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("client limits");
    add_case(suite, "callers", callers, CALLER_SCRIPTS);
    add_case(suite, "readiness of a gateway", readiness_of_a_gateway, PROBE_SCRIPTS);
    add_case(suite, "metrics of a gateway", metrics_of_a_gateway, PROBE_SCRIPTS);
    add_case(suite, "metrics of a replica", metrics_of_a_replica, PROBE_SCRIPTS);
    add_case(suite, "operators", operators, CONTROL_SCRIPTS);
    TCase *calm = tcase_create("single clients");
    tcase_set_timeout(calm, 120);
    tcase_add_unchecked_fixture(calm, start, stop);
    tcase_add_test(calm, the_largest_body_is_served);
    tcase_add_test(calm, a_body_announced_over_the_limit_is_refused_at_once);
    tcase_add_test(calm, a_refusal_reaches_a_client_that_still_sends);
    suite_add_tcase(suite, calm);
    return suite_run_without_fork(suite);
}
