/* Calls of a program: begin, finish and abort, with budget reservation. */
#include "core/ledger_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { LEDGER_EXPIRES_LOST_MS = 1 /* expires_ms of an attempt known to be lost: always in the past */ };

/* ---- Budget, charged to the program and all its ancestors ---------------- */

static uint64_t ledger_remaining(const struct ledger_program *program)
{
    uint64_t least = UINT64_MAX;
    for (const struct ledger_program *p = program; p != NULL; p = p->parent_program) {
        if (p->budget == 0) {
            continue;
        }
        uint64_t used = p->spent + p->reserved;
        uint64_t left = used >= p->budget ? 0 : p->budget - used;
        least = left < least ? left : least;
    }
    return least;
}

static void ledger_reserve(struct ledger_program *program, uint64_t tokens)
{
    for (struct ledger_program *p = program; p != NULL; p = p->parent_program) {
        p->reserved += tokens;
    }
}

/* Replaces the reservation of the running call by the tokens spent. */
static void ledger_settle(struct ledger_program *program, uint64_t spent)
{
    for (struct ledger_program *p = program; p != NULL; p = p->parent_program) {
        p->reserved -= program->running.reserved;
        p->spent += spent;
    }
    ledger_root(program)->attained += spent;
    program->running.reserved = 0;
}

/* ---- Lookup ---------------------------------------------------------------- */

static struct ledger_call *ledger_find_call_by_number(struct ledger_program *program, uint32_t number)
{
    bool stored = number >= program->first_call && number < program->first_call + program->call_count;
    return stored ? &program->calls[number - program->first_call] : NULL;
}

static struct ledger_call *ledger_find_call_by_key(struct ledger_program *program, const char *key)
{
    if (text_or_empty(key)[0] == '\0') {
        return NULL;
    }
    for (uint32_t i = program->call_count; i > 0; i--) {
        struct ledger_call *call = &program->calls[i - 1];
        if (call->idempotency_key != NULL && strcmp(call->idempotency_key, key) == 0) {
            return call;
        }
    }
    return NULL;
}

/* ---- Begin ----------------------------------------------------------------- */

static void ledger_fill_begin_result(struct ledger_program *program, const struct ledger_call *call,
                                     EntryResult *result)
{
    result->call = call->number;
    result->granted_tokens = program->running.granted;
    result->after_loss = program->running.after_loss;
    result->context_tokens = program->context_tokens;
    result->engine = program->engine;
    result->policy = program->policy;
    result->tenant = program->tenant;
    result->attained_tokens = ledger_root(program)->attained;
}

static void ledger_replay(struct ledger *ledger, const struct ledger_call *call, EntryResult *result)
{
    buffer_clear(&ledger->scratch);
    if (!ledger->history.read(ledger->history.context, &call->answer, &ledger->scratch)) {
        ledger_fail(result, RESULT_UNAVAILABLE, "the stored answer cannot be read");
        return;
    }
    result->code = RESULT_REPLAY;
    result->call = call->number;
    result->answer = buffer_text(&ledger->scratch);
    result->finish_reason = call->finish_reason;
    result->prompt_tokens = call->prompt_tokens;
    result->completion_tokens = call->completion_tokens;
    result->cached_tokens = call->cached_tokens;
    result->attempt = (char *)(uintptr_t)call->attempt;
    result->finished_s = call->finished_s;
}

/* Reserves an upper bound of the tokens of an attempt and limits its completion to the budget. Returns false if the
 * budget does not cover the prompt and one token. */
static bool ledger_grant(struct ledger_program *program, const CallBegin *begin)
{
    struct ledger_running *running = &program->running;
    uint64_t remaining = ledger_remaining(program);
    uint64_t prompt_bound = program->context_tokens + begin->new_tokens_bound;
    if (remaining <= prompt_bound) {
        return false;
    }
    uint64_t completion = remaining - prompt_bound;
    running->granted = begin->max_tokens < completion ? begin->max_tokens : completion;
    running->reserved = prompt_bound + running->granted;
    ledger_reserve(program, running->reserved);
    return true;
}

static void ledger_assign_attempt(const struct ledger *ledger, struct ledger_program *program, struct ledger_call *call,
                                  const CallBegin *begin)
{
    struct ledger_running *running = &program->running;
    snprintf(call->attempt, sizeof(call->attempt), "%s", text_or_empty(begin->attempt));
    running->expires_ms = begin->timeout_ms == 0 ? 0 : ledger->time_ms + begin->timeout_ms;
    running->gateway = begin->gateway;
    running->gateway_epoch = begin->gateway_epoch;
}

static void ledger_mark_unknown(struct ledger_program *program, struct ledger_call *call)
{
    ledger_settle(program, program->running.reserved);
    call->state = LEDGER_CALL_UNKNOWN;
    program->next_call = call->number + 1;
}

