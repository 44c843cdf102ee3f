#include "faults.h"

#include <check.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include "../integration/site.h"
#include "base/clock.h"
#include "oracle.h"
#include "random.h"

enum {
    DAEMONS = SITE_STATES + SITE_GATEWAYS,
    STEP_MS = 20,
    GAP_MS = 900,    /* most time between two faults */
    LASTS_MS = 2500, /* most time that one lasts */
    CALM_MS = 3000,  /* a disk is lost only so long after the last fault of a state replica: one loss at a time */
    STOP_MS = 10000  /* a stop that was asked for is over by then */
};

/** What can happen. */
typedef enum fault_t {
    FAULT_KILL,
    FAULT_FREEZE,
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

/** What goes on with a daemon. */
typedef enum daemon_state_t { DAEMON_RUNS, DAEMON_DOWN, DAEMON_FROZEN, DAEMON_STOPPING } daemon_state_t;

static daemon_state_t states[DAEMONS];
static uint64_t until_ms[DAEMONS]; /* when that ends */
static uint64_t full_until_ms[SITE_STATES];
static uint64_t server_until_ms[SITE_SERVERS];
static uint64_t proxy_until_ms[SITE_SERVERS];
static uint64_t leave_until_ms[SITE_SERVERS];
static uint64_t state_fault_ms;
static int count;
static uint64_t started_ms;

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
    return now_ms() + 50 + random_below(seed, LASTS_MS);
}

/* ---- Daemons ---------------------------------------------------------------- */

/* Nobody but this file ends a daemon. */
static void check_running(int daemon)
{
    int status = 0;
    if (waitpid(site_process(daemon), &status, WNOHANG) != 0) {
        oracle_violated("ended: daemon %d ended by itself, status %x", daemon, (unsigned)status);
        site_start_daemon(daemon);
    }
}

static void check_stop(int daemon)
{
    int status = 0;
    bool ended = waitpid(site_process(daemon), &status, WNOHANG) != 0;
    if (ended && !(WIFEXITED(status) && WEXITSTATUS(status) == 0)) {
        oracle_violated("ended: daemon %d was asked to stop and ended with %x", daemon, (unsigned)status);
    }
    if (!ended && now_ms() >= until_ms[daemon]) {
        oracle_violated("ended: daemon %d was asked to stop and did not", daemon);
        site_end_daemon(daemon, SIGKILL);
        ended = true;
    }
    if (ended) {
        site_start_daemon(daemon);
        states[daemon] = DAEMON_RUNS;
    }
}

static void look_after(int daemon)
{
    bool over = now_ms() >= until_ms[daemon];
    switch (states[daemon]) {
    case DAEMON_RUNS: check_running(daemon); break;
    case DAEMON_DOWN:
        if (over) {
            site_start_daemon(daemon);
            states[daemon] = DAEMON_RUNS;
        }
        break;
    case DAEMON_FROZEN:
        if (over) {
            kill(site_process(daemon), SIGCONT);
            states[daemon] = DAEMON_RUNS;
        }
        break;
    case DAEMON_STOPPING: check_stop(daemon); break;
    }
    if (daemon < SITE_STATES && states[daemon] != DAEMON_RUNS) {
        state_fault_ms = now_ms();
    }
}

static void kill_daemon(int daemon, uint64_t end_ms)
{
    if (states[daemon] == DAEMON_RUNS) {
        site_end_daemon(daemon, SIGKILL);
        states[daemon] = DAEMON_DOWN;
        until_ms[daemon] = end_ms;
    }
}

/* ---- Faults ----------------------------------------------------------------- */

static void signal_daemon(uint64_t *seed, fault_t fault)
{
    int daemon = (int)random_below(seed, DAEMONS);
    if (states[daemon] != DAEMON_RUNS) {
        return;
    }
    if (fault == FAULT_KILL) {
        tell("kill", daemon);
        kill_daemon(daemon, lasts(seed));
    } else if (fault == FAULT_FREEZE) {
        tell("freeze", daemon);
        kill(site_process(daemon), SIGSTOP);
        states[daemon] = DAEMON_FROZEN;
        until_ms[daemon] = lasts(seed);
    } else if (fault == FAULT_STOP) {
        tell("stop", daemon);
        kill(site_process(daemon), SIGTERM);
        states[daemon] = DAEMON_STOPPING;
        until_ms[daemon] = now_ms() + STOP_MS;
    } else {
        tell("reload", daemon);
        kill(site_process(daemon), SIGHUP);
    }
}

static void kill_states(uint64_t *seed)
{
    tell("kill all replicas", SITE_STATES);
    for (int i = 0; i < SITE_STATES; i++) {
        kill_daemon(i, lasts(seed));
    }
}

