/*
 * Hand-over of a program from an old site: prepare, import, commit, abort.
 * Every step is idempotent. Until the commit, the old site owns the program and
 * calls here are refused; a committed hand-over cannot be aborted. After an
 * abort, a prepare with a newer epoch starts over; all other steps must have the
 * epoch of the prepare.
 */
#include "core/ledger_internal.h"

#include <stdlib.h>
#include <string.h>

static void handover_prepare(struct ledger *ledger, struct ledger_program *program, const HandoverChange *change,
                             EntryResult *result)
{
    if (program != NULL && program->state == LEDGER_PROGRAM_ABORTED && change->old_epoch > program->handover_epoch) {
        ledger_remove(ledger, program);
        program = NULL;
    }
    if (program == NULL) {
        program = ledger_add(ledger, change->program);
        program->state = LEDGER_PROGRAM_PREPARED;
        program->handover_site = text_copy(change->old_site);
        program->handover_epoch = change->old_epoch;
        return;
    }
    bool repeated = program->handover_site != NULL && change->old_epoch == program->handover_epoch &&
                    text_equal(program->handover_site, change->old_site) && program->state != LEDGER_PROGRAM_ABORTED;
    if (!repeated) {
        ledger_fail(result, RESULT_ALREADY_EXISTS, "the program exists here or its hand-over has another epoch");
    }
}

static void handover_fill(struct ledger *ledger, struct ledger_program *program, const HandoverChange *change)
{
    program->tenant = text_copy(change->tenant);
    program->policy = text_copy(change->policy);
    program->budget = change->budget_tokens;
    program->spent = change->spent_tokens;
    program->attained = change->spent_tokens;
    program->first_call = change->next_call;
    program->next_call = change->next_call;
    program->context_tokens = change->context_tokens;
    ledger->history.append(ledger->history.context, view_of_string(change->history), &program->imported);
    program->state = LEDGER_PROGRAM_IMPORTED;
}

static void handover_import(struct ledger *ledger, struct ledger_program *program, const HandoverChange *change,
                            EntryResult *result)
{
    if (change->next_call == 0) {
        ledger_fail(result, RESULT_INVALID, "next_call must be at least 1");
        return;
    }
    switch (program->state) {
    case LEDGER_PROGRAM_PREPARED: handover_fill(ledger, program, change); return;
    case LEDGER_PROGRAM_ABORTED: ledger_fail(result, RESULT_ABORTED, "the hand-over was aborted"); return;
    default: return; /* already imported or committed; the first import wins */
    }
}

static void handover_commit(struct ledger_program *program, EntryResult *result)
{
    switch (program->state) {
    case LEDGER_PROGRAM_IMPORTED: program->state = LEDGER_PROGRAM_OPEN; return;
    case LEDGER_PROGRAM_PREPARED: ledger_fail(result, RESULT_ABORTED, "nothing was imported yet"); return;
    case LEDGER_PROGRAM_ABORTED: ledger_fail(result, RESULT_ABORTED, "the hand-over was aborted"); return;
    default: return; /* already committed */
    }
}

static void handover_abort(struct ledger_program *program, EntryResult *result)
{
    bool committed = program->state == LEDGER_PROGRAM_OPEN || program->state == LEDGER_PROGRAM_ENDED;
    if (committed) {
        ledger_fail(result, RESULT_CONFLICT, "the hand-over is committed and cannot be aborted");
        return;
    }
    program->state = LEDGER_PROGRAM_ABORTED;
}

void ledger_handover(struct ledger *ledger, const HandoverChange *change, EntryResult *result)
{
    struct ledger_program *program = ledger_find(ledger, change->program);
    if (change->step == HANDOVER_STEP_PREPARE) {
        handover_prepare(ledger, program, change, result);
        return;
    }
    if (program == NULL || program->handover_site == NULL) {
        ledger_fail(result, RESULT_NOT_FOUND, "no hand-over of this program was prepared");
        return;
    }
    if (change->old_epoch != program->handover_epoch || !text_equal(change->old_site, program->handover_site)) {
        ledger_fail(result, RESULT_CONFLICT, "the hand-over has another epoch or old site");
        return;
    }
    ledger_touch(ledger, program);
    switch (change->step) {
    case HANDOVER_STEP_IMPORT: handover_import(ledger, program, change, result); break;
    case HANDOVER_STEP_COMMIT: handover_commit(program, result); break;
    case HANDOVER_STEP_ABORT: handover_abort(program, result); break;
    default: ledger_fail(result, RESULT_INVALID, "unknown hand-over step"); break;
    }
}
