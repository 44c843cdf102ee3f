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

enum { LOG_RECORD_MAGIC = 0x4c424b42, LOG_NAME_MAX = 64, LOG_PENDING_KEPT_BYTES = 256 << 10 };

enum log_record_kind { LOG_RECORD_STATE = 1, LOG_RECORD_ENTRY = 2, LOG_RECORD_RESET = 3 };

/* Header of a record on disk; the payload follows. */
struct log_record {
    uint32_t magic;    /* LOG_RECORD_MAGIC */
    uint32_t length;   /* of the payload */
    uint64_t checksum; /* XXH64 of the payload, seeded with that of the rest of the header, seeded with `length` */
    uint32_t kind;     /* enum log_record_kind */
    uint32_t group;
    uint64_t index;
    uint64_t term;
    uint32_t vote_or_type;          /* state record: vote; entry: enum raft_entry_type */
    uint32_t write_offset_plus_one; /* 1 + file offset of the write that contains the record; 0: unknown, written by
                                       an older version */
};

static const size_t LOG_CHECKSUM_START = offsetof(struct log_record, kind);

static void log_store_fail(struct log_store *store, const char *what, const char *path)
{
    store->failed = true;
    snprintf(store->error, sizeof(store->error), "%s: %s: %s", path, what, strerror(errno));
}

static uint64_t log_record_checksum(const struct log_record *record, struct view payload)
{
    const uint8_t *start = (const uint8_t *)record + LOG_CHECKSUM_START;
    uint64_t hash = XXH64(start, sizeof(*record) - LOG_CHECKSUM_START, record->length);
    return XXH64(payload.data, payload.length, hash);
}

static void log_store_add_record(struct log_store *store, struct log_record *record, struct view payload)
{
    record->magic = LOG_RECORD_MAGIC;
    record->length = (uint32_t)payload.length;
    record->write_offset_plus_one = (uint32_t)store->file_bytes + 1;
    record->checksum = log_record_checksum(record, payload);
    buffer_append(&store->pending, record, sizeof(*record));
    buffer_append(&store->pending, payload.data, payload.length);
}

void log_store_save_state(struct log_store *store, uint32_t group, uint64_t term, uint32_t vote)
{
    store->groups[group].term = term;
    store->groups[group].vote = vote;
    store->groups[group].state_in_last_segment = true;
    struct log_record record = {.kind = LOG_RECORD_STATE, .group = group, .term = term, .vote_or_type = vote};
    log_store_add_record(store, &record, view_of(NULL, 0));
}

static void log_segment_update_last_index(struct log_segment *segment, uint32_t group, uint64_t index)
{
    if (index > segment->last_index[group]) {
        segment->last_index[group] = index;
    }
}

void log_store_append(struct log_store *store, uint32_t group, const struct raft_entry *entry)
{
    struct log_record record = {
        .kind = LOG_RECORD_ENTRY,
        .group = group,
        .index = entry->index,
        .term = entry->term,
        .vote_or_type = entry->type,
    };
    log_store_add_record(store, &record, view_of(entry->data, entry->length));
    log_segment_update_last_index(&store->segments[store->segment_count - 1], group, entry->index);
}

static void log_store_add_reset(struct log_store *store, uint32_t group, const struct raft_snapshot *snapshot)
{
    struct log_record record = {
        .kind = LOG_RECORD_RESET,
        .group = group,
        .index = snapshot->index,
        .term = snapshot->term,
    };
    log_store_add_record(store, &record, view_of(NULL, 0));
    log_segment_update_last_index(&store->segments[store->segment_count - 1], group, snapshot->index);
}

/* ---- Segments ------------------------------------------------------------------ */

static void log_segment_name(uint64_t number, char name[LOG_NAME_MAX])
{
    snprintf(name, LOG_NAME_MAX, "log-%010" PRIu64, number);
}

