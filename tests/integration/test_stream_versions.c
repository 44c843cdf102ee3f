/*
 * Servers of two software versions serve side by side in one service. Guards against streams that continue at another
 * version than the one that began them: in one response, and over the requests of a caller that resumes.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "../unit/suite.h"
#include "site.h"

enum {
    STREAMS = 12,
    ID_BYTES = 32,
    CUT_AFTER_MS = 300,
    LIST_DELAY_MS = 2800,
    LAST_EVENT = 2,
    EARLIER_BYTES = 256,
    PATH_BYTES = 300,
    SETTLED_STREAMS = 6
};

/* A stream whose caller received its first events. */
typedef struct stream_t {
    char id[ID_BYTES];
    int server; /* that began it */
} stream_t;

static int next_number;
static char earlier_build[EARLIER_BYTES];

static int server_of_version(const char *body)
{
    return strstr(body, "@v1\n") != NULL ? 0 : strstr(body, "@v2\n") != NULL ? 1 : -1;
}

static bool has_both_versions(const char *body)
{
    return strstr(body, "@v1\n") != NULL && strstr(body, "@v2\n") != NULL;
}

/* Each stream is a turn of a new program with an affinity key of its own, so that streams spread over the servers. */
static void send_stream(int gateway, const char *id, const char *resume_lines, int deadline_ms,
                        struct site_response *response)
{
    struct buffer lines = {0};
    buffer_printf(&lines,
                  "Bankbank-Deadline-Ms: %d\r\nBankbank-Program-Id: p-%s\r\nBankbank-Token-Budget: 1000\r\n"
                  "Bankbank-Token-Usage: 10,15\r\nBankbank-Affinity-Key: %s\r\n%s",
                  deadline_ms, id, id, resume_lines);
    site_call_as(gateway, id, "POST", "/open/chat/x", buffer_text(&lines), "prompt", response);
    buffer_close(&lines);
}

/* Runs a stream that is cut after two events. */
static void begin_stream(int gateway, stream_t *stream)
{
    struct site_response response;
    snprintf(stream->id, sizeof(stream->id), "begun-%d", next_number++);
    send_stream(gateway, stream->id, "", CUT_AFTER_MS, &response);
    if (response.complete) {
        printf("%s: a complete response, status %d: %s\n", stream->id, response.status, buffer_text(&response.body));
    }
    ck_assert(!response.complete);
    stream->server = server_of_version(buffer_text(&response.body));
    ck_assert_int_ge(stream->server, 0);
    site_response_close(&response);
}

/* Resumes a stream as its caller does; returns the status. `server`: that ran the rest, -1: none did. */
static int resume_stream_as(int gateway, const stream_t *stream, bool names_stream, int *server)
{
    char id[ID_BYTES];
    struct buffer lines = {0};
    struct site_response response;
    snprintf(id, sizeof(id), "resumed-%d", next_number++);
    buffer_printf(&lines, "Last-Event-Id: %d\r\n", LAST_EVENT);
    if (names_stream) {
        buffer_printf(&lines, "Resumes: %s\r\n", stream->id);
    }
    send_stream(gateway, id, buffer_text(&lines), 2500, &response);
    buffer_close(&lines);
    int status = response.status;
    *server = server_of_version(buffer_text(&response.body));
    ck_assert(response.status != 200 || response.complete);
    site_response_close(&response);
    return status;
}

static int resume_stream(int gateway, const stream_t *stream, int *server)
{
    return resume_stream_as(gateway, stream, true, server);
}

static bool gateway_uses_only(int gateway, int server)
{
    bool only = true;
    for (int i = 0; i < SETTLED_STREAMS && only; i++) {
        char id[ID_BYTES];
        struct site_response response;
        snprintf(id, sizeof(id), "new-%d", next_number++);
        send_stream(gateway, id, "", 2500, &response);
        only = response.status == 200 && server_of_version(buffer_text(&response.body)) == server;
        site_response_close(&response);
    }
    return only;
}

static bool new_streams_use_only(void *context)
{
    int server = *(int *)context;
    return gateway_uses_only(0, server) && gateway_uses_only(1, server);
}

static bool gateways_know_versions(void *context)
{
    (void)context;
    bool known = true;
    for (int i = 0; i < SITE_GATEWAYS; i++) {
        known = known && site_metric(site_gateway_daemon(i), "services_mixed") == 1;
    }
    return known;
}

static bool a_stream_runs(void *context)
{
    (void)context;
    return site_run_count(-1) > 0;
}

static bool third_version_serves(void *context)
{
    struct site_response response;
    char id[ID_BYTES];
    (void)context;
    snprintf(id, sizeof(id), "third-%d", next_number++);
    send_stream(0, id, "", 2500, &response);
    bool serves = strstr(buffer_text(&response.body), "@v3\n") != NULL;
    site_response_close(&response);
    return serves;
}

