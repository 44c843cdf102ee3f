/**
 * @file quorum_contact.h
 * Whether a gateway is in contact with the quorum of the state replicas, or cut
 * off from it, usually together with its zone. No I/O; callers pass the time.
 *
 *   in contact -> (no reply of a leader) in doubt -> (other zones are silent too) cut off
 *
 * A reply of a leader ends both other states. While in doubt, the gateway probes
 * replicas in other zones, here called remote: if one responds, the gateway can
 * reach other zones and only a leader is missing, for example during an election.
 * That is not a cut.
 */
#ifndef BANKBANK_CORE_QUORUM_CONTACT_H
#define BANKBANK_CORE_QUORUM_CONTACT_H

#include <stdbool.h>
#include <stdint.h>

enum {
    QUORUM_CONTACT_DOUBT_MS = 250,           /**< Minimum time without a reply of a leader until the doubt. */
    QUORUM_CONTACT_DOUBT_HALF_INTERVALS = 5, /**< The same in half report intervals: one lost report is no evidence. */
    QUORUM_CONTACT_CUT_OFF_MS = 500,         /**< Minimum time without a reply of a leader until a cut. */
    QUORUM_CONTACT_CUT_OFF_INTERVALS = 4,    /**< The same in report intervals. */
    QUORUM_CONTACT_MIN_DOUBT_MS = 250, /**< Minimum duration of the doubt if connections to other zones are open. */
    QUORUM_CONTACT_SILENCE_MS = 500, /**< Silence of the other zones that counts as a cut although one of them responded
                                        during the doubt: as long as without a reply of a leader. */
    QUORUM_CONTACT_ABORT_MS = 500,   /**< Time from the detection of a cut until responses that wait for a commit are
                                        aborted: the server has run them, and replicas that are only slow look like a
                                        cut at first. */
    QUORUM_CONTACT_PROBE_MS = 100,   /**< Interval of probes while in doubt, and in a cut until commits are aborted. */
    QUORUM_CONTACT_PROBED_REPLICAS = 2, /**< At a time; 70 gateways in doubt then send 1,400 probes a second. */
    QUORUM_CONTACT_RETRY_MS = 2100, /**< Time in which the load balancer takes the gateway out of rotation: two checks,
                                       one a second, and a margin. */
    QUORUM_CONTACT_MIN_RETRY_MS = 100,    /**< For callers that reach the gateway later: they must not retry at once. */
    QUORUM_CONTACT_RETRY_JITTER_MS = 200, /**< Maximum random part added to Retry-After by the gateway. */
    QUORUM_CONTACT_IDLE_REPORT_MS = 200,  /**< Report interval of an idle gateway, which detects a cut within 0.8 s. */
    QUORUM_CONTACT_LEADER_QUORUM_MS = 250 /**< A leader replies only if it heard from a quorum within this time: three
                                      of its heartbeats (80 ms). */
};

typedef enum quorum_contact_state_t {
    QUORUM_CONTACT_IN_CONTACT,
    QUORUM_CONTACT_IN_DOUBT,
    QUORUM_CONTACT_CUT_OFF
} quorum_contact_state_t;

typedef enum quorum_contact_change_t {
    QUORUM_CONTACT_UNCHANGED,
    QUORUM_CONTACT_LOST,
    QUORUM_CONTACT_RESTORED
} quorum_contact_change_t;

/** Zero-initialize it. */
typedef struct quorum_contact_t {
    bool started; /**< A leader has replied since the start of this process: before that, there is no doubt. */
    quorum_contact_state_t state;
    bool reported_cut_off; /**< The last change returned by quorum_contact_tick() was QUORUM_CONTACT_LOST. */
    uint64_t leader_ms;    /**< Last reply of a leader, the start or the last reset. */
    uint64_t remote_ms;    /**< Last frame of a replica in another zone. */
    uint64_t doubt_ms;     /**< Start of the last doubt. */
    uint64_t cut_off_ms;   /**< When the last cut was detected. */
    uint64_t probe_due_ms; /**< Earliest time of the next probe. */
} quorum_contact_t;

/** A leader that has a quorum replied to a load report. */
void quorum_contact_record_leader(quorum_contact_t *contact, uint64_t now_ms);

/** A frame of any kind arrived from a replica in another zone. */
void quorum_contact_record_remote(quorum_contact_t *contact, uint64_t now_ms);

/** Resets the state after a stall of this process: frames that arrived during it may be unread. */
void quorum_contact_reset(quorum_contact_t *contact, uint64_t now_ms);

/** Called periodically, and after a reply of a leader. `interval_ms`: interval of the load reports; `remote_members`:
 * group members in other zones; `remote_connected`: connected replicas in other zones. Returns whether the gateway was
 * cut off, or is no longer, since the last call. */
quorum_contact_change_t quorum_contact_tick(quorum_contact_t *contact, uint64_t now_ms, uint32_t interval_ms,
                                            uint32_t remote_members, uint32_t remote_connected);

/** Whether probes are due, which the caller then sends to QUORUM_CONTACT_PROBED_REPLICAS replicas in other zones; the
 * next ones are due QUORUM_CONTACT_PROBE_MS later. */
bool quorum_contact_take_probe(quorum_contact_t *contact, uint64_t now_ms);

bool quorum_contact_is_cut_off(const quorum_contact_t *contact);

/** Whether it has been cut off for QUORUM_CONTACT_ABORT_MS, and the other zones silent for as long: if they respond, a
 * leader may be elected soon. */
bool quorum_contact_may_abort(const quorum_contact_t *contact, uint64_t now_ms);

/** While cut off: time until callers should retry, by which they reach a zone that serves. */
uint64_t quorum_contact_retry_after_ms(const quorum_contact_t *contact, uint64_t now_ms);

#endif
