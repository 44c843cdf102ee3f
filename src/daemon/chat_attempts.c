/* Placement, attempts and retries of a call. */
#include "daemon/chat_call.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/clock.h"
#include "base/log.h"

enum { CHAT_DEFAULT_ATTEMPTS = 3, CHAT_MAX_ATTEMPTS = 8, CHAT_ATTEMPT_ID_SIZE = 48 };

static const char CHAT_LOG[] = "chat";

/* ---- Placement ----------------------------------------------------------------------------- */

bool chat_find_pool(struct chat_call *call)
{
    const char *policy_name = text_or_empty(call->begin_result.policy);
    call->policy = policy_name[0] == '\0' ? NULL : config_view_policy(call->view, policy_name);
    if (call->policy != NULL) {
        call->pool = config_view_pool(call->view, call->policy->pool);
    } else if (policy_name[0] == '\0') {
        call->pool = config_view_pool_of_model(call->view, call->request.model);
    }
    return call->pool != NULL && call->pool->engines_count > 0;
}

bool chat_model_is_known(const struct chat_call *call)
{
    bool by_model = text_or_empty(call->begin_result.policy)[0] == '\0';
    return !by_model || config_view_pool_of_model(call->view, call->request.model) != NULL;
}

static uint64_t chat_hash_text(const char *text)
{
    return XXH64(text_or_empty(text), strlen(text_or_empty(text)), 0);
}

static void chat_fill_candidate(struct chat_call *call, size_t position, uint64_t now_ms,
                                struct placement_candidate *candidate)
{
    const Engine *engine = &call->pool->engines[position];
    memset(candidate, 0, sizeof(*candidate));
    candidate->name_hash = chat_hash_text(engine->name);
    candidate->weight = engine->weight;
    candidate->same_zone = text_equal(engine->zone, call->gateway->settings->zone);
    candidate->usable = !engine->draining && call->tried[position] == 0;
    candidate->cached_tokens =
        text_equal(engine->base_url, call->begin_result.engine) ? call->begin_result.context_tokens : 0;
    endpoints_fill_candidate(&call->gateway->endpoints, text_or_empty(engine->base_url), now_ms, candidate);
}

static const Engine *chat_choose_engine(struct chat_call *call)
{
    size_t count = call->pool->engines_count < CHAT_MAX_ENGINES ? call->pool->engines_count : CHAT_MAX_ENGINES;
    struct placement_candidate *candidates = memory_new(count * sizeof(*candidates));
    uint64_t now_ms = clock_monotonic_ms();
    for (size_t i = 0; i < count; i++) {
        chat_fill_candidate(call, i, now_ms, &candidates[i]);
    }
    struct placement_call placement = {
        .mode = call->policy == NULL ? PLACEMENT_MODE_AFFINITY : (enum placement_mode)call->policy->placement,
        .program_hash = chat_hash_text(call->program_id),
        .prompt_tokens = call->begin_result.context_tokens + call->request.new_tokens_bound / 4,
        .rotation = endpoints_next_rotation(&call->gateway->endpoints),
    };
    int chosen = placement_choose(&placement, candidates, count);
    free(candidates);
    if (chosen == PLACEMENT_NONE) {
        return NULL;
    }
    call->tried[chosen] = 1;
    return &call->pool->engines[chosen];
}

/* ---- Attempts --------------------------------------------------------------------------------- */

static enum endpoint_outcome chat_endpoint_outcome(const struct chat_answer *answer)
{
    if (answer->draining) {
        return ENDPOINT_DRAINING;
    }
    switch (answer->outcome) {
    case CHAT_DONE: return ENDPOINT_SUCCESS;
    case CHAT_REJECTED: return ENDPOINT_NEUTRAL;
    default: return ENDPOINT_FAILURE;
    }
}

