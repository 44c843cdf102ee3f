#include "core/state_digest.h"

#include <string.h>

#include <xxhash.h>

/* Every value is hashed together with the digest of all before it, so that their order counts. */
typedef struct digest_t {
    uint64_t value;
} digest_t;

static void digest_number(digest_t *digest, uint64_t number)
{
    uint64_t parts[] = {digest->value, number};
    digest->value = XXH64(parts, sizeof(parts), 0);
}

static void digest_bytes(digest_t *digest, const void *data, size_t length)
{
    digest_number(digest, length);
    digest->value = XXH64(data == NULL ? "" : data, length, digest->value);
}

/* NULL and an empty text are the same, as in messages. */
static void digest_text(digest_t *digest, const char *text)
{
    digest_bytes(digest, text_or_empty(text), strlen(text_or_empty(text)));
}

/* ---- Site --------------------------------------------------------------------------------- */

static void digest_turns(digest_t *digest, const struct turn_store *turns, state_digest_depth_t depth)
{
    digest_number(digest, HASH_COUNT(turns->turns));
    digest_number(digest, turns->digest);
    for (const struct turn *turn = turns->earliest; turn != NULL && depth == STATE_DIGEST_FULL; turn = turn->later) {
        digest_number(digest, turn->hash);
    }
}

static void digest_budgets(digest_t *digest, const struct budget_table *budgets)
{
    for (const struct budget_program *program = budgets->programs; program != NULL; program = program->hh.next) {
        digest_text(digest, program->id);
        digest_text(digest, program->server);
        digest_number(digest, program->committed);
        digest_number(digest, program->expires_ms);
        digest_number(digest, program->reservation_count);
        for (uint32_t i = 0; i < program->reservation_count; i++) {
            digest_number(digest, program->reservations[i].turn);
            digest_number(digest, program->reservations[i].tokens);
        }
        digest_bytes(digest, program->settled, program->settled_count * sizeof(*program->settled));
    }
}

/* The positions of versions are local. */
static void digest_streams(digest_t *digest, const stream_origins_t *origins)
{
    digest_number(digest, HASH_COUNT(origins->streams));
    for (const stream_origin_t *origin = origins->streams; origin != NULL; origin = origin->hh.next) {
        const stream_version_t *version = &origins->versions[origin->version];
        digest_number(digest, origin->stream);
        digest_text(digest, version->service);
        digest_text(digest, version->version);
        digest_number(digest, origin->attempt);
        digest_number(digest, origin->expires_ms);
    }
}

static void digest_versions(digest_t *digest, const service_versions_t *versions)
{
    digest_number(digest, versions->since_ms);
    for (const service_version_t *service = versions->services; service != NULL; service = service->hh.next) {
        digest_text(digest, service->name);
        digest_text(digest, service->version);
        digest_number(digest, service->several);
        digest_number(digest, service->changed_ms);
    }
}

static void digest_failures(digest_t *digest, const quarantine_t *failures)
{
    digest_number(digest, failures->max_failures);
    digest_number(digest, failures->keep_ms);
    const quarantine_operation_t *operation = failures->operations;
    for (; operation != NULL; operation = operation->hh.next) {
        digest_number(digest, operation->hash);
        digest_number(digest, operation->quarantined);
        digest_number(digest, operation->last_ms);
        digest_number(digest, operation->expires_ms);
        digest_bytes(digest, operation->failures, operation->failure_count * sizeof(*operation->failures));
    }
}

static void digest_attempts(digest_t *digest, const open_attempts_t *open)
{
    for (const open_attempt_t *attempt = open->attempts; attempt != NULL; attempt = attempt->hh.next) {
        digest_number(digest, attempt->attempt);
        digest_number(digest, attempt->operation);
        digest_number(digest, attempt->expires_ms);
    }
}

static void digest_names(digest_t *digest, char *const *names, uint32_t count)
{
    digest_number(digest, count);
    for (uint32_t i = 0; i < count; i++) {
        digest_text(digest, names[i]);
    }
}

static void digest_site(digest_t *digest, const struct site_state *site, state_digest_depth_t depth)
{
    digest_number(digest, site->time_ms);
    digest_number(digest, site->last_sweep_ms);
    digest_number(digest, site->document.version);
    digest_bytes(digest, site->document.content.data, site->document.content.length);
    digest_turns(digest, &site->turns, depth);
    digest_budgets(digest, &site->budgets);
    digest_names(digest, site->retiring_machines, site->retiring_count);
    digest_streams(digest, &site->stream_origins);
    digest_versions(digest, &site->versions);
    digest_number(digest, site->drained.revision);
    digest_names(digest, site->drained.names, site->drained.count);
    digest_failures(digest, &site->failures);
    digest_attempts(digest, &site->open_attempts);
}

