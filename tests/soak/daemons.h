/**
 * @file daemons.h
 * Injects faults into the soak's daemon processes and records them in the fault
 * log. Every fault expires by itself as long as daemons_poll() is called every
 * DAEMONS_STEP_MS. All functions but daemons_count(), daemons_replicas() and
 * daemons_gateways() must be called from one thread.
 */
#ifndef BANKBANK_TESTS_DAEMONS_H
#define BANKBANK_TESTS_DAEMONS_H

#include <stdbool.h>
#include <stdint.h>

enum {
    DAEMONS_STEP_MS = 10,
    DAEMONS_STARVED_STEPS = 10, /**< A starved daemon runs in one of this many steps. */
    DAEMONS_STOP_TIMEOUT_MS = 10000,
    DAEMONS_SETTLE_MS = 500,
    DAEMONS_CATCH_UP_MS = 4000,
    DAEMONS_DATA_LOSS_DELAY_MS = 3000 /**< Minimum time from the last replica fault to the removal of data. */
};

/** Takes over the daemons that site_start_sized started. Call once. */
void daemons_init(int replicas, int gateways);

/** Numbers of daemons: all, state replicas, and gateways. */
int daemons_count(void);
int daemons_replicas(void);
int daemons_gateways(void);

bool daemons_is_replica(int daemon);

/** Whether a daemon, or every daemon, is running without a process fault: a kill, pause, starvation or stop, but not a
 * full disk. */
bool daemons_is_running(int daemon);
bool daemons_all_running(void);

/** Whether a daemon is running, and started at least DAEMONS_SETTLE_MS ago: before it has started, a signal ends it. */
bool daemons_is_settled(int daemon);

/** Number of state replicas with a process fault. */
int daemons_unavailable_replicas(void);

/** Ends expired faults; reports a violation for a daemon that exited by itself, and restarts it. */
void daemons_poll(void);

/** Kills a daemon and restarts it after `down_ms`. The first `starts_to_kill` restarts are killed after
 * `start_kill_delay_ms` each, to interrupt recovery. Does nothing if the daemon has a process fault. */
void daemons_kill(int daemon, uint64_t down_ms, int starts_to_kill, uint64_t start_kill_delay_ms);

/** Suspends a daemon (SIGSTOP) for the whole time, or for all but one in DAEMONS_STARVED_STEPS steps. */
void daemons_pause(int daemon, uint64_t for_ms);
void daemons_starve(int daemon, uint64_t for_ms);

/** Sends SIGTERM, and restarts the daemon once it has exited. */
void daemons_stop(int daemon);

/** Sends SIGHUP. */
void daemons_reload(int daemon);

/** Sends SIGHUP also to a daemon that is stopping; false if it is not settled. */
bool daemons_reload_stopping(int daemon);

/** Makes writes of a state replica fail as on a full disk; its data stays. */
void daemons_fill_disk(int daemon, uint64_t for_ms);

/** Kills a state replica and removes its data; false, and does nothing, if acknowledged data might be lost. With
 * `move`, it returns on another machine. A replica may lose its data again until DAEMONS_CATCH_UP_MS after its return.
 */
bool daemons_remove_data(int daemon, uint64_t down_ms, bool move);

/** The replica that may lose its data again; -1: none. */
int daemons_data_loser(void);

/** Whether all daemons run, no disk is full, and every replica reports the expected number of members. */
bool daemons_all_healthy(void);

#endif
