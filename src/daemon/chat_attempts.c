/* Placement of a call and its attempts at engines. */
#include "daemon/chat_call.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/clock.h"
#include "base/log.h"

enum { CHAT_DEFAULT_ATTEMPTS = 3, CHAT_MAX_ENGINE_TRIES = 8, CHAT_ATTEMPT_ROOM = 48 };

static const char CHAT_LOG[] = "chat";

/* ---- Placement ----------------------------------------------------------------------------- */

bool chat_find_pool(struct chat_call *call)
{
    const char *policy_name = text_or_empty(call->begun.policy);
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
    bool by_model = text_or_empty(call->begun.policy)[0] == '\0';
    return !by_model || config_view_pool_of_model(call->view, call->request.model) != NULL;
}

static uint64_t chat_hash_text(const char *text)
{
    return XXH64(text_or_empty(text), strlen(text_or_empty(text)), 0);
}

static void chat_describe_engine(struct chat_call *call, size_t position, uint64_t now_ms,
                                 struct placement_candidate *candidate)
{
    const Engine *engine = &call->pool->engines[position];
    memset(candidate, 0, sizeof(*candidate));
    candidate->name_hash = chat_hash_text(engine->name);
    candidate->weight = engine->weight;
    candidate->same_zone = text_equal(engine->zone, call->gateway->settings->zone);
    candidate->usable = !engine->draining && call->tried[position] == 0;
    candidate->cached_tokens = text_equal(engine->base_url, call->begun.engine) ? call->begun.context_tokens : 0;
    endpoints_describe(&call->gateway->endpoints, text_or_empty(engine->base_url), now_ms, candidate);
}

static const Engine *chat_place(struct chat_call *call)
{
    size_t count = call->pool->engines_count < CHAT_MAX_ENGINES ? call->pool->engines_count : CHAT_MAX_ENGINES;
    struct placement_candidate *candidates = memory_new(count * sizeof(*candidates));
    uint64_t now_ms = clock_monotonic_ms();
    for (size_t i = 0; i < count; i++) {
        chat_describe_engine(call, i, now_ms, &candidates[i]);
    }
    struct placement_call placement = {
        .mode = call->policy == NULL ? PLACEMENT_MODE_AFFINITY : (enum placement_mode)call->policy->placement,
        .program_hash = chat_hash_text(call->program_id),
        .prompt_tokens = call->begun.context_tokens + call->request.new_tokens_bound / 4,
        .rotation = endpoints_rotate(&call->gateway->endpoints),
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

static void chat_run_at(struct chat_call *call, const Engine *engine, const char *attempt_id)
{
    struct gateway *gateway = call->gateway;
    struct chat_attempt attempt = {
        .request = &call->request,
        .connection = call->connection,
        .engine_url = engine->base_url,
        .attempt_id = attempt_id,
        .caller_id_length = LEDGER_ATTEMPT_LENGTH,
        .program = call->single ? NULL : call->program_id,
        .model = text_or_empty(call->pool->model),
        .history = call->stored.history,
        .stream_headers = call->headers,
        .max_tokens = call->begun.granted_tokens,
        .priority = chat_priority(call->begun.attained_tokens),
        .timeout_ms = chat_time_left(call),
        .at_most_once = !call->request.repeatable,
        .stop_when_gone = call->single && call->request.idempotency_key == NULL,
    };
    chat_answer_close(&call->answer);
    uint64_t started_ms = clock_monotonic_ms();
    endpoints_begin(&gateway->endpoints, engine->base_url);
    chat_engine_run(&attempt, &call->answer);
    uint64_t now_ms = clock_monotonic_ms();
    endpoints_end(&gateway->endpoints, engine->base_url, chat_endpoint_outcome(&call->answer), now_ms,
                  now_ms - started_ms, &call->answer.report);
    if (call->answer.crossed) {
        gateway_count(gateway, answers_crossed);
        log_warn(CHAT_LOG, "%s answered attempt %s with another answer", engine->base_url, attempt_id);
    }
}

/* Whether the call may go to another engine after the outcome of the last one. */
static bool chat_may_retry(const struct chat_call *call)
{
    const struct chat_answer *answer = &call->answer;
    if (answer->stream_started || chat_time_left(call) == 0) {
        return false;
    }
    return answer->outcome == CHAT_NOT_RUN || (answer->outcome == CHAT_LOST && call->request.repeatable);
}

/* After a lost attempt the ledger charges what it may have spent and grants anew. */
static bool chat_replace_attempt(struct chat_call *call)
{
    char lost[LEDGER_ATTEMPT_LENGTH + 1];
    memcpy(lost, call->attempt, sizeof(lost));
    call->request.call = call->number;
    return chat_begin(call, lost) == RESULT_OK;
}

/* Runs the call until it is answered or nothing more may be tried. False: the
 * ledger refused another attempt and call->begun tells why. */
bool chat_run(struct chat_call *call)
{
    bool given = call->policy != NULL && call->policy->max_attempts != 0;
    uint32_t limit = given ? call->policy->max_attempts : CHAT_DEFAULT_ATTEMPTS;
    limit = limit > CHAT_MAX_ENGINE_TRIES ? CHAT_MAX_ENGINE_TRIES : limit;
    endpoints_note_request(&call->gateway->endpoints);
    call->answer.outcome = CHAT_NOT_RUN;
    for (uint32_t attempt = 1; attempt <= limit; attempt++) {
        if (attempt > 1 && (!chat_may_retry(call) || !endpoints_take_retry(&call->gateway->endpoints))) {
            return true;
        }
        const Engine *engine = chat_place(call);
        if (engine == NULL) {
            return true;
        }
        if (attempt > 1) {
            gateway_count(call->gateway, attempts_retried);
            if (call->answer.outcome == CHAT_LOST && !chat_replace_attempt(call)) {
                return false;
            }
            clock_sleep_us((uint64_t)retry_backoff_ms(attempt - 1, call->deadline_ms) * 1000U);
        }
        char attempt_id[CHAT_ATTEMPT_ROOM];
        snprintf(attempt_id, sizeof(attempt_id), "%s-%u", call->attempt, attempt);
        chat_run_at(call, engine, attempt_id);
        free(call->begun.engine);
        call->begun.engine = text_copy(engine->base_url);
        call->lost = call->lost || call->answer.outcome == CHAT_LOST;
        if (call->answer.outcome == CHAT_DONE) {
            return true;
        }
    }
    return true;
}
