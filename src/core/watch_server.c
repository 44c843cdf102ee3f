/* The watched replica (watch.h). */
#include "core/watch.h"

#include <string.h>

#include <xxhash.h>

/* ---- Configuration in transit ----------------------------------------------------- */

static void watch_set_unsent(struct watch_server *server, struct watch_entry *entry, size_t bytes)
{
    server->document_unsent_bytes += bytes - entry->unsent_bytes;
    entry->unsent_bytes = bytes;
}

static void watch_end_transit(struct watch_server *server, struct watch_entry *entry)
{
    watch_set_unsent(server, entry, 0);
    entry->document_sent_ms = 0;
}

static bool watch_document_in_transit(const struct watch_entry *entry, uint64_t now_ms)
{
    return entry->document_sent_ms != 0 && now_ms < entry->document_sent_ms + WATCH_DOCUMENT_TIMEOUT_MS;
}

void watch_server_record_queue(struct watch_server *server, struct watch_entry *entry, uint64_t now_ms,
                               size_t unsent_bytes)
{
    if (entry->unsent_bytes == 0) {
        return; /* it has left the queue: what is queued now was sent later */
    }
    watch_set_unsent(server, entry, unsent_bytes);
    entry->document_sent_ms = now_ms;
}

void watch_server_disconnected(struct watch_server *server, uint32_t node)
{
    for (uint32_t i = 0; i < server->count; i++) {
        if (server->entries[i].node == node) {
            watch_end_transit(server, &server->entries[i]);
            server->entries[i].disconnected = true;
        }
    }
}

void watch_server_refused(struct watch_server *server, struct watch_entry *entry, uint64_t now_ms,
                          const struct watch_entry *before)
{
    bool has_document = entry->document_version != before->document_version;
    entry->refused_ms = has_document ? now_ms : entry->refused_ms;
    watch_set_unsent(server, entry, before->unsent_bytes);
    entry->document_sent_ms = before->document_sent_ms;
    entry->document_version = before->document_version;
}

static bool watch_lacks_document(const struct watch_entry *entry, const struct watch_state *state, bool fresh)
{
    return fresh && state->document_version > entry->document_version;
}

/* Small patches are always sent. A document of any size is sent if no other is queued, so that one above the limit is
 * sent as well. */
static bool watch_queues_have_room(const struct watch_server *server, size_t bytes)
{
    size_t max_bytes = server->max_queued_bytes / 100 * WATCH_DOCUMENT_QUEUE_PERCENT;
    bool fits =
        server->document_unsent_bytes + bytes <= max_bytes && server->queued_bytes + bytes <= server->max_queued_bytes;
    return bytes <= WATCH_UNPACED_MAX_BYTES || max_bytes == 0 || server->document_unsent_bytes == 0 || fits;
}

/* Bytes to be sent for the document. 0: known only when a patch has been encoded, in watch_server_fill_update(). */
static size_t watch_document_bytes(const struct watch_server *server, const struct watch_entry *entry,
                                   const struct watch_state *state)
{
    struct view document = buffer_view(&state->document);
    if (!entry->reads_patches) {
        return document.length;
    }
    return server->history.newest == state->document_version
               ? document_history_bytes(&server->history, entry->document_version, document)
               : 0;
}

static bool watch_may_send_document(const struct watch_server *server, const struct watch_entry *entry, uint64_t now_ms,
                                    const struct watch_state *state)
{
    bool small = state->document.length <= WATCH_UNPACED_MAX_BYTES;
    return small || (!watch_document_in_transit(entry, now_ms) &&
                     watch_queues_have_room(server, watch_document_bytes(server, entry, state)));
}

void watch_server_count_deferred(struct watch_server *server, struct watch_entry *entry, uint64_t now_ms,
                                 const struct watch_state *state, bool fresh)
{
    bool recent = now_ms < entry->last_watch_ms + WATCH_EXPIRY_MS;
    if (recent && entry->deferred_version != state->document_version && watch_lacks_document(entry, state, fresh) &&
        !watch_may_send_document(server, entry, now_ms, state)) {
        entry->deferred_version = state->document_version;
        server->documents_deferred++;
    }
}

