/**
 * @file budget_table.h
 * Token budgets of programs over all daemons: the most that a turn may
 * generate is reserved before it runs, and settled by what was handed out.
 * A reservation that is never settled stays: its tokens may have been spent.
 */
#ifndef BANKBANK_CORE_BUDGET_TABLE_H
#define BANKBANK_CORE_BUDGET_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "base/buffer.h"
#include "control.pb.h"

enum { BUDGET_RETENTION_MS = 300 * 1000 /**< Time a program is remembered after its last turn. */ };

/** A turn's reservation. */
struct budget_reservation {
    char *turn;        /**< Turn id. */
    uint64_t tokens;   /**< Reserved, or spent once settled. */
    bool settled;      /**< Settled; a late repeat of its begin reserves nothing. */
    UT_hash_handle hh; /**< By turn. */
};

/** One program. */
struct budget_program {
    char *id;                                /**< Program id. */
    uint64_t committed;                      /**< Tokens spent and reserved. */
    uint64_t expires_ms;                     /**< Time after which it is forgotten. */
    char *server;                            /**< Back end that ran its last turn and keeps its prompt, or NULL. */
    struct budget_reservation *reservations; /**< By turn. */
    UT_hash_handle hh;                       /**< By id, in order of last use. */
};

/** All programs. */
struct budget_table {
    struct budget_program *programs; /**< By id. */
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

/** Fills records that borrow from the table; free with budget_records_close(). */
void budget_table_export(const struct budget_table *table, BudgetRecord **records, pb_size_t *count);
void budget_records_close(BudgetRecord *records, pb_size_t count);

/** Adds exported programs. */
void budget_table_import(struct budget_table *table, const BudgetRecord *records, pb_size_t count);

#endif
