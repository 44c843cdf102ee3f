/* Handles requests of daemons: proposals, reads and member changes. */
#include <stdlib.h>
#include <string.h>

#include "base/message.h"
#include "core/replica_internal.h"

enum { REPLICA_RELEASE_BATCH = 64 /* maximum number of pending releases in a reply */ };

bool replica_propose(struct replica *replica, uint32_t group, struct view entry, const struct replica_waiter *waiter)
{
    struct replica_group *state = &replica->groups[group];
    const struct lease_table *leases = &replica->groups[STATE_CONFIG_GROUP].machine.leases;
    if (!raft_is_leader(&state->raft)) {
        return false;
    }
    uint8_t flags = state_machine_flags(&state->machine, leases, entry);
    struct buffer data = {0};
    state_machine_stamp(replica_timestamp_ms(replica, group), flags, entry, &data);
    uint64_t index = raft_propose(&state->raft, buffer_view(&data));
    buffer_close(&data);
    if (index == 0) {
        return false;
    }
    replica->counters.proposals++;
    struct replica_waiter copy = *waiter;
    copy.key = index;
    copy.term = state->raft.term;
    replica_waiters_add(&state->proposals, &copy);
    return true;
}

bool replica_propose_entry(struct replica *replica, uint32_t group, const Entry *entry)
{
    struct buffer encoded = {0};
    struct replica_waiter no_sender = {.from = RAFT_NO_NODE};
    bool proposed = message_encode(&encoded, Entry_fields, entry) &&
                    replica_propose(replica, group, buffer_view(&encoded), &no_sender);
    buffer_close(&encoded);
    return proposed;
}

void replica_reply_message(struct replica *replica, uint32_t group, const struct replica_waiter *waiter,
                           const pb_msgdesc_t *fields, const void *message)
{
    struct buffer body = {0};
    if (message_encode(&body, fields, message)) {
        replica_reply(replica, group, waiter, RESULT_OK, buffer_view(&body));
    }
    buffer_close(&body);
}

static void replica_answer_program(struct replica *replica, uint32_t group, const struct replica_waiter *waiter,
                                   const ProgramQuery *query)
{
    const struct ledger *ledger = &replica->groups[group].machine.ledger;
    const struct ledger_program *program = ledger_find(ledger, query->id);
    ProgramView view = {0};
    struct buffer history = {0};
    if (program != NULL) {
        view.found = true;
        view.id = program->id;
        view.tenant = program->tenant;
        view.policy = program->policy;
        view.parent = program->parent;
        view.budget_tokens = program->budget;
        view.spent_tokens = program->spent;
        view.reserved_tokens = program->reserved;
        view.next_call = program->next_call;
        view.state = program->state;
        view.deadline_ms = program->deadline_ms;
        view.owner = program->handover_site;
        view.context_tokens = program->context_tokens;
        view.owner_epoch = program->handover_epoch;
        bool readable = query->through_call == 0 || ledger_read_history(ledger, program, query->through_call, &history);
        if (!readable) {
            replica_reply(replica, group, waiter, RESULT_UNAVAILABLE, view_of(NULL, 0));
            buffer_close(&history);
            return;
        }
        view.history = buffer_text(&history);
    }
    replica_reply_message(replica, group, waiter, ProgramView_fields, &view);
    buffer_close(&history);
}

static void replica_answer_config(struct replica *replica, const struct replica_waiter *waiter,
                                  const ConfigQuery *query)
{
    ConfigState state;
    config_store_read(&replica->groups[STATE_CONFIG_GROUP].machine.config, query->from_revision, &state);
    replica_reply_message(replica, STATE_CONFIG_GROUP, waiter, ConfigState_fields, &state);
    config_state_close(&state);
}

static void replica_answer_releases(struct replica *replica, uint32_t group, const struct replica_waiter *waiter)
{
    PendingRelease items[REPLICA_RELEASE_BATCH];
    memset(items, 0, sizeof(items));
    ReleaseList list = {0};
    list.releases = items;
    const struct ledger_release *release = replica->groups[group].machine.ledger.releases;
    for (; release != NULL && list.releases_count < REPLICA_RELEASE_BATCH; release = release->hh.next) {
        items[list.releases_count].program = release->program;
        items[list.releases_count].engine = release->engine;
        list.releases_count++;
    }
    replica_reply_message(replica, group, waiter, ReleaseList_fields, &list);
}