/* The watcher has what its watch names, and what is in transit to it. */
static void watch_record_document(struct watch_server *server, struct watch_entry *entry, uint64_t now_ms,
                                  const Watch *watch)
{
    bool patch_failed = entry->reads_patches && !watch->patches;
    entry->reads_patches = watch->patches;
    if (watch->document_version >= entry->document_version || patch_failed ||
        !watch_document_in_transit(entry, now_ms)) {
        entry->document_version = watch->document_version;
        watch_end_transit(server, entry);
    }
}

static void watch_record_history(struct watch_server *server, const struct watch_state *state)
{
    if (state->document.length > WATCH_UNPACED_MAX_BYTES) {
        document_history_put(&server->history, state->document_version, buffer_view(&state->document),
                             server->max_queued_bytes / 100 * WATCH_HISTORY_PERCENT);
    }
}

/* Encodes the patch, if there is none yet. Empty: the watcher is sent the whole document. */
static struct view watch_patch(struct watch_server *server, const struct watch_entry *entry,
                               const struct watch_state *state, uint64_t *base)
{
    *base = entry->document_version;
    bool large = state->document.length > WATCH_UNPACED_MAX_BYTES;
    return entry->reads_patches && large ? document_history_patch(&server->history, base, buffer_view(&state->document))
                                         : (struct view){0};
}

static void watch_record_sent(struct watch_server *server, struct watch_entry *entry, uint64_t now_ms,
                              const struct watch_state *state, size_t bytes)
{
    bool known = entry->document_version > 0;
    server->documents_sent++;
    server->document_bytes_sent += bytes;
    server->documents_skipped += known ? state->document_version - entry->document_version - 1 : 0;
    entry->document_version = state->document_version;
    if (state->document.length > WATCH_UNPACED_MAX_BYTES) {
        server->queued_bytes += bytes;
        server->first = (uint32_t)(entry - server->entries) + 1;
        watch_set_unsent(server, entry, bytes);
        entry->document_sent_ms = now_ms;
    }
}

static void watch_fill_document(struct watch_server *server, struct watch_entry *entry, uint64_t now_ms,
                                const struct watch_state *state, watch_outgoing_t *outgoing)
{
    WatchUpdate *update = &outgoing->update;
    bool large = state->document.length > WATCH_UNPACED_MAX_BYTES;
    if (large && (outgoing->is_reply || watch_document_in_transit(entry, now_ms))) {
        return;
    }
    uint64_t base = 0;
    struct view patch = watch_patch(server, entry, state, &base);
    if (!watch_may_send_document(server, entry, now_ms, state)) {
        return;
    }
    if (patch.length > 0) {
        update->document_patch = patch;
        update->document_base = base;
        update->document_digest = server->history.newest_digest;
        server->patches_sent++;
    } else {
        update->document = buffer_view(&state->document);
    }
    watch_record_sent(server, entry, now_ms, state, patch.length > 0 ? patch.length : state->document.length);
}

/* ---- Watches and updates ------------------------------------------------------------ */

void watch_server_close(struct watch_server *server)
{
    document_history_close(&server->history);
}

static struct watch_entry *watch_server_find_slot(struct watch_server *server, uint64_t now_ms, uint32_t node)
{
    struct watch_entry *slot = NULL;
    for (uint32_t i = 0; i < server->count; i++) {
        if (server->entries[i].node == node) {
            return &server->entries[i];
        }
        bool expired = now_ms >= server->entries[i].last_watch_ms + WATCH_EXPIRY_MS;
        slot = expired && slot == NULL ? &server->entries[i] : slot;
    }
    if (slot == NULL && server->count < WATCH_MAX_WATCHERS) {
        slot = &server->entries[server->count++];
    }
    return slot;
}

