/* Limits how many requests run at the same time that repeat an operation under which servers failed
 * (core/open_attempts.h). */
#include <string.h>

#include <xxhash.h>

#include "base/event_log.h"
#include "base/message.h"
#include "proxy/forward.h"

enum { FORWARD_UNAVAILABLE = 503, FORWARD_BAD_GATEWAY = 502 };

static const char FORWARD_SUSPECTED[] = "servers failed while they ran it, and other attempts are open";

/* As budget_turn_key(), so that a turn is one attempt in its reservation and in reports. */
uint64_t forward_attempt_key(const struct forward *forward)
{
    return XXH64(forward->id, strlen(forward->id), 0);
}

bool forward_is_suspected(struct forward *forward)
{
    const quarantine_t *quarantine = &forward->frontend->quarantine;
    return quarantine->operations != NULL && quarantine_is_suspected(quarantine, forward_operation(forward));
}

bool forward_exceeds_suspicion(const struct forward *forward, uint32_t suspicion)
{
    uint32_t max_failures = forward->frontend->quarantine.max_failures;
    return max_failures > 0 && suspicion >= max_failures;
}

bool forward_is_permitted(struct forward *forward)
{
    const struct frontend *frontend = forward->frontend;
    bool asks = forward->turn.program == NULL && !node_is_isolated(frontend->node) && !frontend_is_cut_off(frontend);
    return forward->permit.granted || !asks || !forward_is_suspected(forward);
}

static void forward_end_without_permit(struct forward *forward, const char *reason)
{
    char operation[QUARANTINE_TEXT_BYTES];
    quarantine_format(forward_operation(forward), operation);
    event_log("suspect_refused", "{s:s,s:s,s:s,s:i}", "id", text_or_empty(forward->id), "operation", operation,
              "reason", reason, "runs", (int)forward->possible_runs);
    forward->frontend->counters.suspect_refusals++;
    if (forward->possible_runs > 0) {
        forward_fail(forward, FORWARD_BAD_GATEWAY, reason);
        return;
    }
    forward->retry_after_ms = FORWARD_SUSPECTED_RETRY_MS;
    forward_refuse(forward, FORWARD_UNAVAILABLE, reason);
}

void forward_refuse_suspected(struct forward *forward)
{
    forward_end_without_permit(forward, FORWARD_SUSPECTED);
}

/* RESULT_INVALID: of a leader of an earlier version, which does not know the entry. */
static void forward_on_permit(void *context, ResultCode code, struct view body)
{
    struct forward *forward = context;
    EntryResult result = {0};
    forward->permit.request = NULL;
    if (code != RESULT_OK || !message_decode(body, EntryResult_fields, &result)) {
        forward_end_without_permit(forward, "failures not learnt");
        return;
    }
    uint32_t suspicion = result.suspicion;
    forward->permit.opened = result.code == RESULT_OK;
    message_free(EntryResult_fields, &result);
    if (forward_exceeds_suspicion(forward, suspicion)) {
        forward->permit.opened = false;
        forward_refuse_suspected(forward);
        return;
    }
    forward->permit.granted = true;
    forward_continue(forward);
}

static Entry forward_describe_attempt(struct forward *forward, bool ended)
{
    Entry entry = {.which_command = Entry_operation_attempt_tag};
    entry.command.operation_attempt = (OperationAttempt){
        .operation = forward_operation(forward), .attempt = forward_attempt_key(forward), .ended = ended};
    return entry;
}

void forward_request_permit(struct forward *forward)
{
    struct node *node = forward->frontend->node;
    Entry entry = forward_describe_attempt(forward, false);
    forward->phase = FORWARD_PREPARING;
    forward->frontend->counters.permit_requests++;
    forward->permit.request =
        node_propose(node, &entry, forward_replica_deadline_ms(forward), forward_on_permit, forward);
}

void forward_permit_close(struct forward *forward)
{
    struct node *node = forward->frontend->node;
    bool may_be_open = forward->permit.opened || forward->permit.request != NULL;
    node_ignore_reply(node, forward->permit.request);
    forward->permit.request = NULL;
    if (may_be_open) {
        Entry entry = forward_describe_attempt(forward, true);
        node_propose_background(node, &entry, node_now(node) + FORWARD_FAILURE_REPORT_MS);
    }
}

void frontend_suspect(struct frontend *frontend, uint64_t operation)
{
    if (operation != 0) {
        quarantine_suspect(&frontend->quarantine, node_now(frontend->node), operation);
    }
}
