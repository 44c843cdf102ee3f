/**
 * @file reach.h
 * Whether a server that says nothing can still be reached. Pure.
 *
 * A server that has crashed without a word and one that only works long look
 * alike on a connection that is open. A new connection tells them apart: the
 * former's never comes up. So a server with requests under way that has been
 * silent for a while is dialled; one that does not take two connections in a
 * row is lost, until it takes one again: it gets no new work, and what may run on
 * a further server leaves it. That much also comes of lost packets and of a full
 * queue at a server that lives, so that it is dialled on at once: after four dials
 * it counts as cut off. Dials cannot tell more, to whatever port: a full queue and a
 * packet filter stay as silent as a machine without power. What may run on one server
 * only leaves it when it is gone, which takes the silence of its machine's kernel on
 * a connection that is open as well (net/peer_watch.h). How long a
 * silence is borne follows the times in which the server answers, by the rule for
 * retransmissions (RFC 6298), and dials to one that is merely slow become rare.
 *
 *   HEARD -> (silence) DIALLED -> (it answers) HEARD, asked half as often
 *                              -> (no answer, twice) LOST -> (no answer, twice more) CUT OFF
 *   CUT OFF -> (an open connection's peer is silent too) GONE
 *   LOST, CUT OFF, GONE -> (it answers, or its bytes come) HEARD
 */
#ifndef BANKBANK_CORE_REACH_H
#define BANKBANK_CORE_REACH_H

#include <stdbool.h>
#include <stdint.h>

enum {
    REACH_SILENT_MS = 150,  /**< Least silence after which a server with requests under way is dialled. */
    REACH_MEAN_SHARE = 8,   /**< An answer moves the usual time by one part in so many. */
    REACH_SPREAD_SHARE = 4, /**< And its spread by one part in so many. */
    REACH_SPREADS = 4,      /**< Silence that is borne: the usual time and so many times its spread. */
    REACH_AGAIN_MS = 200,   /**< Pause between dials to a server that is cut off. */
    REACH_DIALS = 2,        /**< Dials without an answer after which it is lost. */
    REACH_DIALS_SURE = 4,   /**< And after which it counts as cut off: one packet in ten lost looks so once in 700. */
    REACH_STEPS_MAX = 5     /**< Doublings of the silence that is borne. */
};

/** What is known of the way to one server; all zero: it was heard. */
typedef struct reach_t {
    bool dialling;       /**< A dial is under way. */
    bool lost;           /**< It took no connection lately. */
    bool cut_off;        /**< And it is sure that it takes none. */
    bool silent_open;    /**< Its machine answered nothing on an open connection lately. */
    uint32_t failures;   /**< Dials without an answer in a row. */
    uint32_t usual_ms;   /**< Usual time to the begin of an answer; 0: none came yet. */
    uint32_t spread_ms;  /**< Its mean deviation. */
    uint32_t steps;      /**< Doublings of the silence borne, since it was heard last. */
    uint64_t dialled_ms; /**< Time of the last dial's outcome. */
} reach_t;

/** What a dial's outcome changes. */
typedef enum reach_change_t {
    REACH_AS_BEFORE, /**< Nothing. */
    REACH_LOST,      /**< The server is lost from now on. */
    REACH_CUT_OFF,   /**< It is sure that it takes no connection. */
    REACH_GONE,      /**< And its machine is silent on an open one too. */
    REACH_REGAINED   /**< It can be reached again. */
} reach_change_t;

/** Whether to dial now a server that has `busy` requests under way and was heard last at `heard_ms`. */
bool reach_is_due(const reach_t *reach, uint64_t now_ms, bool busy, uint64_t heard_ms);

/** Notes that a dial has begun. */
void reach_note_dial(reach_t *reach);

/** Notes a dial's outcome. */
reach_change_t reach_note_outcome(reach_t *reach, uint64_t now_ms, bool answered);

/** Notes that its machine answered nothing on an open connection. */
reach_change_t reach_note_silent_open(reach_t *reach);

/** Whether the server can work on nothing any more, as far as this side can know. */
bool reach_is_gone(const reach_t *reach);

/** Notes that an answer began, after so long. */
void reach_note_answer(reach_t *reach, uint64_t after_ms);

/** Notes that something came from the server. */
reach_change_t reach_note_heard(reach_t *reach);

#endif
