/* Drained zones and allowed regions, from an operator's order to the choice of a server by a gateway:
 *   drain ZONE | open ZONE        applies an operator's order; prints the drained zones
 *   restore                       restarts the replica from its snapshot; prints the drained zones
 *   update [stale] [old]          the gateway's watch receives an update; `stale`: from a replica without contact with
 *                                 a quorum; `old`: from a replica of an earlier version; prints the drained zones
 *   restart                       the gateway loses its state
 *   servers ID/ZONE[!]...         sets the list of servers; ! if one is leaving
 *   choose                        chooses servers for eight concurrent requests; prints which of z1 and z2 they are in,
 *                                 then `all`, or `none` if a request got no server there
 *   allow [REGION...] [tenant REGION...]
 *                                 sets the allowed regions of the route and of the tenant
 *   excluded                      prints whether drained zones and regions exclude all servers
 *   resume ID                     prints where a stream interrupted on this server is resumed, on routes that allow one
 *                                 server and two */
#include <stdio.h>
#include <string.h>

#include "base/buffer.h"
#include "core/resume.h"
#include "core/server_table.h"
#include "core/state_machine.h"
#include "core/state_stream.h"
#include "core/watch.h"
#include "script.h"

enum { NAME_BYTES = 32, MAX_SERVERS = 8, CHOICES = 8, LEFT_MS = 1000, STEP_MS = 1000 };

static const struct history_io no_texts;
static struct state_machine replica;
static struct watch_state published;
static struct watch_server watchers;
static struct watch_client client;
static struct watch_state gateway;
static struct server_table servers;
static uint64_t now_ms = STEP_MS;
static char zones[][NAME_BYTES] = {"z1", "north", "z2", "south"};
static zone_info_t zone_infos[2];
static route_regions_t regions[SERVER_REGION_RULES];
static struct server_criteria criteria = {
    .service = "service", .zone = "z1", .region_rules = {&regions[0], &regions[1]}};

static void print_zones(const zone_set_t *set)
{
    script_print("revision %llu:", (unsigned long long)set->revision);
    for (uint32_t i = 0; i < set->count; i++) {
        script_print(" %s", set->names[i]);
    }
    script_print("\n");
}

static void copy_to_watch_state(void)
{
    DrainedZones drained;
    zone_set_export(&replica.site.drained, &drained);
    zone_set_update(&published.drained, &drained);
}

static void apply_order(const script_command_t *command, bool drained)
{
    char zone[NAME_BYTES];
    Entry entry = {.which_command = Entry_zone_drain_tag};
    EntryResult result = {0};
    script_copy(command, 1, zone, sizeof(zone));
    entry.command.zone_drain = (ZoneDrain){.zone = zone, .drained = drained};
    site_state_apply(&replica.site, now_ms, &entry, &result);
    copy_to_watch_state();
    print_zones(&replica.site.drained);
}

static bool append_to_buffer(void *context, struct view bytes)
{
    buffer_append(context, bytes.data, bytes.length);
    return true;
}

static void restore(void)
{
    struct buffer stream = {0};
    state_sink_t sink = {.context = &stream, .put = append_to_buffer};
    state_machine_write(&replica, &sink);
    state_machine_close(&replica);
    state_machine_init(&replica, 0, &no_texts);
    state_reader_t reader = {0};
    state_record_t record;
    state_reader_feed(&reader, buffer_view(&stream));
    state_reader_finish(&reader);
    while (state_reader_next(&reader, &record)) {
        state_machine_read(&replica, record.kind, record.payload);
    }
    state_reader_close(&reader);
    buffer_close(&stream);
    print_zones(&replica.site.drained);
}

static void update_gateway(const script_command_t *command)
{
    struct watch_candidate candidate = {.node = 1};
    Watch watch = {0};
    watch_outgoing_t outgoing = {0};
    now_ms += STEP_MS;
    watch_client_set_candidates(&client, &candidate, 1);
    watch_client_tick(&client, now_ms, &gateway, &watch);
    struct watch_entry *entry = watch_server_record_watch(&watchers, now_ms, 2, &watch);
    outgoing.update.sequence = watch.sequence;
    outgoing.update.fresh = !script_is(command, 1, "stale");
    watch_server_fill_update(&watchers, entry, now_ms, &published, &outgoing);
    outgoing.update.has_drained = outgoing.update.has_drained && !script_is(command, 1, "old");
    struct watch_changes changes = watch_client_receive(&client, now_ms, 1, &outgoing.update, &gateway);
    watch_outgoing_close(&outgoing);
    server_table_zones_changed(&servers, now_ms);
    script_print("%s, ", changes.drained ? "applied" : "unchanged");
    print_zones(&gateway.drained);
}

