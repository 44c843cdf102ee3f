/* Dials servers that are silent, to see whether they can be reached (core/reach.h). */
#include <stdio.h>
#include <string.h>

#include "base/event_log.h"
#include "proxy/forward.h"

enum { FRONT_ADDRESS_MOST = 64 /* bytes of an IP and a port */ };

static void front_log_reach(const struct front *front, const struct server *server, const char *event)
{
    event_log(event, "{s:s,s:s,s:i,s:I}", "server", server->id, "address", server->address, "calls", (int)server->calls,
              "silent_ms", (json_int_t)(node_now(front->node) - server->heard_ms));
}

static void front_tell_reach(struct front *front, struct server *server, reach_change_t change)
{
    switch (change) {
    case REACH_AS_BEFORE: break;
    case REACH_LOST: front_log_reach(front, server, "server_lost"); break;
    case REACH_CUT_OFF: front_log_reach(front, server, "server_cut_off"); break;
    case REACH_REGAINED:
        server->returned_ms = node_now(front->node); /* it may have started anew meanwhile */
        front_log_reach(front, server, "server_regained");
        break;
    }
    if (change == REACH_LOST || change == REACH_CUT_OFF) {
        forward_server_lost(front, server);
    }
}

/* The line tells how long it was silent: the time is noted after it. */
void front_note_heard(struct front *front, struct server *server)
{
    front_tell_reach(front, server, reach_note_heard(&server->reach));
    server_heard(server, node_now(front->node));
}

void front_probe_if_silent(struct front *front, struct server *server)
{
    struct address address;
    bool due = reach_is_due(&server->reach, node_now(front->node), server->calls > 0, server->heard_ms);
    if (due && server->listed && address_parse(server->address, &address)) {
        reach_note_dial(&server->reach);
        front->counters.probes++;
        upstream_probe(&front->node->upstreams, &address);
    }
}

/* Dials the machine of a server that takes no connection, at a port where nothing listens. */
static void front_ask_machine(struct front *front, struct server *server)
{
    struct address address;
    uint64_t port = front->node->settings.closed_port;
    char text[FRONT_ADDRESS_MOST];
    if (!address_parse(server->address, &address) || !reach_ask_machine(&server->reach)) {
        return;
    }
    snprintf(text, sizeof(text), "%s:%llu", address.ip, (unsigned long long)port);
    if (port == 0 || !address_parse(text, &address)) {
        reach_note_machine(&server->reach, false); /* it is not to be asked: the dials decide */
        return;
    }
    front->counters.probes++;
    upstream_probe(&front->node->upstreams, &address);
}

static bool front_is_machine_of(const struct front *front, const struct server *server, const char *address)
{
    char text[FRONT_ADDRESS_MOST];
    struct address own;
    if (!server->reach.asking || !address_parse(server->address, &own)) {
        return false;
    }
    snprintf(text, sizeof(text), "%s:%llu", own.ip, (unsigned long long)front->node->settings.closed_port);
    return strcmp(text, address) == 0;
}

static void front_note_machine(struct front *front, struct server *server, bool answered)
{
    reach_note_machine(&server->reach, answered);
    front_log_reach(front, server, reach_is_gone(&server->reach) ? "server_gone" : "server_lives");
    if (reach_is_gone(&server->reach)) {
        forward_server_lost(front, server);
    }
}

/* Where this process stood still meanwhile, a dial without an answer says nothing. */
static void front_on_probed(void *context, const char *address, bool answered)
{
    struct front *front = context;
    uint64_t now_ms = node_now(front->node);
    bool excused = !answered && now_ms < front->node->woke_ms + FRONT_WOKE_MS;
    struct server *server = front->servers.servers;
    while (server != NULL) {
        struct server *next = server->hh.next; /* a server that is not listed ends with its last request */
        if (server->reach.dialling && strcmp(server->address, address) == 0) {
            reach_change_t change = reach_note_outcome(&server->reach, now_ms, answered || excused);
            front_probe_if_silent(front, server); /* the next dial at once: a stream waits for it */
            front_tell_reach(front, server, change);
            front_ask_machine(front, server);
        } else if (front_is_machine_of(front, server, address)) {
            front_note_machine(front, server, answered || excused);
        }
        server = next;
    }
}

void front_watch_reach(struct front *front)
{
    front->node->upstreams.probed = front_on_probed;
    front->node->upstreams.probed_context = front;
}
