#include "core/turn_store.h"

#include <endian.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/message.h"
#include "core/turn_record.h"

static void turn_lru_unlink(struct turn_store *store, struct turn *turn)
{
    if (turn->earlier != NULL) {
        turn->earlier->later = turn->later;
    } else {
        store->earliest = turn->later;
    }
    if (turn->later != NULL) {
        turn->later->earlier = turn->earlier;
    } else {
        store->latest = turn->earlier;
    }
    turn->earlier = NULL;
    turn->later = NULL;
}

static void turn_lru_append(struct turn_store *store, struct turn *turn)
{
    turn->earlier = store->latest;
    if (store->latest != NULL) {
        store->latest->later = turn;
    } else {
        store->earliest = turn;
    }
    store->latest = turn;
}

/* What a turn adds to the store's digest. */
static uint64_t turn_digest(const struct turn *turn)
{
    uint64_t parts[] = {turn->hash, turn->expires_ms};
    return XXH64(parts, sizeof(parts), 0);
}

static uint64_t turn_id_hash(const char *id)
{
    return XXH64(id, strlen(id), 0);
}

/* Call it once all but the expiry is known; the turn belongs to the digest from then on. */
static void turn_begin_digest(struct turn_store *store, struct turn *turn)
{
    uint64_t parts[] = {turn_id_hash(turn->id), turn->parent == NULL ? 0 : turn_id_hash(turn->parent->id), turn->tenant,
                        turn->text.input_length, turn->text.length};
    turn->hash = XXH64(parts, sizeof(parts), 0);
    store->digest ^= turn_digest(turn);
}

static void turn_set_expiry(struct turn_store *store, struct turn *turn, uint64_t expires_ms)
{
    store->digest ^= turn_digest(turn);
    turn->expires_ms = expires_ms;
    store->digest ^= turn_digest(turn);
}

static size_t turn_index_bytes(size_t id_length)
{
    return sizeof(struct turn) + id_length + 1 + TURN_OVERHEAD_BYTES;
}

static void turn_text_free(struct turn_store *store, turn_text_t *text)
{
    switch (text->kind) {
    case TURN_TEXT_IN_MEMORY: free(text->at.bytes); break;
    case TURN_TEXT_IN_HISTORY: store->history.release(store->history.context, &text->at.ref); break;
    }
}

static void turn_free(struct turn_store *store, struct turn *turn)
{
    turn_lru_unlink(store, turn);
    HASH_DEL(store->turns, turn);
    store->digest ^= turn_digest(turn);
    store->bytes -= turn->text.length;
    store->index_bytes -= turn_index_bytes(strlen(turn->id));
    if (turn->parent != NULL) {
        turn->parent->children--;
    }
    turn_text_free(store, &turn->text);
    free(turn);
}

void turn_store_close(struct turn_store *store)
{
    for (struct turn *turn = store->turns; turn != NULL; turn = turn->hh.next) {
        turn->parent = NULL;
    }
    while (store->earliest != NULL) {
        turn_free(store, store->earliest);
    }
    buffer_close(&store->order);
}

struct turn *turn_store_find(const struct turn_store *store, const char *id)
{
    struct turn *turn = NULL;
    HASH_FIND_STR(store->turns, text_or_empty(id), turn);
    return turn;
}

bool turn_is_visible_to(const struct turn *turn, uint64_t tenant)
{
    return turn->tenant == 0 || turn->tenant == tenant;
}

/* Marks a turn and its ancestors as most recently used. */
static void turn_use_chain(struct turn_store *store, struct turn *turn)
{
    for (; turn != NULL; turn = turn->parent) {
        turn_lru_unlink(store, turn);
        turn_lru_append(store, turn);
    }
}

/* Extends the expiry of a turn and its ancestors. */
static void turn_extend_chain(struct turn_store *store, struct turn *turn, uint64_t expires_ms)
{
    for (; turn != NULL; turn = turn->parent) {
        if (turn->expires_ms < expires_ms) {
            turn_set_expiry(store, turn, expires_ms);
        }
    }
}

/* Stores the concatenated text in the history store, if there is one, else in memory. */
static void turn_text_store(struct turn_store *store, struct view input, struct view output, turn_text_t *text)
{
    struct buffer both = {0};
    buffer_append(&both, input.data, input.length);
    buffer_append(&both, output.data, output.length);
    text->input_length = (uint32_t)input.length;
    text->length = (uint32_t)both.length;
    if (store->history.append != NULL) {
        text->kind = TURN_TEXT_IN_HISTORY;
        store->history.append(store->history.context, buffer_view(&both), &text->at.ref);
        buffer_close(&both);
    } else {
        text->kind = TURN_TEXT_IN_MEMORY;
        text->at.bytes = (uint8_t *)memory_copy(both.data, both.length);
        buffer_close(&both);
    }
}

