/* Requests and reads of the site state, and automatic membership. */
#include <stdlib.h>
#include <string.h>

#include "base/message.h"
#include "core/replica_internal.h"

/* ---- Timestamps ---------------------------------------------------------------- */

/* Timestamp of the next entry. A monotonic one continues from the latest applied timestamp by this leader's monotonic
 * clock, so that neither a wall clock jump nor a new leader moves it ahead. Time without a leader does not count. */
uint64_t replica_timestamp_ms(struct replica *replica, uint32_t group)
{
    uint64_t wall_ms = replica->now_ms + replica->wall_offset_ms;
    if (!replica->config.monotonic_timestamps) {
        return wall_ms;
    }
    struct replica_group *state = &replica->groups[group];
    if (state->timestamp_term != state->raft.term) {
        state->timestamp_term = state->raft.term;
        state->timestamp_base_ms = state->machine.site.time_ms;
        state->timestamp_since_ms = replica->now_ms;
    }
    return state->timestamp_base_ms + (replica->now_ms - state->timestamp_since_ms);
}

bool replica_is_fresh(const struct replica *replica, uint32_t group, uint64_t now_ms)
{
    return !replica->failed && raft_is_fresh(&replica->groups[group].raft, now_ms);
}

/* ---- Reads ---------------------------------------------------------------------- */

static void replica_answer_document(struct replica *replica, uint32_t group, const struct replica_waiter *waiter)
{
    const struct site_state *site = &replica->groups[group].machine.site;
    const struct site_document *document = &site->document;
    DocumentState state = {.version = document->version};
    DocumentState known = {0};
    if (!message_decode(view_of(waiter->body, waiter->length), DocumentState_fields, &known)) {
        replica_reply(replica, group, waiter, RESULT_INVALID, view_of(NULL, 0));
        return;
    }
    if (document->version > known.version) {
        state.content = document->content;
    }
    state.has_drained = site->drained.revision > known.drained.revision;
    zone_set_export(&site->drained, &state.drained);
    replica_reply_message(replica, group, waiter, DocumentState_fields, &state);
    message_free(DocumentState_fields, &known);
}

static void replica_answer_turns(struct replica *replica, uint32_t group, const struct replica_waiter *waiter,
                                 struct view body)
{
    TurnQuery query = {0};
    if (!message_decode(body, TurnQuery_fields, &query)) {
        replica_reply(replica, group, waiter, RESULT_INVALID, view_of(NULL, 0));
        return;
    }
    const struct turn_store *turns = &replica->groups[group].machine.site.turns;
    const struct turn *turn = turn_store_find(turns, query.turn);
    bool found = turn != NULL && turn_is_visible_to(turn, query.tenant);
    message_free(TurnQuery_fields, &query);
    if (!found) {
        replica_reply(replica, group, waiter, RESULT_NOT_FOUND, view_of(NULL, 0));
        return;
    }
    struct buffer chain = {0};
    bool read = turn_chain_encode(turns, turn, &chain);
    replica_reply(replica, group, waiter, read ? RESULT_OK : RESULT_UNAVAILABLE, buffer_view(&chain));
    buffer_close(&chain);
}

static bool replica_has_member(const struct raft_members *members, const char *machine)
{
    for (uint32_t i = 0; i < members->count; i++) {
        if (text_equal(members->locations[i].name, machine)) {
            return true;
        }
    }
    return false;
}

/* Whether a machine is a member or has asked to join. */
static bool replica_has_machine(const struct replica *replica, const struct raft_members *members, const char *machine)
{
    bool known = replica_has_member(members, machine);
    for (size_t i = 0; i < REPLICA_MAX_JOINS && !known; i++) {
        known = replica->joins[i].node != RAFT_NO_NODE && text_equal(replica->joins[i].location.name, machine);
    }
    return known;
}

static void replica_answer_retire(struct replica *replica, uint32_t group, const struct replica_waiter *waiter,
                                  struct view body)
{
    RetireQuery query = {0};
    if (!message_decode(body, RetireQuery_fields, &query)) {
        replica_reply(replica, group, waiter, RESULT_INVALID, view_of(NULL, 0));
        return;
    }
    const struct replica_group *state = &replica->groups[group];
    bool member = replica_has_member(&state->raft.members, query.machine);
    bool committed = state->raft.members_index <= state->raft.commit;
    RetireState answer = {0};
    answer.started = site_state_is_retiring(&state->machine.site, query.machine);
    answer.known = answer.started || replica_has_machine(replica, &state->raft.members, query.machine);
    answer.completed = answer.started && !member && committed;
    message_free(RetireQuery_fields, &query);
    replica_reply_message(replica, group, waiter, RetireState_fields, &answer);
}

