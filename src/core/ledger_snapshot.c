/* Export and import of the state of a partition. */
#include "core/ledger_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static char *snapshot_copy_text(const char *text)
{
    return text == NULL || text[0] == '\0' ? NULL : text_copy(text);
}

/* Sets either the content of a text or its location in the history store. */
static void snapshot_export_text(const struct ledger *ledger, bool with_text, const struct history_ref *ref,
                                 char **text, bool *has_ref, HistoryRef *wire)
{
    if (ref->length == 0) {
        return;
    }
    if (!with_text) {
        *has_ref = true;
        wire->segment = ref->segment;
        wire->offset = ref->offset;
        wire->length = ref->length;
        return;
    }
    struct buffer content = {0};
    if (ledger->history.read(ledger->history.context, ref, &content)) {
        *text = buffer_text(&content);
    }
}

static void snapshot_import_text(struct ledger *ledger, const char *text, bool has_ref, const HistoryRef *wire,
                                 struct history_ref *ref)
{
    if (has_ref) {
        ref->segment = wire->segment;
        ref->offset = wire->offset;
        ref->length = wire->length;
        ledger->history.mark_used(ledger->history.context, ref);
        return;
    }
    if (text != NULL) {
        ledger->history.append(ledger->history.context, view_of_string(text), ref);
    }
}

static void export_running(const struct ledger_running *running, CallRecord *record)
{
    record->gateway = running->gateway;
    record->gateway_epoch = running->gateway_epoch;
    record->reserved = running->reserved;
    record->granted = running->granted;
    record->expires_ms = running->expires_ms;
    record->after_loss = running->after_loss;
}

static void import_running(const CallRecord *record, struct ledger_running *running)
{
    running->gateway = record->gateway;
    running->gateway_epoch = record->gateway_epoch;
    running->reserved = record->reserved;
    running->granted = record->granted;
    running->expires_ms = record->expires_ms;
    running->after_loss = record->after_loss;
}

static void export_call(const struct ledger *ledger, bool with_text, const struct ledger_call *call, CallRecord *record)
{
    record->number = call->number;
    record->attempt = text_copy(call->attempt);
    record->state = call->state;
    record->repeatable = call->repeatable;
    record->body_hash = call->body_hash;
    record->prompt_tokens = call->prompt_tokens;
    record->completion_tokens = call->completion_tokens;
    record->cached_tokens = call->cached_tokens;
    record->finished_s = call->finished_s;
    record->idempotency_key = snapshot_copy_text(call->idempotency_key);
    record->finish_reason = snapshot_copy_text(call->finish_reason);
    snapshot_export_text(ledger, with_text, &call->messages, &record->messages, &record->has_messages_ref,
                         &record->messages_ref);
    snapshot_export_text(ledger, with_text, &call->answer, &record->answer, &record->has_answer_ref,
                         &record->answer_ref);
}

static void export_program(const struct ledger *ledger, bool with_text, const struct ledger_program *program,
                           ProgramRecord *record)
{
    record->has_create = true;
    record->create.id = text_copy(program->id);
    record->create.tenant = snapshot_copy_text(program->tenant);
    record->create.policy = snapshot_copy_text(program->policy);
    record->create.parent = snapshot_copy_text(program->parent);
    record->create.budget_tokens = program->budget;
    record->create.deadline_ms = program->deadline_ms;
    record->create.max_turns = program->max_turns;
    record->create.max_identical_calls = program->max_identical_calls;
    record->spent = program->spent;
    record->reserved = program->reserved;
    record->attained = program->attained;
    record->context_tokens = program->context_tokens;
    record->last_active_ms = program->last_active_ms;
    record->state = program->state;
    record->engine = snapshot_copy_text(program->engine);
    record->owner = snapshot_copy_text(program->handover_site);
    record->owner_epoch = program->handover_epoch;
    record->single = program->single_call;
    record->first_call = program->first_call;
    record->next_call = program->next_call;
    record->identical_calls = program->identical_calls;
    record->aborted_attempt = snapshot_copy_text(program->aborted_attempt);
    snapshot_export_text(ledger, with_text, &program->imported, &record->imported_history, &record->has_imported_ref,
                         &record->imported_ref);
    record->calls_count = (pb_size_t)program->call_count;
    record->calls = memory_new(program->call_count * sizeof(*record->calls));
    for (uint32_t i = 0; i < program->call_count; i++) {
        export_call(ledger, with_text, &program->calls[i], &record->calls[i]);
        if (program->calls[i].state == LEDGER_CALL_RUNNING) {
            export_running(&program->running, &record->calls[i]);
        }
    }
    record->held_engines_count = (pb_size_t)program->held_count;
    record->held_engines = memory_new(program->held_count * sizeof(*record->held_engines));
    for (uint32_t i = 0; i < program->held_count; i++) {
        record->held_engines[i] = text_copy(program->held_engines[i]);
    }
}