struct watch_entry *watch_server_record_watch(struct watch_server *server, uint64_t now_ms, uint32_t node,
                                              const Watch *watch)
{
    struct watch_entry *entry = watch_server_find_slot(server, now_ms, node);
    if (entry == NULL) {
        return NULL;
    }
    bool still_watching = entry->node == node && now_ms < entry->last_watch_ms + WATCH_EXPIRY_MS;
    entry->full_list_sent_ms = entry->node == node ? entry->full_list_sent_ms : 0;
    if (entry->node != node) {
        watch_end_transit(server, entry);
        entry->reads_patches = false;
    }
    entry->referred_ms = still_watching ? entry->referred_ms : 0; /* a watcher that returns is referred again */
    entry->is_relay = watch->relays;
    entry->node = node;
    entry->disconnected = false;
    entry->last_watch_ms = now_ms;
    watch_record_document(server, entry, now_ms, watch);
    entry->drained_revision = watch->drained_revision;
    entry->servers_term = watch->servers_term;
    entry->servers_number = watch->servers_number;
    entry->servers_digest = watch->servers_digest;
    entry->members_index = watch->members_index;
    return entry;
}

static uint64_t watch_relay_rank(uint32_t watcher, uint32_t relay)
{
    uint64_t key = (uint64_t)watcher << 32 | relay;
    return XXH64(&key, sizeof(key), 0);
}

uint32_t watch_server_choose_relay(const struct watch_server *server, struct watch_entry *entry, uint64_t now_ms)
{
    uint32_t non_relays = 0;
    uint32_t relay = RAFT_NO_NODE;
    uint64_t highest = 0;
    for (uint32_t i = 0; i < server->count; i++) {
        const struct watch_entry *other = &server->entries[i];
        bool recent = now_ms < other->last_watch_ms + WATCH_EXPIRY_MS;
        non_relays += recent && !other->is_relay ? 1 : 0;
        bool ready = recent && other->is_relay && other->servers_digest != SERVER_LIST_NONE;
        uint64_t rank = ready ? watch_relay_rank(entry->node, other->node) : 0;
        if (rank > highest) {
            relay = other->node;
            highest = rank;
        }
    }
    bool referral_expired = entry->referred_ms != 0 && now_ms >= entry->referred_ms + WATCH_REFERRAL_TIMEOUT_MS;
    if (entry->is_relay || non_relays <= server->refer_above || relay == RAFT_NO_NODE || referral_expired) {
        return RAFT_NO_NODE;
    }
    entry->referred_ms = entry->referred_ms == 0 ? now_ms : entry->referred_ms;
    return relay;
}

uint32_t watch_server_count(const struct watch_server *server, uint64_t now_ms)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < server->count; i++) {
        count += now_ms < server->entries[i].last_watch_ms + WATCH_EXPIRY_MS ? 1 : 0;
    }
    return count;
}

static bool watch_entry_lacks_servers(const struct watch_entry *entry, const struct watch_state *state)
{
    return state->servers_term > entry->servers_term ||
           (state->servers_term == entry->servers_term && state->servers_number > entry->servers_number);
}

/* Small changes are always sent. Full lists and large changes are paced, and held back from a watcher that was referred
 * to a relay until the referral times out. */
static bool watch_may_send_servers(const struct watch_server *server, const struct watch_entry *entry, uint64_t now_ms,
                                   const struct watch_state *state)
{
    bool small = server_list_has_version(&state->servers, entry->servers_digest) &&
                 server_list_changes_bytes(&state->servers, entry->servers_digest) <= WATCH_UNPACED_MAX_BYTES;
    bool in_flight = entry->full_list_sent_ms != 0 && now_ms < entry->full_list_sent_ms + WATCH_FULL_LIST_INTERVAL_MS;
    bool referred = entry->referred_ms != 0 && now_ms < entry->referred_ms + WATCH_REFERRAL_TIMEOUT_MS;
    return small || (!in_flight && !referred && now_ms + WATCH_FULL_LIST_BURST_MS >= server->full_list_paced_until_ms);
}

