/* Failure detection for a silent server:
 *   received MS                   data was received; prints `recovered` if the server was unreachable
 *   due MS [busy]                 prints whether a probe is due; `busy`: the server has in-flight requests
 *   response MS                   a response started after MS
 *   probe                         a probe starts
 *   connected MS | failed MS      the probe ends at this time; prints the state change
 *   peer-silent                   the machine does not respond on an open connection; prints the state change
 *   connect-timeout               a connection attempt for a request timed out
 *   dead                          prints whether the server is dead */
#include "core/reach.h"
#include "script.h"

static reach_t reach;
static uint64_t last_activity_ms;

static const char *change_text(reach_change_t change)
{
    switch (change) {
    case REACH_UNCHANGED: return "unchanged\n";
    case REACH_UNREACHABLE: return "unreachable\n";
    case REACH_CONFIRMED_UNREACHABLE: return "confirmed\n";
    case REACH_DEAD: return "dead\n";
    case REACH_RECOVERED: return "recovered\n";
    }
    return "";
}

static void run(const script_command_t *command)
{
    uint64_t at_ms = script_number(command, 1, 0);
    if (script_is(command, 0, "received")) {
        last_activity_ms = at_ms;
        reach_change_t change = reach_record_received(&reach);
        script_print("%s", change == REACH_UNCHANGED ? "" : change_text(change));
    } else if (script_is(command, 0, "due")) {
        script_print(reach_probe_is_due(&reach, at_ms, script_is(command, 2, "busy"), last_activity_ms) ? "yes\n"
                                                                                                        : "no\n");
    } else if (script_is(command, 0, "response")) {
        reach_record_response(&reach, at_ms);
    } else if (script_is(command, 0, "probe")) {
        reach_record_probe_start(&reach);
    } else if (script_is(command, 0, "peer-silent")) {
        script_print("%s", change_text(reach_record_peer_silent(&reach)));
    } else if (script_is(command, 0, "connect-timeout")) {
        reach_record_connect_timeout(&reach);
    } else if (script_is(command, 0, "dead")) {
        script_print(reach_is_dead(&reach) ? "yes\n" : "no\n");
    } else {
        script_print("%s", change_text(reach_record_outcome(&reach, at_ms, script_is(command, 0, "connected"))));
    }
}

int main(int argc, char **argv)
{
    return argc > 1 ? script_main(argv[1], run) : 1;
}