/* Replaces a lost attempt by a new one, or sets the call to unknown. The reservation of the lost attempt is charged as
 * spent, since it may have run. */
static void ledger_retry_call(const struct ledger *ledger, struct ledger_program *program, struct ledger_call *call,
                              const CallBegin *begin, EntryResult *result)
{
    if (!call->repeatable) {
        ledger_mark_unknown(program, call);
        ledger_fail(result, RESULT_UNKNOWN, "the attempt was lost and the call may not be repeated");
        return;
    }
    ledger_settle(program, program->running.reserved);
    if (!ledger_grant(program, begin)) {
        call->state = LEDGER_CALL_UNKNOWN;
        program->next_call = call->number + 1;
        ledger_fail(result, RESULT_UNKNOWN, "the budget does not allow another attempt");
        return;
    }
    ledger_assign_attempt(ledger, program, call, begin);
    program->running.after_loss = true;
    ledger_fill_begin_result(program, call, result);
}

/* An attempt is lost if the lease of its gateway expired, it timed out (a delayed copy of a begin can start an attempt
 * that no gateway runs), or it was aborted and the call was kept (ledger_keep_for_retry()). */
static bool ledger_attempt_is_lost(const struct ledger *ledger, const struct ledger_program *program,
                                   bool owner_expired)
{
    uint64_t expires_ms = program->running.expires_ms;
    return owner_expired || (expires_ms != 0 && ledger->time_ms > expires_ms);
}

/* Sets a lost call to unknown if the caller begins the next call instead of retrying it. */
static void ledger_abandon_lost_call(const struct ledger *ledger, struct ledger_program *program, bool owner_expired,
                                     const CallBegin *begin)
{
    struct ledger_call *running = ledger_running_call(program);
    if (running == NULL || !ledger_attempt_is_lost(ledger, program, owner_expired)) {
        return;
    }
    bool next = begin->call == running->number + 1;
    bool another = begin->call == 0 && begin->body_hash != running->body_hash;
    if (next || another) {
        ledger_mark_unknown(program, running);
    }
}

static void ledger_begin_existing(struct ledger *ledger, struct ledger_program *program, struct ledger_call *call,
                                  bool owner_expired, const CallBegin *begin, EntryResult *result)
{
    result->call = call->number;
    if (call->body_hash != begin->body_hash) {
        ledger_fail(result, RESULT_CONFLICT, "this call number or key was used with another request");
        return;
    }
    if (call->state == LEDGER_CALL_FINISHED) {
        ledger_replay(ledger, call, result);
        return;
    }
    if (call->state == LEDGER_CALL_UNKNOWN) {
        ledger_fail(result, RESULT_UNKNOWN, "the call may have run and will not run again");
        return;
    }
    if (text_equal(call->attempt, begin->attempt)) {
        ledger_fill_begin_result(program, call, result);
        return;
    }
    bool replaces = text_or_empty(begin->replaces)[0] != '\0' && text_equal(call->attempt, begin->replaces);
    if (replaces || ledger_attempt_is_lost(ledger, program, owner_expired)) {
        ledger_retry_call(ledger, program, call, begin, result);
        return;
    }
    ledger_fail(result, RESULT_IN_PROGRESS, "the call is running");
}

static bool ledger_limits_allow(const struct ledger *ledger, const struct ledger_program *program,
                                const CallBegin *begin, EntryResult *result)
{
    if (program->deadline_ms != 0 && ledger->time_ms > program->deadline_ms) {
        ledger_fail(result, RESULT_LIMIT, "the program's deadline has passed");
        return false;
    }
    if (program->max_turns != 0 && program->next_call > program->max_turns) {
        ledger_fail(result, RESULT_LIMIT, "the policy's limit of turns is reached");
        return false;
    }
    const struct ledger_call *last = program->call_count == 0 ? NULL : &program->calls[program->call_count - 1];
    bool identical = last != NULL && last->body_hash == begin->body_hash;
    if (identical && program->max_identical_calls != 0 && program->identical_calls >= program->max_identical_calls) {
        ledger_fail(result, RESULT_LIMIT, "the policy's limit of identical calls is reached");
        return false;
    }
    return true;
}

