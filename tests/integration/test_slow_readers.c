/* Callers that read slowly or not at all: the memory of their buffered responses, and paused streams. */
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../unit/suite.h"
#include "base/clock.h"
#include "site.h"

enum {
    GATEWAY = SITE_REPLICAS,
    READ_BYTES = 1 << 16,
    MIN_BUFFERED_BYTES = 1 << 20, /* of SITE_LARGE_BYTES; the rest may be in socket buffers */
    SERVER_ABORT_WAIT_MS = 400
};

static int send_request(const char *method, const char *path, const char *id)
{
    char request[256];
    int length = snprintf(request, sizeof(request),
                          "%s %s HTTP/1.1\r\nHost: app.example\r\nBankbank-Request-Id: %s\r\n"
                          "Bankbank-Deadline-Ms: 2900\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
                          method, path, id);
    int fd = site_connect(site_caller_ip(0), site_caller_port);
    ck_assert_int_eq(send(fd, request, (size_t)length, 0), length);
    return fd;
}

static bool request_has_ended(void *context)
{
    (void)context;
    return site_metric(GATEWAY, "completed_total") > 0;
}

static bool response_is_counted(void *context)
{
    (void)context;
    return site_metric(GATEWAY, "requests_bytes") > MIN_BUFFERED_BYTES;
}

static bool response_is_not_counted(void *context)
{
    (void)context;
    return site_metric(GATEWAY, "requests_bytes") < MIN_BUFFERED_BYTES;
}

/* The response of an ended request is buffered until its caller reads it, and counts as memory of requests. */
START_TEST(an_unread_response_counts_as_memory)
{
    site_set_mode(-1, SITE_LARGE);
    int fd = send_request("GET", "/safe/x", "unread");
    site_wait(request_has_ended, NULL, "the request ends");
    site_wait(response_is_counted, NULL, "the unread response counts as memory");
    close(fd);
    site_wait(response_is_not_counted, NULL, "the response no longer counts as memory");
}
END_TEST

static bool stream_is_paused(void *context)
{
    (void)context;
    return site_metric(GATEWAY, "pauses_total") > 0;
}

/* Reads to the end; checks that the event ids are 1, 2 and so on, and returns the number of events. */
static int count_events(int fd)
{
    struct buffer response = {0};
    ssize_t got = 0;
    int events = 0;
    do {
        got = recv(fd, buffer_reserve(&response, READ_BYTES), READ_BYTES, 0);
        response.length += got > 0 ? (size_t)got : 0;
    } while (got > 0);
    for (const char *at = strstr(buffer_text(&response), "id: "); at != NULL; at = strstr(at + 1, "id: ")) {
        int id = 0;
        ck_assert_int_eq(sscanf(at, "id: %d", &id), 1);
        ck_assert_int_eq(id, ++events);
    }
    buffer_close(&response);
    return events;
}

/* A server aborts a stream that is not read. Before its caller reads, the stream must not resume, as the server would
 * abort it again. */
START_TEST(an_unread_stream_resumes_when_its_caller_reads)
{
    site_set_mode(-1, SITE_ABORT_UNREAD);
    int fd = send_request("POST", "/open/chat/x", "slow");
    site_wait(stream_is_paused, NULL, "the stream is paused");
    clock_sleep_us(SERVER_ABORT_WAIT_MS * 1000); /* the server aborts the stream in this time */
    ck_assert_int_eq(site_run_count(-1), 1);
    ck_assert_int_eq(count_events(fd), SITE_LONG_EVENTS);
    ck_assert_int_eq(site_run_count(-1), 2);
    close(fd);
}
END_TEST

static void setup(void)
{
    site_start();
    site_set_mode(-1, SITE_NORMAL);
}

int main(int argc, char **argv)
{
    site_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("slow readers");
    TCase *tests = tcase_create("one site");
    tcase_set_timeout(tests, 60);
    tcase_add_checked_fixture(tests, setup, site_stop);
    tcase_add_test(tests, an_unread_response_counts_as_memory);
    tcase_add_test(tests, an_unread_stream_resumes_when_its_caller_reads);
    suite_add_tcase(suite, tests);
    return suite_run_without_fork(suite);
}
