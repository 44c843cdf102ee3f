/* A site's requests and reads, and members that come and go by themselves. */
#include <stdlib.h>
#include <string.h>

#include <pb.h>

#include "base/message.h"
#include "core/replica_internal.h"

/* ---- Time --------------------------------------------------------------------- */

/*
 * A steady stamp goes on from the latest one that was applied, by this
 * leader's steady clock: neither a jump of the wall clock nor a new leader
 * moves it ahead. Time without a leader does not count.
 */
uint64_t replica_stamp_ms(struct replica *replica, uint32_t group)
{
    uint64_t wall_ms = replica->now_ms + replica->wall_offset_ms;
    if (!replica->config.steady_stamps) {
        return wall_ms;
    }
    struct replica_group *state = &replica->groups[group];
    if (state->stamp_term != state->raft.term) {
        state->stamp_term = state->raft.term;
        state->stamp_base_ms = state->machine.site.time_ms;
        state->stamp_since_ms = replica->now_ms;
    }
    return state->stamp_base_ms + (replica->now_ms - state->stamp_since_ms);
}

bool replica_is_fresh(const struct replica *replica, uint32_t group, uint64_t now_ms)
{
    return !replica->failed && raft_is_current(&replica->groups[group].raft, now_ms);
}

/* ---- Reads ---------------------------------------------------------------------- */

static void replica_answer_document(struct replica *replica, uint32_t group, const struct replica_waiter *waiter)
{
    const struct site_state *site = &replica->groups[group].machine.site;
    const struct site_document *document = &site->document;
    DocumentState state = {.version = document->version};
    DocumentState held = {0};
    if (!message_decode(view_of(waiter->body, waiter->length), DocumentState_fields, &held)) {
        replica_reply(replica, group, waiter, RESULT_INVALID, view_of(NULL, 0));
        return;
    }
    if (document->version > held.version) {
        state.content = document->content;
    }
    state.has_drained = site->drained.revision > held.drained.revision;
    zone_set_tell(&site->drained, &state.drained);
    replica_reply_message(replica, group, waiter, DocumentState_fields, &state);
    message_free(DocumentState_fields, &held);
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
    bool found = turn != NULL && turn_is_of(turn, query.tenant);
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
        if (text_equal(members->places[i].name, machine)) {
            return true;
        }
    }
    return false;
}