/* Begins streams through both gateways; with SITE_STALL each ends after its first events. */
static void begin_streams(stream_t *streams)
{
    site_set_mode(-1, SITE_STALL);
    for (int i = 0; i < STREAMS; i++) {
        begin_stream(i % 2, &streams[i]);
    }
    site_set_mode(-1, SITE_NORMAL);
}

static void reset_servers(void)
{
    site_set_version(0, "v1");
    site_set_version(1, "v1");
    site_set_mode(-1, SITE_NORMAL);
}

/* Also ends what a failed case has left behind. */
static void start_one_version(void)
{
    reset_servers();
    site_start();
}

static void start_two_versions(void)
{
    start_one_version();
    site_set_version(1, "v2");
    site_wait(gateways_know_versions, NULL, "the gateways know of both versions");
}

static void stop(void)
{
    reset_servers();
    site_stop();
}

/* Each stream is resumed through the other gateway, at the version that began it. */
static void expect_resumed(const stream_t *streams)
{
    for (int i = 0; i < STREAMS; i++) {
        int server = -1;
        int status = resume_stream((i + 1) % 2, &streams[i], &server);
        ck_assert_msg(status == 200 && server == streams[i].server, "%s began at server %d, continued at %d, status %d",
                      streams[i].id, streams[i].server, server, status);
    }
}

/* The draining server still serves; a gateway that prefers another one must not continue streams there. */
START_TEST(a_resumed_stream_stays_at_the_version_that_began_it)
{
    stream_t streams[STREAMS];
    int drained = 0;
    int other = 1;
    begin_streams(streams);
    site_set_draining(drained, true);
    site_wait(new_streams_use_only, &other, "new streams avoid the draining server");
    expect_resumed(streams);
}
END_TEST

static void restart_gateways(void)
{
    for (int i = 0; i < SITE_GATEWAYS; i++) {
        site_kill_daemon(site_gateway_daemon(i), SIGKILL);
        site_start_daemon(site_gateway_daemon(i));
    }
    site_wait(gateways_know_versions, NULL, "the gateways know of both versions");
}

/* Neither the gateway that began a stream nor any other remembers its version. */
START_TEST(a_stream_whose_gateways_restart_stays_at_its_version)
{
    stream_t streams[STREAMS];
    begin_streams(streams);
    restart_gateways();
    expect_resumed(streams);
}
END_TEST

/* A gateway that has just started does not know for how long a server has been draining, and must send it nothing. */
START_TEST(a_restarted_gateway_resumes_nothing_at_draining_servers)
{
    stream_t streams[STREAMS];
    int drained = 0;
    int other = 1;
    begin_streams(streams);
    site_set_draining(drained, true);
    site_wait(new_streams_use_only, &other, "new streams avoid the draining server");
    restart_gateways();
    for (int i = 0; i < STREAMS; i++) {
        int server = -1;
        int expected = streams[i].server == drained ? 503 : 200;
        ck_assert_int_eq(resume_stream((i + 1) % 2, &streams[i], &server), expected);
    }
}
END_TEST

static void *start_second_version(void *context)
{
    (void)context;
    site_wait(a_stream_runs, NULL, "a stream runs");
    site_set_version(1, "v2");
    return NULL;
}

/* Its gateway knew of one version when it began. */
START_TEST(a_stream_that_runs_when_a_second_version_starts_is_recorded)
{
    struct site_response response;
    stream_t stream = {.id = "early", .server = 0};
    pthread_t thread;
    site_set_mode(-1, SITE_STALL);
    site_set_mode(1, SITE_REFUSE);
    pthread_create(&thread, NULL, start_second_version, NULL);
    send_stream(0, stream.id, "", LIST_DELAY_MS, &response);
    pthread_join(thread, NULL);
    ck_assert(strstr(buffer_text(&response.body), "@v1\n") != NULL);
    site_response_close(&response);
    site_wait(gateways_know_versions, NULL, "the gateways know of both versions");
    site_set_mode(-1, SITE_NORMAL);
    for (int gateway = 0; gateway < SITE_GATEWAYS; gateway++) {
        int server = -1;
        ck_assert_int_eq(resume_stream(gateway, &stream, &server), 200);
        ck_assert_int_eq(server, 0);
    }
}
END_TEST

/* Sends a request that resumes a stream, and expects that it is refused as not run. */
static void expect_refused(const char *resume_lines)
{
    struct site_response response;
    char id[ID_BYTES];
    struct buffer head = {0};
    snprintf(id, sizeof(id), "refused-%d", next_number++);
    int runs = site_run_count(-1);
    send_stream(0, id, resume_lines, 2500, &response);
    buffer_append(&head, response.head.data, response.head.length);
    ck_assert_int_eq(response.status, 503);
    ck_assert_ptr_nonnull(strstr(buffer_text(&head), "X-Run-State: not-run"));
    ck_assert_int_eq(site_run_count(-1), runs);
    buffer_close(&head);
    site_response_close(&response);
}

