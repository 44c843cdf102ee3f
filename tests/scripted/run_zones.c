/* Drained zones and allowed regions: an order in the replicated state, on its way to a gateway, and what the gateway
 * makes of it. drain ZONE | open ZONE        an operator's order, applied at all replicas lose the replica is started
 * again from its snapshot tell [stale] [old]            the gateway's watch is answered: by a replica out of touch, of
 * an earlier version restart                       the gateway forgets all servers ID/ZONE[!]...         the list of
 * servers; ! where one leaves choose                        the zones where eight requests in a row go allow
 * [REGION...] [tenant REGION...]    regions that the route and the tenant allow refused                       whether
 * all servers are barred bound ID                      where a stream that broke off there goes, on a route for one
 * server and for two */
#include <stdio.h>
#include <string.h>

#include "base/buffer.h"
#include "core/resume.h"
#include "core/server_table.h"
#include "core/state_machine.h"
#include "core/state_stream.h"
#include "core/watch.h"
#include "script.h"

enum { NAME = 32, SERVERS = 8, CHOICES = 8, LEFT_MS = 1000, STEP_MS = 1000 };

static const struct history_io no_texts;
static struct state_machine replica;
static struct watch_state told;
static struct watch_server watchers;
static struct watch_client client;
static struct watch_state gateway;
static struct server_table servers;
static uint64_t now_ms = STEP_MS;
static char zones[][NAME] = {"z1", "north", "z2", "south"};
static zone_place_t places[2];
static route_regions_t regions[SERVER_BINDS];
static struct server_wish wish = {.service = "service", .zone = "z1", .regions = {&regions[0], &regions[1]}};

static void print_zones(const zone_set_t *set)
{
    script_print("revision %llu:", (unsigned long long)set->revision);
    for (uint32_t i = 0; i < set->count; i++) {
        script_print(" %s", set->names[i]);
    }
    script_print("\n");
}

static void mirror(void)
{
    DrainedZones drained;
    zone_set_tell(&replica.site.drained, &drained);
    zone_set_take(&told.drained, &drained);
}

static void order(const script_command_t *command, bool drained)
{
    char zone[NAME];
    Entry entry = {.which_command = Entry_zone_drain_tag};
    EntryResult result = {0};
    script_copy(command, 1, zone, sizeof(zone));
    entry.command.zone_drain = (ZoneDrain){.zone = zone, .drained = drained};
    site_state_apply(&replica.site, now_ms, &entry, &result);
    mirror();
    print_zones(&replica.site.drained);
}

static bool keep(void *context, struct view bytes)
{
    buffer_append(context, bytes.data, bytes.length);
    return true;
}

