/* Dials servers that are silent, to see whether they can be reached (core/reach.h). */
#include <string.h>

#include "base/event_log.h"
#include "proxy/forward.h"

static void front_tell_reach(struct front *front, struct server *server, reach_change_t change)
{
    switch (change) {
    case REACH_AS_BEFORE: break;
    case REACH_LOST:
    case REACH_REGAINED:
        event_log(change == REACH_LOST ? "server_lost" : "server_regained", "{s:s,s:s,s:i,s:I}", "server", server->id,
                  "address", server->address, "calls", (int)server->calls, "silent_ms",
                  (json_int_t)(node_now(front->node) - server->heard_ms));
        break;
    }
    if (change == REACH_LOST) {
        forward_server_lost(front, server);
    }
}

/* The line tells how long it was silent: the time is noted after it. */
void front_note_heard(struct front *front, struct server *server)
{
    front_tell_reach(front, server, reach_note_heard(&server->reach));
    server_heard(server, node_now(front->node));
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
            front_tell_reach(front, server, reach_note_outcome(&server->reach, now_ms, answered || excused));
        }
        server = next;
    }
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

void front_watch_reach(struct front *front)
{
    front->node->upstreams.probed = front_on_probed;
    front->node->upstreams.probed_context = front;
}
