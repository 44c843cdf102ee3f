#include "core/watch.h"

#include <string.h>

#include <xxhash.h>

void watch_state_close(struct watch_state *state)
{
    buffer_close(&state->document);
    zone_set_close(&state->drained);
    server_list_close(&state->servers);
}

bool watch_state_put_document(struct watch_state *state, uint64_t version, struct view content)
{
    if (version <= state->document_version || content.length == 0) {
        return false;
    }
    state->document_version = version;
    buffer_clear(&state->document);
    buffer_append(&state->document, content.data, content.length);
    return true;
}

static bool watch_servers_are_newer(const struct watch_state *state, uint64_t term, uint64_t number)
{
    return term > state->servers_term || (term == state->servers_term && number > state->servers_number);
}

bool watch_state_put_servers(struct watch_state *state, uint64_t term, uint64_t number, struct view encoded)
{
    if (!watch_servers_are_newer(state, term, number)) {
        return false;
    }
    server_list_put(&state->servers, encoded);
    state->servers_term = term;
    state->servers_number = number;
    return true;
}

/* Changes that are not to the list at hand are passed over: the next watch tells which list that is. */
static bool watch_state_take_servers(struct watch_state *state, const WatchUpdate *update)
{
    uint64_t before = state->servers.change;
    if (!watch_servers_are_newer(state, update->servers_term, update->servers_number)) {
        return false;
    }
    if (update->servers_base == SERVER_LIST_NONE) {
        watch_state_put_servers(state, update->servers_term, update->servers_number, update->servers);
    } else if (server_list_apply(&state->servers, update->servers_base, update->servers_digest, update->servers,
                                 update->servers_gone, update->servers_gone_count)) {
        state->servers_term = update->servers_term;
        state->servers_number = update->servers_number;
    }
    return state->servers.digest != SERVER_LIST_NONE && state->servers.change != before;
}

/* ---- Watching side ------------------------------------------------------------- */

void watch_client_set_candidates(struct watch_client *client, const struct watch_candidate *candidates, uint32_t count)
{
    bool kept = false;
    client->candidate_count = count < RAFT_MAX_MEMBERS ? count : RAFT_MAX_MEMBERS;
    for (uint32_t i = 0; i < client->candidate_count; i++) {
        client->candidates[i] = candidates[i];
        kept = kept || candidates[i].node == client->target;
    }
    if (!kept) {
        client->target = RAFT_NO_NODE;
        client->due_ms = 0;
    }
}

static uint32_t watch_near(const struct watch_client *client)
{
    for (uint32_t i = 0; i < client->candidate_count; i++) {
        if (client->candidates[i].same_zone && client->candidates[i].node != client->relay) {
            return client->candidates[i].node;
        }
    }
    return RAFT_NO_NODE;
}

uint32_t watch_client_member(const struct watch_client *client)
{
    uint32_t near = watch_near(client);
    for (uint32_t i = 0; i < client->candidate_count && near == RAFT_NO_NODE; i++) {
        near = client->candidates[i].node == client->relay ? RAFT_NO_NODE : client->candidates[i].node;
    }
    return near;
}

static bool watch_reaches_relay(const struct watch_client *client)
{
    for (uint32_t i = 0; i < client->candidate_count; i++) {
        if (client->relay != RAFT_NO_NODE && client->candidates[i].node == client->relay) {
            return true;
        }
    }
    return false;
}

/* A replica of the own zone, when it was not tried for a while, else the others in turn. */
static uint32_t watch_choose(struct watch_client *client, uint64_t now_ms)
{
    uint32_t near = watch_near(client);
    bool due = client->near_tried_ms == 0 || now_ms >= client->near_tried_ms + WATCH_NEAR_PERIOD_MS;
    if (near != RAFT_NO_NODE && due) {
        client->near_tried_ms = now_ms;
        return near;
    }
    if (client->candidate_count == 0) {
        return RAFT_NO_NODE;
    }
    client->rotation++;
    if (client->candidates[client->rotation % client->candidate_count].node == client->left) {
        client->rotation++;
    }
    return client->candidates[client->rotation % client->candidate_count].node;
}

