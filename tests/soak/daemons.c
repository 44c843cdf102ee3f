#include "daemons.h"

#include <signal.h>
#include <sys/wait.h>

#include "../integration/site.h"
#include "base/clock.h"
#include "core/membership.h"
#include "fault_log.h"
#include "oracle.h"

typedef enum daemons_state_t {
    DAEMON_RUNNING,
    DAEMON_DOWN,
    DAEMON_STARTING, /* to be killed during its start */
    DAEMON_PAUSED,
    DAEMON_STARVED,
    DAEMON_STOPPING
} daemons_state_t;

typedef struct daemon_entry_t {
    daemons_state_t state;
    uint64_t until_ms; /* end of the state, monotonic clock */
    uint64_t started_ms;
    uint64_t disk_full_until_ms; /* 0: not full */
    int starts_to_kill;          /* restarts still to be killed */
    uint64_t start_kill_delay_ms;
} daemon_entry_t;

static daemon_entry_t daemons[FAULT_LOG_MAX_DAEMONS];
static int daemons_replica_count;
static int daemons_gateway_count;
static uint64_t daemons_last_replica_fault_ms;
static int daemons_data_removed_from;    /* the last replica that lost its data */
static uint64_t daemons_data_removed_ms; /* its return; 0: none */
static uint64_t daemons_step;

static uint64_t now_ms(void)
{
    return clock_monotonic_ms();
}

void daemons_init(int replicas, int gateways)
{
    daemons_replica_count = replicas;
    daemons_gateway_count = gateways;
    daemons_last_replica_fault_ms = now_ms();
    for (int i = 0; i < daemons_count(); i++) {
        fault_log_process_started(i);
    }
}

int daemons_count(void)
{
    return daemons_replica_count + daemons_gateway_count;
}

int daemons_replicas(void)
{
    return daemons_replica_count;
}

int daemons_gateways(void)
{
    return daemons_gateway_count;
}

bool daemons_is_replica(int daemon)
{
    for (int i = 0; i < daemons_replica_count; i++) {
        if (site_replica_daemon(i) == daemon) {
            return true;
        }
    }
    return false;
}

bool daemons_is_running(int daemon)
{
    return daemons[daemon].state == DAEMON_RUNNING;
}

bool daemons_is_settled(int daemon)
{
    return daemons_is_running(daemon) && now_ms() >= daemons[daemon].started_ms + DAEMONS_SETTLE_MS;
}

bool daemons_all_running(void)
{
    for (int i = 0; i < daemons_count(); i++) {
        if (!daemons_is_running(i)) {
            return false;
        }
    }
    return true;
}

int daemons_unavailable_replicas(void)
{
    int unavailable = 0;
    for (int i = 0; i < daemons_replica_count; i++) {
        unavailable += daemons_is_running(site_replica_daemon(i)) ? 0 : 1;
    }
    return unavailable;
}

/* ---- Expiry of faults ---------------------------------------------------------- */

static void daemons_start(int daemon)
{
    site_start_daemon(daemon);
    daemons[daemon].started_ms = now_ms();
    fault_log_process_started(daemon);
}

static void daemons_check_running(int daemon)
{
    int status = 0;
    if (waitpid(site_process(daemon), &status, WNOHANG) != 0) {
        oracle_report_violation("ended: daemon %d exited unexpectedly, wait status %x", daemon, (unsigned)status);
        daemons_start(daemon);
    }
}

static void daemons_check_stop(int daemon)
{
    int status = 0;
    bool ended = waitpid(site_process(daemon), &status, WNOHANG) != 0;
    if (ended && !(WIFEXITED(status) && WEXITSTATUS(status) == 0)) {
        oracle_report_violation("ended: daemon %d failed to stop cleanly, wait status %x", daemon, (unsigned)status);
    }
    if (!ended && now_ms() >= daemons[daemon].until_ms) {
        oracle_report_violation("ended: daemon %d did not exit within the stop timeout", daemon);
        site_kill_daemon(daemon, SIGKILL);
        ended = true;
    }
    if (ended) {
        daemons_start(daemon);
        fault_log_end(daemon, FAULT_LOG_STOPPING);
        daemons[daemon].state = DAEMON_RUNNING;
    }
}

