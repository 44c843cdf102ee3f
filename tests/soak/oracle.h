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
 *   servers         a request begins on no more servers than its route allows;
 *                   a server that was replaced meanwhile is left out
 *   deadline        a server is told a time that ends with the caller's own,
 *                   ORACLE_LATE_MS later at most, and as much more as the
 *                   soak's own threads read late
 *   route           a route that was added, acknowledged and not dropped since is
 *                   not refused with 404; one that was dropped is not served
 *                   where everything was well (routes.h)
 *   regressed       a process that showed a configuration shows no older one (routes.h)
 *   unanswered      a request that a server began, in its time, does not end
 *                   without an answer unless the gateway was killed (calls.h)
 *   cut             beside planned work alone, no answer ends before it is whole (calls.h)
 */
#ifndef BANKBANK_TESTS_ORACLE_H
#define BANKBANK_TESTS_ORACLE_H

#include <stdbool.h>
#include <stdint.h>

#include "../integration/site.h"
#include "base/buffer.h"

enum {
    ORACLE_READERS = 2,   /**< Readers of a request behind its gateway that are threads of the soak itself. */
    ORACLE_LATE_MS = 500, /**< A server's time ends no later than so long after the caller's own. */
    ORACLE_SERVERS = 8    /**< Servers of one request that are told apart. */
};

/** What a request is to hold to. */
typedef struct oracle_wish_t {
    bool once;            /**< It may begin at servers once. */
    struct view expected; /**< The body that a server is to get; NULL data: any. */
    int servers;          /**< Most servers that it may begin on; 0: any number. */
    uint64_t end_ms;      /**< When the caller's time is over; 0: it told none. */
} oracle_wish_t;

/** Notes a request before it is sent. */
void oracle_expect(const char *id, const oracle_wish_t *wish);

/** Notes that a server began a request. */
void oracle_run(const site_run_t *run);

/** How often servers began a request. */
int oracle_runs(const char *id);

/** Notes that a refusal said that a request did not run; it is held to that until the end. */
void oracle_not_run(const char *id);

/** Notes a violation. */
void oracle_violated(const char *format, ...) __attribute__((format(printf, 1, 2)));

/** Looks at what may be judged only at the end; returns the number of violations, all of which were printed. */
int oracle_end(void);

/** Number of violations so far. */
int oracle_count(void);

#endif
