/**
 * @file lives.h
 * What was done to the daemons, the servers and the ways to them, and when:
 * judging asks whether a process was left alone for a time, and whether it is
 * still the same one. All functions may be called from any thread.
 */
#ifndef BANKBANK_TESTS_LIVES_H
#define BANKBANK_TESTS_LIVES_H

#include <stdbool.h>
#include <stdint.h>

enum {
    LIVES_MOST = 40,            /**< Daemons. */
    LIVES_SERVERS = LIVES_MOST, /**< Stands for the servers and the ways to them. */
    LIVES_SPANS = 512           /**< Spans that are kept of each; older ones are forgotten. */
};

/** What is done to one. */
typedef enum lives_kind_t {
    LIVES_DOWN = 1,     /**< Killed and not started again. */
    LIVES_STILL = 2,    /**< Stopped by a signal, or made to run a tenth of the time. */
    LIVES_STOPPING = 4, /**< Asked to stop: planned work. */
    LIVES_DISK = 8,     /**< Its disk is full. */
    LIVES_FAILS = 16,   /**< A server fails or leaves, or the way to it does. */
    LIVES_UNPLANNED = LIVES_DOWN | LIVES_STILL | LIVES_DISK | LIVES_FAILS
} lives_kind_t;

/** Notes that something begins, before it does, and that it has ended. */
void lives_begin(int who, lives_kind_t kind);
void lives_end(int who, lives_kind_t kind);

/** Whether any of these kinds went on at some time of a span. */
bool lives_touched(int who, unsigned kinds, uint64_t from_ms, uint64_t to_ms);

/** The same of the first `daemons` daemons and the servers. */
bool lives_any_touched(int daemons, unsigned kinds, uint64_t from_ms, uint64_t to_ms);

/** Notes that a daemon's process was started; tells how often it was. */
void lives_start(int who);
uint64_t lives_number(int who);

#endif
