#include "faults.h"

#include <stdbool.h>
#include <stdio.h>

#include "../integration/site.h"
#include "base/clock.h"
#include "daemons.h"
#include "lives.h"
#include "oracle.h"
#include "random.h"

enum {
    GAP_MS = 900,    /* most time between two faults */
    LASTS_MS = 2500, /* most time that one lasts */
    LEAST_MS = 50,   /* least time that one lasts */
    STARVED_LEAST_MS = 1000,
    STARVED_MORE_MS = 2000,
    OUTAGE_SOON_MS = 300, /* most time until the first ones come back after all were killed */
    START_MS = 400,       /* most time of a start that is killed */
    STARTS = 3,           /* most starts that are killed, less one */
    PLANNED_GAP_MS = 500, /* most time between two pieces of planned work */
    MIXED_MS = 5000,      /* time of a round of each kind */
    OUTAGE_MS = 4000,
    PLANNED_MS = 4000
};

/* What can happen. */
typedef enum fault_t {
    FAULT_KILL,
    FAULT_FREEZE,
    FAULT_STARVE,
    FAULT_STOP,
    FAULT_RELOAD,
    FAULT_KILL_STATES,
    FAULT_LOSE_DISK,
    FAULT_FULL_DISK,
    FAULT_SERVER,
    FAULT_PROXY,
    FAULT_LEAVE,
    FAULTS
} fault_t;

static uint64_t server_until_ms[SITE_SERVERS];
static uint64_t proxy_until_ms[SITE_SERVERS];
static uint64_t leave_until_ms[SITE_SERVERS];
static int count;
static uint64_t started_ms;
static uint64_t end_ms;

static uint64_t now_ms(void)
{
    return clock_monotonic_ms();
}

static void tell(const char *what, int where)
{
    count++;
    printf("%8.3f s  %s %d\n", (double)(now_ms() - started_ms) / 1000, what, where);
    fflush(stdout);
}

static uint64_t lasts(uint64_t *seed)
{
    return LEAST_MS + random_below(seed, LASTS_MS);
}

/* ---- Daemons ---------------------------------------------------------------- */

static void kill_one(uint64_t *seed, int daemon, uint64_t down_ms)
{
    int starts = (int)random_below(seed, 3) == 0 ? (int)random_below(seed, STARTS) : 0;
    uint64_t start_ms = LEAST_MS / 2 + random_below(seed, START_MS);
    daemons_kill(daemon, down_ms, daemons_is_state(daemon) ? starts : 0, start_ms);
}

static void disturb_daemon(uint64_t *seed, fault_t fault)
{
    int daemon = (int)random_below(seed, (uint32_t)daemons_count());
    if (!daemons_runs(daemon)) {
        return;
    }
    if (fault == FAULT_KILL) {
        tell("kill", daemon);
        kill_one(seed, daemon, lasts(seed));
    } else if (fault == FAULT_FREEZE) {
        tell("freeze", daemon);
        daemons_freeze(daemon, lasts(seed));
    } else if (fault == FAULT_STARVE) {
        tell("starve", daemon);
        daemons_starve(daemon, STARVED_LEAST_MS + random_below(seed, STARVED_MORE_MS));
    } else if (fault == FAULT_STOP) {
        tell("stop", daemon);
        daemons_stop(daemon);
    } else {
        tell("reload", daemon);
        daemons_reload(daemon);
    }
}

static void kill_states(uint64_t *seed)
{
    tell("kill all replicas", daemons_states());
    for (int i = 0; i < daemons_states(); i++) {
        kill_one(seed, site_state_daemon(i), lasts(seed));
    }
}

/* Gateways and one replica come back at once, or each daemon at a time of its own. */
static void kill_all(uint64_t *seed)
{
    bool one_soon = random_below(seed, 2) == 0;
    int soon = site_state_daemon((int)random_below(seed, (uint32_t)daemons_states()));
    tell("kill everything", daemons_count());
    for (int i = 0; i < daemons_count(); i++) {
        bool early = one_soon && (i == soon || !daemons_is_state(i));
        kill_one(seed, i, early ? LEAST_MS + random_below(seed, OUTAGE_SOON_MS) : lasts(seed));
    }
}

static void lose_disk(uint64_t *seed)
{
    int state = site_state_daemon((int)random_below(seed, (uint32_t)daemons_states()));
    if (daemons_lose_disk(state, lasts(seed))) {
        tell("lost the disk of", state);
    }
}

static void fill_disk(uint64_t *seed)
{
    int state = site_state_daemon((int)random_below(seed, (uint32_t)daemons_states()));
    if (daemons_runs(state)) {
        tell("fill the disk of", state);
        daemons_fill_disk(state, lasts(seed));
    }
}

/* ---- Servers ---------------------------------------------------------------- */

static void fail_server(uint64_t *seed)
{
    static const enum site_mode modes[] = {SITE_REFUSE, SITE_CUT,  SITE_CUT_MIDWAY, SITE_SLOW,
                                           SITE_STALL,  SITE_TORN, SITE_PAUSED};
    int server = (int)random_below(seed, SITE_SERVERS);
    enum site_mode mode = modes[random_below(seed, sizeof(modes) / sizeof(modes[0]))];
    uint64_t for_ms = lasts(seed);
    if (server_until_ms[server] == 0) {
        tell("fail server", server);
        lives_begin(LIVES_SERVERS, LIVES_FAILS);
        site_set_mode(server, mode);
        server_until_ms[server] = now_ms() + for_ms;
    }
}