/* The others have everything that was acknowledged: they were well for a while, and count as members. */
static bool may_lose_disk(int state)
{
    if (now_ms() < state_fault_ms + CALM_MS) {
        return false;
    }
    for (int i = 0; i < SITE_STATES; i++) {
        if (states[i] != DAEMON_RUNS || now_ms() < full_until_ms[i] + CALM_MS ||
            (i != state && site_metric(i, "raft_members") != SITE_STATES)) {
            return false;
        }
    }
    return true;
}

static void lose_disk(uint64_t *seed)
{
    int state = (int)random_below(seed, SITE_STATES);
    if (may_lose_disk(state)) {
        tell("lose the disk of", state);
        kill_daemon(state, lasts(seed));
        site_lose_disk(state);
    }
}

static void fill_disk(uint64_t *seed)
{
    int state = (int)random_below(seed, SITE_STATES);
    if (states[state] == DAEMON_RUNS) {
        tell("fill the disk of", state);
        site_set_disk_full(state, true);
        full_until_ms[state] = lasts(seed);
    }
}

static void fail_server(uint64_t *seed)
{
    static const enum site_mode modes[] = {SITE_REFUSE, SITE_CUT, SITE_CUT_MIDWAY, SITE_SLOW, SITE_STALL, SITE_TORN};
    int server = (int)random_below(seed, SITE_SERVERS);
    tell("fail server", server);
    site_set_mode(server, modes[random_below(seed, sizeof(modes) / sizeof(modes[0]))]);
    server_until_ms[server] = lasts(seed);
}

static void disturb_proxy(uint64_t *seed)
{
    int server = (int)random_below(seed, SITE_SERVERS);
    enum proxy_mode mode = (enum proxy_mode)(1 + random_below(seed, PROXY_MODES - 1));
    tell("disturb the way to server", server);
    site_set_proxy(server, mode);
    proxy_until_ms[server] = lasts(seed);
}

static void drain_server(uint64_t *seed)
{
    int server = (int)random_below(seed, SITE_SERVERS);
    if (leave_until_ms[server] != 0) {
        return;
    }
    tell("drain server", server);
    site_set_draining(server, true);
    leave_until_ms[server] = lasts(seed);
}

static void inject(uint64_t *seed)
{
    fault_t fault = (fault_t)random_below(seed, FAULTS);
    switch (fault) {
    case FAULT_KILL:
    case FAULT_FREEZE:
    case FAULT_STOP:
    case FAULT_RELOAD: signal_daemon(seed, fault); break;
    case FAULT_KILL_STATES: kill_states(seed); break;
    case FAULT_LOSE_DISK: lose_disk(seed); break;
    case FAULT_FULL_DISK: fill_disk(seed); break;
    case FAULT_SERVER: fail_server(seed); break;
    case FAULT_PROXY: disturb_proxy(seed); break;
    case FAULT_LEAVE: drain_server(seed); break;
    case FAULTS: break;
    }
}

/* ---- Time ------------------------------------------------------------------- */

static void look_after_all(void)
{
    for (int i = 0; i < DAEMONS; i++) {
        look_after(i);
    }
    for (int i = 0; i < SITE_STATES; i++) {
        if (full_until_ms[i] != 0 && now_ms() >= full_until_ms[i]) {
            site_set_disk_full(i, false);
            full_until_ms[i] = 0;
            state_fault_ms = now_ms();
        }
    }
    for (int i = 0; i < SITE_SERVERS; i++) {
        if (server_until_ms[i] != 0 && now_ms() >= server_until_ms[i]) {
            site_set_mode(i, SITE_NORMAL);
            server_until_ms[i] = 0;
        }
        if (proxy_until_ms[i] != 0 && now_ms() >= proxy_until_ms[i]) {
            site_set_proxy(i, PROXY_PASS);
            proxy_until_ms[i] = 0;
        }
        if (leave_until_ms[i] != 0 && now_ms() >= leave_until_ms[i]) {
            site_replace_server(i);
            leave_until_ms[i] = 0;
        }
    }
}

static void pass(uint64_t duration_ms)
{
    uint64_t end_ms = now_ms() + duration_ms;
    while (now_ms() < end_ms) {
        look_after_all();
        clock_sleep_us(STEP_MS * 1000);
    }
}

void faults_run(uint64_t seed, uint64_t duration_ms)
{
    started_ms = now_ms();
    state_fault_ms = started_ms;
    while (now_ms() < started_ms + duration_ms && oracle_count() == 0) {
        pass(random_below(&seed, GAP_MS));
        inject(&seed);
    }
}

static bool all_are_well(void *context)
{
    (void)context;
    look_after_all();
    for (int i = 0; i < DAEMONS; i++) {
        if (states[i] != DAEMON_RUNS) {
            return false;
        }
    }
    for (int i = 0; i < SITE_STATES; i++) {
        if (full_until_ms[i] != 0 || site_metric(i, "raft_members") != SITE_STATES) {
            return false;
        }
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
    pass(LASTS_MS + 100);
    site_wait(all_are_well, NULL, "the site is whole again");
}

int faults_count(void)
{
    return count;
}