/* A watch that went to another zone comes back to the own one. */
static bool watch_should_return(const struct watch_client *client, uint64_t now_ms)
{
    uint32_t near = watch_near(client);
    return client->target != RAFT_NO_NODE && client->target != client->relay && near != RAFT_NO_NODE &&
           near != client->target && client->answered && now_ms >= client->near_tried_ms + WATCH_NEAR_PERIOD_MS;
}

static void watch_leave_target(struct watch_client *client, uint64_t now_ms)
{
    client->left = client->target;
    client->asked = RAFT_NO_NODE;
    if (client->target == client->relay) {
        client->relay = RAFT_NO_NODE;
    }
    client->target = RAFT_NO_NODE;
    client->list_due = false;
    client->due_ms = now_ms + WATCH_RETRY_MS;
}

static uint64_t watch_patience_ms(const struct watch_client *client)
{
    return client->list_due ? WATCH_LIST_ANSWER_MS : WATCH_ANSWER_MS;
}

bool watch_client_tick(struct watch_client *client, uint64_t now_ms, const struct watch_state *state, Watch *watch)
{
    bool silent =
        client->target != RAFT_NO_NODE && !client->answered && now_ms >= client->asked_ms + watch_patience_ms(client);
    if (silent) {
        watch_leave_target(client, now_ms);
    }
    if (client->target != client->relay && watch_reaches_relay(client)) {
        client->target = client->relay;
        client->due_ms = now_ms;
    }
    if (now_ms < client->due_ms) {
        return false;
    }
    if (client->target == RAFT_NO_NODE || watch_should_return(client, now_ms)) {
        client->target = watch_choose(client, now_ms);
    }
    if (client->target == RAFT_NO_NODE) {
        return false;
    }
    client->due_ms = now_ms + WATCH_PERIOD_MS;
    client->asked_ms = client->answered || client->asked != client->target ? now_ms : client->asked_ms;
    client->asked = client->target;
    client->sent_ms = now_ms;
    client->answered = false;
    memset(watch, 0, sizeof(*watch));
    watch->sequence = ++client->sequence;
    watch->document_version = state->document_version;
    watch->servers_term = state->servers_term;
    watch->servers_number = state->servers_number;
    watch->servers_digest = state->servers.digest;
    watch->members_index = state->members_index;
    watch->drained_revision = state->drained.revision;
    return true;
}

static void watch_note_answer(struct watch_client *client, uint64_t now_ms, uint32_t from, const WatchUpdate *update)
{
    if (from != client->target || update->sequence != client->sequence) {
        return;
    }
    client->answered = true;
    client->watchers = update->watchers;
    if (!update->fresh) {
        watch_leave_target(client, now_ms);
        return;
    }
    client->fresh_ms = client->sent_ms > update->age_ms ? client->sent_ms - update->age_ms : 1;
    client->leader = update->leader;
}

struct watch_changes watch_client_receive(struct watch_client *client, uint64_t now_ms, uint32_t from,
                                          const WatchUpdate *update, struct watch_state *state)
{
    struct watch_changes changes = {0};
    uint32_t relay = client->relay;
    watch_note_answer(client, now_ms, from, update);
    if (update->has_relay && update->relay.node != RAFT_NO_NODE && client->relay == RAFT_NO_NODE) {
        client->relay = update->relay.node;
    }
    changes.relay = client->relay != relay;
    changes.document = update->fresh && watch_state_put_document(state, update->document_version, update->document);
    changes.drained = update->fresh && update->has_drained && zone_set_take(&state->drained, &update->drained);
    bool servers_told = update->servers_told || update->servers.length > 0; /* earlier versions tell the list alone */
    changes.servers = servers_told && watch_state_take_servers(state, update);
    if (from == client->target) {
        client->list_due = watch_servers_are_newer(state, update->servers_term, update->servers_number);
    }
    if (update->has_members && update->members_index > state->members_index) {
        changes.members = raft_members_from_wire(&update->members, &state->members);
        state->members_index = update->members_index;
    }
    return changes;
}

