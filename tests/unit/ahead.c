/*
 * When a request came, on a connection whose client sends ahead.
 *
 * A client that always has three requests on their way, each answered within
 * milliseconds: a request of a second later counts as come when the first ones
 * did, so that a caller's time is over before its request is looked at.
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "net/http_listener.h"
#include "suite.h"

enum { AHEAD = 3, ANSWER_MS = 10, RUN_MS = 1500, BOUND_MS = 500 };

static uv_loop_t loop;
static struct http_listener listener;
static struct http_call *under_way;
static uv_timer_t answer_due;
static uv_timer_t client_turn;
static int file;
static int outstanding;
static uint64_t sent_ms[AHEAD]; /* of the requests on their way, oldest first */
static uint64_t worst_ms;       /* by which a request was taken to be older than it is */
static uint64_t begun_ms;

static void on_answer_due(uv_timer_t *timer)
{
    (void)timer;
    struct http_call *call = under_way;
    under_way = NULL;
    http_call_reply(call, 200, NULL, "text/plain", view_of_string("ok"));
}

static void on_request(void *context, struct http_call *call)
{
    (void)context;
    uint64_t early_ms = sent_ms[0] > call->received_ms ? sent_ms[0] - call->received_ms : 0;
    worst_ms = early_ms > worst_ms ? early_ms : worst_ms;
    under_way = call;
    uv_timer_start(&answer_due, on_answer_due, ANSWER_MS, 0);
}

static void on_gone(void *context, struct http_call *call)
{
    (void)context;
    (void)call;
    under_way = NULL;
}

static void send_ahead(void)
{
    static const char request[] = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
    while (outstanding < AHEAD) {
        ck_assert_int_eq(write(file, request, sizeof(request) - 1), sizeof(request) - 1);
        sent_ms[outstanding++] = uv_now(&loop);
    }
}

static void on_client_turn(uv_timer_t *timer)
{
    char text[4096];
    ssize_t got = read(file, text, sizeof(text) - 1);
    text[got > 0 ? got : 0] = '\0';
    for (char *at = strstr(text, "HTTP/1.1 200"); at != NULL; at = strstr(at + 1, "HTTP/1.1 200")) {
        outstanding--;
        memmove(sent_ms, sent_ms + 1, (AHEAD - 1) * sizeof(sent_ms[0]));
    }
    send_ahead();
    if (uv_now(&loop) >= begun_ms + RUN_MS) {
        uv_timer_stop(timer);
        uv_stop(&loop);
    }
}

START_TEST(a_request_sent_ahead_did_not_come_with_those_before_it)
{
    struct http_handler handler = {.request = on_request, .gone = on_gone};
    struct http_limits limits = {16 << 10, 1 << 20, 5000, 15000, 0};
    struct address address;
    struct sockaddr_in at;
    int length = sizeof(at);
    ck_assert(address_parse("127.0.0.1:0", &address));
    uv_loop_init(&loop);
    ck_assert_int_eq(http_listener_start(&listener, &loop, &address, &handler, &limits), 0);
    uv_tcp_getsockname(&listener.socket, (struct sockaddr *)&at, &length);
    file = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_eq(connect(file, (struct sockaddr *)&at, sizeof(at)), 0);
    fcntl(file, F_SETFL, O_NONBLOCK);
    uv_timer_init(&loop, &answer_due);
    uv_timer_init(&loop, &client_turn);
    begun_ms = uv_now(&loop);
    send_ahead();
    uv_timer_start(&client_turn, on_client_turn, 1, 1);
    uv_run(&loop, UV_RUN_DEFAULT);
    ck_assert_msg(worst_ms < BOUND_MS, "a request counted as %llu ms older than it was", (unsigned long long)worst_ms);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("ahead");
    TCase *tests = tcase_create("listener");
    tcase_add_test(tests, a_request_sent_ahead_did_not_come_with_those_before_it);
    suite_add_tcase(suite, tests);
    return suite_run(suite);
}
