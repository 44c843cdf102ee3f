/**
 * @file turn_rank.h
 * The rank at which a server takes the turns of programs. Pure.
 *
 * A server under more load than it bears makes everyone late who waits there
 * alike, and programs that are late at their tenth turn have cost ten turns. So
 * turns of programs under way are taken before first turns, and before requests
 * without a rank: what is begun ends in its time, and what is late are programs
 * that have cost nothing yet (Zhou et al., "Overload Control for Scaling WeChat
 * Microservices", 2018, for the same rank of all calls of one task). Nobody is
 * refused by it.
 *
 * Ranks are given at busy servers only: a server that is out of memory puts the
 * least urgent turns back, also without a queue, and first turns that had begun
 * were read again for nothing (0.024 of a day's worth on a site with long shared
 * prompts, nothing with ranks at busy servers).
 *
 * Worth, with homes that are left later (SERVER_HOME_QUEUE): tests/unit/overload.c
 * plays the load; measured figures stand in docs/design/shifted-work.md.
 */
#ifndef BANKBANK_CORE_TURN_RANK_H
#define BANKBANK_CORE_TURN_RANK_H

#include <stdbool.h>
#include <stdint.h>

enum {
    TURN_RANK_UNDER_WAY = 4, /**< A turn of a program that has run before. */
    TURN_RANK_DEFAULT = 5,   /**< What servers take requests without a rank for. */
    TURN_RANK_FIRST = 6      /**< A program's first turn. */
};

/**
 * Rank of a turn, 0 is the most urgent. `busy`: its server has more to do than
 * it does at once; `first`: its program has run nowhere yet.
 */
uint32_t turn_rank(bool busy, bool first);

#endif
