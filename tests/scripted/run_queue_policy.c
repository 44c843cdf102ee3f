/* Whether a request that no server accepts is queued, and the order of the queue:
 *   wait WAITED of MS             prints whether it stays queued after WAITED ms, with MS left when it was queued
 *   first TENANT ROUTE DEADLINE QUEUED or TENANT ROUTE DEADLINE QUEUED
 *                                 prints which of the two queued requests is served first */
#include "core/queue_policy.h"
#include "script.h"

static queue_policy_key_t key_of(const script_command_t *command, int at)
{
    return (queue_policy_key_t){
        .tenant_priority = (uint32_t)script_number(command, at, 0),
        .route_priority = (uint32_t)script_number(command, at + 1, 0),
        .deadline_ms = script_number(command, at + 2, 0),
        .queued_ms = script_number(command, at + 3, 0),
    };
}

static void run_first(const script_command_t *command)
{
    queue_policy_key_t left = key_of(command, 1);
    queue_policy_key_t right = key_of(command, 6);
    int order = queue_policy_compare(&left, &right);
    script_print(order < 0 ? "left\n" : order > 0 ? "right\n" : "either\n");
}

static void run(const script_command_t *command)
{
    if (script_is(command, 0, "first")) {
        run_first(command);
        return;
    }
    uint64_t waited_ms = script_number(command, 1, 0);
    uint64_t total_ms = script_number(command, 3, 0);
    script_print(queue_policy_may_wait(waited_ms, total_ms - waited_ms) ? "queue\n" : "refuse\n");
}

int main(int argc, char **argv)
{
    return argc > 1 ? script_main(argv[1], run) : 1;
}
