/* Addresses that close connections at once:
 *   new              resets the state
 *   closed MS        a connection was closed at once; prints the time until the next dial, and for how long it is held
 *   redial MS        whether to dial now */
#include "core/closed_dials.h"
#include "script.h"

static closed_dials_t dials;

static void run(const script_command_t *command)
{
    uint64_t now_ms = script_number(command, 1, 0);
    if (script_is(command, 0, "new")) {
        dials = (closed_dials_t){0};
    } else if (script_is(command, 0, "redial")) {
        script_print("%s\n", closed_dials_take_redial(&dials, now_ms) ? "yes" : "no");
    } else if (script_is(command, 0, "closed")) {
        if (closed_dials_record(&dials, now_ms)) {
            script_print("redial after %llu, held for %llu\n", (unsigned long long)(dials.redial_ms - now_ms),
                         (unsigned long long)(dials.held_until_ms - now_ms));
        } else {
            script_print("served\n");
        }
    } else {
        script_print("unknown command\n");
    }
}

int main(int argc, char **argv)
{
    return script_main(argc > 1 ? argv[1] : "tests/scripted/closed_dials.script", run);
}
