#include "store/history_store.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "store/file.h"

enum { HISTORY_NAME_MAX = 32 };

/* A full disk may have room again. */
static void history_fail(struct history_store *store, const char *what)
{
    store->failed = errno != ENOSPC && errno != EDQUOT && errno != EFBIG;
    snprintf(store->error, sizeof(store->error), "%s: %s: %s", store->folder, what, strerror(errno));
}

static char *history_path(const struct history_store *store, uint32_t number)
{
    char name[HISTORY_NAME_MAX];
    snprintf(name, sizeof(name), "history-%08" PRIu32, number);
    return file_path(store->folder, name);
}

static struct history_segment *history_find(const struct history_store *store, uint32_t number)
{
    for (size_t i = store->segment_count; i > 0; i--) {
        if (store->segments[i - 1].number == number) {
            return &store->segments[i - 1];
        }
    }
    return NULL;
}

static bool history_add_segment(struct history_store *store, uint32_t number, bool create)
{
    char *path = history_path(store, number);
    int file = open(path, O_RDWR | O_CLOEXEC | (create ? O_CREAT | O_EXCL : 0), 0600);
    free(path);
    if (file < 0) {
        history_fail(store, "cannot open a history file");
        return false;
    }
    store->segments = memory_resize(store->segments, (store->segment_count + 1) * sizeof(*store->segments));
    struct history_segment *segment = &store->segments[store->segment_count++];
    memset(segment, 0, sizeof(*segment));
    segment->number = number;
    segment->file = file;
    return true;
}

static int history_compare(const void *a, const void *b)
{
    uint32_t left = ((const struct history_segment *)a)->number;
    uint32_t right = ((const struct history_segment *)b)->number;
    return left < right ? -1 : left > right ? 1 : 0;
}

static bool history_list(struct history_store *store)
{
    DIR *folder = opendir(store->folder);
    if (folder == NULL) {
        history_fail(store, "cannot read the folder");
        return false;
    }
    bool listed = true;
    for (struct dirent *item = readdir(folder); listed && item != NULL; item = readdir(folder)) {
        uint32_t number = 0;
        if (sscanf(item->d_name, "history-%" SCNu32, &number) == 1) {
            listed = history_add_segment(store, number, false);
        }
    }
    closedir(folder);
    if (store->segment_count > 1) {
        qsort(store->segments, store->segment_count, sizeof(*store->segments), history_compare);
    }
    return listed;
}

bool history_store_open(struct history_store *store, const char *folder)
{
    memset(store, 0, sizeof(*store));
    store->folder = text_copy(folder);
    if (!file_make_folder(folder)) {
        history_fail(store, "cannot create the folder");
        return false;
    }
    if (!history_list(store)) {
        return false;
    }
    uint32_t last = store->segment_count == 0 ? 0 : store->segments[store->segment_count - 1].number;
    return history_add_segment(store, last + 1, true);
}

void history_store_close(struct history_store *store)
{
    for (size_t i = 0; i < store->segment_count; i++) {
        close(store->segments[i].file);
    }
    free(store->segments);
    free(store->folder);
    buffer_close(&store->tail);
    memset(store, 0, sizeof(*store));
}

static void history_delete_at(struct history_store *store, size_t position)
{
    char *path = history_path(store, store->segments[position].number);
    close(store->segments[position].file);
    unlink(path);
    free(path);
    size_t after = store->segment_count - position - 1;
    memmove(&store->segments[position], &store->segments[position + 1], after * sizeof(*store->segments));
    store->segment_count--;
}

void history_store_sweep(struct history_store *store)
{
    for (size_t i = store->segment_count - 1; i > 0; i--) {
        if (store->segments[i - 1].live_bytes == 0) {
            history_delete_at(store, i - 1);
        }
    }
}

static struct history_segment *history_last(const struct history_store *store)
{
    return &store->segments[store->segment_count - 1];
}

