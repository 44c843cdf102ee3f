#include "core/budget_table.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/message.h"

enum { BUDGET_SETTLED_GROWTH = 8 /* entries by which `settled` grows */ };

uint64_t budget_turn_key(const char *turn)
{
    const char *id = text_or_empty(turn);
    return XXH64(id, strlen(id), 0);
}

/* ---- Programs --------------------------------------------------------------- */

static size_t budget_program_bytes(const struct budget_program *program)
{
    size_t server = program->server == NULL ? 0 : strlen(program->server) + 1;
    return sizeof(*program) + strlen(program->id) + 1 + server +
           program->reservation_count * sizeof(*program->reservations) +
           program->settled_capacity * sizeof(*program->settled) + BUDGET_OVERHEAD_BYTES;
}

static void budget_program_free(struct budget_table *table, struct budget_program *program)
{
    table->bytes -= budget_program_bytes(program);
    HASH_DEL(table->programs, program);
    free(program->server);
    free(program->reservations);
    free(program->settled);
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

/* Returns the program, creating it if missing; renews its expiry and makes it the most recently used. */
static struct budget_program *budget_touch(struct budget_table *table, uint64_t now_ms, const char *id)
{
    struct budget_program *program = budget_find(table, id);
    size_t length = strlen(text_or_empty(id));
    if (program == NULL) {
        program = memory_new(sizeof(*program) + length + 1);
        memcpy(program->id, text_or_empty(id), length);
        table->bytes += budget_program_bytes(program);
    } else {
        HASH_DEL(table->programs, program);
    }
    program->expires_ms = now_ms + BUDGET_RETENTION_MS;
    HASH_ADD_KEYPTR(hh, table->programs, program->id, length, program);
    return program;
}

static void budget_set_server(struct budget_table *table, struct budget_program *program, const char *server)
{
    table->bytes -= budget_program_bytes(program);
    free(program->server);
    program->server = text_copy(server);
    table->bytes += budget_program_bytes(program);
}

/* ---- Turns ------------------------------------------------------------------ */

static budget_reservation_t *budget_find_reservation(const struct budget_program *program, uint64_t turn)
{
    for (uint32_t i = 0; i < program->reservation_count; i++) {
        if (program->reservations[i].turn == turn) {
            return &program->reservations[i];
        }
    }
    return NULL;
}

static bool budget_is_settled(const struct budget_program *program, uint64_t turn)
{
    for (uint32_t i = 0; i < program->settled_count; i++) {
        if (program->settled[i] == turn) {
            return true;
        }
    }
    return false;
}

static void budget_add_reservation(struct budget_table *table, struct budget_program *program, uint64_t turn,
                                   uint64_t tokens)
{
    budget_reservation_t item = {.turn = turn, .tokens = tokens};
    program->reservations = memory_resize(program->reservations, (program->reservation_count + 1) * sizeof(item));
    program->reservations[program->reservation_count++] = item;
    program->committed += tokens;
    table->bytes += sizeof(item);
}

static void budget_remove_reservation(struct budget_table *table, struct budget_program *program,
                                      budget_reservation_t *item)
{
    program->committed -= item->tokens;
    *item = program->reservations[--program->reservation_count];
    table->bytes -= sizeof(*item);
    if (program->reservation_count == 0) {
        free(program->reservations);
        program->reservations = NULL;
    }
}

static void budget_add_settled(struct budget_table *table, struct budget_program *program, uint64_t turn)
{
    if (program->settled_count == BUDGET_MAX_TURNS) {
        program->settled_count /= 2; /* drop the older half: their begins are unlikely to arrive this late */
        memmove(program->settled, program->settled + program->settled_count,
                program->settled_count * sizeof(*program->settled));
    }
    if (program->settled_count == program->settled_capacity) {
        program->settled_capacity += BUDGET_SETTLED_GROWTH;
        program->settled = memory_resize(program->settled, program->settled_capacity * sizeof(*program->settled));
        table->bytes += BUDGET_SETTLED_GROWTH * sizeof(*program->settled);
    }
    program->settled[program->settled_count++] = turn;
}

bool budget_table_reserve(struct budget_table *table, uint64_t now_ms, const TurnBegin *begin)
{
    struct budget_program *program = budget_touch(table, now_ms, begin->program);
    uint64_t turn = budget_turn_key(begin->turn);
    if (budget_find_reservation(program, turn) != NULL || budget_is_settled(program, turn)) {
        return true;
    }
    bool fits = program->committed + begin->reserve_tokens <= begin->budget_tokens;
    if (!fits || program->reservation_count == BUDGET_MAX_TURNS) {
        return false;
    }
    budget_add_reservation(table, program, turn, begin->reserve_tokens);
    return true;
}

bool budget_table_has_reservation(const struct budget_table *table, const char *program, const char *turn)
{
    const struct budget_program *found = budget_find(table, program);
    return found != NULL && budget_find_reservation(found, budget_turn_key(turn)) != NULL;
}

const char *budget_table_server(const struct budget_table *table, const char *program)
{
    const struct budget_program *found = budget_find(table, program);
    return found == NULL ? NULL : found->server;
}

void budget_table_settle(struct budget_table *table, uint64_t now_ms, const TurnFinish *finish)
{
    struct budget_program *program = budget_touch(table, now_ms, finish->program);
    uint64_t turn = budget_turn_key(finish->turn);
    if (budget_is_settled(program, turn)) {
        return;
    }
    budget_reservation_t *item = budget_find_reservation(program, turn);
    if (item != NULL) {
        budget_remove_reservation(table, program, item);
    }
    program->committed += finish->used_tokens;
    budget_add_settled(table, program, turn);
    if (text_or_empty(finish->server)[0] != '\0') {
        budget_set_server(table, program, finish->server);
    }
}

void budget_table_expire(struct budget_table *table, uint64_t now_ms)
{
    while (table->programs != NULL && table->programs->expires_ms <= now_ms) {
        budget_program_free(table, table->programs);
    }
}

/* ---- Snapshots -------------------------------------------------------------- */

void budget_program_export(const struct budget_program *program, struct buffer *out)
{
    BudgetRecord record = {
        .program = (char *)(uintptr_t)program->id,
        .spent = program->committed,
        .expires_ms = program->expires_ms,
        .server = program->server,
        .settled = program->settled,
        .settled_count = (pb_size_t)program->settled_count,
    };
    record.reservations = memory_new((program->reservation_count + 1) * sizeof(*record.reservations));
    for (uint32_t i = 0; i < program->reservation_count; i++) {
        record.reservations[i].key = program->reservations[i].turn;
        record.reservations[i].tokens = program->reservations[i].tokens;
        record.spent -= program->reservations[i].tokens;
    }
    record.reservations_count = (pb_size_t)program->reservation_count;
    message_encode(out, BudgetRecord_fields, &record);
    free(record.reservations);
}

static void budget_import_reservation(struct budget_table *table, struct budget_program *program,
                                      const ReservationRecord *record)
{
    uint64_t turn = record->turn == NULL ? record->key : budget_turn_key(record->turn);
    if (record->settled) {
        program->committed += record->tokens;
        budget_add_settled(table, program, turn);
    } else {
        budget_add_reservation(table, program, turn, record->tokens);
    }
}

void budget_table_import(struct budget_table *table, const BudgetRecord *record)
{
    struct budget_program *program = budget_touch(table, 0, record->program);
    program->expires_ms = record->expires_ms;
    program->committed += record->spent;
    if (record->server != NULL) {
        budget_set_server(table, program, record->server);
    }
    for (pb_size_t i = 0; i < record->reservations_count; i++) {
        budget_import_reservation(table, program, &record->reservations[i]);
    }
    for (pb_size_t i = 0; i < record->settled_count; i++) {
        budget_add_settled(table, program, record->settled[i]);
    }
}