static void daemons_restart(int daemon)
{
    daemon_entry_t *entry = &daemons[daemon];
    daemons_start(daemon);
    entry->state = entry->starts_to_kill > 0 ? DAEMON_STARTING : DAEMON_RUNNING;
    entry->until_ms = now_ms() + entry->start_kill_delay_ms;
    entry->starts_to_kill -= entry->starts_to_kill > 0 ? 1 : 0;
    if (entry->state == DAEMON_RUNNING) {
        fault_log_end(daemon, FAULT_LOG_DOWN);
    }
}

static void daemons_resume(int daemon)
{
    kill(site_process(daemon), SIGCONT);
    fault_log_end(daemon, FAULT_LOG_PAUSED);
    daemons[daemon].state = DAEMON_RUNNING;
}

static void daemons_poll_one(int daemon)
{
    daemon_entry_t *entry = &daemons[daemon];
    bool expired = now_ms() >= entry->until_ms;
    switch (entry->state) {
    case DAEMON_RUNNING: daemons_check_running(daemon); break;
    case DAEMON_DOWN:
        if (expired) {
            daemons_restart(daemon);
        }
        break;
    case DAEMON_STARTING:
        if (expired) {
            site_kill_daemon(daemon, SIGKILL);
            entry->state = DAEMON_DOWN;
            entry->until_ms = now_ms() + DAEMONS_STEP_MS;
        }
        break;
    case DAEMON_PAUSED:
        if (expired) {
            daemons_resume(daemon);
        }
        break;
    case DAEMON_STARVED:
        if (expired) {
            daemons_resume(daemon);
        } else {
            kill(site_process(daemon), daemons_step % DAEMONS_STARVED_STEPS == 0 ? SIGCONT : SIGSTOP);
        }
        break;
    case DAEMON_STOPPING: daemons_check_stop(daemon); break;
    }
    if (entry->disk_full_until_ms != 0 && now_ms() >= entry->disk_full_until_ms) {
        site_set_disk_full(daemon, false);
        entry->disk_full_until_ms = 0;
        fault_log_end(daemon, FAULT_LOG_DISK_FULL);
    }
    if (daemons_is_replica(daemon) && (entry->state != DAEMON_RUNNING || entry->disk_full_until_ms != 0)) {
        daemons_last_replica_fault_ms = now_ms();
    }
}

void daemons_poll(void)
{
    daemons_step++;
    for (int i = 0; i < daemons_count(); i++) {
        daemons_poll_one(i);
    }
}

/* ---- Injection of faults ----------------------------------------------------------------- */

static bool daemons_start_fault(int daemon, daemons_state_t state, fault_log_kind_t kind, uint64_t for_ms)
{
    if (!daemons_is_running(daemon)) {
        return false;
    }
    fault_log_begin(daemon, kind);
    daemons[daemon].state = state;
    daemons[daemon].until_ms = now_ms() + for_ms;
    return true;
}

void daemons_kill(int daemon, uint64_t down_ms, int starts_to_kill, uint64_t start_kill_delay_ms)
{
    if (daemons_start_fault(daemon, DAEMON_DOWN, FAULT_LOG_DOWN, down_ms)) {
        site_kill_daemon(daemon, SIGKILL);
        daemons[daemon].starts_to_kill = starts_to_kill;
        daemons[daemon].start_kill_delay_ms = start_kill_delay_ms;
    }
}

void daemons_pause(int daemon, uint64_t for_ms)
{
    if (daemons_start_fault(daemon, DAEMON_PAUSED, FAULT_LOG_PAUSED, for_ms)) {
        kill(site_process(daemon), SIGSTOP);
    }
}

void daemons_starve(int daemon, uint64_t for_ms)
{
    if (daemons_start_fault(daemon, DAEMON_STARVED, FAULT_LOG_PAUSED, for_ms)) {
        kill(site_process(daemon), SIGSTOP);
    }
}

/* A daemon that has just started may not handle signals yet, which then end it. */
void daemons_stop(int daemon)
{
    if (daemons_is_settled(daemon) &&
        daemons_start_fault(daemon, DAEMON_STOPPING, FAULT_LOG_STOPPING, DAEMONS_STOP_TIMEOUT_MS)) {
        kill(site_process(daemon), SIGTERM);
    }
}