static void replica_answer_stream(struct replica *replica, uint32_t group, const struct replica_waiter *waiter,
                                  struct view body)
{
    StreamQuery query = {0};
    if (!message_decode(body, StreamQuery_fields, &query)) {
        replica_reply(replica, group, waiter, RESULT_INVALID, view_of(NULL, 0));
        return;
    }
    const stream_origins_t *origins = &replica->groups[group].machine.site.stream_origins;
    const service_versions_t *versions = &replica->groups[group].machine.site.versions;
    const stream_version_t *version = stream_origins_find(origins, query.stream);
    uint64_t now_ms = replica_timestamp_ms(replica, group);
    StreamState state = {.found = version != NULL};
    if (version != NULL) {
        state.service = version->service;
        state.version = version->version;
    }
    for (pb_size_t i = 0; i < query.services_count; i++) {
        state.others_recorded = state.others_recorded || stream_origins_has_service(origins, query.services[i]);
        const char *current = i < query.versions_count ? query.versions[i] : NULL;
        state.unsettled = state.unsettled || !service_versions_is_settled(versions, now_ms, query.services[i], current);
    }
    message_free(StreamQuery_fields, &query);
    replica_reply_message(replica, group, waiter, StreamState_fields, &state);
}

bool replica_answer_site_read(struct replica *replica, uint32_t group, const struct replica_waiter *waiter)
{
    struct view body = view_of(waiter->body, waiter->length);
    switch (waiter->kind) {
    case REQUEST_DOCUMENT: replica_answer_document(replica, group, waiter); return true;
    case REQUEST_TURNS:
    case REQUEST_TURNS_HELD: replica_answer_turns(replica, group, waiter, body); return true;
    case REQUEST_RETIRE: replica_answer_retire(replica, group, waiter, body); return true;
    case REQUEST_STREAM: replica_answer_stream(replica, group, waiter, body); return true;
    default: return false;
    }
}

bool replica_record_version(struct replica *replica, uint64_t now_ms, const ServiceVersion *version)
{
    Entry entry = {.which_command = Entry_service_version_tag, .command.service_version = *version};
    replica->now_ms = now_ms;
    return replica_propose_entry(replica, STATE_CONFIG_GROUP, &entry);
}

/* ---- Failures under operations ------------------------------------------------------ */

bool replica_leads_applied(const struct replica *replica, uint32_t group)
{
    const struct raft *raft = &replica->groups[group].raft;
    return raft_is_leader(raft) && raft_term_at(raft, raft->applied) == raft->term;
}

bool replica_record_failure(struct replica *replica, uint64_t now_ms, uint32_t from, const Request *request,
                            const OperationFailure *failure)
{
    struct replica_waiter waiter = {.from = from, .request_id = request->id, .kind = REQUEST_FAILURE};
    Entry entry = {.which_command = Entry_operation_failure_tag, .command.operation_failure = *failure};
    struct buffer encoded = {0};
    replica->now_ms = now_ms;
    bool pending = replica_is_duplicate(&replica->groups[STATE_CONFIG_GROUP], from, request);
    bool proposed = pending || (message_encode(&encoded, Entry_fields, &entry) &&
                                replica_propose(replica, STATE_CONFIG_GROUP, buffer_view(&encoded), &waiter));
    buffer_close(&encoded);
    return proposed;
}

void replica_answer_failure(struct replica *replica, uint32_t group, const struct replica_waiter *waiter,
                            struct view result)
{
    EntryResult outcome = {0};
    if (!message_decode(result, EntryResult_fields, &outcome)) {
        replica_reply(replica, group, waiter, RESULT_INVALID, view_of(NULL, 0));
        return;
    }
    QuarantinedOperation operation = {.operation = outcome.operation, .remaining_ms = outcome.quarantined_ms};
    QuarantineNotice notice = {.quarantined_count = outcome.quarantined_ms > 0 ? 1 : 0,
                               .quarantined = &operation,
                               .suspicion = outcome.suspicion};
    replica_reply_message(replica, group, waiter, QuarantineNotice_fields, &notice);
    message_free(EntryResult_fields, &outcome);
}

/* ---- Members ---------------------------------------------------------------------- */

