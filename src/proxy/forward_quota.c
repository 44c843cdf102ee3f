/* Rate limits of tenants: each request takes a token leased from the leader (core/quota_lease.h). */
#include <stdlib.h>

#include "base/event_log.h"
#include "base/message.h"
#include "proxy/forward.h"

enum {
    FORWARD_TOO_MANY = 429,
    FORWARD_UNAVAILABLE = 503,
    FORWARD_QUOTA_TIMEOUT_MS = 800,  /* of a request to the leader; a caller's deadline may be earlier */
    FORWARD_TOKEN_LIFETIME_MS = 500, /* after this, an unsent request needs another token */
    FORWARD_RETRY_JITTER_DIVISOR = 4 /* Retry-After is extended by a random part of up to 1 / this */
};

struct forward_quota_request {
    struct frontend *frontend;
    uint64_t number;
    uint64_t sent_ms;
};

static bool forward_is_rate_limited(const struct forward *forward)
{
    return forward->tenant != NULL && forward->tenant->rate_per_s > 0;
}

static void forward_quota_record_taken(struct forward *forward)
{
    struct frontend *frontend = forward->frontend;
    forward->quota.token_taken_ms = node_now(frontend->node);
    if (forward->turn.program != NULL) {
        program_set_record(&frontend->programs, node_now(frontend->node), forward->turn.program);
    }
}

void forward_quota_begin(struct forward *forward)
{
    struct frontend *frontend = forward->frontend;
    const struct forward_turn *turn = &forward->turn;
    if (!forward_is_rate_limited(forward)) {
        return;
    }
    forward->quota.may_start_program = turn->program != NULL &&
                                       !program_set_has(&frontend->programs, node_now(frontend->node), turn->program) &&
                                       turn->parent == NULL;
    if (!forward->quota.may_start_program) {
        forward_quota_take(forward);
    }
}

/* A program without a home server has not run a turn yet. */
bool forward_quota_after_reservation(struct forward *forward)
{
    if (!forward->quota.may_start_program) {
        return true;
    }
    forward->quota.may_start_program = false;
    forward->quota.starts_program = text_or_empty(forward->turn.home)[0] == '\0';
    return forward_quota_take(forward);
}

void forward_quota_return(struct forward *forward)
{
    if (forward->quota.token_taken_ms != 0 && forward->sends == 0) {
        quota_leases_return(&forward->frontend->tenant_leases, forward->tenant->hash);
    }
}

bool forward_quota_take(struct forward *forward)
{
    struct frontend *frontend = forward->frontend;
    uint64_t now_ms = node_now(frontend->node);
    quota_use_t use = forward->quota.starts_program ? QUOTA_USE_BEGIN : QUOTA_USE_REQUEST;
    if (!forward_is_rate_limited(forward)) {
        return true;
    }
    bool leased = use == QUOTA_USE_REQUEST && quota_leases_has(&frontend->tenant_leases, now_ms, forward->tenant->hash);
    if (!leased && frontend_is_cut_off(frontend)) {
        forward->quota.needs_leader = true;
        return false;
    }
    if (quota_leases_take(&frontend->tenant_leases, now_ms, forward->tenant->hash, use)) {
        forward_quota_record_taken(forward);
        return true;
    }
    forward->quota.request_number = frontend->quota_requests + 1;
    return false;
}

bool forward_quota_is_fresh(const struct forward *forward)
{
    uint64_t expires_ms = forward->quota.token_taken_ms + FORWARD_TOKEN_LIFETIME_MS;
    return !forward_is_rate_limited(forward) || forward->possible_runs > 0 ||
           node_now(forward->frontend->node) < expires_ms;
}

/* Requests refused together must not be retried together. */
static uint64_t forward_add_jitter(struct frontend *frontend, uint64_t retry_ms)
{
    return retry_ms + frontend_random(frontend) % (retry_ms / FORWARD_RETRY_JITTER_DIVISOR + 1);
}

