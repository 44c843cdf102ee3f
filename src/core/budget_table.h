/**
 * @file budget_table.h
 * Token budgets of programs, shared by all daemons. A program is a sequence of
 * turns, which are requests to a model. The maximum number of tokens that a turn
 * may generate is reserved before it runs; when it ends, the reservation is
 * replaced by the tokens delivered. A reservation that is never settled stays
 * charged, since its tokens may have been spent. Programs are kept for minutes at
 * hundreds of new turns per second; to save memory, turns are identified by a
 * 64-bit hash of their id.
 */
#ifndef BANKBANK_CORE_BUDGET_TABLE_H
#define BANKBANK_CORE_BUDGET_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "base/buffer.h"
#include "control.pb.h"

enum {
    BUDGET_RETENTION_MS = 300 * 1000, /**< A program is dropped this long after its last reservation or settlement. */
    BUDGET_MAX_TURNS = 4096,          /**< Per program: limit of open reservations, and of settled turns kept. */
    BUDGET_OVERHEAD_BYTES = 96        /**< Estimated allocator and hash table overhead per program. */
};

typedef struct budget_reservation_t {
    uint64_t turn; /**< Hash of the turn's id. */
    uint64_t tokens;
} budget_reservation_t;

struct budget_program {
    uint64_t committed; /**< Tokens spent plus tokens reserved. */
    uint64_t expires_ms;
    char *server; /**< Server that ran the last turn and may have its prompt cached, or NULL. */
    budget_reservation_t *reservations;
    uint64_t *settled; /**< Turn hashes, oldest first; a request to reserve that arrives after the settlement reserves
                          nothing. */
    uint32_t reservation_count;
    uint32_t settled_count;
    uint32_t settled_capacity;
    UT_hash_handle hh; /**< By id, least recently used first. */
    char id[];
};

struct budget_table {
    struct budget_program *programs;
    size_t bytes; /**< Estimated memory use. */
};

void budget_table_close(struct budget_table *table);

/**
 * Reserves the tokens of a turn. Returns false if the budget does not cover them or the program has BUDGET_MAX_TURNS
 * open reservations. For a turn that is already reserved or settled, reserves nothing and returns true.
 */
bool budget_table_reserve(struct budget_table *table, uint64_t now_ms, const TurnBegin *begin);

/** Identifies a turn. */
uint64_t budget_turn_key(const char *turn);

/** Whether a turn is reserved and not yet settled. */
bool budget_table_has_reservation(const struct budget_table *table, const char *program, const char *turn);

/** Returns the server that ran the program's last settled turn, or NULL. Valid until the table changes. */
const char *budget_table_server(const struct budget_table *table, const char *program);

/** Replaces a turn's reservation by the tokens it used and stores its server. Only the first settlement counts. */
void budget_table_settle(struct budget_table *table, uint64_t now_ms, const TurnFinish *finish);

void budget_table_expire(struct budget_table *table, uint64_t now_ms);

/** Appends an encoded BudgetRecord to `out`. */
void budget_program_export(const struct budget_program *program, struct buffer *out);

/** Adds an exported program; accepts records of older versions. */
void budget_table_import(struct budget_table *table, const BudgetRecord *record);

#endif
