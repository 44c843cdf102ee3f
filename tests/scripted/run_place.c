/* Whether a request that no server takes waits:
 *   wait WAITED of MS             it has waited so long, of the time that its caller had at its begin */
#include "core/place_wait.h"
#include "script.h"

static void run(const script_command_t *command)
{
    uint64_t waited_ms = script_number(command, 1, 0);
    uint64_t had_ms = script_number(command, 3, 0);
    script_print(place_may_wait(waited_ms, had_ms - waited_ms) ? "queue\n" : "refuse\n");
}

int main(int argc, char **argv)
{
    return argc > 1 ? script_main(argv[1], run) : 1;
}