static void chat_run_attempt(struct chat_call *call, const Engine *engine, const char *attempt_id)
{
    struct gateway *gateway = call->gateway;
    struct chat_attempt attempt = {
        .request = &call->request,
        .connection = call->connection,
        .engine_url = engine->base_url,
        .attempt_id = attempt_id,
        .public_id_length = LEDGER_ATTEMPT_LENGTH,
        .program_id = call->single_call ? NULL : call->program_id,
        .model = text_or_empty(call->pool->model),
        .history = call->stored_program.history,
        .stream_headers = call->headers,
        .max_tokens = call->begin_result.granted_tokens,
        .priority = chat_priority(call->begin_result.attained_tokens),
        .timeout_ms = chat_remaining_ms(call),
        .at_most_once = !call->request.repeatable,
        .cancel_on_disconnect = call->single_call && call->request.idempotency_key == NULL,
    };
    chat_answer_close(&call->answer);
    uint64_t started_ms = clock_monotonic_ms();
    endpoints_begin_call(&gateway->endpoints, engine->base_url);
    chat_engine_run(&attempt, &call->answer);
    uint64_t now_ms = clock_monotonic_ms();
    endpoints_end_call(&gateway->endpoints, engine->base_url, chat_endpoint_outcome(&call->answer), now_ms,
                       now_ms - started_ms, &call->answer.report);
    if (call->answer.id_mismatch) {
        gateway_count(gateway, answers_mismatched);
        log_warn(CHAT_LOG, "%s answered attempt %s with a completion id that does not belong to it", engine->base_url,
                 attempt_id);
    }
}

static bool chat_may_retry(const struct chat_call *call)
{
    const struct chat_answer *answer = &call->answer;
    if (answer->stream_started || chat_remaining_ms(call) == 0) {
        return false;
    }
    return answer->outcome == CHAT_NOT_RUN || (answer->outcome == CHAT_UNKNOWN && call->request.repeatable);
}

/* Begins a new attempt in the ledger, which charges the tokens that the lost one may have used and grants new ones. */
static bool chat_replace_attempt(struct chat_call *call)
{
    char lost_attempt_id[LEDGER_ATTEMPT_LENGTH + 1];
    memcpy(lost_attempt_id, call->attempt_id, sizeof(lost_attempt_id));
    call->request.call_number = call->call_number;
    return chat_begin(call, lost_attempt_id) == RESULT_OK;
}

bool chat_run(struct chat_call *call)
{
    bool has_limit = call->policy != NULL && call->policy->max_attempts != 0;
    uint32_t max_attempts = has_limit ? call->policy->max_attempts : CHAT_DEFAULT_ATTEMPTS;
    max_attempts = max_attempts > CHAT_MAX_ATTEMPTS ? CHAT_MAX_ATTEMPTS : max_attempts;
    endpoints_record_request(&call->gateway->endpoints);
    call->answer.outcome = CHAT_NOT_RUN;
    for (uint32_t attempt = 1; attempt <= max_attempts; attempt++) {
        if (attempt > 1 && (!chat_may_retry(call) || !endpoints_take_retry(&call->gateway->endpoints))) {
            return true;
        }
        const Engine *engine = chat_choose_engine(call);
        if (engine == NULL) {
            return true;
        }
        if (attempt > 1) {
            gateway_count(call->gateway, attempts_retried);
            if (call->answer.outcome == CHAT_UNKNOWN && !chat_replace_attempt(call)) {
                return false;
            }
            clock_sleep_us((uint64_t)retry_backoff_ms(attempt - 1, call->deadline_ms) * 1000U);
        }
        char attempt_id[CHAT_ATTEMPT_ID_SIZE];
        snprintf(attempt_id, sizeof(attempt_id), "%s-%u", call->attempt_id, attempt);
        chat_run_attempt(call, engine, attempt_id);
        free(call->begin_result.engine);
        call->begin_result.engine = text_copy(engine->base_url);
        call->may_have_run = call->may_have_run || call->answer.outcome == CHAT_UNKNOWN;
        if (call->answer.outcome == CHAT_DONE) {
            return true;
        }
    }
    return true;
}
