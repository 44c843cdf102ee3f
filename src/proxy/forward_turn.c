/* Turns of programs: budget reservation, conversation, storage. */
#include <stdlib.h>
#include <string.h>

#include "base/event_log.h"
#include "base/message.h"
#include "core/budget_table.h"
#include "core/site_state.h"
#include "proxy/forward.h"

enum { FORWARD_PAYMENT_REQUIRED = 402, FORWARD_NOT_FOUND = 404, FORWARD_UNAVAILABLE = 503 };

/* As long as the state replicas keep the reservation, which counts against the budget until it is settled. */
enum { FORWARD_SETTLE_TIMEOUT_MS = BUDGET_RETENTION_MS };

void forward_turn_read(struct forward *forward)
{
    struct forward_turn *turn = &forward->turn;
    if (!forward->route->turns) {
        return;
    }
    char *program = forward_header_text(forward, DIALECT_PROGRAM);
    if (program == NULL) {
        return;
    }
    turn->program = forward_tenant_program(forward, program);
    free(program);
    turn->persistent = forward->route->stateful;
    turn->parent = turn->persistent ? forward_header_text(forward, DIALECT_PARENT_TURN) : NULL;
    turn->budget_tokens = forward_header_number(forward, DIALECT_TOKEN_BUDGET, UINT64_MAX / 2);
    char *usage = forward_header_text(forward, DIALECT_TOKEN_USAGE);
    const char *comma = usage == NULL ? NULL : strchr(usage, ',');
    turn->max_tokens = comma == NULL ? 0 : strtoull(comma + 1, NULL, 10);
    free(usage);
    if (forward->frontend->call_cost.tokens == 0) {
        prefix_cost_record(&forward->frontend->call_cost, forward->own_tokens, turn->max_tokens);
    }
}

uint64_t forward_tokens_per_event(const struct forward *forward)
{
    const struct route_service *service =
        forward->criteria.service == NULL ? NULL : route_table_service(forward->table, forward->criteria.service);
    return service == NULL || service->chunk_tokens == 0 ? 1 : service->chunk_tokens;
}

/* An election may delay the state replicas; most of the caller's time is kept for a retry. */
uint64_t forward_replica_deadline_ms(const struct forward *forward)
{
    uint64_t now_ms = node_now(forward->frontend->node);
    uint64_t left_ms = forward->deadline_ms > now_ms ? forward->deadline_ms - now_ms : 0;
    uint64_t share_ms = left_ms * FORWARD_STATE_MAX_PERCENT / 100;
    return now_ms + (share_ms < FORWARD_STATE_TIMEOUT_MS ? share_ms : FORWARD_STATE_TIMEOUT_MS);
}

/* ---- Before the turn runs ------------------------------------------------------------------ */

static void forward_on_reserved(void *context, ResultCode code, struct view body)
{
    struct forward *forward = context;
    EntryResult result = {0};
    uint32_t suspicion = 0;
    forward->turn.proposal = NULL;
    if (code == RESULT_OK && message_decode(body, EntryResult_fields, &result)) {
        code = result.code;
        suspicion = result.suspicion;
        forward->turn.home = text_copy(result.engine);
        forward->criteria.home = forward->route->sticky ? forward->turn.home : NULL;
        message_free(EntryResult_fields, &result);
    }
    histogram_record(&forward->frontend->reserve_time, node_now(forward->frontend->node) - forward->turn.proposed_ms);
    if (code == RESULT_OK && forward_exceeds_suspicion(forward, suspicion)) {
        forward_refuse_suspected(forward);
    } else if (code == RESULT_OK) {
        frontend_record_leader_reply(forward->frontend); /* an entry was committed */
        forward_continue(forward);
    } else if (code == RESULT_BUDGET) {
        forward->frontend->counters.budget_refusals++;
        forward->turn.reservation_sent = false;
        forward_refuse(forward, FORWARD_PAYMENT_REQUIRED, "budget spent");
    } else if (code == RESULT_LIMIT) {
        forward->turn.reservation_sent = false;
        forward_refuse(forward, FORWARD_UNAVAILABLE, "state full");
    } else {
        forward_refuse(forward, FORWARD_UNAVAILABLE, "budget not learnt");
    }
}

static void forward_turn_reserve(struct forward *forward)
{
    struct forward_turn *turn = &forward->turn;
    struct node *node = forward->frontend->node;
    Entry entry = {0};
    entry.which_command = Entry_turn_begin_tag;
    entry.command.turn_begin.turn = forward->id;
    entry.command.turn_begin.program = turn->program;
    entry.command.turn_begin.budget_tokens = turn->budget_tokens;
    entry.command.turn_begin.reserve_tokens = turn->max_tokens;
    entry.command.turn_begin.operation = forward_operation(forward);
    turn->reservation_sent = true;
    turn->proposed_ms = node_now(node);
    turn->proposal = node_propose(node, &entry, forward_replica_deadline_ms(forward), forward_on_reserved, forward);
}

