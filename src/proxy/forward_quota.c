/* What a tenant may still ask for: a token for each request, held here or asked of the leader (core/quota_purse.h). */
#include <stdlib.h>

#include "base/event_log.h"
#include "base/message.h"
#include "proxy/forward.h"

enum {
    FORWARD_TOO_MANY = 429,
    FORWARD_NO_STATE = 503,
    FORWARD_QUOTA_MS = 800,      /* time in which the leader answers; a caller's own time may end sooner */
    FORWARD_TOKEN_GOOD_MS = 500, /* time after which a request that has not been sent needs another token */
    FORWARD_RETRY_SPREAD = 4     /* callers come back within a further part, one in so many, of the time told */
};

/* An ask under way. */
struct forward_quota_ask {
    struct front *front;
    uint64_t number;
    uint64_t asked_ms;
};

static bool forward_has_limit(const struct forward *forward)
{
    return forward->tenant != NULL && forward->tenant->rate_per_s > 0;
}

static void forward_quota_pass(struct forward *forward)
{
    struct front *front = forward->front;
    forward->quota.taken_ms = node_now(front->node);
    if (forward->turn.program != NULL) {
        program_set_note(&front->programs, node_now(front->node), forward->turn.program);
    }
}

void forward_quota_begin(struct forward *forward)
{
    struct front *front = forward->front;
    const struct forward_turn *turn = &forward->turn;
    if (!forward_has_limit(forward)) {
        return;
    }
    forward->quota.may_begin = turn->program != NULL &&
                               !program_set_has(&front->programs, node_now(front->node), turn->program) &&
                               turn->parent == NULL;
    if (!forward->quota.may_begin) {
        forward_quota_take(forward);
    }
}

/* A program whose turns have run nowhere yet begins with this one. */
bool forward_quota_settle(struct forward *forward)
{
    if (!forward->quota.may_begin) {
        return true;
    }
    forward->quota.may_begin = false;
    forward->quota.begins = text_or_empty(forward->turn.home)[0] == '\0';
    return forward_quota_take(forward);
}

void forward_quota_end(struct forward *forward)
{
    if (forward->quota.taken_ms != 0 && forward->sends == 0) {
        quota_purses_return(&forward->front->purses, forward->tenant->hash);
    }
}

bool forward_quota_take(struct forward *forward)
{
    struct front *front = forward->front;
    uint64_t now_ms = node_now(front->node);
    quota_use_t use = forward->quota.begins ? QUOTA_USE_BEGIN : QUOTA_USE_REQUEST;
    if (!forward_has_limit(forward)) {
        return true;
    }
    if (quota_purses_take(&front->purses, now_ms, forward->tenant->hash, use)) {
        forward_quota_pass(forward);
        return true;
    }
    forward->quota.ask = front->quota_asks + 1;
    return false;
}

bool forward_quota_is_good(const struct forward *forward)
{
    uint64_t good_until_ms = forward->quota.taken_ms + FORWARD_TOKEN_GOOD_MS;
    return !forward_has_limit(forward) || forward->runs > 0 || node_now(forward->front->node) < good_until_ms;
}

/* Those that were refused together do not come back together. */
static uint64_t forward_spread(struct front *front, uint64_t retry_ms)
{
    front->spread = front->spread * 6364136223846793005ULL + 1442695040888963407ULL;
    return retry_ms + (front->spread >> 32) % (retry_ms / FORWARD_RETRY_SPREAD + 1);
}

static QuotaShare *forward_share_of(const QuotaGrant *grant, uint64_t tenant)
{
    for (pb_size_t i = 0; i < grant->shares_count; i++) {
        if (grant->shares[i].tenant == tenant) {
            return &grant->shares[i];
        }
    }
    return NULL;
}

static void forward_log_refused(const struct forward *forward)
{
    const struct route_tenant *tenant = forward->tenant;
    event_log_within("quota_refused", "request", "{s:s,s:s,s:b,s:f,s:f,s:I,s:I}", "id", text_or_empty(forward->id),
                     "tenant", tenant->name, "begins", forward->quota.begins, "rate_per_s", tenant->rate_per_s, "burst",
                     tenant->burst, "configuration", (json_int_t)forward->table->version, "retry_ms",
                     (json_int_t)forward->quota.retry_ms);
}

static uint32_t *forward_share_part(const struct forward *forward, QuotaShare *share)
{
    return forward->quota.begins ? &share->begun : &share->granted;
}

static void forward_quota_answered(struct forward *forward, const QuotaGrant *grant)
{
    struct front *front = forward->front;
    QuotaShare *share = grant == NULL ? NULL : forward_share_of(grant, forward->tenant->hash);
    forward->quota.ask = 0;
    if (share == NULL) {
        forward_refuse(forward, FORWARD_NO_STATE, "quota not learnt");
    } else if (*forward_share_part(forward, share) == 0) {
        front->counters.quota_refusals++;
        forward->quota.retry_ms = forward_spread(front, share->retry_ms);
        forward_log_refused(forward);
        forward_refuse(forward, FORWARD_TOO_MANY,
                       forward->quota.begins ? "begins over the tenant's limit" : "over the tenant's limit");
    } else {
        (*forward_share_part(forward, share))--;
        forward->quota.begins = false; /* what is asked for from now on is for a program under way */
        forward_quota_pass(forward);
        forward_go_on(forward);
    }
}

/* Those that wait for an ask, in the order in which they came. */
static struct forward **forward_quota_waiting(const struct front *front, uint64_t ask, size_t *count)
{
    struct forward **list = memory_new((front->active + 1U) * sizeof(struct forward *));
    *count = 0;
    for (struct forward *forward = front->forwards; forward != NULL; forward = forward->next) {
        if (forward->quota.ask == ask) {
            list[(*count)++] = forward;
        }
    }
    return list;
}

static void forward_on_quota(void *context, ResultCode code, struct view body)
{
    struct forward_quota_ask *ask = context;
    struct front *front = ask->front;
    QuotaGrant grant = {0};
    size_t count = 0;
    bool answered = code == RESULT_OK && message_decode(body, QuotaGrant_fields, &grant);
    struct forward **list = forward_quota_waiting(front, ask->number, &count);
    while (count > 0) {
        forward_quota_answered(list[--count], answered ? &grant : NULL); /* the newest stands first */
    }
    for (pb_size_t i = 0; i < grant.shares_count; i++) {
        const QuotaShare *share = &grant.shares[i];
        quota_purses_put(&front->purses, ask->asked_ms, share->tenant, share->granted + share->begun);
    }
    message_free(QuotaGrant_fields, &grant);
    free(list);
    free(ask);
}

void forward_quota_ask(struct front *front)
{
    struct node *node = front->node;
    struct forward_quota_ask *ask = memory_new(sizeof(*ask));
    struct buffer body = {0};
    QuotaAsk demands;
    quota_purses_ask(&front->purses, node_now(node), &demands);
    message_encode(&body, QuotaAsk_fields, &demands);
    free(demands.demands);
    *ask = (struct forward_quota_ask){front, ++front->quota_asks, node_now(node)};
    node_submit(node, REQUEST_QUOTA, buffer_view(&body), node_now(node) + FORWARD_QUOTA_MS, forward_on_quota, ask);
    buffer_close(&body);
}
