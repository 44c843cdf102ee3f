#include "core/server_list.h"

#include <stdlib.h>
#include <string.h>

#include <pb_decode.h>
#include <xxhash.h>

#include "control.pb.h"

enum {
    SERVER_LIST_FIELD_KEY = (ServerList_servers_tag << 3) | PB_WT_STRING, /* precedes each record of a ServerList */
    SERVER_LIST_VARINT_BITS = 7,                                          /* payload bits per byte of a varint */
    SERVER_LIST_VARINT_CONTINUE = 1 << SERVER_LIST_VARINT_BITS
};

/* Must differ from SERVER_LIST_NONE. The hashes of all records are added to it. */
static const uint64_t SERVER_LIST_EMPTY_DIGEST = 1;

/* ---- Encoded lists -------------------------------------------------------------- */

/* Reads the next length-delimited field `tag`. False: there is none, or the message is not `valid`. */
static bool server_list_read_field(pb_istream_t *stream, uint32_t tag, struct view *value, bool *valid)
{
    while (stream->bytes_left > 0) {
        pb_wire_type_t type;
        uint32_t found = 0;
        uint32_t length = 0;
        bool end = false;
        *valid = pb_decode_tag(stream, &type, &found, &end);
        if (*valid && (found != tag || type != PB_WT_STRING)) {
            *valid = pb_skip_field(stream, type);
            if (*valid) {
                continue;
            }
        }
        *valid = *valid && pb_decode_varint32(stream, &length) && length <= stream->bytes_left;
        if (!*valid) {
            return false;
        }
        *value = view_of(stream->state, length);
        return pb_read(stream, NULL, length);
    }
    return false;
}

static bool server_list_record_id(struct view record, struct view *id)
{
    pb_istream_t stream = pb_istream_from_buffer(record.data, record.length);
    bool valid = true;
    return server_list_read_field(&stream, ServerRecord_id_tag, id, &valid) && id->length > 0;
}

/* Whether all records of an encoded list can be decoded and have an id. */
static bool server_list_is_valid(struct view encoded)
{
    pb_istream_t stream = pb_istream_from_buffer(encoded.data, encoded.length);
    struct view record;
    struct view id;
    bool valid = true;
    while (server_list_read_field(&stream, ServerList_servers_tag, &record, &valid)) {
        if (!server_list_record_id(record, &id)) {
            return false;
        }
    }
    return valid;
}

static void server_list_append(const server_list_entry_t *entry, struct buffer *out)
{
    uint8_t header[1 + sizeof(uint64_t) * 2];
    size_t used = 0;
    size_t left = entry->length;
    header[used++] = SERVER_LIST_FIELD_KEY;
    while (left >= SERVER_LIST_VARINT_CONTINUE) {
        header[used++] = (uint8_t)(left | SERVER_LIST_VARINT_CONTINUE);
        left >>= SERVER_LIST_VARINT_BITS;
    }
    header[used++] = (uint8_t)left;
    buffer_append(out, header, used);
    buffer_append(out, entry->record, entry->length);
}

/* ---- Changes ---------------------------------------------------------------------- */

static void server_list_evict_removed(server_list_t *list, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        list->oldest_change = list->removed[i].change;
        free(list->removed[i].id);
    }
    list->removed_count -= count;
    memmove(list->removed, list->removed + count, list->removed_count * sizeof(list->removed[0]));
}

static void server_list_remove(server_list_t *list, server_list_entry_t *entry)
{
    if (list->removed_count == SERVER_LIST_REMOVED_MAX) {
        server_list_evict_removed(list, SERVER_LIST_REMOVED_EVICTED);
    }
    list->removed[list->removed_count++] = (server_list_removed_t){list->change, text_copy(entry->id)};
    list->digest -= entry->hash;
    list->bytes += strlen(entry->id);
    HASH_DEL(list->entries, entry);
    free(entry->record);
    free(entry);
}

static server_list_entry_t *server_list_find_or_add(server_list_t *list, struct view id)
{
    server_list_entry_t *entry = NULL;
    HASH_FIND(hh, list->entries, id.data, id.length, entry);
    if (entry == NULL) {
        entry = memory_new(sizeof(*entry) + id.length + 1);
        memcpy(entry->id, id.data, id.length);
        HASH_ADD_KEYPTR(hh, list->entries, entry->id, id.length, entry);
    }
    return entry;
}

/* Returns whether the record changed. */
static bool server_list_set_record(server_list_t *list, struct view record)
{
    struct view id;
    server_list_record_id(record, &id);
    server_list_entry_t *entry = server_list_find_or_add(list, id);
    entry->last_full_list = list->full_lists;
    bool same = entry->length == record.length && memcmp(entry->record, record.data, record.length) == 0;
    if (same) {
        return false;
    }
    list->digest -= entry->hash;
    free(entry->record);
    entry->record = (uint8_t *)memory_copy(record.data, record.length);
    entry->length = record.length;
    entry->hash = XXH64(record.data, record.length, 0);
    entry->change = list->change;
    list->bytes += record.length;
    list->digest += entry->hash;
    return true;
}

static bool server_list_set_records(server_list_t *list, struct view encoded)
{
    pb_istream_t stream = pb_istream_from_buffer(encoded.data, encoded.length);
    struct view record;
    bool valid = true;
    bool changed = false;
    while (server_list_read_field(&stream, ServerList_servers_tag, &record, &valid)) {
        changed = server_list_set_record(list, record) || changed;
    }
    return changed;
}

