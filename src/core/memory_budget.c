#include "core/memory_budget.h"

static size_t memory_share(size_t total, size_t percent)
{
    return total / 100 * percent;
}

memory_budget_t memory_budget_of(size_t total)
{
    memory_budget_t budget = {
        .total = total,
        .log = memory_share(total, MEMORY_BUDGET_LOG_PERCENT),
        .log_max = memory_share(total, MEMORY_BUDGET_LOG_MAX_PERCENT),
        .state = memory_share(total, MEMORY_BUDGET_STATE_PERCENT),
        .queues = memory_share(total, MEMORY_BUDGET_QUEUES_PERCENT),
        .cache = memory_share(total, MEMORY_BUDGET_CACHE_PERCENT),
        .requests = memory_share(total, MEMORY_BUDGET_REQUESTS_PERCENT),
        .incoming = memory_share(total, MEMORY_BUDGET_INCOMING_PERCENT),
        .connections = memory_share(total, MEMORY_BUDGET_CONNECTIONS_PERCENT),
        .probes = memory_share(total, MEMORY_BUDGET_PROBES_PERCENT),
    };
    return budget;
}
