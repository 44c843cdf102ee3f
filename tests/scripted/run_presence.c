/* Tests which gateways count as silent, and when a gateway reports itself as not ready (withdraws). Commands:
 *   report MS MACHINE ZONE   a gateway reports
 *   leave MS MACHINE ZONE    a gateway that shuts down sends its last report
 *   zone MS ZONE             prints the counts that a gateway of the zone receives, and its decision
 *   clear                    forgets all gateways, as on a new leader */
#include "core/presence.h"
#include "script.h"

static presence_t presence;

static void record_report(const script_command_t *command, bool leaving)
{
    LoadReport report = {0};
    report.machine = script_number(command, 2, 0);
    report.zone = script_number(command, 3, 0);
    report.leaving = leaving;
    presence_record_report(&presence, script_number(command, 1, 0), &report);
}

static void print_decision(uint64_t now_ms, uint64_t zone)
{
    LoadTotals totals = {0};
    presence_expire(&presence, now_ms);
    presence_count(&presence, now_ms, zone, &totals);
    script_print("own %u silent %u, others %u silent %u: %s\n", totals.own_zone.gateways, totals.own_zone.silent,
                 totals.other_zones.gateways, totals.other_zones.silent,
                 presence_should_withdraw(&totals) ? "withdraw" : "serve");
}

static void run(const script_command_t *command)
{
    if (script_is(command, 0, "report")) {
        record_report(command, false);
    } else if (script_is(command, 0, "leave")) {
        record_report(command, true);
    } else if (script_is(command, 0, "zone")) {
        print_decision(script_number(command, 1, 0), script_number(command, 2, 0));
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
