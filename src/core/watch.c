/* Values that are watched, and the watcher. */
#include "core/watch.h"

#include <string.h>

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
    server_list_replace(&state->servers, encoded);
    state->servers_term = term;
    state->servers_number = number;
    return true;
}

/* False: the watcher lacks the base, or the patch is malformed. */
static bool watch_state_apply_patch(struct watch_state *state, const WatchUpdate *update)
{
    struct view base = update->document_base == 0 ? view_of(NULL, 0) : buffer_view(&state->document);
    struct buffer document = {0};
    bool has_base = update->document_base == 0 || update->document_base == state->document_version;
    if (!has_base || !document_patch_apply(base, update->document_patch, update->document_digest, &document)) {
        buffer_close(&document);
        return false;
    }
    buffer_close(&state->document);
    state->document = document;
    state->document_version = update->document_version;
    return true;
}

/* Ignores changes based on another list than the current one; the next watch reports the current digest. */
static bool watch_state_apply_servers(struct watch_state *state, const WatchUpdate *update)
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

/* ---- Watcher ------------------------------------------------------------- */

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

static uint32_t watch_same_zone_replica(const struct watch_client *client)
{
    for (uint32_t i = 0; i < client->candidate_count; i++) {
        if (client->candidates[i].same_zone && client->candidates[i].node != client->relay) {
            return client->candidates[i].node;
        }
    }
    return RAFT_NO_NODE;
}

uint32_t watch_client_choose_member(const struct watch_client *client)
{
    uint32_t member = watch_same_zone_replica(client);
    for (uint32_t i = 0; i < client->candidate_count && member == RAFT_NO_NODE; i++) {
        member = client->candidates[i].node == client->relay ? RAFT_NO_NODE : client->candidates[i].node;
    }
    return member;
}

static bool watch_is_relay_connected(const struct watch_client *client)
{
    for (uint32_t i = 0; i < client->candidate_count; i++) {
        if (client->relay != RAFT_NO_NODE && client->candidates[i].node == client->relay) {
            return true;
        }
    }
    return false;
}

/* Chooses a replica in the watcher's zone if none was chosen for WATCH_SAME_ZONE_RETRY_MS, else round robin. */
static uint32_t watch_choose_target(struct watch_client *client, uint64_t now_ms)
{
    uint32_t same_zone = watch_same_zone_replica(client);
    bool due = client->same_zone_tried_ms == 0 || now_ms >= client->same_zone_tried_ms + WATCH_SAME_ZONE_RETRY_MS;
    if (same_zone != RAFT_NO_NODE && due) {
        client->same_zone_tried_ms = now_ms;
        return same_zone;
    }
    if (client->candidate_count == 0) {
        return RAFT_NO_NODE;
    }
    client->rotation++;
    if (client->candidates[client->rotation % client->candidate_count].node == client->previous_target) {
        client->rotation++;
    }
    return client->candidates[client->rotation % client->candidate_count].node;
}

/* Whether to return from a replica in another zone to one in the watcher's zone. */
static bool watch_should_return_to_zone(const struct watch_client *client, uint64_t now_ms)
{
    uint32_t same_zone = watch_same_zone_replica(client);
    return client->target != RAFT_NO_NODE && client->target != client->relay && same_zone != RAFT_NO_NODE &&
           same_zone != client->target && client->answered &&
           now_ms >= client->same_zone_tried_ms + WATCH_SAME_ZONE_RETRY_MS;
}

static void watch_drop_target(struct watch_client *client, uint64_t now_ms)
{
    client->previous_target = client->target;
    client->last_sent_to = RAFT_NO_NODE;
    if (client->target == client->relay) {
        client->relay = RAFT_NO_NODE;
    }
    client->target = RAFT_NO_NODE;
    client->transfer_pending = false;
    client->due_ms = now_ms + WATCH_RETRY_MS;
}

static uint64_t watch_reply_timeout_ms(const struct watch_client *client)
{
    return client->transfer_pending ? WATCH_TRANSFER_REPLY_TIMEOUT_MS : WATCH_REPLY_TIMEOUT_MS;
}

bool watch_client_tick(struct watch_client *client, uint64_t now_ms, const struct watch_state *state, Watch *watch)
{
    bool silent = client->target != RAFT_NO_NODE && !client->answered &&
                  now_ms >= client->unanswered_since_ms + watch_reply_timeout_ms(client);
    if (silent) {
        watch_drop_target(client, now_ms);
    }
    if (client->target != client->relay && watch_is_relay_connected(client)) {
        client->target = client->relay;
        client->due_ms = now_ms;
    }
    if (now_ms < client->due_ms) {
        return false;
    }
    if (client->target == RAFT_NO_NODE || watch_should_return_to_zone(client, now_ms)) {
        client->target = watch_choose_target(client, now_ms);
    }
    if (client->target == RAFT_NO_NODE) {
        return false;
    }
    client->due_ms = now_ms + WATCH_PERIOD_MS;
    client->unanswered_since_ms =
        client->answered || client->last_sent_to != client->target ? now_ms : client->unanswered_since_ms;
    client->last_sent_to = client->target;
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
    watch->patches = !client->wants_whole;
    return true;
}

static void watch_record_reply(struct watch_client *client, uint64_t now_ms, uint32_t from, const WatchUpdate *update)
{
    if (from != client->target || update->sequence != client->sequence) {
        return;
    }
    client->answered = true;
    client->watchers = update->watchers;
    if (!update->fresh) {
        watch_drop_target(client, now_ms);
        return;
    }
    client->fresh_ms = client->sent_ms > update->age_ms ? client->sent_ms - update->age_ms : 1;
    client->leader = update->leader;
}

/* A watch is due at once after a large document, to acknowledge it, and after a patch that could not be applied. A
 * former target's patch may have another base than the version that the current one has sent meanwhile. */
static bool watch_receive_document(struct watch_client *client, uint64_t now_ms, uint32_t from,
                                   const WatchUpdate *update, struct watch_state *state)
{
    bool newer = update->fresh && update->document_version > state->document_version;
    bool patched = newer && update->document_patch.length > 0;
    bool whole = newer && update->document.length > 0;
    bool stored = patched ? watch_state_apply_patch(state, update)
                          : whole && watch_state_put_document(state, update->document_version, update->document);
    bool large = stored && state->document.length > WATCH_UNPACED_MAX_BYTES;
    bool failed = patched && !stored && from == client->target;
    client->patches_failed += failed ? 1 : 0;
    client->wants_whole = failed || (client->wants_whole && !whole);
    client->due_ms = large || failed ? now_ms : client->due_ms;
    return stored;
}

struct watch_changes watch_client_receive(struct watch_client *client, uint64_t now_ms, uint32_t from,
                                          const WatchUpdate *update, struct watch_state *state)
{
    struct watch_changes changes = {0};
    uint32_t relay = client->relay;
    watch_record_reply(client, now_ms, from, update);
    if (update->has_relay && update->relay.node != RAFT_NO_NODE && client->relay == RAFT_NO_NODE) {
        client->relay = update->relay.node;
    }
    changes.relay = client->relay != relay;
    changes.document = watch_receive_document(client, now_ms, from, update, state);
    changes.drained = update->fresh && update->has_drained && zone_set_update(&state->drained, &update->drained);
    bool has_servers = update->servers_told || update->servers.length > 0; /* older versions send only the list */
    changes.servers = has_servers && watch_state_apply_servers(state, update);
    if (from == client->target) {
        bool document_pending = update->fresh && update->document_version > state->document_version;
        client->transfer_pending =
            document_pending || watch_servers_are_newer(state, update->servers_term, update->servers_number);
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
