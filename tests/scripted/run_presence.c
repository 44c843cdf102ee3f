/* Which gateways were heard of, and who withdraws:
 *   hear MS MACHINE ZONE     a report at that time
 *   leave MS MACHINE ZONE    the last report of a gateway that stops
 *   zone MS ZONE             what a gateway of the zone is told then, and what it does
 *   clear                    another replica leads from now on */
#include "core/presence.h"
#include "script.h"

static presence_t presence;

static void hear(const script_command_t *command, bool leaving)
{
    LoadReport report = {0};
    report.machine = script_number(command, 2, 0);
    report.zone = script_number(command, 3, 0);
    report.leaving = leaving;
    presence_hear(&presence, script_number(command, 1, 0), &report);
}

static void tell(uint64_t now_ms, uint64_t zone)
{
    LoadTotals totals = {0};
    presence_fade(&presence, now_ms);
    presence_count(&presence, now_ms, zone, &totals);
    script_print("own %u silent %u, others %u silent %u: %s\n", totals.own_zone.gateways, totals.own_zone.silent,
                 totals.other_zones.gateways, totals.other_zones.silent,
                 presence_should_withdraw(&totals) ? "withdraw" : "serve");
}

static void run(const script_command_t *command)
{
    if (script_is(command, 0, "hear")) {
        hear(command, false);
    } else if (script_is(command, 0, "leave")) {
        hear(command, true);
    } else if (script_is(command, 0, "zone")) {
        tell(script_number(command, 1, 0), script_number(command, 2, 0));
    } else if (script_is(command, 0, "clear")) {
        presence_clear(&presence);
    } else {
        script_print("unknown command\n");
    }
}

int main(int argc, char **argv)
{
    int status = script_main(argc > 1 ? argv[1] : "tests/scripted/presence.script", run);
    presence_clear(&presence);
    return status;
}
