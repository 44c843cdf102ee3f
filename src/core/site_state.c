#include "core/site_state.h"

#include <stdlib.h>
#include <string.h>

void site_state_init(struct site_state *state, const struct history_io *history)
{
    memset(state, 0, sizeof(*state));
    state->turns.history = *history;
}

void site_state_close(struct site_state *state)
{
    free((void *)(uintptr_t)state->document.content.data);
    turn_store_close(&state->turns);
    budget_table_close(&state->budgets);
    for (uint32_t i = 0; i < state->retiring_count; i++) {
        free(state->retiring_machines[i]);
    }
    free(state->retiring_machines);
    zone_set_close(&state->drained);
    stream_origins_close(&state->stream_origins);
    quarantine_clear(&state->failures);
    open_attempts_close(&state->open_attempts);
    service_versions_close(&state->versions);
    memset(state, 0, sizeof(*state));
}

/* Only a higher version replaces the document; others are acknowledged without effect. */
static void site_put_document(struct site_state *state, const DocumentPut *put, EntryResult *result)
{
    if (put->version > state->document.version) {
        free((void *)(uintptr_t)state->document.content.data);
        state->document.version = put->version;
        state->document.content = view_of(memory_copy(put->content.data, put->content.length), put->content.length);
    }
    result->revision = state->document.version;
}

static void site_report_suspicion(const struct site_state *state, uint64_t operation, uint64_t attempt,
                                  EntryResult *result)
{
    result->operation = operation;
    result->suspicion =
        quarantine_count(&state->failures, operation) + open_attempts_others(&state->open_attempts, operation, attempt);
}

/* Only until its settlement: a begin that is applied afterwards opens nothing. */
static void site_open_turn(struct site_state *state, const TurnBegin *begin, EntryResult *result)
{
    uint64_t attempt = budget_turn_key(begin->turn);
    if (budget_table_has_reservation(&state->budgets, begin->program, begin->turn)) {
        open_attempts_add(&state->open_attempts, state->time_ms, begin->operation, attempt);
    }
    site_report_suspicion(state, begin->operation, attempt, result);
}

/* The result borrows the name of the server that caches the program's prompt. */
static void site_begin_turn(struct site_state *state, const TurnBegin *begin, EntryResult *result)
{
    if (!budget_table_reserve(&state->budgets, state->time_ms, begin)) {
        result->code = RESULT_BUDGET;
    } else if (begin->operation != 0) {
        site_open_turn(state, begin, result);
    }
    result->engine = (char *)(uintptr_t)budget_table_server(&state->budgets, begin->program);
}

static void site_finish_turn(struct site_state *state, const TurnFinish *finish, EntryResult *result)
{
    if (text_or_empty(finish->program)[0] != '\0') {
        budget_table_settle(&state->budgets, state->time_ms, finish);
        open_attempts_remove(&state->open_attempts, budget_turn_key(finish->turn));
    }
    if (!finish->keep) {
        return;
    }
    struct turn_content content = {
        .id = finish->turn,
        .parent = finish->parent,
        .input = finish->input,
        .output = finish->output,
        .retention_ms = finish->retention_ms + SITE_TURN_SLACK_MS,
        .tenant = finish->tenant,
    };
    if (!turn_store_add(&state->turns, state->time_ms, &content)) {
        result->code = RESULT_NOT_FOUND;
    }
}

bool site_state_is_retiring(const struct site_state *state, const char *machine)
{
    for (uint32_t i = 0; i < state->retiring_count; i++) {
        if (text_equal(state->retiring_machines[i], machine)) {
            return true;
        }
    }
    return false;
}

static void site_start_retire(struct site_state *state, const RetireStart *start)
{
    if (site_state_is_retiring(state, start->machine)) {
        return;
    }
    state->retiring_machines =
        memory_resize(state->retiring_machines, (state->retiring_count + 1) * sizeof(*state->retiring_machines));
    state->retiring_machines[state->retiring_count++] = text_copy(start->machine);
}

/* Idempotent: a zone that is already in the requested state is acknowledged. */
static void site_drain_zone(struct site_state *state, const ZoneDrain *drain, EntryResult *result)
{
    if (zone_set_put(&state->drained, text_or_empty(drain->zone), drain->drained) == ZONE_SET_FULL) {
        result->code = RESULT_LIMIT;
    }
    result->revision = state->drained.revision;
}

static void site_expire(struct site_state *state)
{
    if (state->time_ms < state->last_sweep_ms + SITE_EXPIRE_PERIOD_MS) {
        return;
    }
    state->last_sweep_ms = state->time_ms;
    turn_store_expire(&state->turns, state->time_ms);
    budget_table_expire(&state->budgets, state->time_ms);
    stream_origins_expire(&state->stream_origins, state->time_ms);
    quarantine_expire(&state->failures, state->time_ms);
    open_attempts_expire(&state->open_attempts, state->time_ms);
}

static void site_begin_stream(struct site_state *state, const StreamBegin *begin, EntryResult *result)
{
    if (!stream_origins_put(&state->stream_origins, state->time_ms, begin)) {
        result->code = RESULT_LIMIT;
    }
}

static void site_put_version(struct site_state *state, const ServiceVersion *entry, EntryResult *result)
{
    if (!service_versions_put(&state->versions, state->time_ms, entry)) {
        result->code = RESULT_LIMIT;
    }
}

