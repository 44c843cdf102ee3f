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

/* The older form has its checksum over the rest of the header, members and state, in this order; the newer one
 * over members, state, and then the rest of the header, which is known last. */
enum { SNAPSHOT_MAGIC_OLDER = 0x53424b42, SNAPSHOT_MAGIC = 0x54424b42, SNAPSHOT_NAME_MAX = 64 };

/* Start of the file. */
struct snapshot_header {
    uint32_t magic;
    uint32_t members_length;
    uint64_t checksum; /* XXH64, see above */
    uint64_t index;
    uint64_t term;
    uint64_t state_length;
};

static char *snapshot_path(const char *folder, uint32_t group, const char *suffix)
{
    char name[SNAPSHOT_NAME_MAX];
    snprintf(name, sizeof(name), "snapshot-%" PRIu32 "%s", group, suffix);
    return file_path(folder, name);
}

char *snapshot_file_path(const char *folder, uint32_t group)
{
    return snapshot_path(folder, group, "");
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
    bool written = file_write_all(writer->file, writer->block.data, writer->block.length);
    buffer_clear(&writer->block);
    return written;
}

static bool snapshot_writer_add(snapshot_writer_t *writer, struct view bytes)
{
    if (bytes.length > 0) {
        XXH64_update(writer->checksum, bytes.data, bytes.length);
    }
    buffer_append(&writer->block, bytes.data, bytes.length);
    return writer->block.length < SNAPSHOT_FILE_BLOCK_BYTES || snapshot_writer_flush(writer);
}

bool snapshot_writer_begin(snapshot_writer_t *writer, const char *folder, uint32_t group,
                           const struct raft_snapshot *snapshot)
{
    struct snapshot_header header = {0};
    struct buffer members = {0};
    char *path = snapshot_path(folder, group, ".new");
    memset(writer, 0, sizeof(*writer));
    writer->file = open(path, O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    free(path);
    if (writer->file < 0) {
        return false;
    }
    writer->active = true;
    writer->snapshot = *snapshot;
    writer->checksum = XXH64_createState();
    XXH64_reset(writer->checksum, 0);
    raft_members_encode(&snapshot->members, &members);
    writer->members_length = (uint32_t)members.length;
    buffer_append(&writer->block, &header, sizeof(header));
    bool begun = snapshot_writer_add(writer, buffer_view(&members));
    buffer_close(&members);
    if (!begun) {
        snapshot_writer_abort(writer, folder, group);
    }
    return begun;
}

bool snapshot_writer_put(snapshot_writer_t *writer, struct view bytes)
{
    writer->state_length += bytes.length;
    return writer->active && snapshot_writer_add(writer, bytes);
}

void snapshot_writer_abort(snapshot_writer_t *writer, const char *folder, uint32_t group)
{
    int reason = errno;
    char *path = snapshot_path(folder, group, ".new");
    if (writer->active) {
        close(writer->file);
        unlink(path); /* on a full disk its part would stay in the way */
    }
    free(path);
    snapshot_writer_free(writer);
    errno = reason;
}

static uint64_t snapshot_checksum_end(struct XXH64_state_s *checksum, const struct snapshot_header *header)
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
    header.checksum = snapshot_checksum_end(writer->checksum, &header);
    return snapshot_writer_flush(writer) &&
           pwrite(writer->file, &header, sizeof(header), 0) == (ssize_t)sizeof(header) && fsync(writer->file) == 0;
}

bool snapshot_writer_commit(snapshot_writer_t *writer, const char *folder, uint32_t group, snapshot_stored_t *stored)
{
    char *path = snapshot_path(folder, group, ".new");
    char *final_path = snapshot_file_path(folder, group);
    bool done =
        writer->active && snapshot_writer_finish(writer) && rename(path, final_path) == 0 && file_sync_folder(folder);
    if (done) {
        snapshot_stored_close(stored);
        stored->open = true;
        stored->file = writer->file;
        stored->snapshot = writer->snapshot;
        stored->state_at = sizeof(struct snapshot_header) + writer->members_length;
        stored->state_length = writer->state_length;
        snapshot_writer_free(writer);
    } else {
        snapshot_writer_abort(writer, folder, group);
    }
    free(path);
    free(final_path);
    return done;
}

/* ---- Reading ---------------------------------------------------------------- */

