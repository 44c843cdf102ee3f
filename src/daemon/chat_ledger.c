/* Ledger entries of a call: begin, abort, finish. */
#include "daemon/chat_call.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/clock.h"
#include "base/message.h"

enum {
    CHAT_PROGRAM_ID_SUFFIX_DIGITS = 24, /* a random id is a letter, the prefix, "-" and the suffix */
    CHAT_PROGRAM_ID_PREFIX_DIGITS = 8,
    CHAT_ATTEMPT_MARGIN_MS = 10000 /* time to store the outcome after the deadline */
};

uint32_t chat_remaining_ms(const struct chat_call *call)
{
    uint64_t now_ms = clock_monotonic_ms();
    return now_ms >= call->deadline_ms ? 0 : (uint32_t)(call->deadline_ms - now_ms);
}

/* Random without an idempotency key; else a hash of tenant and key, so that a resent
 * request finds its program at any daemon. */
void chat_assign_program_id(struct chat_call *call)
{
    const char *key = call->request.idempotency_key;
    call->single_call = true;
    call->program_id = call->single_call_id;
    if (key == NULL) {
        char prefix[CHAT_PROGRAM_ID_PREFIX_DIGITS + 1];
        char suffix[CHAT_PROGRAM_ID_SUFFIX_DIGITS + 1];
        gateway_random_hex(prefix, CHAT_PROGRAM_ID_PREFIX_DIGITS);
        gateway_random_hex(suffix, CHAT_PROGRAM_ID_SUFFIX_DIGITS);
        snprintf(call->single_call_id, sizeof(call->single_call_id), "s%s-%s", prefix, suffix);
        return;
    }
    uint64_t tenant_hash = XXH64(call->tenant, strlen(call->tenant), 0);
    XXH128_hash_t key_hash = XXH3_128bits_withSeed(key, strlen(key), tenant_hash);
    snprintf(call->single_call_id, sizeof(call->single_call_id), "k%016" PRIx64 "-%016" PRIx64, key_hash.high64,
             key_hash.low64);
}

static void chat_fill_begin(struct chat_call *call, const char *replaces, Entry *entry)
{
    const struct chat_request *request = &call->request;
    memset(entry, 0, sizeof(*entry));
    entry->which_command = Entry_call_begin_tag;
    CallBegin *begin = &entry->command.call_begin;
    begin->program = (char *)(uintptr_t)call->program_id;
    begin->tenant = (char *)(uintptr_t)call->tenant;
    begin->call = call->single_call ? 1 : request->call_number;
    begin->attempt = call->attempt_id;
    begin->replaces = (char *)(uintptr_t)replaces;
    begin->gateway = (uint32_t)call->gateway->settings->node;
    begin->gateway_epoch = control_epoch(call->gateway->control);
    begin->repeatable = request->repeatable;
    begin->new_tokens_bound = request->new_tokens_bound;
    begin->max_tokens = request->max_tokens;
    begin->body_hash = request->body_hash;
    begin->timeout_ms = chat_remaining_ms(call) + CHAT_ATTEMPT_MARGIN_MS;
    begin->idempotency_key = (char *)(uintptr_t)request->idempotency_key;
    begin->messages = request->messages_text;
    if (call->single_call) {
        begin->has_create = true;
        begin->create.id = begin->program;
        begin->create.tenant = begin->tenant;
        begin->create.policy = (char *)(uintptr_t)call->default_policy;
    }
}

void chat_record_abort(struct chat_call *call, AbortOutcome outcome)
{
    Entry entry = {0};
    entry.which_command = Entry_call_abort_tag;
    CallAbort *abort_entry = &entry.command.call_abort;
    abort_entry->program = (char *)(uintptr_t)call->program_id;
    abort_entry->call = call->call_number;
    abort_entry->attempt = call->attempt_id;
    abort_entry->outcome = outcome;
    gateway_propose_async(call->gateway, call->program_id, &entry);
}

ResultCode chat_begin(struct chat_call *call, const char *replaces)
{
    gateway_random_hex(call->attempt_id, LEDGER_ATTEMPT_LENGTH);
    Entry entry;
    chat_fill_begin(call, replaces, &entry);
    message_free(EntryResult_fields, &call->begin_result);
    ResultCode code = gateway_propose(call->gateway, call->program_id, &entry, &call->begin_result);
    if (code == RESULT_OK) {
        call->call_number = call->begin_result.call;
        call->may_have_run = call->may_have_run || call->begin_result.after_loss;
    } else if (code == RESULT_TIMEOUT) {
        /* The begin may still commit; the abort keeps it from blocking the program. */
        call->call_number = call->single_call ? 1 : call->request.call_number;
        chat_record_abort(call, ABORT_NOT_RUN);
    }
    return code;
}

ResultCode chat_finish(struct chat_call *call)
{
    struct chat_answer *answer = &call->answer;
    if (!answer->has_usage) {
        /* The engine reported no usage: charge the reserved upper bound. */
        answer->prompt_tokens = call->begin_result.context_tokens + call->request.new_tokens_bound;
        answer->completion_tokens = call->begin_result.granted_tokens;
    }
    char *message = json_dumps(answer->message, JSON_COMPACT);
    Entry entry = {0};
    entry.which_command = Entry_call_finish_tag;
    CallFinish *finish = &entry.command.call_finish;
    finish->program = (char *)(uintptr_t)call->program_id;
    finish->call = call->call_number;
    finish->attempt = call->attempt_id;
    finish->answer = message;
    finish->prompt_tokens = answer->prompt_tokens;
    finish->completion_tokens = answer->completion_tokens;
    finish->cached_tokens = answer->cached_tokens;
    finish->engine = call->begin_result.engine;
    finish->finish_reason = answer->finish_reason;
    EntryResult result;
    ResultCode code = gateway_propose(call->gateway, call->program_id, &entry, &result);
    call->finished_s = result.finished_s;
    message_free(EntryResult_fields, &result);
    if (code == RESULT_TIMEOUT || code == RESULT_UNAVAILABLE) {
        gateway_propose_async(call->gateway, call->program_id, &entry);
    }
    free(message);
    return code;
}