/* Join requests count too, since a new member has not replied to the leader yet. */
static uint64_t replica_last_contact_ms(const struct replica *replica, const struct raft *raft, uint32_t position)
{
    uint64_t contact_ms = raft->progress[position].last_contact_ms;
    for (size_t i = 0; i < REPLICA_MAX_JOINS; i++) {
        const struct membership_join *join = &replica->joins[i];
        bool later = join->node == raft->members.nodes[position] && join->requested_ms > contact_ms;
        contact_ms = later ? join->requested_ms : contact_ms;
    }
    return contact_ms;
}

static bool replica_is_same_machine(const struct raft_member_location *a, const struct raft_member_location *b)
{
    bool same_address = a->ip != 0 && a->ip == b->ip && a->port == b->port;
    return same_address || (a->name[0] != '\0' && text_equal(a->name, b->name));
}

/* Whether another node asks to join from the member's machine. */
static bool replica_is_succeeded_by_join(const struct replica *replica, const struct raft *raft, uint32_t position)
{
    for (size_t i = 0; i < REPLICA_MAX_JOINS; i++) {
        const struct membership_join *join = &replica->joins[i];
        bool is_other_node = join->node != RAFT_NO_NODE && join->node != raft->members.nodes[position];
        if (is_other_node && replica_is_same_machine(&raft->members.locations[position], &join->location)) {
            return true;
        }
    }
    return false;
}

/* Whether another member is on the same machine and has been heard since. An earlier leader may have added it: then it
 * no longer asks to join. */
static bool replica_is_succeeded_by_member(const struct replica *replica, const struct raft *raft, uint32_t position)
{
    uint64_t contact_ms = replica_last_contact_ms(replica, raft, position);
    bool silent = replica->now_ms >= contact_ms + raft->config.election_timeout_ms;
    for (uint32_t i = 0; i < raft->members.count && silent; i++) {
        bool heard_since = i != position && replica_last_contact_ms(replica, raft, i) > contact_ms;
        if (heard_since && replica_is_same_machine(&raft->members.locations[position], &raft->members.locations[i])) {
            return true;
        }
    }
    return false;
}

static void replica_describe_members(const struct replica *replica, const struct raft *raft,
                                     struct membership_status *statuses)
{
    const struct site_state *site = &replica->groups[STATE_CONFIG_GROUP].machine.site;
    for (uint32_t i = 0; i < raft->members.count; i++) {
        bool self = raft->members.nodes[i] == replica->config.node;
        uint64_t contact_ms = replica_last_contact_ms(replica, raft, i);
        memset(&statuses[i], 0, sizeof(statuses[i]));
        statuses[i].is_leader = self;
        statuses[i].silent_ms = self || contact_ms >= replica->now_ms ? 0 : replica->now_ms - contact_ms;
        statuses[i].known_ms = replica->now_ms - raft->progress[i].first_contact_ms;
        statuses[i].first_round = raft->progress[i].first_round;
        statuses[i].answered_round = raft->progress[i].acked_round;
        statuses[i].caught_up = self || raft_has_caught_up(raft, raft->members.nodes[i], replica->now_ms);
        statuses[i].retiring = site_state_is_retiring(site, raft->members.locations[i].name);
        statuses[i].replaced = replica_is_succeeded_by_join(replica, raft, i) ||
                               (!self && replica_is_succeeded_by_member(replica, raft, i));
    }
}

/* Replaces the first entry that is unused or has the same node or address, since a machine may return with a new node
 * id; else the oldest entry. */
static void replica_record_join(struct replica *replica, const Member *member)
{
    struct membership_join request = {.node = member->node, .requested_ms = replica->now_ms};
    raft_member_location_from_wire(member, &request.location);
    struct membership_join *slot = &replica->joins[0];
    for (size_t i = 0; i < REPLICA_MAX_JOINS; i++) {
        struct membership_join *join = &replica->joins[i];
        bool same_machine = join->node == request.node ||
                            (join->location.ip == request.location.ip && join->location.port == request.location.port);
        if (join->node == RAFT_NO_NODE || same_machine) {
            slot = join;
            break;
        }
        slot = join->requested_ms < slot->requested_ms ? join : slot;
    }
    *slot = request;
}

static void replica_handle_join(struct replica *replica, uint32_t group, const Request *request,
                                const struct replica_waiter *waiter)
{
    struct raft *raft = &replica->groups[group].raft;
    JoinRequest join = {0};
    if (!message_decode(request->body, JoinRequest_fields, &join)) {
        replica_reply(replica, group, waiter, RESULT_INVALID, view_of(NULL, 0));
        return;
    }
    bool retiring = site_state_is_retiring(&replica->groups[group].machine.site, join.member.name);
    if (!raft_is_leader(raft)) {
        replica_reply(replica, group, waiter, RESULT_NOT_LEADER, view_of(NULL, 0));
    } else if (retiring || !join.has_member || join.member.node == RAFT_NO_NODE) {
        replica_reply(replica, group, waiter, RESULT_INVALID, view_of(NULL, 0));
    } else {
        Member items[RAFT_MAX_MEMBERS];
        JoinReply reply = {.has_members = true};
        replica_record_join(replica, &join.member);
        replica_update_members(replica);
        raft_members_to_wire(&raft->members, items, &reply.members);
        replica_reply_message(replica, group, waiter, JoinReply_fields, &reply);
    }
    message_free(JoinRequest_fields, &join);
}

