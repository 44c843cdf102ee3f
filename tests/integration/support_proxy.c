/* The proxy: one thread accepts, and one serves each connection. */
#include "proxy.h"

#include <check.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/buffer.h"
#include "base/clock.h"
#include "site.h"
#include "site_internal.h"

enum { PROXY_PIECE = 16 << 10, PROXY_LOOK_MS = 20, PROXY_DELAY_US = 30000 };

struct proxy {
    int listener;
    int target_port;
    atomic_int mode;
};

/* A connection and the one that it is passed on to. */
struct proxy_pair {
    struct proxy *proxy;
    int near;
    int far;
};

static void proxy_reset(int file)
{
    struct linger at_once = {.l_onoff = 1, .l_linger = 0};
    setsockopt(file, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
}

static bool proxy_send(int file, const char *data, size_t length)
{
    size_t sent = 0;
    while (sent < length) {
        ssize_t step = send(file, data + sent, length - sent, MSG_NOSIGNAL);
        if (step <= 0) {
            return false;
        }
        sent += (size_t)step;
    }
    return true;
}

/* Moves what has come from one side; false: that side has ended. */
static bool proxy_move(const struct proxy *proxy, int from, int to, enum proxy_mode loses)
{
    char piece[PROXY_PIECE];
    ssize_t got = recv(from, piece, sizeof(piece), 0);
    enum proxy_mode mode = (enum proxy_mode)atomic_load(&proxy->mode);
    if (got <= 0) {
        return false;
    }
    if (loses == PROXY_NO_REQUESTS) {
        site_note_lain(from);
    }
    if (mode == loses || mode == PROXY_SILENT) {
        return true;
    }
    if (mode == PROXY_DELAY) {
        clock_sleep_us(PROXY_DELAY_US);
    }
    return proxy_send(to, piece, (size_t)got);
}

static void *proxy_serve(void *argument)
{
    struct proxy_pair *pair = argument;
    struct pollfd files[2] = {{.fd = pair->near, .events = POLLIN}, {.fd = pair->far, .events = POLLIN}};
    bool open = pair->far >= 0;
    while (open && atomic_load(&pair->proxy->mode) != PROXY_RESET) {
        poll(files, 2, PROXY_LOOK_MS);
        if ((files[0].revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
            open = proxy_move(pair->proxy, pair->near, pair->far, PROXY_NO_REQUESTS);
        }
        if (open && (files[1].revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
            open = proxy_move(pair->proxy, pair->far, pair->near, PROXY_NO_ANSWERS);
        }
    }
    if (open) {
        proxy_reset(pair->near);
        proxy_reset(pair->far);
    }
    close(pair->near);
    if (pair->far >= 0) {
        close(pair->far);
    }
    free(pair);
    return NULL;
}

static void *proxy_accept(void *argument)
{
    struct proxy *proxy = argument;
    for (;;) {
        int file = accept(proxy->listener, NULL, NULL);
        if (file < 0) {
            return NULL;
        }
        struct proxy_pair *pair = memory_new(sizeof(*pair));
        pthread_t thread;
        pair->proxy = proxy;
        pair->near = file;
        pair->far = site_connect("127.0.0.1", proxy->target_port);
        pthread_create(&thread, NULL, proxy_serve, pair);
        pthread_detach(thread);
    }
}

struct proxy *proxy_start(int target_port, int *port)
{
    struct proxy *proxy = memory_new(sizeof(*proxy));
    pthread_t thread;
    proxy->target_port = target_port;
    proxy->listener = site_listen("127.0.0.1", port);
    ck_assert_int_eq(pthread_create(&thread, NULL, proxy_accept, proxy), 0);
    pthread_detach(thread);
    return proxy;
}

void proxy_set(struct proxy *proxy, enum proxy_mode mode)
{
    atomic_store(&proxy->mode, mode);
}
