/* Backoff between attempts to connect to a peer:
 *   new              resets the state
 *   refused MS       an attempt was refused
 *   timeout MS       an attempt timed out
 *   connected MS     the peer's Hello was received
 * Each prints the delay before the next attempt and its connect timeout, in ms. */
#include "net/dial_backoff.h"
#include "script.h"

static dial_backoff_t backoff;

static void run(const script_command_t *command)
{
    uint64_t now_ms = script_number(command, 1, 0);
    if (script_is(command, 0, "new")) {
        backoff = (dial_backoff_t){0};
    } else if (script_is(command, 0, "refused")) {
        dial_backoff_record(&backoff, now_ms, DIAL_FAILED, 0);
    } else if (script_is(command, 0, "timeout")) {
        dial_backoff_record(&backoff, now_ms, DIAL_TIMED_OUT, 0);
    } else if (script_is(command, 0, "connected")) {
        dial_backoff_record(&backoff, now_ms, DIAL_CONNECTED, 0);
    } else {
        script_print("unknown command\n");
        return;
    }
    uint64_t delay_ms = backoff.next_attempt_ms > now_ms ? backoff.next_attempt_ms - now_ms : 0;
    script_print("delay %llu timeout %u\n", (unsigned long long)delay_ms, dial_backoff_timeout_ms(&backoff));
}

int main(int argc, char **argv)
{
    return script_main(argc > 1 ? argv[1] : "tests/scripted/dial.script", run);
}
