#include "daemons.h"

#include <signal.h>
#include <sys/wait.h>

#include "../integration/site.h"
#include "base/clock.h"
#include "core/membership.h"
#include "lives.h"
#include "oracle.h"

/* What goes on with a daemon. */
typedef enum daemons_state_t {
    DAEMON_RUNS,
    DAEMON_DOWN,
    DAEMON_STARTING, /* to be killed again */
    DAEMON_FROZEN,
    DAEMON_STARVED,
    DAEMON_STOPPING
} daemons_state_t;

typedef struct daemons_one_t {
    daemons_state_t state;
    uint64_t until_ms; /* when that ends */
    uint64_t full_until_ms;
    int starts; /* that are killed */
    uint64_t start_ms;
} daemons_one_t;

static daemons_one_t daemons[LIVES_MOST];
static int daemons_state_count;
static int daemons_gateway_count;
static uint64_t daemons_state_fault_ms;
static uint64_t daemons_step;

static uint64_t now_ms(void)
{
    return clock_monotonic_ms();
}

void daemons_open(int states, int gateways)
{
    daemons_state_count = states;
    daemons_gateway_count = gateways;
    daemons_state_fault_ms = now_ms();
    for (int i = 0; i < daemons_count(); i++) {
        lives_start(i);
    }
}

int daemons_count(void)
{
    return daemons_state_count + daemons_gateway_count;
}

int daemons_states(void)
{
    return daemons_state_count;
}

int daemons_gateways(void)
{
    return daemons_gateway_count;
}

bool daemons_is_state(int daemon)
{
    for (int i = 0; i < daemons_state_count; i++) {
        if (site_state_daemon(i) == daemon) {
            return true;
        }
    }
    return false;
}

bool daemons_runs(int daemon)
{
    return daemons[daemon].state == DAEMON_RUNS;
}

bool daemons_all_run(void)
{
    for (int i = 0; i < daemons_count(); i++) {
        if (!daemons_runs(i)) {
            return false;
        }
    }
    return true;
}

int daemons_states_away(void)
{
    int away = 0;
    for (int i = 0; i < daemons_state_count; i++) {
        away += daemons_runs(site_state_daemon(i)) ? 0 : 1;
    }
    return away;
}

/* ---- What is under way ---------------------------------------------------------- */

static void daemons_start(int daemon)
{
    site_start_daemon(daemon);
    lives_start(daemon);
}

/* Nobody but this file ends a daemon. */
static void daemons_check_running(int daemon)
{
    int status = 0;
    if (waitpid(site_process(daemon), &status, WNOHANG) != 0) {
        oracle_violated("ended: daemon %d ended by itself, status %x", daemon, (unsigned)status);
        daemons_start(daemon);
    }
}

static void daemons_check_stop(int daemon)
{
    int status = 0;
    bool ended = waitpid(site_process(daemon), &status, WNOHANG) != 0;
    if (ended && !(WIFEXITED(status) && WEXITSTATUS(status) == 0)) {
        oracle_violated("ended: daemon %d was asked to stop and ended with %x", daemon, (unsigned)status);
    }
    if (!ended && now_ms() >= daemons[daemon].until_ms) {
        oracle_violated("ended: daemon %d was asked to stop and did not", daemon);
        site_end_daemon(daemon, SIGKILL);
        ended = true;
    }
    if (ended) {
        daemons_start(daemon);
        lives_end(daemon, LIVES_STOPPING);
        daemons[daemon].state = DAEMON_RUNS;
    }
}

static void daemons_come_up(int daemon)
{
    daemons_one_t *one = &daemons[daemon];
    daemons_start(daemon);
    one->state = one->starts > 0 ? DAEMON_STARTING : DAEMON_RUNS;
    one->until_ms = now_ms() + one->start_ms;
    one->starts -= one->starts > 0 ? 1 : 0;
    if (one->state == DAEMON_RUNS) {
        lives_end(daemon, LIVES_DOWN);
    }
}

static void daemons_wake(int daemon)
{
    kill(site_process(daemon), SIGCONT);
    lives_end(daemon, LIVES_STILL);
    daemons[daemon].state = DAEMON_RUNS;
}

