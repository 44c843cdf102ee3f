/**
 * @file abusive_clients.h
 * Small crowds of clients that do not keep to the limits (integration/crowd.h), one
 * after the other, at random listeners of random daemons, beside the callers and the
 * faults. Memory that they claim and no share counts ends a daemon: violation "ended".
 */
#ifndef BANKBANK_TESTS_ABUSIVE_CLIENTS_H
#define BANKBANK_TESTS_ABUSIVE_CLIENTS_H

#include <stdint.h>

/** Starts the thread that plays the crowds. */
void abusive_clients_start(uint64_t seed);

void abusive_clients_stop(void);

/** Number of crowds played. */
int abusive_clients_count(void);

#endif