static bool server_list_remove_unlisted(server_list_t *list)
{
    server_list_entry_t *entry;
    server_list_entry_t *next;
    bool removed = false;
    HASH_ITER(hh, list->entries, entry, next)
    {
        if (entry->last_full_list != list->full_lists) {
            server_list_remove(list, entry);
            removed = true;
        }
    }
    return removed;
}

static void server_list_begin_change(server_list_t *list)
{
    list->change++;
    list->digest = list->digest == SERVER_LIST_NONE ? SERVER_LIST_EMPTY_DIGEST : list->digest;
}

static void server_list_record_version(server_list_t *list)
{
    list->versions[list->change % SERVER_LIST_VERSIONS] =
        (server_list_version_t){list->digest, list->change, list->bytes};
}

bool server_list_replace(server_list_t *list, struct view encoded)
{
    bool first = list->digest == SERVER_LIST_NONE;
    if (!server_list_is_valid(encoded)) {
        return false;
    }
    server_list_begin_change(list);
    list->full_lists++;
    bool set = server_list_set_records(list, encoded);
    bool removed = server_list_remove_unlisted(list);
    if (!first && !set && !removed) {
        list->change--;
        return false;
    }
    server_list_record_version(list);
    return true;
}

/* Keeps the change counter, so that callers that track changes have to read the full list. */
static void server_list_reset(server_list_t *list)
{
    uint64_t change = list->change;
    server_list_close(list);
    list->change = change;
    list->oldest_change = change + 1;
}

bool server_list_apply(server_list_t *list, uint64_t base, uint64_t digest, struct view records, char *const *removed,
                       size_t removed_count)
{
    if (base == SERVER_LIST_NONE || base != list->digest || !server_list_is_valid(records)) {
        return false;
    }
    if (digest == base && records.length == 0 && removed_count == 0) {
        return true;
    }
    server_list_begin_change(list);
    for (size_t i = 0; i < removed_count; i++) {
        server_list_entry_t *entry = NULL;
        HASH_FIND_STR(list->entries, text_or_empty(removed[i]), entry);
        if (entry != NULL) {
            server_list_remove(list, entry);
        }
    }
    server_list_set_records(list, records);
    if (list->digest != digest) {
        server_list_reset(list);
        return false;
    }
    server_list_record_version(list);
    return true;
}

/* ---- Distribution ------------------------------------------------------------------- */

bool server_list_changes_since(const server_list_t *list, uint64_t change, server_list_changes_t *changes)
{
    memset(changes, 0, sizeof(*changes));
    if (change < list->oldest_change || change == 0) {
        return false;
    }
    for (const server_list_entry_t *entry = list->entries; entry != NULL; entry = entry->hh.next) {
        if (entry->change > change) {
            server_list_append(entry, &changes->records);
        }
    }
    changes->removed = memory_new((list->removed_count + 1) * sizeof(*changes->removed));
    for (size_t i = 0; i < list->removed_count; i++) {
        if (list->removed[i].change > change) {
            changes->removed[changes->removed_count++] = list->removed[i].id;
        }
    }
    return true;
}

/* NULL: the version is unknown or its changes are no longer available. */
static const server_list_version_t *server_list_find_version(const server_list_t *list, uint64_t digest)
{
    for (size_t i = 0; i < SERVER_LIST_VERSIONS && digest != SERVER_LIST_NONE; i++) {
        const server_list_version_t *version = &list->versions[i];
        if (version->digest == digest && version->change >= list->oldest_change) {
            return version;
        }
    }
    return NULL;
}

bool server_list_has_version(const server_list_t *list, uint64_t digest)
{
    return server_list_find_version(list, digest) != NULL;
}

uint64_t server_list_changes_bytes(const server_list_t *list, uint64_t digest)
{
    const server_list_version_t *version = server_list_find_version(list, digest);
    return version == NULL ? 0 : list->bytes - version->bytes;
}

bool server_list_changes_since_digest(const server_list_t *list, uint64_t digest, server_list_changes_t *changes)
{
    const server_list_version_t *version = server_list_find_version(list, digest);
    return server_list_changes_since(list, version == NULL ? 0 : version->change, changes);
}

void server_list_changes_close(server_list_changes_t *changes)
{
    buffer_close(&changes->records);
    free(changes->removed);
    memset(changes, 0, sizeof(*changes));
}

struct view server_list_encoded(server_list_t *list)
{
    if (list->encoded_change != list->change) {
        buffer_clear(&list->encoded);
        for (const server_list_entry_t *entry = list->entries; entry != NULL; entry = entry->hh.next) {
            server_list_append(entry, &list->encoded);
        }
        list->encoded_change = list->change;
    }
    return buffer_view(&list->encoded);
}

void server_list_close(server_list_t *list)
{
    server_list_entry_t *entry;
    server_list_entry_t *next;
    HASH_ITER(hh, list->entries, entry, next)
    {
        HASH_DEL(list->entries, entry);
        free(entry->record);
        free(entry);
    }
    for (size_t i = 0; i < list->removed_count; i++) {
        free(list->removed[i].id);
    }
    buffer_close(&list->encoded);
    memset(list, 0, sizeof(*list));
}
