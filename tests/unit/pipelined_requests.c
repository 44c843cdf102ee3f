/*
 * Guards against a pipelined request that gets the receive time of an earlier request on its connection, so that its
 * deadline passes too early. The client always keeps PIPELINED requests outstanding.
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "net/http_listener.h"
#include "suite.h"

enum { PIPELINED = 3, RESPONSE_MS = 10, RUN_MS = 1500, MAX_ERROR_MS = 500 };

static uv_loop_t loop;
static struct http_listener listener;
static struct http_call *current_call;
static uv_timer_t response_timer;
static uv_timer_t client_timer;
static int fd;
static int outstanding;
static uint64_t sent_ms[PIPELINED]; /* of the outstanding requests, oldest first */
static uint64_t max_error_ms;       /* largest time by which a receive time was too early */
static uint64_t start_ms;

static void on_response_timer(uv_timer_t *timer)
{
    (void)timer;
    struct http_call *call = current_call;
    current_call = NULL;
    http_call_send_response(call, 200, NULL, "text/plain", view_of_string("ok"));
}

static void on_request(void *context, struct http_call *call)
{
    (void)context;
    uint64_t error_ms = sent_ms[0] > call->received_ms ? sent_ms[0] - call->received_ms : 0;
    max_error_ms = error_ms > max_error_ms ? error_ms : max_error_ms;
    current_call = call;
    uv_timer_start(&response_timer, on_response_timer, RESPONSE_MS, 0);
}

static void on_disconnected(void *context, struct http_call *call)
{
    (void)context;
    (void)call;
    current_call = NULL;
}

static void send_pipelined(void)
{
    static const char request[] = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
    while (outstanding < PIPELINED) {
        ck_assert_int_eq(write(fd, request, sizeof(request) - 1), sizeof(request) - 1);
        sent_ms[outstanding++] = uv_now(&loop);
    }
}

static void on_client_tick(uv_timer_t *timer)
{
    char text[4096];
    ssize_t got = read(fd, text, sizeof(text) - 1);
    text[got > 0 ? got : 0] = '\0';
    for (char *at = strstr(text, "HTTP/1.1 200"); at != NULL; at = strstr(at + 1, "HTTP/1.1 200")) {
        outstanding--;
        memmove(sent_ms, sent_ms + 1, (PIPELINED - 1) * sizeof(sent_ms[0]));
    }
    send_pipelined();
    if (uv_now(&loop) >= start_ms + RUN_MS) {
        uv_timer_stop(timer);
        uv_stop(&loop);
    }
}

START_TEST(pipelined_request_has_its_own_receive_time)
{
    struct http_handler handler = {.request = on_request, .disconnected = on_disconnected};
    struct http_limits limits = {16 << 10, 1 << 20, 5000, 15000, 0};
    struct address address;
    struct sockaddr_in listen_address;
    int length = sizeof(listen_address);
    ck_assert(address_parse("127.0.0.1:0", &address));
    uv_loop_init(&loop);
    ck_assert_int_eq(http_listener_start(&listener, &loop, &address, &handler, &limits), 0);
    uv_tcp_getsockname(&listener.socket, (struct sockaddr *)&listen_address, &length);
    fd = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_eq(connect(fd, (struct sockaddr *)&listen_address, sizeof(listen_address)), 0);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    uv_timer_init(&loop, &response_timer);
    uv_timer_init(&loop, &client_timer);
    start_ms = uv_now(&loop);
    send_pipelined();
    uv_timer_start(&client_timer, on_client_tick, 1, 1);
    uv_run(&loop, UV_RUN_DEFAULT);
    ck_assert_msg(max_error_ms < MAX_ERROR_MS, "a receive time was %llu ms too early",
                  (unsigned long long)max_error_ms);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("pipelined requests");
    TCase *tests = tcase_create("listener");
    tcase_add_test(tests, pipelined_request_has_its_own_receive_time);
    suite_add_tcase(suite, tests);
    return suite_run(suite);
}
