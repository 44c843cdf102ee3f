/*
 * Servers of two software versions serve side by side in one service. Guards against streams that continue at another
 * version than the one that began them: in one response, and over the requests of a caller that resumes.
 */
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "../unit/suite.h"
#include "site.h"

enum { STREAMS = 12, ID_BYTES = 32, CUT_AFTER_MS = 300, LAST_EVENT = 2, SETTLED_STREAMS = 6 };

/* A stream whose caller received its first events. */
typedef struct stream_t {
    char id[ID_BYTES];
    int server; /* that began it */
} stream_t;

static int next_number;

static int server_of_version(const char *body)
{
    return strstr(body, "@v1\n") != NULL ? 0 : strstr(body, "@v2\n") != NULL ? 1 : -1;
}

static bool has_both_versions(const char *body)
{
    return strstr(body, "@v1\n") != NULL && strstr(body, "@v2\n") != NULL;
}

/* Each stream is a turn of a new program, so that no conversation is cached at a server. */
static void send_stream(int gateway, const char *id, const char *resume_lines, int deadline_ms,
                        struct site_response *response)
{
    struct buffer lines = {0};
    buffer_printf(&lines,
                  "Bankbank-Deadline-Ms: %d\r\nBankbank-Program-Id: p-%s\r\nBankbank-Token-Budget: 1000\r\n"
                  "Bankbank-Token-Usage: 10,15\r\n%s",
                  deadline_ms, id, resume_lines);
    site_call_as(gateway, id, "POST", "/open/chat/x", buffer_text(&lines), "prompt", response);
    buffer_close(&lines);
}

/* Runs a stream that is cut after two events. */
static void begin_stream(int gateway, stream_t *stream)
{
    struct site_response response;
    snprintf(stream->id, sizeof(stream->id), "begun-%d", next_number++);
    send_stream(gateway, stream->id, "", CUT_AFTER_MS, &response);
    ck_assert(!response.complete);
    stream->server = server_of_version(buffer_text(&response.body));
    ck_assert_int_ge(stream->server, 0);
    site_response_close(&response);
}

/* Resumes a stream as its caller does; returns the status. `server`: that ran the rest, -1: none did. */
static int resume_stream(int gateway, const stream_t *stream, int *server)
{
    char id[ID_BYTES];
    struct buffer lines = {0};
    struct site_response response;
    snprintf(id, sizeof(id), "resumed-%d", next_number++);
    buffer_printf(&lines, "Last-Event-Id: %d\r\nResumes: %s\r\n", LAST_EVENT, stream->id);
    send_stream(gateway, id, buffer_text(&lines), 2500, &response);
    buffer_close(&lines);
    int status = response.status;
    *server = server_of_version(buffer_text(&response.body));
    ck_assert(response.status != 200 || response.complete);
    site_response_close(&response);
    return status;
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

static bool both_versions_serve(void *context)
{
    stream_t stream;
    bool served[2] = {false, false};
    (void)context;
    for (int i = 0; i < STREAMS; i++) {
        begin_stream(i % 2, &stream);
        served[stream.server] = true;
    }
    return served[0] && served[1];
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

/* Also ends what a failed case has left behind. */
static void start_two_versions(void)
{
    site_set_draining(0, false);
    site_start();
    site_set_version(1, "v2");
    site_set_mode(-1, SITE_STALL);
    site_wait(both_versions_serve, NULL, "both versions serve");
    site_set_mode(-1, SITE_NORMAL);
}

static void stop(void)
{
    site_set_draining(0, false);
    site_set_draining(1, false);
    site_set_version(1, "v1");
    site_set_mode(-1, SITE_NORMAL);
    site_stop();
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
    for (int i = 0; i < STREAMS; i++) {
        int server = -1;
        resume_stream((i + 1) % 2, &streams[i], &server);
        ck_assert_msg(server < 0 || server == streams[i].server, "%s began at server %d, continued at %d",
                      streams[i].id, streams[i].server, server);
    }
}
END_TEST

static bool a_stream_runs(void *context)
{
    (void)context;
    return site_run_count(-1) > 0;
}

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

int main(int argc, char **argv)
{
    site_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("stream versions");
    TCase *tests = tcase_create("two versions");
    tcase_set_timeout(tests, 120);
    tcase_add_checked_fixture(tests, start_two_versions, stop);
    tcase_add_test(tests, a_resumed_stream_stays_at_the_version_that_began_it);
    tcase_add_test(tests, a_response_has_events_of_one_version);
    suite_add_tcase(suite, tests);
    site_show_versions();
    return suite_run_without_fork(suite);
}