static void site_record_failure(struct site_state *state, const OperationFailure *entry, EntryResult *result)
{
    quarantine_failure_t failure = {
        .operation = entry->operation,
        .id = entry->failure,
        .by_contents = entry->by_contents,
        .sent_ms = state->time_ms > entry->age_ms ? state->time_ms - entry->age_ms : 0,
    };
    uint32_t max_failures = entry->max_failures;
    state->failures.max_failures = max_failures < QUARANTINE_MAX_FAILURES ? max_failures : QUARANTINE_MAX_FAILURES;
    state->failures.keep_ms = entry->keep_ms;
    quarantine_record(&state->failures, state->time_ms, &failure);
    site_report_suspicion(state, entry->operation, entry->attempt, result);
    result->quarantined_ms = (uint32_t)quarantine_remaining_ms(&state->failures, state->time_ms, entry->operation);
    if (entry->goes_on && entry->attempt != 0 && result->suspicion < state->failures.max_failures) {
        open_attempts_add(&state->open_attempts, state->time_ms, entry->operation, entry->attempt);
    }
}

/* An attempt that the suspicion forbids is not opened: its gateway does not send it. */
static void site_mark_attempt(struct site_state *state, const OperationAttempt *entry, EntryResult *result)
{
    if (entry->ended) {
        open_attempts_remove(&state->open_attempts, entry->attempt);
        return;
    }
    site_report_suspicion(state, entry->operation, entry->attempt, result);
    uint32_t max_failures = state->failures.max_failures;
    if (max_failures == 0 || result->suspicion < max_failures) {
        open_attempts_add(&state->open_attempts, state->time_ms, entry->operation, entry->attempt);
    }
}

bool site_state_apply(struct site_state *state, uint64_t timestamp_ms, const Entry *entry, EntryResult *result)
{
    state->time_ms = timestamp_ms > state->time_ms ? timestamp_ms : state->time_ms;
    site_expire(state);
    switch (entry->which_command) {
    case Entry_document_put_tag: site_put_document(state, &entry->command.document_put, result); return true;
    case Entry_turn_begin_tag: site_begin_turn(state, &entry->command.turn_begin, result); return true;
    case Entry_turn_finish_tag: site_finish_turn(state, &entry->command.turn_finish, result); return true;
    case Entry_retire_start_tag: site_start_retire(state, &entry->command.retire_start); return true;
    case Entry_zone_drain_tag: site_drain_zone(state, &entry->command.zone_drain, result); return true;
    case Entry_stream_begin_tag: site_begin_stream(state, &entry->command.stream_begin, result); return true;
    case Entry_service_version_tag: site_put_version(state, &entry->command.service_version, result); return true;
    case Entry_operation_failure_tag:
        site_record_failure(state, &entry->command.operation_failure, result);
        return true;
    case Entry_operation_attempt_tag: site_mark_attempt(state, &entry->command.operation_attempt, result); return true;
    default: return false;
    }
}

size_t site_state_bytes(const struct site_state *state)
{
    return state->turns.index_bytes + state->budgets.bytes + stream_origins_bytes(&state->stream_origins) +
           quarantine_bytes(&state->failures) + open_attempts_bytes(&state->open_attempts);
}

void site_state_export_more(const struct site_state *state, SiteSnapshot *snapshot, site_export_t *rest)
{
    stream_origins_export(&state->stream_origins, &rest->stream, snapshot);
    open_attempts_export(&state->open_attempts, &rest->attempt, snapshot);
}

void site_state_export(const struct site_state *state, SiteSnapshot *snapshot, site_export_t *rest)
{
    memset(snapshot, 0, sizeof(*snapshot));
    *rest = (site_export_t){.stream = state->stream_origins.streams, .attempt = state->open_attempts.attempts};
    snapshot->time_ms = state->time_ms;
    snapshot->expired_ms = state->last_sweep_ms;
    snapshot->has_document = true;
    snapshot->document.version = state->document.version;
    snapshot->document.content = state->document.content;
    snapshot->retired = state->retiring_machines;
    snapshot->retired_count = (pb_size_t)state->retiring_count;
    snapshot->has_drained = state->drained.revision > 0;
    zone_set_export(&state->drained, &snapshot->drained);
    quarantine_export(&state->failures, snapshot);
    site_state_export_more(state, snapshot, rest);
    service_versions_export(&state->versions, snapshot);
}

void site_state_free_export(SiteSnapshot *snapshot)
{
    stream_origins_free_export(snapshot);
    quarantine_free_export(snapshot);
    open_attempts_free_export(snapshot);
    service_versions_free_export(snapshot);
}

void site_state_import(struct site_state *state, const SiteSnapshot *snapshot)
{
    state->time_ms = snapshot->time_ms;
    state->last_sweep_ms = snapshot->expired_ms;
    if (snapshot->has_document) {
        struct view content = snapshot->document.content;
        state->document.version = snapshot->document.version;
        state->document.content = view_of(memory_copy(content.data, content.length), content.length);
    }
    turn_store_import_order(&state->turns, snapshot->turns_by_use);
    for (pb_size_t i = 0; i < snapshot->turns_count; i++) {
        turn_store_import_wire(&state->turns, &snapshot->turns[i]);
    }
    for (pb_size_t i = 0; i < snapshot->budgets_count; i++) {
        budget_table_import(&state->budgets, &snapshot->budgets[i]);
    }
    for (pb_size_t i = 0; i < snapshot->retired_count; i++) {
        RetireStart start = {.machine = snapshot->retired[i]};
        site_start_retire(state, &start);
    }
    zone_set_update(&state->drained, &snapshot->drained);
    quarantine_import(&state->failures, snapshot);
    service_versions_import(&state->versions, snapshot);
    site_state_import_more(state, snapshot);
}

void site_state_import_more(struct site_state *state, const SiteSnapshot *snapshot)
{
    stream_origins_import(&state->stream_origins, snapshot);
    open_attempts_import(&state->open_attempts, snapshot);
}