static void disturb_proxy(uint64_t *seed)
{
    int server = (int)random_below(seed, SITE_SERVERS);
    enum proxy_mode mode = (enum proxy_mode)(1 + random_below(seed, PROXY_MODES - 1));
    uint64_t for_ms = lasts(seed);
    if (proxy_until_ms[server] == 0) {
        tell("disturb the way to server", server);
        lives_begin(LIVES_SERVERS, LIVES_FAILS);
        site_set_proxy(server, mode);
        proxy_until_ms[server] = now_ms() + for_ms;
    }
}

static void drain_server(uint64_t *seed)
{
    int server = (int)random_below(seed, SITE_SERVERS);
    uint64_t for_ms = lasts(seed);
    if (leave_until_ms[server] == 0) {
        tell("drain server", server);
        lives_begin(LIVES_SERVERS, LIVES_FAILS);
        site_set_draining(server, true);
        leave_until_ms[server] = now_ms() + for_ms;
    }
}

static bool is_over(uint64_t *until_ms)
{
    bool over = *until_ms != 0 && now_ms() >= *until_ms;
    *until_ms = over ? 0 : *until_ms;
    return over;
}

static void look_after_servers(void)
{
    for (int i = 0; i < SITE_SERVERS; i++) {
        if (is_over(&server_until_ms[i])) {
            site_set_mode(i, SITE_NORMAL);
            lives_end(LIVES_SERVERS, LIVES_FAILS);
        }
        if (is_over(&proxy_until_ms[i])) {
            site_set_proxy(i, PROXY_PASS);
            lives_end(LIVES_SERVERS, LIVES_FAILS);
        }
        if (is_over(&leave_until_ms[i])) {
            site_replace_server(i);
            lives_end(LIVES_SERVERS, LIVES_FAILS);
        }
    }
}

/* ---- Time ------------------------------------------------------------------- */

static void inject(uint64_t *seed)
{
    fault_t fault = (fault_t)random_below(seed, FAULTS);
    switch (fault) {
    case FAULT_KILL:
    case FAULT_FREEZE:
    case FAULT_STARVE:
    case FAULT_STOP:
    case FAULT_RELOAD: disturb_daemon(seed, fault); break;
    case FAULT_KILL_STATES: kill_states(seed); break;
    case FAULT_LOSE_DISK: lose_disk(seed); break;
    case FAULT_FULL_DISK: fill_disk(seed); break;
    case FAULT_SERVER: fail_server(seed); break;
    case FAULT_PROXY: disturb_proxy(seed); break;
    case FAULT_LEAVE: drain_server(seed); break;
    case FAULTS: break;
    }
}

/* Stops of gateways may overlap; of the state replicas one at a time stops, since the others are to go on. */
static void work_as_planned(uint64_t *seed)
{
    int daemon = (int)random_below(seed, (uint32_t)daemons_count());
    bool stops = random_below(seed, 2) == 0;
    if (!stops) {
        tell("reload", daemon);
        daemons_reload(daemon);
    } else if (daemons_runs(daemon) && (!daemons_is_state(daemon) || daemons_states_away() == 0)) {
        tell("stop", daemon);
        daemons_stop(daemon);
    }
}

static void pass(uint64_t duration_ms)
{
    uint64_t until_ms = now_ms() + duration_ms;
    while (now_ms() < until_ms) {
        daemons_look_after();
        look_after_servers();
        clock_sleep_us(DAEMONS_STEP_MS * 1000);
    }
}

static bool goes_on(uint64_t until_ms)
{
    return now_ms() < until_ms && now_ms() < end_ms && oracle_count() == 0;
}

static void run_mixed(uint64_t *seed)
{
    uint64_t until_ms = now_ms() + MIXED_MS;
    while (goes_on(until_ms)) {
        pass(random_below(seed, GAP_MS));
        inject(seed);
    }
}

static void run_outage(uint64_t *seed)
{
    uint64_t until_ms = now_ms() + OUTAGE_MS;
    if (goes_on(until_ms)) {
        kill_all(seed);
    }
    while (goes_on(until_ms)) {
        pass(random_below(seed, GAP_MS));
        disturb_daemon(seed, FAULT_STARVE);
    }
}

/* Planned work alone: what was under way before has ended. Servers take a moment, so that requests are under way. */
static void run_planned(uint64_t *seed)
{
    pass(goes_on(end_ms) ? LASTS_MS : 0);
    site_set_mode(-1, SITE_PACED);
    uint64_t until_ms = now_ms() + PLANNED_MS;
    while (goes_on(until_ms)) {
        pass(random_below(seed, PLANNED_GAP_MS));
        work_as_planned(seed);
    }
    site_set_mode(-1, SITE_NORMAL);
}

void faults_run(uint64_t seed, uint64_t duration_ms)
{
    started_ms = now_ms();
    end_ms = started_ms + duration_ms;
    while (goes_on(end_ms)) {
        run_mixed(&seed);
        run_outage(&seed);
        run_mixed(&seed);
        run_planned(&seed);
    }
}

static bool all_are_well(void *context)
{
    (void)context;
    pass(DAEMONS_STEP_MS);
    if (!daemons_are_whole()) {
        return false;
    }
    struct site_answer answer;
    site_call_as(0, "well", "POST", "/safe/x", "", "x", &answer);
    int status = answer.status;
    site_answer_close(&answer);
    return status == 200;
}

void faults_end(void)
{
    oracle_wish_t wish = {0};
    oracle_expect("well", &wish);
    pass(STARVED_LEAST_MS + STARVED_MORE_MS);
    site_wait(all_are_well, NULL, "the site is whole again");
}

int faults_count(void)
{
    return count;
}