/* Requires that the turn is not stored yet. Returns NULL if its parent is not stored. */
static struct turn *turn_add(struct turn_store *store, struct view id, struct view parent_id)
{
    struct turn *parent = NULL;
    if (parent_id.length > 0) {
        HASH_FIND(hh, store->turns, parent_id.data, parent_id.length, parent);
        if (parent == NULL) {
            return NULL;
        }
    }
    struct turn *turn = memory_new(sizeof(*turn) + id.length + 1);
    memcpy(turn->id, id.data, id.length);
    turn->parent = parent;
    HASH_ADD_KEYPTR(hh, store->turns, turn->id, id.length, turn);
    turn_lru_append(store, turn);
    store->index_bytes += turn_index_bytes(id.length);
    if (parent != NULL) {
        parent->children++;
    }
    return turn;
}

bool turn_store_add(struct turn_store *store, uint64_t now_ms, const struct turn_content *content)
{
    if (turn_store_find(store, content->id) != NULL) {
        return true;
    }
    struct view parent = view_of_string(text_or_empty(content->parent));
    struct turn *turn = turn_add(store, view_of_string(text_or_empty(content->id)), parent);
    if (turn == NULL) {
        return false;
    }
    turn->tenant = content->tenant;
    turn_text_store(store, content->input, content->output, &turn->text);
    store->bytes += turn->text.length;
    turn_begin_digest(store, turn);
    turn_extend_chain(store, turn, now_ms + content->retention_ms);
    turn_use_chain(store, turn);
    return true;
}

void turn_store_expire(struct turn_store *store, uint64_t now_ms)
{
    struct turn *turn = store->earliest;
    while (turn != NULL && store->turns != NULL && turn->expires_ms <= now_ms) {
        struct turn *next = turn->later;
        if (turn->children == 0) {
            struct turn *parent = turn->parent;
            turn_free(store, turn);
            /* the parent was skipped because of this child */
            next = parent != NULL && parent->children == 0 ? parent : next;
        }
        turn = next;
    }
}

void turn_store_shrink(struct turn_store *store, size_t bytes)
{
    struct turn *turn = store->earliest;
    while (turn != NULL && store->turns != NULL && store->bytes + store->index_bytes > bytes) {
        struct turn *next = turn->later;
        if (turn->children == 0) {
            turn_free(store, turn);
            next = store->earliest;
        }
        turn = next;
    }
}

static size_t turn_depth(const struct turn *turn)
{
    size_t depth = 0;
    for (; turn != NULL; turn = turn->parent) {
        depth++;
    }
    return depth;
}

/* Returns the turn and its ancestors, oldest first. The caller frees the array. */
static const struct turn **turn_chain(const struct turn *turn, size_t depth)
{
    const struct turn **chain = memory_new((depth + 1) * sizeof(struct turn *)); // NOLINT(bugprone-sizeof-expression)
    for (size_t i = depth; i > 0; i--) {
        chain[i - 1] = turn;
        turn = turn->parent;
    }
    return chain;
}

bool turn_chain_text(const struct turn_store *store, const struct turn *turn, struct buffer *out)
{
    size_t depth = turn_depth(turn);
    const struct turn **chain = turn_chain(turn, depth);
    bool read = true;
    for (size_t i = 0; read && i < depth; i++) {
        read = turn_text_read(&store->history, &chain[i]->text, out);
    }
    free(chain);
    return read;
}

bool turn_chain_encode(const struct turn_store *store, const struct turn *turn, struct buffer *out)
{
    struct buffer text = {0};
    size_t depth = turn_depth(turn);
    bool encoded = false;
    const struct turn **chain = NULL;
    TurnChain wire = {0};
    if (depth > PB_SIZE_MAX || !turn_chain_text(store, turn, &text)) {
        goto out;
    }
    chain = turn_chain(turn, depth);
    wire.turns = memory_new((depth + 1) * sizeof(*wire.turns));
    wire.turns_count = (pb_size_t)depth;
    const uint8_t *at = text.data;
    for (size_t i = 0; i < depth; i++) {
        const turn_text_t *part = &chain[i]->text;
        wire.turns[i].turn = (char *)(uintptr_t)chain[i]->id;
        wire.turns[i].parent = i == 0 ? NULL : (char *)(uintptr_t)chain[i - 1]->id;
        wire.turns[i].expires_ms = chain[i]->expires_ms;
        wire.turns[i].tenant = chain[i]->tenant;
        wire.turns[i].input = view_of(at, part->input_length);
        wire.turns[i].output = view_of(at + part->input_length, part->length - part->input_length);
        at += part->length;
    }
    encoded = message_encode(out, TurnChain_fields, &wire);
out:
    free(wire.turns);
    free(chain);
    buffer_close(&text);
    return encoded;
}

