/* Pace of dialling a peer:
 *   new              a peer that was never dialled
 *   refused MS       an attempt was refused
 *   silent MS        an attempt was given up for silence
 *   connected MS     the peer said who it is
 * Each prints how long the next pause and the next attempt may be. */
#include "net/dial_pace.h"
#include "script.h"

static dial_pace_t pace;

static void run(const script_command_t *command)
{
    uint64_t now_ms = script_number(command, 1, 0);
    if (script_is(command, 0, "new")) {
        pace = (dial_pace_t){0};
    } else if (script_is(command, 0, "refused")) {
        dial_pace_note(&pace, now_ms, DIAL_END_REFUSED, 0);
    } else if (script_is(command, 0, "silent")) {
        dial_pace_note(&pace, now_ms, DIAL_END_SILENT, 0);
    } else if (script_is(command, 0, "connected")) {
        dial_pace_note(&pace, now_ms, DIAL_END_CONNECTED, 0);
    } else {
        script_print("unknown command\n");
        return;
    }
    uint64_t pause_ms = pace.due_ms > now_ms ? pace.due_ms - now_ms : 0;
    script_print("pause %llu limit %u\n", (unsigned long long)pause_ms, dial_pace_limit_ms(&pace));
}

int main(int argc, char **argv)
{
    return script_main(argc > 1 ? argv[1] : "tests/scripted/dial.script", run);
}
