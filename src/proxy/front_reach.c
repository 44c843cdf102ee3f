/* Dials servers that are silent, to see whether they can be reached (core/reach.h). */
#include <string.h>

#include "base/event_log.h"
#include "proxy/forward.h"

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
    case REACH_GONE: front_log_reach(front, server, "server_gone"); break;
    case REACH_REGAINED:
        server->returned_ms = node_now(front->node); /* it may have started anew meanwhile */
        front_log_reach(front, server, "server_regained");
        break;
    }
    if (change == REACH_LOST || change == REACH_CUT_OFF || change == REACH_GONE) {
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

void front_note_silent_open(struct front *front, struct server *server)
{
    if (!node_has_just_woken(front->node)) {
        front_tell_reach(front, server, reach_note_silent_open(&server->reach));
    }
}

static void front_on_probed(void *context, const char *address, bool answered)
{
    struct front *front = context;
    uint64_t now_ms = node_now(front->node);
    bool taken = answered || node_has_just_woken(front->node);
    struct server *server = front->servers.servers;
    while (server != NULL) {
        struct server *next = server->hh.next; /* a server that is not listed ends with its last request */
        if (server->reach.dialling && strcmp(server->address, address) == 0) {
            reach_change_t change = reach_note_outcome(&server->reach, now_ms, taken);
            front_probe_if_silent(front, server); /* the next dial at once: a stream waits for it */
            front_tell_reach(front, server, change);
        }
        server = next;
    }
}

void front_watch_reach(struct front *front)
{
    front->node->upstreams.probed = front_on_probed;
    front->node->upstreams.probed_context = front;
}
