#include "store/replica_disk.h"

static void disk_save_state(void *disk, uint32_t group, uint64_t term, uint32_t vote)
{
    log_store_save_state(disk, group, term, vote);
}

static void disk_append(void *disk, uint32_t group, const struct raft_entry *entry)
{
    log_store_append(disk, group, entry);
}

static bool disk_snapshot_write(void *disk, uint32_t group, struct view bytes)
{
    return log_store_snapshot_write(disk, group, bytes);
}

static void disk_snapshot_abort(void *disk, uint32_t group)
{
    log_store_snapshot_abort(disk, group);
}

static bool disk_snapshot_read(void *disk, uint32_t group, uint64_t index, uint64_t offset, size_t max_bytes,
                               struct buffer *out)
{
    return log_store_snapshot_read(disk, group, index, offset, max_bytes, out);
}

void replica_disk_set_callbacks(struct replica_io *io, struct log_store *log)
{
    io->disk = log;
    io->save_state = disk_save_state;
    io->append = disk_append;
    io->snapshot_write = disk_snapshot_write;
    io->snapshot_abort = disk_snapshot_abort;
    io->snapshot_read = disk_snapshot_read;
}
