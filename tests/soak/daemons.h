/**
 * @file daemons.h
 * The daemons of the soak, from outside: killed, stopped by a signal, starved
 * of processor time, asked to stop or to read their settings again, without
 * their disk or with a full one. Each of these ends by itself as long as
 * daemons_look_after is called every DAEMONS_STEP_MS; what was done and when
 * is told to lives.h. One thread.
 */
#ifndef BANKBANK_TESTS_DAEMONS_H
#define BANKBANK_TESTS_DAEMONS_H

#include <stdbool.h>
#include <stdint.h>

enum {
    DAEMONS_STEP_MS = 10,
    DAEMONS_STARVED_TURNS = 10, /**< A starved daemon runs for one step of so many. */
    DAEMONS_STOP_MS = 10000,    /**< A stop that was asked for is over by then. */
    DAEMONS_CALM_MS = 3000      /**< A disk is lost only so long after the last fault of a state replica. */
};

/** Takes over the daemons that site_start_shape started. */
void daemons_open(int states, int gateways);

/** Number of daemons, state replicas and gateways. */
int daemons_count(void);
int daemons_states(void);
int daemons_gateways(void);

/** Whether a daemon is a state replica. */
bool daemons_is_state(int daemon);

/** Whether nothing is done to a daemon at the moment, and whether that is so of all. */
bool daemons_runs(int daemon);
bool daemons_all_run(void);

/** Number of state replicas that do not run as they should. */
int daemons_states_away(void);

/** Ends what is due, and sees that nobody else ended a daemon. */
void daemons_look_after(void);

/** Kills a daemon; it starts after `down_ms`. Each later start but the last one of `starts` is killed after
 * `start_ms`, before it is through. Does nothing to a daemon that does not run. */
void daemons_kill(int daemon, uint64_t down_ms, int starts, uint64_t start_ms);

/** Lets a daemon stand still, or run a tenth of the time. */
void daemons_freeze(int daemon, uint64_t for_ms);
void daemons_starve(int daemon, uint64_t for_ms);

/** Asks a daemon to stop; it is started once it has ended. Asks it to read its settings. */
void daemons_stop(int daemon);
void daemons_reload(int daemon);

/** Fills the disk of a state replica, which keeps what it holds. */
void daemons_fill_disk(int daemon, uint64_t for_ms);

/** Kills a state replica and removes its data, unless that might lose what was acknowledged; tells whether it did. */
bool daemons_lose_disk(int daemon, uint64_t down_ms);

/** Whether all run and the state replicas hold together. */
bool daemons_are_whole(void);

#endif