/* False: not the name of a segment file. */
static bool log_segment_parse_name(const char *name, uint64_t *number)
{
    char canonical[LOG_NAME_MAX];
    if (sscanf(name, "log-%" SCNu64, number) != 1) {
        return false;
    }
    log_segment_name(*number, canonical);
    return strcmp(name, canonical) == 0;
}

static char *log_segment_path(const struct log_store *store, uint64_t number)
{
    char name[LOG_NAME_MAX];
    log_segment_name(number, name);
    return file_path(store->directory, name);
}

static struct log_segment *log_store_add_segment(struct log_store *store, uint64_t number)
{
    store->segments = memory_resize(store->segments, (store->segment_count + 1) * sizeof(*store->segments));
    struct log_segment *segment = &store->segments[store->segment_count++];
    segment->number = number;
    segment->last_index = memory_new(store->group_count * sizeof(*segment->last_index));
    return segment;
}

static bool log_store_open_last_segment(struct log_store *store, bool create)
{
    char *path = log_segment_path(store, store->segments[store->segment_count - 1].number);
    store->fd = open(path, O_WRONLY | O_APPEND | O_CLOEXEC | (create ? O_CREAT | O_EXCL : 0), 0600);
    bool opened = store->fd >= 0 && (!create || file_sync_directory(store->directory));
    if (!opened) {
        log_store_fail(store, "cannot open the segment", path);
    }
    free(path);
    return opened;
}

/* Each segment begins with the terms and votes of all groups, so that older segments can be deleted. */
static bool log_store_begin_segment(struct log_store *store, uint64_t number)
{
    log_store_add_segment(store, number);
    store->file_bytes = 0;
    if (!log_store_open_last_segment(store, true)) {
        return false;
    }
    for (uint32_t group = 0; group < store->group_count; group++) {
        log_store_save_state(store, group, store->groups[group].term, store->groups[group].vote);
    }
    return true;
}

/* Whether the segment can be deleted: snapshots cover all its entries and resets, and none of them is needed to void
 * entries after the snapshot in the first `older_count` segments, which are kept. */
static bool log_segment_is_covered(const struct log_store *store, const struct log_segment *segment, size_t older_count)
{
    for (uint32_t group = 0; group < store->group_count; group++) {
        uint64_t snapshot_index = store->groups[group].snapshot_index;
        if (segment->last_index[group] > snapshot_index) {
            return false;
        }
        for (size_t i = 0; i < older_count && segment->last_index[group] > 0; i++) {
            if (store->segments[i].last_index[group] > snapshot_index) {
                return false;
            }
        }
    }
    return true;
}

static void log_store_delete_covered(struct log_store *store)
{
    size_t kept_count = 0;
    for (size_t i = 0; i < store->segment_count; i++) {
        struct log_segment segment = store->segments[i];
        bool last = i + 1 == store->segment_count;
        if (last || !log_segment_is_covered(store, &segment, kept_count)) {
            store->segments[kept_count++] = segment;
            continue;
        }
        char *path = log_segment_path(store, segment.number);
        unlink(path);
        free(path);
        free(segment.last_index);
    }
    store->segment_count = kept_count;
}

static bool log_disk_is_full(void)
{
    return errno == ENOSPC || errno == EDQUOT || errno == EFBIG;
}

/* On a full disk: truncates the partial write, so that all of it can be retried. */
static void log_store_undo_partial_write(struct log_store *store)
{
    if (log_disk_is_full() && ftruncate(store->fd, (off_t)store->file_bytes) == 0) {
        store->failed = false;
    }
}

