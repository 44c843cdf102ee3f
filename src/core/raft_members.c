/* Members of a group: their quorums, encoding and changes. */
#include "core/raft_internal.h"

#include <string.h>

#include "base/message.h"

int raft_member_position(const struct raft_members *members, uint32_t node)
{
    for (uint32_t i = 0; i < members->count; i++) {
        if (members->nodes[i] == node) {
            return (int)i;
        }
    }
    return -1;
}

bool raft_is_voter(const struct raft_members *members, uint32_t node)
{
    int position = raft_member_position(members, node);
    return position >= 0 && !members->learners[position];
}

bool raft_is_lasting_voter(const struct raft_members *members, uint32_t node)
{
    int position = raft_member_position(members, node);
    return position >= 0 && raft_votes_in(members, (uint32_t)position, RAFT_VOTERS_AFTER);
}

/* ---- Quorums ------------------------------------------------------------ */

bool raft_votes_in(const struct raft_members *members, uint32_t position, raft_voter_set_t set)
{
    bool left_out = set == RAFT_VOTERS_BEFORE ? members->joining[position] : members->leaving[position];
    return !members->learners[position] && !left_out;
}

static uint32_t raft_count_voters(const struct raft_members *members, raft_voter_set_t set)
{
    uint32_t voters = 0;
    for (uint32_t i = 0; i < members->count; i++) {
        voters += raft_votes_in(members, i, set) ? 1 : 0;
    }
    return voters;
}

uint32_t raft_voter_count(const struct raft_members *members)
{
    return raft_count_voters(members, RAFT_VOTERS_AFTER);
}

bool raft_is_quorum(const struct raft_members *members, const bool *present)
{
    bool quorum = true;
    for (int set = 0; set < RAFT_VOTER_SETS; set++) {
        uint32_t count = 0;
        for (uint32_t i = 0; i < members->count; i++) {
            count += present[i] && raft_votes_in(members, i, (raft_voter_set_t)set) ? 1 : 0;
        }
        quorum = quorum && count > raft_count_voters(members, (raft_voter_set_t)set) / 2;
    }
    return quorum;
}

bool raft_is_replacing(const struct raft_members *members)
{
    for (uint32_t i = 0; i < members->count; i++) {
        if (members->joining[i] || members->leaving[i]) {
            return true;
        }
    }
    return false;
}

/* ---- Encoding ----------------------------------------------------------- */

bool raft_members_decode(struct view data, struct raft_members *members)
{
    Members wire = {0};
    if (!message_decode(data, Members_fields, &wire)) {
        return false;
    }
    bool valid = raft_members_from_wire(&wire, members);
    message_free(Members_fields, &wire);
    return valid;
}

static void raft_copy_text(char *out, size_t size, const char *text)
{
    size_t length = strnlen(text_or_empty(text), size - 1);
    memcpy(out, text_or_empty(text), length);
    out[length] = '\0';
}

void raft_member_location_from_wire(const Member *wire, struct raft_member_location *location)
{
    memset(location, 0, sizeof(*location));
    raft_copy_text(location->name, sizeof(location->name), wire->name);
    raft_copy_text(location->zone, sizeof(location->zone), wire->zone);
    location->ip = wire->ip;
    location->port = (uint16_t)wire->port;
}

bool raft_members_from_wire(const Members *wire, struct raft_members *members)
{
    memset(members, 0, sizeof(*members));
    if (wire->members_count > RAFT_MAX_MEMBERS) {
        return false;
    }
    for (pb_size_t i = 0; i < wire->members_count; i++) {
        members->nodes[i] = wire->members[i].node;
        members->learners[i] = wire->members[i].learner;
        members->joining[i] = wire->members[i].joining;
        members->leaving[i] = wire->members[i].leaving;
        raft_member_location_from_wire(&wire->members[i], &members->locations[i]);
        members->count++;
    }
    return true;
}

