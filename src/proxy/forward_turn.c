/* A request as a turn of a program: budget, conversation, storage. */
#include <stdlib.h>
#include <string.h>

#include "base/event_log.h"
#include "base/message.h"
#include "core/budget_table.h"
#include "proxy/forward.h"

enum { FORWARD_PAYMENT_REQUIRED = 402, FORWARD_NO_TURN = 404, FORWARD_NO_STATE = 503 };

/* A reservation that is not given back is held against its program: it is tried for as long as that is remembered. */
enum { FORWARD_SETTLE_MS = BUDGET_RETENTION_MS };

void forward_turn_read(struct forward *forward)
{
    struct forward_turn *turn = &forward->turn;
    if (!forward->route->turns) {
        return;
    }
    char *program = forward_text(forward, DIALECT_PROGRAM);
    if (program == NULL) {
        return;
    }
    turn->program = forward_tenant_program(forward, program);
    free(program);
    turn->keep = forward->route->stateful;
    turn->parent = turn->keep ? forward_text(forward, DIALECT_PARENT_TURN) : NULL;
    turn->budget = forward_number(forward, DIALECT_TOKEN_BUDGET, UINT64_MAX / 2);
    char *usage = forward_text(forward, DIALECT_TOKEN_USAGE);
    const char *comma = usage == NULL ? NULL : strchr(usage, ',');
    turn->most = comma == NULL ? 0 : strtoull(comma + 1, NULL, 10);
    free(usage);
    if (forward->front->call_cost.tokens == 0) {
        prefix_cost_note(&forward->front->call_cost, forward->own_tokens, turn->most);
    }
}

uint64_t forward_chunk_tokens(const struct forward *forward)
{
    const struct route_service *service =
        forward->wish.service == NULL ? NULL : route_table_service(forward->table, forward->wish.service);
    return service == NULL || service->chunk_tokens == 0 ? 1 : service->chunk_tokens;
}

/* The state replicas may take a while to elect a leader; most of the caller's time stays for another try. */
static uint64_t forward_state_deadline(const struct forward *forward)
{
    uint64_t now_ms = node_now(forward->front->node);
    uint64_t left_ms = forward->limit_ms > now_ms ? forward->limit_ms - now_ms : 0;
    uint64_t share_ms = left_ms * FORWARD_STATE_PERCENT / 100;
    return now_ms + (share_ms < FORWARD_STATE_MS ? share_ms : FORWARD_STATE_MS);
}

/* ---- Before the turn runs ------------------------------------------------------------------ */

static void forward_on_reserved(void *context, ResultCode code, struct view body)
{
    struct forward *forward = context;
    EntryResult result = {0};
    forward->turn.reserving = NULL;
    if (code == RESULT_OK && message_decode(body, EntryResult_fields, &result)) {
        code = result.code;
        forward->turn.home = text_copy(result.engine);
        forward->wish.home = forward->route->sticky ? forward->turn.home : NULL;
        message_free(EntryResult_fields, &result);
    }
    histogram_note(&forward->front->begin, node_now(forward->front->node) - forward->turn.since_ms);
    if (code == RESULT_OK) {
        forward_go_on(forward);
    } else if (code == RESULT_BUDGET) {
        forward->front->counters.budget_refusals++;
        forward->turn.begun = false;
        forward_refuse(forward, FORWARD_PAYMENT_REQUIRED, "budget spent");
    } else if (code == RESULT_LIMIT) {
        forward->turn.begun = false;
        forward_refuse(forward, FORWARD_NO_STATE, "state full");
    } else {
        forward_refuse(forward, FORWARD_NO_STATE, "budget not learnt");
    }
}

static void forward_turn_reserve(struct forward *forward)
{
    struct forward_turn *turn = &forward->turn;
    struct node *node = forward->front->node;
    Entry entry = {0};
    entry.which_command = Entry_turn_begin_tag;
    entry.command.turn_begin.turn = forward->id;
    entry.command.turn_begin.program = turn->program;
    entry.command.turn_begin.budget_tokens = turn->budget;
    entry.command.turn_begin.reserve_tokens = turn->most;
    turn->begun = true;
    turn->since_ms = node_now(node);
    turn->reserving = node_propose(node, &entry, forward_state_deadline(forward), forward_on_reserved, forward);
}