bool log_store_sync(struct log_store *store)
{
    if (store->failed) {
        return false;
    }
    if (!file_write_all(store->fd, store->pending.data, store->pending.length)) {
        log_store_fail(store, "cannot write the log", store->directory);
        log_store_undo_partial_write(store);
        return false;
    }
    if (fdatasync(store->fd) != 0) {
        log_store_fail(store, "cannot sync the log", store->directory);
        return false;
    }
    store->file_bytes += store->pending.length;
    buffer_clear_and_trim(&store->pending, LOG_PENDING_KEPT_BYTES);
    if (store->file_bytes < LOG_STORE_SEGMENT_BYTES) {
        return true;
    }
    close(store->fd);
    if (!log_store_begin_segment(store, store->segments[store->segment_count - 1].number + 1)) {
        return false;
    }
    return log_store_sync(store);
}

/* ---- Snapshots ------------------------------------------------------------------- */

/* A full disk is not fatal: a later snapshot may succeed. */
static void log_snapshot_fail(struct log_store *store, const char *what, uint32_t group)
{
    char *path = snapshot_file_path(store->directory, group);
    log_store_fail(store, what, path);
    store->failed = !log_disk_is_full();
    free(path);
}

bool log_store_snapshot_begin(struct log_store *store, uint32_t group, const struct raft_snapshot *snapshot)
{
    bool started = snapshot_writer_begin(&store->groups[group].writer, store->directory, group, snapshot);
    if (!started) {
        log_snapshot_fail(store, "cannot write the snapshot", group);
    }
    return started;
}

bool log_store_snapshot_write(struct log_store *store, uint32_t group, struct view bytes)
{
    bool written = snapshot_writer_append(&store->groups[group].writer, bytes);
    if (!written) {
        log_snapshot_fail(store, "cannot write the snapshot", group);
    }
    return written;
}

void log_store_snapshot_abort(struct log_store *store, uint32_t group)
{
    snapshot_writer_abort(&store->groups[group].writer, store->directory, group);
}

static bool log_snapshot_open(struct log_store *store, uint32_t group)
{
    struct log_store_group *state = &store->groups[group];
    snapshot_file_close(&state->stored);
    switch (snapshot_file_open(&state->stored, store->directory, group)) {
    case SNAPSHOT_OPEN_OK: state->snapshot_index = state->stored.snapshot.index; return true;
    case SNAPSHOT_OPEN_NONE: return true;
    case SNAPSHOT_OPEN_CORRUPT:
        errno = EILSEQ;
        log_snapshot_fail(store, "the snapshot is corrupt", group);
        return false;
    case SNAPSHOT_OPEN_FAILED: log_snapshot_fail(store, "cannot read the snapshot", group); return false;
    }
    return false;
}

bool log_store_snapshot_commit(struct log_store *store, uint32_t group, bool reset_log)
{
    struct log_store_group *state = &store->groups[group];
    if (reset_log) {
        log_store_add_reset(store, group, &state->writer.snapshot);
    }
    /* The reset record and pending entries must be durable before the stored snapshot is replaced. */
    if (store->pending.length > 0 && !log_store_sync(store)) {
        log_store_snapshot_abort(store, group);
        return false;
    }
    if (!snapshot_writer_commit(&state->writer, store->directory, group, &state->stored)) {
        log_snapshot_fail(store, "cannot write the snapshot", group);
        return false;
    }
    state->snapshot_index = state->stored.snapshot.index;
    log_store_delete_covered(store);
    return true;
}

bool log_store_snapshot_read(const struct log_store *store, uint32_t group, uint64_t index, uint64_t offset,
                             size_t max_bytes, struct buffer *out)
{
    const snapshot_file_t *stored = &store->groups[group].stored;
    return stored->snapshot.index == index && snapshot_file_read(stored, offset, max_bytes, out);
}

static bool log_store_load_snapshot(struct log_store *store, uint32_t group,
                                    const struct log_restore_callbacks *restore)
{
    struct log_store_group *state = &store->groups[group];
    if (!log_snapshot_open(store, group)) {
        return false;
    }
    if (!state->stored.open || restore->snapshot(restore->context, group, &state->stored.snapshot)) {
        return true;
    }
    errno = EILSEQ;
    log_snapshot_fail(store, "cannot decode the snapshot", group);
    return false;
}

