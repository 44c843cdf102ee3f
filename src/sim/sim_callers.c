/*
 * Callers: each runs programs of several calls through gateways that may crash
 * or freeze, retries after failures, and checks every response.
 *
 * Invariants of a program, with the names used in failure messages:
 *   order         an engine runs call n only after call n-1 is settled
 *                 (acknowledged, or reported as unknown), and never after call n
 *                 itself is settled
 *   at most once  a call that is not repeatable runs at most once
 *   answer        all answers to a call are the same, and belong to this program
 *   history       the stored history is exactly the acknowledged calls in order
 *   budget        the tokens that engines used never exceed the budget
 *   not run       a call that was refused as not run has never run
 *   release       for an ended program that got answers, every replica has
 *                 recorded that engines must release its cache
 *   progress      every caller has finished its program at the end of a schedule
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/message.h"
#include "sim/sim.h"

enum {
    SIM_MAX_COMPLETION_TOKENS = 20,
    SIM_PROMPT_TOKENS = 30,
    SIM_CALLER_TOKEN = 1 << 16, /* not used */
    SIM_RETRY_MS = 200,
    SIM_ENGINE_RESPONSE_LOSS_PERCENT = 5,
    SIM_ATTEMPT_TIMEOUT_MS = 4000
};

static const char SIM_ENGINE[] = "engine-1";

void sim_callers_init(struct sim *sim)
{
    for (uint32_t i = 0; i < sim->options.callers; i++) {
        struct sim_caller *caller = &sim->callers[i];
        caller->sim = sim;
        caller->index = i;
        caller->due_ms = 500 + sim_random(sim, 1000);
    }
}

static uint32_t sim_caller_group(const struct sim_caller *caller)
{
    return state_machine_group_of(caller->program, caller->sim->options.groups);
}

static void sim_caller_send(struct sim_caller *caller, RequestKind kind, const pb_msgdesc_t *fields,
                            const void *message)
{
    struct sim *sim = caller->sim;
    caller->correlation_id = (++sim->last_id << 8) | caller->index;
    caller->waiting = true;
    sim_submit(sim, caller->gateway, sim_caller_group(caller), kind, fields, message, caller->correlation_id << 1);
}

/* Schedules a retry through a random running gateway. A call restarts with a new attempt. */
static void sim_caller_retry(struct sim_caller *caller)
{
    caller->waiting = false;
    caller->due_ms = caller->sim->now_ms + SIM_RETRY_MS + sim_random(caller->sim, SIM_RETRY_MS);
    caller->gateway = sim_pick_gateway(caller->sim);
    bool in_call = caller->state == SIM_CALLER_WAIT_BEGIN || caller->state == SIM_CALLER_RUNNING ||
                   caller->state == SIM_CALLER_WAIT_FINISH;
    if (in_call) {
        caller->state = SIM_CALLER_BEGIN;
    }
}

static void sim_caller_next_program(struct sim_caller *caller)
{
    struct sim *sim = caller->sim;
    caller->program_count++;
    snprintf(caller->program, sizeof(caller->program), "p%u%" PRIu64 "-1", caller->index, caller->program_count);
    memset(caller->calls, 0, sizeof(caller->calls));
    caller->call = 1;
    caller->call_count = 2 + sim_random(sim, 4);
    caller->budget_tokens = sim_chance(sim, 30) ? 150 : 100000;
    caller->used_tokens = 0;
    caller->needs_release = false;
    for (uint32_t i = 1; i <= SIM_MAX_CALLS; i++) {
        caller->calls[i].repeatable = sim_chance(sim, 60);
    }
    caller->state = SIM_CALLER_CREATE;
}

/* ---- Requests ------------------------------------------------------------------------ */

static void sim_caller_create(struct sim_caller *caller)
{
    Entry entry = {0};
    entry.which_command = Entry_program_create_tag;
    entry.command.program_create.id = caller->program;
    entry.command.program_create.tenant = (char *)(uintptr_t) "t";
    entry.command.program_create.budget_tokens = caller->budget_tokens;
    sim_caller_send(caller, REQUEST_PROPOSE, Entry_fields, &entry);
}