static void ledger_begin_new(struct ledger *ledger, struct ledger_program *program, const CallBegin *begin,
                             EntryResult *result)
{
    struct ledger_call call = {.number = program->next_call, .state = LEDGER_CALL_RUNNING};
    if (!ledger_limits_allow(ledger, program, begin, result)) {
        return;
    }
    if (!ledger_grant(program, begin)) {
        ledger_fail(result, RESULT_BUDGET, "the budget does not cover the prompt and one token of answer");
        return;
    }
    ledger_assign_attempt(ledger, program, &call, begin);
    program->running.after_loss = false;
    call.repeatable = begin->repeatable;
    call.body_hash = begin->body_hash;
    call.idempotency_key = text_or_empty(begin->idempotency_key)[0] == '\0' ? NULL : text_copy(begin->idempotency_key);
    ledger->history.append(ledger->history.context, view_of_string(begin->messages), &call.messages);
    program->calls = memory_resize(program->calls, (program->call_count + 1) * sizeof(call));
    program->calls[program->call_count++] = call;
    ledger_fill_begin_result(program, &call, result);
}

static bool ledger_is_owned_here(const struct ledger_program *program)
{
    return program->state == LEDGER_PROGRAM_OPEN || program->state == LEDGER_PROGRAM_ENDED;
}

void ledger_begin_call(struct ledger *ledger, bool owner_expired, const CallBegin *begin, EntryResult *result)
{
    if (strlen(text_or_empty(begin->attempt)) != LEDGER_ATTEMPT_LENGTH) {
        ledger_fail(result, RESULT_INVALID, "the attempt id is malformed");
        return;
    }
    struct ledger_program *program = ledger_find(ledger, begin->program);
    if (program == NULL && begin->has_create) {
        ledger_create(ledger, &begin->create, result);
        program = ledger_find(ledger, begin->program);
        if (program == NULL) {
            return;
        }
        program->single_call = true;
    }
    if (program == NULL) {
        ledger_fail(result, RESULT_NOT_FOUND, "no such program");
        return;
    }
    if (!text_equal(program->tenant, begin->tenant) && ledger_is_owned_here(program)) {
        ledger_fail(result, RESULT_NOT_FOUND, "no such program");
        return;
    }
    if (!ledger_is_owned_here(program)) {
        ledger_fail(result, RESULT_NOT_OWNER, "another site owns the program");
        result->owner = program->handover_site;
        return;
    }
    ledger_abandon_lost_call(ledger, program, owner_expired, begin);
    struct ledger_call *existing = ledger_find_call_by_key(program, begin->idempotency_key);
    if (existing != NULL && begin->call != 0 && existing->number != begin->call) {
        ledger_fail(result, RESULT_CONFLICT, "the idempotency key was used for another call number");
        return;
    }
    uint32_t number = begin->call;
    if (existing == NULL && number != 0) {
        existing = ledger_find_call_by_number(program, number);
    }
    if (existing == NULL && number == 0) {
        existing = ledger_running_call(program);
    }
    if (text_equal(program->aborted_attempt, begin->attempt)) {
        ledger_fail(result, RESULT_STALE_ATTEMPT, "the attempt was aborted before it began");
    } else if (existing != NULL) {
        ledger_begin_existing(ledger, program, existing, owner_expired, begin, result);
    } else if (program->state == LEDGER_PROGRAM_ENDED) {
        ledger_fail(result, RESULT_ENDED, "the program has ended");
    } else if (number != 0 && number != program->next_call) {
        ledger_fail(result, RESULT_OUT_OF_ORDER, "the call number does not follow the last finished call");
        result->call = program->next_call;
    } else if (ledger_running_call(program) != NULL) {
        ledger_fail(result, RESULT_IN_PROGRESS, "another call of the program is running");
    } else {
        ledger_begin_new(ledger, program, begin, result);
    }
    ledger_touch(ledger, program);
    /* A single-call program whose call was refused is not kept. */
    if (program->single_call && program->call_count == 0) {
        ledger_remove(ledger, program);
        result->engine = NULL;
    }
}

/* ---- Finish and abort ------------------------------------------------------ */

/* False for every attempt if the call has none (ledger_keep_for_retry()). */
static bool ledger_is_current_attempt(const struct ledger_call *call, const char *attempt)
{
    return call->attempt[0] != '\0' && text_equal(call->attempt, attempt);
}

static struct ledger_call *ledger_find_attempt(struct ledger_program *program, uint32_t number, const char *attempt,
                                               EntryResult *result)
{
    struct ledger_call *call = program == NULL ? NULL : ledger_find_call_by_number(program, number);
    if (call == NULL) {
        ledger_fail(result, RESULT_NOT_FOUND, "no such call");
        return NULL;
    }
    if (!ledger_is_current_attempt(call, attempt)) {
        ledger_fail(result, RESULT_STALE_ATTEMPT, "another attempt took the call over");
        return NULL;
    }
    return call;
}

static void ledger_count_identical(struct ledger_program *program, const struct ledger_call *call)
{
    const struct ledger_call *before = program->call_count < 2 ? NULL : &program->calls[program->call_count - 2];
    bool identical = before != NULL && before->body_hash == call->body_hash;
    program->identical_calls = identical ? program->identical_calls + 1 : 1;
}