bool watch_server_has_update(const struct watch_server *server, const struct watch_entry *entry, uint64_t now_ms,
                             const struct watch_state *state, bool fresh)
{
    bool recent = !entry->disconnected && now_ms < entry->last_watch_ms + WATCH_EXPIRY_MS;
    bool refused = entry->refused_ms != 0 && now_ms < entry->refused_ms + WATCH_REFUSED_RETRY_MS;
    bool document =
        !refused && watch_lacks_document(entry, state, fresh) && watch_may_send_document(server, entry, now_ms, state);
    bool drained = fresh && state->drained.revision > entry->drained_revision;
    bool servers = watch_entry_lacks_servers(entry, state) && watch_may_send_servers(server, entry, now_ms, state);
    return recent && (document || drained || servers || state->members_index > entry->members_index);
}

static void watch_record_paced_bytes(struct watch_server *server, struct watch_entry *entry, uint64_t now_ms,
                                     size_t bytes)
{
    uint64_t begin_ms = server->full_list_paced_until_ms > now_ms ? server->full_list_paced_until_ms : now_ms;
    server->full_list_paced_until_ms = begin_ms + (uint64_t)bytes * 1000 / WATCH_FULL_LIST_BYTES_PER_S;
    entry->full_list_sent_ms = now_ms;
}

static void watch_fill_servers(struct watch_server *server, struct watch_entry *entry, uint64_t now_ms,
                               struct watch_state *state, watch_outgoing_t *outgoing)
{
    WatchUpdate *update = &outgoing->update;
    update->servers_told = true;
    update->servers_digest = state->servers.digest;
    if (server_list_changes_since_digest(&state->servers, entry->servers_digest, &outgoing->changes)) {
        update->servers_base = entry->servers_digest;
        update->servers = buffer_view(&outgoing->changes.records);
        update->servers_gone = outgoing->changes.removed;
        update->servers_gone_count = (pb_size_t)outgoing->changes.removed_count;
        if (update->servers.length > WATCH_UNPACED_MAX_BYTES) {
            watch_record_paced_bytes(server, entry, now_ms, update->servers.length);
        }
    } else {
        update->servers = server_list_encoded(&state->servers);
        watch_record_paced_bytes(server, entry, now_ms, update->servers.length);
        server->full_lists_sent++;
    }
    entry->servers_term = state->servers_term;
    entry->servers_number = state->servers_number;
    entry->servers_digest = state->servers.digest;
}

void watch_server_fill_update(struct watch_server *server, struct watch_entry *entry, uint64_t now_ms,
                              struct watch_state *state, watch_outgoing_t *outgoing)
{
    WatchUpdate *update = &outgoing->update;
    update->document_version = state->document_version;
    watch_record_history(server, state);
    if (watch_lacks_document(entry, state, update->fresh)) {
        watch_fill_document(server, entry, now_ms, state, outgoing);
    }
    if (update->fresh && state->drained.revision > entry->drained_revision) {
        update->has_drained = true;
        zone_set_export(&state->drained, &update->drained);
        entry->drained_revision = state->drained.revision;
    }
    update->servers_term = state->servers_term;
    update->servers_number = state->servers_number;
    if (!outgoing->is_reply && watch_entry_lacks_servers(entry, state) &&
        watch_may_send_servers(server, entry, now_ms, state)) {
        watch_fill_servers(server, entry, now_ms, state, outgoing);
    }
    update->members_index = state->members_index;
    if (state->members_index > entry->members_index) {
        update->has_members = true;
        raft_members_to_wire(&state->members, outgoing->members, &update->members);
        entry->members_index = state->members_index;
    }
}

void watch_outgoing_close(watch_outgoing_t *outgoing)
{
    server_list_changes_close(&outgoing->changes);
}
