/* Operator RPC: hand-over of programs from another site: prepare, import, commit, abort. */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/message.h"
#include "daemon/operator_internal.h"
#include "net/json_input.h"

/* The stored form omits the outer brackets of the JSON array. */
static char *operator_strip_history(const char *history_json, struct findings *findings)
{
    json_t *messages =
        json_input_parse(view_of_string(text_or_empty(history_json)[0] == '\0' ? "[]" : history_json), NULL);
    char *stripped = NULL;
    if (!json_is_array(messages)) {
        findings_add(findings, "history_json", "must be a JSON list of messages");
    } else {
        char *text = json_dumps(messages, JSON_COMPACT);
        stripped = memory_copy(text + 1, strlen(text) - 2);
        free(text);
    }
    json_decref(messages);
    return stripped;
}

static void operator_check_handover(const HandoverRequest *request, HandoverStep step, struct findings *findings)
{
    const Handover *handover = &request->handover;
    if (!request->has_handover || text_or_empty(handover->program_id)[0] == '\0') {
        findings_add(findings, "handover.program_id", "is required");
    }
    if (text_or_empty(handover->old_site)[0] == '\0') {
        findings_add(findings, "handover.old_site", "is required");
    }
    if (step == HANDOVER_STEP_IMPORT && text_or_empty(handover->tenant)[0] == '\0') {
        findings_add(findings, "handover.tenant", "is required");
    }
}

static void operator_send_handover(struct operator_call *call, const Handover *requested)
{
    ProgramView view;
    ResultCode code = gateway_read_program(call->gateway, requested->program_id, 0, &view);
    if (code != RESULT_OK) {
        EntryResult result = {.code = code};
        operator_send_result_error(call, &result);
        return;
    }
    HandoverResponse response = {.has_handover = true};
    Handover *handover = &response.handover;
    handover->program_id = view.id;
    handover->old_site = view.owner;
    handover->old_epoch = view.owner_epoch;
    handover->tenant = view.tenant;
    handover->policy = view.policy;
    handover->budget_tokens = view.budget_tokens;
    handover->spent_tokens = view.spent_tokens;
    handover->next_call = view.next_call;
    handover->context_tokens = view.context_tokens;
    switch (view.state) {
    case LEDGER_PROGRAM_PREPARED: handover->state = HANDOVER_PREPARED; break;
    case LEDGER_PROGRAM_IMPORTED: handover->state = HANDOVER_IMPORTED; break;
    case LEDGER_PROGRAM_ABORTED: handover->state = HANDOVER_ABORTED; break;
    default: handover->state = HANDOVER_COMMITTED; break;
    }
    operator_send_message(call, HandoverResponse_fields, &response);
    message_free(ProgramView_fields, &view);
}

static void operator_propose_handover(struct operator_call *call, const Handover *handover, HandoverStep step,
                                      char *history)
{
    Entry entry = {0};
    entry.which_command = Entry_handover_change_tag;
    HandoverChange *change = &entry.command.handover_change;
    change->step = step;
    change->program = handover->program_id;
    change->old_site = handover->old_site;
    change->old_epoch = handover->old_epoch;
    change->tenant = handover->tenant;
    change->policy = handover->policy;
    change->budget_tokens = handover->budget_tokens;
    change->spent_tokens = handover->spent_tokens;
    change->next_call = handover->next_call;
    change->context_tokens = handover->context_tokens;
    change->history = history;
    EntryResult result;
    if (gateway_propose(call->gateway, handover->program_id, &entry, &result) == RESULT_OK) {
        operator_send_handover(call, handover);
    } else {
        operator_send_result_error(call, &result);
    }
    message_free(EntryResult_fields, &result);
}

void operator_handover(struct operator_call *call, HandoverStep step)
{
    HandoverRequest request = {0};
    struct findings findings = {0};
    if (!message_decode(call->body, HandoverRequest_fields, &request)) {
        operator_send_error(call, "invalid_argument", RUN_STATE_NOT_RUN, "the request does not decode");
        return;
    }
    operator_check_handover(&request, step, &findings);
    char *history = operator_strip_history(request.handover.history_json, &findings);
    if (findings.count > 0) {
        operator_send_findings(call, &findings);
    } else {
        operator_propose_handover(call, &request.handover, step, history);
    }
    free(history);
    findings_close(&findings);
    message_free(HandoverRequest_fields, &request);
}
