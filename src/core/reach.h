/**
 * @file reach.h
 * Failure detector for servers that stop responding. No I/O; callers pass the
 * time.
 *
 * On an open connection, a crashed server looks like a slow one. A server that has
 * in-flight requests and is silent for too long is therefore probed by opening
 * another connection, which a crashed server never accepts.
 *
 * An unreachable server gets no new requests while another one is eligible, and
 * requests that may run on another server are moved. Packet loss or a full accept
 * queue can also make probes fail, so it is probed again at once until
 * REACH_CONFIRMED_PROBES have failed: it is then confirmed unreachable.
 * Further probes cannot distinguish a full accept queue or a packet filter from a
 * crash. A resumable stream whose route allows no other server (resume.h) is
 * therefore moved only when its server is dead: confirmed unreachable, and its
 * kernel does not respond on an open connection either (net/peer_keepalive.h).
 * Requests that must not run again are not moved.
 *
 * The tolerated silence is computed like a retransmission timeout (RFC 6298) from
 * the response times. It doubles with each successful probe, so that a slow server
 * is probed rarely, and once per tolerated silence when it doubles no more.
 *
 *   reachable -> (silence) probing -> (connected) reachable, tolerated silence doubled
 *                                  -> (two failures) unreachable -> (two more failures) confirmed unreachable
 *   confirmed unreachable -> (peer of an open connection is silent too) dead
 *   unreachable, confirmed unreachable, dead -> (connected, or data received) reachable
 */
#ifndef BANKBANK_CORE_REACH_H
#define BANKBANK_CORE_REACH_H

#include <stdbool.h>
#include <stdint.h>

enum {
    REACH_MIN_SILENCE_MS = 150,   /**< Minimum tolerated silence with in-flight requests. */
    REACH_MEAN_DIVISOR = 8,       /**< The weight of a new response time in the mean is 1 / this. */
    REACH_DEVIATION_DIVISOR = 4,  /**< The weight of a new response time in the mean deviation is 1 / this. */
    REACH_DEVIATION_FACTOR = 4,   /**< Tolerated silence: the mean plus this many mean deviations. */
    REACH_RETRY_MS = 200,         /**< Interval between probes of a server that is confirmed unreachable. */
    REACH_UNREACHABLE_PROBES = 2, /**< Consecutive failed probes that make a server unreachable. */
    /** The same to confirm this; with 10% of packets lost each way, one such series in 700 fails by chance. */
    REACH_CONFIRMED_PROBES = 4,
    REACH_BACKOFF_MAX = 5 /**< Maximum number of doublings of the tolerated silence. */
};

/** All zero: reachable. */
typedef struct reach_t {
    bool probing;               /**< A probe is in flight. */
    bool unreachable;           /**< The last REACH_UNREACHABLE_PROBES probes or more failed. */
    bool confirmed_unreachable; /**< The last REACH_CONFIRMED_PROBES probes or more failed. */
    bool peer_silent;           /**< Its kernel did not respond on an open connection. */
    bool suspected;             /**< A connection attempt timed out since it last answered: it is probed. */
    uint32_t failures;          /**< Consecutive failed probes. */
    uint32_t mean_ms;           /**< Mean time until a response starts; 0: no response yet. */
    uint32_t deviation_ms;      /**< Mean deviation of that time. */
    uint32_t backoff;           /**< Doublings of the tolerated silence since data was last received. */
    uint64_t probed_ms;         /**< Time of the last probe's outcome. */
} reach_t;

/** State change caused by an event. */
typedef enum reach_change_t {
    REACH_UNCHANGED,
    REACH_UNREACHABLE,
    REACH_CONFIRMED_UNREACHABLE,
    REACH_DEAD, /**< Confirmed unreachable, and `peer_silent`. */
    REACH_RECOVERED
} reach_change_t;

/**
 * Whether to probe a server now. `busy`: it has in-flight requests; `last_activity_ms`: when it last sent data, or got
 * a request while it had none in flight.
 */
bool reach_probe_is_due(const reach_t *reach, uint64_t now_ms, bool busy, uint64_t last_activity_ms);

/** Records the start of a probe. */
void reach_record_probe_start(reach_t *reach);

/** Records the outcome of a probe; `answered`: the connection was established. */
reach_change_t reach_record_outcome(reach_t *reach, uint64_t now_ms, bool answered);

/** Records that the server's kernel did not respond on an open connection. */
reach_change_t reach_record_peer_silent(reach_t *reach);

/** Records that a connection attempt other than a probe timed out: the server is probed at once, even without in-flight
 * requests. */
void reach_record_connect_timeout(reach_t *reach);

/** Whether the server is confirmed unreachable and `peer_silent`: it is assumed to run no request any more. */
bool reach_is_dead(const reach_t *reach);

/** Records the time from a request to the start of its response. */
void reach_record_response(reach_t *reach, uint64_t response_ms);

/** Records that data was received from the server. */
reach_change_t reach_record_received(reach_t *reach);

#endif
