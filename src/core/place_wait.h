/**
 * @file place_wait.h
 * Whether a request is sent to a server now, waits for a place there, or is
 * refused. Pure.
 *
 * A place is a slot of a server that no gateway's request holds, as far as is
 * told. Two kinds of requests wait:
 *
 * - One that no server takes now, since each has just refused: it waits while
 *   that can still help its caller, because callers try only a few times.
 * - One that begins a program while every place is taken. Requests beyond the
 *   slots of a server only queue there, and slow down the programs under way;
 *   a program that begins then ends late, with all others. So it waits for a
 *   part of its target latency, and is refused if no place was free by then.
 *   What is under way goes on in any case.
 *
 * The gateway serves the line by the time that is left for the whole program,
 * least first.
 */
#ifndef BANKBANK_CORE_PLACE_WAIT_H
#define BANKBANK_CORE_PLACE_WAIT_H

#include <stdbool.h>
#include <stdint.h>

enum {
    PLACE_BEGIN_SHARE = 4, /**< A program's first request waits one part in so many of its target latency. */
    PLACE_LEFT_SHARE = 3,  /**< Others wait one part in so many of the time that is left at their begin. */
    PLACE_LONGEST_MS = 400 /**< And no longer than this. */
};

/** What to do with a request. */
typedef enum place_choice_t {
    PLACE_SEND,  /**< Send it to the server that was chosen. */
    PLACE_QUEUE, /**< It waits. */
    PLACE_REFUSE /**< It ends as not run. */
} place_choice_t;

/** A request that is to be placed. */
typedef struct place_view_t {
    bool found;         /**< A server was chosen for it. */
    bool begins;        /**< It is the first of its program. */
    uint32_t calls;     /**< Requests of all gateways at that server. */
    uint32_t slots;     /**< Requests that it works on at once; 0: not known. */
    uint64_t waited_ms; /**< Time it has waited so far. */
    uint64_t left_ms;   /**< Time that is left of its caller's. */
    uint64_t target_ms; /**< Target latency of its route; 0: not told. */
} place_view_t;

/** Decides. */
place_choice_t place_decide(const place_view_t *view);

#endif