/* Caches a fetched chain of turns, and appends its text to the conversation. False: the chain is malformed. */
static bool forward_apply_chain(struct forward *forward, struct view body)
{
    struct frontend *frontend = forward->frontend;
    TurnChain chain = {0};
    if (!message_decode(body, TurnChain_fields, &chain)) {
        return false;
    }
    for (pb_size_t i = 0; i < chain.turns_count; i++) {
        struct turn_content content = {
            .id = chain.turns[i].turn,
            .parent = chain.turns[i].parent,
            .input = chain.turns[i].input,
            .output = chain.turns[i].output,
            .tenant = chain.turns[i].tenant,
        };
        turn_store_add(&frontend->cache, node_now(frontend->node), &content);
        buffer_append(&forward->turn.history, content.input.data, content.input.length);
        buffer_append(&forward->turn.history, content.output.data, content.output.length);
    }
    message_free(TurnChain_fields, &chain);
    return true;
}

static void forward_on_fetched(void *context, ResultCode code, struct view body)
{
    struct forward *forward = context;
    forward->turn.fetch = NULL;
    if (code == RESULT_OK && forward_apply_chain(forward, body)) {
        forward_continue(forward);
    } else if (code == RESULT_NOT_FOUND) {
        forward_refuse(forward, FORWARD_NOT_FOUND, "no such turn");
    } else {
        forward_refuse(forward, FORWARD_UNAVAILABLE, "conversation not learnt");
    }
}

static void forward_encode_query(const struct forward *forward, struct buffer *out)
{
    TurnQuery query = {.turn = forward->turn.parent, .tenant = forward_tenant_hash(forward)};
    message_encode(out, TurnQuery_fields, &query);
}

/* Only the leader knows for certain that a turn does not exist. */
static void forward_fetch_from_leader(struct forward *forward)
{
    struct node *node = forward->frontend->node;
    struct buffer body = {0};
    forward_encode_query(forward, &body);
    forward->turn.fetch = node_submit(node, REQUEST_TURNS, buffer_view(&body), forward_replica_deadline_ms(forward),
                                      forward_on_fetched, forward);
    buffer_close(&body);
}

static void forward_on_fetched_nearby(void *context, ResultCode code, struct view body)
{
    struct forward *forward = context;
    forward->turn.fetch = NULL;
    if (code == RESULT_OK && forward_apply_chain(forward, body)) {
        forward_continue(forward);
    } else {
        forward_fetch_from_leader(forward);
    }
}

/* Appends the cached conversation; false: the request was refused. */
static bool forward_use_cached(struct forward *forward, const struct turn *parent)
{
    struct frontend *frontend = forward->frontend;
    if (!turn_is_visible_to(parent, forward_tenant_hash(forward))) {
        forward_refuse(forward, FORWARD_NOT_FOUND, "no such turn");
        return false;
    }
    frontend->counters.cache_hits++;
    turn_chain_text(&frontend->cache, parent, &forward->turn.history);
    return true;
}

/* Takes the conversation from the cache, a nearby replica or the leader; false: the request was refused. */
static bool forward_turn_fetch(struct forward *forward)
{
    struct frontend *frontend = forward->frontend;
    struct node *node = frontend->node;
    const struct turn *parent = turn_store_find(&frontend->cache, forward->turn.parent);
    if (parent != NULL) {
        return forward_use_cached(forward, parent);
    }
    frontend->counters.cache_misses++;
    uint32_t nearby = node->host != NULL ? node->id : watch_client_choose_member(&node->watch);
    if (nearby == RAFT_NO_NODE) {
        forward_fetch_from_leader(forward);
        return true;
    }
    struct buffer body = {0};
    forward_encode_query(forward, &body);
    forward->turn.fetch =
        node_submit_to_replica(node, nearby, REQUEST_TURNS_HELD, buffer_view(&body),
                               node_now(node) + FORWARD_NEARBY_TIMEOUT_MS, forward_on_fetched_nearby, forward);
    buffer_close(&body);
    return true;
}

static bool forward_may_store_at(const struct forward *forward, const char *region)
{
    bool route_allows = route_regions_allow(&forward->route->regions, region);
    return route_allows && (forward->tenant == NULL || route_regions_allow(&forward->tenant->regions, region));
}

/* A stored turn reaches every state replica, so all must be in allowed regions. This gateway's own region is always
 * allowed, since the conversation passes through it anyway. */