/* ---- Replay ------------------------------------------------------------------------ */

/* Returns the length of the record at `offset` with its payload; 0: it is not valid. */
static size_t log_record_read(const struct log_store *store, const struct buffer *content, size_t offset,
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

/* Whether a valid record of a write that starts after `offset` follows. If so, the data at `offset` was synced before;
 * otherwise it may belong to the last write, of which a power loss may leave any part. */
static bool log_has_write_after(const struct log_store *store, const struct buffer *content, size_t offset)
{
    struct log_record record;
    for (size_t position = offset + 1; position + sizeof(record) <= content->length; position++) {
        bool valid = log_record_read(store, content, position, &record) != 0;
        if (valid && (record.write_offset_plus_one == 0 || record.write_offset_plus_one - 1 > offset)) {
            return true;
        }
    }
    return false;
}

static bool log_replay_record(struct log_store *store, struct log_segment *segment, const struct log_record *record,
                              const uint8_t *payload, const struct log_restore_callbacks *restore)
{
    if (record->kind == LOG_RECORD_STATE) {
        store->groups[record->group].term = record->term;
        store->groups[record->group].vote = record->vote_or_type;
        store->groups[record->group].state_in_last_segment = true;
        restore->state(restore->context, record->group, record->term, record->vote_or_type);
        return true;
    }
    log_segment_update_last_index(segment, record->group, record->index);
    if (record->kind == LOG_RECORD_RESET) {
        if (record->index <= store->groups[record->group].snapshot_index) {
            restore->reset(restore->context, record->group);
        }
        return true;
    }
    struct raft_entry entry = {
        .index = record->index,
        .term = record->term,
        .type = (enum raft_entry_type)record->vote_or_type,
        .data = (uint8_t *)(uintptr_t)payload,
        .length = record->length,
    };
    return restore->entry(restore->context, record->group, &entry);
}

static bool log_truncate_segment(struct log_store *store, const char *path, size_t offset)
{
    if (truncate(path, (off_t)offset) != 0) {
        log_store_fail(store, "cannot truncate a torn write", path);
        return false;
    }
    return true;
}

static bool log_replay_segment(struct log_store *store, struct log_segment *segment, bool last,
                               const struct log_restore_callbacks *restore)
{
    struct buffer content = {0};
    char *path = log_segment_path(store, segment->number);
    for (uint32_t group = 0; group < store->group_count; group++) {
        store->groups[group].state_in_last_segment = false;
    }
    bool replayed = file_read_all(path, &content);
    if (!replayed) {
        log_store_fail(store, "cannot read the segment", path);
    }
    size_t offset = 0;
    while (replayed && offset < content.length) {
        struct log_record record;
        size_t length = log_record_read(store, &content, offset, &record);
        if (length == 0) {
            bool torn = last && !log_has_write_after(store, &content, offset);
            replayed = torn && log_truncate_segment(store, path, offset);
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
            snprintf(store->error, sizeof(store->error), "%s: byte %zu: log entries before this record are missing",
                     path, offset);
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

static bool log_store_list_segments(struct log_store *store)
{
    DIR *directory = opendir(store->directory);
    if (directory == NULL) {
        log_store_fail(store, "cannot read the directory", store->directory);
        return false;
    }
    for (struct dirent *entry = readdir(directory); entry != NULL; entry = readdir(directory)) {
        uint64_t number = 0;
        if (log_segment_parse_name(entry->d_name, &number)) {
            log_store_add_segment(store, number);
        }
    }
    closedir(directory);
    if (store->segment_count > 1) {
        qsort(store->segments, store->segment_count, sizeof(*store->segments), log_compare_numbers);
    }
    return true;
}

/* Replaces the last segment by a copy: all pages of a new file are dirty, so its sync writes all of them. */
static bool log_store_rewrite_last_segment(struct log_store *store)
{
    char name[LOG_NAME_MAX];
    struct buffer content = {0};
    log_segment_name(store->segments[store->segment_count - 1].number, name);
    char *path = file_path(store->directory, name);
    bool written = file_read_all(path, &content) && file_replace(store->directory, name, buffer_view(&content));
    buffer_close(&content);
    free(path);
    return written;
}

/* A killed process may leave data and file names that were never synced. Syncing the same file is not enough: after a
 * failed sync the kernel may mark the pages as clean, and a later sync reports no error. So the last segment is copied
 * to a new file, or synced in place if the disk is too full for a copy. Older segments were synced before the last one
 * was started. */
static bool log_store_sync_replayed(struct log_store *store)
{
    if (log_store_rewrite_last_segment(store)) {
        return true;
    }
    char *path = log_segment_path(store, store->segments[store->segment_count - 1].number);
    int fd = log_disk_is_full() ? open(path, O_RDONLY | O_CLOEXEC) : -1;
    bool synced = fd >= 0 && fdatasync(fd) == 0 && file_sync_directory(store->directory);
    if (!synced) {
        log_store_fail(store, "cannot sync the replayed segment", path);
    }
    if (fd >= 0) {
        close(fd);
    }
    free(path);
    return synced;
}

/* Adds missing terms and votes: the previous process may have ended after creating the segment, before writing them. */
static bool log_store_complete_last_segment(struct log_store *store)
{
    for (uint32_t group = 0; group < store->group_count; group++) {
        if (!store->groups[group].state_in_last_segment) {
            log_store_save_state(store, group, store->groups[group].term, store->groups[group].vote);
        }
    }
    /* On a full disk they stay pending; no older segment is deleted before they are written. */
    return store->pending.length == 0 || log_store_sync(store) || !store->failed;
}

bool log_store_open(struct log_store *store, const char *directory, uint32_t groups,
                    const struct log_restore_callbacks *restore)
{
    memset(store, 0, sizeof(*store));
    store->fd = -1;
    store->directory = text_copy(directory);
    store->group_count = groups;
    store->groups = memory_new(groups * sizeof(*store->groups));
    if (!file_make_directory(directory)) {
        log_store_fail(store, "cannot create the directory", directory);
        return false;
    }
    if (!log_store_list_segments(store)) {
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
        return log_store_sync_replayed(store) && log_store_open_last_segment(store, false) &&
               log_store_complete_last_segment(store);
    }
    return log_store_begin_segment(store, 1) && log_store_sync(store);
}

void log_store_disk_usage(const char *directory, uint64_t *log_bytes, uint64_t *snapshot_bytes)
{
    DIR *stream = opendir(directory);
    struct stat status;
    *log_bytes = 0;
    *snapshot_bytes = 0;
    if (stream == NULL) {
        return;
    }
    for (struct dirent *entry = readdir(stream); entry != NULL; entry = readdir(stream)) {
        uint64_t number = 0;
        char *path = file_path(directory, entry->d_name);
        uint64_t bytes = stat(path, &status) == 0 ? (uint64_t)status.st_size : 0;
        if (log_segment_parse_name(entry->d_name, &number)) {
            *log_bytes += bytes;
        } else if (sscanf(entry->d_name, "snapshot-%" SCNu64, &number) == 1) {
            *snapshot_bytes += bytes;
        }
        free(path);
    }
    closedir(stream);
}

void log_store_close(struct log_store *store)
{
    if (store->fd >= 0) {
        close(store->fd);
    }
    for (size_t i = 0; i < store->segment_count; i++) {
        free(store->segments[i].last_index);
    }
    for (uint32_t group = 0; group < store->group_count && store->groups != NULL; group++) {
        log_store_snapshot_abort(store, group);
        snapshot_file_close(&store->groups[group].stored);
    }
    free(store->segments);
    free(store->groups);
    free(store->directory);
    buffer_close(&store->pending);
    memset(store, 0, sizeof(*store));
    store->fd = -1;
}