/* Refuses a proposal at a memory limit; false: refused. A turn that begins is refused at a lower limit and with
 * RESULT_LIMIT, which its caller gets at once, since nothing has run yet. Other proposals finish work in progress:
 * their senders retry. */
static bool replica_check_memory(struct replica *replica, uint32_t group, const Request *request,
                                 const struct replica_waiter *waiter)
{
    const struct replica_group *state = &replica->groups[group];
    const struct replica_config *config = &replica->config;
    bool begins_turn = state_machine_entry_command(request->body) == Entry_turn_begin_tag;
    bool log_full =
        raft_log_is_full(&state->raft) || (begins_turn && state->raft.log.bytes >= replica_turn_log_limit(replica));
    bool state_full =
        begins_turn && config->max_state_bytes > 0 && site_state_bytes(&state->machine.site) >= config->max_state_bytes;
    if (!raft_is_leader(&state->raft) || (!log_full && !state_full)) {
        return true;
    }
    replica->counters.refused++;
    replica_reply(replica, group, waiter, begins_turn ? RESULT_LIMIT : RESULT_NOT_LEADER, view_of(NULL, 0));
    return false;
}

/* Refuses to retire a machine that is unknown or without which too few members would remain; false: refused. */
static bool replica_check_retire(struct replica *replica, uint32_t group, const Request *request,
                                 const struct replica_waiter *waiter)
{
    struct raft *raft = &replica->groups[group].raft;
    const struct site_state *site = &replica->groups[group].machine.site;
    Entry entry = {0};
    bool relevant = raft_is_leader(raft) && state_machine_entry_command(request->body) == Entry_retire_start_tag;
    if (!relevant || !message_decode(request->body, Entry_fields, &entry)) {
        return true;
    }
    ResultCode code = RESULT_OK;
    if (entry.which_command == Entry_retire_start_tag) {
        const char *machine = entry.command.retire_start.machine;
        struct membership_status statuses[RAFT_MAX_MEMBERS];
        replica_describe_members(replica, raft, statuses);
        if (!site_state_is_retiring(site, machine) && !replica_has_machine(replica, &raft->members, machine)) {
            code = RESULT_NOT_FOUND;
        } else if (!site_state_is_retiring(site, machine) &&
                   !membership_may_retire(&raft->members, statuses, machine)) {
            code = RESULT_LIMIT;
        }
    }
    message_free(Entry_fields, &entry);
    if (code != RESULT_OK) {
        replica_reply(replica, group, waiter, code, view_of(NULL, 0));
    }
    return code == RESULT_OK;
}

bool replica_handle_site_request(struct replica *replica, uint32_t from, uint32_t group, const Request *request,
                                 const struct replica_waiter *waiter)
{
    (void)from;
    if (request->kind == REQUEST_JOIN) {
        replica_handle_join(replica, group, request, waiter);
        return true;
    }
    if (request->kind == REQUEST_TURNS_HELD) {
        /* Answered from the local state without a linearizable read, since turns are immutable; a turn that is missing
         * here may still exist. */
        replica_answer_turns(replica, group, waiter, request->body);
        return true;
    }
    return request->kind == REQUEST_PROPOSE && (!replica_check_memory(replica, group, request, waiter) ||
                                                !replica_check_retire(replica, group, request, waiter));
}

void replica_update_members(struct replica *replica)
{
    for (uint32_t group = 0; group < replica->config.groups; group++) {
        struct raft *raft = &replica->groups[group].raft;
        if (!raft_is_leader(raft) || raft->members_index > raft->commit || raft_is_replacing(&raft->members)) {
            continue;
        }
        struct membership_status statuses[RAFT_MAX_MEMBERS];
        replica_describe_members(replica, raft, statuses);
        struct membership_change change = membership_plan(&raft->members, statuses, replica->joins, REPLICA_MAX_JOINS,
                                                          replica->now_ms, replica->config.tolerated_zones);
        if (change.needed) {
            replica_propose_membership_change(replica, group, &change);
        }
    }
}
