/* A call's entries in the ledger: begin, abort, finish. */
#include "daemon/chat_call.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/clock.h"
#include "base/message.h"

enum {
    CHAT_ID_DIGITS = 24,
    CHAT_ROOT_DIGITS = 8,
    CHAT_ATTEMPT_MARGIN_MS = 10000 /* time to store the outcome after the call's own limit */
};

uint32_t chat_time_left(const struct chat_call *call)
{
    uint64_t now_ms = clock_monotonic_ms();
    return now_ms >= call->deadline_ms ? 0 : (uint32_t)(call->deadline_ms - now_ms);
}

/* Ids of programs of one: random, or derived from tenant and key so that a
 * resend with the same key finds the same program at any daemon. */
void chat_name_single(struct chat_call *call)
{
    const char *key = call->request.idempotency_key;
    call->single = true;
    call->program_id = call->program;
    if (key == NULL) {
        char root[CHAT_ROOT_DIGITS + 1];
        char rest[CHAT_ID_DIGITS + 1];
        gateway_random_hex(root, CHAT_ROOT_DIGITS);
        gateway_random_hex(rest, CHAT_ID_DIGITS);
        snprintf(call->program, sizeof(call->program), "s%s-%s", root, rest);
        return;
    }
    uint64_t hash = XXH64(call->tenant, strlen(call->tenant), 0);
    XXH128_hash_t full = XXH3_128bits_withSeed(key, strlen(key), hash);
    snprintf(call->program, sizeof(call->program), "k%016" PRIx64 "-%016" PRIx64, full.high64, full.low64);
}

static void chat_fill_begin(struct chat_call *call, const char *replaces, Entry *entry)
{
    const struct chat_request *request = &call->request;
    memset(entry, 0, sizeof(*entry));
    entry->which_command = Entry_call_begin_tag;
    CallBegin *begin = &entry->command.call_begin;
    begin->program = (char *)(uintptr_t)call->program_id;
    begin->tenant = (char *)(uintptr_t)call->tenant;
    begin->call = call->single ? 1 : request->call;
    begin->attempt = call->attempt;
    begin->replaces = (char *)(uintptr_t)replaces;
    begin->gateway = (uint32_t)call->gateway->settings->node;
    begin->gateway_epoch = control_epoch(call->gateway->control);
    begin->repeatable = request->repeatable;
    begin->new_tokens_bound = request->new_tokens_bound;
    begin->max_tokens = request->max_tokens;
    begin->body_hash = request->body_hash;
    begin->timeout_ms = chat_time_left(call) + CHAT_ATTEMPT_MARGIN_MS;
    begin->idempotency_key = (char *)(uintptr_t)request->idempotency_key;
    begin->messages = request->messages_text;
    if (call->single) {
        begin->has_create = true;
        begin->create.id = begin->program;
        begin->create.tenant = begin->tenant;
        begin->create.policy = (char *)(uintptr_t)call->default_policy;
    }
}

void chat_post_abort(struct chat_call *call, AbortOutcome outcome)
{
    Entry entry = {0};
    entry.which_command = Entry_call_abort_tag;
    CallAbort *abort_entry = &entry.command.call_abort;
    abort_entry->program = (char *)(uintptr_t)call->program_id;
    abort_entry->call = call->number;
    abort_entry->attempt = call->attempt;
    abort_entry->outcome = outcome;
    gateway_post(call->gateway, call->program_id, &entry);
}

/* Begins the call in the ledger; false: an answer was sent. */
ResultCode chat_begin(struct chat_call *call, const char *replaces)
{
    gateway_random_hex(call->attempt, LEDGER_ATTEMPT_LENGTH);
    Entry entry;
    chat_fill_begin(call, replaces, &entry);
    message_free(EntryResult_fields, &call->begun);
    ResultCode code = gateway_propose(call->gateway, call->program_id, &entry, &call->begun);
    if (code == RESULT_OK) {
        call->number = call->begun.call;
        call->lost = call->lost || call->begun.after_loss;
    } else if (code == RESULT_TIMEOUT) {
        /* It may still commit; this keeps it from holding the program. */
        call->number = call->single ? 1 : call->request.call;
        chat_post_abort(call, ABORT_NOT_RUN);
    }
    return code;
}

ResultCode chat_finish(struct chat_call *call)
{
    struct chat_answer *answer = &call->answer;
    if (!answer->has_usage) {
        /* Without a report the bound that was reserved is what may have been spent. */
        answer->prompt_tokens = call->begun.context_tokens + call->request.new_tokens_bound;
        answer->completion_tokens = call->begun.granted_tokens;
    }
    char *message = json_dumps(answer->message, JSON_COMPACT);
    Entry entry = {0};
    entry.which_command = Entry_call_finish_tag;
    CallFinish *finish = &entry.command.call_finish;
    finish->program = (char *)(uintptr_t)call->program_id;
    finish->call = call->number;
    finish->attempt = call->attempt;
    finish->answer = message;
    finish->prompt_tokens = answer->prompt_tokens;
    finish->completion_tokens = answer->completion_tokens;
    finish->cached_tokens = answer->cached_tokens;
    finish->engine = call->begun.engine;
    finish->finish_reason = answer->finish_reason;
    EntryResult result;
    ResultCode code = gateway_propose(call->gateway, call->program_id, &entry, &result);
    call->finished_s = result.finished_s;
    message_free(EntryResult_fields, &result);
    if (code == RESULT_TIMEOUT || code == RESULT_UNAVAILABLE) {
        gateway_post(call->gateway, call->program_id, &entry);
    }
    free(message);
    return code;
}
