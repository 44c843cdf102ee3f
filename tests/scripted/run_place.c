/* Whether a request that no server takes waits, and who is served first:
 *   wait WAITED of MS             it has waited so long, of the time that its caller had at its begin
 *   first TENANT ROUTE DUE SINCE or TENANT ROUTE DUE SINCE     priorities and times of two that wait */
#include "core/place_wait.h"
#include "script.h"

static place_order_t order_of(const script_command_t *command, int at)
{
    return (place_order_t){
        .tenant_priority = (uint32_t)script_number(command, at, 0),
        .route_priority = (uint32_t)script_number(command, at + 1, 0),
        .due_ms = script_number(command, at + 2, 0),
        .since_ms = script_number(command, at + 3, 0),
    };
}

static void run_first(const script_command_t *command)
{
    place_order_t left = order_of(command, 1);
    place_order_t right = order_of(command, 6);
    int order = place_compare(&left, &right);
    script_print(order < 0 ? "left\n" : order > 0 ? "right\n" : "either\n");
}

static void run(const script_command_t *command)
{
    if (script_is(command, 0, "first")) {
        run_first(command);
        return;
    }
    uint64_t waited_ms = script_number(command, 1, 0);
    uint64_t had_ms = script_number(command, 3, 0);
    script_print(place_may_wait(waited_ms, had_ms - waited_ms) ? "queue\n" : "refuse\n");
}

int main(int argc, char **argv)
{
    return argc > 1 ? script_main(argv[1], run) : 1;
}