/* Guards against a guess, and against requests that wait for what cannot come. */
START_TEST(a_stream_that_no_server_can_continue_is_refused)
{
    stream_t stream;
    char lines[ID_BYTES * 2];
    site_set_mode(-1, SITE_STALL);
    do {
        begin_stream(0, &stream);
    } while (stream.server != 0);
    site_set_mode(-1, SITE_NORMAL);
    expect_refused("Last-Event-Id: 2\r\nResumes: never-begun\r\n");
    expect_refused("Last-Event-Id: 2\r\n");
    site_set_version(0, "v3");
    site_wait(third_version_serves, NULL, "v3 serves");
    snprintf(lines, sizeof(lines), "Last-Event-Id: 2\r\nResumes: %s\r\n", stream.id);
    expect_refused(lines);
}
END_TEST

static bool gateway_serves(void *context)
{
    struct site_response response;
    char id[ID_BYTES];
    snprintf(id, sizeof(id), "probe-%d", next_number++);
    send_stream(*(int *)context, id, "", 2500, &response);
    bool serves = response.status == 200;
    site_response_close(&response);
    return serves;
}

/* Kills all daemons: nobody remembers which versions served. */
static void restart_all(void)
{
    site_restart_all();
    for (int i = 0; i < SITE_GATEWAYS; i++) {
        site_wait(gateway_serves, &i, "the gateways serve");
    }
}

static void expect_not_joined(const stream_t *streams)
{
    for (int i = 0; i < STREAMS; i++) {
        int server = -1;
        bool names_stream = i / 2 % 2 == 0;
        int status = resume_stream_as((i + 1) % 2, &streams[i], names_stream, &server);
        ck_assert_msg(status == 503, "%s, begun at v1, continued with status %d by version %d", streams[i].id, status,
                      server + 1);
    }
}

/* No stream has a record, and only the new version serves when the daemons are back. */
START_TEST(streams_of_a_version_that_left_are_not_joined_after_all_daemons_were_killed)
{
    stream_t streams[STREAMS];
    begin_streams(streams);
    site_set_version(0, "v2");
    site_set_version(1, "v2");
    restart_all();
    expect_not_joined(streams);
}
END_TEST

/* Two versions served; the old one left before the daemons were killed. */
START_TEST(streams_are_not_joined_after_a_release_and_a_kill_of_all_daemons)
{
    stream_t streams[STREAMS];
    int served = 0;
    site_set_mode(1, SITE_REFUSE);
    begin_streams(streams);
    for (int i = 0; i < STREAMS; i++) {
        served += streams[i].server == 0 ? 1 : 0;
    }
    site_set_version(0, "v2");
    restart_all();
    for (int i = 0; i < STREAMS; i++) {
        int server = -1;
        int status = resume_stream_as((i + 1) % 2, &streams[i], i / 2 % 2 == 0, &server);
        ck_assert_msg(streams[i].server != 0 || status == 503,
                      "%s, begun at v1, continued with status %d by version %d", streams[i].id, status, server + 1);
    }
    ck_assert_int_gt(served, 0);
}
END_TEST

/* A kill without a release must not cost callers their streams. */
START_TEST(streams_are_resumed_after_all_daemons_were_killed)
{
    stream_t streams[STREAMS];
    begin_streams(streams);
    restart_all();
    for (int i = 0; i < STREAMS; i++) {
        int server = -1;
        ck_assert_int_eq(resume_stream_as((i + 1) % 2, &streams[i], i / 2 % 2 == 0, &server), 200);
    }
}
END_TEST

static void signal_replicas(int signal_number)
{
    for (int replica = 0; replica < SITE_REPLICAS; replica++) {
        kill(site_process(site_replica_daemon(replica)), signal_number);
    }
}

/* Without a leader the record of a stream is not committed. Guards against events that are held for it for ever, also
 * if so many have come meanwhile that reading from the server was paused. */
START_TEST(a_stream_does_not_wait_for_its_record_for_ever)
{
    struct site_response response;
    site_set_mode(-1, SITE_LONG);
    signal_replicas(SIGSTOP);
    site_call_as(0, "not-recorded", "POST", "/open/chat/x", "Bankbank-Deadline-Ms: 2900\r\n", "prompt", &response);
    signal_replicas(SIGCONT);
    ck_assert_int_eq(response.status, 200);
    ck_assert(response.complete);
    ck_assert(site_log_has(site_gateway_daemon(0), "stream_not_recorded"));
    site_response_close(&response);
}
END_TEST