/* Lists the gateways with a lease whose active configuration is older than the given revision. */
static void replica_answer_lag(struct replica *replica, const struct replica_waiter *waiter, const LagQuery *query)
{
    const struct state_machine *machine = &replica->groups[STATE_CONFIG_GROUP].machine;
    LagList list = {0};
    list.revision = machine->config.revision;
    list.nodes = memory_new(HASH_COUNT(machine->leases.leases) * sizeof(*list.nodes));
    for (const struct lease *lease = machine->leases.leases; lease != NULL; lease = lease->hh.next) {
        if (!lease->expired && lease->revision < query->revision) {
            list.nodes[list.nodes_count++] = lease->gateway;
        }
    }
    replica_reply_message(replica, STATE_CONFIG_GROUP, waiter, LagList_fields, &list);
    free(list.nodes);
}

/* Call it only when the read is known to be linearizable or its result cannot change. */
void replica_answer_read(struct replica *replica, uint32_t group, const struct replica_waiter *waiter)
{
    struct view body = view_of(waiter->body, waiter->length);
    if (replica_answer_site_read(replica, group, waiter)) {
        return;
    }
    switch (waiter->kind) {
    case REQUEST_PROGRAM: {
        ProgramQuery query = {0};
        if (message_decode(body, ProgramQuery_fields, &query)) {
            replica_answer_program(replica, group, waiter, &query);
            message_free(ProgramQuery_fields, &query);
        }
        break;
    }
    case REQUEST_CONFIG: {
        ConfigQuery query = {0};
        if (message_decode(body, ConfigQuery_fields, &query)) {
            replica_answer_config(replica, waiter, &query);
        }
        break;
    }
    case REQUEST_RELEASES: replica_answer_releases(replica, group, waiter); break;
    case REQUEST_LAG: {
        LagQuery query = {0};
        if (message_decode(body, LagQuery_fields, &query)) {
            replica_answer_lag(replica, waiter, &query);
        }
        break;
    }
    default: replica_reply(replica, group, waiter, RESULT_INVALID, view_of(NULL, 0)); break;
    }
}

/* The history up to a finished call never changes: any replica that has applied the call may return it without a
 * heartbeat round. */
static bool replica_read_is_immutable(const struct replica *replica, uint32_t group, const Request *request)
{
    if (request->kind != REQUEST_PROGRAM) {
        return false;
    }
    ProgramQuery query = {0};
    if (!message_decode(request->body, ProgramQuery_fields, &query)) {
        return false;
    }
    const struct ledger_program *program = ledger_find(&replica->groups[group].machine.ledger, query.id);
    bool immutable = program != NULL && query.through_call > 0 && program->next_call > query.through_call;
    message_free(ProgramQuery_fields, &query);
    return immutable;
}

static void replica_start_read(struct replica *replica, uint32_t group, const Request *request,
                               struct replica_waiter *waiter)
{
    struct replica_group *state = &replica->groups[group];
    waiter->key = ++state->last_read_id;
    waiter->body = memory_copy(request->body.data, request->body.length);
    waiter->length = request->body.length;
    replica_waiters_add(&state->reads, waiter);
    if (!raft_read(&state->raft, waiter->key)) {
        state->reads.count--;
        replica_reply(replica, group, waiter, RESULT_NOT_LEADER, view_of(NULL, 0));
        free(waiter->body);
    }
}

/* Returns false if the change is already done or not possible. */
static bool replica_edit_members(struct raft_members *members, const struct membership_change *change)
{
    uint32_t position = 0;
    while (position < members->count && members->nodes[position] != change->node) {
        position++;
    }
    bool is_member = position < members->count;
    switch (change->action) {
    case MEMBER_ADD_LEARNER:
        if (is_member || members->count == RAFT_MAX_MEMBERS) {
            return false;
        }
        members->nodes[members->count] = change->node;
        members->locations[members->count] = change->location;
        members->learners[members->count++] = true;
        return true;
    case MEMBER_PROMOTE:
        if (!is_member || !members->learners[position]) {
            return false;
        }
        members->learners[position] = false;
        return true;
    case MEMBER_DEMOTE:
        if (!is_member || members->learners[position]) {
            return false;
        }
        members->learners[position] = true;
        return true;
    case MEMBER_REMOVE:
        if (!is_member) {
            return false;
        }
        raft_members_remove(members, position);
        return true;
    }
    return false;
}

/* Whether the leader may propose the change now. A leader that removes, demotes or replaces itself first transfers the
 * leadership. */
static bool replica_may_change(struct replica *replica, uint32_t group, const struct membership_change *change)
{
    struct raft *raft = &replica->groups[group].raft;
    bool loses_vote = change->action == MEMBER_REMOVE || change->action == MEMBER_DEMOTE;
    bool is_own = (loses_vote && change->node == replica->config.node) || change->replaces == replica->config.node;
    if (is_own) {
        raft_transfer(raft, replica->now_ms, replica_best_successor(replica, raft));
        return false;
    }
    return change->action != MEMBER_PROMOTE || raft_has_caught_up(raft, change->node, replica->now_ms);
}

