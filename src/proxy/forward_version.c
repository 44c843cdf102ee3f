/* Keeps each stream at the software version that began it (core/server_table.h). */
#include "proxy/forward.h"

#include "base/event_log.h"

/* Whether the server runs another version since it was replaced: the attempt may have run at either incarnation. */
static bool forward_successor_differs(const struct forward_attempt *attempt)
{
    const struct server *server = attempt->server;
    const struct server *current =
        server->replaced ? server_table_find(&attempt->forward->frontend->servers, server->id) : NULL;
    return current != NULL && !text_equal(current->version, server->version);
}

void forward_check_replaced_version(struct forward_attempt *attempt)
{
    struct forward *forward = attempt->forward;
    if (forward->stream.version != NULL && !forward->stream.version_unknown && forward_successor_differs(attempt)) {
        forward->stream.version_unknown = true;
        event_log("stream_version_unknown", "{s:s,s:s,s:s}", "id", text_or_empty(forward->id), "server",
                  attempt->server->id, "version", forward->stream.version);
    }
}

void forward_pin_version(struct forward_attempt *attempt)
{
    struct forward *forward = attempt->forward;
    if (forward->stream.version != NULL || forward->stream.event_count == 0) {
        return;
    }
    forward->stream.version = text_copy(attempt->server->version);
    forward->criteria.version = forward->stream.version;
    forward->criteria.drain_ms = forward->frontend->node->settings.server_drain_ms;
    forward_check_replaced_version(attempt);
}

bool forward_lacks_version(const struct forward *forward)
{
    const struct frontend *frontend = forward->frontend;
    return forward->criteria.version != NULL && forward->criteria.service != NULL &&
           !server_table_has_version(&frontend->servers, node_now(frontend->node), &forward->criteria, NULL);
}

bool forward_has_other_of_version(const struct forward_attempt *attempt)
{
    const struct forward *forward = attempt->forward;
    const struct frontend *frontend = forward->frontend;
    return server_table_has_version(&frontend->servers, node_now(frontend->node), &forward->criteria, attempt->server);
}
