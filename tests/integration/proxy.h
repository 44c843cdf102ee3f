/**
 * @file proxy.h
 * A TCP proxy on the loopback interface, in threads of the test process, that
 * simulates network faults on the connections between processes.
 */
#ifndef BANKBANK_TESTS_PROXY_H
#define BANKBANK_TESTS_PROXY_H

/** What a proxy does; a change of the mode also applies to open connections. */
enum proxy_mode {
    PROXY_PASS,
    PROXY_DELAY, /**< Delays each chunk by PROXY_DELAY_US. */
    PROXY_RESET,
    PROXY_DROP_REQUESTS,  /**< Drops bytes from the client; the connections stay open, and silent from then on. */
    PROXY_DROP_RESPONSES, /**< Drops bytes from the target; the connections stay open, and silent from then on. */
    PROXY_DROP_ALL,
    PROXY_MODE_COUNT
};

/** Runs until the process ends. */
struct proxy;

/** Forwards connections to `target_port` of 127.0.0.1; `port` receives the proxy's own port, a free one. */
struct proxy *proxy_start(int target_port, int *port);

void proxy_set_mode(struct proxy *proxy, enum proxy_mode mode);

#endif
