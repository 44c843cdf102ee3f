#include "routes.h"

#include <pthread.h>

#include "../integration/site.h"
#include "base/clock.h"
#include "daemons.h"
#include "lives.h"
#include "oracle.h"
#include "random.h"

/* What a gateway's process has shown. */
typedef struct routes_seen_t {
    uint64_t life;
    uint64_t version;
} routes_seen_t;

static pthread_mutex_t routes_lock = PTHREAD_MUTEX_INITIALIZER;
static uint64_t routes_sent;                          /* newest that was sent */
static uint64_t routes_known;                         /* newest that was acknowledged */
static uint64_t routes_known_ms[ROUTES_VERSIONS + 1]; /* when each was, or one above it first; 0: not yet */
static uint64_t routes_acknowledgements;
static routes_seen_t routes_seen[LIVES_MOST];

void routes_open(void)
{
    routes_sent = 1;
    routes_known = 1;
    routes_known_ms[1] = clock_monotonic_ms();
}

uint64_t routes_next(void)
{
    pthread_mutex_lock(&routes_lock);
    uint64_t version = routes_sent < ROUTES_VERSIONS ? ++routes_sent : routes_sent;
    pthread_mutex_unlock(&routes_lock);
    return version;
}

void routes_acknowledged(uint64_t version)
{
    pthread_mutex_lock(&routes_lock);
    for (uint64_t i = routes_known + 1; i <= version; i++) {
        routes_known_ms[i] = clock_monotonic_ms();
    }
    routes_known = version > routes_known ? version : routes_known;
    routes_acknowledgements++;
    pthread_mutex_unlock(&routes_lock);
}

uint64_t routes_newest(void)
{
    pthread_mutex_lock(&routes_lock);
    uint64_t version = routes_known;
    pthread_mutex_unlock(&routes_lock);
    return version;
}

uint64_t routes_count(void)
{
    pthread_mutex_lock(&routes_lock);
    uint64_t acknowledgements = routes_acknowledgements;
    pthread_mutex_unlock(&routes_lock);
    return acknowledgements;
}

int routes_servers(uint64_t version)
{
    return version % 2 == 0 ? 1 : 2;
}

char *routes_configuration(uint64_t version)
{
    struct buffer added = {0};
    uint64_t first = version > ROUTES_KEPT ? version - ROUTES_KEPT + 1 : 2;
    buffer_append_text(&added, "");
    for (uint64_t i = first; i <= version; i++) {
        buffer_printf(&added,
                      "},{\"name\":\"v%llu\",\"host\":\"app.example\",\"path-prefix\":\"/v%llu/\",\"kind\":\"safe\","
                      "\"timeout-ms\":3000,\"service\":\"plain\",\"max-attempts\":%d",
                      (unsigned long long)i, (unsigned long long)i, routes_servers(i));
    }
    char *text = site_configuration((int)version, buffer_text(&added));
    buffer_close(&added);
    return text;
}

/* With the lock held: the newest version that was acknowledged by then; 0: none. */
static uint64_t routes_known_by(uint64_t by_ms)
{
    uint64_t version = routes_known;
    while (version > 0 && routes_known_ms[version] > by_ms) {
        version--;
    }
    return version;
}

/* With the lock held. */
static uint64_t routes_wish(uint64_t *seed, uint64_t due)
{
    uint64_t back = random_below(seed, ROUTES_NEAR);
    switch (random_below(seed, 4)) {
    case 0: return routes_known;
    case 1: return due > ROUTES_KEPT + back ? due - ROUTES_KEPT - back : 0;
    default: return due > back ? due - back : 0;
    }
}

bool routes_choose(uint64_t *seed, int daemon, routes_asked_t *asked)
{
    pthread_mutex_lock(&routes_lock);
    uint64_t now_ms = clock_monotonic_ms();
    uint64_t due = now_ms > ROUTES_APPLY_MS ? routes_known_by(now_ms - ROUTES_APPLY_MS) : 0;
    uint64_t life = lives_number(daemon);
    *asked = (routes_asked_t){
        .version = routes_wish(seed, due),
        .daemon = daemon,
        .life = life,
        .seen = routes_seen[daemon].life == life ? routes_seen[daemon].version : 0,
        .sent_ms = now_ms,
    };
    asked->due = asked->version <= due;
    asked->dropped = asked->version + ROUTES_KEPT <= due;
    pthread_mutex_unlock(&routes_lock);
    return asked->version > 1;
}

static void routes_denied(const routes_asked_t *asked, uint64_t sent, bool same_life)
{
    uint64_t now_ms = clock_monotonic_ms();
    if (asked->version + ROUTES_KEPT <= sent) {
        return;
    }
    if (same_life && asked->seen >= asked->version) {
        oracle_violated("regressed: daemon %d denies the route of version %llu and has shown version %llu",
                        asked->daemon, (unsigned long long)asked->version, (unsigned long long)asked->seen);
    } else if (asked->due && !lives_touched(asked->daemon, LIVES_STILL, asked->sent_ms - ROUTES_APPLY_MS, now_ms)) {
        oracle_violated("route: daemon %d denies the route of version %llu, acknowledged %llu ms before", asked->daemon,
                        (unsigned long long)asked->version,
                        (unsigned long long)(asked->sent_ms - routes_known_ms[asked->version]));
    }
}

/* One replica that is asked to stop leaves the others in touch with everybody. */
static bool routes_in_touch(const routes_asked_t *asked)
{
    uint64_t from_ms = asked->sent_ms - ROUTES_TOUCH_MS;
    uint64_t now_ms = clock_monotonic_ms();
    bool touched = lives_touched(asked->daemon, LIVES_UNPLANNED | LIVES_STOPPING, from_ms, now_ms);
    int stopping = 0;
    for (int i = 0; i < daemons_states(); i++) {
        touched = touched || lives_touched(site_state_daemon(i), LIVES_UNPLANNED, from_ms, now_ms);
        stopping += lives_touched(site_state_daemon(i), LIVES_STOPPING, from_ms, now_ms) ? 1 : 0;
    }
    return !touched && stopping <= 1;
}

static void routes_served(const routes_asked_t *asked, bool same_life)
{
    if (same_life && asked->seen >= asked->version + ROUTES_KEPT) {
        oracle_violated("regressed: daemon %d serves the route of version %llu and has shown version %llu",
                        asked->daemon, (unsigned long long)asked->version, (unsigned long long)asked->seen);
    } else if (asked->dropped && routes_in_touch(asked)) {
        oracle_violated("route: daemon %d serves the route of version %llu, dropped %llu ms before", asked->daemon,
                        (unsigned long long)asked->version,
                        (unsigned long long)(asked->sent_ms - routes_known_ms[asked->version + ROUTES_KEPT]));
    }
}

void routes_judge(const routes_asked_t *asked, int status)
{
    pthread_mutex_lock(&routes_lock);
    routes_seen_t *seen = &routes_seen[asked->daemon];
    uint64_t sent = routes_sent;
    bool same_life = lives_number(asked->daemon) == asked->life;
    if (status == 200 && same_life && (seen->life != asked->life || seen->version < asked->version)) {
        *seen = (routes_seen_t){asked->life, asked->version};
    }
    pthread_mutex_unlock(&routes_lock);
    if (status == 404) {
        routes_denied(asked, sent, same_life);
    } else if (status == 200) {
        routes_served(asked, same_life);
    }
}
