#include "core/turn_store.h"

#include <stdlib.h>
#include <string.h>

static void turn_unlink(struct turn_store *store, struct turn *turn)
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

static void turn_link_last(struct turn_store *store, struct turn *turn)
{
    turn->earlier = store->latest;
    if (store->latest != NULL) {
        store->latest->later = turn;
    } else {
        store->earliest = turn;
    }
    store->latest = turn;
}

static void turn_free(struct turn_store *store, struct turn *turn)
{
    turn_unlink(store, turn);
    HASH_DEL(store->turns, turn);
    store->bytes -= turn->input.length + turn->output.length;
    if (turn->parent != NULL) {
        turn->parent->children--;
    }
    free((void *)(uintptr_t)turn->input.data);
    free((void *)(uintptr_t)turn->output.data);
    free(turn->id);
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
}

struct turn *turn_store_find(const struct turn_store *store, const char *id)
{
    struct turn *turn = NULL;
    HASH_FIND_STR(store->turns, text_or_empty(id), turn);
    return turn;
}

/* The whole chain stays as long as its last turn. */
static void turn_touch_chain(struct turn_store *store, struct turn *turn, uint64_t expires_ms)
{
    for (; turn != NULL; turn = turn->parent) {
        if (turn->expires_ms < expires_ms) {
            turn->expires_ms = expires_ms;
        }
        turn_unlink(store, turn);
        turn_link_last(store, turn);
    }
}

static struct view turn_copy(struct view bytes)
{
    return view_of(memory_copy(bytes.data, bytes.length), bytes.length);
}

bool turn_store_add(struct turn_store *store, uint64_t now_ms, const struct turn_content *content)
{
    bool has_parent = text_or_empty(content->parent)[0] != '\0';
    struct turn *parent = has_parent ? turn_store_find(store, content->parent) : NULL;
    if (turn_store_find(store, content->id) != NULL) {
        return true;
    }
    if (has_parent && parent == NULL) {
        return false;
    }
    struct turn *turn = memory_new(sizeof(*turn));
    turn->id = text_copy(content->id);
    turn->parent = parent;
    turn->input = turn_copy(content->input);
    turn->output = turn_copy(content->output);
    store->bytes += turn->input.length + turn->output.length;
    HASH_ADD_KEYPTR(hh, store->turns, turn->id, strlen(turn->id), turn);
    turn_link_last(store, turn);
    if (parent != NULL) {
        parent->children++;
    }
    turn_touch_chain(store, turn, now_ms + content->retention_ms);
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
            /* A parent passed over before, because of this child, goes now. */
            next = parent != NULL && parent->children == 0 ? parent : next;
        }
        turn = next;
    }
}

void turn_store_shrink(struct turn_store *store, size_t bytes)
{
    struct turn *turn = store->earliest;
    while (turn != NULL && store->turns != NULL && store->bytes > bytes) {
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

void turn_chain_text(const struct turn *turn, struct buffer *out)
{
    size_t depth = turn_depth(turn);
    const struct turn **chain = memory_new((depth + 1) * sizeof(struct turn *)); // NOLINT(bugprone-sizeof-expression)
    for (size_t i = depth; i > 0; i--) {
        chain[i - 1] = turn;
        turn = turn->parent;
    }
    for (size_t i = 0; i < depth; i++) {
        buffer_append(out, chain[i]->input.data, chain[i]->input.length);
        buffer_append(out, chain[i]->output.data, chain[i]->output.length);
    }
    free(chain);
}

static void turn_fill_record(const struct turn *turn, TurnRecord *record)
{
    record->turn = turn->id;
    record->parent = turn->parent == NULL ? NULL : turn->parent->id;
    record->input = turn->input;
    record->output = turn->output;
    record->expires_ms = turn->expires_ms;
}

void turn_chain_fill(const struct turn *turn, TurnChain *chain)
{
    size_t depth = turn_depth(turn);
    memset(chain, 0, sizeof(*chain));
    chain->turns = memory_new((depth + 1) * sizeof(*chain->turns));
    chain->turns_count = (pb_size_t)depth;
    for (size_t i = depth; i > 0; i--) {
        turn_fill_record(turn, &chain->turns[i - 1]);
        turn = turn->parent;
    }
}

void turn_store_export(const struct turn_store *store, TurnRecord **records, pb_size_t *count)
{
    *records = memory_new((HASH_COUNT(store->turns) + 1) * sizeof(**records));
    *count = 0;
    /* The hash keeps the order of insertion, in which parents come first. */
    for (const struct turn *turn = store->turns; turn != NULL; turn = turn->hh.next) {
        turn_fill_record(turn, &(*records)[*count]);
        (*count)++;
    }
}

void turn_store_import(struct turn_store *store, const TurnRecord *records, pb_size_t count)
{
    for (pb_size_t i = 0; i < count; i++) {
        struct turn_content content = {
            .id = records[i].turn,
            .parent = records[i].parent,
            .input = records[i].input,
            .output = records[i].output,
            .retention_ms = records[i].expires_ms,
        };
        turn_store_add(store, 0, &content);
    }
}