static void restart(void)
{
    watch_state_close(&gateway);
    memset(&gateway, 0, sizeof(gateway));
    memset(&client, 0, sizeof(client));
    server_table_zones_changed(&servers, now_ms);
}

static void set_servers(const script_command_t *command)
{
    char texts[MAX_SERVERS][NAME_BYTES];
    ServerRecord records[MAX_SERVERS];
    ServerList all = {.servers = records};
    for (int i = 1; i < command->count && i <= MAX_SERVERS; i++) {
        char *text = texts[i - 1];
        script_copy(command, i, text, NAME_BYTES);
        char *zone = strchr(text, '/');
        char *leaving = strchr(text, '!');
        records[all.servers_count++] = (ServerRecord){
            .id = text,
            .zone = zone + 1,
            .service = (char *)(uintptr_t) "service",
            .address = (char *)(uintptr_t) "127.0.0.1:1",
            .slots = 4,
            .draining = leaving != NULL,
        };
        *zone = '\0';
        if (leaving != NULL) {
            *leaving = '\0';
        }
    }
    server_table_update(&servers, &all);
}

static void choose_servers(void)
{
    int in_z1 = 0;
    int in_z2 = 0;
    for (int i = 0; i < CHOICES; i++) {
        struct server *server = server_table_choose(&servers, now_ms, &criteria);
        if (server != NULL) {
            server_begin_request(server, now_ms); /* it stays in flight during the loop */
            in_z1 += strcmp(server->zone, "z1") == 0 ? 1 : 0;
            in_z2 += strcmp(server->zone, "z2") == 0 ? 1 : 0;
        }
    }
    for (struct server *server = servers.servers; server != NULL; server = server->hh.next) {
        server->in_flight = 0;
    }
    script_print("%s%s%s\n", in_z1 > 0 ? "z1 " : "", in_z2 > 0 ? "z2 " : "", in_z1 + in_z2 == CHOICES ? "all" : "none");
}

static void set_regions(const script_command_t *command)
{
    int rule = 0;
    char name[NAME_BYTES];
    memset(regions, 0, sizeof(regions)); /* the names are not freed */
    for (int i = 1; i < command->count; i++) {
        script_copy(command, i, name, sizeof(name));
        if (script_is(command, i, "tenant")) {
            rule = 1;
        } else {
            route_regions_add(&regions[rule], name);
        }
    }
}

static const char *target_text(resume_target_t target)
{
    switch (target) {
    case RESUME_NONE: return "none";
    case RESUME_SAME: return "same";
    case RESUME_OTHER: return "other";
    }
    return "";
}

static void print_resume_targets(const script_command_t *command)
{
    char id[NAME_BYTES];
    script_copy(command, 1, id, sizeof(id));
    const struct server *server = server_table_find_incarnation(&servers, id);
    resume_stream_t stream = {
        .resumable = true,
        .server_gone = server_has_ended(server),
        .server_zone_drained = server->zone_drained,
        .servers_used = 1,
        .max_attempts = 1,
        .left_ms = LEFT_MS,
    };
    script_print("%s", target_text(resume_decide(&stream)));
    stream.max_attempts = 2;
    script_print(" %s\n", target_text(resume_decide(&stream)));
}

static void run(const script_command_t *command)
{
    for (size_t i = 0; i < sizeof(zone_infos) / sizeof(zone_infos[0]); i++) {
        zone_infos[i] = (zone_info_t){zones[2 * i], zones[2 * i + 1]};
    }
    servers.drained = &gateway.drained;
    servers.zones = zone_infos;
    servers.zone_count = sizeof(zone_infos) / sizeof(zone_infos[0]);
    if (script_is(command, 0, "drain") || script_is(command, 0, "open")) {
        apply_order(command, script_is(command, 0, "drain"));
    } else if (script_is(command, 0, "restore")) {
        restore();
    } else if (script_is(command, 0, "update")) {
        update_gateway(command);
    } else if (script_is(command, 0, "restart")) {
        restart();
    } else if (script_is(command, 0, "servers")) {
        set_servers(command);
    } else if (script_is(command, 0, "choose")) {
        choose_servers();
    } else if (script_is(command, 0, "excluded")) {
        script_print("%s\n", server_table_all_excluded(&servers, &criteria) ? "yes" : "no");
    } else if (script_is(command, 0, "allow")) {
        set_regions(command);
    } else if (script_is(command, 0, "resume")) {
        print_resume_targets(command);
    }
}

int main(int argc, char **argv)
{
    state_machine_init(&replica, 0, &no_texts);
    return argc > 1 ? script_main(argv[1], run) : 1;
}
