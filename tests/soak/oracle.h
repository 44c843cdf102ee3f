/**
 * @file oracle.h
 * What must hold whatever fails, checked from what callers and servers see.
 * All functions may be called from any thread.
 *
 *   run twice       a request that may not be repeated begins at servers once
 *   not run         a request whose refusal says so never begins
 *   mixed           an answer is the caller's own, and whole where it looks so
 *   history         a server gets a turn with exactly what was said before it
 *   turn lost       a turn that was acknowledged can be gone on from
 *   budget          a program is handed out no more than its budget
 *   reverted        a configuration that was acknowledged is not read back older
 *   ended           no process ends by itself
 */
#ifndef BANKBANK_TESTS_ORACLE_H
#define BANKBANK_TESTS_ORACLE_H

#include <stdbool.h>

#include "base/buffer.h"

/** What a request is to hold to. */
typedef struct oracle_wish_t {
    bool once;            /**< It may begin at servers once. */
    struct view expected; /**< The body that a server is to get; NULL data: any. */
} oracle_wish_t;

/** Notes a request before it is sent. */
void oracle_expect(const char *id, const oracle_wish_t *wish);

/** Notes that a server began a request. */
void oracle_run(int server, const char *id, struct view body);

/** Notes that a refusal said that a request did not run; it is held to that until the end. */
void oracle_not_run(const char *id);

/** Notes a violation. */
void oracle_violated(const char *format, ...) __attribute__((format(printf, 1, 2)));

/** Looks at what may be judged only at the end; returns the number of violations, all of which were printed. */
int oracle_end(void);

/** Number of violations so far. */
int oracle_count(void);

#endif
