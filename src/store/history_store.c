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

/* A full disk is not fatal: a later write may succeed. */
static void history_fail(struct history_store *store, const char *what)
{
    store->failed = errno != ENOSPC && errno != EDQUOT && errno != EFBIG;
    snprintf(store->error, sizeof(store->error), "%s: %s: %s", store->directory, what, strerror(errno));
}

static char *history_path(const struct history_store *store, uint32_t number)
{
    char name[HISTORY_NAME_MAX];
    snprintf(name, sizeof(name), "history-%08" PRIu32, number);
    return file_path(store->directory, name);
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
    int fd = open(path, O_RDWR | O_CLOEXEC | (create ? O_CREAT | O_EXCL : 0), 0600);
    free(path);
    if (fd < 0) {
        history_fail(store, "cannot open a segment");
        return false;
    }
    store->segments = memory_resize(store->segments, (store->segment_count + 1) * sizeof(*store->segments));
    struct history_segment *segment = &store->segments[store->segment_count++];
    memset(segment, 0, sizeof(*segment));
    segment->number = number;
    segment->fd = fd;
    return true;
}

static int history_compare_numbers(const void *a, const void *b)
{
    uint32_t left = ((const struct history_segment *)a)->number;
    uint32_t right = ((const struct history_segment *)b)->number;
    return left < right ? -1 : left > right ? 1 : 0;
}

static bool history_open_segments(struct history_store *store)
{
    DIR *directory = opendir(store->directory);
    if (directory == NULL) {
        history_fail(store, "cannot read the directory");
        return false;
    }
    bool opened = true;
    for (struct dirent *entry = readdir(directory); opened && entry != NULL; entry = readdir(directory)) {
        uint32_t number = 0;
        if (sscanf(entry->d_name, "history-%" SCNu32, &number) == 1) {
            opened = history_add_segment(store, number, false);
        }
    }
    closedir(directory);
    if (store->segment_count > 1) {
        qsort(store->segments, store->segment_count, sizeof(*store->segments), history_compare_numbers);
    }
    return opened;
}

bool history_store_open(struct history_store *store, const char *directory)
{
    memset(store, 0, sizeof(*store));
    store->directory = text_copy(directory);
    if (!file_make_directory(directory)) {
        history_fail(store, "cannot create the directory");
        return false;
    }
    if (!history_open_segments(store)) {
        return false;
    }
    uint32_t last = store->segment_count == 0 ? 0 : store->segments[store->segment_count - 1].number;
    return history_add_segment(store, last + 1, true);
}

void history_store_close(struct history_store *store)
{
    for (size_t i = 0; i < store->segment_count; i++) {
        close(store->segments[i].fd);
    }
    free(store->segments);
    free(store->directory);
    buffer_close(&store->write_buffer);
    memset(store, 0, sizeof(*store));
}

static void history_delete_segment(struct history_store *store, size_t position)
{
    char *path = history_path(store, store->segments[position].number);
    close(store->segments[position].fd);
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
            history_delete_segment(store, i - 1);
        }
    }
}

static struct history_segment *history_active_segment(const struct history_store *store)
{
    return &store->segments[store->segment_count - 1];
}

/* On failure the texts stay in the buffer. */
static bool history_flush_buffer(struct history_store *store)
{
    struct history_segment *segment = history_active_segment(store);
    size_t done = 0;
    while (done < store->write_buffer.length) {
        ssize_t written = pwrite(segment->fd, store->write_buffer.data + done, store->write_buffer.length - done,
                                 (off_t)(segment->size + done));
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            history_fail(store, "cannot write a segment");
            return false;
        }
        done += (size_t)written;
    }
    segment->size += store->write_buffer.length;
    segment->dirty = segment->dirty || store->write_buffer.length > 0;
    buffer_clear_and_trim(&store->write_buffer, 2 * (size_t)HISTORY_WRITE_BUFFER_BYTES);
    return true;
}

/* Fatal in any case: the kernel may drop dirty pages after a failed sync, and the next sync reports success. */
static bool history_sync_failed(struct history_store *store, const char *what)
{
    history_fail(store, what);
    store->failed = true;
    return false;
}

bool history_store_sync(struct history_store *store)
{
    if (store->failed || !history_flush_buffer(store)) {
        return false;
    }
    for (size_t i = 0; i < store->segment_count; i++) {
        struct history_segment *segment = &store->segments[i];
        if (segment->dirty && fdatasync(segment->fd) != 0) {
            return history_sync_failed(store, "cannot sync a segment");
        }
        segment->dirty = false;
    }
    if (!file_sync_directory(store->directory)) {
        return history_sync_failed(store, "cannot sync the directory");
    }
    return true;
}

/* Starts a new segment if the active one is full and no texts are buffered: their references name the active one. */
static void history_rotate(struct history_store *store)
{
    uint64_t max_bytes = store->segment_bytes == 0 ? HISTORY_SEGMENT_BYTES : store->segment_bytes;
    const struct history_segment *segment = history_active_segment(store);
    if (segment->size >= max_bytes && store->write_buffer.length == 0) {
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
    history_rotate(store);
    struct history_segment *segment = history_active_segment(store);
    ref->segment = segment->number;
    ref->offset = segment->size + store->write_buffer.length;
    ref->length = (uint32_t)text.length;
    segment->live_bytes += text.length;
    buffer_append(&store->write_buffer, text.data, text.length);
    if (store->write_buffer.length >= HISTORY_WRITE_BUFFER_BYTES) {
        history_flush_buffer(store);
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
    if (segment == history_active_segment(store) && ref->offset >= segment->size) {
        uint64_t buffer_offset = ref->offset - segment->size;
        bool buffered = buffer_offset + ref->length <= store->write_buffer.length;
        buffer_append(out, store->write_buffer.data + (buffered ? buffer_offset : 0), buffered ? ref->length : 0);
        return buffered;
    }
    ssize_t count = pread(segment->fd, buffer_reserve(out, ref->length), ref->length, (off_t)ref->offset);
    if (count != (ssize_t)ref->length) {
        return false;
    }
    out->length += ref->length;
    return true;
}

static void history_release(void *context, const struct history_ref *ref)
{
    struct history_segment *segment = ref->length == 0 ? NULL : history_find(context, ref->segment);
    if (segment != NULL) {
        segment->live_bytes -= ref->length < segment->live_bytes ? ref->length : segment->live_bytes;
    }
}

static void history_reclaim(void *context)
{
    history_store_sweep(context);
}

static void history_mark_used(void *context, const struct history_ref *ref)
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
        .release = history_release,
        .mark_used = history_mark_used,
        .reclaim = history_reclaim,
    };
    return io;
}