bool watch_client_is_fresh(const struct watch_client *client, uint64_t now_ms, uint64_t limit_ms)
{
    return client->fresh_ms != 0 && now_ms < client->fresh_ms + limit_ms;
}

/* ---- Watched side --------------------------------------------------------------- */

static struct watch_entry *watch_server_place(struct watch_server *server, uint64_t now_ms, uint32_t node)
{
    struct watch_entry *unused = NULL;
    for (uint32_t i = 0; i < server->count; i++) {
        if (server->entries[i].node == node) {
            return &server->entries[i];
        }
        bool old = now_ms >= server->entries[i].heard_ms + WATCH_VALID_MS;
        unused = old && unused == NULL ? &server->entries[i] : unused;
    }
    if (unused == NULL && server->count < WATCH_MAX_WATCHERS) {
        unused = &server->entries[server->count++];
    }
    return unused;
}

struct watch_entry *watch_server_note(struct watch_server *server, uint64_t now_ms, uint32_t node, const Watch *watch)
{
    struct watch_entry *entry = watch_server_place(server, now_ms, node);
    if (entry == NULL) {
        return NULL;
    }
    bool stayed = entry->node == node && now_ms < entry->heard_ms + WATCH_VALID_MS;
    entry->whole_ms = entry->node == node ? entry->whole_ms : 0;
    entry->referred_ms = stayed ? entry->referred_ms : 0; /* one that was away and comes back is referred again */
    entry->relays = watch->relays;
    entry->node = node;
    entry->heard_ms = now_ms;
    entry->document_version = watch->document_version;
    entry->drained_revision = watch->drained_revision;
    entry->servers_term = watch->servers_term;
    entry->servers_number = watch->servers_number;
    entry->servers_digest = watch->servers_digest;
    entry->members_index = watch->members_index;
    return entry;
}

static uint64_t watch_relay_rank(uint32_t watcher, uint32_t relay)
{
    uint64_t material = (uint64_t)watcher << 32 | relay;
    return XXH64(&material, sizeof(material), 0);
}

uint32_t watch_server_refer(const struct watch_server *server, struct watch_entry *entry, uint64_t now_ms)
{
    uint32_t plain = 0;
    uint32_t relay = RAFT_NO_NODE;
    uint64_t highest = 0;
    for (uint32_t i = 0; i < server->count; i++) {
        const struct watch_entry *other = &server->entries[i];
        bool recent = now_ms < other->heard_ms + WATCH_VALID_MS;
        plain += recent && !other->relays ? 1 : 0;
        bool ready = recent && other->relays && other->servers_digest != SERVER_LIST_NONE;
        uint64_t rank = ready ? watch_relay_rank(entry->node, other->node) : 0;
        if (rank > highest) {
            relay = other->node;
            highest = rank;
        }
    }
    bool stayed = entry->referred_ms != 0 && now_ms >= entry->referred_ms + WATCH_REFERRED_MS;
    if (entry->relays || plain <= server->refer_above || relay == RAFT_NO_NODE || stayed) {
        return RAFT_NO_NODE;
    }
    entry->referred_ms = entry->referred_ms == 0 ? now_ms : entry->referred_ms;
    return relay;
}

uint32_t watch_server_count(const struct watch_server *server, uint64_t now_ms)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < server->count; i++) {
        count += now_ms < server->entries[i].heard_ms + WATCH_VALID_MS ? 1 : 0;
    }
    return count;
}

static bool watch_entry_lacks_servers(const struct watch_entry *entry, const struct watch_state *state)
{
    return state->servers_term > entry->servers_term ||
           (state->servers_term == entry->servers_term && state->servers_number > entry->servers_number);
}

/* Whole lists and large changes wait for their rate, and for a watcher that was referred to leave; small ones do not.
 */
