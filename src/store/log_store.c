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

enum { LOG_RECORD_MAGIC = 0x4c424b42, LOG_NAME_MAX = 64, LOG_PENDING_KEPT = 256 << 10 };

enum log_record_kind { LOG_RECORD_STATE = 1, LOG_RECORD_ENTRY = 2, LOG_RECORD_RESET = 3 };

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
    uint32_t write;  /* 1 + where the write that it belongs to begins in the file; 0: not known, of an older version */
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
    record->write = (uint32_t)store->file_bytes + 1;
    record->checksum = log_record_checksum(record, payload);
    buffer_append(&store->pending, record, sizeof(*record));
    buffer_append(&store->pending, payload.data, payload.length);
}

void log_store_save_state(struct log_store *store, uint32_t group, uint64_t term, uint32_t vote)
{
    store->groups[group].term = term;
    store->groups[group].vote = vote;
    store->groups[group].headed = true;
    struct log_record record = {.kind = LOG_RECORD_STATE, .group = group, .term = term, .detail = vote};
    log_store_add(store, &record, view_of(NULL, 0));
}

static void log_segment_note(struct log_segment *segment, uint32_t group, uint64_t index)
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
        .detail = entry->type,
    };
    log_store_add(store, &record, view_of(entry->data, entry->length));
    log_segment_note(&store->segments[store->segment_count - 1], group, entry->index);
}

static void log_store_reset(struct log_store *store, uint32_t group, const struct raft_snapshot *snapshot)
{
    struct log_record record = {
        .kind = LOG_RECORD_RESET,
        .group = group,
        .index = snapshot->index,
        .term = snapshot->term,
    };
    log_store_add(store, &record, view_of(NULL, 0));
    log_segment_note(&store->segments[store->segment_count - 1], group, snapshot->index);
}

/* ---- Segments ------------------------------------------------------------------ */

static void log_segment_name(uint64_t number, char name[LOG_NAME_MAX])
{
    snprintf(name, LOG_NAME_MAX, "log-%010" PRIu64, number);
}

/* False: no segment has that name. */
static bool log_segment_number(const char *name, uint64_t *number)
{
    char exact[LOG_NAME_MAX];
    if (sscanf(name, "log-%" SCNu64, number) != 1) {
        return false;
    }
    log_segment_name(*number, exact);
    return strcmp(name, exact) == 0;
}