static bool forward_may_store(const struct forward *forward)
{
    const struct node *node = forward->frontend->node;
    const zone_info_t *zones = node->settings.zones.items;
    size_t count = node->settings.zones.count;
    const char *own_region = zone_region(zones, count, node->settings.zone);
    bool allowed = true;
    for (uint32_t i = 0; allowed && i < node->state.members.count; i++) {
        const char *region = zone_region(zones, count, node->state.members.locations[i].zone);
        bool same_region = own_region != NULL && region != NULL && strcmp(own_region, region) == 0;
        allowed = same_region || forward_may_store_at(forward, region);
    }
    return allowed;
}

void forward_turn_begin(struct forward *forward)
{
    if (forward->turn.persistent && !forward_may_store(forward)) {
        forward_refuse(forward, FORWARD_UNAVAILABLE, "no place to keep it in the allowed regions");
        return;
    }
    if (forward->turn.parent == NULL || forward_turn_fetch(forward)) {
        forward_turn_reserve(forward);
    }
}

/* ---- After the turn ran ---------------------------------------------------------------------------- */

/* A turn that continues this one within its retention may run until its route's timeout, and must still find it. */
static uint64_t forward_turn_kept_ms(const struct route *route)
{
    uint64_t running_ms = route->timeout_ms > SITE_TURN_SLACK_MS ? route->timeout_ms - SITE_TURN_SLACK_MS : 0;
    return route->retention_ms + running_ms;
}

static void forward_fill_turn_finish(const struct forward *forward, bool persist, Entry *entry)
{
    entry->which_command = Entry_turn_finish_tag;
    TurnFinish *finish = &entry->command.turn_finish;
    finish->turn = forward->id;
    finish->program = forward->turn.program;
    finish->used_tokens = forward->stream.event_count * forward_tokens_per_event(forward);
    finish->server = forward->turn.served_by;
    finish->keep = persist;
    if (persist) {
        finish->parent = forward->turn.parent;
        finish->input = buffer_view(&forward->call->body);
        finish->output = buffer_view(&forward->turn.output);
        finish->retention_ms = forward_turn_kept_ms(forward->route);
        finish->tenant = forward_tenant_hash(forward);
    }
}

void forward_turn_settle(struct forward *forward)
{
    struct forward_turn *turn = &forward->turn;
    struct node *node = forward->frontend->node;
    if (!turn->reservation_sent || turn->settled) {
        return;
    }
    Entry entry = {0};
    turn->settled = true;
    forward_fill_turn_finish(forward, false, &entry);
    node_propose_background(node, &entry, node_now(node) + FORWARD_SETTLE_TIMEOUT_MS);
}

static void forward_cache_turn(struct forward *forward)
{
    struct frontend *frontend = forward->frontend;
    struct turn_content content = {
        .id = forward->id,
        .parent = forward->turn.parent,
        .input = buffer_view(&forward->call->body),
        .output = buffer_view(&forward->turn.output),
        .tenant = forward_tenant_hash(forward),
    };
    turn_store_add(&frontend->cache, node_now(frontend->node), &content);
}

static void forward_on_committed(void *context, ResultCode code, struct view body)
{
    struct forward *forward = context;
    EntryResult result = {0};
    forward->turn.proposal = NULL;
    if (code == RESULT_OK && message_decode(body, EntryResult_fields, &result)) {
        code = result.code;
        message_free(EntryResult_fields, &result);
    }
    histogram_record(&forward->frontend->commit_time, node_now(forward->frontend->node) - forward->turn.proposed_ms);
    if (code == RESULT_OK) {
        frontend_record_leader_reply(forward->frontend);
        forward->turn.settled = true;
        forward_cache_turn(forward);
        forward_complete(forward);
    } else {
        forward_fail(forward, FORWARD_UNAVAILABLE, "turn not stored");
    }
}

void forward_turn_commit(struct forward *forward)
{
    struct forward_turn *turn = &forward->turn;
    struct node *node = forward->frontend->node;
    if (!turn->persistent) {
        forward_turn_settle(forward);
        forward_complete(forward);
        return;
    }
    if (frontend_may_abort_commits(forward->frontend)) {
        forward_abort_uncommitted(forward);
        return;
    }
    Entry entry = {0};
    forward->phase = FORWARD_COMMITTING;
    turn->proposed_ms = node_now(node);
    forward_fill_turn_finish(forward, true, &entry);
    turn->proposal = node_propose(node, &entry, forward->deadline_ms, forward_on_committed, forward);
}

void forward_turn_close(struct forward *forward)
{
    struct forward_turn *turn = &forward->turn;
    node_ignore_reply(forward->frontend->node, turn->proposal);
    node_ignore_reply(forward->frontend->node, turn->fetch);
    buffer_close(&turn->history);
    buffer_close(&turn->output);
    free(turn->program);
    free(turn->parent);
    free(turn->home);
    free(turn->served_by);
    memset(turn, 0, sizeof(*turn));
}