static void lose(void)
{
    struct buffer stream = {0};
    state_sink_t sink = {.context = &stream, .put = keep};
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

static void tell(const script_command_t *command)
{
    struct watch_candidate candidate = {.node = 1};
    Watch watch = {0};
    watch_told_t answer = {0};
    now_ms += STEP_MS;
    watch_client_set_candidates(&client, &candidate, 1);
    watch_client_tick(&client, now_ms, &gateway, &watch);
    struct watch_entry *entry = watch_server_note(&watchers, now_ms, 2, &watch);
    answer.update.sequence = watch.sequence;
    answer.update.fresh = !script_is(command, 1, "stale");
    watch_server_tell(&watchers, entry, now_ms, &told, &answer);
    answer.update.has_drained = answer.update.has_drained && !script_is(command, 1, "old");
    struct watch_changes changes = watch_client_receive(&client, now_ms, 1, &answer.update, &gateway);
    watch_told_close(&answer);
    server_table_zones_changed(&servers, now_ms);
    script_print("%s, ", changes.drained ? "taken" : "nothing new");
    print_zones(&gateway.drained);
}

static void restart(void)
{
    watch_state_close(&gateway);
    memset(&gateway, 0, sizeof(gateway));
    memset(&client, 0, sizeof(client));
    server_table_zones_changed(&servers, now_ms);
}

static void list(const script_command_t *command)
{
    char texts[SERVERS][NAME];
    ServerRecord records[SERVERS];
    ServerList all = {.servers = records};
    for (int i = 1; i < command->count && i <= SERVERS; i++) {
        char *text = texts[i - 1];
        script_copy(command, i, text, NAME);
        char *zone = strchr(text, '/');
        char *leaves = strchr(text, '!');
        records[all.servers_count++] = (ServerRecord){
            .id = text,
            .zone = zone + 1,
            .service = (char *)(uintptr_t) "service",
            .address = (char *)(uintptr_t) "127.0.0.1:1",
            .slots = 4,
            .draining = leaves != NULL,
        };
        *zone = '\0';
        if (leaves != NULL) {
            *leaves = '\0';
        }
    }
    server_table_update(&servers, &all);
}

static void choose(void)
{
    int in_z1 = 0;
    int in_z2 = 0;
    for (int i = 0; i < CHOICES; i++) {
        struct server *server = server_table_choose(&servers, now_ms, &wish);
        if (server != NULL) {
            server_begin(server, now_ms); /* its answer does not come meanwhile */
            in_z1 += strcmp(server->zone, "z1") == 0 ? 1 : 0;
            in_z2 += strcmp(server->zone, "z2") == 0 ? 1 : 0;
        }
    }
    for (struct server *server = servers.servers; server != NULL; server = server->hh.next) {
        server->calls = 0;
    }
    script_print("%s%s%s\n", in_z1 > 0 ? "z1 " : "", in_z2 > 0 ? "z2 " : "", in_z1 + in_z2 == CHOICES ? "all" : "none");
}

static void allow(const script_command_t *command)
{
    int binding = 0;
    char name[NAME];
    memset(regions, 0, sizeof(regions)); /* the names live as long as the process */
    for (int i = 1; i < command->count; i++) {
        script_copy(command, i, name, sizeof(name));
        if (script_is(command, i, "tenant")) {
            binding = 1;
        } else {
            route_regions_add(&regions[binding], name);
        }
    }
}

static const char *way_word(resume_way_t way)
{
    switch (way) {
    case RESUME_NOT: return "not";
    case RESUME_SAME: return "same";
    case RESUME_OTHER: return "other";
    }
    return "";
}

static void bound(const script_command_t *command)
{
    char id[NAME];
    script_copy(command, 1, id, sizeof(id));
    const struct server *server = server_table_life(&servers, id);
    resume_view_t view = {
        .resumable = true,
        .server_gone = server_is_gone(server),
        .server_closed = server->zone_drained,
        .servers = 1,
        .max_attempts = 1,
        .left_ms = LEFT_MS,
    };
    script_print("%s", way_word(resume_decide(&view)));
    view.max_attempts = 2;
    script_print(" %s\n", way_word(resume_decide(&view)));
}

static void run(const script_command_t *command)
{
    for (size_t i = 0; i < sizeof(places) / sizeof(places[0]); i++) {
        places[i] = (zone_place_t){zones[2 * i], zones[2 * i + 1]};
    }
    servers.drained = &gateway.drained;
    servers.places = places;
    servers.place_count = sizeof(places) / sizeof(places[0]);
    if (script_is(command, 0, "drain") || script_is(command, 0, "open")) {
        order(command, script_is(command, 0, "drain"));
    } else if (script_is(command, 0, "lose")) {
        lose();
    } else if (script_is(command, 0, "tell")) {
        tell(command);
    } else if (script_is(command, 0, "restart")) {
        restart();
    } else if (script_is(command, 0, "servers")) {
        list(command);
    } else if (script_is(command, 0, "choose")) {
        choose();
    } else if (script_is(command, 0, "refused")) {
        script_print("%s\n", server_table_bars(&servers, &wish) ? "yes" : "no");
    } else if (script_is(command, 0, "allow")) {
        allow(command);
    } else if (script_is(command, 0, "bound")) {
        bound(command);
    }
}

int main(int argc, char **argv)
{
    state_machine_init(&replica, 0, &no_texts);
    return argc > 1 ? script_main(argv[1], run) : 1;
}
