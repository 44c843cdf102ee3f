#include "store/replica_restore.h"

static bool restore_snapshot(void *context, uint32_t group, const struct raft_snapshot *snapshot)
{
    return replica_restore_snapshot(context, group, snapshot);
}

static void restore_state(void *context, uint32_t group, uint64_t term, uint32_t vote)
{
    struct replica *replica = context;
    raft_restore_state(&replica->groups[group].raft, term, vote);
}

static bool restore_entry(void *context, uint32_t group, const struct raft_entry *entry)
{
    struct replica *replica = context;
    return raft_restore_entry(&replica->groups[group].raft, entry);
}

static void restore_reset(void *context, uint32_t group)
{
    struct replica *replica = context;
    raft_restore_reset(&replica->groups[group].raft);
}

bool replica_restore_log(struct replica *replica, struct log_store *log, const char *directory)
{
    struct log_restore_callbacks restore = {
        .context = replica,
        .snapshot = restore_snapshot,
        .state = restore_state,
        .entry = restore_entry,
        .reset = restore_reset,
    };
    return log_store_open(log, directory, replica->config.groups, &restore);
}