/* Keeps a fetched chain near, and takes the conversation from it. */
static bool forward_take_chain(struct forward *forward, struct view body)
{
    struct front *front = forward->front;
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
        turn_store_add(&front->cache, node_now(front->node), &content);
        buffer_append(&forward->turn.history, content.input.data, content.input.length);
        buffer_append(&forward->turn.history, content.output.data, content.output.length);
    }
    message_free(TurnChain_fields, &chain);
    return true;
}

static void forward_on_fetched(void *context, ResultCode code, struct view body)
{
    struct forward *forward = context;
    forward->turn.fetching = NULL;
    if (code == RESULT_OK && forward_take_chain(forward, body)) {
        forward_go_on(forward);
    } else if (code == RESULT_NOT_FOUND) {
        forward_refuse(forward, FORWARD_NO_TURN, "no such turn");
    } else {
        forward_refuse(forward, FORWARD_NO_STATE, "conversation not learnt");
    }
}

static void forward_encode_query(const struct forward *forward, struct buffer *out)
{
    TurnQuery query = {.turn = forward->turn.parent, .tenant = forward_tenant_hash(forward)};
    message_encode(out, TurnQuery_fields, &query);
}

/* Only the leader can be sure that a turn is not there. */
static void forward_fetch_from_leader(struct forward *forward)
{
    struct node *node = forward->front->node;
    struct buffer body = {0};
    forward_encode_query(forward, &body);
    forward->turn.fetching = node_submit(node, REQUEST_TURNS, buffer_view(&body), forward_state_deadline(forward),
                                         forward_on_fetched, forward);
    buffer_close(&body);
}

static void forward_on_fetched_near(void *context, ResultCode code, struct view body)
{
    struct forward *forward = context;
    forward->turn.fetching = NULL;
    if (code == RESULT_OK && forward_take_chain(forward, body)) {
        forward_go_on(forward);
    } else {
        forward_fetch_from_leader(forward);
    }
}

/* Appends the conversation; false: it was refused. */
static bool forward_take_cached(struct forward *forward, const struct turn *parent)
{
    struct front *front = forward->front;
    if (!turn_is_of(parent, forward_tenant_hash(forward))) {
        forward_refuse(forward, FORWARD_NO_TURN, "no such turn");
        return false;
    }
    front->counters.cache_hits++;
    turn_chain_text(&front->cache, parent, &forward->turn.history);
    return true;
}

/* False: it was refused. */
static bool forward_turn_fetch(struct forward *forward)
{
    struct front *front = forward->front;
    struct node *node = front->node;
    const struct turn *parent = turn_store_find(&front->cache, forward->turn.parent);
    if (parent != NULL) {
        return forward_take_cached(forward, parent);
    }
    front->counters.cache_misses++;
    uint32_t near = node->host != NULL ? node->id : watch_client_member(&node->watch);
    if (near == RAFT_NO_NODE) {
        forward_fetch_from_leader(forward);
        return true;
    }
    struct buffer body = {0};
    forward_encode_query(forward, &body);
    forward->turn.fetching = node_ask(node, near, REQUEST_TURNS_HELD, buffer_view(&body),
                                      node_now(node) + FORWARD_NEAR_MS, forward_on_fetched_near, forward);
    buffer_close(&body);
    return true;
}

/* What is kept goes to every member of the replicas' group. */
static bool forward_may_store_at(const struct forward *forward, const char *region)
{
    bool route = route_regions_allow(&forward->route->regions, region);
    return route && (forward->tenant == NULL || route_regions_allow(&forward->tenant->regions, region));
}