void raft_members_to_wire(const struct raft_members *members, Member *items, Members *wire)
{
    memset(items, 0, RAFT_MAX_MEMBERS * sizeof(*items));
    for (uint32_t i = 0; i < members->count; i++) {
        const struct raft_member_location *location = &members->locations[i];
        items[i].node = members->nodes[i];
        items[i].learner = members->learners[i];
        items[i].joining = members->joining[i];
        items[i].leaving = members->leaving[i];
        items[i].name = (char *)(uintptr_t)location->name;
        items[i].zone = (char *)(uintptr_t)location->zone;
        items[i].ip = location->ip;
        items[i].port = location->port;
    }
    wire->members_count = (pb_size_t)members->count;
    wire->members = items;
}

void raft_members_encode(const struct raft_members *members, struct buffer *out)
{
    Member items[RAFT_MAX_MEMBERS];
    Members wire = {0};
    raft_members_to_wire(members, items, &wire);
    message_encode(out, Members_fields, &wire);
}

/* ---- Changes ------------------------------------------------------------ */

static uint32_t raft_member_difference(const struct raft_members *a, const struct raft_members *b)
{
    uint32_t difference = 0;
    for (uint32_t i = 0; i < a->count; i++) {
        int position = raft_member_position(b, a->nodes[i]);
        bool same = position >= 0 && a->learners[i] == b->learners[position];
        difference += same ? 0 : 1;
    }
    for (uint32_t i = 0; i < b->count; i++) {
        difference += raft_member_position(a, b->nodes[i]) < 0 ? 1 : 0;
    }
    return difference;
}

/* Only one change at a time, and only by a leader that knows which members are committed. */
static bool raft_may_change_members(const struct raft *raft)
{
    return raft->role == RAFT_LEADER && raft->transfer_target == RAFT_NO_NODE && raft->members_index <= raft->commit &&
           raft_term_at(raft, raft->commit) == raft->term;
}

static uint64_t raft_append_members(struct raft *raft, uint64_t now_ms, const struct raft_members *members)
{
    struct buffer encoded = {0};
    raft_members_encode(members, &encoded);
    raft_append_local(raft, RAFT_ENTRY_MEMBERS, buffer_view(&encoded));
    buffer_close(&encoded);
    raft_replicate_all(raft, now_ms);
    return raft_last_index(raft);
}

uint64_t raft_propose_members(struct raft *raft, uint64_t now_ms, const struct raft_members *members)
{
    bool valid = members->count > 0 && members->count <= RAFT_MAX_MEMBERS && raft_voter_count(members) > 0 &&
                 !raft_is_replacing(&raft->members) && !raft_is_replacing(members) &&
                 raft_member_difference(&raft->members, members) == 1;
    return valid && raft_may_change_members(raft) ? raft_append_members(raft, now_ms, members) : 0;
}

uint64_t raft_propose_replacement(struct raft *raft, uint64_t now_ms, uint32_t voter, uint32_t learner)
{
    struct raft_members members = raft->members;
    int leaving = raft_member_position(&members, voter);
    int joining = raft_member_position(&members, learner);
    bool valid = leaving >= 0 && joining >= 0 && !members.learners[leaving] && members.learners[joining];
    if (!valid || raft_is_replacing(&members) || !raft_may_change_members(raft)) {
        return 0;
    }
    members.leaving[leaving] = true;
    members.learners[joining] = false;
    members.joining[joining] = true;
    return raft_append_members(raft, now_ms, &members);
}

void raft_members_remove(struct raft_members *members, uint32_t position)
{
    uint32_t last = --members->count;
    members->nodes[position] = members->nodes[last];
    members->learners[position] = members->learners[last];
    members->joining[position] = members->joining[last];
    members->leaving[position] = members->leaving[last];
    members->locations[position] = members->locations[last];
}

void raft_finish_replacement(struct raft *raft, uint64_t now_ms)
{
    if (!raft_is_replacing(&raft->members) || !raft_may_change_members(raft)) {
        return;
    }
    struct raft_members members = raft->members;
    for (uint32_t i = members.count; i > 0; i--) {
        members.joining[i - 1] = false;
        if (members.leaving[i - 1]) {
            raft_members_remove(&members, i - 1);
        }
    }
    raft_append_members(raft, now_ms, &members);
}