/* ---- Configuration and leases --------------------------------------------------------------- */

/* Tombstones only serve readers that know an earlier revision. */
static void digest_config(digest_t *digest, const struct config_store *config)
{
    digest_number(digest, config->revision);
    for (const struct config_item *item = config->oldest; item != NULL; item = item->newer) {
        if (!item->deleted) {
            digest_text(digest, item->key);
            digest_number(digest, item->revision);
            digest_bytes(digest, item->body, item->length);
        }
    }
    const struct config_request *request = config->requests;
    for (; request != NULL; request = request->hh.next) {
        digest_text(digest, request->id);
        digest_number(digest, request->hash);
        digest_number(digest, request->code);
        digest_number(digest, request->revision);
    }
}

static void digest_leases(digest_t *digest, const struct lease_table *leases)
{
    digest_number(digest, leases->last_epoch);
    for (const struct lease *lease = leases->leases; lease != NULL; lease = lease->hh.next) {
        digest_number(digest, lease->gateway);
        digest_number(digest, lease->boot_id);
        digest_number(digest, lease->epoch);
        digest_number(digest, lease->expired);
    }
}

/* ---- Ledger ----------------------------------------------------------------------------------- */

static void digest_running(digest_t *digest, const struct ledger_running *running)
{
    digest_number(digest, running->gateway);
    digest_number(digest, running->gateway_epoch);
    digest_number(digest, running->expires_ms);
    digest_number(digest, running->reserved);
    digest_number(digest, running->granted);
    digest_number(digest, running->after_loss);
}

static void digest_call(digest_t *digest, const struct ledger_call *call)
{
    digest_number(digest, call->number);
    digest_number(digest, call->state);
    digest_number(digest, call->body_hash);
    digest_number(digest, call->messages.length);
    digest_number(digest, call->answer.length);
    digest_text(digest, call->idempotency_key);
    digest_text(digest, call->finish_reason);
    digest_number(digest, call->prompt_tokens);
    digest_number(digest, call->completion_tokens);
    digest_number(digest, call->cached_tokens);
    digest_number(digest, call->finished_s);
    digest_text(digest, call->attempt);
    digest_number(digest, call->repeatable);
}

static void digest_calls(digest_t *digest, const struct ledger_program *program, state_digest_depth_t depth)
{
    uint32_t count = program->call_count;
    digest_number(digest, count);
    for (uint32_t i = depth == STATE_DIGEST_FULL || count == 0 ? 0 : count - 1; i < count; i++) {
        digest_call(digest, &program->calls[i]);
    }
    if (count > 0 && program->calls[count - 1].state == LEDGER_CALL_RUNNING) {
        digest_running(digest, &program->running);
    }
}

static void digest_program(digest_t *digest, const struct ledger_program *program, state_digest_depth_t depth)
{
    digest_text(digest, program->id);
    digest_text(digest, program->tenant);
    digest_text(digest, program->policy);
    digest_text(digest, program->parent);
    digest_text(digest, program->engine);
    digest_text(digest, program->handover_site);
    digest_number(digest, program->handover_epoch);
    digest_number(digest, program->budget);
    digest_number(digest, program->spent);
    digest_number(digest, program->reserved);
    digest_number(digest, program->attained);
    digest_number(digest, program->context_tokens);
    digest_number(digest, program->deadline_ms);
    digest_number(digest, program->last_active_ms);
    digest_number(digest, program->state);
    digest_number(digest, program->single_call);
    digest_number(digest, program->first_call);
    digest_number(digest, program->next_call);
    digest_number(digest, program->max_turns);
    digest_number(digest, program->max_identical_calls);
    digest_number(digest, program->identical_calls);
    digest_text(digest, program->aborted_attempt);
    digest_number(digest, program->imported.length);
    digest_names(digest, program->held_engines, program->held_count);
    digest_calls(digest, program, depth);
}

static void digest_ledger(digest_t *digest, const struct ledger *ledger, state_digest_depth_t depth)
{
    digest_number(digest, ledger->time_ms);
    for (const struct ledger_program *program = ledger->oldest; program != NULL; program = program->newer) {
        digest_program(digest, program, depth);
    }
    for (const struct ledger_release *release = ledger->releases; release != NULL; release = release->hh.next) {
        digest_text(digest, release->key);
    }
}

uint64_t state_digest(const struct state_machine *machine, state_digest_depth_t depth)
{
    digest_t digest = {0};
    digest_config(&digest, &machine->config);
    digest_leases(&digest, &machine->leases);
    digest_site(&digest, &machine->site, depth);
    digest_ledger(&digest, &machine->ledger, depth);
    return digest.value == 0 ? 1 : digest.value;
}