void turn_export(const struct turn *turn, struct buffer *out)
{
    turn_record_t record = {
        .id = view_of_string(turn->id),
        .parent = view_of_string(turn->parent == NULL ? "" : turn->parent->id),
        .expires_ms = turn->expires_ms,
        .tenant = turn->tenant,
        .text = turn->text,
    };
    turn_record_encode(&record, out);
}

bool turn_store_import(struct turn_store *store, struct view data)
{
    turn_record_t record;
    struct turn *turn = turn_record_decode(data, &record) ? turn_add(store, record.id, record.parent) : NULL;
    if (turn == NULL) {
        return false;
    }
    turn->text = record.text;
    turn->expires_ms = record.expires_ms;
    turn->tenant = record.tenant;
    store->bytes += record.text.length;
    switch (record.text.kind) {
    case TURN_TEXT_IN_MEMORY:
        turn->text.at.bytes = (uint8_t *)memory_copy(record.text.at.bytes, record.text.length);
        break;
    case TURN_TEXT_IN_HISTORY: store->history.mark_used(store->history.context, &record.text.at.ref); break;
    }
    turn_begin_digest(store, turn);
    return true;
}

/* ---- Order of use --------------------------------------------------------------------------- */

void turn_store_export_order(const struct turn_store *store, struct buffer *out)
{
    uint32_t position = 0;
    for (struct turn *turn = store->turns; turn != NULL; turn = turn->hh.next) {
        turn->position = position++;
    }
    for (const struct turn *turn = store->earliest; turn != NULL; turn = turn->later) {
        uint32_t wire = htole32(turn->position);
        buffer_append(out, &wire, sizeof(wire));
    }
}

void turn_store_import_order(struct turn_store *store, struct view order)
{
    buffer_clear(&store->order);
    buffer_append(&store->order, order.data, order.length);
}

/* Returns the turns in the order of their records, which is that of the hash table; the caller frees the array. */
static struct turn **turn_store_by_position(const struct turn_store *store)
{
    size_t count = HASH_COUNT(store->turns);
    struct turn **turns = memory_new((count + 1) * sizeof(*turns)); // NOLINT(bugprone-sizeof-expression)
    uint32_t position = 0;
    for (struct turn *turn = store->turns; turn != NULL; turn = turn->hh.next) {
        turn->position = position;
        turns[position++] = turn;
    }
    return turns;
}

/* Returns whether the order has each turn once; marks the turns that it has by clearing their entries in `turns`. */
static bool turn_store_use_in_order(struct turn_store *store, struct turn **turns)
{
    size_t count = HASH_COUNT(store->turns);
    uint32_t position = 0;
    bool fits = store->order.length == count * sizeof(position);
    for (size_t i = 0; fits && i < count; i++) {
        memcpy(&position, store->order.data + i * sizeof(position), sizeof(position));
        position = le32toh(position);
        fits = position < count && turns[position] != NULL;
        if (fits) {
            turn_lru_unlink(store, turns[position]);
            turn_lru_append(store, turns[position]);
            turns[position] = NULL;
        }
    }
    return fits;
}

bool turn_store_restore_order(struct turn_store *store)
{
    struct turn **turns = turn_store_by_position(store);
    bool restored = turn_store_use_in_order(store, turns);
    free(turns);
    buffer_close(&store->order);
    /* Storing a turn uses its ancestors too, so that the order of storing implies that of use. */
    for (struct turn *turn = store->turns; turn != NULL && !restored; turn = turn->hh.next) {
        turn_use_chain(store, turn);
    }
    return restored;
}

bool turn_store_import_wire(struct turn_store *store, const TurnRecord *record)
{
    struct turn_content content = {
        .id = record->turn,
        .parent = record->parent,
        .input = record->input,
        .output = record->output,
        .retention_ms = record->expires_ms, /* counted from time 0 */
        .tenant = record->tenant,
    };
    return turn_store_add(store, 0, &content);
}
