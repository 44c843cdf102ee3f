/**
 * @file turn_rank.h
 * Priority of a program's turn in the queue of a server. A pure function.
 *
 * A program that misses its deadline at a late turn wastes its earlier turns.
 * Under overload, turns of running programs are therefore served before first
 * turns and before requests without a rank, so that programs are delayed before
 * they have used any resources (Zhou et al., "Overload Control for Scaling WeChat
 * Microservices", 2018, for one priority of all calls of a task). A rank never
 * causes a refusal.
 *
 * Ranks are only used at busy servers. A server that runs out of memory preempts
 * the least urgent turns even without a queue, and the prompts of preempted first
 * turns would be processed twice.
 *
 * See docs/design/shifted-work.md; tests/unit/overload.c simulates such a load.
 */
#ifndef BANKBANK_CORE_TURN_RANK_H
#define BANKBANK_CORE_TURN_RANK_H

#include <stdbool.h>
#include <stdint.h>

enum {
    TURN_RANK_CONTINUED = 4, /**< A turn of a program that has run before. */
    TURN_RANK_DEFAULT = 5,   /**< Rank that servers assume for requests without one. */
    TURN_RANK_FIRST = 6      /**< A program's first turn. */
};

/** 0: most urgent. `busy`: the server has more requests than slots; `first`: the program has not run anywhere yet. */
uint32_t turn_rank(bool busy, bool first);

#endif