static void sim_caller_begin(struct sim_caller *caller)
{
    struct sim *sim = caller->sim;
    struct control_client *client = &sim_node(sim, caller->gateway)->client;
    if (!control_client_has_lease(client, sim->now_ms)) {
        sim_caller_retry(caller); /* without a lease, the gateway refuses the call as not run */
        return;
    }
    char messages[64];
    snprintf(messages, sizeof(messages), "\"q:%s:%u\"", caller->program, caller->call);
    snprintf(caller->attempt, sizeof(caller->attempt), "%032" PRIx64, ++sim->last_id);
    Entry entry = {0};
    entry.which_command = Entry_call_begin_tag;
    CallBegin *begin = &entry.command.call_begin;
    begin->program = caller->program;
    begin->tenant = (char *)(uintptr_t) "t";
    begin->call = caller->call;
    begin->attempt = caller->attempt;
    begin->gateway = caller->gateway;
    begin->gateway_epoch = client->epoch;
    begin->repeatable = caller->calls[caller->call].repeatable;
    begin->new_tokens_bound = SIM_PROMPT_TOKENS;
    begin->max_tokens = SIM_MAX_COMPLETION_TOKENS;
    begin->body_hash = caller->call;
    begin->timeout_ms = SIM_ATTEMPT_TIMEOUT_MS;
    begin->messages = messages;
    caller->state = SIM_CALLER_WAIT_BEGIN;
    sim_caller_send(caller, REQUEST_PROPOSE, Entry_fields, &entry);
}

static void sim_caller_answer_text(const struct sim_caller *caller, char *text, size_t size)
{
    snprintf(text, size, "\"a:%s:%u:%.32s\"", caller->program, caller->call, caller->attempt);
}

/* Proposes the end of the current attempt. Without `wait`, the gateway retries it in the background. */
static void sim_caller_finish(struct sim_caller *caller, bool wait)
{
    char answer[80];
    sim_caller_answer_text(caller, answer, sizeof(answer));
    Entry entry = {0};
    entry.which_command = Entry_call_finish_tag;
    CallFinish *finish = &entry.command.call_finish;
    finish->program = caller->program;
    finish->call = caller->call;
    finish->attempt = caller->attempt;
    finish->answer = answer;
    finish->prompt_tokens = SIM_PROMPT_TOKENS;
    finish->completion_tokens = caller->granted_tokens;
    finish->engine = (char *)(uintptr_t)SIM_ENGINE;
    if (!wait) {
        sim_submit_async(caller->sim, caller->gateway, sim_caller_group(caller), &entry);
        return;
    }
    caller->state = SIM_CALLER_WAIT_FINISH;
    sim_caller_send(caller, REQUEST_PROPOSE, Entry_fields, &entry);
}

static void sim_caller_abort(struct sim_caller *caller, AbortOutcome outcome)
{
    Entry entry = {0};
    entry.which_command = Entry_call_abort_tag;
    entry.command.call_abort.program = caller->program;
    entry.command.call_abort.call = caller->call;
    entry.command.call_abort.attempt = caller->attempt;
    entry.command.call_abort.outcome = outcome;
    sim_submit_async(caller->sim, caller->gateway, sim_caller_group(caller), &entry);
}

static void sim_caller_read(struct sim_caller *caller)
{
    ProgramQuery query = {.id = caller->program, .through_call = UINT32_MAX};
    sim_caller_send(caller, REQUEST_PROGRAM, ProgramQuery_fields, &query);
}

static void sim_caller_end(struct sim_caller *caller)
{
    Entry entry = {0};
    entry.which_command = Entry_program_end_tag;
    entry.command.program_end.id = caller->program;
    sim_caller_send(caller, REQUEST_PROPOSE, Entry_fields, &entry);
}

/* ---- Oracle ----------------------------------------------------------------------------- */

/* Records that an engine runs the current attempt, and checks order, at most once and budget. */
static void sim_oracle_check_run(struct sim_caller *caller)
{
    struct sim *sim = caller->sim;
    struct sim_call *call = &caller->calls[caller->call];
    call->run_count++;
    caller->used_tokens += SIM_PROMPT_TOKENS + caller->granted_tokens;
    if (call->run_count > 1 && !call->repeatable) {
        sim_fail(sim, "at most once: %s call %u ran %u times", caller->program, caller->call, call->run_count);
    }
    if (call->acknowledged || call->unknown) {
        sim_fail(sim, "order: %s call %u ran after it was settled", caller->program, caller->call);
    }
    if (caller->call > 1) {
        const struct sim_call *previous = &caller->calls[caller->call - 1];
        if (!previous->acknowledged && !previous->unknown) {
            sim_fail(sim, "order: %s call %u ran before the previous call was settled", caller->program, caller->call);
        }
    }
    if (caller->used_tokens > caller->budget_tokens) {
        sim_fail(sim, "budget: %s used %llu of %llu tokens", caller->program, (unsigned long long)caller->used_tokens,
                 (unsigned long long)caller->budget_tokens);
    }
    sim->counters.repeated_runs += call->run_count > 1 ? 1 : 0;
}

