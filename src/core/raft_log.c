/* In-memory log: the entries after the last compaction. */
#include "core/raft_internal.h"

#include <stdlib.h>
#include <string.h>

enum { RAFT_LOG_MIN_CAPACITY = 64 };

const struct raft_entry *raft_log_get(const struct raft_log *log, uint64_t index)
{
    if (index <= log->base_index || index > log->base_index + log->count) {
        return NULL;
    }
    return &log->entries[index - log->base_index - 1];
}

void raft_log_append(struct raft_log *log, const struct raft_entry *entry)
{
    if (log->count == log->capacity) {
        log->capacity = log->capacity == 0 ? RAFT_LOG_MIN_CAPACITY : log->capacity * 2;
        log->entries = memory_resize(log->entries, log->capacity * sizeof(*log->entries));
    }
    struct raft_entry *added = &log->entries[log->count++];
    *added = *entry;
    added->data = (uint8_t *)memory_copy(entry->data, entry->length);
    log->bytes += entry->length + RAFT_ENTRY_OVERHEAD_BYTES;
}

void raft_log_truncate(struct raft_log *log, uint64_t from_index)
{
    while (log->count > 0 && log->entries[log->count - 1].index >= from_index) {
        log->count--;
        log->bytes -= log->entries[log->count].length + RAFT_ENTRY_OVERHEAD_BYTES;
        free(log->entries[log->count].data);
    }
}

void raft_log_compact(struct raft_log *log, uint64_t index, uint64_t term)
{
    size_t drop = (size_t)(index - log->base_index);
    for (size_t i = 0; i < drop; i++) {
        log->bytes -= log->entries[i].length + RAFT_ENTRY_OVERHEAD_BYTES;
        free(log->entries[i].data);
    }
    memmove(log->entries, log->entries + drop, (log->count - drop) * sizeof(*log->entries));
    log->count -= drop;
    log->base_index = index;
    log->base_term = term;
}

void raft_log_reset(struct raft_log *log, uint64_t index, uint64_t term)
{
    raft_log_truncate(log, log->base_index + 1);
    log->base_index = index;
    log->base_term = term;
}

void raft_log_close(struct raft_log *log)
{
    raft_log_truncate(log, 0);
    free(log->entries);
    memset(log, 0, sizeof(*log));
}