ledger_export_t ledger_export_begin(const struct ledger *ledger)
{
    return (ledger_export_t){.program = ledger->oldest, .release = ledger->releases};
}

static size_t export_room(size_t count)
{
    return count < PB_SIZE_MAX ? count : PB_SIZE_MAX;
}

void ledger_export(const struct ledger *ledger, bool with_text, ledger_export_t *rest, StateSnapshot *snapshot)
{
    size_t programs = export_room(ledger_count(ledger));
    size_t releases = export_room(HASH_COUNT(ledger->releases));
    snapshot->time_ms = ledger->time_ms;
    snapshot->programs = memory_new(programs * sizeof(*snapshot->programs));
    for (; rest->program != NULL && snapshot->programs_count < programs; rest->program = rest->program->newer) {
        export_program(ledger, with_text, rest->program, &snapshot->programs[snapshot->programs_count++]);
    }
    snapshot->releases = memory_new(releases * sizeof(*snapshot->releases));
    for (; rest->release != NULL && snapshot->releases_count < releases; rest->release = rest->release->hh.next) {
        PendingRelease *record = &snapshot->releases[snapshot->releases_count++];
        record->program = text_copy(rest->release->program);
        record->engine = text_copy(rest->release->engine);
    }
}

static void import_call(struct ledger *ledger, const CallRecord *record, struct ledger_call *call)
{
    call->number = record->number;
    snprintf(call->attempt, sizeof(call->attempt), "%s", text_or_empty(record->attempt));
    call->state = (enum ledger_call_state)record->state;
    call->repeatable = record->repeatable;
    call->body_hash = record->body_hash;
    call->prompt_tokens = (uint32_t)record->prompt_tokens;
    call->completion_tokens = (uint32_t)record->completion_tokens;
    call->cached_tokens = (uint32_t)record->cached_tokens;
    call->finished_s = record->finished_s;
    call->idempotency_key = snapshot_copy_text(record->idempotency_key);
    call->finish_reason = ledger_reason_intern(record->finish_reason);
    snapshot_import_text(ledger, record->messages, record->has_messages_ref, &record->messages_ref, &call->messages);
    snapshot_import_text(ledger, record->answer, record->has_answer_ref, &record->answer_ref, &call->answer);
}

static void import_program(struct ledger *ledger, const ProgramRecord *record)
{
    struct ledger_program *program = ledger_add(ledger, text_or_empty(record->create.id));
    program->tenant = text_copy(record->create.tenant);
    program->policy = text_copy(record->create.policy);
    program->parent = snapshot_copy_text(record->create.parent);
    program->budget = record->create.budget_tokens;
    program->deadline_ms = record->create.deadline_ms;
    program->max_turns = record->create.max_turns;
    program->max_identical_calls = record->create.max_identical_calls;
    program->spent = record->spent;
    program->reserved = record->reserved;
    program->attained = record->attained;
    program->context_tokens = record->context_tokens;
    program->last_active_ms = record->last_active_ms;
    program->state = (enum ledger_program_state)record->state;
    program->engine = snapshot_copy_text(record->engine);
    program->handover_site = snapshot_copy_text(record->owner);
    program->handover_epoch = record->owner_epoch;
    program->single_call = record->single;
    program->first_call = record->first_call;
    program->next_call = record->next_call;
    program->identical_calls = record->identical_calls;
    snprintf(program->aborted_attempt, sizeof(program->aborted_attempt), "%s", text_or_empty(record->aborted_attempt));
    snapshot_import_text(ledger, record->imported_history, record->has_imported_ref, &record->imported_ref,
                         &program->imported);
    program->call_count = record->calls_count;
    program->calls = memory_new(record->calls_count * sizeof(*program->calls));
    for (pb_size_t i = 0; i < record->calls_count; i++) {
        import_call(ledger, &record->calls[i], &program->calls[i]);
        if (program->calls[i].state == LEDGER_CALL_RUNNING) {
            import_running(&record->calls[i], &program->running);
        }
    }
    for (pb_size_t i = 0; i < record->held_engines_count; i++) {
        ledger_add_engine(program, record->held_engines[i]);
    }
}

void ledger_import(struct ledger *ledger, const StateSnapshot *snapshot)
{
    ledger->time_ms = snapshot->time_ms;
    for (pb_size_t i = 0; i < snapshot->programs_count; i++) {
        import_program(ledger, &snapshot->programs[i]);
    }
    for (pb_size_t i = 0; i < snapshot->releases_count; i++) {
        ledger_add_release(ledger, snapshot->releases[i].program, snapshot->releases[i].engine);
    }
}

void ledger_import_end(struct ledger *ledger)
{
    for (struct ledger_program *program = ledger->oldest; program != NULL; program = program->newer) {
        ledger_attach(ledger, program);
    }
}