static void daemons_look_after_one(int daemon)
{
    daemons_one_t *one = &daemons[daemon];
    bool over = now_ms() >= one->until_ms;
    switch (one->state) {
    case DAEMON_RUNS: daemons_check_running(daemon); break;
    case DAEMON_DOWN:
        if (over) {
            daemons_come_up(daemon);
        }
        break;
    case DAEMON_STARTING:
        if (over) {
            site_end_daemon(daemon, SIGKILL);
            one->state = DAEMON_DOWN;
            one->until_ms = now_ms() + DAEMONS_STEP_MS;
        }
        break;
    case DAEMON_FROZEN:
        if (over) {
            daemons_wake(daemon);
        }
        break;
    case DAEMON_STARVED:
        if (over) {
            daemons_wake(daemon);
        } else {
            kill(site_process(daemon), daemons_step % DAEMONS_STARVED_TURNS == 0 ? SIGCONT : SIGSTOP);
        }
        break;
    case DAEMON_STOPPING: daemons_check_stop(daemon); break;
    }
    if (one->full_until_ms != 0 && now_ms() >= one->full_until_ms) {
        site_set_disk_full(daemon, false);
        one->full_until_ms = 0;
        lives_end(daemon, LIVES_DISK);
    }
    if (daemons_is_state(daemon) && (one->state != DAEMON_RUNS || one->full_until_ms != 0)) {
        daemons_state_fault_ms = now_ms();
    }
}

void daemons_look_after(void)
{
    daemons_step++;
    for (int i = 0; i < daemons_count(); i++) {
        daemons_look_after_one(i);
    }
}

/* ---- What is done ----------------------------------------------------------------- */

static bool daemons_take(int daemon, daemons_state_t state, lives_kind_t kind, uint64_t for_ms)
{
    if (!daemons_runs(daemon)) {
        return false;
    }
    lives_begin(daemon, kind);
    daemons[daemon].state = state;
    daemons[daemon].until_ms = now_ms() + for_ms;
    return true;
}

void daemons_kill(int daemon, uint64_t down_ms, int starts, uint64_t start_ms)
{
    if (daemons_take(daemon, DAEMON_DOWN, LIVES_DOWN, down_ms)) {
        site_end_daemon(daemon, SIGKILL);
        daemons[daemon].starts = starts;
        daemons[daemon].start_ms = start_ms;
    }
}

void daemons_freeze(int daemon, uint64_t for_ms)
{
    if (daemons_take(daemon, DAEMON_FROZEN, LIVES_STILL, for_ms)) {
        kill(site_process(daemon), SIGSTOP);
    }
}

void daemons_starve(int daemon, uint64_t for_ms)
{
    if (daemons_take(daemon, DAEMON_STARVED, LIVES_STILL, for_ms)) {
        kill(site_process(daemon), SIGSTOP);
    }
}

void daemons_stop(int daemon)
{
    if (daemons_take(daemon, DAEMON_STOPPING, LIVES_STOPPING, DAEMONS_STOP_MS)) {
        kill(site_process(daemon), SIGTERM);
    }
}

void daemons_reload(int daemon)
{
    if (daemons_runs(daemon)) {
        kill(site_process(daemon), SIGHUP);
    }
}

void daemons_fill_disk(int daemon, uint64_t for_ms)
{
    if (daemons_runs(daemon) && daemons[daemon].full_until_ms == 0) {
        lives_begin(daemon, LIVES_DISK);
        site_set_disk_full(daemon, true);
        daemons[daemon].full_until_ms = now_ms() + for_ms;
    }
}

static double daemons_members(void)
{
    int most = MEMBERSHIP_VOTERS_LARGE + MEMBERSHIP_SPARES;
    return daemons_state_count < most ? daemons_state_count : most;
}

/* The others have everything that was acknowledged: they were well for a while, and count as members. */
static bool daemons_may_lose_disk(int daemon)
{
    if (now_ms() < daemons_state_fault_ms + DAEMONS_CALM_MS) {
        return false;
    }
    for (int i = 0; i < daemons_state_count; i++) {
        int other = site_state_daemon(i);
        if (!daemons_runs(other) || (other != daemon && site_metric(other, "raft_members") != daemons_members())) {
            return false;
        }
    }
    return true;
}

bool daemons_lose_disk(int daemon, uint64_t down_ms)
{
    bool may = daemons_may_lose_disk(daemon);
    if (may) {
        daemons_kill(daemon, down_ms, 0, 0);
        site_lose_disk(daemon);
    }
    return may;
}

bool daemons_are_whole(void)
{
    bool whole = daemons_all_run();
    for (int i = 0; i < daemons_state_count && whole; i++) {
        int state = site_state_daemon(i);
        whole = daemons[state].full_until_ms == 0 && site_metric(state, "raft_members") == daemons_members();
    }
    return whole;
}
