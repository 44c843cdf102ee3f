/**
 * @file ports.h
 * Ports of loopback for the processes of a test.
 *
 * A port that the kernel picks for a bind to port 0 may be given to two
 * processes of one test, or to a connection's own end before its process
 * listens. These ports come from below the kernel's range for connections.
 * One process gets each of them once, and holds those it may get against other
 * processes that take ports here, in blocks, until it ends.
 */
#ifndef BANKBANK_TESTS_PORTS_H
#define BANKBANK_TESTS_PORTS_H

enum {
    PORTS_FIRST = 12000, /* lowest port that is handed out */
    PORTS_COUNT = 20000, /* ports in the range; it ends below 32768, the kernel's lowest */
};

/** A port that is free at all addresses and was given to no process that runs; fails the test when none is left. */
int ports_take(void);

#endif
