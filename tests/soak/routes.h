/**
 * @file routes.h
 * Configurations that add and drop routes, and what gateways may say of them.
 * All functions may be called from any thread.
 *
 * Version N has a route for each version from N - ROUTES_KEPT + 1 to N, /vM/ for
 * version M, beside those of the site's first configuration. So the route of M is
 * there in M and in ROUTES_KEPT - 1 versions after it, and what a version holds
 * follows from its number. Which versions are in force is known only from both
 * sides: no older one than the newest that was acknowledged ROUTES_APPLY_MS ago,
 * and none newer than the newest that was sent.
 *
 *   404 for a route whose version was acknowledged that long ago, and which even
 *   the newest version sent holds, is wrong from any gateway whose process was
 *   not made to stand still meanwhile: what it does not know it may refuse with
 *   503, but not deny. A process that has just started is judged too.
 *   404 for a route which the same process served before is wrong whatever was
 *   done to it.
 *   200 for a route that a version dropped which was acknowledged that long ago
 *   is wrong where nothing was done to this gateway for ROUTES_TOUCH_MS, and to the
 *   state replicas nothing but that one was asked to stop: only then is it sure to
 *   be in touch.
 */
#ifndef BANKBANK_TESTS_ROUTES_H
#define BANKBANK_TESTS_ROUTES_H

#include <stdbool.h>
#include <stdint.h>

enum {
    ROUTES_KEPT = 40,       /**< Versions that hold a route. */
    ROUTES_APPLY_MS = 2500, /**< An acknowledged version is in force everywhere by then. */
    ROUTES_TOUCH_MS = 4500, /**< A gateway is in touch when nothing was done to anyone for so long. */
    ROUTES_NEAR = 3,        /**< The newest such versions are asked for. */
    ROUTES_VERSIONS = 1 << 16
};

/** What one request asks for. */
typedef struct routes_asked_t {
    uint64_t version; /**< Its route's version. */
    bool due;         /**< It was acknowledged long enough ago. */
    bool dropped;     /**< A version that was acknowledged long enough ago has dropped it. */
    int daemon;       /**< The gateway. */
    uint64_t life;    /**< Its process. */
    uint64_t seen;    /**< The newest version that this process has shown. */
    uint64_t sent_ms; /**< When it is sent. */
} routes_asked_t;

/** The first version is in force. */
void routes_open(void);

/** Takes the next version's number, to be sent. */
uint64_t routes_next(void);

/** Notes that a version was acknowledged; tells the newest that was. */
void routes_acknowledged(uint64_t version);
uint64_t routes_newest(void);

/** Number of versions that were acknowledged. */
uint64_t routes_count(void);

/** Most servers that the route of a version allows: one or two, in turn. */
int routes_servers(uint64_t version);

/** A version's configuration; the caller frees it. */
char *routes_configuration(uint64_t version);

/** Chooses what to ask of a gateway, just before it is sent; false: there is nothing yet. */
bool routes_choose(uint64_t *seed, int daemon, routes_asked_t *asked);

/** Judges the answer's status as soon as it has come. */
void routes_judge(const routes_asked_t *asked, int status);

#endif