static double sum_of_gateways(const char *metric)
{
    return site_metric(site_gateway_daemon(0), metric) + site_metric(site_gateway_daemon(1), metric);
}

/* With one version nothing is recorded, and any server continues a stream. */
START_TEST(one_version_needs_no_records)
{
    stream_t streams[STREAMS];
    begin_streams(streams);
    for (int i = 0; i < STREAMS; i++) {
        int server = -1;
        ck_assert_int_eq(resume_stream((i + 1) % 2, &streams[i], &server), 200);
    }
    ck_assert_int_eq((int)sum_of_gateways("resumptions_total"), STREAMS);
    ck_assert_int_eq((int)sum_of_gateways("stream_records_total"), 0);
    ck_assert_int_eq((int)site_metric(0, "streams_recorded"), 0);
}
END_TEST

static void *lose_power(void *context)
{
    int *lost = context;
    site_wait(a_stream_runs, NULL, "a stream runs");
    *lost = site_run_count(0) > 0 ? 0 : 1;
    site_set_powered_off(*lost, true);
    return NULL;
}

/* The only server of the version that began the stream loses power: the response ends, as no server may continue it. */
START_TEST(a_response_has_events_of_one_version)
{
    struct site_response response;
    pthread_t thread;
    int lost = -1;
    site_set_mode(-1, SITE_STALL);
    pthread_create(&thread, NULL, lose_power, &lost);
    send_stream(0, "loses-power", "", 2900, &response);
    pthread_join(thread, NULL);
    site_set_powered_off(lost, false);
    ck_assert_int_eq(response.status, 200);
    ck_assert_int_eq(server_of_version(buffer_text(&response.body)), lost);
    ck_assert(!has_both_versions(buffer_text(&response.body)));
    ck_assert(!response.complete);
    site_response_close(&response);
}
END_TEST

/* Replicas of an earlier version hold no records: their streams are not resumed rather than at any version. */
START_TEST(without_records_no_stream_is_resumed)
{
    stream_t streams[STREAMS];
    begin_streams(streams);
    for (int i = 0; i < STREAMS; i++) {
        int server = -1;
        ck_assert_int_eq(resume_stream((i + 1) % 2, &streams[i], &server), 503);
    }
}
END_TEST

static void start_earlier_replicas(void)
{
    for (int replica = 0; replica < SITE_REPLICAS; replica++) {
        site_set_build(site_replica_daemon(replica), earlier_build);
    }
    start_two_versions();
}

static TCase *create_earlier_case(void)
{
    char program[PATH_BYTES];
    snprintf(earlier_build, sizeof(earlier_build), "%s/earlier", site_build);
    snprintf(program, sizeof(program), "%s/bankbank-site", earlier_build);
    TCase *earlier = tcase_create("replicas of an earlier version");
    tcase_set_timeout(earlier, 120);
    tcase_add_checked_fixture(earlier, start_earlier_replicas, stop);
    if (access(program, X_OK) == 0) {
        tcase_add_test(earlier, without_records_no_stream_is_resumed);
    } else {
        printf("not run: %s does not exist (scripts/build-earlier)\n", program);
    }
    return earlier;
}

int main(int argc, char **argv)
{
    site_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("stream versions");
    TCase *tests = tcase_create("two versions");
    tcase_set_timeout(tests, 120);
    tcase_add_checked_fixture(tests, start_two_versions, stop);
    tcase_add_test(tests, a_resumed_stream_stays_at_the_version_that_began_it);
    tcase_add_test(tests, a_response_has_events_of_one_version);
    tcase_add_test(tests, a_stream_whose_gateways_restart_stays_at_its_version);
    tcase_add_test(tests, streams_are_not_joined_after_a_release_and_a_kill_of_all_daemons);
    tcase_add_test(tests, a_restarted_gateway_resumes_nothing_at_draining_servers);
    tcase_add_test(tests, a_stream_that_no_server_can_continue_is_refused);
    tcase_add_test(tests, a_stream_does_not_wait_for_its_record_for_ever);
    suite_add_tcase(suite, tests);
    TCase *one_version = tcase_create("one version");
    tcase_set_timeout(one_version, 120);
    tcase_add_checked_fixture(one_version, start_one_version, stop);
    tcase_add_test(one_version, a_stream_that_runs_when_a_second_version_starts_is_recorded);
    tcase_add_test(one_version, one_version_needs_no_records);
    tcase_add_test(one_version, streams_of_a_version_that_left_are_not_joined_after_all_daemons_were_killed);
    tcase_add_test(one_version, streams_are_resumed_after_all_daemons_were_killed);
    suite_add_tcase(suite, one_version);
    suite_add_tcase(suite, create_earlier_case());
    site_show_versions();
    return suite_run_without_fork(suite);
}
