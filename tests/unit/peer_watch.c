/*
 * Whether a watched exchange tells a silent machine from a server that takes its time: an upstream client before a
 * socket that a test reads as it likes.
 *
 * A server may leave a long request unread for a while. Its kernel answers, and says that there is no room; a time-out
 * of the connection (TCP_USER_TIMEOUT) ends it all the same, as if nothing had answered.
 */
#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/buffer.h"
#include "base/clock.h"
#include "net/peer_watch.h"
#include "net/upstream.h"
#include "suite.h"

enum {
    REQUEST_BYTES = 8 << 20, /* more than the sockets hold */
    SERVER_BUFFER = 1 << 16,
    UNREAD_MS = 3 * PEER_WATCH_SILENT_MS,
    LIMIT_MS = 20000
};

static uv_loop_t loop;
static struct upstream_pool pool;
static int listener;
static struct address address;
static bool ended;
static enum upstream_end end_seen;

static bool on_write(void *owner, struct buffer *request)
{
    size_t bytes = *(const size_t *)owner;
    buffer_printf(request, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: %zu\r\n\r\n", bytes);
    memset(buffer_reserve(request, bytes), 'x', bytes);
    request->length += bytes;
    return true;
}

static void on_head(void *owner, const struct http_reader *answer)
{
    (void)owner;
    (void)answer;
}

static void on_body(void *owner, struct view part)
{
    (void)owner;
    (void)part;
}

static void on_end(void *owner, enum upstream_end end)
{
    (void)owner;
    ended = true;
    end_seen = end;
}

static const struct upstream_events events = {on_write, on_head, on_body, on_end};

static void setup(void)
{
    struct sockaddr_in own = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t length = sizeof(own);
    int buffer = SERVER_BUFFER;
    char text[32];
    listener = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_eq(setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer)), 0);
    ck_assert_int_eq(bind(listener, (struct sockaddr *)&own, sizeof(own)), 0);
    ck_assert_int_eq(listen(listener, 1), 0);
    ck_assert_int_eq(getsockname(listener, (struct sockaddr *)&own, &length), 0);
    snprintf(text, sizeof(text), "127.0.0.1:%d", ntohs(own.sin_port));
    ck_assert(address_parse(text, &address));
    uv_loop_init(&loop);
    upstream_init(&pool, &loop);
    ended = false;
}

static void run_until(uint64_t end_ms)
{
    while (!ended && clock_monotonic_ms() < end_ms) {
        uv_run(&loop, UV_RUN_ONCE);
    }
}

/* Takes the whole request and answers it. */
static void serve(int file)
{
    static char part[1 << 16];
    static const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    size_t got = 0;
    uint64_t end_ms = clock_monotonic_ms() + LIMIT_MS;
    while (got < REQUEST_BYTES && !ended && clock_monotonic_ms() < end_ms) {
        ssize_t more = recv(file, part, sizeof(part), MSG_DONTWAIT);
        got += more > 0 ? (size_t)more : 0;
        uv_run(&loop, UV_RUN_NOWAIT);
    }
    while (recv(file, part, sizeof(part), MSG_DONTWAIT) > 0) {
    }
    ck_assert_int_eq(send(file, answer, sizeof(answer) - 1, MSG_NOSIGNAL), sizeof(answer) - 1);
}

static void expect_served_after(size_t bytes)
{
    struct upstream_exchange *exchange = upstream_start(&pool, &address, false, &events, &bytes);
    upstream_watch(exchange, true);
    int file = accept(listener, NULL, NULL);
    run_until(clock_monotonic_ms() + UNREAD_MS);
    ck_assert_msg(!ended, "a live server's exchange ended as %d", (int)end_seen);
    if (bytes >= REQUEST_BYTES) {
        serve(file);
    } else {
        ck_assert_int_eq(send(file, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 38, MSG_NOSIGNAL), 38);
    }
    run_until(clock_monotonic_ms() + LIMIT_MS);
    ck_assert(ended);
    ck_assert_int_eq(end_seen, UPSTREAM_DONE);
    close(file);
}

START_TEST(a_long_request_may_lie_unread)
{
    expect_served_after(REQUEST_BYTES);
}
END_TEST

START_TEST(an_answer_may_take_long)
{
    expect_served_after(1);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("peer watch");
    TCase *tests = tcase_create("one server");
    tcase_set_timeout(tests, 60);
    tcase_add_checked_fixture(tests, setup, NULL);
    tcase_add_test(tests, a_long_request_may_lie_unread);
    tcase_add_test(tests, an_answer_may_take_long);
    suite_add_tcase(suite, tests);
    return suite_run(suite);
}
