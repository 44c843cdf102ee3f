#include "store/snapshot_file.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <xxhash.h>

#include "store/file.h"

/* Checksum of the legacy format: over the rest of the header, members, state. Current format: over members, state, and
 * then index, term, state length and members length, since the state length is known only at the end. */
enum { SNAPSHOT_MAGIC_LEGACY = 0x53424b42, SNAPSHOT_MAGIC = 0x54424b42, SNAPSHOT_NAME_MAX = 64 };

struct snapshot_header {
    uint32_t magic;
    uint32_t members_length;
    uint64_t checksum; /* XXH64, of the parts named above */
    uint64_t index;
    uint64_t term;
    uint64_t state_length;
};

static char *snapshot_path(const char *directory, uint32_t group, const char *suffix)
{
    char name[SNAPSHOT_NAME_MAX];
    snprintf(name, sizeof(name), "snapshot-%" PRIu32 "%s", group, suffix);
    return file_path(directory, name);
}

char *snapshot_file_path(const char *directory, uint32_t group)
{
    return snapshot_path(directory, group, "");
}

/* ---- Writing ---------------------------------------------------------------- */

static void snapshot_writer_free(snapshot_writer_t *writer)
{
    if (writer->checksum != NULL) {
        XXH64_freeState(writer->checksum);
    }
    buffer_close(&writer->block);
    memset(writer, 0, sizeof(*writer));
}

static bool snapshot_writer_flush(snapshot_writer_t *writer)
{
    bool written = file_write_all(writer->fd, writer->block.data, writer->block.length);
    buffer_clear(&writer->block);
    return written;
}

static bool snapshot_writer_buffer(snapshot_writer_t *writer, struct view bytes)
{
    if (bytes.length > 0) {
        XXH64_update(writer->checksum, bytes.data, bytes.length);
    }
    buffer_append(&writer->block, bytes.data, bytes.length);
    return writer->block.length < SNAPSHOT_FILE_BLOCK_BYTES || snapshot_writer_flush(writer);
}