/* Writes the tail; on a full disk it stays in memory. */
static bool history_write_tail(struct history_store *store)
{
    struct history_segment *segment = history_last(store);
    size_t done = 0;
    while (done < store->tail.length) {
        ssize_t written =
            pwrite(segment->file, store->tail.data + done, store->tail.length - done, (off_t)(segment->size + done));
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            history_fail(store, "cannot write");
            return false;
        }
        done += (size_t)written;
    }
    segment->size += store->tail.length;
    segment->dirty = segment->dirty || store->tail.length > 0;
    buffer_reuse(&store->tail, 2 * (size_t)HISTORY_TAIL_BYTES);
    return true;
}

/* The kernel may have dropped what it could not write: another sync would call it done. */
static bool history_sync_failed(struct history_store *store, const char *what)
{
    history_fail(store, what);
    store->failed = true;
    return false;
}

bool history_store_sync(struct history_store *store)
{
    if (store->failed || !history_write_tail(store)) {
        return false;
    }
    for (size_t i = 0; i < store->segment_count; i++) {
        struct history_segment *segment = &store->segments[i];
        if (segment->dirty && fdatasync(segment->file) != 0) {
            return history_sync_failed(store, "cannot sync");
        }
        segment->dirty = false;
    }
    if (!file_sync_folder(store->folder)) {
        return history_sync_failed(store, "cannot sync the folder");
    }
    return true;
}

/* Begins a new file if the last one is long enough and whole. */
static void history_roll(struct history_store *store)
{
    uint64_t most = store->segment_bytes == 0 ? HISTORY_SEGMENT_BYTES : store->segment_bytes;
    const struct history_segment *segment = history_last(store);
    if (segment->size >= most && store->tail.length == 0) {
        history_add_segment(store, segment->number + 1, true);
    }
}

static void history_append(void *context, struct view text, struct history_ref *ref)
{
    struct history_store *store = context;
    memset(ref, 0, sizeof(*ref));
    if (text.length == 0 || store->failed) {
        return;
    }
    history_roll(store);
    struct history_segment *segment = history_last(store);
    ref->segment = segment->number;
    ref->offset = segment->size + store->tail.length;
    ref->length = (uint32_t)text.length;
    segment->live_bytes += text.length;
    buffer_append(&store->tail, text.data, text.length);
    if (store->tail.length >= HISTORY_TAIL_BYTES) {
        history_write_tail(store);
    }
}

static bool history_read(void *context, const struct history_ref *ref, struct buffer *out)
{
    const struct history_store *store = context;
    if (ref->length == 0) {
        return true;
    }
    const struct history_segment *segment = history_find(store, ref->segment);
    if (segment == NULL) {
        return false;
    }
    if (segment == history_last(store) && ref->offset >= segment->size) {
        uint64_t at = ref->offset - segment->size;
        bool held = at + ref->length <= store->tail.length;
        buffer_append(out, store->tail.data + (held ? at : 0), held ? ref->length : 0);
        return held;
    }
    ssize_t got = pread(segment->file, buffer_reserve(out, ref->length), ref->length, (off_t)ref->offset);
    if (got != (ssize_t)ref->length) {
        return false;
    }
    out->length += ref->length;
    return true;
}

static void history_drop(void *context, const struct history_ref *ref)
{
    struct history_segment *segment = ref->length == 0 ? NULL : history_find(context, ref->segment);
    if (segment != NULL) {
        segment->live_bytes -= ref->length < segment->live_bytes ? ref->length : segment->live_bytes;
    }
}

static void history_sweep(void *context)
{
    history_store_sweep(context);
}

static void history_keep(void *context, const struct history_ref *ref)
{
    struct history_segment *segment = history_find(context, ref->segment);
    if (segment != NULL) {
        segment->live_bytes += ref->length;
    }
}

struct history_io history_store_io(struct history_store *store)
{
    struct history_io io = {
        .context = store,
        .append = history_append,
        .read = history_read,
        .drop = history_drop,
        .keep = history_keep,
        .sweep = history_sweep,
    };
    return io;
}