/* The caller's own region, which is this gateway's, has what was said anyhow. */
static bool forward_may_store(const struct forward *forward)
{
    const struct node *node = forward->front->node;
    const zone_place_t *places = node->settings.zones.items;
    size_t count = node->settings.zones.count;
    const char *own = zone_region(places, count, node->settings.zone);
    bool may = true;
    for (uint32_t i = 0; may && i < node->state.members.count; i++) {
        const char *region = zone_region(places, count, node->state.members.places[i].zone);
        bool same = own != NULL && region != NULL && strcmp(own, region) == 0;
        may = same || forward_may_store_at(forward, region);
    }
    return may;
}

void forward_turn_begin(struct forward *forward)
{
    if (forward->turn.keep && !forward_may_store(forward)) {
        forward_refuse(forward, FORWARD_NO_STATE, "no place to keep it in the allowed regions");
        return;
    }
    if (forward->turn.parent == NULL || forward_turn_fetch(forward)) {
        forward_turn_reserve(forward);
    }
}

/* ---- After it ran ---------------------------------------------------------------------------- */

static void forward_fill_finish(const struct forward *forward, bool keep, Entry *entry)
{
    entry->which_command = Entry_turn_finish_tag;
    TurnFinish *finish = &entry->command.turn_finish;
    finish->turn = forward->id;
    finish->program = forward->turn.program;
    finish->used_tokens = forward->stream.event_count * forward_chunk_tokens(forward);
    finish->server = forward->turn.ran_at;
    finish->keep = keep;
    if (keep) {
        finish->parent = forward->turn.parent;
        finish->input = buffer_view(&forward->call->body);
        finish->output = buffer_view(&forward->turn.output);
        finish->retention_ms = forward->route->retention_ms;
        finish->tenant = forward_tenant_hash(forward);
    }
}

void forward_turn_settle(struct forward *forward)
{
    struct forward_turn *turn = &forward->turn;
    struct node *node = forward->front->node;
    if (!turn->begun || turn->settled) {
        return;
    }
    Entry entry = {0};
    turn->settled = true;
    forward_fill_finish(forward, false, &entry);
    node_post(node, &entry, node_now(node) + FORWARD_SETTLE_MS);
}

static void forward_remember_turn(struct forward *forward)
{
    struct front *front = forward->front;
    struct turn_content content = {
        .id = forward->id,
        .parent = forward->turn.parent,
        .input = buffer_view(&forward->call->body),
        .output = buffer_view(&forward->turn.output),
        .tenant = forward_tenant_hash(forward),
    };
    turn_store_add(&front->cache, node_now(front->node), &content);
}

static void forward_on_committed(void *context, ResultCode code, struct view body)
{
    struct forward *forward = context;
    EntryResult result = {0};
    forward->turn.reserving = NULL;
    if (code == RESULT_OK && message_decode(body, EntryResult_fields, &result)) {
        code = result.code;
        message_free(EntryResult_fields, &result);
    }
    histogram_note(&forward->front->commit, node_now(forward->front->node) - forward->turn.since_ms);
    if (code == RESULT_OK) {
        forward->turn.settled = true;
        forward_remember_turn(forward);
        forward_complete(forward);
    } else {
        forward_fail(forward, FORWARD_NO_STATE, "turn not stored");
    }
}

void forward_turn_commit(struct forward *forward)
{
    struct forward_turn *turn = &forward->turn;
    struct node *node = forward->front->node;
    if (!turn->keep) {
        forward_turn_settle(forward);
        forward_complete(forward);
        return;
    }
    Entry entry = {0};
    forward->phase = FORWARD_COMMITTING;
    turn->since_ms = node_now(node);
    forward_fill_finish(forward, true, &entry);
    turn->reserving = node_propose(node, &entry, forward->limit_ms, forward_on_committed, forward);
}

void forward_turn_close(struct forward *forward)
{
    struct forward_turn *turn = &forward->turn;
    node_forget(forward->front->node, turn->reserving);
    node_forget(forward->front->node, turn->fetching);
    buffer_close(&turn->history);
    buffer_close(&turn->output);
    free(turn->program);
    free(turn->parent);
    free(turn->home);
    free(turn->ran_at);
    memset(turn, 0, sizeof(*turn));
}