static void sim_oracle_check_answer(struct sim_caller *caller, const char *answer)
{
    struct sim *sim = caller->sim;
    struct sim_call *call = &caller->calls[caller->call];
    char expected[48];
    snprintf(expected, sizeof(expected), "\"a:%s:%u:", caller->program, caller->call);
    if (strncmp(answer, expected, strlen(expected)) != 0) {
        sim_fail(sim, "answer: %s call %u got an answer that is not its own: %s", caller->program, caller->call,
                 answer);
    }
    if (call->acknowledged && strcmp(call->acknowledged_answer, answer) != 0) {
        sim_fail(sim, "answer: %s call %u got two different answers", caller->program, caller->call);
    }
    if (call->unknown) {
        sim_fail(sim, "answer: %s call %u has an answer after it was reported as unknown", caller->program,
                 caller->call);
    }
    call->acknowledged = true;
    caller->needs_release = true;
    snprintf(call->acknowledged_answer, sizeof(call->acknowledged_answer), "%s", answer);
}

static void sim_oracle_check_history(struct sim_caller *caller, const char *history)
{
    struct buffer expected = {0};
    for (uint32_t i = 1; i < caller->call; i++) {
        if (caller->calls[i].acknowledged) {
            buffer_printf(&expected, "%s\"q:%s:%u\",%s", expected.length > 0 ? "," : "", caller->program, i,
                          caller->calls[i].acknowledged_answer);
        }
    }
    if (strcmp(buffer_text(&expected), text_or_empty(history)) != 0) {
        sim_fail(caller->sim, "history: the stored history of %s differs from its acknowledged calls: %.60s",
                 caller->program, text_or_empty(history));
    }
    buffer_close(&expected);
}

/* ---- Responses --------------------------------------------------------------------------- */

static void sim_caller_advance(struct sim_caller *caller)
{
    caller->call++;
    caller->state = caller->call > caller->call_count ? SIM_CALLER_READ : SIM_CALLER_BEGIN;
    caller->due_ms = caller->sim->now_ms + 20 + sim_random(caller->sim, 200);
    if (sim_chance(caller->sim, 30)) {
        caller->gateway = sim_pick_gateway(caller->sim); /* the next call may use another gateway */
    }
}

static void sim_caller_handle_begin_result(struct sim_caller *caller, const EntryResult *result)
{
    struct sim *sim = caller->sim;
    switch (result->code) {
    case RESULT_OK:
        caller->granted_tokens = result->granted_tokens;
        caller->state = SIM_CALLER_RUNNING;
        caller->due_ms = sim->now_ms + 20 + sim_random(sim, 300);
        sim_oracle_check_run(caller);
        return;
    case RESULT_REPLAY:
        sim->counters.replays++;
        sim_oracle_check_answer(caller, text_or_empty(result->answer));
        sim_caller_advance(caller);
        return;
    case RESULT_UNKNOWN:
        sim->counters.unknowns++;
        caller->calls[caller->call].unknown = true;
        sim_caller_advance(caller);
        return;
    case RESULT_BUDGET:
        sim->counters.budget_refusals++;
        if (caller->calls[caller->call].run_count > 0) {
            sim_fail(sim, "not run: %s call %u was refused as not run, but has run", caller->program, caller->call);
        }
        caller->state = SIM_CALLER_READ;
        return;
    case RESULT_IN_PROGRESS:
    case RESULT_STALE_ATTEMPT: sim_caller_retry(caller); return;
    default:
        sim_fail(sim, "begin of %s call %u: unexpected result code %d %s", caller->program, caller->call,
                 (int)result->code, text_or_empty(result->message));
        return;
    }
}

static void sim_caller_handle_finish_result(struct sim_caller *caller, const EntryResult *result)
{
    if (result->code != RESULT_OK) {
        sim_caller_retry(caller); /* another attempt replaced this one; the retry gets its answer */
        return;
    }
    char answer[80];
    sim_caller_answer_text(caller, answer, sizeof(answer));
    sim_oracle_check_answer(caller, answer);
    caller->sim->counters.calls++;
    sim_caller_advance(caller);
}

static void sim_caller_handle_result(struct sim_caller *caller, const EntryResult *result)
{
    switch (caller->state) {
    case SIM_CALLER_CREATE:
        if (result->code != RESULT_OK) {
            sim_fail(caller->sim, "create of %s: unexpected result code %d", caller->program, (int)result->code);
        }
        caller->state = SIM_CALLER_BEGIN;
        break;
    case SIM_CALLER_WAIT_BEGIN: sim_caller_handle_begin_result(caller, result); break;
    case SIM_CALLER_WAIT_FINISH: sim_caller_handle_finish_result(caller, result); break;
    case SIM_CALLER_END: caller->state = SIM_CALLER_DONE; break;
    default: break;
    }
}

