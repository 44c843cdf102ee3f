#include "store/log_store.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include <xxhash.h>

#include "store/file.h"

enum { LOG_RECORD_MAGIC = 0x4c424b42, LOG_SNAPSHOT_MAGIC = 0x53424b42, LOG_NAME_MAX = 64 };

enum log_record_kind { LOG_RECORD_STATE = 1, LOG_RECORD_ENTRY = 2 };

/* Start of every record on disk. */
struct log_record {
    uint32_t magic;    /* LOG_RECORD_MAGIC */
    uint32_t length;   /* payload bytes */
    uint64_t checksum; /* XXH64 of the rest of the header and the payload */
    uint32_t kind;     /* enum log_record_kind */
    uint32_t group;
    uint64_t index;
    uint64_t term;
    uint32_t detail; /* vote, or entry type */
    uint32_t reserved;
};

/* Start of a snapshot file; members and state follow. */
struct log_snapshot_header {
    uint32_t magic; /* LOG_SNAPSHOT_MAGIC */
    uint32_t members_length;
    uint64_t checksum; /* XXH64 of the rest of the file */
    uint64_t index;
    uint64_t term;
    uint64_t state_length;
};

static const size_t LOG_CHECKED_FROM = offsetof(struct log_record, kind);

static void log_store_fail(struct log_store *store, const char *what, const char *place)
{
    store->failed = true;
    snprintf(store->error, sizeof(store->error), "%s: %s: %s", place, what, strerror(errno));
}

static uint64_t log_record_checksum(const struct log_record *record, struct view payload)
{
    const uint8_t *start = (const uint8_t *)record + LOG_CHECKED_FROM;
    uint64_t hash = XXH64(start, sizeof(*record) - LOG_CHECKED_FROM, record->length);
    return XXH64(payload.data, payload.length, hash);
}

static void log_store_add(struct log_store *store, struct log_record *record, struct view payload)
{
    record->magic = LOG_RECORD_MAGIC;
    record->length = (uint32_t)payload.length;
    record->checksum = log_record_checksum(record, payload);
    buffer_append(&store->pending, record, sizeof(*record));
    buffer_append(&store->pending, payload.data, payload.length);
}

void log_store_save_state(struct log_store *store, uint32_t group, uint64_t term, uint32_t vote)
{
    store->groups[group].term = term;
    store->groups[group].vote = vote;
    struct log_record record = {.kind = LOG_RECORD_STATE, .group = group, .term = term, .detail = vote};
    log_store_add(store, &record, view_of(NULL, 0));
}

void log_store_append(struct log_store *store, uint32_t group, const struct raft_entry *entry)
{
    struct log_record record = {
        .kind = LOG_RECORD_ENTRY,
        .group = group,
        .index = entry->index,
        .term = entry->term,
        .detail = entry->type,
    };
    log_store_add(store, &record, view_of(entry->data, entry->length));
    struct log_segment *segment = &store->segments[store->segment_count - 1];
    if (entry->index > segment->last_index[group]) {
        segment->last_index[group] = entry->index;
    }
}

/* ---- Segments ------------------------------------------------------------------ */

static char *log_segment_path(const struct log_store *store, uint64_t number)
{
    char name[LOG_NAME_MAX];
    snprintf(name, sizeof(name), "log-%010" PRIu64, number);
    return file_path(store->folder, name);
}

static struct log_segment *log_store_add_segment(struct log_store *store, uint64_t number)
{
    store->segments = memory_resize(store->segments, (store->segment_count + 1) * sizeof(*store->segments));
    struct log_segment *segment = &store->segments[store->segment_count++];
    segment->number = number;
    segment->last_index = memory_new(store->group_count * sizeof(*segment->last_index));
    return segment;
}

static bool log_store_open_last(struct log_store *store, bool create)
{
    char *path = log_segment_path(store, store->segments[store->segment_count - 1].number);
    store->file = open(path, O_WRONLY | O_APPEND | O_CLOEXEC | (create ? O_CREAT | O_EXCL : 0), 0600);
    bool opened = store->file >= 0 && (!create || file_sync_folder(store->folder));
    if (!opened) {
        log_store_fail(store, "cannot open the segment", path);
    }
    free(path);
    return opened;
}