static void ledger_finish_running(struct ledger *ledger, struct ledger_program *program, struct ledger_call *call,
                                  const CallFinish *finish)
{
    ledger_settle(program, finish->prompt_tokens + finish->completion_tokens);
    call->state = LEDGER_CALL_FINISHED;
    call->finished_s = (uint32_t)(ledger->time_ms / 1000U);
    call->prompt_tokens = (uint32_t)finish->prompt_tokens;
    call->completion_tokens = (uint32_t)finish->completion_tokens;
    call->cached_tokens = (uint32_t)finish->cached_tokens;
    call->finish_reason = ledger_reason_intern(finish->finish_reason);
    ledger->history.append(ledger->history.context, view_of_string(finish->answer), &call->answer);
    program->next_call = call->number + 1;
    program->context_tokens = finish->prompt_tokens + finish->completion_tokens;
    free(program->engine);
    program->engine = text_copy(finish->engine);
    ledger_count_identical(program, call);
}

/* Without an idempotency key the call cannot be repeated, so the program is removed at once. */
static void ledger_end_single(struct ledger *ledger, struct ledger_program *program)
{
    if (program->call_count == 0 || program->calls[0].idempotency_key == NULL) {
        ledger_remove(ledger, program);
        return;
    }
    program->state = LEDGER_PROGRAM_ENDED;
}

void ledger_finish_call(struct ledger *ledger, const CallFinish *finish, EntryResult *result)
{
    struct ledger_program *program = ledger_find(ledger, finish->program);
    struct ledger_call *call = ledger_find_attempt(program, finish->call, finish->attempt, result);
    if (call == NULL) {
        return;
    }
    if (call->state == LEDGER_CALL_FINISHED) {
        result->finished_s = call->finished_s;
        return;
    }
    if (call->state != LEDGER_CALL_RUNNING) {
        ledger_fail(result, RESULT_STALE_ATTEMPT, "the call was closed before its answer came");
        return;
    }
    ledger_finish_running(ledger, program, call, finish);
    result->finished_s = call->finished_s;
    ledger_touch(ledger, program);
    if (program->single_call) {
        ledger_end_single(ledger, program);
        return;
    }
    ledger_add_engine(program, finish->engine);
}

static void ledger_remove_last_call(struct ledger *ledger, struct ledger_program *program)
{
    struct ledger_call *call = &program->calls[program->call_count - 1];
    ledger_settle(program, 0);
    ledger_call_close(ledger, call);
    program->call_count--;
}

/* Makes ledger_begin_call() refuse a late begin of an aborted attempt. */
static void ledger_fence_attempt(struct ledger_program *program, const char *attempt)
{
    snprintf(program->aborted_attempt, sizeof(program->aborted_attempt), "%s", text_or_empty(attempt));
}

/* Marks the current attempt as lost and keeps the call, since one of its attempts may have run. An attempt that did not
 * run releases its reservation and is no longer current: a late finish of it would be charged beyond the budget. */
static void ledger_keep_for_retry(struct ledger_program *program, struct ledger_call *call, AbortOutcome outcome)
{
    if (outcome == ABORT_NOT_RUN) {
        ledger_settle(program, 0);
        ledger_fence_attempt(program, call->attempt);
        call->attempt[0] = '\0';
    }
    program->running.expires_ms = LEDGER_EXPIRES_LOST_MS;
}

void ledger_abort_call(struct ledger *ledger, const CallAbort *abort_entry)
{
    struct ledger_program *program = ledger_find(ledger, abort_entry->program);
    struct ledger_call *call = program == NULL ? NULL : ledger_running_call(program);
    bool running = call != NULL && ledger_is_current_attempt(call, abort_entry->attempt);
    if (!running) {
        if (program != NULL && abort_entry->outcome == ABORT_NOT_RUN) {
            ledger_fence_attempt(program, abort_entry->attempt);
        }
        return;
    }
    bool may_have_run = abort_entry->outcome == ABORT_UNKNOWN || program->running.after_loss;
    bool can_be_retried = !program->single_call || call->idempotency_key != NULL;
    ledger_touch(ledger, program);
    if (may_have_run && call->repeatable && can_be_retried) {
        ledger_keep_for_retry(program, call, abort_entry->outcome);
        return;
    }
    if (may_have_run) {
        ledger_mark_unknown(program, call);
    } else {
        ledger_fence_attempt(program, call->attempt);
        ledger_remove_last_call(ledger, program);
    }
    if (program->single_call) {
        ledger_end_single(ledger, program);
    }
}

void ledger_abandon_running(struct ledger_program *program)
{
    struct ledger_call *call = ledger_running_call(program);
    if (call != NULL) {
        ledger_mark_unknown(program, call);
    }
}
