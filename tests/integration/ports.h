/**
 * @file ports.h
 * Allocates loopback ports for the processes of a test.
 *
 * The ports are below the ephemeral range, since the kernel could assign a port in
 * it to a connection or another process before the intended process listens on it. A
 * process locks blocks of ports until it ends, and takes each port only once.
 */
#ifndef BANKBANK_TESTS_PORTS_H
#define BANKBANK_TESTS_PORTS_H

enum {
    PORTS_FIRST = 12000,
    PORTS_COUNT = 20000, /* ends below 32768, the start of the ephemeral range */
};

/** Returns a port that is free on all addresses and in no block of another process; fails the test if none is left. */
int ports_allocate(void);

#endif