/* Every segment repeats all terms and votes, so that older ones can go. */
static bool log_store_begin_segment(struct log_store *store, uint64_t number)
{
    log_store_add_segment(store, number);
    store->file_bytes = 0;
    if (!log_store_open_last(store, true)) {
        return false;
    }
    for (uint32_t group = 0; group < store->group_count; group++) {
        log_store_save_state(store, group, store->groups[group].term, store->groups[group].vote);
    }
    return true;
}

static bool log_segment_is_covered(const struct log_store *store, const struct log_segment *segment)
{
    for (uint32_t group = 0; group < store->group_count; group++) {
        if (segment->last_index[group] > store->groups[group].snapshot_index) {
            return false;
        }
    }
    return true;
}

static void log_store_drop_covered(struct log_store *store)
{
    size_t kept = 0;
    for (size_t i = 0; i < store->segment_count; i++) {
        struct log_segment segment = store->segments[i];
        bool last = i + 1 == store->segment_count;
        if (last || !log_segment_is_covered(store, &segment)) {
            store->segments[kept++] = segment;
            continue;
        }
        char *path = log_segment_path(store, segment.number);
        unlink(path);
        free(path);
        free(segment.last_index);
    }
    store->segment_count = kept;
}

static bool log_disk_is_full(void)
{
    return errno == ENOSPC || errno == EDQUOT || errno == EFBIG;
}

/* After a write that a full disk cut short: removes its part, so that the whole may be written later. */
static void log_store_take_back(struct log_store *store)
{
    if (log_disk_is_full() && ftruncate(store->file, (off_t)store->file_bytes) == 0) {
        store->failed = false;
    }
}

bool log_store_sync(struct log_store *store)
{
    if (store->failed) {
        return false;
    }
    if (!file_write_all(store->file, store->pending.data, store->pending.length)) {
        log_store_fail(store, "cannot write the log", store->folder);
        log_store_take_back(store);
        return false;
    }
    if (fdatasync(store->file) != 0) {
        log_store_fail(store, "cannot sync the log", store->folder);
        return false;
    }
    store->file_bytes += store->pending.length;
    buffer_clear(&store->pending);
    if (store->file_bytes < LOG_STORE_SEGMENT_BYTES) {
        return true;
    }
    close(store->file);
    if (!log_store_begin_segment(store, store->segments[store->segment_count - 1].number + 1)) {
        return false;
    }
    return log_store_sync(store);
}

/* ---- Snapshots ------------------------------------------------------------------- */

static void log_snapshot_name(uint32_t group, char *name, size_t size)
{
    snprintf(name, size, "snapshot-%" PRIu32, group);
}

/* Of all that follows the checksum in the header, without putting the parts together: a state may be large. */
static uint64_t log_snapshot_checksum(const struct view *parts, size_t count)
{
    size_t skipped = offsetof(struct log_snapshot_header, index);
    XXH64_state_t *sum = XXH64_createState();
    XXH64_reset(sum, 0);
    XXH64_update(sum, parts[0].data + skipped, parts[0].length - skipped);
    for (size_t i = 1; i < count; i++) {
        if (parts[i].length > 0) {
            XXH64_update(sum, parts[i].data, parts[i].length);
        }
    }
    uint64_t checksum = XXH64_digest(sum);
    XXH64_freeState(sum);
    return checksum;
}

bool log_store_save_snapshot(struct log_store *store, uint32_t group, uint64_t index, uint64_t term,
                             const struct raft_members *members, struct view state)
{
    struct buffer encoded_members = {0};
    raft_members_encode(members, &encoded_members);
    struct log_snapshot_header header = {
        .magic = LOG_SNAPSHOT_MAGIC,
        .members_length = (uint32_t)encoded_members.length,
        .index = index,
        .term = term,
        .state_length = state.length,
    };
    struct view parts[] = {view_of(&header, sizeof(header)), buffer_view(&encoded_members), state};
    size_t part_count = sizeof(parts) / sizeof(parts[0]);
    header.checksum = log_snapshot_checksum(parts, part_count);
    char name[LOG_NAME_MAX];
    log_snapshot_name(group, name, sizeof(name));
    bool saved = file_replace_parts(store->folder, name, parts, part_count);
    buffer_close(&encoded_members);
    if (!saved) {
        log_store_fail(store, "cannot write the snapshot", name);
        store->failed = !log_disk_is_full();
        return false;
    }
    store->groups[group].snapshot_index = index;
    log_store_drop_covered(store);
    return true;
}

