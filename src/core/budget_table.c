#include "core/budget_table.h"

#include <stdlib.h>
#include <string.h>

static void budget_program_free(struct budget_table *table, struct budget_program *program)
{
    struct budget_reservation *item;
    struct budget_reservation *next;
    HASH_ITER(hh, program->reservations, item, next)
    {
        HASH_DEL(program->reservations, item);
        free(item->turn);
        free(item);
    }
    HASH_DEL(table->programs, program);
    free(program->id);
    free(program->server);
    free(program);
}

void budget_table_close(struct budget_table *table)
{
    while (table->programs != NULL) {
        budget_program_free(table, table->programs);
    }
}

static struct budget_program *budget_find(const struct budget_table *table, const char *id)
{
    struct budget_program *program = NULL;
    HASH_FIND_STR(table->programs, text_or_empty(id), program);
    return program;
}

/* Finds or makes a program and moves it to the end of the order of use. */
static struct budget_program *budget_use(struct budget_table *table, uint64_t now_ms, const char *id)
{
    struct budget_program *program = budget_find(table, id);
    if (program == NULL) {
        program = memory_new(sizeof(*program));
        program->id = text_copy(id);
    } else {
        HASH_DEL(table->programs, program);
    }
    program->expires_ms = now_ms + BUDGET_RETENTION_MS;
    HASH_ADD_KEYPTR(hh, table->programs, program->id, strlen(program->id), program);
    return program;
}

static struct budget_reservation *budget_reservation_of(const struct budget_program *program, const char *turn)
{
    struct budget_reservation *item = NULL;
    HASH_FIND_STR(program->reservations, text_or_empty(turn), item);
    return item;
}

static struct budget_reservation *budget_add(struct budget_program *program, const char *turn, uint64_t tokens)
{
    struct budget_reservation *item = memory_new(sizeof(*item));
    item->turn = text_copy(turn);
    item->tokens = tokens;
    program->committed += tokens;
    HASH_ADD_KEYPTR(hh, program->reservations, item->turn, strlen(item->turn), item);
    return item;
}

bool budget_table_reserve(struct budget_table *table, uint64_t now_ms, const TurnBegin *begin)
{
    struct budget_program *program = budget_use(table, now_ms, begin->program);
    if (budget_reservation_of(program, begin->turn) != NULL) {
        return true;
    }
    if (program->committed + begin->reserve_tokens > begin->budget_tokens) {
        return false;
    }
    budget_add(program, begin->turn, begin->reserve_tokens);
    return true;
}

const char *budget_table_server(const struct budget_table *table, const char *program)
{
    const struct budget_program *found = budget_find(table, program);
    return found == NULL ? NULL : found->server;
}

void budget_table_settle(struct budget_table *table, uint64_t now_ms, const TurnFinish *finish)
{
    struct budget_program *program = budget_use(table, now_ms, finish->program);
    struct budget_reservation *item = budget_reservation_of(program, finish->turn);
    if (item == NULL) {
        item = budget_add(program, finish->turn, 0);
    }
    if (item->settled) {
        return;
    }
    program->committed = program->committed - item->tokens + finish->used_tokens;
    item->tokens = finish->used_tokens;
    item->settled = true;
    if (text_or_empty(finish->server)[0] != '\0') {
        free(program->server);
        program->server = text_copy(finish->server);
    }
}

void budget_table_expire(struct budget_table *table, uint64_t now_ms)
{
    while (table->programs != NULL && table->programs->expires_ms <= now_ms) {
        budget_program_free(table, table->programs);
    }
}

static void budget_export_program(const struct budget_program *program, BudgetRecord *record)
{
    record->program = program->id;
    record->expires_ms = program->expires_ms;
    record->server = program->server;
    record->reservations = memory_new((HASH_COUNT(program->reservations) + 1) * sizeof(*record->reservations));
    for (const struct budget_reservation *item = program->reservations; item != NULL; item = item->hh.next) {
        ReservationRecord *out = &record->reservations[record->reservations_count++];
        out->turn = item->turn;
        out->tokens = item->tokens;
        out->settled = item->settled;
    }
}

void budget_table_export(const struct budget_table *table, BudgetRecord **records, pb_size_t *count)
{
    *records = memory_new((HASH_COUNT(table->programs) + 1) * sizeof(**records));
    *count = 0;
    for (const struct budget_program *program = table->programs; program != NULL; program = program->hh.next) {
        budget_export_program(program, &(*records)[*count]);
        (*count)++;
    }
}

void budget_records_close(BudgetRecord *records, pb_size_t count)
{
    for (pb_size_t i = 0; i < count; i++) {
        free(records[i].reservations);
    }
    free(records);
}

void budget_table_import(struct budget_table *table, const BudgetRecord *records, pb_size_t count)
{
    for (pb_size_t i = 0; i < count; i++) {
        struct budget_program *program = budget_use(table, 0, records[i].program);
        program->expires_ms = records[i].expires_ms;
        program->server = records[i].server == NULL ? NULL : text_copy(records[i].server);
        for (pb_size_t k = 0; k < records[i].reservations_count; k++) {
            const ReservationRecord *in = &records[i].reservations[k];
            budget_add(program, in->turn, in->tokens)->settled = in->settled;
        }
    }
}