static void replica_change_members(struct replica *replica, uint32_t group, const Request *request,
                                   struct replica_waiter *waiter)
{
    struct replica_group *state = &replica->groups[group];
    struct raft_members members = state->raft.members;
    MemberChange requested = {0};
    if (!message_decode(request->body, MemberChange_fields, &requested) || requested.node == RAFT_NO_NODE) {
        replica_reply(replica, group, waiter, RESULT_INVALID, view_of(NULL, 0));
        return;
    }
    if (!raft_is_leader(&state->raft)) {
        replica_reply(replica, group, waiter, RESULT_NOT_LEADER, view_of(NULL, 0));
        return;
    }
    struct membership_change change = {.needed = true, .action = requested.action, .node = requested.node};
    bool committed = state->raft.members_index <= state->raft.commit;
    if (!replica_edit_members(&members, &change)) {
        replica_reply(replica, group, waiter, committed ? RESULT_OK : RESULT_ABORTED, view_of(NULL, 0));
        return;
    }
    bool possible = replica_may_change(replica, group, &change);
    uint64_t index = possible ? raft_propose_members(&state->raft, replica->now_ms, &members) : 0;
    if (index == 0) {
        replica_reply(replica, group, waiter, RESULT_ABORTED, view_of(NULL, 0));
        return;
    }
    waiter->key = index;
    waiter->term = state->raft.term;
    replica_waiters_add(&state->proposals, waiter);
}

bool replica_propose_membership_change(struct replica *replica, uint32_t group, const struct membership_change *change)
{
    struct raft *raft = &replica->groups[group].raft;
    struct raft_members members = raft->members;
    if (!replica_edit_members(&members, change) || !replica_may_change(replica, group, change)) {
        return false;
    }
    if (change->replaces == RAFT_NO_NODE) {
        return raft_propose_members(raft, replica->now_ms, &members) != 0;
    }
    bool proposed = raft_propose_replacement(raft, replica->now_ms, change->replaces, change->node) != 0;
    replica->counters.replacements += proposed ? 1 : 0;
    return proposed;
}

static bool replica_has_waiter(const struct replica_waiters *waiters, uint32_t from, uint64_t request_id)
{
    for (size_t i = waiters->count; i > 0; i--) {
        const struct replica_waiter *waiter = &waiters->items[i - 1];
        if (waiter->from == from && waiter->request_id == request_id) {
            return true;
        }
    }
    return false;
}

bool replica_is_duplicate(const struct replica_group *group, uint32_t from, const Request *request)
{
    return request->again && (replica_has_waiter(&group->proposals, from, request->id) ||
                              replica_has_waiter(&group->reads, from, request->id));
}

void replica_handle_request(struct replica *replica, uint32_t from, uint32_t group, const Request *request)
{
    struct replica_waiter waiter = {.from = from, .request_id = request->id, .kind = request->kind};
    if (replica_is_duplicate(&replica->groups[group], from, request)) {
        return; /* answered once */
    }
    if (request->kind == REQUEST_MEMBERS) {
        replica_change_members(replica, group, request, &waiter);
        return;
    }
    if (replica_handle_site_request(replica, from, group, request, &waiter)) {
        return;
    }
    if (request->kind == REQUEST_PROPOSE) {
        if (!replica_propose(replica, group, request->body, &waiter)) {
            replica_reply(replica, group, &waiter, RESULT_NOT_LEADER, view_of(NULL, 0));
        }
        return;
    }
    if (replica_read_is_immutable(replica, group, request)) {
        waiter.body = (char *)(uintptr_t)request->body.data;
        waiter.length = request->body.length;
        replica_answer_read(replica, group, &waiter);
        return;
    }
    replica_start_read(replica, group, request, &waiter);
}

void replica_receive(struct replica *replica, uint64_t now_ms, uint32_t from, const Frame *frame)
{
    replica->now_ms = now_ms;
    if (replica->failed || frame->group >= replica->config.groups) {
        return;
    }
    switch (frame->which_payload) {
    case Frame_raft_tag:
        replica_compare_digest(replica, frame->group, from, &frame->payload.raft);
        raft_receive(&replica->groups[frame->group].raft, now_ms, from, &frame->payload.raft);
        break;
    case Frame_request_tag: replica_handle_request(replica, from, frame->group, &frame->payload.request); break;
    case Frame_heartbeat_tag: replica_handle_heartbeat(replica, from, &frame->payload.heartbeat); break;
    default: break;
    }
}
