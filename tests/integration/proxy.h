/**
 * @file proxy.h
 * A TCP proxy on the loopback, in the test's own process, that misbehaves on
 * demand: what a network does to connections between processes.
 */
#ifndef BANKBANK_TESTS_PROXY_H
#define BANKBANK_TESTS_PROXY_H

/** What a proxy does to its connections, those that are open included. */
enum proxy_mode {
    PROXY_PASS,        /**< Passes all bytes on. */
    PROXY_DELAY,       /**< Holds each piece back for some milliseconds. */
    PROXY_RESET,       /**< Resets connections. */
    PROXY_NO_REQUESTS, /**< What the dialling side sends is lost. */
    PROXY_NO_ANSWERS,  /**< What the other side sends is lost. */
    PROXY_SILENT,      /**< Both are lost. */
    PROXY_MODES        /**< Number of modes. */
};

/** A proxy; lives as long as the process. */
struct proxy;

/** Starts one on a free port of 127.0.0.1 before a port there; tells its port. */
struct proxy *proxy_start(int target_port, int *port);

/** Changes what it does. */
void proxy_set(struct proxy *proxy, enum proxy_mode mode);

#endif