/* Reads up to `most` bytes at a place of the file; appends fewer at its end. */
static bool snapshot_read_at(int file, uint64_t at, size_t most, struct buffer *out)
{
    ssize_t got = 0;
    do {
        got = pread(file, buffer_reserve(out, most), most, (off_t)at);
    } while (got < 0 && errno == EINTR);
    out->length += got > 0 ? (size_t)got : 0;
    return got >= 0;
}

/* The checksum of all that follows the header. */
static snapshot_open_t snapshot_check(int file, const struct snapshot_header *header)
{
    struct buffer block = {0};
    XXH64_state_t *checksum = XXH64_createState();
    size_t from = offsetof(struct snapshot_header, index);
    uint64_t at = sizeof(*header);
    uint64_t end = at + header->members_length + header->state_length;
    bool read = true;
    bool older = header->magic == SNAPSHOT_MAGIC_OLDER;
    XXH64_reset(checksum, 0);
    if (older) {
        XXH64_update(checksum, (const uint8_t *)header + from, sizeof(*header) - from);
    }
    do {
        buffer_clear(&block);
        read = snapshot_read_at(file, at, SNAPSHOT_FILE_BLOCK_BYTES, &block);
        at += block.length;
        if (block.length > 0) {
            XXH64_update(checksum, block.data, block.length);
        }
    } while (read && block.length > 0);
    uint64_t sum = older ? XXH64_digest(checksum) : snapshot_checksum_end(checksum, header);
    XXH64_freeState(checksum);
    buffer_close(&block);
    if (!read) {
        return SNAPSHOT_OPEN_FAILED;
    }
    return at == end && sum == header->checksum ? SNAPSHOT_OPEN_DONE : SNAPSHOT_OPEN_DAMAGED;
}

static snapshot_open_t snapshot_read_head(snapshot_stored_t *stored)
{
    struct snapshot_header header = {0};
    struct buffer bytes = {0};
    snapshot_open_t outcome = SNAPSHOT_OPEN_FAILED;
    if (!snapshot_read_at(stored->file, 0, sizeof(header), &bytes)) {
        goto out;
    }
    outcome = SNAPSHOT_OPEN_DAMAGED;
    if (bytes.length < sizeof(header)) {
        goto out;
    }
    memcpy(&header, bytes.data, sizeof(header));
    bool known = header.magic == SNAPSHOT_MAGIC || header.magic == SNAPSHOT_MAGIC_OLDER;
    if (known) {
        outcome = snapshot_check(stored->file, &header);
    }
    if (outcome != SNAPSHOT_OPEN_DONE) {
        goto out;
    }
    buffer_clear(&bytes);
    bool read = snapshot_read_at(stored->file, sizeof(header), header.members_length, &bytes);
    if (!read || !raft_members_decode(buffer_view(&bytes), &stored->snapshot.members)) {
        outcome = SNAPSHOT_OPEN_DAMAGED;
        goto out;
    }
    stored->snapshot.index = header.index;
    stored->snapshot.term = header.term;
    stored->state_at = sizeof(header) + header.members_length;
    stored->state_length = header.state_length;
out:
    buffer_close(&bytes);
    return outcome;
}

snapshot_open_t snapshot_stored_open(snapshot_stored_t *stored, const char *folder, uint32_t group)
{
    char *path = snapshot_file_path(folder, group);
    memset(stored, 0, sizeof(*stored));
    stored->file = open(path, O_RDONLY | O_CLOEXEC);
    free(path);
    if (stored->file < 0) {
        return errno == ENOENT ? SNAPSHOT_OPEN_NONE : SNAPSHOT_OPEN_FAILED;
    }
    stored->open = true;
    snapshot_open_t outcome = snapshot_read_head(stored);
    if (outcome != SNAPSHOT_OPEN_DONE) {
        snapshot_stored_close(stored);
    }
    return outcome;
}

bool snapshot_stored_read(const snapshot_stored_t *stored, uint64_t at, size_t most, struct buffer *out)
{
    if (!stored->open || at > stored->state_length) {
        return false;
    }
    uint64_t left = stored->state_length - at;
    size_t size = left < most ? (size_t)left : most;
    size_t before = out->length;
    bool read = snapshot_read_at(stored->file, stored->state_at + at, size, out);
    return read && out->length - before == size;
}

void snapshot_stored_close(snapshot_stored_t *stored)
{
    if (stored->open) {
        close(stored->file);
    }
    memset(stored, 0, sizeof(*stored));
}