/* A machine that holds nothing is known by its asking. */
static bool replica_has_machine(const struct replica *replica, const struct raft_members *members, const char *machine)
{
    bool known = replica_has_member(members, machine);
    for (size_t i = 0; i < REPLICA_MAX_JOINS && !known; i++) {
        known = replica->joins[i].node != RAFT_NO_NODE && text_equal(replica->joins[i].place.name, machine);
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
    bool settled = state->raft.members_index <= state->raft.commit;
    RetireState answer = {0};
    answer.started = site_state_is_retired(&state->machine.site, query.machine);
    answer.known = answer.started || replica_has_machine(replica, &state->raft.members, query.machine);
    answer.completed = answer.started && !member && settled;
    message_free(RetireQuery_fields, &query);
    replica_reply_message(replica, group, waiter, RetireState_fields, &answer);
}

bool replica_answer_site_read(struct replica *replica, uint32_t group, const struct replica_waiter *waiter)
{
    struct view body = view_of(waiter->body, waiter->length);
    switch (waiter->kind) {
    case REQUEST_DOCUMENT: replica_answer_document(replica, group, waiter); return true;
    case REQUEST_TURNS:
    case REQUEST_TURNS_HELD: replica_answer_turns(replica, group, waiter, body); return true;
    case REQUEST_RETIRE: replica_answer_retire(replica, group, waiter, body); return true;
    default: return false;
    }
}

/* ---- Members ---------------------------------------------------------------------- */

/* A newcomer was heard when it asked, before it answers anything as a member. */
static uint64_t replica_heard_ms(const struct replica *replica, const struct raft *raft, uint32_t position)
{
    uint64_t heard_ms = raft->progress[position].last_heard_ms;
    for (size_t i = 0; i < REPLICA_MAX_JOINS; i++) {
        const struct membership_join *join = &replica->joins[i];
        bool later = join->node == raft->members.nodes[position] && join->asked_ms > heard_ms;
        heard_ms = later ? join->asked_ms : heard_ms;
    }
    return heard_ms;
}

static void replica_describe_members(const struct replica *replica, const struct raft *raft,
                                     struct membership_view *views)
{
    const struct site_state *site = &replica->groups[STATE_CONFIG_GROUP].machine.site;
    for (uint32_t i = 0; i < raft->members.count; i++) {
        const struct raft_member_place *place = &raft->members.places[i];
        bool self = raft->members.nodes[i] == replica->config.node;
        uint64_t heard_ms = replica_heard_ms(replica, raft, i);
        memset(&views[i], 0, sizeof(views[i]));
        views[i].leads = self;
        views[i].silent_ms = self || heard_ms >= replica->now_ms ? 0 : replica->now_ms - heard_ms;
        views[i].caught_up = self || raft_has_caught_up(raft, raft->members.nodes[i], replica->now_ms);
        views[i].retiring = site_state_is_retired(site, place->name);
        for (size_t k = 0; k < REPLICA_MAX_JOINS; k++) {
            const struct membership_join *join = &replica->joins[k];
            bool other = join->node != RAFT_NO_NODE && join->node != raft->members.nodes[i];
            bool same_address = place->ip != 0 && join->place.ip == place->ip && join->place.port == place->port;
            bool same_name = place->name[0] != '\0' && text_equal(join->place.name, place->name);
            views[i].replaced = views[i].replaced || (other && (same_address || same_name));
        }
    }
}

/* A machine that comes back under a new identity replaces its earlier request. */
static void replica_note_join(struct replica *replica, const Member *member)
{
    struct membership_join fresh = {.node = member->node, .asked_ms = replica->now_ms};
    raft_member_place_from_wire(member, &fresh.place);
    struct membership_join *place = &replica->joins[0];
    for (size_t i = 0; i < REPLICA_MAX_JOINS; i++) {
        struct membership_join *join = &replica->joins[i];
        bool same_machine =
            join->node == fresh.node || (join->place.ip == fresh.place.ip && join->place.port == fresh.place.port);
        if (join->node == RAFT_NO_NODE || same_machine) {
            place = join;
            break;
        }
        place = join->asked_ms < place->asked_ms ? join : place;
    }
    *place = fresh;
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
    bool retired = site_state_is_retired(&replica->groups[group].machine.site, join.member.name);
    if (!raft_is_leader(raft)) {
        replica_reply(replica, group, waiter, RESULT_NOT_LEADER, view_of(NULL, 0));
    } else if (retired || !join.has_member || join.member.node == RAFT_NO_NODE) {
        replica_reply(replica, group, waiter, RESULT_INVALID, view_of(NULL, 0));
    } else {
        Member items[RAFT_MAX_MEMBERS];
        JoinReply reply = {.has_members = true};
        replica_note_join(replica, &join.member);
        replica_organize(replica);
        raft_members_to_wire(&raft->members, items, &reply.members);
        replica_reply_message(replica, group, waiter, JoinReply_fields, &reply);
    }
    message_free(JoinRequest_fields, &join);
}

/* An encoded Entry holds one field, and begins with its key: most entries need no look inside. */
static bool replica_entry_is(struct view entry, int tag)
{
    return entry.length > 0 && entry.data[0] == ((tag << 3) | PB_WT_STRING);
}

/*
 * Refuses what there is no memory for. A turn's begin is refused first, by a
 * code that its caller passes on at once: nothing has run yet. Everything else
 * finishes what was begun, and is tried again until there is room.
 */
static bool replica_check_room(struct replica *replica, uint32_t group, const Request *request,
                               const struct replica_waiter *waiter)
{
    const struct replica_group *state = &replica->groups[group];
    const struct replica_config *config = &replica->config;
    bool begins = replica_entry_is(request->body, Entry_turn_begin_tag);
    bool log_full =
        raft_log_is_full(&state->raft) || (begins && state->raft.log.bytes >= replica_log_begin_most(replica));
    bool state_full =
        begins && config->state_bytes > 0 && site_state_bytes(&state->machine.site) >= config->state_bytes;
    if (!raft_is_leader(&state->raft) || (!log_full && !state_full)) {
        return true;
    }
    replica->counters.refused++;
    replica_reply(replica, group, waiter, begins ? RESULT_LIMIT : RESULT_NOT_LEADER, view_of(NULL, 0));
    return false;
}

/* Refuses to empty a machine when too few others would be left. */
static bool replica_check_retire(struct replica *replica, uint32_t group, const Request *request,
                                 const struct replica_waiter *waiter)
{
    struct raft *raft = &replica->groups[group].raft;
    const struct site_state *site = &replica->groups[group].machine.site;
    Entry entry = {0};
    bool looks = raft_is_leader(raft) && replica_entry_is(request->body, Entry_retire_start_tag);
    if (!looks || !message_decode(request->body, Entry_fields, &entry)) {
        return true;
    }
    ResultCode code = RESULT_OK;
    if (entry.which_command == Entry_retire_start_tag) {
        const char *machine = entry.command.retire_start.machine;
        struct membership_view views[RAFT_MAX_MEMBERS];
        replica_describe_members(replica, raft, views);
        if (!site_state_is_retired(site, machine) && !replica_has_machine(replica, &raft->members, machine)) {
            code = RESULT_NOT_FOUND;
        } else if (!site_state_is_retired(site, machine) && !membership_may_retire(&raft->members, views, machine)) {
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
        replica_answer_turns(replica, group, waiter, request->body);
        return true;
    }
    return request->kind == REQUEST_PROPOSE && (!replica_check_room(replica, group, request, waiter) ||
                                                !replica_check_retire(replica, group, request, waiter));
}

void replica_organize(struct replica *replica)
{
    for (uint32_t group = 0; group < replica->config.groups; group++) {
        struct raft *raft = &replica->groups[group].raft;
        if (!raft_is_leader(raft) || raft->members_index > raft->commit) {
            continue;
        }
        struct membership_view views[RAFT_MAX_MEMBERS];
        replica_describe_members(replica, raft, views);
        struct membership_step step =
            membership_plan(&raft->members, views, replica->joins, REPLICA_MAX_JOINS, replica->now_ms);
        if (step.wanted) {
            replica_apply_member_step(replica, group, &step);
        }
    }
}