static bool log_store_load_snapshot(struct log_store *store, uint32_t group, const struct log_restore *restore)
{
    char name[LOG_NAME_MAX];
    log_snapshot_name(group, name, sizeof(name));
    char *path = file_path(store->folder, name);
    struct buffer content = {0};
    bool loaded = file_read_all(path, &content);
    if (!loaded) {
        loaded = errno == ENOENT;
        if (!loaded) {
            log_store_fail(store, "cannot read the snapshot", path);
        }
        goto out;
    }
    loaded = false;
    struct log_snapshot_header header;
    struct raft_members members;
    memset(&header, 0, sizeof(header));
    if (content.length >= sizeof(header)) {
        memcpy(&header, content.data, sizeof(header));
    }
    size_t checked = offsetof(struct log_snapshot_header, index);
    bool whole = header.magic == LOG_SNAPSHOT_MAGIC &&
                 content.length == sizeof(header) + header.members_length + header.state_length &&
                 header.checksum == XXH64(content.data + checked, content.length - checked, 0);
    const uint8_t *body = content.data + sizeof(header);
    if (!whole || !raft_members_decode(view_of(body, header.members_length), &members)) {
        errno = EILSEQ;
        log_store_fail(store, "the snapshot is damaged", path);
        goto out;
    }
    store->groups[group].snapshot_index = header.index;
    loaded = restore->snapshot(restore->context, group, header.index, header.term, &members,
                               view_of(body + header.members_length, (size_t)header.state_length));
    if (!loaded) {
        errno = EILSEQ;
        log_store_fail(store, "the snapshot does not decode", path);
    }
out:
    free(path);
    buffer_close(&content);
    return loaded;
}

/* ---- Replay ------------------------------------------------------------------------ */

/* Reads the record at `offset`; returns its whole length, or 0 if it is not valid. */
static size_t log_record_at(const struct log_store *store, const struct buffer *content, size_t offset,
                            struct log_record *record)
{
    if (content->length - offset < sizeof(*record)) {
        return 0;
    }
    memcpy(record, content->data + offset, sizeof(*record));
    bool plausible = record->magic == LOG_RECORD_MAGIC && record->group < store->group_count &&
                     record->length <= content->length - offset - sizeof(*record);
    if (!plausible) {
        return 0;
    }
    struct view payload = view_of(content->data + offset + sizeof(*record), record->length);
    return log_record_checksum(record, payload) == record->checksum ? sizeof(*record) + record->length : 0;
}

static bool log_has_record_after(const struct log_store *store, const struct buffer *content, size_t offset)
{
    struct log_record record;
    for (size_t position = offset + 1; position + sizeof(record) <= content->length; position++) {
        if (log_record_at(store, content, position, &record) != 0) {
            return true;
        }
    }
    return false;
}

static bool log_replay_record(struct log_store *store, struct log_segment *segment, const struct log_record *record,
                              const uint8_t *payload, const struct log_restore *restore)
{
    if (record->kind == LOG_RECORD_STATE) {
        store->groups[record->group].term = record->term;
        store->groups[record->group].vote = record->detail;
        restore->state(restore->context, record->group, record->term, record->detail);
        return true;
    }
    if (record->index > segment->last_index[record->group]) {
        segment->last_index[record->group] = record->index;
    }
    struct raft_entry entry = {
        .index = record->index,
        .term = record->term,
        .type = (enum raft_entry_type)record->detail,
        .data = (uint8_t *)(uintptr_t)payload,
        .length = record->length,
    };
    return restore->entry(restore->context, record->group, &entry);
}

static bool log_cut_tail(struct log_store *store, const char *path, size_t offset)
{
    if (truncate(path, (off_t)offset) != 0) {
        log_store_fail(store, "cannot cut the unfinished tail", path);
        return false;
    }
    return true;
}

