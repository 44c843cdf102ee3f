/**
 * @file budget_table.h
 * Token budgets of programs over all daemons: the most that a turn may
 * generate is reserved before it runs, and settled by what was handed out.
 * A reservation that is never settled stays: its tokens may have been spent.
 *
 * Programs are remembered for minutes, some hundred new turns a second: a
 * turn is known by a 64-bit hash of its id, and a settled one takes no more.
 */
#ifndef BANKBANK_CORE_BUDGET_TABLE_H
#define BANKBANK_CORE_BUDGET_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "base/buffer.h"
#include "control.pb.h"

enum {
    BUDGET_RETENTION_MS = 300 * 1000, /**< Time a program is remembered after its last turn. */
    BUDGET_TURNS_MOST = 4096, /**< Turns of a program under way, and settled ones remembered: 40 of the longest. */
    BUDGET_HELD_BYTES = 96    /**< What the allocator and the hash add to a program, about. */
};

/** A turn that was reserved for and is not settled. */
typedef struct budget_reservation_t {
    uint64_t turn;   /**< Hash of the turn's id. */
    uint64_t tokens; /**< Reserved. */
} budget_reservation_t;

/** One program. */
struct budget_program {
    uint64_t committed;         /**< Tokens spent and reserved. */
    uint64_t expires_ms;        /**< Time after which it is forgotten. */
    char *server;               /**< Back end that ran its last turn and keeps its prompt, or NULL. */
    budget_reservation_t *open; /**< Reservations that are not settled. */
    uint64_t *settled;          /**< Hashes of settled turns: a late repeat of a begin reserves nothing. */
    uint32_t open_count;        /**< Number of the first. */
    uint32_t settled_count;     /**< Number of the second. */
    uint32_t settled_capacity;  /**< Allocated of the second. */
    UT_hash_handle hh;          /**< By id, in order of last use. */
    char id[];                  /**< Program id. */
};

/** All programs. */
struct budget_table {
    struct budget_program *programs; /**< By id. */
    size_t bytes;                    /**< Memory that they take. */
};

/** Frees everything. */
void budget_table_close(struct budget_table *table);

/** Reserves; false: the budget does not hold it. The same turn again reserves nothing more. */
bool budget_table_reserve(struct budget_table *table, uint64_t now_ms, const TurnBegin *begin);

/** Back end that ran a program's last turn, or NULL. */
const char *budget_table_server(const struct budget_table *table, const char *program);

/** Replaces a turn's reservation by what was used, and notes its back end; the first settlement counts. */
void budget_table_settle(struct budget_table *table, uint64_t now_ms, const TurnFinish *finish);

/** Forgets programs that were not used for BUDGET_RETENTION_MS. */
void budget_table_expire(struct budget_table *table, uint64_t now_ms);

/** Appends an encoded BudgetRecord. */
void budget_program_export(const struct budget_program *program, struct buffer *out);

/** Adds an exported program, also one of an older version. */
void budget_table_import(struct budget_table *table, const BudgetRecord *record);

#endif