static bool watch_may_tell_servers(const struct watch_server *server, const struct watch_entry *entry, uint64_t now_ms,
                                   const struct watch_state *state)
{
    bool small = server_list_knows(&state->servers, entry->servers_digest) &&
                 server_list_changes_bytes(&state->servers, entry->servers_digest) <= WATCH_SMALL_BYTES;
    bool underway = entry->whole_ms != 0 && now_ms < entry->whole_ms + WATCH_WHOLE_AGAIN_MS;
    bool referred = entry->referred_ms != 0 && now_ms < entry->referred_ms + WATCH_REFERRED_MS;
    return small || (!underway && !referred && now_ms + WATCH_WHOLE_BURST_MS >= server->whole_due_ms);
}

bool watch_server_owes(const struct watch_server *server, const struct watch_entry *entry, uint64_t now_ms,
                       const struct watch_state *state, bool fresh)
{
    bool recent = now_ms < entry->heard_ms + WATCH_VALID_MS;
    bool document = fresh && state->document_version > entry->document_version;
    bool drained = fresh && state->drained.revision > entry->drained_revision;
    bool servers = watch_entry_lacks_servers(entry, state) && watch_may_tell_servers(server, entry, now_ms, state);
    return recent && (document || drained || servers || state->members_index > entry->members_index);
}

static void watch_charge(struct watch_server *server, struct watch_entry *entry, uint64_t now_ms, size_t bytes)
{
    uint64_t begin_ms = server->whole_due_ms > now_ms ? server->whole_due_ms : now_ms;
    server->whole_due_ms = begin_ms + (uint64_t)bytes * 1000 / WATCH_WHOLE_BYTES_A_S;
    entry->whole_ms = now_ms;
}

static void watch_tell_servers(struct watch_server *server, struct watch_entry *entry, uint64_t now_ms,
                               struct watch_state *state, watch_told_t *told)
{
    WatchUpdate *update = &told->update;
    update->servers_told = true;
    update->servers_digest = state->servers.digest;
    if (server_list_changes_to(&state->servers, entry->servers_digest, &told->changes)) {
        update->servers_base = entry->servers_digest;
        update->servers = buffer_view(&told->changes.records);
        update->servers_gone = told->changes.gone;
        update->servers_gone_count = (pb_size_t)told->changes.gone_count;
        if (update->servers.length > WATCH_SMALL_BYTES) {
            watch_charge(server, entry, now_ms, update->servers.length);
        }
    } else {
        update->servers = server_list_whole(&state->servers);
        watch_charge(server, entry, now_ms, update->servers.length);
        server->wholes++;
    }
    entry->servers_term = state->servers_term;
    entry->servers_number = state->servers_number;
    entry->servers_digest = state->servers.digest;
}

void watch_server_tell(struct watch_server *server, struct watch_entry *entry, uint64_t now_ms,
                       struct watch_state *state, watch_told_t *told)
{
    WatchUpdate *update = &told->update;
    update->document_version = state->document_version;
    if (update->fresh && state->document_version > entry->document_version) {
        update->document = buffer_view(&state->document);
        entry->document_version = state->document_version;
    }
    if (update->fresh && state->drained.revision > entry->drained_revision) {
        update->has_drained = true;
        zone_set_tell(&state->drained, &update->drained);
        entry->drained_revision = state->drained.revision;
    }
    update->servers_term = state->servers_term;
    update->servers_number = state->servers_number;
    if (!told->answers && watch_entry_lacks_servers(entry, state) &&
        watch_may_tell_servers(server, entry, now_ms, state)) {
        watch_tell_servers(server, entry, now_ms, state, told);
    }
    update->members_index = state->members_index;
    if (state->members_index > entry->members_index) {
        update->has_members = true;
        raft_members_to_wire(&state->members, told->items, &update->members);
        entry->members_index = state->members_index;
    }
}

void watch_told_close(watch_told_t *told)
{
    server_list_changes_close(&told->changes);
}