static void sim_caller_handle_program_view(struct sim_caller *caller, struct view body)
{
    ProgramView view = {0};
    if (!message_decode(body, ProgramView_fields, &view)) {
        return;
    }
    caller->sim->counters.reads++;
    if (!view.found) {
        sim_fail(caller->sim, "history: %s was not found", caller->program);
    }
    sim_oracle_check_history(caller, view.history);
    caller->state = SIM_CALLER_END;
    message_free(ProgramView_fields, &view);
}

void sim_callers_complete(struct sim *sim, uint64_t token, ResultCode code, struct view body)
{
    uint64_t correlation_id = token >> 1;
    uint32_t index = (uint32_t)(correlation_id & 0xff);
    bool is_current = (token & 1) == 0 && index < sim->options.callers && sim->callers[index].waiting &&
                      sim->callers[index].correlation_id == correlation_id;
    if (!is_current) {
        return;
    }
    struct sim_caller *caller = &sim->callers[index];
    caller->waiting = false;
    if (code != RESULT_OK) {
        sim->counters.timeouts++;
        if (caller->state == SIM_CALLER_WAIT_BEGIN) {
            sim_caller_abort(caller, ABORT_NOT_RUN);
        } else if (caller->state == SIM_CALLER_WAIT_FINISH) {
            sim_caller_finish(caller, false);
        }
        sim_caller_retry(caller);
        return;
    }
    if (caller->state == SIM_CALLER_READ) {
        sim_caller_handle_program_view(caller, body);
        return;
    }
    EntryResult result = {0};
    if (message_decode(body, EntryResult_fields, &result)) {
        sim_caller_handle_result(caller, &result);
        message_free(EntryResult_fields, &result);
    }
}

void sim_callers_gateway_stopped(struct sim *sim, uint32_t gateway)
{
    for (uint32_t i = 0; i < sim->options.callers; i++) {
        struct sim_caller *caller = &sim->callers[i];
        if (caller->gateway == gateway) {
            sim_caller_retry(caller);
        }
    }
}

/* ---- Steps ---------------------------------------------------------------------------------- */

static void sim_caller_step(struct sim_caller *caller)
{
    struct sim *sim = caller->sim;
    if (caller->gateway == 0) {
        caller->gateway = sim_pick_gateway(sim);
        sim_caller_next_program(caller);
    }
    const struct sim_node *node = sim_node(sim, caller->gateway);
    if (!node->up || node->frozen) {
        return;
    }
    switch (caller->state) {
    case SIM_CALLER_CREATE: sim_caller_create(caller); break;
    case SIM_CALLER_BEGIN: sim_caller_begin(caller); break;
    case SIM_CALLER_RUNNING:
        if (!sim->settling && sim_chance(sim, SIM_ENGINE_RESPONSE_LOSS_PERCENT)) {
            sim_caller_abort(caller, ABORT_UNKNOWN); /* the engine's response is lost; the caller retries */
            sim_caller_retry(caller);
        } else {
            sim_caller_finish(caller, true);
        }
        break;
    case SIM_CALLER_READ: sim_caller_read(caller); break;
    case SIM_CALLER_END: sim_caller_end(caller); break;
    case SIM_CALLER_DONE:
        if (!sim->settling) {
            sim_caller_next_program(caller);
        }
        break;
    default: break;
    }
}

void sim_callers_step(struct sim *sim)
{
    for (uint32_t i = 0; i < sim->options.callers && !sim->failed; i++) {
        struct sim_caller *caller = &sim->callers[i];
        if (!caller->waiting && sim->now_ms >= caller->due_ms) {
            sim_caller_step(caller);
        }
    }
}

/* ---- Final checks ------------------------------------------------------------------------------ */

static bool sim_has_release(const struct ledger *ledger, const char *program)
{
    for (const struct ledger_release *release = ledger->releases; release != NULL; release = release->hh.next) {
        if (strcmp(release->program, program) == 0) {
            return true;
        }
    }
    return false;
}

void sim_callers_check(struct sim *sim)
{
    for (uint32_t i = 0; i < sim->options.callers; i++) {
        const struct sim_caller *caller = &sim->callers[i];
        if (caller->state != SIM_CALLER_DONE) {
            sim_fail(sim, "progress: %s call %u is in state %d at the end", caller->program, caller->call,
                     (int)caller->state);
            return;
        }
        for (uint32_t j = 0; caller->needs_release && j < sim->options.replicas; j++) {
            const struct state_machine *machine = &sim->nodes[j].replica.groups[sim_caller_group(caller)].machine;
            if (!sim_has_release(&machine->ledger, caller->program)) {
                sim_fail(sim, "release: node %u recorded no release of %s", sim->nodes[j].id, caller->program);
            }
        }
    }
}