void daemons_reload(int daemon)
{
    if (daemons_is_settled(daemon)) {
        kill(site_process(daemon), SIGHUP);
    }
}

bool daemons_reload_stopping(int daemon)
{
    bool runs = daemons_is_running(daemon) || daemons[daemon].state == DAEMON_STOPPING;
    bool settled = runs && now_ms() >= daemons[daemon].started_ms + DAEMONS_SETTLE_MS;
    if (settled) {
        kill(site_process(daemon), SIGHUP);
    }
    return settled;
}

void daemons_fill_disk(int daemon, uint64_t for_ms)
{
    if (daemons_is_running(daemon) && daemons[daemon].disk_full_until_ms == 0) {
        fault_log_begin(daemon, FAULT_LOG_DISK_FULL);
        site_set_disk_full(daemon, true);
        daemons[daemon].disk_full_until_ms = now_ms() + for_ms;
    }
}

static double daemons_expected_members(void)
{
    int max_members = MEMBERSHIP_VOTERS_LARGE + MEMBERSHIP_SPARES;
    return daemons_replica_count < max_members ? daemons_replica_count : max_members;
}

static double daemons_expected_voters(void)
{
    return daemons_expected_members() >= MEMBERSHIP_VOTERS_LARGE ? MEMBERSHIP_VOTERS_LARGE : MEMBERSHIP_VOTERS;
}

/* Whether it reports the full number of members and of voters. */
static bool daemons_group_is_complete(int replica)
{
    return site_metric(replica, "raft_members") == daemons_expected_members() &&
           site_metric(replica, "raft_voters") == daemons_expected_voters();
}

/* Whether so many replicas that run are voters: none of the group's voters is one whose disk is lost. */
static bool daemons_all_voters_run(void)
{
    double voting = 0;
    for (int i = 0; i < daemons_replica_count; i++) {
        int replica = site_replica_daemon(i);
        voting += daemons_is_running(replica) && site_metric(replica, "raft_voting") == 1 ? 1 : 0;
    }
    return voting == daemons_expected_voters();
}

/* The other replicas hold all acknowledged data once no replica had a fault for DAEMONS_DATA_LOSS_DELAY_MS, and each
 * reports a complete group. */
static bool daemons_can_remove_data(int daemon)
{
    if (now_ms() < daemons_last_replica_fault_ms + DAEMONS_DATA_LOSS_DELAY_MS) {
        return false;
    }
    for (int i = 0; i < daemons_replica_count; i++) {
        int other = site_replica_daemon(i);
        if (!daemons_is_running(other) || (other != daemon && !daemons_group_is_complete(other))) {
            return false;
        }
    }
    return daemons_all_voters_run();
}

/* Whether no data was removed since, so that the group does not depend on the replica. */
static bool daemons_has_just_lost_data(int daemon)
{
    return daemon == daemons_data_removed_from && now_ms() < daemons_data_removed_ms + DAEMONS_CATCH_UP_MS;
}

bool daemons_remove_data(int daemon, uint64_t down_ms, bool move)
{
    bool again = daemons_has_just_lost_data(daemon) && daemons_is_running(daemon);
    if (!again && !daemons_can_remove_data(daemon)) {
        return false;
    }
    daemons_kill(daemon, down_ms, 0, 0);
    if (move) {
        site_move_replica(daemon);
    } else {
        site_remove_data(daemon);
    }
    daemons_data_removed_from = daemon;
    daemons_data_removed_ms = now_ms() + down_ms;
    return true;
}

int daemons_data_loser(void)
{
    return daemons_data_removed_ms != 0 && daemons_has_just_lost_data(daemons_data_removed_from)
               ? daemons_data_removed_from
               : -1;
}

bool daemons_all_healthy(void)
{
    bool healthy = daemons_all_running();
    for (int i = 0; i < daemons_replica_count && healthy; i++) {
        int replica = site_replica_daemon(i);
        healthy = daemons[replica].disk_full_until_ms == 0 && daemons_group_is_complete(replica);
    }
    return healthy && daemons_all_voters_run();
}