static bool log_replay_segment(struct log_store *store, struct log_segment *segment, bool last,
                               const struct log_restore *restore)
{
    struct buffer content = {0};
    char *path = log_segment_path(store, segment->number);
    bool replayed = file_read_all(path, &content);
    if (!replayed) {
        log_store_fail(store, "cannot read the segment", path);
    }
    size_t offset = 0;
    while (replayed && offset < content.length) {
        struct log_record record;
        size_t length = log_record_at(store, &content, offset, &record);
        if (length == 0) {
            bool torn = last && !log_has_record_after(store, &content, offset);
            replayed = torn && log_cut_tail(store, path, offset);
            if (!torn) {
                store->failed = true;
                snprintf(store->error, sizeof(store->error), "%s: byte %zu: a record in the middle is damaged", path,
                         offset);
            }
            break;
        }
        replayed = log_replay_record(store, segment, &record, content.data + offset + sizeof(record), restore);
        if (!replayed) {
            store->failed = true;
            snprintf(store->error, sizeof(store->error), "%s: byte %zu: entries before this one are missing", path,
                     offset);
        }
        offset += length;
    }
    store->file_bytes = offset;
    free(path);
    buffer_close(&content);
    return replayed;
}

static int log_compare_numbers(const void *a, const void *b)
{
    uint64_t left = ((const struct log_segment *)a)->number;
    uint64_t right = ((const struct log_segment *)b)->number;
    return left < right ? -1 : left > right ? 1 : 0;
}

static bool log_store_list(struct log_store *store)
{
    DIR *folder = opendir(store->folder);
    if (folder == NULL) {
        log_store_fail(store, "cannot read the folder", store->folder);
        return false;
    }
    for (struct dirent *item = readdir(folder); item != NULL; item = readdir(folder)) {
        uint64_t number = 0;
        if (sscanf(item->d_name, "log-%" SCNu64, &number) == 1) {
            log_store_add_segment(store, number);
        }
    }
    closedir(folder);
    if (store->segment_count > 1) {
        qsort(store->segments, store->segment_count, sizeof(*store->segments), log_compare_numbers);
    }
    return true;
}

bool log_store_open(struct log_store *store, const char *folder, uint32_t groups, const struct log_restore *restore)
{
    memset(store, 0, sizeof(*store));
    store->file = -1;
    store->folder = text_copy(folder);
    store->group_count = groups;
    store->groups = memory_new(groups * sizeof(*store->groups));
    if (!file_make_folder(folder)) {
        log_store_fail(store, "cannot create the folder", folder);
        return false;
    }
    if (!log_store_list(store)) {
        return false;
    }
    for (uint32_t group = 0; group < groups; group++) {
        if (!log_store_load_snapshot(store, group, restore)) {
            return false;
        }
    }
    for (size_t i = 0; i < store->segment_count; i++) {
        if (!log_replay_segment(store, &store->segments[i], i + 1 == store->segment_count, restore)) {
            return false;
        }
    }
    if (store->segment_count > 0) {
        return log_store_open_last(store, false);
    }
    return log_store_begin_segment(store, 1) && log_store_sync(store);
}

void log_store_measure(const char *folder, uint64_t *log_bytes, uint64_t *snapshot_bytes)
{
    DIR *items = opendir(folder);
    struct stat status;
    *log_bytes = 0;
    *snapshot_bytes = 0;
    if (items == NULL) {
        return;
    }
    for (struct dirent *item = readdir(items); item != NULL; item = readdir(items)) {
        uint64_t number = 0;
        char *path = file_path(folder, item->d_name);
        uint64_t bytes = stat(path, &status) == 0 ? (uint64_t)status.st_size : 0;
        if (sscanf(item->d_name, "log-%" SCNu64, &number) == 1) {
            *log_bytes += bytes;
        } else if (sscanf(item->d_name, "snapshot-%" SCNu64, &number) == 1) {
            *snapshot_bytes += bytes;
        }
        free(path);
    }
    closedir(items);
}

void log_store_close(struct log_store *store)
{
    if (store->file >= 0) {
        close(store->file);
    }
    for (size_t i = 0; i < store->segment_count; i++) {
        free(store->segments[i].last_index);
    }
    free(store->segments);
    free(store->groups);
    free(store->folder);
    buffer_close(&store->pending);
    memset(store, 0, sizeof(*store));
    store->file = -1;
}