static QuotaShare *forward_find_share(const QuotaGrant *grant, uint64_t tenant)
{
    for (pb_size_t i = 0; i < grant->shares_count; i++) {
        if (grant->shares[i].tenant == tenant) {
            return &grant->shares[i];
        }
    }
    return NULL;
}

static void forward_log_quota_refused(const struct forward *forward)
{
    const struct route_tenant *tenant = forward->tenant;
    event_log("quota_refused", "{s:s,s:s,s:b,s:f,s:f,s:I,s:I}", "id", text_or_empty(forward->id), "tenant",
              tenant->name, "begins", forward->quota.starts_program, "rate_per_s", tenant->rate_per_s, "burst",
              tenant->burst, "configuration", (json_int_t)forward->table->version, "retry_ms",
              (json_int_t)forward->quota.retry_after_ms);
}

static uint32_t *forward_share_tokens(const struct forward *forward, QuotaShare *share)
{
    return forward->quota.starts_program ? &share->begun : &share->granted;
}

static void forward_quota_apply_grant(struct forward *forward, const QuotaGrant *grant)
{
    struct frontend *frontend = forward->frontend;
    QuotaShare *share = grant == NULL ? NULL : forward_find_share(grant, forward->tenant->hash);
    forward->quota.request_number = 0;
    if (share == NULL) {
        forward_refuse(forward, FORWARD_UNAVAILABLE, "quota not learnt");
    } else if (*forward_share_tokens(forward, share) == 0) {
        frontend->counters.quota_refusals++;
        forward->quota.retry_after_ms = forward_add_jitter(frontend, share->retry_ms);
        forward_log_quota_refused(forward);
        forward_refuse(forward, FORWARD_TOO_MANY,
                       forward->quota.starts_program ? "begins over the tenant's limit" : "over the tenant's limit");
    } else {
        (*forward_share_tokens(forward, share))--;
        forward->quota.starts_program = false; /* any further token is for a program that has started */
        forward_quota_record_taken(forward);
        forward_continue(forward);
    }
}

/* Requests that wait for the reply to token request `number`, newest first; the caller frees the list. */
static struct forward **forward_quota_list_waiting(const struct frontend *frontend, uint64_t number, size_t *count)
{
    struct forward **list = memory_new((frontend->active + 1U) * sizeof(struct forward *));
    *count = 0;
    for (struct forward *forward = frontend->forwards; forward != NULL; forward = forward->next) {
        if (forward->quota.request_number == number) {
            list[(*count)++] = forward;
        }
    }
    return list;
}

static void forward_on_quota_reply(void *context, ResultCode code, struct view body)
{
    struct forward_quota_request *request = context;
    struct frontend *frontend = request->frontend;
    QuotaGrant grant = {0};
    size_t count = 0;
    bool answered = code == RESULT_OK && message_decode(body, QuotaGrant_fields, &grant);
    struct forward **list = forward_quota_list_waiting(frontend, request->number, &count);
    while (count > 0) {
        forward_quota_apply_grant(list[--count], answered ? &grant : NULL); /* oldest first */
    }
    for (pb_size_t i = 0; i < grant.shares_count; i++) {
        const QuotaShare *share = &grant.shares[i];
        quota_leases_add(&frontend->tenant_leases, request->sent_ms, share->tenant, share->granted + share->begun);
    }
    message_free(QuotaGrant_fields, &grant);
    free(list);
    free(request);
}

void forward_quota_request(struct frontend *frontend)
{
    struct node *node = frontend->node;
    struct forward_quota_request *request = memory_new(sizeof(*request));
    struct buffer body = {0};
    QuotaAsk ask;
    quota_leases_fill_request(&frontend->tenant_leases, node_now(node), &ask);
    message_encode(&body, QuotaAsk_fields, &ask);
    free(ask.demands);
    *request = (struct forward_quota_request){frontend, ++frontend->quota_requests, node_now(node)};
    node_submit(node, REQUEST_QUOTA, buffer_view(&body), node_now(node) + FORWARD_QUOTA_TIMEOUT_MS,
                forward_on_quota_reply, request);
    buffer_close(&body);
}