static char *log_segment_path(const struct log_store *store, uint64_t number)
{
    char name[LOG_NAME_MAX];
    log_segment_name(number, name);
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

/* Its entries are covered, and it makes none void that an older segment holds behind the snapshot. */
static bool log_segment_is_covered(const struct log_store *store, const struct log_segment *segment, size_t older)
{
    for (uint32_t group = 0; group < store->group_count; group++) {
        uint64_t snapshot_index = store->groups[group].snapshot_index;
        if (segment->last_index[group] > snapshot_index) {
            return false;
        }
        for (size_t i = 0; i < older && segment->last_index[group] > 0; i++) {
            if (store->segments[i].last_index[group] > snapshot_index) {
                return false;
            }
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
        if (last || !log_segment_is_covered(store, &segment, kept)) {
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
    buffer_reuse(&store->pending, LOG_PENDING_KEPT);
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

/* A full disk may have room again. */
static void log_snapshot_fail(struct log_store *store, const char *what, uint32_t group)
{
    char *path = snapshot_file_path(store->folder, group);
    log_store_fail(store, what, path);
    store->failed = !log_disk_is_full();
    free(path);
}

bool log_store_snapshot_begin(struct log_store *store, uint32_t group, const struct raft_snapshot *snapshot)
{
    bool begun = snapshot_writer_begin(&store->groups[group].writer, store->folder, group, snapshot);
    if (!begun) {
        log_snapshot_fail(store, "cannot write the snapshot", group);
    }
    return begun;
}

bool log_store_snapshot_write(struct log_store *store, uint32_t group, struct view bytes)
{
    bool written = snapshot_writer_put(&store->groups[group].writer, bytes);
    if (!written) {
        log_snapshot_fail(store, "cannot write the snapshot", group);
    }
    return written;
}

void log_store_snapshot_abort(struct log_store *store, uint32_t group)
{
    snapshot_writer_abort(&store->groups[group].writer, store->folder, group);
}

/* Opens the stored snapshot, if there is one, and checks it. */
static bool log_snapshot_open(struct log_store *store, uint32_t group)
{
    struct log_store_group *state = &store->groups[group];
    snapshot_stored_close(&state->stored);
    switch (snapshot_stored_open(&state->stored, store->folder, group)) {
    case SNAPSHOT_OPEN_DONE: state->snapshot_index = state->stored.snapshot.index; return true;
    case SNAPSHOT_OPEN_NONE: return true;
    case SNAPSHOT_OPEN_DAMAGED:
        errno = EILSEQ;
        log_snapshot_fail(store, "the snapshot is damaged", group);
        return false;
    case SNAPSHOT_OPEN_FAILED: log_snapshot_fail(store, "cannot read the snapshot", group); return false;
    }
    return false;
}

bool log_store_snapshot_commit(struct log_store *store, uint32_t group, bool reset_log)
{
    struct log_store_group *state = &store->groups[group];
    if (reset_log) {
        log_store_reset(store, group, &state->writer.snapshot);
    }
    /* What the log holds behind the snapshot is decided on the disk before the snapshot is there. */
    if (store->pending.length > 0 && !log_store_sync(store)) {
        log_store_snapshot_abort(store, group);
        return false;
    }
    if (!snapshot_writer_commit(&state->writer, store->folder, group, &state->stored)) {
        log_snapshot_fail(store, "cannot write the snapshot", group);
        return false;
    }
    state->snapshot_index = state->stored.snapshot.index;
    log_store_drop_covered(store);
    return true;
}

bool log_store_snapshot_read(const struct log_store *store, uint32_t group, uint64_t index, uint64_t at, size_t most,
                             struct buffer *out)
{
    const snapshot_stored_t *stored = &store->groups[group].stored;
    return stored->snapshot.index == index && snapshot_stored_read(stored, at, most, out);
}

static bool log_store_load_snapshot(struct log_store *store, uint32_t group, const struct log_restore *restore)
{
    struct log_store_group *state = &store->groups[group];
    if (!log_snapshot_open(store, group)) {
        return false;
    }
    if (!state->stored.open || restore->snapshot(restore->context, group, &state->stored.snapshot)) {
        return true;
    }
    errno = EILSEQ;
    log_snapshot_fail(store, "the snapshot does not decode", group);
    return false;
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

/* Whether a write that was begun behind `offset` left a record: all before it was synced then. Of the last write itself
 * a loss of power may leave any part. */
static bool log_has_write_after(const struct log_store *store, const struct buffer *content, size_t offset)
{
    struct log_record record;
    for (size_t position = offset + 1; position + sizeof(record) <= content->length; position++) {
        bool whole = log_record_at(store, content, position, &record) != 0;
        if (whole && (record.write == 0 || record.write - 1 > offset)) {
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
        store->groups[record->group].headed = true;
        restore->state(restore->context, record->group, record->term, record->detail);
        return true;
    }
    log_segment_note(segment, record->group, record->index);
    if (record->kind == LOG_RECORD_RESET) {
        if (record->index <= store->groups[record->group].snapshot_index) {
            restore->reset(restore->context, record->group);
        }
        return true;
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
    for (uint32_t group = 0; group < store->group_count; group++) {
        store->groups[group].headed = false;
    }
    bool replayed = file_read_all(path, &content);
    if (!replayed) {
        log_store_fail(store, "cannot read the segment", path);
    }
    size_t offset = 0;
    while (replayed && offset < content.length) {
        struct log_record record;
        size_t length = log_record_at(store, &content, offset, &record);
        if (length == 0) {
            bool torn = last && !log_has_write_after(store, &content, offset);
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
        if (log_segment_number(item->d_name, &number)) {
            log_store_add_segment(store, number);
        }
    }
    closedir(folder);
    if (store->segment_count > 1) {
        qsort(store->segments, store->segment_count, sizeof(*store->segments), log_compare_numbers);
    }
    return true;
}

/* A file of its own, with what was read: its pages are new to the kernel, so that its sync writes all of them. */
static bool log_store_rewrite_last(struct log_store *store)
{
    char name[LOG_NAME_MAX];
    struct buffer content = {0};
    log_segment_name(store->segments[store->segment_count - 1].number, name);
    char *path = file_path(store->folder, name);
    bool written = file_read_all(path, &content) && file_replace(store->folder, name, buffer_view(&content));
    buffer_close(&content);
    free(path);
    return written;
}

/* A process that is killed leaves bytes and names that no sync covered, and the next one reads them. They last before
 * anything of them counts. One whose sync failed leaves more: the kernel may count as clean what it could not write,
 * and no later sync of that file tells. Older segments were synced before the last one was begun. On a full disk there
 * is no room for a second file: the sync of the first has to do. */
static bool log_store_settle(struct log_store *store)
{
    if (log_store_rewrite_last(store)) {
        return true;
    }
    char *path = log_segment_path(store, store->segments[store->segment_count - 1].number);
    int file = log_disk_is_full() ? open(path, O_RDONLY | O_CLOEXEC) : -1;
    bool synced = file >= 0 && fdatasync(file) == 0 && file_sync_folder(store->folder);
    if (!synced) {
        log_store_fail(store, "cannot sync what was read back", path);
    }
    if (file >= 0) {
        close(file);
    }
    free(path);
    return synced;
}

/* The process before may have ended between the file of the last segment and its head. */
static bool log_store_complete_head(struct log_store *store)
{
    for (uint32_t group = 0; group < store->group_count; group++) {
        if (!store->groups[group].headed) {
            log_store_save_state(store, group, store->groups[group].term, store->groups[group].vote);
        }
    }
    /* On a full disk they wait: no older segment goes before they are written. */
    return store->pending.length == 0 || log_store_sync(store) || !store->failed;
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
        return log_store_settle(store) && log_store_open_last(store, false) && log_store_complete_head(store);
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
        if (log_segment_number(item->d_name, &number)) {
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
    for (uint32_t group = 0; group < store->group_count && store->groups != NULL; group++) {
        log_store_snapshot_abort(store, group);
        snapshot_stored_close(&store->groups[group].stored);
    }
    free(store->segments);
    free(store->groups);
    free(store->folder);
    buffer_close(&store->pending);
    memset(store, 0, sizeof(*store));
    store->file = -1;
}