bool snapshot_writer_begin(snapshot_writer_t *writer, const char *directory, uint32_t group,
                           const struct raft_snapshot *snapshot)
{
    struct snapshot_header header = {0};
    struct buffer members = {0};
    char *path = snapshot_path(directory, group, ".new");
    memset(writer, 0, sizeof(*writer));
    writer->fd = open(path, O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    free(path);
    if (writer->fd < 0) {
        return false;
    }
    writer->active = true;
    writer->snapshot = *snapshot;
    writer->checksum = XXH64_createState();
    XXH64_reset(writer->checksum, 0);
    raft_members_encode(&snapshot->members, &members);
    writer->members_length = (uint32_t)members.length;
    buffer_append(&writer->block, &header, sizeof(header));
    bool started = snapshot_writer_buffer(writer, buffer_view(&members));
    buffer_close(&members);
    if (!started) {
        snapshot_writer_abort(writer, directory, group);
    }
    return started;
}

bool snapshot_writer_append(snapshot_writer_t *writer, struct view bytes)
{
    writer->state_length += bytes.length;
    return writer->active && snapshot_writer_buffer(writer, bytes);
}

void snapshot_writer_abort(snapshot_writer_t *writer, const char *directory, uint32_t group)
{
    int saved_errno = errno;
    char *path = snapshot_path(directory, group, ".new");
    if (writer->active) {
        close(writer->fd);
        unlink(path); /* it may take up space on a full disk */
    }
    free(path);
    snapshot_writer_free(writer);
    errno = saved_errno;
}

static uint64_t snapshot_checksum_finish(struct XXH64_state_s *checksum, const struct snapshot_header *header)
{
    size_t from = offsetof(struct snapshot_header, index);
    XXH64_update(checksum, (const uint8_t *)header + from, sizeof(*header) - from);
    XXH64_update(checksum, &header->members_length, sizeof(header->members_length));
    return XXH64_digest(checksum);
}

static bool snapshot_writer_finish(snapshot_writer_t *writer)
{
    struct snapshot_header header = {
        .magic = SNAPSHOT_MAGIC,
        .members_length = writer->members_length,
        .index = writer->snapshot.index,
        .term = writer->snapshot.term,
        .state_length = writer->state_length,
    };
    header.checksum = snapshot_checksum_finish(writer->checksum, &header);
    return snapshot_writer_flush(writer) && pwrite(writer->fd, &header, sizeof(header), 0) == (ssize_t)sizeof(header) &&
           fsync(writer->fd) == 0;
}

bool snapshot_writer_commit(snapshot_writer_t *writer, const char *directory, uint32_t group, snapshot_file_t *stored)
{
    char *path = snapshot_path(directory, group, ".new");
    char *final_path = snapshot_file_path(directory, group);
    bool committed = writer->active && snapshot_writer_finish(writer) && rename(path, final_path) == 0 &&
                     file_sync_directory(directory);
    if (committed) {
        snapshot_file_close(stored);
        stored->open = true;
        stored->fd = writer->fd;
        stored->snapshot = writer->snapshot;
        stored->state_offset = sizeof(struct snapshot_header) + writer->members_length;
        stored->state_length = writer->state_length;
        snapshot_writer_free(writer);
    } else {
        snapshot_writer_abort(writer, directory, group);
    }
    free(path);
    free(final_path);
    return committed;
}

/* ---- Reading ---------------------------------------------------------------- */

/* Appends up to `max_bytes`, fewer at the end of the file. */
static bool snapshot_read_at(int fd, uint64_t offset, size_t max_bytes, struct buffer *out)
{
    ssize_t count = 0;
    do {
        count = pread(fd, buffer_reserve(out, max_bytes), max_bytes, (off_t)offset);
    } while (count < 0 && errno == EINTR);
    out->length += count > 0 ? (size_t)count : 0;
    return count >= 0;
}

/* Verifies the file's length and checksum. */
static snapshot_open_result_t snapshot_verify(int fd, const struct snapshot_header *header)
{
    struct buffer block = {0};
    XXH64_state_t *checksum = XXH64_createState();
    size_t from = offsetof(struct snapshot_header, index);
    uint64_t offset = sizeof(*header);
    uint64_t end = offset + header->members_length + header->state_length;
    bool read = true;
    bool legacy = header->magic == SNAPSHOT_MAGIC_LEGACY;
    XXH64_reset(checksum, 0);
    if (legacy) {
        XXH64_update(checksum, (const uint8_t *)header + from, sizeof(*header) - from);
    }
    do {
        buffer_clear(&block);
        read = snapshot_read_at(fd, offset, SNAPSHOT_FILE_BLOCK_BYTES, &block);
        offset += block.length;
        if (block.length > 0) {
            XXH64_update(checksum, block.data, block.length);
        }
    } while (read && block.length > 0);
    uint64_t sum = legacy ? XXH64_digest(checksum) : snapshot_checksum_finish(checksum, header);
    XXH64_freeState(checksum);
    buffer_close(&block);
    if (!read) {
        return SNAPSHOT_OPEN_FAILED;
    }
    return offset == end && sum == header->checksum ? SNAPSHOT_OPEN_OK : SNAPSHOT_OPEN_CORRUPT;
}

static snapshot_open_result_t snapshot_read_header(snapshot_file_t *stored)
{
    struct snapshot_header header = {0};
    struct buffer bytes = {0};
    snapshot_open_result_t outcome = SNAPSHOT_OPEN_FAILED;
    if (!snapshot_read_at(stored->fd, 0, sizeof(header), &bytes)) {
        goto out;
    }
    outcome = SNAPSHOT_OPEN_CORRUPT;
    if (bytes.length < sizeof(header)) {
        goto out;
    }
    memcpy(&header, bytes.data, sizeof(header));
    bool known = header.magic == SNAPSHOT_MAGIC || header.magic == SNAPSHOT_MAGIC_LEGACY;
    if (known) {
        outcome = snapshot_verify(stored->fd, &header);
    }
    if (outcome != SNAPSHOT_OPEN_OK) {
        goto out;
    }
    buffer_clear(&bytes);
    bool read = snapshot_read_at(stored->fd, sizeof(header), header.members_length, &bytes);
    if (!read || !raft_members_decode(buffer_view(&bytes), &stored->snapshot.members)) {
        outcome = SNAPSHOT_OPEN_CORRUPT;
        goto out;
    }
    stored->snapshot.index = header.index;
    stored->snapshot.term = header.term;
    stored->state_offset = sizeof(header) + header.members_length;
    stored->state_length = header.state_length;
out:
    buffer_close(&bytes);
    return outcome;
}

snapshot_open_result_t snapshot_file_open(snapshot_file_t *stored, const char *directory, uint32_t group)
{
    char *path = snapshot_file_path(directory, group);
    memset(stored, 0, sizeof(*stored));
    stored->fd = open(path, O_RDONLY | O_CLOEXEC);
    free(path);
    if (stored->fd < 0) {
        return errno == ENOENT ? SNAPSHOT_OPEN_NONE : SNAPSHOT_OPEN_FAILED;
    }
    stored->open = true;
    snapshot_open_result_t outcome = snapshot_read_header(stored);
    if (outcome != SNAPSHOT_OPEN_OK) {
        snapshot_file_close(stored);
    }
    return outcome;
}

bool snapshot_file_read(const snapshot_file_t *stored, uint64_t offset, size_t max_bytes, struct buffer *out)
{
    if (!stored->open || offset > stored->state_length) {
        return false;
    }
    uint64_t left = stored->state_length - offset;
    size_t size = left < max_bytes ? (size_t)left : max_bytes;
    size_t before = out->length;
    bool read = snapshot_read_at(stored->fd, stored->state_offset + offset, size, out);
    return read && out->length - before == size;
}

void snapshot_file_close(snapshot_file_t *stored)
{
    if (stored->open) {
        close(stored->fd);
    }
    memset(stored, 0, sizeof(*stored));
}
